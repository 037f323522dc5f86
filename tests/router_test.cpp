// The module by hand-made events. Host 1 is the primary of group 1 unless a test says otherwise.
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

constexpr ClassId bounded{0}, session{1}, any{2}, fresh{3}, write{4}, keyed{5};

RequestClass make_class(const char* name, Freshness need, Idempotency effect = Idempotency::safe) {
  RequestClass c;
  c.name = name;
  c.latency_target = 500ms;
  c.deadline = 2s;
  c.freshness = need;
  c.idempotency = effect;
  c.staleness_bound = need == Freshness::bounded ? Duration(1s) : Duration(0);
  c.dedup_window = effect == Idempotency::keyed ? Duration(1200ms) : Duration(0);
  c.dedup_scope = effect == Idempotency::keyed ? DedupScope::group : DedupScope::all;
  return c;
}

Settings make_settings() {
  Settings s;
  s.seed = 7;
  s.cancel_allowed = true;
  s.retry_after_allowed = true;
  s.warm_up_duration = 10s;
  s.cold_capacity_share = 0.2;
  s.classes = {make_class("bounded", Freshness::bounded),
               make_class("session", Freshness::session),
               make_class("any", Freshness::any),
               make_class("fresh", Freshness::fresh),
               make_class("write", Freshness::write, Idempotency::unsafe),
               make_class("keyed", Freshness::write, Idempotency::keyed)};
  return s;
}

class Bench {
 public:
  explicit Bench(Settings s = make_settings(), std::uint32_t hosts = 3, Time start = 100s)
      : now(start), router_(std::move(s)) {
    give(Started{});
    std::vector<HostEntry> entries;
    for (std::uint32_t i = 1; i <= hosts; ++i) entries.push_back(entry(i));
    list(ListKind::cached, entries);
  }
  static HostEntry entry(std::uint32_t id, HostState state = HostState::ready) {
    HostEntry e;
    e.host = HostId{id};
    e.group = GroupId{1};
    e.state = state;
    return e;
  }
  void give(const Event& e) {
    std::vector<Action> actions;
    router_.handle(now, e, actions);
    for (const auto& a : actions) {
      if (const auto* s = std::get_if<Send>(&a)) {
        sends.push_back(*s);
        last_host[s->request.value] = s->host.value;
        ++attempts[s->request.value];
      } else if (const auto* c = std::get_if<Cancel>(&a)) {
        cancels.push_back(*c);
      } else if (const auto* r = std::get_if<Refuse>(&a)) {
        refused[r->request.value] = r->retry_after;
      } else if (const auto* f = std::get_if<Fail>(&a)) {
        failed.insert(f->request.value);
      } else if (const auto* p = std::get_if<Probe>(&a)) {
        probes.push_back(p->host.value);
      } else if (const auto* t = std::get_if<SetTimer>(&a)) {
        timer = *t;
      } else if (std::holds_alternative<OpenWatch>(a)) {
        watches.push_back(now);
      }
    }
  }
  void list(ListKind kind, std::vector<HostEntry> entries) { give(MembersListed{kind, std::move(entries)}); }
  /// A probe's answer: where the host stands, and whether it is the primary.
  void report(std::uint32_t host, Time position, bool primary, std::optional<double> queue = {}) {
    ProbeEnded e;
    e.host = HostId{host};
    e.report.position = position;
    e.report.queue_length = queue;
    e.report.role = primary ? Role::primary : Role::replica;
    give(e);
  }
  std::uint64_t ask(ClassId cls, std::optional<std::uint64_t> session_key = {}, Duration left = 2s,
                    std::optional<Duration> age = {}) {
    RequestArrived e;
    e.request = RequestId{++next};
    e.class_id = cls;
    e.group = GroupId{1};
    e.time_left = left;
    if (session_key) e.session = SessionId{*session_key};
    e.token_age = age;
    give(e);
    return next;
  }
  void end(std::uint64_t request, Outcome outcome, AnswerMetadata note = {}, bool ended = false) {
    AttemptEnded e;
    e.request = RequestId{request};
    e.attempt = attempts[request] - 1;
    e.host = HostId{last_host[request]};
    e.outcome = outcome;
    e.metadata = note;
    e.request_ended = ended || outcome == Outcome::ok;
    give(e);
  }
  /// Lets time pass, beat by beat.
  static constexpr Time asleep = Time::max();
  void pass(Duration d) {
    const auto until = now + d;
    while (timer.due <= until) {
      now = std::max(now, timer.due);
      const auto fired = timer.timer;
      timer.due = asleep;
      give(TimerFired{fired});
    }
    now = until;
  }
  [[nodiscard]] bool sent(std::uint64_t request) const { return last_host.count(request) > 0; }
  [[nodiscard]] std::size_t held() const { return router_.entry_count(); }
  /// Sends a request and waits out the probes that it may need first.
  std::uint32_t to(ClassId cls, std::optional<std::uint64_t> key = {}, std::optional<Duration> age = {}) {
    const auto r = ask(cls, key, 2s, age);
    pass(60ms);
    return sent(r) ? last_host[r] : 0;
  }
  /// Where `n` reads of a class go, each answered at once.
  std::map<std::uint32_t, int> spread(ClassId cls, int n) {
    std::map<std::uint32_t, int> to;
    for (int i = 0; i < n; ++i) {
      const auto r = ask(cls);
      if (!sent(r)) {
        ++to[0];
        continue;
      }
      ++to[last_host[r]];
      end(r, Outcome::cancelled, {}, true);
    }
    return to;
  }

  Time now;
  std::vector<Send> sends;
  std::vector<Cancel> cancels;
  std::map<std::uint64_t, Duration> refused;
  std::set<std::uint64_t> failed;
  std::vector<std::uint32_t> probes;
  std::vector<Time> watches;
  SetTimer timer;
  std::map<std::uint64_t, std::uint32_t> last_host;
  std::map<std::uint64_t, std::uint32_t> attempts;
  std::uint64_t next = 0;

 private:
  Router router_;
};

// ---- weights and positions ----------------------------------------------------------------------

TEST(Weights, FullUnderHalfTheBoundHalfUpToItDownPast) {
  Bench b;
  b.report(1, b.now, true);
  b.report(2, b.now - 499ms, false);
  b.report(3, b.now - 500ms, false);
  auto to = b.spread(bounded, 3000);
  EXPECT_EQ(to[1], 0);
  EXPECT_NEAR(to[2], 2000, 120);  // 1 against 0.5
  b.now += 501ms;                 // host 2 stands at 1000 ms, host 3 at 1001 ms
  b.report(1, b.now, true);
  to = b.spread(bounded, 100);
  EXPECT_EQ(to[2], 100);
}

TEST(Weights, PositionsNeverRegressAndAreNotBelievedAhead) {
  Bench b;
  b.report(1, b.now, true);
  b.report(2, b.now - 100ms, false);
  b.report(2, b.now - 5s, false);
  b.report(3, b.now + 1s, false);
  EXPECT_EQ(b.spread(bounded, 50)[2], 50);
}

TEST(Weights, AnswersCarryPositions) {
  Bench b;
  b.report(1, b.now, true);
  const auto r = b.ask(any);
  const auto host = b.last_host[r];
  b.end(r, Outcome::ok, AnswerMetadata{Role::replica, b.now});
  EXPECT_EQ(b.spread(bounded, 50)[host], 50);
}

TEST(Weights, SessionReadNeedsItsOwnWrite) {
  Bench b;
  b.report(1, b.now, true);
  b.report(2, b.now - 10ms, false);
  b.report(3, b.now - 10ms, false);
  const auto w = b.ask(write, 9);
  ASSERT_EQ(b.last_host[w], 1U);
  b.end(w, Outcome::ok, AnswerMetadata{Role::primary, b.now});
  const auto commit = b.now;
  EXPECT_EQ(b.to(session, 9), 1U);
  EXPECT_NE(b.to(session, 8), 1U);
  b.now += 300ms;
  b.report(1, b.now, true);
  b.report(3, commit, false);
  EXPECT_EQ(b.last_host[b.ask(session, 9)], 3U);
}

TEST(Weights, CarriedTokenDatesTheWrite) {
  auto s = make_settings();
  s.token_mode = TokenMode::carried;
  Bench b(s);
  b.report(1, b.now, true);
  b.report(2, b.now - 100ms, false);
  EXPECT_EQ(b.last_host[b.ask(session, 9, 2s, 250ms)], 2U);
  EXPECT_EQ(b.to(session, 9, 50ms), 1U);
  EXPECT_NE(b.to(session, 9, 0ms), 1U) << "no write: any replica will do";
}

TEST(Weights, ForgottenSessionLeavesAFloor) {
  Bench b;
  b.report(1, b.now, true);
  b.report(2, b.now, false);
  const auto w = b.ask(write, 9);
  b.end(w, Outcome::ok, AnswerMetadata{Role::primary, b.now + 1us});
  const auto held = b.held();
  b.pass(120s);
  b.end(b.ask(any), Outcome::ok);
  EXPECT_LT(b.held(), held);
  b.report(1, b.now, true);
  EXPECT_EQ(b.to(session, 9), 1U) << "no replica is known to have reached the forgotten write";
}

TEST(Weights, AnyReadsUseUnheardReplicas) {
  Bench b;
  b.report(1, b.now, true);
  const auto to = b.spread(any, 200);
  EXPECT_EQ(to.count(1), 0U);
  EXPECT_GT(to.at(2), 50);
  EXPECT_GT(to.at(3), 50);
}

TEST(Fallback, PrimaryTakesReadsThatNoReplicaCan) {
  Bench b;
  b.report(1, b.now, true);
  b.report(2, b.now - 1001ms, false);
  EXPECT_EQ(b.to(bounded), 1U) << "after asking in vain";
  EXPECT_GE(b.probes.size(), 1U);
}

TEST(Fallback, ReadsLeaveThePrimaryRoom) {
  Bench b;
  b.report(1, b.now, true);
  std::vector<std::uint64_t> reads;
  for (int i = 0; i < 40; ++i) reads.push_back(b.ask(bounded));
  EXPECT_FALSE(b.sent(reads.back()));
  EXPECT_TRUE(b.sent(b.ask(write, 1)));
}

TEST(Fallback, CheckingSitesKeepASmallShareAndGoToThePrimaryAfterAMiss) {
  auto s = make_settings();
  s.stale_read_policy = StaleReadPolicy::refuse;
  Bench b(s);
  b.report(1, b.now, true);
  b.report(2, b.now - 100ms, false);
  b.report(3, b.now - 1500ms, false);
  auto to = b.spread(bounded, 2000);
  EXPECT_NEAR(to[3], 95, 40);  // 0.05 beside 1
  const auto r = b.ask(bounded);
  b.end(r, Outcome::too_stale, AnswerMetadata{Role::replica, {}});
  EXPECT_EQ(b.last_host[r], 1U);
}

/// One of hundreds of routers believes most replicas past the bound that are not: what they answer says so.
TEST(Fallback, TheShareOfReplicasPastTheBoundFollowsWhatTheyAnswer) {
  auto s = make_settings();
  s.stale_read_policy = StaleReadPolicy::refuse;
  Bench b(s);
  const auto hear = [&](Duration late) {
    b.report(1, b.now, true), b.report(2, b.now - 100ms, false), b.report(3, b.now - late, false);
  };
  hear(1500ms);
  const auto share = [&] { return b.spread(bounded, 2000)[3] / 2000.0; };
  const auto past = [&](Outcome how) {  // those that the draw sends there end like that
    for (int n = 0; n < 40;) {
      const auto r = b.ask(bounded);
      const bool there = b.last_host[r] == 3;
      n += there ? 1 : 0;
      // Its position stays what it was, as where another answers for it.
      b.end(r, there ? how : Outcome::ok, AnswerMetadata{Role::replica, {}});
      if (there && how == Outcome::too_stale) b.end(r, Outcome::ok, AnswerMetadata{Role::primary, {}});
    }
  };
  EXPECT_NEAR(share(), 0.048, 0.02);
  past(Outcome::ok);
  EXPECT_NEAR(share(), 0.33, 0.06) << "half of one within the bound, never more";
  past(Outcome::too_stale);
  EXPECT_NEAR(share(), 0.048, 0.02);
  past(Outcome::ok);
  s.stale_read_policy = StaleReadPolicy::none;  // where it would answer whatever it holds, it gets nothing
  Bench unchecked(s);
  unchecked.report(1, unchecked.now, true), unchecked.report(2, unchecked.now - 100ms, false);
  unchecked.report(3, unchecked.now - 1500ms, false);
  EXPECT_EQ(unchecked.spread(bounded, 500)[3], 0);
}

TEST(Fallback, CheckingSitesTryTheMostAdvancedWhenNoneQualifies) {
  auto s = make_settings();
  s.stale_read_policy = StaleReadPolicy::wait;
  Bench b(s);
  b.report(1, b.now, true);
  b.report(2, b.now - 3s, false);
  b.report(3, b.now - 2s, false);
  EXPECT_EQ(b.last_host[b.ask(bounded)], 3U);
}

/// Of replicas heard at different times the last one heard would always seem the most advanced: each of many
/// routers would stay with one. Where reads past the bound are answered, what counts is how far behind each
/// was when heard.
TEST(Fallback, AmongReplicasHeardLongAgoThoseThatWereLevelAreDrawn) {
  auto s = make_settings();
  s.stale_read_policy = StaleReadPolicy::refuse;
  Bench b(s, 4);
  const auto hear = [&] {
    b.report(1, b.now, true);
    for (const std::uint32_t h : {2, 3}) b.report(h, b.now - 10ms, false), b.now += 20ms;
    b.report(4, b.now - 900ms, false);  // behind, though heard last
    b.now += 1100ms;                    // all are past the bound
  };
  hear();
  auto to = b.spread(bounded, 300);
  EXPECT_EQ(to[3], 300) << "nothing says that they have kept up: by position";
  for (int i = 0; i < 60; ++i) {
    const auto r = b.ask(bounded);
    b.now += 100ms;  // a usual answer, so that no speed sets it apart
    b.end(r, Outcome::ok, AnswerMetadata{Role::replica, {}});
  }
  to = b.spread(bounded, 1000);
  EXPECT_GT(to[2], 300);
  EXPECT_GT(to[3], 300);
  EXPECT_EQ(to[2] + to[3], 1000) << "not the one that was behind";
  for (int i = 0; i < 12; ++i) {
    const auto r = b.ask(bounded);
    b.end(r, Outcome::too_stale, AnswerMetadata{Role::replica, {}});
    b.end(r, Outcome::ok, AnswerMetadata{Role::primary, {}});
  }
  EXPECT_EQ(b.spread(bounded, 300)[3], 300) << "turned away: by position again";
}

// ---- the primary --------------------------------------------------------------------------------

TEST(Primary, NewestEvidenceWinsByWhenItWasTrue) {
  Bench b;
  b.report(1, b.now, true);
  b.report(2, b.now - 200ms, true);  // an old report that arrives late
  EXPECT_EQ(b.last_host[b.ask(write, 1)], 1U);
  b.now += 1s;
  b.report(2, b.now - 10ms, true);
  EXPECT_EQ(b.last_host[b.ask(write, 2)], 2U);
}

TEST(Primary, ListedRoleIsOnlyAHint) {
  auto s = make_settings();
  s.listed_role = ListedRole::start;
  Bench b(s, 0);
  auto listed = Bench::entry(1);
  listed.listed_primary = true;
  b.list(ListKind::full, {listed, Bench::entry(2)});
  EXPECT_EQ(b.last_host[b.ask(write, 1)], 1U);
  b.report(2, b.now, true);
  b.list(ListKind::full, {listed, Bench::entry(2)});
  EXPECT_EQ(b.last_host[b.ask(write, 2)], 2U);
}

TEST(Primary, HandoverMovesAWriteThatWasTurnedAway) {
  Bench b;
  b.report(1, b.now, true);
  const auto w = b.ask(write, 1);
  b.now += 20ms;
  b.end(w, Outcome::too_stale, AnswerMetadata{Role::replica, {}});
  EXPECT_EQ(b.attempts[w], 1U);
  b.pass(150ms);
  EXPECT_FALSE(b.probes.empty()) << "looks again by probing";
  b.report(2, b.now, true);
  EXPECT_EQ(b.last_host[w], 2U);
}

TEST(Primary, WritesWaitInOrderWhileNoneIsKnown) {
  Bench b;
  const auto first = b.ask(write, 1);
  const auto second = b.ask(write, 2);
  EXPECT_TRUE(b.sends.empty());
  b.report(1, b.now, true);
  ASSERT_EQ(b.sends.size(), 2U);
  EXPECT_EQ(b.sends[0].request.value, first);
  EXPECT_EQ(b.sends[1].request.value, second);
}

TEST(Primary, SilentPrimaryGetsNoNewWrites) {
  Bench b;
  b.report(1, b.now, true);
  EXPECT_TRUE(b.sent(b.ask(write, 1)));
  b.pass(1200ms);
  EXPECT_FALSE(b.sent(b.ask(write, 2)));
}

TEST(Primary, CrashIsSeenByLostProbes) {
  Bench b;
  b.report(1, b.now, true);
  for (int i = 0; i < 2; ++i) b.give(ProbeEnded{HostId{1}, Outcome::connect_failed, 250ms, {}});
  EXPECT_FALSE(b.sent(b.ask(write, 1)));
  b.now += 10ms;
  b.report(2, b.now, true);
  EXPECT_EQ(b.last_host[b.next], 2U);
}

// ---- rule 1: one final answer in time -----------------------------------------------------------

TEST(Rules, OneWaitingRequestIsAnsweredWithinItsTime) {
  Bench b;
  const auto w = b.ask(write, 1, 800ms);
  b.pass(820ms);
  EXPECT_EQ(b.refused.count(w), 1U);
  EXPECT_EQ(b.failed.count(w), 0U);
}

// i015cf8, ib7160c: an arrival in the beat's own batch re-armed it, and it never rang on a busy router.
TEST(Rules, OneArrivalsInEveryBatchDoNotStarveTheBeat) {
  Bench b;
  const auto w = b.ask(write, 1, 800ms);
  for (int i = 0; i < 400; ++i) {
    b.now += 5ms;
    b.ask(any);
    if (b.now >= b.timer.due) b.give(TimerFired{b.timer.timer});
  }
  EXPECT_EQ(b.refused.count(w), 1U);
}

TEST(Rules, OneNothingIsSentAfterTheEnd) {
  Bench b;
  b.report(1, b.now, true);
  const auto r = b.ask(any);
  b.give(ClientLeft{RequestId{r}});
  const auto sends = b.sends.size();
  b.end(r, Outcome::error);
  b.pass(500ms);
  EXPECT_EQ(b.sends.size(), sends);
  EXPECT_EQ(b.refused.count(r) + b.failed.count(r), 0U);
}

// ---- rule 2: no effect twice --------------------------------------------------------------------

TEST(Rules, TwoUnsafeThatMayHaveRunFailsAndIsNotRepeated) {
  for (const auto outcome : {Outcome::error, Outcome::timeout, Outcome::reset, Outcome::cancelled}) {
    Bench b;
    b.report(1, b.now, true);
    const auto w = b.ask(write, 1);
    b.end(w, outcome);
    EXPECT_EQ(b.attempts[w], 1U);
    EXPECT_EQ(b.failed.count(w), 1U);
    EXPECT_EQ(b.refused.count(w), 0U);
  }
}

TEST(Rules, TwoUnsafeThatNeverRanIsRepeated) {
  for (const auto outcome : {Outcome::full, Outcome::connect_failed, Outcome::not_sent}) {
    Bench b;
    b.report(1, b.now, true);
    for (int i = 0; i < 12; ++i) b.end(b.ask(write, 1), Outcome::ok);  // not overloaded
    const auto w = b.ask(write, 1);
    b.end(w, outcome);
    b.pass(330ms);  // a refused connection waits for the host's trial
    EXPECT_EQ(b.attempts[w], 2U);
  }
}

TEST(Rules, TwoKeyedIsRepeatedInsideItsWindowOnlyAndNeverRefused) {
  Bench b;
  b.report(1, b.now, true);
  const auto w = b.ask(keyed, 1);
  b.now += 100ms;
  b.end(w, Outcome::error);
  EXPECT_EQ(b.attempts[w], 2U);
  b.now += 1150ms;  // past the window of the first, though not of the second
  b.report(1, b.now, true);
  b.end(w, Outcome::error);
  EXPECT_EQ(b.attempts[w], 2U);
  b.pass(100ms);
  EXPECT_EQ(b.failed.count(w), 1U);
  EXPECT_EQ(b.refused.count(w), 0U);
}

TEST(Rules, TwoSafeIsRepeatedElsewhere) {
  Bench b;
  b.report(1, b.now, true);
  const auto r = b.ask(any);
  const auto first = b.last_host[r];
  b.end(r, Outcome::error);
  EXPECT_EQ(b.attempts[r], 2U);
  EXPECT_NE(b.last_host[r], first);
}

TEST(Rules, TwoSilentHostsWorkIsTakenBackBeforeItIsSentAgain) {
  Bench b;
  b.report(1, b.now, true);
  const auto r = b.ask(any, {}, 2s);
  for (int i = 0; i < 2; ++i) b.give(ProbeEnded{HostId{b.last_host[r]}, Outcome::timeout, 250ms, {}});
  b.pass(50ms);
  ASSERT_EQ(b.cancels.size(), 1U);
  EXPECT_EQ(b.attempts[r], 1U) << "one attempt out at a time";
  b.end(r, Outcome::cancelled);
  EXPECT_EQ(b.attempts[r], 2U);
}

// ---- rule 3: drains -----------------------------------------------------------------------------

TEST(Rules, ThreeNothingGoesToADrainingOrRemovedHost) {
  Bench b;
  b.report(1, b.now, true);
  b.list(ListKind::delta, {Bench::entry(2, HostState::draining)});
  EXPECT_EQ(b.spread(any, 50)[3], 50);
  b.list(ListKind::full, {Bench::entry(1), Bench::entry(2)});
  EXPECT_EQ(b.spread(any, 50)[2], 50) << "3 is absent from a full list, 2 is back";
  b.list(ListKind::delta, {Bench::entry(1, HostState::gone)});
  EXPECT_FALSE(b.sent(b.ask(write, 1)));
}

TEST(Rules, ThreeWhereOnlyDrainsBindAHostThatLeftTheListStaysInUse) {
  auto s = make_settings();
  s.removed_hosts_stay_usable = true;
  Bench b(s);
  b.report(1, b.now, true);
  b.list(ListKind::full, {Bench::entry(1), Bench::entry(2)});
  EXPECT_GT(b.spread(any, 100)[3], 20);
  b.list(ListKind::delta, {Bench::entry(3, HostState::draining)});
  EXPECT_EQ(b.spread(any, 50)[3], 0);
}

// ---- rule 4: cold hosts -------------------------------------------------------------------------

TEST(Rules, FourAStartedHostGetsABudgetPerWindow) {
  Bench b;
  b.report(1, b.now, true);
  auto back = Bench::entry(2);
  back.started_at = b.now - 100ms;
  b.list(ListKind::delta, {back});
  int cold = 0;
  for (int i = 0; i < 200; ++i) {
    const auto r = b.ask(any);
    cold += b.last_host[r] == 2U ? 1 : 0;
    b.now += 10ms;
    b.end(r, Outcome::ok, AnswerMetadata{Role::replica, {}});
  }
  EXPECT_GE(cold, 1);
  EXPECT_LE(cold, 60) << "cold_from 0.2 x multiple 3 x one half, of what the warm ones get";
  b.pass(11s);
  b.report(1, b.now, true);
  EXPECT_GT(b.spread(any, 200)[2], 60);
}

/// Hundreds of routers over groups of three hosts: host 3g + 1 is the primary of group g. Every attempt is
/// answered after `latency`. Host 1 starts cold at `start`; what is sent to it is noted.
class Fleet {
 public:
  static constexpr int routers = 300, groups = 12;
  static constexpr double per_host = 15;  // requests a second that a host answers before the start
  explicit Fleet(bool known_primary = true) : known_primary_(known_primary) {
    for (std::uint32_t i = 0; i < routers; ++i) restart(i);
  }
  void restart(std::uint32_t i) {
    Settings s;
    s.seed = 977 + i + 100'000 * static_cast<std::uint64_t>(restarts_++);
    s.instance_count = routers;
    s.instance_index = i;
    s.retry_after_allowed = true;
    s.warm_up_duration = 10s;
    s.cold_capacity_share = 0.2;
    s.overload_multiple = 2;
    s.overload_window = 1500ms;
    s.probe_cost = 0.02;
    auto quick = make_class("any", Freshness::any);
    auto write = make_class("write", Freshness::write, Idempotency::keyed);
    auto lagged = make_class("bounded", Freshness::bounded);
    s.classes = {quick, write, lagged};
    if (i == nodes_.size()) nodes_.emplace_back();
    Node& n = nodes_[i];
    n.router = std::make_unique<Router>(s);
    n.due.clear();
    n.open.clear();
    n.tries.clear();
    give(n, Started{});
    MembersListed list;
    for (std::uint32_t h = 1; h <= 3 * groups; ++h) list.entries.push_back(entry(h));
    list.kind = ListKind::cached;
    give(n, list);
    for (std::uint32_t g = known_primary_ ? 0 : 1; g < groups; ++g) report(n, 3 * g + 1);
  }
  /// The group of host 1 is left with it alone; all routers hear at once.
  void begin() {
    start_ = now_;
    MembersListed list;
    list.kind = ListKind::delta;
    for (std::uint32_t h = 1; h <= 3; ++h) list.entries.push_back(entry(h));
    for (auto& n : nodes_) give(n, list);
  }
  void tell_primary() {
    known_primary_ = true;
    for (auto& n : nodes_) report(n, 1);
  }
  /// Traffic, spread evenly: `load` times the usual, `to_first` of it to the group of host 1.
  void run(Duration d, double load = 1, double to_first = 1.0 / groups) {
    const double rate = load * per_host * groups * 3;
    for (const auto until = now_ + d; now_ < until;) {
      now_ += 5ms;
      for (auto& n : nodes_) advance(n);
      for (credit_ += rate * 0.005; credit_ >= 1; --credit_) {
        RequestArrived e;
        e.request = RequestId{++next_};
        e.class_id = ClassId{static_cast<std::int32_t>(random_() % 3)};
        const bool first = random_() % 1000 < static_cast<unsigned>(to_first * 1000);
        e.group = GroupId{first ? 0 : 1 + static_cast<std::int64_t>(random_() % (groups - 1))};
        e.time_left = 2s;
        give(nodes_[random_() % routers], e);
      }
    }
  }
  /// One write for the group of host 1 at every router at once.
  void flood() {
    for (auto& n : nodes_) {
      RequestArrived e;
      e.request = RequestId{++next_};
      e.class_id = ClassId{1};
      e.group = GroupId{0};
      e.time_left = 2s;
      give(n, e);
    }
  }
  /// The fullest window: sends to host 1, with a probe as a hundredth, over what rule 4 lets through then.
  [[nodiscard]] double fullest() const {
    double most = 0;
    for (std::size_t i = 0; i < work_.size(); ++i) {
      double sum = 0;
      for (auto k = i; k < work_.size() && work_[k].first < work_[i].first + 1500ms; ++k)
        sum += work_[k].second;
      const double age = static_cast<double>((work_[i].first - start_).count()) / 1e6;
      const double capacity = (0.2 + 0.08 * (age + 0.75)) * per_host;  // its mean in this window
      most = std::max(most, sum / (2 * capacity * 1.5));
    }
    return most;
  }
  [[nodiscard]] int sent() const {
    return static_cast<int>(std::count_if(
        work_.begin(), work_.end(), [](auto& w) { return w.second == 1; }));
  }
  [[nodiscard]] int probed() const { return static_cast<int>(work_.size()) - sent(); }
  bool deaf = false;  // host 1 answers no probe
  double errors = 0;  // share of the attempts that fail at once, but those at host 1
  Duration latency{120'000};

 private:
  struct Node {
    std::unique_ptr<Router> router;
    std::multimap<Time, Event> due;
    std::map<std::uint64_t, std::uint32_t> tries;
    std::set<std::uint64_t> open;
  };
  HostEntry entry(std::uint32_t h) const {
    HostEntry e;
    e.host = HostId{h};
    e.group = GroupId{(h - 1) / 3};
    if (start_ > 0s && h <= 3) {
      e.state = h == 1 ? HostState::ready : HostState::gone;
      if (h == 1) e.started_at = start_;
    }
    return e;
  }
  void report(Node& n, std::uint32_t h) {
    ProbeEnded e;
    e.host = HostId{h};
    e.report.position = now_;
    e.report.role = Role::primary;
    give(n, e);
  }
  void advance(Node& n) {
    while (!n.due.empty() && n.due.begin()->first <= now_) {
      const auto e = n.due.begin()->second;
      n.due.erase(n.due.begin());
      give(n, e);
    }
  }
  void give(Node& n, const Event& event) {
    std::vector<Action> actions;
    n.router->handle(now_, event, actions);
    for (const auto& a : actions) {
      if (const auto* s = std::get_if<Send>(&a)) {
        if (s->host == HostId{1} && start_ > 0s) work_.emplace_back(now_, 1);
        const bool bad = s->host != HostId{1} && random_() % 1000 < static_cast<unsigned>(errors * 1000);
        AttemptEnded e;
        e.request = s->request;
        e.attempt = n.tries[s->request.value]++;
        e.host = s->host;
        e.outcome = bad ? Outcome::error : Outcome::ok;
        e.elapsed = bad ? Duration(5ms) : latency;
        e.request_ended = !bad;
        e.metadata.role = s->host.value % 3 == 1 ? Role::primary : Role::replica;
        n.due.emplace(now_ + e.elapsed, e);
      } else if (const auto* p = std::get_if<Probe>(&a)) {
        if (p->host == HostId{1} && start_ > 0s) work_.emplace_back(now_, 0.01);
        ProbeEnded e;
        e.host = p->host;
        e.elapsed = 2ms;
        e.report.position = now_;
        if (p->host != HostId{1} || known_primary_)
          e.report.role = p->host.value % 3 == 1 ? Role::primary : Role::replica;
        const bool lost = deaf && p->host == HostId{1};
        if (lost) e.outcome = Outcome::timeout, e.report = {};
        n.due.emplace(now_ + (lost ? 250ms : 2ms), e);
      } else if (const auto* t = std::get_if<SetTimer>(&a)) {
        n.due.emplace(std::max(t->due, now_ + 5ms), TimerFired{t->timer});
      }
    }
  }
  Time now_ = 100s, start_ = 0s;
  bool known_primary_;
  int restarts_ = 0;
  std::vector<Node> nodes_;
  std::vector<std::pair<Time, double>> work_;
  double credit_ = 0;
  std::uint64_t next_ = 0;
  std::mt19937_64 random_{11};
};

TEST(ColdHost, TheOnlyHostLeftGetsNoMoreThanItsBudgetInAnyWindow) {
  Fleet f;
  f.run(4s);
  f.begin();
  f.run(10s, 1, 2.0 / Fleet::groups);
  EXPECT_LE(f.fullest(), 1) << "its group's traffic doubles as well";
  EXPECT_GE(f.sent(), 70) << "it is used";  // 61 with a half of the budget
}

TEST(ColdHost, WorkHeldByAllRoutersDoesNotMeetWhenThePrimaryIsTold) {
  Fleet f(false);
  f.run(4s, 1, 0.4);
  f.begin();
  f.run(8s, 1, 0.4);
  f.tell_primary();
  f.run(2s, 1, 0.4);
  EXPECT_LE(f.fullest(), 1);
  EXPECT_GE(f.sent(), 3);
}

TEST(ColdHost, ABurstOfRepeatedAttemptsIsNoSignThatItCanTakeMore) {
  Fleet f;
  f.run(4s);
  f.errors = 0.75;
  f.run(3s, 2.5);
  f.begin();
  f.run(4s, 2.5);
  EXPECT_LE(f.fullest(), 1);
}

TEST(ColdHost, ReadsHeldByHundredsDoNotFloodItWithProbes) {
  Fleet f(false);
  f.deaf = true;
  f.run(4s);
  f.begin();
  f.run(4s, 1, 0.4);
  EXPECT_GT(f.probed(), 0);
  EXPECT_LE(f.probed(), 750) << "each router once in 0.36 s (a hundredth of 300 latencies) over its warmth";
}

TEST(ColdHost, RoutersThatRestartBringNoFreshBudget) {
  Fleet f;
  f.run(4s);
  f.begin();
  f.run(3s, 1, 0.25);
  for (std::uint32_t i = 0; i < Fleet::routers; ++i) f.restart(i);
  f.flood();
  f.run(2s, 1, 0.25);
  EXPECT_LE(f.fullest(), 1);
}

/// Where some queues are known and others not, those heard last must not have all reads until others are
/// heard: the others count as usual ones. Nobody is asked for its queue alone.
TEST(Size, AReplicaWhoseQueueIsNotKnownIsDrawnAsAUsualOne) {
  auto s = make_settings();
  s.probe_cost = 0.05;
  s.probes_allowed = true;
  s.answers_carry_position = true;
  Bench b(s, 4);
  b.report(1, b.now, true, 0.0);
  b.report(2, b.now, false, 0.0), b.report(3, b.now, false, 0.0), b.report(4, b.now, false, 0.0);
  b.pass(3s);  // no report counts as news any more
  b.report(2, b.now, false, 0.0);
  const auto asked = b.probes.size();
  auto to = b.spread(any, 3000);
  for (const std::uint32_t h : {2, 3, 4}) EXPECT_NEAR(to[h], 1000, 150) << h;
  EXPECT_EQ(b.probes.size(), asked);
  b.report(2, b.now, false,
           3.0);  // what is heard of one says something of all, and no more of it than of them
  to = b.spread(any, 3000);
  for (const std::uint32_t h : {2, 3, 4}) EXPECT_NEAR(to[h], 1000, 150) << h;
  b.report(3, b.now, false, 0.0);  // a known queue tells them apart
  to = b.spread(any, 3000);
  EXPECT_GT(to[3], to[2] * 2);
  EXPECT_GT(to[3], to[4]);
  EXPECT_GT(to[4], to[2]);
}

TEST(Size, AThinTrickleAsksWhenAReadNeedsItAndSleepsOtherwise) {
  auto s = make_settings();
  s.instance_count = 300;
  s.probe_cost = 0.02;
  Bench b(s);
  b.report(1, b.now, true);
  b.end(b.ask(any), Outcome::ok);
  b.pass(1s);
  const auto idle = b.probes.size();
  b.pass(60s);
  EXPECT_EQ(b.probes.size(), idle);
  EXPECT_EQ(b.timer.due, Bench::asleep);
  const auto r = b.ask(bounded);
  ASSERT_GT(b.probes.size(), idle);
  EXPECT_FALSE(b.sent(r));
  b.report(b.probes.back(), b.now - 100ms, false);
  EXPECT_EQ(b.last_host[r], b.probes.back());
}

TEST(Size, OneReplicaIsAskedWhereAnswersTellPositionsToo) {
  for (const bool carry : {false, true}) {
    auto s = make_settings();
    s.instance_count = 400;
    s.probe_cost = 0.04;
    s.answers_carry_position = carry;
    Bench b(s, 4);
    b.report(1, b.now, true);
    b.pass(3s);
    b.probes.clear();
    b.ask(bounded);
    EXPECT_EQ(b.probes.size(), carry ? 1U : 2U);
  }
}

TEST(Size, RecentLoadShedsTheLeastWorthFirst) {
  auto s = make_settings();
  s.instance_count = 300;
  s.classes[4].value = 6;
  Bench b(s);
  b.report(1, b.now, true);
  const auto serve = [&](ClassId cls) {
    const auto r = b.ask(cls, 1);
    if (!b.sent(r)) return 0;
    b.now += 240ms;
    b.report(1, b.now, true);
    b.end(r, Outcome::ok);
    return 1;
  };
  int writes = 0, others = 0;
  for (int i = 0; i < 20; ++i) {
    writes += serve(write);
    others += serve(fresh);
  }
  EXPECT_GT(writes, others);
}

/// A lone primary, loaded so that part of what needs it is shed: reads that only fall back to it go first.
TEST(Size, ReadsThatFallBackLeaveALoadedPrimaryFirst) {
  std::map<int, int> served;
  for (const auto cls : {fresh, bounded}) {
    auto s = make_settings();
    s.instance_count = 400;
    Bench b(s, 1);
    b.report(1, b.now, true);
    for (int i = 0; i < 300; ++i) {
      const auto r = b.ask(cls);
      b.pass(230ms);
      if (!b.sent(r)) continue;
      served[cls.value] += i >= 100 ? 1 : 0;
      b.end(r, Outcome::ok, AnswerMetadata{Role::primary, {}});
    }
  }
  EXPECT_GT(served[fresh.value], 50);
  EXPECT_LT(served[bounded.value], served[fresh.value] * 2 / 3);
}

TEST(Size, LostProbesSayNothingWhileHostsAnswer) {
  Bench b;
  b.report(1, b.now, true);
  const auto lose = [&] {
    for (int i = 0; i < 2; ++i) {
      ProbeEnded e;
      e.host = HostId{1};
      e.outcome = Outcome::timeout;
      b.give(e);
    }
  };
  for (int i = 0; i < 6; ++i) {
    const auto w = b.ask(write, 1);
    lose();
    if (b.sent(w)) b.end(w, Outcome::ok, AnswerMetadata{Role::primary, b.now});
  }
  lose();
  EXPECT_TRUE(b.sent(b.ask(write, 1)));
}

TEST(Size, ASlowConnectionIsNoRefusal) {
  for (const auto elapsed : {0ms, 250ms}) {
    Bench b;
    b.report(1, b.now, true);
    const auto w = b.ask(write, 1);
    AttemptEnded e;
    e.request = RequestId{w};
    e.host = HostId{1};
    e.outcome = Outcome::connect_failed;
    e.elapsed = elapsed;
    b.give(e);
    EXPECT_EQ(b.attempts[w], elapsed == 0ms ? 1U : 2U);
  }
}

TEST(Size, ReadsGoWhereTheReportedQueueIsShort) {
  Bench b;
  b.report(1, b.now, true);
  b.report(2, b.now, false, 200);
  b.report(3, b.now, false, 0);
  EXPECT_EQ(b.spread(bounded, 20)[3], 20);
}

// ---- rule 5: no stale read ----------------------------------------------------------------------

TEST(Rules, FiveAnUnheardOrLaggingReplicaGetsNoBoundedRead) {
  Bench b;
  EXPECT_FALSE(b.sent(b.ask(bounded)));
  b.report(2, b.now - 1001ms, false);
  EXPECT_TRUE(b.sends.empty());
  b.report(2, b.now - 900ms, false);
  EXPECT_EQ(b.last_host[b.next], 2U);
}

TEST(Rules, FiveAFurtherAttemptIsJudgedAtItsOwnInstant) {
  Bench b;
  b.report(2, b.now - 900ms, false);
  b.report(3, b.now - 900ms, false);
  const auto r = b.ask(bounded);
  b.now += 150ms;
  b.end(r, Outcome::error);
  EXPECT_EQ(b.attempts[r], 1U);
}

TEST(Rules, FiveFreshReadsGoToThePrimary) {
  Bench b;
  b.report(1, b.now, true);
  b.report(2, b.now, false);
  EXPECT_EQ(b.spread(fresh, 30)[1], 30);
}

// ---- health -------------------------------------------------------------------------------------

TEST(Health, FastFailuresAreNotTakenForSpeed) {
  Bench b;
  b.report(1, b.now, true);
  for (int i = 0; i < 30; ++i) {
    const auto r = b.ask(any);
    if (b.last_host[r] == 2U) b.end(r, Outcome::error);
    b.now += 20ms;
    if (b.last_host[r] == 3U) b.end(r, Outcome::ok, AnswerMetadata{Role::replica, {}});
  }
  EXPECT_GT(b.spread(any, 100)[3], 90);
}

TEST(Health, NeverEveryMemberIsOut) {
  Bench b(make_settings(), 2);
  b.report(1, b.now, false);
  b.report(2, b.now, false);
  for (int i = 0; i < 12; ++i) {
    const auto r = b.ask(any);
    ASSERT_TRUE(b.sent(r));
    b.end(r, Outcome::reset, {}, true);
  }
  EXPECT_TRUE(b.sent(b.ask(any)));
}

TEST(Health, TimeOutsShrinkTheWindowOfAHostThatAnswersOthers) {
  Bench b(make_settings(), 2);
  b.report(1, b.now, true);
  const auto fill = [&] {
    std::vector<std::uint64_t> out;
    for (int i = 0; i < 60; ++i) {
      const auto r = b.ask(any, {}, 2s);
      if (b.sent(r) && b.last_host[r] == 2U) out.push_back(r);
    }
    return out;
  };
  const auto before = fill();
  b.now += 400ms;
  for (std::size_t i = 0; i < 4; ++i) b.end(before[i], Outcome::ok, AnswerMetadata{Role::replica, {}});
  for (std::size_t i = 4; i < before.size(); ++i) {
    b.now += 130ms;
    b.end(before[i], Outcome::timeout, {}, true);
  }
  b.pass(3s);
  EXPECT_LT(fill().size(), before.size());
}

// i358951: a lost answer comes back as a time-out many aims late; beside quick answers it is no sign of a
// queue.
TEST(Health, LostAnswersDoNotShutTheWindow) {
  Bench b(make_settings(), 2);
  b.report(1, b.now, true);
  for (int i = 0; i < 60; ++i) {
    const auto lost = b.ask(any);
    const auto quick = b.ask(any);
    ASSERT_EQ(b.last_host[quick], 2U);
    b.now += 60ms;
    b.end(quick, Outcome::ok, AnswerMetadata{Role::replica, {}});
    if (i % 4 == 0) {
      b.now += 1500ms;
      b.end(lost, Outcome::timeout, {}, true);
    } else {
      b.end(lost, Outcome::ok, AnswerMetadata{Role::replica, {}});
    }
  }
  int room = 0;
  for (int i = 0; i < 40; ++i) room += b.sent(b.ask(any)) ? 1 : 0;
  EXPECT_GE(room, 4);
}

TEST(Primary, AQuietPrimaryWhosePositionMovesGetsATrial) {
  Bench b;
  b.report(1, b.now, true);
  ASSERT_TRUE(b.sent(b.ask(write, 1)));  // its answer is lost
  const auto pass = [&](Duration d) {
    for (const auto until = b.now + d; b.now < until;) {
      b.pass(100ms);
      b.report(1, b.now, true);
    }
  };
  pass(1200ms);
  const auto second = b.ask(write, 2);
  pass(300ms);
  EXPECT_EQ(b.last_host[second], 1U);
  const auto third = b.ask(write, 3);
  EXPECT_FALSE(b.sent(third)) << "one trial at a time";
  b.end(second, Outcome::ok, AnswerMetadata{Role::primary, b.now});
  EXPECT_TRUE(b.sent(third));
}

TEST(Primary, AFrozenClaimIsNotBelievedForLong) {
  Bench b;
  const auto claimed = b.now;
  b.report(1, claimed, true);
  ASSERT_TRUE(b.sent(b.ask(write, 1)));
  for (int i = 0; i < 12; ++i) {
    b.pass(100ms);
    b.report(1, claimed, true);  // probes are answered, the position stands still
  }
  EXPECT_FALSE(b.sent(b.ask(write, 2)));
}

// A site whose aims are short beside the age of its reports: a claim that moves on is no frozen one.
TEST(Primary, AMovingClaimIsBelievedHoweverOldReportsAre) {
  auto s = make_settings();
  for (auto& c : s.classes) c.latency_target = 80ms;
  Bench b(s);
  for (int i = 0; i < 20; ++i) {
    b.pass(100ms);
    b.report(1, b.now - 250ms, true);
  }
  b.pass(90ms);
  EXPECT_TRUE(b.sent(b.ask(write, 1)));
}

// Replicas past the bound and a primary that fails most requests: some of its answers beat none.
TEST(Primary, AReadWithNowhereElseToGoUsesItInSpiteOfErrors) {
  for (const bool lagging : {true, false}) {
    Bench b;
    const auto start = b.now;
    int erred = 0;
    for (int i = 0; i < 30; ++i) {
      b.pass(100ms);
      b.report(1, b.now, true);
      for (const std::uint32_t replica : {2U, 3U}) b.report(replica, lagging ? start : b.now, false);
      const auto r = b.ask(fresh);
      if (!b.sent(r)) continue;
      ++erred;
      b.end(r, Outcome::error);
      b.end(r, Outcome::error, {}, true);
    }
    ASSERT_GT(erred, 5);
    b.report(1, b.now, true);
    EXPECT_EQ(b.to(bounded) == 1U, lagging);
  }
}

// ib4e6e7: a process that refused connections and answers again has started anew, announced or not.
TEST(Rules, FourAHostBackFromRefusalsCountsAsCold) {
  Bench b;
  b.report(1, b.now, true);
  int refusals = 0;
  for (int i = 0; i < 200 && refusals < 2; ++i) {
    const auto r = b.ask(any);
    ASSERT_TRUE(b.sent(r));
    const bool two = b.last_host[r] == 2U;
    refusals += two ? 1 : 0;
    b.end(r, two ? Outcome::connect_failed : Outcome::cancelled, {}, true);
    b.pass(200ms);
  }
  ASSERT_EQ(refusals, 2);
  bool back = false;
  for (int i = 0; i < 200 && !back; ++i) {
    const auto r = b.ask(any);
    back = b.last_host[r] == 2U;
    b.now += 50ms;
    b.end(r, Outcome::ok, AnswerMetadata{Role::replica, {}});
    b.pass(200ms);
  }
  ASSERT_TRUE(back);
  auto to = b.spread(any, 200);
  EXPECT_LE(to[2], 60);
}

TEST(Health, RefusedConnectionsAreNotTriedAgainAtOnce) {
  Bench b(make_settings(), 2);
  b.report(1, b.now, false);
  b.report(2, b.now, false);
  const auto first = b.ask(any);
  for (int i = 0; i < 8 && b.refused.empty() && b.attempts[first] == static_cast<std::uint32_t>(i + 1); ++i)
    b.end(first, Outcome::connect_failed);
  EXPECT_EQ(b.attempts[first], 2U) << "both hosts once";
}

// A hundred routers that took writes back from a slow primary and sent them there again only made its queue
// longer.
TEST(Health, WhatOnlyThePrimaryCanTakeIsNotTakenBackFromItToBeSentThereAgain) {
  Bench b;
  b.report(1, b.now, true);
  const auto w = b.ask(keyed, 1);
  const auto f = b.ask(fresh);
  ASSERT_TRUE(b.sent(w) && b.sent(f));
  for (int i = 0; i < 2; ++i) b.give(ProbeEnded{HostId{1}, Outcome::timeout, 250ms, {}});
  b.pass(100ms);
  EXPECT_TRUE(b.cancels.empty());
  b.now += 10ms;
  b.report(2, b.now, true);  // another has taken over: now there is somewhere to go
  b.pass(100ms);
  EXPECT_EQ(b.cancels.size(), 2U);
}

// One of a hundred routers meets a host every few seconds: after four lost requests the day is over.
TEST(Health, OneFailureAfterLongQuietKeepsAHostOutAndOneAmongManyDoesNot) {
  for (const bool thin : {true, false}) {
    Bench b(make_settings(), 4);
    b.report(1, b.now, true);
    std::uint32_t bad = 0;
    for (int i = 0; i < 300 && bad == 0; ++i) {
      const auto r = b.ask(any);
      ASSERT_TRUE(b.sent(r));
      b.now += 20ms;
      if (i >= 100 && b.last_host[r] == 2)
        bad = 2, b.end(r, Outcome::error, {}, true);
      else
        b.end(r, Outcome::ok, AnswerMetadata{Role::replica, {}});
      b.pass(thin ? 4s : 5ms);
    }
    ASSERT_EQ(bad, 2U);
    const auto to = b.spread(any, 60);
    EXPECT_EQ(to.count(2) == 0, thin);
    // It is tried again when its time is up, and one answer makes it whole.
    bool back = false;
    for (int i = 0; i < 200 && !back; ++i) {
      const auto r = b.ask(any);
      back = b.last_host[r] == 2;
      b.now += 20ms;
      b.end(r, Outcome::ok, AnswerMetadata{Role::replica, {}});
      b.pass(1s);
    }
    EXPECT_TRUE(back) << thin;
  }
}

TEST(Primary, AWriteAsksForThePrimaryItselfWhereProbesCostTooMuch) {
  auto s = make_settings();
  s.probe_cost = 0.08;
  Bench b(s, 4);
  const auto w = b.ask(keyed, 1);
  std::set<std::uint32_t> asked;
  for (int i = 0; i < 4; ++i) {
    ASSERT_EQ(b.attempts[w], static_cast<std::uint32_t>(i + 1));
    const auto host = b.last_host[w];
    EXPECT_TRUE(asked.insert(host).second) << "asked twice: " << host;
    if (i < 3) b.end(w, Outcome::too_stale, AnswerMetadata{Role::replica, {}});
  }
  b.end(w, Outcome::ok, AnswerMetadata{Role::primary, b.now});
  const auto next = b.ask(keyed, 1);
  EXPECT_EQ(b.last_host[next], b.last_host[w]) << "the answer has told it";
}

TEST(Primary, AWriteThatFindsNoneKeepsAnAttemptAndItsPace) {
  auto s = make_settings();
  s.probe_cost = 0.08;
  s.max_attempts = 6;
  Bench b(s, 2);
  const auto w = b.ask(keyed, 1);
  for (int i = 0; i < 40 && b.refused.count(w) == 0; ++i) {
    if (b.sent(w)) b.end(w, Outcome::too_stale, AnswerMetadata{Role::replica, {}});
    if (b.now < Time(100s) + 200ms) {
      SCOPED_TRACE("each host once in a while");
      EXPECT_LE(b.attempts[w], 2U);
    }
    b.pass(50ms);
  }
  EXPECT_LE(b.attempts[w], 5U);
}

TEST(Primary, ProbesAreKeptForAGroupWithoutOne) {
  auto s = make_settings();
  s.probe_cost = 0.08;
  Bench b(s, 4);
  b.report(1, b.now, true, 0.0);
  std::size_t answered = 0;
  for (int i = 0; i < 300; ++i) {  // reads that have to know a position: they may use half of what is saved
    const auto r = b.ask(bounded);
    for (; answered < b.probes.size(); ++answered)
      b.report(b.probes[answered], b.now, b.probes[answered] == 1, 0.0);
    if (b.sent(r)) b.end(r, Outcome::ok, AnswerMetadata{Role::replica, {}});
    b.pass(50ms);
  }
  const auto for_reads = b.probes.size();
  EXPECT_GT(for_reads, 10U);
  b.list(ListKind::delta, {Bench::entry(1, HostState::draining)});
  b.ask(fresh);
  b.pass(1s);
  EXPECT_GE(b.probes.size(), for_reads + 3) << "a read that needs the primary is waiting";
}

// iae7ffd: an ejected primary kept every write waiting, though some would have been answered.
TEST(Health, APrimaryThatFailsFastStaysInUseForWrites) {
  Bench b;
  b.report(1, b.now, true);
  for (int i = 0; i < 8; ++i) b.end(b.ask(write, 1), Outcome::error);
  EXPECT_TRUE(b.sent(b.ask(write, 1)));
}

// iea4f33: late reports leave only the primary; what is worth more than any write may fill it.
TEST(Fallback, ReadsWorthMoreThanWritesMayFillThePrimary) {
  const auto taken = [](double worth) {
    auto s = make_settings();
    s.classes[0].value = worth;
    Bench b(s);
    b.report(1, b.now, true);
    int n = 0;
    for (int i = 0; i < 40; ++i) n += b.sent(b.ask(bounded)) ? 1 : 0;
    return n;
  };
  EXPECT_EQ(taken(5), 2 * taken(0.5));
}

// i7ba6cd: one attempt from each of many routers already jams a host.
TEST(Health, ManyRoutersShareTheReplicasWindows) {
  auto s = make_settings();
  s.instance_count = 24;
  Bench b(s, 6);
  b.report(1, b.now, true);
  int n = 0;
  for (int i = 0; i < 40; ++i) n += b.sent(b.ask(any)) ? 1 : 0;
  EXPECT_LE(n, 4) << "five replicas at half an attempt each, and the primary's share";
  EXPECT_GE(n, 2);
}

// i7ba6cd's small twin: reads and writes of equal worth, ordered two ways at once, broke the queue.
TEST(OddInput, EqualWorthsOfReadsAndWritesKeepTheQueueWhole) {
  Bench b;
  std::vector<std::uint64_t> all;
  for (int i = 0; i < 400; ++i) all.push_back(b.ask(i % 3 == 0 ? write : i % 3 == 1 ? fresh : bounded));
  b.pass(2100ms);
  for (const auto r : all) EXPECT_EQ(b.refused.count(r) + b.failed.count(r), 1U);
}

TEST(Health, WaitingReadsGoNewestFirst) {
  Bench b(make_settings(), 2);
  b.report(1, b.now, true);
  std::vector<std::uint64_t> all;
  for (int i = 0; i < 30; ++i) all.push_back(b.ask(any));
  ASSERT_FALSE(b.sent(all[28]));
  b.end(all[0], Outcome::ok, AnswerMetadata{Role::replica, {}});
  EXPECT_TRUE(b.sent(all[29]));
  EXPECT_FALSE(b.sent(all[20]));
}

// ---- discovery ----------------------------------------------------------------------------------

TEST(Discovery, AskModeSubscribesSpreadOverTheRoutersAndAgainAfterFailure) {
  auto s = make_settings();
  s.discovery_mode = DiscoveryMode::poll;
  s.instance_count = 4;
  s.instance_index = 3;
  s.max_poll_interval = 10s;
  Bench b(s);
  const auto start = b.now;
  b.pass(5s);
  ASSERT_EQ(b.watches.size(), 1U);
  EXPECT_GT(b.watches[0], start + 500ms);
  Duration longest{};
  for (int i = 0; i < 6; ++i) {
    const auto told = b.now;
    b.give(MembersListed{ListKind::failed, {}});
    b.pass(9s);
    ASSERT_EQ(b.watches.size(), static_cast<std::size_t>(i + 2));
    longest = std::max(longest, b.watches.back() - told);
  }
  EXPECT_GT(longest, 1500ms);
  EXPECT_LT(longest, 10s);
}

TEST(Discovery, PushModeAsksNothing) {
  Bench b;
  b.pass(30s);
  EXPECT_TRUE(b.watches.empty());
}

// ---- odd input ----------------------------------------------------------------------------------

TEST(OddInput, UnknownGroupOrClassIsRefusedWithAPause) {
  Bench b;
  RequestArrived e;
  e.request = RequestId{900};
  e.class_id = any;
  e.group = GroupId{77};
  e.time_left = 1s;
  b.give(e);
  EXPECT_GT(b.refused.at(900), 0ms);
  e.request = RequestId{901};
  e.group = GroupId{1};
  e.class_id = ClassId{-1};
  b.give(e);
  EXPECT_GT(b.refused.at(901), 0ms);
}

TEST(OddInput, LateDuplicateAndUnknownIdsAreIgnored) {
  Bench b;
  b.report(1, b.now, true);
  const auto r = b.ask(any);
  b.end(r, Outcome::ok);
  b.end(r, Outcome::error);
  b.give(ClientLeft{RequestId{r}});
  b.give(ClientLeft{RequestId{12345}});
  b.give(ProbeEnded{HostId{99}, Outcome::ok, 1ms, {}});
  b.give(TimerFired{4711});
  EXPECT_EQ(b.attempts[r], 1U);
  EXPECT_TRUE(b.refused.empty());
  EXPECT_TRUE(b.failed.empty());
}

TEST(OddInput, ContradictorySettingsNameTheKey) {
  auto s = make_settings();
  s.cold_capacity_share = 0;
  try {
    Router router(s);
    FAIL();
  } catch (const std::invalid_argument& e) {
    EXPECT_STREQ(e.what(), "cold_from");
  }
}

TEST(OddInput, MemoryStaysBounded) {
  Bench b;
  b.report(1, b.now, true);
  std::size_t most = 0;
  for (int i = 0; i < 3000; ++i) {
    b.report(1, b.now, true);
    const auto w = b.ask(write, static_cast<std::uint64_t>(i));
    if (b.sent(w)) b.end(w, Outcome::ok, AnswerMetadata{Role::primary, b.now});
    b.pass(100ms);
    most = std::max(most, b.held());
  }
  EXPECT_LT(most, 700U);
}

TEST(OddInput, SameEventsSameActions) {
  const auto play = [] {
    Bench b(make_settings(), 5);
    b.report(1, b.now, true);
    std::vector<std::uint32_t> to;
    for (int i = 0; i < 200; ++i) to.push_back(b.last_host[b.ask(any)]);
    return to;
  };
  EXPECT_EQ(play(), play());
}

}  // namespace
}  // namespace cedarring
