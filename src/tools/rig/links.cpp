#include "tools/rig/links.h"

#include <poll.h>
#include <sys/socket.h>

#include <algorithm>

#include "wire/pg.h"
#include "wire/statement.h"

namespace cedarring::rig {
namespace {

constexpr std::size_t max_message_bytes = 65536;
constexpr std::size_t max_discovery_call_bytes = 8192;
constexpr std::size_t max_output_bytes = 1 << 20;
constexpr std::size_t row_header_bytes = 6;  // number of columns, length of the only column
constexpr std::uint64_t bytea_oid = 17;
// Work of a statement whose request is unknown.
constexpr Duration default_work{50'000};
// Share of the aborted requests that are aborted within the answer, and not during the work.
constexpr double abort_at_answer_share = 0.4;
// Latest time of an abort outside the answer, as a multiple of the work: above 1, some requests end before.
constexpr double max_abort_time_factor = 1.5;
// Upper bound of the part of an aborted answer that is sent, as a multiple of the answer: above 1, some
// answers are sent whole.
constexpr double max_sent_answer_factor = 1.3;
// Interval between the messages of an endless answer.
constexpr Duration endless_answer_interval{20'000};
// Number of the faults in HostLink::send_bad_answer().
constexpr unsigned bad_answer_kinds = 7;
// A gateway must notice within this time that its watch has gone silent.
constexpr Duration missed_list_grace{6'000'000};
// Share of the connections that the slow_handshake fault delays.
constexpr double slow_handshake_share = 0.34;

/// A uniform draw from [0, 1).
double draw(lab::Random& random) { return static_cast<double>(random() >> 11U) * 0x1p-53; }
/// Size line of the HTTP chunk for a list and its newline.
std::string chunk_head(const std::string& list) {
  char size[20];
  std::snprintf(size, sizeof size, "%zx\r\n", list.size() + 1);
  return size;
}
Duration scaled(Duration duration, double factor) {
  return Duration(static_cast<std::int64_t>(static_cast<double>(duration.count()) * factor));
}

/// Appends the lowest bytes of an integer in network byte order.
void put_int(std::string& out, std::uint64_t value, int bytes) {
  for (int shift = (bytes - 1) * 8; shift >= 0; shift -= 8)
    out += static_cast<char>(value >> static_cast<unsigned>(shift));
}
/// Appends a message of the PostgreSQL protocol.
void put_message(std::string& out, char type, const std::string& body) {
  out += type;
  put_int(out, body.size() + 4, 4);  // the length includes itself
  out += body;
}
/// Appends a row description, a row of one binary column and the command completion.
void put_row(std::string& out, const std::string& value) {
  std::string description;
  put_int(description, 1, 2);  // number of columns
  description += std::string("v") + '\0';
  put_int(description, 0, 6);           // no table, no column of a table
  put_int(description, bytea_oid, 4);   // type
  put_int(description, 0xffff, 2);      // variable length
  put_int(description, 0xffffffff, 4);  // no type modifier
  put_int(description, 1, 2);           // binary format
  put_message(out, 'T', description);
  std::string row;
  put_int(row, 1, 2);  // number of columns
  put_int(row, value.size(), 4);
  put_message(out, 'D', row + value);
  wire::pg::put_command_complete(out, "SELECT 1");
}
/// Appends a parameter status message.
void put_status(std::string& out, const std::string& name, const std::string& value) {
  put_message(out, 'S', name + '\0' + value + '\0');
}

}  // namespace

void Link::reset() {
  if (closed()) return;
  const linger reset_on_close{1, 0};
  ::setsockopt(descriptor(), SOL_SOCKET, SO_LINGER, &reset_on_close, sizeof reset_on_close);
  close();
}

bool Link::peer_closed() const {
  if (closed()) return true;
  pollfd poll_entry{descriptor(), POLLRDHUP, 0};
  return ::poll(&poll_entry, 1, 0) > 0 && (poll_entry.revents & (POLLRDHUP | POLLHUP | POLLERR)) != 0;
}

// ---- hosts ----
HostLink::HostLink(Rig& rig, wire::Fd fd, std::uint64_t number, int gateway, int host)
    : Link(rig.loop_, std::move(fd), false, max_message_bytes, max_output_bytes),
      rig_(rig),
      number_(number),
      gateway_(gateway),
      host_(host) {
  if (requests_cut()) set_reading_paused(true);
}

bool HostLink::requests_cut() const {
  const auto& host = rig_.hosts_[static_cast<std::size_t>(host_)];
  return rig_.link_fault_of(gateway_, host_).requests_cut || host.model->unresponsive();
}

void HostLink::on_link_change() {
  if (closed()) return;
  set_reading_paused(requests_cut());
  if (!rig_.link_fault_of(gateway_, host_).answers_cut && !unsent_.empty()) write(std::exchange(unsent_, {}));
  if (!requests_cut() && !in_.empty()) on_input();
}

void HostLink::send(const std::string& bytes) {
  if (closed()) return;
  const auto& fault = rig_.link_fault_of(gateway_, host_);
  if (fault.answers_cut) {
    unsent_ += bytes;
    return;
  }
  if (fault.delay <= Duration::zero()) {
    write(bytes);
    return;
  }
  rig_.timeline_.after(fault.delay, [&rig = rig_, number = number_, bytes] {
    if (const auto it = rig.host_links_.find(number); it != rig.host_links_.end() && !it->second->closed())
      it->second->write(bytes);
  });
}

void HostLink::complete_handshake() {
  handshake_done_ = true;
  std::string out;
  wire::pg::put_startup_response(out);
  send(out);
  if (!closed()) on_idle();
  if (!closed()) on_input();
}

void HostLink::on_idle() {
  const auto& host = rig_.hosts_[static_cast<std::size_t>(host_)];
  if (host.idle_timeout > Duration::zero())
    after(host.idle_timeout, [request_count = request_count_](HostLink& link) {
      if (link.request_.empty() && link.request_count_ == request_count) link.shut_down(false);
    });
}

void HostLink::schedule_abort(Duration work) {
  auto& random = rig_.fault_random_;
  if (draw(random) < abort_at_answer_share) {
    aborts_at_answer_ = true;
    return;
  }
  after(scaled(work, draw(random) * max_abort_time_factor), [request_count = request_count_](HostLink& link) {
    if (!link.request_.empty() && link.request_count_ == request_count) link.shut_down(true);
  });
}

/// Draws one of these faults: no row, half of the answer, bytes that are no message, two rows, a close within
/// the answer, the command completion before the row, endless messages.
void HostLink::send_bad_answer(const std::string& answer) {
  std::string out;
  switch (rig_.fault_random_() % bad_answer_kinds) {
    case 0:
      wire::pg::put_command_complete(out, "SELECT 1");
      wire::pg::put_ready_for_query(out);
      return send(out);
    case 1:
      return send(answer.substr(0, answer.size() / 2));
    case 2:
      return send(std::string(64, '\xff'));
    case 3:
      put_row(out, request_);
      return send(out + answer);
    case 4:
      send(answer.substr(0, answer.size() / 3));
      return shut_down(false);
    case 5:
      wire::pg::put_command_complete(out, "SELECT 1");
      return send(out + answer);
    default:
      return send_endlessly();
  }
}

void HostLink::send_endlessly() {
  std::string out;
  put_status(out, "more", "and more");
  send(out);
  after(endless_answer_interval, [](HostLink& link) { link.send_endlessly(); });
}

void HostLink::on_input() {
  while (!closed() && !reading_paused()) {
    const auto in = in_.view();
    if (startup_received_ && !handshake_done_) return;
    if (!handshake_done_) {
      wire::pg::Startup startup;
      const auto frame = wire::pg::next_startup(in, startup);
      if (frame == wire::pg::FrameStatus::partial) return;
      if (frame == wire::pg::FrameStatus::malformed || startup.kind != wire::pg::StartupKind::startup)
        return shut_down(false);
      in_.consume(startup.size);
      startup_received_ = true;
      const auto& host = rig_.hosts_[static_cast<std::size_t>(host_)];
      const auto on_connected = [&rig = rig_, number = number_] {
        const auto it = rig.host_links_.find(number);
        if (it != rig.host_links_.end()) it->second->on_host_connected();
      };
      counted_ = host.model->connect(on_connected);
      if (counted_) return;
      std::string out;
      wire::pg::put_error_response(out, true, "53300", "too many connections");
      write(out);
      return shut_down(false);
    }
    wire::pg::Message message;
    const auto frame = wire::pg::next_message(in, max_message_bytes, message);
    if (frame == wire::pg::FrameStatus::partial) return;
    if (frame == wire::pg::FrameStatus::malformed || message.type == 'X') return shut_down(false);
    std::string sql(message.body.substr(0, message.body.empty() ? 0 : message.body.size() - 1));
    const char type = message.type;
    in_.consume(message.size);
    if (type == 'Q') on_query(sql);
  }
}

void HostLink::on_host_connected() {
  const auto& host = rig_.hosts_[static_cast<std::size_t>(host_)];
  if (host.handshake_delay <= Duration::zero() || draw(rig_.fault_random_) >= slow_handshake_share)
    return complete_handshake();
  after(scaled(host.handshake_delay, draw(rig_.fault_random_)),
        [](HostLink& link) { link.complete_handshake(); });
}

void HostLink::on_query(std::string_view sql) {
  auto& host = rig_.hosts_[static_cast<std::size_t>(host_)];
  const auto now = rig_.timeline_.now();
  std::string out;
  if (sql == "SHOW health") {
    const auto report = host.model->load_report();
    char text[96];
    std::snprintf(text, sizeof text, "x0=%.3f,x1=%d,pending=%d",
                  static_cast<double>(report.position->count()) / 1e6, report.role == Role::primary ? 1 : 0,
                  static_cast<int>(*report.queue_length));
    put_row(out, text);
    wire::pg::put_ready_for_query(out);
    return send(out);
  }
  if (sql.empty()) {
    wire::pg::put_empty_query_response(out);
    wire::pg::put_ready_for_query(out);
    return send(out);
  }
  wire::StatementInfo info;
  std::string missing;
  if (!wire::parse_statement(sql, info, missing) || info.id.empty() || !request_.empty()) {
    wire::pg::put_error_response(out, true, "08P01", "not a statement that a client sent");
    send(out);
    return shut_down(false);
  }
  const std::string id(info.id);
  rig_.close_ended_links(id);
  const auto client_attempt = rig_.open_attempts_.find(id);
  const Rig::Request* request =
      client_attempt == rig_.open_attempts_.end() ? nullptr : client_attempt->second.request.get();
  const auto work = request ? request->work : default_work;
  const bool connection_ended = peer_closed();
  request_ = id;
  attempt_index_ =
      rig_.rules_->on_attempt(id, gateway_, host_, host.group_index, work, now, connection_ended);
  ++rig_.result_.attempts;
  if (rig_.running_) ++rig_.current_second().attempts_by_host[static_cast<std::size_t>(host_)];
  rig_.links_by_request_[id].push_back(this);
  const auto request_number = ++request_count_;
  if (connection_ended) return;  // on_end() follows
  aborts_at_answer_ = false;
  if (host.abort_share > 0 && draw(rig_.fault_random_) < host.abort_share) schedule_abort(work);
  if (host.failure_share > 0 && draw(rig_.fault_random_) < host.failure_share)
    return send_answer(request_number, Outcome::error, host.model->metadata());
  lab::Job job;
  job.work = scaled(work, host.slowdown);
  if (request) {
    const auto& request_class = rig_.scenario_.classes[request->class_index].request_class;
    job.write = request_class.freshness == Freshness::write;
    job.freshness = request_class.freshness;
    job.staleness_bound = request_class.staleness_bound;
  }
  job.on_done = [&rig = rig_, number = number_, request_number](Outcome outcome, AnswerMetadata metadata) {
    const auto link = rig.host_links_.find(number);
    if (link != rig.host_links_.end()) link->second->send_answer(request_number, outcome, metadata);
  };
  model_job_ = 0;
  const auto submitted_job = host.model->submit(std::move(job));
  // submit() may have ended the request, or the connection.
  if (!closed() && !request_.empty() && request_count_ == request_number) model_job_ = submitted_job;
}

void HostLink::send_answer(std::uint64_t request_number, Outcome outcome, AnswerMetadata metadata) {
  if (closed() || request_number != request_count_ || request_.empty()) return;
  model_job_ = 0;
  std::string out;
  const auto put_metadata_and_ready = [&] {
    put_status(out, "recovery", metadata.role == Role::primary ? "off" : "on");
    if (metadata.position) put_status(out, "lsn_ms", std::to_string(metadata.position->count() / 1000));
    wire::pg::put_ready_for_query(out);
  };
  const auto client_attempt = rig_.open_attempts_.find(request_);
  const auto& host = rig_.hosts_[static_cast<std::size_t>(host_)];
  const bool bad_answer =
      outcome == Outcome::ok && host.bad_answer_share > 0 && draw(rig_.fault_random_) < host.bad_answer_share;
  const bool write =
      client_attempt != rig_.open_attempts_.end() &&
      rig_.scenario_.classes[client_attempt->second.request->class_index].request_class.freshness ==
          Freshness::write;
  switch (outcome) {
    case Outcome::ok:
      put_row(out, request_);
      // A bad answer was executed all the same; its attempt is open until the connection ends.
      if (!bad_answer)
        end_attempt(aborts_at_answer_ ? AttemptEnd::closed : AttemptEnd::served, metadata.position);
      break;
    case Outcome::too_stale:
      wire::pg::put_error_response(out, false, write ? "25006" : "72000", "not here");
      end_attempt(AttemptEnd::too_stale, {});
      break;
    case Outcome::full:
      wire::pg::put_error_response(out, false, "53300", "full");
      end_attempt(AttemptEnd::full, {});
      break;
    case Outcome::error:
      wire::pg::put_error_response(out, false, "XX000", "failed");
      end_attempt(AttemptEnd::error, {});
      break;
    default:
      return shut_down(true);  // the host process has exited
  }
  put_metadata_and_ready();
  if (bad_answer) return send_bad_answer(out);
  if (aborts_at_answer_ && outcome == Outcome::ok) {  // after all or a part of the answer
    const double sent_share = draw(rig_.fault_random_) * max_sent_answer_factor;
    send(out.substr(0, static_cast<std::size_t>(static_cast<double>(out.size()) * sent_share)));
    return shut_down(true);
  }
  send(out);
  if (!closed()) on_idle();
}

void HostLink::end_attempt(AttemptEnd end, std::optional<Time> position) {
  if (request_.empty()) return;
  rig_.rules_->on_attempt_end(request_, attempt_index_, end, position, rig_.timeline_.now());
  const auto it = rig_.links_by_request_.find(request_);
  if (it != rig_.links_by_request_.end()) {
    auto& links = it->second;
    links.erase(std::remove(links.begin(), links.end(), this), links.end());
    if (links.empty()) rig_.links_by_request_.erase(it);
  }
  request_.clear();
}

void HostLink::shut_down(bool with_reset) {
  if (!closed()) with_reset ? reset() : close();
  on_end(0);
}

void HostLink::on_end(int) {
  const auto it = rig_.host_links_.find(number_);
  if (it == rig_.host_links_.end()) return;
  rig_.host_links_.erase(it);
  auto& model = *rig_.hosts_[static_cast<std::size_t>(host_)].model;
  if (model_job_ != 0) model.cancel(model_job_);
  if (counted_) model.disconnect();
  end_attempt(AttemptEnd::closed, {});
  rig_.reaper_.add(std::unique_ptr<wire::Connection>(this));
}

// ---- discovery ----
DiscoveryLink::DiscoveryLink(Rig& rig, wire::Fd fd, int gateway)
    : Link(rig.loop_, std::move(fd), false, max_discovery_call_bytes, max_output_bytes),
      rig_(rig),
      gateway_(gateway) {
  if (rig.link_fault_of(gateway, discovery_index).requests_cut) set_reading_paused(true);
}

void DiscoveryLink::on_link_change() {
  if (closed()) return;
  const auto& fault = rig_.link_fault_of(gateway_, discovery_index);
  set_reading_paused(fault.requests_cut);
  if (!fault.requests_cut && !in_.empty()) on_input();
  if (!fault.answers_cut && watching_) rig_.send_list(gateway_);
}

void DiscoveryLink::on_input() {
  if (reading_paused() || watching_) return;
  const auto in = in_.view();
  const auto end = in.find("\r\n\r\n");
  if (end == std::string_view::npos) return;
  const std::string head(in.substr(0, end));
  in_.consume(end + 4);
  if (rig_.discovery_refuses_) {
    write("HTTP/1.1 503 Service Unavailable\r\nContent-Length: 0\r\nConnection: close\r\n\r\n");
    return shut_down(false);
  }
  if (head.find("follow=1") == std::string::npos) {
    const auto list = rig_.member_list_for(gateway_);
    write("HTTP/1.1 200 OK\r\nContent-Type: application/json\r\nContent-Length: " +
          std::to_string(list.size()) + "\r\nConnection: close\r\n\r\n" + list);
    return;
  }
  write("HTTP/1.1 200 OK\r\nContent-Type: application/json\r\nTransfer-Encoding: chunked\r\n\r\n");
  watching_ = true;
  rig_.send_list(gateway_);
}

bool DiscoveryLink::send_list(const std::string& list) {
  if (closed() || !watching_) return false;
  if (stalled_at_) return rig_.timeline_.now() >= *stalled_at_ + missed_list_grace;
  write(chunk_head(list) + list + "\n\r\n");
  return true;
}

void DiscoveryLink::stall() {
  if (!watching_ || stalled_at_) return;
  stalled_at_ = rig_.timeline_.now();
  rig_.timeline_.after(missed_list_grace,
                       [&rig = rig_, gateway = gateway_] { rig.record_list_delivery(gateway); });
}

void DiscoveryLink::truncate_list() {
  if (closed() || !watching_) return;
  const auto list = rig_.member_list_for(gateway_);
  write(chunk_head(list) + list.substr(0, list.size() / 2));
  // With a reset for every other gateway, in an orderly way for the rest.
  const bool with_reset = gateway_ % 2 == 0;
  shut_down(with_reset);
}

/// The heartbeat is an empty line.
void DiscoveryLink::send_heartbeat() {
  if (watching_ && !stalled_at_ && !closed() && !rig_.link_fault_of(gateway_, discovery_index).answers_cut)
    write("1\r\n\n\r\n");
}

void DiscoveryLink::shut_down(bool with_reset) {
  if (!closed()) with_reset ? reset() : close();
  on_end(0);
}

void DiscoveryLink::on_end(int) {
  auto& links = rig_.discovery_links_;
  const auto it = std::find(links.begin(), links.end(), this);
  if (it == links.end()) return;
  links.erase(it);
  rig_.reaper_.add(std::unique_ptr<wire::Connection>(this));
}

// ---- clients ----
ClientLink::ClientLink(Rig& rig, const std::string& address, int gateway, bool probe)
    : Link(rig.loop_, wire::connect_to(address), true, max_message_bytes, max_output_bytes),
      rig_(rig),
      gateway_(gateway),
      probe_(probe) {}

void ClientLink::on_open() {
  open_ = true;
  std::string out;
  wire::pg::put_startup(out, "svc", "main");
  if (probe_)
    wire::pg::put_query(out, "");
  else if (!sql_.empty())
    wire::pg::put_query(out, sql_);
  write(out);
}

void ClientLink::send_request(const Rig::ClientAttempt& attempt, const std::string& sql) {
  attempt_ = attempt;
  sql_ = sql;
  sqlstate_.clear();
  error_detail_.clear();
  row_received_ = false;
  if (!open_) return;  // on_open() sends the statement after the startup message
  reused_ = true;
  std::string out;
  wire::pg::put_query(out, sql);
  write(out);
}

void ClientLink::leave(ClientExit how) {
  client_left_ = true;
  attempt_.reset();
  if (closed()) return;
  if (!open_ || how == ClientExit::close) return shut_down();
  if (how == ClientExit::half_close) return shut_down_writing();  // later answers are discarded
  if (how == ClientExit::reset)
    reset();
  else
    write(std::string("X\0\0\0\4", 5));
  shut_down();
}

void ClientLink::on_input() {
  if (client_left_) return in_.clear();
  while (!closed()) {
    const auto in = in_.view();
    wire::pg::Message message;
    const auto frame = wire::pg::next_message(in, max_message_bytes, message);
    if (frame == wire::pg::FrameStatus::partial) return;
    if (frame == wire::pg::FrameStatus::malformed) return shut_down();
    if (message.type == 'D') {
      row_received_ = true;
      // The row has one column; hosts return the id of the request in it.
      if (attempt_ &&
          (message.body.size() < row_header_bytes || message.body.substr(row_header_bytes) != attempt_->id))
        rig_.rules_->on_wrong_value(attempt_->id);
    }
    // An empty query response: the gateway serves.
    if (message.type == 'I' && probe_) rig_.gateways_[static_cast<std::size_t>(gateway_)].in_rotation = true;
    if (message.type == 'E') {
      sqlstate_ = wire::pg::error_response_field(message.body, 'C');
      error_detail_ = wire::pg::error_response_field(message.body, 'D');
    }
    const char type = message.type;
    in_.consume(message.size);
    if (type != 'Z') continue;
    // The first ReadyForQuery ends the handshake, each later one an answer.
    if (!std::exchange(handshake_done_, true)) continue;
    if (probe_) return shut_down();
    if (!attempt_) continue;
    const auto attempt = *std::exchange(attempt_, std::nullopt);
    const auto retry_after_ms = wire::to_int(error_detail_).value_or(0);
    rig_.gateways_[static_cast<std::size_t>(gateway_)].idle_clients.push_back(this);
    rig_.on_answer(attempt, answer_received(row_received_ ? Answer::served : Answer::failed),
                   Duration(std::max<std::int64_t>(0, retry_after_ms) * 1000));
  }
}

Answer ClientLink::answer_received(Answer without_sqlstate) const {
  if (sqlstate_.empty()) return without_sqlstate;
  return sqlstate_ == "53300" || sqlstate_ == "57P03" ? Answer::refused : Answer::failed;
}

void ClientLink::shut_down() {
  if (!closed()) close();
  on_end(0);
}

void ClientLink::on_end(int) {
  auto& idle = rig_.gateways_[static_cast<std::size_t>(gateway_)].idle_clients;
  idle.erase(std::remove(idle.begin(), idle.end(), this), idle.end());
  auto& links = rig_.clients_;
  const auto it =
      std::find_if(links.begin(), links.end(), [&](const auto& link) { return link.get() == this; });
  if (it == links.end()) return;
  rig_.reaper_.add(std::move(*it));
  *it = std::move(links.back());
  links.pop_back();
  if (!attempt_) return;
  const auto attempt = *std::exchange(attempt_, std::nullopt);
  // The gateway did not accept a connection that never opened, and it may have closed a reused one before it
  // read the request.
  const bool in_time = rig_.timeline_.now() < attempt.request->deadline;
  if (in_time && (!open_ || (reused_ && sqlstate_.empty() && !row_received_)))
    return rig_.on_not_accepted(attempt);
  rig_.on_answer(attempt, answer_received(Answer::lost), {});
}

}  // namespace cedarring::rig
