// Builds against the installed package: a request for an unknown group must be refused at once.
#include <cedarring/router.h>

int main() {
  using namespace std::chrono_literals;
  cedarring::Settings settings;
  cedarring::RequestClass request_class;
  request_class.latency_target = 1s;
  request_class.deadline = 2s;
  settings.classes = {request_class};
  cedarring::Router router(settings);
  std::vector<cedarring::Action> actions;
  router.handle(0ms, cedarring::Started{}, actions);
  cedarring::RequestArrived request;
  request.request = {1};
  request.class_id = {0};
  request.group = {7};  // not in any member list
  router.handle(1ms, request, actions);
  const bool refused = actions.size() == 1 && std::holds_alternative<cedarring::Refuse>(actions[0]);
  return refused ? 0 : 1;
}
