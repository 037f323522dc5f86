// Two processes of one gateway while an upgrade runs: what goes from one to the other, and that no order of
// sends, packets and deaths lets a budget pay twice, a host get more, or a session go back. No sockets, a
// clock set by hand.
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
constexpr Duration gaps[] = {Duration(1), Duration(700), Duration(40'000), Duration(900'000)};

// What may happen next, drawn at random.
enum Step { use_old, use_new, begin, yes, old_ends, new_dies, steps };
std::vector<std::pair<int, int>> drawn_steps() {
  // Upgrades and deaths are rarer than what happens between them.
  const auto step = rc::gen::weightedElement<int>(
      {{30, use_old}, {30, use_new}, {4, begin}, {6, yes}, {2, old_ends}, {2, new_dies}});
  return *rc::gen::resize(
      400, rc::gen::container<std::vector<std::pair<int, int>>>(rc::gen::pair(step, rc::gen::inRange(0, 4))));
}

/// A gateway of one process or two. A process is told by the text of the other, as over the link.
template <class Process>
struct Upgrades {
  std::unique_ptr<Process> old = std::make_unique<Process>(start), next;
  bool split = false;
  Time now = start;
  int upgrades = 0;
  template <class Use>
  void take(const std::pair<int, int>& s, const Use& use) {
    now += gaps[s.second];
    switch (s.first) {
      case use_old:
        use(*old);
        break;
      case use_new:
        if (next) use(*next);
        break;
      case begin:
        if (next) break;
        next = std::make_unique<Process>(now), next->follow(now), split = false, ++upgrades;
        break;
      case yes:
        if (next && !split) next->take(old->split(now), now), split = true;
        break;
      case old_ends:
        if (next && split) old = std::move(next), old->alone(now);
        break;
      case new_dies:
        if (!next) break;
        next.reset();
        if (split) old->alone(now);
        break;
      default:
        break;
    }
  }
};

/// The most that was used in any window, over `rate` a second: a bucket's burst, or a window's bound where
/// that is 0.
double most_in_a_window(const std::vector<std::pair<Time, double>>& used, double rate, Duration longest) {
  double most = 0;
  for (std::size_t i = 0; i < used.size(); ++i) {
    double sum = 0;
    for (std::size_t j = i; j < used.size() && used[j].first - used[i].first < longest; ++j) {
      sum += used[j].second;
      most = std::max(most, sum - rate * static_cast<double>((used[j].first - used[i].first).count()) / 1e6);
    }
  }
  return most;
}

constexpr double cold_bound = 10;
constexpr Duration cold_window = 2s;
struct ColdProcess {
  handover::WindowShare part;
  fleet::SlowStartUsage spent;
  explicit ColdProcess(Time) {}
  struct Told {
    double whole = 0;
    std::deque<fleet::SlowStartUsage::Spent> spent;
  };
  void follow(Time) { part.hold(0, 0); }
  Told split(Time now) { return {part.split(now), spent.all()}; }
  void take(Told told, Time) {
    std::sort(told.spent.begin(), told.spent.end());
    part.hold(told.whole, told.whole / 2), spent.told(told.spent);
  }
  void alone(Time now) { part.widen(now + cold_window, 1); }
  bool send(double work, Time now) {
    const auto from = now - cold_window;
    if (part.left(now, cold_bound, spent.own(from), spent.others(from)) < work) return false;
    spent.add(now, work);
    return true;
  }
};

TEST(Upgrades, NoColdHostGetsMoreFromBothThanFromOne) {
  EXPECT_TRUE(rc::check(
      "cold",
      [] {
        Upgrades<ColdProcess> g;
        std::vector<std::pair<Time, double>> sent;
        for (const auto& s : drawn_steps())
          g.take(
              s,
              [&](ColdProcess& p) {
                if (p.send(1, g.now)) sent.emplace_back(g.now, 1);
              });
        RC_ASSERT(most_in_a_window(sent, 0, cold_window) <= cold_bound + 1e-9);
        RC_CLASSIFY(g.upgrades > 1);
      }));
}

TEST(Upgrades, TheLastProcessMaySpendAllAgain) {
  Upgrades<ColdProcess> g;
  for (int i = 0; i < 10; ++i) EXPECT_TRUE(g.old->send(1, g.now));
  g.take({begin, 0}, [](auto&) {});
  EXPECT_FALSE(g.next->send(0.1, g.now)) << "not told yet";
  g.take({yes, 0}, [](auto&) {});
  EXPECT_FALSE(g.next->send(0.1, g.now)) << "all is spent";
  g.now += cold_window;
  EXPECT_TRUE(g.next->send(5, g.now)) << "its half";
  g.take({old_ends, 0}, [](auto&) {});
  EXPECT_FALSE(g.old->send(0.1, g.now));
  g.now += cold_window;
  EXPECT_TRUE(g.old->send(10, g.now));
}

contracts::ServiceInfo service() {
  contracts::ServiceInfo s;
  RequestClass c;
  c.name = "bid", c.latency_target = 200ms, c.deadline = 1s, c.freshness = Freshness::write;
  s.classes.push_back(c);
  s.tenants = 1;
  return s;
}
contracts::Config config(double rate, double burst) {
  contracts::Config c;
  c.mode = contracts::Mode::enforce;
  contracts::Terms t;
  t.rate = rate, t.burst = burst, t.beyond = contracts::Beyond::refuse, t.wanted = 200ms;
  c.teams.push_back({"desks", {0}, {contracts::ClassTerms{t, {}}}});
  return c;
}
double rate_of_desks, burst_of_desks;  // of the case that is being tried
struct ContractsProcess {
  contracts::Contracts contracts{config(rate_of_desks, burst_of_desks), service()};
  std::uint64_t next = 0;
  explicit ContractsProcess(Time now) { step(now); }
  void step(Time now) {
    std::vector<contracts::Breach> breaches;
    contracts.step(now, {}, breaches);
  }
  void follow(Time now) { contracts.follow(now); }
  std::string split(Time now) { return to_text(contracts.split(now)); }
  void take(const std::string& told, Time now) {
    const auto c = from_text<contracts::Snapshot>(told);
    ASSERT_TRUE(c);
    contracts.restore(*c, now);
  }
  void alone(Time now) { contracts.alone(now); }
  bool ask(Time now) {
    gates::GateRequest a;
    a.request = RequestId{++next}, a.cls = ClassId{0}, a.group = GroupId{1}, a.tenant = 0;
    const auto v = contracts.admit(a, now);
    if (v.admitted)
      contracts.on_request_end(a, {gates::RequestEnd::served, {}, {}, true, 50ms}, now);
    else
      contracts.on_request_end(a, {gates::RequestEnd::refused, v.decided_by, v.reason, false, {}}, now);
    return v.admitted;
  }
};

TEST(Upgrades, NoContractLetsThroughMoreAtBothThanAtOne) {
  EXPECT_TRUE(rc::check(
      "contracts",
      [] {
        rate_of_desks = *rc::gen::inRange(1, 2000) / *rc::gen::element(3.0, 600.0);
        burst_of_desks = *rc::gen::inRange(1, 40);
        Upgrades<ContractsProcess> g;
        std::vector<std::pair<Time, double>> let;
        for (const auto& s : drawn_steps())
          g.take(
              s,
              [&](ContractsProcess& p) {
                if (s.second == 3) p.step(g.now);
                if (p.ask(g.now)) let.emplace_back(g.now, 1);
              });
        RC_ASSERT(most_in_a_window(let, rate_of_desks, 1h) <= burst_of_desks + 1e-3);
      }));
}

TEST(Upgrades, WhatOneHasBookedTheOtherGoesOnWithAndNothingIsBookedTwice) {
  rate_of_desks = 100, burst_of_desks = 10;
  ContractsProcess old(start), next(start);
  for (int i = 0; i < 14; ++i) old.ask(start);
  next.follow(start);
  next.take(old.split(start), start);
  EXPECT_EQ(next.contracts.total(0, 0).asked, 14U);
  EXPECT_EQ(next.contracts.total(0, 0).refused_contract, 4U);
  EXPECT_EQ(next.contracts.times(0, 0).count(), 10U);
  EXPECT_EQ(old.contracts.total(0, 0).asked, 0U);
  old.ask(start + 1s), next.ask(start + 1s);
  const auto rest = from_text<contracts::Snapshot>(to_text(old.contracts.booked()));
  ASSERT_TRUE(rest);
  next.contracts.book(*rest);
  EXPECT_EQ(next.contracts.total(0, 0).asked, 16U);
  EXPECT_EQ(next.contracts.times(0, 0).count(), 12U);
}

/// Takes attempts and never ends them.
struct Nowhere : broker::Upstream {
  void start(broker::AttemptKey, HostId, const std::string&,
             const std::shared_ptr<const broker::RequestPayload>&, Time, bool) override {}
  void cancel(broker::AttemptKey) override {}
  void probe(HostId, const std::string&) override {}
  void open_watch() override {}
  void set_timer(Time) override {}
  void close_idle(HostId) override {}
};
struct NoFront : broker::FrontEnd {
  void finish(RequestId, broker::FinalAnswer) override {}
};
double share_of_acme;
struct TenantProcess {
  Time now;
  Nowhere upstream;
  NoFront front;
  broker::Broker broker;
  int next = 0;
  static Settings settings() {
    Settings s;
    s.classes = service().classes;
    return s;
  }
  explicit TenantProcess(Time at)
      : now(at),
        broker(
            settings(), {{"acme", share_of_acme}}, {"a"}, [this] { return now; }, upstream) {
    broker::Member m;
    m.id = "p", m.zone = "a", m.group = GroupId{1};
    broker.start({1, true, {m}});
  }
  void follow(Time at) { now = at, broker.suspend_spending(); }
  std::string split(Time at) { return now = at, to_text(broker.split_budgets()); }
  void take(const std::string& told, Time at) {
    now = at, broker.restore_budgets(*from_text<broker::BudgetSnapshots>(told));
  }
  void alone(Time at) { now = at, broker.resume_full_spending(); }
  bool within(Time at) {
    now = at;
    broker::ClientRequest a;
    a.name = std::to_string(++next), a.contract = "bid", a.tenant = "acme", a.group = GroupId{1},
    a.time_left = 1s;
    RequestId id;
    const auto over = broker.budgets()[0].over_budget;
    broker.accept(a, front, id);
    return broker.budgets()[0].over_budget == over;
  }
};

TEST(Upgrades, NoTenantHasItsPartTwice) {
  EXPECT_TRUE(rc::check(
      "tenants",
      [] {
        share_of_acme = *rc::gen::element(1.0, 2.0, 5.5, 30.0);
        Upgrades<TenantProcess> g;
        std::vector<std::pair<Time, double>> within;
        for (const auto& s : drawn_steps())
          g.take(
              s,
              [&](TenantProcess& p) {
                if (p.within(g.now)) within.emplace_back(g.now, 1);
              });
        RC_ASSERT(most_in_a_window(within, share_of_acme, 1h) <= share_of_acme + 1e-6);
      }));
}

// ---- sessions ----
Settings fleet_settings() {
  Settings s;
  RequestClass read, write;
  read.name = "check", read.latency_target = 200ms, read.deadline = 1s, read.freshness = Freshness::session;
  write.name = "bid", write.latency_target = 200ms, write.deadline = 1s, write.freshness = Freshness::write;
  write.idempotency = Idempotency::keyed, write.dedup_window = 5s;
  s.classes = {read, write};
  s.warm_up_duration = 10s, s.cold_capacity_share = 0.2, s.overload_window = 2s;
  s.answers_carry_position = true;
  return s;
}
MembersListed three_hosts() {
  MembersListed l;
  for (std::uint32_t i = 1; i <= 3; ++i)
    l.entries.push_back({HostId{i}, GroupId{1}, ZoneId{0}, HostState::ready, i == 1, 1, {}});
  return l;
}
/// A router whose every send is answered at once.
struct RouterProcess {
  Router router{fleet_settings()};
  std::uint64_t next = 0;
  explicit RouterProcess(Time now) {
    std::vector<Action> out;
    router.handle(now, Started{}, out);
    router.handle(now, three_hosts(), out);
    hear(HostId{1}, Role::primary, {}, now);
    for (std::uint32_t i = 2; i <= 3; ++i) hear(HostId{i}, Role::replica, start - 10s, now);
  }
  void hear(HostId host, Role role, std::optional<Time> position, Time now) {
    std::vector<Action> out;
    LoadReport r;
    r.role = role, r.position = position;
    router.handle(now, ProbeEnded{host, Outcome::ok, 1ms, r}, out);
  }
  /// Where a request went; nothing: it was kept, or refused.
  std::optional<HostId> ask(int cls, SessionId session, AnswerMetadata note, Time now) {
    const RequestId id{++next};
    std::vector<Action> out;
    router.handle(now, RequestArrived{id, ClassId{cls}, GroupId{1}, 1s, session, {}}, out);
    for (const auto& a : out)
      if (const auto* s = std::get_if<Send>(&a)) {
        const auto host = s->host;
        AttemptEnded e;
        e.request = id, e.host = host, e.elapsed = 1ms, e.request_ended = true;
        e.metadata = note;
        if (host == HostId{1}) e.metadata.role = Role::primary;
        std::vector<Action> rest;
        router.handle(now, e, rest);
        return host;
      }
    router.handle(now, ClientLeft{id}, out);
    return std::nullopt;
  }
};

TEST(Upgrades, NoSessionGoesBackWhicheverProcessAnswers) {
  EXPECT_TRUE(rc::check(
      "sessions",
      [] {
        auto old = std::make_unique<RouterProcess>(start);
        std::unique_ptr<RouterProcess> next;
        Time now = start;
        std::map<std::uint64_t, Time> commits;
        std::map<std::uint32_t, Time> position{{2, start - 10s}, {3, start - 10s}};
        for (const auto& [what, much] : drawn_steps()) {
          now += gaps[much] + Duration(1);
          auto& at = what == use_new && next ? *next : *old;
          const auto other = [&] { return &at == old.get() ? next.get() : old.get(); };
          const SessionId session{static_cast<std::uint64_t>(1 + (now.count() / 7) % 3)};
          const auto doing = (now.count() / 3) % 4;
          if ((what == use_old || what == use_new) && doing == 0) {
            if (at.ask(1, session, {Role::primary, now}, now) != HostId{1}) continue;
            commits[session.value] = now;
            // Told before the client hears of it, and heard before the other takes anything from that client.
            if (auto* o = other()) {
              RouterSnapshot k;
              k.sessions.push_back(
                  *from_text<SessionSnapshot>(to_text(SessionSnapshot{GroupId{1}, session, now})));
              o->router.merge_snapshot(now, k);
            }
          } else if (what == use_old || what == use_new) {
            if (doing == 1) {
              const auto replica = static_cast<std::uint32_t>(2 + (now.count() / 11) % 2);
              position[replica] = now - Duration(1 + (now.count() % 300'000));
              at.hear(HostId{replica}, Role::replica, position[replica], now);
            }
            const auto host = at.ask(0, session, {}, now);
            if (host && *host != HostId{1} && commits.count(session.value) > 0)
              RC_ASSERT(position[host->value] >= commits[session.value]);
          } else if (what == begin && !next) {
            next = std::make_unique<RouterProcess>(now);
            next->router.suspend_spending();
            auto k = old->router.snapshot(now, SnapshotScope::all);
            const auto told = from_text<handover::SessionsSection>(to_text(handover::SessionsSection{k}));
            RC_ASSERT(told.has_value());
            next->router.merge_snapshot(now, told->k);
          } else if (what == old_ends && next) {
            old = std::move(next);
          } else if (what == new_dies) {
            next.reset();
          }
        }
      }));
}

TEST(Upgrades, AnEjectedHostStaysEjectedAndAColdOneCold) {
  RouterProcess old(start);
  const auto fail = [&](RouterProcess& p, Time now) {
    std::vector<Action> out;
    const RequestId id{++p.next};
    p.router.handle(now, RequestArrived{id, ClassId{1}, GroupId{1}, 1s, {}, {}}, out);
    for (const auto& a : out)
      if (const auto* s = std::get_if<Send>(&a)) {
        AttemptEnded e;
        e.request = id, e.host = s->host, e.outcome = Outcome::reset, e.request_ended = true;
        std::vector<Action> rest;
        p.router.handle(now, e, rest);
      }
  };
  for (int i = 0; i < 8; ++i) fail(old, start);
  MembersListed cold;
  cold.kind = ListKind::delta;
  cold.entries.push_back({HostId{2}, GroupId{1}, ZoneId{0}, HostState::ready, false, 1, start - 1s});
  std::vector<Action> out;
  old.router.handle(start, cold, out);
  auto told = old.router.snapshot(start, SnapshotScope::split);
  for (auto& h : told.hosts) h.name = std::to_string(h.host.value);
  auto read = from_text<handover::HostsSection>(to_text(handover::HostsSection{told}));
  ASSERT_TRUE(read);
  for (auto& h : read->k.hosts) h.host = HostId{static_cast<std::uint32_t>(std::stoi(h.name))};
  // Half a year apart: neither needs the other's clock.
  const Time later = start + std::chrono::hours(24 * 180);
  RouterProcess next(later);
  next.router.suspend_spending();
  next.router.merge_snapshot(later, read->k);
  const auto knows = next.router.snapshot(later, SnapshotScope::hosts);
  ASSERT_EQ(knows.hosts.size(), 3U);
  EXPECT_TRUE(knows.hosts[0].ejection_remaining);
  EXPECT_EQ(knows.hosts[0].ejection_remaining, told.hosts[0].ejection_remaining);
  EXPECT_EQ(knows.hosts[0].backoff, told.hosts[0].backoff);
  EXPECT_EQ(knows.hosts[1].start_age, Duration(1s));
  EXPECT_FALSE(knows.hosts[2].ejection_remaining);
  EXPECT_DOUBLE_EQ(told.slow_start_share, 0.5);
}

// ---- the text ----
struct Inner {
  std::optional<Duration> age;
  std::map<std::string, double> by;
};
struct Outer {
  std::int32_t number = 7;
  std::vector<Inner> inner;
  std::vector<std::pair<Duration, double>> pairs;
};
template <class Archive>
void serialize(Archive& archive, Inner& i) {
  archive("age", i.age), archive("by", i.by);
}
template <class Archive>
void serialize(Archive& archive, Outer& o) {
  archive("number", o.number), archive("inner", o.inner), archive("pairs", o.pairs);
}

TEST(HandoverText, IsReadAsItWasWrittenOrNotAtAll) {
  Outer o;
  o.inner.push_back({Duration(-5), {{"a \"b\"", 0.1}}}), o.inner.push_back({});
  o.pairs.emplace_back(Duration(3), 1e300);
  const auto text = to_text(o);
  const auto back = from_text<Outer>(text);
  ASSERT_TRUE(back);
  EXPECT_EQ(to_text(*back), text);
  EXPECT_EQ(back->inner[0].age, Duration(-5));
  EXPECT_FALSE(back->inner[1].age);
  for (std::size_t cut = 0; cut < text.size(); ++cut)
    EXPECT_FALSE(from_text<Outer>(text.substr(0, cut))) << cut;
}

TEST(HandoverText, FieldsThatAreNotKnownAreSkippedAndOthersKeepTheirValue) {
  const auto read = from_text<Outer>(R"([1,{"new":[{"x":1}],"pairs":[[1,2]]}])");
  ASSERT_TRUE(read);
  EXPECT_EQ(read->number, 7);
  EXPECT_EQ(read->pairs.size(), 1U);
  for (const char* bad : {R"([2,{}])", R"([1,{"number":"7"}])", R"([1,{"number":4000000000}])", R"([1,[]])",
                          "[1]", "", R"([1,{"pairs":[[1]]}])", R"([1,{"pairs":[[9223372036854775807,1]]}])",
                          R"({"number":7})", R"([1,{"inner":[{"by":{"a":"b"}}]}])"})
    EXPECT_FALSE(from_text<Outer>(bad)) << bad;
}

TEST(Upgrades, GarbageInAPartHarmsNothing) {
  // Numbers that cannot be: each is left out or bounded, and requests go on.
  RouterProcess p(start);
  for (const double bad : {-1e300, -1.0, 1e300}) {
    RouterSnapshot k;
    HostSnapshot h;
    h.host = HostId{2}, h.failure_score = bad, h.relative_latency = bad, h.load = bad,
    h.concurrency_limit = bad;
    h.last_outcome_age = h.ejection_remaining = h.start_age = h.backoff =
        Duration(bad < 0 ? INT64_MIN / 8 : INT64_MAX / 8);
    h.lost_probes = h.refusals = bad < 0 ? INT32_MIN : 0;
    h.slow_start_sends.emplace_back(Duration(INT64_MAX / 8), bad);
    k.hosts.push_back(h);
    k.classes.push_back({"check", Duration(INT64_MAX / 8), bad, bad, {bad, bad}});
    k.age = Duration(INT64_MAX / 8),
    k.retry_tokens = k.probe_tokens = k.slow_start_share = k.slow_start_share_total = bad;
    p.router.merge_snapshot(start, k);
    EXPECT_TRUE(p.ask(0, SessionId{1}, {}, start));
  }
}

}  // namespace
}  // namespace cedarring::test
