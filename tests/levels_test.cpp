// Levels of reduced service in simulated time: the ladder and both axes, without sockets, with the clock
// advanced by the tests.
#include "levels/levels.h"

#include <gtest/gtest.h>

#include <algorithm>
#include <limits>
#include <map>

namespace cedarring::test {
namespace {

using namespace levels;
using namespace std::chrono_literals;

constexpr Duration evaluation_interval = 100ms;

RequestClass make_class(const char* name, Freshness freshness) {
  RequestClass request_class;
  request_class.name = name;
  request_class.latency_target = 300ms;
  request_class.deadline = 1s;
  request_class.freshness = freshness;
  request_class.staleness_bound = 200ms;
  return request_class;
}

ServiceInfo service() {
  ServiceInfo info;
  info.classes = {make_class("desk-view", Freshness::bounded), make_class("history", Freshness::any),
                  make_class("gate-check", Freshness::fresh), make_class("bid-submit", Freshness::write)};
  info.tenants = 3;
  info.seed = 7;
  return info;
}
/// Indices of the classes of `service`.
enum : std::int32_t { desk_view, history, gate_check, bid_submit };

Config make_config() {
  auto config = default_config(service());
  config.mode = Mode::on;
  return config;
}

/// A condition that holds above the bound. `class_index`: for readings of a class.
Condition above(Reading reading, double bound, Duration hold_time = {}, std::int32_t class_index = -1) {
  return {reading, class_index, true, bound, hold_time};
}
/// A condition that holds at or below the bound. `class_index`: for readings of a class.
Condition at_or_below(Reading reading, double bound, Duration hold_time = {}, std::int32_t class_index = -1) {
  return {reading, class_index, false, bound, hold_time};
}

/// Drives the gate of both axes in simulated time with synthetic requests and group states, and collects the
/// level changes and records.
struct LevelsHarness {
  Levels levels;
  Time now{1'000'000'000'000};
  std::vector<AxisChange> events;
  std::map<std::int64_t, bool> primary{{1, true}, {2, true}};  // by group: whether it has a primary
  bool groups_reported = true;                                 // evaluations see the state of the groups
  std::uint64_t request_count = 0;
  explicit LevelsHarness(Config config = make_config()) : levels(std::move(config), service()) {}

  gates::GateRequest make_request(std::int32_t class_index, std::int64_t group = 1, std::uint64_t caller = 0,
                                  bool beyond_budget = false) {
    gates::GateRequest request;
    request.request = RequestId{++request_count};
    request.class_id = ClassId{class_index};
    request.group = GroupId{group};
    request.caller = caller;
    request.beyond_budget = beyond_budget;
    request.tenant = 0;
    request.time_left = 800ms;
    return request;
  }
  gates::Verdict admit(std::int32_t class_index, std::int64_t group = 1, std::uint64_t caller = 0,
                       bool beyond_budget = false) {
    return levels.admit(make_request(class_index, group, caller, beyond_budget), now);
  }
  /// Runs for `length`; at each evaluation 20 gate-check requests end, of which the router has refused the
  /// share `refused`. They go to the second group, since tests take the primary of the first group away.
  void run(Duration length, double refused) {
    for (const Time end = now + length; now < end;) {
      now += evaluation_interval;
      for (int i = 0; i < 20; ++i) {
        gates::RequestResult result;
        result.end = i < refused * 20 ? gates::RequestEnd::refused : gates::RequestEnd::served;
        result.decided_by = gates::Decider::router;
        result.elapsed = 50ms;
        levels.on_request_end(make_request(gate_check, 2), result, now);
      }
      step();
    }
  }
  /// Runs until the pressure level is reached, for at most two minutes.
  void reach(const std::string& level, double refused) {
    for (int i = 0; i < 120 && pressure_level() != level; ++i) run(1s, refused);
    ASSERT_EQ(pressure_level(), level);
  }
  /// Evaluates the levels once.
  void step() {
    GatewayState state;
    state.groups_at = now;
    state.values.push_back({Reading::in_flight, 0.1, now});
    if (groups_reported)
      for (const auto& [id, has_primary] : primary) state.groups.push_back({GroupId{id}, has_primary, 0, 0});
    levels.step(now, state, events);
  }
  /// Runs for `length` without requests.
  void run_idle(Duration length) {
    for (const Time end = now + length; now < end;) {
      now += evaluation_interval;
      step();
    }
  }
  [[nodiscard]] std::string pressure_level() const { return levels.pressure().current_level().name; }
  [[nodiscard]] std::string faults_level(std::int64_t group) const {
    return levels.groups().at(GroupId{group}).faults.current_level().name;
  }
  /// The level changes of one axis, without records that keep the level.
  [[nodiscard]] std::vector<LevelChange> changes(std::optional<GroupId> group = std::nullopt) const {
    std::vector<LevelChange> result;
    for (const auto& event : events)
      if (event.group == group && event.change.from != event.change.to) result.push_back(event.change);
    return result;
  }
  /// The shortest time between two changes of one axis.
  [[nodiscard]] Duration shortest_interval(std::optional<GroupId> group = std::nullopt) const {
    const auto all = changes(group);
    Duration shortest = Duration::max();
    for (std::size_t i = 1; i < all.size(); ++i) shortest = std::min(shortest, all[i].at - all[i - 1].at);
    return shortest;
  }
};

// ---- oscillating load ----
TEST(Levels, LoadOscillatingEverySecondChangesLevelAtMostOncePerTenSeconds) {
  LevelsHarness harness;
  for (int i = 0; i < 600; ++i) harness.run(1s, i % 2 == 0 ? 0.9 : 0.0);
  const auto changes = harness.changes();
  ASSERT_GE(changes.size(), 1U);
  EXPECT_GE(harness.shortest_interval(), 10s);
  for (const auto& change : changes) {
    EXPECT_FALSE(change.observations.empty());  // each change names the samples it was based on
    EXPECT_TRUE(change.cause == Cause::entered || change.cause == Cause::left);
  }
}

TEST(Levels, MinimumChangeIntervalHoldsWithoutDwellAndHoldTimes) {
  auto config = make_config();
  config.reading_decay_time = 50ms;
  config.pressure.damping = 1;
  for (auto& level : config.pressure.levels) {
    level.min_dwell = 0ms;
    for (auto* rule : {&level.enter, &level.exit})
      for (auto& condition : rule->conditions) condition.hold_time = 0ms;
  }
  LevelsHarness harness(config);
  for (int i = 0; i < 600; ++i) harness.run(1s, i % 2 == 0 ? 0.9 : 0.0);
  EXPECT_GE(harness.shortest_interval(), 10s);
  EXPECT_GE(harness.changes().size(), 30U);  // without the interval there would be one change a second
  EXPECT_LE(harness.changes().size(), 60U);
}

TEST(Levels, LoadOscillatingSlowlyEnoughToLeaveLevelsIsDamped) {
  LevelsHarness harness;
  for (int i = 0; i < 30; ++i) {
    harness.run(10s, 0.9);
    harness.run(10s, 0.0);
  }
  EXPECT_GE(harness.shortest_interval(), 10s);
  // The minimum interval alone would allow 60 changes in 600 s.
  EXPECT_LE(harness.changes().size(), 24U);
}

TEST(Levels, EachLevelShedsItsShareAndAlwaysTheSameCallers) {
  LevelsHarness harness;
  EXPECT_TRUE(harness.admit(history).admitted);
  harness.reach("trim", 0.2);
  int shed = 0;
  for (std::uint64_t caller = 1; caller <= 2000; ++caller) {
    const auto first = harness.admit(history, 1, caller);
    shed += first.admitted ? 0 : 1;
    EXPECT_EQ(harness.admit(history, 1, caller).admitted, first.admitted)
        << caller;  // a retry gets the same answer
    if (!first.admitted) {
      EXPECT_EQ(first.decided_by, gates::Decider::levels);
      EXPECT_EQ(first.reason, gates::Reason::class_shed);
    }
    EXPECT_TRUE(harness.admit(desk_view, 1, caller).admitted);
    EXPECT_TRUE(harness.admit(bid_submit, 1, caller).admitted);
  }
  EXPECT_NEAR(shed, 1000, 100);
  harness.reach("survive", 0.8);
  EXPECT_FALSE(harness.admit(history).admitted);
  EXPECT_FALSE(harness.admit(desk_view).admitted);
  EXPECT_TRUE(harness.admit(gate_check).admitted);
  EXPECT_TRUE(harness.admit(bid_submit).admitted);
  EXPECT_EQ(harness.admit(bid_submit, 1, 0, true).reason,
            gates::Reason::budget_shed);  // beyond its tenant's budget
  for (int i = 0; i < 60; ++i) harness.run(10s, 0.0);
  EXPECT_EQ(harness.pressure_level(), "normal");  // returns to normal once the load is gone
  EXPECT_TRUE(harness.admit(history).admitted);
  EXPECT_GE(harness.shortest_interval(), 10s);
}

TEST(Levels, RequestsShedByALevelDoNotKeepItInForce) {
  LevelsHarness harness;
  harness.reach("trim", 0.2);
  for (int i = 0; i < 400; ++i) {
    harness.now += evaluation_interval;
    gates::RequestResult result;
    result.end = gates::RequestEnd::refused;
    result.decided_by = gates::Decider::levels;
    for (int request = 0; request < 20; ++request)
      harness.levels.on_request_end(harness.make_request(gate_check), result, harness.now);
    harness.step();
  }
  EXPECT_EQ(harness.pressure_level(), "normal");
}

TEST(Levels, WatchModeChangesLevelsAndShedsNothing) {
  auto config = make_config();
  config.mode = Mode::watch;
  LevelsHarness harness(config);
  harness.primary[1] = false;
  harness.run_idle(5s);
  EXPECT_EQ(harness.faults_level(1), "no-writes");
  harness.primary[1] = true;
  harness.reach("survive", 0.9);
  harness.primary[1] = false;
  harness.run_idle(1s);
  for (const auto class_index : {history, desk_view, gate_check, bid_submit})
    EXPECT_TRUE(harness.admit(class_index).admitted);
  EXPECT_EQ(harness.levels.adjustments().retry_budget, 1);
}

// ---- two faults at once ----
// Guards against one axis disturbing the other: a primary is lost under pressure, then no group is reported
// any more, and both conditions end in either order.
TEST(Levels, PrimaryLostUnderPressureThenNoGroupReportsRecoversInEitherOrder) {
  for (const bool primary_first : {true, false}) {
    LevelsHarness harness;
    harness.reach("shed-history", 0.3);
    harness.primary[1] = false;
    harness.run(1s, 0.3);
    EXPECT_EQ(harness.faults_level(1), "no-writes");
    EXPECT_EQ(harness.pressure_level(), "shed-history");  // the other axis is unaffected
    EXPECT_EQ(harness.admit(history).reason, gates::Reason::class_shed);
    EXPECT_EQ(harness.admit(bid_submit).reason, gates::Reason::no_primary);
    EXPECT_TRUE(harness.admit(desk_view).admitted);
    EXPECT_TRUE(harness.admit(bid_submit, 2).admitted);  // the other group has its primary
    harness.groups_reported = false;
    harness.run(15s, 0.3);
    EXPECT_EQ(harness.faults_level(1), "no-writes");  // held, with the reason recorded
    EXPECT_TRUE(std::any_of(harness.events.begin(), harness.events.end(), [](const AxisChange& event) {
      return event.group && event.change.cause == Cause::held && !event.change.observations.empty() &&
             event.change.observations[0].usability == Usability::stale;
    }));
    if (primary_first) {
      harness.groups_reported = true;
      harness.primary[1] = true;
      harness.run(15s, 0.3);
      EXPECT_EQ(harness.faults_level(1), "normal");
      EXPECT_NE(harness.pressure_level(), "normal");
      EXPECT_FALSE(harness.admit(history).admitted);
      harness.run(120s, 0);
    } else {
      harness.run(120s, 0);
      EXPECT_EQ(harness.pressure_level(), "normal");
      EXPECT_EQ(harness.faults_level(1), "no-writes");
      EXPECT_EQ(harness.admit(bid_submit).reason, gates::Reason::no_primary);
      harness.groups_reported = true;
      harness.primary[1] = true;
      harness.run(15s, 0);
    }
    EXPECT_EQ(harness.pressure_level(), "normal");
    EXPECT_EQ(harness.faults_level(1), "normal");
    for (const auto class_index : {history, desk_view, gate_check, bid_submit})
      EXPECT_TRUE(harness.admit(class_index).admitted);
    EXPECT_GE(harness.shortest_interval(), 10s);
    EXPECT_GE(harness.shortest_interval(GroupId{1}), 10s);
  }
}

// ---- takeovers ----
TEST(Levels, FlappingPrimaryChangesLevelOncePerTenSecondsAndIsUsedWhilePresent) {
  LevelsHarness harness;
  int admitted_without_primary = 0;
  int refused_with_primary = 0;
  for (int i = 0; i < 100; ++i) {
    harness.primary[1] = i % 2 == 0;
    harness.run(500ms, 0);
    for (int k = 0; k < 5; ++k) {
      harness.run(500ms, 0);
      const bool admitted = harness.admit(bid_submit).admitted;
      if (harness.primary[1])
        refused_with_primary += admitted ? 0 : 1;
      else if (harness.faults_level(1) == "no-writes")
        admitted_without_primary += admitted ? 1 : 0;
    }
  }
  EXPECT_GE(harness.shortest_interval(GroupId{1}), 10s);
  EXPECT_EQ(refused_with_primary, 0);        // the level refuses only while there is no primary
  EXPECT_LT(admitted_without_primary, 150);  // of at most 250
}

TEST(Levels, OverdueTakeoverIsExpectedLaterAndLater) {
  TakeoverEstimator takeover(5s);
  EXPECT_EQ(takeover.remaining(0s), 5s);
  EXPECT_EQ(takeover.remaining(2s), 3s);
  Duration previous{};
  for (const auto elapsed : {6s, 10s, 30s, 100s}) {
    EXPECT_GT(takeover.remaining(elapsed), previous);
    previous = takeover.remaining(elapsed);
  }
  LevelsHarness harness;
  harness.primary[1] = false;
  harness.run_idle(600s);
  EXPECT_EQ(harness.faults_level(1), "no-writes");
  EXPECT_EQ(harness.changes(GroupId{1}).size(), 1U);
  EXPECT_EQ(harness.admit(gate_check).reason, gates::Reason::no_primary);
  EXPECT_GT(harness.admit(gate_check).retry_after, 0ms);
}

TEST(Levels, GroupsThatLoseTheirPrimariesASecondApartRecoverIndependently) {
  LevelsHarness harness;
  harness.run_idle(1s);
  harness.primary[1] = false;
  harness.run_idle(1s);
  harness.primary[2] = false;
  harness.run_idle(1s);
  EXPECT_EQ(harness.admit(bid_submit, 1).reason, gates::Reason::no_primary);
  EXPECT_EQ(harness.admit(bid_submit, 2).reason, gates::Reason::no_primary);
  harness.primary[1] = true;
  harness.run_idle(20s);
  EXPECT_EQ(harness.faults_level(1), "normal");
  EXPECT_EQ(harness.faults_level(2), "no-writes");
  EXPECT_TRUE(harness.admit(bid_submit, 1).admitted);
  EXPECT_FALSE(harness.admit(bid_submit, 2).admitted);
  EXPECT_EQ(harness.levels.groups().at(GroupId{1}).takeover.count(), 1);
}

TEST(Levels, TakeoverEstimateConvergesToTheDurationsSeen) {
  LevelsHarness harness;
  for (int i = 0; i < 20; ++i) {
    harness.primary[1] = false;
    harness.run_idle(2s);
    harness.primary[1] = true;
    harness.run_idle(13s);
  }
  const auto& takeover = harness.levels.groups().at(GroupId{1}).takeover;
  EXPECT_EQ(takeover.count(), 20);
  EXPECT_GE(takeover.estimate(), 1900ms);
  EXPECT_LE(takeover.estimate(), 2200ms);
}

TEST(Levels, WriteWhoseDeadlineIsAfterTheExpectedTakeoverIsAdmitted) {
  LevelsHarness harness;
  harness.run_idle(1s);
  harness.primary[1] = false;
  harness.run_idle(4500ms);  // of an expected 5 s
  ASSERT_EQ(harness.faults_level(1), "no-writes");
  auto request = harness.make_request(bid_submit);
  request.time_left = 2s;
  // The router holds the request: a primary is expected within half a second.
  EXPECT_TRUE(harness.levels.admit(request, harness.now).admitted);
  request.time_left = 300ms;
  EXPECT_FALSE(harness.levels.admit(request, harness.now).admitted);
}

// ---- unusable readings ----
TEST(Levels, UnusableReadingHoldsTheLevelAndTheReasonIsRecorded) {
  auto config = make_config();
  // Replaces the default ladder by a level on a reading that the test can corrupt.
  config.pressure.levels.resize(1);
  Level tight;
  tight.name = "tight";
  tight.enter = {false, {above(Reading::memory, 0.9, 300ms)}};
  tight.exit = {true, {at_or_below(Reading::memory, 0.5, 300ms)}};
  config.pressure.levels.push_back(tight);
  ASSERT_FALSE(find_config_issue(config, service()));
  LevelsHarness harness(config);
  const auto report = [&](double value, Duration length, Duration age = 0ms, bool available = true) {
    for (const Time end = harness.now + length; harness.now < end;) {
      harness.now += evaluation_interval;
      GatewayState state;
      if (available) state.values.push_back({Reading::memory, value, harness.now - age});
      harness.levels.step(harness.now, state, harness.events);
    }
  };
  const auto last_usability = [&] { return harness.events.back().change.observations.at(0).usability; };
  const double nan = std::numeric_limits<double>::quiet_NaN();
  const double infinity = std::numeric_limits<double>::infinity();
  for (const auto invalid : {nan, infinity, -1.0, 1e9}) {
    report(invalid, 5s);  // must not enter a level
    EXPECT_EQ(harness.pressure_level(), "normal") << invalid;
  }
  report(0.95, 11s);
  ASSERT_EQ(harness.pressure_level(), "tight");
  std::size_t event_count = 0;
  for (const auto& [value, usability] : {std::pair{nan, Usability::out_of_range},
                                         {-0.1, Usability::out_of_range},
                                         {1e9, Usability::out_of_range}}) {
    report(value, 15s);
    EXPECT_EQ(harness.pressure_level(), "tight");
    EXPECT_EQ(harness.events.back().change.cause, Cause::held);
    EXPECT_EQ(last_usability(), usability);
    report(0.95, 1s);
    // Each period adds at least one record.
    EXPECT_GT(harness.events.size(), std::exchange(event_count, harness.events.size()));
    EXPECT_EQ(harness.events.size(), event_count);
  }
  report(0.1, 15s, 5s);  // stale
  EXPECT_EQ(harness.pressure_level(), "tight");
  EXPECT_EQ(last_usability(), Usability::stale);
  report(0.95, 1s);
  report(0.1, 15s, -1h);  // from the future, as after a clock that was set back
  EXPECT_EQ(harness.pressure_level(), "tight");
  EXPECT_EQ(last_usability(), Usability::in_future);
  report(0.95, 1s);
  report(0, 15s, 0ms, false);  // no samples any more
  EXPECT_EQ(harness.pressure_level(), "tight");
  EXPECT_EQ(last_usability(), Usability::stale);
  report(0.1, 1s);
  EXPECT_EQ(harness.pressure_level(), "normal");
  EXPECT_EQ(harness.changes().size(), 2U);
}

TEST(Levels, ClockJumpDoesNotCountTowardsHoldTimes) {
  LevelsHarness harness;
  harness.run(500ms, 0.9);  // shorter than the hold time of any level
  ASSERT_EQ(harness.pressure_level(), "normal");
  harness.now += 1h;
  harness.run(200ms, 0.9);
  EXPECT_EQ(harness.pressure_level(), "normal");
  harness.now -= 2h;  // a step back counts as the time of the last evaluation
  harness.step();
  EXPECT_EQ(harness.pressure_level(), "normal");
  EXPECT_TRUE(harness.changes().empty());
}

// ---- configuration ----
TEST(Levels, ReloadWithoutTheCurrentLevelFallsToTheNearestLevelBelow) {
  LevelsHarness harness;
  harness.reach("shed-history", 0.3);
  auto config = make_config();
  ASSERT_EQ(config.pressure.levels[3].name, "shed-history");
  config.pressure.levels.erase(config.pressure.levels.begin() + 3);
  harness.levels.reload(config, harness.now, harness.events);
  EXPECT_EQ(harness.pressure_level(), "trim");
  EXPECT_EQ(harness.events.back().change.cause, Cause::reloaded);
  EXPECT_EQ(harness.events.back().change.from, "shed-history");
  config.pressure.levels.resize(1);
  harness.levels.reload(config, harness.now, harness.events);
  EXPECT_EQ(harness.pressure_level(), "normal");
  EXPECT_TRUE(harness.admit(history).admitted);
}

TEST(Levels, InvalidLadderIsRejectedWithThePathOfTheError) {
  struct Case {
    const char* description;
    std::function<void(Config&)> corrupt;
    std::string path;
  };
  const std::vector<Case> cases = {
      {"no level", [](Config& config) { config.pressure.levels.clear(); }, "/pressure"},
      {"duplicate name", [](Config& config) { config.pressure.levels[3].name = "trim"; }, "/pressure/3/name"},
      {"no entry condition", [](Config& config) { config.pressure.levels[1].enter.conditions.clear(); },
       "/pressure/1/enter"},
      {"no exit condition", [](Config& config) { config.pressure.levels[1].exit.conditions.clear(); },
       "/pressure/1/exit"},
      {"a share is never above one",
       [](Config& config) {
         config.pressure.levels[1].enter = {false, {above(Reading::refused, 1.0, {}, gate_check)}};
       },
       "/pressure/1/enter/0"},
      {"a share is never below zero",
       [](Config& config) {
         config.pressure.levels[1].exit = {true, {at_or_below(Reading::refused, -0.1, {}, gate_check)}};
       },
       "/pressure/1/exit/0"},
      {"conditions that exclude each other",
       [](Config& config) {
         config.pressure.levels[1].enter = {
             true,
             {above(Reading::late, 0.6, {}, gate_check), at_or_below(Reading::late, 0.5, {}, gate_check)}};
       },
       "/pressure/1/enter"},
      {"exit rule overlaps the entry rule",
       [](Config& config) {
         config.pressure.levels[1].exit = {true, {at_or_below(Reading::refused, 0.5, {}, gate_check)}};
       },
       "/pressure/1/exit"},
      {"exit rule ignores the readings of the entry rule",
       [](Config& config) {
         config.pressure.levels[1].exit = {true, {at_or_below(Reading::loop_lag, 0.5)}};
       },
       "/pressure/1/exit"},
      {"a reading of a group on the gateway's axis",
       [](Config& config) {
         config.pressure.levels[1].enter = {false, {above(Reading::primary_lost, 1)}};
       },
       "/pressure/1/enter/0/reading"},
      {"a reading of the gateway on the axis of groups",
       [](Config& config) {
         config.faults.levels[1].enter = {false, {above(Reading::memory, 0.5)}};
       },
       "/faults/1/enter/0/reading"},
      {"a bound that is not a number",
       [](Config& config) {
         config.pressure.levels[1].enter.conditions[0].bound = std::numeric_limits<double>::quiet_NaN();
       },
       "/pressure/1/enter/0"},
      {"a shed share above one", [](Config& config) { config.pressure.levels[1].shed_rules[0].share = 1.5; },
       "/pressure/1/shed/0/share"},
      {"writes shed before other requests",
       [](Config& config) {
         ShedRule rule;
         rule.classes = {bid_submit};
         rule.share = 0.1;
         config.pressure.levels[1].shed_rules.push_back(rule);
       },
       "/pressure/1/shed"},
      {"a tenant on the faults axis",
       [](Config& config) { config.faults.levels[1].shed_rules[0].tenant = 1; }, "/faults/1/shed/0/tenant"},
      {"the normal level sheds", [](Config& config) { config.pressure.levels[0].shed_rules.push_back({}); },
       "/pressure/0"},
  };
  EXPECT_FALSE(find_config_issue(make_config(), service()));
  for (const auto& test_case : cases) {
    auto config = make_config();
    test_case.corrupt(config);
    const auto issue = find_config_issue(config, service());
    ASSERT_TRUE(issue) << test_case.description;
    EXPECT_EQ(issue->path, test_case.path) << test_case.description;
    EXPECT_FALSE(issue->problem.empty());
  }
}

// ---- retry-after ----
// Guards against a thundering herd: clients that are refused at the same time must not all retry together.
TEST(Levels, RetryAfterOfAThousandSimultaneousRefusalsIsSpread) {
  // Long before the expected end of the takeover, and shortly before it.
  for (const auto lost_for : {500ms, 4900ms}) {
    LevelsHarness harness;
    harness.primary[1] = false;
    harness.run_idle(lost_for);
    ASSERT_EQ(harness.faults_level(1), "no-writes");
    std::map<std::int64_t, int> retries_by_slot;  // slots of 50 ms = 50,000 us
    int refused = 0;
    for (std::uint64_t caller = 1; caller <= 1000; ++caller) {
      auto request = harness.make_request(gate_check, 1, caller);
      request.time_left = 100ms;
      const auto verdict = harness.levels.admit(request, harness.now);
      if (verdict.admitted) continue;
      ++refused;
      EXPECT_LE(verdict.retry_after, 500ms);  // the longest time that clients honour
      ++retries_by_slot[verdict.retry_after.count() / 50'000];
    }
    EXPECT_EQ(refused, 1000);
    int max_retries = 0;
    for (const auto& [slot, retries] : retries_by_slot) max_retries = std::max(max_retries, retries);
    // 1,000 retries over 250 ms; without the spread all 1,000 would fall into one slot.
    EXPECT_LE(max_retries, 260) << lost_for.count();
    EXPECT_GE(retries_by_slot.size(), 5U);
  }
}

// ---- an operator's pin ----
TEST(Levels, PinAppliesUntilItsEndAndRespectsTheMinimumChangeInterval) {
  LevelsHarness harness;
  harness.run_idle(1s);
  const Time until = harness.now + 30s;
  EXPECT_FALSE(harness.levels.pin(std::nullopt, "no such level", until, harness.now));
  EXPECT_FALSE(harness.levels.pin(std::nullopt, "trim", harness.now, harness.now));
  ASSERT_TRUE(harness.levels.pin(std::nullopt, "shed-history", until, harness.now));
  harness.run_idle(1s);
  EXPECT_EQ(harness.pressure_level(), "shed-history");
  EXPECT_EQ(harness.events.back().change.cause, Cause::pinned);
  EXPECT_EQ(harness.events.back().change.pinned_until, until);
  // Applied at once, this pin would make two changes within a second.
  ASSERT_TRUE(harness.levels.pin(std::nullopt, "normal", until, harness.now));
  harness.run_idle(1s);
  EXPECT_EQ(harness.pressure_level(), "shed-history");
  ASSERT_TRUE(harness.levels.pin(std::nullopt, "shed-history", until, harness.now));
  harness.run(27s, 0.9);
  EXPECT_EQ(harness.pressure_level(), "shed-history");  // regardless of the readings
  harness.run(2s, 0.9);
  EXPECT_EQ(harness.pressure_level(), "protect-gate");  // the readings decide again, one level at a time
  EXPECT_TRUE(std::any_of(harness.events.begin(), harness.events.end(), [&](const AxisChange& event) {
    return event.change.cause == Cause::pin_ended && event.change.at >= until;
  }));
  EXPECT_GE(harness.shortest_interval(), 10s);
}

TEST(Levels, PinOfAGroupLeavesOtherGroupsAloneAndCanBeRemoved) {
  LevelsHarness harness;
  harness.run_idle(1s);
  ASSERT_TRUE(harness.levels.pin(GroupId{2}, "no-writes", harness.now + 1h, harness.now));
  EXPECT_FALSE(harness.levels.pin(GroupId{9}, "no-writes", harness.now + 1h, harness.now));
  harness.run_idle(1s);
  EXPECT_EQ(harness.faults_level(2), "no-writes");
  EXPECT_EQ(harness.faults_level(1), "normal");
  EXPECT_TRUE(harness.levels.unpin(GroupId{2}));
  harness.run_idle(15s);
  EXPECT_EQ(harness.faults_level(2), "normal");
}

TEST(Levels, TrackedGroupsAreLimitedAndDroppedWhenNoLongerReported) {
  auto config = make_config();
  config.max_groups = 10;
  LevelsHarness harness(config);
  for (std::int64_t group = 1; group <= 100; ++group) harness.primary[group] = true;
  harness.run_idle(1s);
  EXPECT_EQ(harness.levels.groups().size(), 10U);
  harness.primary.clear();
  harness.run_idle(1s);
  EXPECT_EQ(harness.levels.groups().size(), 0U);
}

}  // namespace
}  // namespace cedarring::test
