// The link between two processes of a gateway during an upgrade: a Unix socket in $TMPDIR that carries
// packets. Each packet has a format version and a checksum; an invalid one ends the link. Only the new
// process blocks on it, at its start and for a limited time.
#pragma once

#include <ev++.h>

#include <deque>
#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "wire/connection.h"

namespace cedarring::wire {

inline constexpr std::size_t max_packet_text = 60'000;  // bytes
/// Bytes that may wait to be sent on a link, and that the transferred state may have in total.
inline constexpr std::size_t max_link_bytes = std::size_t{8} << 20U;

/// One message of the link. The kinds; "the new process" is the successor:
/// - From the serving process: "parts" (a part of the sections that the next "yes" or "booked" completes),
///   "listener" (text: the front's name, followed by " updates" for the socket of DNS
///   updates; with the descriptor), "state" (a part of the JSON state), "whole" (the state is complete),
///   "yes" (answers "ready"; the parts sent hold the new process's share of the budgets), "booked" (the parts
///   sent hold its contract counts since the split, when it ends), "client" (front and transfer state; with
///   the descriptor), "stopped" (accepts no more clients; the number of clients still to be transferred).
/// - From the new process: "ready" (requests its share of the budgets), "serving" (accepts clients).
/// - From either: "commit" (front and a session's position), "hosts" (front and ejections), "out" and "back"
///   (a host disabled or enabled by an operator), "role" (role and host, as observed).
struct Packet {
  std::string kind, text;
  std::vector<Fd> fds;
};

/// Encodes a packet with format version and checksum.
std::string encode_packet(std::string_view kind, std::string_view text);
/// Decodes a packet; nothing if it has another format version or a wrong checksum.
std::optional<Packet> decode_packet(std::string_view bytes);

/// One end of the link.
class HandoverLink {
 public:
  struct Callbacks {
    std::function<void(Packet)> on_packet;
    std::function<void()> on_end;  // may destroy the link
  };
  HandoverLink(ev::loop_ref loop, Fd fd, Callbacks callbacks);
  /// Sends the packet at once or queues it. It is dropped without notice if more than max_link_bytes would be
  /// queued, since a peer that does not read must not hold this process up. A descriptor is duplicated if it
  /// has to wait.
  void send(std::string_view kind, std::string_view text = {}, int fd = -1);
  /// Sends the packet at once or not at all. On success the kernel holds it for the other process, along with
  /// the descriptor.
  bool send_now(std::string_view kind, std::string_view text, int fd);

 private:
  void on_ready(ev::io&, int events);
  bool send_packet(const std::string& bytes, int fd);
  void end();
  ev::loop_ref loop_;
  Fd fd_;
  ev::io io_;
  Callbacks callbacks_;
  std::deque<std::pair<std::string, Fd>> queue_;
  std::size_t queued_bytes_ = 0;
};

/// The socket on which the serving process waits for a successor.
class HandoverListener {
 public:
  using OnConnection = std::function<void(Fd)>;
  /// Listens at `dir`/`name`, replacing any previous socket there. Null if Unix sockets are not available
  /// there.
  static std::unique_ptr<HandoverListener> open(ev::loop_ref loop, const std::string& dir,
                                                const std::string& name, OnConnection on_connection);
  HandoverListener(ev::loop_ref loop, Fd listener, OnConnection on_connection);

 private:
  void accept(ev::io&, int);
  Fd listener_;
  ev::io io_;
  OnConnection on_connection_;
};

/// What a new process receives from the serving one at its start.
struct ReceivedHandover {
  std::vector<std::pair<std::string, Fd>> listeners;  // by front
  std::string state;
  Fd link;  // stays open for a HandoverLink
};
/// Requests the handover and waits for it; nothing if no process listens or the handover is not complete
/// within `timeout_s` seconds.
std::optional<ReceivedHandover> receive_handover(const std::string& dir, const std::string& name,
                                                 double timeout_s);

}  // namespace cedarring::wire
