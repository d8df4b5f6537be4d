#include "scheduling/heartbeat_relay.h"

#include "scheduling/fields.h"
#include "scheduling/list_codec.h"

#include <algorithm>
#include <iterator>
#include <utility>

namespace lycheetrestle::scheduling {

template <typename Archive, record_of<endpoint_heartbeat> Type>
void fields(Archive &A, Type &R) {
  A(R.Facts, R.Sequence, R.ClockMs, R.RemainingMs);
}
template <typename Archive, record_of<relayed_heartbeat> Type>
void fields(Archive &A, Type &R) {
  A(R.Id, R.Heartbeat);
}
template <typename Archive, record_of<relayed_reply> Type>
void fields(Archive &A, Type &R) {
  A(R.Id, R.IsAccepted);
}

namespace {

using std::chrono::milliseconds;

// How long a heartbeat waits for others. An endpoint waits a second for its
// acknowledgement.
constexpr core::duration BatchDelay = milliseconds(40);
constexpr std::size_t MaxBatch = 256;
// Without a reply for this long the endpoint is told to call another node; its
// second is not over yet then.
constexpr core::duration ReplyTimeout = milliseconds(700);
// Bounds the memory when no reply comes: the heartbeats of 10,000 endpoints
// within ReplyTimeout.
constexpr std::size_t MaxOpen = 5000;

constexpr const char *HeartbeatsName = "heartbeats";
constexpr const char *RepliesName = "heard";
// The deepest item nests as message > list > item > heartbeat > facts > labels
// > label.
constexpr std::size_t MaxDepth = 7;
// A heartbeat has about 20 items and up to 256 labels.
constexpr std::size_t MaxItems = 300 * MaxBatch;

template <typename Item>
std::optional<std::vector<Item>> decode(std::string_view Bytes,
                                        const char *Name) {
  list_reader Reader(Bytes, MaxDepth, MaxItems);
  if (!Reader.hasName(Name))
    return std::nullopt;
  return Reader.readItems<Item, Item>(
      [](Item Value) { return std::optional(std::move(Value)); });
}

/// \returns how every message of this kind begins.
std::string prefixOf(const char *Name) {
  std::string Bytes;
  fleet::cbor_appender Appender(Bytes);
  Appender.beginMap(1);
  Appender.append(std::string(Name));
  return Bytes;
}

} // namespace

bool heartbeat_relay::add(std::uint64_t Id, endpoint_heartbeat &Heartbeat,
                          core::time_point Now) {
  if (Open.size() >= MaxOpen)
    return false;
  if (Batch.empty())
    BatchSince = Now;
  Open.emplace(Id, Now);
  Batch.push_back({Id, std::move(Heartbeat)});
  return true;
}

std::optional<std::string> heartbeat_relay::takeBatch(core::time_point Now) {
  // One that has expired shows nothing about the endpoint any more: this
  // process may have been suspended.
  std::erase_if(Batch, [this](const relayed_heartbeat &Item) {
    return Open.find(Item.Id) == Open.end();
  });
  if (Batch.empty() ||
      (Batch.size() < MaxBatch && Now - BatchSince < BatchDelay))
    return std::nullopt;
  auto End = Batch.begin() +
             static_cast<std::ptrdiff_t>(std::min(Batch.size(), MaxBatch));
  std::vector<relayed_heartbeat> Taken(std::make_move_iterator(Batch.begin()),
                                       std::make_move_iterator(End));
  Batch.erase(Batch.begin(), End);
  for (auto &Item : Taken)
    Item.Id += IdOffset;
  return encodeHeartbeats(Taken);
}

std::vector<std::uint64_t> heartbeat_relay::expire(core::time_point Now) {
  std::vector<std::uint64_t> Ids;
  std::erase_if(Open, [&](const auto &Item) {
    if (Now - Item.second < ReplyTimeout)
      return false;
    Ids.push_back(Item.first);
    return true;
  });
  return Ids;
}

std::vector<std::uint64_t> heartbeat_relay::clear() {
  std::vector<std::uint64_t> Ids;
  for (const auto &[Id, Since] : std::exchange(Open, {}))
    Ids.push_back(Id);
  Batch.clear();
  return Ids;
}

std::optional<std::uint64_t>
heartbeat_relay::finish(const relayed_reply &Reply) {
  auto Id = Reply.Id - IdOffset;
  return Open.erase(Id) > 0 ? std::optional(Id) : std::nullopt;
}

bool isHeartbeatMessage(std::string_view Bytes) {
  static const std::string Prefix = prefixOf(HeartbeatsName);
  return Bytes.starts_with(Prefix);
}

bool isReplyMessage(std::string_view Bytes) {
  static const std::string Prefix = prefixOf(RepliesName);
  return Bytes.starts_with(Prefix);
}

std::string encodeHeartbeats(const std::vector<relayed_heartbeat> &Heartbeats) {
  return encodeList<relayed_heartbeat>(
      HeartbeatsName, Heartbeats,
      [](const relayed_heartbeat &Item) -> const auto & { return Item; });
}

std::optional<std::vector<relayed_heartbeat>>
decodeHeartbeats(std::string_view Bytes) {
  return decode<relayed_heartbeat>(Bytes, HeartbeatsName);
}

std::string encodeReplies(const std::vector<relayed_reply> &Replies) {
  return encodeList<relayed_reply>(
      RepliesName, Replies,
      [](const relayed_reply &Item) -> const auto & { return Item; });
}

std::optional<std::vector<relayed_reply>>
decodeReplies(std::string_view Bytes) {
  return decode<relayed_reply>(Bytes, RepliesName);
}

} // namespace lycheetrestle::scheduling
