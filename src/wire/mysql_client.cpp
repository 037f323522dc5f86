#include "wire/mysql_client.h"

#include <algorithm>
#include <cctype>

namespace cedarring::wire {
namespace {

using namespace mysql;  // NOLINT(google-build-using-namespace): the codec of this front

constexpr std::uint32_t our_capabilities = long_password | found_rows | long_flag | connect_with_db |
                                           protocol_41 | transactions | secure_connection | ps_multi_results |
                                           plugin_auth | connect_attrs | plugin_auth_lenenc | session_track |
                                           deprecate_eof | query_attributes;
constexpr std::size_t statements_most = 256;               // of one client
constexpr std::size_t held_most = mysql_message_most * 2;  // bytes of its statements and long data

/// The statement's words in capitals, without comments before them: as many as tell what it is.
std::vector<std::string> words_of(std::string_view sql, std::size_t most) {
  std::vector<std::string> words(1);
  for (std::size_t i = 0; i < sql.size() && words.size() <= most; ++i) {
    if (sql.substr(i, 2) == "/*") {
      const auto end = sql.find("*/", i + 2);
      if (end == std::string_view::npos) break;
      i = end + 1;
      continue;
    }
    const auto c = static_cast<unsigned char>(sql[i]);
    if (std::isalnum(c) != 0 || c == '_')
      words.back() += static_cast<char>(std::toupper(c));
    else if (!words.back().empty())
      words.emplace_back();
  }
  words.resize(std::max(words.size(), most));
  return words;
}

/// The packets of a host's answer, framed anew: what ends a row set depends on what the client can read.
void put_result(std::string_view value, bool eof_deprecated, bool track, std::uint8_t& sequence,
                std::string& out) {
  Packet p;
  const auto take = [&] {
    if (next_packet(value, value.size(), p) != Frame::whole) return false;
    value.remove_prefix(p.size);
    return true;
  };
  if (!take()) return;
  Ok ok;
  if (!p.payload.empty() && p.payload[0] == '\0') {
    parse_ok(p.payload, ok);
    return put_packet(out, sequence, ok_packet(ok, 0, track));
  }
  Reader count(p.payload);
  const auto columns = count.lenenc();
  put_packet(out, sequence, p.payload);
  for (std::uint64_t i = 0; i < columns && take(); ++i) put_packet(out, sequence, p.payload);
  if (!eof_deprecated) put_packet(out, sequence, eof_packet(status_autocommit));
  while (take()) {
    if (!value.empty()) {
      put_packet(out, sequence, p.payload);
      continue;
    }
    parse_ok(p.payload, ok);
    put_packet(out, sequence, eof_deprecated ? ok_packet(ok, 0xfe, track) : eof_packet(ok.status));
  }
}

}  // namespace

void MysqlClient::greet() {
  static std::uint32_t next_id = 1;
  std::string out;
  sequence_ = 0;
  put_packet(out, sequence_, greeting(next_id++, our_capabilities));
  reply(out);
}

void MysqlClient::fatal(std::uint16_t code, std::string_view state, const std::string& message) {
  std::string out;
  put_packet(out, sequence_, error_packet({code, std::string(state), message}));
  reply_and_close(out);
}

void MysqlClient::error(std::uint16_t code, std::string_view state, const std::string& message) {
  std::string out;
  put_packet(out, sequence_, error_packet({code, std::string(state), message}));
  reply(out);
}

void MysqlClient::ok() {
  std::string out;
  put_packet(out, sequence_, ok_packet({}, 0, false));
  reply(out);
}

void MysqlClient::turn_away() { fatal(1040, "08004", "Too many connections"); }

bool MysqlClient::process_command() {
  Packet packet;
  const auto frame = next_packet(in_.view(), mysql_message_most, packet);
  if (frame == Frame::partial) return false;
  if (frame == Frame::bad) {
    sequence_ = 1;
    return fatal(1153, "08S01", "Got a packet bigger than 'max_allowed_packet' bytes"), false;
  }
  sequence_ = static_cast<std::uint8_t>(packet.sequence + 1);
  const std::string payload(packet.payload);
  in_.consume(packet.size);
  if (welcomed_)
    on_command_received(), command(payload);
  else
    shake_hands(payload);
  return !closed();
}

void MysqlClient::shake_hands(std::string_view payload) {
  HandshakeResponse response;
  if (!parse_handshake_response(payload, response) || (response.capabilities & ssl) != 0)
    return fatal(1043, "08S01", "Bad handshake");
  capabilities_ = response.capabilities & our_capabilities;
  welcomed_ = true;
  ok();
}

void MysqlClient::Statement::drop_long_data() {
  long_data.assign(placeholders, std::nullopt);
  long_bytes = 0;
  overlong = false;
}

/// Of all its statements: one client must not take the memory of the others.
std::size_t MysqlClient::held_bytes() const {
  std::size_t sum = 0;
  for (const auto& [id, s] : statements_) sum += s.bytes();
  return sum;
}

void MysqlClient::command(std::string_view payload) {
  if (payload.empty()) return fatal(1835, "HY000", "Malformed communication packet");
  const auto body = payload.substr(1);
  Reader in(body);
  switch (static_cast<unsigned char>(payload[0])) {
    case com_quit:
      return leave();
    case com_ping:
    case com_init_db:
      return ok();
    case com_reset_connection:
      statements_.clear();
      return ok();
    case com_query:
      return query(payload);
    case com_stmt_prepare:
      return prepare(body);
    case com_stmt_execute:
      return execute(payload);
    case com_stmt_send_long_data:
      return long_data(body);
    case com_stmt_close:  // by the protocol without an answer
      statements_.erase(static_cast<std::uint32_t>(in.fixed(4)));
      return;
    case com_stmt_reset: {
      auto* s = statement(static_cast<std::uint32_t>(in.fixed(4)));
      if (!s) return;
      s->drop_long_data();
      return ok();
    }
    case com_stmt_fetch:
      return error(1235, "42000", "This gateway doesn't yet support 'cursors'");
    case com_set_option:
      return error(1235, "42000", "This gateway doesn't yet support 'multi-statements'");
    default:
      return error(1047, "08S01", "Unknown command");
  }
}

MysqlClient::Statement* MysqlClient::statement(std::uint32_t id) {
  const auto it = statements_.find(id);
  if (it != statements_.end()) return &it->second;
  error(1243, "HY000", "Unknown prepared statement handler (" + std::to_string(id) + ")");
  return nullptr;
}

/// Says what is not supported. A transaction would pin a session to a host that may hand over.
bool MysqlClient::supported(std::string_view sql) {
  const auto shape = shape_of(sql);
  if (!shape.whole)
    return error(1064, "42000", "You have an error in your SQL syntax: unclosed quote or comment"), false;
  if (shape.several)
    return error(1235, "42000", "This gateway doesn't yet support 'multi-statements'"), false;
  const auto w = words_of(sql, 4);
  const auto set = std::find(w.begin(), w.end(), "AUTOCOMMIT");
  const bool autocommit_off = w[0] == "SET" && set != w.end() && set + 1 != w.end() && *(set + 1) != "1" &&
                              *(set + 1) != "ON" && *(set + 1) != "TRUE" && *(set + 1) != "DEFAULT";
  const bool transaction = w[0] == "BEGIN" || w[0] == "COMMIT" || w[0] == "ROLLBACK" || w[0] == "SAVEPOINT" ||
                           w[0] == "RELEASE" || w[0] == "XA" || w[0] == "LOCK" || w[0] == "UNLOCK" ||
                           (w[0] == "START" && w[1] == "TRANSACTION") || autocommit_off;
  if (transaction) return error(1235, "42000", "This gateway doesn't yet support 'transactions'"), false;
  return true;
}

void MysqlClient::query(std::string_view payload) {
  Query q;
  if (!parse_query(payload, can(query_attributes), q))
    return fatal(1835, "HY000", "Malformed communication packet");
  const auto w = words_of(q.sql, 1);
  if (w[0].empty()) return error(1065, "42000", "Query was empty");
  if (!supported(q.sql)) return;
  if (w[0] == "SET" || w[0] == "USE") return ok();  // what drivers say at their start; hosts need none of it
  auto work = std::make_shared<MysqlWork>();
  work->sql = q.sql;
  work->parameters = std::move(q.attributes);
  submit(std::move(work));
}

void MysqlClient::prepare(std::string_view sql) {
  if (words_of(sql, 1)[0].empty()) return error(1065, "42000", "Query was empty");
  if (!supported(sql)) return;
  if (statements_.size() >= statements_most || held_bytes() + sql.size() > held_most)
    return error(1461, "42000", "Can't create more than max_prepared_stmt_count statements");
  const auto id = next_statement_++;
  auto& s = statements_[id];
  s.sql = sql;
  s.placeholders = shape_of(sql).placeholders;
  if (s.placeholders > 0xffff) {
    statements_.erase(id);
    return error(1390, "HY000", "Prepared statement contains too many placeholders");
  }
  s.long_data.assign(s.placeholders, std::nullopt);
  // The id is ours and no host is asked yet: each is when an execute goes there. What columns there are, the
  // answer to the execute tells, as for SHOW.
  std::string head(1, '\0');
  put_fixed(head, id, 4);
  put_fixed(head, 0, 2);
  put_fixed(head, s.placeholders, 2);
  put_fixed(head, 0, 1 + 2);
  std::string out;
  put_packet(out, sequence_, head);
  std::string column;
  for (const auto text : {"def", "", "", "", "?", ""}) put_lenenc_text(column, text);
  put_lenenc(column, 12);
  put_fixed(column, 63, 2);  // binary
  put_fixed(column, 0, 4);
  put_fixed(column, 0xfd, 1);
  put_fixed(column, 0x80, 2);
  put_fixed(column, 0, 1 + 2);
  for (std::size_t i = 0; i < s.placeholders; ++i) put_packet(out, sequence_, column);
  if (s.placeholders > 0 && !can(deprecate_eof)) put_packet(out, sequence_, eof_packet(status_autocommit));
  reply(out);
}

/// By the protocol without an answer: what is wrong with it is said at the execute.
void MysqlClient::long_data(std::string_view body) {
  Reader in(body);
  const auto it = statements_.find(static_cast<std::uint32_t>(in.fixed(4)));
  const auto parameter = in.fixed(2);
  if (!in.ok() || it == statements_.end()) return;
  auto& s = it->second;
  if (parameter >= s.placeholders || held_bytes() + in.rest().size() > held_most) {
    s.overlong = true;
    return;
  }
  s.long_bytes += in.rest().size();
  auto& data = s.long_data[parameter];
  if (!data) data.emplace();
  *data += in.rest();
}

void MysqlClient::execute(std::string_view payload) {
  Reader head(payload.substr(1));
  auto* s = statement(static_cast<std::uint32_t>(head.fixed(4)));
  if (!s) return;
  if (s->overlong) return error(1153, "08S01", "Got a packet bigger than 'max_allowed_packet' bytes");
  Execute e;
  if (!parse_execute(payload, can(query_attributes), s->placeholders, s->types, s->long_data, e))
    return error(1210, "HY000", "Incorrect arguments to mysqld_stmt_execute");
  if ((e.flags & 7U) != 0) return error(1235, "42000", "This gateway doesn't yet support 'cursors'");
  s->types = e.parameters;
  for (auto& t : s->types) t.value.clear();
  s->drop_long_data();
  auto work = std::make_shared<MysqlWork>();
  work->prepared = true;
  work->sql = s->sql;
  work->placeholders = s->placeholders;
  work->parameters = std::move(e.parameters);
  submit(std::move(work));
}

/// Contract data: the statement's trailing comment, and over it the query attributes.
void MysqlClient::submit(std::shared_ptr<MysqlWork> work) {
  std::string missing;
  parse_statement(work->sql, work->info, missing);
  work->texts.reserve(work->parameters.size());  // the views into it must hold
  for (std::size_t i = work->placeholders; i < work->parameters.size(); ++i) {
    const auto& p = work->parameters[i];
    const auto text = text_of(p);
    if (!text) continue;
    work->texts.push_back(*text);
    if (!set_field(p.name, work->texts.back(), work->info))
      return error(1210, "HY000", "the statement lacks a number in " + p.name);
  }
  if (const auto lacks = lacking(work->info); !lacks.empty())
    return error(1210, "HY000", "the statement lacks " + std::string(lacks));
  switch (submit_request(work->info, work)) {
    case broker::Rejection::none:
      return;
    case broker::Rejection::unknown_contract:
      return error(1210, "HY000", "unknown class in c");
    case broker::Rejection::unknown_tenant:
      return error(1210, "HY000", "unknown tenant in t");
    case broker::Rejection::unknown_group:
      return error(1049, "42000", "unknown group in cluster");
    case broker::Rejection::name_in_use:
      return error(1210, "HY000", "id of another open request");
    case broker::Rejection::overfull:
      return error(1040, "08004", "Too many requests");
    case broker::Rejection::late:
      return error(3168, "HY000", "Its time ran out before its turn, nothing has run");
  }
}

void MysqlClient::resume(const std::string& state) {
  const auto capabilities = to_int(state);
  if (!capabilities) return leave();
  capabilities_ = static_cast<std::uint32_t>(*capabilities) & our_capabilities;
  welcomed_ = true;
  on_command_received();
}

void MysqlClient::put_answer(broker::FinalAnswer answer, std::string& out) {
  Error e;
  switch (answer.status) {
    case broker::AnswerStatus::served:
      return put_result(answer.value, can(deprecate_eof), can(session_track), sequence_, out);
    case broker::AnswerStatus::refused: {
      const auto ms = std::chrono::ceil<std::chrono::milliseconds>(answer.retry_after).count();
      e = {3168, "HY000",
           "Server isn't available, " + refusal_text(answer.verdict) + "; come again after " +
               std::to_string(ms) + " ms"};
      break;
    }
    case broker::AnswerStatus::failed:
      if (answer.last_outcome == Outcome::timeout)
        e = {3024, "HY000", "Query execution was interrupted, maximum statement execution time exceeded"};
      else if (answer.last_outcome != Outcome::error || !parse_error(answer.message, e))
        e = {1105, "HY000", "The request has failed; it may have run"};
      break;
  }
  put_packet(out, sequence_, error_packet(e));
}

}  // namespace cedarring::wire
