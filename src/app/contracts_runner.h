// Runs the contracts of one front on the event loop: periodic steps, closure windows from the calendar,
// and records of ledger windows and breaches.
#pragma once

#include <ev++.h>

#include <string>
#include <vector>

#include "app/contracts_config.h"
#include "broker/broker.h"
#include "telemetry/log.h"

namespace cedarring::app {

/// The log record of a breach.
telemetry::Record record_of(const contracts::Breach& breach, const std::string& front,
                            const contracts::Config& config, const contracts::ServiceInfo& service);

/// The log record of a closed ledger window. `cedarring report contracts` uses the names of its readings as
/// columns.
telemetry::Record record_of(const contracts::ClosedWindow& window, const std::string& front,
                            const contracts::Config& config, const contracts::ServiceInfo& service);

/// Evaluates the contracts of one front on a timer of the event loop.
class ContractsRunner {
 public:
  /// Adds the contracts to the broker's gates and starts the timer. `broker` and `log` have to outlive the
  /// runner.
  ContractsRunner(ev::loop_ref loop, std::string front, ContractsConfig config,
                  contracts::ServiceInfo service, broker::Broker& broker, broker::Broker::Clock clock,
                  telemetry::Log& log);
  /// Applies a new configuration. Teams that keep their name keep their state.
  void reload(ContractsConfig config);
  /// The totals for operators, as one JSON object.
  [[nodiscard]] std::string status() const;
  /// The gate, for the handover between processes.
  [[nodiscard]] contracts::Contracts& contracts() { return contracts_; }

 private:
  void tick(ev::timer&, int);
  std::string front_;
  contracts::ServiceInfo service_;
  Calendar calendar_;
  contracts::Contracts contracts_;
  broker::Broker& broker_;
  broker::Broker::Clock clock_;
  telemetry::Log& log_;
  ev::timer timer_;
  Time closures_computed_at_{};
  std::vector<GroupView> views_;  // kept between ticks to reuse its memory
};

}  // namespace cedarring::app
