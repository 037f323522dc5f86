// Test doubles on the loopback interface: PostgreSQL and MySQL hosts, the discovery service and clients; and
// the gateway program, started as a process.
#pragma once

#include <atomic>
#include <chrono>
#include <condition_variable>
#include <functional>
#include <list>
#include <map>
#include <memory>
#include <mutex>
#include <optional>
#include <set>
#include <string>
#include <thread>
#include <vector>

#include "wire/connection.h"
#include "wire/mysql.h"

namespace cedarring::test {

using namespace std::chrono_literals;

/// How long the helpers wait for an expected event; only a failing test waits this long.
inline constexpr auto response_timeout = 20s;

/// A blocking socket whose reads fail after `response_timeout`.
class Socket {
 public:
  explicit Socket(wire::Fd fd);
  /// Opens a TCP connection to "ip:port".
  static Socket to(const std::string& address);
  /// The same with a receive buffer of this size, which the kernel does not enlarge.
  static Socket to(const std::string& address, int receive_buffer_bytes);
  /// Sets the peer of a datagram socket; returns whether that succeeded.
  bool connect(const std::string& address);
  /// Sends all bytes; false if the connection broke. With `last`, the end of the stream is sent in the same
  /// segment as the bytes.
  bool send(std::string_view bytes, bool last = false);
  /// Reads exactly `n` bytes; nullopt if the stream ended or timed out before.
  std::optional<std::string> read(std::size_t n);
  /// Waits for the peer; true if it has closed or reset the connection, false if it sends or nothing happens.
  bool ended();
  /// Like ended(), but true only for an orderly close, not for a reset.
  bool ended_in_order();
  /// Closes the connection with a reset.
  void reset();
  /// Shuts down both directions, which also wakes a thread that is reading.
  void shut_down();
  [[nodiscard]] int fd() const { return fd_.get(); }

 private:
  wire::Fd fd_;
};

/// How a stand-in host treats the next request.
enum class Behavior {
  raw,                ///< sends the bytes given to answer_once_with(), then serves; set by that call
  hold,               ///< waits until another behavior is set, then resets if that is `reset`, else answers
  serve,              ///< answers
  serve_and_close,    ///< answers and closes the connection (MySQL: answers)
  stop_reading,       ///< leaves requests unread until another behavior is set
  withhold_greeting,  ///< accepts connections but never completes their startup (MySQL: as hang)
  hang,               ///< never answers
  reset,              ///< resets the connection
  reset_once,         ///< resets the connection of one request, then serves
  reject_as_full,     ///< answers that it has too many connections
  reject_as_stale,    ///< answers that it cannot take the request: read-only, or its data is too old
  error               ///< answers with an error of the statement
};

/// A host that records the requests it receives. It runs one thread for each connection and joins them all
/// when it is destroyed.
class Host {
 public:
  Host();
  virtual ~Host() = default;
  [[nodiscard]] const std::string& address() const { return address_; }
  std::atomic<Behavior> behavior{Behavior::serve};
  /// Sends these bytes in place of the next answer. Sets the behavior to `raw`, until that request arrives.
  void answer_once_with(const std::string& bytes);
  /// Whether the connection is closed behind the bytes of answer_once_with() (PostgreSQL only).
  std::atomic<bool> close_after_raw{false};
  std::atomic<bool> primary{false};
  /// While true, a second copy of each answer to a request is sent late: before the next message is handled.
  std::atomic<bool> copies_answers{false};
  /// While false, validation queries are read but not answered.
  std::atomic<bool> answers_validations{true};
  /// Number of bytes that are appended to each value.
  std::atomic<int> padding_bytes{0};
  /// Replication lag that the host reports, in milliseconds.
  std::atomic<int> replica_lag_ms{20};
  /// While true, the startup of new connections is not answered.
  std::atomic<bool> withholds_startup{false};
  /// Number of connections whose startup has been withheld.
  std::atomic<int> withheld_startups{0};
  /// While true, statements are not prepared (MySQL only).
  std::atomic<bool> withholds_prepare{false};
  /// Number of further connections that it accepts. Each open connection takes one away; without one left it
  /// answers that it is full and closes (PostgreSQL only).
  std::atomic<int> connection_limit{1 << 20};
  /// Number of connections that were rejected for `connection_limit`.
  std::atomic<int> rejected_connections{0};
  /// Number of answers sent to requests (PostgreSQL only).
  std::atomic<int> answered{0};
  /// While false, probes are read but not answered (PostgreSQL only).
  std::atomic<bool> answers_probes{true};
  /// Number of unanswered probes whose connections are open.
  std::atomic<int> pending_probes{0};
  /// The id of each received request, in order of arrival. Probes do not count.
  std::vector<std::string> seen();
  std::size_t count() { return seen().size(); }
  /// Length of the longest received statement, in bytes (PostgreSQL only).
  [[nodiscard]] std::size_t longest_statement() const { return longest_statement_; }
  /// Waits until this many requests have arrived; false on timeout.
  bool wait_for(std::size_t requests);
  /// Waits until the gateway has closed this many connections whose request hung; false on timeout.
  bool wait_ended(std::size_t connections);
  /// Waits until the gateway has closed this many connections, or ended its sending on them, whose request
  /// was left unread by Behavior::stop_reading; false on timeout.
  bool wait_given_up_unread(std::size_t connections);
  /// Number of statements that were prepared.
  std::size_t prepared();

 protected:
  std::atomic<std::size_t> longest_statement_{0};
  /// Ends all threads; the most derived destructor must call it.
  void stop();
  /// Serves one connection until it ends.
  virtual void serve(Socket& socket) = 0;
  /// Records a request and returns how to treat it.
  Behavior arrived(const std::string& id);
  /// Waits for the end of the connection and counts it for wait_ended().
  void hang(Socket& socket);
  /// Waits for the next request, and while the behavior is `stop_reading` leaves it unread.
  void await_request(Socket& socket);
  /// The answer to `SHOW health`, the gateway's probe: replication position, role and pending requests.
  std::string health() const;
  /// Waits while the behavior is `hold`; returns whether the connection is to be reset.
  bool reset_after_hold();
  /// Waits while the condition holds, until the host is stopped.
  void wait_while(const std::atomic<bool>& condition);
  /// Waits while withholds_startup is set.
  void await_startup();
  /// Counts a prepared statement.
  void count_prepare();
  /// The bytes given to answer_once_with().
  std::string raw();

 private:
  void accept_all();
  wire::Fd listener_;
  std::string address_;
  std::mutex mutex_;
  std::condition_variable changed_;
  std::vector<std::string> seen_;
  std::size_t ended_ = 0;            // connections, while their request hung
  std::size_t given_up_unread_ = 0;  // connections, see wait_given_up_unread()
  std::size_t prepared_ = 0;
  bool stopping_ = false;
  std::string raw_;
  std::list<std::shared_ptr<Socket>> sockets_;
  std::vector<std::thread> threads_;
  std::thread accepting_;
};

/// A stand-in for a PostgreSQL server.
class PgStandIn : public Host {
 public:
  /// The messages of an answer with this value: row description, row and command completion, without
  /// ReadyForQuery.
  static std::string row(const std::string& value);
  /// One message of the wire protocol.
  static std::string message(char type, const std::string& body);
  ~PgStandIn() override { stop(); }

 private:
  void serve(Socket& socket) override;
};

/// A stand-in for a MySQL server.
class MysqlStandIn : public Host {
 public:
  ~MysqlStandIn() override { stop(); }
  /// Whether it answers that the statements it has prepared are unknown.
  std::atomic<bool> forget_statements{false};

 private:
  void serve(Socket& socket) override;
};

/// One entry of a member list, as the discovery service sends it. `started_ms`: start of the host as Unix
/// time in milliseconds, 0: unknown.
std::string member(const std::string& id, const std::string& address, bool primary,
                   const std::string& state = "SERVING", std::int64_t started_ms = 0);
/// A member list; with `full` false only the changes since the last one.
std::string list_of(int version, const std::vector<std::string>& members, bool full = true);

/// A stand-in for the discovery service. Each watch receives the same first list, then the lists that the
/// test sends.
class Discovery {
 public:
  /// The first `busy` calls are answered with 503, as the service does for a call that waited too long.
  explicit Discovery(std::string first_list, int busy = 0);
  ~Discovery();
  [[nodiscard]] const std::string& address() const { return address_; }
  /// Waits until `n` watches have been opened; false on timeout.
  bool wait_watches(std::size_t n);
  /// Sends a list on the last watch.
  void send_list(const std::string& list);
  /// Sends the bytes on the last watch inside a chunk that is never completed; with `end`, closes the
  /// connection behind them.
  void send_partial_chunk(const std::string& bytes, bool end);
  /// Sends the bytes on the last watch as they are.
  void send_raw(const std::string& bytes);
  /// Resets the connection of the last watch.
  void reset_last_watch();
  /// Replaces the first list of all watches opened from now on.
  void set_first_list(const std::string& list);
  /// Number of watches opened so far.
  std::size_t watches();
  /// While false, calls are read but not answered.
  std::atomic<bool> answering{true};
  /// Number of calls read so far.
  std::atomic<int> call_count{0};

 private:
  void run();
  /// Sends a list as a whole chunk. The caller holds the lock.
  void send_on_last_watch(const std::string& list);
  std::string first_list_;
  int busy_;  // calls that are still to be answered with 503
  wire::Fd listener_;
  std::string address_;
  std::mutex mutex_;
  std::condition_variable changed_;
  std::vector<std::shared_ptr<Socket>> watches_;
  bool stopping_ = false;
  std::thread thread_;
};

/// The gateway program, running as a child process. The destructor kills it if it still runs.
class GatewayProcess {
 public:
  /// Starts the program with this configuration. A `mysql` text that is not empty becomes its MySQL
  /// configuration file, a `gateway` text that is not empty its gateway file; in the latter, @DIR@ stands for
  /// a directory that exists as long as this object.
  GatewayProcess(const std::string& config, const std::string& mysql = "", const std::string& gateway = "");
  /// Starts a second process of the same gateway, in the directory of `before`; `listen` is the address of
  /// the PostgreSQL listener if the process announces none.
  explicit GatewayProcess(const GatewayProcess& before, const std::string& listen);
  /// Path of the program that is started.
  inline static std::string program = CEDARRING_GATEWAY;
  /// Tells the constructor not to wait for the listeners: wait_listeners() has to be called.
  struct StartInBackground {};
  GatewayProcess(const GatewayProcess& before, StartInBackground);
  /// Reads output until the process has announced its listeners; false if it ends before.
  bool wait_listeners();
  ~GatewayProcess();
  /// Addresses of the listeners; empty where there is none.
  [[nodiscard]] const std::string& pg() const { return pg_; }
  [[nodiscard]] const std::string& mysql() const { return mysql_; }
  [[nodiscard]] const std::string& dns() const { return dns_; }
  [[nodiscard]] const std::string& control() const { return control_; }
  /// Everything read from standard output and standard error so far.
  [[nodiscard]] const std::string& output() const { return output_; }
  /// Sends a signal to the process.
  void signal(int number) const;
  /// Stops the process until it gets SIGCONT; returns once it is stopped.
  void suspend() const;
  /// Resident memory of the process now, in KiB.
  [[nodiscard]] long resident_kb() const;
  /// Replaces the configuration file.
  void configure(const std::string& config) const;
  /// Replaces the gateway file; @DIR@ as in the constructor.
  void configure_gateway(const std::string& gateway) const;
  /// The directory with the files and sockets of the process.
  [[nodiscard]] const std::string& dir() const { return dir_; }
  /// Runs `cedarring ctl` with these arguments; returns its output, followed by "exit " and the exit code.
  std::string ctl(const std::string& arguments) const;
  /// Reads output until the text has occurred this often since the start; false if the output ends before.
  bool wait_output(const std::string& text, int times);
  /// Waits for the end of the process; returns its exit code, or 128 plus the number of the signal.
  int wait_exit();

 private:
  bool read_line(std::string& line);
  /// Starts the program. `mysql` and `gateway`: whether it has these files.
  void start(bool mysql, bool gateway);
  bool second_ = false;     // the directory belongs to another process
  bool has_mysql_ = false;  // it has a MySQL configuration file
  bool has_gateway_file_ = false;
  std::string dir_;
  std::string pg_;
  std::string mysql_;
  std::string dns_;
  std::string control_;
  std::string output_;
  wire::Fd out_;
  int pid_ = -1;
  std::optional<int> status_;  // as wait_exit() returns it
};

/// Path of the handover socket in the directory of a process; empty if there is none.
std::string handover_socket(const std::string& dir);

/// A configuration of the gateway with five request classes: reads `view` (bounded), `history` (any) and
/// `gate` (fresh), writes `bid` (keyed) and `pay` (unsafe). `discovery`: its address. `known`: the member
/// list to start with. `more` is appended to the settings.
std::string config_json(const std::string& discovery, const std::string& known, const std::string& more = "");
/// A configuration of the MySQL listener; `known`: the member list to start with.
std::string mysql_json(const std::string& known);
/// The configuration with another key in front, given as JSON ("key":value).
std::string with_key(const std::string& config, const std::string& key_and_value);

/// `text` with the first occurrence of `from` replaced; throws std::runtime_error if there is none.
std::string replaced(std::string text, const std::string& from, const std::string& to);

/// The answer to a call to the control endpoint.
struct HttpReply {
  int status = 0;  ///< 0 if there was no answer
  std::string head;
  std::string body;
};
/// Reads an answer up to the end of the connection.
HttpReply read_reply(Socket& socket);
/// Makes one call to the control endpoint at this address.
HttpReply call(const std::string& address, const std::string& method, const std::string& path);
/// The value of a metric, such as app_ok{kind="view"}; -1 if the text has none of this name.
long metric_value(const std::string& metrics, const std::string& name);

/// An answer of the PostgreSQL protocol.
struct PgAnswer {
  std::string types;   ///< the types of its messages, in order
  std::string code;    ///< SQLSTATE of the error, if any
  std::string detail;  ///< detail field of the error, if any
  std::string value;   ///< value of the only column, if there is a row
};

/// A PostgreSQL client that reads whole answers.
class PgClient {
 public:
  /// Connects; with `start`, completes the startup as well.
  explicit PgClient(const std::string& address, bool start = true);
  /// Uses a socket that is connected already, and completes the startup.
  explicit PgClient(Socket connected);
  Socket socket;
  /// Reads up to ReadyForQuery, or up to the end of the connection.
  PgAnswer read_answer();
  /// Sends a simple query and reads its answer.
  PgAnswer query(const std::string& sql);
};
/// The bytes of a startup message.
std::string pg_startup();
/// The bytes of a simple query.
std::string pg_query(const std::string& sql);
/// A statement with the routing comment that the gateway reads: request id, contract (request class), tenant,
/// deadline in milliseconds. `more` is appended to the comment.
std::string statement(const std::string& id, const std::string& contract, int deadline_ms = 5000,
                      const std::string& more = "");

/// A MySQL client that sends single packets, for requests that client libraries do not send.
class MysqlRaw {
 public:
  /// Connects and authenticates.
  explicit MysqlRaw(const std::string& address);
  Socket socket;
  /// The payload of the next packet; nullopt at the end of the connection.
  std::optional<std::string> read_packet();
  /// Sends a command packet.
  void command(std::string_view payload);
  /// Prepares a statement without parameters; returns its id.
  std::uint32_t prepare(const std::string& sql);
  /// Reads an error packet; an empty error at the end of the connection.
  wire::mysql::Error read_error();
};

}  // namespace cedarring::test
