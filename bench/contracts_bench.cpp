// What the contracts' verdict costs, with 1,000 contracts in force, and how large their state is.
#include <benchmark/benchmark.h>

#include "contracts/contracts.h"

namespace {

using namespace cedarring;
using namespace std::chrono_literals;

contracts::Contracts make(std::size_t teams) {
  contracts::ServiceInfo s;
  for (const auto& [name, freshness] : {std::pair{"desk-view", Freshness::bounded},
                                        {"history", Freshness::any},
                                        {"gate-check", Freshness::fresh},
                                        {"bid-submit", Freshness::write}}) {
    RequestClass c;
    c.name = name, c.latency_target = 300ms, c.deadline = 1s, c.freshness = freshness;
    s.classes.push_back(c);
  }
  s.tenants = teams;
  contracts::Config c;
  c.mode = contracts::Mode::enforce;
  for (std::size_t t = 0; t < teams; ++t) {
    contracts::Team team;
    team.name = "team" + std::to_string(t);
    team.tenants = {static_cast<std::int32_t>(t)};
    contracts::Terms terms;
    terms.rate = 1e6, terms.burst = 1000, terms.beyond = contracts::Beyond::refuse;
    team.classes.assign(4, contracts::ClassTerms{terms, {}});
    c.teams.push_back(team);
  }
  return {c, s};
}

/// A verdict and its ending: what a request costs in all.
void admit_and_end(benchmark::State& state) {
  const auto teams = static_cast<std::size_t>(state.range(0));
  auto c = make(teams);
  gates::GateRequest a;
  a.group = GroupId{1};
  Time now{1'700'000'000'000'000};
  std::uint64_t n = 0;
  for (auto _ : state) {
    a.request = RequestId{++n};
    a.tenant = static_cast<std::int32_t>(n * 7 % teams);
    a.class_id = ClassId{static_cast<std::int32_t>(n & 3U)};
    now += 1us;
    benchmark::DoNotOptimize(c.admit(a, now));
    c.on_request_end(a, {gates::RequestEnd::served, {}, {}, true, 50ms}, now);
  }
}
BENCHMARK(admit_and_end)->Arg(3)->Arg(250)->Arg(10000);

void step(benchmark::State& state) {
  auto c = make(static_cast<std::size_t>(state.range(0)));
  Time now{1'700'000'000'000'000};
  std::vector<contracts::Breach> breaches;
  for (auto _ : state)
    c.step(now += 100ms, {{GroupId{1}, true, false}, {GroupId{1}, false, false}}, breaches);
}
BENCHMARK(step)->Arg(3)->Arg(250)->Arg(10000);

}  // namespace
