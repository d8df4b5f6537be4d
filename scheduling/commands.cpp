#include "scheduling/commands.h"

#include "fleet/cbor_sequence.h"
#include "scheduling/fields.h"

#include <array>
#include <utility>

namespace lycheetrestle::scheduling {

namespace {

using fleet::cbor_reader;
using fleet::cbor_writer;

template <std::size_t Index = 0>
bool readCommand(std::size_t Type, const nlohmann::json &Item,
                 command &Command) {
  if constexpr (Index == std::variant_size_v<command>) {
    return false;
  } else {
    if (Type != Index)
      return readCommand<Index + 1>(Type, Item, Command);
    return cbor_reader::fromJson(Item, Command.emplace<Index>());
  }
}

} // namespace

std::string encodeBatch(const command_batch &Batch) {
  auto Items = nlohmann::json::array();
  Items.push_back(Batch.TimeMs);
  for (const auto &Command : Batch.Commands) {
    Items.push_back(Command.index());
    Items.push_back(std::visit(
        [](const auto &Typed) { return cbor_writer::toJson(Typed); }, Command));
  }
  std::string Bytes;
  fleet::appendCbor(Bytes, Items);
  return Bytes;
}

std::optional<command_batch> decodeBatch(std::string_view Bytes) {
  // Unlike cbor_sequence, which reads records from untrusted senders, this
  // needs no limits: a batch comes from the log, whose records have checksums.
  auto Items = nlohmann::json::from_cbor(Bytes, true, false);
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
