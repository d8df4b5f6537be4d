#include "fleet/key_table.h"

#include "fleet/rules.h"

#include <algorithm>
#include <functional>
#include <utility>

namespace lycheetrestle::fleet {

namespace {

constexpr std::size_t MaxKeyBytes = 512;
constexpr std::size_t MaxHolderBytes = 128;
constexpr std::size_t MaxContentTypeBytes = 128;

change makeOutcome(std::string_view Name) {
  return {"", "", "", jsonText({{"outcome", Name}}), true};
}

/// Callers read the body from the record; it is not part of the JSON, because
/// it need not be UTF-8.
change storedOutcome(const key_record &Record) {
  return {"", "", "",
          jsonText({{"outcome", "stored"},
                    {"status", Record.HttpStatus},
                    {"content_type", Record.ContentType},
                    {"body_bytes", Record.Body.size()},
                    {"body_dropped", Record.BodyDropped}}),
          true};
}

} // namespace

void key_table::expire(std::int64_t NowMs) {
  auto &Ordered = Entries.get<by_sequence>();
  while (!Ordered.empty() &&
         Ordered.begin()->Record.TimeMs < NowMs - RetentionMs) {
    BodiesBytes -= Ordered.begin()->Record.Body.size();
    Ordered.erase(Ordered.begin());
  }
  // Only a prefix is removed. Later sequences of expired entries are skipped
  // when they reach the front, which avoids a search for each.
  while (!BodyOrder.empty() && Ordered.find(BodyOrder.front()) == Ordered.end())
    BodyOrder.pop_front();
}

std::vector<std::uint64_t> key_table::bodyOrder() const {
  const auto &Ordered = Entries.get<by_sequence>();
  std::vector<std::uint64_t> Live;
  for (auto Sequence : BodyOrder)
    if (Ordered.find(Sequence) != Ordered.end())
      Live.push_back(Sequence);
  return Live;
}

change_outcome key_table::reserve(const reserve_key &Command,
                                  std::int64_t NowMs) {
  if (Command.Key.empty() || Command.Key.size() > MaxKeyBytes)
    return refuse(core::error_code::BadInput, "a key must have 1 to 512 bytes",
                  "key", std::to_string(Command.Key.size()));
  if (Command.Holder.empty() || Command.Holder.size() > MaxHolderBytes)
    return refuse(core::error_code::BadInput,
                  "a holder must have 1 to 128 bytes", "holder",
                  std::to_string(Command.Holder.size()));
  auto &ByKey = Entries.get<by_key>();
  auto Found = ByKey.find(std::string_view(Command.Key));
  if (Found != ByKey.end()) {
    const auto &Record = Found->Record;
    if (Record.RequestDigest != Command.RequestDigest)
      return makeOutcome("mismatch");
    if (Record.Status == key_status::Completed)
      return storedOutcome(Record);
    if (Record.Holder == Command.Holder)
      return makeOutcome("granted");
    return change{"", "", "",
                  jsonText({{"outcome", "held"}, {"holder", Record.Holder}}),
                  true};
  }
  if (Entries.size() >= MaxKeys)
    return refuse(core::error_code::Overloaded,
                  "the table of idempotency keys is full", "key", Command.Key);
  key_entry Entry;
  Entry.Key = Command.Key;
  Entry.Sequence = NextSequence++;
  Entry.Record.Status = key_status::Reserved;
  Entry.Record.RequestDigest = Command.RequestDigest;
  Entry.Record.Holder = Command.Holder;
  Entry.Record.TimeMs = NowMs;
  Entries.insert(std::move(Entry));
  return makeOutcome("granted");
}

change_outcome key_table::complete(const complete_key &Command) {
  auto &ByKey = Entries.get<by_key>();
  auto Found = ByKey.find(std::string_view(Command.Key));
  if (Found == ByKey.end())
    return refuse(core::error_code::NotFound, "the key is not reserved", "key",
                  Command.Key);
  if (Found->Record.Holder != Command.Holder)
    return refuse(core::error_code::Conflict, "another holder has the key",
                  "holder", Found->Record.Holder);
  // Keeps the first response, so that every duplicate gets the same one.
  if (Found->Record.Status == key_status::Completed)
    return makeOutcome("completed");
  if (Command.ContentType.size() > MaxContentTypeBytes)
    return refuse(core::error_code::BadInput,
                  "a content type must have at most 128 bytes", "content_type",
                  std::to_string(Command.ContentType.size()));
  bool Dropped = Command.BodyDropped || Command.Body.size() > MaxBodyBytes;
  ByKey.modify(Found, [&](key_entry &Entry) {
    auto &Record = Entry.Record;
    Record.Status = key_status::Completed;
    Record.HttpStatus = Command.Status;
    Record.ContentType = Command.ContentType;
    Record.BodyDropped = Dropped;
    if (!Dropped)
      Record.Body = Command.Body;
  });
  if (!Found->Record.Body.empty()) {
    BodiesBytes += Found->Record.Body.size();
    BodyOrder.push_back(Found->Sequence);
    dropOldBodies();
  }
  return makeOutcome("completed");
}

void key_table::dropOldBodies() {
  auto &Ordered = Entries.get<by_sequence>();
  while (BodiesBytes > MaxBodiesBytes) {
    auto Oldest = Ordered.find(BodyOrder.front());
    BodyOrder.pop_front();
    if (Oldest == Ordered.end())
      continue;
    BodiesBytes -= Oldest->Record.Body.size();
    Ordered.modify(Oldest, [](key_entry &Entry) {
      Entry.Record.Body = std::string();
      Entry.Record.BodyDropped = true;
    });
  }
}

change_outcome key_table::abandon(const abandon_key &Command) {
  auto &ByKey = Entries.get<by_key>();
  auto Found = ByKey.find(std::string_view(Command.Key));
  // Already abandoned, for example by the first of two sends.
  if (Found == ByKey.end())
    return makeOutcome("abandoned");
  if (Found->Record.Holder != Command.Holder)
    return refuse(core::error_code::Conflict, "another holder has the key",
                  "holder", Found->Record.Holder);
  if (Found->Record.Status == key_status::Completed)
    return refuse(core::error_code::Conflict, "the request of the key has run",
                  "key", Command.Key);
  ByKey.erase(Found);
  return makeOutcome("abandoned");
}

key_record key_table::find(std::string_view Key) const {
  const auto &ByKey = Entries.get<by_key>();
  auto Found = ByKey.find(Key);
  return Found == ByKey.end() ? key_record() : Found->Record;
}

bool key_table::restoreEntry(key_entry Entry) {
  const auto &Ordered = Entries.get<by_sequence>();
  const auto &Record = Entry.Record;
  bool IsWithinBounds =
      Entries.size() < MaxKeys && !Entry.Key.empty() &&
      Entry.Key.size() <= MaxKeyBytes &&
      Record.Holder.size() <= MaxHolderBytes &&
      Record.Body.size() <= MaxBodyBytes &&
      Record.ContentType.size() <= MaxContentTypeBytes &&
      Record.Status != key_status::Unknown &&
      (Record.Status == key_status::Completed || Record.Body.empty());
  if (!IsWithinBounds)
    return false;
  if (!Ordered.empty() && (Ordered.rbegin()->Sequence >= Entry.Sequence ||
                           Ordered.rbegin()->Record.TimeMs > Record.TimeMs))
    return false;
  BodiesBytes += Record.Body.size();
  return Entries.insert(std::move(Entry)).second;
}

bool key_table::restoreOrder(const std::vector<std::uint64_t> &Order,
                             std::uint64_t FollowingSequence) {
  const auto &Ordered = Entries.get<by_sequence>();
  if (!Ordered.empty() && Ordered.rbegin()->Sequence >= FollowingSequence)
    return false;
  auto Sorted = Order;
  std::sort(Sorted.begin(), Sorted.end());
  auto At = Sorted.begin();
  for (const auto &Entry : Ordered) {
    if (Entry.Record.Body.empty())
      continue;
    if (At == Sorted.end() || *At != Entry.Sequence)
      return false;
    ++At;
  }
  if (At != Sorted.end() || BodiesBytes > MaxBodiesBytes)
    return false;
  BodyOrder.assign(Order.begin(), Order.end());
  NextSequence = FollowingSequence;
  return true;
}

change_outcome applyTo(state_data &State, const reserve_key &Command,
                       const origin &) {
  return State.Keys.reserve(Command, State.KeyClockMs);
}

change_outcome applyTo(state_data &State, const complete_key &Command,
                       const origin &) {
  return State.Keys.complete(Command);
}

change_outcome applyTo(state_data &State, const abandon_key &Command,
                       const origin &) {
  return State.Keys.abandon(Command);
}

} // namespace lycheetrestle::fleet
