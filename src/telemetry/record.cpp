#include "telemetry/record.h"

#include <rapidjson/stringbuffer.h>
#include <rapidjson/writer.h>

#include <cmath>
#include <cstdio>

namespace cedarring::telemetry {

std::string to_json(const Record& r, const std::string& instance) {
  rapidjson::StringBuffer buffer;
  rapidjson::Writer<rapidjson::StringBuffer> w(buffer);
  const auto text = [&](const char* key, const std::string& value) {
    if (value.empty()) return;
    w.Key(key);
    w.String(value.data(), static_cast<rapidjson::SizeType>(value.size()));
  };
  w.StartObject();
  w.Key("at_ms");
  w.Int64(r.at.count() / 1000);
  text("instance", instance);
  text("record", r.kind);
  text("subject", r.subject);
  text("from", r.from);
  text("to", r.to);
  text("rule", r.rule);
  if (!r.readings.empty()) {
    w.Key("readings");
    w.StartObject();
    for (const auto& [name, value] : r.readings) {
      w.Key(name.data(), static_cast<rapidjson::SizeType>(name.size()));
      if (std::isfinite(value))
        w.Double(value);
      else
        w.Null();
    }
    w.EndObject();
  }
  text("note", r.note);
  w.EndObject();
  return {buffer.GetString(), buffer.GetSize()};
}

std::string to_text(const Record& r) {
  auto text = r.kind + " " + r.subject;
  if (!r.from.empty() || !r.to.empty()) text += ": " + r.from + " -> " + r.to;
  if (!r.rule.empty()) text += " (" + r.rule + ")";
  for (const auto& [name, value] : r.readings) {
    char number[32];
    std::snprintf(number, sizeof number, "%.4g", value);
    text += " " + name + "=" + number;
  }
  if (!r.note.empty()) text += "; " + r.note;
  return text;
}

}  // namespace cedarring::telemetry
