// Stand-ins for the cases of the second review: database hosts, discovery, clients and the platform that runs
// one gateway. They speak what the users' pages describe, on loopback addresses, and use nothing of the
// project's own code.
#pragma once

#include <arpa/inet.h>
#include <fcntl.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <poll.h>
#include <sys/prctl.h>
#include <sys/socket.h>
#include <sys/wait.h>
#include <unistd.h>

#include <algorithm>
#include <atomic>
#include <cerrno>
#include <chrono>
#include <csignal>
#include <cstdint>
#include <cstdio>
#include <cstdlib>
#include <cstring>
#include <fstream>
#include <functional>
#include <map>
#include <memory>
#include <mutex>
#include <optional>
#include <sstream>
#include <stdexcept>
#include <string>
#include <string_view>
#include <thread>
#include <utility>
#include <vector>

namespace standins {

using Clock = std::chrono::steady_clock;

inline std::int64_t unix_ms() {
  return std::chrono::duration_cast<std::chrono::milliseconds>(
             std::chrono::system_clock::now().time_since_epoch())
      .count();
}
inline void sleep_ms(std::int64_t ms) { std::this_thread::sleep_for(std::chrono::milliseconds(ms)); }

/// What was sent, answered and run: one line each, with milliseconds since the start.
class Record {
 public:
  explicit Record(const std::string& path) : file_(path, std::ios::trunc) {}
  template <class... Parts>
  void line(const Parts&... parts) {
    std::ostringstream text;
    (text << ... << parts);
    const std::lock_guard<std::mutex> lock(mutex_);
    file_ << ms() << ' ' << text.str() << '\n' << std::flush;
  }
  [[nodiscard]] std::int64_t ms() const {
    return std::chrono::duration_cast<std::chrono::milliseconds>(Clock::now() - start_).count();
  }

 private:
  std::mutex mutex_;
  std::ofstream file_;
  Clock::time_point start_ = Clock::now();
};

// ---- sockets ----

/// Owns a descriptor. Shut down from another thread, it wakes the thread that reads it.
class Socket {
 public:
  explicit Socket(int fd = -1) : fd_(fd) {}
  ~Socket() { close(); }
  Socket(Socket&& other) noexcept : fd_(std::exchange(other.fd_, -1)) {}
  Socket& operator=(Socket&& other) noexcept {
    if (this != &other) {
      close();
      fd_ = std::exchange(other.fd_, -1);
    }
    return *this;
  }
  [[nodiscard]] int fd() const { return fd_; }
  [[nodiscard]] bool valid() const { return fd_ >= 0; }
  void close() {
    if (fd_ >= 0) ::close(fd_);
    fd_ = -1;
  }
  /// Closes with a reset.
  void reset() {
    const linger now{1, 0};
    if (fd_ >= 0) setsockopt(fd_, SOL_SOCKET, SO_LINGER, &now, sizeof now);
    close();
  }
  void shut_down() const {
    if (fd_ >= 0) ::shutdown(fd_, SHUT_RDWR);
  }
  /// Sends all bytes; false if the connection broke.
  [[nodiscard]] bool send(std::string_view bytes) const {
    while (!bytes.empty()) {
      const auto sent = ::send(fd_, bytes.data(), bytes.size(), MSG_NOSIGNAL);
      if (sent < 0 && errno == EINTR) continue;
      if (sent <= 0) return false;
      bytes.remove_prefix(static_cast<std::size_t>(sent));
    }
    return true;
  }
  /// Whether input, or the end of the connection, can be read within this time.
  [[nodiscard]] bool readable(int timeout_ms) const {
    pollfd descriptor{fd_, POLLIN, 0};
    return ::poll(&descriptor, 1, timeout_ms) > 0;
  }
  /// Reads what there is, at least one byte; empty at the end of the connection.
  [[nodiscard]] std::string read_some() const {
    char buffer[65536];
    for (;;) {
      const auto received = ::recv(fd_, buffer, sizeof buffer, 0);
      if (received < 0 && errno == EINTR) continue;
      return received > 0 ? std::string(buffer, static_cast<std::size_t>(received)) : std::string();
    }
  }

 private:
  int fd_;
};

inline void set_nodelay(int fd) {
  const int one = 1;
  setsockopt(fd, IPPROTO_TCP, TCP_NODELAY, &one, sizeof one);
}
inline sockaddr_in loopback(int port) {
  sockaddr_in address{};
  address.sin_family = AF_INET;
  address.sin_port = htons(static_cast<std::uint16_t>(port));
  address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
  return address;
}
/// Listens on a free port of 127.0.0.1.
inline Socket listen_loopback(int& port) {
  Socket listener(::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0));
  auto address = loopback(0);
  socklen_t size = sizeof address;
  if (::bind(listener.fd(), reinterpret_cast<sockaddr*>(&address), sizeof address) != 0 ||
      ::listen(listener.fd(), 511) != 0 ||
      ::getsockname(listener.fd(), reinterpret_cast<sockaddr*>(&address), &size) != 0)
    throw std::runtime_error("cannot listen on a loopback address");
  port = ntohs(address.sin_port);
  return listener;
}
inline Socket connect_loopback(int port) {
  Socket socket(::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0));
  const auto address = loopback(port);
  if (::connect(socket.fd(), reinterpret_cast<const sockaddr*>(&address), sizeof address) != 0)
    return Socket();
  set_nodelay(socket.fd());
  return socket;
}
inline std::string address_of(int port) { return "127.0.0.1:" + std::to_string(port); }

/// Accepts connections and runs a thread for each, until it is destroyed.
class Server {
 public:
  using Serve = std::function<void(const std::shared_ptr<Socket>&)>;
  explicit Server(Serve serve) : serve_(std::move(serve)), listener_(listen_loopback(port_)) {
    accepting_ = std::thread([this] { accept_all(); });
  }
  ~Server() { stop(); }
  Server(const Server&) = delete;
  Server& operator=(const Server&) = delete;
  [[nodiscard]] int port() const { return port_; }
  [[nodiscard]] bool stopping() const { return stopping_; }
  /// Ends all connections and joins their threads.
  void stop() {
    if (stopping_.exchange(true)) return;
    listener_.shut_down();
    if (accepting_.joinable()) accepting_.join();
    listener_.close();
    {
      const std::lock_guard<std::mutex> lock(mutex_);
      for (const auto& weak : sockets_)
        if (const auto socket = weak.lock()) socket->shut_down();
    }
    for (auto& thread : threads_) thread.join();
  }

 private:
  void accept_all() {
    while (!stopping_) {
      const int fd = ::accept4(listener_.fd(), nullptr, nullptr, SOCK_CLOEXEC);
      if (fd < 0 && stopping_) return;
      if (fd < 0) continue;
      set_nodelay(fd);
      const auto socket = std::make_shared<Socket>(fd);
      const std::lock_guard<std::mutex> lock(mutex_);
      sockets_.push_back(socket);
      threads_.emplace_back([this, socket] { serve_(socket); });
    }
  }
  Serve serve_;
  int port_ = 0;
  Socket listener_;
  std::atomic<bool> stopping_{false};
  std::mutex mutex_;
  std::vector<std::weak_ptr<Socket>> sockets_;
  std::vector<std::thread> threads_;
  std::thread accepting_;
};

// ---- PostgreSQL messages ----

inline std::string u32(std::uint32_t value) {
  std::string out;
  for (int shift = 24; shift >= 0; shift -= 8) out += static_cast<char>(value >> shift & 0xff);
  return out;
}
inline std::uint32_t read_u32(std::string_view in) {
  std::uint32_t value = 0;
  for (int i = 0; i < 4; ++i)
    value = value << 8 | static_cast<unsigned char>(in[static_cast<std::size_t>(i)]);
  return value;
}
inline std::string cstring(std::string_view text) { return std::string(text) + '\0'; }
inline std::string message(char type, std::string_view body) {
  return type + u32(static_cast<std::uint32_t>(body.size() + 4)) + std::string(body);
}
inline std::string startup_message() {
  const auto body =
      u32(3U << 16U) + cstring("user") + cstring("svc") + cstring("database") + cstring("main") + '\0';
  return u32(static_cast<std::uint32_t>(body.size() + 4)) + body;
}
inline std::string query_message(std::string_view sql) { return message('Q', cstring(sql)); }
inline std::string ready_message() { return message('Z', "I"); }
inline std::string parameter(std::string_view name, std::string_view value) {
  return message('S', cstring(name) + cstring(value));
}
/// RowDescription, one DataRow of one column, CommandComplete.
inline std::string row_messages(std::string_view value, std::string_view tag = "SELECT 1") {
  const std::string one_column("\0\1", 2);
  std::string out = message('T', one_column + cstring("v") + std::string(18, '\0'));
  out += message('D', one_column + u32(static_cast<std::uint32_t>(value.size())) + std::string(value));
  return out + message('C', cstring(tag));
}
inline std::string error_messages(std::string_view code, std::string_view text) {
  return message('E', "S" + cstring("ERROR") + "V" + cstring("ERROR") + "C" + cstring(code) + "M" +
                          cstring(text) + '\0');
}

/// A connection from which whole messages are read.
class MessageReader {
 public:
  struct Message {
    char type = 0;
    std::string body;
  };
  explicit MessageReader(const Socket& socket) : socket_(socket) {}
  /// The next typed message; nullopt at the end of the connection, or after this time without one.
  std::optional<Message> next(int timeout_ms = -1) {
    const auto until = Clock::now() + std::chrono::milliseconds(timeout_ms < 0 ? 600'000 : timeout_ms);
    for (;;) {
      if (buffer_.size() >= 5) {
        const std::size_t length = read_u32(std::string_view(buffer_).substr(1));
        if (length < 4) return std::nullopt;
        if (buffer_.size() >= length + 1) {
          Message out{buffer_[0], buffer_.substr(5, length - 4)};
          buffer_.erase(0, length + 1);
          return out;
        }
      }
      if (!fill(until)) return std::nullopt;
    }
  }
  /// Reads the untyped startup message; false at the end of the connection.
  bool startup() {
    const auto until = Clock::now() + std::chrono::seconds(600);
    while (buffer_.size() < 4 || buffer_.size() < read_u32(buffer_))
      if (!fill(until)) return false;
    buffer_.erase(0, read_u32(buffer_));
    return true;
  }
  /// Whether the connection has ended, as opposed to a time limit that passed.
  [[nodiscard]] bool ended() const { return ended_; }
  /// Whether bytes of a message that is not whole have arrived.
  [[nodiscard]] bool partial() const { return !buffer_.empty(); }

 private:
  bool fill(Clock::time_point until) {
    const auto left = std::chrono::duration_cast<std::chrono::milliseconds>(until - Clock::now()).count();
    if (left <= 0 || !socket_.readable(static_cast<int>(left))) return false;
    const auto bytes = socket_.read_some();
    if (bytes.empty()) ended_ = true;
    buffer_ += bytes;
    return !bytes.empty();
  }
  const Socket& socket_;
  std::string buffer_;
  bool ended_ = false;
};

// ---- database hosts ----

/// A request as a database host gets it.
struct Query {
  std::string sql, id, class_name, idempotency_key, key;
  bool write = false;
};
inline std::string field_of(const std::string& sql, const std::string& name) {
  const auto comment = sql.rfind("/*");
  if (comment == std::string::npos) return {};
  for (const char before : {' ', ','}) {
    const auto at = sql.find(before + name + "=", comment);
    if (at == std::string::npos) continue;
    const auto start = at + name.size() + 2;
    return sql.substr(start, sql.find_first_of(", *", start) - start);
  }
  return {};
}
inline Query parse_query(const std::string& sql) {
  Query query{sql, field_of(sql, "id"),        field_of(sql, "c"), field_of(sql, "k"),
              {},  sql.rfind("INSERT", 0) == 0};
  const auto first = sql.find('\'');
  if (first != std::string::npos) query.key = sql.substr(first + 1, sql.find('\'', first + 1) - first - 1);
  return query;
}

/// A database host of one group. `on_query` may replace what it does with a request; by default it works for
/// `work_ms` and answers with value_of(key). Probes are always answered at once.
class DatabaseHost {
 public:
  /// A connection from the gateway.
  struct Session {
    const std::shared_ptr<Socket>& socket;
    DatabaseHost& host;
    [[nodiscard]] bool send(std::string_view bytes) const { return socket->send(bytes); }
    /// ParameterStatus messages with role and position, and ReadyForQuery.
    [[nodiscard]] std::string tail() const {
      return parameter("recovery", host.primary ? "off" : "on") +
             parameter("lsn_ms", std::to_string(unix_ms() - (host.primary ? 0 : 10))) + ready_message();
    }
    [[nodiscard]] bool answer(std::string_view value) const { return send(row_messages(value) + tail()); }
    /// Waits until the gateway closes the connection or ends its sending on it.
    void hang() const {
      while (!socket->read_some().empty()) {
      }
    }
  };
  /// Handles one request; false ends the connection.
  using Handler = std::function<bool(const Session&, const Query&)>;

  DatabaseHost(std::string name, bool is_primary, Record& record, Handler handler = {})
      : primary(is_primary),
        name_(std::move(name)),
        record_(record),
        handler_(std::move(handler)),
        server_([this](const std::shared_ptr<Socket>& socket) { serve(socket); }) {}
  [[nodiscard]] static std::string value_of(const std::string& key) { return "value-of-" + key; }
  [[nodiscard]] const std::string& name() const { return name_; }
  [[nodiscard]] int port() const { return server_.port(); }
  void stop() { server_.stop(); }
  /// The default treatment of a request.
  [[nodiscard]] bool serve_query(const Session& session, const Query& query) const {
    if (query.write && !primary) return session.send(error_messages("25006", "not primary") + session.tail());
    if (work_ms > 0) sleep_ms(work_ms);
    return session.answer(value_of(query.key));
  }
  /// An entry of discovery's list. `proxy_port`: of a proxy before the host; 0: none.
  [[nodiscard]] std::string entry(int proxy_port = 0) const {
    return R"({"id":")" + name_ + R"(","addr":")" + address_of(proxy_port > 0 ? proxy_port : port()) +
           R"(","zone":"a","kind":"std3","cell":1,"state":"SERVING","weight":1.0,"started_ms":0,"recovery":")" +
           (primary ? "off" : "on") + "\"}";
  }
  std::atomic<bool> primary;
  std::atomic<int> work_ms{20};

 private:
  void serve(const std::shared_ptr<Socket>& socket) {
    MessageReader reader(*socket);
    const Session session{socket, *this};
    if (reader.startup() && session.send(message('R', std::string(4, '\0')) + session.tail()))
      while (const auto received = reader.next()) {
        if (received->type != 'Q') break;
        const std::string sql = received->body.substr(0, received->body.size() - 1);
        if (sql == "SHOW health") {
          const auto at = unix_ms() - (primary ? 0 : 10);
          char report[96];
          std::snprintf(report, sizeof report, "x0=%.3f,x1=%d,pending=0", static_cast<double>(at) / 1000,
                        primary ? 1 : 0);
          if (!session.send(row_messages(report) + ready_message())) break;
          continue;
        }
        const auto query = parse_query(sql);
        record_.line(name_, " got ", query.id, ' ', query.class_name);
        if (!(handler_ ? handler_(session, query) : serve_query(session, query))) break;
      }
    socket->shut_down();
  }
  std::string name_;
  Record& record_;
  Handler handler_;
  Server server_;
};

// ---- discovery ----

/// Discovery: each watch gets the whole list, then an empty line every 2 s.
class Discovery {
 public:
  explicit Discovery(std::string list)
      : list_(std::move(list)), server_([this](const std::shared_ptr<Socket>& socket) { serve(*socket); }) {}
  [[nodiscard]] int port() const { return server_.port(); }
  [[nodiscard]] int calls() const { return calls_; }

 private:
  static std::string chunk(const std::string& text) {
    char size[20];
    std::snprintf(size, sizeof size, "%zx\r\n", text.size());
    return size + text + "\r\n";
  }
  void serve(const Socket& socket) {
    std::string head;
    while (head.find("\r\n\r\n") == std::string::npos) {
      const auto bytes = socket.read_some();
      if (bytes.empty()) return;
      head += bytes;
    }
    ++calls_;
    const std::string start = "HTTP/1.1 200 OK\r\nContent-Type: application/json\r\n";
    if (head.find("follow=1") == std::string::npos) {
      (void)socket.send(start + "Content-Length: " + std::to_string(list_.size()) + "\r\n\r\n" + list_);
      return;
    }
    if (!socket.send(start + "Transfer-Encoding: chunked\r\n\r\n" + chunk(list_ + "\n"))) return;
    while (!server_.stopping()) {
      if (socket.readable(2000)) return;
      if (!socket.send(chunk("\n"))) return;
    }
  }
  std::string list_;
  std::atomic<int> calls_{0};
  Server server_;
};
inline std::string list_of(const std::vector<std::string>& entries) {
  std::string out = R"({"version":1,"full":true,"servers":[)";
  for (std::size_t i = 0; i < entries.size(); ++i) out += (i > 0 ? "," : "") + entries[i];
  return out + "]}";
}

// ---- settings ----

/// One request class as the settings list it.
struct ClassSettings {
  std::string name, need, effect;
  int aim_ms, deadline_ms, window_ms = 5000, bound_ms = 0;
};
/// The classes of a small deployment that keeps a bid ledger.
inline std::vector<ClassSettings> ledger_classes() {
  return {{"desk-view", "lag_bound", "read_like", 300, 750, 5000, 200},
          {"history", "eventual", "read_like", 300, 1000},
          {"gate-check", "strong", "read_like", 200, 800},
          {"bid-submit", "mutate", "idempotency_key", 750, 2000, 1200}};
}
/// The platform's configuration file of gateway g0, one of two gateways.
inline std::string config_of(const std::string& list, int discovery_port,
                             const std::vector<ClassSettings>& classes, int memory_mb = 64,
                             int sockets = 512) {
  std::string class_list;
  std::string needs;
  std::string bounds;
  for (const auto& entry : classes) {
    const std::string comma = class_list.empty() ? "" : ",";
    class_list += comma + R"({"name":")" + entry.name + R"(","aim":)" + std::to_string(entry.aim_ms) +
                  R"(,"deadline":)" + std::to_string(entry.deadline_ms) +
                  R"(,"importance":1,"late_worth":0.2,"effect":")" + entry.effect +
                  R"(","group":"cell","window":)" + std::to_string(entry.window_ms) + R"(,"streamed":false})";
    needs += comma + '"' + entry.need + '"';
    bounds += comma + std::to_string(entry.bound_ms);
  }
  return R"({"name":"g0","listen":"127.0.0.1:0","discovery":")" + address_of(discovery_port) +
         R"(","seed":"5eed5eed","limits":{"cores":1.0,"memory_mb":)" + std::to_string(memory_mb) +
         R"(,"sockets":)" + std::to_string(sockets) + R"(},"known":)" + list +
         R"(,"settings":{"az":"a","zones":["a"],"balancers":2,"position":0,"registry_mode":"subscribe","classes":[)" +
         class_list +
         R"(],"realms":[{"name":"desk","portion":1,"quota_per_s":1000}],"specifics":{"checks":"bounce",)" +
         R"("class_bound":[)" + bounds + R"(],"needs_by_class":[)" + needs +
         R"(],"list_role":"trailing","stamps":true,"token_mode":"brought","patience":0},)" +
         R"("limits":{"may_probe":true,"cancel":true,"retry_after":true,"max_retry_after":500,"send_cap":6,)" +
         R"("second_copies":false,"connect_timeout":250,"idle_close":30000},"guarantees":{"ask_within":10000,)" +
         R"("answer_slack":20,"cold":14000,"cold_from":0.17,"tip_multiple":2,"tip_after":2000,)" +
         R"("stop_sending_within":1000},"prices":{"probe":0.01},"quantum":5}})";
}

// ---- the platform ----

/// The environment of a case: the deploy file's command, the folder of the record, a temporary folder.
struct Setup {
  std::string run_command, case_dir, temporary_dir;
  bool trouble = true;
};

/// A gateway, started with the deploy file's command. It is killed when this object or the process ends.
class Gateway {
 public:
  /// `gateway_file`: text of the gateway's own file; empty: the repository's.
  Gateway(const Setup& setup, const std::string& config, Record& record, const std::string& gateway_file = {})
      : record_(record),
        config_path_(setup.temporary_dir + "/config.json"),
        log_path_(setup.temporary_dir + "/log") {
    configure(config);
    std::ofstream(log_path_, std::ios::trunc).flush();
    const auto tmpdir = setup.temporary_dir + "/tmpdir";
    const auto own_file = setup.temporary_dir + "/gateway.json";
    if (!gateway_file.empty()) std::ofstream(own_file, std::ios::trunc) << gateway_file;
    pid_ = ::fork();
    if (pid_ < 0) throw std::runtime_error("cannot start a process");
    if (pid_ == 0) {
      ::prctl(PR_SET_PDEATHSIG, SIGKILL);
      const int log = ::open(log_path_.c_str(), O_WRONLY | O_CREAT | O_TRUNC, 0600);
      ::dup2(log, 1);
      ::dup2(log, 2);
      ::setenv("ROUTER_CONFIG", config_path_.c_str(), 1);
      ::setenv("ROUTER_NAME", "g0", 1);
      ::setenv("TMPDIR", tmpdir.c_str(), 1);
      for (const char* name :
           {"ROUTER_LISTEN", "ROUTER_DISCOVERY", "ROUTER_CONTROL", "CEDARRING_GATEWAY", "CEDARRING_MYSQL"})
        ::unsetenv(name);
      if (!gateway_file.empty()) ::setenv("CEDARRING_GATEWAY", own_file.c_str(), 1);
      ::execl("/bin/sh", "sh", "-c", setup.run_command.c_str(), nullptr);
      ::_exit(127);
    }
    port_ = wait_listening("postgresql");
    record_.line("gateway listens on port ", port_);
  }
  ~Gateway() {
    signal(SIGKILL);
    (void)wait_exit(10'000);
  }
  Gateway(const Gateway&) = delete;
  Gateway& operator=(const Gateway&) = delete;
  [[nodiscard]] int port() const { return port_; }
  /// Where MySQL clients connect.
  [[nodiscard]] int mysql_port() { return wait_listening("mysql"); }
  void configure(const std::string& config) const {
    const auto next = config_path_ + ".next";
    std::ofstream(next, std::ios::trunc) << config;
    if (std::rename(next.c_str(), config_path_.c_str()) != 0) throw std::runtime_error("cannot write a file");
  }
  void signal(int number) const {
    if (running_) ::kill(pid_, number);
  }
  /// Whether the process has ended within this time.
  bool wait_exit(int timeout_ms) {
    for (const auto until = Clock::now() + std::chrono::milliseconds(timeout_ms); running_;) {
      int status = 0;
      if (::waitpid(pid_, &status, WNOHANG) == pid_) {
        running_ = false;
        record_.line("gateway ended: ", WIFSIGNALED(status)
                                            ? "signal " + std::to_string(WTERMSIG(status))
                                            : "exit code " + std::to_string(WEXITSTATUS(status)));
      } else if (Clock::now() >= until) {
        return false;
      } else {
        sleep_ms(2);
      }
    }
    return true;
  }
  /// A figure of /proc/PID/status in KiB, such as RssAnon; 0 if there is none.
  [[nodiscard]] long status_kb(const std::string& name) const {
    std::ifstream status("/proc/" + std::to_string(pid_) + "/status");
    for (std::string text; std::getline(status, text);)
      if (text.rfind(name + ":", 0) == 0) return std::strtol(text.c_str() + name.size() + 1, nullptr, 10);
    return 0;
  }
  [[nodiscard]] std::string log() const {
    std::ifstream in(log_path_);
    std::stringstream text;
    text << in.rdbuf();
    return text.str();
  }
  /// Whether the log contains this text within the time.
  [[nodiscard]] bool wait_log(const std::string& text, int timeout_ms) const {
    for (const auto until = Clock::now() + std::chrono::milliseconds(timeout_ms); Clock::now() < until;
         sleep_ms(5))
      if (log().find(text) != std::string::npos) return true;
    return false;
  }

 private:
  int wait_listening(const std::string& front) {
    const std::string mark = "listening " + front + " 127.0.0.1:";
    for (const auto until = Clock::now() + std::chrono::seconds(15); Clock::now() < until; sleep_ms(10)) {
      const auto text = log();
      const auto at = text.find(mark);
      if (at != std::string::npos && text.find('\n', at) != std::string::npos)
        return std::atoi(text.c_str() + at + mark.size());
      if (wait_exit(0)) break;
    }
    throw std::runtime_error("the gateway does not start: " + log());
  }
  Record& record_;
  std::string config_path_, log_path_;
  pid_t pid_ = -1;
  bool running_ = true;
  int port_ = 0;
};

// ---- clients ----

/// The answer to one request.
struct Answer {
  enum Kind { served, refused, failed, ended, silent } kind = silent;
  std::string value, code;
};
inline const char* name_of(Answer::Kind kind) {
  static constexpr const char* names[] = {"served", "refused", "failed", "connection ended without an answer",
                                          "no answer"};
  return names[kind];
}
/// A client's connection.
class Client {
 public:
  explicit Client(int port) : socket_(connect_loopback(port)), reader_(socket_) {
    if (!socket_.valid() || !socket_.send(startup_message())) throw std::runtime_error("cannot connect");
    if (read(5000).kind != Answer::served) throw std::runtime_error("the gateway does not welcome a client");
  }
  Client(const Client&) = delete;
  Client& operator=(const Client&) = delete;
  [[nodiscard]] bool send(std::string_view sql) const { return socket_.send(query_message(sql)); }
  [[nodiscard]] bool send_raw(std::string_view bytes) const { return socket_.send(bytes); }
  /// Reads up to the next ReadyForQuery.
  Answer read(int timeout_ms) {
    Answer answer;
    answer.kind = Answer::served;
    const auto until = Clock::now() + std::chrono::milliseconds(timeout_ms);
    for (;;) {
      const auto left = std::chrono::duration_cast<std::chrono::milliseconds>(until - Clock::now()).count();
      const auto received = reader_.next(static_cast<int>(left > 0 ? left : 0));
      if (!received) {
        answer.kind = reader_.ended() ? Answer::ended : Answer::silent;
        return answer;
      }
      if (received->type == 'D') answer.value = received->body.size() > 6 ? received->body.substr(6) : "";
      if (received->type == 'E') {
        const auto code = received->body.find("\0C", 0, 2);
        answer.code = code == std::string::npos ? "" : received->body.substr(code + 2, 5);
        answer.kind = answer.code == "53300" || answer.code == "57P03" ? Answer::refused : Answer::failed;
      }
      if (received->type == 'Z') return answer;
    }
  }
  [[nodiscard]] const Socket& socket() const { return socket_; }
  void close() { socket_.close(); }

 private:
  Socket socket_;
  MessageReader reader_;
};
inline std::string read_sql(const std::string& key, const std::string& id, const std::string& class_name,
                            int deadline_ms, const std::string& more = "") {
  return "SELECT v FROM records WHERE k = '" + key + "' /* id=" + id + ",c=" + class_name +
         ",t=desk,d=" + std::to_string(deadline_ms) + more + ",cluster=1 */";
}
inline std::string write_sql(const std::string& key, const std::string& id, const std::string& class_name,
                             int deadline_ms, const std::string& more = "",
                             const std::string& value = "\\x9f03") {
  return "INSERT INTO records (k, v) VALUES ('" + key + "', '" + value + "') RETURNING v /* id=" + id +
         ",c=" + class_name + ",t=desk,d=" + std::to_string(deadline_ms) + more + ",cluster=1 */";
}

/// Threads of a case. join() throws what one of them has thrown.
class Threads {
 public:
  ~Threads() {
    for (auto& thread : threads_)
      if (thread.joinable()) thread.join();
  }
  void run(std::function<void()> work) {
    threads_.emplace_back([this, work = std::move(work)] {
      try {
        work();
      } catch (const std::exception& error) {
        const std::lock_guard<std::mutex> lock(mutex_);
        if (error_.empty()) error_ = error.what();
      }
    });
  }
  void join() {
    for (auto& thread : threads_) thread.join();
    threads_.clear();
    if (!error_.empty()) throw std::runtime_error(error_);
  }

 private:
  std::mutex mutex_;
  std::string error_;
  std::vector<std::thread> threads_;
};

/// Runs a case: exit code 1 if the rule was broken, 0 if it held, 2 if the case could not run. Arguments: the
/// command of the deploy file, the folder of the record, a temporary folder; TROUBLE=0 in the environment
/// leaves the disruption out.
inline int run_case(int argc, char** argv, const std::function<bool(const Setup&, Record&)>& rule_held) {
  if (argc != 4) {
    std::fprintf(stderr, "use run.sh\n");
    return 2;
  }
  std::signal(SIGPIPE, SIG_IGN);
  const char* trouble = std::getenv("TROUBLE");
  const Setup setup{argv[1], argv[2], argv[3], !trouble || std::string(trouble) != "0"};
  Record record(setup.case_dir + "/record.txt");
  try {
    record.line(setup.trouble ? "with the disruption" : "without the disruption");
    const bool held = rule_held(setup, record);
    record.line(held ? "RULE HELD" : "RULE BROKEN");
    std::printf("%s\n", held ? "the rule held" : "the rule was broken: see record.txt");
    return held ? 0 : 1;
  } catch (const std::exception& error) {
    record.line("COULD NOT RUN: ", error.what());
    std::fprintf(stderr, "the case could not run: %s\n", error.what());
    return 2;
  }
}

}  // namespace standins
