// Report of how requests ended, over one or more gateways, from the lines that gateways log per request at
// the level `debug`.
#pragma once

#include <array>
#include <cstdint>
#include <iosfwd>
#include <map>
#include <string>

namespace cedarring::report {

/// Sums over the requests of one row: all, a second, a class or a group.
struct RequestStats {
  std::map<std::string, std::size_t> by_end;      // served, refused, failed, left (client disconnected)
  std::map<std::string, std::size_t> by_outcome;  // of attempts
  std::size_t requests = 0, unsent = 0;           // unsent: refused or failed without an attempt
  double served_ms = 0;                           // total duration of the served requests
};
/// Statistics of all requests read, by several keys.
struct RequestReport {
  std::map<std::int64_t, RequestStats> by_second;  // Unix time of the end
  std::map<std::string, RequestStats> by_class, by_group;
  std::map<std::string, std::map<std::string, std::size_t>> by_host;  // outcomes of attempts
  // Requests not served at the first attempt, by class, end and the outcomes in order.
  std::map<std::string, std::size_t> patterns;
  RequestStats all;
  std::size_t lines = 0, skipped = 0;  // skipped: lines of other causes, or not valid JSON
};

/// Adds the lines of one log. Text before a line's JSON object, such as a timestamp, is ignored.
void merge(std::istream& in, RequestReport& report);
/// Tables by class and by second, the most frequent courses of requests not served at the first attempt, and
/// the groups and hosts with the most failures; at most `max_rows` rows in each list.
std::string print(const RequestReport& report, std::size_t max_rows);

}  // namespace cedarring::report
