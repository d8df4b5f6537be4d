#include "scheduling/proposal_queue.h"

#include <algorithm>
#include <iterator>
#include <utility>

namespace lycheetrestle::scheduling {

bool proposal_queue::accepts(core::time_point Now) const {
  return size() < MaxCommands && wait(Now) <= MaxWait;
}

bool proposal_queue::push(command Command, std::uint64_t Call,
                          core::time_point Now) {
  if (!accepts(Now))
    return false;
  Changes.push_back({std::move(Command), Call, Now, false, ""});
  return true;
}

void proposal_queue::pushDecided(std::vector<command> Commands,
                                 core::time_point Now) {
  for (auto &Command : Commands)
    Decided.push_back({std::move(Command), 0, Now, false, ""});
  if (!Commands.empty())
    Decided.back().EndsLeaderBatch = true;
}

bool proposal_queue::encode(queued_command &Command) const {
  if (Command.Encoded.empty())
    Command.Encoded = encodeCommand(Command.Command);
  return Command.Encoded.size() <= MaxCommandBytes;
}

std::optional<queued_command> proposal_queue::takeOversized() {
  if (empty() || encode(next().front()))
    return std::nullopt;
  auto Oversized = std::move(next().front());
  next().pop_front();
  return Oversized;
}

std::optional<proposal> proposal_queue::take(std::int64_t TimeMs) {
  proposal Proposal;
  std::size_t Bytes = 0;
  while (!empty() && Proposal.Commands.size() != MaxCommandsPerEntry) {
    auto &Command = next().front();
    // Handed back by takeOversized() once it is the next one.
    if (!encode(Command))
      break;
    Bytes += Command.Encoded.size();
    if (!Proposal.Commands.empty() && Bytes > EntryBytes)
      break;
    Proposal.Commands.push_back(std::move(Command));
    next().pop_front();
  }
  if (Proposal.Commands.empty())
    return std::nullopt;
  std::vector<std::string_view> Encoded;
  for (const auto &Command : Proposal.Commands)
    Encoded.push_back(Command.Encoded);
  Proposal.Payload = encodeBatch(TimeMs, Encoded);
  return Proposal;
}

void proposal_queue::putBack(proposal Proposal) {
  auto FirstChange = std::find_if(
      Proposal.Commands.begin(), Proposal.Commands.end(),
      [](const queued_command &Command) { return Command.Call != 0; });
  Decided.insert(Decided.begin(),
                 std::make_move_iterator(Proposal.Commands.begin()),
                 std::make_move_iterator(FirstChange));
  Changes.insert(Changes.begin(), std::make_move_iterator(FirstChange),
                 std::make_move_iterator(Proposal.Commands.end()));
}

std::vector<queued_command> proposal_queue::takeExpired(core::duration Timeout,
                                                        core::time_point Now) {
  auto Kept = std::find_if(Changes.begin(), Changes.end(),
                           [&](const queued_command &Command) {
                             return Now - Command.Since <= Timeout;
                           });
  std::vector<queued_command> Expired(std::make_move_iterator(Changes.begin()),
                                      std::make_move_iterator(Kept));
  Changes.erase(Changes.begin(), Kept);
  return Expired;
}

std::vector<queued_command>
proposal_queue::takeIf(bool (*Predicate)(const command &)) {
  std::vector<queued_command> Taken;
  auto Kept = std::stable_partition(Changes.begin(), Changes.end(),
                                    [&](const queued_command &Command) {
                                      return !Predicate(Command.Command);
                                    });
  Taken.assign(std::make_move_iterator(Kept),
               std::make_move_iterator(Changes.end()));
  Changes.erase(Kept, Changes.end());
  return Taken;
}

std::vector<std::uint64_t> proposal_queue::clear() {
  std::vector<std::uint64_t> Calls;
  for (const auto &Command : std::exchange(Changes, {}))
    Calls.push_back(Command.Call);
  Decided.clear();
  return Calls;
}

core::duration proposal_queue::wait(core::time_point Now) const {
  core::duration Longest{};
  for (const auto *Commands : {&Decided, &Changes})
    if (!Commands->empty())
      Longest = std::max(Longest, Now - Commands->front().Since);
  return Longest;
}

} // namespace lycheetrestle::scheduling
