// Each team's use against its contract, from the records of one or more gateways.
#pragma once

#include <iosfwd>
#include <map>
#include <string>
#include <vector>

namespace cedarring::report {

/// Sums by subject (front, team, class), over all windows and gateways.
struct Use {
  std::map<std::string, double> sums;  // by column
  std::size_t windows = 0;
  std::size_t by_team = 0, by_gateway = 0;  // breaches, by whose promise was broken
};
struct Merged {
  std::map<std::string, Use> by_subject;
  std::size_t lines = 0,
              unreadable = 0;  // a torn last line is one that cannot be read, and no reason to stop
};

/// Adds the records of a stream of JSON lines; records of other kinds are passed over.
void merge(std::istream& in, Merged& merged);

enum class Form { table, json, csv };
std::string print(const Merged& merged, Form form);

}  // namespace cedarring::report
