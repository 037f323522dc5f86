// The broker with a fake front and a fake upstream: no sockets, a clock set by hand.
#include "broker/broker.h"

#include <gtest/gtest.h>

#include <map>

#include "broker/connection_limits.h"
#include "broker/idle_pool.h"

namespace cedarring::test {
namespace {

using namespace broker;
using namespace std::chrono_literals;

struct FakeFront : FrontEnd {
  std::map<std::uint64_t, FinalAnswer> answers;
  int count = 0;
  bool left = false;  // though nobody has told the broker
  [[nodiscard]] bool gone() const override { return left; }
  void finish(RequestId request, FinalAnswer answer) override {
    answers[request.value] = std::move(answer);
    ++count;
  }
};

struct FakeUpstream : Upstream {
  struct Started {
    AttemptKey key;
    std::string address;
    Time stop_at;
  };
  std::vector<Started> started;
  std::vector<AttemptKey> abandoned;
  std::vector<std::string> probes;
  int out = 0, most_out = 0, watches = 0;
  Time wake{};
  std::optional<Outcome> at_once;  // how every attempt ends before start() returns
  Broker* broker = nullptr;
  void start(AttemptKey key, HostId, const std::string& address, const std::shared_ptr<const RequestPayload>&,
             Time stop_at, bool) override {
    started.push_back({key, address, stop_at});
    most_out = std::max(most_out, ++out);
    if (at_once) end(key, *at_once);
  }
  void end(AttemptKey key, Outcome outcome) {
    --out;
    AttemptResult r;
    r.outcome = outcome;
    r.value = "value";
    broker->attempt_ended(key, r);
  }
  void cancel(AttemptKey key) override {
    abandoned.push_back(key);
    --out;
  }
  void probe(HostId, const std::string& address) override { probes.push_back(address); }
  void open_watch() override { ++watches; }
  void set_timer(Time due) override { wake = due; }
  void close_idle(HostId) override {}
};

struct Bench {
  Time now{1'000'000'000};
  FakeUpstream upstream;
  FakeFront front;
  Broker broker;
  Bench()
      : broker(
            settings(), {budget()}, {"a"}, [this] { return now; }, upstream, 50) {
    upstream.broker = &broker;
    MemberList list;
    list.full = true;
    for (const auto* id : {"p", "q", "r"})
      list.members.push_back({id, id, "a", GroupId{1}, HostState::ready, 1, id[0] == 'p', {}});
    broker.start(list);
  }
  static TenantBudget budget() {
    TenantBudget b;
    b.tenant = "acme";
    b.per_second = 10;
    return b;
  }
  static Settings settings() {
    Settings s;
    for (const auto& [name, effect, freshness] : {std::tuple{"history", Idempotency::safe, Freshness::any},
                                                  std::tuple{"bid", Idempotency::keyed, Freshness::write},
                                                  std::tuple{"pay", Idempotency::unsafe, Freshness::write}}) {
      RequestClass c;
      c.name = name;
      c.latency_target = 300ms;
      c.deadline = 2s;
      c.late_value = 0.5;
      c.idempotency = effect;
      c.freshness = freshness;
      c.dedup_scope = DedupScope::group;
      c.dedup_window = 1200ms;
      s.classes.push_back(c);
    }
    s.stale_read_policy = StaleReadPolicy::refuse;
    s.listed_role = ListedRole::late;
    s.cancel_allowed = true;
    s.retry_after_allowed = true;
    s.max_attempts = 6;
    s.probes_allowed = false;
    s.discovery_mode = DiscoveryMode::poll;
    s.late_refusal_costs = true;
    return s;
  }
  RequestId ask(const std::string& contract, Rejection expected = Rejection::none,
                const std::string& tenant = "acme", std::int64_t group = 1, const std::string& name = "") {
    ClientRequest a;
    a.name = name.empty() ? "r" + std::to_string(++asked) : name;
    a.contract = contract;
    a.tenant = tenant;
    a.group = GroupId{group};
    a.time_left = 1s;
    RequestId id;
    EXPECT_EQ(broker.accept(a, front, id), expected);
    return id;
  }
  int asked = 0;
  void run_until(Time end) {
    while (now < end) now += 5ms, broker.timer_fired();
  }
};

TEST(Broker, WhatHasWaitedIsNotSentWhereItsClientIsFoundToHaveLeft) {
  for (const bool left : {false, true}) {
    Bench b;
    b.ask("history");
    ASSERT_EQ(b.upstream.started.size(), 1U);
    b.front.left = left;
    b.upstream.end(b.upstream.started[0].key,
                   Outcome::connect_failed);  // it never ran, and would go elsewhere
    EXPECT_EQ(b.upstream.started.size(), left ? 1U : 2U);
    EXPECT_EQ(b.broker.open_requests(), left ? 0U : 1U);
    EXPECT_EQ(b.front.count, 0);
  }
}

TEST(Broker, TheLastCallAnswersAllAndSaysWhatMayHaveRun) {
  Bench b;
  const auto out = b.ask("pay");
  ASSERT_EQ(b.upstream.started.size(), 1U);
  b.broker.begin_shutdown();
  EXPECT_EQ(b.front.answers.at(out.value).status, AnswerStatus::failed);
  EXPECT_EQ(b.upstream.abandoned.size(), 1U);
  EXPECT_EQ(b.broker.open_requests(), 0U);
  b.ask("pay", Rejection::late);
}

TEST(Places, TheFullerTheShorterAndNothingEarlyWhereThereIsRoom) {
  const IdleConnectionLimits p;
  EXPECT_EQ(p.idle_allowed(0, 120), 2s);
  EXPECT_EQ(p.idle_allowed(20, 120), 2s);
  EXPECT_EQ(p.idle_allowed(30, 120), 1075ms);  // half way between the quiet and the tight share
  EXPECT_EQ(p.idle_allowed(40, 120), 150ms);
  EXPECT_EQ(p.idle_allowed(120, 120), 150ms);
  for (std::size_t n = 1; n <= 120; ++n) EXPECT_LE(p.idle_allowed(n, 120), p.idle_allowed(n - 1, 120)) << n;
  EXPECT_FALSE(p.gives_way(1h, 20, 120));  // up to the quiet share nobody has to go, however long it stays
  EXPECT_TRUE(p.gives_way(2001ms, 21, 120));
  EXPECT_FALSE(p.gives_way(1900ms, 21, 120));
  EXPECT_FALSE(p.gives_way(150ms, 120, 120));
  EXPECT_TRUE(p.gives_way(151ms, 120, 120));
}

TEST(Places, ACrowdOfClientsThatAskOnceSettlesWellUnderThePlaces) {
  const IdleConnectionLimits p;
  // 280 new clients a second, each idle until it has to go; 130 places are what a third of 400 descriptors
  // gives.
  std::deque<Time> since;
  std::size_t most = 0;
  for (Time now{}; now < 10s; now += 50ms) {
    for (int i = 0; i < 14; ++i) since.push_back(now);
    while (!since.empty() && p.gives_way(now - since.front(), since.size(), 264)) since.pop_front();
    most = std::max(most, since.size());
  }
  EXPECT_LT(most, 130U);
  EXPECT_GT(since.size(), 40U);  // and no more are closed than that takes
}

TEST(Broker, ANameIsTakenOnlyOnceAtATime) {
  Bench b;
  b.ask("pay", Rejection::none, "acme", 1, "x");
  b.ask("pay", Rejection::name_in_use, "acme", 1, "x");
  EXPECT_EQ(b.upstream.started.size(), 1U);
  b.upstream.end(b.upstream.started[0].key, Outcome::ok);
  b.ask("pay", Rejection::none, "acme", 1, "x");
}

TEST(Broker, TimeCountsFromTheArrivalAndNoneLeftIsNoRequest) {
  Bench b;
  ClientRequest a;
  a.contract = "pay", a.tenant = "acme", a.group = GroupId{1}, a.time_left = 1s;
  RequestId id;
  a.name = "x", a.arrived = b.now - 400ms;
  EXPECT_EQ(b.broker.accept(a, b.front, id), Rejection::none);
  EXPECT_EQ(b.upstream.started.at(0).stop_at, b.now + 600ms);
  a.name = "y", a.arrived = b.now - 1s;
  EXPECT_EQ(b.broker.accept(a, b.front, id), Rejection::late);
  a.name = "z", a.arrived = b.now + 1h;  // never later than now
  EXPECT_EQ(b.broker.accept(a, b.front, id), Rejection::none);
  EXPECT_LE(b.upstream.started.at(1).stop_at, b.now + 1s);
}

TEST(Broker, OneFinalAnswerEachAndNothingIsKept) {
  Bench b;
  for (const auto outcome : {Outcome::ok, Outcome::error, Outcome::reset, Outcome::timeout, Outcome::full}) {
    b.upstream.at_once = outcome;
    const auto before = b.front.count;
    for (int i = 0; i < 3; ++i) b.ask("pay");
    b.run_until(b.now + 2s);
    EXPECT_EQ(b.front.count, before + 3);
    EXPECT_EQ(b.broker.open_requests(), 0U);
  }
  EXPECT_EQ(b.upstream.most_out, 1);
}

TEST(Broker, TheDeadlineBoundsEachAttempt) {
  Bench b;
  b.ask("history");
  ASSERT_EQ(b.upstream.started.size(), 1U);
  EXPECT_EQ(b.upstream.started[0].stop_at, b.now + 1s);
}

TEST(Broker, AnUnsafeRequestThatMayHaveRunFails) {
  struct Case {
    Outcome outcome;
    AnswerStatus end;
  };
  for (const auto& c :
       {Case{Outcome::reset, AnswerStatus::failed}, Case{Outcome::timeout, AnswerStatus::failed},
        Case{Outcome::error, AnswerStatus::failed}}) {
    Bench b;
    b.upstream.at_once = c.outcome;
    const auto id = b.ask("pay");
    b.run_until(b.now + 1s);
    EXPECT_EQ(b.upstream.started.size(), 1U);
    EXPECT_EQ(b.front.answers.at(id.value).status, c.end);
    EXPECT_EQ(b.front.answers.at(id.value).last_outcome, c.outcome);
  }
}

TEST(Broker, NeverTwoAttemptsAtOnceAndSixAtMost) {
  Bench b;
  for (int i = 0; i < 20; ++i) {
    b.upstream.started.clear();
    const auto id = b.ask("history");
    // Whatever never ran goes out again: one at a time, to the bound.
    for (int step = 0; step < 400 && b.front.answers.count(id.value) == 0; ++step) {
      ASSERT_LE(b.upstream.out, 1);
      if (b.upstream.out > 0) b.upstream.end(b.upstream.started.back().key, Outcome::connect_failed);
      b.run_until(b.now + 5ms);
    }
    ASSERT_EQ(b.front.answers.count(id.value), 1U);
    EXPECT_LE(b.upstream.started.size(), 6U);
    EXPECT_EQ(b.front.answers.at(id.value).status, AnswerStatus::refused);
  }
  EXPECT_EQ(b.upstream.most_out, 1);
}

TEST(Broker, AClientThatLeavesEndsItsAttempt) {
  Bench b;
  const auto id = b.ask("pay");
  b.broker.client_left(id);
  ASSERT_EQ(b.upstream.abandoned.size(), 1U);
  EXPECT_EQ(b.broker.open_requests(), 0U);
  EXPECT_EQ(b.front.count, 0);
  b.broker.attempt_ended({id, 0}, {});  // an answer that crossed it changes nothing
  EXPECT_EQ(b.front.count, 0);
}

TEST(Broker, WhatFindsNoHostIsRefusedBeforeHalfItsTime) {
  Bench b;
  MemberList list;
  list.full = true;
  list.members.push_back({"q", "q", "a", GroupId{1}, HostState::ready, 1, false, {}});
  b.broker.listed(list);                   // no primary any more
  b.upstream.at_once = Outcome::not_sent;  // nor does anything reach the host that might be one
  const auto start = b.now;
  const auto id = b.ask("pay");
  b.run_until(start + 300ms);
  EXPECT_EQ(b.front.count, 0);  // there is time yet for a primary to appear
  b.run_until(start + 500ms);
  ASSERT_EQ(b.front.count, 1);
  EXPECT_EQ(b.front.answers.at(id.value).status, AnswerStatus::refused);
  EXPECT_GT(b.front.answers.at(id.value).retry_after, Duration::zero());
}

TEST(Broker, WhatIsUnknownIsRejected) {
  Bench b;
  b.ask("nothing", Rejection::unknown_contract);
  b.ask("pay", Rejection::unknown_tenant, "nobody");
  b.ask("pay", Rejection::unknown_group, "acme", 9);
  for (int i = 0; i < 50; ++i) b.ask("pay");
  b.ask("pay", Rejection::overfull);
}

TEST(Broker, ABudgetTellsWhatCameBeyondIt) {
  Bench b;
  b.upstream.at_once = Outcome::ok;
  for (int i = 0; i < 25; ++i) b.ask("history");
  EXPECT_EQ(b.broker.budgets()[0].over, 15U);
  b.now += 500ms;
  for (int i = 0; i < 10; ++i) b.ask("history");
  EXPECT_EQ(b.broker.budgets()[0].over, 20U);
  EXPECT_EQ(b.broker.budgets()[0].served, 35U);
}

TEST(Broker, AFailedListIsAskedForAgain) {
  Bench b;
  b.run_until(b.now + 2s);
  const auto before = b.upstream.watches;
  EXPECT_GE(before, 1);
  b.broker.list_failed();
  b.run_until(b.now + 10s);
  EXPECT_GT(b.upstream.watches, before);
}

TEST(Pool, TakesTheLatestAndRetiresTheOldest) {
  IdlePool<int> pool;
  int a = 0, b = 0, c = 0;
  pool.put(HostId{1}, &a, 1s), pool.put(HostId{1}, &b, 2s), pool.put(HostId{2}, &c, 3s);
  EXPECT_EQ(pool.retire(Time(1500ms)), (std::vector<int*>{&a}));
  EXPECT_EQ(pool.take(HostId{1}), &b);
  EXPECT_EQ(pool.take(HostId{1}), nullptr);
  EXPECT_EQ(pool.oldest(), &c);
  EXPECT_EQ(pool.oldest(), nullptr);
}

TEST(Broker, OnALongDayOfNewHostsNothingGrows) {
  Bench b;
  b.upstream.at_once = Outcome::ok;
  std::size_t early = 0;
  for (int i = 0; i < 400; ++i) {
    MemberList list;
    list.full = true;
    list.members.push_back({"p", "p", "a", GroupId{1}, HostState::ready, 1, true, {}});
    const auto id = "h" + std::to_string(i);
    list.members.push_back({id, id, "a", GroupId{1}, HostState::ready, 1, false, {}});
    b.broker.listed(list);
    for (int n = 0; n < 5; ++n) b.ask("history"), b.ask("bid");
    b.run_until(b.now + 50ms);
    if (i == 50) early = b.broker.entry_count();
  }
  EXPECT_LE(b.broker.entry_count(), early + 2);
}

TEST(Pool, KeepsNoEntryForAHostWithoutConnections) {
  IdlePool<int> pool;
  int a = 1;
  for (std::uint32_t i = 0; i < 100; ++i) pool.put(HostId{i}, &a, Time(i));
  EXPECT_EQ(pool.retire(Time(90)).size(), 90U);
  EXPECT_EQ(pool.hosts(), 10U);
  for (std::uint32_t i = 90; i < 95; ++i) EXPECT_EQ(pool.take(HostId{i}), &a);
  while (pool.oldest()) {
  }
  EXPECT_EQ(pool.hosts(), 0U);
}

TEST(Broker, TellsTheCourseOfEachRequestOnceItIsOver) {
  Bench b;
  std::vector<RequestTrace> all;
  b.broker.on_request_trace([&](const RequestTrace& c) { all.push_back(c); });
  b.ask("history");
  ASSERT_EQ(b.upstream.started.size(), 1U);
  b.now += 5ms;
  b.upstream.end(b.upstream.started[0].key, Outcome::connect_failed);
  ASSERT_EQ(b.upstream.started.size(), 2U);
  EXPECT_TRUE(all.empty());
  b.now += 20ms;
  b.upstream.end(b.upstream.started[1].key, Outcome::ok);
  ASSERT_EQ(all.size(), 1U);
  EXPECT_EQ(all[0].contract, "history");
  EXPECT_EQ(all[0].end, gates::RequestEnd::served);
  EXPECT_EQ(all[0].elapsed, 25ms);
  ASSERT_EQ(all[0].legs.size(), 2U);
  EXPECT_EQ(all[0].legs[0].outcome, Outcome::connect_failed);
  EXPECT_EQ(all[0].legs[0].host,
            b.upstream.started[0].address);  // hosts bear the names of their addresses here
  EXPECT_EQ(all[0].legs[1].sent, 5ms);
  EXPECT_EQ(all[0].legs[1].took, 20ms);
}

}  // namespace
}  // namespace cedarring::test
