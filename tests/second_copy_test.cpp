// A request must not reach a second host while the first one may still read it. Hosts read in an order of
// their own: one that has stopped reading keeps the bytes in its socket, also after the gateway has closed
// the connection, and reads them when it goes on. Both front ends, over real sockets against the started
// program.
#include <gtest/gtest.h>
#include <poll.h>

#include "support/front_end.h"

namespace cedarring::test {
namespace {

constexpr int poll_step_ms = 1;

/// A group of a primary and one replica, which reads go to first.
template <class FrontEnd>
class SecondCopy : public testing::Test {
 protected:
  SecondCopy() { primary_.primary = true; }
  /// Sends a read and waits until the gateway gives up its attempt, which the replica has not read.
  void send_read_that_stays_unread() {
    replica_.behavior = Behavior::stop_reading;
    front_end_.send(statement("a1", "history"));
    ASSERT_TRUE(replica_.wait_given_up_unread(1));
  }
  /// Waits until the gateway has sent the request to the primary or answered the client.
  void wait_for_next_step() {
    pollfd answered{front_end_.socket().fd(), POLLIN, 0};
    while (primary_.count() == 0 && ::poll(&answered, 1, poll_step_ms) == 0) {
    }
  }
  typename FrontEnd::StandIn primary_;
  typename FrontEnd::StandIn replica_;
  FrontEnd front_end_{
      list_of(1, {member("p", primary_.address(), true), member("r", replica_.address(), false)})};
};

TYPED_TEST_SUITE(SecondCopy, FrontEnds, FrontEndNames);

// Guards against a second copy: the replica goes on reading while the primary holds the same request.
TYPED_TEST(SecondCopy, RequestIsNotSentAgainWhileItsFirstHostMayStillReadIt) {
  this->primary_.behavior = Behavior::hang;
  this->send_read_that_stays_unread();
  this->wait_for_next_step();
  this->replica_.behavior = Behavior::serve;
  ASSERT_TRUE(this->replica_.wait_for(1));
  EXPECT_EQ(this->primary_.count(), 0U) << "the replica has read the request while the primary holds it";
  EXPECT_TRUE(this->front_end_.refused());
  EXPECT_EQ(this->primary_.count(), 0U);
}

TYPED_TEST(SecondCopy, RequestIsSentAgainOnceItsFirstHostHasReadItAndClosed) {
  this->send_read_that_stays_unread();
  this->replica_.behavior = Behavior::hang;  // until the end of the connection
  ASSERT_TRUE(this->primary_.wait_for(1));
  EXPECT_TRUE(this->replica_.wait_ended(1));
  EXPECT_TRUE(this->front_end_.served_by(this->primary_));
  EXPECT_EQ(this->replica_.count(), 1U);
  EXPECT_EQ(this->primary_.count(), 1U);
}

TYPED_TEST(SecondCopy, AnswerOfAHostThatReadsAfterAllIsServed) {
  this->send_read_that_stays_unread();
  this->replica_.behavior = Behavior::serve;
  EXPECT_TRUE(this->front_end_.served_by(this->replica_));
  EXPECT_EQ(this->primary_.count(), 0U);
}

}  // namespace
}  // namespace cedarring::test
