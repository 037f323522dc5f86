// A non-blocking stream connection with one ring buffer per direction, and helpers for sockets. Subclasses
// handle the events of a connection in virtual functions.
#pragma once

#include <ev++.h>

#include <memory>
#include <string>
#include <string_view>
#include <vector>

#include "wire/ring_buffer.h"

namespace cedarring::wire {

/// Owns a file descriptor and closes it on destruction; -1 stands for none.
class Fd {
 public:
  explicit Fd(int fd = -1) : fd_(fd) {}
  ~Fd() { reset(); }
  Fd(Fd&& o) noexcept : fd_(o.fd_) { o.fd_ = -1; }
  Fd& operator=(Fd&& o) noexcept;
  [[nodiscard]] int get() const { return fd_; }
  void reset();

 private:
  int fd_;
};

/// Whether the text is an IPv4 address and port in the form "address:port".
bool valid_address(const std::string& address);
/// Starts a TCP connect without blocking and without Nagle's algorithm; on failure the descriptor is -1 and
/// errno is set.
Fd connect_to(const std::string& address);
/// Listens for TCP connections on exactly this address; on failure the descriptor is -1 and errno is set.
/// `shared` sets SO_REUSEPORT, so that another process of this gateway can listen on the address at the same
/// time.
Fd listen_on(const std::string& address, bool shared = false);
/// Binds a non-blocking UDP socket to the address; on failure the descriptor is -1 and errno is set.
Fd bind_datagram(const std::string& address);
/// Whether the address is in 127.0.0.0/8, which only processes of this machine can reach.
bool is_loopback(const std::string& address);
/// The address and port that a socket is bound to, with the actual port if port 0 was requested.
std::string bound_address(const Fd& listener);
/// Accepts the next pending connection as non-blocking, with TCP keep-alive and without Nagle's algorithm; -1
/// with errno set if there is none.
Fd accept_from(int listener);

/// A stream connection driven by an event loop. All connections of the process share one memory limit
/// (broker::MessageMemory); over it the connection that holds most memory is closed.
class Connection {
 public:
  /// `connecting`: the connect of `fd` is still in progress. `max_input` and `max_output`: bytes that the
  /// buffers may hold.
  Connection(ev::loop_ref loop, Fd fd, bool connecting, std::size_t max_input, std::size_t max_output);
  virtual ~Connection();
  Connection(const Connection&) = delete;
  Connection& operator=(const Connection&) = delete;
  [[nodiscard]] bool closed() const { return fd_.get() < 0; }
  [[nodiscard]] int descriptor() const { return fd_.get(); }
  /// Whether unprocessed input is waiting. Also true if the peer has closed the connection or it has failed:
  /// an idle connection must not be reused in any of these cases.
  [[nodiscard]] bool has_pending_input() const;
  /// Whether the peer has closed or reset the connection, even if unread bytes precede its close.
  [[nodiscard]] bool peer_closed() const;
  /// Resumes reading on all connections that were paused for lack of memory, once there is memory again.
  static void resume_after_memory_shortage();

 protected:
  /// Whether closing the connection would lose an answer that somebody waits for. When memory is short,
  /// connections without pending work are closed first.
  [[nodiscard]] virtual bool has_pending_work() const { return true; }
  /// Bytes of messages that it keeps beside its buffers, counted by broker::MessageMemory.
  [[nodiscard]] virtual std::size_t kept_bytes() const { return 0; }
  /// Whether reading may be paused for a while when memory is short.
  [[nodiscard]] virtual bool can_pause_reading() const { return false; }
  /// Whether input from the peer, including its close, is being read.
  [[nodiscard]] bool reading() const { return reads_; }
  /// Called when the connect has succeeded.
  virtual void on_open() {}
  /// Called when bytes have been added to in_.
  virtual void on_input() = 0;
  /// The peer has closed the connection (`error` is 0), or the connection has failed (`error` is its errno).
  /// The descriptor has been closed before the call.
  virtual void on_end(int error) = 0;
  /// Called when the event loop has sent the last byte of out_; not if write() could send it at once.
  virtual void on_sent() {}

  /// Queues bytes and tries to send them; false if the connection is closed or they exceed the buffer's
  /// limit.
  bool write(std::string_view bytes);
  /// Until release_output(), write() only queues: many small writes become one.
  void hold_output() { output_held_ = true; }
  /// Sends what has been queued; calls on_sent() if all of it could be sent.
  void release_output();
  /// Closes the descriptor without calling on_end().
  void close();
  /// Closes the sending direction behind the bytes sent so far; the peer may go on sending.
  void shut_down_writing();
  /// To be called by subclasses that may leave input in in_, after they have removed some: reading stops
  /// while in_ is full, and this call resumes it.
  void input_consumed() { update_events(); }
  [[nodiscard]] bool connecting() const { return connecting_; }
  /// Stops reading from the socket (true) or resumes it (false).
  void set_reading_paused(bool paused) {
    paused_ = paused;
    update_events();
  }
  [[nodiscard]] bool reading_paused() const { return paused_; }
  /// Bytes passed to the kernel since the connection was opened.
  [[nodiscard]] std::uint64_t bytes_sent() const { return bytes_sent_; }
  /// Bytes that the peer's machine has acknowledged. The kernel takes megabytes more for a peer that reads
  /// slowly, so bytes_sent() may stand still while the peer reads.
  [[nodiscard]] std::uint64_t bytes_received_by_peer() const;
  /// Handles this connection's events before those of connections with normal priority.
  void raise_priority();
  [[nodiscard]] std::size_t max_input() const { return in_.max_size(); }

  ev::loop_ref loop_;
  RingBuffer in_, out_;  // bytes received and not processed yet; bytes to be sent

 private:
  /// Handles the events of the socket: the end of the connect, room for output, input.
  void on_ready(ev::io& watcher, int events);
  void read_some();
  bool ensure_memory();
  void close_for_memory();
  /// Bytes allocated for both buffers, and those that the subclass keeps.
  [[nodiscard]] std::size_t memory() const { return in_.capacity() + out_.capacity() + kept_bytes(); }
  /// Sends as much of out_ as the socket takes.
  void flush();
  /// Watches the socket for the events that the connection can handle now.
  void update_events();
  void disconnect(int error);
  Fd fd_;
  ev::io io_;
  bool connecting_;
  bool output_held_ = false;  // see hold_output()
  bool paused_ = false;       // by set_reading_paused()
  bool starved_ = false;      // reading is paused for lack of memory
  bool reads_ = false;        // the event loop watches the socket for input
  std::uint64_t bytes_sent_ = 0;
  int write_error_ = 0;  // errno of a failed write that has not been reported yet; 0 if there is none
  // Intrusive list of all connections of the process.
  Connection *next_, *previous_ = nullptr;
  inline static Connection* first_ = nullptr;
};

/// Defers the destruction of closed connections: frees them just before the loop next blocks, when none of
/// their callbacks can be running.
class Reaper {
 public:
  explicit Reaper(ev::loop_ref loop) : prepare_(loop) {
    prepare_.set<Reaper, &Reaper::reap>(this);
    prepare_.start();
  }
  /// Takes ownership of a connection that is to be destroyed.
  void add(std::unique_ptr<Connection> connection) { dead_.push_back(std::move(connection)); }

 private:
  void reap(ev::prepare&, int) { dead_.clear(); }
  ev::prepare prepare_;
  std::vector<std::unique_ptr<Connection>> dead_;
};

}  // namespace cedarring::wire
