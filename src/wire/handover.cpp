#include "wire/handover.h"

#include <fcntl.h>
#include <poll.h>
#include <sys/socket.h>
#include <sys/stat.h>
#include <sys/un.h>
#include <unistd.h>
#include <xxhash.h>

#include <algorithm>
#include <cerrno>
#include <chrono>
#include <cstring>
#include <utility>

namespace cedarring::wire {
namespace {

constexpr std::string_view format_marker = "cedarring1";  // the number is that of the packet format
constexpr std::size_t max_descriptors = 4;                // per packet
constexpr std::size_t max_head_size = 256;                // bytes before the text of a packet
constexpr std::size_t checksum_size = 16;                 // hexadecimal digits
constexpr mode_t owner_only_mask = 0177;
constexpr int listen_backlog = 4;
constexpr int packets_per_event = 64;

/// The XXH64 hash of the text, in hexadecimal.
std::string checksum(std::string_view text) {
  char hex[checksum_size + 1];
  std::snprintf(hex, sizeof hex, "%016llx",
                static_cast<unsigned long long>(XXH64(text.data(), text.size(), 0)));
  return hex;
}

/// The address of a Unix socket, with its directory given by a descriptor: a socket address takes a path of
/// 107 bytes, and the path of the directory may be longer.
struct SocketAddress {
  Fd dir;
  sockaddr_un address{};
  SocketAddress(const std::string& path, const std::string& name)
      : dir(::open(path.c_str(), O_PATH | O_DIRECTORY | O_CLOEXEC)) {
    address.sun_family = AF_UNIX;
    const auto full = "/proc/self/fd/" + std::to_string(dir.get()) + "/" + name;
    std::strncpy(address.sun_path, full.c_str(), sizeof address.sun_path - 1);
  }
  [[nodiscard]] const sockaddr* get() const { return reinterpret_cast<const sockaddr*>(&address); }
};

Fd packet_socket() { return Fd(::socket(AF_UNIX, SOCK_SEQPACKET | SOCK_NONBLOCK | SOCK_CLOEXEC, 0)); }

/// Receives one packet without blocking. Returns 1 if there was one, 0 at the end of the link, and -1 with
/// errno set on failure. The kind of an invalid packet is empty.
int receive_packet(int fd, Packet& out) {
  std::vector<char> bytes(max_packet_text + max_head_size);
  alignas(cmsghdr) char control[CMSG_SPACE(sizeof(int) * max_descriptors)];
  iovec region{bytes.data(), bytes.size()};
  msghdr message{};
  message.msg_iov = &region;
  message.msg_iovlen = 1;
  message.msg_control = control;
  message.msg_controllen = sizeof control;
  auto received = ::recvmsg(fd, &message, MSG_DONTWAIT | MSG_CMSG_CLOEXEC);
  // The other process has ended and has left packets unread. This error comes once, before the packets that
  // it has sent and that are still queued here.
  if (received < 0 && errno == ECONNRESET)
    received = ::recvmsg(fd, &message, MSG_DONTWAIT | MSG_CMSG_CLOEXEC);
  if (received <= 0) return static_cast<int>(received);
  std::vector<Fd> fds;
  for (auto* header = CMSG_FIRSTHDR(&message); header; header = CMSG_NXTHDR(&message, header)) {
    if (header->cmsg_level != SOL_SOCKET || header->cmsg_type != SCM_RIGHTS) continue;
    const auto count = (header->cmsg_len - CMSG_LEN(0)) / sizeof(int);
    for (std::size_t i = 0; i < count; ++i) {
      int descriptor = -1;
      std::memcpy(&descriptor, CMSG_DATA(header) + i * sizeof descriptor, sizeof descriptor);
      fds.emplace_back(descriptor);
    }
  }
  auto packet = (message.msg_flags & (MSG_TRUNC | MSG_CTRUNC)) != 0
                    ? std::nullopt
                    : decode_packet({bytes.data(), static_cast<std::size_t>(received)});
  out = packet ? std::move(*packet) : Packet{};
  out.fds = std::move(fds);
  return 1;
}

}  // namespace

std::string encode_packet(std::string_view kind, std::string_view text) {
  std::string body(kind);
  body += ' ';
  body += text;
  return std::string(format_marker) + ' ' + checksum(body) + ' ' + body;
}

std::optional<Packet> decode_packet(std::string_view bytes) {
  const auto body_offset = format_marker.size() + 1 + checksum_size + 1;
  if (bytes.size() < body_offset || bytes.substr(0, format_marker.size()) != format_marker)
    return std::nullopt;
  const auto body = bytes.substr(body_offset);
  if (bytes.substr(format_marker.size() + 1, checksum_size) != checksum(body)) return std::nullopt;
  const auto space = body.find(' ');
  if (space == 0 || space == std::string_view::npos) return std::nullopt;
  Packet packet;
  packet.kind = body.substr(0, space);
  packet.text = body.substr(space + 1);
  return packet;
}

HandoverLink::HandoverLink(ev::loop_ref loop, Fd fd, Callbacks callbacks)
    : loop_(loop), fd_(std::move(fd)), io_(loop), callbacks_(std::move(callbacks)) {
  io_.set<HandoverLink, &HandoverLink::on_ready>(this);
  io_.start(fd_.get(), ev::READ);
}

bool HandoverLink::send_packet(const std::string& bytes, int fd) {
  iovec region{const_cast<char*>(bytes.data()), bytes.size()};
  msghdr message{};
  message.msg_iov = &region;
  message.msg_iovlen = 1;
  alignas(cmsghdr) char control[CMSG_SPACE(sizeof fd)] = {};
  if (fd >= 0) {
    message.msg_control = control;
    message.msg_controllen = sizeof control;
    auto* header = CMSG_FIRSTHDR(&message);
    header->cmsg_level = SOL_SOCKET;
    header->cmsg_type = SCM_RIGHTS;
    header->cmsg_len = CMSG_LEN(sizeof fd);
    std::memcpy(CMSG_DATA(header), &fd, sizeof fd);
  }
  return ::sendmsg(fd_.get(), &message, MSG_NOSIGNAL | MSG_DONTWAIT) == static_cast<ssize_t>(bytes.size());
}

bool HandoverLink::send_now(std::string_view kind, std::string_view text, int fd) {
  return fd_.get() >= 0 && queue_.empty() && send_packet(encode_packet(kind, text), fd);
}

void HandoverLink::send(std::string_view kind, std::string_view text, int fd) {
  if (fd_.get() < 0) return;
  auto bytes = encode_packet(kind, text);
  if (queue_.empty() && send_packet(bytes, fd)) return;
  // A peer that does not read loses packets: its state becomes stale, but this process is not delayed.
  if (queued_bytes_ + bytes.size() > max_link_bytes) return;
  queued_bytes_ += bytes.size();
  queue_.emplace_back(std::move(bytes), Fd(fd >= 0 ? ::fcntl(fd, F_DUPFD_CLOEXEC, 0) : -1));
  io_.set(ev::READ | ev::WRITE);
}

void HandoverLink::on_ready(ev::io&, int events) {
  if ((events & ev::WRITE) != 0) {
    while (!queue_.empty() && send_packet(queue_.front().first, queue_.front().second.get())) {
      queued_bytes_ -= queue_.front().first.size();
      queue_.pop_front();
    }
    if (queue_.empty()) io_.set(ev::READ);
  }
  if ((events & ev::READ) == 0) return;
  for (int i = 0; i < packets_per_event; ++i) {
    Packet packet;
    const int status = receive_packet(fd_.get(), packet);
    if (status < 0 && (errno == EAGAIN || errno == EINTR)) return;
    if (status <= 0 || packet.kind.empty()) return end();
    callbacks_.on_packet(std::move(packet));
  }
}

void HandoverLink::end() {
  io_.stop();
  fd_.reset();
  queue_.clear();
  const auto on_end = callbacks_.on_end;  // copied, since the call may destroy the link
  on_end();
}

std::unique_ptr<HandoverListener> HandoverListener::open(ev::loop_ref loop, const std::string& dir,
                                                         const std::string& name,
                                                         OnConnection on_connection) {
  const auto new_name = name + '.' + std::to_string(::getpid());
  const SocketAddress location(dir, new_name);
  const int dir_fd = location.dir.get();
  Fd fd = packet_socket();
  if (dir_fd < 0 || fd.get() < 0) return nullptr;
  ::unlinkat(dir_fd, new_name.c_str(), 0);
  const auto mask = ::umask(owner_only_mask);
  const bool bound = ::bind(fd.get(), location.get(), sizeof location.address) == 0;
  ::umask(mask);
  if (!bound) return nullptr;
  if (::listen(fd.get(), listen_backlog) != 0 ||
      ::renameat(dir_fd, new_name.c_str(), dir_fd, name.c_str()) != 0) {
    ::unlinkat(dir_fd, new_name.c_str(), 0);
    return nullptr;
  }
  return std::make_unique<HandoverListener>(loop, std::move(fd), std::move(on_connection));
}

HandoverListener::HandoverListener(ev::loop_ref loop, Fd listener, OnConnection on_connection)
    : listener_(std::move(listener)), io_(loop), on_connection_(std::move(on_connection)) {
  io_.set<HandoverListener, &HandoverListener::accept>(this);
  io_.start(listener_.get(), ev::READ);
}

void HandoverListener::accept(ev::io&, int) {
  Fd fd(::accept4(listener_.get(), nullptr, nullptr, SOCK_NONBLOCK | SOCK_CLOEXEC));
  if (fd.get() >= 0) on_connection_(std::move(fd));
}

bool send_wait(const Fd& link) {
  const auto bytes = encode_packet("wait", "");
  return ::send(link.get(), bytes.data(), bytes.size(), MSG_NOSIGNAL | MSG_DONTWAIT) >= 0 ||
         errno == EAGAIN || errno == EWOULDBLOCK;
}

namespace {

using SteadyClock = std::chrono::steady_clock;

/// How often the caller of receive_handover() may cancel it.
constexpr std::chrono::milliseconds cancel_check_interval{50};
/// Between two connects to a process that has ended the link.
constexpr std::chrono::milliseconds reconnect_interval{20};
/// How long a process that was waited for, and has ended, may leave the name without a listener: the process
/// that it had replaced, if one still runs, listens there again.
constexpr std::chrono::seconds relisten_timeout{1};

SteadyClock::duration to_duration(double seconds) {
  return std::chrono::duration_cast<SteadyClock::duration>(std::chrono::duration<double>(seconds));
}

/// Requests a handover until it is complete or no process can give one.
class HandoverRequest {
 public:
  HandoverRequest(const std::string& dir, const std::string& name, const HandoverTimeouts& timeouts,
                  const HandoverCallbacks& callbacks)
      : location_(dir, name),
        timeouts_(timeouts),
        callbacks_(callbacks),
        deadline_(SteadyClock::now() + to_duration(timeouts.total_s)) {}
  HandoverResult run();

 private:
  /// How one connection to a process has ended.
  enum class End { complete, refused, closed, silent, invalid, cancelled, late };
  /// Connects and receives packets until the handover is complete or the connection ends.
  End receive();
  /// Waits for a packet; returns End::complete once there is one.
  End wait_readable(SteadyClock::time_point silence_deadline);
  /// Adds the packet to the handover; false if it is invalid.
  bool add(Packet packet);
  void report_waiting();

  SocketAddress location_;
  const HandoverTimeouts& timeouts_;
  const HandoverCallbacks& callbacks_;
  SteadyClock::time_point deadline_;
  ReceivedHandover handover_;
  bool complete_ = false;
  bool waiting_reported_ = false;
};

void HandoverRequest::report_waiting() {
  if (!std::exchange(waiting_reported_, true)) callbacks_.on_waiting();
}

HandoverRequest::End HandoverRequest::wait_readable(SteadyClock::time_point silence_deadline) {
  for (;;) {
    if (callbacks_.is_cancelled()) return End::cancelled;
    const auto now = SteadyClock::now();
    if (now >= deadline_) return End::late;
    if (now >= silence_deadline) return End::silent;
    const auto until = std::min({deadline_, silence_deadline, now + cancel_check_interval});
    const auto timeout = std::chrono::ceil<std::chrono::milliseconds>(until - now);
    pollfd descriptor{handover_.link.get(), POLLIN, 0};
    const int ready = ::poll(&descriptor, 1, static_cast<int>(timeout.count()));
    if (ready > 0) return End::complete;
    if (ready < 0 && errno != EINTR) return End::silent;
  }
}

bool HandoverRequest::add(Packet packet) {
  if (packet.kind == "wait") {
    report_waiting();
  } else if (packet.kind == "listener" && packet.fds.size() == 1) {
    handover_.listeners.emplace_back(packet.text, std::move(packet.fds[0]));
  } else if (packet.kind == "state") {
    handover_.state += packet.text;
    return handover_.state.size() <= max_link_bytes;
  } else if (packet.kind == "whole") {
    complete_ = true;
  } else {
    return false;  // invalid, or of a kind that this build does not know
  }
  return true;
}

HandoverRequest::End HandoverRequest::receive() {
  handover_ = {};
  handover_.link = packet_socket();
  if (location_.dir.get() < 0 || handover_.link.get() < 0) return End::refused;
  if (::connect(handover_.link.get(), location_.get(), sizeof location_.address) != 0)
    return errno == EAGAIN || errno == EINTR ? End::closed : End::refused;
  auto silence_deadline = SteadyClock::now() + to_duration(timeouts_.first_packet_s);
  while (!complete_) {
    if (const auto end = wait_readable(silence_deadline); end != End::complete) return end;
    Packet packet;
    const int status = receive_packet(handover_.link.get(), packet);
    if (status < 0 && (errno == EAGAIN || errno == EINTR)) continue;
    if (status <= 0) return End::closed;
    if (!add(std::move(packet))) return End::invalid;
    silence_deadline = SteadyClock::now() + to_duration(timeouts_.silence_s);
  }
  return End::complete;
}

HandoverResult HandoverRequest::run() {
  std::optional<SteadyClock::time_point> closed_at;  // when a process last ended the link
  for (;;) {
    const auto end = receive();
    if (end == End::complete) return {HandoverStatus::complete, std::move(handover_)};
    if (end == End::cancelled) return {HandoverStatus::cancelled, {}};
    if (end == End::late) return {HandoverStatus::still_busy, {}};
    if (end == End::silent || end == End::invalid) return {HandoverStatus::unusable, {}};
    const auto now = SteadyClock::now();
    if (end == End::closed) closed_at = now;
    if (!closed_at || now >= *closed_at + relisten_timeout) return {};
    if (now >= deadline_) return {HandoverStatus::still_busy, {}};
    if (callbacks_.is_cancelled()) return {HandoverStatus::cancelled, {}};
    report_waiting();
    ::poll(nullptr, 0, static_cast<int>(reconnect_interval.count()));
  }
}

}  // namespace

HandoverResult receive_handover(const std::string& dir, const std::string& name,
                                const HandoverTimeouts& timeouts, const HandoverCallbacks& callbacks) {
  return HandoverRequest(dir, name, timeouts, callbacks).run();
}

}  // namespace cedarring::wire
