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

/// Keys that end in at_ms or until_ms or since_ms are Unix times.
std::string cell(const std::string& key, const Json& v) {
  if (v.IsString()) return v.GetString();
  if (v.IsInt64() && (key == "at_ms" || key == "since_ms" || key == "pinned_until_ms")) {
    const std::time_t seconds = v.GetInt64() / 1000;
    std::tm tm{};
    gmtime_r(&seconds, &tm);
    char text[40];
    const auto n = std::strftime(text, sizeof text, "%FT%T", &tm);
    std::snprintf(text + n, sizeof text - n, ".%03dZ", static_cast<int>(v.GetInt64() % 1000));
    return text;
  }
  rapidjson::StringBuffer buffer;
  rapidjson::Writer<rapidjson::StringBuffer> w(buffer);
  v.Accept(w);
  return buffer.GetString();
}

bool is_table(const Json& v) {
  return v.IsArray() && !v.Empty() &&
         std::all_of(
             v.Begin(), v.End(),
             [](const Json& row) {
               return row.IsObject() && std::none_of(
                                            row.MemberBegin(), row.MemberEnd(),
                                            [](const auto& m) {
                                              return m.value.IsArray() ||
                                                     (m.value.IsObject() && m.name != "readings");
                                            });
             });
}

void put_table(const Json& rows, const std::string& indent, std::string& out) {
  std::vector<std::string> keys;
  for (const auto& row : rows.GetArray())
    for (const auto& m : row.GetObject())
      if (std::find(keys.begin(), keys.end(), m.name.GetString()) == keys.end())
        keys.emplace_back(m.name.GetString());
  std::vector<std::vector<std::string>> cells{keys};
  for (const auto& row : rows.GetArray()) {
    cells.emplace_back();
    for (const auto& key : keys) {
      const auto it = row.FindMember(key.c_str());
      cells.back().push_back(it == row.MemberEnd() ? "-" : cell(key, it->value));
    }
  }
  std::vector<std::size_t> width(keys.size(), 0);
  for (const auto& row : cells)
    for (std::size_t i = 0; i < row.size(); ++i) width[i] = std::max(width[i], row[i].size());
  for (const auto& row : cells) {
    out += indent;
    for (std::size_t i = 0; i < row.size(); ++i)
      out += row[i] + (i + 1 < row.size() ? std::string(width[i] - row[i].size() + 2, ' ') : "");
    out += '\n';
  }
}

void put(const Json& v, const std::string& indent, std::string& out) {
  if (is_table(v)) return put_table(v, indent, out);
  if (v.IsArray())
    for (const auto& item : v.GetArray()) put(item, indent, out);
  if (!v.IsObject()) return;
  for (const auto& m : v.GetObject()) {
    const std::string key = m.name.GetString();
    if (m.value.IsObject() || m.value.IsArray()) {
      out += indent + key + ":\n";
      put(m.value, indent + "  ", out);
    } else {
      out += indent + key + ": " + cell(key, m.value) + "\n";
    }
  }
}

}  // namespace

std::string show(const std::string& json) {
  rapidjson::Document d;
  d.Parse<rapidjson::kParseIterativeFlag>(json.c_str());
  if (d.HasParseError() || (!d.IsObject() && !d.IsArray())) return json;
  std::string out;
  put(d, "", out);
  while (!out.empty() && out.back() == '\n') out.pop_back();
  return out.empty() ? "nothing" : out;
}

}  // namespace cedarring::tools
