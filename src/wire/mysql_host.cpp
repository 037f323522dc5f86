#include "wire/mysql_host.h"

#include <algorithm>
#include <numeric>

#include "router/settings_parser.h"

namespace cedarring::wire {
namespace {

using namespace mysql;  // NOLINT(google-build-using-namespace): the codec of this protocol

constexpr std::uint32_t required_capabilities =
    protocol_41 | session_track | deprecate_eof | query_attributes;
constexpr std::uint32_t wanted_capabilities = required_capabilities | long_password | long_flag |
                                              connect_with_db | transactions | secure_connection |
                                              plugin_auth;
// Limits for the statements kept prepared on one connection.
constexpr std::size_t max_statements = 64;
constexpr std::size_t max_statement_memory = mysql_max_message_size + 64 * 1024;  // bytes
constexpr std::uint64_t max_columns = 4095;

bool has_header(std::string_view payload, Header header) {
  return !payload.empty() && static_cast<unsigned char>(payload[0]) == header;
}
bool is_ok(std::string_view payload) { return has_header(payload, header_ok); }
bool is_eof(std::string_view payload) { return has_header(payload, header_eof); }
bool is_error(std::string_view payload) { return has_header(payload, header_error); }

/// The parameters of a request, with its deadline attribute (d) set to `remaining_ms`. A prepared statement
/// without this attribute gets one, since the comment of a prepared statement can no longer be changed.
std::vector<Parameter> with_remaining_time(const MysqlRequest& request, std::int64_t remaining_ms) {
  auto parameters = request.parameters;
  auto deadline = std::find_if(parameters.begin() + static_cast<std::ptrdiff_t>(request.placeholders),
                               parameters.end(), [](const Parameter& p) { return p.name == "d"; });
  if (deadline == parameters.end() && !request.prepared) return parameters;
  if (deadline == parameters.end())
    deadline = parameters.insert(parameters.end(), Parameter{0, "d", false, ""});
  deadline->type = type_var_string;
  deadline->null = false;
  deadline->value.clear();
  put_lenenc_text(deadline->value, std::to_string(remaining_ms));
  return parameters;
}

}  // namespace

void MysqlHost::reset() {
  answer_.clear();
  health_.clear();
  error_.clear();
  metadata_ = {};
}

void MysqlHost::write_command(std::string_view payload, bool is_request) {
  std::string out;
  std::uint8_t sequence = 0;
  put_packet(out, sequence, payload);
  if (is_request)
    write_request(out);
  else
    write(out);
}

void MysqlHost::submit() {
  sequence_ = 1;
  if (!job_->attempt) {
    state_ = State::first_packet;
    return write_command(query_packet({}, "SHOW health"), true);
  }
  if (!request().prepared) {
    const auto& query = request();
    state_ = State::first_packet;
    const auto sql =
        query.info.deadline_length > 0 ? with_deadline(query.sql, query.info, remaining_ms()) : query.sql;
    return write_command(query_packet(with_remaining_time(query, remaining_ms()), sql), true);
  }
  const auto it = std::find_if(statements_.begin(), statements_.end(),
                               [&](const Prepared& p) { return p.sql == request().sql; });
  if (it != statements_.end()) {
    statements_.splice(statements_.begin(), statements_, it);
    return execute_prepared(it->id);
  }
  // Preparing has no effect, so until the EXECUTE is written the attempt counts as not sent.
  state_ = State::preparing;
  write_command(std::string(1, static_cast<char>(com_stmt_prepare)) + request().sql, false);
}

void MysqlHost::send_validation() {
  sequence_ = 1;
  state_ = State::validation_header;
  ++validations_;
  write_command(query_packet({}, "SELECT '" + validation_text() + "'"), false);
}

std::string MysqlHost::validation_text() const {
  return "cedarring-validation-" + std::to_string(validations_);
}

bool MysqlHost::handle_validation_packet(std::string_view payload) {
  PacketReader in(payload);
  switch (state_) {
    case State::validation_header:
      state_ = State::validation_column;
      return in.lenenc() == 1 && in.ok() && in.rest().empty();
    case State::validation_column:
      state_ = State::validation_row;
      return !is_error(payload);
    case State::validation_row:
      state_ = State::validation_end;
      return in.lenenc_text() == validation_text() && in.ok() && in.rest().empty();
    default:
      if (!is_eof(payload)) return false;
      state_ = State::idle;
      on_validated();
      return true;
  }
}

void MysqlHost::execute_prepared(std::uint32_t id) {
  sequence_ = 1;
  state_ = State::first_packet;
  write_command(execute_packet(id, request().placeholders, with_remaining_time(request(), remaining_ms())),
                true);
}

void MysqlHost::on_input() {
  while (!closed()) {
    Packet packet;
    const auto frame = next_packet(in_.view(), mysql_max_message_size, packet);
    if (frame == FrameStatus::partial) return;
    if (frame == FrameStatus::malformed) return protocol_error();
    const std::string bytes(in_.view().substr(0, packet.size));
    in_.consume(packet.size);
    packet.payload = std::string_view(bytes).substr(packet_header_size);
    if (!handle_packet(packet)) return protocol_error();
  }
}

bool MysqlHost::handle_packet(const Packet& packet) {
  const auto payload = packet.payload;
  if (packet.sequence != sequence_) return false;  // belongs to another answer
  ++sequence_;
  switch (state_) {
    case State::greeting:
      return handle_greeting(payload);
    case State::login:
      return handle_login_response(payload);
    case State::idle:
      return false;  // nothing has been requested
    case State::preparing:
      return handle_prepare_response(payload);
    case State::prepare_definitions:
      if (--definitions_left_ == 0) execute_prepared(preparing_statement_);
      return true;
    case State::first_packet:
      return handle_first_packet(packet);
    case State::validation_header:
    case State::validation_column:
    case State::validation_row:
    case State::validation_end:
      return handle_validation_packet(payload);
    case State::columns:
    case State::rows:
      break;
  }
  // A column definition or a row.
  std::uint8_t sequence = packet.sequence;
  put_packet(answer_, sequence, payload);
  count_answer_memory(answer_.size());
  if (answer_.size() > mysql_max_message_size) return false;
  if (state_ == State::rows) return handle_row(payload);
  if (--definitions_left_ == 0) state_ = State::rows;
  return true;
}

bool MysqlHost::handle_greeting(std::string_view payload) {
  if (is_error(payload)) {  // such as too many connections
    finish_with_error(payload);
    return true;
  }
  Greeting greeting;
  if (!parse_greeting(payload, greeting) ||
      (greeting.capabilities & required_capabilities) != required_capabilities)
    return false;
  std::string out;
  std::uint8_t sequence = 1;
  sequence_ = 2;
  put_packet(out, sequence, handshake_response(wanted_capabilities & greeting.capabilities, "svc", "main"));
  state_ = State::login;
  return write(out);
}

bool MysqlHost::handle_login_response(std::string_view payload) {
  if (is_error(payload)) {
    finish_with_error(payload);
    return true;
  }
  if (!is_ok(payload)) return false;  // the host asks for a password
  state_ = State::idle;
  on_handshake_done();
  return true;
}

bool MysqlHost::handle_prepare_response(std::string_view payload) {
  if (is_error(payload)) {
    finish_with_error(payload);
    return true;
  }
  PacketReader in(payload);
  if (in.little_endian(1) != 0) return false;
  preparing_statement_ = static_cast<std::uint32_t>(in.little_endian(4));
  const auto columns = in.little_endian(2);
  const auto parameters = in.little_endian(2);
  // With another number of parameters than the gateway counted, the host would misread the EXECUTE.
  if (!in.ok() || parameters != request().placeholders) return false;
  statements_.push_front({request().sql, preparing_statement_});
  const auto statement_memory = [this] {
    return std::accumulate(statements_.begin(), statements_.end(), std::size_t{0},
                           [](std::size_t sum, const Prepared& p) { return sum + p.sql.size(); });
  };
  while (statements_.size() > max_statements || statement_memory() > max_statement_memory) {
    std::string close(1, static_cast<char>(com_stmt_close));
    put_little_endian(close, statements_.back().id, 4);
    statements_.pop_back();
    write_command(close, false);
  }
  definitions_left_ = columns + parameters;
  if (definitions_left_ == 0)
    execute_prepared(preparing_statement_);
  else
    state_ = State::prepare_definitions;
  return true;
}

bool MysqlHost::handle_first_packet(const Packet& packet) {
  const auto payload = packet.payload;
  if (is_error(payload)) {
    finish_with_error(payload);
    return true;
  }
  std::uint8_t sequence = packet.sequence;
  put_packet(answer_, sequence, payload);
  count_answer_memory(answer_.size());
  if (is_ok(payload)) return finish_answer(payload);
  PacketReader in(payload);
  definitions_left_ = in.lenenc();
  state_ = State::columns;
  return in.ok() && definitions_left_ > 0 && definitions_left_ <= max_columns;
}

bool MysqlHost::handle_row(std::string_view payload) {
  if (is_error(payload)) {
    // After part of an answer no error code proves that the statement has not run.
    broker::AttemptResult result;
    result.outcome = Outcome::error;
    finish(std::move(result), false);
    return true;
  }
  if (is_eof(payload)) return finish_answer(payload);
  if (job_ && !job_->attempt) {
    PacketReader row(payload);
    health_ = row.lenenc_text();
  }
  return true;
}

bool MysqlHost::finish_answer(std::string_view payload) {
  Ok ok;
  if (!parse_ok(payload, ok) || (ok.status & status_more_results) != 0 || !job_) return false;
  for (const auto& [name, value] : ok.variables) apply_host_variable(name, value, metadata_);
  state_ = State::idle;
  broker::AttemptResult result;
  result.metadata = metadata_;
  if (!job_->attempt) result.report = parse_strict_report(health_);
  result.value = std::move(answer_);
  finish(std::move(result), true);
  return true;
}

std::optional<broker::AttemptResult> MysqlHost::received_result() {
  Error error;
  if (error_.empty() || !parse_error(error_, error)) return std::nullopt;
  broker::AttemptResult result;
  result.outcome = outcome_of(error);
  result.message = error_;
  return result;
}

/// An error at login ends the connection. So does an unknown statement: the host may have lost all statements
/// that this connection has prepared.
void MysqlHost::finish_with_error(std::string_view payload) {
  error_ = payload;
  auto result = received_result();
  const bool keep = handshake_done_ && result && result->outcome != Outcome::not_sent;
  if (!job_ || !result) return protocol_error();
  state_ = State::idle;
  finish(std::move(*result), keep);
}

}  // namespace cedarring::wire
