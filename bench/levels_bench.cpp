// What a gate's verdict costs, with eight levels of pressure and the default faults, and whether it
// allocates.
#include <benchmark/benchmark.h>

#include <atomic>
#include <cstdlib>
#include <new>

#include "levels/levels.h"

namespace {
std::atomic<std::uint64_t> allocations{0};
}
void* operator new(std::size_t n) {
  ++allocations;
  if (void* p = std::malloc(n)) return p;
  throw std::bad_alloc();
}
void operator delete(void* p) noexcept { std::free(p); }
void operator delete(void* p, std::size_t) noexcept { std::free(p); }

namespace {

using namespace cedarring;

levels::ServiceInfo service() {
  levels::ServiceInfo s;
  for (const auto& [name, freshness] : {std::pair{"desk-view", Freshness::bounded},
                                        {"history", Freshness::any},
                                        {"gate-check", Freshness::fresh},
                                        {"bid-submit", Freshness::write}}) {
    RequestClass c;
    c.name = name, c.latency_target = std::chrono::milliseconds(300), c.deadline = std::chrono::seconds(1),
    c.freshness = freshness, c.staleness_bound = std::chrono::milliseconds(200);
    s.classes.push_back(c);
  }
  s.tenants = 3;
  return s;
}

levels::Levels make(std::size_t groups, bool lost) {
  auto c = levels::default_config(service());
  c.mode = levels::Mode::on;
  while (c.pressure.levels.size() < 8) {
    auto more = c.pressure.levels.back();
    more.name += "+";
    c.pressure.levels.push_back(more);
  }
  levels::Levels l(c, service());
  levels::GatewayState state;
  for (std::size_t g = 1; g <= groups; ++g)
    state.groups.push_back({GroupId{static_cast<std::int64_t>(g)}, !lost, 0, 0});
  std::vector<levels::AxisChange> events;
  for (Time now{1'000'000'000}; now < Time{1'010'000'000}; now += std::chrono::milliseconds(100)) {
    state.groups_at = now;
    l.step(now, state, events);
  }
  l.pin(std::nullopt, "trim", Time{2'000'000'000}, Time{1'010'000'000});
  l.step(Time{1'010'000'000}, state, events);
  return l;
}

void verdict(benchmark::State& state, bool lost) {
  auto l = make(static_cast<std::size_t>(state.range(0)), lost);
  gates::GateRequest a;
  a.tenant = 1;
  a.time_left = std::chrono::milliseconds(100);
  const auto before = allocations.load();
  std::uint64_t n = 0;
  for (auto _ : state) {
    a.request = RequestId{++n};
    a.caller = n * 0x9e3779b97f4a7c15ULL;
    a.class_id = ClassId{static_cast<std::int32_t>(n & 3U)};
    a.group = GroupId{static_cast<std::int64_t>(n % static_cast<std::uint64_t>(state.range(0))) + 1};
    benchmark::DoNotOptimize(l.admit(a, Time{1'010'000'000}));
  }
  state.counters["allocations"] = static_cast<double>(allocations.load() - before);
}
void admit(benchmark::State& state) { verdict(state, false); }
void refuse_without_primary(benchmark::State& state) { verdict(state, true); }
BENCHMARK(admit)->Arg(2)->Arg(1000);
BENCHMARK(refuse_without_primary)->Arg(2)->Arg(1000);

void ending(benchmark::State& state) {
  auto l = make(2, false);
  gates::GateRequest a;
  gates::RequestResult e;
  e.end = gates::RequestEnd::served;
  e.elapsed = std::chrono::milliseconds(50);
  Time now{1'010'000'000};
  for (auto _ : state) {
    a.class_id = ClassId{static_cast<std::int32_t>(now.count() & 3)};
    l.on_request_end(a, e, now += std::chrono::microseconds(37));
  }
}
BENCHMARK(ending);

void step(benchmark::State& state) {
  auto l = make(static_cast<std::size_t>(state.range(0)), false);
  levels::GatewayState s;
  for (std::int64_t g = 1; g <= state.range(0); ++g) s.groups.push_back({GroupId{g}, true, 0, 0});
  std::vector<levels::AxisChange> events;
  Time now{1'010'000'000};
  for (auto _ : state) {
    s.groups_at = now += std::chrono::milliseconds(100);
    l.step(now, s, events);
  }
}
BENCHMARK(step)->Arg(2)->Arg(1000);

}  // namespace
