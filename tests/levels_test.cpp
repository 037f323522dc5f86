// The ladder and both axes in simulated time: no sockets, a clock set by hand.
#include "levels/levels.h"

#include <gtest/gtest.h>

#include <algorithm>
#include <limits>
#include <map>

namespace cedarring::test {
namespace {

using namespace levels;
using namespace std::chrono_literals;

constexpr Duration beat = 100ms;

RequestClass cls(const char* name, Freshness freshness) {
  RequestClass c;
  c.name = name;
  c.latency_target = 300ms;
  c.deadline = 1s;
  c.freshness = freshness;
  c.staleness_bound = 200ms;
  return c;
}

ServiceInfo service() {
  ServiceInfo s;
  s.classes = {cls("desk-view", Freshness::bounded), cls("history", Freshness::any),
               cls("gate-check", Freshness::fresh), cls("bid-submit", Freshness::write)};
  s.tenants = 3;
  s.seed = 7;
  return s;
}
enum : std::int32_t { desk, history, gate, bid };

Config config() {
  auto c = default_config(service());
  c.mode = Mode::on;
  return c;
}

/// Both axes under hand-made readings; keeps every change.
struct Rig {
  Levels levels;
  Time now{1'000'000'000'000};
  std::vector<AxisChange> events;
  std::map<std::int64_t, bool> primary{{1, true}, {2, true}};
  bool groups_told = true;
  std::uint64_t asked = 0;
  explicit Rig(Config c = config()) : levels(std::move(c), service()) {}

  gates::GateRequest ask(std::int32_t c, std::int64_t group = 1, std::uint64_t caller = 0,
                         bool beyond = false) {
    gates::GateRequest a;
    a.request = RequestId{++asked};
    a.class_id = ClassId{c};
    a.group = GroupId{group};
    a.caller = caller;
    a.beyond_budget = beyond;
    a.tenant = 0;
    a.time_left = 800ms;
    return a;
  }
  gates::Verdict admit(std::int32_t c, std::int64_t group = 1, std::uint64_t caller = 0,
                       bool beyond = false) {
    return levels.admit(ask(c, group, caller, beyond), now);
  }
  /// `refused` of 20 gate-checks a beat fail at the hosts, for `length`.
  void run(Duration length, double refused) {
    for (const Time end = now + length; now < end;) {
      now += beat;
      for (int i = 0; i < 20; ++i) {
        gates::RequestResult e;
        e.end = i < refused * 20 ? gates::RequestEnd::refused : gates::RequestEnd::served;
        e.decided_by = gates::Decider::router;
        e.elapsed = 50ms;
        levels.on_request_end(ask(gate, 2), e,
                              now);  // the second group: tests take the first one's primary away
      }
      step();
    }
  }
  /// Runs until that level is reached, or for two minutes.
  void reach(const std::string& level, double refused) {
    for (int i = 0; i < 120 && pressure() != level; ++i) run(1s, refused);
    ASSERT_EQ(pressure(), level);
  }
  void step() {
    GatewayState state;
    state.groups_at = now;
    state.values.push_back({Reading::in_flight, 0.1, now});
    if (groups_told)
      for (const auto& [id, p] : primary) state.groups.push_back({GroupId{id}, p, 0, 0});
    levels.step(now, state, events);
  }
  void quiet(Duration length) {
    for (const Time end = now + length; now < end;) now += beat, step();
  }
  [[nodiscard]] std::string pressure() const { return levels.pressure().present().name; }
  [[nodiscard]] std::string faults(std::int64_t group) const {
    return levels.groups().at(GroupId{group}).faults.present().name;
  }
  /// Changes of one axis, without words on what holds it.
  [[nodiscard]] std::vector<Change> changes(std::optional<GroupId> group = std::nullopt) const {
    std::vector<Change> all;
    for (const auto& e : events)
      if (e.group == group && e.change.from != e.change.to) all.push_back(e.change);
    return all;
  }
  [[nodiscard]] Duration closest(std::optional<GroupId> group = std::nullopt) const {
    const auto all = changes(group);
    Duration least = Duration::max();
    for (std::size_t i = 1; i < all.size(); ++i) least = std::min(least, all[i].at - all[i - 1].at);
    return least;
  }
};

// ---- hard case 1 ----
TEST(Levels, ALoadThatSwingsEverySecondForTenMinutesChangesAtMostOncePerTenSeconds) {
  Rig r;
  for (int i = 0; i < 600; ++i) r.run(1s, i % 2 == 0 ? 0.9 : 0.0);
  const auto all = r.changes();
  ASSERT_GE(all.size(), 1U);
  EXPECT_GE(r.closest(), 10s);
  for (const auto& c : all) {
    EXPECT_FALSE(c.reads.empty());  // each tells what it was decided on
    EXPECT_TRUE(c.cause == Cause::entered || c.cause == Cause::left);
  }
}

TEST(Levels, TheBoundAloneHoldsWhereALadderHasNothingElse) {
  auto c = config();
  c.memory = 50ms, c.pressure.damping = 1;
  for (auto& l : c.pressure.levels) {
    l.stay = 0ms;
    for (auto* rule : {&l.enter, &l.exit})
      for (auto& condition : rule->conditions) condition.hold = 0ms;
  }
  Rig r(c);
  for (int i = 0; i < 600; ++i) r.run(1s, i % 2 == 0 ? 0.9 : 0.0);
  EXPECT_GE(r.closest(), 10s);
  EXPECT_GE(r.changes().size(), 30U);  // without the bound it would be one a second
  EXPECT_LE(r.changes().size(), 60U);
}

TEST(Levels, ASwingSlowEnoughToLeaveEachTimeIsDampedNotFollowed) {
  Rig r;
  for (int i = 0; i < 30; ++i) r.run(10s, 0.9), r.run(10s, 0.0);
  EXPECT_GE(r.closest(), 10s);
  EXPECT_LE(r.changes().size(), 24U);  // 600 s: half of what the bound alone would let through, or less
}

TEST(Levels, EachLevelShedsItsPartAndTheSameCallersOfIt) {
  Rig r;
  EXPECT_TRUE(r.admit(history).admitted);
  r.reach("trim", 0.2);
  int shed = 0;
  for (std::uint64_t caller = 1; caller <= 2000; ++caller) {
    const auto first = r.admit(history, 1, caller);
    shed += first.admitted ? 0 : 1;
    EXPECT_EQ(r.admit(history, 1, caller).admitted, first.admitted)
        << caller;  // a retry meets the same answer
    if (!first.admitted) {
      EXPECT_EQ(first.decided_by, gates::Decider::levels);
      EXPECT_EQ(first.reason, gates::Reason::class_shed);
    }
    EXPECT_TRUE(r.admit(desk, 1, caller).admitted);
    EXPECT_TRUE(r.admit(bid, 1, caller).admitted);
  }
  EXPECT_NEAR(shed, 1000, 100);
  r.reach("survive", 0.8);
  EXPECT_FALSE(r.admit(history).admitted);
  EXPECT_FALSE(r.admit(desk).admitted);
  EXPECT_TRUE(r.admit(gate).admitted);
  EXPECT_TRUE(r.admit(bid).admitted);
  EXPECT_EQ(r.admit(bid, 1, 0, true).reason, gates::Reason::budget_shed);  // beyond its tenant's budget
  for (int i = 0; i < 60; ++i) r.run(10s, 0.0);
  EXPECT_EQ(r.pressure(), "normal");  // never stuck once all is well
  EXPECT_TRUE(r.admit(history).admitted);
  EXPECT_GE(r.closest(), 10s);
}

TEST(Levels, WhatALevelShedsItselfDoesNotKeepItUp) {
  Rig r;
  r.reach("trim", 0.2);
  for (int i = 0; i < 400; ++i) {
    r.now += beat;
    gates::RequestResult e;
    e.end = gates::RequestEnd::refused, e.decided_by = gates::Decider::levels;
    for (int k = 0; k < 20; ++k) r.levels.on_request_end(r.ask(gate), e, r.now);
    r.step();
  }
  EXPECT_EQ(r.pressure(), "normal");
}

TEST(Levels, WatchingChangesLevelsAndShedsNothing) {
  auto c = config();
  c.mode = Mode::watch;
  Rig r(c);
  r.primary[1] = false;
  r.quiet(5s);
  EXPECT_EQ(r.faults(1), "no-writes");
  r.primary[1] = true;
  r.reach("survive", 0.9);
  r.primary[1] = false;
  r.quiet(1s);
  for (const auto what : {history, desk, gate, bid}) EXPECT_TRUE(r.admit(what).admitted);
  EXPECT_EQ(r.levels.changes().retry_budget, 1);
}

// ---- hard case 2 ----
TEST(Levels, APrimaryLostWhileHistoryIsShedAndThenSilenceEndInEitherOrder) {
  for (const bool primary_first : {true, false}) {
    Rig r;
    r.reach("shed-history", 0.3);
    r.primary[1] = false;
    r.run(1s, 0.3);
    EXPECT_EQ(r.faults(1), "no-writes");
    EXPECT_EQ(r.pressure(), "shed-history");  // the other axis is untouched
    EXPECT_EQ(r.admit(history).reason, gates::Reason::class_shed);
    EXPECT_EQ(r.admit(bid).reason, gates::Reason::no_primary);
    EXPECT_TRUE(r.admit(desk).admitted);
    EXPECT_TRUE(r.admit(bid, 2).admitted);  // the other group has its primary
    r.groups_told = false;                  // nothing is heard of the groups any more
    r.run(15s, 0.3);
    EXPECT_EQ(r.faults(1), "no-writes");  // held, and why is said
    EXPECT_TRUE(std::any_of(r.events.begin(), r.events.end(), [](const AxisChange& e) {
      return e.group && e.change.cause == Cause::held && !e.change.reads.empty() &&
             e.change.reads[0].use == Use::stale;
    }));
    if (primary_first) {
      r.groups_told = true, r.primary[1] = true;
      r.run(15s, 0.3);
      EXPECT_EQ(r.faults(1), "normal");
      EXPECT_NE(r.pressure(), "normal");
      EXPECT_FALSE(r.admit(history).admitted);
      r.run(120s, 0);
    } else {
      r.run(120s, 0);
      EXPECT_EQ(r.pressure(), "normal");
      EXPECT_EQ(r.faults(1), "no-writes");
      EXPECT_EQ(r.admit(bid).reason, gates::Reason::no_primary);
      r.groups_told = true, r.primary[1] = true;
      r.run(15s, 0);
    }
    EXPECT_EQ(r.pressure(), "normal");
    EXPECT_EQ(r.faults(1), "normal");
    for (const auto what : {history, desk, gate, bid}) EXPECT_TRUE(r.admit(what).admitted);
    EXPECT_GE(r.closest(), 10s);
    EXPECT_GE(r.closest(GroupId{1}), 10s);
  }
}

// ---- hard case 3 ----
TEST(Levels, APrimaryThatFlapsEveryThreeSecondsChangesOncePerTenSecondsAndServesWhileItIsThere) {
  Rig r;
  int admitted_without = 0, refused_with = 0;
  for (int i = 0; i < 100; ++i) {
    r.primary[1] = i % 2 == 0;
    r.run(500ms, 0);
    for (int k = 0; k < 5; ++k) {
      r.run(500ms, 0);
      const bool admitted = r.admit(bid).admitted;
      if (r.primary[1])
        refused_with += admitted ? 0 : 1;
      else if (r.faults(1) == "no-writes")
        admitted_without += admitted ? 1 : 0;
    }
  }
  EXPECT_GE(r.closest(GroupId{1}), 10s);
  EXPECT_EQ(refused_with, 0);  // the level refuses only while there is no primary
  EXPECT_LT(admitted_without, 150);
}

TEST(Levels, ATakeoverThatNeverComesIsWaitedForEverMoreSeldom) {
  Takeover t(5s);
  EXPECT_EQ(t.remaining(0s), 5s);
  EXPECT_EQ(t.remaining(2s), 3s);
  Duration last{};
  for (const auto since : {6s, 10s, 30s, 100s}) {
    EXPECT_GT(t.remaining(since), last);
    last = t.remaining(since);
  }
  Rig r;
  r.primary[1] = false;
  r.quiet(600s);
  EXPECT_EQ(r.faults(1), "no-writes");
  EXPECT_EQ(r.changes(GroupId{1}).size(), 1U);
  EXPECT_EQ(r.admit(gate).reason, gates::Reason::no_primary);
  EXPECT_GT(r.admit(gate).retry_after, 0ms);
}

TEST(Levels, TwoGroupsThatLoseTheirsASecondApartAreEachTheirOwn) {
  Rig r;
  r.quiet(1s);
  r.primary[1] = false;
  r.quiet(1s);
  r.primary[2] = false;
  r.quiet(1s);
  EXPECT_EQ(r.admit(bid, 1).reason, gates::Reason::no_primary);
  EXPECT_EQ(r.admit(bid, 2).reason, gates::Reason::no_primary);
  r.primary[1] = true;
  r.quiet(20s);
  EXPECT_EQ(r.faults(1), "normal");
  EXPECT_EQ(r.faults(2), "no-writes");
  EXPECT_TRUE(r.admit(bid, 1).admitted);
  EXPECT_FALSE(r.admit(bid, 2).admitted);
  EXPECT_EQ(r.levels.groups().at(GroupId{1}).takeover.count(), 1);
}

TEST(Levels, TheEstimateLearnsFromTakeoversSeen) {
  Rig r;
  for (int i = 0; i < 20; ++i) {
    r.primary[1] = false;
    r.quiet(2s);
    r.primary[1] = true;
    r.quiet(13s);
  }
  const auto& t = r.levels.groups().at(GroupId{1}).takeover;
  EXPECT_EQ(t.count(), 20);
  EXPECT_GE(t.estimate(), 1900ms);
  EXPECT_LE(t.estimate(), 2200ms);
}

TEST(Levels, AWriteThatThePrimaryWillBeThereForIsNotRefused) {
  Rig r;
  r.quiet(1s);
  r.primary[1] = false;
  r.quiet(4500ms);  // of an expected 5 s
  ASSERT_EQ(r.faults(1), "no-writes");
  auto a = r.ask(bid);
  a.time_left = 2s;
  EXPECT_TRUE(r.levels.admit(a, r.now).admitted);  // the router holds it: the primary is due in half a second
  a.time_left = 300ms;
  EXPECT_FALSE(r.levels.admit(a, r.now).admitted);
}

// ---- hard case 4 ----
TEST(Levels, AbsurdOrOldReadingsHoldTheLevelAndSayWhy) {
  auto c = config();
  // In the place of the default ladder one that reads a figure which the test can spoil.
  c.pressure.levels.resize(1);
  Level l;
  l.name = "tight";
  l.enter = {false, {{Reading::memory, -1, true, 0.9, 300ms}}};
  l.exit = {true, {{Reading::memory, -1, false, 0.5, 300ms}}};
  c.pressure.levels.push_back(l);
  ASSERT_FALSE(find_config_issue(c, service()));
  Rig r(c);
  const auto tell = [&](double value, Duration length, Duration age = 0ms, bool told = true) {
    for (const Time end = r.now + length; r.now < end;) {
      r.now += beat;
      GatewayState state;
      if (told) state.values.push_back({Reading::memory, value, r.now - age});
      r.levels.step(r.now, state, r.events);
    }
  };
  const auto why = [&] { return r.events.back().change.reads.at(0).use; };
  const double nan = std::numeric_limits<double>::quiet_NaN(), inf = std::numeric_limits<double>::infinity();
  for (const auto spoilt : {nan, inf, -1.0, 1e9}) {
    tell(spoilt, 5s);  // on the way up it is no reason to go there
    EXPECT_EQ(r.pressure(), "normal") << spoilt;
  }
  tell(0.95, 11s);
  ASSERT_EQ(r.pressure(), "tight");
  std::size_t words = 0;
  for (const auto& [value, use] : {std::pair{nan, Use::absurd}, {-0.1, Use::absurd}, {1e9, Use::absurd}}) {
    tell(value, 15s);
    EXPECT_EQ(r.pressure(), "tight");
    EXPECT_EQ(r.events.back().change.cause, Cause::held);
    EXPECT_EQ(why(), use);
    tell(0.95, 1s);
    EXPECT_GT(r.events.size(), std::exchange(words, r.events.size()));  // once for each time, no more
    EXPECT_EQ(r.events.size(), words);
  }
  tell(0.1, 15s, 5s);  // too old
  EXPECT_EQ(r.pressure(), "tight");
  EXPECT_EQ(why(), Use::stale);
  tell(0.95, 1s);
  tell(0.1, 15s, -1h);  // a clock that stepped back since: from the future
  EXPECT_EQ(r.pressure(), "tight");
  EXPECT_EQ(why(), Use::ahead);
  tell(0.95, 1s);
  tell(0, 15s, 0ms, false);  // none at all any more
  EXPECT_EQ(r.pressure(), "tight");
  EXPECT_EQ(why(), Use::stale);
  tell(0.1, 1s);
  EXPECT_EQ(r.pressure(), "normal");
  EXPECT_EQ(r.changes().size(), 2U);
}

TEST(Levels, AClockThatLeapsDoesNotStandForTimeThatWasWatched) {
  Rig r;
  r.run(500ms, 0.9);  // not yet for as long as any level asks
  ASSERT_EQ(r.pressure(), "normal");
  r.now += 1h;
  r.run(200ms, 0.9);
  EXPECT_EQ(r.pressure(), "normal");
  r.now -= 2h;  // back: counts as the last time that was seen
  r.step();
  EXPECT_EQ(r.pressure(), "normal");
  EXPECT_TRUE(r.changes().empty());
}

// ---- hard case 5 ----
TEST(Levels, AReloadThatRemovesThePresentLevelFallsToTheNearestBelow) {
  Rig r;
  r.reach("shed-history", 0.3);
  auto c = config();
  c.pressure.levels.erase(c.pressure.levels.begin() + 3);
  r.levels.reload(c, r.now, r.events);
  EXPECT_EQ(r.pressure(), "trim");
  EXPECT_EQ(r.events.back().change.cause, Cause::reloaded);
  EXPECT_EQ(r.events.back().change.from, "shed-history");
  c.pressure.levels.resize(1);
  r.levels.reload(c, r.now, r.events);
  EXPECT_EQ(r.pressure(), "normal");
  EXPECT_TRUE(r.admit(history).admitted);
}

TEST(Levels, WrongLaddersAreRefusedWithTheirPlace) {
  struct Case {
    const char* what;
    std::function<void(Config&)> spoil;
    std::string where;
  };
  const std::vector<Case> cases = {
      {"no level", [](Config& c) { c.pressure.levels.clear(); }, "/pressure"},
      {"two of a name", [](Config& c) { c.pressure.levels[3].name = "trim"; }, "/pressure/3/name"},
      {"no way in", [](Config& c) { c.pressure.levels[1].enter.conditions.clear(); }, "/pressure/1/enter"},
      {"no way out", [](Config& c) { c.pressure.levels[1].exit.conditions.clear(); }, "/pressure/1/exit"},
      {"a share over one is never",
       [](Config& c) {
         c.pressure.levels[1].enter = {false, {{Reading::refused, gate, true, 1.0, {}}}};
       },
       "/pressure/1/enter/0"},
      {"below nothing is never",
       [](Config& c) {
         c.pressure.levels[1].exit = {true, {{Reading::refused, gate, false, -0.1, {}}}};
       },
       "/pressure/1/exit/0"},
      {"both sides at once is never",
       [](Config& c) {
         c.pressure.levels[1].enter = {
             true, {{Reading::late, gate, true, 0.6, {}}, {Reading::late, gate, false, 0.5, {}}}};
       },
       "/pressure/1/enter"},
      {"the way out overlaps the way in",
       [](Config& c) {
         c.pressure.levels[1].exit = {true, {{Reading::refused, gate, false, 0.5, {}}}};
       },
       "/pressure/1/exit"},
      {"the way out does not look at what let it in",
       [](Config& c) {
         c.pressure.levels[1].exit = {true, {{Reading::loop_lag, -1, false, 0.5, {}}}};
       },
       "/pressure/1/exit"},
      {"a group's reading on the gateway's axis",
       [](Config& c) {
         c.pressure.levels[1].enter = {false, {{Reading::primary_lost, -1, true, 1, {}}}};
       },
       "/pressure/1/enter/0/reading"},
      {"a gateway's reading on a group's axis",
       [](Config& c) {
         c.faults.levels[1].enter = {false, {{Reading::memory, -1, true, 0.5, {}}}};
       },
       "/faults/1/enter/0/reading"},
      {"a bound that is no number",
       [](Config& c) {
         c.pressure.levels[1].enter.conditions[0].bound = std::numeric_limits<double>::quiet_NaN();
       },
       "/pressure/1/enter/0"},
      {"a share over one", [](Config& c) { c.pressure.levels[1].sheds[0].share = 1.5; },
       "/pressure/1/shed/0/share"},
      {"writes before the rest",
       [](Config& c) {
         c.pressure.levels[1].sheds.push_back({{bid}, -1, false, false, false, 0.1});
       },
       "/pressure/1/shed"},
      {"a tenant on the faults' axis", [](Config& c) { c.faults.levels[1].sheds[0].tenant = 1; },
       "/faults/1/shed/0/tenant"},
      {"the normal level sheds", [](Config& c) { c.pressure.levels[0].sheds.push_back({}); }, "/pressure/0"},
  };
  EXPECT_FALSE(find_config_issue(config(), service()));
  for (const auto& k : cases) {
    auto c = config();
    k.spoil(c);
    const auto flaw = find_config_issue(c, service());
    ASSERT_TRUE(flaw) << k.what;
    EXPECT_EQ(flaw->where, k.where) << k.what;
    EXPECT_FALSE(flaw->what.empty());
  }
}

// ---- hard case 6 ----
TEST(Levels, AThousandRefusedAtOnceComeBackSpreadOut) {
  for (const auto lost_for : {500ms, 4900ms}) {  // long before the take-over's expected end, and close to it
    Rig r;
    r.primary[1] = false;
    r.quiet(lost_for);
    ASSERT_EQ(r.faults(1), "no-writes");
    std::map<std::int64_t, int> back;  // by 50 ms
    int refused = 0;
    for (std::uint64_t caller = 1; caller <= 1000; ++caller) {
      auto a = r.ask(gate, 1, caller);
      a.time_left = 100ms;
      const auto v = r.levels.admit(a, r.now);
      if (v.admitted) continue;
      ++refused;
      EXPECT_LE(v.retry_after, 500ms);  // clients keep to no longer one
      for (std::int64_t slot = v.retry_after.count() / 50'000, i = slot; i <= slot; ++i) ++back[i];
    }
    EXPECT_EQ(refused, 1000);
    int most = 0;
    for (const auto& [slot, n] : back) most = std::max(most, n);
    EXPECT_LE(most, 260) << lost_for.count();  // 1,000 over 250 ms; without the spread all 1,000 in one
    EXPECT_GE(back.size(), 5U);
  }
}

// ---- an operator's pin ----
TEST(Levels, APinHoldsToItsEndAndNoLongerAndKeepsTheBound) {
  Rig r;
  r.quiet(1s);
  const Time until = r.now + 30s;
  EXPECT_FALSE(r.levels.pin(std::nullopt, "no such level", until, r.now));
  EXPECT_FALSE(r.levels.pin(std::nullopt, "trim", r.now, r.now));
  ASSERT_TRUE(r.levels.pin(std::nullopt, "shed-history", until, r.now));
  r.quiet(1s);
  EXPECT_EQ(r.pressure(), "shed-history");
  EXPECT_EQ(r.events.back().change.cause, Cause::pinned);
  EXPECT_EQ(r.events.back().change.until, until);
  ASSERT_TRUE(
      r.levels.pin(std::nullopt, "normal", until, r.now));  // at once would be two changes in a second
  r.quiet(1s);
  EXPECT_EQ(r.pressure(), "shed-history");
  ASSERT_TRUE(r.levels.pin(std::nullopt, "shed-history", until, r.now));
  r.run(27s, 0.9);
  EXPECT_EQ(r.pressure(), "shed-history");  // whatever the readings say
  r.run(2s, 0.9);
  EXPECT_EQ(r.pressure(), "protect-gate");  // from there on the readings decide again, a step at a time
  EXPECT_TRUE(std::any_of(r.events.begin(), r.events.end(), [&](const AxisChange& e) {
    return e.change.cause == Cause::pin_ended && e.change.at >= until;
  }));
  EXPECT_GE(r.closest(), 10s);
}

TEST(Levels, APinOfAGroupAndTakingItBack) {
  Rig r;
  r.quiet(1s);
  ASSERT_TRUE(r.levels.pin(GroupId{2}, "no-writes", r.now + 1h, r.now));
  EXPECT_FALSE(r.levels.pin(GroupId{9}, "no-writes", r.now + 1h, r.now));
  r.quiet(1s);
  EXPECT_EQ(r.faults(2), "no-writes");
  EXPECT_EQ(r.faults(1), "normal");
  EXPECT_TRUE(r.levels.unpin(GroupId{2}));
  r.quiet(15s);
  EXPECT_EQ(r.faults(2), "normal");
}

TEST(Levels, GroupsAreBoundedAndForgotten) {
  auto c = config();
  c.groups_most = 10;
  Rig r(c);
  for (std::int64_t g = 1; g <= 100; ++g) r.primary[g] = true;
  r.quiet(1s);
  EXPECT_EQ(r.levels.groups().size(), 10U);
  r.primary.clear();
  r.quiet(1s);
  EXPECT_EQ(r.levels.groups().size(), 0U);
}

}  // namespace
}  // namespace cedarring::test
