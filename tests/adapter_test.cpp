// Tests of the simulator adapter with handwritten batches of its line protocol.
#include "sim/adapter.h"

#include <gtest/gtest.h>

#include <random>
#include <sstream>

namespace cedarring::sim {
namespace {

/// Settings with a class of reads, "old", and a class of writes, "pay", and one unknown key.
const std::string settings =
    "az=a balancers=1 position=0 classes.count=2 classes.0.name=old classes.0.aim=500.0 "
    "classes.0.deadline=2000.0 classes.0.effect=read_like classes.1.name=pay classes.1.aim=500.0 "
    "classes.1.deadline=2000.0 classes.1.effect=non_idempotent specifics.needs_by_class=eventual,mutate "
    "specifics.base_time=1000.5 registry_mode=automatic limits.may_probe=true limits.send_cap=8 "
    "guarantees.cold_from=0.2 guarantees.cold=1000.0 some.new_key=7";
/// Starts router 3.
const std::string enlist = "enlist router=3 prng=5 facts=" + settings + "\n";
/// Lists the hosts "host_a" and "host_b" of group 11 to router 3.
const std::string hosts =
    "roster ref=0 elements=2\n"
    "item host=host_a region_part=a type=x primary=0 group=11 mode=2 weight=1 odd=1\n"
    "item host=host_b group=11\n"
    "fleet router=3 epoch=1 kind=2 ref=0\n";

/// Exit status and output of the adapter.
struct RunResult {
  int status;
  std::string output;
  std::string errors;
};
/// Runs the adapter on this input.
RunResult run_adapter(const std::string& input) {
  std::istringstream input_stream(input);
  std::ostringstream output;
  std::ostringstream errors;
  const int status = run(input_stream, output, errors);
  return {status, output.str(), errors.str()};
}
/// A batch of lines at this simulated time in milliseconds.
std::string batch(const std::string& time, const std::string& lines) {
  return "batch sim_time=" + time + "\n" + lines + "over_to_you\n";
}
/// How often `part` occurs in `text`.
std::size_t count(const std::string& text, const std::string& part) {
  std::size_t occurrences = 0;
  for (auto at = text.find(part); at != std::string::npos; at = text.find(part, at + 1)) ++occurrences;
  return occurrences;
}

TEST(Adapter, EmptyBatchIsAnsweredWithDone) {
  const auto result = run_adapter(batch("8412.25", ""));
  EXPECT_EQ(result.status, 0);
  EXPECT_EQ(result.output, "done\n");
}

TEST(Adapter, QueryThatIsServedIsDispatchedOnce) {
  const auto result =
      run_adapter(batch("2000", enlist + hosts) +
                  batch("2005.25", "query router=3 txn=c:one grade=old time_budget=900 cluster_no=11\n") +
                  batch("2050",
                        "resolved router=3 txn=c:one trial=0 host=host_a verdict=served elapsed=44 ended=1\n"
                        "left router=3 txn=c:one\n"));
  EXPECT_EQ(result.status, 0);
  EXPECT_EQ(count(result.output, "dispatch router=3 txn=c:one host=host_"), 1U);
  EXPECT_EQ(count(result.output, "bounce"), 0U);
  EXPECT_EQ(count(result.output, "done\n"), 3U);
}

// In the report, x0 is the position in seconds and x1 the role, 1 for a primary.
TEST(Adapter, WriteGoesToTheHostWhoseProbeReportedThePrimaryRole) {
  const auto result =
      run_adapter(batch("2000", enlist + hosts) +
                  batch("2100",
                        "probe_done router=3 verdict=served host=host_b elapsed=1 "
                        "stats=x0:1.05,x1:1,pending:3,new_value:9\n"
                        "query router=3 txn=c:w grade=pay time_budget=900 cluster_no=11 sess=s\n"));
  EXPECT_EQ(count(result.output, "dispatch router=3 txn=c:w host=host_b"), 1U);
}

TEST(Adapter, QueryOfAnUnknownClassOrGroupIsRefused) {
  const auto result = run_adapter(batch("2000", enlist + hosts) +
                                  batch("2005",
                                        "query router=3 txn=c:x grade=none time_budget=900 cluster_no=11\n"
                                        "query router=3 txn=c:y grade=old time_budget=900 cluster_no=12\n"));
  EXPECT_EQ(count(result.output, "bounce router=3 txn=c:x"), 1U);
  EXPECT_EQ(count(result.output, "bounce router=3 txn=c:y"), 1U);
}

TEST(Adapter, UnknownMessagesAndMessagesWithUnknownNamesAreSkipped) {
  const auto result =
      run_adapter(batch("2000", enlist + hosts + "novelty router=3 what=ever\n") +
                  batch("2005",
                        "ring router=9 name=1\nleft router=3 txn=c:nobody\n"
                        "probe_done router=3 verdict=served host=host_zz elapsed=1\n"
                        "resolved router=3 txn=c:nobody trial=0 host=host_a verdict=served elapsed=1\n"
                        "resolved router=3 txn=c:nobody trial=0 host=host_a verdict=unheard elapsed=1\n"));
  EXPECT_EQ(result.status, 0);
  EXPECT_TRUE(result.errors.empty());
}

TEST(Adapter, MalformedLineEndsWithStatusTwoAndOneErrorLine) {
  for (const std::string malformed :
       {"batch sim_time=soon\n", "batch\n", "over_to_you\n", "batch sim_time=1e999\n",
        "batch sim_time=1\nquery router=3 grade=old time_budget=5\n",
        "batch sim_time=1\nquery router=3 txn=c:a grade=old\n",
        "batch sim_time=1\nfleet router=3 kind=1 ref=5\n",
        "batch sim_time=1\nring router=3 name=99999999999999999999999\n", "batch sim_time=1\npower_off\n"}) {
    const auto result = run_adapter(malformed);
    EXPECT_EQ(result.status, 2) << malformed;
    EXPECT_EQ(result.errors.find("line "), 0U) << malformed;
    EXPECT_EQ(count(result.errors, "\n"), 1U) << malformed;
  }
}

TEST(Adapter, InvalidSettingIsReportedByItsKey) {
  const auto result =
      run_adapter(batch("1",
                        "enlist router=3 prng=1 facts=classes.count=1 classes.0.name=a classes.0.aim=9 "
                        "classes.0.deadline=5 limits.send_cap=1\n"));
  EXPECT_EQ(result.status, 0);
  EXPECT_NE(result.output.find("panic router=3 words=bad setting aim"), std::string::npos);
  const auto second_result =
      run_adapter(batch("1", "enlist router=3 prng=1 facts=classes.count=1 specifics.checks=perhaps\n"));
  EXPECT_NE(second_result.output.find("specifics.checks"), std::string::npos);
}

TEST(Adapter, RestartOfARouterWithinOneBatchDropsItsRequests) {
  const auto result = run_adapter(
      batch("2000", enlist + hosts) +
      batch("2005", "query router=3 txn=c:w grade=pay time_budget=900 cluster_no=11\n") +
      batch("2010", "power_off router=3\n" + enlist + hosts) + batch("4000", "ring router=3 name=1\n"));
  EXPECT_EQ(result.status, 0);
  EXPECT_EQ(count(result.output, "c:w"), 0U) << "the requests of a stopped instance belong to the client";
}

TEST(Adapter, InstanceActsAlikeAloneAndBesideAnother) {
  // The lines that start a router and list its hosts, for another router than 3.
  const auto start_of = [](const std::string& router_field) {
    const std::string original = "router=3";
    std::string lines = enlist + hosts;
    for (auto at = lines.find(original); at != std::string::npos; at = lines.find(original, at + 1))
      lines.replace(at, original.size(), router_field);
    return lines;
  };
  const auto alone =
      run_adapter(batch("2000", start_of("router=1")) +
                  batch("2005", "query router=1 txn=c:a grade=old time_budget=900 cluster_no=11\n"));
  const auto beside = run_adapter(batch("2000", start_of("router=1") + start_of("router=2")) +
                                  batch("2005",
                                        "query router=1 txn=c:a grade=old time_budget=900 cluster_no=11\n"
                                        "query router=2 txn=c:b grade=old time_budget=900 cluster_no=11\n"));
  const auto dispatch_at = alone.output.find("dispatch router=1");
  ASSERT_NE(dispatch_at, std::string::npos);
  EXPECT_NE(beside.output.find(
                alone.output.substr(dispatch_at, alone.output.find('\n', dispatch_at) - dispatch_at)),
            std::string::npos);
}

// Guards against crashes on corrupted input: bytes changed, removed or repeated, from a fixed seed, must end
// with status 0 or 2.
TEST(Adapter, CorruptedInputIsRejectedOrSkipped) {
  const std::string valid =
      batch("2000", enlist + hosts) +
      batch("2005", "query router=3 txn=c:a grade=old time_budget=900 cluster_no=11 sess=k\n") +
      batch("2050",
            "resolved router=3 txn=c:a trial=0 host=host_a verdict=no_answer elapsed=44 "
            "mark=99 stats=x0:1,x1:0\nring router=3 name=1\n");
  std::mt19937 random(11);
  constexpr int input_count = 3000;
  int rejected = 0;
  for (int i = 0; i < input_count; ++i) {
    std::string text = valid;
    const int change_count = 1 + i % 4;
    for (int change = 0; change < change_count; ++change) {
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
    const auto result = run_adapter(text);
    ASSERT_TRUE(result.status == 0 || result.status == 2);
    rejected += result.status == 2 ? 1 : 0;
  }
  // Corruption produces both malformed lines and lines that are skipped.
  EXPECT_GT(rejected, 100);
  EXPECT_LT(rejected, input_count - 100);
}

}  // namespace
}  // namespace cedarring::sim
