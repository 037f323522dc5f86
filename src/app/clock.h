// The gateway's clock: the Unix time at construction, advanced by the steady clock, so that it never goes
// back.
#pragma once

#include <chrono>

#include "cedarring/router.h"

namespace cedarring::app {

/// Unix time that never goes back, also when the system clock is set.
class UnixClock {
 public:
  UnixClock()
      : offset_(since_epoch(std::chrono::system_clock::now()) -
                since_epoch(std::chrono::steady_clock::now())) {}
  /// Unix time in microseconds; monotonic.
  [[nodiscard]] Time now() const { return offset_ + since_epoch(std::chrono::steady_clock::now()); }

 private:
  template <class TimePoint>
  static Time since_epoch(TimePoint time_point) {
    return std::chrono::duration_cast<Time>(time_point.time_since_epoch());
  }
  Time offset_;  // Unix time minus steady time
};

}  // namespace cedarring::app
