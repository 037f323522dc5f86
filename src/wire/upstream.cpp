#include "wire/upstream.h"

#include <algorithm>
#include <cerrno>

namespace cedarring::wire {
namespace {

using broker::AttemptResult;

constexpr double stream_stall_timeout_s = 10;  // between two parts of a streamed answer
/// One in this many connections is reserved for probes.
constexpr std::size_t probe_reserve = 8;
constexpr std::size_t message_overhead = 16;  // bytes that a message may have beside its content
constexpr double sweep_interval_s = 1;

/// The duration as the event loop takes it; 0 if it is negative.
double seconds(Duration duration) {
  constexpr double us_per_s = 1e6;
  return std::max(0.0, static_cast<double>(duration.count()) / us_per_s);
}

/// Whether the peer's process or kernel has ended the connection, as opposed to this side or a time limit on
/// the way. `error`: as in Connection::on_end().
bool ended_by_peer(int error) { return error == 0 || error == ECONNRESET || error == EPIPE; }

}  // namespace

HostConnection::HostConnection(ev::loop_ref loop, Fd fd, HostId host, SocketUpstream& owner,
                               std::size_t max_message)
    : Connection(loop, std::move(fd), true, max_message + message_overhead, 2 * max_message),
      owner_(owner),
      host_(host),
      timer_(loop) {
  timer_.set<HostConnection, &HostConnection::on_timeout>(this);
}

void HostConnection::run(Job job) {
  job_ = std::move(job);
  submitted_ = sent_reported_ = streaming_ = false;
  const auto connect_timeout = owner_.options().connect_timeout;
  connect_by_ = job_->started_at + (job_->limits.use_full_connect_timeout
                                        ? connect_timeout
                                        : owner_.adaptive_connect_timeout().timeout(connect_timeout));
  reset();
  if (handshake_done_ && !validating_) submit();
  start_timer();
}

Time HostConnection::due() const {
  auto due = job_->limits.give_up_at;
  if (!request_sent()) due = std::min(due, job_->limits.write_by);
  if (!handshake_done_ || validating_) due = std::min(due, connect_by_);
  return due;
}

void HostConnection::start_timer() {
  if (job_) timer_.start(seconds(due() - owner_.now()));
}

bool HostConnection::too_late_to_write() const {
  return !request_sent() && owner_.now() >= job_->limits.write_by;
}

void HostConnection::on_handshake_done() {
  handshake_done_ = true;
  if (job_) owner_.adaptive_connect_timeout().connected(owner_.now() - job_->started_at);
  reset();
  if (!job_) return;
  submit();
  start_timer();
}

void HostConnection::start_validation() {
  if (closed() || !validating_) return;
  if (!job_) timer_.start(seconds(owner_.options().connect_timeout));
  send_validation();
}

void HostConnection::on_validated() {
  validating_ = false;
  if (!in_.empty()) return protocol_error();  // belongs to no request
  if (!job_) return timer_.stop();
  reset();
  submit();
  start_timer();
}

void HostConnection::hand_job_back() {
  timer_.stop();
  owner_.start_elsewhere(this, *std::exchange(job_, std::nullopt));
}

bool HostConnection::write_request(std::string_view bytes) {
  if (too_late_to_write()) {
    finish_not_sent();
    return false;
  }
  submitted_ = true;
  const bool written = write(bytes);
  if (written && out_.empty()) on_sent();
  return written;
}

/// All output has been sent. Before the request itself that is the handshake, or a PREPARE.
void HostConnection::on_sent() {
  if (job_ && !submitted_ && handshake_done_) return on_writable();
  if (!job_ || !submitted_ || sent_reported_) return;
  sent_reported_ = true;
  owner_.on_request_sent(*job_);
}

std::int64_t HostConnection::remaining_ms() const {
  const auto remaining =
      std::chrono::floor<std::chrono::milliseconds>(job_->limits.give_up_at - owner_.now()).count();
  return std::max<std::int64_t>(remaining, 1);
}

void HostConnection::finish(AttemptResult result, bool keep) {
  timer_.stop();
  answer_memory_.set(0);
  const auto job = std::exchange(job_, std::nullopt);
  keep = keep && submitted_ && !retired_ && !given_up_ && in_.empty() && out_.empty();
  if (!keep && !closed()) close();
  validating_ = keep;
  owner_.on_job_done(this, *job, std::move(result), keep);
  start_validation();
}

void HostConnection::on_timeout(ev::timer&, int) {
  if (!job_) {
    close();  // the validation query was not answered
    return owner_.remove(this);
  }
  // The limit that the timer was started for may have been met since, and the loop's time may be behind.
  if (!streaming_ && !given_up_ && owner_.now() < due()) return start_timer();
  if (too_late_to_write()) return finish_not_sent();
  auto result = result_of_loss(Loss::timeout);
  result.connect_timed_out = true;
  if (!handshake_done_) owner_.adaptive_connect_timeout().timed_out();
  finish(std::move(result), false);
}

bool HostConnection::forward_answer_part(std::string_view bytes) {
  // The host may cut off the rest of a long answer when it notices that the sending has ended.
  if (given_up_) {
    finish_given_up();
    return false;
  }
  streaming_ = true;
  const bool read_on = owner_.on_answer_part(*job_, bytes);
  if (closed() || !job_) return false;
  // No timeout may end the attempt while the host waits for the client to read.
  if (read_on) {
    timer_.start(stream_stall_timeout_s);
  } else {
    timer_.stop();
    set_reading_paused(true);
  }
  return read_on;
}

void HostConnection::resume() {
  if (closed() || !job_ || !streaming_) return;
  timer_.start(stream_stall_timeout_s);
  set_reading_paused(false);
  on_resume();
}

void HostConnection::abandon() {
  timer_.stop();
  job_.reset();
  if (!closed()) close();
}

/// A host that has not got the whole request cannot run it, so nothing has to be awaited then.
void HostConnection::give_up(Time confirm_by) {
  if (!request_sent()) return finish_given_up();
  given_up_ = true;
  shut_down_writing();
  timer_.stop();
  timer_.start(seconds(std::min(confirm_by, job_->limits.give_up_at) - owner_.now()));
}

void HostConnection::finish_given_up() {
  AttemptResult result;
  result.outcome = Outcome::cancelled;
  finish(std::move(result), false);
}

void HostConnection::retire() {
  retired_ = true;
  if (job_ && !submitted_) finish_not_sent();
}

void HostConnection::finish_not_sent() {
  AttemptResult result;
  result.outcome = Outcome::not_sent;
  finish(std::move(result), false);
}

void HostConnection::protocol_error() {
  if (!closed()) close();
  if (!job_) return owner_.remove(this);
  if (job_waits_for_validation()) return hand_job_back();
  finish(result_of_loss(Loss::by_host), false);
}

void HostConnection::on_end(int error) {
  if (!job_) return owner_.remove(this);
  if (job_waits_for_validation()) return hand_job_back();
  const auto received = received_result();
  finish(received ? *received : result_of_loss(ended_by_peer(error) ? Loss::by_host : Loss::closed_here),
         false);
}

/// If the connection was refused, not established, or failed before the last byte of the request was sent,
/// the request did not run.
AttemptResult HostConnection::result_of_loss(Loss loss) const {
  AttemptResult result;
  result.unconfirmed = request_sent() && loss != Loss::by_host;
  if (given_up_)
    result.outcome = Outcome::cancelled;
  else if (!request_sent())
    result.outcome = Outcome::connect_failed;
  else
    result.outcome = loss == Loss::timeout ? Outcome::timeout : Outcome::reset;
  return result;
}

SocketUpstream::SocketUpstream(ev::loop_ref loop, Reaper& reaper, Clock clock, Options options,
                               Factory factory, std::function<void()> open_watch)
    : loop_(loop),
      reaper_(reaper),
      clock_(std::move(clock)),
      options_(options),
      limit_(options.max_connections),
      factory_(std::move(factory)),
      open_watch_(std::move(open_watch)),
      timer_(loop),
      sweep_(loop) {
  timer_.set<SocketUpstream, &SocketUpstream::on_timer>(this);
  sweep_.set<SocketUpstream, &SocketUpstream::sweep>(this);
  sweep_.start(sweep_interval_s, sweep_interval_s);
}

/// The router queues requests beyond max_in_flight, so an attempt hits the connection limit only if the limit
/// has become lower than the router knows.
void SocketUpstream::apply_limit() {
  limit_ = std::max<std::size_t>(
      1, static_cast<std::size_t>(static_cast<double>(options_.max_connections) * limit_factor_));
  if (broker_) broker_->set_max_in_flight(limit_ - limit_ / probe_reserve);
}

void SocketUpstream::trim(std::size_t max_connections) {
  while (connections_.size() > max_connections) {
    auto* idle = pool_.take_oldest();
    if (!idle) return;
    close(idle);
  }
}

void SocketUpstream::start(broker::AttemptKey key, HostId host, const std::string& address,
                           const std::shared_ptr<const broker::RequestPayload>& payload,
                           const broker::AttemptLimits& limits) {
  run(host, {key, payload, address, clock_(), limits});
}

void SocketUpstream::probe(HostId host, const std::string& address) {
  const auto now = clock_();
  broker::AttemptLimits limits;
  limits.give_up_at = now + options_.connect_timeout;
  run(host, {std::nullopt, nullptr, address, now, limits});
}

void SocketUpstream::start_elsewhere(HostConnection* connection, Job job) {
  const auto host = connection->host();
  remove(connection);
  if (job.attempt) attempts_.erase({job.attempt->request.value, job.attempt->number});
  job.started_at = clock_();
  run(host, std::move(job));
}

/// The host may have closed a validated connection without the event loop having reported that yet: a request
/// written now would count as possibly executed.
HostConnection* SocketUpstream::take_idle(HostId host) {
  const auto validated = [](const HostConnection& connection) { return !connection.validating(); };
  auto* connection = pool_.take(host, validated);
  while (connection && validated(*connection) && connection->has_pending_input()) {
    close(connection);
    connection = pool_.take(host, validated);
  }
  return connection;
}

void SocketUpstream::run(HostId host, Job job) {
  auto* connection = take_idle(host);
  if (!connection) {
    // At the limit the longest idle connection to any host is closed.
    if (connections_.size() >= limit_ && limit_reached_) limit_reached_();
    if (connections_.size() >= limit_)
      if (auto* idle = pool_.take_oldest()) close(idle);
    if (connections_.size() >= limit_ && job.attempt) abandon_newest_probe();
    AttemptResult failed;
    failed.outcome = Outcome::not_sent;
    if (connections_.size() >= limit_) return report(job, host, std::move(failed));
    Fd fd = connect_to(job.address);
    if (fd.get() < 0) {
      // Running out of descriptors must not count as a failure of the host.
      if (errno != EMFILE && errno != ENFILE) failed.outcome = Outcome::connect_failed;
      return report(job, host, std::move(failed));
    }
    auto created = factory_(std::move(fd), host, *this);
    connection = created.get();
    connections_.emplace(connection, std::move(created));
  }
  if (job.attempt) attempts_[{job.attempt->request.value, job.attempt->number}] = connection;
  connection->run(std::move(job));
}

/// The router counts on every connection but the reserve of probes for its attempts. Slow probes of many
/// hosts can take more than their reserve. Without a connection the attempt would end as not sent, and so
/// would its retries: within milliseconds the request would be refused. The newest probe is closed because
/// the oldest ones show which hosts do not answer. It counts as not sent, which is no failure of its host.
void SocketUpstream::abandon_newest_probe() {
  HostConnection* newest = nullptr;
  for (const auto& [connection, owned] : connections_)
    if (const auto started_at = connection->probe_started_at();
        started_at && (!newest || std::pair(*newest->probe_started_at(), newest->host()) <
                                      std::pair(*started_at, connection->host())))
      newest = connection;
  if (!newest) return;
  const auto host = newest->host();
  const auto elapsed = clock_() - *newest->probe_started_at();
  close(newest);
  broker_->probe_ended(host, Outcome::not_sent, elapsed, {});
}

/// Cancelling an attempt closes its connection: the pending answer must not be taken for another request's.
void SocketUpstream::cancel(broker::AttemptKey key) {
  const auto it = attempts_.find({key.request.value, key.number});
  if (it == attempts_.end()) return;
  auto* connection = it->second;
  attempts_.erase(it);
  close(connection);
}

void SocketUpstream::give_up(broker::AttemptKey key, Time confirm_by) {
  const auto it = attempts_.find({key.request.value, key.number});
  if (it != attempts_.end()) it->second->give_up(confirm_by);
}

void SocketUpstream::on_job_done(HostConnection* connection, const Job& job, AttemptResult result,
                                 bool keep) {
  const auto host = connection->host();
  if (job.attempt) attempts_.erase({job.attempt->request.value, job.attempt->number});
  if (keep && !draining_ && connections_.size() <= limit_)
    pool_.put(host, connection, clock_());
  else
    close(connection);
  report(job, host, std::move(result));
}

bool SocketUpstream::on_answer_part(const Job& job, std::string_view bytes) {
  return !job.attempt || broker_->attempt_part(*job.attempt, bytes);
}

void SocketUpstream::resume(broker::AttemptKey key) {
  const auto it = attempts_.find({key.request.value, key.number});
  if (it != attempts_.end()) it->second->resume();
}

void SocketUpstream::on_request_sent(const Job& job) {
  if (job.attempt) broker_->attempt_written(*job.attempt);
}

void SocketUpstream::report(const Job& job, HostId host, AttemptResult result) {
  if (job.attempt)
    broker_->attempt_ended(*job.attempt, std::move(result));
  else
    broker_->probe_ended(host, result.outcome, clock_() - job.started_at, result.report);
}

void SocketUpstream::set_draining(bool draining) {
  draining_ = draining;
  if (!draining) return;
  while (auto* idle = pool_.take_oldest()) close(idle);
}

void SocketUpstream::close(HostConnection* connection) {
  connection->abandon();
  remove(connection);
}

void SocketUpstream::remove(HostConnection* connection) {
  pool_.remove(connection->host(), connection);
  const auto it = connections_.find(connection);
  if (it == connections_.end()) return;
  reaper_.add(std::move(it->second));
  connections_.erase(it);
}

void SocketUpstream::close_idle(HostId host) {
  for (auto* idle : pool_.take_all(host)) close(idle);
  // A slow connect or prepare must not send a request to the host long after it was listed as draining or
  // gone.
  std::vector<HostConnection*> of_host;
  for (const auto& [key, connection] : connections_)
    if (connection->host() == host) of_host.push_back(connection.get());
  for (auto* connection : of_host) connection->retire();
}

void SocketUpstream::set_timer(Time due) {
  timer_due_ = due;
  start_timer();
}

void SocketUpstream::start_timer() {
  timer_.stop();
  timer_.start(seconds(timer_due_ - clock_()));
}

void SocketUpstream::on_timer(ev::timer&, int) {
  // The router ignores a timer that fires early; the loop's clock may differ slightly from clock_.
  if (clock_() < timer_due_) return start_timer();
  broker_->timer_fired();
}

/// Hosts close a connection that has been idle for the idle timeout. The gateway closes it after half of
/// that, so that no request is written to a connection that the host is closing.
void SocketUpstream::sweep(ev::timer&, int) {
  for (auto* idle : pool_.take_expired(clock_() - options_.idle_timeout / 2)) close(idle);
}

}  // namespace cedarring::wire
