#include "tools/rig/links.h"

#include <poll.h>
#include <sys/socket.h>

#include <algorithm>

#include "wire/pg.h"
#include "wire/statement.h"

namespace cedarring::rig {
namespace {

constexpr std::size_t message_most = 65536, out_most = 1 << 20;
constexpr Duration missed_counts_after{6'000'000};  // of what a watch that has fallen silent misses
constexpr double late_share = 0.34;                 // of the connections, where some come up late

double draw(lab::Random& r) { return static_cast<double>(r() >> 11U) * 0x1p-53; }
/// Of the chunk that a list is told in, with the line's end behind it.
std::string chunk_head(const std::string& list) {
  char size[20];
  std::snprintf(size, sizeof size, "%zx\r\n", list.size() + 1);
  return size;
}
Duration part_of(Duration d, double share) {
  return Duration(static_cast<std::int64_t>(static_cast<double>(d.count()) * share));
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
/// A row of one binary column, and what goes with it.
void put_row(std::string& out, const std::string& value) {
  std::string description, row;
  put_int(description, 1, 2);
  description += std::string("v") + '\0';
  put_int(description, 0, 6), put_int(description, 17, 4), put_int(description, 0xffff, 2);
  put_int(description, 0xffffffff, 4), put_int(description, 1, 2);
  put_message(out, 'T', description);
  put_int(row, 1, 2), put_int(row, value.size(), 4);
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

bool Link::ended_there() const {
  if (closed()) return true;
  pollfd p{descriptor(), POLLRDHUP, 0};
  return ::poll(&p, 1, 0) > 0 && (p.revents & (POLLRDHUP | POLLHUP | POLLERR)) != 0;
}

// ---- hosts ----
HostLink::HostLink(Rig& rig, wire::Fd fd, std::uint64_t number, int gateway, int host)
    : Link(rig.loop_, std::move(fd), false, message_most, out_most),
      rig_(rig),
      number_(number),
      gateway_(gateway),
      host_(host) {
  if (stopped()) set_reading_paused(true);
}

bool HostLink::stopped() const {
  const auto& h = rig_.hosts_[static_cast<std::size_t>(host_)];
  return rig_.trouble_of(gateway_, host_).there || h.model->unresponsive();
}

void HostLink::troubled() {
  if (closed()) return;
  set_reading_paused(stopped());
  if (!rig_.trouble_of(gateway_, host_).back && !unsaid_.empty()) write(std::exchange(unsaid_, {}));
  if (!stopped() && !in_.empty()) on_input();
}

void HostLink::say(const std::string& bytes) {
  if (closed()) return;
  const auto& t = rig_.trouble_of(gateway_, host_);
  if (t.back) {
    unsaid_ += bytes;
    return;
  }
  if (t.delay <= Duration::zero()) {
    write(bytes);
    return;
  }
  rig_.timeline_.after(t.delay, [&rig = rig_, number = number_, bytes] {
    if (const auto it = rig.host_links_.find(number); it != rig.host_links_.end() && !it->second->closed())
      it->second->write(bytes);
  });
}

void HostLink::welcome() {
  welcomed_ = true;
  std::string out;
  wire::pg::put_startup_response(out);
  say(out);
  if (!closed()) rests();
  if (!closed()) on_input();
}

void HostLink::rests() {
  const auto& h = rig_.hosts_[static_cast<std::size_t>(host_)];
  if (h.hurry > Duration::zero())
    after(h.hurry, [jobs = jobs_](HostLink& me) {
      if (me.request_.empty() && me.jobs_ == jobs) me.drop(false);
    });
}

void HostLink::break_later(Duration work) {
  auto& draws = rig_.draws_;
  if (draw(draws) < 0.4) {
    breaks_ = true;
    return;
  }
  after(part_of(work, draw(draws) * 1.5), [job = jobs_](HostLink& me) {
    if (!me.request_.empty() && me.jobs_ == job) me.drop(true);
  });
}

/// Each kind of answer that is none: one that says nothing of a row, a row that never ends, bytes that are no
/// message, two rows, an end in the middle, the end before the row, messages without end.
void HostLink::spoil(const std::string& answer) {
  std::string out;
  switch (rig_.draws_() % 7) {
    case 0:
      wire::pg::put_command_complete(out, "SELECT 1");
      wire::pg::put_ready_for_query(out);
      return say(out);
    case 1:
      return say(answer.substr(0, answer.size() / 2));
    case 2:
      return say(std::string(64, '\xff'));
    case 3:
      put_row(out, request_);
      return say(out + answer);
    case 4:
      say(answer.substr(0, answer.size() / 3));
      return drop(false);
    case 5:
      wire::pg::put_command_complete(out, "SELECT 1");
      return say(out + answer);
    default:
      return drip();
  }
}

void HostLink::drip() {
  std::string out;
  put_status(out, "more", "and more");
  say(out);
  after(Duration(20'000), [](HostLink& me) { me.drip(); });
}

void HostLink::on_input() {
  while (!closed() && !reading_paused()) {
    const auto in = in_.view();
    if (started_ && !welcomed_) return;
    if (!welcomed_) {
      wire::pg::Startup startup;
      const auto frame = wire::pg::next_startup(in, startup);
      if (frame == wire::pg::FrameStatus::partial) return;
      if (frame == wire::pg::FrameStatus::malformed || startup.kind != wire::pg::StartupKind::startup)
        return drop(false);
      in_.consume(startup.size);
      started_ = true;
      const auto& h = rig_.hosts_[static_cast<std::size_t>(host_)];
      const auto up = [&rig = rig_, number = number_] {
        const auto it = rig.host_links_.find(number);
        if (it != rig.host_links_.end()) it->second->connected();
      };
      if (counts_ = h.model->connect(up); counts_) return;
      std::string out;
      wire::pg::put_error_response(out, true, "53300", "too many connections");
      write(out);
      return drop(false);
    }
    wire::pg::Message m;
    const auto frame = wire::pg::next_message(in, message_most, m);
    if (frame == wire::pg::FrameStatus::partial) return;
    if (frame == wire::pg::FrameStatus::malformed || m.type == 'X') return drop(false);
    std::string sql(m.body.substr(0, m.body.empty() ? 0 : m.body.size() - 1));
    const char type = m.type;
    in_.consume(m.size);
    if (type == 'Q') take(sql);
  }
}

/// Its handshake is done.
void HostLink::connected() {
  const auto& h = rig_.hosts_[static_cast<std::size_t>(host_)];
  if (h.late <= Duration::zero() || draw(rig_.draws_) >= late_share) return welcome();
  after(part_of(h.late, draw(rig_.draws_)), [](HostLink& me) { me.welcome(); });
}

void HostLink::take(std::string_view sql) {
  auto& h = rig_.hosts_[static_cast<std::size_t>(host_)];
  const auto now = rig_.timeline_.now();
  std::string out;
  if (sql == "SHOW health") {
    const auto r = h.model->load_report();
    char text[96];
    std::snprintf(text, sizeof text, "x0=%.3f,x1=%d,pending=%d",
                  static_cast<double>(r.position->count()) / 1e6, r.role == Role::primary ? 1 : 0,
                  static_cast<int>(*r.queue_length));
    put_row(out, text);
    wire::pg::put_ready_for_query(out);
    return say(out);
  }
  wire::StatementInfo info;
  std::string missing;
  if (!wire::parse_statement(sql, info, missing) || info.id.empty() || !request_.empty()) {
    wire::pg::put_error_response(out, true, "08P01", "not a statement that a client sent");
    say(out);
    return drop(false);
  }
  const std::string id(info.id);
  rig_.see_ends(id);
  const auto it = rig_.tries_.find(id);
  const Rig::Request* request = it == rig_.tries_.end() ? nullptr : it->second.request.get();
  const auto work = request ? request->work : Duration(50'000);
  const bool given_up = ended_there();
  request_ = id;
  attempt_ = rig_.rules_->attempt(id, gateway_, host_, h.group_at, work, now, given_up);
  ++rig_.result_.attempts;
  if (rig_.running_) ++rig_.second().by_host[static_cast<std::size_t>(host_)];
  rig_.working_[id].push_back(this);
  const auto job = ++jobs_;
  if (given_up) return;  // on_end follows
  breaks_ = false;
  if (h.break_off > 0 && draw(rig_.draws_) < h.break_off) break_later(work);
  if (h.fail > 0 && draw(rig_.draws_) < h.fail) return answer(job, Outcome::error, h.model->metadata());
  lab::Job j;
  j.work = Duration(static_cast<std::int64_t>(static_cast<double>(work.count()) * h.slow));
  if (request) {
    const auto& c = rig_.s_.classes[request->cls].request_class;
    j.write = c.freshness == Freshness::write, j.freshness = c.freshness,
    j.staleness_bound = c.staleness_bound;
  }
  j.on_done = [&rig = rig_, number = number_, job](Outcome outcome, AnswerMetadata note) {
    const auto link = rig.host_links_.find(number);
    if (link != rig.host_links_.end()) link->second->answer(job, outcome, note);
  };
  job_ = 0;
  const auto given = h.model->submit(std::move(j));
  if (!closed() && !request_.empty() && jobs_ == job) job_ = given;
}

void HostLink::answer(std::uint64_t job, Outcome outcome, AnswerMetadata note) {
  if (closed() || job != jobs_ || request_.empty()) return;
  job_ = 0;
  std::string out;
  const auto status = [&] {
    put_status(out, "recovery", note.role == Role::primary ? "off" : "on");
    if (note.position) put_status(out, "lsn_ms", std::to_string(note.position->count() / 1000));
    wire::pg::put_ready_for_query(out);
  };
  const auto it = rig_.tries_.find(request_);
  const auto& h = rig_.hosts_[static_cast<std::size_t>(host_)];
  const bool spoils = outcome == Outcome::ok && h.spoil > 0 && draw(rig_.draws_) < h.spoil;
  const bool write = it != rig_.tries_.end() &&
                     rig_.s_.classes[it->second.request->cls].request_class.freshness == Freshness::write;
  switch (outcome) {
    case Outcome::ok:
      put_row(out, request_);
      // What is no answer has run all the same, and is out until its connection ends.
      if (!spoils) over(breaks_ ? Over::closed : Over::served, note.position);
      break;
    case Outcome::too_stale:
      wire::pg::put_error_response(out, false, write ? "25006" : "72000", "not here");
      over(Over::miss, {});
      break;
    case Outcome::full:
      wire::pg::put_error_response(out, false, "53300", "full");
      over(Over::full, {});
      break;
    case Outcome::error:
      wire::pg::put_error_response(out, false, "XX000", "failed");
      over(Over::error, {});
      break;
    default:
      return drop(true);  // its process has ended
  }
  status();
  if (spoils) return spoil(out);
  if (breaks_ && outcome == Outcome::ok) {  // with all of it, or a part
    say(out.substr(
        0, part_of(Duration(static_cast<std::int64_t>(out.size())), draw(rig_.draws_) * 1.3).count()));
    return drop(true);
  }
  say(out);
  if (!closed()) rests();
}

void HostLink::over(Over how, std::optional<Time> position) {
  if (request_.empty()) return;
  rig_.rules_->over(request_, attempt_, how, position, rig_.timeline_.now());
  const auto it = rig_.working_.find(request_);
  if (it != rig_.working_.end()) {
    it->second.erase(std::remove(it->second.begin(), it->second.end(), this), it->second.end());
    if (it->second.empty()) rig_.working_.erase(it);
  }
  request_.clear();
}

void HostLink::drop(bool with_reset) {
  if (!closed()) with_reset ? reset() : close();
  on_end(0);
}

void HostLink::on_end(int) {
  const auto it = rig_.host_links_.find(number_);
  if (it == rig_.host_links_.end()) return;
  rig_.host_links_.erase(it);
  auto& model = *rig_.hosts_[static_cast<std::size_t>(host_)].model;
  if (job_ != 0) model.cancel(job_);
  if (counts_) model.disconnect();
  over(Over::closed, {});
  rig_.reaper_.add(std::unique_ptr<wire::Connection>(this));
}

// ---- discovery ----
DiscoveryLink::DiscoveryLink(Rig& rig, wire::Fd fd, int gateway)
    : Link(rig.loop_, std::move(fd), false, 8192, out_most), rig_(rig), gateway_(gateway) {
  if (rig.trouble_of(gateway, -1).there) set_reading_paused(true);
}

void DiscoveryLink::troubled() {
  if (closed()) return;
  const auto& t = rig_.trouble_of(gateway_, -1);
  set_reading_paused(t.there);
  if (!t.there && !in_.empty()) on_input();
  if (!t.back && watching_) rig_.tell(gateway_);
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
    return drop(false);
  }
  if (head.find("follow=1") == std::string::npos) {
    const auto list = rig_.list_for(gateway_);
    write("HTTP/1.1 200 OK\r\nContent-Type: application/json\r\nContent-Length: " +
          std::to_string(list.size()) + "\r\nConnection: close\r\n\r\n" + list);
    return;
  }
  write("HTTP/1.1 200 OK\r\nContent-Type: application/json\r\nTransfer-Encoding: chunked\r\n\r\n");
  watching_ = true;
  rig_.tell(gateway_);
}

bool DiscoveryLink::tell(const std::string& list) {
  if (closed() || !watching_) return false;
  if (mute_) return rig_.timeline_.now() >= *mute_ + missed_counts_after;
  write(chunk_head(list) + list + "\n\r\n");
  return true;
}

void DiscoveryLink::mute() {
  if (!watching_ || mute_) return;
  mute_ = rig_.timeline_.now();
  rig_.timeline_.after(missed_counts_after,
                       [&rig = rig_, gateway = gateway_] { rig.counts_as_told(gateway); });
}

void DiscoveryLink::tear() {
  if (closed() || !watching_) return;
  const auto list = rig_.list_for(gateway_);
  write(chunk_head(list) + list.substr(0, list.size() / 2));
  drop(gateway_ % 2 == 0);
}

void DiscoveryLink::beat() {
  if (watching_ && !mute_ && !closed() && !rig_.trouble_of(gateway_, -1).back) write("1\r\n\n\r\n");
}

void DiscoveryLink::drop(bool with_reset) {
  if (!closed()) with_reset ? reset() : close();
  on_end(0);
}

void DiscoveryLink::on_end(int) {
  auto& all = rig_.watches_;
  const auto it = std::find(all.begin(), all.end(), this);
  if (it == all.end()) return;
  all.erase(it);
  rig_.reaper_.add(std::unique_ptr<wire::Connection>(this));
}

// ---- clients ----
ClientLink::ClientLink(Rig& rig, const std::string& address, int gateway, bool probe)
    : Link(rig.loop_, wire::connect_to(address), true, message_most, out_most),
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

void ClientLink::ask(const Rig::Try& t, const std::string& sql) {
  try_ = t, sql_ = sql, code_.clear(), detail_.clear(), row_ = false;
  if (!open_) return;  // with the startup message
  used_ = true;
  std::string out;
  wire::pg::put_query(out, sql);
  write(out);
}

void ClientLink::go(Way way) {
  gone_ = true;
  try_.reset();
  if (closed()) return;
  if (!open_ || way == Way::close) return drop();
  if (way == Way::half_close) return shut_down_writing();  // what still comes goes nowhere
  if (way == Way::reset)
    reset();
  else
    write(std::string("X\0\0\0\4", 5));
  drop();
}

void ClientLink::on_input() {
  if (gone_) return in_.clear();
  while (!closed()) {
    const auto in = in_.view();
    wire::pg::Message m;
    const auto frame = wire::pg::next_message(in, message_most, m);
    if (frame == wire::pg::FrameStatus::partial) return;
    if (frame == wire::pg::FrameStatus::malformed) return drop();
    if (m.type == 'D') {
      row_ = true;
      // One column; what a host gives is the request's own name.
      if (try_ && (m.body.size() < 6 || m.body.substr(6) != try_->id)) rig_.rules_->made_up(try_->id);
    }
    if (m.type == 'I' && probe_) rig_.gateways_[static_cast<std::size_t>(gateway_)].in = true;
    if (m.type == 'E')
      code_ = wire::pg::error_response_field(m.body, 'C'),
      detail_ = wire::pg::error_response_field(m.body, 'D');
    const char type = m.type;
    in_.consume(m.size);
    if (type != 'Z') continue;
    if (!std::exchange(welcomed_, true)) continue;
    if (probe_) return drop();
    if (!try_) continue;
    const auto t = *std::exchange(try_, std::nullopt);
    const auto pause = wire::to_int(detail_).value_or(0);
    rig_.gateways_[static_cast<std::size_t>(gateway_)].idle.push_back(this);
    rig_.answered(t, outcome(row_ ? Answer::served : Answer::failed),
                  Duration(std::max<std::int64_t>(0, pause) * 1000));
  }
}

Answer ClientLink::outcome(Answer without_code) const {
  if (code_.empty()) return without_code;
  return code_ == "53300" || code_ == "57P03" ? Answer::refused : Answer::failed;
}

void ClientLink::drop() {
  if (!closed()) close();
  on_end(0);
}

void ClientLink::on_end(int) {
  auto& idle = rig_.gateways_[static_cast<std::size_t>(gateway_)].idle;
  idle.erase(std::remove(idle.begin(), idle.end(), this), idle.end());
  auto& all = rig_.clients_;
  const auto it = std::find_if(all.begin(), all.end(), [&](const auto& c) { return c.get() == this; });
  if (it == all.end()) return;
  rig_.reaper_.add(std::move(*it));
  *it = std::move(all.back());
  all.pop_back();
  if (!try_) return;
  const auto t = *std::exchange(try_, std::nullopt);
  // One that never came up was not taken; one that was kept may have been closed before the request was read.
  const bool in_time = rig_.timeline_.now() < t.request->deadline;
  if (in_time && (!open_ || (used_ && code_.empty() && !row_))) return rig_.not_taken(t);
  rig_.answered(t, outcome(Answer::lost), {});
}

}  // namespace cedarring::rig
