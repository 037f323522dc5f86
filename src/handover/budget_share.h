// What part of a budget each of two processes of one gateway may spend. The parts never exceed the whole
// together, whatever the two know of each other later. No I/O, no clock.
#pragma once

#include <algorithm>

#include "cedarring/router.h"

namespace cedarring::handover {

/// waits: it begins, and has not been told yet what the other leaves it.
enum class HandoverStage { single, outgoing, waiting, incoming };

/// The part, 0 to 1, of a budget of which `burst` units may be spent at once; units are not divided, so one
/// that is too small for two belongs to the process that begins.
inline double budget_share(HandoverStage stage, double burst) {
  if (stage == HandoverStage::single) return 1;
  if (stage == HandoverStage::waiting) return 0;
  if (burst >= 2) return 0.5;
  return stage == HandoverStage::incoming ? 1 : 0;
}

/// A part of a bound on what is spent in any window of a certain length. It shrinks at once; it grows only
/// when the windows in which another process may have spent the rest are over.
class WindowShare {
 public:
  /// Another process begins: half of what this one may use is the other's. Returns what was whole.
  double split(Time now) {
    const double whole = of(now);
    hold(whole, whole / 2);
    return whole;
  }
  /// `whole`: what both may use together, of which the other has told what it had spent; `part`: this one's.
  void hold(double whole, double part) { whole_ = whole, part_ = part, widens_ = false; }
  /// From `at` on this process may use `to`.
  void widen(Time at, double to) { widens_ = true, at_ = at, to_ = to; }
  [[nodiscard]] double of(Time now) const { return wide(now) ? to_ : part_; }
  /// What is left of `bound`, where this process has spent `own` in the window and the other had spent
  /// `told`.
  [[nodiscard]] double left(Time now, double bound, double own, double told) const {
    if (wide(now)) return bound * to_ - own - told;
    return std::min(bound * part_ - own, bound * whole_ - own - told);
  }

 private:
  [[nodiscard]] bool wide(Time now) const { return widens_ && now >= at_; }
  double whole_ = 1, part_ = 1, to_ = 1;
  bool widens_ = false;
  Time at_{};
};

}  // namespace cedarring::handover
