// Tests of the router by single events. Host 1 is the primary of group 1 unless a test says otherwise.
#include "cedarring/router.h"

#include <gtest/gtest.h>

#include <algorithm>
#include <map>
#include <memory>
#include <random>
#include <set>
#include <stdexcept>

namespace cedarring {
namespace {

using namespace std::chrono_literals;

// Indices into the classes of make_settings().
constexpr ClassId bounded{0};
constexpr ClassId session{1};
constexpr ClassId any{2};
constexpr ClassId fresh{3};
constexpr ClassId write{4};
constexpr ClassId keyed{5};

/// A request class with a latency target of 500 ms and a deadline of 2 s.
RequestClass make_class(const char* name, Freshness freshness, Idempotency idempotency = Idempotency::safe) {
  RequestClass request_class;
  request_class.name = name;
  request_class.latency_target = 500ms;
  request_class.deadline = 2s;
  request_class.freshness = freshness;
  request_class.idempotency = idempotency;
  request_class.staleness_bound = freshness == Freshness::bounded ? Duration(1s) : Duration(0);
  request_class.dedup_window = idempotency == Idempotency::keyed ? Duration(1200ms) : Duration(0);
  request_class.dedup_scope = idempotency == Idempotency::keyed ? DedupScope::group : DedupScope::all;
  return request_class;
}

/// Settings of a single router with one class for each kind of consistency and idempotency.
Settings make_settings() {
  Settings settings;
  settings.seed = 7;
  settings.cancel_allowed = true;
  settings.retry_after_allowed = true;
  settings.warm_up_duration = 10s;
  settings.cold_capacity_share = 0.2;
  settings.classes = {make_class("bounded", Freshness::bounded),
                      make_class("session", Freshness::session),
                      make_class("any", Freshness::any),
                      make_class("fresh", Freshness::fresh),
                      make_class("write", Freshness::write, Idempotency::unsafe),
                      make_class("keyed", Freshness::write, Idempotency::keyed)};
  return settings;
}

/// A router with one group of hosts, numbered from 1. Passes events to the router and records its actions.
class Harness {
 public:
  explicit Harness(Settings settings = make_settings(), std::uint32_t hosts = 3, Time start = 100s)
      : now(start), router_(std::move(settings)) {
    handle(Started{});
    std::vector<HostEntry> entries;
    for (std::uint32_t i = 1; i <= hosts; ++i) entries.push_back(entry(i));
    list_hosts(ListKind::cached, entries);
  }
  /// The member list's entry of a host of group 1.
  static HostEntry entry(std::uint32_t id, HostState state = HostState::ready) {
    HostEntry host_entry;
    host_entry.host = HostId{id};
    host_entry.group = GroupId{1};
    host_entry.state = state;
    return host_entry;
  }
  /// Passes an event to the router and records the resulting actions.
  void handle(const Event& event) {
    std::vector<Action> actions;
    router_.handle(now, event, actions);
    for (const auto& action : actions) {
      if (const auto* send = std::get_if<Send>(&action)) {
        sends.push_back(*send);
        last_host[send->request.value] = send->host.value;
        ++attempts[send->request.value];
      } else if (const auto* cancel = std::get_if<Cancel>(&action)) {
        cancels.push_back(*cancel);
      } else if (const auto* refuse = std::get_if<Refuse>(&action)) {
        refused[refuse->request.value] = refuse->retry_after;
      } else if (const auto* fail = std::get_if<Fail>(&action)) {
        failed.insert(fail->request.value);
      } else if (const auto* probe = std::get_if<Probe>(&action)) {
        probed_hosts.push_back(probe->host.value);
      } else if (const auto* set_timer = std::get_if<SetTimer>(&action)) {
        timer = *set_timer;
      } else if (std::holds_alternative<OpenWatch>(action)) {
        watch_times.push_back(now);
      }
    }
  }
  void list_hosts(ListKind kind, std::vector<HostEntry> entries) {
    handle(MembersListed{kind, std::move(entries)});
  }
  /// Passes a probe's answer to the router: the host's position, whether it is the primary, its queue length.
  void answer_probe(std::uint32_t host, Time position, bool primary, std::optional<double> queue = {}) {
    ProbeEnded event;
    event.host = HostId{host};
    event.report.position = position;
    event.report.queue_length = queue;
    event.report.role = primary ? Role::primary : Role::replica;
    handle(event);
  }
  /// Passes a client's request to the router and returns its id.
  std::uint64_t submit(ClassId class_id, std::optional<std::uint64_t> session_key = {},
                       Duration time_left = 2s, std::optional<Duration> token_age = {}) {
    RequestArrived event;
    event.request = RequestId{++last_request};
    event.class_id = class_id;
    event.group = GroupId{1};
    event.time_left = time_left;
    if (session_key) event.session = SessionId{*session_key};
    event.token_age = token_age;
    handle(event);
    return last_request;
  }
  /// Ends the request's last attempt, and the request too if `request_ended` or if the outcome is ok.
  void end_attempt(std::uint64_t request, Outcome outcome, AnswerMetadata metadata = {},
                   bool request_ended = false, bool unconfirmed = false) {
    AttemptEnded event;
    event.request = RequestId{request};
    event.attempt = attempts[request] - 1;
    event.host = HostId{last_host[request]};
    event.outcome = outcome;
    event.metadata = metadata;
    event.request_ended = request_ended || outcome == Outcome::ok;
    event.unconfirmed = unconfirmed;
    handle(event);
  }
  /// Ends the request's last attempt, which its host may still read.
  void end_unconfirmed(std::uint64_t request, Outcome outcome) {
    end_attempt(request, outcome, {}, false, true);
  }
  /// The due time of a timer that is not set.
  static constexpr Time no_timer = Time::max();
  /// Advances the clock and fires the router's timer whenever it is due.
  void advance(Duration duration) {
    const auto until = now + duration;
    while (timer.due <= until) {
      now = std::max(now, timer.due);
      const auto fired = timer.timer;
      timer.due = no_timer;
      handle(TimerFired{fired});
    }
    now = until;
  }
  [[nodiscard]] bool was_sent(std::uint64_t request) const { return last_host.count(request) > 0; }
  [[nodiscard]] std::size_t entry_count() const { return router_.entry_count(); }
  /// Submits a request, allows time for the probes that it may need first, and returns the host to which it
  /// was sent, or 0.
  std::uint32_t route(ClassId class_id, std::optional<std::uint64_t> session_key = {},
                      std::optional<Duration> token_age = {}) {
    const auto request = submit(class_id, session_key, 2s, token_age);
    advance(60ms);
    return was_sent(request) ? last_host[request] : 0;
  }
  /// Submits `count` reads of a class, ends each at once, and returns their number by host; 0: not sent.
  std::map<std::uint32_t, int> count_by_host(ClassId class_id, int count) {
    std::map<std::uint32_t, int> counts;
    for (int i = 0; i < count; ++i) {
      const auto request = submit(class_id);
      if (!was_sent(request)) {
        ++counts[0];
        continue;
      }
      ++counts[last_host[request]];
      end_attempt(request, Outcome::cancelled, {}, true);
    }
    return counts;
  }

  Time now;
  std::vector<Send> sends;
  std::vector<Cancel> cancels;
  std::map<std::uint64_t, Duration> refused;  // retry pause by request
  std::set<std::uint64_t> failed;             // requests
  std::vector<std::uint32_t> probed_hosts;    // in the order of the probes
  std::vector<Time> watch_times;
  SetTimer timer;
  std::map<std::uint64_t, std::uint32_t> last_host;  // by request
  std::map<std::uint64_t, std::uint32_t> attempts;   // by request
  std::uint64_t last_request = 0;

 private:
  Router router_;
};

// ---- replica selection --------------------------------------------------------------------------

TEST(ReplicaSelection, WeightIsFullBelowHalfTheStalenessBoundHalfUpToItAndZeroBeyond) {
  Harness harness;
  harness.answer_probe(1, harness.now, true);
  harness.answer_probe(2, harness.now - 499ms, false);
  harness.answer_probe(3, harness.now - 500ms, false);
  auto counts = harness.count_by_host(bounded, 3000);
  EXPECT_EQ(counts[1], 0);
  EXPECT_NEAR(counts[2], 2000, 120);  // a weight of 1 beside 0.5
  harness.now += 501ms;               // now host 2 lags by 1000 ms, host 3 by 1001 ms
  harness.answer_probe(1, harness.now, true);
  counts = harness.count_by_host(bounded, 100);
  EXPECT_EQ(counts[2], 100);
}

TEST(ReplicaSelection, PositionsThatRegressOrLieInTheFutureAreIgnored) {
  Harness harness;
  harness.answer_probe(1, harness.now, true);
  harness.answer_probe(2, harness.now - 100ms, false);
  harness.answer_probe(2, harness.now - 5s, false);
  harness.answer_probe(3, harness.now + 1s, false);
  EXPECT_EQ(harness.count_by_host(bounded, 50)[2], 50);
}

TEST(ReplicaSelection, PositionInAnAnswerMakesTheReplicaEligible) {
  Harness harness;
  harness.answer_probe(1, harness.now, true);
  const auto request = harness.submit(any);
  const auto host = harness.last_host[request];
  harness.end_attempt(request, Outcome::ok, AnswerMetadata{Role::replica, harness.now});
  EXPECT_EQ(harness.count_by_host(bounded, 50)[host], 50);
}

TEST(ReplicaSelection, SessionReadGoesToAHostThatHasTheSessionsWrite) {
  Harness harness;
  harness.answer_probe(1, harness.now, true);
  harness.answer_probe(2, harness.now - 10ms, false);
  harness.answer_probe(3, harness.now - 10ms, false);
  const auto write_request = harness.submit(write, 9);
  ASSERT_EQ(harness.last_host[write_request], 1U);
  harness.end_attempt(write_request, Outcome::ok, AnswerMetadata{Role::primary, harness.now});
  const auto commit = harness.now;
  EXPECT_EQ(harness.route(session, 9), 1U);
  EXPECT_NE(harness.route(session, 8), 1U);
  harness.now += 300ms;
  harness.answer_probe(1, harness.now, true);
  harness.answer_probe(3, commit, false);
  EXPECT_EQ(harness.last_host[harness.submit(session, 9)], 3U);
}

TEST(ReplicaSelection, TokenAgeSetsThePositionThatASessionReadRequires) {
  auto settings = make_settings();
  settings.token_mode = TokenMode::carried;
  Harness harness(settings);
  harness.answer_probe(1, harness.now, true);
  harness.answer_probe(2, harness.now - 100ms, false);
  EXPECT_EQ(harness.last_host[harness.submit(session, 9, 2s, 250ms)], 2U);
  EXPECT_EQ(harness.route(session, 9, 50ms), 1U);
  EXPECT_NE(harness.route(session, 9, 0ms), 1U) << "no write in the session: any replica may answer";
}

TEST(ReplicaSelection, SessionReadAfterItsWriteWasForgottenGoesToThePrimary) {
  Harness harness;
  harness.answer_probe(1, harness.now, true);
  harness.answer_probe(2, harness.now, false);
  const auto write_request = harness.submit(write, 9);
  harness.end_attempt(write_request, Outcome::ok, AnswerMetadata{Role::primary, harness.now + 1us});
  const auto entries_before = harness.entry_count();
  harness.advance(120s);
  harness.end_attempt(harness.submit(any), Outcome::ok);
  EXPECT_LT(harness.entry_count(), entries_before);
  harness.answer_probe(1, harness.now, true);
  EXPECT_EQ(harness.route(session, 9), 1U) << "no replica is known to have reached the forgotten write";
}

TEST(ReplicaSelection, ReadsOfAnyStalenessUseReplicasOfUnknownPosition) {
  Harness harness;
  harness.answer_probe(1, harness.now, true);
  const auto counts = harness.count_by_host(any, 200);
  EXPECT_EQ(counts.count(1), 0U);
  EXPECT_GT(counts.at(2), 50);
  EXPECT_GT(counts.at(3), 50);
}

// ---- fallback to the primary and stale replicas -------------------------------------------------

TEST(PrimaryFallback, BoundedReadWithoutEligibleReplicaGoesToThePrimaryAfterAProbe) {
  Harness harness;
  harness.answer_probe(1, harness.now, true);
  harness.answer_probe(2, harness.now - 1001ms, false);
  EXPECT_EQ(harness.route(bounded), 1U) << "after a probe without an answer";
  EXPECT_GE(harness.probed_hosts.size(), 1U);
}

TEST(PrimaryFallback, FallbackReadsLeaveThePrimaryCapacityForWrites) {
  Harness harness;
  harness.answer_probe(1, harness.now, true);
  std::vector<std::uint64_t> reads;
  for (int i = 0; i < 40; ++i) reads.push_back(harness.submit(bounded));
  EXPECT_FALSE(harness.was_sent(reads.back()));
  EXPECT_TRUE(harness.was_sent(harness.submit(write, 1)));
}

TEST(StaleReplicas, GetASmallShareOfReadsAndARefusedReadIsRetriedAtThePrimary) {
  auto settings = make_settings();
  settings.stale_read_policy = StaleReadPolicy::refuse;
  Harness harness(settings);
  harness.answer_probe(1, harness.now, true);
  harness.answer_probe(2, harness.now - 100ms, false);
  harness.answer_probe(3, harness.now - 1500ms, false);
  auto counts = harness.count_by_host(bounded, 2000);
  EXPECT_NEAR(counts[3], 95, 40);  // a weight of 0.05 beside 1
  const auto request = harness.submit(bounded);
  harness.end_attempt(request, Outcome::too_stale, AnswerMetadata{Role::replica, {}});
  EXPECT_EQ(harness.last_host[request], 1U);
}

/// One of hundreds of routers has old positions, so it takes most replicas for stale although they are not.
/// The success rate of the reads sent to such replicas corrects that.
TEST(StaleReplicas, ShareFollowsTheSuccessRateOfStaleReads) {
  auto settings = make_settings();
  settings.stale_read_policy = StaleReadPolicy::refuse;
  Harness harness(settings);
  const auto report_positions = [&](Duration lag) {
    harness.answer_probe(1, harness.now, true);
    harness.answer_probe(2, harness.now - 100ms, false);
    harness.answer_probe(3, harness.now - lag, false);
  };
  report_positions(1500ms);
  const auto share = [&] { return harness.count_by_host(bounded, 2000)[3] / 2000.0; };
  const auto end_stale_reads = [&](Outcome outcome) {  // of the reads sent to host 3
    for (int stale_reads = 0; stale_reads < 40;) {
      const auto request = harness.submit(bounded);
      const bool there = harness.last_host[request] == 3;
      stale_reads += there ? 1 : 0;
      // The answer has no position: the replica's known position does not change.
      harness.end_attempt(request, there ? outcome : Outcome::ok, AnswerMetadata{Role::replica, {}});
      if (there && outcome == Outcome::too_stale)
        harness.end_attempt(request, Outcome::ok, AnswerMetadata{Role::primary, {}});
    }
  };
  EXPECT_NEAR(share(), 0.048, 0.02);
  end_stale_reads(Outcome::ok);
  EXPECT_NEAR(share(), 0.33, 0.06) << "at most half the weight of a replica within the bound";
  end_stale_reads(Outcome::too_stale);
  EXPECT_NEAR(share(), 0.048, 0.02);
  end_stale_reads(Outcome::ok);
  // A replica that does not check reads must get no stale ones.
  settings.stale_read_policy = StaleReadPolicy::none;
  Harness unchecked(settings);
  unchecked.answer_probe(1, unchecked.now, true);
  unchecked.answer_probe(2, unchecked.now - 100ms, false);
  unchecked.answer_probe(3, unchecked.now - 1500ms, false);
  EXPECT_EQ(unchecked.count_by_host(bounded, 500)[3], 0);
}

TEST(StaleReplicas, MostCurrentReplicaIsTriedWhenNoneIsWithinTheBound) {
  auto settings = make_settings();
  settings.stale_read_policy = StaleReadPolicy::wait;
  Harness harness(settings);
  harness.answer_probe(1, harness.now, true);
  harness.answer_probe(2, harness.now - 3s, false);
  harness.answer_probe(3, harness.now - 2s, false);
  EXPECT_EQ(harness.last_host[harness.submit(bounded)], 3U);
}

/// Of replicas that reported at different times, the one that reported last would always seem the most
/// current, and each of many routers would send all its reads to one host. Where stale reads are answered,
/// the lag at the time of the report counts instead.
TEST(StaleReplicas, ReadsAreSpreadOverReplicasThatWereCurrentAtTheirLastReport) {
  auto settings = make_settings();
  settings.stale_read_policy = StaleReadPolicy::refuse;
  Harness harness(settings, 4);
  const auto report_positions = [&] {
    harness.answer_probe(1, harness.now, true);
    for (const std::uint32_t host : {2, 3}) {
      harness.answer_probe(host, harness.now - 10ms, false);
      harness.now += 20ms;
    }
    harness.answer_probe(4, harness.now - 900ms, false);  // lags although it reports last
    harness.now += 1100ms;                                // all are past the bound
  };
  report_positions();
  auto counts = harness.count_by_host(bounded, 300);
  EXPECT_EQ(counts[3], 300) << "no stale read was answered yet: chosen by known position";
  for (int i = 0; i < 60; ++i) {
    const auto request = harness.submit(bounded);
    harness.now += 100ms;  // all answers take the same time, so that latency makes no difference
    harness.end_attempt(request, Outcome::ok, AnswerMetadata{Role::replica, {}});
  }
  counts = harness.count_by_host(bounded, 1000);
  EXPECT_GT(counts[2], 300);
  EXPECT_GT(counts[3], 300);
  EXPECT_EQ(counts[2] + counts[3], 1000) << "none to the replica that lagged at its report";
  for (int i = 0; i < 12; ++i) {
    const auto request = harness.submit(bounded);
    harness.end_attempt(request, Outcome::too_stale, AnswerMetadata{Role::replica, {}});
    harness.end_attempt(request, Outcome::ok, AnswerMetadata{Role::primary, {}});
  }
  EXPECT_EQ(harness.count_by_host(bounded, 300)[3], 300)
      << "stale reads were refused: chosen by known position again";
}

// ---- the primary --------------------------------------------------------------------------------

TEST(Primary, RoleFollowsTheEvidenceThatWasTrueLast) {
  Harness harness;
  harness.answer_probe(1, harness.now, true);
  harness.answer_probe(2, harness.now - 200ms, true);  // an old report that arrives late
  EXPECT_EQ(harness.last_host[harness.submit(write, 1)], 1U);
  harness.now += 1s;
  harness.answer_probe(2, harness.now - 10ms, true);
  EXPECT_EQ(harness.last_host[harness.submit(write, 2)], 2U);
}

TEST(Primary, ReportOfAHostOverridesTheListedRole) {
  auto settings = make_settings();
  settings.listed_role = ListedRole::start;
  Harness harness(settings, 0);
  auto listed = Harness::entry(1);
  listed.listed_primary = true;
  harness.list_hosts(ListKind::full, {listed, Harness::entry(2)});
  EXPECT_EQ(harness.last_host[harness.submit(write, 1)], 1U);
  harness.answer_probe(2, harness.now, true);
  harness.list_hosts(ListKind::full, {listed, Harness::entry(2)});
  EXPECT_EQ(harness.last_host[harness.submit(write, 2)], 2U);
}

TEST(Primary, WriteRefusedByAFormerPrimaryIsSentToItsSuccessor) {
  Harness harness;
  harness.answer_probe(1, harness.now, true);
  const auto write_request = harness.submit(write, 1);
  harness.now += 20ms;
  harness.end_attempt(write_request, Outcome::too_stale, AnswerMetadata{Role::replica, {}});
  EXPECT_EQ(harness.attempts[write_request], 1U);
  harness.advance(150ms);
  EXPECT_FALSE(harness.probed_hosts.empty()) << "searches for the primary with probes";
  harness.answer_probe(2, harness.now, true);
  EXPECT_EQ(harness.last_host[write_request], 2U);
}

TEST(Primary, WritesWaitInOrderUntilAPrimaryIsKnown) {
  Harness harness;
  const auto first = harness.submit(write, 1);
  const auto second = harness.submit(write, 2);
  EXPECT_TRUE(harness.sends.empty());
  harness.answer_probe(1, harness.now, true);
  ASSERT_EQ(harness.sends.size(), 2U);
  EXPECT_EQ(harness.sends[0].request.value, first);
  EXPECT_EQ(harness.sends[1].request.value, second);
}

TEST(Primary, WriteIsHeldWhileThePrimaryIsUnresponsive) {
  Harness harness;
  harness.answer_probe(1, harness.now, true);
  EXPECT_TRUE(harness.was_sent(harness.submit(write, 1)));
  harness.advance(1200ms);
  EXPECT_FALSE(harness.was_sent(harness.submit(write, 2)));
}

TEST(Primary, WriteMovesToTheSuccessorAfterProbesWereLost) {
  Harness harness;
  harness.answer_probe(1, harness.now, true);
  for (int i = 0; i < 2; ++i) harness.handle(ProbeEnded{HostId{1}, Outcome::connect_failed, 250ms, {}});
  EXPECT_FALSE(harness.was_sent(harness.submit(write, 1)));
  harness.now += 10ms;
  harness.answer_probe(2, harness.now, true);
  EXPECT_EQ(harness.last_host[harness.last_request], 2U);
}

// ---- one final answer in time -------------------------------------------------------------------

TEST(FinalAnswer, WaitingRequestIsRefusedWithinItsTime) {
  Harness harness;
  const auto write_request = harness.submit(write, 1, 800ms);
  harness.advance(820ms);
  EXPECT_EQ(harness.refused.count(write_request), 1U);
  EXPECT_EQ(harness.failed.count(write_request), 0U);
}

// Guards against a timer that each arrival postpones, so that it never fires on a busy router.
TEST(FinalAnswer, TimerFiresAlthoughRequestsArriveAllTheTime) {
  Harness harness;
  const auto write_request = harness.submit(write, 1, 800ms);
  for (int i = 0; i < 400; ++i) {
    harness.now += 5ms;
    harness.submit(any);
    if (harness.now >= harness.timer.due) harness.handle(TimerFired{harness.timer.timer});
  }
  EXPECT_EQ(harness.refused.count(write_request), 1U);
}

TEST(FinalAnswer, NothingIsSentAfterTheClientHasLeft) {
  Harness harness;
  harness.answer_probe(1, harness.now, true);
  const auto request = harness.submit(any);
  harness.handle(ClientLeft{RequestId{request}});
  const auto sends = harness.sends.size();
  harness.end_attempt(request, Outcome::error);
  harness.advance(500ms);
  EXPECT_EQ(harness.sends.size(), sends);
  EXPECT_EQ(harness.refused.count(request) + harness.failed.count(request), 0U);
}

// ---- no effect twice ----------------------------------------------------------------------------

TEST(DuplicateExecution, UnsafeRequestThatMayHaveRunFailsWithoutRetry) {
  for (const auto outcome : {Outcome::error, Outcome::timeout, Outcome::reset, Outcome::cancelled}) {
    Harness harness;
    harness.answer_probe(1, harness.now, true);
    const auto write_request = harness.submit(write, 1);
    harness.end_attempt(write_request, outcome);
    EXPECT_EQ(harness.attempts[write_request], 1U);
    EXPECT_EQ(harness.failed.count(write_request), 1U);
    EXPECT_EQ(harness.refused.count(write_request), 0U);
  }
}

TEST(DuplicateExecution, UnsafeRequestThatDidNotRunIsRetried) {
  for (const auto outcome : {Outcome::full, Outcome::connect_failed, Outcome::not_sent}) {
    Harness harness;
    harness.answer_probe(1, harness.now, true);
    for (int i = 0; i < 12; ++i)
      harness.end_attempt(harness.submit(write, 1), Outcome::ok);  // so that the primary is not overloaded
    const auto write_request = harness.submit(write, 1);
    harness.end_attempt(write_request, outcome);
    harness.advance(330ms);  // after a refused connection the retry is the host's trial request
    EXPECT_EQ(harness.attempts[write_request], 2U);
  }
}

// The class has DedupScope::group; with DedupScope::all the request would be refused.
TEST(DuplicateExecution, KeyedRequestIsRetriedOnlyWithinItsDedupWindowAndNeverRefused) {
  Harness harness;
  harness.answer_probe(1, harness.now, true);
  const auto write_request = harness.submit(keyed, 1);
  harness.now += 100ms;
  harness.end_attempt(write_request, Outcome::error);
  EXPECT_EQ(harness.attempts[write_request], 2U);
  harness.now += 1150ms;  // past the dedup window of the first attempt, not of the second
  harness.answer_probe(1, harness.now, true);
  harness.end_attempt(write_request, Outcome::error);
  EXPECT_EQ(harness.attempts[write_request], 2U);
  harness.advance(100ms);
  EXPECT_EQ(harness.failed.count(write_request), 1U);
  EXPECT_EQ(harness.refused.count(write_request), 0U);
}

// Guards against a repeat that is decided within the window and written after it, by a connection that comes
// up late.
TEST(DuplicateExecution, RepeatOfAKeyedRequestHasToBeWrittenWithinTheDedupWindowOfTheFirstAttempt) {
  Harness harness;
  harness.answer_probe(1, harness.now, true);
  const auto window_end = harness.now + 1200ms - make_settings().quantum;
  const auto write_request = harness.submit(keyed, 1);
  for (const auto outcome : {Outcome::error, Outcome::not_sent}) {
    harness.now += 100ms;
    harness.answer_probe(1, harness.now, true);
    harness.end_attempt(write_request, outcome);
  }
  ASSERT_EQ(harness.sends.size(), 3U);
  EXPECT_EQ(harness.sends[0].write_by, Time::zero());
  EXPECT_EQ(harness.sends[1].write_by, window_end);
  EXPECT_EQ(harness.sends[2].write_by, window_end);
  harness.now = window_end;
  harness.end_attempt(write_request, Outcome::not_sent);
  EXPECT_EQ(harness.sends.size(), 3U);
  EXPECT_EQ(harness.failed.count(write_request), 1U) << "answered at once";
}

TEST(DuplicateExecution, RetryOfARequestThatHasNotRunOrIsSafeHasNoLimitForWriting) {
  Harness harness;
  harness.answer_probe(1, harness.now, true);
  const auto write_request = harness.submit(keyed, 1);
  harness.end_attempt(write_request, Outcome::full);  // not executed
  const auto read_request = harness.submit(any);
  harness.end_attempt(read_request, Outcome::error);
  harness.advance(100ms);
  EXPECT_GE(harness.sends.size(), 4U);
  for (const auto& send : harness.sends) EXPECT_EQ(send.write_by, Time::zero());
}

TEST(DuplicateExecution, SafeRequestIsRetriedAtAnotherHost) {
  Harness harness;
  harness.answer_probe(1, harness.now, true);
  const auto request = harness.submit(any);
  const auto first = harness.last_host[request];
  harness.end_attempt(request, Outcome::error);
  EXPECT_EQ(harness.attempts[request], 2U);
  EXPECT_NE(harness.last_host[request], first);
}

TEST(DuplicateExecution, AttemptAtAnUnresponsiveHostEndsBeforeTheRetry) {
  Harness harness;
  harness.answer_probe(1, harness.now, true);
  const auto request = harness.submit(any, {}, 2s);
  for (int i = 0; i < 2; ++i)
    harness.handle(ProbeEnded{HostId{harness.last_host[request]}, Outcome::timeout, 250ms, {}});
  harness.advance(50ms);
  ASSERT_EQ(harness.cancels.size(), 1U);
  EXPECT_EQ(harness.attempts[request], 1U) << "one attempt in flight at a time";
  harness.end_attempt(request, Outcome::cancelled);
  EXPECT_EQ(harness.attempts[request], 2U);
}

// ---- draining -----------------------------------------------------------------------------------

TEST(Draining, DrainingOrRemovedHostGetsNoRequests) {
  Harness harness;
  harness.answer_probe(1, harness.now, true);
  harness.list_hosts(ListKind::delta, {Harness::entry(2, HostState::draining)});
  EXPECT_EQ(harness.count_by_host(any, 50)[3], 50);
  harness.list_hosts(ListKind::full, {Harness::entry(1), Harness::entry(2)});
  EXPECT_EQ(harness.count_by_host(any, 50)[2], 50)
      << "host 3 is absent from a full list, host 2 is ready again";
  harness.list_hosts(ListKind::delta, {Harness::entry(1, HostState::gone)});
  EXPECT_FALSE(harness.was_sent(harness.submit(write, 1)));
}

TEST(Draining, RemovedHostStaysInUseWhereOnlyListedDrainsCount) {
  auto settings = make_settings();
  settings.removed_hosts_stay_usable = true;
  Harness harness(settings);
  harness.answer_probe(1, harness.now, true);
  harness.list_hosts(ListKind::full, {Harness::entry(1), Harness::entry(2)});
  EXPECT_GT(harness.count_by_host(any, 100)[3], 20);
  harness.list_hosts(ListKind::delta, {Harness::entry(3, HostState::draining)});
  EXPECT_EQ(harness.count_by_host(any, 50)[3], 0);
}

// ---- slow start of cold hosts -------------------------------------------------------------------

TEST(SlowStart, RestartedHostGetsABudgetPerWindowUntilItIsWarm) {
  Harness harness;
  harness.answer_probe(1, harness.now, true);
  auto restarted = Harness::entry(2);
  restarted.started_at = harness.now - 100ms;
  harness.list_hosts(ListKind::delta, {restarted});
  int cold_sends = 0;
  for (int i = 0; i < 200; ++i) {
    const auto request = harness.submit(any);
    cold_sends += harness.last_host[request] == 2U ? 1 : 0;
    harness.now += 10ms;
    harness.end_attempt(request, Outcome::ok, AnswerMetadata{Role::replica, {}});
  }
  EXPECT_GE(cold_sends, 1);
  // One half of the requests: the budget follows from the work per warm host, and hosts 1 and 3 are warm.
  EXPECT_LE(cold_sends, 60)
      << "capacity share 0.2 x overload multiple 3 x one half, of the warm hosts' requests";
  harness.advance(11s);
  harness.answer_probe(1, harness.now, true);
  EXPECT_GT(harness.count_by_host(any, 200)[2], 60);
}

/// Hundreds of routers over groups of three hosts. Groups are numbered from 0, hosts from 1: the first host
/// of each group is its primary, so host 1 is the primary of group 0. Every attempt is answered after
/// `latency`. Host 1 starts cold in begin_cold_start; the work sent to it is recorded.
class RouterFleet {
 public:
  static constexpr int routers = 300;
  static constexpr int groups = 12;
  static constexpr std::uint32_t hosts_per_group = 3;
  static constexpr double host_rate = 15;  // requests a second that a host answers before the cold start
  static constexpr Duration tick = 5ms;
  static constexpr Duration overload_window = 1500ms;
  static constexpr double overload_multiple = 2;
  static constexpr double cold_capacity_share = 0.2;
  static constexpr Duration warm_up_duration = 10s;
  static constexpr double probe_work = 0.01;  // work of a probe, in requests
  /// `known_primary`: whether the routers know from the start that host 1 is a primary.
  explicit RouterFleet(bool known_primary = true) : known_primary_(known_primary) {
    for (std::uint32_t i = 0; i < routers; ++i) restart_router(i);
  }
  /// Replaces a router by a new one without any state.
  void restart_router(std::uint32_t index) {
    Settings settings;
    settings.seed = 977 + index + 100'000 * static_cast<std::uint64_t>(restarts_++);
    settings.instance_count = routers;
    settings.instance_index = index;
    settings.retry_after_allowed = true;
    settings.warm_up_duration = warm_up_duration;
    settings.cold_capacity_share = cold_capacity_share;
    settings.overload_multiple = overload_multiple;
    settings.overload_window = overload_window;
    settings.probe_cost = 0.02;
    auto any_class = make_class("any", Freshness::any);
    auto write_class = make_class("write", Freshness::write, Idempotency::keyed);
    auto bounded_class = make_class("bounded", Freshness::bounded);
    settings.classes = {any_class, write_class, bounded_class};
    if (index == nodes_.size()) nodes_.emplace_back();
    Node& node = nodes_[index];
    node.router = std::make_unique<Router>(settings);
    node.due_events.clear();
    node.open.clear();
    node.attempts.clear();
    handle(node, Started{});
    MembersListed list;
    for (std::uint32_t host = 1; host <= hosts_per_group * groups; ++host)
      list.entries.push_back(entry(host));
    list.kind = ListKind::cached;
    handle(node, list);
    for (std::uint32_t group = known_primary_ ? 0 : 1; group < groups; ++group)
      report_primary(node, hosts_per_group * group + 1);
  }
  /// Restarts host 1 and removes the others of its group; all routers are notified at once.
  void begin_cold_start() {
    cold_start_at_ = now_;
    MembersListed list;
    list.kind = ListKind::delta;
    for (std::uint32_t host = 1; host <= hosts_per_group; ++host) list.entries.push_back(entry(host));
    for (auto& node : nodes_) handle(node, list);
  }
  /// Lets all routers know at once that host 1 is a primary.
  void report_first_primary() {
    known_primary_ = true;
    for (auto& node : nodes_) report_primary(node, 1);
  }
  /// Runs for `duration` with evenly spread traffic of `load` times host_rate for each host. The share
  /// `first_group_share` of it goes to the group of host 1.
  void run(Duration duration, double load = 1, double first_group_share = 1.0 / groups) {
    constexpr double tick_seconds = 0.005;
    const double rate = load * host_rate * groups * hosts_per_group;
    for (const auto until = now_ + duration; now_ < until;) {
      now_ += tick;
      for (auto& node : nodes_) advance(node);
      for (arrivals_due_ += rate * tick_seconds; arrivals_due_ >= 1; --arrivals_due_) {
        RequestArrived event;
        event.request = RequestId{++last_request_};
        event.class_id = ClassId{static_cast<std::int32_t>(random_() % 3)};
        const bool first_group = happens(first_group_share);
        event.group = GroupId{first_group ? 0 : 1 + static_cast<std::int64_t>(random_() % (groups - 1))};
        event.time_left = 2s;
        handle(nodes_[random_() % routers], event);
      }
    }
  }
  /// Passes one write for the group of host 1 to every router at once.
  void write_at_every_router() {
    for (auto& node : nodes_) {
      RequestArrived event;
      event.request = RequestId{++last_request_};
      event.class_id = ClassId{1};
      event.group = GroupId{0};
      event.time_left = 2s;
      handle(node, event);
    }
  }
  /// The work sent to the cold host 1 over the work that may be sent to it, in the overload window for which
  /// this share is highest.
  [[nodiscard]] double max_budget_use() const {
    constexpr double window_seconds = 1.5;
    constexpr double capacity_growth = 0.08;  // share of the full capacity that the host gains per second
    double highest = 0;
    for (std::size_t first = 0; first < work_.size(); ++first) {
      double sum = 0;
      for (auto i = first; i < work_.size() && work_[i].first < work_[first].first + overload_window; ++i)
        sum += work_[i].second;
      const double uptime_seconds = static_cast<double>((work_[first].first - cold_start_at_).count()) / 1e6;
      const double mean_capacity =  // requests a second, in this window
          (cold_capacity_share + capacity_growth * (uptime_seconds + window_seconds / 2)) * host_rate;
      highest = std::max(highest, sum / (overload_multiple * mean_capacity * window_seconds));
    }
    return highest;
  }
  /// Requests sent to host 1 since its cold start.
  [[nodiscard]] int cold_sends() const {
    return static_cast<int>(std::count_if(
        work_.begin(), work_.end(), [](auto& entry) { return entry.second == 1; }));
  }
  /// Probes sent to host 1 since its cold start.
  [[nodiscard]] int cold_probes() const { return static_cast<int>(work_.size()) - cold_sends(); }
  bool lose_probes = false;  // whether probes of host 1 get no answer
  double error_share = 0;    // share of the attempts at other hosts than host 1 that fail, after 5 ms
  Duration latency = 120ms;

 private:
  /// A router, the events that it is to get, and its attempts.
  struct Node {
    std::unique_ptr<Router> router;
    std::multimap<Time, Event> due_events;
    std::map<std::uint64_t, std::uint32_t> attempts;  // by request
    std::set<std::uint64_t> open;
  };
  HostEntry entry(std::uint32_t host) const {
    HostEntry host_entry;
    host_entry.host = HostId{host};
    host_entry.group = GroupId{(host - 1) / hosts_per_group};
    if (cold_start_at_ > 0s && host <= hosts_per_group) {
      host_entry.state = host == 1 ? HostState::ready : HostState::gone;
      if (host == 1) host_entry.started_at = cold_start_at_;
    }
    return host_entry;
  }
  static Role role_of(HostId host) {
    return host.value % hosts_per_group == 1 ? Role::primary : Role::replica;
  }
  /// True with the given probability, in steps of a thousandth.
  bool happens(double probability) { return random_() % 1000 < static_cast<unsigned>(probability * 1000); }
  void report_primary(Node& node, std::uint32_t host) {
    ProbeEnded event;
    event.host = HostId{host};
    event.report.position = now_;
    event.report.role = Role::primary;
    handle(node, event);
  }
  void advance(Node& node) {
    while (!node.due_events.empty() && node.due_events.begin()->first <= now_) {
      const auto event = node.due_events.begin()->second;
      node.due_events.erase(node.due_events.begin());
      handle(node, event);
    }
  }
  void handle(Node& node, const Event& event) {
    std::vector<Action> actions;
    node.router->handle(now_, event, actions);
    for (const auto& action : actions) {
      if (const auto* send = std::get_if<Send>(&action)) {
        if (send->host == HostId{1} && cold_start_at_ > 0s) work_.emplace_back(now_, 1);
        const bool fails = send->host != HostId{1} && happens(error_share);
        AttemptEnded ended;
        ended.request = send->request;
        ended.attempt = node.attempts[send->request.value]++;
        ended.host = send->host;
        ended.outcome = fails ? Outcome::error : Outcome::ok;
        ended.elapsed = fails ? Duration(5ms) : latency;
        ended.request_ended = !fails;
        ended.metadata.role = role_of(send->host);
        node.due_events.emplace(now_ + ended.elapsed, ended);
      } else if (const auto* probe = std::get_if<Probe>(&action)) {
        if (probe->host == HostId{1} && cold_start_at_ > 0s) work_.emplace_back(now_, probe_work);
        ProbeEnded ended;
        ended.host = probe->host;
        ended.elapsed = 2ms;
        ended.report.position = now_;
        if (probe->host != HostId{1} || known_primary_) ended.report.role = role_of(probe->host);
        const bool lost = lose_probes && probe->host == HostId{1};
        if (lost) {
          ended.outcome = Outcome::timeout;
          ended.report = {};
        }
        node.due_events.emplace(now_ + (lost ? 250ms : 2ms), ended);
      } else if (const auto* set_timer = std::get_if<SetTimer>(&action)) {
        node.due_events.emplace(std::max(set_timer->due, now_ + tick), TimerFired{set_timer->timer});
      }
    }
  }
  Time now_ = 100s;
  Time cold_start_at_ = 0s;  // zero: not yet
  bool known_primary_;       // whether reports show that host 1 is a primary
  int restarts_ = 0;
  std::vector<Node> nodes_;
  std::vector<std::pair<Time, double>> work_;  // sent to host 1 since its cold start, in requests
  double arrivals_due_ = 0;                    // requests that the traffic up to now is short of
  std::uint64_t last_request_ = 0;
  std::mt19937_64 random_{11};
};

TEST(SlowStart, OnlyHostOfAGroupStaysWithinItsBudgetInAnyWindow) {
  RouterFleet fleet;
  fleet.run(4s);
  fleet.begin_cold_start();
  fleet.run(10s, 1, 2.0 / RouterFleet::groups);
  EXPECT_LE(fleet.max_budget_use(), 1) << "although its group's traffic doubles";
  EXPECT_GE(fleet.cold_sends(), 70) << "the budget is used";  // 46 with half of slow_start_budget_share
}

TEST(SlowStart, RequestsWaitingAtAllRoutersStayWithinTheBudgetOnceThePrimaryIsKnown) {
  RouterFleet fleet(false);
  fleet.run(4s, 1, 0.4);
  fleet.begin_cold_start();
  fleet.run(8s, 1, 0.4);
  fleet.report_first_primary();
  fleet.run(2s, 1, 0.4);
  EXPECT_LE(fleet.max_budget_use(), 1);
  EXPECT_GE(fleet.cold_sends(), 3);
}

TEST(SlowStart, BudgetDoesNotGrowWithABurstOfRetries) {
  RouterFleet fleet;
  fleet.run(4s);
  fleet.error_share = 0.75;
  fleet.run(3s, 2.5);
  fleet.begin_cold_start();
  fleet.run(4s, 2.5);
  EXPECT_LE(fleet.max_budget_use(), 1);
}

TEST(SlowStart, ReadsWaitingAtManyRoutersDoNotFloodAColdHostWithProbes) {
  RouterFleet fleet(false);
  fleet.lose_probes = true;
  fleet.run(4s);
  fleet.begin_cold_start();
  fleet.run(4s, 1, 0.4);
  EXPECT_GT(fleet.cold_probes(), 0);
  EXPECT_LE(fleet.cold_probes(), 750)
      << "each router once in 0.36 s (a hundredth of 300 latencies) over the capacity share";
}

TEST(SlowStart, RestartedRoutersStayWithinTheBudget) {
  RouterFleet fleet;
  fleet.run(4s);
  fleet.begin_cold_start();
  fleet.run(3s, 1, 0.25);
  for (std::uint32_t i = 0; i < RouterFleet::routers; ++i) fleet.restart_router(i);
  fleet.write_at_every_router();
  fleet.run(2s, 1, 0.25);
  EXPECT_LE(fleet.max_budget_use(), 1);
}

// ---- reported queues, probes and admission ------------------------------------------------------

/// Where only some queues are known, the replicas that reported last must not get all reads until others
/// report: the others count with the mean queue. No host is probed only for its queue.
TEST(ReplicaSelection, ReplicaWithUnknownQueueCountsAsOneWithTheMeanQueue) {
  auto settings = make_settings();
  settings.probe_cost = 0.05;
  settings.probes_allowed = true;
  settings.answers_carry_position = true;
  Harness harness(settings, 4);
  harness.answer_probe(1, harness.now, true, 0.0);
  harness.answer_probe(2, harness.now, false, 0.0);
  harness.answer_probe(3, harness.now, false, 0.0);
  harness.answer_probe(4, harness.now, false, 0.0);
  harness.advance(3s);  // all reports are too old to be used
  harness.answer_probe(2, harness.now, false, 0.0);
  const auto probes_before = harness.probed_hosts.size();
  auto counts = harness.count_by_host(any, 3000);
  for (const std::uint32_t host : {2, 3, 4}) EXPECT_NEAR(counts[host], 1000, 150) << host;
  EXPECT_EQ(harness.probed_hosts.size(), probes_before);
  // The only known queue is the mean queue, which counts for all replicas alike.
  harness.answer_probe(2, harness.now, false, 3.0);
  counts = harness.count_by_host(any, 3000);
  for (const std::uint32_t host : {2, 3, 4}) EXPECT_NEAR(counts[host], 1000, 150) << host;
  harness.answer_probe(3, harness.now, false, 0.0);  // now two queues are known
  counts = harness.count_by_host(any, 3000);
  EXPECT_GT(counts[3], counts[2] * 2);
  EXPECT_GT(counts[3], counts[4]);
  EXPECT_GT(counts[4], counts[2]);
}

TEST(Probing, ThinTrafficProbesOnDemandAndSetsNoTimerOtherwise) {
  auto settings = make_settings();
  settings.instance_count = 300;
  settings.probe_cost = 0.02;
  Harness harness(settings);
  harness.answer_probe(1, harness.now, true);
  harness.end_attempt(harness.submit(any), Outcome::ok);
  harness.advance(1s);
  const auto probes_before = harness.probed_hosts.size();
  harness.advance(60s);
  EXPECT_EQ(harness.probed_hosts.size(), probes_before);
  EXPECT_EQ(harness.timer.due, Harness::no_timer);
  const auto request = harness.submit(bounded);
  ASSERT_GT(harness.probed_hosts.size(), probes_before);
  EXPECT_FALSE(harness.was_sent(request));
  harness.answer_probe(harness.probed_hosts.back(), harness.now - 100ms, false);
  EXPECT_EQ(harness.last_host[request], harness.probed_hosts.back());
}

TEST(Probing, OnlyOneReplicaIsProbedOnDemandWhereAnswersCarryPositions) {
  for (const bool answers_carry_position : {false, true}) {
    auto settings = make_settings();
    settings.instance_count = 400;
    settings.probe_cost = 0.04;
    settings.answers_carry_position = answers_carry_position;
    Harness harness(settings, 4);
    harness.answer_probe(1, harness.now, true);
    harness.advance(3s);
    harness.probed_hosts.clear();
    harness.submit(bounded);
    EXPECT_EQ(harness.probed_hosts.size(), answers_carry_position ? 1U : 2U);
  }
}

TEST(Admission, LoadedPrimaryShedsRequestsOfLeastValueFirst) {
  auto settings = make_settings();
  settings.instance_count = 300;
  settings.classes[4].value = 6;
  Harness harness(settings);
  harness.answer_probe(1, harness.now, true);
  const auto serve = [&](ClassId class_id) {  // returns the number of answered requests, 0 or 1
    const auto request = harness.submit(class_id, 1);
    if (!harness.was_sent(request)) return 0;
    harness.now += 240ms;
    harness.answer_probe(1, harness.now, true);
    harness.end_attempt(request, Outcome::ok);
    return 1;
  };
  int writes = 0;
  int reads = 0;
  for (int i = 0; i < 20; ++i) {
    writes += serve(write);
    reads += serve(fresh);
  }
  EXPECT_GT(writes, reads);
}

/// Two routers, each with a primary as its only host, get the same load: one of fresh reads, the other of
/// bounded reads, which fall back to the primary. The router of the fallback reads has to shed more, because
/// writes and fresh reads have no other host.
TEST(Admission, LoadedPrimaryShedsFallbackReadsFirst) {
  std::map<int, int> served;
  for (const auto class_id : {fresh, bounded}) {
    auto settings = make_settings();
    settings.instance_count = 400;
    Harness harness(settings, 1);
    harness.answer_probe(1, harness.now, true);
    for (int i = 0; i < 300; ++i) {
      const auto request = harness.submit(class_id);
      harness.advance(230ms);
      if (!harness.was_sent(request)) continue;
      served[class_id.value] += i >= 100 ? 1 : 0;
      harness.end_attempt(request, Outcome::ok, AnswerMetadata{Role::primary, {}});
    }
  }
  EXPECT_GT(served[fresh.value], 50);
  EXPECT_LT(served[bounded.value], served[fresh.value] * 2 / 3);
}

// ---- health: probes and connections -------------------------------------------------------------

TEST(Health, LostProbesAreIgnoredWhileTheHostAnswersRequests) {
  Harness harness;
  harness.answer_probe(1, harness.now, true);
  const auto lose_probes = [&] {
    for (int i = 0; i < 2; ++i) {
      ProbeEnded event;
      event.host = HostId{1};
      event.outcome = Outcome::timeout;
      harness.handle(event);
    }
  };
  for (int i = 0; i < 6; ++i) {
    const auto write_request = harness.submit(write, 1);
    lose_probes();
    if (harness.was_sent(write_request))
      harness.end_attempt(write_request, Outcome::ok, AnswerMetadata{Role::primary, harness.now});
  }
  lose_probes();
  EXPECT_TRUE(harness.was_sent(harness.submit(write, 1)));
}

TEST(Health, ConnectTimeoutDoesNotEjectAsARefusedConnectionDoes) {
  for (const auto elapsed : {0ms, 250ms}) {
    Harness harness;
    harness.answer_probe(1, harness.now, true);
    const auto write_request = harness.submit(write, 1);
    AttemptEnded event;
    event.request = RequestId{write_request};
    event.host = HostId{1};
    event.outcome = Outcome::connect_failed;
    event.elapsed = elapsed;
    harness.handle(event);
    EXPECT_EQ(harness.attempts[write_request], elapsed == 0ms ? 1U : 2U);
  }
}

TEST(ReplicaSelection, ReadsGoToTheReplicaWithTheShorterQueue) {
  Harness harness;
  harness.answer_probe(1, harness.now, true);
  harness.answer_probe(2, harness.now, false, 200);
  harness.answer_probe(3, harness.now, false, 0);
  EXPECT_EQ(harness.count_by_host(bounded, 20)[3], 20);
}

// ---- no stale reads -----------------------------------------------------------------------------

TEST(StaleReads, ReplicaOfUnknownPositionOrBeyondTheBoundGetsNoBoundedRead) {
  Harness harness;
  EXPECT_FALSE(harness.was_sent(harness.submit(bounded)));
  harness.answer_probe(2, harness.now - 1001ms, false);
  EXPECT_TRUE(harness.sends.empty());
  harness.answer_probe(2, harness.now - 900ms, false);
  EXPECT_EQ(harness.last_host[harness.last_request], 2U);
}

TEST(StaleReads, RetryIsCheckedAgainstTheBoundAtItsOwnTime) {
  Harness harness;
  harness.answer_probe(2, harness.now - 900ms, false);
  harness.answer_probe(3, harness.now - 900ms, false);
  const auto request = harness.submit(bounded);
  harness.now += 150ms;
  harness.end_attempt(request, Outcome::error);
  EXPECT_EQ(harness.attempts[request], 1U);
}

TEST(StaleReads, FreshReadsGoToThePrimary) {
  Harness harness;
  harness.answer_probe(1, harness.now, true);
  harness.answer_probe(2, harness.now, false);
  EXPECT_EQ(harness.count_by_host(fresh, 30)[1], 30);
}

// ---- health -------------------------------------------------------------------------------------

TEST(Health, HostThatFailsFastGetsFewReads) {
  Harness harness;
  harness.answer_probe(1, harness.now, true);
  for (int i = 0; i < 30; ++i) {
    const auto request = harness.submit(any);
    if (harness.last_host[request] == 2U) harness.end_attempt(request, Outcome::error);
    harness.now += 20ms;
    if (harness.last_host[request] == 3U)
      harness.end_attempt(request, Outcome::ok, AnswerMetadata{Role::replica, {}});
  }
  EXPECT_GT(harness.count_by_host(any, 100)[3], 90);
}

TEST(Health, ReadIsSentAlthoughAllReplicasAreUnhealthy) {
  Harness harness(make_settings(), 2);
  harness.answer_probe(1, harness.now, false);
  harness.answer_probe(2, harness.now, false);
  for (int i = 0; i < 12; ++i) {
    const auto request = harness.submit(any);
    ASSERT_TRUE(harness.was_sent(request));
    harness.end_attempt(request, Outcome::reset, {}, true);
  }
  EXPECT_TRUE(harness.was_sent(harness.submit(any)));
}

TEST(Health, TimeoutsReduceTheLimitOfAHostThatAnswersOthers) {
  Harness harness(make_settings(), 2);
  harness.answer_probe(1, harness.now, true);
  const auto fill = [&] {  // returns the requests that fit at host 2
    std::vector<std::uint64_t> in_flight;
    for (int i = 0; i < 60; ++i) {
      const auto request = harness.submit(any, {}, 2s);
      if (harness.was_sent(request) && harness.last_host[request] == 2U) in_flight.push_back(request);
    }
    return in_flight;
  };
  const auto before = fill();
  harness.now += 400ms;
  for (std::size_t i = 0; i < 4; ++i)
    harness.end_attempt(before[i], Outcome::ok, AnswerMetadata{Role::replica, {}});
  for (std::size_t i = 4; i < before.size(); ++i) {
    harness.now += 130ms;
    harness.end_attempt(before[i], Outcome::timeout, {}, true);
  }
  harness.advance(3s);
  EXPECT_LT(fill().size(), before.size());
}

// Answers lost on the way come back as time-outs long after the latency target. Beside quick answers they are
// no sign of a queue, and must not close the concurrency limit.
TEST(Health, LostAnswersBesideQuickOnesKeepTheConcurrencyLimitOpen) {
  Harness harness(make_settings(), 2);
  harness.answer_probe(1, harness.now, true);
  for (int i = 0; i < 60; ++i) {
    const auto lost = harness.submit(any);
    const auto quick = harness.submit(any);
    ASSERT_EQ(harness.last_host[quick], 2U);
    harness.now += 60ms;
    harness.end_attempt(quick, Outcome::ok, AnswerMetadata{Role::replica, {}});
    if (i % 4 == 0) {
      harness.now += 1500ms;
      harness.end_attempt(lost, Outcome::timeout, {}, true);
    } else {
      harness.end_attempt(lost, Outcome::ok, AnswerMetadata{Role::replica, {}});
    }
  }
  int sent = 0;
  for (int i = 0; i < 40; ++i) sent += harness.was_sent(harness.submit(any)) ? 1 : 0;
  EXPECT_GE(sent, 4);
}

TEST(Primary, UnresponsivePrimaryWithAdvancingPositionGetsASingleTrial) {
  Harness harness;
  harness.answer_probe(1, harness.now, true);
  ASSERT_TRUE(harness.was_sent(harness.submit(write, 1)));  // its answer is lost
  const auto advance_with_reports = [&](Duration duration) {
    for (const auto until = harness.now + duration; harness.now < until;) {
      harness.advance(100ms);
      harness.answer_probe(1, harness.now, true);
    }
  };
  advance_with_reports(1200ms);
  const auto second = harness.submit(write, 2);
  advance_with_reports(300ms);
  EXPECT_EQ(harness.last_host[second], 1U);
  const auto third = harness.submit(write, 3);
  EXPECT_FALSE(harness.was_sent(third)) << "one trial at a time";
  harness.end_attempt(second, Outcome::ok, AnswerMetadata{Role::primary, harness.now});
  EXPECT_TRUE(harness.was_sent(third));
}

TEST(Primary, ClaimWithAStandingPositionIsRejectedAfterATimeout) {
  Harness harness;
  const auto claimed_at = harness.now;
  harness.answer_probe(1, claimed_at, true);
  ASSERT_TRUE(harness.was_sent(harness.submit(write, 1)));
  for (int i = 0; i < 12; ++i) {
    harness.advance(100ms);
    harness.answer_probe(1, claimed_at, true);  // probes are answered, but the position does not advance
  }
  EXPECT_FALSE(harness.was_sent(harness.submit(write, 2)));
}

// Where latency targets are short beside the age of reports, a claim whose position advances is not stale.
TEST(Primary, ClaimWithAnAdvancingPositionIsAcceptedDespiteOldReports) {
  auto settings = make_settings();
  for (auto& request_class : settings.classes) request_class.latency_target = 80ms;
  Harness harness(settings);
  for (int i = 0; i < 20; ++i) {
    harness.advance(100ms);
    harness.answer_probe(1, harness.now - 250ms, true);
  }
  harness.advance(90ms);
  EXPECT_TRUE(harness.was_sent(harness.submit(write, 1)));
}

// All replicas are past the staleness bound and the primary fails most requests: the few reads that it
// answers would otherwise get no answer at all.
TEST(Primary, FailingPrimaryIsUsedForReadsOnlyWhenAllReplicasAreStale) {
  for (const bool lagging : {true, false}) {
    Harness harness;
    const auto start = harness.now;
    int errors = 0;
    for (int i = 0; i < 30; ++i) {
      harness.advance(100ms);
      harness.answer_probe(1, harness.now, true);
      for (const std::uint32_t replica : {2U, 3U})
        harness.answer_probe(replica, lagging ? start : harness.now, false);
      const auto request = harness.submit(fresh);
      if (!harness.was_sent(request)) continue;
      ++errors;
      harness.end_attempt(request, Outcome::error);
      harness.end_attempt(request, Outcome::error, {}, true);
    }
    ASSERT_GT(errors, 5);
    harness.answer_probe(1, harness.now, true);
    EXPECT_EQ(harness.route(bounded) == 1U, lagging);
  }
}

// A process that refused connections and answers again has restarted, whether or not the list shows it.
TEST(SlowStart, HostThatAnswersAfterRefusedConnectionsIsCold) {
  Harness harness;
  harness.answer_probe(1, harness.now, true);
  int refusals = 0;
  for (int i = 0; i < 200 && refusals < 2; ++i) {
    const auto request = harness.submit(any);
    ASSERT_TRUE(harness.was_sent(request));
    const bool to_host_2 = harness.last_host[request] == 2U;
    refusals += to_host_2 ? 1 : 0;
    harness.end_attempt(request, to_host_2 ? Outcome::connect_failed : Outcome::cancelled, {}, true);
    harness.advance(200ms);
  }
  ASSERT_EQ(refusals, 2);
  bool answered = false;
  for (int i = 0; i < 200 && !answered; ++i) {
    const auto request = harness.submit(any);
    answered = harness.last_host[request] == 2U;
    harness.now += 50ms;
    harness.end_attempt(request, Outcome::ok, AnswerMetadata{Role::replica, {}});
    harness.advance(200ms);
  }
  ASSERT_TRUE(answered);
  auto counts = harness.count_by_host(any, 200);
  EXPECT_LE(counts[2], 60);
}

TEST(Health, HostThatRefusedAConnectionIsNotRetriedAtOnce) {
  Harness harness(make_settings(), 2);
  harness.answer_probe(1, harness.now, false);
  harness.answer_probe(2, harness.now, false);
  const auto first = harness.submit(any);
  for (int i = 0;
       i < 8 && harness.refused.empty() && harness.attempts[first] == static_cast<std::uint32_t>(i + 1); ++i)
    harness.end_attempt(first, Outcome::connect_failed);
  EXPECT_EQ(harness.attempts[first], 2U) << "each host once";
}

// Guards against a hundred routers that cancel writes at a slow primary and send them there again, which
// makes its queue longer.
TEST(Health, RequestsForThePrimaryAreCancelledThereOnlyWhenAnotherTookOver) {
  Harness harness;
  harness.answer_probe(1, harness.now, true);
  const auto write_request = harness.submit(keyed, 1);
  const auto fresh_read = harness.submit(fresh);
  ASSERT_TRUE(harness.was_sent(write_request) && harness.was_sent(fresh_read));
  for (int i = 0; i < 2; ++i) harness.handle(ProbeEnded{HostId{1}, Outcome::timeout, 250ms, {}});
  harness.advance(100ms);
  EXPECT_TRUE(harness.cancels.empty());
  harness.now += 10ms;
  harness.answer_probe(2, harness.now, true);  // host 2 has become the primary
  harness.advance(100ms);
  EXPECT_EQ(harness.cancels.size(), 2U);
}

/// Submits a read whose replica then answers no probe, so that the router cancels the attempt.
std::uint64_t submit_read_that_is_cancelled(Harness& harness) {
  harness.answer_probe(1, harness.now, true);
  const auto request = harness.submit(any);
  for (int i = 0; i < 2; ++i)
    harness.handle(ProbeEnded{HostId{harness.last_host[request]}, Outcome::timeout, 250ms, {}});
  harness.advance(100ms);
  EXPECT_EQ(harness.cancels.size(), 1U);
  return request;
}

// Guards against a second copy: an attempt that its host reads only after the next one was sent.
TEST(Retry, CancelledAttemptIsConfirmedByItsHostBeforeTheRequestIsSentAgain) {
  Harness harness;
  const auto request = submit_read_that_is_cancelled(harness);
  EXPECT_GT(harness.cancels[0].confirm_by, harness.now);
  EXPECT_LE(harness.cancels[0].confirm_by, harness.now + 500ms) << "the latency target";
  harness.advance(100ms);
  EXPECT_EQ(harness.attempts[request], 1U);
  EXPECT_EQ(harness.cancels.size(), 1U);
  harness.end_attempt(request, Outcome::cancelled);
  EXPECT_EQ(harness.attempts[request], 2U);
}

TEST(Retry, RequestThatAHostMayStillReadIsNotSentAgainWhateverItsOutcome) {
  for (const auto outcome : {Outcome::cancelled, Outcome::reset, Outcome::timeout}) {
    Harness harness;
    const auto request = submit_read_that_is_cancelled(harness);
    harness.end_unconfirmed(request, outcome);
    EXPECT_EQ(harness.refused.count(request), 1U) << name_of(outcome);
    harness.advance(1s);
    EXPECT_EQ(harness.attempts[request], 1U) << name_of(outcome);
  }
}

// A refusal invites a repeat, which is harmless only where hosts of all groups drop repeats under the key.
TEST(Retry, KeyedRequestThatAHostMayStillReadFailsUnlessEveryHostDropsRepeats) {
  for (const auto scope : {DedupScope::group, DedupScope::all}) {
    auto settings = make_settings();
    settings.classes[static_cast<std::size_t>(keyed.value)].dedup_scope = scope;
    Harness harness(settings);
    harness.answer_probe(1, harness.now, true);
    const auto request = harness.submit(keyed, 1);
    ASSERT_TRUE(harness.was_sent(request));
    for (int i = 0; i < 2; ++i) harness.handle(ProbeEnded{HostId{1}, Outcome::timeout, 250ms, {}});
    harness.now += 10ms;
    harness.answer_probe(2, harness.now, true);  // host 2 has become the primary
    harness.advance(100ms);
    ASSERT_EQ(harness.cancels.size(), 1U);
    harness.end_unconfirmed(request, Outcome::cancelled);
    EXPECT_EQ(harness.attempts[request], 1U);
    EXPECT_EQ(harness.failed.count(request), scope == DedupScope::all ? 0U : 1U);
    EXPECT_EQ(harness.refused.count(request), scope == DedupScope::all ? 1U : 0U);
  }
}

TEST(Retry, WhereHedgingIsAllowedCancelledAttemptsNeedNoConfirmation) {
  auto settings = make_settings();
  settings.hedging_allowed = true;
  Harness harness(settings);
  const auto request = submit_read_that_is_cancelled(harness);
  EXPECT_EQ(harness.cancels[0].confirm_by, Time::zero());
  harness.end_unconfirmed(request, Outcome::cancelled);
  EXPECT_EQ(harness.attempts[request], 2U);
}

// One of a hundred routers sends a request to a host only every few seconds: it must not need several
// failures to eject the host.
TEST(Health, OneFailureEjectsAHostUnderThinTrafficButNotUnderDenseTraffic) {
  for (const bool thin_traffic : {true, false}) {
    Harness harness(make_settings(), 4);
    harness.answer_probe(1, harness.now, true);
    std::uint32_t failed_host = 0;
    for (int i = 0; i < 300 && failed_host == 0; ++i) {
      const auto request = harness.submit(any);
      ASSERT_TRUE(harness.was_sent(request));
      harness.now += 20ms;
      if (i >= 100 && harness.last_host[request] == 2) {
        failed_host = 2;
        harness.end_attempt(request, Outcome::error, {}, true);
      } else {
        harness.end_attempt(request, Outcome::ok, AnswerMetadata{Role::replica, {}});
      }
      harness.advance(thin_traffic ? 4s : 5ms);
    }
    ASSERT_EQ(failed_host, 2U);
    const auto counts = harness.count_by_host(any, 60);
    EXPECT_EQ(counts.count(2) == 0, thin_traffic);
    // The host gets a trial request after its ejection, and one answer ends it.
    bool answered = false;
    for (int i = 0; i < 200 && !answered; ++i) {
      const auto request = harness.submit(any);
      answered = harness.last_host[request] == 2;
      harness.now += 20ms;
      harness.end_attempt(request, Outcome::ok, AnswerMetadata{Role::replica, {}});
      harness.advance(1s);
    }
    EXPECT_TRUE(answered) << thin_traffic;
  }
}

TEST(Primary, WriteIsTriedAtEachHostWhereProbesCostTooMuch) {
  auto settings = make_settings();
  settings.probe_cost = 0.08;
  Harness harness(settings, 4);
  const auto write_request = harness.submit(keyed, 1);
  std::set<std::uint32_t> tried_hosts;
  for (int i = 0; i < 4; ++i) {
    ASSERT_EQ(harness.attempts[write_request], static_cast<std::uint32_t>(i + 1));
    const auto host = harness.last_host[write_request];
    EXPECT_TRUE(tried_hosts.insert(host).second) << "tried twice: " << host;
    if (i < 3) harness.end_attempt(write_request, Outcome::too_stale, AnswerMetadata{Role::replica, {}});
  }
  harness.end_attempt(write_request, Outcome::ok, AnswerMetadata{Role::primary, harness.now});
  const auto next_write = harness.submit(keyed, 1);
  EXPECT_EQ(harness.last_host[next_write], harness.last_host[write_request])
      << "the answer has shown the primary";
}

TEST(Primary, WriteThatFindsNoPrimaryIsPacedAndKeepsItsLastAttempt) {
  auto settings = make_settings();
  settings.probe_cost = 0.08;
  settings.max_attempts = 6;
  Harness harness(settings, 2);
  const auto write_request = harness.submit(keyed, 1);
  for (int i = 0; i < 40 && harness.refused.count(write_request) == 0; ++i) {
    if (harness.was_sent(write_request))
      harness.end_attempt(write_request, Outcome::too_stale, AnswerMetadata{Role::replica, {}});
    if (harness.now < Time(100s) + 200ms) {
      SCOPED_TRACE("each host once in the shortest latency target");
      EXPECT_LE(harness.attempts[write_request], 2U);
    }
    harness.advance(50ms);
  }
  EXPECT_LE(harness.attempts[write_request], 5U);
}

TEST(Primary, ReservedProbesSearchForAMissingPrimary) {
  auto settings = make_settings();
  settings.probe_cost = 0.08;
  Harness harness(settings, 4);
  harness.answer_probe(1, harness.now, true, 0.0);
  std::size_t answered = 0;
  for (int i = 0; i < 300; ++i) {  // reads that need a position: their probes may use half of the saved ones
    const auto request = harness.submit(bounded);
    for (; answered < harness.probed_hosts.size(); ++answered)
      harness.answer_probe(harness.probed_hosts[answered], harness.now, harness.probed_hosts[answered] == 1,
                           0.0);
    if (harness.was_sent(request))
      harness.end_attempt(request, Outcome::ok, AnswerMetadata{Role::replica, {}});
    harness.advance(50ms);
  }
  const auto probes_for_reads = harness.probed_hosts.size();
  EXPECT_GT(probes_for_reads, 10U);
  harness.list_hosts(ListKind::delta, {Harness::entry(1, HostState::draining)});
  harness.submit(fresh);
  harness.advance(1s);
  EXPECT_GE(harness.probed_hosts.size(), probes_for_reads + 3) << "a read that needs the primary is waiting";
}

// Guards against an ejected primary that keeps every write waiting although some would be answered.
TEST(Health, PrimaryThatFailsFastStillGetsWrites) {
  Harness harness;
  harness.answer_probe(1, harness.now, true);
  for (int i = 0; i < 8; ++i) harness.end_attempt(harness.submit(write, 1), Outcome::error);
  EXPECT_TRUE(harness.was_sent(harness.submit(write, 1)));
}

// Stale load reports leave only the primary to bounded reads: reads of more value than any write may use its
// whole concurrency limit, others half of it.
TEST(PrimaryFallback, ReadsOfMoreValueThanWritesMayUseThePrimarysWholeLimit) {
  const auto sent_reads = [](double value) {
    auto settings = make_settings();
    settings.classes[0].value = value;
    Harness harness(settings);
    harness.answer_probe(1, harness.now, true);
    int sent = 0;
    for (int i = 0; i < 40; ++i) sent += harness.was_sent(harness.submit(bounded)) ? 1 : 0;
    return sent;
  };
  EXPECT_EQ(sent_reads(5), 2 * sent_reads(0.5));
}

// One attempt from each of many routers already overloads a host.
TEST(Health, ConcurrencyLimitsOfReplicasArePooledForManyRouters) {
  auto settings = make_settings();
  settings.instance_count = 24;
  Harness harness(settings, 6);
  harness.answer_probe(1, harness.now, true);
  int sent = 0;
  for (int i = 0; i < 40; ++i) sent += harness.was_sent(harness.submit(any)) ? 1 : 0;
  EXPECT_LE(sent, 4) << "five replicas at half an attempt each, and the primary's share";
  EXPECT_GE(sent, 2);
}

// Guards against a sort order that compared the ages of reads and writes of equal value in opposite
// directions, so that it was no strict order and requests got lost.
TEST(UnusualInput, ReadsAndWritesOfEqualValueAllGetAFinalAnswer) {
  Harness harness;
  std::vector<std::uint64_t> requests;
  for (int i = 0; i < 400; ++i)
    requests.push_back(harness.submit(i % 3 == 0 ? write : i % 3 == 1 ? fresh : bounded));
  harness.advance(2100ms);
  for (const auto request : requests)
    EXPECT_EQ(harness.refused.count(request) + harness.failed.count(request), 1U);
}

TEST(Health, WaitingReadsAreSentNewestFirst) {
  Harness harness(make_settings(), 2);
  harness.answer_probe(1, harness.now, true);
  std::vector<std::uint64_t> requests;
  for (int i = 0; i < 30; ++i) requests.push_back(harness.submit(any));
  ASSERT_FALSE(harness.was_sent(requests[28]));
  harness.end_attempt(requests[0], Outcome::ok, AnswerMetadata{Role::replica, {}});
  EXPECT_TRUE(harness.was_sent(requests[29]));
  EXPECT_FALSE(harness.was_sent(requests[20]));
}

// ---- discovery ----------------------------------------------------------------------------------

TEST(Discovery, PollModeSpreadsFirstPollsAndRetriesWithinTheMaximumInterval) {
  auto settings = make_settings();
  settings.discovery_mode = DiscoveryMode::poll;
  settings.instance_count = 4;
  settings.instance_index = 3;
  settings.max_poll_interval = 10s;
  Harness harness(settings);
  const auto start = harness.now;
  harness.advance(5s);
  ASSERT_EQ(harness.watch_times.size(), 1U);
  EXPECT_GT(harness.watch_times[0], start + 500ms);
  Duration longest_wait{};
  for (int i = 0; i < 6; ++i) {
    const auto failed_at = harness.now;
    harness.handle(MembersListed{ListKind::failed, {}});
    harness.advance(9s);
    ASSERT_EQ(harness.watch_times.size(), static_cast<std::size_t>(i + 2));
    longest_wait = std::max(longest_wait, harness.watch_times.back() - failed_at);
  }
  EXPECT_GT(longest_wait, 1500ms);
  EXPECT_LT(longest_wait, 10s);
}

TEST(Discovery, PushModeOpensNoWatch) {
  Harness harness;
  harness.advance(30s);
  EXPECT_TRUE(harness.watch_times.empty());
}

// ---- unusual input ------------------------------------------------------------------------------

TEST(UnusualInput, UnknownGroupOrClassIsRefusedWithARetryAfterHint) {
  Harness harness;
  RequestArrived event;
  event.request = RequestId{900};
  event.class_id = any;
  event.group = GroupId{77};
  event.time_left = 1s;
  harness.handle(event);
  EXPECT_GT(harness.refused.at(900), 0ms);
  event.request = RequestId{901};
  event.group = GroupId{1};
  event.class_id = ClassId{-1};
  harness.handle(event);
  EXPECT_GT(harness.refused.at(901), 0ms);
}

TEST(UnusualInput, EventsWithEndedOrUnknownIdsAreIgnored) {
  Harness harness;
  harness.answer_probe(1, harness.now, true);
  const auto request = harness.submit(any);
  harness.end_attempt(request, Outcome::ok);
  harness.end_attempt(request, Outcome::error);
  harness.handle(ClientLeft{RequestId{request}});
  harness.handle(ClientLeft{RequestId{12345}});
  harness.handle(ProbeEnded{HostId{99}, Outcome::ok, 1ms, {}});
  harness.handle(TimerFired{4711});
  EXPECT_EQ(harness.attempts[request], 1U);
  EXPECT_TRUE(harness.refused.empty());
  EXPECT_TRUE(harness.failed.empty());
}

TEST(UnusualInput, ContradictorySettingsThrowWithTheSettingsName) {
  auto settings = make_settings();
  settings.cold_capacity_share = 0;
  try {
    Router router(settings);
    FAIL();
  } catch (const std::invalid_argument& error) {
    EXPECT_STREQ(error.what(), "cold_from");
  }
}

TEST(UnusualInput, EntryCountStaysBoundedWithManySessions) {
  Harness harness;
  harness.answer_probe(1, harness.now, true);
  std::size_t max_entries = 0;
  for (int i = 0; i < 3000; ++i) {
    harness.answer_probe(1, harness.now, true);
    const auto write_request = harness.submit(write, static_cast<std::uint64_t>(i));
    if (harness.was_sent(write_request))
      harness.end_attempt(write_request, Outcome::ok, AnswerMetadata{Role::primary, harness.now});
    harness.advance(100ms);
    max_entries = std::max(max_entries, harness.entry_count());
  }
  EXPECT_LT(max_entries, 700U);
}

TEST(UnusualInput, SameSeedAndEventsGiveTheSameActions) {
  const auto chosen_hosts = [] {
    Harness harness(make_settings(), 5);
    harness.answer_probe(1, harness.now, true);
    std::vector<std::uint32_t> hosts;
    for (int i = 0; i < 200; ++i) hosts.push_back(harness.last_host[harness.submit(any)]);
    return hosts;
  };
  EXPECT_EQ(chosen_hosts(), chosen_hosts());
}

}  // namespace
}  // namespace cedarring
