// The design's steps: what a replica weighs in the draw by how far behind it seems. Past the bound it has a small
// fixed share beside those within, where hosts check reads themselves. A gateway that hears seldom believes most
// replicas past the bound that are not, and its reads crowd on the few it has just heard; so that share follows
// how often such reads were answered: a host turns one away at no harm but the way there. No I/O, no clock, no
// randomness.
#pragma once

#include <algorithm>

#include "cedarring/router.h"

namespace cedarring::fleet {

/// Up to the bound: full weight under half of it, half from there.
[[nodiscard]] inline double lag_step(Duration lag, Duration bound) { return lag < bound / 2 ? 1 : 0.5; }

/// How often reads at replicas believed past their bound are answered, smoothed; 0 to 1.
class PastShare {
 public:
  static constexpr double least = 0.05;  // the design's
  static constexpr double most = 0.5;    // that of the step before: never more than one within the bound

  explicit PastShare(double at_first) : answered_(at_first) {}
  /// A read that went to such a replica was answered, or turned away as too old.
  void ended(bool answered) { answered_ += gain * ((answered ? 1.0 : 0.0) - answered_); }
  /// 0.05 to 0.5, for a group and all groups together: one of hundreds of gateways sees too little of a group by
  /// itself, and a group that lags is not to be hidden by the others. One in five turned away makes it 0.2,
  /// every second the least.
  [[nodiscard]] static double weight(const PastShare& group, const PastShare& all) {
    const double both = group.answered_ * all.answered_;
    return std::max(least, most * both * both * both * both);
  }

 private:
  static constexpr double gain = 0.1;
  double answered_;
};

}  // namespace cedarring::fleet
