#include "wire/pg_client.h"

#include <algorithm>
#include <cctype>
#include <utility>

#include "wire/pg.h"
#include "wire/pg_request.h"

namespace cedarring::wire {
namespace {

/// The first word of a statement, in upper case.
std::string first_word(std::string_view sql) {
  std::string word;
  for (const char c : sql) {
    if (std::isalpha(static_cast<unsigned char>(c)) == 0) break;
    word += static_cast<char>(std::toupper(static_cast<unsigned char>(c)));
  }
  return word;
}

/// The statement without white space and semicolons around it.
std::string_view trimmed(std::string_view sql) {
  const auto is_trimmed = [](char c) { return std::isspace(static_cast<unsigned char>(c)) != 0 || c == ';'; };
  while (!sql.empty() && is_trimmed(sql.front())) sql.remove_prefix(1);
  while (!sql.empty() && is_trimmed(sql.back())) sql.remove_suffix(1);
  return sql;
}

}  // namespace

bool PgClient::send_fatal(std::string_view code, std::string_view message) {
  std::string out;
  pg::put_error_response(out, true, code, message);
  reply_and_close(out);
  return false;
}

void PgClient::reject_too_many_clients() {
  send_fatal(pg::sqlstate::too_many_connections, "too many clients");
}

bool PgClient::read_startup() {
  pg::Startup startup;
  const auto frame = pg::next_startup(in_.view(), startup);
  if (frame == pg::FrameStatus::partial) return false;
  if (frame == pg::FrameStatus::malformed)
    return send_fatal(pg::sqlstate::protocol_violation, "invalid startup packet");
  in_.consume(startup.size);
  switch (startup.kind) {
    case pg::StartupKind::ssl:
    case pg::StartupKind::gss:
      reply("N");  // encryption is not supported; a StartupMessage may follow
      return true;
    case pg::StartupKind::cancel:
      close_and_cancel();
      return false;
    case pg::StartupKind::unknown:
      return send_fatal(pg::sqlstate::protocol_violation, "unsupported protocol version");
    case pg::StartupKind::startup:
      break;
  }
  startup_done_ = true;
  std::string out;
  pg::put_startup_response(out);
  reply(out);
  return true;
}

bool PgClient::read_long_query() {
  if (long_query_reservation_.bytes() == 0) {
    if (!reserve_memory(long_query_size_, long_query_reservation_)) return false;
    long_query_.reserve(long_query_size_);
  }
  const auto in = in_.view();
  const auto count = std::min(in.size(), long_query_size_ - long_query_.size());
  long_query_ += in.substr(0, count);
  in_.consume(count);
  if (long_query_.size() < long_query_size_) {
    on_command_progress();
    return false;
  }
  long_query_size_ = 0;
  auto sql = std::exchange(long_query_, {});
  auto reservation = std::exchange(long_query_reservation_, {});
  if (sql.back() != '\0' || sql.find('\0') != sql.size() - 1)
    return send_fatal(pg::sqlstate::protocol_violation, "invalid query message");
  sql.pop_back();
  // While a statement waits for memory, the close of its client can be hidden behind the unread bytes.
  if (client_gone()) {
    close_and_cancel();
    return false;
  }
  on_command_received();
  handle_query(std::move(sql), std::move(reservation));
  return true;
}

bool PgClient::read_message() {
  if (reading_long_command()) return read_long_query();
  if (const auto size = pg::long_query_size(in_.view(), pg_max_message_size, pg_max_statement_size)) {
    in_.consume(pg::message_header_size);
    long_query_size_ = *size;
    return read_long_query();
  }
  pg::Message message;
  const auto frame = pg::next_message(in_.view(), pg_max_message_size, message);
  if (frame == pg::FrameStatus::malformed)
    return send_fatal(pg::sqlstate::protocol_violation, "message length out of range");
  if (frame == pg::FrameStatus::partial) return false;
  if (message.type == pg::message_type::terminate) {
    if (nothing_pending())
      close_and_cancel();
    else
      reply_and_close({});  // after the pending answers
    return false;
  }
  if (message.type != pg::message_type::query)
    return send_fatal(pg::sqlstate::protocol_violation, "only simple queries are spoken here");
  auto body = message.body;
  const auto sql = pg::read_cstring(body);
  if (!sql || !body.empty()) return send_fatal(pg::sqlstate::protocol_violation, "invalid query message");
  std::string text(*sql);
  on_command_received();
  in_.consume(message.size);
  handle_query(std::move(text));
  return true;
}

void PgClient::handle_query(std::string sql, broker::MemoryBudget::Reservation reservation) {
  std::string out;
  const auto statement = trimmed(sql);
  const auto command = first_word(statement);
  if (statement.empty() || command == "SET" || command == "RESET" || command == "DISCARD") {
    if (statement.empty())
      pg::put_empty_query_response(out);
    else
      pg::put_command_complete(out, command == "DISCARD" ? "DISCARD ALL" : command);
    pg::put_ready_for_query(out);
    return reply(out);
  }
  auto request = std::make_shared<PgRequest>();
  request->sql = std::move(sql);
  request->reservation = std::move(reservation);
  std::string missing;
  if (!parse_statement(request->sql, request->info, missing))
    return send_error(pg::sqlstate::protocol_violation, "the statement lacks " + missing);
  const auto unreserved_bytes = request->reservation.bytes() > 0 ? 0 : request->sql.size();
  switch (submit_request(request->info, request, unreserved_bytes)) {
    case broker::Rejection::none:
      return;
    case broker::Rejection::unknown_class:
      return send_error(pg::sqlstate::protocol_violation, "unknown class in c");
    case broker::Rejection::unknown_tenant:
      return send_error(pg::sqlstate::protocol_violation, "unknown tenant in t");
    case broker::Rejection::unknown_group:
      return send_error(pg::sqlstate::invalid_catalog_name, "unknown group in cluster");
    case broker::Rejection::name_in_use:
      return send_error(pg::sqlstate::protocol_violation, "id of another open request");
    case broker::Rejection::too_many_requests:
      return send_error(pg::sqlstate::too_many_connections, "too many requests");
    case broker::Rejection::out_of_memory:
      return send_error(pg::sqlstate::too_many_connections,
                        "out of memory, nothing has run: try again later");
    case broker::Rejection::late:
      return send_error(pg::sqlstate::too_many_connections,
                        "its time ran out before its turn, nothing has run");
  }
}

void PgClient::send_error(std::string_view code, const std::string& message) {
  std::string out;
  pg::put_error_response(out, false, code, message);
  pg::put_ready_for_query(out);
  reply(out);
}

void PgClient::put_answer(broker::FinalAnswer answer, std::string& out) {
  switch (answer.status) {
    case broker::AnswerStatus::served:
      out = std::move(answer.value);
      break;
    case broker::AnswerStatus::refused: {
      const auto ms = std::chrono::ceil<std::chrono::milliseconds>(answer.retry_after).count();
      pg::put_error_response(out, false, pg::sqlstate::too_many_connections, refusal_text(answer.verdict),
                             ms > 0 ? std::to_string(ms) : "");
      break;
    }
    case broker::AnswerStatus::failed:
      pg::put_error_response(out, false, pg::sqlstate::system_error,
                             answer.message.empty() ? "the request has failed" : answer.message);
      break;
  }
  pg::put_ready_for_query(out);
}

}  // namespace cedarring::wire
