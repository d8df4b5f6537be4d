#include "routing/messages.h"

#include "core/cbor_limits.h"

#include <nlohmann/json.hpp>

#include <array>
#include <cmath>
#include <limits>
#include <type_traits>
#include <utility>

namespace lycheetrestle::routing {

namespace {

using nlohmann::json;

constexpr std::size_t MaxMessageBytes = 4u << 20;
constexpr std::size_t MaxStringBytes = 1024;
constexpr std::size_t MaxBodyBytes = 1u << 20;
constexpr std::size_t MaxElements = 20000;
// A full view of 20,000 hosts has about 140,000 values.
constexpr std::size_t MaxValues = 500000;
// The deepest valid message, peer_reply, has six levels. The parser recurses,
// so deeper input must be refused before it exhausts the stack.
constexpr std::size_t MaxDepth = 8;

// fields() lists the members of each type once, for encoding and decoding.

template <typename Archive> void fields(Archive &A, host_view &M) {
  A("name", M.Name);
  A("pool", M.Pool);
  A("zone", M.Zone);
  A.choice("state", M.State, fleet::host_state::SetAside);
  A("epoch", M.Epoch);
  A("changed", M.ChangedIndex);
}

template <typename Archive> void fields(Archive &A, fleet::service_spec &M) {
  A("name", M.Name);
  A("pool", M.Pool);
  A.choice("class", M.DefaultClass, fleet::work_class::Batch);
  A("deadline", M.DeadlineMs);
}

template <typename Archive> void fields(Archive &A, view_delta &M) {
  A("index", M.ViewIndex);
  A("number", M.DeclarationNumber);
  A("full", M.IsFull);
  A("hosts", M.Hosts);
  A("services", M.Services);
}

template <typename Archive> void fields(Archive &A, announcement &M) {
  A("endpoint", M.Endpoint);
  A("incarnation", M.Incarnation);
  A("sequence", M.Sequence);
  A("service", M.Service);
  A("pool", M.Pool);
  A("host", M.Host);
  A("zone", M.Zone);
  A("address", M.Address);
  A("slots", M.Slots);
  A("connections", M.Connections);
  A("leaving", M.Leaving);
  A("in_flight", M.InFlight);
  A("age", M.AgeMs);
}

template <typename Archive> void fields(Archive &A, probe &M) {
  A("nonce", M.Nonce);
  A("known", M.KnownViewIndex);
}

template <typename Archive> void fields(Archive &A, probe_reply &M) {
  A("nonce", M.Nonce);
  A("confirmed", M.Confirmed);
  A("leader", M.Leader);
  A("delta", M.Delta);
}

template <typename Archive> void fields(Archive &A, entry_report &M) {
  A("index", M.ViewIndex);
  A("number", M.DeclarationNumber);
  A("serving", M.Serving);
  A("in_flight", M.InFlightByHost);
  A("demand", M.DemandByService);
  A("queued", M.QueuedByService);
  A("busy", M.BusySlotsByService);
}

template <typename Archive> void fields(Archive &A, key_reserve &M) {
  A("id", M.RequestId);
  A("key", M.Key);
  A("digest", M.RequestDigest);
  A("holder", M.Holder);
}

template <typename Archive> void fields(Archive &A, key_complete &M) {
  A("id", M.RequestId);
  A("key", M.Key);
  A("holder", M.Holder);
  A("status", M.Status);
  A("content_type", M.ContentType);
  A.bytes("body", M.Body);
  A("dropped", M.BodyDropped);
}

template <typename Archive> void fields(Archive &A, key_abandon &M) {
  A("id", M.RequestId);
  A("key", M.Key);
  A("holder", M.Holder);
}

template <typename Archive> void fields(Archive &A, key_reply &M) {
  A("id", M.RequestId);
  A.choice("outcome", M.Outcome, key_outcome::Refused);
  A("reason", M.Reason);
  A("status", M.Status);
  A("content_type", M.ContentType);
  A.bytes("body", M.Body);
  A("dropped", M.BodyDropped);
}

template <typename Archive> void fields(Archive &A, peer_probe &M) {
  A("nonce", M.Nonce);
  A("known", M.KnownViewIndex);
}

template <typename Archive> void fields(Archive &A, peer_reply &M) {
  A("nonce", M.Nonce);
  A("serving", M.Serving);
  A("age", M.ConfirmationAgeMs);
  A("anchored", M.Anchored);
  A("delta", M.Delta);
}

template <typename Archive> void fields(Archive &A, announcements &M) {
  A("echo", M.EchoNonce);
  A("list", M.List);
}

template <typename Archive> void fields(Archive &A, slot_request &M) {
  A("id", M.RequestId);
  A("incarnation", M.Incarnation);
  A("service", M.Service);
  A.choice("class", M.Class, fleet::work_class::Batch);
  A("deadline", M.DeadlineMs);
  A("avoid", M.Avoid);
}

template <typename Archive> void fields(Archive &A, slot_grant &M) {
  A("id", M.RequestId);
  A("service", M.Service);
  A("endpoint", M.Endpoint);
  A("token", M.Token);
}

template <typename Archive> void fields(Archive &A, slot_refusal &M) {
  A("id", M.RequestId);
  A("reason", M.Reason);
}

template <typename Archive> void fields(Archive &A, slot_cancel &M) {
  A("id", M.RequestId);
  A("service", M.Service);
}

template <typename Archive> void fields(Archive &A, slot_release &M) {
  A("service", M.Service);
  A("endpoint", M.Endpoint);
  A("token", M.Token);
  A("ms", M.ServiceMs);
  A("failed", M.Failed);
}

template <typename Archive> void fields(Archive &A, held_slot &M) {
  A("endpoint", M.Endpoint);
  A("token", M.Token);
  A("deadline", M.DeadlineMs);
}

template <typename Archive> void fields(Archive &A, slot_report &M) {
  A("service", M.Service);
  A("incarnation", M.Incarnation);
  A("held", M.Held);
}

class writer {
public:
  template <typename Type> void operator()(const char *Name, Type &Member) {
    Out[Name] = write(Member);
  }
  void bytes(const char *Name, std::string &Member) {
    Out[Name] = json::binary({Member.begin(), Member.end()});
  }
  template <typename Type>
  void choice(const char *Name, Type &Member, Type /*Last*/) {
    Out[Name] = static_cast<unsigned>(Member);
  }
  json Out = json::object();

private:
  template <typename Type> static json write(Type &Member) {
    if constexpr (std::is_arithmetic_v<Type> ||
                  std::is_same_v<Type, std::string>) {
      return Member;
    } else {
      writer Nested;
      fields(Nested, Member);
      return std::move(Nested.Out);
    }
  }
  template <typename Type> static json write(std::vector<Type> &Members) {
    json List = json::array();
    for (auto &Member : Members)
      List.push_back(write(Member));
    return List;
  }
  template <typename Type>
  static json write(std::map<std::string, Type> &Members) {
    json Object = json::object();
    for (auto &[Name, Member] : Members)
      Object[Name] = write(Member);
    return Object;
  }
  template <typename Type> static json write(std::optional<Type> &Member) {
    return Member ? write(*Member) : json();
  }
};

class reader {
public:
  explicit reader(const json &Source) : Source(Source) {}
  template <typename Type> void operator()(const char *Name, Type &Member) {
    const json *Found = find(Name);
    IsValid = IsValid && Found && read(*Found, Member);
  }
  void bytes(const char *Name, std::string &Member) {
    const json *Found = find(Name);
    IsValid = IsValid && Found && Found->is_binary() &&
              Found->get_binary().size() <= MaxBodyBytes;
    if (IsValid)
      Member.assign(Found->get_binary().begin(), Found->get_binary().end());
  }
  template <typename Type>
  void choice(const char *Name, Type &Member, Type Last) {
    unsigned Value = 0;
    (*this)(Name, Value);
    IsValid = IsValid && Value <= static_cast<unsigned>(Last);
    if (IsValid)
      Member = static_cast<Type>(Value);
  }
  bool isValid() const { return IsValid; }

private:
  const json *find(const char *Name) const {
    if (!IsValid || !Source.is_object())
      return nullptr;
    auto Found = Source.find(Name);
    return Found == Source.end() ? nullptr : &*Found;
  }
  template <typename Type> static bool read(const json &Value, Type &Member) {
    if constexpr (std::is_same_v<Type, bool>) {
      if (!Value.is_boolean())
        return false;
      Member = Value.get<bool>();
      return true;
    } else if constexpr (std::is_floating_point_v<Type>) {
      if (!Value.is_number())
        return false;
      Member = Value.get<Type>();
      return std::isfinite(Member);
    } else if constexpr (std::is_unsigned_v<Type>) {
      if (!Value.is_number_unsigned())
        return false;
      auto Number = Value.get<std::uint64_t>();
      Member = static_cast<Type>(Number);
      return Number <= std::numeric_limits<Type>::max();
    } else if constexpr (std::is_same_v<Type, std::int64_t>) {
      bool Fits = Value.is_number_integer() &&
                  (!Value.is_number_unsigned() ||
                   Value.get<std::uint64_t>() <=
                       std::uint64_t(std::numeric_limits<Type>::max()));
      if (Fits)
        Member = Value.get<Type>();
      return Fits;
    } else if constexpr (std::is_same_v<Type, std::string>) {
      if (!Value.is_string() ||
          Value.get_ref<const std::string &>().size() > MaxStringBytes)
        return false;
      Member = Value.get<std::string>();
      return true;
    } else {
      reader Nested(Value);
      fields(Nested, Member);
      return Value.is_object() && Nested.IsValid;
    }
  }
  template <typename Type>
  static bool read(const json &Value, std::vector<Type> &Members) {
    if (!Value.is_array() || Value.size() > MaxElements)
      return false;
    Members.resize(Value.size());
    for (std::size_t I = 0; I < Members.size(); ++I)
      if (!read(Value[I], Members[I]))
        return false;
    return true;
  }
  template <typename Type>
  static bool read(const json &Value, std::map<std::string, Type> &Members) {
    if (!Value.is_object() || Value.size() > MaxElements)
      return false;
    for (const auto &[Name, Member] : Value.items())
      if (!read(Member, Members[Name]))
        return false;
    return true;
  }
  template <typename Type>
  static bool read(const json &Value, std::optional<Type> &Member) {
    if (Value.is_null())
      return true;
    return read(Value, Member.emplace());
  }

  const json &Source;
  bool IsValid = true;
};

// In the order of the alternatives of `message`.
constexpr std::array<std::string_view, std::variant_size_v<message>> TypeNames =
    {"probe",        "probe_reply",   "entry_report", "key_reserve",
     "key_complete", "key_abandon",   "key_reply",    "peer_probe",
     "peer_reply",   "announcements", "slot_request", "slot_grant",
     "slot_refusal", "slot_cancel",   "slot_release", "slot_report"};

template <std::size_t Index>
bool readAlternative(const json &Body, message &Message) {
  reader Reader(Body);
  fields(Reader, Message.emplace<Index>());
  return Reader.isValid() && Body.is_object();
}

template <std::size_t... Indexes>
bool readMessage(std::string_view Type, const json &Body, message &Message,
                 std::index_sequence<Indexes...>) {
  bool IsRead = false;
  static_cast<void>(
      ((TypeNames[Indexes] == Type &&
        (IsRead = readAlternative<Indexes>(Body, Message), true)) ||
       ...));
  return IsRead;
}

boost::leaf::error_id failCorrupt(std::string_view Problem, std::size_t Bytes) {
  return core::fail({core::error_code::Corrupt, std::string(Problem), "message",
                     std::to_string(Bytes) + " bytes", core::verdict::NotRun});
}

} // namespace

std::string encode(const message &Message) {
  json Document;
  Document["type"] = TypeNames[Message.index()];
  std::visit(
      [&](const auto &Body) {
        writer Writer;
        // fields() also decodes, so it takes a mutable reference; the writer
        // does not modify the members.
        fields(Writer, const_cast<std::decay_t<decltype(Body)> &>(Body));
        Document["body"] = std::move(Writer.Out);
      },
      Message);
  std::string Bytes;
  json::to_cbor(Document, Bytes);
  return Bytes;
}

core::result<message> decodeMessage(std::string_view Bytes) {
  if (Bytes.size() > MaxMessageBytes)
    return failCorrupt("expected a message of at most 4 MB", Bytes.size());
  try {
    auto Document = core::parseCbor(Bytes, MaxDepth, MaxValues);
    if (!Document)
      return failCorrupt("expected a message of valid CBOR within the limits "
                         "of depth and size",
                         Bytes.size());
    if (!Document->is_object() || !Document->contains("type") ||
        !(*Document)["type"].is_string() || !Document->contains("body"))
      return failCorrupt("expected a message with type and body", Bytes.size());
    message Message;
    if (!readMessage((*Document)["type"].get_ref<const std::string &>(),
                     (*Document)["body"], Message,
                     std::make_index_sequence<std::variant_size_v<message>>()))
      return failCorrupt(
          "expected a message of a known type with valid members",
          Bytes.size());
    return Message;
  } catch (const std::exception &Exception) {
    return failCorrupt(Exception.what(), Bytes.size());
  }
}

} // namespace lycheetrestle::routing
