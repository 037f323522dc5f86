// Token budget for health probes. Each request adds a fraction of a token and each probe spends one, so that
// probes cost a fixed share of the requests' value, whatever the size of the fleet. No I/O, no clock.
#pragma once

#include <algorithm>

namespace cedarring::fleet {

/// A balance of probe tokens.
class ProbeBudget {
 public:
  /// `probe_cost`: cost of one probe over the value of one request, 0 or more; 0 makes probes free. `share`:
  /// share of the requests' value that probes may cost, 0 to 1. `max_tokens`: limit of the balance, 1 or
  /// more, and the balance at the start.
  ProbeBudget(double probe_cost, double share, double max_tokens)
      : tokens_per_request_(probe_cost > 0 ? share / probe_cost : 0),
        max_tokens_(max_tokens),
        tokens_(max_tokens),
        free_(probe_cost <= 0) {}
  /// Adds the tokens of one request.
  void earn() { tokens_ = std::min(max_tokens_, tokens_ + tokens_per_request_); }
  /// Whether a probe may be sent if the share `reserved` (0 to 1) of the maximum balance is to remain for
  /// more urgent probes.
  [[nodiscard]] bool available(double reserved = 0) const {
    return free_ || tokens_ >= 1 + reserved * max_tokens_;
  }
  /// Spends one token; the balance may become negative.
  void spend() { tokens_ -= free_ ? 0 : 1; }
  /// Halves the balance and returns the other half, for another process of this gateway.
  double split_half() { return tokens_ /= 2; }
  /// Replaces the balance by `tokens`, limited to the range from 0 to the maximum.
  void set_balance(double tokens) { tokens_ = std::clamp(tokens, 0.0, max_tokens_); }

 private:
  double tokens_per_request_;
  double max_tokens_;
  double tokens_;
  bool free_;
};

}  // namespace cedarring::fleet
