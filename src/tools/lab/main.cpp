// cedarring lab: experiments in simulated time with the real broker, gates and router.
#include <CLI/CLI.hpp>
#include <boost/math/distributions/students_t.hpp>
#include <cmath>
#include <cstdio>
#include <future>
#include <iostream>
#include <thread>
#include <vector>

#include "tools/lab/world.h"

namespace {

using namespace cedarring;
using namespace cedarring::lab;

/// A mean over seeds, with half the width of its 95% confidence interval.
struct Estimate {
  double mean = 0, half = 0;
};
Estimate estimate(const std::vector<double>& x) {
  Estimate e;
  for (const double v : x) e.mean += v / static_cast<double>(x.size());
  if (x.size() < 2) return e;
  double squares = 0;
  for (const double v : x) squares += (v - e.mean) * (v - e.mean);
  const auto n = static_cast<double>(x.size());
  const boost::math::students_t t(n - 1);
  e.half = boost::math::quantile(t, 0.975) * std::sqrt(squares / (n - 1) / n);
  return e;
}

/// The runs of a scenario over seeds, on all cores; by seed, so that the order of threads changes nothing.
std::vector<WorldResult> over_seeds(WorldConfig config, int seeds) {
  std::vector<WorldResult> all(static_cast<std::size_t>(seeds));
  std::vector<std::thread> threads;
  std::atomic<int> next{0};
  for (unsigned t = 0; t < std::max(1U, std::thread::hardware_concurrency()); ++t)
    threads.emplace_back([&] {
      for (int i = next++; i < seeds; i = next++) {
        auto c = config;
        c.seed = static_cast<std::uint64_t>(i) + 1;
        all[static_cast<std::size_t>(i)] = run(c);
      }
    });
  for (auto& t : threads) t.join();
  return all;
}

int levels_experiment(int seeds, int length) {
  struct Run {
    std::string name;
    double load = 1;
    std::vector<double> factors;
    std::vector<WorldConfig::Loss> losses;
  };
  std::vector<Run> runs;
  for (const double load : {0.8, 1.0, 1.3, 2.0, 3.0}) runs.push_back({"all classes", load, {}, {}});
  for (const double f : {1.3, 2.0, 3.0}) runs.push_back({"reads x" + std::to_string(f).substr(0, 3), 0.8, {f, f, 1, 1}, {}});
  runs.push_back({"primary lost 4 s", 0.8, {}, {{std::chrono::seconds(length / 2), 0, std::chrono::seconds(4)}}});
  std::printf("%-18s %5s  %-7s  %-16s  %-8s %-8s %-8s %-8s  %s\n", "load", "", "levels", "worth", "desk", "history",
              "gate", "bid", "rules broken, changes");
  for (const auto& r : runs) {
    std::vector<WorldResult> kept[2];
    for (const bool on : {false, true}) {
      auto c = sapporo();
      c.load = r.load;
      c.factors = r.factors;
      c.losses = r.losses;
      c.length = std::chrono::seconds(length);
      if (on) {
        levels::Service s;
        for (const auto& k : c.classes) s.classes.push_back(k.contract);
        s.tenants = c.tenants.size();
        c.levels = levels::default_config(s);
        c.levels->mode = levels::Mode::on;
      }
      const auto all = over_seeds(c, seeds);
      std::vector<double> worth;
      std::vector<std::vector<double>> in_time(c.classes.size());
      std::uint64_t broken = 0, changes = 0;
      for (const auto& x : all) {
        worth.push_back(x.worth_share());
        for (std::size_t i = 0; i < in_time.size(); ++i) in_time[i].push_back(x.in_time_share(i));
        broken += x.overlapping + x.too_many + x.unanswered + x.late_answers;
        for (const auto& e : x.changes) changes += e.change.from != e.change.to ? 1 : 0;
      }
      const auto w = estimate(worth);
      std::printf("%-18s %5.2f  %-7s  %.4f +- %.4f ", r.name.c_str(), r.load, on ? "on" : "off", w.mean, w.half);
      for (const auto& x : in_time) std::printf(" %.4f  ", estimate(x).mean);
      std::printf(" %llu, %.1f\n", static_cast<unsigned long long>(broken),
                  static_cast<double>(changes) / static_cast<double>(seeds));
      std::fflush(stdout);
      kept[on ? 1 : 0] = all;
    }
    std::vector<double> difference;
    for (std::size_t i = 0; i < kept[0].size(); ++i)
      difference.push_back(kept[1][i].worth_share() - kept[0][i].worth_share());
    const auto d = estimate(difference);
    std::printf("%-18s        %-7s  %+.4f +- %.4f\n", "", "by pair", d.mean, d.half);
  }
  return 0;
}

}  // namespace

int main(int argc, char** argv) {
  CLI::App app("Experiments in simulated time", "cedarring lab");
  app.require_subcommand(1);
  int seeds = 8, length = 60;
  auto* levels = app.add_subcommand("levels", "Worth by class with and without levels of reduced service");
  levels->add_option("--seeds", seeds, "Runs of each")->check(CLI::Range(1, 1000));
  levels->add_option("--seconds", length, "Simulated seconds of each run")->check(CLI::Range(10, 3600));
  CLI11_PARSE(app, argc, argv);
  return levels_experiment(seeds, length);
}
