#include "scheduling/commands.h"

#include "core/cbor_limits.h"
#include "fleet/cbor_appender.h"
#include "scheduling/fields.h"

#include <array>
#include <utility>

namespace lycheetrestle::scheduling {

namespace {

using fleet::log_reader;

template <std::size_t Index = 0>
bool readCommand(std::size_t Type, const nlohmann::json &Item,
                 command &Command) {
  if constexpr (Index == std::variant_size_v<command>) {
    return false;
  } else {
    if (Type != Index)
      return readCommand<Index + 1>(Type, Item, Command);
    return log_reader::fromJson(Item, Command.emplace<Index>());
  }
}

/// Appends the head of a CBOR array, to be followed by its items.
void appendArrayHeader(std::string &Bytes, std::size_t Items) {
  constexpr std::uint8_t FourByteCount = 0x9a; // Major type 4, 32-bit count.
  Bytes.push_back(static_cast<char>(FourByteCount));
  for (int Shift = 24; Shift >= 0; Shift -= 8)
    Bytes.push_back(static_cast<char>((Items >> Shift) & 0xff));
}

} // namespace

std::string_view toText(run_end Outcome) {
  static constexpr std::array<std::string_view, 8> Names{
      "done",   "failed", "stopped", "lapsed",
      "broken", "alone",  "refused", "lost"};
  return Names[static_cast<std::size_t>(Outcome)];
}

std::string_view toText(end_cause Cause) {
  switch (Cause) {
  case end_cause::Unknown:
    return "unknown";
  case end_cause::Planned:
    return "planned";
  case end_cause::Crashed:
    return "crashed";
  case end_cause::FailedWithRack:
    return "failed_with_rack";
  }
  return "unknown";
}

std::string encodeCommand(const command &Command) {
  std::string Bytes;
  fleet::cbor_appender Appender(Bytes);
  Appender.append(Command.index());
  std::visit([&](const auto &Typed) { Appender.append(Typed); }, Command);
  return Bytes;
}

std::string encodeBatch(std::int64_t TimeMs,
                        std::span<const std::string_view> Commands) {
  std::string Bytes;
  appendArrayHeader(Bytes, 1 + 2 * Commands.size());
  fleet::cbor_appender(Bytes).append(TimeMs);
  for (auto Command : Commands)
    Bytes += Command;
  return Bytes;
}

std::string encodeBatch(const command_batch &Batch) {
  std::vector<std::string> Encoded;
  Encoded.reserve(Batch.Commands.size());
  for (const auto &Command : Batch.Commands)
    Encoded.push_back(encodeCommand(Command));
  return encodeBatch(Batch.TimeMs, std::vector<std::string_view>(
                                       Encoded.begin(), Encoded.end()));
}

std::optional<command_batch> decodeBatch(std::string_view Bytes) {
  // Unlike cbor_sequence, which reads records from untrusted senders, this
  // needs no limit of the size: a batch comes from the log. The depth is
  // limited because the parser recurses.
  auto Parsed = core::parseCbor(Bytes, fleet::MaxRecordDepth, Bytes.size());
  if (!Parsed)
    return std::nullopt;
  const auto &Items = *Parsed;
  if (!Items.is_array() || Items.empty() || Items.size() % 2 != 1 ||
      !Items[0].is_number_integer())
    return std::nullopt;
  command_batch Batch;
  Batch.TimeMs = Items[0].get<std::int64_t>();
  for (std::size_t Index = 1; Index != Items.size(); Index += 2) {
    if (!Items[Index].is_number_unsigned())
      return std::nullopt;
    auto &Command = Batch.Commands.emplace_back();
    if (!readCommand(Items[Index].get<std::size_t>(), Items[Index + 1],
                     Command))
      return std::nullopt;
  }
  return Batch;
}

} // namespace lycheetrestle::scheduling
