// Benchmarks of the contracts gate, by number of teams: the cost of a request and of a periodic evaluation.
#include <benchmark/benchmark.h>

#include "contracts/contracts.h"

namespace {

using namespace cedarring;

// In microseconds.
constexpr Duration answer_time{50'000};
constexpr Duration request_interval{1};
constexpr Duration step_interval{100'000};
constexpr Time start_time{1'700'000'000'000'000};
// Prime to the numbers of teams, so that requests go to all of them.
constexpr std::uint64_t tenant_stride = 7;

/// Contracts in force, with one tenant for each team and rates that the benchmarks do not reach.
contracts::Contracts make_contracts(std::size_t teams) {
  contracts::ServiceInfo service;
  for (const auto& [name, freshness] : {std::pair{"desk-view", Freshness::bounded},
                                        {"history", Freshness::any},
                                        {"gate-check", Freshness::fresh},
                                        {"bid-submit", Freshness::write}}) {
    RequestClass request_class;
    request_class.name = name;
    request_class.latency_target = std::chrono::milliseconds(300);
    request_class.deadline = std::chrono::seconds(1);
    request_class.freshness = freshness;
    service.classes.push_back(request_class);
  }
  service.tenants = teams;
  contracts::Config config;
  config.mode = contracts::Mode::enforce;
  for (std::size_t t = 0; t < teams; ++t) {
    contracts::Team team;
    team.name = "team" + std::to_string(t);
    team.tenants = {static_cast<std::int32_t>(t)};
    contracts::Terms terms;
    terms.rate = 1e6;
    terms.burst = 1000;
    terms.beyond = contracts::BeyondPolicy::refuse;
    team.classes.assign(service.classes.size(), contracts::ClassTerms{terms, {}});
    config.teams.push_back(team);
  }
  return {config, service};
}

/// A verdict and the end of its request: the whole cost of one request.
void admit_and_end(benchmark::State& state) {
  const auto teams = static_cast<std::size_t>(state.range(0));
  auto contracts = make_contracts(teams);
  gates::GateRequest request;
  request.group = GroupId{1};
  Time now = start_time;
  std::uint64_t count = 0;
  for (auto _ : state) {
    request.request = RequestId{++count};
    request.tenant = static_cast<std::int32_t>(count * tenant_stride % teams);
    request.class_id = ClassId{static_cast<std::int32_t>(count & 3U)};  // the four classes in turn
    now += request_interval;
    benchmark::DoNotOptimize(contracts.admit(request, now));
    contracts.on_request_end(request, {gates::RequestEnd::served, {}, {}, true, answer_time}, now);
  }
}
BENCHMARK(admit_and_end)->Arg(3)->Arg(250)->Arg(10000);

/// A periodic evaluation of all teams.
void step(benchmark::State& state) {
  auto contracts = make_contracts(static_cast<std::size_t>(state.range(0)));
  Time now = start_time;
  std::vector<contracts::Breach> breaches;
  for (auto _ : state) {
    now += step_interval;
    contracts.step(now, {{GroupId{1}, true, false}, {GroupId{1}, false, false}}, breaches);
  }
}
BENCHMARK(step)->Arg(3)->Arg(250)->Arg(10000);

}  // namespace
