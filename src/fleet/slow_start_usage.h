// Work sent to a host during its slow start, in a sliding window. The router compares it with the slow-start
// budget, which keeps a cold host from being overloaded. No I/O, no clock.
#pragma once

#include <deque>
#include <utility>

#include "cedarring/router.h"

namespace cedarring::fleet {

/// Sends to one host, by this process and by another process of the same gateway during an upgrade.
class SlowStartUsage {
 public:
  /// Time of a send, and its work in typical requests: the mean latency of the request's class over the mean
  /// latency of all classes.
  using SentWork = std::pair<Time, double>;
  /// Records a send of this process; times must not decrease.
  void add(Time at, double work) { own_.emplace_back(at, work); }
  /// Replaces the sends of the other process. `sends` must be sorted by time.
  void set_others(std::deque<SentWork> sends) { others_ = std::move(sends); }
  /// The work that this process sent after `from`; forgets what it sent up to then.
  double own(Time from) { return sum_since(own_, from); }
  /// The work that the other process sent after `from`; forgets what it sent up to then.
  double others(Time from) { return sum_since(others_, from); }
  /// The sends of both processes, unsorted.
  [[nodiscard]] std::deque<SentWork> all() const {
    auto all = others_;
    all.insert(all.end(), own_.begin(), own_.end());
    return all;
  }

 private:
  static double sum_since(std::deque<SentWork>& sends, Time from) {
    while (!sends.empty() && sends.front().first <= from) sends.pop_front();
    double sum = 0;
    for (const auto& [at, work] : sends) sum += work;
    return sum;
  }
  std::deque<SentWork> own_;
  std::deque<SentWork> others_;
};

}  // namespace cedarring::fleet
