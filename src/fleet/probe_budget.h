// What a router may spend on probes: requests pay for them at the price in the settings. Of a fleet however
// large, all probes together cost the same part of what the requests are worth. No I/O, no clock.
#pragma once

#include <algorithm>

namespace cedarring::fleet {

class ProbeBudget {
 public:
  /// `price`: of a probe, in worths of a request, 0 or more; 0 makes all probes free. `part`: of the worth of
  /// all requests that probes may cost, 0 to 1. `most`: probes saved at most, 1 or more; as many are there at
  /// the start.
  ProbeBudget(double price, double part, double most)
      : earned_(price > 0 ? part / price : 0), most_(most), saved_(most), free_(price <= 0) {}
  /// A request has come.
  void earn() { saved_ = std::min(most_, saved_ + earned_); }
  /// Whether there is a probe to be had for what leaves the share `kept` (0 to 1) of `most` to more urgent
  /// ones.
  [[nodiscard]] bool available(double kept = 0) const { return free_ || saved_ >= 1 + kept * most_; }
  /// One is sent, whether or not it was to be had.
  void spend() { saved_ -= free_ ? 0 : 1; }
  /// Half of what is saved, for another process of this gateway.
  double split_half() { return saved_ /= 2; }
  /// What another process has given, or told to be spent: in place of what was saved.
  void set_balance(double saved) { saved_ = std::clamp(saved, 0.0, most_); }

 private:
  double earned_, most_, saved_;
  bool free_;
};

}  // namespace cedarring::fleet
