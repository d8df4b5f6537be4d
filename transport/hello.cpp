#include "transport/hello.h"

#include <nlohmann/json.hpp>

namespace lycheetrestle::transport {

namespace {
constexpr std::uint64_t ProtocolVersion = 1;
} // namespace

std::string encodeHello(const hello &Hello) {
  std::string Bytes;
  nlohmann::json::to_cbor({{"type", "hello"},
                           {"from", Hello.Name},
                           {"stamp", Hello.Stamp},
                           {"version", ProtocolVersion}},
                          Bytes);
  return Bytes;
}

std::optional<hello> decodeHello(const std::string &Bytes) {
  if (Bytes.size() > MaxHelloBytes)
    return std::nullopt;
  try {
    auto Value = nlohmann::json::from_cbor(Bytes);
    if (Value.at("type") != "hello" || Value.at("version") != ProtocolVersion)
      return std::nullopt;
    if (!Value.at("stamp").is_number_unsigned())
      return std::nullopt;
    hello Hello;
    Hello.Name = Value.at("from").get<std::string>();
    Hello.Stamp = Value.at("stamp").get<std::uint64_t>();
    if (Hello.Name.empty() || Hello.Name.size() > MaxNameBytes)
      return std::nullopt;
    return Hello;
  } catch (const nlohmann::json::exception &) {
    return std::nullopt;
  }
}

} // namespace lycheetrestle::transport
