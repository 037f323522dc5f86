#include "tools/ctl/show.h"

#include <rapidjson/document.h>
#include <rapidjson/stringbuffer.h>
#include <rapidjson/writer.h>

#include <algorithm>
#include <ctime>
#include <vector>

namespace cedarring::tools {
namespace {

using Json = rapidjson::Value;

constexpr std::int64_t milliseconds_per_second = 1000;
constexpr std::size_t column_gap = 2;  // spaces between the columns of a table

/// Formats a scalar or a table cell. The keys at_ms, since_ms and pinned_until_ms hold Unix times, which are
/// written as UTC dates.
std::string format_value(const std::string& key, const Json& value) {
  if (value.IsString()) return value.GetString();
  if (value.IsInt64() && (key == "at_ms" || key == "since_ms" || key == "pinned_until_ms")) {
    const std::time_t seconds = value.GetInt64() / milliseconds_per_second;
    std::tm utc{};
    gmtime_r(&seconds, &utc);
    char text[40];
    const auto length = std::strftime(text, sizeof text, "%FT%T", &utc);
    std::snprintf(text + length, sizeof text - length, ".%03dZ",
                  static_cast<int>(value.GetInt64() % milliseconds_per_second));
    return text;
  }
  rapidjson::StringBuffer buffer;
  rapidjson::Writer<rapidjson::StringBuffer> writer(buffer);
  value.Accept(writer);
  return buffer.GetString();
}

/// Whether the value is a non-empty list of objects without nested values. An object under the key `readings`
/// is allowed: it is printed as JSON in its cell.
bool is_table(const Json& value) {
  return value.IsArray() && !value.Empty() &&
         std::all_of(
             value.Begin(), value.End(),
             [](const Json& row) {
               return row.IsObject() && std::none_of(
                                            row.MemberBegin(), row.MemberEnd(),
                                            [](const auto& member) {
                                              return member.value.IsArray() ||
                                                     (member.value.IsObject() && member.name != "readings");
                                            });
             });
}

/// Appends the rows as an aligned table with the union of their keys as columns.
void append_table(const Json& rows, const std::string& indent, std::string& out) {
  std::vector<std::string> keys;
  for (const auto& row : rows.GetArray())
    for (const auto& member : row.GetObject())
      if (std::find(keys.begin(), keys.end(), member.name.GetString()) == keys.end())
        keys.emplace_back(member.name.GetString());
  std::vector<std::vector<std::string>> cells{keys};
  for (const auto& row : rows.GetArray()) {
    cells.emplace_back();
    for (const auto& key : keys) {
      const auto member = row.FindMember(key.c_str());
      cells.back().push_back(member == row.MemberEnd() ? "-" : format_value(key, member->value));
    }
  }
  std::vector<std::size_t> widths(keys.size(), 0);
  for (const auto& row : cells)
    for (std::size_t i = 0; i < row.size(); ++i) widths[i] = std::max(widths[i], row[i].size());
  for (const auto& row : cells) {
    out += indent;
    for (std::size_t i = 0; i < row.size(); ++i)
      out += row[i] + (i + 1 < row.size() ? std::string(widths[i] - row[i].size() + column_gap, ' ') : "");
    out += '\n';
  }
}

/// Appends an object, one member a line, or an array. Scalars in an array are left out.
void append_value(const Json& value, const std::string& indent, std::string& out) {
  if (is_table(value)) return append_table(value, indent, out);
  if (value.IsArray())
    for (const auto& item : value.GetArray()) append_value(item, indent, out);
  if (!value.IsObject()) return;
  for (const auto& member : value.GetObject()) {
    const std::string key = member.name.GetString();
    if (member.value.IsObject() || member.value.IsArray()) {
      out += indent + key + ":\n";
      append_value(member.value, indent + "  ", out);
    } else {
      out += indent + key + ": " + format_value(key, member.value) + "\n";
    }
  }
}

}  // namespace

std::string format_response(const std::string& json) {
  rapidjson::Document document;
  document.Parse<rapidjson::kParseIterativeFlag>(json.c_str());
  if (document.HasParseError() || (!document.IsObject() && !document.IsArray())) return json;
  std::string out;
  append_value(document, "", out);
  while (!out.empty() && out.back() == '\n') out.pop_back();
  return out.empty() ? "(empty)" : out;
}

}  // namespace cedarring::tools
