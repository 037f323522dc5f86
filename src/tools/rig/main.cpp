// cedarring rig: many processes of the gateway, and faults between them. See docs/rig.md.
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

struct ComparedMetric {
  const char* name;
  bool more_is_better;
  double (*value_of)(rig::RunResult&);
};
double value_served(rig::RunResult& r) { return r.value_served; }
double failed_or_lost(rig::RunResult& r) {
  double n = 0;
  for (const auto& c : r.classes) n += static_cast<double>(c.failed + c.lost);
  return n;
}
double refused(rig::RunResult& r) {
  double n = 0;
  for (const auto& c : r.classes) n += static_cast<double>(c.refused);
  return n;
}
double worst_p99(rig::RunResult& r) {
  double most = 0;
  for (const auto& x : r.seconds) most = std::max(most, x.p99_ms);
  return most;
}
constexpr ComparedMetric compared_metrics[] = {{"worth served", true, value_served},
                                               {"refused", false, refused},
                                               {"failed or lost", false, failed_or_lost},
                                               {"worst second's p99, ms", false, worst_p99}};

/// Both on equal seeds, in turn; per figure the mean difference with its interval (Student's t, 95%).
int compare(rig::Scenario s, const rig::Options& base_options, const std::string& other_gateway, int pairs) {
  constexpr double t95[] = {0, 12.71, 4.30, 3.18, 2.78, 2.57, 2.45, 2.36, 2.31, 2.26, 2.23};
  std::vector<std::vector<double>> differences(std::size(compared_metrics));
  const auto first = s.seed;
  bool rules_broken = false;
  for (int i = 0; i < pairs; ++i) {
    s.seed = first + static_cast<std::uint64_t>(i);
    std::vector<double> values[2];
    // Which one goes first changes, so that what drifts with time favours neither.
    for (const int variant : {i % 2, 1 - i % 2}) {
      auto options = base_options;
      options.out += "/" + std::to_string(s.seed) + (variant ? "-against" : "-this");
      if (variant) options.gateway = other_gateway;
      auto r = rig::Rig(s, options).run();
      if (!r.error.empty()) throw app::ConfigError(r.error);
      std::ofstream(options.out + "/result.json") << rig::result_json(s, r);
      if (r.violation_count + r.crashes > 0) {
        std::cout << "seed " << s.seed << (variant ? ", against" : ", this") << ": rules broken "
                  << r.violation_count << " times\n";
        rules_broken = true;
      }
      if (r.too_slow) std::cout << "seed " << s.seed << ": too slow a machine for a verdict on figures\n";
      for (const auto& f : compared_metrics) values[variant].push_back(f.value_of(r));
    }
    for (std::size_t f = 0; f < std::size(compared_metrics); ++f)
      differences[f].push_back(values[0][f] - values[1][f]);
  }
  for (std::size_t f = 0; f < std::size(compared_metrics); ++f) {
    const auto& d = differences[f];
    const auto n = static_cast<double>(d.size());
    double mean = 0, squares = 0;
    for (const double v : d) mean += v / n;
    for (const double v : d) squares += (v - mean) * (v - mean);
    const double half_width =
        pairs > 1 ? t95[std::min(pairs - 1, 10)] * std::sqrt(squares / (n - 1) / n) : INFINITY;
    const bool significant = std::abs(mean) > half_width;
    std::printf("%-24s %+10.4f  (%+.4f to %+.4f)  %s\n", compared_metrics[f].name, mean, mean - half_width,
                mean + half_width,
                !significant                                       ? "no difference shown"
                : (mean > 0) == compared_metrics[f].more_is_better ? "better"
                                                                   : "worse");
  }
  return rules_broken ? 1 : 0;
}

/// The same scenario in simulated time, where there are no processes: hosts that are lost as primaries, no
/// other fault.
void simulate(const rig::Scenario& s) {
  auto c = lab::sapporo();
  c.seed = s.seed;
  c.gateways = s.gateways;
  c.groups = s.groups;
  c.members = s.members;
  c.host = s.host;
  c.classes = s.classes;
  c.tenants = s.tenants;
  c.load = s.load;
  c.length = s.run_time;
  c.warm_up = s.warm_up;
  c.probe_price = s.probe_cost;
  std::size_t left_out = 0;
  for (const auto& f : s.faults)
    if (f.kind == rig::FaultKind::kill && f.target.kind == rig::Target::Kind::primary &&
        f.target.numbers.size() == 1)
      c.losses.push_back({f.at, f.target.numbers[0], s.takeover});
    else
      ++left_out;
  const auto r = lab::run(c);
  std::printf("%s in simulated time, %zu faults left out\n%-12s %8s %8s\n", s.name.c_str(), left_out, "class",
              "asked", "in time");
  for (std::size_t k = 0; k < c.classes.size(); ++k) {
    const auto &in = r.within[k], &beyond = r.beyond[k];
    const auto asked = in.asked + beyond.asked;
    std::printf(
        "%-12s %8llu %8.4f\n", c.classes[k].contract.name.c_str(), static_cast<unsigned long long>(asked),
        static_cast<double>(in.in_time + beyond.in_time) / std::max<double>(1, static_cast<double>(asked)));
  }
}

/// Beside this program, as a build leaves it.
std::string default_gateway_path() {
  char self[4096] = "";
  const auto n = ::readlink("/proc/self/exe", self, sizeof self - 1);
  const std::string path(self, n > 0 ? static_cast<std::size_t>(n) : 0);
  return path.substr(0, path.rfind('/') + 1) + "cedarring";
}

}  // namespace

int main(int argc, char** argv) {
  if (argc > 1 && std::strcmp(argv[1], "become") == 0) return rig::become(argv);
  CLI::App app("Plays gateways as processes, with faults between them", "cedarring rig");
  app.require_subcommand(1);
  auto* run = app.add_subcommand(
      "run", "Play a scenario; 0: rules kept, 1: one broken, 2: cannot be played, 3: too slow a machine");
  std::string file, out;
  std::uint64_t seed = 0;
  rig::Options options;
  options.gateway = default_gateway_path();
  run->add_option("scenario", file, "Scenario, JSON")->required();
  auto* seeded = run->add_option("--seed", seed, "In place of the scenario's");
  run->add_option("--gateway", options.gateway, "The program, instead of the one beside this one");
  run->add_option("--out", out, "Folder for logs, result.json and plots; else one of its own under TMPDIR");
  std::string against;
  int pairs = 5;
  run->add_option("--against", against, "Another gateway, played on equal seeds beside the first");
  run->add_option("--pairs", pairs, "How many seeds, with --against")->check(CLI::Range(2, 100));
  bool simulate_only = false;
  run->add_flag("--simulate", simulate_only,
                "In simulated time instead; of faults only the loss of a primary");
  run->add_flag("--live", options.live, "A line a second");
  CLI11_PARSE(app, argc, argv);
  try {
    std::ifstream in(file);
    std::stringstream text;
    text << in.rdbuf();
    if (!in) throw app::ConfigError(file + ": cannot be read");
    auto s = rig::parse_scenario(text.str(), file);
    if (seeded->count() > 0) s.seed = seed;
    if (simulate_only) {
      simulate(s);
      return 0;
    }
    if (out.empty()) {
      const char* tmp = std::getenv("TMPDIR");
      std::string at = std::string(tmp && *tmp ? tmp : "/tmp") + "/cedarring-rig-XXXXXX";
      if (!::mkdtemp(at.data())) throw app::ConfigError(at + ": cannot be made");
      out = at;
    }
    options.out = out;
    if (!against.empty()) return compare(s, options, against, pairs);
    auto r = rig::Rig(s, options).run();
    std::ofstream(out + "/result.json") << rig::result_json(s, r);
    if (!r.error.empty()) {
      std::cerr << "cedarring rig: " << r.error << '\n';
      return 2;
    }
    rig::write_plots(s, r, out);
    std::cout << rig::table(s, r);
    if (r.violation_count > 0 || r.crashes > 0)
      std::cout << "again: cedarring rig run " << file << " --seed " << s.seed << '\n';
    std::cout << "logs, result.json and plots in " << out << '\n';
    if (r.violation_count > 0 || r.crashes > 0) return 1;
    if (r.too_slow) return 3;
    if (r.value_served < s.min_value_served) {
      std::cout << "served less than the " << s.min_value_served << " that the scenario wants\n";
      return 1;
    }
    return 0;
  } catch (const std::exception& e) {
    std::cerr << "cedarring rig: " << e.what() << '\n';
    return 2;
  }
}
