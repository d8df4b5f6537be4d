#ifndef LYCHEETRESTLE_FLEET_CBOR_SEQUENCE_H
#define LYCHEETRESTLE_FLEET_CBOR_SEQUENCE_H

#include <nlohmann/json.hpp>

#include <cstddef>
#include <optional>
#include <string>
#include <string_view>

namespace lycheetrestle::fleet {

/// Reads a sequence of CBOR items from untrusted bytes. Depth and number of
/// values are limited during parsing, because the recursive parser would
/// overflow the stack on deeply nested input. Maps and floats are refused.
class cbor_sequence {
public:
  /// \param Bytes the items; they must outlive the sequence.
  explicit cbor_sequence(std::string_view Bytes) : Rest(Bytes) {}

  /// \returns the next item, or nothing if it is malformed or missing.
  std::optional<nlohmann::json> next();
  /// \returns whether all bytes were read.
  bool atEnd() const { return Rest.empty(); }

private:
  std::string_view Rest;
};

/// Appends an item to a sequence.
void appendCbor(std::string &Bytes, const nlohmann::json &Item);

} // namespace lycheetrestle::fleet

#endif
