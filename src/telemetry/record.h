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
  // Object of the decision, beginning with the front. A level: "postgresql pressure" or "mysql group 2"; a
  // breach or a ledger: front, team and class, as in "postgresql acme view".
  std::string subject;
  std::string from;  // state before; empty if the record has none
  std::string to;    // state after; empty if the record has none
  // Rule that led to the decision. A level: its cause and the conditions that held, as in
  // "entered: refused(view) above 0.05 for 1500 ms"; a breach: "the team asked beyond its contract" or "the
  // gateway missed its promise"; a ledger: empty.
  std::string rule;
  std::vector<std::pair<std::string, double>> readings;  // names and values behind the decision
  std::string note;                                      // further text; empty: none
};

/// Formats the record as one JSON object on one line, without a line feed. Numbers that JSON cannot represent
/// become null. `instance`: the gateway's name in its configuration; left out if empty.
std::string to_json(const Record& record, const std::string& instance);
/// Formats the record as one line of plain text.
std::string to_text(const Record& record);

}  // namespace cedarring::telemetry
