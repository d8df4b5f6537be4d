#include "fleet/cbor_sequence.h"

#include <iterator>

namespace lycheetrestle::fleet {

namespace {

using nlohmann::json;

constexpr int MaxDepth = 16;
// A declaration of 20,000 hosts has about 160,000 values.
constexpr std::size_t MaxValues = 1'000'000;

/// Accepts a document within the bounds and builds nothing.
class bounds_checker final : public nlohmann::json_sax<json> {
public:
  bool null() override { return count(); }
  bool boolean(bool) override { return count(); }
  bool number_integer(number_integer_t) override { return count(); }
  bool number_unsigned(number_unsigned_t) override { return count(); }
  bool number_float(number_float_t, const string_t &) override {
    return count();
  }
  bool string(string_t &) override { return count(); }
  bool binary(binary_t &) override { return count(); }
  bool start_object(std::size_t) override { return enter(); }
  bool key(string_t &) override { return count(); }
  bool end_object() override { return leave(); }
  bool start_array(std::size_t) override { return enter(); }
  bool end_array() override { return leave(); }
  bool parse_error(std::size_t, const std::string &,
                   const nlohmann::detail::exception &) override {
    return false;
  }

private:
  bool count() { return ++Values <= MaxValues; }
  bool enter() { return ++Depth <= MaxDepth && count(); }
  bool leave() {
    --Depth;
    return true;
  }

  int Depth = 0;
  std::size_t Values = 0;
};

/// Input iterator whose copies share a position, so that the caller knows how
/// many bytes the parser took.
class shared_position {
public:
  using iterator_category = std::input_iterator_tag;
  using value_type = char;
  using difference_type = std::ptrdiff_t;
  using pointer = const char *;
  using reference = const char &;

  explicit shared_position(const char **Position) : Position(Position) {}
  reference operator*() const { return **Position; }
  shared_position &operator++() {
    ++*Position;
    return *this;
  }
  shared_position operator++(int) {
    auto Before = *this;
    ++*Position;
    return Before;
  }
  bool operator==(const shared_position &Other) const {
    return *Position == *Other.Position;
  }

private:
  const char **Position;
};

} // namespace

std::optional<json> cbor_sequence::next() {
  if (Rest.empty())
    return std::nullopt;
  try {
    const char *Position = Rest.data();
    const char *End = Rest.data() + Rest.size();
    bounds_checker Checker;
    if (!json::sax_parse(shared_position(&Position), shared_position(&End),
                         &Checker, json::input_format_t::cbor, false))
      return std::nullopt;
    auto Item = json::from_cbor(Rest.data(), Position, true);
    Rest.remove_prefix(static_cast<std::size_t>(Position - Rest.data()));
    return Item;
  } catch (const std::exception &) {
    return std::nullopt;
  }
}

void appendCbor(std::string &Bytes, const json &Item) {
  json::to_cbor(Item, nlohmann::detail::output_adapter<char>(Bytes));
}

} // namespace lycheetrestle::fleet
