#include "telemetry/metrics.h"

namespace cedarring::telemetry {
namespace {

/// Appends the # HELP and # TYPE lines of a metric.
void append_header(std::string& out, const char* name, const char* type, const char* help) {
  out += std::string("# HELP app_") + name + ' ' + help + "\n# TYPE app_" + name + ' ' + type + '\n';
}

/// Escapes a label value: backslash, quote and line feed.
std::string escape_label(const std::string& text) {
  std::string out;
  for (const char c : text) {
    if (c == '\\' || c == '"') out += '\\';
    if (c == '\n')
      out += "\\n";
    else
      out += c;
  }
  return out;
}

}  // namespace

std::string to_prometheus(const Metrics& metrics) {
  std::string out;
  const auto append_by_class = [&](const char* name, std::uint64_t ClassCounts::*count, const char* help) {
    append_header(out, name, "counter", help);
    for (const auto& [class_name, counts] : metrics.classes)
      out += std::string("app_") + name + "{kind=\"" + escape_label(class_name) + "\"} " +
             std::to_string(counts.*count) + '\n';
  };
  const auto append_value = [&](const char* name, const char* type, std::uint64_t value, const char* help) {
    append_header(out, name, type, help);
    out += std::string("app_") + name + ' ' + std::to_string(value) + '\n';
  };
  append_by_class("ok", &ClassCounts::ok, "Requests served.");
  append_by_class("shed", &ClassCounts::shed, "Requests refused.");
  append_by_class("errors", &ClassCounts::errors, "Requests failed.");
  append_by_class("tries", &ClassCounts::tries, "Attempts written whole to database hosts.");
  append_value("active", "gauge", metrics.active, "Requests taken and not yet ended.");
  append_value("pool_size", "gauge", metrics.pool_size, "Database hosts in the list.");
  append_value("pool_ejected", "gauge", metrics.pool_ejected,
               "Listed database hosts avoided now, by hand or by choice.");
  append_value("statement_bytes", "gauge", metrics.statement_bytes,
               "Bytes of memory reserved for long statements.");
  append_value("statements_waiting", "gauge", metrics.statements_waiting,
               "Long statements that wait for memory.");
  append_value("message_bytes", "gauge", metrics.message_bytes,
               "Bytes of memory taken by buffers, statements and answers.");
  append_value("config_applied", "counter", metrics.config_applied, "Files taken at SIGHUP.");
  append_value("config_rejected", "counter", metrics.config_rejected, "Files turned down at SIGHUP.");
  return out;
}

}  // namespace cedarring::telemetry
