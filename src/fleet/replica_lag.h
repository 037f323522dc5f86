// Replica selection by replication lag: weights of replicas by their estimated lag. Where hosts check reads
// themselves, a replica beyond a read's staleness bound keeps a small weight: a gateway that seldom receives
// positions overestimates the lag of most replicas, and would otherwise send its reads to the few replicas
// that reported last. The weight follows the success rate of such reads; a rejected read costs only its round
// trip. No I/O, no clock, no randomness.
#pragma once

#include <algorithm>
#include <utility>
#include <vector>

#include "cedarring/router.h"

namespace cedarring::fleet {

/// The estimated lag of a replica that was `lag` behind at its last report, `age` ago. Its progress since
/// then is unknown: with `assume_kept_up` the replica is taken to have kept up, otherwise to have stood still
/// at its last known position. Without this assumption the replica that reported last would always rank as
/// the most current one, and each of many gateways would send its reads to a single replica.
[[nodiscard]] inline Duration estimated_lag(Duration lag, Duration age, bool assume_kept_up) {
  return assume_kept_up ? lag : lag + age;
}

/// Removes all candidates but the one with the least lag and those within `tolerance` of it.
template <class Candidate, class Lag>
void retain_most_current(std::vector<std::pair<Candidate*, double>>& candidates, Duration tolerance,
                         const Lag& lag) {
  auto least = Duration::max();
  for (const auto& [candidate, weight] : candidates) least = std::min(least, lag(*candidate));
  candidates.erase(std::remove_if(candidates.begin(), candidates.end(),
                                  [&](const auto& entry) { return lag(*entry.first) - tolerance > least; }),
                   candidates.end());
}

/// Weight of a replica within the staleness bound: 1 for a lag below half of the bound, else 0.5.
[[nodiscard]] inline double lag_weight(Duration lag, Duration bound) { return lag < bound / 2 ? 1 : 0.5; }

/// Success rate of reads at replicas whose estimated lag is beyond the staleness bound, smoothed; 0 to 1.
class StaleReadSuccessRate {
 public:
  static constexpr double min_weight = 0.05;
  static constexpr double max_weight = 0.5;  // never above lag_weight of a replica within the bound

  explicit StaleReadSuccessRate(double initial_rate) : rate_(initial_rate) {}
  /// Records a read at a replica beyond the bound. `answered`: whether it was answered, not rejected as too
  /// stale.
  void record(bool answered) { rate_ += gain * ((answered ? 1.0 : 0.0) - rate_); }
  /// Weight of a replica beyond the bound, `min_weight` to `max_weight`, from the success rates of its group
  /// and of all groups. The rate of all groups is used too because one of hundreds of gateways sees too few
  /// reads of a single group; the rate of the group, because other groups must not hide a group that lags. If
  /// one of the two rates is 1, the weight is about 0.2 when the other is 0.8, and `min_weight` when it is
  /// 0.5.
  [[nodiscard]] static double weight(const StaleReadSuccessRate& group, const StaleReadSuccessRate& all) {
    const double combined_rate = group.rate_ * all.rate_;
    return std::max(min_weight, max_weight * combined_rate * combined_rate * combined_rate * combined_rate);
  }
  /// Whether the group's replicas may be assumed to have kept up since their last report: the weight is at
  /// least half of the maximum.
  [[nodiscard]] static bool assume_kept_up(const StaleReadSuccessRate& group,
                                           const StaleReadSuccessRate& all) {
    return weight(group, all) >= max_weight / 2;
  }

 private:
  static constexpr double gain = 0.1;  // EWMA gain of one read
  double rate_;
};

}  // namespace cedarring::fleet
