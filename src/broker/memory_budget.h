// Room for what is longer than a connection's buffers: reserved before it is read, given back when nobody
// needs it any more. Waiting is in order; nobody holds a part while waiting for the rest, so no two can lock
// each other out. Decides from numbers alone.
#pragma once

#include <algorithm>
#include <cstddef>
#include <deque>
#include <functional>
#include <memory>
#include <utility>

namespace cedarring::broker {

class MemoryBudget : public std::enable_shared_from_this<MemoryBudget> {
 public:
  /// A reservation: `bytes` until it is destroyed.
  class Reservation {
   public:
    Reservation() = default;
    Reservation(std::shared_ptr<MemoryBudget> room, std::size_t bytes)
        : room_(std::move(room)), bytes_(bytes) {}
    ~Reservation() { reset(); }
    Reservation(Reservation&& o) noexcept : room_(std::move(o.room_)), bytes_(std::exchange(o.bytes_, 0)) {}
    Reservation& operator=(Reservation&& o) noexcept {
      if (this != &o) reset(), room_ = std::move(o.room_), bytes_ = std::exchange(o.bytes_, 0);
      return *this;
    }
    [[nodiscard]] std::size_t bytes() const { return bytes_; }

   private:
    void reset() {
      if (auto room = std::exchange(room_, nullptr)) room->give(std::exchange(bytes_, 0));
    }
    std::shared_ptr<MemoryBudget> room_;
    std::size_t bytes_ = 0;
  };

  /// `total` bytes in all; `freed` is called whenever some come back while somebody waits, from anywhere: it
  /// must not reserve at once, but soon.
  explicit MemoryBudget(std::size_t total, std::function<void()> freed = {})
      : total_(total), freed_(std::move(freed)) {}
  /// Reserves for `who` if there is room and nobody else came before; else `who` waits in line. More than all
  /// there is fits once nothing else is held.
  bool take(const void* who, std::size_t bytes, Reservation& out) {
    const bool first = waiting_.empty() || waiting_.front() == who;
    if (!first || (used_ > 0 && used_ + bytes > total_)) {
      if (std::find(waiting_.begin(), waiting_.end(), who) == waiting_.end()) waiting_.push_back(who);
      return false;
    }
    if (!waiting_.empty()) waiting_.pop_front();
    used_ += bytes;
    out = Reservation(shared_from_this(), bytes);
    return true;
  }
  /// Waits no more.
  void leave(const void* who) {
    const auto it = std::find(waiting_.begin(), waiting_.end(), who);
    if (it == waiting_.end()) return;
    waiting_.erase(it);
    if (freed_ && !waiting_.empty()) freed_();
  }
  /// Who is next; null if nobody waits.
  [[nodiscard]] const void* next() const { return waiting_.empty() ? nullptr : waiting_.front(); }
  [[nodiscard]] std::size_t used() const { return used_; }
  [[nodiscard]] std::size_t waiting() const { return waiting_.size(); }
  void set_total(std::size_t total) { total_ = total; }
  /// Its owner goes; reservations may outlive it.
  void close() { freed_ = nullptr; }

 private:
  void give(std::size_t bytes) {
    used_ -= bytes;
    if (freed_ && !waiting_.empty()) freed_();
  }
  std::size_t total_, used_ = 0;
  std::function<void()> freed_;
  std::deque<const void*> waiting_;
};

}  // namespace cedarring::broker
