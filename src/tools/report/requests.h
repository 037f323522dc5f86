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
  std::map<std::string, std::size_t> by_outcome;  // number of attempts
  std::size_t requests = 0;
  std::size_t unsent = 0;  // refused or failed without an attempt
  double served_ms = 0;    // total duration of the served requests, in milliseconds
};
/// Statistics of all requests read, by several keys.
struct RequestReport {
  std::map<std::int64_t, RequestStats> by_second;  // by the Unix time of the end, in seconds
  std::map<std::string, RequestStats> by_class;
  std::map<std::string, RequestStats> by_group;
  std::map<std::string, std::map<std::string, std::size_t>> by_host;  // number of attempts, by outcome
  // Requests not served at the first attempt, by class, end and the outcomes in order.
  std::map<std::string, std::size_t> patterns;
  RequestStats all;
  std::size_t lines = 0;
  std::size_t skipped = 0;  // lines of other causes, or without a valid JSON object
};

/// Adds the lines of one log. Text before the JSON object of a line, such as a timestamp, is ignored.
void merge(std::istream& in, RequestReport& report);
/// Tables by class and by second, the most frequent courses of requests not served at the first attempt, and
/// the groups and hosts with the most failures; at most `max_rows` rows in each list.
std::string print(const RequestReport& report, std::size_t max_rows);

}  // namespace cedarring::report
