#ifndef LYCHEETRESTLE_TESTS_ROUTING_FAKE_CONTROL_H
#define LYCHEETRESTLE_TESTS_ROUTING_FAKE_CONTROL_H

#include "core/clock.h"
#include "routing/fleet_view.h"
#include "routing/messages.h"

#include <map>
#include <optional>
#include <string>
#include <utility>
#include <vector>

namespace lycheetrestle::routing::test {

/// Fake of control's committed state as entries see it: the view and the keys.
/// The caller decides which replica leads and when a command commits.
class fake_control {
public:
  fake_control();

  /// Changes the state of a random host, or removes or adds one.
  void changeView(std::uint64_t Random);
  /// Sets every host to InService.
  void restoreView();
  view_delta deltaSince(std::uint64_t Known) const {
    return View.deltaSince(Known);
  }
  std::uint64_t index() const { return View.index(); }

  key_reply apply(const key_reserve &Command);
  key_reply apply(const key_complete &Command);
  key_reply apply(const key_abandon &Command);

  /// Records which version an entry reported.
  void onReport(const std::string &Entry, const entry_report &Report,
                std::size_t Entries, core::time_point Now);
  /// \returns the version that every serving entry must use: a majority of
  /// entries confirmed it at least PropagationBound ago.
  std::uint64_t inForce(core::time_point Now) const;

private:
  struct key_state {
    std::uint64_t Digest = 0;
    std::string Holder;
    std::optional<key_reply> Stored;
  };
  void commit(view_delta Delta);

  fleet_view View;
  std::map<std::string, host_view> Hosts;
  std::map<std::string, key_state> Keys;
  std::map<std::string, std::uint64_t> Reported;
  std::vector<std::pair<core::time_point, std::uint64_t>> Confirmed;
};

} // namespace lycheetrestle::routing::test

#endif
