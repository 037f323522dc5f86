// The work that was sent to a cold host in the last window: what the tipping rule bounds. No I/O, no clock.
#pragma once

#include <deque>
#include <iterator>
#include <utility>

#include "cedarring/router.h"

namespace cedarring::fleet {

class ColdSpending {
 public:
  /// When, and how much, in typical requests.
  using Spent = std::pair<Time, double>;
  /// Any order: what another process of this gateway has sent is told late.
  void add(Time at, double work) {
    auto it = spent_.end();
    while (it != spent_.begin() && std::prev(it)->first > at) --it;
    spent_.insert(it, {at, work});
  }
  /// The work sent after `from`; what is older is forgotten.
  double since(Time from) {
    while (!spent_.empty() && spent_.front().first <= from) spent_.pop_front();
    double sum = 0;
    for (const auto& [at, work] : spent_) sum += work;
    return sum;
  }
  [[nodiscard]] const std::deque<Spent>& all() const { return spent_; }

 private:
  std::deque<Spent> spent_;  // by time
};

}  // namespace cedarring::fleet
