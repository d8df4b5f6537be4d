#include "control/control_frames.h"

#include <nlohmann/json.hpp>

#include <vector>

namespace lycheetrestle::control {

namespace {

// The upper three bits of the first byte of a CBOR item are its major type.
constexpr std::uint8_t CborMajorTypeMask = 0xe0;
constexpr std::uint8_t CborArray = 0x80;
constexpr std::size_t FrameFields = 8;

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
  try {
    auto Value = nlohmann::json::from_cbor(Bytes);
    if (!Value.is_array() || Value.size() != FrameFields)
      return core::fail({core::error_code::Corrupt,
                         "a control frame must be a CBOR array of eight fields",
                         "", "", core::verdict::NotRun});
    control_frame Frame;
    auto Kind = Value[0].get<int>();
    if (Kind < 0 || Kind > static_cast<int>(frame_kind::Status))
      return core::fail({core::error_code::Corrupt,
                         "unknown frame kind; expected 0 to 6", "kind",
                         std::to_string(Kind), core::verdict::NotRun});
    Frame.Kind = static_cast<frame_kind>(Kind);
    Frame.Cluster = Value[1].get<std::string>();
    Frame.From = {Value[2].get<std::string>(), Value[3].get<std::uint64_t>()};
    Frame.To = {Value[4].get<std::string>(), Value[5].get<std::uint64_t>()};
    Frame.IsFormed = Value[6].get<bool>();
    const auto &Binary = Value[7].get_binary();
    Frame.Bytes.assign(Binary.begin(), Binary.end());
    return Frame;
  } catch (const nlohmann::json::exception &Exception) {
    return core::fail({core::error_code::Corrupt, Exception.what(), "", "",
                       core::verdict::NotRun});
  }
}

} // namespace lycheetrestle::control
