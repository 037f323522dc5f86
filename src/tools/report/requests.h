// What became of requests, over many gateways: from the lines that gateways log at the level `debug`.
#pragma once

#include <array>
#include <cstdint>
#include <iosfwd>
#include <map>
#include <string>

namespace cedarring::report {

/// Sums over requests that share a key: all, a second, a class, a group.
struct Ends {
  std::map<std::string, std::size_t> by_end;      // served, refused, failed, left
  std::map<std::string, std::size_t> by_outcome;  // of attempts
  std::size_t requests = 0, unsent = 0;           // unsent: refused or failed without an attempt
  double ms = 0;                                  // of the served, together
};
struct Requests {
  std::map<std::int64_t, Ends> by_second;  // Unix time of the end
  std::map<std::string, Ends> by_class, by_group;
  std::map<std::string, std::map<std::string, std::size_t>> by_host;  // outcomes of attempts
  std::map<std::string, std::size_t> patterns;  // end and outcomes in order, of what was not served at first
  Ends all;
  std::size_t lines = 0, others = 0;  // others: of another kind, or not whole
};

/// Adds the lines of one log; `instance` stands before each line's own time where there is one, and is
/// ignored.
void merge(std::istream& in, Requests& into);
/// Tables: by end, by class, by second, the usual courses of what was not served at once, hosts with the most
/// that failed.
std::string print(const Requests& r, std::size_t rows);

}  // namespace cedarring::report
