#include "scheduling/delegation_messages.h"

#include "core/cbor_limits.h"
#include "fleet/cbor_archive.h"

#include <concepts>
#include <type_traits>
#include <utility>

namespace lycheetrestle::scheduling {

namespace {

using fleet::cbor_reader;
using fleet::cbor_writer;

constexpr const char *CallsName = "calls";
constexpr const char *ResultsName = "results";
// The deepest item nests as message > calls > call > headers > header.
constexpr std::size_t MaxDepth = 6;
// A call has about 15 items; bounds the memory of a message of 4 MiB.
constexpr std::size_t MaxItems = 15 * fleet::MaxListItems;

// The records define which members are transferred, and in which order.
struct header_record {
  std::string Name;
  std::string Value;
};

struct call_record {
  std::uint64_t Id = 0;
  std::string Address;
  std::string Method;
  std::string Target;
  std::vector<header_record> Headers;
  std::string Body;
  std::uint32_t TimeoutMs = 0;
};

struct result_record {
  std::uint64_t Id = 0;
  bool WasSent = false;
  bool IsComplete = false;
  std::uint16_t Status = 0;
  std::vector<header_record> Headers;
  std::string Body;
  std::string Reason;
  bool IsRefused = false;
};

template <typename Type, typename Record>
concept record_of = std::same_as<std::remove_const_t<Type>, Record>;

template <typename Archive, record_of<header_record> Type>
void fields(Archive &A, Type &R) {
  A(R.Name, R.Value);
}
template <typename Archive, record_of<call_record> Type>
void fields(Archive &A, Type &R) {
  A(R.Id, R.Address, R.Method, R.Target, R.Headers);
  A.bytes(R.Body);
  A(R.TimeoutMs);
}
template <typename Archive, record_of<result_record> Type>
void fields(Archive &A, Type &R) {
  A(R.Id, R.WasSent, R.IsComplete, R.Status, R.Headers);
  A.bytes(R.Body);
  A(R.Reason);
  // Rarely set; without it earlier versions can read the record.
  if (!std::is_const_v<Type> || R.IsRefused)
    A.trailing(R.IsRefused);
}

std::vector<header_record> toRecords(const std::vector<http::header> &Headers) {
  std::vector<header_record> Records;
  for (const auto &Header : Headers)
    Records.push_back({Header.Name, Header.Value});
  return Records;
}

std::vector<http::header> toHeaders(std::vector<header_record> Records) {
  std::vector<http::header> Headers;
  for (auto &Record : Records)
    Headers.push_back({std::move(Record.Name), std::move(Record.Value)});
  return Headers;
}

call_record toRecord(const http::client_call &Call) {
  auto TimeoutMs =
      std::chrono::duration_cast<std::chrono::milliseconds>(Call.Timeout);
  return {Call.Id,
          core::toText(Call.Address),
          Call.Request.Method,
          Call.Request.Target,
          toRecords(Call.Request.Headers),
          Call.Request.Body,
          static_cast<std::uint32_t>(TimeoutMs.count())};
}

http::client_call fromRecord(call_record Record) {
  http::client_call Call;
  Call.Id = Record.Id;
  Call.Address = core::network_address::parse(Record.Address);
  Call.Request.Method = std::move(Record.Method);
  Call.Request.Target = std::move(Record.Target);
  Call.Request.Headers = toHeaders(std::move(Record.Headers));
  Call.Request.Body = std::move(Record.Body);
  Call.Timeout = std::chrono::milliseconds(Record.TimeoutMs);
  return Call;
}

result_record toRecord(const http::client_result &Result) {
  // The leader does not use the headers of a response.
  return {Result.Id,
          Result.WasSent,
          Result.IsComplete,
          Result.Response.Status,
          {},
          Result.Response.Body,
          Result.Reason,
          Result.IsRefused};
}

http::client_result fromRecord(result_record Record) {
  http::client_result Result;
  Result.Id = Record.Id;
  Result.WasSent = Record.WasSent;
  Result.IsComplete = Record.IsComplete;
  Result.Response.Status = Record.Status;
  Result.Response.Headers = toHeaders(std::move(Record.Headers));
  Result.Response.Body = std::move(Record.Body);
  Result.Reason = std::move(Record.Reason);
  Result.IsRefused = Record.IsRefused;
  return Result;
}

template <typename Item>
std::string encodeList(const char *Name, const std::vector<Item> &Items) {
  auto List = nlohmann::json::array();
  for (const auto &Each : Items)
    List.push_back(cbor_writer::toJson(toRecord(Each)));
  nlohmann::json Map;
  Map[Name] = std::move(List);
  std::string Bytes;
  nlohmann::json::to_cbor(Map, Bytes);
  return Bytes;
}

template <typename Record, typename Item>
bool decodeList(const nlohmann::json &List, std::vector<Item> &Items) {
  if (!List.is_array() || List.size() > fleet::MaxListItems)
    return false;
  for (const auto &Each : List) {
    Record Value;
    if (!cbor_reader::fromJson(Each, Value))
      return false;
    Items.push_back(fromRecord(std::move(Value)));
  }
  return true;
}

} // namespace

std::string encodeDelegation(const delegation_message &Message) {
  if (const auto *Calls = std::get_if<delegated_calls>(&Message))
    return encodeList(CallsName, Calls->Calls);
  return encodeList(ResultsName, std::get<delegated_results>(Message).Results);
}

std::optional<delegation_message> decodeDelegation(std::string_view Bytes) {
  auto Map = core::parseCbor(Bytes, MaxDepth, MaxItems);
  if (!Map || !Map->is_object() || Map->size() != 1)
    return std::nullopt;
  const auto &Name = Map->begin().key();
  if (Name == CallsName) {
    delegated_calls Message;
    if (!decodeList<call_record>(Map->front(), Message.Calls))
      return std::nullopt;
    return Message;
  }
  delegated_results Message;
  if (Name != ResultsName ||
      !decodeList<result_record>(Map->front(), Message.Results))
    return std::nullopt;
  return Message;
}

} // namespace lycheetrestle::scheduling
