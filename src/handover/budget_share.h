// Division of a budget between the two processes of one gateway during an upgrade. The two shares never
// exceed the whole budget, even while the processes know nothing of each other's spending. No I/O, no clock.
#pragma once

#include <algorithm>

#include "cedarring/router.h"

namespace cedarring::handover {

/// Stage of a process in an upgrade. `waiting`: the process has started and does not know yet which share its
/// predecessor leaves to it.
enum class HandoverStage { single, outgoing, waiting, incoming };

/// The share (0 to 1) of a budget that a process in this stage may spend. `burst` is the number of units that
/// may be spent at once. Units are not divided, so a budget of less than two units belongs to the incoming
/// process.
inline double budget_share(HandoverStage stage, double burst) {
  if (stage == HandoverStage::single) return 1;
  if (stage == HandoverStage::waiting) return 0;
  if (burst >= 2) return 0.5;
  return stage == HandoverStage::incoming ? 1 : 0;
}

/// This process's share of a limit on the spending in any window of a fixed length. The share shrinks at
/// once; it grows only after the windows in which another process may have spent the rest.
class WindowShare {
 public:
  /// Another process starts: leaves it half of this process's share. Returns the share before the split.
  double split(Time now) {
    const double total = share_at(now);
    set_shares(total, total / 2);
    return total;
  }
  /// Sets the share of both processes together, `total`, and of this process, `share`; both 0 to 1. The other
  /// process has reported its spending so far.
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
  [[nodiscard]] double share_at(Time now) const { return increased(now) ? increased_share_ : share_; }
  /// What this process may still spend of `limit` in the current window, in which it has spent `own` and the
  /// other process had reported spending `other`; may be negative.
  [[nodiscard]] double remaining(Time now, double limit, double own, double other) const {
    if (increased(now)) return limit * increased_share_ - own - other;
    return std::min(limit * share_ - own, limit * total_ - own - other);
  }

 private:
  [[nodiscard]] bool increased(Time now) const { return increase_scheduled_ && now >= increase_at_; }
  double total_ = 1;
  double share_ = 1;
  double increased_share_ = 1;
  bool increase_scheduled_ = false;
  Time increase_at_{};
};

}  // namespace cedarring::handover
