#include "wire/connection.h"

#include <arpa/inet.h>
#include <linux/sockios.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <poll.h>
#include <sys/ioctl.h>
#include <sys/socket.h>
#include <unistd.h>

#include <algorithm>
#include <cerrno>
#include <utility>

#include "wire/statement.h"

namespace cedarring::wire {

using broker::MessageMemory;

namespace {

constexpr std::size_t read_size = 16384;  // bytes per read
constexpr int listen_backlog = 511;
constexpr std::int64_t max_port = 65535;
constexpr std::uint32_t loopback_network = 127;  // the first byte of a loopback address

/// Parses "address:port"; false if either part is invalid.
bool parse_address(const std::string& address, sockaddr_in& out) {
  const auto colon = address.rfind(':');
  if (colon == std::string::npos) return false;
  const auto port = to_int(std::string_view(address).substr(colon + 1));
  if (!port || *port > max_port) return false;
  out = {};
  out.sin_family = AF_INET;
  out.sin_port = htons(static_cast<std::uint16_t>(*port));
  return inet_pton(AF_INET, address.substr(0, colon).c_str(), &out.sin_addr) == 1;
}

void disable_nagle(int fd) {
  const int one = 1;
  setsockopt(fd, IPPROTO_TCP, TCP_NODELAY, &one, sizeof one);
}

}  // namespace

Fd& Fd::operator=(Fd&& o) noexcept {
  if (this != &o) {
    reset();
    fd_ = o.fd_;
    o.fd_ = -1;
  }
  return *this;
}

void Fd::reset() {
  if (fd_ >= 0) ::close(fd_);
  fd_ = -1;
}

bool valid_address(const std::string& address) {
  sockaddr_in unused;
  return parse_address(address, unused);
}

Fd connect_to(const std::string& address) {
  sockaddr_in target;
  if (!parse_address(address, target)) {
    errno = EINVAL;
    return Fd();
  }
  Fd fd(::socket(AF_INET, SOCK_STREAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0));
  if (fd.get() < 0) return fd;
  disable_nagle(fd.get());
  if (::connect(fd.get(), reinterpret_cast<sockaddr*>(&target), sizeof target) != 0 && errno != EINPROGRESS) {
    const int error = errno;
    fd.reset();
    errno = error;
  }
  return fd;
}

Fd listen_on(const std::string& address, bool shared) {
  sockaddr_in socket_address;
  if (!parse_address(address, socket_address)) {
    errno = EINVAL;
    return Fd();
  }
  Fd fd(::socket(AF_INET, SOCK_STREAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0));
  if (fd.get() < 0) return fd;
  const int one = 1;
  setsockopt(fd.get(), SOL_SOCKET, SO_REUSEADDR, &one, sizeof one);
  if (shared) setsockopt(fd.get(), SOL_SOCKET, SO_REUSEPORT, &one, sizeof one);
  if (::bind(fd.get(), reinterpret_cast<sockaddr*>(&socket_address), sizeof socket_address) != 0 ||
      ::listen(fd.get(), listen_backlog) != 0) {
    const int error = errno;
    fd.reset();
    errno = error;
  }
  return fd;
}

Fd bind_datagram(const std::string& address) {
  sockaddr_in socket_address;
  if (!parse_address(address, socket_address)) {
    errno = EINVAL;
    return Fd();
  }
  Fd fd(::socket(AF_INET, SOCK_DGRAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0));
  if (fd.get() >= 0 &&
      ::bind(fd.get(), reinterpret_cast<sockaddr*>(&socket_address), sizeof socket_address) != 0) {
    const int error = errno;
    fd.reset();
    errno = error;
  }
  return fd;
}

bool is_loopback(const std::string& address) {
  sockaddr_in socket_address;
  return parse_address(address, socket_address) &&
         ntohl(socket_address.sin_addr.s_addr) >> 24U == loopback_network;
}

std::string bound_address(const Fd& listener) {
  sockaddr_in socket_address{};
  socklen_t size = sizeof socket_address;
  getsockname(listener.get(), reinterpret_cast<sockaddr*>(&socket_address), &size);
  char text[INET_ADDRSTRLEN] = "";
  inet_ntop(AF_INET, &socket_address.sin_addr, text, sizeof text);
  return std::string(text) + ":" + std::to_string(ntohs(socket_address.sin_port));
}

Fd accept_from(int listener) {
  Fd fd(::accept4(listener, nullptr, nullptr, SOCK_NONBLOCK | SOCK_CLOEXEC));
  if (fd.get() < 0) return fd;
  disable_nagle(fd.get());
  // Keep-alive detects clients whose machine has vanished: without it they would count towards the connection
  // limit for ever.
  const int on = 1;
  const int idle_s = 60;      // before the first keep-alive packet
  const int interval_s = 10;  // between keep-alive packets
  const int count = 3;        // unanswered packets after which the connection has failed
  setsockopt(fd.get(), SOL_SOCKET, SO_KEEPALIVE, &on, sizeof on);
  setsockopt(fd.get(), IPPROTO_TCP, TCP_KEEPIDLE, &idle_s, sizeof idle_s);
  setsockopt(fd.get(), IPPROTO_TCP, TCP_KEEPINTVL, &interval_s, sizeof interval_s);
  setsockopt(fd.get(), IPPROTO_TCP, TCP_KEEPCNT, &count, sizeof count);
  return fd;
}

Connection::Connection(ev::loop_ref loop, Fd fd, bool connecting, std::size_t max_input,
                       std::size_t max_output)
    : loop_(loop), in_(max_input), out_(max_output), fd_(std::move(fd)), io_(loop), connecting_(connecting) {
  io_.set<Connection, &Connection::on_ready>(this);
  io_.set(fd_.get(), connecting_ ? ev::WRITE : ev::READ);
  io_.start();
  next_ = std::exchange(first_, this);
  if (next_) next_->previous_ = this;
}

void Connection::raise_priority() {
  io_.stop();
  io_.priority = EV_MAXPRI;
  io_.start();
}

Connection::~Connection() {
  (previous_ ? previous_->next_ : first_) = next_;
  if (next_) next_->previous_ = previous_;
}

/// Closes the connection with ENOMEM. The buffers are cleared last, since on_end() inspects them.
void Connection::close_for_memory() {
  disconnect(ENOMEM);
  in_.clear();
  out_.clear();
}

/// Whether this connection may read now. Over the memory limit the largest connection without pending work is
/// closed, not the one that happens to read next. If all have pending work, this connection is paused, if it
/// can be and holds much input, until others have been answered. Only over 5/4 of the limit is the largest
/// connection closed although it has pending work.
bool Connection::ensure_memory() {
  if (!MessageMemory::exceeded()) return true;
  Connection* largest_idle = nullptr;  // the largest one without pending work
  Connection* largest = nullptr;
  for (auto* connection = first_; connection; connection = connection->next_) {
    if (connection->closed()) continue;
    if (!largest || connection->memory() > largest->memory()) largest = connection;
    if (!connection->has_pending_work() && connection->memory() > read_size &&
        (!largest_idle || connection->memory() > largest_idle->memory()))
      largest_idle = connection;
  }
  if (largest_idle) {
    largest_idle->close_for_memory();
    return !closed();
  }
  if (can_pause_reading() && in_.size() >= read_size) {
    starved_ = true;
    return false;
  }
  if (MessageMemory::used() > MessageMemory::limit() / 4 * 5) largest->close_for_memory();
  return !closed();
}

void Connection::resume_after_memory_shortage() {
  if (MessageMemory::exceeded()) return;
  for (auto* connection = first_; connection; connection = connection->next_)
    if (std::exchange(connection->starved_, false)) connection->update_events();
}

std::uint64_t Connection::bytes_received_by_peer() const {
  int unacknowledged = 0;
  if (::ioctl(fd_.get(), SIOCOUTQ, &unacknowledged) != 0) return bytes_sent_;
  return bytes_sent_ - std::min(bytes_sent_, static_cast<std::uint64_t>(std::max(unacknowledged, 0)));
}

void Connection::shut_down_writing() { ::shutdown(fd_.get(), SHUT_WR); }

void Connection::close() {
  io_.stop();
  fd_.reset();
}

bool Connection::has_pending_input() const {
  if (!in_.empty()) return true;
  char byte = 0;
  const auto received = ::recv(fd_.get(), &byte, 1, MSG_PEEK | MSG_DONTWAIT);
  return received >= 0 || (errno != EAGAIN && errno != EWOULDBLOCK);
}

bool Connection::peer_closed() const {
  char byte = 0;
  const auto received = ::recv(fd_.get(), &byte, 1, MSG_PEEK | MSG_DONTWAIT);
  if (received == 0) return true;
  if (received < 0) return errno != EAGAIN && errno != EWOULDBLOCK && errno != EINTR;
  pollfd descriptor{fd_.get(), POLLRDHUP, 0};
  return ::poll(&descriptor, 1, 0) > 0 && (descriptor.revents & (POLLRDHUP | POLLERR | POLLHUP)) != 0;
}

void Connection::disconnect(int error) {
  close();
  on_end(error);
}

bool Connection::write(std::string_view bytes) {
  if (closed() || !out_.append(bytes)) return false;
  if (!connecting_ && !output_held_) flush();
  update_events();
  return true;
}

void Connection::release_output() {
  output_held_ = false;
  if (closed() || connecting_ || out_.empty()) return;
  flush();
  update_events();
  if (out_.empty()) on_sent();
}

/// A write error is only stored here and reported from the event loop: the caller of write() may not expect
/// on_end().
void Connection::flush() {
  while (!out_.empty() && write_error_ == 0) {
    iovec regions[2];
    msghdr message{};
    message.msg_iov = regions;
    message.msg_iovlen = static_cast<std::size_t>(out_.readable_regions(regions));
    const auto sent = ::sendmsg(fd_.get(), &message, MSG_NOSIGNAL);
    if (sent >= 0) {
      out_.consume(static_cast<std::size_t>(sent));
      bytes_sent_ += static_cast<std::uint64_t>(sent);
    } else if (errno == EAGAIN || errno == EWOULDBLOCK) {
      return;
    } else if (errno != EINTR) {
      write_error_ = errno;
    }
  }
}

void Connection::update_events() {
  if (closed()) return;
  int events = 0;
  if (connecting_ || !out_.empty()) events |= ev::WRITE;
  reads_ = !connecting_ && !paused_ && !starved_ && in_.reserve(1);
  if (reads_) events |= ev::READ;
  io_.set(events);
}

void Connection::read_some() {
  if (!in_.reserve(read_size)) in_.reserve(1);  // near its limit the buffer takes what still fits
  iovec regions[2];
  const int region_count = in_.writable_regions(regions);
  if (region_count == 0) return;
  if (!ensure_memory()) return;
  const auto received = ::readv(fd_.get(), regions, region_count);
  if (received > 0) {
    in_.commit(static_cast<std::size_t>(received));
    on_input();
  } else if (received == 0) {
    disconnect(0);
  } else if (errno != EAGAIN && errno != EWOULDBLOCK && errno != EINTR) {
    disconnect(errno);
  }
}

void Connection::on_ready(ev::io&, int events) {
  if (connecting_) {
    int error = 0;
    socklen_t size = sizeof error;
    getsockopt(fd_.get(), SOL_SOCKET, SO_ERROR, &error, &size);
    if (error != 0) return disconnect(error);
    connecting_ = false;
    on_open();
    if (closed()) return;
  }
  if ((events & ev::WRITE) != 0 && !out_.empty()) {
    flush();
    if (write_error_ == 0 && out_.empty()) on_sent();
    if (closed()) return;
  }
  // Input that the peer sent before the connection failed is read first.
  if ((events & ev::READ) != 0 && !paused_) read_some();
  if (closed()) return;
  if (write_error_ != 0) return disconnect(write_error_);
  update_events();
}

}  // namespace cedarring::wire
