#include "wire/pg_client.h"

#include <algorithm>
#include <cctype>

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

PgClient::PgClient(ev::loop_ref loop, Fd fd, PgFront& owner)
    : Connection(loop, std::move(fd), false, pg_message_most + 16, 2 * pg_message_most), owner_(owner) {}

void PgClient::reply(std::string_view bytes) {
  // A client that does not read its answers is not waited for.
  if (!write(bytes)) leave();
}

void PgClient::fatal(std::string_view code, std::string_view message) {
  std::string out;
  pg::put_error(out, true, code, message);
  closing_ = true;
  reply(out);
  if (!closed() && out_.empty()) leave();
}

void PgClient::turn_away() { fatal("53300", "too many clients"); }

void PgClient::leave() {
  if (!closed()) close();
  if (busy_) {
    busy_ = false;
    owner_.broker().client_left(request_);
  }
  owner_.gone(this);
}

void PgClient::on_end(int) { leave(); }

void PgClient::on_sent() {
  if (closing_ || (draining_ && !busy_)) leave();
}

void PgClient::drain() {
  draining_ = true;
  if (!busy_ && out_.empty()) leave();
}

/// Takes commands one after another: answers come in the order of commands. The guard keeps an answer that
/// comes at once from taking the next command inside this one.
void PgClient::take() {
  if (taking_) return;
  taking_ = true;
  while (!closed() && !busy_ && !closing_ && (welcomed_ ? take_message() : take_startup())) {
  }
  taking_ = false;
  if (!closed()) input_taken();
}

bool PgClient::take_startup() {
  pg::Startup startup;
  const auto frame = pg::next_startup(in_.view(), startup);
  if (frame == pg::Frame::partial) return false;
  if (frame == pg::Frame::bad) return fatal("08P01", "invalid startup packet"), false;
  in_.consume(startup.size);
  switch (startup.kind) {
    case pg::StartupKind::ssl:
    case pg::StartupKind::gss: reply("N"); return true;
    case pg::StartupKind::cancel: leave(); return false;
    case pg::StartupKind::unknown: fatal("08P01", "unsupported protocol version"); return false;
    case pg::StartupKind::startup: break;
  }
  welcomed_ = true;
  std::string out;
  pg::put_welcome(out);
  reply(out);
  return true;
}

bool PgClient::take_message() {
  pg::Message message;
  const auto frame = pg::next_message(in_.view(), pg_message_most, message);
  if (frame == pg::Frame::bad) return fatal("08P01", "message length out of range"), false;
  if (frame == pg::Frame::partial) {
    if (draining_ && in_.empty() && out_.empty()) leave();
    return false;
  }
  if (message.type == 'X') return leave(), false;
  if (message.type != 'Q') return fatal("08P01", "only simple queries are spoken here"), false;
  auto body = message.body;
  const auto sql = pg::take_text(body);
  if (!sql || !body.empty()) return fatal("08P01", "invalid query message"), false;
  const std::string text(*sql);
  in_.consume(message.size);
  query(text);
  return true;
}

void PgClient::query(std::string_view sql) {
  std::string out;
  const auto bare = trimmed(sql);
  const auto verb = verb_of(bare);
  if (bare.empty() || verb == "SET" || verb == "RESET" || verb == "DISCARD") {
    if (bare.empty()) pg::put_empty(out);
    else pg::put_complete(out, verb == "DISCARD" ? "DISCARD ALL" : verb);
    pg::put_ready(out);
    return reply(out);
  }
  auto work = std::make_shared<PgWork>();
  work->sql = sql;
  auto& info = work->info;
  std::string missing;
  const auto refuse = [&](std::string_view code, const std::string& why) {
    pg::put_error(out, false, code, why);
    pg::put_ready(out);
    reply(out);
  };
  if (!parse_statement(work->sql, info, missing)) return refuse("08P01", "the statement lacks " + missing);
  memory::Ask ask;
  ask.contract = info.contract;
  ask.tenant = info.tenant;
  ask.group = GroupId{*info.cluster};
  ask.time_left = std::chrono::milliseconds(*info.deadline_ms);
  if (!info.session.empty()) ask.session = session_of(info.session);
  if (info.after_ms) ask.after = std::chrono::milliseconds(*info.after_ms);
  ask.work = work;
  busy_ = true;
  switch (owner_.broker().accept(ask, *this, request_)) {
    case memory::Rejection::none: return;
    case memory::Rejection::unknown_contract: busy_ = false; return refuse("08P01", "unknown class in c");
    case memory::Rejection::unknown_tenant: busy_ = false; return refuse("08P01", "unknown tenant in t");
    case memory::Rejection::unknown_group: busy_ = false; return refuse("3D000", "unknown group in cluster");
    case memory::Rejection::overfull: busy_ = false; return refuse("53300", "too many requests");
  }
}

void PgClient::finish(RequestId, memory::FinalAnswer answer) {
  busy_ = false;
  std::string out;
  switch (answer.end) {
    case memory::End::served: out = std::move(answer.value); break;
    case memory::End::refused: {
      const auto ms = std::chrono::ceil<std::chrono::milliseconds>(answer.pause).count();
      pg::put_error(out, false, "53300", "refused: try again later", ms > 0 ? std::to_string(ms) : "");
      break;
    }
    case memory::End::failed:
      pg::put_error(out, false, "58000", answer.message.empty() ? "the request has failed" : answer.message);
      break;
  }
  pg::put_ready(out);
  reply(out);
  if (closed()) return;
  if (draining_ && out_.empty() && in_.empty()) return leave();
  take();
}

}  // namespace cedarring::wire
