// Adaptive connect timeout: how long a connection attempt to a host may take before the request is tried on
// another host. Estimated from recent connect times as RFC 6298 estimates retransmission timeouts. A
// host that does not accept connections thus uses up only part of a request's time. The request can be sent
// elsewhere safely: it was not written yet, so it cannot have run. No I/O, no clock.
#pragma once

#include <algorithm>
#include <cmath>

#include "cedarring/router.h"

namespace cedarring::fleet {

/// Estimates the connect timeout from the mean and deviation of connect times.
class AdaptiveConnectTimeout {
 public:
  /// Records a connection that was established after `elapsed`. Abandoned attempts are not recorded here,
  /// because their full connect time is unknown.
  void connected(Duration elapsed) {
    const auto elapsed_us = static_cast<double>(elapsed.count());
    if (mean_us_ < 0) {
      mean_us_ = elapsed_us;
      deviation_us_ = elapsed_us / 2;
    } else {
      deviation_us_ += (std::abs(elapsed_us - mean_us_) - deviation_us_) / deviation_gain_divisor;
      mean_us_ += (elapsed_us - mean_us_) / mean_gain_divisor;
    }
    consecutive_timeouts_ = 0;
  }
  /// Records an abandoned attempt. Each one in a row doubles the timeout, because all connections may be
  /// slow.
  void timed_out() { consecutive_timeouts_ = std::min(consecutive_timeouts_ + 1, max_doublings); }
  /// The timeout for the next attempt: between an eighth of `max_timeout` and `max_timeout`; `max_timeout`
  /// until a connection has been recorded.
  [[nodiscard]] Duration timeout(Duration max_timeout) const {
    if (mean_us_ < 0) return max_timeout;
    const double estimate_us =
        (mean_us_ + timeout_deviations * deviation_us_) * static_cast<double>(1 << consecutive_timeouts_);
    const Duration estimate(static_cast<std::int64_t>(std::min(estimate_us, max_estimate_us)));
    return std::clamp(estimate, max_timeout / min_timeout_divisor, max_timeout);
  }

 private:
  // RFC 6298: one over the EWMA gains, and the deviations by which the timeout exceeds the mean.
  static constexpr int mean_gain_divisor = 8;
  static constexpr int deviation_gain_divisor = 4;
  static constexpr int timeout_deviations = 4;
  static constexpr int min_timeout_divisor = 8;    // maximum timeout over the least timeout
  static constexpr int max_doublings = 16;         // of the timeout
  static constexpr double max_estimate_us = 1e12;  // fits a Duration
  double mean_us_ = -1;                            // below 0: no connection recorded yet
  double deviation_us_ = 0;                        // mean deviation from the mean
  int consecutive_timeouts_ = 0;                   // since the last established connection
};

}  // namespace cedarring::fleet
