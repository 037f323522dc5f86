// cedarring lab: experiments in simulated time with the real broker, gates and router.
#include <CLI/CLI.hpp>
#include <boost/math/distributions/students_t.hpp>
#include <cmath>
#include <cstdio>
#include <future>
#include <iostream>
#include <thread>
#include <vector>

#include "tools/lab/simulation.h"

namespace {

using namespace cedarring;
using namespace cedarring::lab;

constexpr double upper_quantile = 0.975;  // level of the upper end of a two-sided 95% confidence interval

/// A mean over seeds and half the width of its 95% confidence interval.
struct Estimate {
  double mean = 0;
  double half_width = 0;
};
/// The estimate by Student's t; without a second sample the half width is 0.
Estimate estimate(const std::vector<double>& samples) {
  Estimate result;
  for (const double sample : samples) result.mean += sample / static_cast<double>(samples.size());
  if (samples.size() < 2) return result;
  double squares = 0;
  for (const double sample : samples) squares += (sample - result.mean) * (sample - result.mean);
  const auto n = static_cast<double>(samples.size());
  const boost::math::students_t distribution(n - 1);
  result.half_width = boost::math::quantile(distribution, upper_quantile) * std::sqrt(squares / (n - 1) / n);
  return result;
}

/// Runs a configuration with seeds 1 to `seeds` on all cores. The results are ordered by seed, so that the
/// order in which threads finish makes no difference.
std::vector<SimulationResult> run_seeds(const SimulationConfig& config, int seeds) {
  std::vector<SimulationResult> results(static_cast<std::size_t>(seeds));
  std::vector<std::thread> threads;
  std::atomic<int> next{0};
  for (unsigned t = 0; t < std::max(1U, std::thread::hardware_concurrency()); ++t)
    threads.emplace_back([&] {
      for (int i = next++; i < seeds; i = next++) {
        auto seeded = config;
        seeded.seed = static_cast<std::uint64_t>(i) + 1;
        results[static_cast<std::size_t>(i)] = simulate(seeded);
      }
    });
  for (auto& thread : threads) thread.join();
  return results;
}

/// The number of violations of the broker's and the router's rules.
std::uint64_t violations(const SimulationResult& result) {
  return result.overlapping_attempts + result.excess_attempts + result.unanswered + result.late_answers;
}

/// Prints the share of value earned and the in-time share of each class, with levels off and on, for several
/// loads and a failure of a primary.
int levels_experiment(int seeds, int length) {
  struct Run {
    std::string name;
    double load = 1;
    std::vector<double> load_factors;
    std::vector<SimulationConfig::PrimaryFailure> primary_failures;
  };
  std::vector<Run> runs;
  for (const double load : {0.8, 1.0, 1.3, 2.0, 3.0}) runs.push_back({"all classes", load, {}, {}});
  for (const double factor : {1.3, 2.0, 3.0})
    runs.push_back({"reads x" + std::to_string(factor).substr(0, 3), 0.8, {factor, factor, 1, 1}, {}});
  runs.push_back(
      {"primary lost 4 s", 0.8, {}, {{std::chrono::seconds(length / 2), 0, std::chrono::seconds(4)}}});
  std::printf("%-18s %5s  %-7s  %-16s  %-8s %-8s %-8s %-8s  %s\n", "load", "", "levels", "value earned",
              "desk", "history", "gate", "bid", "rule violations, level changes");
  for (const auto& run : runs) {
    std::vector<SimulationResult> results_by_mode[2];  // levels off, levels on
    for (const bool on : {false, true}) {
      auto config = reference_deployment();
      config.load = run.load;
      config.load_factors = run.load_factors;
      config.primary_failures = run.primary_failures;
      config.duration = std::chrono::seconds(length);
      if (on) {
        levels::ServiceInfo service;
        for (const auto& spec : config.classes) service.classes.push_back(spec.request_class);
        service.tenants = config.tenants.size();
        config.levels = levels::default_config(service);
        config.levels->mode = levels::Mode::on;
      }
      const auto results = run_seeds(config, seeds);
      std::vector<double> value_shares;
      std::vector<std::vector<double>> in_time(config.classes.size());
      std::uint64_t violation_count = 0;
      std::uint64_t level_changes = 0;
      for (const auto& result : results) {
        value_shares.push_back(result.value_share());
        for (std::size_t i = 0; i < in_time.size(); ++i) in_time[i].push_back(result.in_time_share(i));
        violation_count += violations(result);
        for (const auto& event : result.level_changes)
          level_changes += event.change.from != event.change.to ? 1 : 0;
      }
      const auto value_share = estimate(value_shares);
      std::printf("%-18s %5.2f  %-7s  %.4f +- %.4f ", run.name.c_str(), run.load, on ? "on" : "off",
                  value_share.mean, value_share.half_width);
      for (const auto& samples : in_time) std::printf(" %.4f  ", estimate(samples).mean);
      std::printf(" %llu, %.1f\n", static_cast<unsigned long long>(violation_count),
                  static_cast<double>(level_changes) / static_cast<double>(seeds));
      std::fflush(stdout);
      results_by_mode[on ? 1 : 0] = results;
    }
    std::vector<double> differences;  // by pairs of equal seeds
    for (std::size_t i = 0; i < results_by_mode[0].size(); ++i)
      differences.push_back(results_by_mode[1][i].value_share() - results_by_mode[0][i].value_share());
    const auto difference = estimate(differences);
    std::printf("%-18s        %-7s  %+.4f +- %.4f\n", "", "by pair", difference.mean, difference.half_width);
  }
  return 0;
}

/// Prints how three teams' requests end: desks, a partner and a settlement batch. In two of three runs the
/// batch sends far beyond its contract in the middle third; in one of these, contracts are enforced.
int contracts_experiment(int seeds, int length) {
  constexpr double load = 0.7;
  constexpr double full_load_utilization = 0.92;  // of the hosts' cores at load 1
  constexpr double mean_work_seconds = 0.0622;    // of a request of the reference deployment
  constexpr double contract_margin = 1.3;         // contracted rate over the usual one
  constexpr double min_burst = 15;                // requests
  constexpr std::size_t batch_tenant = 2;
  constexpr std::size_t history_class = 1;
  auto config = reference_deployment();
  config.tenants = {{"desks", 0.70}, {"partner", 0.18}, {"batch", 0.12}};
  config.load = load;
  config.duration = std::chrono::seconds(length);
  const double usual_rate = load * full_load_utilization * config.groups * config.hosts_per_group *
                            config.host.cores / mean_work_seconds;  // requests a second
  const auto contracts_config = [&](bool enforce) {
    contracts::Config result;
    result.mode = enforce ? contracts::Mode::enforce : contracts::Mode::count;
    result.gateways = static_cast<std::uint32_t>(config.gateways);
    for (std::size_t t = 0; t < config.tenants.size(); ++t) {
      contracts::Team team;
      team.name = config.tenants[t].name;
      team.tenants = {static_cast<std::int32_t>(t)};
      for (const auto& spec : config.classes) {
        contracts::Terms terms;
        terms.rate = contract_margin * usual_rate * spec.share * config.tenants[t].share;
        terms.burst = std::max(min_burst, terms.rate);
        terms.latency_target = spec.request_class.latency_target;
        terms.weight = t == 0 ? 4 : t == 1 ? 2 : 1;
        terms.beyond = contracts::BeyondPolicy::borrow;
        team.classes.push_back(contracts::ClassTerms{terms, {}});
      }
      result.teams.push_back(team);
    }
    return result;
  };
  std::printf("%-22s %-9s %-10s %8s %8s %8s %8s %8s %8s\n", "run", "team", "class", "asked", "within",
              "beyond", "in time", "refused", "share");
  struct Run {
    const char* name;
    bool surge;
    bool enforce;
  };
  for (const auto& run : {Run{"usual, counting", false, false}, Run{"runaway, counting", true, false},
                          Run{"runaway, enforcing", true, true}}) {
    auto run_config = config;
    // In addition to its share the batch sends as many requests as all teams together usually do.
    if (run.surge)
      run_config.surges.push_back({batch_tenant, history_class, usual_rate, std::chrono::seconds(length / 3),
                                   std::chrono::seconds(2 * length / 3)});
    run_config.contracts = contracts_config(run.enforce);
    const auto results = run_seeds(run_config, seeds);
    std::uint64_t violation_count = 0;
    for (const auto& result : results) violation_count += violations(result);
    for (std::size_t t = 0; t < config.tenants.size(); ++t)
      for (std::size_t c = 0; c < config.classes.size(); ++c) {
        contracts::LedgerEntry entry;
        std::vector<double> in_time_shares;
        for (const auto& result : results) {
          entry += result.ledger[t * config.classes.size() + c];
          const auto& tally = result.by_tenant_class[t * config.classes.size() + c];
          if (tally.requests > 0)
            in_time_shares.push_back(static_cast<double>(tally.in_time) /
                                     static_cast<double>(tally.requests));
        }
        const auto mean = [&](std::uint64_t sum) {
          return static_cast<double>(sum) / static_cast<double>(seeds);
        };
        const auto in_time_share = estimate(in_time_shares);
        std::printf("%-22s %-9s %-10s %8.0f %8.0f %8.0f %8.0f %8.0f %.4f +- %.4f\n", run.name,
                    config.tenants[t].name.c_str(), config.classes[c].request_class.name.c_str(),
                    mean(entry.asked), mean(entry.within), mean(entry.beyond), mean(entry.in_time),
                    mean(entry.refused_contract + entry.refused_contention + entry.refused_router +
                         entry.refused_levels),
                    in_time_share.mean, in_time_share.half_width);
      }
    std::printf("%-22s rule violations %llu\n", run.name, static_cast<unsigned long long>(violation_count));
  }
  return 0;
}

/// The placement's name in the printed table.
const char* placement_name(ReadPlacement placement) {
  return placement == ReadPlacement::router   ? "module"
         : placement == ReadPlacement::random ? "blind"
                                              : "oracle";
}

/// Prints how evenly reads are distributed over replicas, by number of gateways and load, for the router's
/// placement, a uniform draw and an oracle.
int spread_experiment(int seeds, int length, const std::vector<int>& gateway_counts,
                      const std::vector<double>& loads, int groups, int hosts_per_group, double traffic_skew,
                      bool print_autocorrelation) {
  constexpr double probe_cost = 0.05;
  std::printf(
      "%d groups of %d hosts, %d s, %d seeds%s\n"
      "0.1 s, 1 s, 10 s: variance over mean of the reads at a replica, in windows of this length\n"
      "least: reads at the replica with the fewest, over the mean of its group\n"
      "idle: share of the time with a free core at one replica while requests wait at another of its group\n"
      "desk, history, gate, bid: share of the class's requests that are answered in time\n",
      groups, hosts_per_group, length, seeds,
      traffic_skew > 1 ? ", traffic distributed unevenly over the gateways" : "");
  std::printf("%8s %5s %-9s %7s %7s %7s %7s %7s  %-8s %-8s %-8s %-8s %s\n", "gateways", "load", "placement",
              "0.1 s", "1 s", "10 s", "least", "idle", "desk", "history", "gate", "bid",
              "probes per request, rule violations");
  for (const int gateways : gateway_counts)
    for (const double load : loads)
      for (const auto placement : {ReadPlacement::router, ReadPlacement::random, ReadPlacement::oracle}) {
        auto config = reference_deployment();
        config.gateways = gateways;
        config.load = load;
        config.groups = groups;
        config.hosts_per_group = hosts_per_group;
        config.traffic_skew = traffic_skew;
        config.read_placement = placement;
        config.probe_cost = probe_cost;
        config.duration = std::chrono::seconds(length);
        const auto results = run_seeds(config, seeds);
        const auto estimate_of = [&](auto measure) {
          std::vector<double> samples;
          for (const auto& result : results) samples.push_back(measure(result));
          return estimate(samples);
        };
        const auto in_time_share = [&](std::size_t class_index) {
          return estimate_of([class_index](const SimulationResult& result) {
            const auto& within = result.within[class_index];
            const auto& beyond = result.beyond[class_index];
            return static_cast<double>(within.in_time + beyond.in_time) /
                   std::max<double>(1, static_cast<double>(within.requests + beyond.requests));
          });
        };
        std::uint64_t violation_count = 0;
        std::uint64_t probes = 0;
        std::uint64_t requests = 0;
        for (const auto& result : results) {
          violation_count += violations(result);
          probes += result.probes;
          requests += result.requests;
        }
        std::printf("%8d %5.2f %-9s", gateways, load, placement_name(placement));
        for (const std::size_t w : {0, 1, 2})
          std::printf(" %7.2f", estimate_of([w](const auto& result) {
                                  return result.read_distribution.dispersion[w];
                                }).mean);
        std::printf(
            " %7.3f %7.4f ",
            estimate_of([](const auto& result) { return result.read_distribution.min_share; }).mean,
            estimate_of([](const auto& result) { return result.read_distribution.idle_beside_queue; }).mean);
        for (std::size_t c = 0; c < config.classes.size(); ++c) std::printf(" %.4f  ", in_time_share(c).mean);
        std::printf(" %.3f, %llu\n",
                    static_cast<double>(probes) / std::max<double>(1, static_cast<double>(requests)),
                    static_cast<unsigned long long>(violation_count));
        if (print_autocorrelation) {
          std::printf("%25s", "autocorrelation:");
          for (std::size_t lag = 0; lag < ReadDistribution::lag_count; ++lag)
            std::printf(" %+.2f", estimate_of([lag](const auto& result) {
                                    return result.read_distribution.autocorrelation[lag];
                                  }).mean);
          std::printf("\n");
        }
        std::fflush(stdout);
      }
  return 0;
}

}  // namespace

int main(int argc, char** argv) {
  CLI::App app("Experiments in simulated time", "cedarring lab");
  app.require_subcommand(1);
  int seeds = 8;
  int length = 60;
  auto* levels = app.add_subcommand("levels", "Value by class with and without levels of reduced service");
  levels->add_option("--seeds", seeds, "Runs of each configuration")->check(CLI::Range(1, 1000));
  levels->add_option("--seconds", length, "Simulated seconds of each run")->check(CLI::Range(10, 3600));
  auto* contracts = app.add_subcommand(
      "contracts", "Three teams, one of which exceeds its contract in the middle third of a run");
  contracts->add_option("--seeds", seeds, "Runs of each configuration")->check(CLI::Range(1, 1000));
  contracts->add_option("--seconds", length, "Simulated seconds of each run")->check(CLI::Range(10, 3600));
  auto* spread = app.add_subcommand(
      "spread", "How evenly reads are distributed over replicas, by number of gateways and load");
  std::vector<int> gateway_counts{3, 30, 300};
  std::vector<double> loads{0.3, 0.6, 0.8};
  int groups = 19;
  int hosts_per_group = 5;
  double traffic_skew = 1;
  bool print_autocorrelation = false;
  spread->add_option("--seeds", seeds, "Runs of each configuration")->check(CLI::Range(1, 1000));
  spread->add_option("--seconds", length, "Simulated seconds of each run")->check(CLI::Range(10, 3600));
  spread->add_option("--gateways", gateway_counts, "Numbers of gateways")
      ->delimiter(',')
      ->check(CLI::Range(1, 1000));
  spread->add_option("--loads", loads, "Offered loads, as shares of the hosts' capacity")
      ->delimiter(',')
      ->check(CLI::Range(0.01, 3.0));
  spread->add_option("--groups", groups, "Groups of hosts")->check(CLI::Range(1, 1000));
  spread->add_option("--members", hosts_per_group, "Hosts in a group, one of them its primary")
      ->check(CLI::Range(2, 20));
  spread
      ->add_option("--uneven", traffic_skew, "Ratio of the largest gateway's traffic to the median gateway's")
      ->check(CLI::Range(1.0, 100.0));
  spread->add_flag("--swings", print_autocorrelation,
                   "Print the autocorrelation of the reads at a replica, for lags of 0.1 to 2 s");
  CLI11_PARSE(app, argc, argv);
  if (spread->parsed())
    return spread_experiment(seeds, length, gateway_counts, loads, groups, hosts_per_group, traffic_skew,
                             print_autocorrelation);
  return levels->parsed() ? levels_experiment(seeds, length) : contracts_experiment(seeds, length);
}
