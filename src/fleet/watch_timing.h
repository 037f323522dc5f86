// How long a watch on the list may say nothing, and how soon it is opened anew. PROTOCOL: a heartbeat every 2
// s. What a watch that has fallen silent misses counts as told 6 s after, so silence is seen and the watch
// opened anew well inside them, a second time if the first says nothing either. No I/O, no clock.
#pragma once

#include <algorithm>

#include "cedarring/router.h"

namespace cedarring::fleet {

class WatchTiming {
 public:
  static constexpr Duration heartbeat{2'000'000};

  /// `grace`: how long after being told of a drain requests may still go to the host.
  explicit WatchTiming(Duration grace) : most_(std::clamp(grace / 4, Duration(20'000), Duration(250'000))) {}
  /// The most that it may say nothing whole, a list or a heartbeat: one heartbeat late by half. A call that
  /// is not answered yet may be waiting for its turn; it has failed once that has taken longer than a
  /// heartbeat.
  [[nodiscard]] static Duration silence(bool answered) {
    return answered ? heartbeat * 3 / 2 : heartbeat * 5 / 4;
  }
  /// It has said something whole.
  void heard() { next_ = Duration{}; }
  /// It has ended: the wait before it is opened anew, where nobody else decides that. None after one that was
  /// answered: what the list's agent learns meanwhile counts as told.
  Duration after_end() {
    const auto wait = next_;
    next_ = std::min(std::max(next_ * 2, Duration(10'000)), most_);
    return wait;
  }

 private:
  Duration most_, next_{};
};

}  // namespace cedarring::fleet
