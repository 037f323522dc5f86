// Contracts in simulated time: rates, fairness, conservation, parts, the ledger. No sockets, a clock set by
// hand.
#include "contracts/contracts.h"

#include <gtest/gtest.h>
#include <rapidcheck.h>

#include <chrono>

#include "tools/lab/world.h"

namespace cedarring::test {
namespace {

using namespace contracts;
using namespace std::chrono_literals;

enum : std::int32_t { desk, history, bid };

ServiceInfo service(std::size_t tenants = 3) {
  ServiceInfo s;
  for (const auto& [name, need] : {std::pair{"desk-view", Freshness::bounded},
                                   {"history", Freshness::any},
                                   {"bid-submit", Freshness::write}}) {
    RequestClass c;
    c.name = name, c.latency_target = 200ms, c.deadline = 1s, c.freshness = need;
    s.classes.push_back(c);
  }
  s.tenants = tenants;
  s.seed = 3;
  return s;
}

Terms terms(double rate, double burst = 5, Beyond beyond = Beyond::refuse, double weight = 1) {
  Terms t;
  t.rate = rate, t.burst = burst, t.beyond = beyond, t.weight = weight, t.wanted = 200ms, t.share = 0.99;
  return t;
}

Config config(std::size_t teams, const Terms& each, std::uint32_t gateways = 1) {
  Config c;
  c.mode = Mode::enforce;
  c.gateways = gateways;
  for (std::size_t t = 0; t < teams; ++t) {
    Team team;
    team.name = "team" + std::to_string(t);
    team.tenants = {static_cast<std::int32_t>(t)};
    team.classes.assign(3, ClassTerms{each, {}});
    c.teams.push_back(team);
  }
  return c;
}

struct Rig {
  Contracts contracts;
  Time now{1'700'000'000'000'000};
  std::uint64_t next = 0;
  std::vector<Breach> breaches;
  explicit Rig(Config c, std::size_t tenants = 3) : contracts(std::move(c), service(tenants)) { step(); }
  gates::GateRequest ask(std::int32_t tenant, std::int32_t cls) {
    gates::GateRequest a;
    a.request = RequestId{++next};
    a.class_id = ClassId{cls}, a.group = GroupId{1}, a.tenant = tenant, a.time_left = 1s;
    return a;
  }
  /// Asks, and ends it at once: served after `took`, or as the gate has it.
  gates::Verdict serve(std::int32_t tenant, std::int32_t cls, Duration took = 50ms) {
    const auto a = ask(tenant, cls);
    const auto v = contracts.admit(a, now);
    if (v.admitted)
      contracts.on_request_end(a, {gates::RequestEnd::served, {}, {}, true, took}, now);
    else
      contracts.on_request_end(a, {gates::RequestEnd::refused, v.decided_by, v.reason, false, {}}, now);
    return v;
  }
  void step(bool contended = false) {
    contracts.step(now, {{GroupId{1}, true, contended}, {GroupId{1}, false, contended}}, breaches);
  }
};

// ---- hard case 8: properties ----
TEST(Contracts, NoWindowLetsThroughMoreThanRateTimesTimePlusBurst) {
  EXPECT_TRUE(rc::check(
      "GCRA",
      [] {
        // From one in ten minutes to some hundreds a second.
        const double rate = *rc::gen::inRange(1, 2000) / *rc::gen::element(3.0, 600.0),
                     burst = *rc::gen::inRange(1, 50);
        const auto gaps = *rc::gen::container<std::vector<int>>(rc::gen::element(0, 300, 30'000, 40'000'000));
        const auto r = Rate::of(rate, burst);
        Gcra g;
        Time now{1'700'000'000'000'000};
        std::vector<Time> taken;
        for (const int gap : gaps) {
          now += Duration(gap);
          if (!g.conforms(r, now)) {
            RC_ASSERT(g.wait(r, now) > Duration::zero());
            RC_ASSERT(g.conforms(r, now + g.wait(r, now)));  // and then it does conform
            continue;
          }
          g.take(r, 1, now);
          taken.push_back(now);
        }
        for (std::size_t i = 0; i < taken.size(); ++i)
          for (std::size_t j = i; j < taken.size(); ++j) {
            const double window = static_cast<double>((taken[j] - taken[i]).count()) / 1e6;
            RC_ASSERT(static_cast<double>(j - i + 1) <= rate * window + burst + 1e-6);
          }
      }));
}

TEST(Contracts, AYearOfARateDriftsByNothing) {
  const auto r = Rate::of(3, 1);  // an interval that is no whole number of nanoseconds
  Gcra g;
  const Time start{1'700'000'000'000'000};
  std::int64_t taken = 0;
  // A unit is asked for at the very instant at which the rate has earned it, thinned to one in a million.
  for (std::int64_t i = 0; i < 1000; ++i) {
    const Time now = start + i * 31'536s;
    if (g.conforms(r, now)) g.take(r, 1, now), ++taken;
  }
  EXPECT_EQ(taken, 1000);
  const Time last = start + 31'536'000s;
  taken = 0;
  for (int ms = 0; ms < 100'000; ++ms)
    if (g.conforms(r, last + ms * Duration(1ms))) g.take(r, 1, last + ms * Duration(1ms)), ++taken;
  EXPECT_LE(taken, 301);
  EXPECT_GE(taken, 298);
}

TEST(Contracts, SharesAreMaxMinFair) {
  EXPECT_TRUE(rc::check(
      "max-min",
      [] {
        const auto demands = *rc::gen::container<std::vector<int>>(rc::gen::inRange(0, 100));
        std::vector<Claim> claims;
        for (const int d : demands)
          claims.push_back({static_cast<double>(d), 1.0 + *rc::gen::inRange(0, 5), 0});
        const double capacity = *rc::gen::inRange(0, 400);
        const double rest = share_out(claims, capacity);
        double given = 0, asked = 0;
        for (const auto& c : claims) {
          RC_ASSERT(c.share <= c.demand + 1e-9);
          given += c.share, asked += c.demand;
        }
        RC_ASSERT(std::abs(given + rest - capacity) < 1e-6);
        RC_ASSERT(rest < 1e-6 || asked <= capacity + 1e-6);  // work-conserving
        // The reference: nobody who is short has less, by weight, than anybody who has something.
        for (const auto& short_one : claims)
          if (short_one.share < short_one.demand - 1e-6)
            for (const auto& other : claims)
              RC_ASSERT(other.share / other.weight <= short_one.share / short_one.weight + 1e-6);
      }));
}

TEST(Contracts, WhatIsAskedIsBookedExactlyOnce) {
  EXPECT_TRUE(rc::check(
      "conservation",
      [] {
        Rig r(config(2, terms(20, 3, *rc::gen::element(Beyond::refuse, Beyond::borrow, Beyond::count))));
        std::vector<gates::GateRequest> open;
        std::uint64_t asked = 0;
        for (const int what : *rc::gen::container<std::vector<int>>(rc::gen::inRange(0, 8))) {
          r.now += 7ms;
          if (what < 4) {
            const auto a = r.ask(what % 3, what % 2 == 0 ? history : bid);  // tenant 2 has no team
            asked += a.tenant < 2 ? 1 : 0;
            const auto v = r.contracts.admit(a, r.now);
            if (v.admitted)
              open.push_back(a);
            else
              r.contracts.on_request_end(a, {gates::RequestEnd::refused, v.decided_by, v.reason, false, {}},
                                         r.now);
          } else if (what < 7 && !open.empty()) {
            const auto end = what == 4   ? gates::RequestEnd::served
                             : what == 5 ? gates::RequestEnd::failed
                                         : gates::RequestEnd::abandoned;
            r.contracts.on_request_end(open.back(), {end, {}, {}, what != 6, 30ms}, r.now);
            open.pop_back();
          } else {
            r.step(what == 7);
          }
        }
        for (const auto& a : open)
          r.contracts.on_request_end(a, {gates::RequestEnd::failed, {}, {}, true, {}}, r.now);
        std::uint64_t sum = 0, ended = 0;
        for (std::size_t t = 0; t < 2; ++t)
          for (std::size_t c = 0; c < 3; ++c) {
            const auto e = r.contracts.total(t, c);
            RC_ASSERT(e.within + e.beyond == e.asked);
            RC_ASSERT(e.within_in_time <= e.within_ended);
            sum += e.asked, ended += e.ended();
          }
        RC_ASSERT(sum == asked);
        RC_ASSERT(ended == asked);            // asked = served + refused + failed + left
        RC_ASSERT(r.contracts.held() <= 4U);  // no request is kept, at most a flow a team and resource
      }));
}

// ---- enforcement ----
TEST(Contracts, BeyondTheRateIsRefusedBorrowedOrCounted) {
  for (const auto beyond : {Beyond::refuse, Beyond::borrow, Beyond::count}) {
    Rig r(config(1, terms(10, 5, beyond)));
    int refused = 0, marked = 0;
    for (int i = 0; i < 20; ++i) {
      const auto v = r.serve(0, history);
      refused += v.admitted ? 0 : 1, marked += v.beyond_contract ? 1 : 0;
      if (!v.admitted) {
        EXPECT_EQ(v.decided_by, gates::Decider::contracts);
        EXPECT_EQ(v.reason, gates::Reason::over_contract);
        EXPECT_GT(v.retry_after, 0ms);
        EXPECT_LE(v.retry_after, 500ms);
      }
    }
    EXPECT_EQ(refused, beyond == Beyond::refuse ? 15 : 0);
    EXPECT_EQ(marked, beyond == Beyond::refuse ? 0 : 15);
    EXPECT_EQ(r.contracts.entry(0, history).beyond, 15U);
    EXPECT_TRUE(r.serve(0, bid).admitted);  // another class has terms of its own
  }
}

TEST(Contracts, CountingRefusesNothingAndATeamlessTenantPasses) {
  auto c = config(1, terms(0));
  c.mode = Mode::count;
  Rig r(c);
  for (int i = 0; i < 50; ++i) EXPECT_TRUE(r.serve(0, history).admitted);
  EXPECT_EQ(r.contracts.entry(0, history).beyond, 50U);
  for (int i = 0; i < 50; ++i) EXPECT_TRUE(r.serve(2, history).admitted);
  EXPECT_TRUE(r.serve(-1, history).admitted);
}

TEST(Contracts, WhatNeverRanIsGivenBack) {
  Rig r(config(1, terms(10, 5)));
  for (int i = 0; i < 50; ++i) {
    const auto a = r.ask(0, history);
    ASSERT_TRUE(r.contracts.admit(a, r.now).admitted) << i;
    r.contracts.on_request_end(a, {gates::RequestEnd::refused, gates::Decider::router, {}, false, {}}, r.now);
  }
  EXPECT_NEAR(r.contracts.entry(0, history).cost, 0, 1e-6);
}

TEST(Contracts, ATeamsFurtherAttemptsAreItsOwn) {
  Rig r(config(2, terms(1000, 1000)));
  const auto bad = r.ask(0, history), good = r.ask(1, history);
  int allowed = 0;
  for (int i = 0; i < 1000; ++i) allowed += r.contracts.may_retry(bad, r.now) ? 1 : 0;
  EXPECT_LE(allowed, 12);
  EXPECT_TRUE(r.contracts.may_retry(good, r.now));
}

// ---- hard case 2 ----
TEST(Contracts, TwoTeamsWithinTheirContractsThatOverloadThePrimaryAreSplitByWeight) {
  auto c = config(2, terms(100, 100, Beyond::borrow));
  c.teams[0].classes[bid]->usual.weight = 3;
  c.window = 20s;
  Rig r(c);
  // The primary does 60 of the 160 a second that are asked for: what is let through beyond it fails.
  std::array<int, 2> served{};
  double can = 0;
  for (int tick = 0; tick < 2500; ++tick) {
    r.now += 10ms;
    can = std::min(2.0, can + 0.6);
    for (int k = 0; k < 2; ++k)
      if ((tick + k) % 5 != 4)  // 80 a second each
        if (const auto a = r.ask(k, bid); true) {
          const auto v = r.contracts.admit(a, r.now);
          if (!v.admitted) {
            r.contracts.on_request_end(a, {gates::RequestEnd::refused, v.decided_by, v.reason, false, {}},
                                       r.now);
          } else if (can >= 1) {
            can -= 1;
            r.contracts.on_request_end(a, {gates::RequestEnd::served, {}, {}, true, 50ms}, r.now);
            if (tick > 500) ++served[static_cast<std::size_t>(k)];
          } else {
            r.contracts.on_request_end(a, {gates::RequestEnd::refused, gates::Decider::router, {}, false, {}},
                                       r.now);
          }
        }
    if (tick % 10 == 9) r.step();
  }
  EXPECT_GT(served[1], 120) << "starved";
  EXPECT_NEAR(static_cast<double>(served[0]) / served[1], 3, 0.9);
  EXPECT_GT(served[0] + served[1],
            900);  // of 1,200 that it could: work-conserving but for the control's swing
  const auto broken = [&](std::size_t team, Side side) {
    return std::any_of(r.breaches.begin(), r.breaches.end(),
                       [&](const Breach& b) { return b.team == team && b.cls == bid && b.side == side; });
  };
  EXPECT_TRUE(broken(1, Side::gateway));  // the gateway's promise, not the team's
  EXPECT_FALSE(broken(1, Side::team));
  EXPECT_FALSE(broken(0, Side::team));
}

TEST(Contracts, WhatIsLentComesBackWithinATenthOfASecond) {
  auto c = config(2, terms(50, 50, Beyond::borrow));
  Rig r(c);
  // Team 1 asks for three times its contract while team 0 is away, on hosts that bear 100 a second.
  bool contended = false;
  const auto run = [&](Duration length, bool both) {
    std::array<int, 2> let{};
    for (const Time end = r.now + length; r.now < end;) {
      r.now += 10ms;
      for (int i = 0; i < 2; ++i) let[1] += r.serve(1, history).admitted ? 1 : 0;
      if (both && r.now.count() / 10'000 % 2 == 0) let[0] += r.serve(0, history).admitted ? 1 : 0;
      if (r.now.count() / 10'000 % 10 == 0) r.step(contended);
    }
    return let;
  };
  const auto before = run(2s, false);
  EXPECT_EQ(before[1], 400);
  contended = true;
  run(5s, false);
  const auto after = run(1s, true);
  EXPECT_GE(after[0], 45);  // its 50 a second, from the first tenth on
}

// ---- hard case 4 ----
TEST(Contracts, ThreeGatewaysNeverLetThroughMoreThanTheStatedOvershoot) {
  auto c = config(1, terms(90, 30), 3);
  c.teams[0].classes[desk].reset(), c.teams[0].classes[bid].reset();
  std::vector<std::unique_ptr<Rig>> gateways;
  for (int i = 0; i < 3; ++i) gateways.push_back(std::make_unique<Rig>(c));
  const auto run = [&](Duration length, const std::vector<int>& every_ms) {
    std::vector<int> let(3, 0);
    for (Duration t{}; t < length; t += 1ms)
      for (std::size_t g = 0; g < 3; ++g) {
        auto& r = *gateways[g];
        r.now += 1ms;
        if (every_ms[g] > 0 && t.count() / 1000 % every_ms[g] == 0)
          let[g] += r.serve(0, history).admitted ? 1 : 0;
        if (t.count() / 1000 % 100 == 99) r.step();
      }
    return let;
  };
  // Even: 90 a second in all, as promised; all of it is let through.
  auto let = run(10s, {33, 33, 33});
  EXPECT_NEAR(let[0] + let[1] + let[2], 909, 15);
  // The front moves everything to the first: it may come to hold two thirds of the contract.
  run(40s, {11, 0, 0});
  let = run(10s, {11, 0, 0});
  EXPECT_GE(let[0], 560);
  EXPECT_LE(let[0], 620);
  // Then all three are flooded: the worst overshoot is twice the contract, and a burst each.
  run(60s, {1, 1, 1});
  let = run(10s, {1, 1, 1});
  EXPECT_LE(let[0] + let[1] + let[2], 2 * 900 + 3 * 20);
  // And none at all: the part falls back to an even one.
  run(60s, {0, 0, 0});
  for (const auto& g : gateways) EXPECT_NEAR(g->contracts.part(0), 1.0 / 3, 0.01);
}

// ---- hard case 5 ----
TEST(Contracts, AClosureBringsItsOwnTermsForAsLongAsItLasts) {
  auto c = config(1, terms(10, 5));
  const Time start{1'700'000'000'000'000};
  c.teams[0].classes[history]->closure = terms(0);
  c.closures = {{start + 10s, start + 20s}, {start + 30s, start + 40s}};
  ASSERT_FALSE(find_config_issue(c, service()));
  Rig r(c);
  for (const auto& [at, open] :
       {std::pair{5s, true}, {10s, false}, {19s, false}, {20s, true}, {31s, false}, {40s, true}}) {
    r.now = start + at;
    r.step();
    EXPECT_EQ(r.serve(0, history).admitted, open) << at.count();
  }
  r.now = start + 15s;  // a clock that steps back counts as the last time seen
  r.step();
  EXPECT_TRUE(r.serve(0, history).admitted);
}

// ---- hard case 6 ----
TEST(Contracts, AReloadKeepsWhatWasUsedAndForgetsTeamsThatAreGone) {
  Rig r(config(2, terms(10, 5)));
  for (int i = 0; i < 5; ++i) EXPECT_TRUE(r.serve(0, history).admitted);
  EXPECT_FALSE(r.serve(0, history).admitted);
  const auto held = r.ask(1, bid);
  ASSERT_TRUE(r.contracts.admit(held, r.now).admitted);
  r.contracts.reload(config(1, terms(10, 5)), r.now);
  EXPECT_FALSE(r.serve(0, history).admitted);  // no new burst by reloading
  EXPECT_EQ(r.contracts.entry(0, history).asked, 7U);
  r.contracts.on_request_end(held, {gates::RequestEnd::served, {}, {}, true, 50ms},
                             r.now);          // of a team that is no more
  EXPECT_TRUE(r.serve(1, history).admitted);  // its tenant has no contract now
  auto none = config(1, terms(0));
  r.contracts.reload(none, r.now);
  r.now += 1h;
  EXPECT_FALSE(r.serve(0, bid).admitted);
  EXPECT_EQ(r.contracts.held(), 1U);
}

// ---- hard case 7 ----
TEST(Contracts, TenThousandTenantsMostIdleAreBounded) {
  Rig r(config(10'000, terms(5, 5, Beyond::borrow)), 10'000);
  for (std::int32_t t = 0; t < 10'000; ++t) EXPECT_TRUE(r.serve(t, history).admitted);
  EXPECT_EQ(r.contracts.held(), 10'000U);
  for (int i = 0; i < 120; ++i) r.now += 100ms, r.step();
  EXPECT_EQ(r.contracts.held(), 0U);  // forgotten once idle
}

TEST(Contracts, WrongContractsAreRefusedWithTheirPlace) {
  struct Case {
    std::function<void(Config&)> spoil;
    std::string where;
  };
  EXPECT_FALSE(find_config_issue(config(2, terms(1)), service()));
  for (const auto& k :
       std::vector<Case>{{[](Config& c) { c.teams[1].name = "team0"; }, "/teams/1/name"},
                         {[](Config& c) { c.teams[1].tenants = {0}; }, "/teams/1/tenants"},
                         {[](Config& c) { c.teams[1].tenants = {9}; }, "/teams/1/tenants"},
                         {[](Config& c) { c.teams[0].classes.pop_back(); }, "/teams/0/classes"},
                         {[](Config& c) { c.teams[0].classes[0]->usual.rate = -1; }, "/teams/0/classes"},
                         {[](Config& c) { c.teams[0].classes[0]->usual.weight = 0; }, "/teams/0/classes"},
                         {[](Config& c) { c.teams[0].classes[0]->usual.share = 1.5; }, "/teams/0/classes"},
                         {[](Config& c) {
                            c.closures = {{Time{5}, Time{5}}};
                          },
                          "/calendar"},
                         {[](Config& c) {
                            c.closures = {{Time{5}, Time{9}}, {Time{8}, Time{12}}};
                          },
                          "/calendar"},
                         {[](Config& c) { c.gateways = 0; }, "/gateways"}}) {
    auto c = config(2, terms(1));
    k.spoil(c);
    const auto flaw = find_config_issue(c, service());
    ASSERT_TRUE(flaw) << k.where;
    EXPECT_EQ(flaw->where, k.where);
  }
}

TEST(AnswerTimes, QuantilesAreWithinABinAndMergingAddsUp) {
  AnswerTimes a, b;
  for (int i = 1; i <= 1000; ++i) (i % 2 == 0 ? a : b).add(i * Duration(1ms));
  a.add(1h), a.add(Duration(0));  // beyond both ends: counted at the ends
  a += b;
  EXPECT_EQ(a.count(), 1002U);
  for (const auto& [q, ms] : {std::pair{0.5, 500.0}, {0.9, 900.0}, {0.99, 990.0}}) {
    EXPECT_GE(a.quantile(q), ms * 0.99);
    EXPECT_LE(a.quantile(q), ms * 1.11);
  }
  EXPECT_EQ(AnswerTimes().quantile(0.5), 0);
}

// ---- hard case 1: with the real broker and router, in simulated time ----
TEST(Contracts, ABatchThatRunsAwayAtClosureCostsTheDesksNextToNothing) {
  auto c = lab::sapporo();
  c.groups = 1, c.load = 0.7, c.length = 20s, c.warm_up = 4s;
  const auto usual = lab::run(c);
  // The third member's batch asks for 150 reports a second on top, from the middle on.
  c.surges.push_back({2, 1, 150, 8s, 18s});
  const auto without = lab::run(c);
  Config terms_of;
  terms_of.mode = Mode::enforce;
  terms_of.gateways = 3;
  for (std::size_t t = 0; t < 3; ++t) {
    Team team;
    team.name = c.tenants[t].name;
    team.tenants = {static_cast<std::int32_t>(t)};
    for (const auto& k : c.classes) {
      Terms one;
      one.rate = 157 * 1.3 * k.share * c.tenants[t].share, one.burst = std::max(15.0, one.rate);
      one.wanted = k.contract.latency_target;
      one.beyond = t == 2 ? Beyond::refuse : Beyond::borrow;
      one.weight = t == 2 ? 1 : 4;
      team.classes.push_back(ClassTerms{one, {}});
    }
    terms_of.teams.push_back(team);
  }
  c.contracts = terms_of;
  const auto with = lab::run(c);
  const auto share = [&](const lab::WorldResult& r) {  // of the first two members, all classes
    double asked = 0, in_time = 0;
    for (std::size_t i = 0; i < 2 * c.classes.size(); ++i)
      asked += static_cast<double>(r.by_tenant_class[i].asked),
          in_time += static_cast<double>(r.by_tenant_class[i].in_time);
    return in_time / asked;
  };
  EXPECT_GE(share(with), share(usual) - 0.01);
  EXPECT_LT(share(without), share(usual) - 0.05);  // without contracts the desks pay
  EXPECT_EQ(with.overlapping + with.too_many + with.unanswered + with.late_answers, 0U);
  ASSERT_EQ(with.ledger.size(), 12U);
  EXPECT_GT(with.ledger[2 * 4 + 1].beyond, 500U);  // and the ledger says whose it was
}

}  // namespace
}  // namespace cedarring::test
