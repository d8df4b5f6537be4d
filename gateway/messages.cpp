#include "gateway/messages.h"

#include "core/network_address.h"
#include "fleet/cbor_archive.h"
#include "fleet/cbor_sequence.h"

#include <algorithm>
#include <concepts>
#include <type_traits>
#include <utility>

namespace lycheetrestle::gateway {

namespace {

using fleet::cbor_reader;
using fleet::cbor_writer;

constexpr std::string_view LinkPrefix = "gateway-";
// Final statuses of HTTP.
constexpr std::uint16_t MinStatus = 200;
constexpr std::uint16_t MaxStatus = 599;

template <std::size_t Index = 0>
bool readBody(std::size_t Type, const nlohmann::json &Item, message &Message) {
  if constexpr (Index == std::variant_size_v<message>) {
    return false;
  } else {
    if (Type != Index)
      return readBody<Index + 1>(Type, Item, Message);
    return cbor_reader::fromJson(Item, Message.emplace<Index>());
  }
}

} // namespace

template <typename Type, typename Record>
concept record_of = std::same_as<std::remove_const_t<Type>, Record>;

template <typename Archive, record_of<status_message> Type>
void fields(Archive &A, Type &R) {
  A(R.IsLeading, R.Term, R.Schedulers);
}
template <typename Archive, record_of<call_message> Type>
void fields(Archive &A, Type &R) {
  A(R.Id, R.Method);
  A.bytes(R.HostName);
  A.bytes(R.Target);
  A.bytes(R.Body);
  // Without it earlier versions can read the message.
  if (!std::is_const_v<Type> || !R.KeyDigest.empty())
    A.trailing(R.KeyDigest);
}
template <typename Archive, record_of<reply_message> Type>
void fields(Archive &A, Type &R) {
  A(R.Id, R.IsHandled, R.MayHaveRun, R.Status, R.RetryAfterS);
  A.bytes(R.Body);
}

std::string linkName(std::string_view Address) {
  return std::string(LinkPrefix) + std::string(Address);
}

bool isGateway(std::string_view LinkName) {
  return LinkName.substr(0, LinkPrefix.size()) == LinkPrefix;
}

std::string encodeMessage(const message &Message) {
  auto Items = nlohmann::json::array();
  Items.push_back(Message.index());
  Items.push_back(std::visit(
      [](const auto &Typed) { return cbor_writer::toJson(Typed); }, Message));
  std::string Bytes;
  nlohmann::json::to_cbor(Items, Bytes);
  return Bytes;
}

std::optional<message> decodeMessage(std::string_view Bytes) {
  // The recursive parser would overflow the stack on deeply nested bytes.
  fleet::cbor_sequence Sequence(Bytes);
  auto Items = Sequence.next();
  if (!Items || !Sequence.atEnd() || !Items->is_array() || Items->size() != 2 ||
      !(*Items)[0].is_number_unsigned())
    return std::nullopt;
  message Message;
  if (!readBody((*Items)[0].get<std::size_t>(), (*Items)[1], Message))
    return std::nullopt;
  // The gateway connects to each of them.
  if (const auto *Status = std::get_if<status_message>(&Message);
      Status && !std::all_of(Status->Schedulers.begin(),
                             Status->Schedulers.end(), core::isIpAddress))
    return std::nullopt;
  // The gateway passes the status on to a caller.
  if (const auto *Reply = std::get_if<reply_message>(&Message);
      Reply && Reply->IsHandled &&
      (Reply->Status < MinStatus || Reply->Status > MaxStatus))
    return std::nullopt;
  return Message;
}

} // namespace lycheetrestle::gateway
