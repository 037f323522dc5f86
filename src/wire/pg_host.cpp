#include "wire/pg_host.h"

#include "router/settings_parser.h"
#include "wire/pg.h"

namespace cedarring::wire {

void PgHost::reset() {
  answer_.clear();
  if (!validating()) expected_ = Expected::description;
  error_code_.clear();
  error_message_.clear();
  health_.clear();
  metadata_ = {};
  row_remaining_ = 0;
  writing_statement_ = false;
}

/// Only the last chunk is written as the request: until then the host cannot have run the statement.
void PgHost::write_statement() {
  if (!writing_statement_ || closed() || !job_) return;
  const auto& request = static_cast<const PgRequest&>(*job_->payload);
  const std::string_view sql = request.sql;
  // The statement with the remaining time in place of the client's deadline.
  const std::string_view pieces[] = {sql.substr(0, request.info.deadline_offset), deadline_digits_,
                                     sql.substr(request.info.deadline_offset + request.info.deadline_length)};
  const auto total = pieces[0].size() + pieces[1].size() + pieces[2].size();
  while (writing_statement_ && out_.empty()) {
    auto bytes_to_skip = statement_written_;
    std::string chunk;
    for (auto piece : pieces) {
      const auto skipped = std::min(bytes_to_skip, piece.size());
      bytes_to_skip -= skipped;
      chunk += piece.substr(skipped, pg_write_chunk_size - chunk.size());
    }
    statement_written_ += chunk.size();
    if (statement_written_ < total) {
      write(chunk);
      continue;
    }
    writing_statement_ = false;
    chunk += '\0';
    write_request(chunk);
  }
}

void PgHost::on_open() {
  std::string out;
  pg::put_startup(out, "svc", "main");
  write(out);
}

void PgHost::submit() {
  std::string out;
  if (job_->attempt) {
    const auto& request = static_cast<const PgRequest&>(*job_->payload);
    if (request.sql.size() > pg_max_message_size) {
      deadline_digits_ = std::to_string(remaining_ms());
      statement_written_ = 0;
      writing_statement_ = true;
      pg::put_query_header(out, request.sql.size() - request.info.deadline_length + deadline_digits_.size());
      write(out);
      return write_statement();
    }
    pg::put_query(out, with_deadline(request.sql, request.info, remaining_ms()));
  } else {
    pg::put_query(out, "SHOW health");
  }
  write_request(out);
}

void PgHost::send_validation() {
  expected_ = Expected::empty_query_response;
  std::string out;
  pg::put_query(out, "");
  write(out);
}

/// The row's header is checked before its first byte is forwarded, since the client may have received this
/// byte by the time the rest arrives.
bool PgHost::start_row_stream() {
  if (!job_ || !job_->attempt || !handshake_done_ || !submitted_ || expected_ != Expected::row) return false;
  const auto size = pg::long_row_size(in_.view(), pg_stream_threshold, pg_max_row_size);
  if (!size) return false;
  row_remaining_ = *size;
  expected_ = Expected::complete;
  return true;
}

bool PgHost::stream_row() {
  std::string part = std::exchange(answer_, {});
  count_answer_memory(0);
  const auto in = in_.view();
  const auto count = std::min(row_remaining_, in.size());
  part += in.substr(0, count);
  in_.consume(count);
  row_remaining_ -= count;
  return part.empty() || forward_answer_part(part);
}

void PgHost::on_input() {
  while (!closed()) {
    if (row_remaining_ > 0 || start_row_stream()) {
      if (!stream_row() || row_remaining_ > 0) return;
      continue;
    }
    // Whether a row is streamed can be told only from its complete header.
    if (expected_ == Expected::row &&
        pg::may_begin_long_row(in_.view(), pg_stream_threshold, pg_max_row_size))
      return;
    const auto in = in_.view();
    pg::Message message;
    const auto frame = pg::next_message(in, pg_max_message_size, message);
    if (frame == pg::FrameStatus::partial) return;
    if (frame == pg::FrameStatus::malformed ||
        !handle_message(message.type, message.body, in.substr(0, message.size)))
      return protocol_error();
    in_.consume(message.size);
    if (message.type == pg::message_type::ready_for_query) handle_ready_for_query();
  }
}

bool PgHost::handle_message(char type, std::string_view body, std::string_view message_bytes) {
  if (validating()) return handle_validation_message(type, body);
  if (!job_) return false;  // unsolicited: a second answer, or an error before the host closes
  const bool in_answer = handshake_done_ && submitted_;
  switch (type) {
    case pg::message_type::row_description:
      if (!in_answer || expected_ != Expected::description || !pg::has_one_column(body)) return false;
      expected_ = Expected::row;
      break;
    case pg::message_type::data_row: {
      const auto value = pg::single_column_value(body);
      if (!in_answer || expected_ != Expected::row || !value) return false;
      if (!job_->attempt) health_ = *value;
      expected_ = Expected::complete;
      break;
    }
    case pg::message_type::command_complete:
      if (!in_answer || expected_ != Expected::complete || !pg::read_cstring(body) || !body.empty())
        return false;
      expected_ = Expected::ready;
      break;
    case pg::message_type::error_response:
      return handle_error(body);
    case pg::message_type::ready_for_query:
      return body == "I" && (!handshake_done_ || (in_answer && expected_ == Expected::ready));
    case pg::message_type::parameter_status: {
      const auto name = pg::read_cstring(body);
      const auto value = pg::read_cstring(body);
      if (!name || !value || !body.empty()) return false;
      apply_host_variable(*name, *value, metadata_);
      return true;
    }
    case pg::message_type::authentication:
      return !handshake_done_ && body == std::string_view("\0\0\0\0", 4);
    case pg::message_type::backend_key_data:
      return !handshake_done_;
    case pg::message_type::notice_response:
      return true;
    default:
      return false;
  }
  answer_ += message_bytes;
  count_answer_memory(answer_.size());
  return answer_.size() <= pg_max_message_size;
}

bool PgHost::handle_validation_message(char type, std::string_view body) {
  switch (type) {
    case pg::message_type::empty_query_response:
      if (expected_ != Expected::empty_query_response || !body.empty()) return false;
      expected_ = Expected::ready;
      return true;
    case pg::message_type::ready_for_query:
      return expected_ == Expected::ready && body == "I";
    case pg::message_type::parameter_status:
    case pg::message_type::notice_response:
      return true;  // of no request
    default:
      return false;
  }
}

/// Rejects an error after part of an answer: it does not prove that the statement had no effect.
bool PgHost::handle_error(std::string_view body) {
  const auto code = pg::error_response_field(body, 'C');
  if (!pg::is_sqlstate(code) || expected_ != Expected::description) return false;
  error_code_ = code;
  error_message_ = pg::error_response_field(body, 'M');
  expected_ = Expected::ready;
  return true;
}

std::optional<broker::AttemptResult> PgHost::received_result() {
  if (error_code_.empty()) return std::nullopt;
  broker::AttemptResult result;
  result.outcome = pg::outcome_of(error_code_);
  result.metadata = metadata_;
  result.message = error_message_;
  return result;
}

/// ReadyForQuery ends the startup, an answer or the validation.
void PgHost::handle_ready_for_query() {
  if (validating()) return on_validated();
  if (!handshake_done_) {
    if (!error_code_.empty() || !in_.empty()) return protocol_error();  // nothing has been requested yet
    return on_handshake_done();
  }
  auto result = received_result().value_or(broker::AttemptResult{});
  if (error_code_.empty()) {
    result.metadata = metadata_;
    result.value = std::move(answer_);
  }
  if (!job_->attempt) result.report = parse_strict_report(health_);
  finish(std::move(result), true);
}

}  // namespace cedarring::wire
