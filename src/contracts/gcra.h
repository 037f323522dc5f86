// The generic cell rate algorithm (ITU-T I.371): a rate with a burst, kept as one integer. No drift: what has
// been let through in any window never exceeds rate x window + burst, however long it runs.
#pragma once

#include <algorithm>
#include <cmath>
#include <cstdint>

#include "cedarring/router.h"

namespace cedarring::contracts {

/// A rate in units a second and how many units may come at once. Time in nanoseconds since the clock's zero.
struct Rate {
  std::int64_t interval = 0;   // of one unit, rounded up: never more than the rate; 0: no limit
  std::int64_t tolerance = 0;  // by which a unit may come early
  static constexpr std::int64_t none = INT64_MAX / 4;  // an interval that never ends: a rate of nothing
  static constexpr double longest = 1e17;              // nanoseconds, three years: sums stay within 63 bits
  static Rate of(double per_second, double burst) {
    Rate r;
    if (!(per_second > 1e-6)) {  // less than one in eleven days is nothing
      r.interval = none;
      return r;
    }
    r.interval = std::max<std::int64_t>(1, static_cast<std::int64_t>(std::ceil(1e9 / per_second)));
    // A burst of one unit is what the rate itself lets through.
    r.tolerance = static_cast<std::int64_t>(
        std::min(longest, std::max(0.0, burst - 1) * static_cast<double>(r.interval)));
    return r;
  }
};

class Gcra {
 public:
  /// Whether `units` may come now; nothing is taken.
  [[nodiscard]] bool conforms(const Rate& rate, Time now) const {
    if (rate.interval == 0) return true;
    if (rate.interval >= Rate::none) return false;
    return due_ - ns(now) <= rate.tolerance;
  }
  /// Takes units; also where they do not conform: those after them wait the longer. The debt is bounded.
  void take(const Rate& rate, double units, Time now) {
    if (rate.interval == 0 || rate.interval >= Rate::none) return;
    const auto cost = static_cast<std::int64_t>(
        std::min(Rate::longest, std::ceil(static_cast<double>(rate.interval) * units)));
    due_ = std::min(std::max(due_, ns(now)) + cost, ns(now) + rate.tolerance + std::max(cost, debt_most));
  }
  /// Gives units back that were never used; what was saved up never exceeds the burst.
  void give_back(const Rate& rate, double units) {
    if (rate.interval == 0 || rate.interval >= Rate::none) return;
    due_ -= static_cast<std::int64_t>(std::min(Rate::longest, static_cast<double>(rate.interval) * units));
  }
  /// How long until a unit conforms; zero if it does now.
  [[nodiscard]] Duration wait(const Rate& rate, Time now) const {
    if (rate.interval == 0) return Duration::zero();
    if (rate.interval >= Rate::none) return Duration::max();
    const auto left = due_ - ns(now) - rate.tolerance;
    return left <= 0 ? Duration::zero() : Duration((left + 999) / 1000);
  }
  /// Whether nothing is owed: an entry that says so need not be kept.
  [[nodiscard]] bool idle(Time now) const { return due_ <= ns(now); }
  /// How much of its rate is used up, in nanoseconds: what another process of this gateway is told.
  [[nodiscard]] std::int64_t owed(Time now) const { return std::max<std::int64_t>(0, due_ - ns(now)); }
  void owe(std::int64_t nanoseconds, Time now) {
    due_ = ns(now) + std::clamp<std::int64_t>(nanoseconds, 0, static_cast<std::int64_t>(Rate::longest));
  }
  /// Nothing may come before the rate has let it.
  void spend_all(const Rate& rate, Time now) {
    if (rate.interval == 0 || rate.interval >= Rate::none) return;
    due_ = ns(now) + rate.tolerance + rate.interval;
  }
  /// From a part (0 to 1) of `whole` to the whole: the rate is whole at once, but what might have come at
  /// once from the other part is another's and may be spent.
  void widen(const Rate& whole, double part, Time now) {
    if (whole.interval == 0 || whole.interval >= Rate::none) return;
    const double burst = static_cast<double>(whole.tolerance) + static_cast<double>(whole.interval);
    owe(static_cast<std::int64_t>((1 - part) * burst + part * static_cast<double>(owed(now))), now);
  }

 private:
  static constexpr std::int64_t debt_most =
      10'000'000'000;  // 10 s, or one unit: no correction bars anyone for longer
  static std::int64_t ns(Time t) { return t.count() * 1000; }
  std::int64_t due_ = 0;  // the theoretical arrival time of the next unit
};

}  // namespace cedarring::contracts
