// A MySQL database host and a MySQL client for the cases, as far as they need the protocol (4.1, session
// tracking, query attributes, no EOF packets). All parameters are strings.
#pragma once

#include "standins.h"

namespace standins::mysql {

inline std::string little_endian(std::uint64_t value, int bytes) {
  std::string out;
  for (; bytes > 0; --bytes, value >>= 8U) out += static_cast<char>(value & 0xff);
  return out;
}
inline std::string length(std::uint64_t value) {
  return value < 251 ? little_endian(value, 1) : '\xfc' + little_endian(value, 2);
}
inline std::string text(std::string_view value) { return length(value.size()) + std::string(value); }
inline std::string packet(int sequence, std::string_view payload) {
  return little_endian(payload.size(), 3) + static_cast<char>(sequence) + std::string(payload);
}

constexpr std::uint32_t capabilities =
    1U | 2U | 4U | 8U | 1U << 9U | 1U << 13U | 1U << 15U | 1U << 19U | 1U << 23U | 1U << 24U | 1U << 27U;
/// A column of an answer, or a parameter of a prepared statement.
inline std::string column() {
  return text("def") + text("") + text("") + text("") + text("v") + text("") + '\x0c' + little_endian(33, 2) +
         little_endian(100, 4) + '\xfd' + std::string(5, '\0');
}
/// An OK packet with these session variables; `header`: 0, or 0xfe behind rows.
inline std::string ok(int header, const std::vector<std::pair<std::string, std::string>>& variables) {
  std::string state;
  for (const auto& [name, value] : variables) state += '\0' + text(text(name) + text(value));
  std::string out(1, static_cast<char>(header));
  out += std::string(2, '\0') + little_endian(state.empty() ? 2 : 0x4002, 2) + std::string(2, '\0');
  return state.empty() ? out : out + text("") + text(state);
}

/// Reads the numbers and texts of a payload.
class Reader {
 public:
  explicit Reader(std::string_view in) : in_(in) {}
  std::uint64_t number(std::size_t bytes) {
    std::uint64_t value = 0;
    for (std::size_t i = std::min(bytes, in_.size()); i-- > 0;)
      value = value << 8U | static_cast<unsigned char>(in_[i]);
    skip(bytes);
    return value;
  }
  std::uint64_t length() {
    const auto first = number(1);
    return first < 251 ? first : number(first == 0xfc ? 2 : first == 0xfd ? 3 : 8);
  }
  std::string text() {
    const auto size = std::min<std::size_t>(length(), in_.size());
    std::string out(in_.substr(0, size));
    skip(size);
    return out;
  }
  void skip(std::size_t bytes) { in_.remove_prefix(std::min(bytes, in_.size())); }
  [[nodiscard]] std::string rest() const { return std::string(in_); }
  /// Names and values of `count` strings, each bound with its type and name.
  std::vector<std::pair<std::string, std::string>> parameters(std::size_t count) {
    std::vector<std::pair<std::string, std::string>> out(count);
    if (count == 0) return out;
    skip((count + 7) / 8 + 1);
    for (auto& parameter : out) {
      skip(2);
      parameter.first = text();
    }
    for (auto& parameter : out) parameter.second = text();
    return out;
  }

 private:
  std::string_view in_;
};

/// Reads whole packets from a connection.
class PacketReader {
 public:
  explicit PacketReader(const Socket& socket) : socket_(socket) {}
  /// The payload of the next packet; nullopt at the end of the connection or after the time.
  std::optional<std::string> next(int timeout_ms = 600'000) {
    const auto until = Clock::now() + std::chrono::milliseconds(timeout_ms);
    for (;;) {
      if (buffer_.size() >= 4) {
        const std::size_t size = Reader(buffer_).number(3);
        if (buffer_.size() >= size + 4) {
          auto payload = buffer_.substr(4, size);
          buffer_.erase(0, size + 4);
          return payload;
        }
      }
      const auto left = std::chrono::duration_cast<std::chrono::milliseconds>(until - Clock::now()).count();
      if (left <= 0 || !socket_.readable(static_cast<int>(left))) return std::nullopt;
      const auto bytes = socket_.read_some();
      if (bytes.empty()) return std::nullopt;
      buffer_ += bytes;
    }
  }

 private:
  const Socket& socket_;
  std::string buffer_;
};

/// A statement as a host gets it: with its attributes, and for a prepared one with its parameters.
struct Statement {
  std::string sql;
  bool prepared = false;
  std::vector<std::string> parameters;
  std::map<std::string, std::string> attributes;
  [[nodiscard]] bool write() const { return sql.rfind("INSERT", 0) == 0; }
  [[nodiscard]] std::string field(const std::string& name) const {
    const auto it = attributes.find(name);
    return it == attributes.end() ? field_of(sql, name) : it->second;
  }
};

/// A database host that keeps one table of keys and values. A replica has what the primary has committed up
/// to its position, and answers from that as quickly as ever, however far behind it is.
class Host {
 public:
  struct Data {
    std::mutex mutex;
    std::map<std::string, std::pair<std::string, std::int64_t>> rows;  // value and commit, in milliseconds
  };
  Host(std::string name, bool primary, Data& data, Record& record)
      : name_(std::move(name)),
        primary_(primary),
        data_(data),
        record_(record),
        server_([this](const std::shared_ptr<Socket>& socket) { serve(*socket); }) {}
  /// From now on a replica applies the log so much more slowly. Its thread has been busy for 45% of the time,
  /// so at 12 times the work it gets on at 1 / (12 x 0.45) of the pace of the log.
  void apply_slowly() { slow_since_ = unix_ms(); }
  [[nodiscard]] std::string entry() const {
    return R"({"id":")" + name_ + R"(","addr":")" + address_of(server_.port()) +
           R"(","zone":"a","kind":"std3","cell":1,"state":"SERVING","weight":1.0,"started_ms":0,"recovery":")" +
           (primary_ ? "off" : "on") + "\"}";
  }

 private:
  [[nodiscard]] std::int64_t position() const {
    constexpr std::int64_t usual_delay_ms = 5;
    const auto now = unix_ms();
    if (primary_) return now;
    const auto slow_since = slow_since_.load();
    return (slow_since == 0 ? now : slow_since + (now - slow_since) * 100 / (12 * 45)) - usual_delay_ms;
  }
  static std::string rows(std::string_view value, bool binary,
                          const std::vector<std::pair<std::string, std::string>>& variables) {
    return packet(1, length(1)) + packet(2, column()) +
           packet(3, (binary ? std::string(2, '\0') : std::string()) + text(value)) +
           packet(4, ok(0xfe, variables));
  }
  std::string answer(const Statement& statement) {
    const auto key = statement.prepared ? statement.parameters.at(0) : parse_query(statement.sql).key;
    if (statement.write() && !primary_)
      return packet(1, std::string(1, '\xff') + little_endian(1290, 2) + "#HY000read only");
    auto at = position();
    std::string value = "none";
    {
      const std::lock_guard<std::mutex> lock(data_.mutex);
      if (statement.write()) {
        at = unix_ms() + 1;
        value = statement.prepared ? statement.parameters.at(1) : statement.field("id");
        data_.rows[key] = {value, at};
      } else if (const auto row = data_.rows.find(key); row != data_.rows.end() && row->second.second <= at) {
        value = row->second.first;
      }
    }
    record_.line(name_, statement.write() ? " ran write " : " answers read ", statement.field("id"), " of ",
                 key, ": ", value);
    return rows(value, statement.prepared,
                {{"recovery", primary_ ? "off" : "on"}, {"lsn_ms", std::to_string(at)}});
  }
  void serve(const Socket& socket) {
    PacketReader reader(socket);
    std::map<std::uint64_t, std::string> prepared;
    const std::string greeting = '\x0a' + cstring("8.0") + little_endian(1, 4) + cstring("12345678") +
                                 little_endian(capabilities & 0xffffU, 2) + '\x21' + little_endian(2, 2) +
                                 little_endian(capabilities >> 16U, 2) + '\x15' + std::string(10, '\0') +
                                 cstring("123456789012") + cstring("mysql_native_password");
    if (!socket.send(packet(0, greeting)) || !reader.next() || !socket.send(packet(2, ok(0, {})))) return;
    while (const auto command = reader.next()) {
      if (command->empty()) return;
      Reader in(*command);
      const auto code = in.number(1);
      std::string reply;
      if (code == 3) {
        const auto count = in.length();
        (void)in.length();
        Statement statement;
        for (auto& [name, value] : in.parameters(count)) statement.attributes[name] = value;
        statement.sql = in.rest();
        if (statement.sql == "SHOW health") {
          char report[96];
          std::snprintf(report, sizeof report, "x0=%.3f,x1=%d,pending=0",
                        static_cast<double>(position()) / 1000, primary_ ? 1 : 0);
          reply = rows(report, false, {});
        } else {
          reply = answer(statement);
        }
      } else if (code == 0x16) {
        const auto id = prepared.size() + 1;
        prepared[id] = in.rest();
        const auto placeholders = std::count(prepared[id].begin(), prepared[id].end(), '?');
        reply =
            packet(1, '\0' + little_endian(id, 4) + little_endian(0, 2) +
                          little_endian(static_cast<std::uint64_t>(placeholders), 2) + std::string(3, '\0'));
        for (int i = 0; i < placeholders; ++i) reply += packet(2 + i, column());
      } else if (code == 0x17) {
        Statement statement;
        statement.prepared = true;
        statement.sql = prepared[in.number(4)];
        in.skip(5);
        const auto placeholders = std::count(statement.sql.begin(), statement.sql.end(), '?');
        for (auto& [name, value] : in.parameters(in.length()))
          if (statement.parameters.size() < static_cast<std::size_t>(placeholders))
            statement.parameters.push_back(value);
          else
            statement.attributes[name] = value;
        reply = answer(statement);
      }
      if (!reply.empty() && !socket.send(reply)) return;
    }
  }
  std::string name_;
  bool primary_;
  Data& data_;
  Record& record_;
  std::atomic<std::int64_t> slow_since_{0};
  Server server_;
};

/// A MySQL client that executes prepared statements.
class Client {
 public:
  explicit Client(int port) : socket_(connect_loopback(port)), reader_(socket_) {
    const auto login = little_endian(capabilities, 4) + little_endian(1U << 24U, 4) + '\x21' +
                       std::string(23, '\0') + cstring("svc") + '\0' + cstring("main") +
                       cstring("mysql_native_password");
    if (!socket_.valid() || !reader_.next(5000) || !socket_.send(packet(1, login)) || !reader_.next(5000))
      throw std::runtime_error("the gateway does not welcome a MySQL client");
  }
  std::uint64_t prepare(const std::string& sql) {
    const auto answer = socket_.send(packet(0, '\x16' + sql)) ? reader_.next(5000) : std::nullopt;
    if (!answer || answer->empty() || answer->at(0) != 0) throw std::runtime_error("cannot prepare");
    Reader in(*answer);
    in.skip(1);
    const auto id = in.number(4);
    in.skip(2);
    for (auto left = in.number(2); left > 0; --left) (void)reader_.next(5000);
    return id;
  }
  /// Executes a prepared statement, or with `id` 0 the plain statement `sql`. The answer's code is that of
  /// the error.
  Answer run(std::uint64_t id, const std::string& sql, const std::vector<std::string>& parameters,
             const std::vector<std::pair<std::string, std::string>>& attributes, int timeout_ms) {
    std::vector<std::pair<std::string, std::string>> all;
    for (const auto& parameter : parameters) all.emplace_back("", parameter);
    all.insert(all.end(), attributes.begin(), attributes.end());
    std::string bound = std::string((all.size() + 7) / 8, '\0') + '\1';
    for (const auto& [name, value] : all) bound += std::string("\xfd\0", 2) + text(name);
    for (const auto& [name, value] : all) bound += text(value);
    const auto command =
        id > 0 ? '\x17' + little_endian(id, 4) + '\x08' + little_endian(1, 4) + length(all.size()) + bound
               : '\x03' + length(all.size()) + length(1) + bound + sql;
    Answer answer;
    answer.kind = Answer::ended;
    if (!socket_.send(packet(0, command))) return answer;
    answer.kind = Answer::silent;
    const auto first = reader_.next(timeout_ms);
    if (!first || first->empty()) return answer;
    if (first->at(0) == '\xff') {
      answer.code = std::to_string(Reader(std::string_view(*first).substr(1)).number(2));
      answer.kind = answer.code == "3168" || answer.code == "1040" ? Answer::refused : Answer::failed;
      return answer;
    }
    (void)reader_.next(timeout_ms);  // the column
    const auto row = reader_.next(timeout_ms);
    if (!row || !reader_.next(timeout_ms)) return answer;
    answer.kind = Answer::served;
    answer.value = Reader(std::string_view(*row).substr(id > 0 ? 2 : 0)).text();
    return answer;
  }

 private:
  Socket socket_;
  PacketReader reader_;
};

}  // namespace standins::mysql
