#include "fleet/snapshot.h"

#include "fleet/cbor_sequence.h"
#include "fleet/fields.h"
#include "fleet/rules.h"

#include <algorithm>
#include <utility>
#include <vector>

namespace lycheetrestle::fleet {

namespace {

constexpr std::uint32_t FormatVersion = 1;
const std::string FormatName = "lycheetrestle-fleet";

/// The first item of a snapshot.
struct snapshot_header {
  std::string Name = FormatName;
  std::uint32_t Version = FormatVersion;
  std::uint64_t AppliedIndex = 0;
  std::int64_t TimeMs = 0, KeyClockMs = 0;
  std::uint64_t ViewIndex = 0, DeclarationIndex = 0;
  std::uint64_t NextWave = 1, NextJob = 1, RetiredEpoch = 0, NextKey = 1;
  std::uint64_t Declarations = 0, Hosts = 0, Waves = 0, Jobs = 0, Keys = 0,
                Submissions = 0, AuditRecords = 0;
};

struct declaration_item {
  std::uint64_t Number = 0;
  std::string Submission, Actor;
  std::uint64_t Index = 0;
  std::int64_t TimeMs = 0;
  std::optional<declaration> Body;
};

struct key_item {
  key_entry Entry;
  std::uint64_t BodyRank = 0; ///< From 1 for the oldest body; 0 without one.
};

struct submission_item {
  std::string Name;
  submission_entry Entry;
};

template <typename Archive, record_of<snapshot_header> Type>
void fields(Archive &A, Type &R) {
  A(R.Name, R.Version, R.AppliedIndex, R.TimeMs, R.KeyClockMs, R.ViewIndex,
    R.DeclarationIndex, R.NextWave, R.NextJob, R.RetiredEpoch, R.NextKey,
    R.Declarations, R.Hosts, R.Waves, R.Jobs, R.Keys, R.Submissions,
    R.AuditRecords);
}

template <typename Archive, record_of<declaration_item> Type>
void fields(Archive &A, Type &R) {
  A(R.Number, R.Submission, R.Actor, R.Index, R.TimeMs, R.Body);
}

template <typename Archive, record_of<key_item> Type>
void fields(Archive &A, Type &R) {
  auto &Record = R.Entry.Record;
  A(R.Entry.Key, R.Entry.Sequence, Record.Status, Record.RequestDigest,
    Record.Holder, Record.HttpStatus, Record.ContentType);
  A.bytes(Record.Body);
  A(Record.BodyDropped, Record.TimeMs, R.BodyRank);
}

template <typename Archive, record_of<submission_item> Type>
void fields(Archive &A, Type &R) {
  A(R.Name, R.Entry.CommandDigest, R.Entry.Actor, R.Entry.Result.Failure,
    R.Entry.Result.Response);
}

template <typename Record>
void appendRecord(std::string &Bytes, const Record &Value) {
  appendCbor(Bytes, cbor_writer::toJson(Value));
}

void appendKeys(std::string &Bytes, const key_table &Keys) {
  auto Order = Keys.bodyOrder();
  std::vector<std::pair<std::uint64_t, std::uint64_t>> Ranks;
  Ranks.reserve(Order.size());
  for (std::uint64_t Rank = 1; Rank <= Order.size(); ++Rank)
    Ranks.emplace_back(Order[Rank - 1], Rank);
  std::sort(Ranks.begin(), Ranks.end());
  auto At = Ranks.begin();
  Keys.forEach([&](const key_entry &Entry) {
    key_item Item{Entry, 0};
    if (At != Ranks.end() && At->first == Entry.Sequence)
      Item.BodyRank = (At++)->second;
    appendRecord(Bytes, Item);
  });
}

template <typename Record>
bool readRecord(cbor_sequence &Items, Record &Value) {
  auto Item = Items.next();
  return Item && cbor_reader::fromJson(*Item, Value);
}

bool readHeader(cbor_sequence &Items, state_data &State,
                snapshot_header &Header) {
  if (!readRecord(Items, Header) || Header.Name != FormatName ||
      Header.Version != FormatVersion)
    return false;
  if (Header.ViewIndex > Header.AppliedIndex ||
      Header.DeclarationIndex > Header.ViewIndex)
    return false;
  State.AppliedIndex = Header.AppliedIndex;
  State.TimeMs = Header.TimeMs;
  State.KeyClockMs = Header.KeyClockMs;
  State.ViewIndex = Header.ViewIndex;
  State.DeclarationIndex = Header.DeclarationIndex;
  State.NextWave = Header.NextWave;
  State.NextJob = Header.NextJob;
  State.RetiredEpoch = Header.RetiredEpoch;
  return true;
}

bool readDeclarations(cbor_sequence &Items, state_data &State,
                      std::uint64_t Count) {
  for (std::uint64_t Read = 0; Read < Count; ++Read) {
    declaration_item Item;
    if (!readRecord(Items, Item))
      return false;
    if (!State.History.empty() && State.History.rbegin()->first >= Item.Number)
      return false;
    declaration_entry Entry{Item.Submission, Item.Actor, Item.Index,
                            Item.TimeMs, nullptr};
    if (Item.Body) {
      if (Item.Body->Number != Item.Number)
        return false;
      Entry.Body = std::make_shared<const declaration>(std::move(*Item.Body));
    }
    State.History.emplace(Item.Number, std::move(Entry));
  }
  if (State.History.empty())
    return true;
  State.Current = State.History.rbegin()->second.Body;
  return State.Current && !checkDeclaration(*State.Current);
}

bool readHosts(cbor_sequence &Items, state_data &State, std::uint64_t Count) {
  if (Count != State.Current->Hosts.size())
    return false;
  for (std::uint64_t Read = 0; Read < Count; ++Read) {
    host_record Host;
    if (!readRecord(Items, Host))
      return false;
    auto IsPool = [&](const std::string &Pool) {
      return State.Pools.find(Pool) != State.Pools.end();
    };
    auto IsTarget = [&](host_goal Goal, const std::string &Pool) {
      return Goal == host_goal::Move ? IsPool(Pool) : Pool.empty();
    };
    if (!IsPool(Host.Pool) || !IsTarget(Host.Goal, Host.TargetPool) ||
        !IsTarget(Host.NextGoal, Host.NextTargetPool) || Host.Epoch == 0 ||
        Host.ChangedIndex > State.AppliedIndex)
      return false;
    State.countHost(Host);
    auto Name = Host.Spec.Name;
    if (!State.Hosts.emplace(Name, std::move(Host)).second)
      return false;
  }
  return std::all_of(State.Current->Hosts.begin(), State.Current->Hosts.end(),
                     [&](const host_spec &Spec) {
                       auto Found = State.Hosts.find(Spec.Name);
                       return Found != State.Hosts.end() &&
                              Found->second.Spec == Spec;
                     });
}

bool readWaves(cbor_sequence &Items, state_data &State, std::uint64_t Count) {
  for (std::uint64_t Read = 0; Read < Count; ++Read) {
    wave_record Wave;
    if (!readRecord(Items, Wave) || Wave.Id == 0 || Wave.Id >= State.NextWave)
      return false;
    if (Wave.State != wave_state::Finished) {
      if (State.OpenWave != 0)
        return false;
      State.OpenWave = Wave.Id;
    }
    if (!State.Waves.emplace(Wave.Id, std::move(Wave)).second)
      return false;
  }
  return true;
}

bool readJobs(cbor_sequence &Items, state_data &State, std::uint64_t Count) {
  for (std::uint64_t Read = 0; Read < Count; ++Read) {
    job_record Job;
    if (!readRecord(Items, Job) || Job.Id == 0 || Job.Id >= State.NextJob)
      return false;
    if (holdsLease(Job.State) &&
        State.Hosts.find(Job.Host) == State.Hosts.end())
      return false;
    // A use of zero marks a team without running jobs, so every job must use at
    // least one core.
    if (hasEnded(Job.State) != (Job.EndedIndex != 0) || Job.Declared.Cores == 0)
      return false;
    auto Added = State.Jobs.emplace(Job.Id, std::move(Job));
    if (!Added.second)
      return false;
    State.countJob(Added.first->second);
  }
  return true;
}

bool readKeys(cbor_sequence &Items, state_data &State, std::uint64_t Count,
              std::uint64_t NextKey) {
  std::vector<std::pair<std::uint64_t, std::uint64_t>> Ranks;
  for (std::uint64_t Read = 0; Read < Count; ++Read) {
    key_item Item;
    if (!readRecord(Items, Item))
      return false;
    if (Item.BodyRank != 0)
      Ranks.emplace_back(Item.BodyRank, Item.Entry.Sequence);
    if (!State.Keys.restoreEntry(std::move(Item.Entry)))
      return false;
  }
  std::sort(Ranks.begin(), Ranks.end());
  std::vector<std::uint64_t> Order;
  Order.reserve(Ranks.size());
  for (const auto &[Rank, Sequence] : Ranks) {
    Order.push_back(Sequence);
    if (Rank != Order.size())
      return false;
  }
  return State.Keys.restoreOrder(Order, NextKey);
}

bool readSubmissions(cbor_sequence &Items, state_data &State,
                     std::uint64_t Count) {
  if (Count > submission_table::MaxEntries)
    return false;
  for (std::uint64_t Read = 0; Read < Count; ++Read) {
    submission_item Item;
    if (!readRecord(Items, Item) || State.Submissions.find(Item.Name))
      return false;
    State.Submissions.add(Item.Name, std::move(Item.Entry));
  }
  return true;
}

bool readAudit(cbor_sequence &Items, state_data &State, std::uint64_t Count) {
  if (Count > audit_trail::MaxRecords)
    return false;
  std::uint64_t LastIndex = 0;
  for (std::uint64_t Read = 0; Read < Count; ++Read) {
    audit_record Record;
    if (!readRecord(Items, Record) || Record.Index <= LastIndex ||
        Record.Index > State.AppliedIndex)
      return false;
    LastIndex = Record.Index;
    State.Audit.add(std::move(Record));
  }
  return true;
}

} // namespace

std::string writeSnapshot(const state_data &State) {
  snapshot_header Header;
  Header.AppliedIndex = State.AppliedIndex;
  Header.TimeMs = State.TimeMs;
  Header.KeyClockMs = State.KeyClockMs;
  Header.ViewIndex = State.ViewIndex;
  Header.DeclarationIndex = State.DeclarationIndex;
  Header.NextWave = State.NextWave;
  Header.NextJob = State.NextJob;
  Header.RetiredEpoch = State.RetiredEpoch;
  Header.NextKey = State.Keys.nextSequence();
  Header.Declarations = State.History.size();
  Header.Hosts = State.Hosts.size();
  Header.Waves = State.Waves.size();
  Header.Jobs = State.Jobs.size();
  Header.Keys = State.Keys.size();
  Header.Submissions = State.Submissions.order().size();
  Header.AuditRecords = State.Audit.records().size();
  std::string Bytes;
  appendRecord(Bytes, Header);
  for (const auto &[Number, Entry] : State.History) {
    declaration_item Item{Number,      Entry.Submission, Entry.Actor,
                          Entry.Index, Entry.TimeMs,     std::nullopt};
    if (Entry.Body)
      Item.Body = *Entry.Body;
    appendRecord(Bytes, Item);
  }
  for (const auto &[Name, Host] : State.Hosts)
    appendRecord(Bytes, Host);
  for (const auto &[Id, Wave] : State.Waves)
    appendRecord(Bytes, Wave);
  for (const auto &[Id, Job] : State.Jobs)
    appendRecord(Bytes, Job);
  appendKeys(Bytes, State.Keys);
  for (const auto &Name : State.Submissions.order())
    appendRecord(Bytes, submission_item{Name, *State.Submissions.find(Name)});
  for (const auto &Record : State.Audit.records())
    appendRecord(Bytes, Record);
  return Bytes;
}

std::optional<state_data> readSnapshot(std::string_view Bytes) {
  cbor_sequence Items(Bytes);
  state_data State;
  snapshot_header Header;
  if (!readHeader(Items, State, Header) ||
      !readDeclarations(Items, State, Header.Declarations))
    return std::nullopt;
  State.indexDeclaration();
  if (!readHosts(Items, State, Header.Hosts) ||
      !readWaves(Items, State, Header.Waves) ||
      !readJobs(Items, State, Header.Jobs) ||
      !readKeys(Items, State, Header.Keys, Header.NextKey) ||
      !readSubmissions(Items, State, Header.Submissions) ||
      !readAudit(Items, State, Header.AuditRecords) || !Items.atEnd())
    return std::nullopt;
  return State;
}

} // namespace lycheetrestle::fleet
