// The simulated deployment: repeatable runs, conservation of requests, the effect of levels, and the host
// model.
#include "tools/lab/simulation.h"

#include <gtest/gtest.h>

namespace cedarring::test {
namespace {

using namespace lab;
using namespace std::chrono_literals;

constexpr Time start_time{1'000'000'000};

// Indexes of classes of the reference deployment.
constexpr std::size_t gate_check = 2;
constexpr std::size_t bid_submit = 3;

/// A short run with one group; `load` as a share of what its hosts can serve.
SimulationConfig short_run(double load, bool with_levels) {
  auto config = reference_deployment();
  config.load = load;
  config.duration = 16s;
  config.warm_up = 8s;
  config.groups = 1;
  if (!with_levels) return config;
  levels::ServiceInfo service;
  for (const auto& spec : config.classes) service.classes.push_back(spec.request_class);
  service.tenants = config.tenants.size();
  config.levels = levels::default_config(service);
  config.levels->mode = levels::Mode::on;
  return config;
}

/// The number of violations of the broker's and the router's rules.
std::uint64_t violations(const SimulationResult& result) {
  return result.overlapping_attempts + result.excess_attempts + result.unanswered + result.late_answers;
}

TEST(Simulation, EqualSeedsGiveEqualRunsAndDifferentSeedsDifferentRuns) {
  auto config = short_run(1.3, true);
  const auto first = simulate(config);
  const auto second = simulate(config);
  config.seed = 2;
  const auto other = simulate(config);
  EXPECT_EQ(first.events, second.events);
  EXPECT_EQ(first.attempts, second.attempts);
  EXPECT_EQ(first.value_share(), second.value_share());
  EXPECT_NE(first.events, other.events);
}

TEST(Simulation, EveryRequestIsAnsweredOnceInTimeUnderOverloadAndAPrimaryFailure) {
  for (const bool with_levels : {false, true}) {
    auto config = short_run(2, with_levels);
    config.primary_failures.push_back({9s, 0, 4s});
    const auto result = simulate(config);
    EXPECT_EQ(violations(result), 0U) << with_levels;
    std::uint64_t requests = 0;
    std::uint64_t ended = 0;
    for (const auto* tallies : {&result.within, &result.beyond})
      for (const auto& tally : *tallies) {
        requests += tally.requests;
        ended += tally.in_time + tally.late + tally.refused + tally.failed;
      }
    EXPECT_EQ(requests, ended) << with_levels;
    EXPECT_GT(requests, 1000U);
  }
}

TEST(Simulation, LevelsPreserveTheMostImportantClassesAtThreeTimesTheLoad) {
  const auto usual = simulate(short_run(0.8, true));
  const auto off = simulate(short_run(3, false));
  const auto on = simulate(short_run(3, true));
  for (const auto class_index : {gate_check, bid_submit}) {
    EXPECT_GE(on.in_time_share(class_index), 0.93 * usual.in_time_share(class_index)) << class_index;
    EXPECT_LT(off.in_time_share(class_index), 0.5 * usual.in_time_share(class_index)) << class_index;
  }
  EXPECT_GT(on.value_share(), off.value_share() + 0.2);
  EXPECT_EQ(violations(on), 0U);
}

// One host alone with constant work of 60 ms, and a request every `gap`. At a low rate no request is refused;
// at twice the rate that the cores can serve, the queue fills and the remaining requests are refused as full.
TEST(HostModel, ConstantWorkOnSeveralCoresIsServedUpToTheirCapacity) {
  // min_full and max_full: bounds on the number of refused requests.
  for (const auto& [gap, min_full, max_full] : {std::tuple{100ms, 0, 0}, {10ms, 900, 1100}}) {
    Timeline timeline(start_time);
    ReplicaGroup group(timeline, GroupId{1});
    HostSpec spec;
    spec.max_requests = 10;
    auto& host = group.add(HostId{1}, spec, "a");
    int served = 0;
    int full = 0;
    for (int i = 0; i < 2000; ++i)
      timeline.at(start_time + i * Duration(gap), [&] {
        Job job;
        job.work = 60ms;
        job.on_done = [&](Outcome outcome, AnswerMetadata) { ++(outcome == Outcome::ok ? served : full); };
        host.submit(std::move(job));
      });
    timeline.run_until(start_time + 1h);
    EXPECT_EQ(served + full, 2000);
    EXPECT_GE(full, min_full) << full;  // at 10 ms: 3 cores serve 50 of 100 a second
    EXPECT_LE(full, max_full) << full;
    EXPECT_EQ(host.busy_time(), served * Duration(60ms));
  }
}

TEST(HostModel, AReplicaLagsByTheReplicationDelayAndItsUnappliedWrites) {
  Timeline timeline(start_time);
  ReplicaGroup group(timeline, GroupId{1});
  HostSpec spec;
  spec.replication_delay = 5ms;
  spec.apply_time = 10ms;
  group.add(HostId{1}, spec, "a");
  auto& replica = group.add(HostId{2}, spec, "b");
  EXPECT_EQ(replica.position(), timeline.now() - 5ms);
  timeline.run_until(timeline.now() + 1s);
  const auto commit = timeline.now();
  for (int i = 0; i < 10; ++i) group.replicate_to_replicas(commit + Duration(i));
  EXPECT_LT(replica.position(), commit);
  timeline.run_until(commit + 60ms);
  EXPECT_GE(replica.position(), commit);  // five of ten are applied
  EXPECT_LT(replica.position(), commit + 9us);
  timeline.run_until(commit + 1s);
  EXPECT_EQ(replica.position(), timeline.now() - 5ms);
  const auto before = replica.position();
  group.fail_primary(4s, [](HostModel&) {});
  timeline.run_until(timeline.now() + 3s);
  EXPECT_EQ(replica.position(), before);  // nothing is written without a primary
  Time last = before;
  for (int i = 0; i < 100; ++i) {
    timeline.run_until(timeline.now() + 50ms);
    EXPECT_GE(replica.position(), last);
    last = replica.position();
  }
  EXPECT_EQ(group.primary(), &replica);
}

}  // namespace
}  // namespace cedarring::test
