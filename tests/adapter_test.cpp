// The adapter by hand-made batches.
#include "sim/adapter.h"

#include <gtest/gtest.h>

#include <random>
#include <sstream>

namespace cedarring::sim {
namespace {

const std::string facts =
    "az=a balancers=1 position=0 classes.count=2 classes.0.name=old classes.0.aim=500.0 "
    "classes.0.deadline=2000.0 classes.0.effect=read_like classes.1.name=pay classes.1.aim=500.0 "
    "classes.1.deadline=2000.0 classes.1.effect=non_idempotent specifics.needs_by_class=eventual,mutate "
    "specifics.base_time=1000.5 registry_mode=automatic limits.may_probe=true limits.send_cap=8 "
    "guarantees.cold_from=0.2 guarantees.cold=1000.0 some.new_key=7";
const std::string enlist = "enlist router=3 prng=5 facts=" + facts + "\n";
const std::string hosts =
    "roster ref=0 elements=2\n"
    "item host=host_a region_part=a type=x primary=0 group=11 mode=2 weight=1 odd=1\n"
    "item host=host_b group=11\n"
    "fleet router=3 epoch=1 kind=2 ref=0\n";

struct Played {
  int status;
  std::string out;
  std::string err;
};
Played play(const std::string& input) {
  std::istringstream in(input);
  std::ostringstream out;
  std::ostringstream err;
  const int status = run(in, out, err);
  return {status, out.str(), err.str()};
}
std::string batch(const std::string& time, const std::string& lines) {
  return "batch sim_time=" + time + "\n" + lines + "over_to_you\n";
}
std::size_t count(const std::string& text, const std::string& part) {
  std::size_t n = 0;
  for (auto at = text.find(part); at != std::string::npos; at = text.find(part, at + 1)) ++n;
  return n;
}

TEST(Wire, EmptyBatch) {
  const auto p = play(batch("8412.25", ""));
  EXPECT_EQ(p.status, 0);
  EXPECT_EQ(p.out, "done\n");
}

TEST(Wire, QueryIsDispatchedAndEndsOnce) {
  const auto p =
      play(batch("2000", enlist + hosts) +
           batch("2005.25", "query router=3 txn=c:one grade=old time_budget=900 cluster_no=11\n") +
           batch("2050",
                 "resolved router=3 txn=c:one trial=0 host=host_a verdict=served elapsed=44 ended=1\n"
                 "left router=3 txn=c:one\n"));
  EXPECT_EQ(p.status, 0);
  EXPECT_EQ(count(p.out, "dispatch router=3 txn=c:one host=host_"), 1U);
  EXPECT_EQ(count(p.out, "bounce"), 0U);
  EXPECT_EQ(count(p.out, "done\n"), 3U);
}

TEST(Wire, ProbeReportNamesThePrimary) {
  const auto p = play(batch("2000", enlist + hosts) +
                      batch("2100",
                            "probe_done router=3 verdict=served host=host_b elapsed=1 "
                            "stats=x0:1.05,x1:1,pending:3,new_value:9\n"
                            "query router=3 txn=c:w grade=pay time_budget=900 cluster_no=11 sess=s\n"));
  EXPECT_EQ(count(p.out, "dispatch router=3 txn=c:w host=host_b"), 1U);
}

TEST(Wire, UnknownClassAndUnknownGroupAreRefused) {
  const auto p = play(batch("2000", enlist + hosts) +
                      batch("2005",
                            "query router=3 txn=c:x grade=none time_budget=900 cluster_no=11\n"
                            "query router=3 txn=c:y grade=old time_budget=900 cluster_no=12\n"));
  EXPECT_EQ(count(p.out, "bounce router=3 txn=c:x"), 1U);
  EXPECT_EQ(count(p.out, "bounce router=3 txn=c:y"), 1U);
}

TEST(Wire, UnknownMessagesAndIdsAreSkipped) {
  const auto p =
      play(batch("2000", enlist + hosts + "novelty router=3 what=ever\n") +
           batch("2005",
                 "ring router=9 name=1\nleft router=3 txn=c:nobody\n"
                 "probe_done router=3 verdict=served host=host_zz elapsed=1\n"
                 "resolved router=3 txn=c:nobody trial=0 host=host_a verdict=served elapsed=1\n"
                 "resolved router=3 txn=c:nobody trial=0 host=host_a verdict=unheard elapsed=1\n"));
  EXPECT_EQ(p.status, 0);
  EXPECT_TRUE(p.err.empty());
}

TEST(Wire, MalformedLinesEndWithStatusTwoAndOneLine) {
  for (const std::string bad :
       {"batch sim_time=soon\n", "batch\n", "over_to_you\n", "batch sim_time=1e999\n",
        "batch sim_time=1\nquery router=3 grade=old time_budget=5\n",
        "batch sim_time=1\nquery router=3 txn=c:a grade=old\n",
        "batch sim_time=1\nfleet router=3 kind=1 ref=5\n",
        "batch sim_time=1\nring router=3 name=99999999999999999999999\n", "batch sim_time=1\npower_off\n"}) {
    const auto p = play(bad);
    EXPECT_EQ(p.status, 2) << bad;
    EXPECT_EQ(p.err.find("line "), 0U) << bad;
    EXPECT_EQ(count(p.err, "\n"), 1U) << bad;
  }
}

TEST(Wire, BadSettingsPanicWithTheKey) {
  const auto p = play(batch("1",
                            "enlist router=3 prng=1 facts=classes.count=1 classes.0.name=a classes.0.aim=9 "
                            "classes.0.deadline=5 limits.send_cap=1\n"));
  EXPECT_EQ(p.status, 0);
  EXPECT_NE(p.out.find("panic router=3 words=bad setting aim"), std::string::npos);
  const auto q = play(batch("1", "enlist router=3 prng=1 facts=classes.count=1 specifics.checks=perhaps\n"));
  EXPECT_NE(q.out.find("specifics.checks"), std::string::npos);
}

TEST(Wire, PowerOffAndEnlistInOneBatchStartClean) {
  const auto p =
      play(batch("2000", enlist + hosts) +
           batch("2005", "query router=3 txn=c:w grade=pay time_budget=900 cluster_no=11\n") +
           batch("2010", "power_off router=3\n" + enlist + hosts) + batch("4000", "ring router=3 name=1\n"));
  EXPECT_EQ(p.status, 0);
  EXPECT_EQ(count(p.out, "c:w"), 0U) << "what a killed instance held is the client's";
}

TEST(Wire, OneProcessOrTwoActAlike) {
  const auto one = [](const std::string& r) {
    std::string e = enlist + hosts;
    for (auto at = e.find("router=3"); at != std::string::npos; at = e.find("router=3", at + 1))
      e.replace(at, 8, r);
    return e;
  };
  const auto alone = play(batch("2000", one("router=1")) +
                          batch("2005", "query router=1 txn=c:a grade=old time_budget=900 cluster_no=11\n"));
  const auto both = play(batch("2000", one("router=1") + one("router=2")) +
                         batch("2005",
                               "query router=1 txn=c:a grade=old time_budget=900 cluster_no=11\n"
                               "query router=2 txn=c:b grade=old time_budget=900 cluster_no=11\n"));
  const auto at = alone.out.find("dispatch router=1");
  ASSERT_NE(at, std::string::npos);
  EXPECT_NE(both.out.find(alone.out.substr(at, alone.out.find('\n', at) - at)), std::string::npos);
}

// Hostile input, bounded and from a fixed seed: bytes changed, cut or repeated must never do worse than
// status 2.
TEST(Wire, MangledInputIsRefusedOrSkipped) {
  const std::string good =
      batch("2000", enlist + hosts) +
      batch("2005", "query router=3 txn=c:a grade=old time_budget=900 cluster_no=11 sess=k\n") +
      batch("2050",
            "resolved router=3 txn=c:a trial=0 host=host_a verdict=no_answer elapsed=44 "
            "mark=99 stats=x0:1,x1:0\nring router=3 name=1\n");
  std::mt19937 random(11);
  int refused = 0;
  for (int i = 0; i < 3000; ++i) {
    std::string text = good;
    for (int n = 0; n < 1 + i % 4; ++n) {
      const auto at = random() % text.size();
      switch (random() % 4) {
        case 0:
          text[at] = static_cast<char>(random() % 256);
          break;
        case 1:
          text.erase(at, random() % 40);
          break;
        case 2:
          text.insert(at, text.substr(random() % text.size(), 30));
          break;
        default:
          text.insert(at, std::string(1 + random() % 30, '9'));
          break;
      }
    }
    const auto p = play(text);
    ASSERT_TRUE(p.status == 0 || p.status == 2);
    refused += p.status == 2 ? 1 : 0;
  }
  EXPECT_GT(refused, 100);
  EXPECT_LT(refused, 2900);
}

}  // namespace
}  // namespace cedarring::sim
