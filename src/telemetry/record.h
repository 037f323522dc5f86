// The record of a decision: which state has changed, when, on which readings and by which rule.
#pragma once

#include <chrono>
#include <cstdint>
#include <string>
#include <utility>
#include <vector>

namespace cedarring::telemetry {

/// One decision, or the summary of an accounting period. Log lines, reports and tests read the same record.
struct Record {
  std::chrono::microseconds at{};  // Unix time; zero: set when it is logged
  std::string kind;                // what is recorded: "level", "breach" or "ledger"
  std::string subject;             // object of the decision: "postgresql pressure", "mysql group 2", ...
  std::string from;                // state before; empty if the record has none
  std::string to;                  // state after; empty if the record has none
  std::string rule;                // rule that led to the decision
  std::vector<std::pair<std::string, double>> readings;  // names and values behind the decision
  std::string note;                                      // further text; empty: none
};

/// Formats the record as one JSON object on one line, without a line feed. Numbers that JSON cannot represent
/// become null.
std::string to_json(const Record& record, const std::string& instance);
/// Formats the record as one line of plain text.
std::string to_text(const Record& record);

}  // namespace cedarring::telemetry
