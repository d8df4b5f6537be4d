#include "core/object_reader.h"

#include <algorithm>
#include <cctype>

namespace lycheetrestle::core {

namespace {

// Longer values are truncated in error messages.
constexpr std::size_t MaxDisplayedBytes = 80;
// Longer paths are truncated in error messages: an unknown member may have a
// name of any length.
constexpr std::size_t MaxPathBytes = 300;
// A syntax error quotes the last token, which may be the whole document.
constexpr std::size_t MaxSyntaxErrorBytes = 300;
// Maximum bytes of a name.
constexpr std::size_t MaxNameLength = 64;
// Exceeds the nesting of every valid document. Deeper documents are rejected
// during parsing, because the parser's destructor recurses.
constexpr int MaxDepth = 32;

std::string truncated(std::string Text, std::size_t MaxBytes) {
  if (Text.size() > MaxBytes)
    Text = Text.substr(0, MaxBytes) + "...";
  return Text;
}

std::string displayText(const nlohmann::json &Value) {
  std::string Text =
      Value.dump(-1, ' ', false, nlohmann::json::error_handler_t::replace);
  return truncated(std::move(Text), MaxDisplayedBytes);
}

bool isNameCharacter(char C) {
  return std::isalnum(static_cast<unsigned char>(C)) || C == '.' || C == '_' ||
         C == '-';
}

} // namespace

result<nlohmann::json> parseJson(std::string_view Text, std::size_t MaxBytes) {
  if (Text.size() > MaxBytes)
    return fail({error_code::TooLarge,
                 "the document must have at most " + std::to_string(MaxBytes) +
                     " bytes",
                 "", std::to_string(Text.size()), verdict::NotRun});
  bool TooDeep = false;
  auto CheckDepth = [&](int Depth, nlohmann::json::parse_event_t,
                        nlohmann::json &) {
    TooDeep = TooDeep || Depth > MaxDepth;
    return Depth <= MaxDepth;
  };
  try {
    auto Value = nlohmann::json::parse(Text, CheckDepth, true, true);
    if (TooDeep)
      return failInput("", "",
                       "the document is nested deeper than " +
                           std::to_string(MaxDepth) + " levels");
    return Value;
  } catch (const nlohmann::json::exception &Exception) {
    return failInput("", "", truncated(Exception.what(), MaxSyntaxErrorBytes));
  }
}

object_reader::object_reader(const nlohmann::json &Value, std::string Path)
    : Value(Value), Path(std::move(Path)) {
  if (!Value.is_object())
    reject(failure{error_code::BadInput, "must be an object", this->Path,
                   displayText(Value), verdict::NotRun});
}

bool object_reader::has(std::string_view Name) const {
  return Value.is_object() && Value.contains(std::string(Name));
}

std::string object_reader::pathOf(std::string_view Name) const {
  if (Path.empty())
    return std::string(Name);
  return Path + "." + std::string(Name);
}

std::string object_reader::pathOf(std::string_view Name,
                                  std::size_t Index) const {
  return pathOf(Name) + "[" + std::to_string(Index) + "]";
}

void object_reader::reject(std::string_view Name, std::string_view Displayed,
                           std::string_view Rule) {
  reject(failure{error_code::BadInput, std::string(Rule),
                 truncated(pathOf(Name), MaxPathBytes),
                 truncated(std::string(Displayed), MaxPathBytes),
                 verdict::NotRun});
}

void object_reader::reject(failure Failure) {
  if (!FirstError)
    FirstError = std::move(Failure);
}

const nlohmann::json *object_reader::find(std::string_view Name, bool Required,
                                          std::string_view Kind) {
  KnownNames.emplace(Name);
  if (!Value.is_object())
    return nullptr;
  auto Found = Value.find(std::string(Name));
  if (Found != Value.end())
    return &*Found;
  if (Required)
    reject(Name, "", "is required and must be " + std::string(Kind));
  return nullptr;
}

std::string object_reader::readString(std::string_view Name,
                                      std::size_t MinLength,
                                      std::size_t MaxLength) {
  const auto *Member = find(Name, true, "a string");
  if (!Member)
    return {};
  if (!Member->is_string()) {
    reject(Name, displayText(*Member), "must be a string");
    return {};
  }
  auto Text = Member->get<std::string>();
  if (Text.size() < MinLength || Text.size() > MaxLength) {
    reject(Name, displayText(*Member),
           "must have " + std::to_string(MinLength) + " to " +
               std::to_string(MaxLength) + " bytes");
    return {};
  }
  return Text;
}

std::string object_reader::readString(std::string_view Name,
                                      std::string_view Default,
                                      std::size_t MinLength,
                                      std::size_t MaxLength) {
  if (!find(Name, false, ""))
    return std::string(Default);
  return readString(Name, MinLength, MaxLength);
}

std::string object_reader::readName(std::string_view Name) {
  auto Text = readString(Name, 1, MaxNameLength);
  if (!std::all_of(Text.begin(), Text.end(), isNameCharacter)) {
    reject(Name, Text, "must consist of letters, digits, '.', '_' and '-'");
    return {};
  }
  return Text;
}

std::int64_t object_reader::readInteger(std::string_view Name,
                                        std::int64_t Minimum,
                                        std::int64_t Maximum) {
  const auto *Member = find(Name, true, "an integer");
  if (!Member)
    return Minimum;
  bool Fits = Member->is_number_integer() &&
              (!Member->is_number_unsigned() ||
               Member->get<std::uint64_t>() <= std::uint64_t(INT64_MAX));
  if (!Fits) {
    reject(Name, displayText(*Member), "must be an integer");
    return Minimum;
  }
  auto Number = Member->get<std::int64_t>();
  if (Number < Minimum || Number > Maximum) {
    reject(Name, displayText(*Member),
           "must be " + std::to_string(Minimum) + " to " +
               std::to_string(Maximum));
    return Minimum;
  }
  return Number;
}

std::int64_t object_reader::readInteger(std::string_view Name,
                                        std::int64_t Minimum,
                                        std::int64_t Maximum,
                                        std::int64_t Default) {
  if (!find(Name, false, ""))
    return Default;
  return readInteger(Name, Minimum, Maximum);
}

double object_reader::readNumber(std::string_view Name, double Minimum,
                                 double Maximum, double Default) {
  const auto *Member = find(Name, false, "");
  if (!Member)
    return Default;
  if (!Member->is_number()) {
    reject(Name, displayText(*Member), "must be a number");
    return Default;
  }
  auto Number = Member->get<double>();
  if (!(Number >= Minimum && Number <= Maximum)) {
    reject(Name, displayText(*Member),
           "must be " + std::to_string(Minimum) + " to " +
               std::to_string(Maximum));
    return Default;
  }
  return Number;
}

bool object_reader::readBool(std::string_view Name, bool Default) {
  const auto *Member = find(Name, false, "");
  if (!Member)
    return Default;
  if (!Member->is_boolean()) {
    reject(Name, displayText(*Member), "must be true or false");
    return Default;
  }
  return Member->get<bool>();
}

std::string
object_reader::readChoice(std::string_view Name,
                          const std::vector<std::string_view> &Choices) {
  auto Text = readString(Name);
  if (Text.empty() ||
      std::find(Choices.begin(), Choices.end(), Text) != Choices.end())
    return Text;
  std::string Rule = "must be one of";
  for (auto Choice : Choices)
    Rule += " " + std::string(Choice);
  reject(Name, Text, Rule);
  return {};
}

std::vector<const nlohmann::json *>
object_reader::readArray(std::string_view Name, std::size_t MaxElements) {
  std::vector<const nlohmann::json *> Elements;
  const auto *Member = find(Name, true, "an array");
  if (!Member)
    return Elements;
  if (!Member->is_array()) {
    reject(Name, displayText(*Member), "must be an array");
    return Elements;
  }
  if (Member->size() > MaxElements) {
    reject(Name, std::to_string(Member->size()),
           "must have at most " + std::to_string(MaxElements) + " elements");
    return Elements;
  }
  for (const auto &Element : *Member)
    Elements.push_back(&Element);
  return Elements;
}

std::vector<const nlohmann::json *>
object_reader::readOptionalArray(std::string_view Name,
                                 std::size_t MaxElements) {
  if (!find(Name, false, ""))
    return {};
  return readArray(Name, MaxElements);
}

const nlohmann::json *object_reader::readObject(std::string_view Name) {
  const auto *Member = find(Name, false, "");
  if (!Member)
    return nullptr;
  if (!Member->is_object()) {
    reject(Name, displayText(*Member), "must be an object");
    return nullptr;
  }
  return Member;
}

result<void> object_reader::finish() {
  if (Value.is_object())
    for (const auto &[Name, Member] : Value.items())
      if (KnownNames.find(Name) == KnownNames.end())
        reject(Name, displayText(Member), "is not a known field");
  if (FirstError)
    return fail(*FirstError);
  return {};
}

} // namespace lycheetrestle::core
