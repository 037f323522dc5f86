#include "wire/pg_host.h"

#include "sim/adapter.h"
#include "wire/pg.h"

namespace cedarring::wire {

void PgHost::reset() {
  rows_.clear();
  row_count_ = 0;
  complete_ = false;
  error_code_.clear();
  error_text_.clear();
  health_.clear();
  note_ = {};
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
    pg::put_query(out, with_deadline(work.sql, work.info, ms_left()));
  } else {
    pg::put_query(out, "SHOW health");
  }
  write_request(out);
}

void PgHost::on_input() {
  while (!closed()) {
    const auto in = in_.view();
    pg::Message message;
    const auto frame = pg::next_message(in, pg_message_most, message);
    if (frame == pg::Frame::partial) return;
    if (frame == pg::Frame::bad || !take(message.type, message.body, in.substr(0, message.size)))
      return broken();
    in_.consume(message.size);
    if (message.type == 'Z') completed();
  }
}

/// False for an answer that is too long to be held.
bool PgHost::take(char type, std::string_view body, std::string_view whole) {
  switch (type) {
    case 'T':
    case 'D':
    case 'C':
      if (!submitted_) break;
      rows_ += whole;
      if (rows_.size() > pg_message_most) return false;
      if (type == 'C') complete_ = true;
      if (type == 'D') {
        ++row_count_;
        if (job_ && !job_->attempt) health_ = pg::only_column(body).value_or("");
      }
      break;
    case 'E':
      error_code_ = pg::error_field(body, 'C');
      error_text_ = pg::error_field(body, 'M');
      break;
    case 'S': {
      const auto name = pg::take_text(body);
      const auto value = pg::take_text(body);
      if (name && value) set_note(*name, *value, note_);
      break;
    }
    default: break;  // notices and keys: nothing to learn from
  }
  return true;
}

std::optional<memory::AttemptResult> PgHost::said() {
  if (error_code_.empty()) return std::nullopt;
  memory::AttemptResult result;
  result.outcome = pg::outcome_of(error_code_);
  result.note = note_;
  result.message = error_text_;
  return result;
}

/// ReadyForQuery: the welcome is over, or the answer is whole.
void PgHost::completed() {
  if (!welcomed_) return welcome();
  if (!job_ || !submitted_) return;
  auto result = said().value_or(memory::AttemptResult{});
  if (error_code_.empty()) {
    result.note = note_;
    result.outcome = complete_ && row_count_ == 1 ? Outcome::ok : Outcome::error;
    if (result.outcome == Outcome::ok) result.value = std::move(rows_);
  }
  if (!job_->attempt) result.report = sim::parse_report(health_, Time::zero(), '=');
  finish(std::move(result), true);
}

}  // namespace cedarring::wire
