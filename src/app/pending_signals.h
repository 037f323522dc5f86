// Signals that arrive before the event loop runs.
#pragma once

#include <csignal>

namespace cedarring::app {

/// Keeps SIGTERM and SIGINT pending as long as it exists, so that a blocking call can be ended by them; they
/// are delivered afterwards.
class PendingStopSignals {
 public:
  PendingStopSignals() {
    sigemptyset(&stop_signals_);
    sigaddset(&stop_signals_, SIGTERM);
    sigaddset(&stop_signals_, SIGINT);
    sigprocmask(SIG_BLOCK, &stop_signals_, &previous_mask_);
  }
  ~PendingStopSignals() { sigprocmask(SIG_SETMASK, &previous_mask_, nullptr); }
  PendingStopSignals(const PendingStopSignals&) = delete;
  PendingStopSignals& operator=(const PendingStopSignals&) = delete;
  /// Whether one of the signals has arrived.
  [[nodiscard]] bool arrived() const {
    sigset_t pending;
    sigpending(&pending);
    return sigismember(&pending, SIGTERM) == 1 || sigismember(&pending, SIGINT) == 1;
  }

 private:
  sigset_t stop_signals_{};
  sigset_t previous_mask_{};
};

}  // namespace cedarring::app
