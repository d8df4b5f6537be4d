#include "control/control_frames.h"

#include "core/cbor_limits.h"

#include <nlohmann/json.hpp>

#include <string>
#include <utility>
#include <vector>

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

boost::leaf::error_id failCorrupt(std::string_view Field, std::string Value,
                                  std::string Rule) {
  return core::fail({core::error_code::Corrupt, std::move(Rule),
                     std::string(Field), std::move(Value),
                     core::verdict::NotRun});
}

bool isName(const nlohmann::json &Value) {
  return Value.is_string() &&
         Value.get_ref<const std::string &>().size() <= MaxNameBytes;
}

} // namespace

bool isControlFrame(std::string_view Bytes) {
  return !Bytes.empty() && (static_cast<std::uint8_t>(Bytes.front()) &
                            CborMajorTypeMask) == CborArray;
}

std::string encodeFrame(const control_frame &Frame) {
  nlohmann::json Value = nlohmann::json::array(
      {static_cast<int>(Frame.Kind), Frame.Cluster, Frame.From.Name,
       Frame.From.Incarnation, Frame.To.Name, Frame.To.Incarnation,
       Frame.IsFormed,
       nlohmann::json::binary(
           std::vector<std::uint8_t>(Frame.Bytes.begin(), Frame.Bytes.end()))});
  std::string Bytes;
  nlohmann::json::to_cbor(Value, Bytes);
  return Bytes;
}

core::result<control_frame> decodeFrame(std::string_view Bytes) {
  auto Parsed = core::parseCbor(Bytes, MaxDepth, MaxItems);
  if (!Parsed || !Parsed->is_array() || Parsed->size() != FrameFields)
    return failCorrupt("frame", std::to_string(Bytes.size()) + " bytes",
                       "must be a CBOR array of eight scalars");
  const auto &Value = *Parsed;
  constexpr auto MaxKind = static_cast<std::uint64_t>(frame_kind::Status);
  if (!Value[0].is_number_unsigned() || Value[0].get<std::uint64_t>() > MaxKind)
    return failCorrupt("kind", Value[0].type_name(),
                       "must be an integer of 0 to " + std::to_string(MaxKind));
  for (std::size_t Field : {1, 2, 4})
    if (!isName(Value[Field]))
      return failCorrupt("field " + std::to_string(Field),
                         Value[Field].type_name(),
                         "must be a string of at most " +
                             std::to_string(MaxNameBytes) + " bytes");
  for (std::size_t Field : {3, 5})
    if (!Value[Field].is_number_unsigned())
      return failCorrupt("field " + std::to_string(Field),
                         Value[Field].type_name(),
                         "must be an unsigned integer");
  if (!Value[6].is_boolean() || !Value[7].is_binary())
    return failCorrupt("fields 6 and 7",
                       std::string(Value[6].type_name()) + " and " +
                           Value[7].type_name(),
                       "must be a boolean and a byte string");
  // A membership with such a member is refused or cannot be decoded, so a
  // request to join under it would hold up those of other replicas.
  if (Value[2].get_ref<const std::string &>().empty())
    return failCorrupt("field 2", "", "must name the sender");
  control_frame Frame;
  Frame.Kind = static_cast<frame_kind>(Value[0].get<std::uint64_t>());
  Frame.Cluster = Value[1].get<std::string>();
  Frame.From = {Value[2].get<std::string>(), Value[3].get<std::uint64_t>()};
  Frame.To = {Value[4].get<std::string>(), Value[5].get<std::uint64_t>()};
  Frame.IsFormed = Value[6].get<bool>();
  const auto &Binary = Value[7].get_binary();
  Frame.Bytes.assign(Binary.begin(), Binary.end());
  return Frame;
}

} // namespace lycheetrestle::control
