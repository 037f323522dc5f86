#include "wire/connection.h"

#include <arpa/inet.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <poll.h>
#include <sys/socket.h>
#include <unistd.h>

#include <cerrno>
#include <utility>

#include "wire/statement.h"

namespace cedarring::wire {
namespace {

constexpr std::size_t read_size = 16384;

bool parse_address(const std::string& address, sockaddr_in& out) {
  const auto colon = address.rfind(':');
  if (colon == std::string::npos) return false;
  const auto port = to_int(std::string_view(address).substr(colon + 1));
  if (!port || *port > 65535) return false;
  out = {};
  out.sin_family = AF_INET;
  out.sin_port = htons(static_cast<std::uint16_t>(*port));
  return inet_pton(AF_INET, address.substr(0, colon).c_str(), &out.sin_addr) == 1;
}

void no_delay(int fd) {
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
  sockaddr_in to;
  if (!parse_address(address, to)) {
    errno = EINVAL;
    return Fd();
  }
  Fd fd(::socket(AF_INET, SOCK_STREAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0));
  if (fd.get() < 0) return fd;
  no_delay(fd.get());
  if (::connect(fd.get(), reinterpret_cast<sockaddr*>(&to), sizeof to) != 0 && errno != EINPROGRESS) {
    const int error = errno;
    fd.reset();
    errno = error;
  }
  return fd;
}

Fd listen_on(const std::string& address, bool shared) {
  sockaddr_in at;
  if (!parse_address(address, at)) {
    errno = EINVAL;
    return Fd();
  }
  Fd fd(::socket(AF_INET, SOCK_STREAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0));
  if (fd.get() < 0) return fd;
  const int one = 1;
  setsockopt(fd.get(), SOL_SOCKET, SO_REUSEADDR, &one, sizeof one);
  if (shared) setsockopt(fd.get(), SOL_SOCKET, SO_REUSEPORT, &one, sizeof one);
  if (::bind(fd.get(), reinterpret_cast<sockaddr*>(&at), sizeof at) != 0 || ::listen(fd.get(), 511) != 0) {
    const int error = errno;
    fd.reset();
    errno = error;
  }
  return fd;
}

Fd bind_datagram(const std::string& address) {
  sockaddr_in at;
  if (!parse_address(address, at)) {
    errno = EINVAL;
    return Fd();
  }
  Fd fd(::socket(AF_INET, SOCK_DGRAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0));
  if (fd.get() >= 0 && ::bind(fd.get(), reinterpret_cast<sockaddr*>(&at), sizeof at) != 0) {
    const int error = errno;
    fd.reset();
    errno = error;
  }
  return fd;
}

bool is_loopback(const std::string& address) {
  sockaddr_in at;
  return parse_address(address, at) && ntohl(at.sin_addr.s_addr) >> 24U == 127;
}

std::string bound_address(const Fd& listener) {
  sockaddr_in at{};
  socklen_t size = sizeof at;
  getsockname(listener.get(), reinterpret_cast<sockaddr*>(&at), &size);
  char text[INET_ADDRSTRLEN] = "";
  inet_ntop(AF_INET, &at.sin_addr, text, sizeof text);
  return std::string(text) + ":" + std::to_string(ntohs(at.sin_port));
}

Fd accept_from(int listener) {
  Fd fd(::accept4(listener, nullptr, nullptr, SOCK_NONBLOCK | SOCK_CLOEXEC));
  if (fd.get() < 0) return fd;
  no_delay(fd.get());
  // A client whose machine vanished says nothing: its place must not be lost for good.
  const int on = 1, idle = 60, interval = 10, count = 3;
  setsockopt(fd.get(), SOL_SOCKET, SO_KEEPALIVE, &on, sizeof on);
  setsockopt(fd.get(), IPPROTO_TCP, TCP_KEEPIDLE, &idle, sizeof idle);
  setsockopt(fd.get(), IPPROTO_TCP, TCP_KEEPINTVL, &interval, sizeof interval);
  setsockopt(fd.get(), IPPROTO_TCP, TCP_KEEPCNT, &count, sizeof count);
  return fd;
}

Connection::Connection(ev::loop_ref loop, Fd fd, bool connecting, std::size_t in_most, std::size_t out_most)
    : loop_(loop), in_(in_most), out_(out_most), fd_(std::move(fd)), io_(loop), connecting_(connecting) {
  io_.set<Connection, &Connection::ready>(this);
  io_.set(fd_.get(), connecting_ ? ev::WRITE : ev::READ);
  io_.start();
  next_ = std::exchange(first_, this);
  if (next_) next_->previous_ = this;
}

void Connection::hurry() {
  io_.stop();
  io_.priority = EV_MAXPRI;
  io_.start();
}

Connection::~Connection() {
  (previous_ ? previous_->next_ : first_) = next_;
  if (next_) next_->previous_ = previous_;
}

/// Ends it for want of memory. Its owner judges by what is left in the buffers, so they go last.
void Connection::cut() {
  broken(ENOMEM);
  in_.clear(), out_.clear();
}

/// Whether there is memory to read on. Over the bound the largest that owes nothing goes, not whoever happens
/// to read next; where all are owed something, clients that have sent much wait for those that are being
/// answered; and only past a quarter more is somebody cut who is owed an answer.
bool Connection::make_memory() {
  if (RingBuffer::total() <= RingBuffer::bound()) return true;
  Connection *idle = nullptr, *most = nullptr;
  for (auto* c = first_; c; c = c->next_) {
    if (c->closed()) continue;
    if (!most || c->memory() > most->memory()) most = c;
    if (!c->owes() && c->memory() > read_size && (!idle || c->memory() > idle->memory())) idle = c;
  }
  if (idle) return idle->cut(), !closed();
  if (can_wait() && in_.size() >= read_size) {
    starved_ = true;
    return false;
  }
  if (RingBuffer::total() > RingBuffer::bound() / 4 * 5) most->cut();
  return !closed();
}

void Connection::read_on() {
  if (RingBuffer::total() > RingBuffer::bound()) return;
  for (auto* c = first_; c; c = c->next_)
    if (std::exchange(c->starved_, false)) c->interest();
}

void Connection::shut_down_writing() { ::shutdown(fd_.get(), SHUT_WR); }

void Connection::close() {
  io_.stop();
  fd_.reset();
}

bool Connection::pending() const {
  if (!in_.empty()) return true;
  char byte = 0;
  const auto n = ::recv(fd_.get(), &byte, 1, MSG_PEEK | MSG_DONTWAIT);
  return n >= 0 || (errno != EAGAIN && errno != EWOULDBLOCK);
}

bool Connection::peer_gone() const {
  char byte = 0;
  const auto n = ::recv(fd_.get(), &byte, 1, MSG_PEEK | MSG_DONTWAIT);
  if (n == 0) return true;
  if (n < 0) return errno != EAGAIN && errno != EWOULDBLOCK && errno != EINTR;
  pollfd p{fd_.get(), POLLRDHUP, 0};
  return ::poll(&p, 1, 0) > 0 && (p.revents & (POLLRDHUP | POLLERR | POLLHUP)) != 0;
}

void Connection::broken(int error) {
  close();
  on_end(error);
}

bool Connection::write(std::string_view bytes) {
  if (closed() || !out_.append(bytes)) return false;
  if (!connecting_) flush();
  interest();
  return true;
}

/// A failed write is told by the loop, never from inside write(): its caller may be anywhere.
void Connection::flush() {
  while (!out_.empty() && write_error_ == 0) {
    iovec parts[2];
    msghdr message{};
    message.msg_iov = parts;
    message.msg_iovlen = static_cast<std::size_t>(out_.filled(parts));
    const auto n = ::sendmsg(fd_.get(), &message, MSG_NOSIGNAL);
    if (n >= 0)
      out_.consume(static_cast<std::size_t>(n)), sent_ += static_cast<std::uint64_t>(n);
    else if (errno == EAGAIN || errno == EWOULDBLOCK)
      return;
    else if (errno != EINTR)
      write_error_ = errno;
  }
}

void Connection::interest() {
  if (closed()) return;
  int events = 0;
  if (connecting_ || !out_.empty()) events |= ev::WRITE;
  reads_ = !connecting_ && !held_ && !starved_ && in_.reserve(1);
  if (reads_) events |= ev::READ;
  io_.set(events);
}

void Connection::read_some() {
  if (!in_.reserve(read_size)) in_.reserve(1);
  iovec parts[2];
  const int n = in_.free_space(parts);
  if (n == 0) return;
  if (!make_memory()) return;
  const auto got = ::readv(fd_.get(), parts, n);
  if (got > 0) {
    in_.grow(static_cast<std::size_t>(got));
    on_input();
  } else if (got == 0) {
    broken(0);
  } else if (errno != EAGAIN && errno != EWOULDBLOCK && errno != EINTR) {
    broken(errno);
  }
}

void Connection::ready(ev::io&, int events) {
  if (connecting_) {
    int error = 0;
    socklen_t size = sizeof error;
    getsockopt(fd_.get(), SOL_SOCKET, SO_ERROR, &error, &size);
    if (error != 0) return broken(error);
    connecting_ = false;
    on_open();
    if (closed()) return;
  }
  if ((events & ev::WRITE) != 0 && !out_.empty()) {
    flush();
    if (write_error_ == 0 && out_.empty()) on_sent();
    if (closed()) return;
  }
  // What the peer still said before it broke the connection is read first.
  if ((events & ev::READ) != 0 && !held_) read_some();
  if (closed()) return;
  if (write_error_ != 0) return broken(write_error_);
  interest();
}

}  // namespace cedarring::wire
