#include "telemetry/metrics.h"

namespace cedarring::telemetry {
namespace {

void head(std::string& out, const char* name, const char* type, const char* help) {
  out += std::string("# HELP app_") + name + ' ' + help + "\n# TYPE app_" + name + ' ' + type + '\n';
}

/// A label's value: backslash, quote and line end are written with a backslash.
std::string label(const std::string& text) {
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

std::string to_prometheus(const Metrics& f) {
  std::string out;
  const auto by_class = [&](const char* name, std::uint64_t ClassCounts::*count, const char* help) {
    head(out, name, "counter", help);
    for (const auto& [cls, counts] : f.classes)
      out += std::string("app_") + name + "{kind=\"" + label(cls) + "\"} " + std::to_string(counts.*count) +
             '\n';
  };
  const auto one = [&](const char* name, const char* type, std::uint64_t value, const char* help) {
    head(out, name, type, help);
    out += std::string("app_") + name + ' ' + std::to_string(value) + '\n';
  };
  by_class("ok", &ClassCounts::ok, "Requests served.");
  by_class("shed", &ClassCounts::shed, "Requests refused.");
  by_class("errors", &ClassCounts::errors, "Requests failed.");
  by_class("tries", &ClassCounts::tries, "Attempts written whole to database hosts.");
  one("active", "gauge", f.active, "Requests taken and not yet ended.");
  one("pool_size", "gauge", f.pool_size, "Database hosts in the list.");
  one("pool_ejected", "gauge", f.pool_ejected, "Listed database hosts avoided now, by hand or by choice.");
  one("config_applied", "counter", f.config_applied, "Files taken at SIGHUP.");
  one("config_rejected", "counter", f.config_rejected, "Files turned down at SIGHUP.");
  return out;
}

}  // namespace cedarring::telemetry
