// Estimates when a replica group that has lost its primary will have a new one, and the retry-after time of
// requests that are refused until then.
#pragma once

#include <algorithm>

#include "cedarring/router.h"

namespace cedarring::levels {

/// Moving average of the takeover durations seen in one group.
class TakeoverEstimator {
 public:
  /// `hint`: the estimate until a takeover has been seen.
  explicit TakeoverEstimator(Duration hint) : estimate_(hint) {}

  /// Adds the duration of a takeover; recent takeovers weigh most. A duration below `min_duration` is
  /// ignored: such a short absence is no takeover, the primary itself came back.
  void record(Duration duration) {
    if (duration < min_duration) return;
    estimate_ +=
        Duration(static_cast<std::int64_t>(static_cast<double>((duration - estimate_).count()) * gain));
    ++count_;
  }

  /// Expected time until a takeover that began `elapsed` ago completes. An overdue takeover is expected after
  /// as much time again as it is overdue, so that callers retry less and less often if it never completes.
  [[nodiscard]] Duration remaining(Duration elapsed) const {
    return elapsed < estimate_ ? estimate_ - elapsed : elapsed - estimate_;
  }

  [[nodiscard]] Duration estimate() const { return estimate_; }
  /// Number of takeovers behind the estimate.
  [[nodiscard]] int count() const { return count_; }

  /// Adopts the estimate of a previous process if it is based on more takeovers than this one.
  void restore(Duration estimate, int count) {
    if (count > count_ && estimate > Duration::zero()) {
      estimate_ = estimate;
      count_ = count;
    }
  }

  static constexpr Duration min_duration{100'000};  // 100 ms: shortest absence that counts as a takeover
  static constexpr double gain = 0.3;               // weight of a new duration in the moving average

 private:
  Duration estimate_;
  int count_ = 0;
};

/// The retry-after time of one of many requests that are refused for the same cause, spread so that their
/// clients do not all return at once. `expected` is the time until the cause ends, `max_retry_after` the
/// longest time that clients honour, `fraction` is uniform in [0, 1). The times spread over half of
/// `max_retry_after`: starting at the expected end if it is near, else ending at `max_retry_after`.
inline Duration spread_retry_after(Duration expected, Duration max_retry_after, double fraction) {
  if (max_retry_after <= Duration::zero()) return Duration::zero();
  const auto width = max_retry_after / 2;
  const auto from = std::clamp(expected, Duration::zero(), max_retry_after - width);
  return from + Duration(static_cast<std::int64_t>(static_cast<double>(width.count()) * fraction));
}

}  // namespace cedarring::levels
