// Whether all promises fit at once: a linear program over contracts, fleet and failures, with a certificate
// that is checked apart from the solver (strong duality: Dantzig, Linear Programming and Extensions, chapter
// 6).
#pragma once

#include <cstddef>
#include <string>
#include <vector>

namespace cedarring::plan {

/// One promise: a team's rate of a class, in one period.
struct Promise {
  std::string team, cls, period;
  double rate = 0;       // requests a second
  double cost_ms = 0;    // of a host's core, a request
  bool primary = false;  // only a primary can take it
  double value = 1;      // what trimming a request a second costs: above zero
};
struct Group {
  std::string name;
  double share = 1;                // of the traffic, 0 to 1
  std::vector<double> cores;       // by host; the first is the primary
  std::vector<std::string> rooms;  // by host
};
struct Fleet {
  std::vector<Group> groups;
  double use = 0.8;        // of the cores' time that may be planned for
  bool lose_host = true;   // promises have to hold with the largest replica of each group lost
  bool lose_room = false;  // and with any one room lost (a primary there is taken over elsewhere)
};

/// sum over promises of a[i] * (rate[i] - trim[i]) <= limit, in cores.
struct Limit {
  std::string what;  // period, group, resource and the failure that it is for
  std::vector<double> a;
  double limit = 0;
};
struct Answer {
  bool fits = false;
  double cost = 0;               // of the cheapest trim
  std::vector<double> trim;      // by promise
  std::vector<double> dual;      // by limit, zero or above: what a core more of it would save
  std::vector<double> use;       // by limit, of the promises as written
  std::string certificate_flaw;  // empty: primal, dual and their equality hold
};

/// The limits that the fleet sets to the promises, for each period, group and failure.
std::vector<Limit> limits_of(const std::vector<Promise>& promises, const Fleet& fleet);

/// The cheapest trim under the limits. Throws std::runtime_error where the solver gives up.
Answer solve(const std::vector<Promise>& promises, const std::vector<Limit>& limits);

/// Checks an answer without the solver: what is wrong, or nothing.
std::string check_certificate(const std::vector<Promise>& promises, const std::vector<Limit>& limits,
                              const Answer& answer);

/// Teams that each fit alone and do not fit together, by the limit that binds: one line each.
std::vector<std::string> conflicts(const std::vector<Promise>& promises, const std::vector<Limit>& limits,
                                   const Answer& answer);

}  // namespace cedarring::plan
