#include "scheduling/proposal_queue.h"

#include <algorithm>
#include <iterator>
#include <utility>

namespace lycheetrestle::scheduling {

bool proposal_queue::accepts(core::time_point Now) const {
  return Commands.size() < MaxCommands && wait(Now) <= MaxWait;
}

bool proposal_queue::push(command Command, std::uint64_t Call,
                          core::time_point Now) {
  if (!accepts(Now))
    return false;
  Commands.push_back({std::move(Command), Call, Now, false, ""});
  return true;
}

void proposal_queue::pushDecided(std::vector<command> Decided,
                                 core::time_point Now) {
  for (auto &Command : Decided)
    Commands.push_back({std::move(Command), 0, Now, false, ""});
  if (!Decided.empty())
    Commands.back().EndsLeaderBatch = true;
}

bool proposal_queue::encode(queued_command &Command) const {
  if (Command.Encoded.empty())
    Command.Encoded = encodeCommand(Command.Command);
  return Command.Encoded.size() <= MaxCommandBytes;
}

std::optional<queued_command> proposal_queue::takeOversized() {
  if (Commands.empty() || encode(Commands.front()))
    return std::nullopt;
  auto Oversized = std::move(Commands.front());
  Commands.pop_front();
  return Oversized;
}

std::optional<proposal> proposal_queue::take(std::int64_t TimeMs) {
  if (Commands.empty() || !encode(Commands.front()))
    return std::nullopt;
  proposal Proposal;
  std::vector<std::string_view> Encoded;
  std::size_t Bytes = 0;
  auto End = Commands.begin();
  for (; End != Commands.end() && Encoded.size() != MaxCommandsPerEntry;
       ++End) {
    // Handed back by takeOversized() once it is at the front.
    if (!encode(*End))
      break;
    Bytes += End->Encoded.size();
    if (!Encoded.empty() && Bytes > EntryBytes)
      break;
    Encoded.push_back(End->Encoded);
  }
  Proposal.Payload = encodeBatch(TimeMs, Encoded);
  Proposal.Commands.assign(std::make_move_iterator(Commands.begin()),
                           std::make_move_iterator(End));
  Commands.erase(Commands.begin(), End);
  return Proposal;
}

void proposal_queue::putBack(proposal Proposal) {
  Commands.insert(Commands.begin(),
                  std::make_move_iterator(Proposal.Commands.begin()),
                  std::make_move_iterator(Proposal.Commands.end()));
}

std::vector<queued_command> proposal_queue::takeExpired(core::duration Timeout,
                                                        core::time_point Now) {
  std::vector<queued_command> Expired;
  // Commands are in the order of their age.
  if (wait(Now) <= Timeout)
    return Expired;
  auto Kept = std::stable_partition(
      Commands.begin(), Commands.end(), [&](const queued_command &Command) {
        return Command.Call == 0 || Now - Command.Since <= Timeout;
      });
  Expired.assign(std::make_move_iterator(Kept),
                 std::make_move_iterator(Commands.end()));
  Commands.erase(Kept, Commands.end());
  return Expired;
}

std::vector<queued_command>
proposal_queue::takeIf(bool (*Predicate)(const command &)) {
  std::vector<queued_command> Taken;
  auto Kept = std::stable_partition(Commands.begin(), Commands.end(),
                                    [&](const queued_command &Command) {
                                      return !Predicate(Command.Command);
                                    });
  Taken.assign(std::make_move_iterator(Kept),
               std::make_move_iterator(Commands.end()));
  Commands.erase(Kept, Commands.end());
  return Taken;
}

std::vector<std::uint64_t> proposal_queue::clear() {
  std::vector<std::uint64_t> Calls;
  for (const auto &Command : std::exchange(Commands, {}))
    if (Command.Call != 0)
      Calls.push_back(Command.Call);
  return Calls;
}

core::duration proposal_queue::wait(core::time_point Now) const {
  return Commands.empty() ? core::duration() : Now - Commands.front().Since;
}

} // namespace lycheetrestle::scheduling
