#include "wire/admin.h"

#include <sys/socket.h>
#include <sys/stat.h>
#include <sys/time.h>
#include <sys/un.h>
#include <unistd.h>

#include <cerrno>
#include <cstring>
#include <sstream>
#include <system_error>

namespace cedarring::wire {
namespace {

constexpr mode_t owner_only_mask = 0177;
constexpr int listen_backlog = 8;
constexpr time_t receive_timeout_s = 10;    // of the client
constexpr std::size_t receive_size = 4096;  // bytes per read of the client

/// Sets the address of a Unix socket; false with errno set if the path is empty or too long.
bool make_address(const std::string& path, sockaddr_un& address) {
  address = {};
  address.sun_family = AF_UNIX;
  if (path.empty() || path.size() >= sizeof address.sun_path) {
    errno = ENAMETOOLONG;
    return false;
  }
  std::memcpy(address.sun_path, path.data(), path.size());
  return true;
}

/// Connects to a Unix socket; on failure the descriptor is -1 and errno is set.
Fd connect_local(const std::string& path) {
  sockaddr_un address;
  if (!make_address(path, address)) return Fd();
  Fd fd(::socket(AF_UNIX, SOCK_STREAM | SOCK_CLOEXEC, 0));
  if (fd.get() >= 0 && ::connect(fd.get(), reinterpret_cast<sockaddr*>(&address), sizeof address) != 0) {
    const int error = errno;
    fd.reset();
    errno = error;
  }
  return fd;
}

/// Listens on a Unix socket that only the owner may use; on failure the descriptor is -1 and errno is set.
Fd listen_local(const std::string& path) {
  sockaddr_un address;
  if (!make_address(path, address)) return Fd();
  // Replace only a socket that nobody listens on, never any other file.
  struct stat existing {};
  if (::lstat(path.c_str(), &existing) == 0) {
    if (!S_ISSOCK(existing.st_mode)) {
      errno = EEXIST;
      return Fd();
    }
    if (connect_local(path).get() >= 0) {
      errno = EADDRINUSE;
      return Fd();
    }
    ::unlink(path.c_str());
  }
  Fd fd(::socket(AF_UNIX, SOCK_STREAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0));
  if (fd.get() < 0) return fd;
  const auto mask = ::umask(owner_only_mask);
  const bool bound = ::bind(fd.get(), reinterpret_cast<sockaddr*>(&address), sizeof address) == 0;
  ::umask(mask);
  if (!bound || ::listen(fd.get(), listen_backlog) != 0) {
    const int error = errno;
    fd.reset();
    errno = error;
  }
  return fd;
}

}  // namespace

/// Reads one command line, sends the answer and closes the sending direction. The connection is closed when
/// the client closes it, or at the time limit.
class AdminSocket::Peer : public Connection {
 public:
  Peer(ev::loop_ref loop, Fd fd, AdminSocket& owner)
      : Connection(loop, std::move(fd), false, max_line_size, max_answer_size), owner_(owner), timer_(loop) {
    timer_.set<Peer, &Peer::on_timeout>(this);
    timer_.start(timeout_s);
  }

 private:
  void on_input() override {
    const auto in = in_.view();
    const auto end = in.find('\n');
    if (answered_) return in_.clear();  // input after the one command is discarded
    if (end == std::string_view::npos) {
      if (in.size() >= max_line_size) send_answer("{\"error\":\"the line is too long\"}");
      return;
    }
    std::istringstream line{std::string(in.substr(0, end))};
    std::vector<std::string> words;
    for (std::string word; line >> word;) words.push_back(word);
    in_.clear();
    send_answer(owner_.handler_(words));
  }
  void send_answer(std::string answer) {
    answered_ = true;
    if (answer.size() >= max_answer_size) answer = "{\"error\":\"the answer is too long\"}";
    answer += '\n';
    write(answer);
    if (out_.empty()) shut_down_writing();
  }
  void on_sent() override { shut_down_writing(); }
  void on_end(int) override {
    timer_.stop();
    owner_.remove(this);
  }
  void on_timeout(ev::timer&, int) {
    close();
    owner_.remove(this);
  }
  AdminSocket& owner_;
  ev::timer timer_;
  bool answered_ = false;
};

AdminSocket::AdminSocket(ev::loop_ref loop, Reaper& reaper, std::string path, Handler handler)
    : loop_(loop),
      reaper_(reaper),
      path_(std::move(path)),
      handler_(std::move(handler)),
      listener_(listen_local(path_)),
      io_(loop) {
  if (listener_.get() < 0) throw std::system_error(errno, std::generic_category(), "admin.socket: " + path_);
  io_.set<AdminSocket, &AdminSocket::on_connection>(this);
  io_.start(listener_.get(), ev::READ);
}

AdminSocket::~AdminSocket() { ::unlink(path_.c_str()); }

void AdminSocket::on_connection(ev::io&, int) {
  Fd fd = accept_from(listener_.get());
  // Clients beyond the limit are closed without an answer; they may reconnect.
  if (fd.get() < 0 || peers_.size() >= max_clients) return;
  auto peer = std::make_unique<Peer>(loop_, std::move(fd), *this);
  auto* raw = peer.get();
  peers_.emplace(raw, std::move(peer));
}

void AdminSocket::remove(Peer* peer) {
  const auto it = peers_.find(peer);
  if (it == peers_.end()) return;
  reaper_.add(std::move(it->second));
  peers_.erase(it);
}

bool send_admin_command(const std::string& path, const std::string& line, std::string& answer,
                        std::string& error) {
  const Fd fd = connect_local(path);
  const auto failed = [&] {
    error = path + ": " + std::strerror(errno);
    return false;
  };
  if (fd.get() < 0) return failed();
  const timeval receive_timeout{receive_timeout_s, 0};
  setsockopt(fd.get(), SOL_SOCKET, SO_RCVTIMEO, &receive_timeout, sizeof receive_timeout);
  const auto command = line + "\n";
  if (::send(fd.get(), command.data(), command.size(), MSG_NOSIGNAL) != static_cast<ssize_t>(command.size()))
    return failed();
  char bytes[receive_size];
  for (;;) {
    const auto received = ::recv(fd.get(), bytes, sizeof bytes, 0);
    if (received == 0) break;
    if (received < 0) return failed();
    answer.append(bytes, static_cast<std::size_t>(received));
    if (answer.size() > AdminSocket::max_answer_size) break;
  }
  while (!answer.empty() && answer.back() == '\n') answer.pop_back();
  if (answer.empty()) {
    error = path + ": no answer";
    return false;
  }
  return true;
}

}  // namespace cedarring::wire
