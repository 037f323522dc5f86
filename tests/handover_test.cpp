// Tests of a gateway upgrade, in which two processes share the budgets of one gateway: no order of requests,
// handover messages and process ends may let a budget be spent twice, send a host more than its limit, or let
// a session read older state than it has written. No sockets; the tests set the clock.
#include <gtest/gtest.h>
#include <rapidcheck.h>

#include <chrono>
#include <map>
#include <memory>
#include <set>
#include <vector>

#include "broker/broker.h"
#include "cedarring/router.h"
#include "cedarring/snapshot.h"
#include "contracts/contracts.h"
#include "fleet/slow_start_usage.h"
#include "handover/budget_share.h"
#include "handover/json_archive.h"
#include "handover/snapshot_fields.h"
#include "levels/levels.h"

namespace cedarring::test {
namespace {

using namespace std::chrono_literals;
using handover::from_text;
using handover::to_text;

constexpr Time start{1'700'000'000'000'000};
/// Times between two steps; a step holds an index into these.
constexpr Duration gaps[] = {Duration(1), Duration(700), Duration(40'000), Duration(900'000)};
constexpr int longest_gap = 3;  // index

// ---- upgrades as random steps ----

/// A step of a random upgrade: a use of one of the processes, or an event of the upgrade itself.
enum StepKind { use_old, use_new, start_new, split_budgets, end_old, kill_new };
struct Step {
  int kind;  // a StepKind
  int gap;   // index into `gaps` of the time before the step
};
/// Up to 400 random steps.
std::vector<Step> random_steps() {
  // The numbers are weights: upgrades and process ends are rarer than the requests between them.
  const auto kind = rc::gen::weightedElement<int>(
      {{30, use_old}, {30, use_new}, {4, start_new}, {6, split_budgets}, {2, end_old}, {2, kill_new}});
  const auto pairs = *rc::gen::resize(
      400, rc::gen::container<std::vector<std::pair<int, int>>>(rc::gen::pair(kind, rc::gen::inRange(0, 4))));
  std::vector<Step> steps;
  for (const auto& [step_kind, gap] : pairs) steps.push_back({step_kind, gap});
  return steps;
}

/// A gateway of one or two processes. State passes from one process to the other as in a real handover, as
/// text if the state has a text form. A Process holds the budgets under test; it can be created at a time,
/// suspend its spending, split its budgets, restore the part that another process has split off, and resume
/// full spending.
template <class Process>
struct UpgradingGateway {
  std::unique_ptr<Process> old_process = std::make_unique<Process>(start);
  std::unique_ptr<Process> new_process;  // null outside of an upgrade
  bool split = false;                    // the old process has split its budgets in this upgrade
  Time now = start;
  int upgrades = 0;
  /// Applies a step that is possible now; others change nothing. `use` is called with the process that a
  /// use_old or use_new step names.
  template <class Use>
  void apply(const Step& step, const Use& use) {
    now += gaps[step.gap];
    switch (step.kind) {
      case use_old:
        use(*old_process);
        break;
      case use_new:
        if (new_process) use(*new_process);
        break;
      case start_new:
        if (new_process) break;
        new_process = std::make_unique<Process>(now);
        new_process->suspend_spending(now);
        split = false;
        ++upgrades;
        break;
      case split_budgets:
        if (new_process && !split) {
          new_process->restore(old_process->split(now), now);
          split = true;
        }
        break;
      case end_old:
        if (new_process && split) {
          old_process = std::move(new_process);
          old_process->resume_full_spending(now);
        }
        break;
      case kill_new:
        if (!new_process) break;
        new_process.reset();
        if (split) old_process->resume_full_spending(now);
        break;
      default:
        break;
    }
  }
};

/// The largest amount spent within any window of this length, beyond the amount that `rate` per second
/// refills: the burst of a token bucket, or, with a rate of 0, the total of the window. `spending` holds
/// times and amounts, in the order of time.
double max_spent_in_window(const std::vector<std::pair<Time, double>>& spending, double rate,
                           Duration window) {
  double largest = 0;
  for (std::size_t first = 0; first < spending.size(); ++first) {
    double sum = 0;
    for (std::size_t i = first; i < spending.size(); ++i) {
      const Duration elapsed = spending[i].first - spending[first].first;
      if (elapsed >= window) break;
      sum += spending[i].second;
      largest = std::max(largest, sum - rate * static_cast<double>(elapsed.count()) / 1e6);
    }
  }
  return largest;
}

// ---- slow start ----

constexpr double slow_start_limit = 10;  // typical requests in each overload window
constexpr Duration overload_window = 2s;
/// The slow-start budget of a host, as a process applies it.
struct SlowStartProcess {
  handover::WindowShare share;
  fleet::SlowStartUsage usage;
  explicit SlowStartProcess(Time) {}
  /// The part of the budget and the sends that a process hands over.
  struct State {
    double total_share = 0;
    std::deque<fleet::SlowStartUsage::SentWork> sends;
  };
  void suspend_spending(Time) { share.set_shares(0, 0); }
  State split(Time now) { return {share.split(now), usage.all()}; }
  void restore(State state, Time) {
    std::sort(state.sends.begin(), state.sends.end());
    share.set_shares(state.total_share, state.total_share / 2);
    usage.set_others(state.sends);
  }
  void resume_full_spending(Time now) { share.schedule_share(now + overload_window, 1); }
  /// Sends `work` to the host if the budget allows; returns whether it was sent.
  bool send(double work, Time now) {
    const auto from = now - overload_window;
    if (share.remaining(now, slow_start_limit, usage.own(from), usage.others(from)) < work) return false;
    usage.add(now, work);
    return true;
  }
};

TEST(ProcessHandover, TwoProcessesSendAColdHostNoMoreThanOneMay) {
  EXPECT_TRUE(rc::check(
      "slow start",
      [] {
        UpgradingGateway<SlowStartProcess> gateway;
        std::vector<std::pair<Time, double>> sends;
        for (const auto& step : random_steps())
          gateway.apply(
              step,
              [&](SlowStartProcess& process) {
                if (process.send(1, gateway.now)) sends.emplace_back(gateway.now, 1);
              });
        RC_ASSERT(max_spent_in_window(sends, 0, overload_window) <= slow_start_limit + 1e-9);
        RC_CLASSIFY(gateway.upgrades > 1);
      }));
}

TEST(ProcessHandover, NewProcessMaySpendHalfTheLimitAndTheWholeOneWindowAfterTheOldOneEnds) {
  UpgradingGateway<SlowStartProcess> gateway;
  for (int i = 0; i < 10; ++i) EXPECT_TRUE(gateway.old_process->send(1, gateway.now));
  gateway.apply({start_new, 0}, [](auto&) {});
  EXPECT_FALSE(gateway.new_process->send(0.1, gateway.now)) << "no share received yet";
  gateway.apply({split_budgets, 0}, [](auto&) {});
  EXPECT_FALSE(gateway.new_process->send(0.1, gateway.now)) << "the old process has spent everything";
  gateway.now += overload_window;
  EXPECT_TRUE(gateway.new_process->send(5, gateway.now)) << "half of the limit";
  gateway.apply({end_old, 0}, [](auto&) {});
  // The process that was the new one is now the gateway's only process, and so the old one of the next
  // upgrade.
  EXPECT_FALSE(gateway.old_process->send(0.1, gateway.now));
  gateway.now += overload_window;
  EXPECT_TRUE(gateway.old_process->send(10, gateway.now));
}

// ---- contracts ----

/// A service with one tenant and one class of writes, "bid".
contracts::ServiceInfo service() {
  contracts::ServiceInfo info;
  RequestClass bid;
  bid.name = "bid";
  bid.latency_target = 200ms;
  bid.deadline = 1s;
  bid.freshness = Freshness::write;
  info.classes.push_back(bid);
  info.tenants = 1;
  return info;
}
/// A contract of `rate` requests per second with a burst of `burst` requests, for one team with that tenant.
contracts::Config contract_config(double rate, double burst) {
  contracts::Config config;
  config.mode = contracts::Mode::enforce;
  contracts::Terms terms;
  terms.rate = rate;
  terms.burst = burst;
  terms.beyond = contracts::BeyondPolicy::refuse;
  terms.latency_target = 200ms;
  config.teams.push_back({"desks", {0}, {contracts::ClassTerms{terms, {}}}});
  return config;
}
// Contract of the running test case, for new processes: their constructor has no argument for the contract.
double contract_rate;
double contract_burst;
/// The contracts of a process, with one team.
struct ContractsProcess {
  contracts::Contracts contracts{contract_config(contract_rate, contract_burst), service()};
  std::uint64_t last_request = 0;
  explicit ContractsProcess(Time now) { step(now); }
  /// Evaluates the contracts, as the gateway does periodically.
  void step(Time now) {
    std::vector<contracts::Breach> breaches;
    contracts.step(now, {}, breaches);
  }
  void suspend_spending(Time now) { contracts.suspend_spending(now); }
  std::string split(Time now) { return to_text(contracts.split(now)); }
  void restore(const std::string& text, Time now) {
    const auto snapshot = from_text<contracts::Snapshot>(text);
    ASSERT_TRUE(snapshot);
    contracts.restore(*snapshot, now);
  }
  void resume_full_spending(Time now) { contracts.resume_full_spending(now); }
  /// Sends a request through the gate and ends it; returns whether it was admitted.
  bool admit(Time now) {
    gates::GateRequest request;
    request.request = RequestId{++last_request};
    request.class_id = ClassId{0};
    request.group = GroupId{1};
    request.tenant = 0;
    const auto verdict = contracts.admit(request, now);
    if (verdict.admitted)
      contracts.on_request_end(request, {gates::RequestEnd::served, {}, {}, true, 50ms}, now);
    else
      contracts.on_request_end(
          request, {gates::RequestEnd::refused, verdict.decided_by, verdict.reason, false, {}}, now);
    return verdict.admitted;
  }
};

TEST(ProcessHandover, TwoProcessesAdmitNoMoreOfAContractThanOneMay) {
  EXPECT_TRUE(rc::check(
      "contracts",
      [] {
        contract_rate = *rc::gen::inRange(1, 2000) /
                        *rc::gen::element(3.0, 600.0);  // from one in ten minutes to hundreds per second
        contract_burst = *rc::gen::inRange(1, 40);
        UpgradingGateway<ContractsProcess> gateway;
        std::vector<std::pair<Time, double>> admitted;
        for (const auto& step : random_steps())
          gateway.apply(
              step,
              [&](ContractsProcess& process) {
                if (step.gap == longest_gap) process.step(gateway.now);
                if (process.admit(gateway.now)) admitted.emplace_back(gateway.now, 1);
              });
        RC_ASSERT(max_spent_in_window(admitted, contract_rate, 1h) <= contract_burst + 1e-3);
      }));
}

TEST(ProcessHandover, NewProcessContinuesTheOldOnesCountsWithoutCountingTwice) {
  contract_rate = 100;
  contract_burst = 10;
  ContractsProcess old_process(start);
  ContractsProcess new_process(start);
  for (int i = 0; i < 14; ++i) old_process.admit(start);
  new_process.suspend_spending(start);
  new_process.restore(old_process.split(start), start);
  EXPECT_EQ(new_process.contracts.total(0, 0).asked, 14U);
  EXPECT_EQ(new_process.contracts.total(0, 0).refused_contract, 4U);
  EXPECT_EQ(new_process.contracts.answer_times(0, 0).count(), 10U);
  EXPECT_EQ(old_process.contracts.total(0, 0).asked, 0U);
  old_process.admit(start + 1s);
  new_process.admit(start + 1s);
  const auto rest = from_text<contracts::Snapshot>(to_text(old_process.contracts.records_since_split()));
  ASSERT_TRUE(rest);
  new_process.contracts.merge_records(*rest);
  EXPECT_EQ(new_process.contracts.total(0, 0).asked, 16U);
  EXPECT_EQ(new_process.contracts.answer_times(0, 0).count(), 12U);
}

// ---- tenants ----

/// An upstream that accepts attempts and never ends them.
struct UnresponsiveUpstream : broker::Upstream {
  void start(broker::AttemptKey, HostId, const std::string&,
             const std::shared_ptr<const broker::RequestPayload>&, const broker::AttemptLimits&) override {}
  void cancel(broker::AttemptKey) override {}
  void give_up(broker::AttemptKey, Time) override {}
  void probe(HostId, const std::string&) override {}
  void open_watch() override {}
  void set_timer(Time) override {}
  void close_idle(HostId) override {}
};
/// Drops final answers.
struct DiscardingSink : broker::AnswerSink {
  void finish(RequestId, broker::FinalAnswer) override {}
};
// Requests per second of the tenant in the running test case, for new processes.
double tenant_rate;
/// The tenant budgets of a process, with one tenant.
struct TenantProcess {
  Time now;
  UnresponsiveUpstream upstream;
  DiscardingSink sink;
  broker::Broker broker;
  int last_request = 0;
  static Settings settings() {
    Settings settings;
    settings.classes = service().classes;
    return settings;
  }
  explicit TenantProcess(Time at)
      : now(at),
        broker(
            settings(), {{"acme", tenant_rate}}, {"a"}, [this] { return now; }, upstream) {
    broker::Member member;
    member.id = "p";
    member.zone = "a";
    member.group = GroupId{1};
    broker.start({1, true, {member}});
  }
  void suspend_spending(Time at) {
    now = at;
    broker.suspend_spending();
  }
  std::string split(Time at) {
    now = at;
    return to_text(broker.split_budgets());
  }
  void restore(const std::string& text, Time at) {
    now = at;
    broker.restore_budgets(*from_text<broker::BudgetSnapshots>(text));
  }
  void resume_full_spending(Time at) {
    now = at;
    broker.resume_full_spending();
  }
  /// Sends a request of the tenant; returns whether it was within the budget.
  bool request_within_budget(Time at) {
    now = at;
    broker::ClientRequest request;
    request.name = std::to_string(++last_request);
    request.class_name = "bid";
    request.tenant = "acme";
    request.group = GroupId{1};
    request.time_left = 1s;
    RequestId id;
    const auto over_budget_before = broker.budgets()[0].over_budget;
    broker.accept(request, sink, id);
    return broker.budgets()[0].over_budget == over_budget_before;
  }
};

TEST(ProcessHandover, TwoProcessesGrantATenantNoMoreThanOneMay) {
  EXPECT_TRUE(rc::check(
      "tenants",
      [] {
        tenant_rate = *rc::gen::element(1.0, 2.0, 5.5, 30.0);
        UpgradingGateway<TenantProcess> gateway;
        std::vector<std::pair<Time, double>> granted;
        for (const auto& step : random_steps())
          gateway.apply(
              step,
              [&](TenantProcess& process) {
                if (process.request_within_budget(gateway.now)) granted.emplace_back(gateway.now, 1);
              });
        RC_ASSERT(max_spent_in_window(granted, tenant_rate, 1h) <= tenant_rate + 1e-6);
      }));
}

// ---- sessions and hosts ----

constexpr HostId primary_host{1};
constexpr ClassId check_class{0};
constexpr ClassId bid_class{1};

/// Settings with a class of session reads, "check", and a class of writes, "bid".
Settings router_settings() {
  RequestClass check;
  check.name = "check";
  check.latency_target = 200ms;
  check.deadline = 1s;
  check.freshness = Freshness::session;
  RequestClass bid;
  bid.name = "bid";
  bid.latency_target = 200ms;
  bid.deadline = 1s;
  bid.freshness = Freshness::write;
  bid.idempotency = Idempotency::keyed;
  bid.dedup_window = 5s;
  Settings settings;
  settings.classes = {check, bid};
  settings.warm_up_duration = 10s;
  settings.cold_capacity_share = 0.2;
  settings.overload_window = 2s;
  settings.answers_carry_position = true;
  return settings;
}
/// A list of a primary, host 1, and two replicas.
MembersListed three_hosts() {
  MembersListed list;
  for (std::uint32_t i = 1; i <= 3; ++i)
    list.entries.push_back({HostId{i}, GroupId{1}, ZoneId{0}, HostState::ready, i == 1, 1, {}});
  return list;
}
/// A router with a primary and two replicas, which answer its sends at once.
struct RouterProcess {
  Router router{router_settings()};
  std::uint64_t last_request = 0;
  explicit RouterProcess(Time now) {
    std::vector<Action> actions;
    router.handle(now, Started{}, actions);
    router.handle(now, three_hosts(), actions);
    report(primary_host, Role::primary, {}, now);
    for (std::uint32_t i = 2; i <= 3; ++i) report(HostId{i}, Role::replica, start - 10s, now);
  }
  /// Delivers a probe result with the host's role and position.
  void report(HostId host, Role role, std::optional<Time> position, Time now) {
    std::vector<Action> actions;
    LoadReport load_report;
    load_report.role = role;
    load_report.position = position;
    router.handle(now, ProbeEnded{host, Outcome::ok, 1ms, load_report}, actions);
  }
  /// Sends a request and returns the host that served it; nothing if it was not sent. `metadata` comes with
  /// the answer.
  std::optional<HostId> request(ClassId class_id, SessionId session, AnswerMetadata metadata, Time now) {
    const RequestId id{++last_request};
    std::vector<Action> actions;
    router.handle(now, RequestArrived{id, class_id, GroupId{1}, 1s, session, {}}, actions);
    for (const auto& action : actions)
      if (const auto* send = std::get_if<Send>(&action)) {
        const auto host = send->host;
        AttemptEnded ended;
        ended.request = id;
        ended.host = host;
        ended.elapsed = 1ms;
        ended.request_ended = true;
        ended.metadata = metadata;
        if (host == primary_host) ended.metadata.role = Role::primary;
        std::vector<Action> further_actions;
        router.handle(now, ended, further_actions);
        return host;
      }
    router.handle(now, ClientLeft{id}, actions);
    return std::nullopt;
  }
};

TEST(ProcessHandover, SessionNeverReadsOlderStateThanItsWritesWhicheverProcessAnswers) {
  EXPECT_TRUE(rc::check(
      "sessions",
      [] {
        auto old_process = std::make_unique<RouterProcess>(start);
        std::unique_ptr<RouterProcess> new_process;
        Time now = start;
        std::map<std::uint64_t, Time> commits;                                        // last write by session
        std::map<std::uint32_t, Time> positions{{2, start - 10s}, {3, start - 10s}};  // by replica
        for (const auto& step : random_steps()) {
          now += gaps[step.gap] + Duration(1);
          auto& process = step.kind == use_new && new_process ? *new_process : *old_process;
          const auto other_process = [&] {
            return &process == old_process.get() ? new_process.get() : old_process.get();
          };
          // The session, the kind of use, the replica and its lag are drawn from the random times of the
          // steps.
          const SessionId session{static_cast<std::uint64_t>(1 + (now.count() / 7) % 3)};
          const auto choice = (now.count() / 3) % 4;  // 0: write; 1: replica's report, then read; else: read
          if ((step.kind == use_old || step.kind == use_new) && choice == 0) {
            if (process.request(bid_class, session, {Role::primary, now}, now) != primary_host) continue;
            commits[session.value] = now;
            // A commit reaches the other process before the client has its answer, and so before the client's
            // next request.
            if (auto* other = other_process()) {
              RouterSnapshot snapshot;
              snapshot.sessions.push_back(
                  *from_text<SessionSnapshot>(to_text(SessionSnapshot{GroupId{1}, session, now})));
              other->router.merge_snapshot(now, snapshot);
            }
          } else if (step.kind == use_old || step.kind == use_new) {
            if (choice == 1) {
              const auto replica = static_cast<std::uint32_t>(2 + (now.count() / 11) % 2);
              positions[replica] = now - Duration(1 + (now.count() % 300'000));
              process.report(HostId{replica}, Role::replica, positions[replica], now);
            }
            const auto host = process.request(check_class, session, {}, now);
            if (host && *host != primary_host && commits.count(session.value) > 0)
              RC_ASSERT(positions[host->value] >= commits[session.value]);
          } else if (step.kind == start_new && !new_process) {
            new_process = std::make_unique<RouterProcess>(now);
            new_process->router.suspend_spending();
            auto snapshot = old_process->router.snapshot(now, SnapshotScope::all);
            const auto section =
                from_text<handover::SessionsSection>(to_text(handover::SessionsSection{snapshot}));
            RC_ASSERT(section.has_value());
            new_process->router.merge_snapshot(now, section->snapshot);
          } else if (step.kind == end_old && new_process) {
            old_process = std::move(new_process);
          } else if (step.kind == kill_new) {
            new_process.reset();
          }
        }
      }));
}

TEST(ProcessHandover, EjectionAndSlowStartContinueInTheNewProcess) {
  RouterProcess old_process(start);
  // Sends a write to the primary, which resets the connection.
  const auto fail_request = [&](RouterProcess& process, Time now) {
    std::vector<Action> actions;
    const RequestId id{++process.last_request};
    process.router.handle(now, RequestArrived{id, bid_class, GroupId{1}, 1s, {}, {}}, actions);
    for (const auto& action : actions)
      if (const auto* send = std::get_if<Send>(&action)) {
        AttemptEnded ended;
        ended.request = id;
        ended.host = send->host;
        ended.outcome = Outcome::reset;
        ended.request_ended = true;
        std::vector<Action> further_actions;
        process.router.handle(now, ended, further_actions);
      }
  };
  for (int i = 0; i < 8; ++i) fail_request(old_process, start);  // ejects the primary
  MembersListed started_replica;
  started_replica.kind = ListKind::delta;
  started_replica.entries.push_back(
      {HostId{2}, GroupId{1}, ZoneId{0}, HostState::ready, false, 1, start - 1s});
  std::vector<Action> actions;
  old_process.router.handle(start, started_replica, actions);
  auto sent = old_process.router.snapshot(start, SnapshotScope::split);
  for (auto& host : sent.hosts) host.name = std::to_string(host.host.value);
  auto received = from_text<handover::HostsSection>(to_text(handover::HostsSection{sent}));
  ASSERT_TRUE(received);
  for (auto& host : received->snapshot.hosts)
    host.host = HostId{static_cast<std::uint32_t>(std::stoi(host.name))};
  // The clocks of the processes are half a year apart, because snapshots hold ages.
  const Time later = start + std::chrono::hours(24 * 180);
  RouterProcess new_process(later);
  new_process.router.suspend_spending();
  new_process.router.merge_snapshot(later, received->snapshot);
  const auto merged = new_process.router.snapshot(later, SnapshotScope::hosts);
  ASSERT_EQ(merged.hosts.size(), 3U);  // the primary, the replica that was started, and the other replica
  EXPECT_TRUE(merged.hosts[0].ejection_remaining);
  EXPECT_EQ(merged.hosts[0].ejection_remaining, sent.hosts[0].ejection_remaining);
  EXPECT_EQ(merged.hosts[0].backoff, sent.hosts[0].backoff);
  EXPECT_EQ(merged.hosts[1].start_age, Duration(1s));
  EXPECT_FALSE(merged.hosts[2].ejection_remaining);
  EXPECT_DOUBLE_EQ(sent.slow_start_share, 0.5);
}

// ---- documents ----

// Two records that hold fields of several types.
struct InnerRecord {
  std::optional<Duration> age;
  std::map<std::string, double> values;
};
struct OuterRecord {
  std::int32_t number = 7;
  std::vector<InnerRecord> inner;
  std::vector<std::pair<Duration, double>> pairs;
};
template <class Archive>
void serialize(Archive& archive, InnerRecord& record) {
  archive("age", record.age);
  archive("by", record.values);
}
template <class Archive>
void serialize(Archive& archive, OuterRecord& record) {
  archive("number", record.number);
  archive("inner", record.inner);
  archive("pairs", record.pairs);
}

TEST(JsonArchive, DocumentIsReadBackAsWrittenAndRejectedWhenTruncated) {
  OuterRecord record;
  record.inner.push_back({Duration(-5), {{"a \"b\"", 0.1}}});
  record.inner.push_back({});
  record.pairs.emplace_back(Duration(3), 1e300);
  const auto text = to_text(record);
  const auto read = from_text<OuterRecord>(text);
  ASSERT_TRUE(read);
  EXPECT_EQ(to_text(*read), text);
  EXPECT_EQ(read->inner[0].age, Duration(-5));
  EXPECT_FALSE(read->inner[1].age);
  for (std::size_t length = 0; length < text.size(); ++length)
    EXPECT_FALSE(from_text<OuterRecord>(text.substr(0, length))) << length;
}

// A document is an array of the format version, 1, and the record.
TEST(JsonArchive, UnknownFieldIsSkippedMissingFieldKeepsItsValueAndInvalidDocumentIsRejected) {
  const auto read = from_text<OuterRecord>(R"([1,{"new":[{"x":1}],"pairs":[[1,2]]}])");
  ASSERT_TRUE(read);
  EXPECT_EQ(read->number, 7);
  EXPECT_EQ(read->pairs.size(), 1U);
  for (const char* invalid :
       {R"([2,{}])", R"([1,{"number":"7"}])", R"([1,{"number":4000000000}])", R"([1,[]])", "[1]", "",
        R"([1,{"pairs":[[1]]}])", R"([1,{"pairs":[[9223372036854775807,1]]}])", R"({"number":7})",
        R"([1,{"inner":[{"by":{"a":"b"}}]}])"})
    EXPECT_FALSE(from_text<OuterRecord>(invalid)) << invalid;
}

// Guards against a snapshot with impossible numbers: each number is ignored or clamped, and requests are
// still sent.
TEST(ProcessHandover, SnapshotWithImpossibleNumbersDoesNotStopRequests) {
  RouterProcess process(start);
  for (const double invalid : {-1e300, -1.0, 1e300}) {
    const Duration invalid_duration(invalid < 0 ? INT64_MIN / 8 : INT64_MAX / 8);
    RouterSnapshot snapshot;
    HostSnapshot host;
    host.host = HostId{2};
    host.failure_score = invalid;
    host.relative_latency = invalid;
    host.load = invalid;
    host.concurrency_limit = invalid;
    host.last_outcome_age = invalid_duration;
    host.ejection_remaining = invalid_duration;
    host.start_age = invalid_duration;
    host.backoff = invalid_duration;
    host.lost_probes = invalid < 0 ? INT32_MIN : 0;
    host.refusals = invalid < 0 ? INT32_MIN : 0;
    host.slow_start_sends.emplace_back(Duration(INT64_MAX / 8), invalid);
    snapshot.hosts.push_back(host);
    snapshot.classes.push_back({"check", Duration(INT64_MAX / 8), invalid, invalid, {invalid, invalid}});
    snapshot.age = Duration(INT64_MAX / 8);
    snapshot.retry_tokens = invalid;
    snapshot.probe_tokens = invalid;
    snapshot.slow_start_share = invalid;
    snapshot.slow_start_share_total = invalid;
    process.router.merge_snapshot(start, snapshot);
    EXPECT_TRUE(process.request(check_class, SessionId{1}, {}, start));
  }
}

}  // namespace
}  // namespace cedarring::test
