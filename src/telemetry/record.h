// The record of a decision: what has changed, when, from what to what, on which readings, by which rule. Made
// once; the log line, the report and the test read the same one.
#pragma once

#include <chrono>
#include <cstdint>
#include <string>
#include <utility>
#include <vector>

namespace cedarring::telemetry {

struct Record {
  std::chrono::microseconds at{};  // Unix time
  std::string kind;                // what decides: "level", "pin", ...
  std::string subject;             // what it is about: "pressure", "group 2", ...
  std::string from, to;
  std::string rule;  // which rule has decided
  std::vector<std::pair<std::string, double>> readings;
  std::string note;
};

/// One JSON object on one line, without its end. Numbers that JSON cannot hold are written as null.
std::string to_json(const Record& record, const std::string& instance);
/// The same for a person at a terminal.
std::string to_text(const Record& record);

}  // namespace cedarring::telemetry
