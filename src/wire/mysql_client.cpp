#include "wire/mysql_client.h"

#include <algorithm>
#include <cctype>

namespace cedarring::wire {
namespace {

using namespace mysql;  // NOLINT(google-build-using-namespace): the codec of this protocol

constexpr std::uint32_t gateway_capabilities =
    long_password | found_rows | long_flag | connect_with_db | protocol_41 | transactions |
    secure_connection | ps_multi_results | plugin_auth | connect_attrs | plugin_auth_lenenc | session_track |
    deprecate_eof | query_attributes;
// Limits for one client's prepared statements, so that one client cannot use up the memory for all.
constexpr std::size_t max_statements = 256;
constexpr std::size_t max_statement_memory = mysql_max_message_size * 2;  // bytes, with their long data
constexpr std::size_t max_placeholders = 0xffff;  // the protocol counts them in two bytes

// The longest form that check_supported() recognizes: SET SESSION AUTOCOMMIT and the value.
constexpr std::size_t words_checked = 4;

constexpr std::uint16_t parameter_definition_flags = 0x80;  // BINARY_FLAG
constexpr int definition_fixed_size = 12;                   // bytes after the texts of a column definition

/// The first words of a statement in upper case, comments and punctuation skipped: at least `count`, with
/// empty words behind those that the statement has.
std::vector<std::string> leading_words(std::string_view sql, std::size_t count) {
  std::vector<std::string> words(1);
  for (std::size_t i = 0; i < sql.size() && words.size() <= count; ++i) {
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
  words.resize(std::max(words.size(), count));
  return words;
}

/// Appends the packets of a host's answer to `out` with new sequence numbers. If the client supports that
/// (`eof_deprecated`), an OK packet ends the row set, otherwise an EOF packet.
void put_result(std::string_view answer, bool eof_deprecated, bool track_session, std::uint8_t& sequence,
                std::string& out) {
  Packet packet;
  const auto read_packet = [&] {
    if (next_packet(answer, answer.size(), packet) != FrameStatus::complete) return false;
    answer.remove_prefix(packet.size);
    return true;
  };
  if (!read_packet()) return;
  Ok ok;
  if (!packet.payload.empty() && packet.payload[0] == static_cast<char>(header_ok)) {
    parse_ok(packet.payload, ok);
    return put_packet(out, sequence, ok_packet(ok, header_ok, track_session));
  }
  PacketReader header(packet.payload);
  const auto columns = header.lenenc();
  put_packet(out, sequence, packet.payload);
  for (std::uint64_t i = 0; i < columns && read_packet(); ++i) put_packet(out, sequence, packet.payload);
  if (!eof_deprecated) put_packet(out, sequence, eof_packet(status_autocommit));
  while (read_packet()) {
    if (!answer.empty()) {  // a row; only the last packet ends the answer
      put_packet(out, sequence, packet.payload);
      continue;
    }
    parse_ok(packet.payload, ok);
    put_packet(out, sequence,
               eof_deprecated ? ok_packet(ok, header_eof, track_session) : eof_packet(ok.status));
  }
}

}  // namespace

void MysqlClient::greet() {
  static std::uint32_t next_id = 1;
  std::string out;
  sequence_ = 0;
  put_packet(out, sequence_, greeting(next_id++, gateway_capabilities));
  reply(out);
}

void MysqlClient::send_fatal(std::uint16_t code, std::string_view state, const std::string& message) {
  std::string out;
  put_packet(out, sequence_, error_packet({code, std::string(state), message}));
  reply_and_close(out);
}

void MysqlClient::send_error(std::uint16_t code, std::string_view state, const std::string& message) {
  std::string out;
  put_packet(out, sequence_, error_packet({code, std::string(state), message}));
  reply(out);
}

void MysqlClient::send_ok() {
  std::string out;
  put_packet(out, sequence_, ok_packet({}, header_ok, false));
  reply(out);
}

void MysqlClient::reject_too_many_clients() {
  send_fatal(er_too_many_connections, "08004", "Too many connections");
}

bool MysqlClient::process_command() {
  Packet packet;
  const auto frame = next_packet(in_.view(), mysql_max_message_size, packet);
  if (frame == FrameStatus::partial) return false;
  if (frame == FrameStatus::malformed) {
    sequence_ = 1;
    send_fatal(er_packet_too_large, "08S01", "Got a packet bigger than 'max_allowed_packet' bytes");
    return false;
  }
  sequence_ = static_cast<std::uint8_t>(packet.sequence + 1);
  const std::string payload(packet.payload);
  in_.consume(packet.size);
  if (logged_in_) {
    on_command_received();
    handle_command(payload);
    prepared_memory_.set(statement_memory());
  } else {
    handle_handshake_response(payload);
  }
  return !closed();
}

void MysqlClient::handle_handshake_response(std::string_view payload) {
  HandshakeResponse response;
  if (!parse_handshake_response(payload, response) || (response.capabilities & ssl) != 0)
    return send_fatal(er_bad_handshake, "08S01", "Bad handshake");
  capabilities_ = response.capabilities & gateway_capabilities;
  logged_in_ = true;
  send_ok();
}

void MysqlClient::Statement::reset_long_data() {
  long_data.assign(placeholders, std::nullopt);
  long_data_size = 0;
  long_data_rejected = false;
}

std::size_t MysqlClient::statement_memory() const {
  std::size_t sum = 0;
  for (const auto& [id, statement] : statements_) sum += statement.size();
  return sum;
}

void MysqlClient::handle_command(std::string_view payload) {
  if (payload.empty()) return send_fatal(er_malformed_packet, "HY000", "Malformed communication packet");
  const auto body = payload.substr(1);
  PacketReader in(body);
  switch (static_cast<unsigned char>(payload[0])) {
    case com_quit:
      return close_and_cancel();
    case com_ping:
    case com_init_db:
      return send_ok();
    case com_reset_connection:
      statements_.clear();
      return send_ok();
    case com_query:
      return handle_query(payload);
    case com_stmt_prepare:
      return handle_prepare(body);
    case com_stmt_execute:
      return handle_execute(payload);
    case com_stmt_send_long_data:
      return handle_long_data(body);
    case com_stmt_close:  // has no answer in the protocol
      statements_.erase(static_cast<std::uint32_t>(in.little_endian(4)));
      return;
    case com_stmt_reset: {
      auto* statement = find_statement(static_cast<std::uint32_t>(in.little_endian(4)));
      if (!statement) return;
      statement->reset_long_data();
      return send_ok();
    }
    case com_stmt_fetch:
      return send_error(er_not_supported_yet, "42000", "This gateway doesn't yet support 'cursors'");
    case com_set_option:
      return send_error(er_not_supported_yet, "42000", "This gateway doesn't yet support 'multi-statements'");
    default:
      return send_error(er_unknown_command, "08S01", "Unknown command");
  }
}

MysqlClient::Statement* MysqlClient::find_statement(std::uint32_t id) {
  const auto it = statements_.find(id);
  if (it != statements_.end()) return &it->second;
  send_error(er_unknown_statement, "HY000",
             "Unknown prepared statement handler (" + std::to_string(id) + ")");
  return nullptr;
}

/// Transactions are not supported: one would tie a session to a host that may hand over its role.
bool MysqlClient::check_supported(std::string_view sql) {
  const auto shape = scan_statement(sql);
  if (!shape.terminated) {
    send_error(er_parse_error, "42000", "You have an error in your SQL syntax: unclosed quote or comment");
    return false;
  }
  if (shape.multiple) {
    send_error(er_not_supported_yet, "42000", "This gateway doesn't yet support 'multi-statements'");
    return false;
  }
  const auto words = leading_words(sql, words_checked);
  const auto autocommit = std::find(words.begin(), words.end(), "AUTOCOMMIT");
  const bool autocommit_off = words[0] == "SET" && autocommit != words.end() &&
                              autocommit + 1 != words.end() && *(autocommit + 1) != "1" &&
                              *(autocommit + 1) != "ON" && *(autocommit + 1) != "TRUE" &&
                              *(autocommit + 1) != "DEFAULT";
  const bool transaction = words[0] == "BEGIN" || words[0] == "COMMIT" || words[0] == "ROLLBACK" ||
                           words[0] == "SAVEPOINT" || words[0] == "RELEASE" || words[0] == "XA" ||
                           words[0] == "LOCK" || words[0] == "UNLOCK" ||
                           (words[0] == "START" && words[1] == "TRANSACTION") || autocommit_off;
  if (transaction) {
    send_error(er_not_supported_yet, "42000", "This gateway doesn't yet support 'transactions'");
    return false;
  }
  return true;
}

void MysqlClient::handle_query(std::string_view payload) {
  Query query;
  if (!parse_query(payload, supports(query_attributes), query))
    return send_fatal(er_malformed_packet, "HY000", "Malformed communication packet");
  const auto words = leading_words(query.sql, 1);
  if (words[0].empty()) return send_error(er_empty_query, "42000", "Query was empty");
  if (!check_supported(query.sql)) return;
  if (words[0] == "SET" || words[0] == "USE")
    return send_ok();  // sent by drivers on connect; hosts do not need them
  auto request = std::make_shared<MysqlRequest>();
  request->sql = query.sql;
  request->parameters = std::move(query.attributes);
  submit(std::move(request));
}

void MysqlClient::handle_prepare(std::string_view sql) {
  if (leading_words(sql, 1)[0].empty()) return send_error(er_empty_query, "42000", "Query was empty");
  if (!check_supported(sql)) return;
  if (statements_.size() >= max_statements || statement_memory() + sql.size() > max_statement_memory ||
      !broker::MessageMemory::available(sql.size()))
    return send_error(er_too_many_prepared_statements, "42000",
                      "Can't create more than max_prepared_stmt_count statements");
  const auto id = next_statement_id_++;
  auto& statement = statements_[id];
  statement.sql = sql;
  statement.placeholders = scan_statement(sql).placeholders;
  if (statement.placeholders > max_placeholders) {
    statements_.erase(id);
    return send_error(er_too_many_placeholders, "HY000", "Prepared statement contains too many placeholders");
  }
  statement.long_data.assign(statement.placeholders, std::nullopt);
  // The gateway assigns the id. A host prepares the statement when it is first executed there, so the columns
  // are not known yet: none are announced here, as for SHOW, and the answer to the execution defines them.
  std::string header(1, '\0');
  put_little_endian(header, id, 4);
  put_little_endian(header, 0, 2);  // columns
  put_little_endian(header, statement.placeholders, 2);
  put_little_endian(header, 0, 1 + 2);  // filler, warnings
  std::string out;
  put_packet(out, sequence_, header);
  std::string column;
  // Catalog, schema, table, original table, name, original name.
  for (const auto text : {"def", "", "", "", "?", ""}) put_lenenc_text(column, text);
  put_lenenc(column, definition_fixed_size);
  put_little_endian(column, charset_binary, 2);
  put_little_endian(column, 0, 4);  // maximum length
  put_little_endian(column, type_var_string, 1);
  put_little_endian(column, parameter_definition_flags, 2);
  put_little_endian(column, 0, 1 + 2);  // decimals, filler
  for (std::size_t i = 0; i < statement.placeholders; ++i) put_packet(out, sequence_, column);
  if (statement.placeholders > 0 && !supports(deprecate_eof))
    put_packet(out, sequence_, eof_packet(status_autocommit));
  reply(out);
}

/// The command has no answer in the protocol: an error is reported by the next execution.
void MysqlClient::handle_long_data(std::string_view body) {
  PacketReader in(body);
  const auto it = statements_.find(static_cast<std::uint32_t>(in.little_endian(4)));
  const auto parameter = in.little_endian(2);
  if (!in.ok() || it == statements_.end()) return;
  auto& statement = it->second;
  if (parameter >= statement.placeholders || statement_memory() + in.rest().size() > max_statement_memory ||
      !broker::MessageMemory::available(in.rest().size())) {
    statement.long_data_rejected = true;
    return;
  }
  statement.long_data_size += in.rest().size();
  auto& data = statement.long_data[parameter];
  if (!data) data.emplace();
  *data += in.rest();
}

void MysqlClient::handle_execute(std::string_view payload) {
  PacketReader reader(payload.substr(1));
  auto* statement = find_statement(static_cast<std::uint32_t>(reader.little_endian(4)));
  if (!statement) return;
  if (statement->long_data_rejected)
    return send_error(er_packet_too_large, "08S01", "Got a packet bigger than 'max_allowed_packet' bytes");
  Execute execute;
  if (!parse_execute(payload, supports(query_attributes), statement->placeholders, statement->types,
                     statement->long_data, execute))
    return send_error(er_wrong_arguments, "HY000", "Incorrect arguments to mysqld_stmt_execute");
  if ((execute.flags & execute_cursor_flags) != 0)
    return send_error(er_not_supported_yet, "42000", "This gateway doesn't yet support 'cursors'");
  statement->types = execute.parameters;
  for (auto& type : statement->types) type.value.clear();
  statement->reset_long_data();
  auto request = std::make_shared<MysqlRequest>();
  request->prepared = true;
  request->sql = statement->sql;
  request->placeholders = statement->placeholders;
  request->parameters = std::move(execute.parameters);
  submit(std::move(request));
}

/// The request fields come from the statement's trailing comment; query attributes override them.
void MysqlClient::submit(std::shared_ptr<MysqlRequest> request) {
  std::string missing;
  parse_statement(request->sql, request->info, missing);
  request->attribute_texts.reserve(request->parameters.size());  // views into the texts must stay valid
  for (std::size_t i = request->placeholders; i < request->parameters.size(); ++i) {
    const auto& attribute = request->parameters[i];
    const auto text = text_value(attribute);
    if (!text) continue;
    request->attribute_texts.push_back(*text);
    if (!set_request_field(attribute.name, request->attribute_texts.back(), request->info))
      return send_error(er_wrong_arguments, "HY000", "the statement lacks a number in " + attribute.name);
  }
  if (const auto field = missing_field(request->info); !field.empty())
    return send_error(er_wrong_arguments, "HY000", "the statement lacks " + std::string(field));
  switch (submit_request(request->info, request, request->memory_size())) {
    case broker::Rejection::none:
      return;
    case broker::Rejection::unknown_class:
      return send_error(er_wrong_arguments, "HY000", "unknown class in c");
    case broker::Rejection::unknown_tenant:
      return send_error(er_wrong_arguments, "HY000", "unknown tenant in t");
    case broker::Rejection::unknown_group:
      return send_error(er_unknown_database, "42000", "unknown group in cluster");
    case broker::Rejection::name_in_use:
      return send_error(er_wrong_arguments, "HY000", "id of another open request");
    case broker::Rejection::too_many_requests:
      return send_error(er_too_many_connections, "08004", "Too many requests");
    case broker::Rejection::out_of_memory:
      return send_error(er_server_unavailable, "HY000", "Out of memory, nothing has run: try again later");
    case broker::Rejection::late:
      return send_error(er_server_unavailable, "HY000", "Its time ran out before its turn, nothing has run");
  }
}

void MysqlClient::continue_transferred(const std::string& state) {
  const auto capabilities = to_int(state);
  if (!capabilities) return close_and_cancel();
  capabilities_ = static_cast<std::uint32_t>(*capabilities) & gateway_capabilities;
  logged_in_ = true;
  on_command_received();
}

void MysqlClient::put_answer(broker::FinalAnswer answer, std::string& out) {
  Error error;
  switch (answer.status) {
    case broker::AnswerStatus::served:
      return put_result(answer.value, supports(deprecate_eof), supports(session_track), sequence_, out);
    case broker::AnswerStatus::refused: {
      const auto ms = std::chrono::ceil<std::chrono::milliseconds>(answer.retry_after).count();
      error = {er_server_unavailable, "HY000",
               "Server isn't available, " + refusal_text(answer.verdict) + "; come again after " +
                   std::to_string(ms) + " ms"};
      break;
    }
    case broker::AnswerStatus::failed:
      if (answer.last_outcome == Outcome::timeout)
        error = {er_query_timeout, "HY000",
                 "Query execution was interrupted, maximum statement execution time exceeded"};
      else if (answer.last_outcome != Outcome::error || !parse_error(answer.message, error))
        error = {er_unknown_error, "HY000", "The request has failed; it may have run"};
      break;
  }
  put_packet(out, sequence_, error_packet(error));
}

}  // namespace cedarring::wire
