// Tests of many gateways that share hosts: each gateway sees a hundredth of the traffic, while the hosts bear
// the load, probes and connections of all of them.
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
#include "tools/lab/simulation.h"

namespace cedarring::test {
namespace {

using namespace lab;
using namespace std::chrono_literals;

/// A large fleet, scaled down: 100 gateways, 14 groups of 4 hosts, about three requests per second at each
/// gateway.
SimulationConfig large_fleet() {
  auto config = reference_deployment();
  config.gateways = 100;
  config.groups = 14;
  config.hosts_per_group = 4;
  config.load = 0.25;
  config.duration = 8s;
  config.warm_up = 2s;
  return config;
}

/// Violations of the guarantees that must hold in every run.
std::uint64_t violations(const SimulationResult& result) {
  return result.overlapping_attempts + result.excess_attempts + result.unanswered + result.late_answers;
}

TEST(Fleet, ProbesCostAtMostTheirShareOfTheRequestsValue) {
  auto config = large_fleet();
  for (const double probe_cost : {0.08, 0.32}) {
    config.probe_cost = probe_cost;
    const auto result = simulate(config);
    ASSERT_GT(result.requests, 1000U);
    EXPECT_EQ(violations(result), 0U);
    // One percent of the requests' value, and the initial balance of each gateway.
    const double max_probes = 0.01 / probe_cost * static_cast<double>(result.requests) + 10 * config.gateways;
    EXPECT_LE(static_cast<double>(result.probes), max_probes) << probe_cost;
    for (std::size_t class_index = 0; class_index < config.classes.size(); ++class_index)
      EXPECT_GT(result.in_time_share(class_index), 0.9) << probe_cost << ' ' << class_index;
  }
}

TEST(ProbeBudget, RequestsEarnProbesUpToTheMaximumAndReservedTokensRemain) {
  fleet::ProbeBudget budget(0.08, 0.01, 10);
  int spent = 0;
  for (; budget.available(0.5); ++spent) budget.spend();
  EXPECT_EQ(spent, 5) << "half of the tokens is reserved";
  for (; budget.available(); ++spent) budget.spend();
  EXPECT_EQ(spent, 10);
  for (int i = 0; i < 7; ++i) budget.earn();
  EXPECT_FALSE(budget.available()) << "seven eighths of a token";
  budget.earn();
  EXPECT_TRUE(budget.available());
  for (int i = 0; i < 100000; ++i) budget.earn();
  for (spent = 0; budget.available(); ++spent) budget.spend();
  EXPECT_EQ(spent, 10) << "the balance is limited";
  fleet::ProbeBudget free_probes(0, 0.01, 10);
  for (int i = 0; i < 100; ++i) free_probes.spend();
  EXPECT_TRUE(free_probes.available(1));
}

TEST(ConnectionSplit, SharesOfClientsAndHostsNeverExceedTheTotal) {
  for (const std::size_t total : {16U, 196U, 400U, 964U})
    for (std::size_t clients = 0; clients <= total * 3 / 4; clients += 3)
      for (std::size_t hosts = 0; hosts <= total / 2; hosts += 5) {
        const auto split = broker::split_connections(total, clients, hosts);
        ASSERT_GE(split.hosts, total / 4);
        ASSERT_LE(split.hosts, total / 2);
        ASSERT_GE(split.clients, total / 2);
        ASSERT_LE(split.clients + std::max(hosts, total / 4), total);
        // Connections that clients hold are never given to hosts.
        ASSERT_LE(std::min(clients, split.clients) + split.hosts, total);
      }
  EXPECT_EQ(broker::split_connections(196, 10, 49).hosts, 98U);
  EXPECT_EQ(broker::split_connections(196, 147, 49).hosts, 49U);
}

/// Guards against starvation of groups when a single attempt may be in flight, and against refusals because
/// of that limit.
TEST(MaxInFlight, LimitOfOneServesAllGroupsInTurn) {
  Settings settings;
  settings.probes_allowed = false;
  settings.classes = {reference_deployment().classes[1].request_class};  // history, which any host can serve
  Router router(settings);
  router.set_max_in_flight(1);
  std::vector<Action> actions;
  std::uint64_t next_request = 1;
  Time now = 1s;
  router.handle(now, Started{}, actions);
  MembersListed list;
  for (std::uint32_t i = 1; i <= 4; ++i)
    list.entries.push_back({HostId{i}, GroupId{i}, ZoneId{}, HostState::ready, true, 1, std::nullopt});
  router.handle(now, list, actions);
  std::vector<Send> sent;
  const auto collect_sends = [&] {
    for (const auto& action : actions) {
      if (const auto* send = std::get_if<Send>(&action)) sent.push_back(*send);
      EXPECT_FALSE(std::holds_alternative<Refuse>(action) || std::holds_alternative<Fail>(action));
    }
    actions.clear();
  };
  for (int i = 0; i < 3; ++i)
    for (int group = 1; group <= 4; ++group)
      router.handle(now, RequestArrived{RequestId{next_request++}, ClassId{0}, GroupId{group}, 1s, {}, {}},
                    actions);
  collect_sends();
  for (std::size_t i = 0; i < 12; ++i) {
    ASSERT_EQ(sent.size(), i + 1);  // one in flight, and the next is sent as soon as it ends
    now += 1ms;
    router.handle(now, AttemptEnded{sent[i].request, 0, sent[i].host, Outcome::ok, 1ms, true, {}, {}},
                  actions);
    collect_sends();
  }
  for (std::size_t i = 4; i < 12; ++i) EXPECT_EQ(sent[i].host, sent[i - 4].host);
}

TEST(AdaptiveConnectTimeout, FollowsConnectTimesWithinItsBounds) {
  fleet::AdaptiveConnectTimeout timeout;
  EXPECT_EQ(timeout.timeout(250ms), 250ms);  // no connection yet
  for (int i = 0; i < 50; ++i) timeout.connected(2ms);
  EXPECT_EQ(timeout.timeout(250ms), Duration(250ms) / 8);
  timeout.timed_out();
  timeout.timed_out();
  timeout.timed_out();
  EXPECT_GE(timeout.timeout(250ms), Duration(250ms) / 8);
  for (int i = 0; i < 40; ++i) timeout.timed_out();
  EXPECT_EQ(timeout.timeout(250ms), 250ms);  // every attempt times out: all connections may be slow
  timeout.connected(2ms);
  EXPECT_EQ(timeout.timeout(250ms), Duration(250ms) / 8);
  for (int i = 0; i < 50; ++i) timeout.connected(i % 2 == 0 ? 20ms : 60ms);  // slow, and with a deviation
  EXPECT_GT(timeout.timeout(250ms), 80ms);
  EXPECT_LT(timeout.timeout(250ms), 200ms);
}

TEST(StaleReadSuccessRate, WeightStaysWithinItsBoundsAndFollowsTheGroup) {
  using fleet::StaleReadSuccessRate;
  EXPECT_EQ(fleet::lag_weight(99ms, 200ms), 1);
  EXPECT_EQ(fleet::lag_weight(100ms, 200ms), 0.5);
  StaleReadSuccessRate group{1};
  StaleReadSuccessRate other{1};
  StaleReadSuccessRate all{0.5};
  EXPECT_EQ(StaleReadSuccessRate::weight(group, all), StaleReadSuccessRate::min_weight) << "no reads yet";
  for (int i = 0; i < 100; ++i) {
    group.record(true);
    all.record(true);
  }
  EXPECT_NEAR(StaleReadSuccessRate::weight(group, all), StaleReadSuccessRate::max_weight, 0.01);
  for (int i = 0; i < 4; ++i) {
    group.record(false);
    all.record(false);
  }
  EXPECT_LT(StaleReadSuccessRate::weight(group, all), 0.1) << "four rejected reads in a row";
  for (int i = 0; i < 20; ++i) {
    other.record(true);
    all.record(true);
  }
  EXPECT_LT(StaleReadSuccessRate::weight(group, all), StaleReadSuccessRate::weight(other, all))
      << "answers of other groups must not hide a lagging group";
  double last_weight = StaleReadSuccessRate::weight(group, all);
  for (int i = 0; i < 50; ++i) {
    group.record(true);
    EXPECT_GE(StaleReadSuccessRate::weight(group, all), last_weight);
    last_weight = StaleReadSuccessRate::weight(group, all);
  }
}

TEST(OutlierDetector, SingleFailureAfterLongPauseEjectsAtOnce) {
  fleet::OutlierDetector busy({0.2, 3, 0.5});
  fleet::OutlierDetector quiet({0.2, 3, 0.5});
  Time now = 100s;
  EXPECT_FALSE(busy.record_failure(now, now, 1));
  EXPECT_FALSE(busy.record_failure(now, now, 1));
  EXPECT_FALSE(busy.record_failure(now, now, 1));
  EXPECT_TRUE(busy.record_failure(now, now, 1));
  EXPECT_TRUE(quiet.record_failure(now, 0s, 1));
  quiet.eject(now, 1s, 10s, 1);
  EXPECT_TRUE(quiet.ejected());
  EXPECT_FALSE(quiet.ready_for_trial(now + 999ms));
  EXPECT_TRUE(quiet.ready_for_trial(now + 1s));
  EXPECT_GT(quiet.decayed_failure_score(now + 1s),
            quiet.decayed_failure_score(now + 4s));  // decays after the ejection
  quiet.record_success(now + 5s, 0s);
  EXPECT_FALSE(quiet.ejected());
}

TEST(Fleet, ReadsStayOnReplicasThoughEachGatewaySeldomLearnsTheirPosition) {
  const auto result = simulate(large_fleet());
  EXPECT_EQ(violations(result), 0U);
  EXPECT_GT(result.within[0].requests, 1000U);  // desk-view, the first class
  // At a quarter of full load the primaries could serve every read; reads must go to the replicas all the
  // same.
  EXPECT_GT(result.replica_reads, 0.8 * static_cast<double>(result.replica_reads + result.primary_reads));
}

/// A hundred routers in a plain loop with 10 ms ticks, and one group of a primary (host 1) and three replicas
/// (hosts 2 to 4). Records the routers' sends, probes and list requests. Hosts answer after 30 ms, except one
/// that the test makes silent.
class HundredRouters {
 public:
  static constexpr std::uint32_t router_count = 100;
  static constexpr std::uint32_t host_count = 4;
  static constexpr Duration tick = 10ms;
  static constexpr Duration deadline = 490ms;
  explicit HundredRouters(double probe_cost = 0.08) {
    for (std::uint32_t i = 0; i < router_count; ++i) {
      Settings settings;
      settings.seed = i + 1;
      settings.instance_index = i;
      settings.instance_count = router_count;
      settings.discovery_mode = DiscoveryMode::poll;
      settings.stale_read_policy = StaleReadPolicy::refuse;
      settings.answers_carry_position = true;
      settings.cancel_allowed = true;
      settings.retry_after_allowed = true;
      settings.late_refusal_costs = true;
      settings.probe_cost = probe_cost;
      settings.max_attempts = 6;
      RequestClass history;
      history.name = "history";
      history.latency_target = 150ms;
      history.deadline = deadline;
      history.freshness = Freshness::any;
      settings.classes = {history};
      nodes.push_back({std::make_unique<Router>(settings), {}, {}});
    }
  }
  /// Starts the routers from `first` up to, not including, `end`.
  void start(std::uint32_t first, std::uint32_t end) {
    for (auto router = first; router < end; ++router) {
      deliver(router, Started{});
      MembersListed list;
      list.kind = ListKind::cached;
      for (std::uint32_t host = 1; host <= host_count; ++host) {
        HostEntry entry;
        entry.host = HostId{host};
        entry.group = GroupId{1};
        list.entries.push_back(entry);
      }
      deliver(router, list);
    }
  }
  /// Runs for `length` with `rate` requests per second at each router.
  void run(Duration length, double rate) {
    for (const auto end = now + length; now < end; now += tick)
      for (std::uint32_t router = 0; router < nodes.size(); ++router) {
        auto& due = nodes[router].due;
        while (!due.empty() && due.begin()->first <= now) {
          const auto event = due.begin()->second;
          due.erase(due.begin());
          deliver(router, event);
        }
        // With 100 ticks in a second, a request arrives in a tick with a probability of rate / 100.
        if (static_cast<double>(random() % 100000) < rate * 1000) {
          RequestArrived request;
          request.request = RequestId{++last_request};
          request.class_id = ClassId{0};
          request.group = GroupId{1};
          request.time_left = deadline;
          deliver(router, request);
        }
      }
  }
  /// Passes an event to a router and schedules the results of its actions.
  void deliver(std::uint32_t router, const Event& event) {
    Node& node = nodes[router];
    std::vector<Action> actions;
    node.router->handle(now, event, actions);
    for (const auto& action : actions) {
      auto& due = node.due;
      if (const auto* send = std::get_if<Send>(&action)) {
        sends.emplace_back(now, send->host.value);
        AttemptEnded ended;
        ended.request = send->request;
        ended.host = send->host;
        ended.attempt = node.attempts[send->request.value]++;
        ended.metadata.role = send->host.value == 1 ? Role::primary : Role::replica;
        ended.metadata.position = now;
        const bool silent = send->host.value == silent_host;
        ended.outcome = silent ? Outcome::timeout : Outcome::ok;
        ended.elapsed = silent ? deadline : Duration(30ms);
        ended.request_ended = true;
        due.emplace(now + ended.elapsed, ended);
      } else if (const auto* probe = std::get_if<Probe>(&action)) {
        probes.emplace_back(now, probe->host.value);
        ProbeEnded ended;
        ended.host = probe->host;
        ended.elapsed = 2ms;
        ended.report.queue_length = 0;
        if (probe->host.value == silent_host) {
          ended.outcome = Outcome::timeout;
          ended.elapsed = 250ms;
          ended.report = {};
        }
        due.emplace(now + ended.elapsed, ended);
      } else if (const auto* timer = std::get_if<SetTimer>(&action)) {
        due.emplace(std::max(timer->due, now + tick), TimerFired{timer->timer});
      } else if (std::holds_alternative<OpenWatch>(action)) {
        list_requests.push_back(now);
        if (random() % 2 == 0) due.emplace(now + 50ms, MembersListed{ListKind::failed, {}});
      }
    }
  }
  /// The largest number of the times, which are sorted, that lie within a window of the given length.
  template <class Times>
  static std::size_t max_within(const Times& times, Duration window) {
    std::size_t largest = 0;
    for (std::size_t i = 0, first = 0; i < times.size(); ++i) {
      while (times[i] - times[first] >= window) ++first;
      largest = std::max(largest, i - first + 1);
    }
    return largest;
  }
  /// Number of sends to a host since `from`.
  std::size_t sends_to(std::uint32_t host, Time from) const {
    return static_cast<std::size_t>(std::count_if(
        sends.begin(), sends.end(),
        [&](const auto& send) { return send.second == host && send.first >= from; }));
  }
  /// A router, the events that it is to get, and its attempts.
  struct Node {
    std::unique_ptr<Router> router;
    std::multimap<Time, Event> due;
    std::map<std::uint64_t, std::uint32_t> attempts;  // by request
  };
  std::vector<Node> nodes;
  std::vector<std::pair<Time, std::uint32_t>> sends;   // time and host
  std::vector<std::pair<Time, std::uint32_t>> probes;  // time and host
  std::vector<Time> list_requests;                     // times of OpenWatch; half of these requests fail
  Time now = 100s;
  std::uint32_t silent_host = 0;  // 0: none
  std::uint64_t last_request = 0;
  std::mt19937_64 random{5};
};

TEST(Fleet, SimultaneousStartOfSeventyRoutersSpreadsListRequestsThoughHalfFail) {
  HundredRouters routers;
  routers.start(0, 30);
  routers.run(3s, 0);
  routers.list_requests.clear();
  const auto started_at = routers.now;
  routers.start(30, HundredRouters::router_count);
  routers.run(10s, 0);
  ASSERT_GE(routers.list_requests.size(), 70U);
  EXPECT_LE(routers.list_requests.size(), 200U)
      << "a failed request is repeated once, and half of the repeats fail again";
  EXPECT_LE(HundredRouters::max_within(routers.list_requests, 100ms), 20U);
  EXPECT_LT(routers.list_requests.back() - started_at, Time(10s));
}

TEST(Fleet, DrainingOrRemovedHostGetsNoMoreRequestsFromAnyRouter) {
  for (const auto state : {HostState::draining, HostState::gone}) {
    HundredRouters routers;
    routers.start(0, HundredRouters::router_count);
    routers.run(3s, 3);
    ASSERT_GT(routers.sends_to(2, Time(100s)), 20U);
    MembersListed list;
    list.kind = ListKind::delta;
    HostEntry entry;
    entry.host = HostId{2};
    entry.group = GroupId{1};
    entry.state = state;
    list.entries.push_back(entry);
    const auto listed_at = routers.now;
    for (std::uint32_t router = 0; router < HundredRouters::router_count; ++router)
      routers.deliver(router, list);
    routers.run(5s, 3);
    EXPECT_EQ(routers.sends_to(2, listed_at), 0U);
    EXPECT_GT(routers.sends_to(3, listed_at), 100U);
  }
}

TEST(Fleet, SilentHostGetsFewProbesAndRequestsAndIsFoundAgain) {
  HundredRouters routers;
  routers.start(0, HundredRouters::router_count);
  routers.run(5s, 2);
  routers.silent_host = 3;
  routers.probes.clear();
  routers.run(5s, 2);  // time for each router to detect it
  const auto detected_at = routers.now;
  routers.run(10s, 2);
  std::vector<Time> probe_times;
  for (const auto& [at, host] : routers.probes)
    if (host == 3) probe_times.push_back(at);
  EXPECT_LE(HundredRouters::max_within(probe_times, 1s), 120U) << "probes of a hundred routers";
  const auto total_sends = static_cast<double>(routers.sends.size());
  ASSERT_GT(total_sends, 1000);
  // A healthy host, one of four, would get a quarter of 2,000 requests.
  EXPECT_LE(routers.sends_to(3, detected_at), 160U);
  routers.silent_host = 0;
  routers.run(20s, 2);
  const auto recovered_at = routers.now;
  routers.run(5s, 2);
  EXPECT_GE(routers.sends_to(3, recovered_at), 100U) << "the host is used again";
}

}  // namespace
}  // namespace cedarring::test
