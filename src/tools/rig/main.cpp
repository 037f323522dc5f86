// cedarring rig: runs a scenario with many gateway processes against emulated hosts, and injects faults. Can
// compare two gateway programs, or run the scenario in simulated time. See docs/rig.md.
#include <unistd.h>

#include <CLI/CLI.hpp>
#include <algorithm>
#include <cmath>
#include <cstdio>
#include <cstdlib>
#include <cstring>
#include <fstream>
#include <iostream>
#include <sstream>
#include <vector>

#include "app/json_schema.h"
#include "tools/rig/processes.h"
#include "tools/rig/report.h"
#include "tools/rig/rig.h"

namespace {

using namespace cedarring;

constexpr int exit_passed = 0;
constexpr int exit_failed = 1;  // a rule broken, a gateway crashed, or less value served than required
constexpr int exit_error = 2;   // the scenario cannot be run
constexpr int exit_too_slow = 3;

// 0.975 quantiles of Student's t by degrees of freedom, from 1; more than 10 count as 10.
constexpr double t_quantiles[] = {0, 12.71, 4.30, 3.18, 2.78, 2.57, 2.45, 2.36, 2.31, 2.26, 2.23};
constexpr int max_degrees_of_freedom = 10;

/// A metric that compare() reports.
struct ComparedMetric {
  const char* name;
  bool more_is_better;
  double (*value_of)(rig::RunResult&);
};
double value_served(rig::RunResult& result) { return result.value_served; }
double failed_or_lost(rig::RunResult& result) {
  double count = 0;
  for (const auto& class_result : result.classes)
    count += static_cast<double>(class_result.failed + class_result.lost);
  return count;
}
double refused(rig::RunResult& result) {
  double count = 0;
  for (const auto& class_result : result.classes) count += static_cast<double>(class_result.refused);
  return count;
}
double worst_p99(rig::RunResult& result) {
  double worst = 0;
  for (const auto& second : result.seconds) worst = std::max(worst, second.p99_ms);
  return worst;
}
constexpr ComparedMetric compared_metrics[] = {{"value served", true, value_served},
                                               {"refused", false, refused},
                                               {"failed or lost", false, failed_or_lost},
                                               {"worst second's p99, ms", false, worst_p99}};

/// Runs two gateway programs on equal seeds and prints the mean difference of each metric with its 95%
/// confidence interval (Student's t). Returns the exit code of the program.
int compare(rig::Scenario scenario, const rig::Options& base_options, const std::string& other_gateway,
            int pairs) {
  std::vector<std::vector<double>> differences(std::size(compared_metrics));
  const auto first_seed = scenario.seed;
  bool rules_broken = false;
  for (int i = 0; i < pairs; ++i) {
    scenario.seed = first_seed + static_cast<std::uint64_t>(i);
    std::vector<double> values[2];  // of the metrics, by variant: 0 is the base gateway, 1 the other
    // The order alternates, so that a drift over time favours neither.
    for (const int variant : {i % 2, 1 - i % 2}) {
      auto options = base_options;
      options.out += "/" + std::to_string(scenario.seed) + (variant ? "-against" : "-this");
      if (variant) options.gateway = other_gateway;
      auto result = rig::Rig(scenario, options).run();
      if (!result.error.empty()) throw app::ConfigError(result.error);
      std::ofstream(options.out + "/result.json") << rig::result_json(scenario, result);
      if (result.violation_count + result.crashes > 0) {
        std::cout << "seed " << scenario.seed << (variant ? ", against" : ", this") << ": rules broken "
                  << result.violation_count << " times\n";
        rules_broken = true;
      }
      if (result.too_slow)
        std::cout << "seed " << scenario.seed << ": the machine was too slow to judge the figures\n";
      for (const auto& metric : compared_metrics) values[variant].push_back(metric.value_of(result));
    }
    for (std::size_t m = 0; m < std::size(compared_metrics); ++m)
      differences[m].push_back(values[0][m] - values[1][m]);
  }
  for (std::size_t m = 0; m < std::size(compared_metrics); ++m) {
    const auto n = static_cast<double>(differences[m].size());
    double mean = 0;
    double squares = 0;
    for (const double difference : differences[m]) mean += difference / n;
    for (const double difference : differences[m]) squares += (difference - mean) * (difference - mean);
    const double half_width = pairs > 1 ? t_quantiles[std::min(pairs - 1, max_degrees_of_freedom)] *
                                              std::sqrt(squares / (n - 1) / n)
                                        : INFINITY;
    const bool significant = std::abs(mean) > half_width;
    std::printf("%-24s %+10.4f  (%+.4f to %+.4f)  %s\n", compared_metrics[m].name, mean, mean - half_width,
                mean + half_width,
                !significant                                       ? "no difference shown"
                : (mean > 0) == compared_metrics[m].more_is_better ? "better"
                                                                   : "worse");
  }
  return rules_broken ? exit_failed : exit_passed;
}

/// Runs the scenario in simulated time, without processes. Of its faults only the loss of a single primary is
/// simulated.
void simulate(const rig::Scenario& scenario) {
  auto config = lab::reference_deployment();
  config.seed = scenario.seed;
  config.gateways = scenario.gateways;
  config.groups = scenario.groups;
  config.hosts_per_group = scenario.members;
  config.host = scenario.host;
  config.classes = scenario.classes;
  config.tenants = scenario.tenants;
  config.load = scenario.load;
  config.duration = scenario.run_time;
  config.warm_up = scenario.warm_up;
  config.probe_cost = scenario.probe_cost;
  std::size_t left_out = 0;
  for (const auto& fault : scenario.faults)
    if (fault.kind == rig::FaultKind::kill && fault.target.kind == rig::Target::Kind::primary &&
        fault.target.numbers.size() == 1)
      config.primary_failures.push_back({fault.at, fault.target.numbers[0], scenario.takeover});
    else
      ++left_out;
  const auto result = lab::simulate(config);
  std::printf("%s in simulated time, %zu faults not simulated\n%-12s %8s %8s\n", scenario.name.c_str(),
              left_out, "class", "asked", "in time");
  for (std::size_t i = 0; i < config.classes.size(); ++i) {
    const auto& within = result.within[i];
    const auto& beyond = result.beyond[i];
    const auto asked = within.requests + beyond.requests;
    std::printf("%-12s %8llu %8.4f\n", config.classes[i].request_class.name.c_str(),
                static_cast<unsigned long long>(asked),
                static_cast<double>(within.in_time + beyond.in_time) /
                    std::max<double>(1, static_cast<double>(asked)));
  }
}

/// Path of the gateway next to this program, where the build puts it.
std::string default_gateway_path() {
  char self[4096] = "";
  const auto length = ::readlink("/proc/self/exe", self, sizeof self - 1);
  const std::string path(self, length > 0 ? static_cast<std::size_t>(length) : 0);
  return path.substr(0, path.rfind('/') + 1) + "cedarring";
}

}  // namespace

int main(int argc, char** argv) {
  if (argc > 1 && std::strcmp(argv[1], "become") == 0) return rig::become(argv);
  CLI::App app("Runs gateway processes and injects faults", "cedarring rig");
  app.require_subcommand(1);
  auto* run = app.add_subcommand("run",
                                 "Run a scenario. Exit codes: 0 rules kept, 1 a rule broken, 2 the scenario "
                                 "cannot be run, 3 the machine is too slow");
  std::string file;
  std::string out;
  std::uint64_t seed = 0;
  rig::Options options;
  options.gateway = default_gateway_path();
  run->add_option("scenario", file, "Scenario, JSON")->required();
  auto* seeded = run->add_option("--seed", seed, "Seed that replaces the one of the scenario");
  run->add_option("--gateway", options.gateway, "Gateway program (default: the one next to this program)");
  run->add_option("--out", out, "Folder for logs, result.json and plots (default: a new one under TMPDIR)");
  std::string against;
  int pairs = 5;
  run->add_option("--against", against, "Second gateway program, compared on equal seeds");
  run->add_option("--pairs", pairs, "Number of seeds, with --against")->check(CLI::Range(2, 100));
  bool simulate_only = false;
  run->add_flag("--simulate", simulate_only,
                "Run in simulated time; only the loss of a primary is simulated");
  run->add_flag("--live", options.live, "Print a line of results every second");
  CLI11_PARSE(app, argc, argv);
  try {
    std::ifstream in(file);
    std::stringstream text;
    text << in.rdbuf();
    if (!in) throw app::ConfigError(file + ": cannot be read");
    auto scenario = rig::parse_scenario(text.str(), file);
    if (seeded->count() > 0) scenario.seed = seed;
    if (simulate_only) {
      simulate(scenario);
      return exit_passed;
    }
    if (out.empty()) {
      const char* tmp = std::getenv("TMPDIR");
      std::string folder = std::string(tmp && *tmp ? tmp : "/tmp") + "/cedarring-rig-XXXXXX";
      if (!::mkdtemp(folder.data())) throw app::ConfigError(folder + ": cannot create the folder");
      out = folder;
    }
    options.out = out;
    if (!against.empty()) return compare(scenario, options, against, pairs);
    auto result = rig::Rig(scenario, options).run();
    std::ofstream(out + "/result.json") << rig::result_json(scenario, result);
    if (!result.error.empty()) {
      std::cerr << "cedarring rig: " << result.error << '\n';
      return exit_error;
    }
    rig::write_plots(scenario, result, out);
    std::cout << rig::table(scenario, result);
    if (result.violation_count > 0 || result.crashes > 0)
      std::cout << "to reproduce: cedarring rig run " << file << " --seed " << scenario.seed << '\n';
    std::cout << "logs, result.json and plots in " << out << '\n';
    if (result.violation_count > 0 || result.crashes > 0) return exit_failed;
    if (result.too_slow) return exit_too_slow;
    if (result.value_served < scenario.min_value_served) {
      std::cout << "value served is below the " << scenario.min_value_served
                << " that the scenario requires\n";
      return exit_failed;
    }
    return exit_passed;
  } catch (const std::exception& error) {
    std::cerr << "cedarring rig: " << error.what() << '\n';
    return exit_error;
  }
}
