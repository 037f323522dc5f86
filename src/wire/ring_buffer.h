// The bytes of one direction of one connection. Grows on demand up to a bound and gives its memory
// back as soon as it is empty.
#pragma once

#include <sys/uio.h>

#include <algorithm>
#include <cstddef>
#include <cstring>
#include <memory>
#include <string_view>

namespace cedarring::wire {

class RingBuffer {
 public:
  explicit RingBuffer(std::size_t most) : most_(most) {}
  ~RingBuffer() { total_ -= capacity_; }
  RingBuffer(const RingBuffer&) = delete;
  RingBuffer& operator=(const RingBuffer&) = delete;

  [[nodiscard]] std::size_t size() const { return size_; }
  [[nodiscard]] std::size_t capacity() const { return capacity_; }
  [[nodiscard]] std::size_t most() const { return most_; }
  [[nodiscard]] bool empty() const { return size_ == 0; }
  /// Bytes of all ring buffers of the process: what the memory limit is kept by.
  static std::size_t total() { return total_; }
  /// Past this no connection reads on.
  static std::size_t bound() { return bound_; }
  static void set_bound(std::size_t bytes) { bound_ = bytes; }

  /// False if the bytes do not fit under the bound: nothing was taken.
  bool append(std::string_view bytes) {
    if (!reserve(bytes.size())) return false;
    iovec parts[2];
    const int n = free_space(parts);
    std::size_t done = 0;
    for (int i = 0; i < n && done < bytes.size(); ++i) {
      const auto part = std::min(parts[i].iov_len, bytes.size() - done);
      std::memcpy(parts[i].iov_base, bytes.data() + done, part);
      done += part;
    }
    size_ += bytes.size();
    return true;
  }
  /// Gives up what is held, of a connection that is done with.
  void clear() { consume(size_); }
  /// Makes room for `more` bytes; false past the bound.
  bool reserve(std::size_t more) {
    if (size_ + more > most_) return false;
    if (size_ + more <= capacity_) return true;
    std::size_t want = std::max<std::size_t>(capacity_ * 2, 1024);
    while (want < size_ + more) want *= 2;
    resize(std::min(want, most_));
    return true;
  }
  /// Room that is there now, as at most two parts; tells how many.
  int free_space(iovec (&parts)[2]) {
    const auto free = capacity_ - size_;
    if (free == 0) return 0;
    const auto at = (head_ + size_) % capacity_;
    const auto first = std::min(free, capacity_ - at);
    parts[0] = {data_.get() + at, first};
    parts[1] = {data_.get(), free - first};
    return free > first ? 2 : 1;
  }
  void grow(std::size_t written) { size_ += written; }
  int filled(iovec (&parts)[2]) const {
    if (size_ == 0) return 0;
    const auto first = std::min(size_, capacity_ - head_);
    parts[0] = {data_.get() + head_, first};
    parts[1] = {data_.get(), size_ - first};
    return size_ > first ? 2 : 1;
  }
  void consume(std::size_t n) {
    size_ -= n;
    head_ = size_ == 0 ? 0 : (head_ + n) % capacity_;
    // Connections are idle most of their life: memory is held only for what is under way.
    if (size_ == 0) resize(0);
  }
  /// All bytes in one piece; moves them only where they wrap.
  std::string_view view() {
    if (size_ > 0 && head_ + size_ > capacity_) resize(capacity_);
    return {data_.get() + head_, size_};
  }

 private:
  void resize(std::size_t capacity) {
    std::unique_ptr<char[]> data;
    if (capacity > 0) {
      data.reset(new char[capacity]);
      iovec parts[2];
      std::size_t at = 0;
      for (int i = 0, n = filled(parts); i < n; ++i) {
        std::memcpy(data.get() + at, parts[i].iov_base, parts[i].iov_len);
        at += parts[i].iov_len;
      }
    }
    total_ += capacity;
    total_ -= capacity_;
    data_ = std::move(data);
    capacity_ = capacity;
    head_ = 0;
  }
  inline static std::size_t total_ = 0, bound_ = std::size_t{96} << 20U;
  std::unique_ptr<char[]> data_;
  std::size_t most_, capacity_ = 0, head_ = 0, size_ = 0;
};

}  // namespace cedarring::wire
