// What a hundred gateways do together: each sees a hundredth of the traffic, and its hosts feel all of them.
#include <gtest/gtest.h>

#include <algorithm>
#include <map>
#include <memory>
#include <random>
#include <vector>

#include "broker/connection_limits.h"
#include "cedarring/router.h"
#include "fleet/connect_timeout.h"
#include "fleet/outlier_detector.h"
#include "fleet/probe_budget.h"
#include "fleet/replica_lag.h"
#include "tools/lab/world.h"

namespace cedarring::test {
namespace {

using namespace lab;
using namespace std::chrono_literals;
namespace fleet_budget = cedarring::fleet;

/// The days of the large fleet in small: 100 gateways, 14 groups of 4, some three requests a second and
/// gateway.
SimulationConfig fleet() {
  auto c = reference_deployment();
  c.gateways = 100, c.groups = 14, c.hosts_per_group = 4;
  c.load = 0.25;
  c.duration = 8s, c.warm_up = 2s;
  return c;
}

std::uint64_t broken(const SimulationResult& r) {
  return r.overlapping_attempts + r.excess_attempts + r.unanswered + r.late_answers;
}

TEST(Fleet, ProbesCostNoMoreThanTheirPartOfWhatRequestsAreWorth) {
  auto c = fleet();
  for (const double price : {0.08, 0.32}) {
    c.probe_cost = price;
    const auto r = simulate(c);
    ASSERT_GT(r.requests, 1000U);
    EXPECT_EQ(broken(r), 0U);
    // A hundredth of the worth, and what each gateway has saved when it starts.
    EXPECT_LE(static_cast<double>(r.probes), 0.01 / price * static_cast<double>(r.requests) + 10 * c.gateways)
        << price;
    for (std::size_t k = 0; k < c.classes.size(); ++k)
      EXPECT_GT(r.in_time_share(k), 0.9) << price << ' ' << k;
  }
}

TEST(ProbeBudget, RequestsPayForProbesAndSomeAreKept) {
  fleet_budget::ProbeBudget b(0.08, 0.01, 10);
  int taken = 0;
  for (; b.available(0.5); ++taken) b.spend();
  EXPECT_EQ(taken, 5) << "half is kept";
  for (; b.available(); ++taken) b.spend();
  EXPECT_EQ(taken, 10);
  for (int i = 0; i < 7; ++i) b.earn();
  EXPECT_FALSE(b.available()) << "seven eighths of one";
  b.earn();
  EXPECT_TRUE(b.available());
  for (int i = 0; i < 100000; ++i) b.earn();
  for (taken = 0; b.available(); ++taken) b.spend();
  EXPECT_EQ(taken, 10) << "no more is saved";
  fleet_budget::ProbeBudget free(0, 0.01, 10);
  for (int i = 0; i < 100; ++i) free.spend();
  EXPECT_TRUE(free.available(1));
}

TEST(Places, ClientsAndHostsNeverHaveMoreThanAllAndEachItsPart) {
  for (const std::size_t all : {16U, 196U, 400U, 964U})
    for (std::size_t clients = 0; clients <= all * 3 / 4; clients += 3)
      for (std::size_t hosts = 0; hosts <= all / 2; hosts += 5) {
        const auto s = broker::split_connections(all, clients, hosts);
        ASSERT_GE(s.hosts, all / 4);
        ASSERT_LE(s.hosts, all / 2);
        ASSERT_GE(s.clients, all / 2);
        ASSERT_LE(s.clients + std::max(hosts, all / 4), all);
        ASSERT_LE(std::min(clients, s.clients) + s.hosts, all);  // what clients hold is never given to hosts
      }
  EXPECT_EQ(broker::split_connections(196, 10, 49).hosts, 98U);
  EXPECT_EQ(broker::split_connections(196, 147, 49).hosts, 49U);
}

/// With one place all groups have their turn, and nothing is refused for want of it.
TEST(Places, OnePlaceGoesToTheGroupsInTurn) {
  Settings s;
  s.probes_allowed = false;
  s.classes = {reference_deployment().classes[1].request_class};  // history: any host will do
  Router router(s);
  router.set_max_in_flight(1);
  std::vector<Action> out;
  std::uint64_t next = 1;
  Time now = 1s;
  router.handle(now, Started{}, out);
  MembersListed list;
  for (std::uint32_t i = 1; i <= 4; ++i)
    list.entries.push_back({HostId{i}, GroupId{i}, ZoneId{}, HostState::ready, true, 1, std::nullopt});
  router.handle(now, list, out);
  std::vector<Send> sent;
  const auto collect = [&] {
    for (const auto& a : out) {
      if (const auto* x = std::get_if<Send>(&a)) sent.push_back(*x);
      EXPECT_FALSE(std::holds_alternative<Refuse>(a) || std::holds_alternative<Fail>(a));
    }
    out.clear();
  };
  for (int i = 0; i < 3; ++i)
    for (int g = 1; g <= 4; ++g)
      router.handle(now, RequestArrived{RequestId{next++}, ClassId{0}, GroupId{g}, 1s, {}, {}}, out);
  collect();
  for (std::size_t i = 0; i < 12; ++i) {
    ASSERT_EQ(sent.size(), i + 1);  // one at a time, and the next at once
    now += 1ms;
    router.handle(now, AttemptEnded{sent[i].request, 0, sent[i].host, Outcome::ok, 1ms, true, {}, {}}, out);
    collect();
  }
  for (std::size_t i = 4; i < 12; ++i) EXPECT_EQ(sent[i].host, sent[i - 4].host);
}

TEST(AdaptiveConnectTimeout, FollowsWhatConnectionsTakeWithinItsBounds) {
  fleet_budget::AdaptiveConnectTimeout p;
  EXPECT_EQ(p.allowed(250ms), 250ms);  // nothing seen
  for (int i = 0; i < 50; ++i) p.took(2ms);
  EXPECT_EQ(p.allowed(250ms), Duration(250ms) / 8);
  p.gave_up(), p.gave_up(), p.gave_up();
  EXPECT_GE(p.allowed(250ms), Duration(250ms) / 8);
  for (int i = 0; i < 40; ++i) p.gave_up();
  EXPECT_EQ(p.allowed(250ms), 250ms);  // none comes up any more: they may all be slow
  p.took(2ms);
  EXPECT_EQ(p.allowed(250ms), Duration(250ms) / 8);
  for (int i = 0; i < 50; ++i) p.took(i % 2 == 0 ? 20ms : 60ms);  // slow ones and their spread
  EXPECT_GT(p.allowed(250ms), 80ms);
  EXPECT_LT(p.allowed(250ms), 200ms);
}

TEST(LagSteps, APastShareStaysBetweenTheDesignsAndTheStepBefore) {
  using fleet::StaleReadSuccessRate;
  EXPECT_EQ(fleet::lag_weight(99ms, 200ms), 1);
  EXPECT_EQ(fleet::lag_weight(100ms, 200ms), 0.5);
  StaleReadSuccessRate group{1}, other{1}, all{0.5};
  EXPECT_EQ(StaleReadSuccessRate::weight(group, all), StaleReadSuccessRate::least) << "nothing is known";
  for (int i = 0; i < 100; ++i) group.ended(true), all.ended(true);
  EXPECT_NEAR(StaleReadSuccessRate::weight(group, all), StaleReadSuccessRate::most, 0.01);
  for (int i = 0; i < 4; ++i) group.ended(false), all.ended(false);
  EXPECT_LT(StaleReadSuccessRate::weight(group, all), 0.1) << "four turned away in a row";
  for (int i = 0; i < 20; ++i) other.ended(true), all.ended(true);
  EXPECT_LT(StaleReadSuccessRate::weight(group, all), StaleReadSuccessRate::weight(other, all))
      << "others' answers do not hide a group";
  double last = StaleReadSuccessRate::weight(group, all);
  for (int i = 0; i < 50; ++i) {
    group.ended(true);
    EXPECT_GE(StaleReadSuccessRate::weight(group, all), last);
    last = StaleReadSuccessRate::weight(group, all);
  }
}

TEST(Outlier, OneFailureAfterLongQuietCountsForAllThatWasNotSeen) {
  fleet_budget::OutlierDetector busy({0.2, 3, 0.5}), quiet({0.2, 3, 0.5});
  Time now = 100s;
  EXPECT_FALSE(busy.failed(now, now, 1));
  EXPECT_FALSE(busy.failed(now, now, 1));
  EXPECT_FALSE(busy.failed(now, now, 1));
  EXPECT_TRUE(busy.failed(now, now, 1));
  EXPECT_TRUE(quiet.failed(now, 0s, 1));
  quiet.eject(now, 1s, 10s, 1);
  EXPECT_TRUE(quiet.ejected());
  EXPECT_FALSE(quiet.ready_for_trial(now + 999ms));
  EXPECT_TRUE(quiet.ready_for_trial(now + 1s));
  EXPECT_GT(quiet.failure_score(now + 1s), quiet.failure_score(now + 4s));  // the verdict fades
  quiet.answered(now + 5s, 0s);
  EXPECT_FALSE(quiet.ejected());
}

TEST(Fleet, ReadsStayOnReplicasThoughEachGatewayHearsLittleOfThem) {
  const auto r = simulate(fleet());
  const auto& desk_view = r.within[0];
  EXPECT_EQ(broken(r), 0U);
  EXPECT_GT(desk_view.requests, 1000U);
  // Of a load of a quarter the primaries could bear all: what counts is that they are not asked for it.
  EXPECT_GT(r.replica_reads, 0.8 * static_cast<double>(r.replica_reads + r.primary_reads));
}

/// A hundred routers in a plain loop, one group of one primary and three replicas, a clock of 10 ms. What
/// they call for and send is counted; hosts answer after 30 ms, but for those that the test takes out.
class Hundred {
 public:
  explicit Hundred(double price = 0.08) {
    for (std::uint32_t i = 0; i < 100; ++i) {
      Settings s;
      s.seed = i + 1, s.instance_index = i, s.instance_count = 100;
      s.discovery_mode = DiscoveryMode::poll;
      s.stale_read_policy = StaleReadPolicy::refuse;
      s.answers_carry_position = s.cancel_allowed = s.retry_after_allowed = s.late_refusal_costs = true;
      s.probe_cost = price;
      s.max_attempts = 6;
      RequestClass c;
      c.name = "history", c.latency_target = 150ms, c.deadline = 490ms, c.freshness = Freshness::any;
      s.classes = {c};
      nodes.push_back({std::make_unique<Router>(s), {}, {}});
    }
  }
  void start(std::uint32_t from, std::uint32_t to) {
    for (auto i = from; i < to; ++i) {
      give(i, Started{});
      MembersListed l;
      l.kind = ListKind::cached;
      for (std::uint32_t h = 1; h <= 4; ++h) {
        HostEntry e;
        e.host = HostId{h}, e.group = GroupId{1};
        l.entries.push_back(e);
      }
      give(i, l);
    }
  }
  /// `rate` requests a second at each router.
  void run(Duration length, double rate) {
    for (const auto end = now + length; now < end; now += 10ms)
      for (std::uint32_t i = 0; i < nodes.size(); ++i) {
        auto& due = nodes[i].due;
        while (!due.empty() && due.begin()->first <= now) {
          const auto e = due.begin()->second;
          due.erase(due.begin());
          give(i, e);
        }
        if (static_cast<double>(random() % 100000) < rate * 1000) {
          RequestArrived r;
          r.request = RequestId{++next}, r.class_id = ClassId{0}, r.group = GroupId{1}, r.time_left = 490ms;
          give(i, r);
        }
      }
  }
  void give(std::uint32_t i, const Event& event) {
    std::vector<Action> actions;
    nodes[i].router->handle(now, event, actions);
    for (const auto& a : actions) {
      auto& due = nodes[i].due;
      if (const auto* s = std::get_if<Send>(&a)) {
        sends.emplace_back(now, s->host.value);
        AttemptEnded e;
        e.request = s->request, e.host = s->host, e.attempt = nodes[i].tries[s->request.value]++;
        e.metadata.role = s->host.value == 1 ? Role::primary : Role::replica;
        e.metadata.position = now;
        const bool lost = s->host.value == silent;
        e.outcome = lost ? Outcome::timeout : Outcome::ok;
        e.elapsed = lost ? 490ms : 30ms;
        e.request_ended = true;
        due.emplace(now + e.elapsed, e);
      } else if (const auto* p = std::get_if<Probe>(&a)) {
        probes.emplace_back(now, p->host.value);
        ProbeEnded e;
        e.host = p->host, e.elapsed = 2ms, e.report.queue_length = 0;
        if (p->host.value == silent) e.outcome = Outcome::timeout, e.elapsed = 250ms, e.report = {};
        due.emplace(now + e.elapsed, e);
      } else if (const auto* t = std::get_if<SetTimer>(&a)) {
        due.emplace(std::max(t->due, now + 10ms), TimerFired{t->timer});
      } else if (std::holds_alternative<OpenWatch>(a)) {
        calls.push_back(now);
        if (random() % 2 == 0) due.emplace(now + 50ms, MembersListed{ListKind::failed, {}});
      }
    }
  }
  template <class Rows>
  static std::size_t most(const Rows& rows, Duration window) {
    std::size_t best = 0;
    for (std::size_t i = 0, k = 0; i < rows.size(); ++i) {
      while (rows[i] - rows[k] >= window) ++k;
      best = std::max(best, i - k + 1);
    }
    return best;
  }
  std::size_t to(std::uint32_t host, Time from) const {
    return static_cast<std::size_t>(std::count_if(
        sends.begin(), sends.end(), [&](const auto& s) { return s.second == host && s.first >= from; }));
  }
  struct Node {
    std::unique_ptr<Router> router;
    std::multimap<Time, Event> due;
    std::map<std::uint64_t, std::uint32_t> tries;
  };
  std::vector<Node> nodes;
  std::vector<std::pair<Time, std::uint32_t>> sends, probes;
  std::vector<Time> calls;
  Time now = 100s;
  std::uint32_t silent = 0;
  std::uint64_t next = 0;
  std::mt19937_64 random{5};
};

TEST(Fleet, SeventyThatStartTogetherSpreadTheirCallsForTheListThoughHalfFail) {
  Hundred f;
  f.start(0, 30);
  f.run(3s, 0);
  f.calls.clear();
  const auto killed = f.now;
  f.start(30, 100);
  f.run(10s, 0);
  ASSERT_GE(f.calls.size(), 70U);
  EXPECT_LE(f.calls.size(), 200U) << "a call that fails is repeated once, and half of those again";
  EXPECT_LE(Hundred::most(f.calls, 100ms), 20U);
  EXPECT_LT(f.calls.back() - killed, Time(10s));
}

TEST(Fleet, WhatIsToldDrainingOrGoneGetsNothingMoreFromAnyOfThem) {
  for (const auto state : {HostState::draining, HostState::gone}) {
    Hundred f;
    f.start(0, 100);
    f.run(3s, 3);
    ASSERT_GT(f.to(2, Time(100s)), 20U);
    MembersListed l;
    l.kind = ListKind::delta;
    HostEntry e;
    e.host = HostId{2}, e.group = GroupId{1}, e.state = state;
    l.entries.push_back(e);
    const auto told = f.now;
    for (std::uint32_t i = 0; i < 100; ++i) f.give(i, l);
    f.run(5s, 3);
    EXPECT_EQ(f.to(2, told), 0U);
    EXPECT_GT(f.to(3, told), 100U);
  }
}

TEST(Fleet, ASilentHostIsNeitherAskedNorTriedByAllTheTime) {
  Hundred f;
  f.start(0, 100);
  f.run(5s, 2);
  f.silent = 3;
  f.probes.clear();
  f.run(5s, 2);  // each gateway meets it once
  const auto from = f.now;
  f.run(10s, 2);
  std::vector<Time> asked;
  for (const auto& [at, host] : f.probes)
    if (host == 3) asked.push_back(at);
  EXPECT_LE(Hundred::most(asked, 1s), 120U) << "probes of it by a hundred routers";
  const auto all = static_cast<double>(f.sends.size());
  ASSERT_GT(all, 1000);
  // A host in four would have a quarter of 2,000 requests.
  EXPECT_LE(f.to(3, from), 160U);
  f.silent = 0;
  f.run(20s, 2);
  const auto back = f.now;
  f.run(5s, 2);
  EXPECT_GE(f.to(3, back), 100U) << "it is found again";
}

}  // namespace
}  // namespace cedarring::test
