#include "wire/pg_host.h"

#include "router/settings_parser.h"
#include "wire/pg.h"

namespace cedarring::wire {

void PgHost::reset() {
  rows_.clear();
  next_ = Next::description;
  error_code_.clear();
  error_text_.clear();
  health_.clear();
  note_ = {};
  left_ = 0;
  feeding_ = false;
}

/// The last piece makes it a request that may run; until then it never has.
void PgHost::feed() {
  if (!feeding_ || closed() || !job_) return;
  const auto& work = static_cast<const PgWork&>(*job_->work);
  const std::string_view sql = work.sql;
  const std::string_view pieces[] = {sql.substr(0, work.info.deadline_at), digits_,
                                     sql.substr(work.info.deadline_at + work.info.deadline_len)};
  const auto all = pieces[0].size() + pieces[1].size() + pieces[2].size();
  while (feeding_ && out_.empty()) {
    auto skip = fed_;
    std::string part;
    for (auto piece : pieces) {
      const auto passed = std::min(skip, piece.size());
      skip -= passed;
      part += piece.substr(passed, pg_piece - part.size());
    }
    fed_ += part.size();
    if (fed_ < all) {
      write(part);
      continue;
    }
    feeding_ = false;
    part += '\0';
    write_request(part);
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
    const auto& work = static_cast<const PgWork&>(*job_->work);
    if (work.sql.size() > pg_message_most) {
      digits_ = std::to_string(remaining_ms());
      fed_ = 0;
      feeding_ = true;
      pg::put_query_head(out, work.sql.size() - work.info.deadline_len + digits_.size());
      write(out);
      return feed();
    }
    pg::put_query(out, with_deadline(work.sql, work.info, remaining_ms()));
  } else {
    pg::put_query(out, "SHOW health");
  }
  write_request(out);
}

/// The row's head has to be right, for its bytes cannot be taken back.
bool PgHost::long_row() {
  if (!job_ || !job_->attempt || !handshake_done_ || !submitted_ || next_ != Next::row) return false;
  const auto size = pg::long_row(in_.view(), pg_stream_from, pg_row_most);
  if (!size) return false;
  left_ = *size;
  next_ = Next::complete;
  return true;
}

bool PgHost::stream() {
  std::string part = std::exchange(rows_, {});
  const auto in = in_.view();
  const auto n = std::min(left_, in.size());
  part += in.substr(0, n);
  in_.consume(n);
  left_ -= n;
  return part.empty() || pass(part);
}

void PgHost::on_input() {
  while (!closed()) {
    if (left_ > 0 || long_row()) {
      if (!stream() || left_ > 0) return;
      continue;
    }
    // Of a row that claims to be long all of the head is needed.
    if (next_ == Next::row && pg::long_row_begins(in_.view(), pg_stream_from, pg_row_most)) return;
    const auto in = in_.view();
    pg::Message message;
    const auto frame = pg::next_message(in, pg_message_most, message);
    if (frame == pg::Frame::partial) return;
    if (frame == pg::Frame::bad || !take(message.type, message.body, in.substr(0, message.size)))
      return protocol_error();
    in_.consume(message.size);
    if (message.type == 'Z') completed();
  }
}

bool PgHost::take(char type, std::string_view body, std::string_view whole) {
  if (!job_) return false;  // nothing is due: a second answer, or the host's goodbye
  const bool answer = handshake_done_ && submitted_;
  switch (type) {
    case 'T':
      if (!answer || next_ != Next::description || !pg::one_column(body)) return false;
      next_ = Next::row;
      break;
    case 'D': {
      const auto value = pg::only_column(body);
      if (!answer || next_ != Next::row || !value) return false;
      if (!job_->attempt) health_ = *value;
      next_ = Next::complete;
      break;
    }
    case 'C':
      if (!answer || next_ != Next::complete || !pg::take_text(body) || !body.empty()) return false;
      next_ = Next::ready;
      break;
    case 'E':
      return take_error(body);
    case 'Z':
      return body == "I" && (!handshake_done_ || (answer && next_ == Next::ready));
    case 'S': {
      const auto name = pg::take_text(body);
      const auto value = pg::take_text(body);
      if (!name || !value || !body.empty()) return false;
      set_note(*name, *value, note_);
      return true;
    }
    case 'R':
      return !handshake_done_ && body == std::string_view("\0\0\0\0", 4);
    case 'K':
      return !handshake_done_;
    case 'N':
      return true;
    default:
      return false;
  }
  rows_ += whole;
  return rows_.size() <= pg_message_most;
}

/// After a part of an answer an error proves nothing: what the host ran it for has come to light already.
bool PgHost::take_error(std::string_view body) {
  const auto code = pg::error_field(body, 'C');
  if (!pg::valid_code(code) || next_ != Next::description) return false;
  error_code_ = code;
  error_text_ = pg::error_field(body, 'M');
  next_ = Next::ready;
  return true;
}

std::optional<broker::AttemptResult> PgHost::received_result() {
  if (error_code_.empty()) return std::nullopt;
  broker::AttemptResult result;
  result.outcome = pg::outcome_of(error_code_);
  result.metadata = note_;
  result.message = error_text_;
  return result;
}

/// ReadyForQuery: the welcome is over, or the answer is whole.
void PgHost::completed() {
  if (!handshake_done_) {
    if (!error_code_.empty() || !in_.empty()) return protocol_error();
    return on_handshake_done();
  }
  auto result = received_result().value_or(broker::AttemptResult{});
  if (error_code_.empty()) {
    result.metadata = note_;
    result.value = std::move(rows_);
  }
  if (!job_->attempt) result.report = parse_strict_report(health_);
  finish(std::move(result), true);
}

}  // namespace cedarring::wire
