// The deployment in simulated time: that it is honest, repeatable, and what the levels do in it.
#include "tools/lab/world.h"

#include <gtest/gtest.h>

namespace cedarring::test {
namespace {

using namespace lab;
using namespace std::chrono_literals;

WorldConfig short_one(double load, bool with_levels) {
  auto c = sapporo();
  c.load = load;
  c.length = 16s;
  c.warm_up = 8s;
  c.groups = 1;
  if (!with_levels) return c;
  levels::ServiceInfo s;
  for (const auto& k : c.classes) s.classes.push_back(k.contract);
  s.tenants = c.tenants.size();
  c.levels = levels::default_config(s);
  c.levels->mode = levels::Mode::on;
  return c;
}

std::uint64_t broken(const WorldResult& r) {
  return r.overlapping + r.too_many + r.unanswered + r.late_answers;
}

TEST(World, EqualSeedsGiveEqualRunsAndOthersOthers) {
  auto c = short_one(1.3, true);
  const auto a = run(c), b = run(c);
  c.seed = 2;
  const auto other = run(c);
  EXPECT_EQ(a.events, b.events);
  EXPECT_EQ(a.attempts, b.attempts);
  EXPECT_EQ(a.worth_share(), b.worth_share());
  EXPECT_NE(a.events, other.events);
}

TEST(World, EveryRequestIsAnsweredOnceInTimeUnderOverloadAndALostPrimary) {
  for (const bool on : {false, true}) {
    auto c = short_one(2, on);
    c.losses.push_back({9s, 0, 4s});
    const auto r = run(c);
    EXPECT_EQ(broken(r), 0U) << on;
    std::uint64_t asked = 0, ended = 0;
    for (const auto* side : {&r.within, &r.beyond})
      for (const auto& t : *side) asked += t.asked, ended += t.in_time + t.late + t.refused + t.failed;
    EXPECT_EQ(asked, ended) << on;  // nothing is lost and nothing answered twice
    EXPECT_GT(asked, 1000U);
  }
}

TEST(World, LevelsKeepWhatMattersThroughThreeTimesTheLoad) {
  const std::size_t gate = 2, bid = 3;
  const auto usual = run(short_one(0.8, true));
  const auto off = run(short_one(3, false)), on = run(short_one(3, true));
  for (const auto cls : {gate, bid}) {
    EXPECT_GE(on.in_time_share(cls), 0.93 * usual.in_time_share(cls)) << cls;
    EXPECT_LT(off.in_time_share(cls), 0.5 * usual.in_time_share(cls)) << cls;
  }
  EXPECT_GT(on.worth_share(), off.worth_share() + 0.2);
  EXPECT_EQ(broken(on), 0U);
}

TEST(World, CoresAreSharedAsAQueueWithSeveralServersIs) {
  // One host alone, without a gateway: M/M/c would need exponential work; here work is constant, and at a low
  // rate nobody waits, at twice what the cores can do the room fills and the rest is turned away.
  for (const auto& [gap, least, most] : {std::tuple{100ms, 0, 0}, {10ms, 900, 1100}}) {
    Timeline t(Time{1'000'000'000});
    Ledger group(t, GroupId{1});
    HostSpec spec;
    spec.room = 10;
    auto& host = group.add(HostId{1}, spec, "a");
    int served = 0, full = 0;
    for (int i = 0; i < 2000; ++i)
      t.at(Time{1'000'000'000} + i * Duration(gap), [&] {
        Job j;
        j.work = 60ms;
        j.done = [&](Outcome o, AnswerMetadata) { ++(o == Outcome::ok ? served : full); };
        host.offer(std::move(j));
      });
    t.run_until(Time{1'000'000'000} + 1h);
    EXPECT_EQ(served + full, 2000);
    EXPECT_GE(full, least) << full;  // at 10 ms: 3 cores do 50 of 100 a second
    EXPECT_LE(full, most) << full;
    EXPECT_EQ(host.busy(), served * Duration(60ms));
  }
}

TEST(World, AReplicaIsBehindByTheShippingAndByWhatItHasNotApplied) {
  Timeline t(Time{1'000'000'000});
  Ledger group(t, GroupId{1});
  HostSpec spec;
  spec.ship = 5ms, spec.apply_write = 10ms;
  group.add(HostId{1}, spec, "a");
  auto& replica = group.add(HostId{2}, spec, "b");
  EXPECT_EQ(replica.position(), t.now() - 5ms);
  t.run_until(t.now() + 1s);
  const auto commit = t.now();
  for (int i = 0; i < 10; ++i) group.committed(commit + Duration(i));
  EXPECT_LT(replica.position(), commit);
  t.run_until(commit + 60ms);
  EXPECT_GE(replica.position(), commit);  // five of ten are applied
  EXPECT_LT(replica.position(), commit + 9us);
  t.run_until(commit + 1s);
  EXPECT_EQ(replica.position(), t.now() - 5ms);
  const auto before = replica.position();
  group.lose_primary(4s, [](HostModel&) {});
  t.run_until(t.now() + 3s);
  EXPECT_EQ(replica.position(), before);  // nothing is added without a primary
  Time last = before;
  for (int i = 0; i < 100; ++i) {
    t.run_until(t.now() + 50ms);
    EXPECT_GE(replica.position(), last);
    last = replica.position();
  }
  EXPECT_EQ(group.primary(), &replica);
}

}  // namespace
}  // namespace cedarring::test
