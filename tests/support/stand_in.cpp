#include "support/stand_in.h"

#include <arpa/inet.h>
#include <dirent.h>
#include <fcntl.h>
#include <netinet/in.h>
#include <poll.h>
#include <signal.h>
#include <spawn.h>
#include <sys/socket.h>
#include <sys/wait.h>
#include <unistd.h>

#include <algorithm>
#include <cstdlib>
#include <fstream>
#include <stdexcept>

#include "wire/pg.h"
#include "wire/statement.h"

namespace cedarring::test {
namespace my = wire::mysql;
namespace {
constexpr int poll_step_ms = 1;
constexpr std::size_t unread_peek_size = 1024;  // bytes that hold a short request with its id
}  // namespace

Socket::Socket(wire::Fd fd) : fd_(std::move(fd)) {
  fcntl(fd_.get(), F_SETFL, fcntl(fd_.get(), F_GETFL) & ~O_NONBLOCK);
  const timeval read_timeout{std::chrono::seconds(response_timeout).count(), 0};
  setsockopt(fd_.get(), SOL_SOCKET, SO_RCVTIMEO, &read_timeout, sizeof read_timeout);
}

Socket Socket::to(const std::string& address, int receive_buffer_bytes) {
  const auto colon = address.rfind(':');
  sockaddr_in target{};
  target.sin_family = AF_INET;
  target.sin_port = htons(static_cast<std::uint16_t>(std::stoi(address.substr(colon + 1))));
  inet_pton(AF_INET, address.substr(0, colon).c_str(), &target.sin_addr);
  wire::Fd fd(::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0));
  setsockopt(fd.get(), SOL_SOCKET, SO_RCVBUF, &receive_buffer_bytes, sizeof receive_buffer_bytes);
  ::connect(fd.get(), reinterpret_cast<const sockaddr*>(&target), sizeof target);
  return Socket(std::move(fd));
}

Socket Socket::to(const std::string& address) {
  auto fd = wire::connect_to(address);
  constexpr int connect_timeout_ms = 5000;
  pollfd connecting{fd.get(), POLLOUT, 0};
  poll(&connecting, 1, connect_timeout_ms);
  return Socket(std::move(fd));
}

bool Socket::connect(const std::string& address) {
  sockaddr_in peer{};
  peer.sin_family = AF_INET;
  peer.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
  peer.sin_port = htons(static_cast<std::uint16_t>(std::atoi(address.c_str() + address.rfind(':') + 1)));
  return ::connect(fd_.get(), reinterpret_cast<sockaddr*>(&peer), sizeof peer) == 0;
}

bool Socket::send(std::string_view bytes, bool last) {
  while (!bytes.empty()) {
    const auto n = ::send(fd_.get(), bytes.data(), bytes.size(), MSG_NOSIGNAL | (last ? MSG_MORE : 0));
    if (n <= 0) return false;
    bytes.remove_prefix(static_cast<std::size_t>(n));
  }
  if (last) ::shutdown(fd_.get(), SHUT_WR);
  return true;
}

std::optional<std::string> Socket::read(std::size_t n) {
  std::string bytes(n, '\0');
  std::size_t received = 0;
  while (received < n) {
    const auto part = ::recv(fd_.get(), bytes.data() + received, n - received, 0);
    if (part <= 0) return std::nullopt;
    received += static_cast<std::size_t>(part);
  }
  return bytes;
}

bool Socket::ended() {
  char byte = 0;
  const auto n = ::recv(fd_.get(), &byte, 1, 0);
  return n == 0 || (n < 0 && errno != EAGAIN);
}

bool Socket::ended_in_order() {
  char byte = 0;
  return ::recv(fd_.get(), &byte, 1, 0) == 0;
}

void Socket::reset() {
  const linger reset_on_close{1, 0};
  setsockopt(fd_.get(), SOL_SOCKET, SO_LINGER, &reset_on_close, sizeof reset_on_close);
  fd_.reset();
}

void Socket::shut_down() { ::shutdown(fd_.get(), SHUT_RDWR); }

Host::Host() : listener_(wire::listen_on("127.0.0.1:0")), address_(wire::bound_address(listener_)) {
  fcntl(listener_.get(), F_SETFL, 0);
  accepting_ = std::thread([this] { accept_all(); });
}

void Host::accept_all() {
  for (;;) {
    auto fd = wire::accept_from(listener_.get());
    const std::lock_guard lock(mutex_);
    if (stopping_ || fd.get() < 0) return;
    auto socket = std::make_shared<Socket>(std::move(fd));
    sockets_.push_back(socket);
    threads_.emplace_back([this, socket] {
      serve(*socket);
      socket->shut_down();  // as the end of a host's session closes its connection
    });
  }
}

void Host::stop() {
  {
    const std::lock_guard lock(mutex_);
    stopping_ = true;
    for (auto& socket : sockets_) socket->shut_down();
  }
  ::shutdown(listener_.get(), SHUT_RDWR);
  accepting_.join();
  for (auto& thread : threads_) thread.join();
}

std::vector<std::string> Host::seen() {
  const std::lock_guard lock(mutex_);
  return seen_;
}

bool Host::wait_for(std::size_t requests) {
  std::unique_lock lock(mutex_);
  return changed_.wait_for(lock, response_timeout, [&] { return seen_.size() >= requests; });
}

bool Host::wait_ended(std::size_t connections) {
  std::unique_lock lock(mutex_);
  return changed_.wait_for(lock, response_timeout, [&] { return ended_ >= connections; });
}

std::size_t Host::prepared() {
  const std::lock_guard lock(mutex_);
  return prepared_;
}

void Host::count_prepare() {
  const std::lock_guard lock(mutex_);
  ++prepared_;
}

Behavior Host::arrived(const std::string& id) {
  const std::lock_guard lock(mutex_);
  seen_.push_back(id);
  changed_.notify_all();
  const Behavior current = behavior;
  if (current == Behavior::reset_once || current == Behavior::raw) behavior = Behavior::serve;
  return current == Behavior::reset_once ? Behavior::reset : current;
}

void Host::hang(Socket& socket) {
  const bool ended = socket.ended();
  const std::lock_guard lock(mutex_);
  if (ended) ++ended_;
  changed_.notify_all();
}

bool Host::wait_given_up_unread(std::size_t connections) {
  std::unique_lock lock(mutex_);
  return changed_.wait_for(lock, response_timeout, [&] { return given_up_unread_ >= connections; });
}

void Host::await_request(Socket& socket) {
  pollfd readable{socket.fd(), POLLIN, 0};
  ::poll(&readable, 1, std::chrono::milliseconds(response_timeout).count());
  char unread[unread_peek_size];
  const auto size = ::recv(socket.fd(), unread, sizeof unread, MSG_PEEK | MSG_DONTWAIT);
  const std::string_view bytes(unread, size > 0 ? static_cast<std::size_t>(size) : 0);
  const bool is_request = bytes.find("id=") != std::string_view::npos;
  pollfd end_of_stream{socket.fd(), POLLRDHUP, 0};
  while (behavior == Behavior::stop_reading) {
    const bool ended = ::poll(&end_of_stream, 1, poll_step_ms) > 0;
    const std::lock_guard lock(mutex_);
    if (stopping_) return;
    if (!ended) continue;
    end_of_stream.fd = -1;  // reported once; poll() ignores the entry from now on
    if (!is_request) continue;
    ++given_up_unread_;
    changed_.notify_all();
  }
}

bool Host::reset_after_hold() {
  while (behavior == Behavior::hold) std::this_thread::sleep_for(std::chrono::milliseconds(poll_step_ms));
  return behavior == Behavior::reset;
}

void Host::wait_while(const std::atomic<bool>& condition) {
  while (condition) {
    std::this_thread::sleep_for(std::chrono::milliseconds(poll_step_ms));
    const std::lock_guard lock(mutex_);
    if (stopping_) return;
  }
}

void Host::await_startup() {
  if (!withholds_startup) return;
  ++withheld_startups;
  wait_while(withholds_startup);
}

void Host::answer_once_with(const std::string& bytes) {
  const std::lock_guard lock(mutex_);
  raw_ = bytes;
  behavior = Behavior::raw;
}

std::string Host::raw() {
  const std::lock_guard lock(mutex_);
  return raw_;
}

std::string Host::health() const {
  const auto now = std::chrono::system_clock::now().time_since_epoch();
  const auto ms = std::chrono::duration_cast<std::chrono::milliseconds>(now).count() - replica_lag_ms;
  return "x0=" + std::to_string(static_cast<double>(ms) / 1000) + ",x1=" + (primary ? "1" : "0") +
         ",pending=0";
}

namespace {

/// The current time less `lag_ms`, in milliseconds since the epoch.
std::string replayed_until_ms(int lag_ms = 5) {
  const auto now = std::chrono::system_clock::now().time_since_epoch();
  return std::to_string(std::chrono::duration_cast<std::chrono::milliseconds>(now).count() - lag_ms);
}

/// One message: its type, its length, which includes itself, and its body.
std::string pg_message(char type, const std::string& body) {
  std::string out(1, type);
  const auto length = static_cast<std::uint32_t>(body.size() + 4);
  for (int shift = 24; shift >= 0; shift -= 8)
    out += static_cast<char>(length >> static_cast<unsigned>(shift));
  return out + body;
}

/// A row description, a row of one column and the command completion.
std::string pg_row(const std::string& value) {
  std::string row("\0\1", 2);
  // pg_message() writes the length with its own four bytes, but the length of a column is that of the value
  // alone: its last byte is replaced.
  row += pg_message('x', value).substr(1);
  row[5] = static_cast<char>(value.size());
  return pg_message('T', std::string("\0\1v\0", 4) + std::string(18, '\0')) + pg_message('D', row) +
         pg_message('C', std::string("SELECT 1\0", 9));
}

/// Reads one message: its type and its body.
std::optional<std::pair<char, std::string>> pg_read(Socket& socket) {
  const auto head = socket.read(5);
  if (!head) return std::nullopt;
  std::uint32_t length = 0;
  for (int i = 1; i < 5; ++i)
    length = length << 8U | static_cast<unsigned char>((*head)[static_cast<std::size_t>(i)]);
  const auto body = socket.read(length - 4);
  if (!body) return std::nullopt;
  return std::pair((*head)[0], *body);
}

/// Reads the payload of one packet; `sequence` becomes the number of the next packet.
std::optional<std::string> my_read(Socket& socket, std::uint8_t& sequence) {
  const auto head = socket.read(4);
  if (!head) return std::nullopt;
  my::PacketReader reader(*head);
  const auto length = reader.little_endian(3);
  sequence = static_cast<std::uint8_t>(reader.little_endian(1) + 1);
  return socket.read(length);
}

/// The request id in the comment of a statement.
std::string id_of(const std::string& sql) {
  wire::StatementInfo info;
  std::string missing;
  wire::parse_statement(sql, info, missing);
  return std::string(info.id);
}

}  // namespace

std::string PgStandIn::row(const std::string& value) { return pg_row(value); }
std::string PgStandIn::message(char type, const std::string& body) { return pg_message(type, body); }

void PgStandIn::serve(Socket& socket) {
  const auto length = socket.read(4);
  if (!length || !socket.read(static_cast<unsigned char>((*length)[3]) - 4U)) return;
  await_startup();
  if (behavior == Behavior::withhold_greeting) {
    arrived("startup");
    return hang(socket);
  }
  const std::string ready = pg_message('Z', "I");
  std::string late_copy;
  const auto error = [&](const std::string& code) {
    return pg_message('E', "C" + code + std::string(1, '\0') + "Mstand-in" + std::string(2, '\0')) + ready;
  };
  struct ConnectionSlot {
    std::atomic<int>& free_slots;
    bool acquired = free_slots-- > 0;
    ~ConnectionSlot() { ++free_slots; }
  } slot{connection_limit};
  if (!slot.acquired) {
    ++rejected_connections;
    socket.send(error("53300"), true);
    return;
  }
  socket.send(pg_message('R', std::string(4, '\0')) + ready);
  for (;;) {
    await_request(socket);
    const auto message = pg_read(socket);
    if (!message) return;
    const std::string sql = message->second.substr(0, message->second.size() - 1);
    socket.send(std::exchange(late_copy, {}));
    if (sql.empty()) {  // answered at once, whatever the host does with requests
      if (!answers_validations) continue;
      socket.send(pg_message('I', "") + ready);
      continue;
    }
    longest_statement_ = std::max<std::size_t>(longest_statement_, sql.size());
    if (sql == "SHOW health") {
      if (!answers_probes) {
        ++pending_probes;
        hang(socket);
        --pending_probes;
        return;
      }
      socket.send(pg_row(health()) + ready);
      continue;
    }
    const auto status = [&](const std::string& name, const std::string& value) {
      return pg_message('S', name + std::string(1, '\0') + value + std::string(1, '\0'));
    };
    const auto answer = [&] {
      return pg_row("from " + address() + std::string(static_cast<std::size_t>(padding_bytes), 'x')) +
             status("recovery", primary ? "off" : "on") +
             status("lsn_ms", replayed_until_ms(primary ? 5 : replica_lag_ms.load())) + ready;
    };
    switch (arrived(id_of(sql))) {
      case Behavior::raw:
        socket.send(raw(), close_after_raw);
        if (close_after_raw) return;
        break;
      case Behavior::hold:
        if (reset_after_hold()) return socket.reset();
        socket.send(answer());
        ++answered;
        break;
      case Behavior::serve:
      case Behavior::stop_reading: {
        const auto bytes = answer();
        socket.send(bytes);
        if (copies_answers) late_copy = bytes;
        ++answered;
        break;
      }
      case Behavior::serve_and_close:
        socket.send(answer(), true);
        return;
      case Behavior::withhold_greeting:
      case Behavior::hang:
        return hang(socket);
      case Behavior::reset:
      case Behavior::reset_once:
        return socket.reset();
      case Behavior::reject_as_full:
        socket.send(error("53300"));
        break;
      case Behavior::reject_as_stale:
        socket.send(error(sql[0] == 'I' ? "25006" : "72000"));
        break;
      case Behavior::error:
        socket.send(error("XX000"));
        break;
    }
  }
}

void MysqlStandIn::serve(Socket& socket) {
  std::uint8_t sequence = 0;
  std::string last_answer;
  std::string late_copy;
  const auto send_packet = [&](std::string_view payload) {
    std::string out;
    my::put_packet(out, sequence, payload);
    last_answer += out;
    return socket.send(out);
  };
  await_startup();
  send_packet(my::greeting(7, 0x0fffffff & ~my::ssl));
  if (!my_read(socket, sequence)) return;
  send_packet(my::ok_packet({}, 0, false));
  std::map<std::uint32_t, std::string> statements;
  // Sends a result with one column and this row.
  const auto send_result = [&](const std::string& row) {
    const std::string replayed_until = replayed_until_ms();
    my::Ok ok;  // refers to the text of its variables
    ok.variables = {{"recovery", primary ? "off" : "on"}, {"lsn_ms", replayed_until}};
    std::string column;
    for (const auto text : {"def", "main", "records", "records", "v", "v"}) my::put_lenenc_text(column, text);
    // The fixed-length fields: character set 45 (utf8mb4), length 256, type 0xfd (VAR_STRING).
    column += std::string("\x0c\x2d\0\0\1\0\0\xfd\0\0\0\0\0", 13);
    send_packet("\1");  // number of columns
    send_packet(column);
    send_packet(row);
    send_packet(my::ok_packet(ok, 0xfe, true));
  };
  for (;;) {
    await_request(socket);
    const auto packet = my_read(socket, sequence);
    if (!packet) return;
    socket.send(std::exchange(late_copy, {}));
    last_answer.clear();
    std::string sql;
    std::string row;
    my::put_lenenc_text(row, "from " + address() + std::string(static_cast<std::size_t>(padding_bytes), 'x'));
    my::PacketReader reader(std::string_view(*packet).substr(1));
    std::string attribute_id;  // request id in the query attributes, if there is one
    if ((*packet)[0] == my::com_stmt_prepare) {
      count_prepare();
      wait_while(withholds_prepare);
      const auto id = static_cast<std::uint32_t>(statements.size() + 1);
      statements[id] = packet->substr(1);
      std::string head(1, '\0');
      my::put_little_endian(head, id, 4);
      my::put_little_endian(head, 0, 2);  // number of columns
      const auto placeholders = my::scan_statement(statements[id]).placeholders;
      my::put_little_endian(head, placeholders, 2);
      my::put_little_endian(head, 0, 3);
      send_packet(head);
      for (std::size_t i = 0; i < placeholders; ++i) send_packet("a parameter");
      continue;
    }
    if ((*packet)[0] == my::com_stmt_execute) {
      const auto id = static_cast<std::uint32_t>(reader.little_endian(4));
      if (forget_statements || statements.count(id) == 0) {
        send_packet(my::error_packet({1243, "HY000", "unknown statement"}));
        continue;
      }
      sql = statements[id];
      my::Execute execute;
      my::parse_execute(*packet, true, my::scan_statement(sql).placeholders, {}, {}, execute);
      for (const auto& parameter : execute.parameters)
        if (parameter.name == "id") attribute_id = my::text_value(parameter).value_or("");
      row = std::string(2, '\0') + row;  // header of a binary row
      if (!execute.parameters.empty() && execute.parameters[0].name.empty() && !execute.parameters[0].null)
        row = std::string(2, '\0') + execute.parameters[0].value;  // echoes the first parameter
    } else {
      my::Query query;
      my::parse_query(*packet, true, query);
      sql = query.sql;
    }
    const std::string text_query = "SELECT '";
    if (sql.rfind(text_query, 0) == 0 && sql.find('\'', text_query.size()) == sql.size() - 1) {
      if (!answers_validations) continue;
      row.clear();
      my::put_lenenc_text(row, sql.substr(text_query.size(), sql.size() - text_query.size() - 1));
      send_result(row);  // at once, whatever the host does with requests
      continue;
    }
    if (sql == "SHOW health") {
      row.clear();
      my::put_lenenc_text(row, health());
      send_result(row);
      continue;
    }
    switch (arrived(attribute_id.empty() ? id_of(sql) : attribute_id)) {
      case Behavior::raw:
        socket.send(raw());
        break;
      case Behavior::hold:
        if (reset_after_hold()) return socket.reset();
        send_result(row);
        break;
      case Behavior::serve_and_close:
      case Behavior::serve:
      case Behavior::stop_reading:
        send_result(row);
        if (copies_answers) late_copy = last_answer;
        break;
      case Behavior::withhold_greeting:
      case Behavior::hang:
        return hang(socket);
      case Behavior::reset:
      case Behavior::reset_once:
        return socket.reset();
      case Behavior::reject_as_full:
        send_packet(my::error_packet({1040, "08004", "stand-in"}));
        break;
      case Behavior::reject_as_stale:
        send_packet(my::error_packet({1290, "HY000", "stand-in"}));
        break;
      case Behavior::error:
        send_packet(my::error_packet({1146, "42S02", "no such table"}));
        break;
    }
  }
}

std::string member(const std::string& id, const std::string& address, bool primary, const std::string& state,
                   std::int64_t started_ms) {
  return R"({"id":")" + id + R"(","addr":")" + address + R"(","zone":"a","kind":"m","cell":1,"state":")" +
         state + R"(","weight":1,"recovery":")" + (primary ? "off" : "on") + R"(","started_ms":)" +
         std::to_string(started_ms) + "}";
}

std::string list_of(int version, const std::vector<std::string>& members, bool full) {
  std::string all;
  for (const auto& entry : members) all += (all.empty() ? "" : ",") + entry;
  return R"({"version":)" + std::to_string(version) + R"(,"full":)" + (full ? "true" : "false") +
         R"(,"servers":[)" + all + "]}";
}

Discovery::Discovery(std::string first_list, int busy)
    : first_list_(std::move(first_list)),
      busy_(busy),
      listener_(wire::listen_on("127.0.0.1:0")),
      address_(wire::bound_address(listener_)) {
  fcntl(listener_.get(), F_SETFL, 0);
  thread_ = std::thread([this] { run(); });
}

Discovery::~Discovery() {
  {
    const std::lock_guard lock(mutex_);
    stopping_ = true;
  }
  ::shutdown(listener_.get(), SHUT_RDWR);
  thread_.join();
}

void Discovery::run() {
  for (;;) {
    auto fd = wire::accept_from(listener_.get());
    if (fd.get() < 0) return;
    auto socket = std::make_shared<Socket>(std::move(fd));
    std::string request;
    while (request.find("\r\n\r\n") == std::string::npos) {
      const auto byte = socket->read(1);
      if (!byte) break;
      request += *byte;
    }
    ++call_count;
    while (!answering) std::this_thread::sleep_for(1ms);
    if (busy_ > 0) {
      --busy_;
      socket->send("HTTP/1.1 503 Service Unavailable\r\nContent-Length: 0\r\n\r\n", true);
      continue;
    }
    socket->send("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n");
    // Under one lock: the test sees the watch only when the first list has been sent, and sends its own lists
    // after it.
    const std::lock_guard lock(mutex_);
    if (stopping_) return;
    watches_.push_back(socket);
    send_on_last_watch(first_list_);
    changed_.notify_all();
  }
}

bool Discovery::wait_watches(std::size_t n) {
  std::unique_lock lock(mutex_);
  return changed_.wait_for(lock, response_timeout, [&] { return watches_.size() >= n; });
}

void Discovery::send_list(const std::string& list) {
  const std::lock_guard lock(mutex_);
  send_on_last_watch(list);
}

void Discovery::send_on_last_watch(const std::string& list) {
  char chunk_header[32];
  std::snprintf(chunk_header, sizeof chunk_header, "%zx\r\n", list.size() + 1);
  if (!watches_.empty()) watches_.back()->send(chunk_header + list + "\n\r\n");
}

void Discovery::send_partial_chunk(const std::string& bytes, bool end) {
  const std::lock_guard lock(mutex_);
  constexpr std::size_t missing_bytes = 1000;  // of the chunk
  char chunk_header[32];
  std::snprintf(chunk_header, sizeof chunk_header, "%zx\r\n", bytes.size() + missing_bytes);
  if (watches_.empty()) return;
  watches_.back()->send(chunk_header + bytes);
  if (end) watches_.back()->shut_down();
}

void Discovery::send_raw(const std::string& bytes) {
  const std::lock_guard lock(mutex_);
  if (!watches_.empty()) watches_.back()->send(bytes);
}

void Discovery::reset_last_watch() {
  const std::lock_guard lock(mutex_);
  if (!watches_.empty()) watches_.back()->reset();
}

void Discovery::set_first_list(const std::string& list) {
  const std::lock_guard lock(mutex_);
  first_list_ = list;
}

std::size_t Discovery::watches() {
  const std::lock_guard lock(mutex_);
  return watches_.size();
}

std::string GatewayProcess::ctl(const std::string& arguments) const {
  const auto command =
      std::string(CEDARRING_GATEWAY) + " ctl -s " + dir_ + "/admin.sock " + arguments + " 2>&1";
  FILE* pipe = ::popen(command.c_str(), "r");
  if (!pipe) throw std::runtime_error("popen failed");
  std::string text;
  char bytes[512];
  for (std::size_t n = 0; (n = ::fread(bytes, 1, sizeof bytes, pipe)) > 0;) text.append(bytes, n);
  return text + "exit " + std::to_string(WEXITSTATUS(::pclose(pipe)));
}

void GatewayProcess::configure_gateway(const std::string& gateway) const {
  auto text = gateway;
  for (auto at = text.find("@DIR@"); at != std::string::npos; at = text.find("@DIR@"))
    text.replace(at, 5, dir_);
  std::ofstream(dir_ + "/next.json") << text;
  ::rename((dir_ + "/next.json").c_str(), (dir_ + "/gateway.json").c_str());
}

GatewayProcess::GatewayProcess(const std::string& config, const std::string& mysql,
                               const std::string& gateway) {
  char dir[] = "/tmp/cedarring-XXXXXX";
  if (!mkdtemp(dir)) throw std::runtime_error("mkdtemp failed");
  dir_ = dir;
  std::ofstream(dir_ + "/config.json") << config;
  if (!mysql.empty()) std::ofstream(dir_ + "/mysql.json") << mysql;
  if (!gateway.empty()) configure_gateway(gateway);
  start(!mysql.empty(), !gateway.empty());
  wait_listeners();
}

GatewayProcess::GatewayProcess(const GatewayProcess& before, const std::string& listen)
    : second_(true), dir_(before.dir_) {
  start(false, before.has_gateway_file_);
  wait_listeners();
  if (pg_.empty()) pg_ = listen;
}
GatewayProcess::GatewayProcess(const GatewayProcess& before, StartInBackground)
    : second_(true), dir_(before.dir_) {
  start(false, before.has_gateway_file_);
}

void GatewayProcess::start(bool mysql, bool gateway) {
  has_mysql_ = mysql;
  has_gateway_file_ = gateway;
  int ends[2];
  if (pipe(ends) != 0) throw std::runtime_error("pipe failed");
  out_ = wire::Fd(ends[0]);
  const std::string config_path = dir_ + "/config.json";
  const std::string mysql_path = dir_ + "/mysql.json";
  const std::string gateway_path = dir_ + "/gateway.json";
  // posix_spawn, not fork: the child of a process with threads may hang in malloc before it runs the program.
  std::vector<std::string> variables = {"ROUTER_CONFIG=" + config_path, "CEDARRING_MYSQL=" + mysql_path,
                                        "TMPDIR=" + dir_};
  if (gateway) variables.push_back("CEDARRING_GATEWAY=" + gateway_path);
  std::vector<char*> environment;
  for (auto& variable : variables) environment.push_back(variable.data());
  const auto name_of = [](const std::string& variable) { return variable.substr(0, variable.find('=')); };
  const auto overridden = [&](const std::string& inherited) {
    return std::any_of(variables.begin(), variables.end(),
                       [&](const auto& variable) { return name_of(inherited) == name_of(variable); });
  };
  for (char** inherited = environ; *inherited; ++inherited)
    if (!overridden(*inherited)) environment.push_back(*inherited);
  environment.push_back(nullptr);
  posix_spawn_file_actions_t files;
  posix_spawn_file_actions_init(&files);
  posix_spawn_file_actions_adddup2(&files, ends[1], 1);
  posix_spawn_file_actions_adddup2(&files, ends[1], 2);
  posix_spawn_file_actions_addclose(&files, ends[0]);
  posix_spawn_file_actions_addclose(&files, ends[1]);
  char* args[] = {program.data(), nullptr};
  const int failed = posix_spawn(&pid_, program.c_str(), &files, nullptr, args, environment.data());
  posix_spawn_file_actions_destroy(&files);
  if (failed != 0) throw std::runtime_error("cannot start the gateway program");
  ::close(ends[1]);
}

bool GatewayProcess::wait_listeners() {
  std::string line;
  const auto& last_announced = has_mysql_ ? mysql_ : pg_;
  while (last_announced.empty() && read_line(line)) {
    const auto at = line.rfind(' ');
    if (line.rfind("listening postgresql", 0) == 0) pg_ = line.substr(at + 1);
    if (line.rfind("listening control", 0) == 0) control_ = line.substr(at + 1);
    if (line.rfind("listening dns", 0) == 0) dns_ = line.substr(at + 1);
    if (line.rfind("listening mysql", 0) == 0) mysql_ = line.substr(at + 1);
  }
  return !last_announced.empty();
}

std::string handover_socket(const std::string& dir) {
  auto* directory = ::opendir(dir.c_str());
  std::string path;
  while (const auto* entry = ::readdir(directory))
    if (std::string(entry->d_name).rfind("cedarring-", 0) == 0) path = dir + "/" + entry->d_name;
  ::closedir(directory);
  return path;
}

bool GatewayProcess::read_line(std::string& line) {
  line.clear();
  char byte = 0;
  while (::read(out_.get(), &byte, 1) == 1) {
    output_ += byte;
    if (byte == '\n') return true;
    line += byte;
  }
  return false;
}

long GatewayProcess::resident_kb() const {
  std::ifstream status("/proc/" + std::to_string(pid_) + "/status");
  for (std::string line; std::getline(status, line);)
    if (line.rfind("VmRSS:", 0) == 0) return std::atol(line.c_str() + 6);
  return 0;
}

void GatewayProcess::suspend() const {
  signal(SIGSTOP);
  int status = 0;
  while (::waitpid(pid_, &status, WUNTRACED) == pid_ && !WIFSTOPPED(status)) {
  }
}

void GatewayProcess::signal(int number) const { ::kill(pid_, number); }

void GatewayProcess::configure(const std::string& config) const {
  std::ofstream(dir_ + "/next.json") << config;
  ::rename((dir_ + "/next.json").c_str(), (dir_ + "/config.json").c_str());
}

bool GatewayProcess::wait_output(const std::string& text, int times) {
  const auto count = [&] {
    int found = 0;
    for (auto at = output_.find(text); at != std::string::npos; at = output_.find(text, at + 1)) ++found;
    return found;
  };
  std::string line;
  while (count() < times && read_line(line)) {
  }
  return count() >= times;
}

int GatewayProcess::wait_exit() {
  std::string line;
  while (read_line(line)) {
  }
  if (!status_) {
    int status = 0;
    waitpid(pid_, &status, 0);
    status_ = WIFEXITED(status) ? WEXITSTATUS(status) : 128 + WTERMSIG(status);
  }
  return *status_;
}

GatewayProcess::~GatewayProcess() {
  if (!status_) {
    signal(SIGKILL);
    wait_exit();
  }
  if (second_) return;                        // the first process removes the directory
  if (auto* dir = ::opendir(dir_.c_str())) {  // remove sockets left for a successor process
    while (const auto* entry = ::readdir(dir))
      if (std::string(entry->d_name).rfind("cedarring-", 0) == 0)
        ::unlink((dir_ + "/" + entry->d_name).c_str());
    ::closedir(dir);
  }
  for (const auto* file : {"/config.json", "/mysql.json"}) ::unlink((dir_ + file).c_str());
  // Files that the program itself may have written.
  for (const auto* file : {"/gateway.json", "/next.json", "/records.jsonl", "/admin.sock"})
    ::unlink((dir_ + file).c_str());
  ::rmdir(dir_.c_str());
}

std::string config_json(const std::string& discovery, const std::string& known, const std::string& more) {
  const auto contract = [](const std::string& name, const std::string& effect, const std::string& rest = "") {
    return R"({"name":")" + name +
           R"(","aim":2000,"deadline":5000,"importance":1,"late_worth":0.5,"effect":")" + effect +
           R"(","group":"cell","window":3000)" + rest + "}";
  };
  return R"({"name":"n1","listen":"127.0.0.1:0","discovery":")" + discovery + R"(","seed":"2a","known":)" +
         known +
         R"(,"limits":{"memory_mb":192,"sockets":1024},"settings":{"az":"a","zones":["a"],"balancers":1,"position":0,)"
         R"("registry_mode":"subscribe","classes":[)" +
         contract("view", "read_like") + "," + contract("history", "read_like") + "," +
         contract("gate", "read_like") + "," + contract("bid", "idempotency_key") + "," +
         contract("pay", "non_idempotent") +
         R"(],"realms":[{"name":"acme","quota_per_s":100}],"specifics":{"checks":"bounce","class_bound":[1000,0,0,0,0],)"
         R"("needs_by_class":["lag_bound","eventual","strong","mutate","mutate"],"list_role":"trailing","stamps":true,)"
         R"("token_mode":"brought"},"limits":{"may_probe":true,"cancel":true,"retry_after":true,"max_retry_after":500,)"
         R"("send_cap":6,"connect_timeout":1000,"idle_close":30000},"guarantees":{"ask_within":10000,"cold":14000,)"
         R"("cold_from":0.17,"tip_multiple":2,"tip_after":2000,"stop_sending_within":1000},"quantum":5)" +
         more + "}}";
}

std::string mysql_json(const std::string& known) {
  return R"({"enabled":true,"listen":"127.0.0.1:0","known":)" + known + "}";
}

std::string with_key(const std::string& config, const std::string& key_and_value) {
  return "{" + key_and_value + "," + config.substr(1);
}

std::string replaced(std::string text, const std::string& from, const std::string& to) {
  const auto at = text.find(from);
  if (at == std::string::npos) throw std::runtime_error("text not found: " + from);
  return text.replace(at, from.size(), to);
}

HttpReply read_reply(Socket& socket) {
  std::string all;
  while (const auto byte = socket.read(1)) all += *byte;
  HttpReply reply;
  const auto end = all.find("\r\n\r\n");
  if (end == std::string::npos || all.rfind("HTTP/1.1 ", 0) != 0) return reply;
  reply.status = std::atoi(all.c_str() + 9);
  reply.head = all.substr(0, end);
  reply.body = all.substr(end + 4);
  return reply;
}

HttpReply call(const std::string& address, const std::string& method, const std::string& path) {
  auto socket = Socket::to(address);
  socket.send(method + " " + path + " HTTP/1.1\r\nHost: door\r\n\r\n");
  return read_reply(socket);
}

long metric_value(const std::string& metrics, const std::string& name) {
  const auto at = metrics.find("\n" + name + " ");
  return at == std::string::npos ? -1 : std::atol(metrics.c_str() + at + name.size() + 2);
}

std::string pg_startup() {
  std::string out;
  wire::pg::put_startup(out, "svc", "main");
  return out;
}

std::string pg_query(const std::string& sql) {
  std::string out;
  wire::pg::put_query(out, sql);
  return out;
}

std::string statement(const std::string& id, const std::string& contract, int deadline_ms,
                      const std::string& more) {
  const bool write = contract == "bid" || contract == "pay";
  return std::string(write ? "INSERT INTO records (k, v) VALUES ('7f', '\\x9f') RETURNING v"
                           : "SELECT v FROM records WHERE k = '7f'") +
         " /* id=" + id + ",c=" + contract + ",t=acme,d=" + std::to_string(deadline_ms) +
         (contract == "bid" ? ",k=key-" + id : "") + ",cluster=1" + more + " */";
}

PgClient::PgClient(Socket connected) : socket(std::move(connected)) {
  socket.send(pg_startup());
  read_answer();
}

PgClient::PgClient(const std::string& address, bool start) : socket(Socket::to(address)) {
  if (!start) return;
  socket.send(pg_startup());
  read_answer();
}

PgAnswer PgClient::read_answer() {
  PgAnswer answer;
  while (const auto message = pg_read(socket)) {
    const auto& [type, body] = *message;
    answer.types += type;
    if (type == 'E') {
      answer.code = wire::pg::error_response_field(body, 'C');
      answer.detail = wire::pg::error_response_field(body, 'D');
    }
    if (type == 'D') answer.value = wire::pg::single_column_value(body).value_or("?");
    if (type == 'Z') break;
  }
  return answer;
}

PgAnswer PgClient::query(const std::string& sql) {
  socket.send(pg_query(sql));
  return read_answer();
}

MysqlRaw::MysqlRaw(const std::string& address) : socket(Socket::to(address)) {
  read_packet();
  std::string out;
  std::uint8_t sequence = 1;
  my::put_packet(
      out, sequence,
      my::handshake_response(my::protocol_41 | my::connect_with_db | my::plugin_auth | my::secure_connection |
                                 my::deprecate_eof | my::session_track | my::query_attributes,
                             "svc", "main"));
  socket.send(out);
  read_packet();
}

std::optional<std::string> MysqlRaw::read_packet() {
  std::uint8_t sequence = 0;
  return my_read(socket, sequence);
}

void MysqlRaw::command(std::string_view payload) {
  std::string out;
  std::uint8_t sequence = 0;
  my::put_packet(out, sequence, payload);
  socket.send(out);
}

std::uint32_t MysqlRaw::prepare(const std::string& sql) {
  command(std::string(1, static_cast<char>(my::com_stmt_prepare)) + sql);
  const auto head = read_packet().value_or("");
  my::PacketReader reader(head);
  reader.little_endian(1);
  return static_cast<std::uint32_t>(reader.little_endian(4));
}

my::Error MysqlRaw::read_error() {
  my::Error error;
  const auto packet = read_packet();
  if (packet) my::parse_error(*packet, error);
  return error;
}

}  // namespace cedarring::test
