// Simulated time: events in the order of their times, those of one time in the order in which they were set.
#pragma once

#include <cstdint>
#include <functional>
#include <optional>
#include <queue>
#include <utility>
#include <vector>

#include "cedarring/router.h"

namespace cedarring::lab {

class Timeline {
 public:
  explicit Timeline(Time start) : now_(start) {}
  [[nodiscard]] Time now() const { return now_; }
  /// A time that is past counts as now.
  void at(Time due, std::function<void()> what) {
    queue_.push({due < now_ ? now_ : due, next_++, std::move(what)});
  }
  void after(Duration wait, std::function<void()> what) { at(now_ + wait, std::move(what)); }
  void run_until(Time end) {
    while (!queue_.empty() && queue_.top().due <= end) {
      auto what =
          std::move(const_cast<Entry&>(queue_.top()).what);  // popped at once: its order no longer matters
      now_ = queue_.top().due;
      queue_.pop();
      ++done_;
      what();
    }
    now_ = end > now_ ? end : now_;
  }
  /// When the next event is due; none: the queue is empty.
  [[nodiscard]] std::optional<Time> due() const {
    if (queue_.empty()) return std::nullopt;
    return queue_.top().due;
  }
  [[nodiscard]] std::uint64_t done() const { return done_; }

 private:
  struct Entry {
    Time due;
    std::uint64_t order;
    std::function<void()> what;
    bool operator<(const Entry& o) const { return due != o.due ? due > o.due : order > o.order; }
  };
  std::priority_queue<Entry> queue_;
  Time now_;
  std::uint64_t next_ = 0, done_ = 0;
};

}  // namespace cedarring::lab
