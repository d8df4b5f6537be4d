#ifndef LYCHEETRESTLE_CORE_OBJECT_READER_H
#define LYCHEETRESTLE_CORE_OBJECT_READER_H

#include "core/failure.h"

#include <nlohmann/json.hpp>

#include <cstddef>
#include <cstdint>
#include <optional>
#include <set>
#include <string>
#include <string_view>
#include <vector>

namespace lycheetrestle::core {

/// Parses JSON with comments, nested to at most 32 levels.
/// \param Text the document, of at most MaxBytes bytes.
/// \returns the document, or TooLarge, or BadInput; the message of a syntax
/// error contains its line and column.
result<nlohmann::json> parseJson(std::string_view Text, std::size_t MaxBytes);

/// Reads and checks the members of one JSON object. It keeps the first error;
/// finish() returns it, and also reports members that no call has read. Failed
/// reads return an empty value, the minimum of an integer or the given default,
/// so callers check once, at the end.
class object_reader {
public:
  /// \param Value the JSON value, which must be an object and must outlive the
  /// reader.
  /// \param Path path of the value for error messages, empty at the top.
  object_reader(const nlohmann::json &Value, std::string Path);

  /// \param Name the member's name.
  /// \returns whether the member is present.
  bool has(std::string_view Name) const;

  /// Reads a required string.
  /// \param MinLength, MaxLength the accepted lengths in bytes.
  std::string readString(std::string_view Name, std::size_t MinLength = 1,
                         std::size_t MaxLength = 256);
  /// Reads an optional string.
  std::string readString(std::string_view Name, std::string_view Default,
                         std::size_t MinLength = 0,
                         std::size_t MaxLength = 256);
  /// Reads a required name: at most 64 letters, digits, '.', '_' and '-'.
  std::string readName(std::string_view Name);
  /// Reads a required integer within [Minimum, Maximum].
  std::int64_t readInteger(std::string_view Name, std::int64_t Minimum,
                           std::int64_t Maximum);
  /// Reads an optional integer.
  std::int64_t readInteger(std::string_view Name, std::int64_t Minimum,
                           std::int64_t Maximum, std::int64_t Default);
  /// Reads an optional number within [Minimum, Maximum].
  double readNumber(std::string_view Name, double Minimum, double Maximum,
                    double Default);
  /// Reads an optional boolean.
  bool readBool(std::string_view Name, bool Default);
  /// Reads a required string that must be one of the given names.
  std::string readChoice(std::string_view Name,
                         const std::vector<std::string_view> &Choices);
  /// Reads a required array.
  /// \returns its elements, valid as long as the JSON value.
  std::vector<const nlohmann::json *> readArray(std::string_view Name,
                                                std::size_t MaxElements);
  /// Reads an optional array, empty when absent.
  std::vector<const nlohmann::json *>
  readOptionalArray(std::string_view Name, std::size_t MaxElements);
  /// Reads a nested object.
  /// \returns the value, or null when absent.
  const nlohmann::json *readObject(std::string_view Name);

  /// \returns the path of a member, for example `pools[2].budget`.
  std::string pathOf(std::string_view Name) const;
  /// \returns the path of an element of an array member.
  std::string pathOf(std::string_view Name, std::size_t Index) const;

  /// Records a violation of a rule that the caller checks.
  void reject(std::string_view Name, std::string_view Value,
              std::string_view Rule);
  /// Records a failure of a nested reader.
  void reject(failure Failure);

  /// \returns nothing, or the first error.
  std::optional<failure> error() const { return FirstError; }
  /// Checks for unknown members.
  /// \returns success, or the first error.
  result<void> finish();

private:
  const nlohmann::json *find(std::string_view Name, bool Required,
                             std::string_view Kind);

  const nlohmann::json &Value;
  std::string Path;
  std::set<std::string, std::less<>> KnownNames;
  std::optional<failure> FirstError;
};

} // namespace lycheetrestle::core

#endif
