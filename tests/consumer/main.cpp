// A program that uses the installed package.
#include <cedarring/router.h>

int main() {
  using namespace std::chrono_literals;
  cedarring::Settings settings;
  cedarring::RequestClass c;
  c.latency_target = 1s;
  c.deadline = 2s;
  settings.classes = {c};
  cedarring::Router router(settings);
  std::vector<cedarring::Action> actions;
  router.handle(0ms, cedarring::Started{}, actions);
  cedarring::RequestArrived request;
  request.request = {1};
  request.class_id = {0};
  request.group = {7};  // unknown: refused at once
  router.handle(1ms, request, actions);
  return actions.size() == 1 && std::holds_alternative<cedarring::Refuse>(actions[0]) ? 0 : 1;
}
