#include "replication/read_queue.h"

#include "replication/raft_node.h"

namespace lycheetrestle::replication {

namespace {

constexpr std::size_t MaxPendingReads = 65536;

} // namespace

bool read_queue::full() const { return Pending.size() >= MaxPendingReads; }

std::uint64_t read_queue::add() {
  Pending.push_back({NextToken, 0, 0});
  return NextToken++;
}

void read_queue::startRound(std::uint64_t Round, std::uint64_t CommitIndex) {
  for (auto Read = Pending.rbegin(); Read != Pending.rend() && Read->Round == 0;
       ++Read) {
    Read->Round = Round;
    Read->Index = CommitIndex;
  }
}

void read_queue::confirm(std::uint64_t Round,
                         std::vector<read_result> &Results) {
  while (!Pending.empty() && Pending.front().Round != 0 &&
         Pending.front().Round <= Round) {
    Results.push_back({Pending.front().Token, true, Pending.front().Index});
    Pending.pop_front();
  }
}

void read_queue::failAll(std::vector<read_result> &Results) {
  for (const pending_read &Read : Pending)
    Results.push_back({Read.Token, false, 0});
  Pending.clear();
}

} // namespace lycheetrestle::replication
