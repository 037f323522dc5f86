// Contracts in simulated time: rates, fairness, conservation, gateway shares and the ledger. No sockets; each
// test sets the clock.
#include "contracts/contracts.h"

#include <gtest/gtest.h>
#include <rapidcheck.h>

#include <chrono>

#include "tools/lab/simulation.h"

namespace cedarring::test {
namespace {

using namespace contracts;
using namespace std::chrono_literals;

/// Indices of the classes of service().
enum : std::int32_t { desk, history, bid };

constexpr std::size_t class_count = 3;
constexpr Time start_time{1'700'000'000'000'000};

ServiceInfo service(std::size_t tenants = 3) {
  ServiceInfo info;
  for (const auto& [name, freshness] : {std::pair{"desk-view", Freshness::bounded},
                                        {"history", Freshness::any},
                                        {"bid-submit", Freshness::write}}) {
    RequestClass request_class;
    request_class.name = name;
    request_class.latency_target = 200ms;
    request_class.deadline = 1s;
    request_class.freshness = freshness;
    info.classes.push_back(request_class);
  }
  info.tenants = tenants;
  info.seed = 3;
  return info;
}

Terms make_terms(double rate, double burst = 5, BeyondPolicy beyond = BeyondPolicy::refuse,
                 double weight = 1) {
  Terms result;
  result.rate = rate;
  result.burst = burst;
  result.beyond = beyond;
  result.weight = weight;
  result.latency_target = 200ms;
  result.in_time_share = 0.99;
  return result;
}

/// An enforced configuration with one tenant a team and equal terms for all teams and classes.
Config make_config(std::size_t teams, const Terms& each, std::uint32_t gateways = 1) {
  Config result;
  result.mode = Mode::enforce;
  result.gateways = gateways;
  for (std::size_t t = 0; t < teams; ++t) {
    Team team;
    team.name = "team" + std::to_string(t);
    team.tenants = {static_cast<std::int32_t>(t)};
    team.classes.assign(class_count, ClassTerms{each, {}});
    result.teams.push_back(team);
  }
  return result;
}

/// One gateway's contracts with a clock that the test sets.
struct Gateway {
  Contracts contracts;
  Time now = start_time;
  std::uint64_t last_request = 0;
  std::vector<Breach> breaches;
  explicit Gateway(Config config, std::size_t tenants = 3) : contracts(std::move(config), service(tenants)) {
    step();
  }
  gates::GateRequest request(std::int32_t tenant, std::int32_t class_index) {
    gates::GateRequest result;
    result.request = RequestId{++last_request};
    result.class_id = ClassId{class_index};
    result.group = GroupId{1};
    result.tenant = tenant;
    result.time_left = 1s;
    return result;
  }
  void end_refused(const gates::GateRequest& request, const gates::Verdict& verdict) {
    contracts.on_request_end(
        request, {gates::RequestEnd::refused, verdict.decided_by, verdict.reason, false, {}}, now);
  }
  void end_refused_by_router(const gates::GateRequest& request) {
    contracts.on_request_end(request, {gates::RequestEnd::refused, gates::Decider::router, {}, false, {}},
                             now);
  }
  void end_served(const gates::GateRequest& request, Duration elapsed) {
    contracts.on_request_end(request, {gates::RequestEnd::served, {}, {}, true, elapsed}, now);
  }
  /// Sends a request that ends at once: served after `elapsed`, or refused by the gate.
  gates::Verdict serve(std::int32_t tenant, std::int32_t class_index, Duration elapsed = 50ms) {
    const auto sent = request(tenant, class_index);
    const auto verdict = contracts.admit(sent, now);
    if (verdict.admitted)
      end_served(sent, elapsed);
    else
      end_refused(sent, verdict);
    return verdict;
  }
  void step(bool contended = false) {
    contracts.step(now, {{GroupId{1}, true, contended}, {GroupId{1}, false, contended}}, breaches);
  }
};

// ---- Properties of the algorithms ----
TEST(Gcra, AnySequenceOfRequestsStaysWithinRateTimesTimePlusBurst) {
  EXPECT_TRUE(rc::check(
      "GCRA",
      [] {
        // From one in ten minutes to some hundreds a second.
        const double rate = *rc::gen::inRange(1, 2000) / *rc::gen::element(3.0, 600.0);
        const double burst = *rc::gen::inRange(1, 50);
        const auto gaps = *rc::gen::container<std::vector<int>>(rc::gen::element(0, 300, 30'000, 40'000'000));
        const auto limit = Rate::of(rate, burst);
        Gcra limiter;
        Time now = start_time;
        std::vector<Time> admitted;
        for (const int gap : gaps) {
          now += Duration(gap);
          if (!limiter.conforms(limit, now)) {
            RC_ASSERT(limiter.wait(limit, now) > Duration::zero());
            RC_ASSERT(limiter.conforms(limit, now + limiter.wait(limit, now)));
            continue;
          }
          limiter.charge(limit, 1, now);
          admitted.push_back(now);
        }
        for (std::size_t i = 0; i < admitted.size(); ++i)
          for (std::size_t j = i; j < admitted.size(); ++j) {
            const double window = static_cast<double>((admitted[j] - admitted[i]).count()) / 1e6;
            RC_ASSERT(static_cast<double>(j - i + 1) <= rate * window + burst + 1e-6);
          }
      }));
}

TEST(Gcra, ARateOverOneYearDoesNotDrift) {
  const auto limit = Rate::of(3, 1);  // the interval is not a whole number of nanoseconds
  Gcra limiter;
  std::int64_t admitted = 0;
  // One request out of 94,608 that the rate allows, each at a time at which a unit is due.
  for (std::int64_t i = 0; i < 1000; ++i) {
    const Time now = start_time + i * 31'536s;
    if (limiter.conforms(limit, now)) {
      limiter.charge(limit, 1, now);
      ++admitted;
    }
  }
  EXPECT_EQ(admitted, 1000);
  const Time year_later = start_time + 31'536'000s;
  admitted = 0;
  for (int ms = 0; ms < 100'000; ++ms)
    if (limiter.conforms(limit, year_later + ms * Duration(1ms))) {
      limiter.charge(limit, 1, year_later + ms * Duration(1ms));
      ++admitted;
    }
  EXPECT_LE(admitted, 301);
  EXPECT_GE(admitted, 298);
}

TEST(FairShare, AnyDemandsAreSharedMaxMinFairly) {
  EXPECT_TRUE(rc::check(
      "max-min",
      [] {
        const auto demands = *rc::gen::container<std::vector<int>>(rc::gen::inRange(0, 100));
        std::vector<Claim> claims;
        for (const int demand : demands)
          claims.push_back({static_cast<double>(demand), 1.0 + *rc::gen::inRange(0, 5), 0});
        const double capacity = *rc::gen::inRange(0, 400);
        const double unused = allocate_max_min(claims, capacity);
        double allocated = 0;
        double demanded = 0;
        for (const auto& claim : claims) {
          RC_ASSERT(claim.share <= claim.demand + 1e-9);
          allocated += claim.share;
          demanded += claim.demand;
        }
        RC_ASSERT(std::abs(allocated + unused - capacity) < 1e-6);
        RC_ASSERT(unused < 1e-6 || demanded <= capacity + 1e-6);  // work-conserving
        // The definition: a claim that is not satisfied has, by weight, no less than any other claim.
        for (const auto& unsatisfied : claims)
          if (unsatisfied.share < unsatisfied.demand - 1e-6)
            for (const auto& other : claims)
              RC_ASSERT(other.share / other.weight <= unsatisfied.share / unsatisfied.weight + 1e-6);
      }));
}

TEST(Contracts, AnySequenceOfRequestsIsRecordedExactlyOnce) {
  EXPECT_TRUE(rc::check(
      "conservation",
      [] {
        Gateway gateway(make_config(
            2,
            make_terms(20, 3,
                       *rc::gen::element(BeyondPolicy::refuse, BeyondPolicy::borrow, BeyondPolicy::count))));
        std::vector<gates::GateRequest> open;
        std::uint64_t sent = 0;
        // Actions: 0 to 3 send a request; 4, 5 and 6 end one as served, failed or abandoned; 7 steps under
        // contention. Without an open request 4 to 6 step, too.
        for (const int action : *rc::gen::container<std::vector<int>>(rc::gen::inRange(0, 8))) {
          gateway.now += 7ms;
          if (action < 4) {
            // Tenant 2 has no team.
            const auto request = gateway.request(action % 3, action % 2 == 0 ? history : bid);
            sent += request.tenant < 2 ? 1 : 0;
            const auto verdict = gateway.contracts.admit(request, gateway.now);
            if (verdict.admitted)
              open.push_back(request);
            else
              gateway.end_refused(request, verdict);
          } else if (action < 7 && !open.empty()) {
            const auto end = action == 4   ? gates::RequestEnd::served
                             : action == 5 ? gates::RequestEnd::failed
                                           : gates::RequestEnd::abandoned;
            gateway.contracts.on_request_end(open.back(), {end, {}, {}, action != 6, 30ms}, gateway.now);
            open.pop_back();
          } else {
            gateway.step(action == 7);
          }
        }
        for (const auto& request : open)
          gateway.contracts.on_request_end(request, {gates::RequestEnd::failed, {}, {}, true, {}},
                                           gateway.now);
        std::uint64_t asked = 0;
        std::uint64_t ended = 0;
        for (std::size_t t = 0; t < 2; ++t)
          for (std::size_t c = 0; c < class_count; ++c) {
            const auto entry = gateway.contracts.total(t, c);
            RC_ASSERT(entry.within + entry.beyond == entry.asked);
            RC_ASSERT(entry.within_in_time <= entry.within_ended);
            asked += entry.asked;
            ended += entry.ended();
          }
        RC_ASSERT(asked == sent);
        RC_ASSERT(ended == sent);  // asked = served + refused + failed + abandoned
        // No request stays in memory; at most one resource use for each team and resource does.
        RC_ASSERT(gateway.contracts.entry_count() <= 4U);
      }));
}

// ---- Enforcement ----
TEST(Contracts, RequestsBeyondTheRateAreRefusedBorrowedOrCountedByPolicy) {
  for (const auto beyond : {BeyondPolicy::refuse, BeyondPolicy::borrow, BeyondPolicy::count}) {
    Gateway gateway(make_config(1, make_terms(10, 5, beyond)));
    int refused = 0;
    int marked_beyond = 0;
    for (int i = 0; i < 20; ++i) {
      const auto verdict = gateway.serve(0, history);
      refused += verdict.admitted ? 0 : 1;
      marked_beyond += verdict.beyond_contract ? 1 : 0;
      if (!verdict.admitted) {
        EXPECT_EQ(verdict.decided_by, gates::Decider::contracts);
        EXPECT_EQ(verdict.reason, gates::Reason::over_contract);
        EXPECT_GT(verdict.retry_after, 0ms);
        EXPECT_LE(verdict.retry_after, 500ms);
      }
    }
    EXPECT_EQ(refused, beyond == BeyondPolicy::refuse ? 15 : 0);
    EXPECT_EQ(marked_beyond, beyond == BeyondPolicy::refuse ? 0 : 15);
    EXPECT_EQ(gateway.contracts.entry(0, history).beyond, 15U);
    EXPECT_TRUE(gateway.serve(0, bid).admitted);  // another class has terms of its own
  }
}

TEST(Contracts, CountModeAndTenantsWithoutATeamRefuseNothing) {
  auto config = make_config(1, make_terms(0));
  config.mode = Mode::count;
  Gateway gateway(config);
  for (int i = 0; i < 50; ++i) EXPECT_TRUE(gateway.serve(0, history).admitted);
  EXPECT_EQ(gateway.contracts.entry(0, history).beyond, 50U);
  for (int i = 0; i < 50; ++i) EXPECT_TRUE(gateway.serve(2, history).admitted);
  EXPECT_TRUE(gateway.serve(-1, history).admitted);
}

TEST(Contracts, ARequestThatNeverRanIsRefunded) {
  Gateway gateway(make_config(1, make_terms(10, 5)));
  for (int i = 0; i < 50; ++i) {
    const auto request = gateway.request(0, history);
    ASSERT_TRUE(gateway.contracts.admit(request, gateway.now).admitted) << i;
    gateway.end_refused_by_router(request);
  }
  EXPECT_NEAR(gateway.contracts.entry(0, history).cost, 0, 1e-6);
}

TEST(Contracts, RetriesOfOneTeamDoNotUseTheBudgetOfAnother) {
  Gateway gateway(make_config(2, make_terms(1000, 1000)));
  const auto retrying = gateway.request(0, history);
  const auto other = gateway.request(1, history);
  int allowed = 0;
  for (int i = 0; i < 1000; ++i) allowed += gateway.contracts.may_retry(retrying, gateway.now) ? 1 : 0;
  EXPECT_LE(allowed, 12);
  EXPECT_TRUE(gateway.contracts.may_retry(other, gateway.now));
}

// ---- Contention ----
// Two contracts that each fit the primary may overload it together. Neither team may starve, and the breach
// is the gateway's, not the teams'.
TEST(Contracts, TwoTeamsThatOverloadThePrimaryWithinTheirContractsAreSharedByWeight) {
  auto config = make_config(2, make_terms(100, 100, BeyondPolicy::borrow));
  config.teams[0].classes[bid]->usual.weight = 3;
  config.window = 20s;
  Gateway gateway(config);
  // The primary serves 60 of the 160 requests a second; the router refuses those admitted beyond that.
  std::array<int, 2> served{};
  double tokens = 0;
  for (int tick = 0; tick < 2500; ++tick) {
    gateway.now += 10ms;
    tokens = std::min(2.0, tokens + 0.6);
    for (int team = 0; team < 2; ++team) {
      if ((tick + team) % 5 == 4) continue;  // 80 a second each
      const auto request = gateway.request(team, bid);
      const auto verdict = gateway.contracts.admit(request, gateway.now);
      if (!verdict.admitted) {
        gateway.end_refused(request, verdict);
      } else if (tokens >= 1) {
        tokens -= 1;
        gateway.end_served(request, 50ms);
        if (tick > 500) ++served[static_cast<std::size_t>(team)];
      } else {
        gateway.end_refused_by_router(request);
      }
    }
    if (tick % 10 == 9) gateway.step();
  }
  EXPECT_GT(served[1], 120) << "starved";
  EXPECT_NEAR(static_cast<double>(served[0]) / served[1], 3, 0.9);
  // Of a possible 1,200: work-conserving but for the swing of the control loop.
  EXPECT_GT(served[0] + served[1], 900);
  const auto breached = [&](std::size_t team, Side side) {
    return std::any_of(gateway.breaches.begin(), gateway.breaches.end(), [&](const Breach& breach) {
      return breach.team == team && breach.class_index == bid && breach.side == side;
    });
  };
  EXPECT_TRUE(breached(1, Side::gateway));
  EXPECT_FALSE(breached(1, Side::team));
  EXPECT_FALSE(breached(0, Side::team));
}

TEST(Contracts, LentCapacityReturnsToItsOwnerWithin100Milliseconds) {
  auto config = make_config(2, make_terms(50, 50, BeyondPolicy::borrow));
  Gateway gateway(config);
  // Team 1 sends 200 requests a second, four times its contract. Team 0 is idle, or sends its contracted 50
  // if `both` is set. The resource is reported as contended if `contended` is set.
  bool contended = false;
  const auto run = [&](Duration length, bool both) {
    std::array<int, 2> admitted{};
    for (const Time end = gateway.now + length; gateway.now < end;) {
      gateway.now += 10ms;
      for (int i = 0; i < 2; ++i) admitted[1] += gateway.serve(1, history).admitted ? 1 : 0;
      if (both && gateway.now.count() / 10'000 % 2 == 0)
        admitted[0] += gateway.serve(0, history).admitted ? 1 : 0;
      if (gateway.now.count() / 10'000 % 10 == 0) gateway.step(contended);
    }
    return admitted;
  };
  const auto admitted_alone = run(2s, false);
  EXPECT_EQ(admitted_alone[1], 400);
  contended = true;
  run(5s, false);
  const auto admitted_together = run(1s, true);
  EXPECT_GE(admitted_together[0], 45);  // its 50 a second, from the first 100 ms on
}

// ---- Several gateways ----
// Gateways do not exchange counts, so their shares of a contract are estimates. The sum may exceed the
// contract, but never by more than the configured factor.
TEST(Contracts, ThreeGatewaysUnderMovingTrafficStayWithinTheStatedOvershoot) {
  auto config = make_config(1, make_terms(90, 30), 3);
  config.teams[0].classes[desk].reset();
  config.teams[0].classes[bid].reset();
  std::vector<std::unique_ptr<Gateway>> gateways;
  for (int i = 0; i < 3; ++i) gateways.push_back(std::make_unique<Gateway>(config));
  const auto run = [&](Duration length, const std::vector<int>& interval_ms) {
    std::vector<int> admitted(3, 0);
    for (Duration t{}; t < length; t += 1ms)
      for (std::size_t g = 0; g < 3; ++g) {
        auto& gateway = *gateways[g];
        gateway.now += 1ms;
        if (interval_ms[g] > 0 && t.count() / 1000 % interval_ms[g] == 0)
          admitted[g] += gateway.serve(0, history).admitted ? 1 : 0;
        if (t.count() / 1000 % 100 == 99) gateway.step();
      }
    return admitted;
  };
  // Even traffic: 90 a second in all, as contracted, and all admitted.
  auto admitted = run(10s, {33, 33, 33});
  EXPECT_NEAR(admitted[0] + admitted[1] + admitted[2], 909, 15);
  // All traffic moves to the first gateway, whose share grows to at most two thirds of the contract.
  run(40s, {11, 0, 0});
  admitted = run(10s, {11, 0, 0});
  EXPECT_GE(admitted[0], 560);
  EXPECT_LE(admitted[0], 620);
  // All three are flooded: at most twice the contract, and a burst each.
  run(60s, {1, 1, 1});
  admitted = run(10s, {1, 1, 1});
  EXPECT_LE(admitted[0] + admitted[1] + admitted[2], 2 * 900 + 3 * 20);
  // No traffic: the shares return to even ones.
  run(60s, {0, 0, 0});
  for (const auto& gateway : gateways) EXPECT_NEAR(gateway->contracts.gateway_share(0), 1.0 / 3, 0.01);
}

// ---- Closures ----
TEST(Contracts, ClosureTermsApplyDuringTheClosureOnly) {
  auto config = make_config(1, make_terms(10, 5));
  config.teams[0].classes[history]->closure = make_terms(0);
  config.closures = {{start_time + 10s, start_time + 20s}, {start_time + 30s, start_time + 40s}};
  ASSERT_FALSE(find_config_issue(config, service()));
  Gateway gateway(config);
  for (const auto& [at, admitted] :
       {std::pair{5s, true}, {10s, false}, {19s, false}, {20s, true}, {31s, false}, {40s, true}}) {
    gateway.now = start_time + at;
    gateway.step();
    EXPECT_EQ(gateway.serve(0, history).admitted, admitted) << at.count();
  }
  gateway.now = start_time + 15s;  // a clock that steps back counts as the last time seen
  gateway.step();
  EXPECT_TRUE(gateway.serve(0, history).admitted);
}

// ---- Reload ----
TEST(Contracts, AReloadKeepsLimitersAndForgetsRemovedTeams) {
  Gateway gateway(make_config(2, make_terms(10, 5)));
  for (int i = 0; i < 5; ++i) EXPECT_TRUE(gateway.serve(0, history).admitted);
  EXPECT_FALSE(gateway.serve(0, history).admitted);
  const auto open = gateway.request(1, bid);
  ASSERT_TRUE(gateway.contracts.admit(open, gateway.now).admitted);
  gateway.contracts.reload(make_config(1, make_terms(10, 5)), gateway.now);
  EXPECT_FALSE(gateway.serve(0, history).admitted);  // a reload grants no new burst
  EXPECT_EQ(gateway.contracts.entry(0, history).asked, 7U);
  gateway.end_served(open, 50ms);                   // its team is removed
  EXPECT_TRUE(gateway.serve(1, history).admitted);  // its tenant has no contract now
  auto rate_of_zero = make_config(1, make_terms(0));
  gateway.contracts.reload(rate_of_zero, gateway.now);
  gateway.now += 1h;
  EXPECT_FALSE(gateway.serve(0, bid).admitted);
  EXPECT_EQ(gateway.contracts.entry_count(), 1U);
}

// ---- Bounds ----
TEST(Contracts, IdleResourceUsesOfTenThousandTenantsAreRemoved) {
  Gateway gateway(make_config(10'000, make_terms(5, 5, BeyondPolicy::borrow)), 10'000);
  for (std::int32_t t = 0; t < 10'000; ++t) EXPECT_TRUE(gateway.serve(t, history).admitted);
  EXPECT_EQ(gateway.contracts.entry_count(), 10'000U);
  for (int i = 0; i < 120; ++i) {
    gateway.now += 100ms;
    gateway.step();
  }
  EXPECT_EQ(gateway.contracts.entry_count(), 0U);
}

TEST(Contracts, InvalidConfigurationsAreReportedWithTheirPath) {
  struct Case {
    std::function<void(Config&)> invalidate;
    std::string path;
  };
  EXPECT_FALSE(find_config_issue(make_config(2, make_terms(1)), service()));
  for (const auto& test_case : std::vector<Case>{
           {[](Config& config) { config.teams[1].name = "team0"; }, "/teams/1/name"},
           {[](Config& config) { config.teams[1].tenants = {0}; }, "/teams/1/tenants"},
           {[](Config& config) { config.teams[1].tenants = {9}; }, "/teams/1/tenants"},
           {[](Config& config) { config.teams[0].classes.pop_back(); }, "/teams/0/classes"},
           {[](Config& config) { config.teams[0].classes[0]->usual.rate = -1; }, "/teams/0/classes"},
           {[](Config& config) { config.teams[0].classes[0]->usual.weight = 0; }, "/teams/0/classes"},
           {[](Config& config) { config.teams[0].classes[0]->usual.in_time_share = 1.5; },
            "/teams/0/classes"},
           {[](Config& config) {
              config.closures = {{Time{5}, Time{5}}};
            },
            "/calendar"},
           {[](Config& config) {
              config.closures = {{Time{5}, Time{9}}, {Time{8}, Time{12}}};
            },
            "/calendar"},
           {[](Config& config) { config.gateways = 0; }, "/gateways"}}) {
    auto config = make_config(2, make_terms(1));
    test_case.invalidate(config);
    const auto issue = find_config_issue(config, service());
    ASSERT_TRUE(issue) << test_case.path;
    EXPECT_EQ(issue->path, test_case.path);
  }
}

TEST(AnswerTimes, QuantilesOfMergedHistogramsAreWithinOneBin) {
  AnswerTimes first;
  AnswerTimes second;
  for (int i = 1; i <= 1000; ++i) (i % 2 == 0 ? first : second).add(i * Duration(1ms));
  // Outside both ends of the axis: counted in the first and the last bin.
  first.add(1h);
  first.add(Duration(0));
  first += second;
  EXPECT_EQ(first.count(), 1002U);
  for (const auto& [quantile, expected_ms] : {std::pair{0.5, 500.0}, {0.9, 900.0}, {0.99, 990.0}}) {
    EXPECT_GE(first.quantile(quantile), expected_ms * 0.99);
    EXPECT_LE(first.quantile(quantile), expected_ms * 1.11);
  }
  EXPECT_EQ(AnswerTimes().quantile(0.5), 0);
}

// ---- With the broker and the router, in simulated time ----
// A batch client that sends far beyond its contract, as happens around a closure, must not take capacity from
// the other teams.
TEST(Contracts, ABatchBeyondItsContractTakesLessThanOnePercentFromOtherTeams) {
  auto config = lab::reference_deployment();
  config.groups = 1;
  config.load = 0.7;
  config.duration = 20s;
  config.warm_up = 4s;
  const auto usual = lab::simulate(config);
  constexpr std::size_t batch_team = 2;
  constexpr std::size_t history_class = 1;
  // The third tenant's batch sends 150 more reads a second from 8 to 18 s.
  config.surges.push_back({batch_team, history_class, 150, 8s, 18s});
  const auto without_contracts = lab::simulate(config);
  constexpr double usual_rate = 157;       // about the requests a second without the batch
  constexpr double contract_margin = 1.3;  // contracted rate over the usual rate
  Config enforced;
  enforced.mode = Mode::enforce;
  enforced.gateways = 3;
  for (std::size_t team_index = 0; team_index < 3; ++team_index) {
    Team team;
    team.name = config.tenants[team_index].name;
    team.tenants = {static_cast<std::int32_t>(team_index)};
    for (const auto& spec : config.classes) {
      Terms class_terms;
      class_terms.rate = usual_rate * contract_margin * spec.share * config.tenants[team_index].share;
      class_terms.burst = std::max(15.0, class_terms.rate);
      class_terms.latency_target = spec.request_class.latency_target;
      class_terms.beyond = team_index == batch_team ? BeyondPolicy::refuse : BeyondPolicy::borrow;
      class_terms.weight = team_index == batch_team ? 1 : 4;
      team.classes.push_back(ClassTerms{class_terms, {}});
    }
    enforced.teams.push_back(team);
  }
  config.contracts = enforced;
  const auto with_contracts = lab::simulate(config);
  // The share of the requests of the first two tenants, over all classes, that are served in time.
  const auto in_time_share = [&](const lab::SimulationResult& result) {
    double requests = 0;
    double in_time = 0;
    for (std::size_t i = 0; i < batch_team * config.classes.size(); ++i) {
      requests += static_cast<double>(result.by_tenant_class[i].requests);
      in_time += static_cast<double>(result.by_tenant_class[i].in_time);
    }
    return in_time / requests;
  };
  EXPECT_GE(in_time_share(with_contracts), in_time_share(usual) - 0.01);
  EXPECT_LT(in_time_share(without_contracts), in_time_share(usual) - 0.05);
  EXPECT_EQ(with_contracts.overlapping_attempts + with_contracts.excess_attempts + with_contracts.unanswered +
                with_contracts.late_answers,
            0U);
  ASSERT_EQ(with_contracts.ledger.size(), 12U);  // three teams with four classes
  // The ledger attributes the surge to its team.
  EXPECT_GT(with_contracts.ledger[batch_team * 4 + history_class].beyond, 500U);
}

}  // namespace
}  // namespace cedarring::test
