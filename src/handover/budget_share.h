// Division of a budget between the two processes of one gateway during an upgrade: the outgoing process,
// which served alone before, and the incoming process, which replaces it. The two shares never exceed the
// whole budget, even while the processes know nothing of each other's spending. No I/O, no clock.
#pragma once

#include <algorithm>

#include "cedarring/router.h"

namespace cedarring::handover {

/// Stage of a process in an upgrade. `single`: no other process of the gateway runs; `outgoing`: a successor
/// shares the budgets; `waiting`: the process has started and does not know yet which share its predecessor
/// leaves to it; `incoming`: the process uses its share beside its predecessor.
enum class HandoverStage { single, outgoing, waiting, incoming };

/// The share (0 to 1) of a budget that a process in this stage may spend. `burst` is the number of units,
/// such as requests, that may be spent at once. Units are not divided, so a budget of less than two units
/// belongs to the incoming process alone.
inline double budget_share(HandoverStage stage, double burst) {
  constexpr double min_divisible_burst = 2;
  if (stage == HandoverStage::single) return 1;
  if (stage == HandoverStage::waiting) return 0;
  if (burst >= min_divisible_burst) return 0.5;
  return stage == HandoverStage::incoming ? 1 : 0;
}

/// This process's share of a limit on the spending in any window of a fixed length. The share shrinks at
/// once. It grows at once if the other process has reported its spending (set_shares), else only after the
/// windows in which that process may have spent the rest (schedule_share). All shares are 0 to 1, of the
/// whole limit.
class WindowShare {
 public:
  /// Another process starts: leaves it half of this process's share. Returns the share before the split,
  /// which both processes have together from now on.
  double split(Time now) {
    const double total = share_at(now);
    set_shares(total, total / 2);
    return total;
  }
  /// Sets the share of both processes together, `total`, and of this process, `share`, and drops a scheduled
  /// change. Unless both are zero, the other process has reported its spending so far.
  void set_shares(double total, double share) {
    total_ = total;
    share_ = share;
    increase_scheduled_ = false;
  }
  /// Sets this process's share to `share` from `at` on. The caller chooses `at` after the end of every window
  /// in which another process may have spent the rest.
  void schedule_share(Time at, double share) {
    increase_scheduled_ = true;
    increase_at_ = at;
    increased_share_ = share;
  }
  /// This process's share at `now`.
  [[nodiscard]] double share_at(Time now) const { return increased(now) ? increased_share_ : share_; }
  /// What this process may still spend of `limit` in the window that ends at `now`, in which this process has
  /// spent `own` and the other process has reported to have spent `other`; may be negative.
  [[nodiscard]] double remaining(Time now, double limit, double own, double other) const {
    if (increased(now)) return limit * increased_share_ - own - other;
    return std::min(limit * share_ - own, limit * total_ - own - other);
  }

 private:
  [[nodiscard]] bool increased(Time now) const { return increase_scheduled_ && now >= increase_at_; }
  double total_ = 1;            // share of both processes together
  double share_ = 1;            // share of this process
  double increased_share_ = 1;  // share of this process from `increase_at_` on, if an increase is scheduled
  bool increase_scheduled_ = false;
  Time increase_at_{};
};

}  // namespace cedarring::handover
