// Outlier detection: how the outcomes of requests at a host become a verdict on it, and how the verdict
// fades. Of many outcomes each counts for little; one that comes after long quiet counts for all that was not
// seen since, as it is for one of hundreds of gateways. No I/O, no clock, no randomness of its own.
#pragma once

#include <algorithm>
#include <cmath>

#include "cedarring/router.h"

namespace cedarring::fleet {

class OutlierDetector {
 public:
  /// How outcomes count. `gain` (0 to 1): of one among many. `seconds` (over 0): after which one counts for
  /// nearly all, and a verdict whose time is up has faded. `eject_at` (0 to 1): the score from which the host
  /// is kept out.
  struct Config {
    double gain, seconds, eject_at;
  };
  /// What another process of the same gateway may be told.
  struct State {
    double fails = 0;  // 0 to 1
    Time judged = unset, ejected_until = unset;
    Duration backoff{};
  };
  /// Far before any clock, near enough to subtract.
  static constexpr Time unset{-40'000'000'000'000'000};

  explicit OutlierDetector(const Config& terms) : terms_(terms) {}
  [[nodiscard]] const State& known() const { return k_; }
  /// Takes over what another process has learnt where that is news: the later ejection, the later outcome.
  void learn(const State& other) {
    if (other.judged > k_.judged) k_.fails = std::clamp(other.fails, 0.0, 1.0), k_.judged = other.judged;
    if (other.ejected_until <= k_.ejected_until) return;
    k_.ejected_until = other.ejected_until, k_.backoff = std::max(k_.backoff, other.backoff);
  }
  /// The host is another than it was: a process that has just started.
  void forget() { k_.fails = 0, k_.ejected_until = unset; }
  /// A request failed there, which counts for `weight` ordinary ones; `since`: when we began to look. True:
  /// it is to be ejected.
  bool failed(Time now, Time since, double weight) {
    k_.fails += std::min(1.0, gain(now, since) * weight) * (1 - k_.fails);
    k_.judged = now;
    return k_.fails >= terms_.eject_at;
  }
  /// Keeps it out: for `first` or twice as long as before, `most` at most, times `jitter`.
  void eject(Time now, Duration first, Duration most, double jitter) {
    k_.backoff = std::max(first, std::min(k_.backoff * 2, most));
    k_.ejected_until =
        now + Duration(static_cast<std::int64_t>(static_cast<double>(k_.backoff.count()) * jitter));
  }
  void answered(Time now, Time since) {
    k_.fails -= gain(now, since) * k_.fails;
    k_.judged = now;
    if (ejected() && now >= k_.ejected_until)
      k_.ejected_until = unset, k_.fails = std::min(k_.fails, terms_.eject_at * 0.8);
    if (k_.fails < 0.1) k_.backoff = Duration::zero();
  }
  /// Ejected and not yet proved well.
  [[nodiscard]] bool ejected() const { return k_.ejected_until != unset; }
  /// Its time is up, and one request may try it.
  [[nodiscard]] bool ready_for_trial(Time now) const { return ejected() && now >= k_.ejected_until; }
  /// The score as it weighs now, 0 to 1. A verdict fades once its time is up: else nobody would try the host
  /// again.
  [[nodiscard]] double failure_score(Time now) const {
    if (!ejected() || now <= k_.ejected_until) return k_.fails;
    return k_.fails * std::exp(-seconds(now - k_.ejected_until) / terms_.seconds);
  }

 private:
  static double seconds(Duration d) { return static_cast<double>(d.count()) / 1e6; }
  [[nodiscard]] double gain(Time now, Time since) const {
    return std::max(terms_.gain, 1 - std::exp(-seconds(now - std::max(k_.judged, since)) / terms_.seconds));
  }
  Config terms_;
  State k_;
};

}  // namespace cedarring::fleet
