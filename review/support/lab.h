// Stand-ins for the review's cases: an event loop, database hosts, discovery, clients (PostgreSQL protocol 3,
// simple queries) and the gateway as a process. Loopback addresses and the real clock only.
#pragma once

#include <arpa/inet.h>
#include <fcntl.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <poll.h>
#include <sys/prctl.h>
#include <sys/socket.h>
#include <sys/stat.h>
#include <sys/wait.h>
#include <unistd.h>

#include <cerrno>
#include <chrono>
#include <csignal>
#include <cstdarg>
#include <cstdint>
#include <cstdio>
#include <cstdlib>
#include <cstring>
#include <deque>
#include <functional>
#include <map>
#include <memory>
#include <random>
#include <stdexcept>
#include <string>
#include <utility>
#include <vector>

namespace lab {

using Handler = std::function<void()>;

/// Exit code 2: the case could not run.
[[noreturn]] inline void cannot_run(const std::string& why) {
  std::fprintf(stderr, "cannot run: %s\n", why.c_str());
  std::exit(2);
}

/// Unix time in milliseconds, advanced by the steady clock.
inline double now_ms() {
  using std::chrono::duration;
  static const double unix_start =
      duration<double, std::milli>(std::chrono::system_clock::now().time_since_epoch()).count();
  static const auto steady_start = std::chrono::steady_clock::now();
  return unix_start + duration<double, std::milli>(std::chrono::steady_clock::now() - steady_start).count();
}

/// The file record.txt: a line for each thing that was sent, answered or run, with ms since the start.
class Record {
 public:
  explicit Record(const std::string& path) : file_(std::fopen(path.c_str(), "w")), start_(now_ms()) {
    if (!file_) cannot_run("cannot write " + path);
  }
  Record(const Record&) = delete;
  Record& operator=(const Record&) = delete;
  ~Record() { std::fclose(file_); }
  __attribute__((format(printf, 2, 3))) void line(const char* format, ...) {
    std::fprintf(file_, "%10.1f ", now_ms() - start_);
    va_list arguments;
    va_start(arguments, format);
    std::vfprintf(file_, format, arguments);
    va_end(arguments);
    std::fputc('\n', file_);
  }

 private:
  std::FILE* file_;
  double start_;
};

class Loop;

/// A TCP connection with buffers.
class Link {
 public:
  Link(Loop& loop, int fd) : loop_(loop), fd_(fd) {}
  Link(const Link&) = delete;
  Link& operator=(const Link&) = delete;
  ~Link() { close(); }
  void send(const std::string& bytes) {
    if (fd_ < 0) return;
    out_ += bytes;
    passed_ += bytes.size();
    flush();
  }
  void flush() {
    while (fd_ >= 0 && !out_.empty()) {
      const auto sent = ::send(fd_, out_.data(), out_.size(), MSG_NOSIGNAL | MSG_DONTWAIT);
      if (sent <= 0) return;
      out_.erase(0, static_cast<std::size_t>(sent));
      written_ += static_cast<std::uint64_t>(sent);
      while (!marks_.empty() && marks_.front().first <= written_) {
        const auto handler = std::move(marks_.front().second);
        marks_.pop_front();
        handler();
      }
    }
  }
  /// Calls `handler` once the kernel has taken all that has been passed to send() so far.
  void when_written(Handler handler) {
    if (out_.empty()) return handler();
    marks_.emplace_back(written_ + out_.size(), std::move(handler));
  }
  void close() {
    if (fd_ >= 0) ::close(fd_);
    fd_ = -1;
  }
  /// Closes with a reset.
  void reset() {
    if (fd_ < 0) return;
    const linger hard{1, 0};
    setsockopt(fd_, SOL_SOCKET, SO_LINGER, &hard, sizeof hard);
    close();
  }
  void read_ready() {
    char buffer[65536];
    const auto received = ::recv(fd_, buffer, sizeof buffer, MSG_DONTWAIT);
    if (received > 0) {
      in.append(buffer, static_cast<std::size_t>(received));
      passed_ += static_cast<std::uint64_t>(received);
      if (on_data) on_data();
    } else if (received == 0 || (errno != EAGAIN && errno != EINTR)) {
      close();
      if (on_end) on_end();
    }
  }
  [[nodiscard]] bool open() const { return fd_ >= 0; }
  [[nodiscard]] int fd() const { return fd_; }
  [[nodiscard]] bool wants_write() const { return !out_.empty(); }
  Loop& loop() { return loop_; }

  [[nodiscard]] std::uint64_t bytes_passed() const { return passed_; }

  std::string in;
  Handler on_data, on_end;
  int owed = 0;  // statements read and not answered yet

 private:
  Loop& loop_;
  int fd_;
  std::string out_;
  std::uint64_t passed_ = 0;
  std::uint64_t written_ = 0;
  std::deque<std::pair<std::uint64_t, Handler>> marks_;  // by the byte that has to be written
};
using LinkPtr = std::shared_ptr<Link>;

/// Timers and sockets in one thread.
class Loop {
 public:
  void at(double due_ms, Handler handler) { timers_.emplace(due_ms, std::move(handler)); }
  void after(double ms, Handler handler) { at(now_ms() + ms, std::move(handler)); }
  void listen(int fd, std::function<void(int)> on_accept) { listeners_[fd] = std::move(on_accept); }
  void stop_listening(int fd) { listeners_.erase(fd); }
  LinkPtr add(int fd) {
    const int one = 1;
    setsockopt(fd, IPPROTO_TCP, TCP_NODELAY, &one, sizeof one);
    auto link = std::make_shared<Link>(*this, fd);
    links_.push_back(link);
    return link;
  }
  /// No byte that is being handled can have come before this time, however late this program is.
  [[nodiscard]] double arrived_from() const { return arrived_from_; }
  void run_until(double end_ms) {
    while (now_ms() < end_ms) step(end_ms);
  }

 private:
  void step(double end_ms) {
    for (std::size_t i = 0; i < links_.size();)
      if (links_[i]->open()) {
        ++i;
      } else {
        links_[i] = links_.back();
        links_.pop_back();
      }
    std::vector<pollfd> polled;
    std::vector<LinkPtr> polled_links;
    for (const auto& [fd, handler] : listeners_) polled.push_back({fd, POLLIN, 0});
    const auto first_link = polled.size();
    for (const auto& link : links_) {
      polled.push_back({link->fd(), static_cast<short>(POLLIN | (link->wants_write() ? POLLOUT : 0)), 0});
      polled_links.push_back(link);
    }
    double until = end_ms;
    if (!timers_.empty()) until = std::min(until, timers_.begin()->first);
    const double wait = std::max(0.0, until - now_ms());
    timespec timeout{
        static_cast<time_t>(wait / 1000),
        static_cast<long>((wait - 1000 * static_cast<double>(static_cast<long>(wait / 1000))) * 1e6)};
    const double before = now_ms();
    const int ready = ::ppoll(polled.data(), polled.size(), &timeout, nullptr);
    const double after = now_ms();
    // What was there already has come since the last look; what was waited for has come now.
    arrived_from_ = after - before < 0.1 ? looked_at_ : before;
    looked_at_ = after;
    while (!timers_.empty() && timers_.begin()->first <= now_ms()) {
      const auto handler = std::move(timers_.begin()->second);
      timers_.erase(timers_.begin());
      handler();
    }
    if (ready <= 0) return;
    for (std::size_t i = 0; i < polled.size(); ++i) {
      if (polled[i].revents == 0) continue;
      if (i < first_link) {
        const auto it = listeners_.find(polled[i].fd);
        if (it == listeners_.end()) continue;
        const auto on_accept = it->second;
        for (int fd; (fd = ::accept4(polled[i].fd, nullptr, nullptr, SOCK_NONBLOCK | SOCK_CLOEXEC)) >= 0;)
          on_accept(fd);
        continue;
      }
      auto& link = polled_links[i - first_link];
      if (link->open() && (polled[i].revents & POLLOUT) != 0) link->flush();
      if (link->open() && (polled[i].revents & ~POLLOUT) != 0) link->read_ready();
    }
  }
  double looked_at_ = now_ms();
  double arrived_from_ = looked_at_;
  std::multimap<double, Handler> timers_;
  std::map<int, std::function<void(int)>> listeners_;
  std::vector<LinkPtr> links_;
};

// ---- addresses ----

/// Listens at a free port of 127.0.0.1.
inline int listen_anywhere(std::string& address) {
  const int fd = ::socket(AF_INET, SOCK_STREAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0);
  sockaddr_in at{};
  at.sin_family = AF_INET;
  at.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
  socklen_t size = sizeof at;
  if (fd < 0 || ::bind(fd, reinterpret_cast<sockaddr*>(&at), sizeof at) != 0 || ::listen(fd, 511) != 0 ||
      ::getsockname(fd, reinterpret_cast<sockaddr*>(&at), &size) != 0)
    cannot_run("no free port");
  address = "127.0.0.1:" + std::to_string(ntohs(at.sin_port));
  return fd;
}
/// A port that is free now.
inline std::string free_address() {
  std::string address;
  ::close(listen_anywhere(address));
  return address;
}
inline int connect_to(const std::string& address) {
  const int fd = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
  sockaddr_in at{};
  at.sin_family = AF_INET;
  at.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
  at.sin_port = htons(static_cast<std::uint16_t>(std::atoi(address.c_str() + address.rfind(':') + 1)));
  if (fd >= 0 && ::connect(fd, reinterpret_cast<sockaddr*>(&at), sizeof at) == 0) {
    ::fcntl(fd, F_SETFL, O_NONBLOCK);
    return fd;
  }
  if (fd >= 0) ::close(fd);
  return -1;
}

// ---- PostgreSQL protocol 3 ----

inline std::string u32(std::uint32_t value) {
  const std::uint32_t big = htonl(value);
  return std::string(reinterpret_cast<const char*>(&big), 4);
}
inline std::string u16(std::uint16_t value) {
  const std::uint16_t big = htons(value);
  return std::string(reinterpret_cast<const char*>(&big), 2);
}
inline std::uint32_t read_u32(const std::string& bytes, std::size_t at) {
  std::uint32_t big = 0;
  std::memcpy(&big, bytes.data() + at, 4);
  return ntohl(big);
}
inline std::string cstring(const std::string& text) { return text + std::string(1, '\0'); }
inline std::string message(char type, const std::string& body) {
  return std::string(1, type) + u32(static_cast<std::uint32_t>(body.size() + 4)) + body;
}
inline std::string parameter(const std::string& name, const std::string& value) {
  return message('S', cstring(name) + cstring(value));
}
inline std::string ready_for_query() { return message('Z', "I"); }
inline std::string row(const std::string& value, const std::string& tag) {
  const auto description =
      u16(1) + cstring("v") + u32(0) + u16(0) + u32(17) + u16(0xffff) + u32(0xffffffff) + u16(1);
  return message('T', description) +
         message('D', u16(1) + u32(static_cast<std::uint32_t>(value.size())) + value) +
         message('C', cstring(tag));
}
inline std::string error(const std::string& code, const std::string& text) {
  return message('E',
                 "S" + cstring("ERROR") + "C" + cstring(code) + "M" + cstring(text) + std::string(1, '\0'));
}
inline std::string startup() {
  const auto body = u32(196608) + cstring("user") + cstring("svc") + cstring("database") + cstring("main") +
                    std::string(1, '\0');
  return u32(static_cast<std::uint32_t>(body.size() + 4)) + body;
}
/// Takes a message off the front; false if there is no complete one.
inline bool take_message(std::string& in, char& type, std::string& body) {
  if (in.size() < 5) return false;
  const auto size = read_u32(in, 1);
  if (in.size() < 1 + static_cast<std::size_t>(size)) return false;
  type = in[0];
  body = in.substr(5, size - 4);
  in.erase(0, 1 + static_cast<std::size_t>(size));
  return true;
}
/// The fields of a statement's trailing comment.
inline std::map<std::string, std::string> comment_fields(const std::string& sql) {
  std::map<std::string, std::string> fields;
  const auto from = sql.rfind("/*");
  const auto to = sql.rfind("*/");
  if (from == std::string::npos || to == std::string::npos) return fields;
  std::string text = sql.substr(from + 2, to - from - 2);
  for (std::size_t at = 0; at < text.size();) {
    auto end = text.find(',', at);
    if (end == std::string::npos) end = text.size();
    auto part = text.substr(at, end - at);
    part.erase(0, part.find_first_not_of(' '));
    part.erase(part.find_last_not_of(' ') + 1);
    if (const auto equals = part.find('='); equals != std::string::npos)
      fields[part.substr(0, equals)] = part.substr(equals + 1);
    at = end + 1;
  }
  return fields;
}

// ---- database hosts ----

/// A statement as a host has read it whole.
struct Query {
  LinkPtr link;
  int connection = 0;  // number of the connection at all hosts
  std::string sql, id, class_name, key;
  double read_at = 0;
  double arrived_from = 0;  // its last byte has not come before
  double wait_ms = 0;       // `d`
  bool write = false;
};

/// A database host. What it does with a statement is up to `on_query`.
class DbHost {
 public:
  DbHost(Loop& loop, std::string host_id, int host_cell, std::string host_zone, bool is_primary)
      : id(std::move(host_id)),
        zone(std::move(host_zone)),
        cell(host_cell),
        primary(is_primary),
        loop_(loop) {
    listener_ = listen_anywhere(address);
    loop_.listen(listener_, [this](int fd) { accept(fd); });
  }
  DbHost(const DbHost&) = delete;
  DbHost& operator=(const DbHost&) = delete;
  ~DbHost() {
    loop_.stop_listening(listener_);
    ::close(listener_);
  }
  /// The position: all commits up to this time have been applied.
  [[nodiscard]] double position() const {
    if (primary) return now_ms();
    return frozen_at > 0 ? frozen_at : now_ms() - lag_ms;
  }
  [[nodiscard]] std::string entry() const {
    char text[512];
    std::snprintf(text, sizeof text,
                  R"({"id":"%s","addr":"%s","zone":"%s","kind":"std3","cell":%d,"state":"%s","weight":1.0,)"
                  R"("started_ms":0,"recovery":"%s"})",
                  id.c_str(), address.c_str(), zone.c_str(), cell, state.c_str(), primary ? "off" : "on");
    return text;
  }
  /// The variables that precede ReadyForQuery.
  [[nodiscard]] std::string variables(double position_ms) const {
    auto out = parameter("recovery", primary ? "off" : "on");
    if (position_ms > 0) out += parameter("lsn_ms", std::to_string(static_cast<long long>(position_ms)));
    return out;
  }

  std::string id, zone, address, state = "SERVING";
  int cell;
  bool primary;
  double lag_ms = 10;
  double frozen_at = 0;                // the position while no log is applied; 0: it is applied
  std::function<double(int)> late_ms;  // how late the connection of this number comes up
  std::function<void(const Query&)> on_query;
  int queued = 0;            // `pending` of the report
  double idle_close_ms = 0;  // closes a connection that has been idle for so long; 0: never
  bool answers = true;       // false: hung, reads and answers nothing

  static int& connections() {
    static int count = 0;
    return count;
  }

 private:
  void accept(int fd) {
    auto link = loop_.add(fd);
    const int number = ++connections();
    const auto weak = std::weak_ptr<Link>(link);
    auto up = std::make_shared<bool>(false);
    auto greeted = std::make_shared<bool>(false);
    if (idle_close_ms > 0) watch_idle(weak, 0);
    link->on_data = [this, weak, number, up, greeted] {
      if (const auto open = weak.lock(); open && *up) read(open, number, *greeted);
    };
    loop_.after(late_ms ? late_ms(number) : 0, [this, weak, number, up, greeted] {
      *up = true;
      if (const auto open = weak.lock(); open && open->open()) read(open, number, *greeted);
    });
  }
  /// Closes the connection when no byte has passed for idle_close_ms and no answer is owed on it.
  void watch_idle(const std::weak_ptr<Link>& weak, std::uint64_t seen) {
    loop_.after(
        idle_close_ms,
        [this, weak, seen] {
          const auto link = weak.lock();
          if (!link || !link->open()) return;
          const auto passed = link->bytes_passed();
          if (passed == seen && link->owed == 0) return link->close();
          watch_idle(weak, passed);
        });
  }
  void read(const LinkPtr& link, int number, bool& greeted) {
    if (!answers) return;
    if (!greeted) {
      if (link->in.size() < 4 || link->in.size() < read_u32(link->in, 0)) return;
      link->in.erase(0, read_u32(link->in, 0));
      greeted = true;
      link->send(message('R', u32(0)) + parameter("server_version", "15.0") + ready_for_query());
    }
    char type = 0;
    std::string body;
    while (link->open() && take_message(link->in, type, body)) {
      if (type != 'Q') return link->close();
      body.resize(std::strlen(body.c_str()));
      if (body == "SHOW health") {
        char report[128];
        std::snprintf(report, sizeof report, "x0=%.3f,x1=%d,pending=%d", position() / 1000, primary ? 1 : 0,
                      queued);
        link->send(row(report, "SHOW") + variables(0) + ready_for_query());
        continue;
      }
      Query query;
      query.link = link;
      query.connection = number;
      query.sql = body;
      query.read_at = now_ms();
      query.arrived_from = loop_.arrived_from();
      auto fields = comment_fields(body);
      query.id = fields["id"];
      query.class_name = fields["c"];
      query.key = fields["k"];
      query.wait_ms = std::atof(fields["d"].c_str());
      query.write = body.compare(0, 6, "INSERT") == 0;
      if (on_query) on_query(query);
    }
  }
  Loop& loop_;
  int listener_ = -1;
};

// ---- discovery ----

/// GET /catalog/members?follow=1&since=N: the whole list, then each change, and an empty line every 2 s.
class Discovery {
 public:
  Discovery(Loop& loop, std::function<std::string()> entries) : loop_(loop), entries_(std::move(entries)) {
    listener_ = listen_anywhere(address);
    loop_.listen(listener_, [this](int fd) { accept(fd); });
    heartbeat();
  }
  [[nodiscard]] std::string list(bool full, const std::string& entries) const {
    return R"({"version":)" + std::to_string(version) + R"(,"full":)" + (full ? "true" : "false") +
           R"(,"servers":[)" + entries + "]}";
  }
  void change(const std::string& entries) {
    ++version;
    for (const auto& watch : watches_)
      if (watch->open()) send_chunk(watch, list(false, entries) + "\n");
  }
  std::string address;
  int version = 41;
  /// Decides on a call: true if it is answered. If false, `on_call` has dealt with it, or leaves it
  /// unanswered.
  std::function<bool(const LinkPtr&)> on_call;
  std::function<void(const LinkPtr&)> on_answered;
  void end_watches(bool reset) {
    for (const auto& watch : watches_) reset ? watch->reset() : watch->close();
    watches_.clear();
  }

 private:
  static void send_chunk(const LinkPtr& link, const std::string& text) {
    char size[32];
    std::snprintf(size, sizeof size, "%zx\r\n", text.size());
    link->send(size + text + "\r\n");
  }
  void accept(int fd) {
    auto link = loop_.add(fd);
    const auto weak = std::weak_ptr<Link>(link);
    link->on_data = [this, weak] {
      const auto open = weak.lock();
      if (!open || open->in.find("\r\n\r\n") == std::string::npos) return;
      open->in.clear();
      if (on_call && !on_call(open)) return;
      open->send("HTTP/1.1 200 OK\r\nContent-Type: application/json\r\nTransfer-Encoding: chunked\r\n\r\n");
      send_chunk(open, list(true, entries_()) + "\n");
      watches_.push_back(open);
      if (on_answered) on_answered(open);
    };
  }
  void heartbeat() {
    for (const auto& watch : watches_)
      if (watch->open()) send_chunk(watch, "\n");
    loop_.after(2000, [this] { heartbeat(); });
  }
  Loop& loop_;
  std::function<std::string()> entries_;
  int listener_ = -1;
  std::vector<LinkPtr> watches_;
};

// ---- the gateway's process ----

/// Starts the `run` command of the deploy file, from the root of the repository.
class Gateway {
 public:
  Gateway(const std::string& name, const std::string& folder) : name_(name), folder_(folder + "/" + name) {
    ::mkdir(folder_.c_str(), 0700);
    ::mkdir((folder_ + "/tmp").c_str(), 0700);
    address = free_address();
  }
  Gateway(const Gateway&) = delete;
  Gateway& operator=(const Gateway&) = delete;
  ~Gateway() {
    if (pid_ <= 0) return;
    ::kill(pid_, SIGKILL);
    ::waitpid(pid_, nullptr, 0);
  }
  void write_config(const std::string& json) const {
    const auto path = folder_ + "/config.json";
    auto* file = std::fopen((path + ".new").c_str(), "w");
    if (!file) cannot_run("cannot write " + path);
    std::fwrite(json.data(), 1, json.size(), file);
    std::fclose(file);
    std::rename((path + ".new").c_str(), path.c_str());
  }
  void start(const std::string& discovery) {
    const char* command = std::getenv("RUN_COMMAND");
    if (!command) cannot_run("RUN_COMMAND is not set");
    const auto parent = ::getpid();
    pid_ = ::fork();
    if (pid_ != 0) return;
    ::prctl(PR_SET_PDEATHSIG, SIGKILL);
    if (::getppid() != parent) ::_exit(1);
    ::setenv("ROUTER_CONFIG", (folder_ + "/config.json").c_str(), 1);
    ::setenv("ROUTER_NAME", name_.c_str(), 1);
    ::setenv("ROUTER_LISTEN", address.c_str(), 1);
    ::setenv("ROUTER_DISCOVERY", discovery.c_str(), 1);
    ::setenv("TMPDIR", (folder_ + "/tmp").c_str(), 1);
    const int log = ::open((folder_ + "/log.txt").c_str(), O_WRONLY | O_CREAT | O_APPEND, 0600);
    ::dup2(log, 1);
    ::dup2(log, 2);
    ::execl("/bin/sh", "sh", "-c", command, nullptr);
    ::_exit(127);
  }
  void signal(int number) const {
    if (pid_ > 0) ::kill(pid_, number);
  }
  /// Whether the process has ended; reaps it.
  bool ended() {
    if (pid_ <= 0) return true;
    int status = 0;
    if (::waitpid(pid_, &status, WNOHANG) != pid_) return false;
    exit_status = status;
    pid_ = 0;
    return true;
  }
  std::string address;
  int exit_status = -1;

 private:
  std::string name_, folder_;
  pid_t pid_ = 0;
};

// ---- clients ----

/// How a request ended, as its client sees it.
enum class End { none, served, refused, failed, lost };
inline const char* name_of(End end) {
  switch (end) {
    case End::none:
      return "no answer";
    case End::served:
      return "served";
    case End::refused:
      return "refused";
    case End::failed:
      return "failed";
    case End::lost:
      return "connection ended";
  }
  return "";
}
struct Answer {
  End end = End::none;
  std::string code, value;
};

/// One connection of a client. With several requests at once their answers come in order.
class Client {
 public:
  using Done = std::function<void(const Answer&)>;
  Client(Loop& loop, const std::string& address) {
    const int fd = connect_to(address);
    if (fd < 0) return;
    link_ = loop.add(fd);
    link_->on_data = [this] { read(); };
    link_->on_end = [this] { fail_all(); };
    link_->send(startup());
  }
  Client(const Client&) = delete;
  Client& operator=(const Client&) = delete;
  ~Client() {
    if (!link_) return;
    link_->on_data = link_->on_end = nullptr;
    link_->close();
  }
  [[nodiscard]] bool open() const { return link_ && link_->open(); }
  [[nodiscard]] std::size_t waiting() const { return waiting_.size(); }
  void when_written(Handler handler) {
    if (open()) link_->when_written(std::move(handler));
  }
  void query(const std::string& sql, Done done) {
    waiting_.push_back(std::move(done));
    if (!open()) return fail_all();
    link_->send(message('Q', cstring(sql)));
  }

 private:
  void read() {
    char type = 0;
    std::string body;
    while (take_message(link_->in, type, body)) {
      if (type == 'Z' && !greeted_) {
        greeted_ = true;
        continue;
      }
      if (!greeted_) continue;
      if (type == 'D') {
        answer_.value = body.substr(6);
      } else if (type == 'C') {
        answer_.end = End::served;
      } else if (type == 'I') {
        answer_.end = End::served;
      } else if (type == 'E') {
        for (std::size_t at = 0; at < body.size() && body[at] != '\0';) {
          const std::string text = body.c_str() + at + 1;
          if (body[at] == 'C') answer_.code = text;
          at += text.size() + 2;
        }
        answer_.end = answer_.code == "53300" || answer_.code == "57P03" ? End::refused : End::failed;
      } else if (type == 'Z' && !waiting_.empty()) {
        const auto done = std::move(waiting_.front());
        waiting_.pop_front();
        const auto answer = std::exchange(answer_, {});
        done(answer);
      }
    }
  }
  void fail_all() {
    auto all = std::exchange(waiting_, {});
    Answer answer;
    answer.end = End::lost;
    for (const auto& done : all) done(answer);
  }
  LinkPtr link_;
  bool greeted_ = false;
  Answer answer_;
  std::deque<Done> waiting_;
};

/// A client's connections to one gateway: kept, and more of them when all are busy. A request whose
/// connection ended before anything came back is sent one more time on a new connection, as the protocol page
/// says.
class ClientPool {
 public:
  ClientPool(Loop& loop, std::string address) : loop_(loop), address_(std::move(address)) {}
  void query(const std::string& sql, const Client::Done& done) {
    for (std::size_t i = 0; i < clients_.size();)
      if (clients_[i]->open()) {
        ++i;
      } else {
        retired_.push_back(clients_[i]);
        clients_.erase(clients_.begin() + static_cast<std::ptrdiff_t>(i));
      }
    for (const auto& client : clients_)
      if (client->waiting() == 0) return client->query(sql, done);
    clients_.push_back(std::make_shared<Client>(loop_, address_));
    clients_.back()->query(sql, done);
  }

 private:
  Loop& loop_;
  std::string address_;
  std::vector<std::shared_ptr<Client>> clients_, retired_;
};

inline std::string hex(std::mt19937_64& random) {
  char text[20];
  std::snprintf(text, sizeof text, "%016llx", static_cast<unsigned long long>(random()));
  return text;
}

/// Waits until the gateway answers an empty query.
inline void await_ready(Loop& loop, const std::string& address) {
  const double end = now_ms() + 10000;
  while (now_ms() < end) {
    Client client(loop, address);
    bool answered = false;
    if (client.open()) client.query("", [&](const Answer& answer) { answered = answer.end == End::served; });
    loop.run_until(now_ms() + 100);
    if (answered) return;
  }
  cannot_run("the gateway is not ready after 10 s");
}

}  // namespace lab
