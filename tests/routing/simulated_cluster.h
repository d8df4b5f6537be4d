#ifndef LYCHEETRESTLE_TESTS_ROUTING_SIMULATED_CLUSTER_H
#define LYCHEETRESTLE_TESTS_ROUTING_SIMULATED_CLUSTER_H

#include "fake_control.h"
#include "routing/entry_router.h"

#include <functional>
#include <map>
#include <memory>
#include <random>
#include <set>
#include <string>
#include <vector>

namespace lycheetrestle::routing::test {

/// Runs events on a virtual clock, ordered by time, then by insertion.
class virtual_clock {
public:
  core::time_point now() const { return Now; }
  void after(core::duration Delay, std::function<void()> Event) {
    Events.emplace(Now + Delay, std::move(Event));
  }
  void runUntil(core::time_point End);

private:
  core::time_point Now{std::chrono::seconds(1000)};
  std::multimap<core::time_point, std::function<void()>> Events;
};

/// A simulated cluster with fault injection: several routers, fake control,
/// fake endpoints and callers, connected by links that lose, delay and cut
/// messages. Throws std::logic_error when a guarantee is violated.
class simulated_cluster {
public:
  explicit simulated_cluster(std::uint64_t Seed);
  /// Runs load with faults, then load without faults, and checks that all state
  /// drains.
  void run();

  std::uint64_t executed() const { return Executions.size(); }
  std::uint64_t refusedByEndpoints() const { return SlotOverflows; }
  std::string summary() const;

private:
  struct entry {
    std::string Name;
    std::uint64_t Incarnation = 0;
    std::unique_ptr<core::metrics_registry> Metrics;
    std::unique_ptr<entry_router> Router; ///< Null while it is stopped.
    bool IsFrozen = false;
    bool IsStopping = false;
    std::vector<std::function<void(entry_router &)>> Backlog;
    std::uint64_t LastIndex = 0;
    std::optional<core::time_point> IsolatedSince;
  };
  struct link {
    bool IsCut = false;
    bool IsUp = false;
    std::uint64_t Epoch = 0;
    core::time_point LastArrival[2];
  };
  enum class endpoint_state { Ready, Leaving, Stopped };
  struct endpoint {
    std::string Name, Host, Service, Address;
    endpoint_state State = endpoint_state::Ready;
    std::uint64_t Incarnation = 1;
    std::uint64_t Sequence = 0;
    std::uint32_t Active = 0;
    core::time_point LastReady; ///< Send time of the last ready announcement.
    std::optional<core::time_point> LeftAt;
  };
  enum class request_kind { Keyed, Post, Get };
  struct submission {
    request_kind Kind = request_kind::Get;
    std::string Correlation, Key, Entry, Service;
    std::uint64_t Incarnation = 0;
    int Try = 0;
    int Responses = 0;
    bool IsLost = false; ///< The caller disconnected or the entry stopped.
    caller_response Response;
  };
  struct execution {
    std::string Correlation, Key, Body;
  };

  // Time, randomness and processes.
  std::uint64_t randomBelow(std::uint64_t Bound) { return Random() % Bound; }
  bool randomChance(double Probability);
  core::duration randomMilliseconds(std::uint64_t Low, std::uint64_t High);
  /// Throws std::logic_error with the current time unless Holds.
  void require(bool Holds, const std::string &Violation) const;
  /// Passes an event to an entry, or queues it while the entry is frozen.
  void deliver(const std::string &Name,
               std::function<void(entry_router &)> Event);
  void processOutput(entry &Entry);
  void startEntry(entry &Entry);
  void stopEntry(entry &Entry);
  void tickEntries();
  void checkEntry(entry &Entry);
  std::uint64_t viewIndex(const entry_router &Router) const;

  // Links.
  link &linkOf(const std::string &Left, const std::string &Right);
  bool isAlive(const std::string &Name) const;
  void refreshLinks();
  void send(const std::string &From, const std::string &To,
            const message &Message);
  void cut(const std::string &Left, const std::string &Right,
           core::duration Length);
  void isolate(const std::string &Name, core::duration Length);

  // Control.
  void onControlMessage(const std::string &To, const std::string &From,
                        const message &Message);
  template <typename Command>
  void commit(const std::string &To, const std::string &From,
              const Command &Key);

  // Endpoints.
  void announceLoop(std::size_t Index);
  void dispatch(const entry &Entry, const upstream_request &Attempt);
  void execute(const std::string &Name, std::uint64_t Incarnation,
               const upstream_request &Attempt, endpoint &Endpoint);
  void result(const std::string &Name, std::uint64_t Incarnation,
              upstream_result Result, core::duration Delay);
  void replaceEndpoint(endpoint &Endpoint);

  // Callers.
  void callLoop(core::time_point Until);
  void submit(submission Submission);
  void onResponse(const caller_response &Response);
  void resend(const submission &Failed);

  // Faults and checks.
  void faultLoop(core::time_point Until);
  void stopWhenIdle(const std::string &Name, std::uint64_t Incarnation,
                    core::time_point Until);
  std::size_t countLost() const;
  /// Ends all faults and starts the stopped entries.
  void clearFaults();
  void checkEnd();

  std::mt19937_64 Random;
  virtual_clock Clock;
  fake_control Control;
  std::string Leader;
  std::uint64_t Term = 1;
  bool HasMajority = true;
  std::map<std::string, entry> Entries;
  std::vector<std::string> Processes;
  std::map<std::pair<std::string, std::string>, link> Links;
  std::vector<endpoint> Endpoints;
  std::map<std::uint64_t, submission> Submissions; ///< By caller id.
  std::vector<execution> Executions;
  std::uint64_t NextId = 0;
  std::uint64_t SlotOverflows = 0;
  double LossProbability = 0;
  bool AreFaultsOn = true;
  /// Every request from this id on must run.
  std::uint64_t FirstFaultFreeId = UINT64_MAX;
};

} // namespace lycheetrestle::routing::test

#endif
