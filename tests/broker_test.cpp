// Tests of Broker (admission, budgets, attempts, time-outs, host list), IdlePool and the connection limits,
// with a fake answer sink, a fake upstream and a manual clock; no sockets.
#include "broker/broker.h"

#include <gtest/gtest.h>

#include <map>

#include "broker/connection_limits.h"
#include "broker/idle_pool.h"

namespace cedarring::test {
namespace {

using namespace broker;
using namespace std::chrono_literals;

/// Records the final answers.
struct FakeAnswerSink : AnswerSink {
  std::map<std::uint64_t, FinalAnswer> answers;  // by RequestId
  int answer_count = 0;
  bool disconnected = false;  // the client has left, and the broker has not been notified
  [[nodiscard]] bool client_gone() const override { return disconnected; }
  void finish(RequestId request, FinalAnswer answer) override {
    answers[request.value] = std::move(answer);
    ++answer_count;
  }
};

/// An upstream that records its calls; the test ends the attempts.
struct FakeUpstream : Upstream {
  struct StartedAttempt {
    AttemptKey key;
    std::string address;
    AttemptLimits limits;
  };
  std::vector<StartedAttempt> started;
  std::vector<AttemptKey> cancelled;
  std::vector<AttemptKey> given_up;  // their ends are up to the test
  std::vector<std::string> probes;   // addresses
  int in_flight = 0;                 // attempts
  int max_in_flight = 0;             // the highest value of in_flight
  int watch_count = 0;               // calls of open_watch()
  Time timer_due{};
  std::optional<Outcome> immediate_outcome;  // if set, every attempt ends with it before start() returns
  Broker* broker = nullptr;
  void start(AttemptKey key, HostId, const std::string& address, const std::shared_ptr<const RequestPayload>&,
             const AttemptLimits& limits) override {
    started.push_back({key, address, limits});
    max_in_flight = std::max(max_in_flight, ++in_flight);
    if (immediate_outcome) end(key, *immediate_outcome);
  }
  /// Ends an attempt with this outcome.
  void end(AttemptKey key, Outcome outcome, bool unconfirmed = false) {
    --in_flight;
    AttemptResult result;
    result.outcome = outcome;
    result.unconfirmed = unconfirmed;
    result.value = "value";
    broker->attempt_ended(key, result);
  }
  void cancel(AttemptKey key) override {
    cancelled.push_back(key);
    --in_flight;
  }
  void give_up(AttemptKey key, Time) override { given_up.push_back(key); }
  void probe(HostId, const std::string& address) override { probes.push_back(address); }
  void open_watch() override { ++watch_count; }
  void set_timer(Time due) override { timer_due = due; }
  void close_idle(HostId) override {}
};

constexpr std::size_t max_open_requests = 50;
constexpr double budget_per_second = 10;
constexpr auto timer_step = 5ms;

/// A broker with one group of a primary "p" and two replicas "q" and "r", whose addresses are their names,
/// and with one tenant "acme".
struct BrokerFixture {
  Time now{1'000'000'000};
  FakeUpstream upstream;
  FakeAnswerSink sink;
  Broker broker;
  BrokerFixture()
      : broker(
            settings(), {budget()}, {"a"}, [this] { return now; }, upstream, max_open_requests) {
    upstream.broker = &broker;
    MemberList list;
    list.full = true;
    for (const auto* id : {"p", "q", "r"})
      list.members.push_back({id, id, "a", GroupId{1}, HostState::ready, 1, id[0] == 'p', {}});
    broker.start(list);
  }
  static TenantBudget budget() {
    TenantBudget budget;
    budget.tenant = "acme";
    budget.per_second = budget_per_second;
    return budget;
  }
  /// Settings with three classes: "history" reads anything, "bid" and "pay" write; a bid may be retried under
  /// its key, a pay must not run twice.
  static Settings settings() {
    Settings settings;
    for (const auto& [name, idempotency, freshness] :
         {std::tuple{"history", Idempotency::safe, Freshness::any},
          std::tuple{"bid", Idempotency::keyed, Freshness::write},
          std::tuple{"pay", Idempotency::unsafe, Freshness::write}}) {
      RequestClass request_class;
      request_class.name = name;
      request_class.latency_target = 300ms;
      request_class.deadline = 2s;
      request_class.late_value = 0.5;
      request_class.idempotency = idempotency;
      request_class.freshness = freshness;
      request_class.dedup_scope = DedupScope::group;
      request_class.dedup_window = 1200ms;
      settings.classes.push_back(request_class);
    }
    settings.stale_read_policy = StaleReadPolicy::refuse;
    settings.listed_role = ListedRole::late;
    settings.cancel_allowed = true;
    settings.retry_after_allowed = true;
    settings.max_attempts = 6;
    settings.probes_allowed = false;
    settings.discovery_mode = DiscoveryMode::poll;
    settings.late_refusal_costs = true;
    return settings;
  }
  /// Submits a request with a second left, and checks that the broker accepts it or rejects it as `expected`.
  /// An empty `name` stands for one that no other request has.
  RequestId submit(const std::string& class_name, Rejection expected = Rejection::none,
                   const std::string& tenant = "acme", std::int64_t group = 1, const std::string& name = "") {
    ClientRequest request;
    request.name = name.empty() ? "r" + std::to_string(++request_count) : name;
    request.class_name = class_name;
    request.tenant = tenant;
    request.group = GroupId{group};
    request.time_left = 1s;
    RequestId id;
    EXPECT_EQ(broker.accept(request, sink, id), expected);
    return id;
  }
  int request_count = 0;
  /// Advances the clock to `end` in steps and fires the broker's timer after each step.
  void run_until(Time end) {
    while (now < end) {
      now += timer_step;
      broker.timer_fired();
    }
  }
};

// A disconnect of which the broker was not notified must not lead to attempts whose answers nobody reads.
TEST(Broker, RetryIsNotSentIfTheClientHasDisconnectedWithoutNotification) {
  for (const bool disconnected : {false, true}) {
    BrokerFixture fixture;
    fixture.submit("history");
    ASSERT_EQ(fixture.upstream.started.size(), 1U);
    fixture.sink.disconnected = disconnected;
    // The attempt has not run, so the router would retry it at another host.
    fixture.upstream.end(fixture.upstream.started[0].key, Outcome::connect_failed);
    EXPECT_EQ(fixture.upstream.started.size(), disconnected ? 1U : 2U);
    EXPECT_EQ(fixture.broker.open_requests(), disconnected ? 0U : 1U);
    EXPECT_EQ(fixture.sink.answer_count, 0);
  }
}

TEST(Broker, ShutdownFailsRequestThatMayHaveRunAndRejectsNewOnes) {
  BrokerFixture fixture;
  const auto id = fixture.submit("pay");
  ASSERT_EQ(fixture.upstream.started.size(), 1U);
  fixture.broker.begin_shutdown();
  EXPECT_EQ(fixture.sink.answers.at(id.value).status, AnswerStatus::failed);
  EXPECT_EQ(fixture.upstream.cancelled.size(), 1U);
  EXPECT_EQ(fixture.broker.open_requests(), 0U);
  fixture.submit("pay", Rejection::late);
}

TEST(IdleConnectionLimits, TimeoutShrinksWithUseAndNothingClosesBelowRelaxedShare) {
  const IdleConnectionLimits limits;
  constexpr std::size_t connection_limit = 120;  // relaxed up to 20 open connections, strict from 40 on
  EXPECT_EQ(limits.idle_timeout(0, connection_limit), 2s);
  EXPECT_EQ(limits.idle_timeout(20, connection_limit), 2s);
  EXPECT_EQ(limits.idle_timeout(30, connection_limit), 1075ms);  // halfway between both
  EXPECT_EQ(limits.idle_timeout(40, connection_limit), 150ms);
  EXPECT_EQ(limits.idle_timeout(120, connection_limit), 150ms);
  for (std::size_t open = 1; open <= connection_limit; ++open)
    EXPECT_LE(limits.idle_timeout(open, connection_limit), limits.idle_timeout(open - 1, connection_limit))
        << open;
  // Up to the relaxed share no connection is closed, however long it has been idle.
  EXPECT_FALSE(limits.should_close(1h, 20, connection_limit));
  EXPECT_TRUE(limits.should_close(2001ms, 21, connection_limit));
  EXPECT_FALSE(limits.should_close(1900ms, 21, connection_limit));
  EXPECT_FALSE(limits.should_close(150ms, 120, connection_limit));
  EXPECT_TRUE(limits.should_close(151ms, 120, connection_limit));
}

// Clients that send one request and then hold their connections must not keep all other clients out.
TEST(IdleConnectionLimits, OneRequestClientsSettleBelowConnectionLimit) {
  const IdleConnectionLimits limits;
  constexpr std::size_t connection_limit = 264;
  std::deque<Time> idle_since;  // of the open connections, longest idle first
  std::size_t peak = 0;
  // 280 new clients per second, each idle until it is closed.
  for (Time now{}; now < 10s; now += 50ms) {
    for (int i = 0; i < 14; ++i) idle_since.push_back(now);
    while (!idle_since.empty() &&
           limits.should_close(now - idle_since.front(), idle_since.size(), connection_limit))
      idle_since.pop_front();
    peak = std::max(peak, idle_since.size());
  }
  EXPECT_LT(peak, 130U);              // a third of 400 descriptors
  EXPECT_GT(idle_since.size(), 40U);  // no more are closed than necessary
}

// Hosts identify requests by name: two open requests of one name could be mistaken for one another.
TEST(Broker, RequestWithTheNameOfAnOpenRequestIsRejectedUntilTheOpenOneEnds) {
  BrokerFixture fixture;
  fixture.submit("pay", Rejection::none, "acme", 1, "x");
  fixture.submit("pay", Rejection::name_in_use, "acme", 1, "x");
  EXPECT_EQ(fixture.upstream.started.size(), 1U);
  fixture.upstream.end(fixture.upstream.started[0].key, Outcome::ok);
  fixture.submit("pay", Rejection::none, "acme", 1, "x");
}

// Time that a request spent unread in the socket must count towards its deadline.
TEST(Broker, DeadlineCountsFromArrivalAndRequestPastItsDeadlineIsRejected) {
  BrokerFixture fixture;
  ClientRequest request;
  request.class_name = "pay";
  request.tenant = "acme";
  request.group = GroupId{1};
  request.time_left = 1s;
  RequestId id;
  request.name = "x";
  request.arrived = fixture.now - 400ms;
  EXPECT_EQ(fixture.broker.accept(request, fixture.sink, id), Rejection::none);
  EXPECT_EQ(fixture.upstream.started.at(0).limits.give_up_at, fixture.now + 600ms);
  request.name = "y";
  request.arrived = fixture.now - 1s;
  EXPECT_EQ(fixture.broker.accept(request, fixture.sink, id), Rejection::late);
  request.name = "z";
  request.arrived = fixture.now + 1h;  // in the future: counts as now
  EXPECT_EQ(fixture.broker.accept(request, fixture.sink, id), Rejection::none);
  EXPECT_LE(fixture.upstream.started.at(1).limits.give_up_at, fixture.now + 1s);
}

TEST(Broker, EachRequestGetsOneFinalAnswerAndIsErasedWhateverItsAttemptsOutcome) {
  BrokerFixture fixture;
  for (const auto outcome : {Outcome::ok, Outcome::error, Outcome::reset, Outcome::timeout, Outcome::full}) {
    fixture.upstream.immediate_outcome = outcome;
    const auto answers_before = fixture.sink.answer_count;
    for (int i = 0; i < 3; ++i) fixture.submit("pay");
    fixture.run_until(fixture.now + 2s);
    EXPECT_EQ(fixture.sink.answer_count, answers_before + 3);
    EXPECT_EQ(fixture.broker.open_requests(), 0U);
  }
  EXPECT_EQ(fixture.upstream.max_in_flight, 1);
}

TEST(Broker, AttemptOfAReadGivesUpAtTheDeadlineOfItsRequest) {
  BrokerFixture fixture;
  fixture.submit("history");
  ASSERT_EQ(fixture.upstream.started.size(), 1U);
  EXPECT_EQ(fixture.upstream.started[0].limits.give_up_at, fixture.now + 1s);
}

// A retry of an unsafe request that may have run could execute it twice.
// Guards against a repeat of a keyed request that is written after its deduplication window.
TEST(Broker, RepeatOfAKeyedRequestIsToBeWrittenWithinItsDedupWindow) {
  BrokerFixture fixture;
  const auto settings = BrokerFixture::settings();
  const Time window_end = fixture.now + 1200ms - settings.quantum;
  fixture.submit("bid");
  ASSERT_EQ(fixture.upstream.started.size(), 1U);
  EXPECT_EQ(fixture.upstream.started[0].limits.write_by, Time::max());
  fixture.now += 100ms;
  fixture.upstream.end(fixture.upstream.started[0].key, Outcome::reset);
  ASSERT_EQ(fixture.upstream.started.size(), 2U);
  EXPECT_EQ(fixture.upstream.started[1].limits.write_by, window_end);
}

TEST(Broker, UnsafeRequestThatMayHaveRunFailsWithoutRetry) {
  struct Case {
    Outcome outcome;
    AnswerStatus status;
  };
  for (const auto& test_case :
       {Case{Outcome::reset, AnswerStatus::failed}, Case{Outcome::timeout, AnswerStatus::failed},
        Case{Outcome::error, AnswerStatus::failed}}) {
    BrokerFixture fixture;
    fixture.upstream.immediate_outcome = test_case.outcome;
    const auto id = fixture.submit("pay");
    fixture.run_until(fixture.now + 1s);
    EXPECT_EQ(fixture.upstream.started.size(), 1U);
    EXPECT_EQ(fixture.sink.answers.at(id.value).status, test_case.status);
    EXPECT_EQ(fixture.sink.answers.at(id.value).last_outcome, test_case.outcome);
  }
}

TEST(Broker, RequestThatCannotBeSentIsRefusedAfterAtMostSixAttemptsOneAtATime) {
  BrokerFixture fixture;
  for (int i = 0; i < 20; ++i) {
    fixture.upstream.started.clear();
    const auto id = fixture.submit("history");
    // An attempt that did not run is retried, up to the limit of the settings.
    for (int step = 0; step < 400 && fixture.sink.answers.count(id.value) == 0; ++step) {
      ASSERT_LE(fixture.upstream.in_flight, 1);
      if (fixture.upstream.in_flight > 0)
        fixture.upstream.end(fixture.upstream.started.back().key, Outcome::connect_failed);
      fixture.run_until(fixture.now + 5ms);
    }
    ASSERT_EQ(fixture.sink.answers.count(id.value), 1U);
    EXPECT_LE(fixture.upstream.started.size(), 6U);
    EXPECT_EQ(fixture.sink.answers.at(id.value).status, AnswerStatus::refused);
  }
  EXPECT_EQ(fixture.upstream.max_in_flight, 1);
}

/// Runs until the broker gives up the only attempt of a read because its host has not answered.
RequestId read_that_is_given_up(BrokerFixture& fixture) {
  const auto id = fixture.submit("history");
  const auto end = fixture.now + 900ms;
  while (fixture.now < end && fixture.upstream.given_up.empty()) fixture.run_until(fixture.now + timer_step);
  EXPECT_EQ(fixture.upstream.given_up.size(), 1U);
  return id;
}

// A host that has not read a given-up attempt could read it beside a second one.
TEST(Broker, GivenUpRequestIsSentAgainOnlyOnceItsHostHasReadItOrNeverWill) {
  BrokerFixture fixture;
  const auto id = read_that_is_given_up(fixture);
  fixture.run_until(fixture.now + 100ms);
  EXPECT_EQ(fixture.upstream.started.size(), 1U);
  EXPECT_EQ(fixture.upstream.given_up.size(), 1U);
  fixture.upstream.end(fixture.upstream.started[0].key, Outcome::cancelled);
  ASSERT_EQ(fixture.upstream.started.size(), 2U);
  fixture.upstream.end(fixture.upstream.started[1].key, Outcome::ok);
  EXPECT_EQ(fixture.sink.answers.at(id.value).status, AnswerStatus::served);
  EXPECT_EQ(fixture.upstream.max_in_flight, 1);
}

TEST(Broker, GivenUpRequestThatItsHostMayStillReadIsRefusedAndNotSentAgain) {
  BrokerFixture fixture;
  const auto id = read_that_is_given_up(fixture);
  fixture.upstream.end(fixture.upstream.started[0].key, Outcome::cancelled, true);
  EXPECT_EQ(fixture.sink.answers.at(id.value).status, AnswerStatus::refused);
  fixture.run_until(fixture.now + 1s);
  EXPECT_EQ(fixture.upstream.started.size(), 1U);
}

TEST(Broker, AnswerOfAGivenUpAttemptIsServed) {
  BrokerFixture fixture;
  const auto id = read_that_is_given_up(fixture);
  fixture.upstream.end(fixture.upstream.started[0].key, Outcome::ok);
  EXPECT_EQ(fixture.sink.answers.at(id.value).status, AnswerStatus::served);
  EXPECT_EQ(fixture.upstream.started.size(), 1U);
}

TEST(Broker, DisconnectOfTheClientEndsItsGivenUpAttemptAtOnce) {
  BrokerFixture fixture;
  const auto id = read_that_is_given_up(fixture);
  fixture.broker.client_left(id);
  EXPECT_EQ(fixture.upstream.cancelled.size(), 1U);
  EXPECT_EQ(fixture.broker.open_requests(), 0U);
}

TEST(Broker, DisconnectOfTheClientCancelsItsAttemptAndALateAnswerIsIgnored) {
  BrokerFixture fixture;
  const auto id = fixture.submit("pay");
  fixture.broker.client_left(id);
  ASSERT_EQ(fixture.upstream.cancelled.size(), 1U);
  EXPECT_EQ(fixture.broker.open_requests(), 0U);
  EXPECT_EQ(fixture.sink.answer_count, 0);
  fixture.broker.attempt_ended({id, 0}, {});  // a late answer is ignored
  EXPECT_EQ(fixture.sink.answer_count, 0);
}

TEST(Broker, WriteWithoutAPrimaryIsHeldAndThenRefusedBeforeHalfItsTimeHasPassed) {
  BrokerFixture fixture;
  MemberList list;
  list.full = true;
  list.members.push_back({"q", "q", "a", GroupId{1}, HostState::ready, 1, false, {}});
  fixture.broker.on_member_list(list);                     // a full list without the primary
  fixture.upstream.immediate_outcome = Outcome::not_sent;  // the remaining host cannot be reached either
  const auto start = fixture.now;
  const auto id = fixture.submit("pay");
  fixture.run_until(start + 300ms);
  EXPECT_EQ(fixture.sink.answer_count, 0);  // a primary may still appear
  fixture.run_until(start + 500ms);
  ASSERT_EQ(fixture.sink.answer_count, 1);
  EXPECT_EQ(fixture.sink.answers.at(id.value).status, AnswerStatus::refused);
  EXPECT_GT(fixture.sink.answers.at(id.value).retry_after, Duration::zero());
}

TEST(Broker, RequestWithAnUnknownNameOrAboveTheLimitIsRejectedWithTheReason) {
  BrokerFixture fixture;
  fixture.submit("nothing", Rejection::unknown_class);
  fixture.submit("pay", Rejection::unknown_tenant, "nobody");
  fixture.submit("pay", Rejection::unknown_group, "acme", 9);
  for (std::size_t i = 0; i < max_open_requests; ++i) fixture.submit("pay");
  fixture.submit("pay", Rejection::too_many_requests);
}

// Guards against a payment that runs twice because its class was dropped by one reload and came back as one
// that must not be repeated.
TEST(Broker, RequestOfAClassThatCameBackStricterIsNotRepeated) {
  BrokerFixture fixture;
  auto without = BrokerFixture::settings();
  without.classes.erase(without.classes.begin() + 1);
  fixture.broker.update_settings(without, {BrokerFixture::budget()});
  fixture.run_until(fixture.now + 300ms);
  auto stricter = BrokerFixture::settings();
  stricter.classes[1].idempotency = Idempotency::unsafe;
  fixture.broker.update_settings(stricter, {BrokerFixture::budget()});
  fixture.run_until(fixture.now + 1300ms);
  const auto id = fixture.submit("bid");
  ASSERT_EQ(fixture.upstream.started.size(), 1U);
  fixture.upstream.end(fixture.upstream.started[0].key, Outcome::reset);
  EXPECT_EQ(fixture.upstream.started.size(), 1U);
  EXPECT_EQ(fixture.sink.answers.at(id.value).status, AnswerStatus::failed);
}

TEST(Broker, RequestsBeyondTheBudgetAreCountedAndServed) {
  BrokerFixture fixture;
  fixture.upstream.immediate_outcome = Outcome::ok;
  for (int i = 0; i < 25; ++i) fixture.submit("history");
  EXPECT_EQ(fixture.broker.budgets()[0].over_budget, 15U);  // a new budget holds the 10 tokens of a second
  fixture.now += 500ms;                                     // earns 5 tokens
  for (int i = 0; i < 10; ++i) fixture.submit("history");
  EXPECT_EQ(fixture.broker.budgets()[0].over_budget, 20U);
  EXPECT_EQ(fixture.broker.budgets()[0].served, 35U);
}

TEST(Broker, WatchIsReopenedAfterAMemberListHasFailed) {
  BrokerFixture fixture;
  fixture.run_until(fixture.now + 2s);
  const auto watch_count_before = fixture.upstream.watch_count;
  EXPECT_GE(watch_count_before, 1);
  fixture.broker.on_member_list_failed();
  fixture.run_until(fixture.now + 10s);
  EXPECT_GT(fixture.upstream.watch_count, watch_count_before);
}

TEST(IdlePool, TakesMostRecentlyUsedAndExpiresOldest) {
  IdlePool<int> pool;
  int first = 0;
  int second = 0;
  int third = 0;
  pool.put(HostId{1}, &first, 1s);
  pool.put(HostId{1}, &second, 2s);
  pool.put(HostId{2}, &third, 3s);
  EXPECT_EQ(pool.take_expired(Time(1500ms)), (std::vector<int*>{&first}));
  EXPECT_EQ(pool.take(HostId{1}), &second);
  EXPECT_EQ(pool.take(HostId{1}), nullptr);
  EXPECT_EQ(pool.take_oldest(), &third);
  EXPECT_EQ(pool.take_oldest(), nullptr);
}

// Guards against a growing number of entries of hosts that are gone.
TEST(Broker, EntryCountStaysBoundedAsHostsAreReplaced) {
  BrokerFixture fixture;
  fixture.upstream.immediate_outcome = Outcome::ok;
  std::size_t early_count = 0;
  for (int replacement = 0; replacement < 400; ++replacement) {
    MemberList list;
    list.full = true;
    list.members.push_back({"p", "p", "a", GroupId{1}, HostState::ready, 1, true, {}});
    const auto id = "h" + std::to_string(replacement);
    list.members.push_back({id, id, "a", GroupId{1}, HostState::ready, 1, false, {}});
    fixture.broker.on_member_list(list);
    for (int i = 0; i < 5; ++i) {
      fixture.submit("history");
      fixture.submit("bid");
    }
    fixture.run_until(fixture.now + 50ms);
    if (replacement == 50) early_count = fixture.broker.entry_count();
  }
  EXPECT_LE(fixture.broker.entry_count(), early_count + 2);
}

TEST(IdlePool, KeepsNoEntryForAHostWithoutIdleConnections) {
  IdlePool<int> pool;
  int connection = 1;
  for (std::uint32_t i = 0; i < 100; ++i) pool.put(HostId{i}, &connection, Time(i));
  EXPECT_EQ(pool.take_expired(Time(90)).size(), 90U);
  EXPECT_EQ(pool.host_count(), 10U);
  for (std::uint32_t i = 90; i < 95; ++i) EXPECT_EQ(pool.take(HostId{i}), &connection);
  while (pool.take_oldest()) {  // empties the pool
  }
  EXPECT_EQ(pool.host_count(), 0U);
}

TEST(Broker, RequestTraceWithAllAttemptsIsReportedOnceTheRequestHasEnded) {
  BrokerFixture fixture;
  std::vector<RequestTrace> traces;
  fixture.broker.set_request_trace_callback([&](const RequestTrace& trace) { traces.push_back(trace); });
  fixture.submit("history");
  ASSERT_EQ(fixture.upstream.started.size(), 1U);
  fixture.now += 5ms;
  fixture.upstream.end(fixture.upstream.started[0].key, Outcome::connect_failed);
  ASSERT_EQ(fixture.upstream.started.size(), 2U);
  EXPECT_TRUE(traces.empty());
  fixture.now += 20ms;
  fixture.upstream.end(fixture.upstream.started[1].key, Outcome::ok);
  ASSERT_EQ(traces.size(), 1U);
  EXPECT_EQ(traces[0].class_name, "history");
  EXPECT_EQ(traces[0].end, gates::RequestEnd::served);
  EXPECT_EQ(traces[0].elapsed, 25ms);
  ASSERT_EQ(traces[0].attempts.size(), 2U);
  EXPECT_EQ(traces[0].attempts[0].outcome, Outcome::connect_failed);
  EXPECT_EQ(traces[0].attempts[0].host, fixture.upstream.started[0].address);  // a host's name is its address
  EXPECT_EQ(traces[0].attempts[1].sent_after, 5ms);
  EXPECT_EQ(traces[0].attempts[1].duration, 20ms);
}

}  // namespace
}  // namespace cedarring::test
