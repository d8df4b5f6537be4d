#include "fleet/fleet_state.h"

#include "core/checksum.h"
#include "core/invariant.h"
#include "fleet/fields.h"
#include "fleet/flat_writer.h"
#include "fleet/rules.h"
#include "fleet/snapshot.h"

#include <algorithm>
#include <type_traits>
#include <utility>

namespace lycheetrestle::fleet {

namespace {

constexpr std::size_t MaxOriginBytes = 128;
constexpr std::int64_t MaxKeyClockStepMs = 60 * 1000;

template <typename Type>
constexpr bool IsKeyCommand =
    std::is_same_v<Type, reserve_key> || std::is_same_v<Type, complete_key> ||
    std::is_same_v<Type, abandon_key>;

bool isKeyCommand(const command_body &Body) {
  return std::visit(
      [](const auto &Value) {
        return IsKeyCommand<std::decay_t<decltype(Value)>>;
      },
      Body);
}

/// Kind and object of a command for the audit trail.
struct audit_subject {
  std::string_view Kind;
  std::string Object;
};

audit_subject auditSubject(const command_body &Body) {
  return std::visit(
      [](const auto &Value) -> audit_subject {
        using type = std::decay_t<decltype(Value)>;
        if constexpr (std::is_same_v<type, submit_declaration>)
          return {"declaration", std::to_string(Value.Declaration.Number)};
        else if constexpr (std::is_same_v<type, submit_job>)
          return {"job", ""};
        else if constexpr (std::is_same_v<type, start_wave>)
          return {"wave", ""};
        else if constexpr (requires { Value.Job; })
          return {"job", std::to_string(Value.Job)};
        else if constexpr (requires { Value.Host; })
          return {"host", Value.Host};
        else if constexpr (requires { Value.Wave; })
          return {"wave", std::to_string(Value.Wave)};
        else
          return {"key", Value.Key};
      },
      Body);
}

/// Digest of actor and body, which distinguishes a resend from another command
/// under the same submission.
std::uint64_t digestOf(const command &Command) {
  flat_writer Writer;
  Writer(Command.Actor, static_cast<std::uint32_t>(Command.Body.index()));
  std::visit([&](const auto &Body) { Writer(Body); }, Command.Body);
  return core::stableHash(Writer.take());
}

std::optional<core::failure> checkOrigin(const command &Command) {
  if (Command.Submission.size() > MaxOriginBytes)
    return refuse(core::error_code::BadInput, "must have at most 128 bytes",
                  "submission", std::to_string(Command.Submission.size()));
  if (Command.Actor.size() > MaxOriginBytes)
    return refuse(core::error_code::BadInput, "must have at most 128 bytes",
                  "actor", std::to_string(Command.Actor.size()));
  return std::nullopt;
}

/// Versions and identifiers that no command may decrease.
struct monotonic_counters {
  explicit monotonic_counters(const state_data &State)
      : View(State.ViewIndex), Declaration(State.DeclarationIndex),
        Number(State.Current->Number), NextJob(State.NextJob),
        NextWave(State.NextWave) {}
  bool operator<=(const monotonic_counters &Other) const {
    return View <= Other.View && Declaration <= Other.Declaration &&
           Number <= Other.Number && NextJob <= Other.NextJob &&
           NextWave <= Other.NextWave;
  }
  std::uint64_t View, Declaration, Number, NextJob, NextWave;
};

void checkHostCounts(const state_data &State) {
  std::size_t Hosts = 0;
  for (const auto &[Name, Pool] : State.Pools)
    Hosts += Pool.Hosts;
  core::checkInvariant(Hosts == State.Hosts.size(),
                       "every host belongs to exactly one pool");
}

} // namespace

class fleet_state::implementation {
public:
  state_data State;

  apply_result apply(const command &Command, std::uint64_t Index);

private:
  void advanceTime(std::int64_t StampMs);
  /// Applies the rules of the command and audits it.
  apply_result run(const command &Command, std::uint64_t Index);
  void audit(const command &Command, std::uint64_t Index,
             const change_outcome &Outcome);
};

void fleet_state::implementation::audit(const command &Command,
                                        std::uint64_t Index,
                                        const change_outcome &Outcome) {
  auto Subject = auditSubject(Command.Body);
  audit_record Record;
  Record.Index = Index;
  Record.TimeMs = State.TimeMs;
  Record.Actor = Command.Actor;
  Record.Kind = Subject.Kind;
  Record.Object = Subject.Object;
  if (const auto *Change = std::get_if<change>(&Outcome)) {
    if (!Change->Object.empty())
      Record.Object = Change->Object;
    Record.Before = Change->Before;
    Record.After = Change->After;
    Record.Result = "accepted";
  } else {
    Record.Result = core::toString(std::get<core::failure>(Outcome).Code);
  }
  State.Audit.add(std::move(Record));
}

apply_result fleet_state::implementation::run(const command &Command,
                                              std::uint64_t Index) {
  origin From{Command.Submission, Command.Actor, Index};
  change_outcome Outcome =
      std::visit([&](const auto &Body) { return applyTo(State, Body, From); },
                 Command.Body);
  const auto *Change = std::get_if<change>(&Outcome);
  if (!isKeyCommand(Command.Body) && !(Change && Change->Routine))
    audit(Command, Index, Outcome);
  if (Change)
    return {std::nullopt, Change->Response};
  return {std::get<core::failure>(Outcome), ""};
}

void fleet_state::implementation::advanceTime(std::int64_t StampMs) {
  if (StampMs <= State.TimeMs)
    return;
  // A longer step comes from an idle cluster or a wrong clock. Counting it as
  // one minute only retains keys longer.
  State.KeyClockMs += std::min(StampMs - State.TimeMs, MaxKeyClockStepMs);
  State.TimeMs = StampMs;
}

apply_result fleet_state::implementation::apply(const command &Command,
                                                std::uint64_t Index) {
  core::checkInvariant(Index > State.AppliedIndex, "log indexes increase");
  State.AppliedIndex = Index;
  advanceTime(Command.TimeMs);
  State.Keys.expire(State.KeyClockMs);

  if (auto Failure = checkOrigin(Command)) {
    audit(Command, Index, *Failure);
    return {*Failure, ""};
  }
  if (isKeyCommand(Command.Body))
    return run(Command, Index);

  monotonic_counters Before(State);
  if (Command.Submission.empty()) {
    auto Result = run(Command, Index);
    checkHostCounts(State);
    core::checkInvariant(Before <= monotonic_counters(State),
                         "no version or identifier decreases");
    return Result;
  }
  auto Digest = digestOf(Command);
  if (const auto *Earlier = State.Submissions.find(Command.Submission)) {
    if (Earlier->CommandDigest == Digest)
      return Earlier->Result;
    auto Failure = refuse(core::error_code::Conflict,
                          "the submission was already used by actor " +
                              Earlier->Actor + " for another command",
                          "submission", Command.Submission);
    audit(Command, Index, Failure);
    return {Failure, ""};
  }
  auto Result = run(Command, Index);
  State.Submissions.add(Command.Submission, {Digest, Command.Actor, Result});
  checkHostCounts(State);
  core::checkInvariant(Before <= monotonic_counters(State),
                       "no version or identifier decreases");
  return Result;
}

fleet_state::fleet_state() : Impl(std::make_unique<implementation>()) {}
fleet_state::~fleet_state() = default;
fleet_state::fleet_state(fleet_state &&) noexcept = default;
fleet_state &fleet_state::operator=(fleet_state &&) noexcept = default;

apply_result fleet_state::apply(const command &Command, std::uint64_t Index) {
  return Impl->apply(Command, Index);
}

std::optional<core::failure>
fleet_state::checkSubmission(const declaration &Next) const {
  return checkAgainst(Impl->State, Next);
}

std::string fleet_state::snapshot() const { return writeSnapshot(Impl->State); }

core::result<fleet_state> fleet_state::restore(std::string_view Bytes) {
  auto State = readSnapshot(Bytes);
  if (!State)
    return core::fail({core::error_code::Corrupt,
                       "the bytes are not a snapshot of the fleet state", "",
                       "", core::verdict::NotRun});
  fleet_state Restored;
  Restored.Impl->State = std::move(*State);
  return Restored;
}

std::uint64_t fleet_state::digest() const {
  return core::stableHash(snapshot());
}

std::uint64_t fleet_state::appliedIndex() const {
  return Impl->State.AppliedIndex;
}

std::int64_t fleet_state::timeMs() const { return Impl->State.TimeMs; }

std::uint64_t fleet_state::viewIndex() const { return Impl->State.ViewIndex; }

std::uint64_t fleet_state::declarationIndex() const {
  return Impl->State.DeclarationIndex;
}

const declaration &fleet_state::currentDeclaration() const {
  return *Impl->State.Current;
}

std::vector<std::uint64_t> fleet_state::declarationNumbers() const {
  std::vector<std::uint64_t> Numbers;
  for (const auto &[Number, Entry] : Impl->State.History)
    Numbers.push_back(Number);
  return Numbers;
}

std::optional<declaration>
fleet_state::declarationByNumber(std::uint64_t Number) const {
  auto Found = Impl->State.History.find(Number);
  if (Found == Impl->State.History.end() || !Found->second.Body)
    return std::nullopt;
  return *Found->second.Body;
}

const std::map<std::string, host_record, std::less<>> &
fleet_state::hosts() const {
  return Impl->State.Hosts;
}

std::vector<pool_summary> fleet_state::pools() const {
  std::vector<pool_summary> Summaries;
  for (const auto &[Name, Pool] : Impl->State.Pools)
    Summaries.push_back(
        {Name, Pool.Hosts, Pool.HomeHosts, Pool.Available, Pool.minimum()});
  return Summaries;
}

const std::map<std::uint64_t, wave_record> &fleet_state::waves() const {
  return Impl->State.Waves;
}

const std::map<std::uint64_t, job_record> &fleet_state::jobs() const {
  return Impl->State.Jobs;
}

key_record fleet_state::findKey(std::string_view Key) const {
  return Impl->State.Keys.find(Key);
}

std::size_t fleet_state::keyCount() const { return Impl->State.Keys.size(); }

std::vector<audit_record> fleet_state::audit(const audit_filter &Filter) const {
  return Impl->State.Audit.find(Filter);
}

std::optional<apply_result>
fleet_state::findSubmission(std::string_view Submission) const {
  const auto *Entry = Impl->State.Submissions.find(Submission);
  if (!Entry)
    return std::nullopt;
  return Entry->Result;
}

} // namespace lycheetrestle::fleet
