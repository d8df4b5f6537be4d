#include "workspaces/start_budget.h"

namespace lycheetrestle::workspaces {

start_budget::account &start_budget::accountOf(std::string_view Workspace) {
  auto Found = Accounts.find(Workspace);
  if (Found == Accounts.end())
    Found = Accounts.emplace(std::string(Workspace), Find(Workspace)).first;
  return Found->second;
}

bool start_budget::allows(std::string_view Workspace,
                          const resource_usage &Size) {
  if (Workspace.empty())
    return true;
  const auto &Account = accountOf(Workspace);
  return Account.Use.allows(Size, Account.Limit);
}

void start_budget::add(std::string_view Workspace, const resource_usage &Size) {
  if (!Workspace.empty())
    accountOf(Workspace).Use.add(Size);
}

void start_budget::remove(std::string_view Workspace,
                          const resource_usage &Size) {
  if (!Workspace.empty())
    accountOf(Workspace).Use.remove(Size);
}

} // namespace lycheetrestle::workspaces
