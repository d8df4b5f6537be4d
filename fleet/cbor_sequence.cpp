#include "fleet/cbor_sequence.h"

#include "core/cbor_limits.h"

#include <utility>
#include <vector>

namespace lycheetrestle::fleet {

namespace {

using nlohmann::json;

constexpr std::size_t MaxDepth = 16;
// A declaration of 20,000 hosts has about 160,000 values.
constexpr std::size_t MaxValues = 1'000'000;

/// Builds a document within the limits on depth and size. The formats read here
/// consist of arrays and scalars, so maps and floats are refused.
class bounded_builder final : public nlohmann::json_sax<json> {
public:
  bool null() override { return add(nullptr); }
  bool boolean(bool Value) override { return add(Value); }
  bool number_integer(number_integer_t Value) override { return add(Value); }
  bool number_unsigned(number_unsigned_t Value) override { return add(Value); }
  bool number_float(number_float_t, const string_t &) override { return false; }
  bool string(string_t &Value) override { return add(std::move(Value)); }
  bool binary(binary_t &Value) override { return add(std::move(Value)); }
  bool start_object(std::size_t) override { return false; }
  bool key(string_t &) override { return false; }
  bool end_object() override { return false; }
  bool start_array(std::size_t) override {
    if (Open.size() >= MaxDepth || !add(json::array()))
      return false;
    // No other value is added to the parent while its array is open, so the
    // address stays valid.
    Open.push_back(Open.empty() ? &Root : &Open.back()->back());
    return true;
  }
  bool end_array() override {
    Open.pop_back();
    return true;
  }
  bool parse_error(std::size_t, const std::string &,
                   const nlohmann::detail::exception &) override {
    return false;
  }
  json take() { return std::move(Root); }

private:
  bool add(json Value) {
    if (++Values > MaxValues)
      return false;
    if (Open.empty())
      Root = std::move(Value);
    else
      Open.back()->push_back(std::move(Value));
    return true;
  }

  json Root;
  std::vector<json *> Open;
  std::size_t Values = 0;
};

} // namespace

std::optional<json> cbor_sequence::next() {
  // Also refuses nested texts of indefinite length, for which the parser
  // recurses before it calls the builder.
  auto Size = core::measureCbor(Rest, MaxDepth, MaxValues);
  if (!Size)
    return std::nullopt;
  bounded_builder Builder;
  try {
    if (!json::sax_parse(Rest.substr(0, *Size), &Builder,
                         json::input_format_t::cbor))
      return std::nullopt;
  } catch (const std::exception &) {
    return std::nullopt;
  }
  Rest.remove_prefix(*Size);
  return Builder.take();
}

void appendCbor(std::string &Bytes, const json &Item) {
  json::to_cbor(Item, nlohmann::detail::output_adapter<char>(Bytes));
}

} // namespace lycheetrestle::fleet
