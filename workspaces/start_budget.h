#ifndef LYCHEETRESTLE_WORKSPACES_START_BUDGET_H
#define LYCHEETRESTLE_WORKSPACES_START_BUDGET_H

#include "workspaces/usage.h"

#include <functional>
#include <map>
#include <string>
#include <string_view>

namespace lycheetrestle::workspaces {

/// What workspaces may start in a round of placement without exceeding their
/// limits.
class start_budget {
public:
  /// What a workspace uses, and its limit.
  struct account {
    resource_usage Use;
    resource_limit Limit;
  };
  /// \returns the account of a workspace; called once for each that asks.
  using account_finder = std::function<account(std::string_view Workspace)>;

  explicit start_budget(account_finder Find) : Find(std::move(Find)) {}

  /// \returns whether the workspace may use Size in addition. An empty name
  /// stands for no workspace and has no limit.
  bool allows(std::string_view Workspace, const resource_usage &Size);
  /// Records that a run was placed.
  void add(std::string_view Workspace, const resource_usage &Size);
  /// Takes a placement back.
  void remove(std::string_view Workspace, const resource_usage &Size);

private:
  account &accountOf(std::string_view Workspace);

  account_finder Find;
  std::map<std::string, account, std::less<>> Accounts;
};

} // namespace lycheetrestle::workspaces

#endif
