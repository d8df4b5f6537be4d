#include "ctl/wait_command.h"

#include "core/clock.h"
#include "ctl/arguments.h"
#include "ctl/printable.h"
#include "ctl/reply_document.h"

#include <nlohmann/json.hpp>

#include <algorithm>
#include <ostream>
#include <thread>

namespace lycheetrestle::ctl {

namespace {

// Entries receive a change within a heartbeat round of 100 ms, so polling more
// often gains nothing.
constexpr std::chrono::milliseconds PollPeriod{100};
constexpr std::chrono::milliseconds MinStatusTimeout{500};

std::string progressLine(std::uint64_t Number,
                         const rollout_progress &Progress) {
  std::string Line = "declaration " + std::to_string(Number);
  if (Progress.Accepted < Number)
    return Line + " is not accepted yet; the newest is " +
           std::to_string(Progress.Accepted);
  Line += " is not in force yet";
  if (!Progress.Waiting.empty())
    Line += "; waiting for " + Progress.Waiting;
  return Line;
}

} // namespace

std::optional<rollout_progress> readRolloutProgress(std::string_view Body) {
  auto Status = parseReply(Body);
  try {
    const auto &InForce = Status.at("in_force");
    rollout_progress Progress;
    // Other numbers must not be converted: -1 is not the largest number.
    const auto &Accepted = Status.at("declaration_number");
    const auto &Number = InForce.at("number");
    if (!Accepted.is_number_unsigned() || !Number.is_number_unsigned())
      return std::nullopt;
    Progress.Accepted = Accepted.get<std::uint64_t>();
    Progress.InForce = Number.get<std::uint64_t>();
    for (const auto &Entry : InForce.at("waiting"))
      Progress.Waiting += (Progress.Waiting.empty() ? "" : ", ") +
                          printable(Entry.get<std::string>());
    return Progress;
  } catch (const nlohmann::json::exception &) {
    return std::nullopt;
  }
}

exit_code waitUntilInForce(const command_context &Context,
                           std::uint64_t Number) {
  const auto Deadline = core::boot_clock::now() + Context.Options.WaitTimeout;
  std::string LastLine;
  while (true) {
    // Near the end of the wait, a status call still gets MinStatusTimeout, so
    // that at least one reply is read.
    auto Remaining = std::chrono::duration_cast<std::chrono::milliseconds>(
        Deadline - core::boot_clock::now());
    auto Outcome = Context.Client->read("/v1/status",
                                        std::max(Remaining, MinStatusTimeout));
    std::string Line;
    if (Outcome.Code == exit_code::Done) {
      auto Progress = readRolloutProgress(Outcome.Body);
      if (!Progress) {
        Context.Err << "error: the status of the replica lacks a valid "
                       "declaration_number or in_force\n";
        return exit_code::Unavailable;
      }
      if (Progress->InForce >= Number) {
        Context.Err << "declaration " << Number << " is in force\n";
        return exit_code::Done;
      }
      Line = progressLine(Number, *Progress);
    } else {
      Line = "no status: " + printable(Outcome.Problem);
    }
    if (Line != LastLine)
      Context.Err << Line << std::endl;
    LastLine = Line;
    if (core::boot_clock::now() >= Deadline) {
      Context.Err << "error: declaration " << Number
                  << " was not in force when the wait ended after "
                  << Context.Options.WaitTimeout.count() << " ms\n";
      return exit_code::TimedOut;
    }
    std::this_thread::sleep_for(PollPeriod);
  }
}

exit_code waitCommand(const command_context &Context) {
  auto Number = parseNumber(Context.Arguments[0]);
  if (!Number)
    return Context.rejectInput({core::error_code::BadInput,
                                "must be a whole number", "NUMBER",
                                Context.Arguments[0], core::verdict::NotRun});
  return waitUntilInForce(Context, *Number);
}

} // namespace lycheetrestle::ctl
