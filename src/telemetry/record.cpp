#include "telemetry/record.h"

#include <rapidjson/stringbuffer.h>
#include <rapidjson/writer.h>

#include <cmath>
#include <cstdio>

namespace cedarring::telemetry {
namespace {

constexpr std::int64_t microseconds_per_millisecond = 1000;

}  // namespace

std::string to_json(const Record& record, const std::string& instance) {
  rapidjson::StringBuffer buffer;
  rapidjson::Writer<rapidjson::StringBuffer> writer(buffer);
  const auto write_unless_empty = [&](const char* key, const std::string& value) {
    if (value.empty()) return;
    writer.Key(key);
    writer.String(value.data(), static_cast<rapidjson::SizeType>(value.size()));
  };
  writer.StartObject();
  writer.Key("at_ms");
  writer.Int64(record.at.count() / microseconds_per_millisecond);
  write_unless_empty("instance", instance);
  write_unless_empty("record", record.kind);
  write_unless_empty("subject", record.subject);
  write_unless_empty("from", record.from);
  write_unless_empty("to", record.to);
  write_unless_empty("rule", record.rule);
  if (!record.readings.empty()) {
    writer.Key("readings");
    writer.StartObject();
    for (const auto& [name, value] : record.readings) {
      writer.Key(name.data(), static_cast<rapidjson::SizeType>(name.size()));
      if (std::isfinite(value))
        writer.Double(value);
      else
        writer.Null();
    }
    writer.EndObject();
  }
  write_unless_empty("note", record.note);
  writer.EndObject();
  return {buffer.GetString(), buffer.GetSize()};
}

std::string to_text(const Record& record) {
  auto text = record.kind + " " + record.subject;
  if (!record.from.empty() || !record.to.empty()) text += ": " + record.from + " -> " + record.to;
  if (!record.rule.empty()) text += " (" + record.rule + ")";
  for (const auto& [name, value] : record.readings) {
    char number[32];
    std::snprintf(number, sizeof number, "%.4g", value);
    text += " " + name + "=" + number;
  }
  if (!record.note.empty()) text += "; " + record.note;
  return text;
}

}  // namespace cedarring::telemetry
