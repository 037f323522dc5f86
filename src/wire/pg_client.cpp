#include "wire/pg_client.h"

#include <algorithm>
#include <cctype>
#include <utility>

#include "wire/pg.h"
#include "wire/pg_work.h"

namespace cedarring::wire {
namespace {

/// The first word of a statement, in capitals.
std::string verb_of(std::string_view sql) {
  std::string word;
  for (const char c : sql) {
    if (std::isalpha(static_cast<unsigned char>(c)) == 0) break;
    word += static_cast<char>(std::toupper(static_cast<unsigned char>(c)));
  }
  return word;
}

std::string_view trimmed(std::string_view sql) {
  const auto blank = [](char c) { return std::isspace(static_cast<unsigned char>(c)) != 0 || c == ';'; };
  while (!sql.empty() && blank(sql.front())) sql.remove_prefix(1);
  while (!sql.empty() && blank(sql.back())) sql.remove_suffix(1);
  return sql;
}

}  // namespace

bool PgClient::fatal(std::string_view code, std::string_view message) {
  std::string out;
  pg::put_error(out, true, code, message);
  reply_and_close(out);
  return false;
}

void PgClient::turn_away() { fatal("53300", "too many clients"); }

bool PgClient::take_startup() {
  pg::Startup startup;
  const auto frame = pg::next_startup(in_.view(), startup);
  if (frame == pg::Frame::partial) return false;
  if (frame == pg::Frame::bad) return fatal("08P01", "invalid startup packet");
  in_.consume(startup.size);
  switch (startup.kind) {
    case pg::StartupKind::ssl:
    case pg::StartupKind::gss:
      reply("N");
      return true;
    case pg::StartupKind::cancel:
      leave();
      return false;
    case pg::StartupKind::unknown:
      return fatal("08P01", "unsupported protocol version");
    case pg::StartupKind::startup:
      break;
  }
  welcomed_ = true;
  std::string out;
  pg::put_welcome(out);
  reply(out);
  return true;
}

/// What a long statement's bytes are waited for: room first, then all of them.
bool PgClient::take_long() {
  if (long_room_.bytes() == 0) {
    if (!reserve_memory(long_size_, long_room_)) return false;
    long_.reserve(long_size_);
  }
  const auto in = in_.view();
  const auto n = std::min(in.size(), long_size_ - long_.size());
  long_ += in.substr(0, n);
  in_.consume(n);
  if (long_.size() < long_size_) return on_command_progress(), false;
  long_size_ = 0;
  auto sql = std::exchange(long_, {});
  auto room = std::exchange(long_room_, {});
  if (sql.back() != '\0' || sql.find('\0') != sql.size() - 1) return fatal("08P01", "invalid query message");
  sql.pop_back();
  on_command_received();
  query(std::move(sql), std::move(room));
  return true;
}

bool PgClient::take_message() {
  if (reading_long_command()) return take_long();
  if (const auto size = pg::long_query(in_.view(), pg_message_most, pg_statement_most)) {
    in_.consume(5);
    long_size_ = *size;
    return take_long();
  }
  pg::Message message;
  const auto frame = pg::next_message(in_.view(), pg_message_most, message);
  if (frame == pg::Frame::bad) return fatal("08P01", "message length out of range");
  if (frame == pg::Frame::partial) return false;
  if (message.type == 'X') return nothing_pending() ? leave() : reply_and_close({}), false;
  if (message.type != 'Q') return fatal("08P01", "only simple queries are spoken here");
  auto body = message.body;
  const auto sql = pg::take_text(body);
  if (!sql || !body.empty()) return fatal("08P01", "invalid query message");
  std::string text(*sql);
  on_command_received();
  in_.consume(message.size);
  query(std::move(text));
  return true;
}

void PgClient::query(std::string sql, broker::MemoryBudget::Reservation room) {
  std::string out;
  const auto bare = trimmed(sql);
  const auto verb = verb_of(bare);
  if (bare.empty() || verb == "SET" || verb == "RESET" || verb == "DISCARD") {
    if (bare.empty())
      pg::put_empty(out);
    else
      pg::put_complete(out, verb == "DISCARD" ? "DISCARD ALL" : verb);
    pg::put_ready(out);
    return reply(out);
  }
  auto work = std::make_shared<PgWork>();
  work->sql = std::move(sql);
  work->room = std::move(room);
  std::string missing;
  if (!parse_statement(work->sql, work->info, missing))
    return refuse("08P01", "the statement lacks " + missing);
  switch (submit_request(work->info, work)) {
    case broker::Rejection::none:
      return;
    case broker::Rejection::unknown_contract:
      return refuse("08P01", "unknown class in c");
    case broker::Rejection::unknown_tenant:
      return refuse("08P01", "unknown tenant in t");
    case broker::Rejection::unknown_group:
      return refuse("3D000", "unknown group in cluster");
    case broker::Rejection::name_in_use:
      return refuse("08P01", "id of another open request");
    case broker::Rejection::overfull:
      return refuse("53300", "too many requests");
    case broker::Rejection::late:
      return refuse("53300", "its time ran out before its turn, nothing has run");
  }
}

void PgClient::refuse(std::string_view code, const std::string& why) {
  std::string out;
  pg::put_error(out, false, code, why);
  pg::put_ready(out);
  reply(out);
}

void PgClient::put_answer(broker::FinalAnswer answer, std::string& out) {
  switch (answer.status) {
    case broker::AnswerStatus::served:
      out = std::move(answer.value);
      break;
    case broker::AnswerStatus::refused: {
      const auto ms = std::chrono::ceil<std::chrono::milliseconds>(answer.retry_after).count();
      pg::put_error(out, false, "53300", refusal_text(answer.verdict), ms > 0 ? std::to_string(ms) : "");
      break;
    }
    case broker::AnswerStatus::failed:
      pg::put_error(out, false, "58000", answer.message.empty() ? "the request has failed" : answer.message);
      break;
  }
  pg::put_ready(out);
}

}  // namespace cedarring::wire
