#include "transport/link_events.h"

#include <catch2/catch.hpp>

#include <string>
#include <vector>

using namespace lycheetrestle;
using namespace lycheetrestle::transport;

namespace {

/// \returns the queued events as `peer:up`, `peer:down` or `peer=message`.
std::vector<std::string> take(link_events &Events) {
  std::vector<std::string> Result;
  Events.drain([&](link_event &&Event) {
    Result.push_back(Event.Bytes.empty()
                         ? Event.Peer + (Event.IsUp ? ":up" : ":down")
                         : Event.Peer + "=" + Event.Bytes);
  });
  return Result;
}

} // namespace

// Guards against a gateway that gets no status for as long as its link lasts,
// because the scheduler never learnt of the link.
TEST_CASE("a change of a link that does not fit the ring is passed on before "
          "the next message") {
  core::ring_signal Signal;
  link_events Events(2, Signal);
  CHECK(Events.addMessage("a", "1"));
  CHECK(Events.addMessage("a", "2"));
  CHECK_FALSE(Events.addMessage("a", "3"));
  CHECK_FALSE(Events.addChange("b", true));
  // Only the last state counts.
  CHECK_FALSE(Events.addChange("c", true));
  CHECK_FALSE(Events.addChange("c", false));
  CHECK(take(Events) == std::vector<std::string>{"a=1", "a=2"});
  // A message must not overtake the change of its link.
  CHECK_FALSE(Events.addMessage("b", "4"));
  CHECK(take(Events) == std::vector<std::string>{"b:up", "c:down"});
  CHECK(Events.addMessage("b", "5"));
  CHECK(take(Events) == std::vector<std::string>{"b=5"});
}
