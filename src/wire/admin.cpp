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

bool address_of(const std::string& path, sockaddr_un& at) {
  at = {};
  at.sun_family = AF_UNIX;
  if (path.empty() || path.size() >= sizeof at.sun_path) {
    errno = ENAMETOOLONG;
    return false;
  }
  std::memcpy(at.sun_path, path.data(), path.size());
  return true;
}

Fd connect_local(const std::string& path) {
  sockaddr_un at;
  if (!address_of(path, at)) return Fd();
  Fd fd(::socket(AF_UNIX, SOCK_STREAM | SOCK_CLOEXEC, 0));
  if (fd.get() >= 0 && ::connect(fd.get(), reinterpret_cast<sockaddr*>(&at), sizeof at) != 0) {
    const int error = errno;
    fd.reset();
    errno = error;
  }
  return fd;
}

Fd listen_local(const std::string& path) {
  sockaddr_un at;
  if (!address_of(path, at)) return Fd();
  // Only a socket is taken away, and only one that nobody listens on: never a file of somebody else's.
  struct stat there {};
  if (::lstat(path.c_str(), &there) == 0) {
    if (!S_ISSOCK(there.st_mode)) {
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
  const auto mask = ::umask(0177);  // the owner's alone
  const bool bound = ::bind(fd.get(), reinterpret_cast<sockaddr*>(&at), sizeof at) == 0;
  ::umask(mask);
  if (!bound || ::listen(fd.get(), 8) != 0) {
    const int error = errno;
    fd.reset();
    errno = error;
  }
  return fd;
}

}  // namespace

class AdminSocket::Peer : public Connection {
 public:
  Peer(ev::loop_ref loop, Fd fd, AdminSocket& owner)
      : Connection(loop, std::move(fd), false, line_most, answer_most), owner_(owner), timer_(loop) {
    timer_.set<Peer, &Peer::expired>(this);
    timer_.start(time_most);
  }

 private:
  void on_input() override {
    const auto in = in_.view();
    const auto end = in.find('\n');
    if (answered_) return in_.clear();
    if (end == std::string_view::npos) {
      if (in.size() >= line_most) say("{\"error\":\"the line is too long\"}");
      return;
    }
    std::istringstream line{std::string(in.substr(0, end))};
    std::vector<std::string> words;
    for (std::string word; line >> word;) words.push_back(word);
    in_.clear();
    say(owner_.answer_(words));
  }
  void say(std::string answer) {
    answered_ = true;
    if (answer.size() >= answer_most) answer = "{\"error\":\"the answer is too long\"}";
    answer += '\n';
    write(answer);
    if (out_.empty()) shut_down_writing();
  }
  void on_sent() override { shut_down_writing(); }
  void on_end(int) override {
    timer_.stop();
    owner_.gone(this);
  }
  void expired(ev::timer&, int) {
    close();
    owner_.gone(this);
  }
  AdminSocket& owner_;
  ev::timer timer_;
  bool answered_ = false;
};

AdminSocket::AdminSocket(ev::loop_ref loop, Reaper& reaper, std::string path, Answer answer)
    : loop_(loop),
      reaper_(reaper),
      path_(std::move(path)),
      answer_(std::move(answer)),
      listener_(listen_local(path_)),
      io_(loop) {
  if (listener_.get() < 0) throw std::system_error(errno, std::generic_category(), "admin.socket: " + path_);
  io_.set<AdminSocket, &AdminSocket::incoming>(this);
  io_.start(listener_.get(), ev::READ);
}

AdminSocket::~AdminSocket() { ::unlink(path_.c_str()); }

void AdminSocket::incoming(ev::io&, int) {
  Fd fd = accept_from(listener_.get());
  // Beyond the bound a client is closed unheard: it can come again, and nothing is kept for it.
  if (fd.get() < 0 || peers_.size() >= clients_most) return;
  auto peer = std::make_unique<Peer>(loop_, std::move(fd), *this);
  auto* raw = peer.get();
  peers_.emplace(raw, std::move(peer));
}

void AdminSocket::gone(Peer* peer) {
  const auto it = peers_.find(peer);
  if (it == peers_.end()) return;
  reaper_.take(std::move(it->second));
  peers_.erase(it);
}

bool ask_admin(const std::string& path, const std::string& line, std::string& answer, std::string& error) {
  const Fd fd = connect_local(path);
  const auto failed = [&] {
    error = path + ": " + std::strerror(errno);
    return false;
  };
  if (fd.get() < 0) return failed();
  const timeval wait{10, 0};
  setsockopt(fd.get(), SOL_SOCKET, SO_RCVTIMEO, &wait, sizeof wait);
  const auto said = line + "\n";
  if (::send(fd.get(), said.data(), said.size(), MSG_NOSIGNAL) != static_cast<ssize_t>(said.size()))
    return failed();
  char bytes[4096];
  for (;;) {
    const auto n = ::recv(fd.get(), bytes, sizeof bytes, 0);
    if (n == 0) break;
    if (n < 0) return failed();
    answer.append(bytes, static_cast<std::size_t>(n));
    if (answer.size() > AdminSocket::answer_most) break;
  }
  while (!answer.empty() && answer.back() == '\n') answer.pop_back();
  if (answer.empty()) {
    error = path + ": no answer";
    return false;
  }
  return true;
}

}  // namespace cedarring::wire
