#include "standin/payload.h"

#include "core/checksum.h"

#include <charconv>
#include <cstdint>
#include <optional>

namespace lycheetrestle::standin {

namespace {

// Removes `name=value` and the separator from the front of a text.
// Returns the value, or nothing when the text has another form.
std::optional<std::string_view>
takeField(std::string_view &Text, std::string_view Name, char Separator) {
  if (Text.substr(0, Name.size()) != Name)
    return std::nullopt;
  auto End = Text.find(Separator);
  if (End == std::string_view::npos)
    return std::nullopt;
  auto Value = Text.substr(Name.size(), End - Name.size());
  Text.remove_prefix(End + 1);
  return Value;
}

std::optional<std::uint64_t> parseNumber(std::string_view Text) {
  std::uint64_t Value = 0;
  auto Parsed = std::from_chars(Text.data(), Text.data() + Text.size(), Value);
  if (Parsed.ec != std::errc() || Parsed.ptr != Text.data() + Text.size())
    return std::nullopt;
  return Value;
}

} // namespace

std::string makePayload(std::string_view Id, std::size_t Size) {
  std::string Payload;
  Payload.reserve(Size + Id.size());
  while (Payload.size() < Size)
    Payload.append(Id).push_back('.');
  Payload.resize(Size);
  std::string Body = "id=" + std::string(Id) +
                     " length=" + std::to_string(Size) +
                     " crc=" + std::to_string(core::crc32(Payload)) + "\n";
  return Body + Payload;
}

payload_check checkPayload(std::string_view Body, std::string_view Id) {
  auto Rest = Body;
  auto FoundId = takeField(Rest, "id=", ' ');
  auto Length = takeField(Rest, "length=", ' ');
  auto Crc = takeField(Rest, "crc=", '\n');
  if (!FoundId || !Length || !Crc)
    return payload_check::Corrupt;
  if (parseNumber(*Length) != Rest.size() ||
      parseNumber(*Crc) != core::crc32(Rest))
    return payload_check::Corrupt;
  return *FoundId == Id ? payload_check::Good : payload_check::Foreign;
}

} // namespace lycheetrestle::standin
