// Text fields as the simulator's wire and the sockets write them: name and value, numbers, lists, words. Pure
// functions over text; no view outlives the text that it was made from.
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

/// A line that cannot be read as what it claims to be.
class ParseError : public std::runtime_error {
 public:
  using std::runtime_error::runtime_error;
};

inline constexpr double largest_ms = 1e13;  // keeps microseconds inside 63 bits

struct Field {
  std::string_view name;
  std::string_view value;
};

/// The name=value parts of a line; `tail` names a field that runs to the end of the line.
inline std::vector<Field> split_fields(std::string_view text) {
  std::vector<Field> fields;
  while (!text.empty()) {
    const auto end = text.find(' ');
    const auto part = text.substr(0, end);
    if (const auto eq = part.find('='); eq != std::string_view::npos)
      fields.push_back({part.substr(0, eq), part.substr(eq + 1)});
    if (end == std::string_view::npos) break;
    text.remove_prefix(end + 1);
  }
  return fields;
}

inline std::optional<double> to_number(std::string_view text) {
  if (text.empty() || text.size() > 64) return std::nullopt;
  const std::string copy(text);
  char* end = nullptr;
  const double value = std::strtod(copy.c_str(), &end);
  if (end != copy.c_str() + copy.size() || !std::isfinite(value)) return std::nullopt;
  return value;
}

inline std::optional<std::uint64_t> to_whole(std::string_view text) {
  if (text.empty() || text.size() > 20) return std::nullopt;
  std::uint64_t value = 0;
  for (const char c : text) {
    if (c < '0' || c > '9') return std::nullopt;
    const auto digit = static_cast<std::uint64_t>(c - '0');
    if (value > (std::numeric_limits<std::uint64_t>::max() - digit) / 10) return std::nullopt;
    value = value * 10 + digit;
  }
  return value;
}

inline Duration from_ms(double ms) {
  if (std::fabs(ms) > largest_ms) throw ParseError("time out of range");
  return Duration(std::llround(ms * 1000.0));
}

template <class Enum>
struct Word {
  std::string_view word;
  Enum value;
};

template <class Enum, std::size_t N>
std::optional<Enum> lookup(const Word<Enum> (&words)[N], std::string_view text) {
  for (const auto& w : words)
    if (w.word == text) return w.value;
  return std::nullopt;
}

inline std::vector<std::string_view> split_commas(std::string_view text) {
  std::vector<std::string_view> parts;
  if (text.empty()) return parts;
  for (;;) {
    const auto end = text.find(',');
    parts.push_back(text.substr(0, end));
    if (end == std::string_view::npos) return parts;
    text.remove_prefix(end + 1);
  }
}

}  // namespace cedarring::text
