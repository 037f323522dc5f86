// Runs the levels of one front: takes their readings on a beat, carries out what they change, records each
// change.
#pragma once

#include <ev++.h>

#include <chrono>
#include <functional>
#include <optional>
#include <string>
#include <vector>

#include "broker/broker.h"
#include "levels/levels.h"
#include "telemetry/log.h"

namespace cedarring::app {

/// The record of a change, in the words of the configuration.
telemetry::Record record_of(const levels::AxisChange& event, const std::string& front,
                            const levels::ServiceInfo& service);

class LevelsRunner {
 public:
  struct Inputs {
    double descriptors = 0, memory = 0;       // shares
    std::optional<double> discovery_silence;  // seconds
  };
  struct Hooks {
    std::function<Inputs()> inputs;
    std::function<void(double)> pool_size;  // a factor on the host connections
  };
  LevelsRunner(ev::loop_ref loop, std::string front, levels::Config config, levels::ServiceInfo service,
               broker::Broker& broker, broker::Broker::Clock clock, Hooks hooks, telemetry::Log& log);
  void reload(levels::Config config);
  /// False, with why, where it cannot be.
  bool pin(std::optional<GroupId> group, const std::string& level, Duration length, std::string& error);
  bool unpin(std::optional<GroupId> group);
  /// What operators see: one JSON object.
  [[nodiscard]] std::string status() const;
  [[nodiscard]] const levels::Levels& levels() const { return levels_; }
  /// Takes over the levels of the process before.
  void take(const levels::Snapshot& told) { levels_.restore(told, clock_()), carry_out(); }
  [[nodiscard]] const levels::ServiceInfo& service() const { return service_; }

 private:
  void beat(ev::timer&, int);
  void carry_out();
  void publish(std::vector<levels::AxisChange>& events);
  std::string front_;
  levels::ServiceInfo service_;
  levels::Levels levels_;
  broker::Broker& broker_;
  broker::Broker::Clock clock_;
  Hooks hooks_;
  telemetry::Log& log_;
  ev::timer timer_;
  Time due_{};
  std::vector<GroupView> views_;
  levels::GatewayState state_;
};

}  // namespace cedarring::app
