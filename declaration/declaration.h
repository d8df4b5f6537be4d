#ifndef LYCHEETRESTLE_DECLARATION_DECLARATION_H
#define LYCHEETRESTLE_DECLARATION_DECLARATION_H

#include "core/failure.h"
#include "fleet/fleet_state.h"
#include "fleet/types.h"

#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

namespace lycheetrestle::declaration {

/// Largest accepted declaration; 10,000 hosts need about 1.5 MB.
constexpr std::size_t MaxDeclarationBytes = 4u << 20;

/// Parses a declaration (JSON with comments) and checks it: unknown fields,
/// types, ranges, duplicate names, references, and budgets that leave a pool no
/// host to drain.
/// \param Text the document.
/// \returns the declaration, or BadInput with field, value and rule.
core::result<fleet::declaration> parseDeclaration(std::string_view Text);

/// \returns the declaration as JSON, in the format of parseDeclaration().
std::string toJson(const fleet::declaration &Declaration);

/// The effects of accepting a declaration.
struct declaration_plan {
  struct host_step {
    std::string Host;
    std::string FromPool, ToPool; ///< Equal unless the host moves.
    std::string Action;           ///< `add`, `move`, `remove`.
    /// Steps of one batch run together; batches count from 1. 0 marks a move
    /// that the budgets do not allow with the hosts now in service.
    std::uint32_t Batch = 0;
  };
  struct pool_budget {
    std::string Pool;
    std::uint32_t Hosts = 0;     ///< Hosts whose home is the pool afterwards.
    std::uint32_t Available = 0; ///< Hosts in service after acceptance.
    std::uint32_t Minimum = 0;
    /// Fewest hosts in service during any batch.
    std::uint32_t LowestAvailable = 0;
  };
  std::vector<host_step> Steps;
  std::vector<pool_budget> Budgets;
};

/// Plans a declaration without changing anything.
/// \param State the state it would be applied to.
/// \param Next the declaration.
/// \returns the plan, or the failure with which the state would refuse the
/// declaration, for example Conflict if its number is not larger than the
/// current one.
core::result<declaration_plan> planDeclaration(const fleet::fleet_state &State,
                                               const fleet::declaration &Next);

} // namespace lycheetrestle::declaration

#endif
