#include "replication/raft_node.h"
#include "schedule_fixture.h"
#include "scheduling/proposal_queue.h"

#include <catch2/catch.hpp>

using namespace lycheetrestle;
using namespace lycheetrestle::scheduling;
using namespace lycheetrestle::scheduling::test;
using namespace std::chrono_literals;

namespace {

constexpr std::size_t MaxCommandBytes = 1u << 20;
constexpr core::time_point Now{10s};

submit_job submissionOf(int Number, std::size_t PayloadBytes) {
  auto Job = makeJob("j" + std::to_string(Number), {makeStep(1)});
  Job.Payload.assign(PayloadBytes, 'x');
  return submission(std::move(Job));
}

} // namespace

TEST_CASE("entries are bounded in bytes and keep the order of the commands") {
  proposal_queue Queue(MaxCommandBytes);
  for (int Number = 1; Number <= 300; ++Number)
    REQUIRE(Queue.push(submissionOf(Number, 4000),
                       static_cast<std::uint64_t>(Number), Now));
  std::uint64_t Expected = 0;
  int Entries = 0;
  while (auto Proposal = Queue.take(5)) {
    ++Entries;
    CHECK(Proposal->Payload.size() <= proposal_queue::EntryBytes + 100);
    auto Batch = decodeBatch(Proposal->Payload);
    REQUIRE(Batch);
    CHECK(Batch->TimeMs == 5);
    REQUIRE(Batch->Commands.size() == Proposal->Commands.size());
    for (std::size_t Index = 0; Index != Batch->Commands.size(); ++Index) {
      CHECK(Proposal->Commands[Index].Call == ++Expected);
      CHECK(Batch->Commands[Index] == Proposal->Commands[Index].Command);
    }
  }
  CHECK(Expected == 300);
  CHECK(Entries > 4);
}

TEST_CASE("a command larger than an entry gets one of its own, and one that "
          "the log can never accept is handed back") {
  proposal_queue Queue(MaxCommandBytes);
  Queue.push(submissionOf(1, 2 * proposal_queue::EntryBytes), 1, Now);
  Queue.push(submissionOf(2, MaxCommandBytes), 2, Now);
  Queue.push(submissionOf(3, 1), 3, Now);
  CHECK(!Queue.takeOversized());
  CHECK(Queue.take(0)->Commands.size() == 1);
  auto Oversized = Queue.takeOversized();
  REQUIRE(Oversized);
  CHECK(Oversized->Call == 2);
  CHECK(!Queue.takeOversized());
  CHECK(Queue.take(0)->Commands.front().Call == 3);
  CHECK(Queue.empty());
}

TEST_CASE("a proposal that the log did not accept keeps its place") {
  proposal_queue Queue(MaxCommandBytes);
  Queue.push(submissionOf(1, 1), 1, Now);
  Queue.pushDecided({open_occurrence{"j1", 0}, open_occurrence{"j1", 1}}, Now);
  auto Proposal = Queue.take(1);
  Queue.push(submissionOf(2, 1), 2, Now);
  Queue.putBack(std::move(*Proposal));
  Proposal = Queue.take(2);
  REQUIRE(Proposal->Commands.size() == 4);
  CHECK(Proposal->Commands[0].Call == 0);
  CHECK(!Proposal->Commands[0].EndsLeaderBatch);
  CHECK(Proposal->Commands[1].Call == 0);
  CHECK(Proposal->Commands[1].EndsLeaderBatch);
  CHECK(Proposal->Commands[2].Call == 1);
  CHECK(Proposal->Commands[3].Call == 2);
}

TEST_CASE("decisions of the leader do not wait for queued changes") {
  proposal_queue Queue(MaxCommandBytes);
  for (int Number = 1; Number <= 5; ++Number)
    Queue.push(submissionOf(Number, proposal_queue::EntryBytes),
               static_cast<std::uint64_t>(Number), Now);
  Queue.pushDecided({open_occurrence{"j1", 0}, open_occurrence{"j1", 1}},
                    Now + 500ms);
  CHECK(Queue.wait(Now + 600ms) == 600ms);
  auto Proposal = Queue.take(0);
  REQUIRE(Proposal);
  REQUIRE(Proposal->Commands.size() == 2);
  CHECK(Proposal->Commands[1].EndsLeaderBatch);
  for (std::uint64_t Call = 1; Call <= 5; ++Call) {
    Proposal = Queue.take(0);
    REQUIRE(Proposal);
    REQUIRE(Proposal->Commands.size() == 1);
    CHECK(Proposal->Commands[0].Call == Call);
  }
  CHECK(Queue.empty());
}

TEST_CASE("calls that wait too long are removed, decisions of the leader are "
          "kept, and new calls are refused meanwhile") {
  proposal_queue Queue(MaxCommandBytes);
  Queue.push(submissionOf(1, 1), 1, Now);
  Queue.pushDecided({open_occurrence{"j1", 0}}, Now);
  auto Later = Now + proposal_queue::MaxWait;
  REQUIRE(Queue.push(submissionOf(2, 1), 2, Later));
  CHECK(!Queue.push(submissionOf(3, 1), 3, Later + 1ms));
  CHECK(Queue.takeExpired(2s, Now + 2s).empty());
  auto Expired = Queue.takeExpired(2s, Now + 2s + 1ms);
  REQUIRE(Expired.size() == 1);
  CHECK(Expired[0].Call == 1);
  CHECK(Queue.size() == 2);
  CHECK(Queue.clear() == std::vector<std::uint64_t>{2});
}

TEST_CASE("every entry that is proposed can be decoded by a replica, and what "
          "cannot be is handed back") {
  proposal_queue Queue(replication::MaxEntryBytes);
  std::size_t Proposed = 0;
  std::size_t Refused = 0;
  std::uint64_t Version = 1;
  auto Propose = [&](command Command) {
    bool IsQueued = Queue.push(std::move(Command), 1, Now);
    REQUIRE(IsQueued);
    if (Queue.takeOversized()) {
      ++Refused;
      return;
    }
    auto Proposal = Queue.take(0);
    REQUIRE(Proposal);
    auto Batch = decodeBatch(Proposal->Payload);
    REQUIRE(Batch);
    CHECK(Batch->Commands.front() == Proposal->Commands.front().Command);
    ++Proposed;
  };
  for (std::size_t Bytes : {1u << 19, 1u << 20, (1u << 20) + 1, 3u << 20,
                            (4u << 20) - (1u << 17), 4u << 20, 5u << 20}) {
    auto Configuration = makeConfiguration(++Version);
    Configuration.Text.assign(Bytes, 'x');
    Propose(set_configuration{std::move(Configuration)});
  }
  CHECK(Proposed == 5);
  CHECK(Refused == 2);
  for (std::size_t Queues : {19'000u, 21'000u, 150'000u}) {
    auto Configuration = makeConfiguration(++Version);
    Configuration.Queues.resize(Queues, Configuration.Queues.front());
    Propose(set_configuration{std::move(Configuration)});
  }
  CHECK(Refused == 3);
  for (std::size_t Bytes : {4096u, 4097u, 2u << 20})
    Propose(
        end_run{{"j", 0, 0, 0}, 1, run_end::Stopped, std::string(Bytes, 'c')});
  CHECK(Proposed == 10);
  CHECK(Refused == 3);
}
