// A ring buffer for the bytes of one direction of one connection. It grows on demand up to a limit and frees
// its memory as soon as it is empty.
#pragma once

#include <sys/uio.h>

#include <algorithm>
#include <cstddef>
#include <cstring>
#include <memory>
#include <string_view>

#include "broker/message_memory.h"

namespace cedarring::wire {

/// Not thread-safe: its capacity is counted by broker::MessageMemory.
class RingBuffer {
 public:
  /// `max_size`: bytes that the buffer may hold at most.
  explicit RingBuffer(std::size_t max_size) : max_size_(max_size) {}
  RingBuffer(const RingBuffer&) = delete;
  RingBuffer& operator=(const RingBuffer&) = delete;

  [[nodiscard]] std::size_t size() const { return size_; }
  [[nodiscard]] std::size_t capacity() const { return capacity_; }
  [[nodiscard]] std::size_t max_size() const { return max_size_; }
  [[nodiscard]] bool empty() const { return size_ == 0; }

  /// Appends all of the bytes, or none and returns false if they exceed the maximum size.
  bool append(std::string_view bytes) {
    if (!reserve(bytes.size())) return false;
    iovec regions[2];
    const int region_count = writable_regions(regions);
    std::size_t done = 0;
    for (int i = 0; i < region_count && done < bytes.size(); ++i) {
      const auto part = std::min(regions[i].iov_len, bytes.size() - done);
      std::memcpy(regions[i].iov_base, bytes.data() + done, part);
      done += part;
    }
    size_ += bytes.size();
    return true;
  }
  /// Discards the content and frees the memory.
  void clear() { consume(size_); }
  /// Makes room for `additional` bytes; false if they exceed the maximum size.
  bool reserve(std::size_t additional) {
    if (size_ + additional > max_size_) return false;
    if (size_ + additional <= capacity_) return true;
    std::size_t wanted = std::max<std::size_t>(capacity_ * 2, initial_capacity);
    while (wanted < size_ + additional) wanted *= 2;
    resize(std::min(wanted, max_size_));
    return true;
  }
  /// Sets the regions of allocated free memory, for readv(); returns their number, 0 to 2.
  int writable_regions(iovec (&regions)[2]) {
    const auto free = capacity_ - size_;
    if (free == 0) return 0;
    const auto tail = (head_ + size_) % capacity_;
    const auto first_size = std::min(free, capacity_ - tail);
    regions[0] = {data_.get() + tail, first_size};
    regions[1] = {data_.get(), free - first_size};
    return free > first_size ? 2 : 1;
  }
  /// Adds bytes that were written into the writable regions to the content.
  void commit(std::size_t written) { size_ += written; }
  /// Sets the regions of the content, for writev(); returns their number, 0 to 2.
  int readable_regions(iovec (&regions)[2]) const {
    if (size_ == 0) return 0;
    const auto first_size = std::min(size_, capacity_ - head_);
    regions[0] = {data_.get() + head_, first_size};
    regions[1] = {data_.get(), size_ - first_size};
    return size_ > first_size ? 2 : 1;
  }
  /// Removes bytes from the front; `count` must not exceed size().
  void consume(std::size_t count) {
    size_ -= count;
    head_ = size_ == 0 ? 0 : (head_ + count) % capacity_;
    // Connections are idle most of the time; only those with data in transit hold memory.
    if (size_ == 0) resize(0);
  }
  /// The content as one contiguous view; copies it only where it wraps around. Valid until the next change.
  std::string_view view() {
    if (size_ > 0 && head_ + size_ > capacity_) resize(capacity_);
    return {data_.get() + head_, size_};
  }

 private:
  static constexpr std::size_t initial_capacity = 1024;  // bytes

  /// Moves the content to new memory of `capacity` bytes, where it starts at the front.
  void resize(std::size_t capacity) {
    std::unique_ptr<char[]> data;
    if (capacity > 0) {
      data.reset(new char[capacity]);
      iovec regions[2];
      std::size_t at = 0;
      for (int i = 0, region_count = readable_regions(regions); i < region_count; ++i) {
        std::memcpy(data.get() + at, regions[i].iov_base, regions[i].iov_len);
        at += regions[i].iov_len;
      }
    }
    charge_.set(capacity);
    data_ = std::move(data);
    capacity_ = capacity;
    head_ = 0;
  }
  broker::MessageMemory::Charge charge_;  // for the capacity
  std::unique_ptr<char[]> data_;
  std::size_t max_size_;
  std::size_t capacity_ = 0;
  std::size_t head_ = 0;  // where the content starts in data_; it may wrap around
  std::size_t size_ = 0;  // of the content
};

}  // namespace cedarring::wire
