// Runs the levels of reduced service of one front: collects readings at a fixed interval, applies the
// adjustments of the current levels and records each level change.
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

/// The record of a level change, with readings and classes under their configured names.
telemetry::Record record_of(const levels::AxisChange& axis_change, const std::string& front,
                            const levels::ServiceInfo& service);

/// Evaluates the levels of one front on a timer of the event loop.
class LevelsRunner {
 public:
  /// Readings that only the surrounding service can take.
  struct Inputs {
    double descriptors = 0;                   // share of the client connection limit in use
    double memory = 0;                        // share of the buffer memory limit in use
    std::optional<double> discovery_silence;  // seconds; absent without a discovery source
  };
  /// Functions of the surrounding service.
  struct Hooks {
    std::function<Inputs()> read_inputs;
    std::function<void(double)> scale_pool_size;  // factor on the number of host connections
  };

  /// Adds the levels to the broker's gates and starts the evaluation timer. `broker` and `log` have to
  /// outlive the runner.
  LevelsRunner(ev::loop_ref loop, std::string front, levels::Config config, levels::ServiceInfo service,
               broker::Broker& broker, broker::Broker::Clock clock, Hooks hooks, telemetry::Log& log);
  /// Applies a new configuration.
  void reload(levels::Config config);
  /// Pins a level for `length`, on the faults axis of `group` or on pressure if absent. Returns false and
  /// sets `error` if the length is out of range or the level or group is unknown.
  bool pin(std::optional<GroupId> group, const std::string& level, Duration length, std::string& error);
  /// False for an unknown group.
  bool unpin(std::optional<GroupId> group);
  /// The status for operators, as one JSON object.
  [[nodiscard]] std::string status() const;
  [[nodiscard]] const levels::Levels& levels() const { return levels_; }
  /// Adopts the levels of the previous process.
  void restore(const levels::Snapshot& snapshot) {
    levels_.restore(snapshot, clock_());
    apply_adjustments();
  }

 private:
  void on_timer(ev::timer&, int);
  void apply_adjustments();
  /// Records the changes and puts the adjustments of the new levels into effect.
  void publish(std::vector<levels::AxisChange>& changes);

  std::string front_;
  levels::ServiceInfo service_;
  levels::Levels levels_;
  broker::Broker& broker_;
  broker::Broker::Clock clock_;
  Hooks hooks_;
  telemetry::Log& log_;
  ev::timer timer_;
  Time next_evaluation_{};  // when the timer is due; its lateness is the reading `loop_lag`
  // Kept between evaluations to reuse their memory.
  std::vector<GroupView> views_;
  levels::GatewayState state_;
};

}  // namespace cedarring::app
