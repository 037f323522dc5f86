// Report of each team's usage against its contract, from the decision records of one or more gateways.
#pragma once

#include <iosfwd>
#include <map>
#include <string>
#include <vector>

namespace cedarring::report {

/// Usage of one subject (front end, team, class), summed over all windows and gateways.
struct ContractUsage {
  std::map<std::string, double> sums;  // of readings, by name
  std::size_t windows = 0;             // number of accounting periods, over all gateways
  // Breaches of the contract, by the party that broke it.
  std::size_t by_team = 0;
  std::size_t by_gateway = 0;
};
/// Usage by subject, with the number of lines read.
struct UsageReport {
  std::map<std::string, ContractUsage> by_subject;
  std::size_t lines = 0;  // without empty lines
  // Lines that are not JSON objects. The last line of a file may be truncated, which is no error.
  std::size_t unreadable = 0;
};

/// Adds the ledger and breach records of a stream of JSON lines. Records of other kinds are skipped.
void merge(std::istream& in, UsageReport& report);

/// Formats of the printed report.
enum class OutputFormat { table, json, csv };
/// Formats the report; ends with a line feed.
std::string print(const UsageReport& report, OutputFormat format);

}  // namespace cedarring::report
