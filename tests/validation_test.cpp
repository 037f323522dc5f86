// Connections to hosts are validated between two requests: nothing that belongs to an earlier answer is taken
// for a later one. Both front ends, over real sockets against the started program.
#include <gtest/gtest.h>

#include "support/front_end.h"

namespace cedarring::test {
namespace {

/// A group of one primary.
template <class FrontEnd>
class Validation : public testing::Test {
 protected:
  Validation() { primary_.primary = true; }
  typename FrontEnd::StandIn primary_;
  FrontEnd front_end_{list_of(1, {member("p", primary_.address(), true)})};
};

TYPED_TEST_SUITE(Validation, FrontEnds, FrontEndNames);

// Guards against foreign data: a second copy of an answer arrives when the connection is idle or used again.
TYPED_TEST(Validation, SecondCopyThatArrivesLateIsNotServedToTheNextRequest) {
  constexpr int requests = 8;
  this->primary_.copies_answers = true;
  for (int i = 0; i < requests; ++i) {
    this->primary_.padding_bytes = i;
    this->front_end_.send(statement("a" + std::to_string(i), "gate"));
    EXPECT_EQ(this->front_end_.read_value(),
              "from " + this->primary_.address() + std::string(static_cast<std::size_t>(i), 'x'));
  }
  EXPECT_EQ(this->primary_.count(), static_cast<std::size_t>(requests)) << "each request has run once";
}

// A request must not be written to a connection whose host no longer answers on it: it would count as run.
TYPED_TEST(Validation, RequestThatMustNotBeRepeatedIsServedThoughTheIdleConnectionIsSilent) {
  this->primary_.answers_validations = false;
  this->front_end_.send(statement("first", "pay"));
  EXPECT_EQ(this->front_end_.read_value(), "from " + this->primary_.address());
  this->front_end_.send(statement("second", "pay"));
  EXPECT_EQ(this->front_end_.read_value(), "from " + this->primary_.address());
  EXPECT_EQ(this->primary_.seen(), (std::vector<std::string>{"first", "second"}));
}

}  // namespace
}  // namespace cedarring::test
