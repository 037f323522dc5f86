#include "tools/rig/links.h"

#include <poll.h>
#include <sys/socket.h>

#include <algorithm>

#include "wire/pg.h"
#include "wire/statement.h"

namespace cedarring::rig {
namespace {

constexpr std::size_t max_message_bytes = 65536;
constexpr std::size_t max_output_bytes = 1 << 20;
// Work of a statement whose request is unknown.
constexpr Duration default_work{50'000};
// Share of the aborted requests that are aborted within the answer, and not during the work.
constexpr double abort_at_answer_share = 0.4;
// Interval between the messages of an endless answer.
constexpr Duration endless_answer_interval{20'000};
// A gateway must notice within this time that its watch has gone silent.
constexpr Duration missed_list_grace{6'000'000};
// Share of the connections that the slow_handshake fault delays.
constexpr double slow_handshake_share = 0.34;

double draw(lab::Random& random) { return static_cast<double>(random() >> 11U) * 0x1p-53; }
/// Size line of the HTTP chunk for a list and its newline.
std::string chunk_head(const std::string& list) {
  char size[20];
  std::snprintf(size, sizeof size, "%zx\r\n", list.size() + 1);
  return size;
}
Duration scaled(Duration duration, double share) {
  return Duration(static_cast<std::int64_t>(static_cast<double>(duration.count()) * share));
}

void put_int(std::string& out, std::uint64_t v, int bytes) {
  for (int shift = (bytes - 1) * 8; shift >= 0; shift -= 8)
    out += static_cast<char>(v >> static_cast<unsigned>(shift));
}
void put_message(std::string& out, char type, const std::string& body) {
  out += type;
  put_int(out, body.size() + 4, 4);
  out += body;
}
/// Appends a row description, a row of one binary column and the command completion.
void put_row(std::string& out, const std::string& value) {
  std::string description, row;
  put_int(description, 1, 2);
  description += std::string("v") + '\0';
  put_int(description, 0, 6);
  put_int(description, 17, 4);
  put_int(description, 0xffff, 2);
  put_int(description, 0xffffffff, 4);
  put_int(description, 1, 2);
  put_message(out, 'T', description);
  put_int(row, 1, 2);
  put_int(row, value.size(), 4);
  put_message(out, 'D', row + value);
  wire::pg::put_command_complete(out, "SELECT 1");
}
void put_status(std::string& out, const std::string& name, const std::string& value) {
  put_message(out, 'S', name + '\0' + value + '\0');
}

}  // namespace

void Link::reset() {
  if (closed()) return;
  const linger now{1, 0};
  ::setsockopt(descriptor(), SOL_SOCKET, SO_LINGER, &now, sizeof now);
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
    after(host.idle_timeout, [job_count = job_count_](HostLink& link) {
      if (link.request_.empty() && link.job_count_ == job_count) link.shut_down(false);
    });
}

void HostLink::schedule_abort(Duration work) {
  auto& draws = rig_.fault_random_;
  if (draw(draws) < abort_at_answer_share) {
    aborts_at_answer_ = true;
    return;
  }
  after(scaled(work, draw(draws) * 1.5), [job = job_count_](HostLink& link) {
    if (!link.request_.empty() && link.job_count_ == job) link.shut_down(true);
  });
}

/// Draws one of these: no row, a truncated row, bytes that are no message, two rows, a close in the middle,
/// the completion before the row, endless messages.
void HostLink::send_bad_answer(const std::string& answer) {
  std::string out;
  switch (rig_.fault_random_() % 7) {
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
      if (counted_ = host.model->connect(on_connected); counted_) return;
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

/// Called by the host model when the connection handshake is over.

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
  wire::StatementInfo info;
  std::string missing;
  if (!wire::parse_statement(sql, info, missing) || info.id.empty() || !request_.empty()) {
    wire::pg::put_error_response(out, true, "08P01", "not a statement that a client sent");
    send(out);
    return shut_down(false);
  }
  const std::string id(info.id);
  rig_.close_ended_links(id);
  const auto it = rig_.open_attempts_.find(id);
  const Rig::Request* request = it == rig_.open_attempts_.end() ? nullptr : it->second.request.get();
  const auto work = request ? request->work : default_work;
  const bool connection_ended = peer_closed();
  request_ = id;
  attempt_ = rig_.rules_->on_attempt(id, gateway_, host_, host.group_index, work, now, connection_ended);
  ++rig_.result_.attempts;
  if (rig_.running_) ++rig_.current_second().attempts_by_host[static_cast<std::size_t>(host_)];
  rig_.links_by_request_[id].push_back(this);
  const auto job = ++job_count_;
  if (connection_ended) return;  // on_end() follows
  aborts_at_answer_ = false;
  if (host.abort_share > 0 && draw(rig_.fault_random_) < host.abort_share) schedule_abort(work);
  if (host.failure_share > 0 && draw(rig_.fault_random_) < host.failure_share)
    return send_answer(job, Outcome::error, host.model->metadata());
  lab::Job host_job;
  host_job.work = Duration(static_cast<std::int64_t>(static_cast<double>(work.count()) * host.slowdown));
  if (request) {
    const auto& request_class = rig_.scenario_.classes[request->class_index].request_class;
    host_job.write = request_class.freshness == Freshness::write;
    host_job.freshness = request_class.freshness;
    host_job.staleness_bound = request_class.staleness_bound;
  }
  host_job.on_done = [&rig = rig_, number = number_, job](Outcome outcome, AnswerMetadata metadata) {
    const auto link = rig.host_links_.find(number);
    if (link != rig.host_links_.end()) link->second->send_answer(job, outcome, metadata);
  };
  job_ = 0;
  const auto offered_job = host.model->submit(std::move(host_job));
  if (!closed() && !request_.empty() && job_count_ == job) job_ = offered_job;
}

void HostLink::send_answer(std::uint64_t job, Outcome outcome, AnswerMetadata metadata) {
  if (closed() || job != job_count_ || request_.empty()) return;
  job_ = 0;
  std::string out;
  const auto status = [&] {
    put_status(out, "recovery", metadata.role == Role::primary ? "off" : "on");
    if (metadata.position) put_status(out, "lsn_ms", std::to_string(metadata.position->count() / 1000));
    wire::pg::put_ready_for_query(out);
  };
  const auto it = rig_.open_attempts_.find(request_);
  const auto& host = rig_.hosts_[static_cast<std::size_t>(host_)];
  const bool bad_answer =
      outcome == Outcome::ok && host.bad_answer_share > 0 && draw(rig_.fault_random_) < host.bad_answer_share;
  const bool write =
      it != rig_.open_attempts_.end() &&
      rig_.scenario_.classes[it->second.request->class_index].request_class.freshness == Freshness::write;
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
  status();
  if (bad_answer) return send_bad_answer(out);
  if (aborts_at_answer_ && outcome == Outcome::ok) {  // after all or a part of the answer
    send(out.substr(
        0, scaled(Duration(static_cast<std::int64_t>(out.size())), draw(rig_.fault_random_) * 1.3).count()));
    return shut_down(true);
  }
  send(out);
  if (!closed()) on_idle();
}

void HostLink::end_attempt(AttemptEnd end, std::optional<Time> position) {
  if (request_.empty()) return;
  rig_.rules_->on_attempt_end(request_, attempt_, end, position, rig_.timeline_.now());
  const auto it = rig_.links_by_request_.find(request_);
  if (it != rig_.links_by_request_.end()) {
    it->second.erase(std::remove(it->second.begin(), it->second.end(), this), it->second.end());
    if (it->second.empty()) rig_.links_by_request_.erase(it);
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
  if (job_ != 0) model.cancel(job_);
  if (counted_) model.disconnect();
  end_attempt(AttemptEnd::closed, {});
  rig_.reaper_.add(std::unique_ptr<wire::Connection>(this));
}

// ---- discovery ----
DiscoveryLink::DiscoveryLink(Rig& rig, wire::Fd fd, int gateway)
    : Link(rig.loop_, std::move(fd), false, 8192, max_output_bytes), rig_(rig), gateway_(gateway) {
  if (rig.link_fault_of(gateway, -1).requests_cut) set_reading_paused(true);
}

void DiscoveryLink::on_link_change() {
  if (closed()) return;
  const auto& fault = rig_.link_fault_of(gateway_, -1);
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
  shut_down(gateway_ % 2 == 0);
}

void DiscoveryLink::send_heartbeat() {
  if (watching_ && !stalled_at_ && !closed() && !rig_.link_fault_of(gateway_, -1).answers_cut)
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
  code_.clear();
  detail_.clear();
  row_received_ = false;
  if (!open_) return;  // on_open() sends it after the startup message
  reused_ = true;
  std::string out;
  wire::pg::put_query(out, sql);
  write(out);
}

void ClientLink::leave(ClientExit how) {
  left_ = true;
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
  if (left_) return in_.clear();
  while (!closed()) {
    const auto in = in_.view();
    wire::pg::Message message;
    const auto frame = wire::pg::next_message(in, max_message_bytes, message);
    if (frame == wire::pg::FrameStatus::partial) return;
    if (frame == wire::pg::FrameStatus::malformed) return shut_down();
    if (message.type == 'D') {
      row_received_ = true;
      // The row has one column; hosts return the id of the request in it.
      if (attempt_ && (message.body.size() < 6 || message.body.substr(6) != attempt_->id))
        rig_.rules_->on_wrong_value(attempt_->id);
    }
    if (message.type == 'I' && probe_) rig_.gateways_[static_cast<std::size_t>(gateway_)].in_rotation = true;
    if (message.type == 'E') {
      code_ = wire::pg::error_response_field(message.body, 'C');
      detail_ = wire::pg::error_response_field(message.body, 'D');
    }
    const char type = message.type;
    in_.consume(message.size);
    if (type != 'Z') continue;
    if (!std::exchange(handshake_done_, true)) continue;
    if (probe_) return shut_down();
    if (!attempt_) continue;
    const auto attempt = *std::exchange(attempt_, std::nullopt);
    const auto retry_after_ms = wire::to_int(detail_).value_or(0);
    rig_.gateways_[static_cast<std::size_t>(gateway_)].idle_clients.push_back(this);
    rig_.on_answer(attempt, outcome(row_received_ ? Answer::served : Answer::failed),
                   Duration(std::max<std::int64_t>(0, retry_after_ms) * 1000));
  }
}

Answer ClientLink::outcome(Answer without_code) const {
  if (code_.empty()) return without_code;
  return code_ == "53300" || code_ == "57P03" ? Answer::refused : Answer::failed;
}

void ClientLink::shut_down() {
  if (!closed()) close();
  on_end(0);
}

void ClientLink::on_end(int) {
  auto& idle = rig_.gateways_[static_cast<std::size_t>(gateway_)].idle_clients;
  idle.erase(std::remove(idle.begin(), idle.end(), this), idle.end());
  auto& links = rig_.clients_;
  const auto it = std::find_if(links.begin(), links.end(), [&](const auto& c) { return c.get() == this; });
  if (it == links.end()) return;
  rig_.reaper_.add(std::move(*it));
  *it = std::move(links.back());
  links.pop_back();
  if (!attempt_) return;
  const auto attempt = *std::exchange(attempt_, std::nullopt);
  // The gateway did not accept a connection that never opened, and it may have closed a reused one before it
  // read the request.
  const bool in_time = rig_.timeline_.now() < attempt.request->deadline;
  if (in_time && (!open_ || (reused_ && code_.empty() && !row_received_)))
    return rig_.on_not_accepted(attempt);
  rig_.on_answer(attempt, outcome(Answer::lost), {});
}

}  // namespace cedarring::rig
