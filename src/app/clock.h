// The module's time: Unix time as it was at the start, carried on by the steady clock. It never goes back.
#pragma once

#include <chrono>

#include "cedarring/router.h"

namespace cedarring::app {

class UnixClock {
 public:
  UnixClock() : offset_(since(std::chrono::system_clock::now()) - since(std::chrono::steady_clock::now())) {}
  [[nodiscard]] Time now() const { return offset_ + since(std::chrono::steady_clock::now()); }

 private:
  template <class Point>
  static Time since(Point p) {
    return std::chrono::duration_cast<Time>(p.time_since_epoch());
  }
  Time offset_;
};

}  // namespace cedarring::app
