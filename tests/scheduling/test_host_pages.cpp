#include "schedule_fixture.h"
#include "scheduling/leader.h"

#include <catch2/catch.hpp>

#include <algorithm>
#include <optional>

using namespace lycheetrestle;
using namespace lycheetrestle::scheduling;
using namespace lycheetrestle::scheduling::test;
using namespace std::chrono_literals;

namespace {

/// A leader with endpoint e1, and a platform whose pages the test gives.
class paged_site {
public:
  paged_site() {
    State.apply(set_configuration{makeConfiguration(1)}, 0);
    leader_settings Settings;
    Settings.HasPlatform = true;
    Leader.emplace(Settings, 5, State, Metrics, Now);
    apply(record_endpoint{makeEndpoint("e1")});
    apply(record_endpoint{makeEndpoint("e2")});
  }

  /// Simulates the given time in steps of 50 ms.
  /// \param Answer gives the answer to a request for a page.
  template <typename Callable>
  void run(core::duration Time, Callable &&Answer) {
    for (auto End = Now + Time; Now < End; Now += 50ms) {
      for (const char *Id : {"e1", "e2"}) {
        endpoint_heartbeat Heartbeat;
        Heartbeat.Facts = makeEndpoint(Id);
        Heartbeat.Sequence = ++Sequence;
        Heartbeat.ClockMs = Sequence;
        Leader->recordHeartbeat(Heartbeat, Now);
      }
      for (const auto &Command : Leader->takeCommands(Now, 1000))
        apply(Command);
      for (const auto &Order : Leader->takeOrders(Now))
        if (const auto *List = std::get_if<list_hosts_order>(&Order.Body)) {
          Tokens.push_back(List->PageToken);
          Leader->finishOrder({Order.Id, Answer(List->PageToken)}, Now);
        } else {
          endpoint_answer Accepted;
          Accepted.Verdict = endpoint_verdict::Accepted;
          Accepted.ClockMs = Sequence;
          Leader->finishOrder({Order.Id, Accepted}, Now);
        }
    }
  }
  std::string hostOf(const std::string &Id) const {
    const auto *Endpoint = State.findEndpoint(Id);
    return Endpoint ? Endpoint->Host : "ended";
  }
  std::size_t lists() const {
    return static_cast<std::size_t>(
        std::count(Tokens.begin(), Tokens.end(), ""));
  }

  std::vector<std::string> Tokens; ///< Of each page that was requested.

private:
  void apply(const command &Command) {
    auto Outcome = State.apply(Command, 1000);
    if (Leader)
      Leader->recordApplied(Command, Outcome, Now);
  }

  schedule_state State;
  core::metrics_registry Metrics;
  core::time_point Now{1000s};
  std::uint64_t Sequence = 0;
  std::optional<leader> Leader;
};

host_row hostRow(std::string Name, std::string EndpointId) {
  host_row Row;
  Row.Name = std::move(Name);
  Row.Pool = "a";
  Row.State = host_state::Up;
  Row.Capacity = {8000, 10'000, 0};
  Row.EndpointId = std::move(EndpointId);
  return Row;
}

hosts_answer page(std::vector<host_row> Rows, std::string NextToken) {
  hosts_answer Page;
  Page.Hosts = std::move(Rows);
  Page.NextToken = std::move(NextToken);
  return Page;
}

} // namespace

// Guards against a list that is never complete, so that its hosts are never
// known, and against a call in each round.
TEST_CASE("page tokens that repeat end the list with the rows received") {
  paged_site Site;
  Site.run(30s, [](const std::string &Token) -> order_answer {
    if (Token.empty())
      return page({hostRow("h1", "e1")}, "a");
    return page({hostRow("h2", "e2")}, Token == "a" ? "b" : "a");
  });
  CHECK(Site.hostOf("e1") == "h1");
  CHECK(Site.hostOf("e2") == "h2");
  CHECK(Site.lists() >= 3);
  CHECK(Site.Tokens.size() <= 4 * Site.lists());
}

TEST_CASE("a list with ever new page tokens ends") {
  paged_site Site;
  std::size_t Pages = 0;
  Site.run(200s, [&](const std::string &Token) -> order_answer {
    if (Token.empty())
      return page({hostRow("h1", "e1")}, "t" + std::to_string(++Pages));
    return page({}, "t" + std::to_string(++Pages));
  });
  CHECK(Site.hostOf("e1") == "h1");
  CHECK(Site.lists() >= 2);
}

// Guards against a page that cannot be read, or a token that the platform no
// longer accepts, and is requested for ever.
TEST_CASE("a page that always fails ends the list with the rows received") {
  paged_site Site;
  Site.run(60s, [](const std::string &Token) -> order_answer {
    if (Token.empty())
      return page({hostRow("h1", "e1")}, "2");
    return no_answer{true, "status 400 or a malformed body"};
  });
  CHECK(Site.hostOf("e1") == "h1");
  CHECK(Site.lists() >= 3);
  // The platform charges for calls.
  CHECK(Site.Tokens.size() < 250);
}

TEST_CASE("a list is complete after an outage of the platform") {
  paged_site Site;
  auto Fail = [](const std::string &) -> order_answer {
    return no_answer{true, "timeout"};
  };
  Site.run(30s, Fail);
  Site.run(15s, [](const std::string &Token) -> order_answer {
    if (Token.empty())
      return page({hostRow("h1", "e1")}, "2");
    return page({hostRow("h2", "e2")}, "");
  });
  CHECK(Site.hostOf("e1") == "h1");
  CHECK(Site.hostOf("e2") == "h2");
}
