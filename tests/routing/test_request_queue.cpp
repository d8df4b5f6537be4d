#include "routing/request_queue.h"

#include <catch2/catch.hpp>

using namespace lycheetrestle;
using namespace lycheetrestle::routing;
using namespace std::chrono_literals;
using fleet::work_class;

namespace {

core::time_point at(core::duration Time) { return core::time_point(Time); }

waiting_request waiting(std::uint64_t Id, work_class Class,
                        core::duration Deadline = 100s,
                        std::string Holder = "e1") {
  return {std::move(Holder), Id, 1, Class, at(Deadline), {}};
}

std::string push(request_queue &Queue, waiting_request Request,
                 service_capacity Capacity = {}) {
  return Queue.push(std::move(Request), Capacity, at(0s));
}

std::optional<waiting_request> pop(request_queue &Queue) {
  return Queue.pop([](const waiting_request &) { return true; });
}

} // namespace

TEST_CASE("urgent requests come first, then the earliest deadline") {
  request_queue Queue({});
  push(Queue, waiting(1, work_class::Batch));
  push(Queue, waiting(2, work_class::Normal));
  push(Queue, waiting(3, work_class::Urgent, 9s));
  push(Queue, waiting(4, work_class::Urgent, 8s));
  std::vector<std::uint64_t> Order;
  while (auto Next = pop(Queue))
    Order.push_back(Next->RequestId);
  CHECK(Order == std::vector<std::uint64_t>{4, 3, 2, 1});
}

// Batch work must finish although urgent requests arrive all the time.
TEST_CASE("batch and normal each get one of eight grants while they wait") {
  request_queue Queue({});
  for (std::uint64_t Id = 0; Id < 800; ++Id)
    push(Queue, waiting(Id, work_class::Urgent));
  for (std::uint64_t Id = 1000; Id < 1200; ++Id) {
    push(Queue, waiting(Id, work_class::Normal));
    push(Queue, waiting(Id + 1000, work_class::Batch));
  }
  std::map<work_class, int> Grants;
  // Both reserved grants are first due at the eighth grant, so normal gets the
  // ninth.
  for (int Count = 0; Count < 801; ++Count)
    ++Grants[pop(Queue)->Class];
  CHECK(Grants[work_class::Batch] == 100);
  CHECK(Grants[work_class::Normal] == 100);
  CHECK(Grants[work_class::Urgent] == 601);
}

TEST_CASE("reserved grants do not accumulate while the class is empty") {
  request_queue Queue({});
  for (std::uint64_t Id = 0; Id < 50; ++Id)
    push(Queue, waiting(Id, work_class::Urgent));
  for (int Count = 0; Count < 20; ++Count)
    pop(Queue);
  push(Queue, waiting(100, work_class::Batch));
  for (int Count = 0; Count < 7; ++Count)
    CHECK(pop(Queue)->Class == work_class::Urgent);
  CHECK(pop(Queue)->Class == work_class::Batch);
}

TEST_CASE("every class has its own limit") {
  request_queue Queue({2, 8});
  CHECK(push(Queue, waiting(1, work_class::Batch)).empty());
  CHECK(push(Queue, waiting(2, work_class::Batch)).empty());
  CHECK(push(Queue, waiting(3, work_class::Batch)) == "queue-full");
  CHECK(push(Queue, waiting(4, work_class::Urgent)).empty());
}

TEST_CASE("a request that cannot meet its deadline is refused early") {
  request_queue Queue({});
  service_capacity Busy{100, 10, false};
  for (std::uint64_t Id = 0; Id < 100; ++Id)
    REQUIRE(push(Queue, waiting(Id, work_class::Normal), Busy).empty());
  // 101 grants at 100 ms on 10 slots take 1.01 s, and the service 0.1 s.
  CHECK(push(Queue, waiting(200, work_class::Normal, 1100ms), Busy).empty());
  request_queue Long({});
  for (std::uint64_t Id = 0; Id < 100; ++Id)
    push(Long, waiting(Id, work_class::Urgent, 1s));
  CHECK(push(Long, waiting(200, work_class::Urgent, 1100ms), Busy) ==
        "deadline-unreachable");
  CHECK(push(Long, waiting(201, work_class::Urgent, 1200ms), Busy).empty());
  // The reserved grant in eight still serves a class behind urgent requests.
  CHECK(push(Long, waiting(202, work_class::Batch, 200ms), Busy).empty());
  CHECK(push(Long, waiting(203, work_class::Batch, 150ms), Busy) ==
        "deadline-unreachable");
  // Without a measured time nothing is refused early.
  CHECK(push(Long, waiting(204, work_class::Urgent, 1100ms)).empty());
}

TEST_CASE("expired and cancelled requests leave the queue") {
  request_queue Queue({});
  push(Queue, waiting(1, work_class::Urgent, 1s));
  push(Queue, waiting(2, work_class::Batch, 2s));
  push(Queue, waiting(3, work_class::Batch, 3s));
  push(Queue, waiting(4, work_class::Batch, 4s, "e2"));
  CHECK(Queue.takeExpired(at(2s)).size() == 2);
  CHECK(Queue.cancel("e1", 3));
  CHECK_FALSE(Queue.cancel("e1", 3));
  Queue.removeHolder("e2");
  CHECK(Queue.size() == 0);
  CHECK_FALSE(pop(Queue));
  CHECK(push(Queue, waiting(5, work_class::Urgent, 0s)) == "deadline");
}

TEST_CASE("a request that cannot be placed does not block others") {
  request_queue Queue({});
  push(Queue, waiting(1, work_class::Urgent, 1s));
  push(Queue, waiting(2, work_class::Urgent, 2s));
  auto Next = Queue.pop(
      [](const waiting_request &Request) { return Request.RequestId == 2; });
  REQUIRE(Next);
  CHECK(Next->RequestId == 2);
  CHECK(Queue.contains("e1", 1));
}
