// A memory budget for requests that exceed a connection's buffers.
#pragma once

#include <algorithm>
#include <cstddef>
#include <deque>
#include <functional>
#include <memory>
#include <utility>

namespace cedarring::broker {

/// Grants reservations of memory, which are made before the bytes are read and released when the bytes are no
/// longer needed. Waiters are served in order, and none holds a part of its reservation while it waits for
/// the rest, so waiters cannot deadlock. A waiter is identified by its address, which is never dereferenced.
/// Each reservation shares the ownership of the budget, so a budget must be owned by a std::shared_ptr.
class MemoryBudget : public std::enable_shared_from_this<MemoryBudget> {
 public:
  /// A part of the budget, which is released when the reservation is destroyed.
  class Reservation {
   public:
    /// A reservation of nothing.
    Reservation() = default;
    /// Used by the budget, which has counted the bytes already.
    Reservation(std::shared_ptr<MemoryBudget> budget, std::size_t bytes)
        : budget_(std::move(budget)), bytes_(bytes) {}
    ~Reservation() { reset(); }
    Reservation(Reservation&& other) noexcept
        : budget_(std::move(other.budget_)), bytes_(std::exchange(other.bytes_, 0)) {}
    Reservation& operator=(Reservation&& other) noexcept {
      if (this != &other) {
        reset();
        budget_ = std::move(other.budget_);
        bytes_ = std::exchange(other.bytes_, 0);
      }
      return *this;
    }
    [[nodiscard]] std::size_t bytes() const { return bytes_; }

   private:
    void reset() {
      if (auto budget = std::exchange(budget_, nullptr)) budget->release(std::exchange(bytes_, 0));
    }
    std::shared_ptr<MemoryBudget> budget_;
    std::size_t bytes_ = 0;
  };

  /// `total`: size of the budget in bytes. `on_release` is called, from any caller's stack, whenever bytes
  /// are released, or the total grows, while there are waiters; it must not reserve before it returns, but
  /// arrange to do so soon after.
  explicit MemoryBudget(std::size_t total, std::function<void()> on_release = {})
      : total_(total), on_release_(std::move(on_release)) {}
  /// Sets `out` to a reservation for `waiter` if the bytes are available and no other waiter is ahead;
  /// otherwise queues `waiter` and returns false. A reservation larger than the whole budget is granted once
  /// nothing else is reserved.
  bool try_reserve(const void* waiter, std::size_t bytes, Reservation& out) {
    const bool is_next = waiting_.empty() || waiting_.front() == waiter;
    if (!is_next || (used_ > 0 && used_ + bytes > total_)) {
      if (std::find(waiting_.begin(), waiting_.end(), waiter) == waiting_.end()) waiting_.push_back(waiter);
      return false;
    }
    if (!waiting_.empty()) waiting_.pop_front();
    used_ += bytes;
    out = Reservation(shared_from_this(), bytes);
    return true;
  }
  /// Removes `waiter` from the queue, if it is there.
  void stop_waiting(const void* waiter) {
    const auto it = std::find(waiting_.begin(), waiting_.end(), waiter);
    if (it == waiting_.end()) return;
    waiting_.erase(it);
    notify_waiters();
  }
  /// The first waiter in the queue; null if there is none.
  [[nodiscard]] const void* next_waiter() const { return waiting_.empty() ? nullptr : waiting_.front(); }
  /// Bytes reserved.
  [[nodiscard]] std::size_t used() const { return used_; }
  /// Number of waiters in the queue.
  [[nodiscard]] std::size_t waiting() const { return waiting_.size(); }
  /// Changes the size of the budget, in bytes; existing reservations stay.
  void set_total(std::size_t total) {
    const bool grown = total > std::exchange(total_, total);
    if (grown) notify_waiters();
  }
  /// Drops the callback because its owner is being destroyed; reservations may outlive the owner.
  void close() { on_release_ = nullptr; }

 private:
  void release(std::size_t bytes) {
    used_ -= bytes;
    notify_waiters();
  }
  /// Calls the callback if there are waiters.
  void notify_waiters() const {
    if (on_release_ && !waiting_.empty()) on_release_();
  }
  std::size_t total_;
  std::size_t used_ = 0;
  std::function<void()> on_release_;
  std::deque<const void*> waiting_;  // in the order of arrival
};

}  // namespace cedarring::broker
