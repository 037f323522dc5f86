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

inline constexpr std::size_t max_packet_text = 60'000;  // bytes that the sender may put into one packet
/// Bytes that may wait to be sent on a link, and that the transferred state may have in all its packets.
inline constexpr std::size_t max_link_bytes = std::size_t{8} << 20U;

/// One message of the link. A front end is given by its name. The kinds, with their texts:
/// - From the serving process:
///   - "listener": a front end, with its listener as descriptor; or, with " updates" behind the name, the
///     socket that receives its DNS updates.
///   - "state": a part of the JSON state.
///   - "wait": no text; the sender is alive, but the handover begins later, since another one is running.
///   Sent
///     repeatedly, before the first "listener".
///   - "whole": no text; the state is complete.
///   - "parts": a part of the sections that the next "yes" or "booked" completes.
///   - "yes": no text; answers "ready". The sections sent hold the new process's share of the budgets.
///   - "booked": no text; sent when the serving process ends. The sections sent hold its contract counts
///     since the budgets were split.
///   - "client": a front end and a client's transfer state; the descriptor is the client's connection.
///   - "stopped": the number of clients still to be transferred; the sender accepts no more clients.
/// - From the new process:
///   - "ready": no text; requests its share of the budgets.
///   - "serving": no text; the sender accepts clients.
///   - "leave": no text; another successor waits for the sender, so the receiver is to end as soon as its
///     requests have been answered.
/// - From either:
///   - "commit": a front end and the position of a session.
///   - "hosts": a front end and the ejected hosts.
///   - "out", "back": a host that an operator has disabled or enabled.
///   - "role": a role and the host that has been observed in it.
struct Packet {
  std::string kind, text;
  std::vector<Fd> fds;  // the descriptors passed with the message
};

/// Encodes a packet with format version and checksum.
std::string encode_packet(std::string_view kind, std::string_view text);
/// Decodes a packet; nothing if it is malformed or has another format version or a wrong checksum.
std::optional<Packet> decode_packet(std::string_view bytes);

/// One end of the link.
class HandoverLink {
 public:
  struct Callbacks {
    std::function<void(Packet)> on_packet;
    /// The other process has closed the link, or the link has failed. May destroy the link.
    std::function<void()> on_end;
  };
  HandoverLink(ev::loop_ref loop, Fd fd, Callbacks callbacks);
  /// Sends the packet, with the descriptor `fd` unless it is -1, at once or queues it. The packet is dropped
  /// without notice if more than max_link_bytes would be queued, since a peer that does not read must not
  /// delay this process. The descriptor of a queued packet is duplicated, so the caller may close `fd`.
  void send(std::string_view kind, std::string_view text = {}, int fd = -1);
  /// Sends the packet at once or not at all. On success the kernel holds it for the other process, along with
  /// the descriptor.
  bool send_now(std::string_view kind, std::string_view text, int fd);

 private:
  void on_ready(ev::io&, int events);
  /// Sends an encoded packet; false if the socket does not take it now.
  bool send_packet(const std::string& bytes, int fd);
  /// Closes the link and calls on_end.
  void end();
  ev::loop_ref loop_;
  Fd fd_;
  ev::io io_;
  Callbacks callbacks_;
  std::deque<std::pair<std::string, Fd>> queue_;  // encoded packets to be sent, with their descriptors
  std::size_t queued_bytes_ = 0;                  // of these packets
};

/// The socket on which the serving process waits for a successor.
class HandoverListener {
 public:
  /// Takes the connection of a successor.
  using OnConnection = std::function<void(Fd)>;
  /// Listens at `dir`/`name`, replacing any previous socket there in one step, so that at each moment a
  /// process listens there. Null if no Unix socket can be opened there.
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
  std::vector<std::pair<std::string, Fd>> listeners;  // with the texts of their "listener" packets
  std::string state;                                  // JSON
  Fd link = Fd();                                     // stays open for a HandoverLink
};
/// Tells a waiting successor that its handover comes later; false if it has closed the link.
bool send_wait(const Fd& link);

/// How the request for a handover has ended.
enum class HandoverStatus {
  complete,
  no_predecessor,  // no process listens
  unusable,        // a process listens, but sends nothing in time, or nothing valid
  still_busy,      // a process serves, but its handover has not begun in time
  cancelled        // by the caller
};
struct HandoverResult {
  HandoverStatus status = HandoverStatus::no_predecessor;
  ReceivedHandover handover;  // if complete
};
/// Limits on receive_handover(), in seconds.
struct HandoverTimeouts {
  double first_packet_s = 0;  // from the connect to the first packet
  double silence_s = 0;       // between two packets
  double total_s = 0;         // until the handover is complete
};
/// What the caller of receive_handover() takes part in while it waits.
struct HandoverCallbacks {
  std::function<bool()> is_cancelled;  // whether to give up; called several times a second
  std::function<void()> on_waiting;    // called once, if the handover does not begin at once
};
/// Connects to the process that listens at `dir`/`name` and receives its handover. Blocks. If that process
/// ends the link or asks to wait, it is asked again, or the process that listens there then.
HandoverResult receive_handover(const std::string& dir, const std::string& name,
                                const HandoverTimeouts& timeouts, const HandoverCallbacks& callbacks);

}  // namespace cedarring::wire
