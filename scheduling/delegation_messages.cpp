#include "scheduling/delegation_messages.h"

#include "scheduling/fields.h"
#include "scheduling/list_codec.h"

#include <algorithm>
#include <concepts>
#include <type_traits>
#include <utility>

namespace lycheetrestle::fleet {

template <>
inline constexpr auto LargestEnumerator<scheduling::endpoint_verdict> =
    scheduling::endpoint_verdict::BadOrder;
template <>
inline constexpr auto LargestEnumerator<scheduling::host_state> =
    scheduling::host_state::Down;

} // namespace lycheetrestle::fleet

namespace lycheetrestle::scheduling {

template <typename Archive, record_of<start_order> Type>
void fields(Archive &A, Type &R) {
  A(R.Task, R.Attempt);
  A.bytes(R.Payload);
  A(R.LeaseExpiryMs, R.Fence, R.Checkpoint, R.Ticket);
}
template <typename Archive, record_of<stop_order> Type>
void fields(Archive &A, Type &R) {
  A(R.Task, R.Attempt, R.Fence);
}
template <typename Archive, record_of<poll_order> Type>
void fields(Archive &A, Type &R) {
  A(R.Fence, R.Cursor, R.LeaseExpiryMs, R.WaitMs);
}
template <typename Archive, record_of<throttle_order> Type>
void fields(Archive &A, Type &R) {
  A(R.Task, R.Attempt, R.Percent, R.Fence);
}
template <typename Archive, record_of<list_hosts_order> Type>
void fields(Archive &A, Type &R) {
  A(R.PageToken);
}
template <typename Archive, record_of<host_row> Type>
void fields(Archive &A, Type &R) {
  A(R.Name, R.Pool, R.State, R.Zone, R.Labels, R.Capacity, R.EndpointId);
}
template <typename Archive, record_of<hosts_answer> Type>
void fields(Archive &A, Type &R) {
  A(R.Hosts, R.NextToken, R.UnreadableHosts);
}
// The rows have no nested record for the task: a list has up to hundreds.
template <typename Archive, record_of<run_row> Type>
void fields(Archive &A, Type &R) {
  A(R.Task.Job, R.Task.Occurrence, R.Task.Step, R.Task.Index, R.Attempt,
    R.Checkpoint, R.Percent, R.Load);
}
template <typename Archive, record_of<end_row> Type>
void fields(Archive &A, Type &R) {
  A(R.Number, R.Task.Job, R.Task.Occurrence, R.Task.Step, R.Task.Index,
    R.Attempt, R.Outcome, R.Checkpoint);
}
template <typename Archive, record_of<endpoint_answer> Type>
void fields(Archive &A, Type &R) {
  A(R.Verdict, R.ClockMs, R.IncarnationMs, R.Running, R.Ended);
}
template <typename Archive, record_of<no_answer> Type>
void fields(Archive &A, Type &R) {
  A(R.MayHaveRun, R.Reason, R.IsLocal, R.IsRefused);
}

namespace {

constexpr const char *OrdersName = "orders";
constexpr const char *ResultsName = "results";
constexpr const char *ClockName = "clock";
// The deepest item nests as message > results > result > hosts > rows > row >
// labels > label.
constexpr std::size_t MaxDepth = 8;
// A row has 9 items; bounds the memory of a message of 4 MiB.
constexpr std::size_t MaxItems = 30 * fleet::MaxListItems;
// Largest answer that is transferred, and allowance for its fields other than
// texts.
constexpr std::size_t MaxAnswerBytes = fleet::MaxByteStringBytes;
constexpr std::size_t ItemOverheadBytes = 64;
constexpr std::size_t RowOverheadBytes = 32;

/// An order with exactly one body.
struct order_record {
  std::uint64_t Id = 0;
  std::uint32_t Endpoint = 0;
  std::string Address;
  std::string EndpointId;
  std::uint32_t TimeoutMs = 0;
  std::optional<start_order> Start;
  std::optional<stop_order> Stop;
  std::optional<poll_order> Poll;
  std::optional<throttle_order> Throttle;
  std::optional<list_hosts_order> Hosts;
  std::optional<std::uint64_t> DelegateClockUs;
};

/// A result with exactly one kind of answer.
struct result_record {
  std::uint64_t Id = 0;
  std::optional<no_answer> NoAnswer;
  std::optional<endpoint_answer> Answer;
  std::optional<hosts_answer> Hosts;
};

template <typename Archive, record_of<order_record> Type>
void fields(Archive &A, Type &R) {
  A(R.Id, R.Endpoint, R.Address, R.EndpointId, R.TimeoutMs, R.Start, R.Stop,
    R.Poll, R.Throttle, R.Hosts);
  // Only for a delegate that has sent its clock; earlier versions do not.
  if (!std::is_const_v<Type> || R.DelegateClockUs)
    A.trailing(R.DelegateClockUs);
}
template <typename Archive, record_of<result_record> Type>
void fields(Archive &A, Type &R) {
  A(R.Id, R.NoAnswer, R.Answer, R.Hosts);
}

order_record toRecord(const order &Order) {
  order_record Record;
  Record.Id = Order.Id;
  Record.Endpoint = Order.Endpoint;
  Record.Address = core::toText(Order.Address);
  Record.EndpointId = Order.EndpointId;
  Record.TimeoutMs = static_cast<std::uint32_t>(
      std::chrono::duration_cast<std::chrono::milliseconds>(Order.Timeout)
          .count());
  Record.DelegateClockUs = Order.DelegateClockUs;
  if (const auto *Start = std::get_if<start_order>(&Order.Body))
    Record.Start = *Start;
  else if (const auto *Stop = std::get_if<stop_order>(&Order.Body))
    Record.Stop = *Stop;
  else if (const auto *Poll = std::get_if<poll_order>(&Order.Body))
    Record.Poll = *Poll;
  else if (const auto *Throttle = std::get_if<throttle_order>(&Order.Body))
    Record.Throttle = *Throttle;
  else if (const auto *Hosts = std::get_if<list_hosts_order>(&Order.Body))
    Record.Hosts = *Hosts;
  return Record;
}

/// \returns the order, or nothing when the record has not exactly one body.
std::optional<order> fromRecord(order_record Record) {
  order Order;
  Order.Id = Record.Id;
  Order.Endpoint = Record.Endpoint;
  Order.Address = core::network_address::parse(Record.Address);
  Order.EndpointId = std::move(Record.EndpointId);
  Order.Timeout = std::chrono::milliseconds(Record.TimeoutMs);
  Order.DelegateClockUs = Record.DelegateClockUs;
  int Bodies = 0;
  auto Take = [&](auto &Body) {
    if (!Body)
      return;
    ++Bodies;
    Order.Body = std::move(*Body);
  };
  Take(Record.Start);
  Take(Record.Stop);
  Take(Record.Poll);
  Take(Record.Throttle);
  Take(Record.Hosts);
  bool IsForHosts = std::holds_alternative<list_hosts_order>(Order.Body);
  if (Bodies != 1 || (Order.Endpoint == 0) != IsForHosts)
    return std::nullopt;
  return Order;
}

result_record toRecord(const order_result &Result) {
  result_record Record;
  Record.Id = Result.Id;
  if (const auto *Answer = std::get_if<endpoint_answer>(&Result.Answer))
    Record.Answer = *Answer;
  else if (const auto *NoAnswer = std::get_if<no_answer>(&Result.Answer))
    Record.NoAnswer = *NoAnswer;
  else if (const auto *Hosts = std::get_if<hosts_answer>(&Result.Answer))
    Record.Hosts = *Hosts;
  return Record;
}

/// \returns the result, or nothing when the record has not exactly one answer.
std::optional<order_result> fromRecord(result_record Record) {
  if (Record.NoAnswer.has_value() + Record.Answer.has_value() +
          Record.Hosts.has_value() !=
      1)
    return std::nullopt;
  if (Record.Hosts)
    return order_result{Record.Id, std::move(*Record.Hosts)};
  if (Record.Answer)
    return order_result{Record.Id, std::move(*Record.Answer)};
  return order_result{Record.Id, std::move(*Record.NoAnswer)};
}

/// \param Bytes the size of the rows is added to it.
/// \returns whether a receiver accepts the rows.
template <typename RowType>
bool areTransferable(const std::vector<RowType> &Rows, std::size_t &Bytes) {
  for (const auto &Row : Rows) {
    Bytes += RowOverheadBytes + Row.Task.Job.size() + Row.Checkpoint.size();
    if (Row.Task.Job.size() > fleet::MaxStringBytes ||
        Row.Checkpoint.size() > fleet::MaxStringBytes)
      return false;
  }
  return Rows.size() <= fleet::MaxListItems;
}

/// \param Bytes the size of the rows is added to it.
/// \returns whether a receiver accepts the rows.
bool areTransferable(const hosts_answer &Hosts, std::size_t &Bytes) {
  bool IsShort = Hosts.NextToken.size() <= fleet::MaxStringBytes;
  auto Add = [&](const std::string &Text) {
    Bytes += Text.size();
    IsShort &= Text.size() <= fleet::MaxStringBytes;
  };
  for (const auto &Row : Hosts.Hosts) {
    Bytes += RowOverheadBytes;
    for (const auto *Text : {&Row.Name, &Row.Pool, &Row.Zone, &Row.EndpointId})
      Add(*Text);
    for (const auto &Label : Row.Labels)
      Add(Label);
    IsShort &= Row.Labels.size() <= fleet::MaxListItems;
  }
  for (const auto &Name : Hosts.UnreadableHosts)
    Add(Name);
  return IsShort && Hosts.Hosts.size() <= fleet::MaxListItems &&
         Hosts.UnreadableHosts.size() <= fleet::MaxListItems;
}

} // namespace

bool isDelegable(const order &Order) {
  if (std::holds_alternative<list_hosts_order>(Order.Body))
    return true;
  return Order.Endpoint != 0 &&
         (std::holds_alternative<start_order>(Order.Body) ||
          std::holds_alternative<stop_order>(Order.Body) ||
          std::holds_alternative<poll_order>(Order.Body) ||
          std::holds_alternative<throttle_order>(Order.Body));
}

std::size_t messageBytes(const order &Order) {
  auto Size = ItemOverheadBytes + Order.EndpointId.size();
  if (const auto *Start = std::get_if<start_order>(&Order.Body))
    Size += Start->Payload.size() + Start->Checkpoint.size() +
            Start->Ticket.size() + Start->Task.Job.size();
  return Size;
}

std::size_t messageBytes(const order_result &Result) {
  auto Size = ItemOverheadBytes;
  if (const auto *Answer = std::get_if<endpoint_answer>(&Result.Answer)) {
    areTransferable(Answer->Running, Size);
    areTransferable(Answer->Ended, Size);
  } else if (const auto *NoAnswer = std::get_if<no_answer>(&Result.Answer)) {
    Size += NoAnswer->Reason.size();
  } else if (const auto *Hosts = std::get_if<hosts_answer>(&Result.Answer)) {
    areTransferable(*Hosts, Size);
  }
  return Size;
}

bool isTransferable(const order_result &Result) {
  if (const auto *NoAnswer = std::get_if<no_answer>(&Result.Answer))
    return NoAnswer->Reason.size() <= fleet::MaxStringBytes;
  std::size_t Bytes = 0;
  if (const auto *Hosts = std::get_if<hosts_answer>(&Result.Answer))
    return areTransferable(*Hosts, Bytes) && Bytes <= MaxAnswerBytes;
  const auto *Answer = std::get_if<endpoint_answer>(&Result.Answer);
  return Answer && areTransferable(Answer->Running, Bytes) &&
         areTransferable(Answer->Ended, Bytes) && Bytes <= MaxAnswerBytes;
}

std::string encodeDelegation(const delegation_message &Message) {
  if (const auto *Orders = std::get_if<delegated_orders>(&Message))
    return encodeList<order>(
        OrdersName, Orders->Orders,
        [](const order &Order) { return toRecord(Order); });
  if (const auto *Clock = std::get_if<delegate_clock>(&Message))
    return encodeList<delegate_clock>(
        ClockName, {Clock, 1},
        [](const delegate_clock &Reading) { return Reading.TimeUs; });
  return encodeList<order_result>(
      ResultsName, std::get<delegated_results>(Message).Results,
      [](const order_result &Result) { return toRecord(Result); });
}

std::optional<delegation_message> decodeDelegation(std::string_view Bytes) {
  list_reader Reader(Bytes, MaxDepth, MaxItems);
  if (Reader.hasName(OrdersName)) {
    auto Orders = Reader.readItems<order, order_record>(
        [](order_record Record) { return fromRecord(std::move(Record)); });
    if (Orders)
      return delegated_orders{std::move(*Orders)};
    return std::nullopt;
  }
  if (Reader.hasName(ClockName)) {
    auto Readings = Reader.readItems<delegate_clock, std::uint64_t>(
        [](std::uint64_t TimeUs) {
          return std::make_optional(delegate_clock{TimeUs});
        });
    if (Readings && Readings->size() == 1)
      return Readings->front();
    return std::nullopt;
  }
  if (!Reader.hasName(ResultsName))
    return std::nullopt;
  auto Results = Reader.readItems<order_result, result_record>(
      [](result_record Record) { return fromRecord(std::move(Record)); });
  if (Results)
    return delegated_results{std::move(*Results)};
  return std::nullopt;
}

} // namespace lycheetrestle::scheduling
