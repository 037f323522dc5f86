// Timing of the watch on the member list: when a silent watch has failed, and how soon it is opened again.
// The server sends a heartbeat every 2 s, and changes count as known to the gateway after 6 s. Therefore a
// silent watch is detected and reopened well within 6 s, even twice if the second watch is silent too. No
// I/O, no clock.
#pragma once

#include <algorithm>

#include "cedarring/router.h"

namespace cedarring::fleet {

/// Silence timeouts and reopen delays of one watch.
class WatchTiming {
 public:
  /// Interval between heartbeats of the server.
  static constexpr Duration heartbeat{2'000'000};

  /// `drain_grace`: time after a drain notice during which requests may still be sent to the host.
  explicit WatchTiming(Duration drain_grace)
      : max_delay_(std::clamp(drain_grace / 4, min_max_delay, max_max_delay)) {}
  /// Time without a complete message after which the watch has failed. A heartbeat of an answered watch may
  /// be late by half its interval. A watch that has not been answered yet may still be queued at the server;
  /// it fails a quarter of the interval after its first heartbeat was due.
  [[nodiscard]] static Duration silence_timeout(bool answered) {
    return answered ? heartbeat * 3 / 2 : heartbeat * 5 / 4;
  }
  /// Resets the reopen delay, because the watch delivered a complete message.
  void on_message() { next_delay_ = Duration{}; }
  /// Delay before an ended watch is opened again, if the router does not set the time. Zero after a watch
  /// that delivered a message, because changes count as known from the moment the server learns of them; then
  /// doubling from 10 ms up to a quarter of the drain grace, but at most to between 20 ms and 250 ms.
  Duration next_reopen_delay() {
    const auto delay = next_delay_;
    next_delay_ = std::min(std::max(next_delay_ * 2, min_delay), max_delay_);
    return delay;
  }

 private:
  static constexpr Duration min_delay{10'000};       // first delay above zero
  static constexpr Duration min_max_delay{20'000};   // least longest delay
  static constexpr Duration max_max_delay{250'000};  // greatest longest delay
  Duration max_delay_;
  Duration next_delay_{};
};

}  // namespace cedarring::fleet
