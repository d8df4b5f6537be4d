#ifndef LYCHEETRESTLE_TESTS_SCHEDULING_SINGLE_SCHEDULER_H
#define LYCHEETRESTLE_TESTS_SCHEDULING_SINGLE_SCHEDULER_H

#include "scheduling/schedule_node.h"

#include <chrono>
#include <cstdint>
#include <map>
#include <utility>
#include <variant>
#include <vector>

namespace lycheetrestle::scheduling::test {

/// The only scheduler of its cluster; its writes finish immediately.
class single_scheduler {
public:
  single_scheduler() : Node(makeNode()) {
    while (!Node.isLeading())
      advance();
  }

  void call(call_body Body) {
    Node.handle({++LastCall, std::move(Body)}, Now);
    advance();
    advance();
  }

  /// \returns the reply to the call.
  reply ask(call_body Body) {
    call(std::move(Body));
    return Replies.at(LastCall);
  }

  /// Sends the heartbeat of an incarnation that answers probes, and commits.
  void restart(const endpoint_heartbeat &Heartbeat) {
    AnsweredMs = Heartbeat.Facts.IncarnationMs;
    call(heartbeat_call{Heartbeat});
    advance();
  }

  /// Lets half a second pass.
  void wait() {
    for (int Round = 0; Round != 10; ++Round)
      advance();
  }

  core::time_point now() const { return Now; }

private:
  // Declared before Node, whose construction uses them.
  core::metrics_registry Metrics;
  core::time_point Now{std::chrono::seconds(1)};
  std::uint64_t LastCall = 0;
  std::map<std::uint64_t, reply> Replies; ///< By call.
  std::uint64_t AnsweredMs = 0; ///< Incarnation in the answers to probes.
  /// Ids of orders, with the endpoint.
  std::vector<std::pair<std::uint64_t, std::uint32_t>> UnansweredOrders;

public:
  schedule_node Node;

private:
  schedule_node makeNode() {
    scheduler_settings Settings;
    Settings.Address = "10.0.0.1";
    replication::replica_id Self{"10.0.0.1", 1};
    replication::membership Initial;
    Initial.Members.push_back({Self, true});
    return {Settings, Self, {}, Initial, Metrics, Now};
  }

  void advance() {
    Now += std::chrono::milliseconds(50);
    Node.tick(Now);
    auto Actions = Node.takeActions(Now);
    for (const auto &Write : Actions.Writes)
      Node.stored(Write.Ticket, Now);
    for (const auto &Reply : Actions.Replies)
      Replies[Reply.Id] = Reply;
    endpoint_answer Answer;
    Answer.Verdict = endpoint_verdict::Accepted;
    auto Accepted = Answer;
    Answer.IncarnationMs = AnsweredMs;
    // Orders to recorded endpoints get no answer, but for starts: a run with an
    // unanswered one would wait for a later incarnation.
    for (const auto &Order : Actions.Orders)
      if (Node.state().endpoints().count(Order.Endpoint) == 0)
        Node.orderFinished({Order.Id, Answer}, Now);
      else if (std::holds_alternative<start_order>(Order.Body))
        Node.orderFinished({Order.Id, Accepted}, Now);
      else
        UnansweredOrders.emplace_back(Order.Id, Order.Endpoint);
    refuseConnections();
  }

  /// Nothing listens at the address of an endpoint that has deregistered.
  void refuseConnections() {
    std::erase_if(UnansweredOrders, [this](const auto &Item) {
      auto Endpoint = Node.state().endpoints().find(Item.second);
      if (Endpoint == Node.state().endpoints().end() ||
          !Endpoint->second.HasDeregistered)
        return false;
      Node.orderFinished(
          {Item.first, no_answer{false, "connection refused", false, true}},
          Now);
      return true;
    });
  }
};

} // namespace lycheetrestle::scheduling::test

#endif
