// The generic cell rate algorithm (ITU-T I.371): a rate limit with a burst whose whole state is one integer.
// Integer arithmetic avoids drift: the units admitted in any period never exceed rate x period + burst.
#pragma once

#include <algorithm>
#include <cmath>
#include <cstdint>

#include "cedarring/router.h"

namespace cedarring::contracts {

/// A rate limit in the terms of the algorithm: the interval between units and the tolerance, in nanoseconds.
struct Rate {
  std::int64_t interval = 0;   // per unit, rounded up so that the rate is never exceeded; 0: no limit
  std::int64_t tolerance = 0;  // how early a unit may arrive
  static constexpr std::int64_t blocked_interval = INT64_MAX / 4;  // interval if no unit is admitted
  static constexpr double max_nanoseconds = 1e17;                  // three years: sums stay within 63 bits
  static constexpr double min_per_second = 1e-6;  // a lower rate, one unit in eleven days, counts as none
  static constexpr double nanoseconds_per_second = 1e9;

  /// Whether every unit conforms.
  [[nodiscard]] bool is_unlimited() const { return interval == 0; }
  /// Whether no unit conforms.
  [[nodiscard]] bool is_blocked() const { return interval >= blocked_interval; }

  /// A rate in units per second with a burst in units.
  static Rate of(double per_second, double burst) {
    Rate rate;
    if (!(per_second > min_per_second)) {
      rate.interval = blocked_interval;
      return rate;
    }
    rate.interval =
        std::max<std::int64_t>(1, static_cast<std::int64_t>(std::ceil(nanoseconds_per_second / per_second)));
    // The rate itself admits one unit at a time, so a burst of one needs no tolerance.
    rate.tolerance = static_cast<std::int64_t>(
        std::min(max_nanoseconds, std::max(0.0, burst - 1) * static_cast<double>(rate.interval)));
    return rate;
  }
};

/// The state of one limiter. The rate is passed to each call because it changes over time. The limit is
/// guaranteed only for units that are charged one at a time after conforms() returned true: charge() itself
/// refuses nothing.
class Gcra {
 public:
  /// Whether a unit conforms now. Charges nothing.
  [[nodiscard]] bool conforms(const Rate& rate, Time now) const {
    if (rate.is_unlimited()) return true;
    if (rate.is_blocked()) return false;
    return due_ - to_nanoseconds(now) <= rate.tolerance;
  }
  /// Charges `units` even if they do not conform; later units then wait longer, up to a maximum debt.
  void charge(const Rate& rate, double units, Time now) {
    if (rate.is_unlimited() || rate.is_blocked()) return;
    const auto cost = static_cast<std::int64_t>(
        std::min(Rate::max_nanoseconds, std::ceil(static_cast<double>(rate.interval) * units)));
    due_ = std::min(std::max(due_, to_nanoseconds(now)) + cost,
                    to_nanoseconds(now) + rate.tolerance + std::max(cost, max_debt));
  }
  /// Returns units that were charged and not used. The saved credit never exceeds the burst.
  void refund(const Rate& rate, double units) {
    if (rate.is_unlimited() || rate.is_blocked()) return;
    due_ -= static_cast<std::int64_t>(
        std::min(Rate::max_nanoseconds, static_cast<double>(rate.interval) * units));
  }
  /// Time until a unit conforms; zero if a unit conforms now.
  [[nodiscard]] Duration wait(const Rate& rate, Time now) const {
    if (rate.is_unlimited()) return Duration::zero();
    if (rate.is_blocked()) return Duration::max();
    const auto left = due_ - to_nanoseconds(now) - rate.tolerance;
    return left <= 0 ? Duration::zero() : Duration((left + 999) / 1000);  // microseconds, rounded up
  }
  /// Whether no debt is left, so that a limiter in its initial state behaves the same.
  [[nodiscard]] bool has_no_debt(Time now) const { return due_ <= to_nanoseconds(now); }
  /// The time in nanoseconds until the burst is whole again: includes the part of the burst that is used, so
  /// units may conform while there is debt. Handed to another process of this gateway.
  [[nodiscard]] std::int64_t debt(Time now) const {
    return std::max<std::int64_t>(0, due_ - to_nanoseconds(now));
  }
  /// Sets the debt, in nanoseconds.
  void set_debt(std::int64_t nanoseconds, Time now) {
    due_ = to_nanoseconds(now) +
           std::clamp<std::int64_t>(nanoseconds, 0, static_cast<std::int64_t>(Rate::max_nanoseconds));
  }
  /// Uses up the whole burst: the next unit conforms one interval from now.
  void exhaust(const Rate& rate, Time now) {
    if (rate.is_unlimited() || rate.is_blocked()) return;
    due_ = to_nanoseconds(now) + rate.tolerance + rate.interval;
  }
  /// Changes the limiter from a share (0 to 1) of `full_rate` to all of it, once no other process spends the
  /// rest. The rate applies at once; the burst of the rest counts as used, because the other process may have
  /// spent it.
  void restore_full_rate(const Rate& full_rate, double share, Time now) {
    if (full_rate.is_unlimited() || full_rate.is_blocked()) return;
    const double burst = static_cast<double>(full_rate.tolerance) + static_cast<double>(full_rate.interval);
    set_debt(static_cast<std::int64_t>((1 - share) * burst + share * static_cast<double>(debt(now))), now);
  }

 private:
  // Nanoseconds, beyond the tolerance. A charge that does not conform delays later units by at most 10 s, or
  // by its own cost if that is longer.
  static constexpr std::int64_t max_debt = 10'000'000'000;
  static std::int64_t to_nanoseconds(Time time) { return time.count() * 1000; }
  std::int64_t due_ = 0;  // theoretical arrival time of the next unit
};

}  // namespace cedarring::contracts
