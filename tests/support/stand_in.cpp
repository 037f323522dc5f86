#include "support/stand_in.h"

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

Socket::Socket(wire::Fd fd) : fd_(std::move(fd)) {
  fcntl(fd_.get(), F_SETFL, fcntl(fd_.get(), F_GETFL) & ~O_NONBLOCK);
  const timeval limit{std::chrono::seconds(patience).count(), 0};
  setsockopt(fd_.get(), SOL_SOCKET, SO_RCVTIMEO, &limit, sizeof limit);
}

Socket Socket::to(const std::string& address) {
  auto fd = wire::connect_to(address);
  pollfd p{fd.get(), POLLOUT, 0};
  poll(&p, 1, 5000);
  return Socket(std::move(fd));
}

bool Socket::connect(const std::string& address) {
  sockaddr_in to{};
  to.sin_family = AF_INET;
  to.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
  to.sin_port = htons(static_cast<std::uint16_t>(std::atoi(address.c_str() + address.rfind(':') + 1)));
  return ::connect(fd_.get(), reinterpret_cast<sockaddr*>(&to), sizeof to) == 0;
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
  std::string out(n, '\0');
  std::size_t got = 0;
  while (got < n) {
    const auto part = ::recv(fd_.get(), out.data() + got, n - got, 0);
    if (part <= 0) return std::nullopt;
    got += static_cast<std::size_t>(part);
  }
  return out;
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
  const linger now{1, 0};
  setsockopt(fd_.get(), SOL_SOCKET, SO_LINGER, &now, sizeof now);
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
    threads_.emplace_back([this, socket] { serve(*socket); });
  }
}

void Host::stop() {
  {
    const std::lock_guard lock(mutex_);
    stopping_ = true;
    for (auto& s : sockets_) s->shut_down();
  }
  ::shutdown(listener_.get(), SHUT_RDWR);
  accepting_.join();
  for (auto& t : threads_) t.join();
}

std::vector<std::string> Host::seen() {
  const std::lock_guard lock(mutex_);
  return seen_;
}

bool Host::wait_for(std::size_t requests) {
  std::unique_lock lock(mutex_);
  return changed_.wait_for(lock, patience, [&] { return seen_.size() >= requests; });
}

bool Host::wait_ended(std::size_t connections) {
  std::unique_lock lock(mutex_);
  return changed_.wait_for(lock, patience, [&] { return ended_ >= connections; });
}

std::size_t Host::prepared() {
  const std::lock_guard lock(mutex_);
  return prepared_;
}

void Host::count_prepare() {
  const std::lock_guard lock(mutex_);
  ++prepared_;
}

Act Host::arrived(const std::string& id) {
  const std::lock_guard lock(mutex_);
  seen_.push_back(id);
  changed_.notify_all();
  const Act now = act;
  if (now == Act::reset_once || now == Act::raw) act = Act::serve;
  return now == Act::reset_once ? Act::reset : now;
}

void Host::hang(Socket& socket) {
  const bool ended = socket.ended();
  const std::lock_guard lock(mutex_);
  if (ended) ++ended_;
  changed_.notify_all();
}

void Host::say_once(const std::string& bytes) {
  const std::lock_guard lock(mutex_);
  raw_ = bytes;
  act = Act::raw;
}

std::string Host::raw() {
  const std::lock_guard lock(mutex_);
  return raw_;
}

std::string Host::health() const {
  const auto now = std::chrono::system_clock::now().time_since_epoch();
  const auto ms = std::chrono::duration_cast<std::chrono::milliseconds>(now).count() - behind_ms;
  return "x0=" + std::to_string(static_cast<double>(ms) / 1000) + ",x1=" + (primary ? "1" : "0") +
         ",pending=0";
}

namespace {

std::string now_ms(int behind = 5) {
  const auto now = std::chrono::system_clock::now().time_since_epoch();
  return std::to_string(std::chrono::duration_cast<std::chrono::milliseconds>(now).count() - behind);
}

std::string pg_message(char type, const std::string& body) {
  std::string out(1, type);
  const auto n = static_cast<std::uint32_t>(body.size() + 4);
  for (int shift = 24; shift >= 0; shift -= 8) out += static_cast<char>(n >> static_cast<unsigned>(shift));
  return out + body;
}

std::string pg_row(const std::string& value) {
  std::string row("\0\1", 2);
  row += pg_message('x', value).substr(1);  // a length, but of the text alone
  row[5] = static_cast<char>(value.size());
  return pg_message('T', std::string("\0\1v\0", 4) + std::string(18, '\0')) + pg_message('D', row) +
         pg_message('C', std::string("SELECT 1\0", 9));
}

std::optional<std::pair<char, std::string>> pg_read(Socket& s) {
  const auto head = s.read(5);
  if (!head) return std::nullopt;
  std::uint32_t n = 0;
  for (int i = 1; i < 5; ++i) n = n << 8U | static_cast<unsigned char>((*head)[static_cast<std::size_t>(i)]);
  const auto body = s.read(n - 4);
  if (!body) return std::nullopt;
  return std::pair((*head)[0], *body);
}

std::optional<std::string> my_read(Socket& s, std::uint8_t& sequence) {
  const auto head = s.read(4);
  if (!head) return std::nullopt;
  my::PacketReader r(*head);
  const auto n = r.fixed(3);
  sequence = static_cast<std::uint8_t>(r.fixed(1) + 1);
  return s.read(n);
}

std::string id_of(const std::string& sql) {
  wire::StatementInfo info;
  std::string missing;
  wire::parse_statement(sql, info, missing);
  return std::string(info.id);
}

}  // namespace

std::string PgStandIn::row(const std::string& value) { return pg_row(value); }
std::string PgStandIn::message(char type, const std::string& body) { return pg_message(type, body); }

void PgStandIn::serve(Socket& s) {
  const auto length = s.read(4);
  if (!length || !s.read(static_cast<unsigned char>((*length)[3]) - 4U)) return;
  if (act == Act::mute) {
    arrived("startup");
    return hang(s);
  }
  const std::string ready = pg_message('Z', "I");
  const auto error = [&](const std::string& code) {
    return pg_message('E', "C" + code + std::string(1, '\0') + "Mstand-in" + std::string(2, '\0')) + ready;
  };
  struct Place {
    std::atomic<int>& places;
    bool had = places-- > 0;
    ~Place() { ++places; }
  } place{places};
  if (!place.had) {
    ++turned_away;
    s.send(error("53300"), true);
    return;
  }
  s.send(pg_message('R', std::string(4, '\0')) + ready);
  while (const auto m = pg_read(s)) {
    const std::string sql = m->second.substr(0, m->second.size() - 1);
    longest_ = std::max<std::size_t>(longest_, sql.size());
    if (sql == "SHOW health") {
      s.send(pg_row(health()) + ready);
      continue;
    }
    const auto status = [&](const std::string& name, const std::string& value) {
      return pg_message('S', name + std::string(1, '\0') + value + std::string(1, '\0'));
    };
    const auto answer = [&] {
      return pg_row("from " + address() + std::string(static_cast<std::size_t>(padding), 'x')) +
             status("recovery", primary ? "off" : "on") +
             status("lsn_ms", now_ms(primary ? 5 : behind_ms.load())) + ready;
    };
    switch (arrived(id_of(sql))) {
      case Act::raw:
        s.send(raw(), ends_after_raw);
        if (ends_after_raw) return;
        break;
      case Act::hold:
        while (act == Act::hold) std::this_thread::sleep_for(1ms);
        s.send(answer());
        break;
      case Act::serve:
        s.send(answer());
        break;
      case Act::serve_last:
        s.send(answer(), true);
        return;
      case Act::mute:
      case Act::hang:
        return hang(s);
      case Act::reset:
      case Act::reset_once:
        return s.reset();
      case Act::full:
        s.send(error("53300"));
        break;
      case Act::miss:
        s.send(error(sql[0] == 'I' ? "25006" : "72000"));
        break;
      case Act::error:
        s.send(error("XX000"));
        break;
    }
  }
}

void MysqlStandIn::serve(Socket& s) {
  std::uint8_t sequence = 0;
  const auto say = [&](std::string_view payload) {
    std::string out;
    my::put_packet(out, sequence, payload);
    return s.send(out);
  };
  say(my::greeting(7, 0x0fffffff & ~my::ssl));
  if (!my_read(s, sequence)) return;
  say(my::ok_packet({}, 0, false));
  std::map<std::uint32_t, std::string> statements;
  const auto rows = [&](const std::string& row) {
    const std::string at = now_ms();
    my::Ok ok;
    ok.variables = {{"recovery", primary ? "off" : "on"}, {"lsn_ms", at}};
    std::string column;
    for (const auto text : {"def", "main", "records", "records", "v", "v"}) my::put_lenenc_text(column, text);
    column += std::string("\x0c\x2d\0\0\1\0\0\xfd\0\0\0\0\0", 13);
    say("\1"), say(column), say(row), say(my::ok_packet(ok, 0xfe, true));
  };
  while (const auto p = my_read(s, sequence)) {
    std::string sql, row;
    my::put_lenenc_text(row, "from " + address());
    my::PacketReader in(std::string_view(*p).substr(1));
    std::string attribute_id;
    if ((*p)[0] == my::com_stmt_prepare) {
      count_prepare();
      const auto id = static_cast<std::uint32_t>(statements.size() + 1);
      statements[id] = p->substr(1);
      std::string head(1, '\0');
      my::put_fixed(head, id, 4), my::put_fixed(head, 0, 2);
      const auto placeholders = my::scan_statement(statements[id]).placeholders;
      my::put_fixed(head, placeholders, 2), my::put_fixed(head, 0, 3);
      say(head);
      for (std::size_t i = 0; i < placeholders; ++i) say("a parameter");
      continue;
    }
    if ((*p)[0] == my::com_stmt_execute) {
      const auto id = static_cast<std::uint32_t>(in.fixed(4));
      if (forget || statements.count(id) == 0) {
        say(my::error_packet({1243, "HY000", "unknown statement"}));
        continue;
      }
      sql = statements[id];
      my::Execute e;
      my::parse_execute(*p, true, my::scan_statement(sql).placeholders, {}, {}, e);
      for (const auto& parameter : e.parameters)
        if (parameter.name == "id") attribute_id = my::text_value(parameter).value_or("");
      row = std::string(2, '\0') + row;  // binary
      if (!e.parameters.empty() && e.parameters[0].name.empty() && !e.parameters[0].null)
        row = std::string(2, '\0') + e.parameters[0].value;  // echoes its first parameter
    } else {
      my::Query q;
      my::parse_query(*p, true, q);
      sql = q.sql;
    }
    if (sql == "SHOW health") {
      row.clear();
      my::put_lenenc_text(row, health());
      rows(row);
      continue;
    }
    switch (arrived(attribute_id.empty() ? id_of(sql) : attribute_id)) {
      case Act::raw:
        s.send(raw());
        break;
      case Act::hold:
      case Act::serve_last:
      case Act::serve:
        rows(row);
        break;
      case Act::mute:
      case Act::hang:
        return hang(s);
      case Act::reset:
      case Act::reset_once:
        return s.reset();
      case Act::full:
        say(my::error_packet({1040, "08004", "stand-in"}));
        break;
      case Act::miss:
        say(my::error_packet({1290, "HY000", "stand-in"}));
        break;
      case Act::error:
        say(my::error_packet({1146, "42S02", "no such table"}));
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
  for (const auto& m : members) all += (all.empty() ? "" : ",") + m;
  return R"({"version":)" + std::to_string(version) + R"(,"full":)" + (full ? "true" : "false") +
         R"(,"servers":[)" + all + "]}";
}

Discovery::Discovery(std::string first, int busy)
    : first_(std::move(first)),
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
    ++calls;
    while (!answers) std::this_thread::sleep_for(1ms);
    if (busy_ > 0) {
      --busy_;
      socket->send("HTTP/1.1 503 Service Unavailable\r\nContent-Length: 0\r\n\r\n", true);
      continue;
    }
    socket->send("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n");
    // Under one lock: what a test tells once it has seen the watch comes behind the first list.
    const std::lock_guard lock(mutex_);
    if (stopping_) return;
    watches_.push_back(socket);
    tell_last(first_);
    changed_.notify_all();
  }
}

bool Discovery::wait_watches(std::size_t n) {
  std::unique_lock lock(mutex_);
  return changed_.wait_for(lock, patience, [&] { return watches_.size() >= n; });
}

void Discovery::tell(const std::string& list) {
  const std::lock_guard lock(mutex_);
  tell_last(list);
}

void Discovery::tell_last(const std::string& list) {
  char head[32];
  std::snprintf(head, sizeof head, "%zx\r\n", list.size() + 1);
  if (!watches_.empty()) watches_.back()->send(head + list + "\n\r\n");
}

void Discovery::blurt(const std::string& bytes, bool end) {
  const std::lock_guard lock(mutex_);
  char head[32];
  std::snprintf(head, sizeof head, "%zx\r\n", bytes.size() + 1000);
  if (watches_.empty()) return;
  watches_.back()->send(head + bytes);
  if (end) watches_.back()->shut_down();
}

void Discovery::raw(const std::string& bytes) {
  const std::lock_guard lock(mutex_);
  if (!watches_.empty()) watches_.back()->send(bytes);
}

void Discovery::drop() {
  const std::lock_guard lock(mutex_);
  if (!watches_.empty()) watches_.back()->reset();
}

void Discovery::tell_first(const std::string& first) {
  const std::lock_guard lock(mutex_);
  first_ = first;
}

std::size_t Discovery::watches() {
  const std::lock_guard lock(mutex_);
  return watches_.size();
}

std::string Program::ctl(const std::string& words) const {
  const auto command = std::string(CEDARRING_GATEWAY) + " ctl -s " + dir_ + "/admin.sock " + words + " 2>&1";
  FILE* pipe = ::popen(command.c_str(), "r");
  if (!pipe) throw std::runtime_error("popen");
  std::string text;
  char bytes[512];
  for (std::size_t n = 0; (n = ::fread(bytes, 1, sizeof bytes, pipe)) > 0;) text.append(bytes, n);
  return text + "exit " + std::to_string(WEXITSTATUS(::pclose(pipe)));
}

void Program::configure_gateway(const std::string& gateway) const {
  auto text = gateway;
  for (auto at = text.find("@DIR@"); at != std::string::npos; at = text.find("@DIR@"))
    text.replace(at, 5, dir_);
  std::ofstream(dir_ + "/next.json") << text;
  ::rename((dir_ + "/next.json").c_str(), (dir_ + "/gateway.json").c_str());
}

Program::Program(const std::string& config, const std::string& mysql, const std::string& gateway) {
  char dir[] = "/tmp/cedarring-XXXXXX";
  if (!mkdtemp(dir)) throw std::runtime_error("mkdtemp");
  dir_ = dir;
  std::ofstream(dir_ + "/config.json") << config;
  if (!mysql.empty()) std::ofstream(dir_ + "/mysql.json") << mysql;
  if (!gateway.empty()) configure_gateway(gateway);
  start(!mysql.empty(), !gateway.empty());
}

Program::Program(const Program& before, const std::string& listen) : second_(true), dir_(before.dir_) {
  start(false, before.gateway_);
  if (pg_.empty()) pg_ = listen;
}

void Program::start(bool mysql, bool gateway) {
  gateway_ = gateway;
  int ends[2];
  if (pipe(ends) != 0) throw std::runtime_error("pipe");
  out_ = wire::Fd(ends[0]);
  const std::string config_at = dir_ + "/config.json", mysql_at = dir_ + "/mysql.json",
                    gateway_at = dir_ + "/gateway.json";
  // Not by fork: the child of a process with threads may hang in malloc before it starts the program.
  std::vector<std::string> set = {"ROUTER_CONFIG=" + config_at, "CEDARRING_MYSQL=" + mysql_at,
                                  "TMPDIR=" + dir_};
  if (gateway) set.push_back("CEDARRING_GATEWAY=" + gateway_at);
  std::vector<char*> env;
  for (auto& v : set) env.push_back(v.data());
  const auto replaced = [&](const std::string& v) {
    return std::any_of(set.begin(), set.end(),
                       [&](const auto& o) { return v.substr(0, v.find('=')) == o.substr(0, o.find('=')); });
  };
  for (char** v = environ; *v; ++v)
    if (!replaced(*v)) env.push_back(*v);
  env.push_back(nullptr);
  posix_spawn_file_actions_t files;
  posix_spawn_file_actions_init(&files);
  posix_spawn_file_actions_adddup2(&files, ends[1], 1);
  posix_spawn_file_actions_adddup2(&files, ends[1], 2);
  posix_spawn_file_actions_addclose(&files, ends[0]);
  posix_spawn_file_actions_addclose(&files, ends[1]);
  std::string program = CEDARRING_GATEWAY;
  char* args[] = {program.data(), nullptr};
  const int failed = posix_spawn(&pid_, program.c_str(), &files, nullptr, args, env.data());
  posix_spawn_file_actions_destroy(&files);
  if (failed != 0) throw std::runtime_error("the program does not start");
  ::close(ends[1]);
  std::string line;
  while ((mysql ? mysql_ : pg_).empty() && read_line(line)) {
    const auto at = line.rfind(' ');
    if (line.rfind("listening postgresql", 0) == 0) pg_ = line.substr(at + 1);
    if (line.rfind("listening control", 0) == 0) control_ = line.substr(at + 1);
    if (line.rfind("listening dns", 0) == 0) dns_ = line.substr(at + 1);
    if (line.rfind("listening mysql", 0) == 0) mysql_ = line.substr(at + 1);
  }
}

bool Program::read_line(std::string& line) {
  line.clear();
  char c = 0;
  while (::read(out_.get(), &c, 1) == 1) {
    output_ += c;
    if (c == '\n') return true;
    line += c;
  }
  return false;
}

long Program::resident_kb() const {
  std::ifstream status("/proc/" + std::to_string(pid_) + "/status");
  for (std::string line; std::getline(status, line);)
    if (line.rfind("VmRSS:", 0) == 0) return std::atol(line.c_str() + 6);
  return 0;
}

void Program::stand_still() const {
  signal(SIGSTOP);
  int status = 0;
  while (::waitpid(pid_, &status, WUNTRACED) == pid_ && !WIFSTOPPED(status)) {
  }
}

void Program::signal(int number) const { ::kill(pid_, number); }

void Program::configure(const std::string& config) const {
  std::ofstream(dir_ + "/next.json") << config;
  ::rename((dir_ + "/next.json").c_str(), (dir_ + "/config.json").c_str());
}

bool Program::wait_output(const std::string& text, int times) {
  const auto count = [&] {
    int n = 0;
    for (auto at = output_.find(text); at != std::string::npos; at = output_.find(text, at + 1)) ++n;
    return n;
  };
  std::string line;
  while (count() < times && read_line(line)) {
  }
  return count() >= times;
}

int Program::wait_exit() {
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

Program::~Program() {
  if (!status_) signal(SIGKILL), wait_exit();
  if (second_) return;
  if (auto* dir = ::opendir(dir_.c_str())) {  // sockets that it left for the next process
    while (const auto* e = ::readdir(dir))
      if (std::string(e->d_name).rfind("cedarring-", 0) == 0) ::unlink((dir_ + "/" + e->d_name).c_str());
    ::closedir(dir);
  }
  for (const auto* file : {"/config.json", "/mysql.json"}) ::unlink((dir_ + file).c_str());
  // What it wrote there itself, too.
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

DoorReply read_reply(Socket& socket) {
  std::string all;
  while (const auto c = socket.read(1)) all += *c;
  DoorReply r;
  const auto end = all.find("\r\n\r\n");
  if (end == std::string::npos || all.rfind("HTTP/1.1 ", 0) != 0) return r;
  r.status = std::atoi(all.c_str() + 9);
  r.head = all.substr(0, end);
  r.body = all.substr(end + 4);
  return r;
}

DoorReply call(const std::string& address, const std::string& method, const std::string& path) {
  auto socket = Socket::to(address);
  socket.send(method + " " + path + " HTTP/1.1\r\nHost: door\r\n\r\n");
  return read_reply(socket);
}

long figure(const std::string& metrics, const std::string& name) {
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

PgClient::PgClient(const std::string& address, bool start) : socket(Socket::to(address)) {
  if (!start) return;
  socket.send(pg_startup());
  read_answer();
}

PgAnswer PgClient::read_answer() {
  PgAnswer answer;
  while (const auto m = pg_read(socket)) {
    answer.types += m->first;
    if (m->first == 'E') {
      answer.code = wire::pg::error_response_field(m->second, 'C');
      answer.detail = wire::pg::error_response_field(m->second, 'D');
    }
    if (m->first == 'D') answer.value = wire::pg::single_column_value(m->second).value_or("?");
    if (m->first == 'Z') break;
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
  my::PacketReader in(head);
  in.fixed(1);
  return static_cast<std::uint32_t>(in.fixed(4));
}

my::Error MysqlRaw::read_error() {
  my::Error e;
  const auto p = read_packet();
  if (p) my::parse_error(*p, e);
  return e;
}

}  // namespace cedarring::test
