// How long a connection to a host may take to come up before a request goes elsewhere: from what connections
// took lately, as RFC 6298 does for retransmissions. A host that says nothing then costs a request a little
// of its time, not all of it; nothing was sent, so nothing can have run. No I/O, no clock.
#pragma once

#include <algorithm>
#include <cmath>

#include "cedarring/router.h"

namespace cedarring::fleet {

class AdaptiveConnectTimeout {
 public:
  /// A connection has come up after `took`. Those given up tell nothing of how long they would have taken.
  void took(Duration took) {
    const auto us = static_cast<double>(took.count());
    if (mean_ < 0)
      mean_ = us, spread_ = us / 2;
    else
      spread_ += (std::abs(us - mean_) - spread_) / 4, mean_ += (us - mean_) / 8;
    lost_ = 0;
  }
  /// One has been given up. Where none comes up in between the patience doubles: they may all be slow.
  void gave_up() { lost_ = std::min(lost_ + 1, 16); }
  /// Between an eighth of `most` and `most`; `most` as long as nothing has been seen.
  [[nodiscard]] Duration allowed(Duration most) const {
    if (mean_ < 0) return most;
    const double wanted = (mean_ + 4 * spread_) * static_cast<double>(1 << lost_);
    return std::clamp(Duration(static_cast<std::int64_t>(std::min(wanted, 1e12))), most / 8, most);
  }

 private:
  double mean_ = -1, spread_ = 0;  // us; below 0: none seen yet
  int lost_ = 0;                   // given up since the last that came up
};

}  // namespace cedarring::fleet
