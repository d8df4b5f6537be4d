#include "replication/messages.h"

#include "core/cbor_limits.h"
#include "fleet/cbor_appender.h"
#include "fleet/cbor_cursor.h"
#include "replication/membership_rules.h"

#include <nlohmann/json.hpp>

#include <stdexcept>

namespace lycheetrestle::replication {

namespace {

using json = nlohmann::json;

// The deepest messages nest as message > entries > entry and as message >
// members > member > id.
constexpr std::size_t MaxDepth = 6;
// Five items for each entry and a margin for the other fields.
constexpr std::size_t MaxItems = 6 * MaxEntriesPerMessage;
constexpr std::size_t MaxNameBytes = 256;
// Room for the fields of an entry, and of a message with two names, beside
// their payloads.
constexpr std::size_t EntryOverheadBytes = 32;
constexpr std::size_t MessageOverheadBytes = 256;

// Thrown within this file only; the decoders return no value instead.
struct bad_message : std::runtime_error {
  using std::runtime_error::runtime_error;
};

void require(bool Holds, const char *Rule) {
  if (!Holds)
    throw bad_message(Rule);
}

std::uint64_t toCounter(const json &Value) {
  require(Value.is_number_unsigned(), "a counter must be unsigned");
  const auto Number = Value.get<std::uint64_t>();
  require(Number < MaxCounter, "a counter is too large");
  return Number;
}

std::uint64_t readCounter(const json &Object, const char *Name) {
  return toCounter(Object.at(Name));
}

bool readFlag(const json &Object, const char *Name) {
  const json &Value = Object.at(Name);
  require(Value.is_boolean(), "a flag must be a boolean");
  return Value.get<bool>();
}

json bytesToJson(const std::string &Bytes) {
  return json::binary(
      json::binary_t::container_type(Bytes.begin(), Bytes.end()));
}

std::string bytesFromJson(const json &Value) {
  require(Value.is_binary(), "bytes are expected");
  const auto &Binary = Value.get_binary();
  return {Binary.begin(), Binary.end()};
}

json idToJson(const replica_id &Id) {
  return json::array({Id.Name, Id.Incarnation});
}

replica_id idFromJson(const json &Value) {
  require(Value.is_array() && Value.size() == 2 && Value[0].is_string() &&
              Value[1].is_number_unsigned(),
          "a replica id is a name and an incarnation");
  replica_id Id{Value[0].get<std::string>(), Value[1].get<std::uint64_t>()};
  require(!Id.Name.empty() && Id.Name.size() <= MaxNameBytes,
          "a replica name has 1 to 256 bytes");
  return Id;
}

json membersToJson(const membership &Members) {
  json List = json::array();
  for (const member &Member : Members.Members)
    List.push_back(json::array({idToJson(Member.Id), Member.Voter}));
  return List;
}

membership membersFromJson(const json &Value) {
  require(Value.is_array() && Value.size() <= MaxMembers,
          "a membership is a short list");
  membership Members;
  for (const json &Item : Value) {
    require(Item.is_array() && Item.size() == 2 && Item[1].is_boolean(),
            "a member is an id and a flag");
    Members.Members.push_back({idFromJson(Item[0]), Item[1].get<bool>()});
  }
  require(isValidMembership(Members), "the membership is not valid");
  return Members;
}

log_entry entryFromJson(const json &Value) {
  require(Value.is_array() && Value.size() == 4, "an entry has four items");
  log_entry Entry;
  Entry.Index = toCounter(Value[0]);
  Entry.Term = toCounter(Value[1]);
  const std::uint64_t Kind = toCounter(Value[2]);
  require(Kind <= static_cast<std::uint64_t>(entry_kind::Membership),
          "the kind of an entry is unknown");
  Entry.Kind = static_cast<entry_kind>(Kind);
  Entry.Payload = bytesFromJson(Value[3]);
  if (Entry.Kind == entry_kind::Membership)
    require(decodeMembership(Entry.Payload).has_value(),
            "a membership entry does not decode");
  return Entry;
}

void checkEntries(const append_message &Append) {
  require(Append.Entries.size() <= MaxEntriesPerMessage, "too many entries");
  require(Append.PrevTerm <= Append.Term, "the previous term is too new");
  require((Append.PrevIndex == 0) == (Append.PrevTerm == 0),
          "only index 0 has term 0");
  std::uint64_t Index = Append.PrevIndex;
  std::uint64_t Term = Append.PrevTerm;
  for (const log_entry &Entry : Append.Entries) {
    require(Entry.Index == Index + 1, "entries must be contiguous");
    require(Entry.Term >= Term && Entry.Term > 0 && Entry.Term <= Append.Term,
            "terms of entries must not decrease");
    Index = Entry.Index;
    Term = Entry.Term;
  }
}

struct body_encoder {
  json &Object;

  // encodeAppend() writes these.
  void operator()(const append_message &) const {}
  void operator()(const append_reply &Body) const {
    Object["type"] = "append_reply";
    Object["round"] = Body.Round;
    Object["accepted"] = Body.Accepted;
    Object["blocked"] = Body.Blocked;
    Object["match"] = Body.Match;
    Object["received"] = Body.Received;
    Object["rejected"] = Body.Rejected;
    Object["hint_index"] = Body.HintIndex;
    Object["hint_term"] = Body.HintTerm;
  }
  void operator()(const vote_request &Body) const {
    Object["type"] = "vote";
    Object["pre"] = Body.Pre;
    Object["transfer"] = Body.Transfer;
    Object["last_index"] = Body.LastIndex;
    Object["last_term"] = Body.LastTerm;
  }
  void operator()(const vote_reply &Body) const {
    Object["type"] = "vote_reply";
    Object["pre"] = Body.Pre;
    Object["granted"] = Body.Granted;
    Object["removed"] = Body.Removed;
  }
  void operator()(const snapshot_part &Body) const {
    Object["type"] = "snapshot_part";
    Object["round"] = Body.Round;
    Object["last_index"] = Body.LastIndex;
    Object["last_term"] = Body.LastTerm;
    Object["members"] = membersToJson(Body.Members);
    Object["total"] = Body.Total;
    Object["offset"] = Body.Offset;
    Object["bytes"] = bytesToJson(Body.Bytes);
  }
  void operator()(const snapshot_reply &Body) const {
    Object["type"] = "snapshot_reply";
    Object["round"] = Body.Round;
    Object["last_index"] = Body.LastIndex;
    Object["next_offset"] = Body.NextOffset;
  }
  void operator()(const transfer_now &) const {
    Object["type"] = "transfer_now";
  }
};

append_message readAppend(const json &Object) {
  append_message Body;
  Body.Term = readCounter(Object, "term");
  Body.Round = readCounter(Object, "round");
  Body.PrevIndex = readCounter(Object, "prev_index");
  Body.PrevTerm = readCounter(Object, "prev_term");
  Body.Commit = readCounter(Object, "commit");
  const json &Entries = Object.at("entries");
  require(Entries.is_array(), "entries must be a list");
  for (const json &Entry : Entries)
    Body.Entries.push_back(entryFromJson(Entry));
  checkEntries(Body);
  return Body;
}

append_reply readAppendReply(const json &Object) {
  append_reply Body;
  Body.Term = readCounter(Object, "term");
  Body.Round = readCounter(Object, "round");
  Body.Accepted = readFlag(Object, "accepted");
  Body.Blocked = readFlag(Object, "blocked");
  Body.Match = readCounter(Object, "match");
  Body.Received = readCounter(Object, "received");
  Body.Rejected = readCounter(Object, "rejected");
  Body.HintIndex = readCounter(Object, "hint_index");
  Body.HintTerm = readCounter(Object, "hint_term");
  require(Body.Match <= Body.Received, "match is beyond received");
  return Body;
}

vote_request readVote(const json &Object) {
  vote_request Body;
  Body.Term = readCounter(Object, "term");
  Body.Pre = readFlag(Object, "pre");
  Body.Transfer = readFlag(Object, "transfer");
  Body.LastIndex = readCounter(Object, "last_index");
  Body.LastTerm = readCounter(Object, "last_term");
  require(Body.LastTerm < Body.Term, "a candidate's log is from an older term");
  return Body;
}

vote_reply readVoteReply(const json &Object) {
  vote_reply Body;
  Body.Term = readCounter(Object, "term");
  Body.Pre = readFlag(Object, "pre");
  Body.Granted = readFlag(Object, "granted");
  Body.Removed = readFlag(Object, "removed");
  return Body;
}

snapshot_part readSnapshotPart(const json &Object) {
  snapshot_part Body;
  Body.Term = readCounter(Object, "term");
  Body.Round = readCounter(Object, "round");
  Body.LastIndex = readCounter(Object, "last_index");
  Body.LastTerm = readCounter(Object, "last_term");
  Body.Members = membersFromJson(Object.at("members"));
  Body.Total = readCounter(Object, "total");
  Body.Offset = readCounter(Object, "offset");
  Body.Bytes = bytesFromJson(Object.at("bytes"));
  require(Body.LastIndex > 0 && Body.LastTerm > 0 && Body.LastTerm <= Body.Term,
          "a snapshot covers at least one entry");
  require(Body.Offset + Body.Bytes.size() <= Body.Total,
          "a part reaches beyond the state");
  return Body;
}

snapshot_reply readSnapshotReply(const json &Object) {
  return {readCounter(Object, "term"), readCounter(Object, "round"),
          readCounter(Object, "last_index"),
          readCounter(Object, "next_offset")};
}

message_body readBody(const json &Object) {
  const auto &Type = Object.at("type").get_ref<const std::string &>();
  if (Type == "append")
    return readAppend(Object);
  if (Type == "append_reply")
    return readAppendReply(Object);
  if (Type == "vote")
    return readVote(Object);
  if (Type == "vote_reply")
    return readVoteReply(Object);
  if (Type == "snapshot_part")
    return readSnapshotPart(Object);
  if (Type == "snapshot_reply")
    return readSnapshotReply(Object);
  require(Type == "transfer_now", "the type is unknown");
  return transfer_now{readCounter(Object, "term")};
}

// A leader sends an append and receives a reply for each commit and follower,
// so these two kinds are written and read in place, with the bytes that the
// general encoder gives: the keys of a map are in the order of the alphabet.

void append(fleet::cbor_appender &Appender, const replica_id &Id) {
  Appender.beginArray(2);
  Appender(Id.Name, Id.Incarnation);
}

std::string encodeAppend(const message &Message, const append_message &Body) {
  std::size_t Size = 0;
  for (const log_entry &Entry : Body.Entries)
    Size += Entry.Payload.size() + EntryOverheadBytes;
  std::string Bytes;
  Bytes.reserve(Size + MessageOverheadBytes);
  fleet::cbor_appender Appender(Bytes);
  auto Key = [&](std::string_view Name) { Appender.text(Name); };
  Appender.beginMap(9);
  Key("commit");
  Appender.append(Body.Commit);
  Key("entries");
  Appender.beginArray(Body.Entries.size());
  for (const log_entry &Entry : Body.Entries) {
    Appender.beginArray(4);
    Appender(Entry.Index, Entry.Term, Entry.Kind);
    Appender.bytes(Entry.Payload);
  }
  Key("from");
  append(Appender, Message.From);
  Key("prev_index");
  Appender.append(Body.PrevIndex);
  Key("prev_term");
  Appender.append(Body.PrevTerm);
  Key("round");
  Appender.append(Body.Round);
  Key("term");
  Appender.append(Body.Term);
  Key("to");
  append(Appender, Message.To);
  Key("type");
  Key("append");
  return Bytes;
}

/// Reads an append_reply in the order in which it is written.
class reply_reader {
public:
  explicit reply_reader(std::string_view Bytes) : Cursor(Bytes) {}

  /// \returns the message, or nothing when the bytes are another message.
  std::optional<message> read() {
    message Message;
    append_reply Body;
    IsOk = Cursor.beginMap() == 12;
    readFlag("accepted", Body.Accepted);
    readFlag("blocked", Body.Blocked);
    readId("from", Message.From);
    readCounter("hint_index", Body.HintIndex);
    readCounter("hint_term", Body.HintTerm);
    readCounter("match", Body.Match);
    readCounter("received", Body.Received);
    readCounter("rejected", Body.Rejected);
    readCounter("round", Body.Round);
    readCounter("term", Body.Term);
    readId("to", Message.To);
    std::string Type;
    IsOk = IsOk && readKey("type") && Cursor.read(Type) &&
           Type == "append_reply" && Body.Match <= Body.Received;
    if (!IsOk)
      return std::nullopt;
    Message.Body = Body;
    return Message;
  }

private:
  bool readKey(std::string_view Name) {
    IsOk = IsOk && Cursor.read(Key) && Key == Name;
    return IsOk;
  }
  void readFlag(std::string_view Name, bool &Value) {
    IsOk = readKey(Name) && Cursor.read(Value);
  }
  void readCounter(std::string_view Name, std::uint64_t &Value) {
    IsOk = readKey(Name) && Cursor.read(Value) && Value < MaxCounter;
  }
  void readId(std::string_view Name, replica_id &Id) {
    IsOk = readKey(Name) && Cursor.beginArray() == 2 && Cursor.read(Id.Name) &&
           Cursor.read(Id.Incarnation) && !Id.Name.empty() &&
           Id.Name.size() <= MaxNameBytes;
  }

  fleet::basic_cbor_cursor<fleet::log_limits> Cursor;
  std::string Key;
  bool IsOk = true;
};

std::string toCbor(const json &Value) {
  std::string Bytes;
  json::to_cbor(Value, Bytes);
  return Bytes;
}

} // namespace

std::string encodeMessage(const message &Message) {
  if (const auto *Append = std::get_if<append_message>(&Message.Body))
    return encodeAppend(Message, *Append);
  json Object = {{"from", idToJson(Message.From)},
                 {"to", idToJson(Message.To)},
                 {"term", std::visit([](const auto &Body) { return Body.Term; },
                                     Message.Body)}};
  std::visit(body_encoder{Object}, Message.Body);
  return toCbor(Object);
}

std::optional<message> decodeMessage(std::string_view Bytes) {
  if (Bytes.size() > MaxMessageBytes ||
      !core::isBoundedCbor(Bytes, MaxDepth, MaxItems))
    return std::nullopt;
  if (auto Reply = reply_reader(Bytes).read())
    return Reply;
  try {
    const json Object = json::from_cbor(Bytes.begin(), Bytes.end());
    require(Object.is_object(), "a message is a map");
    return message{idFromJson(Object.at("from")), idFromJson(Object.at("to")),
                   readBody(Object)};
  } catch (const json::exception &) {
    return std::nullopt;
  } catch (const bad_message &) {
    return std::nullopt;
  }
}

std::string encodeMembership(const membership &Members) {
  return toCbor(membersToJson(Members));
}

std::optional<membership> decodeMembership(std::string_view Bytes) {
  if (!core::isBoundedCbor(Bytes, MaxDepth, MaxItems))
    return std::nullopt;
  try {
    return membersFromJson(json::from_cbor(Bytes.begin(), Bytes.end()));
  } catch (const json::exception &) {
    return std::nullopt;
  } catch (const bad_message &) {
    return std::nullopt;
  }
}

} // namespace lycheetrestle::replication
