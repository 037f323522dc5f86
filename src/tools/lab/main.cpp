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
std::vector<WorldResult> over_seeds(const WorldConfig& config, int seeds) {
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
  for (const double f : {1.3, 2.0, 3.0})
    runs.push_back({"reads x" + std::to_string(f).substr(0, 3), 0.8, {f, f, 1, 1}, {}});
  runs.push_back(
      {"primary lost 4 s", 0.8, {}, {{std::chrono::seconds(length / 2), 0, std::chrono::seconds(4)}}});
  std::printf("%-18s %5s  %-7s  %-16s  %-8s %-8s %-8s %-8s  %s\n", "load", "", "levels", "worth", "desk",
              "history", "gate", "bid", "rules broken, changes");
  for (const auto& r : runs) {
    std::vector<WorldResult> kept[2];
    for (const bool on : {false, true}) {
      auto c = sapporo();
      c.load = r.load;
      c.factors = r.factors;
      c.losses = r.losses;
      c.length = std::chrono::seconds(length);
      if (on) {
        levels::ServiceInfo s;
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
      std::printf("%-18s %5.2f  %-7s  %.4f +- %.4f ", r.name.c_str(), r.load, on ? "on" : "off", w.mean,
                  w.half);
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

/// Three teams over a closure in the middle of the run: desks, a partner, and a settlement batch that runs
/// away then.
int contracts_experiment(int seeds, int length) {
  auto c = sapporo();
  c.tenants = {{"desks", 0.70}, {"partner", 0.18}, {"batch", 0.12}};
  c.load = 0.7;
  c.length = std::chrono::seconds(length);
  const double usual = 0.7 * 0.92 * c.groups * c.members * c.host.cores / 0.0622;  // requests a second
  const auto terms = [&](bool enforce) {
    contracts::Config k;
    k.mode = enforce ? contracts::Mode::enforce : contracts::Mode::count;
    k.gateways = static_cast<std::uint32_t>(c.gateways);
    for (std::size_t t = 0; t < c.tenants.size(); ++t) {
      contracts::Team team;
      team.name = c.tenants[t].name;
      team.tenants = {static_cast<std::int32_t>(t)};
      for (const auto& cls : c.classes) {
        contracts::Terms one;
        one.rate = 1.3 * usual * cls.share * c.tenants[t].share;
        one.burst = std::max(15.0, one.rate);
        one.wanted = cls.contract.latency_target;
        one.weight = t == 0 ? 4 : t == 1 ? 2 : 1;
        one.beyond = contracts::Beyond::borrow;
        team.classes.push_back(contracts::ClassTerms{one, {}});
      }
      k.teams.push_back(team);
    }
    return k;
  };
  std::printf("%-22s %-9s %-10s %8s %8s %8s %8s %8s %8s\n", "run", "team", "class", "asked", "within",
              "beyond", "in time", "refused", "share");
  for (const int what : {0, 1, 2}) {
    auto run_of = c;
    // On top of its usual share the batch asks for as much again as everybody together.
    if (what > 0)
      run_of.surges.push_back(
          {2, 1, usual, std::chrono::seconds(length / 3), std::chrono::seconds(2 * length / 3)});
    run_of.contracts = terms(what == 2);
    const auto all = over_seeds(run_of, seeds);
    const char* name = what == 0 ? "usual, counting" : what == 1 ? "runaway, counting" : "runaway, enforcing";
    std::uint64_t broken = 0;
    for (const auto& r : all) broken += r.overlapping + r.too_many + r.unanswered + r.late_answers;
    for (std::size_t t = 0; t < c.tenants.size(); ++t)
      for (std::size_t k = 0; k < c.classes.size(); ++k) {
        contracts::Entry e;
        std::vector<double> shares;
        for (const auto& r : all) {
          e += r.ledger[t * c.classes.size() + k];
          const auto& own = r.by_tenant_class[t * c.classes.size() + k];
          if (own.asked > 0)
            shares.push_back(static_cast<double>(own.in_time) / static_cast<double>(own.asked));
        }
        const auto n = static_cast<double>(seeds);
        const auto each = [&](std::uint64_t x) { return static_cast<double>(x) / n; };
        const auto s = estimate(shares);
        std::printf("%-22s %-9s %-10s %8.0f %8.0f %8.0f %8.0f %8.0f %.4f +- %.4f\n", name,
                    c.tenants[t].name.c_str(), c.classes[k].contract.name.c_str(), each(e.asked),
                    each(e.within), each(e.beyond), each(e.in_time),
                    each(e.refused_contract + e.refused_contention + e.refused_router + e.refused_levels),
                    s.mean, s.half);
      }
    std::printf("%-22s rules broken %llu\n", name, static_cast<unsigned long long>(broken));
  }
  return 0;
}

/// How evenly reads come to replicas, by number of gateways and load; beside a draw that knows nothing and
/// one that sees all.
int spread_experiment(int seeds, int length, const std::vector<int>& gateways,
                      const std::vector<double>& loads, int groups, int members, double uneven, bool swings) {
  std::printf(
      "%d groups of %d, %d s, %d seeds%s; reads at a replica: variance over mean in 0.1, 1 and 10 s\n",
      groups, members, length, seeds, uneven > 1 ? ", traffic uneven over gateways" : "");
  std::printf("%8s %5s %-7s %7s %7s %7s %7s %7s  %-8s %-8s %-8s %-8s %s\n", "gateways", "load", "by", "0.1 s",
              "1 s", "10 s", "least", "idle", "desk", "history", "gate", "bid",
              "probes a request, rules broken");
  for (const int g : gateways)
    for (const double load : loads)
      for (const auto by :
           {WorldConfig::Spread::module, WorldConfig::Spread::blind, WorldConfig::Spread::oracle}) {
        auto c = sapporo();
        c.gateways = g, c.load = load, c.groups = groups, c.members = members, c.uneven = uneven,
        c.spread = by;
        c.probe_price = 0.05;
        c.length = std::chrono::seconds(length);
        const auto all = over_seeds(c, seeds);
        const auto of = [&](auto what) {
          std::vector<double> x;
          for (const auto& r : all) x.push_back(what(r));
          return estimate(x);
        };
        const auto in_time = [&](std::size_t k) {
          return of([k](const WorldResult& r) {
            const auto &a = r.within[k], &b = r.beyond[k];
            return static_cast<double>(a.in_time + b.in_time) /
                   std::max<double>(1, static_cast<double>(a.asked + b.asked));
          });
        };
        std::uint64_t broken = 0, probes = 0, requests = 0;
        for (const auto& r : all)
          broken += r.overlapping + r.too_many + r.unanswered + r.late_answers, probes += r.probes,
              requests += r.requests;
        std::printf("%8d %5.2f %-7s", g, load,
                    by == WorldConfig::Spread::module  ? "module"
                    : by == WorldConfig::Spread::blind ? "blind"
                                                       : "oracle");
        for (const std::size_t w : {0, 1, 2})
          std::printf(" %7.2f", of([w](const auto& r) { return r.spread.dispersion[w]; }).mean);
        std::printf(" %7.3f %7.4f ", of([](const auto& r) { return r.spread.least; }).mean,
                    of([](const auto& r) { return r.spread.idle_beside_queue; }).mean);
        for (std::size_t k = 0; k < 4; ++k) std::printf(" %.4f  ", in_time(k).mean);
        std::printf(" %.3f, %llu\n",
                    static_cast<double>(probes) / std::max<double>(1, static_cast<double>(requests)),
                    static_cast<unsigned long long>(broken));
        if (swings) {
          std::printf("%23s", "after 0.1 to 2 s:");
          for (std::size_t lag = 0; lag < 20; ++lag)
            std::printf(" %+.2f", of([lag](const auto& r) { return r.spread.correlation[lag]; }).mean);
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
  int seeds = 8, length = 60;
  auto* levels = app.add_subcommand("levels", "Worth by class with and without levels of reduced service");
  levels->add_option("--seeds", seeds, "Runs of each")->check(CLI::Range(1, 1000));
  levels->add_option("--seconds", length, "Simulated seconds of each run")->check(CLI::Range(10, 3600));
  auto* contracts = app.add_subcommand("contracts", "Three teams, one of which runs away around a closure");
  contracts->add_option("--seeds", seeds, "Runs of each")->check(CLI::Range(1, 1000));
  contracts->add_option("--seconds", length, "Simulated seconds of each run")->check(CLI::Range(10, 3600));
  auto* spread =
      app.add_subcommand("spread", "How evenly reads come to replicas, by number of gateways and load");
  std::vector<int> gateways{3, 30, 300};
  std::vector<double> loads{0.3, 0.6, 0.8};
  int groups = 19, members = 5;
  double uneven = 1;
  bool swings = false;
  spread->add_option("--seeds", seeds, "Runs of each")->check(CLI::Range(1, 1000));
  spread->add_option("--seconds", length, "Simulated seconds of each run")->check(CLI::Range(10, 3600));
  spread->add_option("--gateways", gateways, "Numbers of gateways")
      ->delimiter(',')
      ->check(CLI::Range(1, 1000));
  spread->add_option("--loads", loads, "Of what the hosts can do")
      ->delimiter(',')
      ->check(CLI::Range(0.01, 3.0));
  spread->add_option("--groups", groups, "Groups of hosts")->check(CLI::Range(1, 1000));
  spread->add_option("--members", members, "Hosts in a group, one of them its primary")
      ->check(CLI::Range(2, 20));
  spread->add_option("--uneven", uneven, "The largest gateway's traffic over the middle one's")
      ->check(CLI::Range(1.0, 100.0));
  spread->add_flag("--swings", swings, "Autocorrelation of the reads at a replica, too");
  CLI11_PARSE(app, argc, argv);
  if (spread->parsed())
    return spread_experiment(seeds, length, gateways, loads, groups, members, uneven, swings);
  return levels->parsed() ? levels_experiment(seeds, length) : contracts_experiment(seeds, length);
}
