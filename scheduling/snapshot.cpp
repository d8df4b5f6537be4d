#include "core/cbor_limits.h"
#include "fleet/cbor_appender.h"
#include "scheduling/fields.h"
#include "scheduling/schedule_state.h"

#include <nlohmann/json.hpp>

#include <algorithm>

namespace lycheetrestle::scheduling {

namespace {

using fleet::log_reader;

/// Indexes of the elements of a snapshot.
enum part : std::size_t {
  TimePart,
  ConfigurationPart,
  JobsPart,
  LastEndpointPart,
  EndpointsPart,
  WavesPart,
  PartCount, ///< Of snapshots without the parts below, as in earlier versions.
  RecentCrashesPart = PartCount,
  TombstonesPart
};

/// Appends the jobs sorted by id, so that equal states have equal snapshots.
void appendJobs(fleet::cbor_appender &Appender, const job_map &Jobs) {
  std::vector<const job_record *> Sorted;
  Sorted.reserve(Jobs.size());
  for (const auto &[Id, Job] : Jobs)
    Sorted.push_back(&Job);
  std::sort(Sorted.begin(), Sorted.end(),
            [](const auto *Left, const auto *Right) {
              return Left->Spec.Id < Right->Spec.Id;
            });
  Appender.beginArray(Sorted.size());
  for (const auto *Job : Sorted)
    Appender.append(*Job);
}

template <typename Map>
void appendValues(fleet::cbor_appender &Appender, const Map &Records) {
  Appender.beginArray(Records.size());
  for (const auto &[Key, Record] : Records)
    Appender.append(Record);
}

/// \param Add called with each record of the list.
/// \returns whether the list and all its elements are well-formed.
template <typename Record, typename Callable>
bool readValues(const nlohmann::json &List, Callable &&Add) {
  if (!List.is_array())
    return false;
  for (const auto &Item : List) {
    Record Value;
    if (!log_reader::fromJson(Item, Value))
      return false;
    Add(std::move(Value));
  }
  return true;
}

} // namespace

std::string schedule_state::snapshot() const {
  std::string Bytes;
  fleet::cbor_appender Appender(Bytes);
  std::size_t Parts = PartCount;
  if (!RecentCrashes.empty())
    Parts = RecentCrashesPart + 1;
  if (!Tombstones.empty())
    Parts = TombstonesPart + 1;
  Appender.beginArray(Parts);
  Appender.append(TimeMs);
  Appender.append(Configuration);
  appendJobs(Appender, Jobs);
  Appender.append(LastEndpoint);
  appendValues(Appender, Endpoints);
  appendValues(Appender, Waves);
  if (Parts > RecentCrashesPart)
    Appender.append(RecentCrashes);
  if (Parts > TombstonesPart)
    Appender.append(Tombstones.list());
  return Bytes;
}

core::result<schedule_state> schedule_state::restore(std::string_view Bytes) {
  schedule_state State;
  auto Malformed = [] {
    return core::fail({core::error_code::Corrupt,
                       "the snapshot of the schedule is malformed", "", "",
                       core::verdict::NotRun});
  };
  auto Parsed = core::parseCbor(Bytes, fleet::MaxRecordDepth, Bytes.size());
  if (!Parsed)
    return Malformed();
  const auto &Parts = *Parsed;
  bool IsValid =
      Parts.is_array() && Parts.size() >= PartCount &&
      Parts.size() <= TombstonesPart + 1 &&
      log_reader::fromJson(Parts[TimePart], State.TimeMs) &&
      log_reader::fromJson(Parts[ConfigurationPart], State.Configuration) &&
      log_reader::fromJson(Parts[LastEndpointPart], State.LastEndpoint);
  IsValid =
      IsValid && readValues<job_record>(Parts[JobsPart], [&](job_record Job) {
        if (isOver(Job.State))
          State.EndedJobs.emplace(Job.EndedMs, Job.Spec.Id);
        else
          State.LiveJobs.emplace(Job.SubmittedMs, Job.Spec.Id);
        if (!isOver(Job.State) && Job.Spec.RepeatCount != 0)
          State.RepeatedJobs.emplace(Job.SubmittedMs, Job.Spec.Id);
        if (Job.State == job_state::Queued)
          State.PendingJobs.add(Job.QueueHost, Job.QueuePrefix);
        if (std::any_of(Job.Suspects.begin(), Job.Suspects.end(),
                        [](const suspect_record &Suspect) {
                          return Suspect.isSuspect();
                        }))
          State.SuspectJobs.insert(Job.Spec.Id);
        auto Id = Job.Spec.Id;
        State.Jobs.emplace(std::move(Id), std::move(Job));
      });
  IsValid =
      IsValid && readValues<endpoint_record>(
                     Parts[EndpointsPart], [&](endpoint_record Endpoint) {
                       auto Number = Endpoint.Number;
                       State.EndpointNumbers[Endpoint.Facts.Id] = Number;
                       State.Endpoints.emplace(Number, std::move(Endpoint));
                     });
  IsValid = IsValid &&
            readValues<wave_record>(Parts[WavesPart], [&](wave_record Wave) {
              auto Number = Wave.Wave;
              State.Waves.emplace(Number, std::move(Wave));
            });
  if (IsValid && Parts.size() > RecentCrashesPart)
    IsValid = readValues<recent_crash>(
        Parts[RecentCrashesPart],
        [&](recent_crash Crash) { State.RecentCrashes.push_back(Crash); });
  if (IsValid && Parts.size() > TombstonesPart)
    IsValid = readValues<job_tombstone>(
        Parts[TombstonesPart], [&](job_tombstone Tombstone) {
          State.Tombstones.restore(std::move(Tombstone));
        });
  if (!IsValid)
    return Malformed();
  State.Workspaces =
      workspaces::workspace_index(State.Configuration.Workspaces);
  State.rebuildUsage();
  State.assignQueueNumbers(nullptr);
  return State;
}

} // namespace lycheetrestle::scheduling
