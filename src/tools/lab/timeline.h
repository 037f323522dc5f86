// The event queue of a discrete-event simulation. Events run in order of time; events of the same time run in
// the order in which they were scheduled.
#pragma once

#include <cstdint>
#include <functional>
#include <optional>
#include <queue>
#include <utility>
#include <vector>

#include "cedarring/router.h"

namespace cedarring::lab {

/// The simulated clock and its event queue. Not thread-safe.
class Timeline {
 public:
  explicit Timeline(Time start) : now_(start) {}
  [[nodiscard]] Time now() const { return now_; }
  /// Schedules an action for the time `due`. A time in the past counts as now.
  void at(Time due, std::function<void()> action) {
    queue_.push({due < now_ ? now_ : due, next_order_++, std::move(action)});
  }
  void after(Duration delay, std::function<void()> action) { at(now_ + delay, std::move(action)); }
  /// Runs all events due by `end`, including those that they schedule, and moves the clock to `end`.
  void run_until(Time end) {
    while (!queue_.empty() && queue_.top().due <= end) {
      // The move does not change the order of the queue, and the entry is popped before anything else.
      auto action = std::move(const_cast<Event&>(queue_.top()).action);
      now_ = queue_.top().due;
      queue_.pop();
      ++events_run_;
      action();
    }
    now_ = end > now_ ? end : now_;
  }
  /// The time of the next event; empty if none is scheduled.
  [[nodiscard]] std::optional<Time> next_due() const {
    if (queue_.empty()) return std::nullopt;
    return queue_.top().due;
  }
  /// The number of events run so far.
  [[nodiscard]] std::uint64_t events_run() const { return events_run_; }

 private:
  struct Event {
    Time due;
    std::uint64_t order;
    std::function<void()> action;
    /// Reversed, as std::priority_queue returns its largest element first.
    bool operator<(const Event& other) const {
      return due != other.due ? due > other.due : order > other.order;
    }
  };
  std::priority_queue<Event> queue_;
  Time now_;
  std::uint64_t next_order_ = 0;
  std::uint64_t events_run_ = 0;
};

}  // namespace cedarring::lab
