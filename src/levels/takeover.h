// When a lost primary will have a successor: learnt from the take-overs seen, and told to those who are
// refused.
#pragma once

#include <algorithm>

#include "cedarring/router.h"

namespace cedarring::levels {

class Takeover {
 public:
  /// `hint`: how long a take-over takes before any has been seen.
  explicit Takeover(Duration hint) : estimate_(hint) {}

  /// One that took this long; of those seen the last few count. One that is absurdly short was none: the
  /// primary itself came back.
  void seen(Duration took) {
    if (took < shortest) return;
    estimate_ += Duration(static_cast<std::int64_t>(static_cast<double>((took - estimate_).count()) * gain));
    ++count_;
  }
  /// What is left of one that began `since` ago. One that is overdue is expected after as long again as it is
  /// overdue: callers come back ever more seldom to a primary that never comes.
  [[nodiscard]] Duration remaining(Duration since) const {
    return since < estimate_ ? estimate_ - since : since - estimate_;
  }
  [[nodiscard]] Duration estimate() const { return estimate_; }
  [[nodiscard]] int count() const { return count_; }
  /// What another process has learnt from `count` of them.
  void take(Duration estimate, int count) {
    if (count > count_ && estimate > Duration::zero()) estimate_ = estimate, count_ = count;
  }

  static constexpr Duration shortest{100'000};
  static constexpr double gain = 0.3;

 private:
  Duration estimate_;
  int count_ = 0;
};

/// A pause for one of many that are refused for the same cause, so that they do not come back together.
/// `expected` is when the cause ends, `most` the longest pause that clients keep; `draw` is even in [0, 1).
/// Pauses spread over half of `most`: behind the cause's end where that is near, up to `most` where it is
/// not.
inline Duration spread_pause(Duration expected, Duration most, double draw) {
  if (most <= Duration::zero()) return Duration::zero();
  const auto width = most / 2;
  const auto from = std::clamp(expected, Duration::zero(), most - width);
  return from + Duration(static_cast<std::int64_t>(static_cast<double>(width.count()) * draw));
}

}  // namespace cedarring::levels
