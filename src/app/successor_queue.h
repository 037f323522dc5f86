// Processes that have connected for a handover while it cannot begin yet.
#pragma once

#include <ev++.h>

#include <deque>
#include <optional>

#include "wire/connection.h"

namespace cedarring::app {

/// Keeps the links of waiting successors in the order of their arrival, and tells each at regular intervals
/// that this process is alive and its handover comes later.
class SuccessorQueue {
 public:
  explicit SuccessorQueue(ev::loop_ref loop);
  /// Adds a successor. If the queue is full, its link is closed: the successor connects again.
  void add(wire::Fd link);
  /// Removes and returns the link of the successor that has waited longest; nothing if none waits.
  std::optional<wire::Fd> take();
  /// Closes all links: the successors connect to the process that then owns the name of the handover socket.
  void clear();

 private:
  void send_heartbeats(ev::timer&, int);
  std::deque<wire::Fd> links_;
  ev::timer heartbeat_timer_;
};

}  // namespace cedarring::app
