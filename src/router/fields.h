// Parsing of text fields: name=value pairs, numbers, lists and keywords. Used for the simulator's lines and
// for load reports from hosts. Pure functions; a returned view refers to the text passed in.
#pragma once

#include <cmath>
#include <cstdint>
#include <cstdlib>
#include <limits>
#include <optional>
#include <stdexcept>
#include <string>
#include <string_view>
#include <vector>

#include "cedarring/router.h"

namespace cedarring::text {

/// Thrown when a line is malformed.
class ParseError : public std::runtime_error {
 public:
  using std::runtime_error::runtime_error;
};

/// Largest absolute time in milliseconds that is accepted; in microseconds it fits 63 bits.
inline constexpr double max_ms = 1e13;
/// Largest number of characters of a decimal number that is accepted.
inline constexpr std::size_t max_number_length = 64;
/// Number of digits of the largest unsigned 64-bit integer.
inline constexpr std::size_t max_digits = 20;

/// A name=value pair of a line.
struct Field {
  std::string_view name;
  std::string_view value;
};

/// Splits a line at spaces and returns its name=value pairs; other parts are skipped.
inline std::vector<Field> split_fields(std::string_view line) {
  std::vector<Field> fields;
  while (!line.empty()) {
    const auto end = line.find(' ');
    const auto part = line.substr(0, end);
    if (const auto equals = part.find('='); equals != std::string_view::npos)
      fields.push_back({part.substr(0, equals), part.substr(equals + 1)});
    if (end == std::string_view::npos) break;
    line.remove_prefix(end + 1);
  }
  return fields;
}

/// Parses a finite decimal number; returns nothing unless the whole text is such a number.
inline std::optional<double> to_number(std::string_view text) {
  if (text.empty() || text.size() > max_number_length) return std::nullopt;
  const std::string terminated(text);
  char* end = nullptr;
  const double value = std::strtod(terminated.c_str(), &end);
  if (end != terminated.c_str() + terminated.size() || !std::isfinite(value)) return std::nullopt;
  return value;
}

/// Parses an unsigned integer; returns nothing unless the whole text consists of decimal digits and the value
/// fits 64 bits.
inline std::optional<std::uint64_t> to_unsigned(std::string_view text) {
  if (text.empty() || text.size() > max_digits) return std::nullopt;
  std::uint64_t value = 0;
  for (const char c : text) {
    if (c < '0' || c > '9') return std::nullopt;
    const auto digit = static_cast<std::uint64_t>(c - '0');
    if (value > (std::numeric_limits<std::uint64_t>::max() - digit) / 10) return std::nullopt;
    value = value * 10 + digit;
  }
  return value;
}

/// Converts finite milliseconds, rounded to whole microseconds; throws ParseError beyond max_ms.
inline Duration from_ms(double ms) {
  if (std::fabs(ms) > max_ms) throw ParseError("a time is out of range: at most 1e13 ms are accepted");
  return Duration(std::llround(ms * 1000.0));
}

/// A keyword of the text and the value that it stands for.
template <class Enum>
struct Keyword {
  std::string_view text;
  Enum value;
};

/// Returns the value of the keyword `text`; nothing if it is not in the table.
template <class Enum, std::size_t N>
std::optional<Enum> lookup(const Keyword<Enum> (&keywords)[N], std::string_view text) {
  for (const auto& keyword : keywords)
    if (keyword.text == text) return keyword.value;
  return std::nullopt;
}

/// Splits a list at commas; an empty text is an empty list.
inline std::vector<std::string_view> split_commas(std::string_view list) {
  std::vector<std::string_view> parts;
  if (list.empty()) return parts;
  for (;;) {
    const auto end = list.find(',');
    parts.push_back(list.substr(0, end));
    if (end == std::string_view::npos) return parts;
    list.remove_prefix(end + 1);
  }
}

}  // namespace cedarring::text
