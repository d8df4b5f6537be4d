#include "ctl/wait_command.h"

#include "core/clock.h"
#include "ctl/arguments.h"
#include "ctl/printable.h"

#include <nlohmann/json.hpp>

#include <algorithm>
#include <ostream>
#include <thread>

namespace lycheetrestle::ctl {

namespace {

// Entries learn of a change within a heartbeat round of 100 ms.
constexpr std::chrono::milliseconds PollPeriod{100};
constexpr std::chrono::milliseconds ShortestCall{500};

std::string progressLine(std::uint64_t Number, const force_progress &Progress) {
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

std::optional<force_progress> readProgress(std::string_view Body) {
  auto Status = nlohmann::json::parse(Body, nullptr, false);
  try {
    const auto &InForce = Status.at("in_force");
    force_progress Progress;
    Progress.Accepted = Status.at("declaration_number");
    Progress.InForce = InForce.at("number");
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
  std::string Shown;
  while (true) {
    // At least one answer is awaited even when the wait is nearly over.
    auto Left = std::chrono::duration_cast<std::chrono::milliseconds>(
        Deadline - core::boot_clock::now());
    auto Outcome =
        Context.Client->read("/v1/status", std::max(Left, ShortestCall));
    std::string Line;
    if (Outcome.Code == exit_code::Done) {
      auto Progress = readProgress(Outcome.Body);
      if (!Progress) {
        Context.Err << "error: the status of the replica does not say what is "
                       "in force\n";
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
    if (Line != Shown)
      Context.Err << Line << std::endl;
    Shown = Line;
    if (core::boot_clock::now() >= Deadline) {
      Context.Err << "error: declaration " << Number
                  << " was not in force when the wait ended\n";
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
