// Stand-ins for the tests: hosts of both protocols, discovery, clients, and the started program. Loopback
// only.
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
inline constexpr auto patience = 20s;  // for what must come: only a failing test waits this long

/// A blocking socket whose reads end after `patience`.
class Socket {
 public:
  explicit Socket(wire::Fd fd);
  static Socket to(const std::string& address);
  bool connect(const std::string& address);              // of a datagram socket
  bool send(std::string_view bytes, bool last = false);  // last: the end comes in the same segment
  /// Exactly n bytes; nothing at the end of the stream.
  std::optional<std::string> read(std::size_t n);
  /// True once the peer has closed or reset.
  bool ended();
  bool ended_in_order();  // by an end, not a reset
  void reset();           // with RST
  void shut_down();       // wakes a reader of another thread
  [[nodiscard]] int fd() const { return fd_.get(); }

 private:
  wire::Fd fd_;
};

// serve_last: and closes; mute: welcomes nobody; reset_once: serves from then on
// raw: what say_once() set; hold: serves once it is told another act
enum class Act { raw, hold, serve, serve_last, mute, hang, reset, reset_once, full, miss, error };

/// A host that counts what it is asked to run. One thread a connection; all are joined at the end.
class Host {
 public:
  Host();
  virtual ~Host() = default;
  [[nodiscard]] const std::string& address() const { return address_; }
  std::atomic<Act> act{Act::serve};
  void say_once(const std::string& bytes);  // in place of its next answer
  std::atomic<bool> ends_after_raw{false};  // closes behind that
  std::atomic<bool> primary{false};
  std::atomic<int> padding{0};     // bytes behind its value (PostgreSQL)
  std::atomic<int> behind_ms{20};  // of what it says it holds
  std::atomic<int> places{
      1 << 20};  // connections that it holds; one beyond is told so and closed (PostgreSQL)
  std::atomic<int> turned_away{0};
  /// What came: the id of each request, in order of arrival.
  std::vector<std::string> seen();
  std::size_t count() { return seen().size(); }
  [[nodiscard]] std::size_t longest() const { return longest_; }  // statement, in bytes
  bool wait_for(std::size_t requests);
  bool wait_ended(std::size_t connections);  // connections that the gateway closed while a request hung
  std::size_t prepared();

 protected:
  std::atomic<std::size_t> longest_{0};
  void stop();  // by the most derived destructor
  virtual void serve(Socket& socket) = 0;
  Act arrived(const std::string& id);
  void hang(Socket& socket);
  std::string health() const;
  void count_prepare();
  std::string raw();

 private:
  void accept_all();
  wire::Fd listener_;
  std::string address_;
  std::mutex mutex_;
  std::condition_variable changed_;
  std::vector<std::string> seen_;
  std::size_t ended_ = 0, prepared_ = 0;
  bool stopping_ = false;
  std::string raw_;
  std::list<std::shared_ptr<Socket>> sockets_;
  std::vector<std::thread> threads_;
  std::thread accepting_;
};

class PgStandIn : public Host {
 public:
  /// The messages of an answer with this value.
  static std::string row(const std::string& value);
  static std::string message(char type, const std::string& body);
  ~PgStandIn() override { stop(); }

 private:
  void serve(Socket& socket) override;
};
class MysqlStandIn : public Host {
 public:
  ~MysqlStandIn() override { stop(); }
  std::atomic<bool> forget{false};  // does not know its statements any more

 private:
  void serve(Socket& socket) override;
};

/// One entry of a list in discovery's form.
std::string member(const std::string& id, const std::string& address, bool primary,
                   const std::string& state = "SERVING", std::int64_t started_ms = 0);
std::string list_of(int version, const std::vector<std::string>& members, bool full = true);

/// Discovery: tells the same first list to each watch, then what tell() says.
class Discovery {
 public:
  /// The first `busy` calls are answered with 503, as one that waited too long is.
  explicit Discovery(std::string first, int busy = 0);
  ~Discovery();
  [[nodiscard]] const std::string& address() const { return address_; }
  bool wait_watches(std::size_t n);
  void tell(const std::string& list);
  /// Sends the bytes inside an unfinished chunk of the last watch and, where told, ends its connection.
  void blurt(const std::string& bytes, bool end);
  void raw(const std::string& bytes);         // to the last watch, as they are
  void drop();                                // resets the last watch
  void tell_first(const std::string& first);  // to watches that come from now on
  std::size_t watches();
  /// From now on a call is heard and answered only when this says so.
  std::atomic<bool> answers{true};
  std::atomic<int> calls{0};

 private:
  void run();
  void tell_last(const std::string& list);
  std::string first_;
  int busy_;
  wire::Fd listener_;
  std::string address_;
  std::mutex mutex_;
  std::condition_variable changed_;
  std::vector<std::shared_ptr<Socket>> watches_;
  bool stopping_ = false;
  std::thread thread_;
};

/// The started program.
class Program {
 public:
  /// With a MySQL front if `mysql` (its file) is not empty, and with a gateway's file if that is not; in the
  /// latter
  /// @DIR@ stands for a folder that lasts as long as the program.
  Program(const std::string& config, const std::string& mysql = "", const std::string& gateway = "");
  /// A second process of the same gateway: the other's file and folder.
  explicit Program(const Program& before, const std::string& listen);
  ~Program();
  [[nodiscard]] const std::string& pg() const { return pg_; }
  [[nodiscard]] const std::string& mysql() const { return mysql_; }
  [[nodiscard]] const std::string& dns() const { return dns_; }
  [[nodiscard]] const std::string& control() const { return control_; }
  [[nodiscard]] const std::string& output() const { return output_; }
  void signal(int number) const;
  void stand_still() const;                         // until SIGCONT; returns once it does
  [[nodiscard]] long resident_kb() const;           // of its process, now
  void configure(const std::string& config) const;  // replaces its file
  void configure_gateway(const std::string& gateway) const;
  [[nodiscard]] const std::string& dir() const { return dir_; }
  /// What `cedarring ctl` prints for these words; its exit code behind it.
  std::string ctl(const std::string& words) const;
  bool wait_output(const std::string& text, int times);  // until it has said it so often
  int wait_exit();

 private:
  bool read_line(std::string& line);
  void start(bool mysql, bool gateway);
  bool second_ = false, gateway_ = false;
  std::string dir_, pg_, mysql_, dns_, control_, output_;
  wire::Fd out_;
  int pid_ = -1;
  std::optional<int> status_;
};
std::string config_json(const std::string& discovery, const std::string& known, const std::string& more = "");
std::string mysql_json(const std::string& known);
/// The same configuration with a key put in front.
std::string with_key(const std::string& config, const std::string& key_and_value);

/// One call at the operators' door.
struct DoorReply {
  int status = 0;  // 0: no answer
  std::string head, body;
};
DoorReply read_reply(Socket& socket);
DoorReply call(const std::string& address, const std::string& method, const std::string& path);
/// The value of a figure, such as app_ok{kind="view"}; -1 where it does not stand there.
long figure(const std::string& metrics, const std::string& name);

/// A PostgreSQL client that reads whole answers: the types of the messages and the fields of interest.
struct PgAnswer {
  std::string types, code, detail, value;
};
class PgClient {
 public:
  explicit PgClient(const std::string& address, bool start = true);
  Socket socket;
  PgAnswer read_answer();  // up to ReadyForQuery, or the end
  PgAnswer query(const std::string& sql);
};
std::string pg_startup();
std::string pg_query(const std::string& sql);
/// A statement in PROTOCOL's form.
std::string statement(const std::string& id, const std::string& contract, int deadline_ms = 5000,
                      const std::string& more = "");

/// A MySQL client that speaks raw packets, for what client libraries don't.
class MysqlRaw {
 public:
  explicit MysqlRaw(const std::string& address);
  Socket socket;
  std::optional<std::string> read_packet();
  void command(std::string_view payload);
  std::uint32_t prepare(const std::string& sql);  // of statements without parameters
  wire::mysql::Error read_error();
};

}  // namespace cedarring::test
