#include "fleet/commands.h"

#include "fleet/cbor_sequence.h"
#include "fleet/fields.h"

#include <optional>
#include <utility>

namespace lycheetrestle::fleet {

namespace {

using nlohmann::json;

// Equal to the largest message between two processes.
constexpr std::size_t MaxCommandBytes = 4u << 20;
// Submission, actor, time, kind and body.
constexpr std::size_t CommandItems = 5;

/// Reads the alternative with the given number into the body.
template <std::size_t Index = 0>
bool readBody(std::size_t Kind, const json &Item, command_body &Body) {
  if constexpr (Index < std::variant_size_v<command_body>) {
    if (Kind != Index)
      return readBody<Index + 1>(Kind, Item, Body);
    return cbor_reader::fromJson(Item, Body.emplace<Index>());
  } else {
    return false;
  }
}

std::optional<command> tryDecode(std::string_view Bytes) {
  if (Bytes.size() > MaxCommandBytes)
    return std::nullopt;
  cbor_sequence Sequence(Bytes);
  auto Item = Sequence.next();
  if (!Item || !Sequence.atEnd() || !Item->is_array() ||
      Item->size() != CommandItems)
    return std::nullopt;
  command Command;
  std::uint32_t Kind = 0;
  if (!cbor_reader::fromJson((*Item)[0], Command.Submission) ||
      !cbor_reader::fromJson((*Item)[1], Command.Actor) ||
      !cbor_reader::fromJson((*Item)[2], Command.TimeMs) ||
      !cbor_reader::fromJson((*Item)[3], Kind) ||
      !readBody(Kind, (*Item)[4], Command.Body))
    return std::nullopt;
  return Command;
}

} // namespace

std::string encode(const command &Command) {
  cbor_writer Writer;
  Writer(Command.Submission, Command.Actor, Command.TimeMs,
         static_cast<std::uint32_t>(Command.Body.index()));
  auto Item = Writer.take();
  Item.push_back(
      std::visit([](const auto &Body) { return cbor_writer::toJson(Body); },
                 Command.Body));
  std::string Bytes;
  appendCbor(Bytes, Item);
  return Bytes;
}

core::result<command> decodeCommand(std::string_view Bytes) {
  auto Command = tryDecode(Bytes);
  if (!Command)
    return core::fail({core::error_code::Corrupt,
                       "the bytes are not a command of the fleet state", "", "",
                       core::verdict::NotRun});
  return std::move(*Command);
}

} // namespace lycheetrestle::fleet
