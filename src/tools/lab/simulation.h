// A simulation of a whole deployment: groups of modelled hosts, gateways with the real broker, gates and
// router, and clients in an open loop, whose arrivals do not depend on answers. Equal configuration and seed
// give an equal run.
#pragma once

#include <cstdint>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <vector>

#include "broker/broker.h"
#include "contracts/contracts.h"
#include "levels/levels.h"
#include "tools/lab/host_model.h"
#include "tools/lab/timeline.h"

namespace cedarring::lab {

/// A request class and the traffic of its requests.
struct ClassSpec {
  RequestClass request_class;
  double share = 0;  // of the requests
  // Range of the work of a request (its time on a core of speed 1), uniformly distributed.
  Duration min_work{};
  Duration max_work{};
};
/// A tenant and its traffic.
struct TenantSpec {
  std::string name;
  double share = 0;  // of the requests
};

/// Selects the replica that a read goes to, once the router has decided on a replica.
enum class ReadPlacement {
  router,  // the router's choice
  random,  // a uniform draw without knowledge of the hosts
  oracle   // the least loaded replica by the true state of all hosts
};

/// The parameters of a run. Durations are in microseconds.
struct SimulationConfig {
  std::uint64_t seed = 1;
  int gateways = 3;
  int groups = 2;
  int hosts_per_group = 5;
  HostSpec host;
  std::vector<ClassSpec> classes;
  std::vector<TenantSpec> tenants;
  double load = 1;                   // requests sent, as a share of what the hosts can serve
  std::vector<double> load_factors;  // by class, multiplies the rate of its requests; empty: all 1
  Duration duration{30'000'000};
  Duration warm_up{5'000'000};  // start of `duration`; requests that arrive in it are not counted
  double probe_cost = 0.01;     // of one probe, in values of a request
  bool client_retries = true;   // clients retry a refused request once, after its retry-after time or 200 ms
  std::optional<levels::Config> levels;
  std::optional<contracts::Config> contracts;
  /// Additional requests of one tenant and class for a period. Times are since the start of the run.
  struct Surge {
    std::size_t tenant = 0;  // index in `tenants`
    std::size_t class_index = 0;
    double per_second = 0;  // requests, in addition to those of `load`
    Duration from{};
    Duration to{};
  };
  std::vector<Surge> surges;
  /// The crash of a group's primary.
  struct PrimaryFailure {
    Duration at{};        // since the start of the run
    int group = 0;        // counted from 0
    Duration takeover{};  // from the failure of the primary to the promotion of a replica
  };
  std::vector<PrimaryFailure> primary_failures;
  ReadPlacement read_placement = ReadPlacement::router;
  /// The gateways' traffic falls geometrically: in relation to the geometric mean, the first gateway has
  /// `traffic_skew` and the last 1 / `traffic_skew`. 1: all equal. No effect with a single gateway.
  double traffic_skew = 1;
};

/// Counts of the requests of one class that arrived after the warm-up. Each request counts once as in_time,
/// late, refused or failed, unless it is still open at the end.
struct Tally {
  std::uint64_t requests = 0;  // all that arrived, without the client's retries
  std::uint64_t in_time = 0;   // served within the latency target of the class
  std::uint64_t late = 0;      // served after the latency target
  std::uint64_t refused = 0;   // the last answer to the client is a refusal
  std::uint64_t failed = 0;    // neither served nor refused
  // Refusals by a gate. Final ones are also counted in `refused`; SimulationResult::within and beyond count
  // those that the client retries as well.
  std::uint64_t shed = 0;
  double offered_value = 0;  // what all requests would earn if served within the latency target
  double earned_value = 0;   // of those served; less for late ones, by the class's late_value
};

/// How evenly reads are distributed over the replicas of their groups, after the warm-up.
struct ReadDistribution {
  /// Lengths of the windows in which reads are counted: 0.1, 1 and 10 s.
  static constexpr Duration windows[] = {Duration{100'000}, Duration{1'000'000}, Duration{10'000'000}};
  /// The index of dispersion (variance over mean) of the reads at a replica, by window length, as the mean
  /// over replicas. A uniform draw gives 1.
  double dispersion[3] = {0, 0, 0};
  /// Reads at the replica with fewest reads over the mean of its group, as the mean over groups.
  double min_share = 0;
  /// The share of time in which a replica has a free core while another of its group has queued requests.
  double idle_beside_queue = 0;
  static constexpr std::size_t lag_count = 20;
  /// Autocorrelation of the reads at a replica in windows of 100 ms, as the mean over the replicas whose
  /// reads vary, for lags of 1 to `lag_count` windows. An oscillation shows as a period.
  std::vector<double> autocorrelation;
};

/// The counts of a run.
struct SimulationResult {
  ReadDistribution read_distribution;
  // By class: requests within, and beyond, the tenant's budget at the gateway of the first try. The broker
  // decides that when it accepts this try; the contracts, if on, may count it as beyond as well.
  std::vector<Tally> within;
  std::vector<Tally> beyond;
  std::vector<Tally> by_tenant_class;          // at index tenant * number of classes + class
  std::vector<contracts::LedgerEntry> ledger;  // at index team * number of classes + class, sum over gateways
  std::vector<levels::AxisChange> level_changes;  // of the first gateway
  // Totals of the run, with the warm-up.
  std::uint64_t requests = 0;  // of the clients, without their retries
  std::uint64_t events = 0;    // run on the timeline
  std::uint64_t attempts = 0;  // sent to hosts
  std::uint64_t probes = 0;    // sent to hosts
  // Attempts of reads that a replica may answer, by the role of their host.
  std::uint64_t replica_reads = 0;
  std::uint64_t primary_reads = 0;
  // Violations of the broker's and the router's rules; always expected to be 0.
  std::uint64_t overlapping_attempts = 0;  // two attempts of a request at the same time
  std::uint64_t excess_attempts = 0;       // beyond the maximum number of attempts
  std::uint64_t unanswered = 0;            // requests still open at the end
  std::uint64_t late_answers = 0;          // more than 50 ms after the deadline
  /// Earned over offered value of all requests. A request beyond its tenant's budget counts a twentieth.
  [[nodiscard]] double value_share() const;
  /// The share of the requests of a class, within their tenant's budget, that were served in time.
  [[nodiscard]] double in_time_share(std::size_t class_index) const;
};

/// A configuration with the request classes and tenants of the reference deployment; all else has the
/// default.
SimulationConfig reference_deployment();

/// Runs a simulation. Deterministic: the result depends only on the configuration.
SimulationResult simulate(const SimulationConfig& config);

}  // namespace cedarring::lab
