// Checks whether all contracted rates fit the fleet at once, with a linear program over contracts, hosts and
// failures. The solution is verified independently of the solver by strong duality (Dantzig, Linear
// Programming and Extensions, chapter 6).
#pragma once

#include <cstddef>
#include <string>
#include <vector>

namespace cedarring::plan {

/// The contracted rate of one team and class in one period. Contracts have usual terms and may have others
/// for the time around a gate closure; each of the two periods is planned for by itself.
struct ContractedRate {
  std::string team;
  std::string class_name;
  std::string period;            // "usual" or "around closure"
  double rate = 0;               // requests a second
  double cost_ms = 0;            // of a core for each request
  bool primary = false;          // only a primary can serve it
  double reduction_penalty = 1;  // for each request a second by which the rate is reduced; above zero
};
/// A primary and its replicas.
struct Group {
  std::string name;
  double share = 1;                // of the traffic, 0 to 1
  std::vector<double> cores;       // by host; the first host is the primary
  std::vector<std::string> rooms;  // by host: its failure domain; hosts in a room may fail together
};
/// The hosts, and the failures that the plan must allow for.
struct Fleet {
  std::vector<Group> groups;
  double max_utilization = 0.8;      // share of the cores' time that the contracted rates may use
  bool survive_replica_loss = true;  // the rates must fit without the largest replica of a group
  bool survive_room_loss = false;    // the rates must fit without any one room; primaries there are replaced
};

/// The constraint: sum over rates of coefficients[i] * (rate[i] - reduction[i]) <= cores.
struct CapacityLimit {
  std::string description;           // period, group, resource and failure
  std::vector<double> coefficients;  // by contracted rate: cores for each request a second
  double cores = 0;
};
/// The outcome of the linear program.
struct Solution {
  bool fits = false;
  double total_penalty = 0;           // of the reductions: the sum of reduction x reduction_penalty
  std::vector<double> reductions;     // by contracted rate, requests a second
  std::vector<double> shadow_prices;  // by limit, zero or more: the penalty that one more core would save
  std::vector<double> usage;          // by limit, cores used by the unreduced rates
  std::string certificate_error;      // empty: the solution is feasible and its penalty is proven minimal
};

/// The limits of the fleet, for each period, group and failure.
std::vector<CapacityLimit> capacity_limits(const std::vector<ContractedRate>& rates, const Fleet& fleet);

/// The reductions with the smallest total penalty that satisfy the limits. Throws std::runtime_error if the
/// solver finds no optimum.
Solution solve(const std::vector<ContractedRate>& rates, const std::vector<CapacityLimit>& limits);

/// Verifies a solution without the solver. The certificate is the pair of the primal solution (reductions)
/// and the dual solution (shadow prices): both must be feasible and have equal objectives. Returns the error,
/// empty for a correct solution.
std::string check_certificate(const std::vector<ContractedRate>& rates,
                              const std::vector<CapacityLimit>& limits, const Solution& solution);

/// The groups of teams that each fit a binding limit alone but exceed it together: one line for each limit.
std::vector<std::string> find_conflicts(const std::vector<ContractedRate>& rates,
                                        const std::vector<CapacityLimit>& limits, const Solution& solution);

}  // namespace cedarring::plan
