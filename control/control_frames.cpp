#include "control/control_frames.h"

#include "core/cbor_limits.h"
#include "fleet/cbor_appender.h"
#include "fleet/cbor_cursor.h"

#include <string>
#include <utility>

namespace lycheetrestle::control {

namespace {

// The upper three bits of the first byte of a CBOR item are its major type.
constexpr std::uint8_t CborMajorTypeMask = 0xe0;
constexpr std::uint8_t CborArray = 0x80;
constexpr std::size_t FrameFields = 8;
// The same limit as for the name of a replica.
constexpr std::size_t MaxNameBytes = 256;
// A frame is an array of scalars.
constexpr std::size_t MaxDepth = 1;
constexpr std::size_t MaxItems = 1 + FrameFields;
// The head of an item with an argument of 64 bits.
constexpr std::size_t MaxScalarBytes = 9;

boost::leaf::error_id failCorrupt(std::string_view Field, std::string Value,
                                  std::string Rule) {
  return core::fail({core::error_code::Corrupt, std::move(Rule),
                     std::string(Field), std::move(Value),
                     core::verdict::NotRun});
}

/// A field that does not satisfy its rule; without a name when all do.
struct invalid_field {
  const char *Name = nullptr;
  const char *Rule = nullptr;
};

using frame_cursor = fleet::basic_cbor_cursor<fleet::log_limits>;

bool readName(frame_cursor &Cursor, std::string &Name) {
  return Cursor.read(Name) && Name.size() <= MaxNameBytes;
}

/// Reads the fields of a frame after the head of its array.
invalid_field readFields(frame_cursor &Cursor, control_frame &Frame) {
  constexpr auto MaxKind = static_cast<std::uint64_t>(frame_kind::Status);
  std::uint64_t Kind = 0;
  if (!Cursor.read(Kind) || Kind > MaxKind)
    return {"kind", "must be the number of a kind"};
  Frame.Kind = static_cast<frame_kind>(Kind);
  constexpr const char *NameRule = "must be a string of at most 256 bytes";
  constexpr const char *NumberRule = "must be an unsigned integer";
  if (!readName(Cursor, Frame.Cluster))
    return {"cluster", NameRule};
  // A membership with a member without a name is refused or cannot be decoded,
  // so a request to join under it would hold up those of other replicas.
  if (!readName(Cursor, Frame.From.Name) || Frame.From.Name.empty())
    return {"from", "must name the sender in at most 256 bytes"};
  if (!Cursor.read(Frame.From.Incarnation))
    return {"from incarnation", NumberRule};
  if (!readName(Cursor, Frame.To.Name))
    return {"to", NameRule};
  if (!Cursor.read(Frame.To.Incarnation))
    return {"to incarnation", NumberRule};
  if (!Cursor.read(Frame.IsFormed))
    return {"formed", "must be a boolean"};
  if (!Cursor.readBytes(Frame.Bytes))
    return {"bytes", "must be a byte string"};
  return {};
}

} // namespace

bool isControlFrame(std::string_view Bytes) {
  return !Bytes.empty() && (static_cast<std::uint8_t>(Bytes.front()) &
                            CborMajorTypeMask) == CborArray;
}

std::string encodeFrame(const control_frame &Frame) {
  std::string Bytes;
  Bytes.reserve(Frame.Bytes.size() + Frame.Cluster.size() +
                Frame.From.Name.size() + Frame.To.Name.size() +
                MaxScalarBytes * FrameFields);
  fleet::cbor_appender Appender(Bytes);
  Appender.beginArray(FrameFields);
  Appender(Frame.Kind, Frame.Cluster, Frame.From.Name, Frame.From.Incarnation,
           Frame.To.Name, Frame.To.Incarnation, Frame.IsFormed);
  Appender.bytes(Frame.Bytes);
  return Bytes;
}

core::result<control_frame> decodeFrame(std::string_view Bytes) {
  frame_cursor Cursor(Bytes);
  if (!core::isBoundedCbor(Bytes, MaxDepth, MaxItems) ||
      Cursor.beginArray() != FrameFields)
    return failCorrupt("frame", std::to_string(Bytes.size()) + " bytes",
                       "must be a CBOR array of eight scalars");
  control_frame Frame;
  if (auto Invalid = readFields(Cursor, Frame); Invalid.Name)
    return failCorrupt(Invalid.Name, std::to_string(Bytes.size()) + " bytes",
                       Invalid.Rule);
  return Frame;
}

} // namespace lycheetrestle::control
