// Benchmarks of the levels gate: the cost of a verdict, of counting a request's end and of an evaluation,
// with eight pressure levels and the default faults. Counts the heap allocations of all verdicts of a run.
#include <benchmark/benchmark.h>

#include <atomic>
#include <cstdlib>
#include <new>

#include "levels/levels.h"

namespace {
std::atomic<std::uint64_t> allocations{0};
}
void* operator new(std::size_t size) {
  ++allocations;
  if (void* memory = std::malloc(size)) return memory;
  throw std::bad_alloc();
}
void operator delete(void* memory) noexcept { std::free(memory); }
void operator delete(void* memory, std::size_t) noexcept { std::free(memory); }

namespace {

using namespace cedarring;

// In microseconds.
constexpr Duration step_interval{100'000};
constexpr Duration request_interval{37};
constexpr Time start_time{1'000'000'000};
constexpr Time warm_time{1'010'000'000};  // after 10 s of evaluations
constexpr Time pin_end{2'000'000'000};
constexpr std::size_t pressure_level_count = 8;

levels::ServiceInfo service() {
  levels::ServiceInfo info;
  for (const auto& [name, freshness] : {std::pair{"desk-view", Freshness::bounded},
                                        {"history", Freshness::any},
                                        {"gate-check", Freshness::fresh},
                                        {"bid-submit", Freshness::write}}) {
    RequestClass request_class;
    request_class.name = name;
    request_class.latency_target = std::chrono::milliseconds(300);
    request_class.deadline = std::chrono::seconds(1);
    request_class.freshness = freshness;
    request_class.staleness_bound = std::chrono::milliseconds(200);
    info.classes.push_back(request_class);
  }
  info.tenants = 3;
  return info;
}

/// Levels with the pressure level pinned to `trim`, and with `groups` groups, all with or all without a
/// primary.
levels::Levels make_levels(std::size_t groups, bool without_primary) {
  auto config = levels::default_config(service());
  config.mode = levels::Mode::on;
  while (config.pressure.levels.size() < pressure_level_count) {
    auto level = config.pressure.levels.back();
    level.name += "+";
    config.pressure.levels.push_back(level);
  }
  levels::Levels levels(config, service());
  levels::GatewayState state;
  for (std::size_t group = 1; group <= groups; ++group)
    state.groups.push_back({GroupId{static_cast<std::int64_t>(group)}, !without_primary, 0, 0});
  std::vector<levels::AxisChange> changes;
  for (Time now = start_time; now < warm_time; now += step_interval) {
    state.groups_at = now;
    levels.step(now, state, changes);
  }
  levels.pin(std::nullopt, "trim", pin_end, warm_time);
  levels.step(warm_time, state, changes);
  return levels;
}

/// Verdicts on requests of changing callers, classes and groups.
void run_verdicts(benchmark::State& state, bool without_primary) {
  auto levels = make_levels(static_cast<std::size_t>(state.range(0)), without_primary);
  gates::GateRequest request;
  request.tenant = 1;
  request.time_left = std::chrono::milliseconds(100);
  const auto allocations_before = allocations.load();
  std::uint64_t number = 0;
  for (auto _ : state) {
    request.request = RequestId{++number};
    request.caller = number * 0x9e3779b97f4a7c15ULL;  // spreads the numbers over all 64 bits
    request.class_id = ClassId{static_cast<std::int32_t>(number & 3U)};
    request.group =
        GroupId{static_cast<std::int64_t>(number % static_cast<std::uint64_t>(state.range(0))) + 1};
    benchmark::DoNotOptimize(levels.admit(request, warm_time));
  }
  state.counters["allocations"] = static_cast<double>(allocations.load() - allocations_before);
}
void admit(benchmark::State& state) { run_verdicts(state, false); }
void refuse_without_primary(benchmark::State& state) { run_verdicts(state, true); }
BENCHMARK(admit)->Arg(2)->Arg(1000);
BENCHMARK(refuse_without_primary)->Arg(2)->Arg(1000);

/// Counting the end of a request.
void ending(benchmark::State& state) {
  auto levels = make_levels(2, false);
  gates::GateRequest request;
  gates::RequestResult result;
  result.end = gates::RequestEnd::served;
  result.elapsed = std::chrono::milliseconds(50);
  Time now = warm_time;
  for (auto _ : state) {
    request.class_id = ClassId{static_cast<std::int32_t>(now.count() & 3)};
    now += request_interval;
    levels.on_request_end(request, result, now);
  }
}
BENCHMARK(ending);

/// A periodic evaluation.
void step(benchmark::State& state) {
  auto levels = make_levels(static_cast<std::size_t>(state.range(0)), false);
  levels::GatewayState gateway_state;
  for (std::int64_t group = 1; group <= state.range(0); ++group)
    gateway_state.groups.push_back({GroupId{group}, true, 0, 0});
  std::vector<levels::AxisChange> changes;
  Time now = warm_time;
  for (auto _ : state) {
    now += step_interval;
    gateway_state.groups_at = now;
    levels.step(now, gateway_state, changes);
  }
}
BENCHMARK(step)->Arg(2)->Arg(1000);

}  // namespace
