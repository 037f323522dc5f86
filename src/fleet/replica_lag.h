// The design's steps: what a replica weighs in the draw by how far behind it seems. Past the bound it has a
// small fixed share beside those within, where hosts check reads themselves. A gateway that hears seldom
// believes most replicas past the bound that are not, and its reads crowd on the few it has just heard; so
// that share follows how often such reads were answered: a host turns one away at no harm but the way there.
// No I/O, no clock, no randomness.
#pragma once

#include <algorithm>
#include <utility>
#include <vector>

#include "cedarring/router.h"

namespace cedarring::fleet {

/// How far behind a replica is believed to be that was `lag` behind when it was last heard, `age` ago. What
/// it did since nobody knows: with trust it has kept up, without it has stood still, as by its known position
/// alone. Replicas heard at different times cannot be told apart otherwise: the one heard last would always
/// be the most advanced, and each of many gateways would stay with one.
[[nodiscard]] inline Duration estimated_lag(Duration lag, Duration age, bool trust) {
  return trust ? lag : lag + age;
}

/// Leaves of the candidates the most advanced, and those that are level with it within `level`.
template <class Candidate, class Lag>
void retain_most_current(std::vector<std::pair<Candidate*, double>>& from, Duration level, const Lag& lag) {
  auto least = Duration::max();
  for (const auto& [c, w] : from) least = std::min(least, lag(*c));
  from.erase(
      std::remove_if(from.begin(), from.end(), [&](const auto& f) { return lag(*f.first) - level > least; }),
      from.end());
}

/// Up to the bound: full weight under half of it, half from there.
[[nodiscard]] inline double lag_weight(Duration lag, Duration bound) { return lag < bound / 2 ? 1 : 0.5; }

/// How often reads at replicas believed past their bound are answered, smoothed; 0 to 1.
class StaleReadSuccessRate {
 public:
  static constexpr double least = 0.05;  // the design's
  static constexpr double most = 0.5;    // that of the step before: never more than one within the bound

  explicit StaleReadSuccessRate(double at_first) : answered_(at_first) {}
  /// A read that went to such a replica was answered, or turned away as too old.
  void ended(bool answered) { answered_ += gain * ((answered ? 1.0 : 0.0) - answered_); }
  /// 0.05 to 0.5, for a group and all groups together: one of hundreds of gateways sees too little of a group
  /// by itself, and a group that lags is not to be hidden by the others. One in five turned away makes it
  /// 0.2, every second the least.
  [[nodiscard]] static double weight(const StaleReadSuccessRate& group, const StaleReadSuccessRate& all) {
    const double both = group.answered_ * all.answered_;
    return std::max(least, most * both * both * both * both);
  }
  /// Whether such replicas are to be trusted to have kept up: the share is at half of its most at least.
  [[nodiscard]] static bool trust(const StaleReadSuccessRate& group, const StaleReadSuccessRate& all) {
    return weight(group, all) >= most / 2;
  }

 private:
  static constexpr double gain = 0.1;
  double answered_;
};

}  // namespace cedarring::fleet
