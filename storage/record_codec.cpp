#include "storage/record_codec.h"

#include "core/cbor_limits.h"
#include "core/checksum.h"
#include "storage/log_store.h"

#include <boost/endian/conversion.hpp>
#include <nlohmann/json.hpp>

#include <cstring>

namespace lycheetrestle::storage {

namespace {

using json = nlohmann::json;

// Frame: magic number, checksum of all bytes after it, file number, offset,
// payload length, type. Positions are in bytes.
constexpr std::uint32_t Magic = 0x4352544c; // "LTRC" on disk.
constexpr std::size_t ChecksumPosition = 4;
constexpr std::size_t ChecksummedPosition = 8;
constexpr std::size_t FilePosition = 8;
constexpr std::size_t OffsetPosition = 16;
constexpr std::size_t LengthPosition = 24;
constexpr std::size_t TypePosition = 32;
constexpr std::size_t FrameBytes = 33;
constexpr std::uint64_t FormatVersion = 1;
// The deepest payload nests as snapshot > members > member > id.
constexpr std::size_t MaxDepth = 4;

const unsigned char *bytesAt(std::string_view Bytes, std::uint64_t Offset) {
  return reinterpret_cast<const unsigned char *>(Bytes.data()) + Offset;
}

json toBinary(std::string_view Bytes) {
  return json::binary(
      json::binary_t::container_type(Bytes.begin(), Bytes.end()));
}

std::string fromBinary(const json &Value) {
  const auto &Binary = Value.get_binary();
  return {Binary.begin(), Binary.end()};
}

json toJson(const replication::replica_id &Id) {
  return json::array({Id.Name, Id.Incarnation});
}

/// Other numbers must not be converted: -1 is not the largest index.
std::uint64_t toNumber(const json &Value) {
  if (!Value.is_number_unsigned())
    throw std::out_of_range("an unsigned integer is expected");
  return Value.get<std::uint64_t>();
}

replication::replica_id toReplicaId(const json &Value) {
  return {Value.at(0).get<std::string>(), toNumber(Value.at(1))};
}

json toJson(const replication::hard_state &Hard) {
  return json::array({Hard.Term, Hard.Vote ? toJson(*Hard.Vote) : json()});
}

replication::hard_state toHardState(const json &Value) {
  replication::hard_state Hard;
  Hard.Term = toNumber(Value.at(0));
  if (!Value.at(1).is_null())
    Hard.Vote = toReplicaId(Value.at(1));
  return Hard;
}

json toJson(const snapshot_reference &Reference) {
  return json::array({Reference.LastIndex, Reference.LastTerm});
}

snapshot_reference toReference(const json &Value) {
  return {toNumber(Value.at(0)), toNumber(Value.at(1))};
}

json toJson(const replication::membership &Members) {
  json Result = json::array();
  for (const auto &Member : Members.Members)
    Result.push_back(json::array({toJson(Member.Id), Member.Voter}));
  return Result;
}

replication::membership toMembership(const json &Value) {
  replication::membership Result;
  for (const auto &Member : Value)
    Result.Members.push_back(
        {toReplicaId(Member.at(0)), Member.at(1).get<bool>()});
  return Result;
}

replication::log_entry toEntry(const json &Value) {
  replication::log_entry Entry;
  Entry.Index = toNumber(Value.at(0));
  Entry.Term = toNumber(Value.at(1));
  auto Kind = toNumber(Value.at(2));
  if (Kind > static_cast<std::uint64_t>(replication::entry_kind::Membership))
    throw std::out_of_range("the entry kind is unknown");
  Entry.Kind = static_cast<replication::entry_kind>(Kind);
  Entry.Payload = fromBinary(Value.at(3));
  return Entry;
}

std::string encode(const json &Value) {
  std::string Bytes;
  json::to_cbor(Value, Bytes);
  return Bytes;
}

/// Decodes CBOR.
/// \returns nothing when the payload is malformed or of another format version.
template <typename Callable>
auto decode(std::string_view Payload, Callable &&Convert)
    -> std::optional<decltype(Convert(json()))> {
  try {
    // The parser recurses without a limit.
    auto Value = core::parseCbor(Payload, MaxDepth, Payload.size());
    if (!Value)
      return std::nullopt;
    return Convert(*Value);
  } catch (const std::exception &) {
    return std::nullopt;
  }
}

} // namespace

std::string frameRecord(record_type Type, std::uint64_t File,
                        std::uint64_t Offset, std::string_view Payload) {
  std::string Record(FrameBytes, '\0');
  Record.reserve(FrameBytes + Payload.size());
  auto *Bytes = reinterpret_cast<unsigned char *>(Record.data());
  boost::endian::store_little_u32(Bytes, Magic);
  boost::endian::store_little_u64(Bytes + FilePosition, File);
  boost::endian::store_little_u64(Bytes + OffsetPosition, Offset);
  boost::endian::store_little_u64(Bytes + LengthPosition, Payload.size());
  Record[TypePosition] = static_cast<char>(Type);
  Record += Payload;
  boost::endian::store_little_u32(
      reinterpret_cast<unsigned char *>(Record.data()) + ChecksumPosition,
      core::crc32(std::string_view(Record).substr(ChecksummedPosition)));
  return Record;
}

std::optional<framed_record>
readRecord(std::string_view Bytes, std::uint64_t File, std::uint64_t Offset) {
  if (Offset > Bytes.size() || Bytes.size() - Offset < FrameBytes)
    return std::nullopt;
  const auto *Frame = bytesAt(Bytes, Offset);
  if (boost::endian::load_little_u32(Frame) != Magic ||
      boost::endian::load_little_u64(Frame + FilePosition) != File ||
      boost::endian::load_little_u64(Frame + OffsetPosition) != Offset)
    return std::nullopt;
  std::uint64_t Length = boost::endian::load_little_u64(Frame + LengthPosition);
  if (Length > Bytes.size() - Offset - FrameBytes)
    return std::nullopt;
  auto Checked = Bytes.substr(Offset + ChecksummedPosition,
                              FrameBytes - ChecksummedPosition + Length);
  if (boost::endian::load_little_u32(Frame + ChecksumPosition) !=
      core::crc32(Checked))
    return std::nullopt;
  return framed_record{static_cast<record_type>(Frame[TypePosition]),
                       Bytes.substr(Offset + FrameBytes, Length),
                       FrameBytes + Length};
}

std::optional<std::uint64_t>
findRecord(std::string_view Bytes, std::uint64_t File, std::uint64_t From) {
  unsigned char Start[4];
  boost::endian::store_little_u32(Start, Magic);
  std::string_view Pattern(reinterpret_cast<const char *>(Start),
                           sizeof(Start));
  for (auto At = Bytes.find(Pattern, From); At != std::string_view::npos;
       At = Bytes.find(Pattern, At + 1))
    if (readRecord(Bytes, File, At))
      return At;
  return std::nullopt;
}

std::string encodeHeader(const segment_header &Header) {
  return encode(
      json::array({FormatVersion, Header.PreviousSize, toJson(Header.Hard),
                   toJson(Header.Snapshot), Header.LastIndex}));
}

std::optional<segment_header> decodeHeader(std::string_view Payload) {
  return decode(Payload, [](const json &Value) {
    if (Value.at(0) != FormatVersion)
      throw std::out_of_range("the format version is unknown");
    segment_header Header;
    Header.PreviousSize = toNumber(Value.at(1));
    Header.Hard = toHardState(Value.at(2));
    Header.Snapshot = toReference(Value.at(3));
    Header.LastIndex = toNumber(Value.at(4));
    return Header;
  });
}

std::string encodeChange(const replication::storage_write &Write) {
  json Entries = json::array();
  for (const auto &Entry : Write.Append)
    Entries.push_back(json::array({Entry.Index, Entry.Term,
                                   static_cast<std::uint64_t>(Entry.Kind),
                                   toBinary(Entry.Payload)}));
  json Snapshot;
  if (Write.Snapshot)
    Snapshot = toJson(snapshot_reference{Write.Snapshot->LastIndex,
                                         Write.Snapshot->LastTerm});
  return encode(json::array(
      {Write.Hard ? toJson(*Write.Hard) : json(), std::move(Snapshot),
       Write.TruncateFrom ? json(*Write.TruncateFrom) : json(),
       std::move(Entries)}));
}

std::optional<log_change> decodeChange(std::string_view Payload) {
  return decode(Payload, [](const json &Value) {
    log_change Change;
    if (!Value.at(0).is_null())
      Change.Hard = toHardState(Value.at(0));
    if (!Value.at(1).is_null())
      Change.Snapshot = toReference(Value.at(1));
    if (!Value.at(2).is_null())
      Change.TruncateFrom = toNumber(Value.at(2));
    for (const auto &Entry : Value.at(3))
      Change.Append.push_back(toEntry(Entry));
    return Change;
  });
}

std::string encodeSnapshot(const replication::snapshot &Snapshot) {
  return encode(
      json::array({FormatVersion, Snapshot.LastIndex, Snapshot.LastTerm,
                   toJson(Snapshot.Members), toBinary(Snapshot.State)}));
}

std::optional<replication::snapshot> decodeSnapshot(std::string_view Payload) {
  return decode(Payload, [](const json &Value) {
    if (Value.at(0) != FormatVersion)
      throw std::out_of_range("the format version is unknown");
    replication::snapshot Snapshot;
    Snapshot.LastIndex = toNumber(Value.at(1));
    Snapshot.LastTerm = toNumber(Value.at(2));
    Snapshot.Members = toMembership(Value.at(3));
    Snapshot.State = fromBinary(Value.at(4));
    return Snapshot;
  });
}

std::string encodeIdentity(const folder_identity &Identity) {
  return encode(
      json::array({FormatVersion, Identity.ClusterId, toJson(Identity.Replica),
                   toJson(Identity.Initial)}));
}

std::optional<folder_identity> decodeIdentity(std::string_view Payload) {
  return decode(Payload, [](const json &Value) {
    if (Value.at(0) != FormatVersion)
      throw std::out_of_range("the format version is unknown");
    folder_identity Identity;
    Identity.ClusterId = Value.at(1).get<std::string>();
    Identity.Replica = toReplicaId(Value.at(2));
    Identity.Initial = toMembership(Value.at(3));
    return Identity;
  });
}

} // namespace lycheetrestle::storage
