// Runs the contracts of one front: their beat, the calendar's windows as time goes on, a record of each
// breach.
#pragma once

#include <ev++.h>

#include <string>
#include <vector>

#include "app/contracts_config.h"
#include "broker/broker.h"
#include "telemetry/log.h"

namespace cedarring::app {

telemetry::Record record_of(const contracts::Breach& breach, const std::string& front,
                            const contracts::Config& config, const contracts::ServiceInfo& service);

telemetry::Record record_of(const contracts::Closed& closed, const std::string& front,
                            const contracts::Config& config, const contracts::ServiceInfo& service);

class ContractsRunner {
 public:
  ContractsRunner(ev::loop_ref loop, std::string front, ContractsConfig config,
                  contracts::ServiceInfo service, broker::Broker& broker, broker::Broker::Clock clock,
                  telemetry::Log& log);
  void reload(ContractsConfig config);
  /// What operators see: one JSON object.
  [[nodiscard]] std::string status() const;
  [[nodiscard]] contracts::Contracts& contracts() { return contracts_; }

 private:
  void beat(ev::timer&, int);
  void fill_closures();
  std::string front_;
  contracts::ServiceInfo service_;
  Calendar calendar_;
  contracts::Contracts contracts_;
  broker::Broker& broker_;
  broker::Broker::Clock clock_;
  telemetry::Log& log_;
  ev::timer timer_;
  Time filled_{};
  std::vector<GroupView> views_;
};

}  // namespace cedarring::app
