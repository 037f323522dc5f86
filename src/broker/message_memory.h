// The memory that messages take in the whole process: the buffers of connections, the statements of open
// requests, and the answers that wait for their turn.
#pragma once

#include <cstddef>
#include <utility>

namespace cedarring::broker {

/// Counts the bytes of all messages against one limit of the process. Who keeps bytes holds a Charge for
/// them; who is about to keep more asks available() first, or acts once exceeded(). Not thread-safe. Memory
/// for long statements is reserved from MemoryBudget instead.
class MessageMemory {
 public:
  /// Counts bytes as used for as long as it lives.
  class Charge {
   public:
    Charge() = default;
    ~Charge() { set(0); }
    Charge(Charge&& other) noexcept : bytes_(std::exchange(other.bytes_, 0)) {}
    Charge& operator=(Charge&& other) noexcept {
      if (this != &other) {
        set(0);
        bytes_ = std::exchange(other.bytes_, 0);
      }
      return *this;
    }
    /// Changes the number of bytes that are counted.
    void set(std::size_t bytes) {
      used_ += bytes;
      used_ -= std::exchange(bytes_, bytes);
    }
    [[nodiscard]] std::size_t bytes() const { return bytes_; }

   private:
    std::size_t bytes_ = 0;
  };

  /// Bytes used by the process.
  static std::size_t used() { return used_; }
  /// The limit in bytes.
  static std::size_t limit() { return limit_; }
  static void set_limit(std::size_t bytes) { limit_ = bytes; }
  static bool exceeded() { return used_ > limit_; }
  /// Whether a further message of `bytes` can be kept. The last quarter of the limit is left to short
  /// messages, so that clients with large ones do not keep all others out.
  static bool available(std::size_t bytes) {
    return used_ + bytes <= (bytes <= short_message ? limit_ : limit_ / 4 * 3);
  }

 private:
  static constexpr std::size_t short_message = 4096;  // bytes
  inline static std::size_t used_ = 0;
  inline static std::size_t limit_ = std::size_t{96} << 20U;  // until set_limit() is called
};

}  // namespace cedarring::broker
