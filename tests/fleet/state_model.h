#ifndef LYCHEETRESTLE_TESTS_FLEET_STATE_MODEL_H
#define LYCHEETRESTLE_TESTS_FLEET_STATE_MODEL_H

#include "fleet/commands.h"
#include "fleet/fleet_state.h"

#include <cstdint>
#include <map>
#include <set>
#include <string>
#include <vector>

namespace lycheetrestle::fleet {

/// Checks after each command that the state keeps its invariants. It compares
/// the state before and after the command and recomputes the counters of the
/// state machine, without sharing any rule with it.
class state_model {
public:
  /// Checks the state after a command.
  /// \returns the broken invariants.
  std::vector<std::string> check(const command &Command,
                                 const apply_result &Result,
                                 const fleet_state &State);

  std::uint64_t accepted() const { return Accepted; }
  std::uint64_t refused() const { return Refused; }
  std::uint64_t resent() const { return Resent; }

private:
  void expect(bool Holds, std::string_view Invariant);
  bool checkResend(const command &Command, const apply_result &Result);
  void checkDeclarations(const command &Command, const apply_result &Result,
                         const fleet_state &State);
  void checkHosts(const command &Command, const fleet_state &State);
  void checkHostChange(const command &Command, const host_record &Before,
                       const host_record &After, const fleet_state &State);
  void checkPools(const fleet_state &State);
  void checkJobs(const fleet_state &State);
  void checkWaves(const fleet_state &State);
  void checkKeys(const command &Command, const apply_result &Result,
                 const fleet_state &State);
  void checkAudit(const command &Command, const apply_result &Result,
                  bool IsResend, const fleet_state &State);

  struct first_result {
    std::string Bytes;
    apply_result Result;
  };
  struct tracked_key {
    std::string Holder;
    bool Completed = false;
    std::int64_t ReservedMs = 0;
  };
  struct observed_state {
    std::map<std::string, host_record, std::less<>> Hosts;
    std::map<std::uint64_t, wave_record> Waves;
    std::map<std::uint64_t, job_record> Jobs;
    declaration Declaration;
    std::uint64_t ViewIndex = 0;
    std::int64_t TimeMs = 0;
  };

  std::vector<std::string> Violations;
  std::map<std::string, first_result> Results;
  std::map<std::uint64_t, std::string> AcceptedBy;
  std::map<std::string, std::uint64_t> LargestEpochs;
  std::map<std::string, tracked_key> Keys;
  std::int64_t KeyClockMs = 0;
  observed_state Before;
  std::uint64_t Accepted = 0, Refused = 0, Resent = 0;
};

} // namespace lycheetrestle::fleet

#endif
