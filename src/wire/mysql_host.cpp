#include "wire/mysql_host.h"

#include <algorithm>
#include <numeric>

#include "router/settings_parser.h"

namespace cedarring::wire {
namespace {

using namespace mysql;  // NOLINT(google-build-using-namespace): the codec of this protocol

constexpr std::uint32_t needed = protocol_41 | session_track | deprecate_eof | query_attributes;
constexpr std::uint32_t wanted =
    needed | long_password | long_flag | connect_with_db | transactions | secure_connection | plugin_auth;
constexpr std::size_t statements_most = 64;  // kept prepared on one connection, and so many bytes of them
constexpr std::size_t held_most = mysql_message_most + 64 * 1024;

bool is_ok(std::string_view p) { return !p.empty() && p[0] == '\0'; }
bool is_error(std::string_view p) { return !p.empty() && p[0] == '\xff'; }

/// The parameters with our own deadline in place of the client's. A prepared statement's comment cannot be
/// changed any more, so there it becomes an attribute.
std::vector<Parameter> with_own_deadline(const MysqlWork& work, std::int64_t ms) {
  auto all = work.parameters;
  auto d = std::find_if(all.begin() + static_cast<std::ptrdiff_t>(work.placeholders), all.end(),
                        [](const Parameter& p) { return p.name == "d"; });
  if (d == all.end() && !work.prepared) return all;
  if (d == all.end()) d = all.insert(all.end(), Parameter{0, "d", false, ""});
  d->type = 0xfd;
  d->null = false;
  d->value.clear();
  put_lenenc_text(d->value, std::to_string(ms));
  return all;
}

}  // namespace

void MysqlHost::reset() {
  answer_.clear();
  health_.clear();
  error_.clear();
  note_ = {};
}

void MysqlHost::command(std::string_view payload, bool request) {
  std::string out;
  std::uint8_t sequence = 0;
  put_packet(out, sequence, payload);
  if (request)
    write_request(out);
  else
    write(out);
}

void MysqlHost::submit() {
  sequence_ = 1;
  if (!job_->attempt) {
    state_ = State::first;
    return command(query_packet({}, "SHOW health"), true);
  }
  if (!work().prepared) {
    const auto& w = work();
    state_ = State::first;
    const auto sql = w.info.deadline_len > 0 ? with_deadline(w.sql, w.info, remaining_ms()) : w.sql;
    return command(query_packet(with_own_deadline(w, remaining_ms()), sql), true);
  }
  const auto it = std::find_if(statements_.begin(), statements_.end(),
                               [&](const Prepared& p) { return p.sql == work().sql; });
  if (it != statements_.end()) {
    statements_.splice(statements_.begin(), statements_, it);
    return prepared(it->id);
  }
  // Preparing has no effect, so until the EXECUTE is written the attempt counts as not run.
  state_ = State::preparing;
  command(std::string(1, static_cast<char>(com_stmt_prepare)) + work().sql, false);
}

void MysqlHost::prepared(std::uint32_t id) {
  sequence_ = 1;
  state_ = State::first;
  command(execute_packet(id, work().placeholders, with_own_deadline(work(), remaining_ms())), true);
}

void MysqlHost::on_input() {
  while (!closed()) {
    Packet packet;
    const auto frame = next_packet(in_.view(), mysql_message_most, packet);
    if (frame == Frame::partial) return;
    if (frame == Frame::bad) return protocol_error();
    const std::string whole(in_.view().substr(0, packet.size));
    in_.consume(packet.size);
    packet.payload = std::string_view(whole).substr(4);
    if (!take(packet)) return protocol_error();
  }
}

bool MysqlHost::take(const Packet& packet) {
  const auto p = packet.payload;
  if (packet.sequence != sequence_) return false;  // of another answer than the one that is due
  ++sequence_;
  switch (state_) {
    case State::greeting:
      return take_greeting(p);
    case State::login:
      return take_login(p);
    case State::idle:
      return false;  // nothing is due
    case State::preparing:
      return take_prepared(p);
    case State::prepare_rest:
      if (--left_ == 0) prepared(preparing_);
      return true;
    case State::first:
      return take_first(packet);
    case State::columns:
    case State::rows:
      break;
  }
  std::uint8_t sequence = packet.sequence;
  put_packet(answer_, sequence, p);
  if (answer_.size() > mysql_message_most) return false;
  if (state_ == State::rows) return take_row(p);
  if (--left_ == 0) state_ = State::rows;
  return true;
}

bool MysqlHost::take_greeting(std::string_view payload) {
  if (is_error(payload)) return failed(payload), true;  // too many connections
  Greeting g;
  if (!parse_greeting(payload, g) || (g.capabilities & needed) != needed) return false;
  std::string out;
  std::uint8_t sequence = 1;
  sequence_ = 2;
  put_packet(out, sequence, handshake_response(wanted & g.capabilities, "svc", "main"));
  state_ = State::login;
  return write(out);
}

bool MysqlHost::take_login(std::string_view payload) {
  if (is_error(payload)) return failed(payload), true;
  if (!is_ok(payload)) return false;  // we have no password to give
  state_ = State::idle;
  on_handshake_done();
  return true;
}

bool MysqlHost::take_prepared(std::string_view payload) {
  if (is_error(payload)) return failed(payload), true;
  Reader in(payload);
  if (in.fixed(1) != 0) return false;
  preparing_ = static_cast<std::uint32_t>(in.fixed(4));
  const auto columns = in.fixed(2), parameters = in.fixed(2);
  // Another number of parameters than we counted: what we would send then would be read as something else.
  if (!in.ok() || parameters != work().placeholders) return false;
  statements_.push_front({work().sql, preparing_});
  const auto held = [this] {
    return std::accumulate(statements_.begin(), statements_.end(), std::size_t{0},
                           [](std::size_t sum, const Prepared& p) { return sum + p.sql.size(); });
  };
  while (statements_.size() > statements_most || held() > held_most) {
    std::string close(1, static_cast<char>(com_stmt_close));
    put_fixed(close, statements_.back().id, 4);
    statements_.pop_back();
    command(close, false);
  }
  left_ = columns + parameters;
  if (left_ == 0)
    prepared(preparing_);
  else
    state_ = State::prepare_rest;
  return true;
}

bool MysqlHost::take_first(const Packet& packet) {
  const auto p = packet.payload;
  if (is_error(p)) return failed(p), true;
  std::uint8_t sequence = packet.sequence;
  put_packet(answer_, sequence, p);
  if (is_ok(p)) return ended(p);
  Reader in(p);
  left_ = in.lenenc();
  state_ = State::columns;
  return in.ok() && left_ > 0 && left_ < 4096;
}

bool MysqlHost::take_row(std::string_view p) {
  if (is_error(p)) {
    // After a part of the answer no code proves any more that nothing has run.
    broker::AttemptResult result;
    result.outcome = Outcome::error;
    finish(std::move(result), false);
    return true;
  }
  if (!p.empty() && p[0] == '\xfe') return ended(p);
  if (job_ && !job_->attempt) {
    Reader row(p);
    health_ = row.lenenc_text();
  }
  return true;
}

bool MysqlHost::ended(std::string_view payload) {
  Ok ok;
  if (!parse_ok(payload, ok) || (ok.status & status_more_results) != 0 || !job_) return false;
  for (const auto& [name, value] : ok.variables) set_note(name, value, note_);
  state_ = State::idle;
  broker::AttemptResult result;
  result.metadata = note_;
  if (!job_->attempt) result.report = parse_strict_report(health_);
  result.value = std::move(answer_);
  finish(std::move(result), true);
  return true;
}

std::optional<broker::AttemptResult> MysqlHost::received_result() {
  Error e;
  if (error_.empty() || !parse_error(error_, e)) return std::nullopt;
  broker::AttemptResult result;
  result.outcome = outcome_of(e);
  result.message = error_;
  return result;
}

/// A host's error. Of a login it ends the connection; a host that forgot a statement has forgotten all.
void MysqlHost::failed(std::string_view error) {
  error_ = error;
  auto result = received_result();
  const bool keep = handshake_done_ && result && result->outcome != Outcome::not_sent;
  if (!job_ || !result) return protocol_error();
  state_ = State::idle;
  finish(std::move(*result), keep);
}

}  // namespace cedarring::wire
