// Outlier detection: turns the outcomes of requests at a host into a failure score, ejects the host above a
// threshold, and lets the score decay. An outcome that follows soon after the last one changes the score a
// little; one after a long pause stands for all the outcomes that this gateway, one of hundreds, did not see.
// No I/O, no clock, no randomness of its own.
#pragma once

#include <algorithm>
#include <cmath>

#include "cedarring/router.h"

namespace cedarring::fleet {

/// Failure score and ejection of one host.
class OutlierDetector {
 public:
  /// Parameters of the score and the ejection.
  struct Config {
    double gain;  // weight of an outcome that follows soon after the last one, 0 to 1
    // Seconds, above 0: time constant of an outcome's weight after a pause, and of the score's decay after an
    // ejection.
    double time_constant_s;
    double ejection_score;  // failure score from which the host is ejected, 0 to 1
  };
  /// State that another process of the same gateway may take over.
  struct State {
    double failure_score = 0;  // 0 to 1
    Time last_outcome_at = unset;
    Time ejected_until = unset;  // `unset`: not ejected
    Duration backoff{};          // length of the last ejection, before jitter
  };
  /// Earlier than any time on the clock, and safe to subtract.
  static constexpr Time unset{-40'000'000'000'000'000};

  explicit OutlierDetector(const Config& config) : config_(config) {}
  [[nodiscard]] const State& state() const { return state_; }
  /// Merges the state of another process: the score with the later outcome, and the later ejection.
  void merge(const State& other) {
    if (other.last_outcome_at > state_.last_outcome_at) {
      state_.failure_score = std::clamp(other.failure_score, 0.0, 1.0);
      state_.last_outcome_at = other.last_outcome_at;
    }
    if (other.ejected_until <= state_.ejected_until) return;
    state_.ejected_until = other.ejected_until;
    state_.backoff = std::max(state_.backoff, other.backoff);
  }
  /// Clears the score and the ejection after the host's process was restarted. Keeps the backoff, from which
  /// the length of the next ejection is computed.
  void reset() {
    state_.failure_score = 0;
    state_.ejected_until = unset;
  }
  /// Records a failed request that counts as `weight` ordinary ones; `weight` is above 0. `observed_since`:
  /// when this router, or the predecessor whose state it merged, received its first event; the pause before
  /// the first outcome is counted from this time. Returns whether the host should be ejected.
  bool record_failure(Time now, Time observed_since, double weight) {
    state_.failure_score += std::min(1.0, gain(now, observed_since) * weight) * (1 - state_.failure_score);
    state_.last_outcome_at = now;
    return state_.failure_score >= config_.ejection_score;
  }
  /// Ejects the host for `min_length`, or for twice the last ejection but at most `max_backoff`, whichever is
  /// longer; multiplied by `jitter`.
  void eject(Time now, Duration min_length, Duration max_backoff, double jitter) {
    state_.backoff = std::max(min_length, std::min(state_.backoff * 2, max_backoff));
    state_.ejected_until =
        now + Duration(static_cast<std::int64_t>(static_cast<double>(state_.backoff.count()) * jitter));
  }
  /// Records an answered request. Ends an expired ejection, with a score below the ejection threshold.
  void record_success(Time now, Time observed_since) {
    state_.failure_score -= gain(now, observed_since) * state_.failure_score;
    state_.last_outcome_at = now;
    if (ejected() && now >= state_.ejected_until) {
      state_.ejected_until = unset;
      state_.failure_score = std::min(state_.failure_score, config_.ejection_score * recovered_share);
    }
    if (state_.failure_score < healthy_score) state_.backoff = Duration::zero();
  }
  /// Whether the host was ejected and no request has succeeded since the ejection expired.
  [[nodiscard]] bool ejected() const { return state_.ejected_until != unset; }
  /// Whether the ejection has expired, so that one request may test the host.
  [[nodiscard]] bool ready_for_trial(Time now) const { return ejected() && now >= state_.ejected_until; }
  /// The score at `now`, 0 to 1. It decays after an expired ejection; otherwise no request would test the
  /// host again.
  [[nodiscard]] double decayed_failure_score(Time now) const {
    if (!ejected() || now <= state_.ejected_until) return state_.failure_score;
    return state_.failure_score * std::exp(-seconds(now - state_.ejected_until) / config_.time_constant_s);
  }

 private:
  static constexpr double recovered_share = 0.8;  // of ejection_score: highest score after a recovery
  static constexpr double healthy_score = 0.1;  // below it the next ejection starts from the shortest length

  static double seconds(Duration duration) { return static_cast<double>(duration.count()) / 1e6; }
  /// Weight of an outcome at `now`: the configured gain, or more after a long pause.
  [[nodiscard]] double gain(Time now, Time observed_since) const {
    const Duration pause = now - std::max(state_.last_outcome_at, observed_since);
    return std::max(config_.gain, 1 - std::exp(-seconds(pause) / config_.time_constant_s));
  }
  Config config_;
  State state_;
};

}  // namespace cedarring::fleet
