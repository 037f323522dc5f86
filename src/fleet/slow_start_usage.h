// The work that was sent to a cold host in the last window: what the tipping rule bounds. No I/O, no clock.
#pragma once

#include <deque>
#include <utility>

#include "cedarring/router.h"

namespace cedarring::fleet {

class SlowStartUsage {
 public:
  /// When, and how much, in typical requests.
  using Spent = std::pair<Time, double>;
  /// This process sends; times do not go back.
  void add(Time at, double work) { own_.emplace_back(at, work); }
  /// What another process of this gateway had sent, in place of what was told before; by time.
  void told(std::deque<Spent> spent) { told_ = std::move(spent); }
  /// The work sent after `from` by this process, and as told by another; what is older is forgotten.
  double own(Time from) { return since(own_, from); }
  double others(Time from) { return since(told_, from); }
  /// All of it, in any order.
  [[nodiscard]] std::deque<Spent> all() const {
    auto all = told_;
    all.insert(all.end(), own_.begin(), own_.end());
    return all;
  }

 private:
  static double since(std::deque<Spent>& spent, Time from) {
    while (!spent.empty() && spent.front().first <= from) spent.pop_front();
    double sum = 0;
    for (const auto& [at, work] : spent) sum += work;
    return sum;
  }
  std::deque<Spent> own_, told_;
};

}  // namespace cedarring::fleet
