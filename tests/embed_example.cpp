// Example of a router embedded in another program: the caller passes events and carries out the actions.
#include <gtest/gtest.h>

#include "cedarring/router.h"

namespace {

using namespace std::chrono_literals;

TEST(Embed, RequestIsSentToTheOnlyReplica) {
  cedarring::Settings settings;
  settings.seed = 42;
  cedarring::RequestClass report;
  report.name = "report";
  report.latency_target = 500ms;
  report.deadline = 2s;
  report.freshness = cedarring::Freshness::any;
  settings.classes = {report};
  cedarring::Router router(settings);

  std::vector<cedarring::Action> actions;
  router.handle(0ms, cedarring::Started{}, actions);
  cedarring::HostEntry replica;
  replica.host = {1};
  replica.group = {7};
  router.handle(0ms, cedarring::MembersListed{cedarring::ListKind::full, {replica}}, actions);
  actions.clear();
  cedarring::RequestArrived request;
  request.request = {1};
  request.class_id = {0};
  request.group = {7};
  request.time_left = 2s;
  router.handle(1ms, request, actions);

  ASSERT_EQ(actions.size(), 2U);  // the send and a timer
  const auto* send = std::get_if<cedarring::Send>(&actions[0]);
  ASSERT_NE(send, nullptr);
  EXPECT_EQ(send->host, replica.host);
}

}  // namespace
