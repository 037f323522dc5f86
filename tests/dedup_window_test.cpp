// A keyed request that may have run is not written again once its host has ceased to drop repeats of it,
// however long a new connection or a PREPARE takes. Both front ends, over real sockets against the started
// program.
#include <gtest/gtest.h>
#include <poll.h>

#include <chrono>
#include <thread>

#include "support/front_end.h"

namespace cedarring::test {
namespace {

using Clock = std::chrono::steady_clock;
constexpr auto dedup_window = 1000ms;
constexpr auto reset_after = 600ms;  // of the first attempt
constexpr auto written_after =
    1200ms;  // when a repeat could be written: past the window, within its other limits

/// The configuration with this window for all classes, and without probes, whose connections a repeat could
/// use.
std::string with_short_window(std::string config) {
  const std::string window = "\"window\":" + std::to_string(dedup_window.count());
  for (auto at = config.find("\"window\":3000"); at != std::string::npos; at = config.find("\"window\":3000"))
    config = replaced(config, "\"window\":3000", window);
  return replaced(config, "\"may_probe\":true", "\"may_probe\":false");
}

/// A group of a primary alone.
template <class FrontEnd>
class DedupWindow : public testing::Test {
 protected:
  DedupWindow() {
    primary_.primary = true;
    primary_.behavior = Behavior::hold;
  }
  /// Waits until the primary has the request, then for `reset_after`, and resets its connection.
  void reset_first_attempt() {
    ASSERT_TRUE(primary_.wait_for(1));
    first_read_at_ = Clock::now();
    std::this_thread::sleep_until(first_read_at_ + reset_after);
    primary_.behavior = Behavior::reset;
  }
  /// Waits until a repeat would be past the window.
  void await_end_of_window() { std::this_thread::sleep_until(first_read_at_ + written_after); }
  /// Whether the client can read its answer.
  bool answered() {
    pollfd readable{front_end_.socket().fd(), POLLIN, 0};
    return ::poll(&readable, 1, 0) > 0;
  }
  typename FrontEnd::StandIn primary_;
  FrontEnd front_end_{list_of(1, {member("p", primary_.address(), true)}), with_short_window};
  Clock::time_point first_read_at_;
};

using FrontEnds = testing::Types<PgFrontEnd, MysqlFrontEnd>;
TYPED_TEST_SUITE(DedupWindow, FrontEnds, FrontEndNames);

// Guards against a repeat on a connection that comes up after the window: the request would take effect
// twice.
TYPED_TEST(DedupWindow, RepeatIsNotWrittenOnAConnectionThatComesUpLate) {
  this->front_end_.send(statement("a1", "bid"));
  ASSERT_TRUE(this->primary_.wait_for(1));
  this->primary_.withholds_startup = true;
  this->reset_first_attempt();
  while (this->primary_.withheld_startups == 0) std::this_thread::yield();  // of the repeat
  this->await_end_of_window();
  EXPECT_TRUE(this->answered()) << "at the end of the window nothing is left to wait for";
  this->primary_.behavior = Behavior::serve;
  this->primary_.withholds_startup = false;
  EXPECT_TRUE(this->front_end_.failed());
  EXPECT_EQ(this->primary_.count(), 1U);
}

TYPED_TEST(DedupWindow, RepeatIsWrittenOnAConnectionThatComesUpWithinTheWindow) {
  this->front_end_.send(statement("a1", "bid"));
  ASSERT_TRUE(this->primary_.wait_for(1));
  this->primary_.withholds_startup = true;
  this->primary_.behavior = Behavior::reset;
  while (this->primary_.withheld_startups == 0) std::this_thread::yield();
  this->primary_.behavior = Behavior::serve;
  this->primary_.withholds_startup = false;
  EXPECT_TRUE(this->front_end_.served_by(this->primary_));
  EXPECT_EQ(this->primary_.count(), 2U);
}

// Guards against the same where the host takes the first part of a long statement in time and the last one
// late.
using PgDedupWindow = DedupWindow<PgFrontEnd>;
TEST_F(PgDedupWindow, RepeatOfALongStatementIsNotCompletedAfterTheWindow) {
  constexpr std::size_t value_size = 8'000'000;  // more than the kernel takes for a host that does not read
  const auto sql = replaced(statement("a1", "bid"), "\\x9f", "\\x9f" + std::string(value_size, 'a'));
  front_end_.send(sql);
  ASSERT_TRUE(primary_.wait_for(1));
  primary_.withholds_startup = true;
  reset_first_attempt();
  while (primary_.withheld_startups == 0) std::this_thread::yield();
  primary_.behavior = Behavior::stop_reading;
  primary_.withholds_startup = false;
  await_end_of_window();
  EXPECT_TRUE(answered());
  primary_.behavior = Behavior::serve;
  EXPECT_TRUE(front_end_.failed());
  EXPECT_EQ(primary_.count(), 1U);
}

// Guards against the same where the connection is there in time and the host prepares the statement late.
using MysqlDedupWindow = DedupWindow<MysqlFrontEnd>;
TEST_F(MysqlDedupWindow, RepeatIsNotExecutedIfItsPrepareIsAnsweredLate) {
  front_end_.send_prepared(statement("a1", "bid"));
  ASSERT_TRUE(primary_.wait_for(1));
  primary_.withholds_prepare = true;
  reset_first_attempt();
  while (primary_.prepared() < 2) std::this_thread::yield();  // by the repeat
  await_end_of_window();
  EXPECT_TRUE(answered());
  primary_.behavior = Behavior::serve;
  primary_.withholds_prepare = false;
  EXPECT_TRUE(front_end_.failed());
  EXPECT_EQ(primary_.count(), 1U);
}

}  // namespace
}  // namespace cedarring::test
