#include "wire/upstream.h"

#include <algorithm>
#include <cerrno>

namespace cedarring::wire {
namespace {

using broker::AttemptResult;

constexpr double silent_most = 10;     // seconds that a host may pause within a value
constexpr std::size_t for_probes = 8;  // one in so many places is left to probes

double seconds(Duration d) { return std::max(0.0, static_cast<double>(d.count()) / 1e6); }

/// PROTOCOL's table, for what happens to a connection; what hosts say is told by each protocol's codec.
/// Refused, never up, or broken before the last byte of the request was written: it never ran.
Outcome lost(bool submitted, bool timed_out) {
  if (!submitted) return Outcome::connect_failed;
  return timed_out ? Outcome::timeout : Outcome::reset;
}

}  // namespace

HostConnection::HostConnection(ev::loop_ref loop, Fd fd, HostId host, SocketUpstream& owner,
                               std::size_t message_most)
    : Connection(loop, std::move(fd), true, message_most + 16, 2 * message_most),
      owner_(owner),
      host_(host),
      timer_(loop) {
  timer_.set<HostConnection, &HostConnection::expired>(this);
}

void HostConnection::run(Job job) {
  job_ = std::move(job);
  submitted_ = counted_ = streaming_ = false;
  reset();
  if (welcomed_) submit();
  arm();
}

void HostConnection::arm() {
  if (!job_) return;
  auto due = job_->stop_at;
  const auto most = owner_.options().connect_timeout;
  if (!welcomed_)
    due = std::min(due, job_->started + (job_->patient ? most : owner_.patience().timeout(most)));
  timer_.start(seconds(due - owner_.now()));
}

void HostConnection::welcome() {
  welcomed_ = true;
  if (job_) owner_.patience().connected(owner_.now() - job_->started);
  reset();
  if (!job_) return;
  submit();
  arm();
}

bool HostConnection::write_request(std::string_view bytes) {
  submitted_ = true;
  const bool taken = write(bytes);
  if (taken && out_.empty()) on_sent();
  return taken;
}

/// The last byte of what was written has left. Before the request itself that is a welcome, or a PREPARE.
void HostConnection::on_sent() {
  if (job_ && !submitted_ && welcomed_) return on_room();
  if (!job_ || !submitted_ || counted_) return;
  counted_ = true;
  owner_.written(*job_);
}

std::int64_t HostConnection::ms_left() const {
  const auto left = std::chrono::floor<std::chrono::milliseconds>(job_->stop_at - owner_.now()).count();
  return std::max<std::int64_t>(left, 1);
}

void HostConnection::finish(AttemptResult result, bool keep) {
  timer_.stop();
  const auto job = std::exchange(job_, std::nullopt);
  keep = keep && submitted_ && !last_ && in_.empty() && out_.empty();
  if (!keep && !closed()) close();
  owner_.done(this, *job, std::move(result), keep);
}

void HostConnection::expired(ev::timer&, int) {
  if (!job_) return;
  AttemptResult result;
  result.outcome = lost(submitted_ && out_.empty(), true);
  result.connect_timed_out = true;
  if (!welcomed_) owner_.patience().timed_out();
  finish(std::move(result), false);
}

bool HostConnection::pass(std::string_view bytes) {
  streaming_ = true;
  const bool go_on = owner_.part(*job_, bytes);
  if (closed() || !job_) return false;
  // While its client takes nothing the host is not to blame.
  if (go_on)
    timer_.start(silent_most);
  else
    timer_.stop(), hold(true);
  return go_on;
}

void HostConnection::more() {
  if (closed() || !job_ || !streaming_) return;
  timer_.start(silent_most);
  hold(false);
  on_more();
}

void HostConnection::give_up() {
  timer_.stop();
  job_.reset();
  if (!closed()) close();
}

void HostConnection::withdraw() {
  last_ = true;
  if (!job_ || submitted_) return;
  AttemptResult result;
  result.outcome = Outcome::not_sent;
  finish(std::move(result), false);
}

void HostConnection::broken() {
  if (!closed()) close();
  end(std::nullopt);
}

void HostConnection::on_end(int) { end(said()); }

void HostConnection::end(std::optional<AttemptResult> result) {
  if (!job_) return owner_.gone(this);
  if (!result) {
    result.emplace();
    result->outcome = lost(submitted_ && out_.empty(), false);
  }
  finish(std::move(*result), false);
}

SocketUpstream::SocketUpstream(ev::loop_ref loop, Reaper& reaper, Clock clock, Options options, Make make,
                               std::function<void()> watch)
    : loop_(loop),
      reaper_(reaper),
      clock_(std::move(clock)),
      options_(options),
      most_(options.most),
      make_(std::move(make)),
      watch_(std::move(watch)),
      wake_(loop),
      sweep_(loop) {
  wake_.set<SocketUpstream, &SocketUpstream::wake>(this);
  sweep_.set<SocketUpstream, &SocketUpstream::sweep>(this);
  sweep_.start(1, 1);
}

/// The router keeps what finds no place, so an attempt meets a bound only when there is less room than it was
/// told.
void SocketUpstream::apply_most() {
  most_ = std::max<std::size_t>(1, static_cast<std::size_t>(static_cast<double>(options_.most) * factor_));
  if (broker_) broker_->set_max_in_flight(most_ - most_ / for_probes);
}

void SocketUpstream::trim(std::size_t most) {
  while (connections_.size() > most) {
    auto* idle = pool_.take_oldest();
    if (!idle) return;
    drop(idle);
  }
}

void SocketUpstream::start(broker::AttemptKey key, HostId host, const std::string& address,
                           const std::shared_ptr<const broker::RequestPayload>& work, Time stop_at,
                           bool only_there) {
  run(host, address, {key, work, clock_(), stop_at, only_there});
}

void SocketUpstream::probe(HostId host, const std::string& address) {
  const auto now = clock_();
  run(host, address, {std::nullopt, nullptr, now, now + options_.connect_timeout});
}

void SocketUpstream::run(HostId host, const std::string& address, Job job) {
  auto* connection = pool_.take(host);
  // A host that has just closed it: the loop has not told yet, and what is written now would count as run.
  while (connection && connection->pending()) {
    drop(connection);
    connection = pool_.take(host);
  }
  if (!connection) {
    // At the bound the connection that was idle longest, anywhere, makes room.
    if (connections_.size() >= most_ && full_) full_();
    if (connections_.size() >= most_)
      if (auto* idle = pool_.take_oldest()) drop(idle);
    AttemptResult failed;
    failed.outcome = Outcome::not_sent;
    if (connections_.size() >= most_) return tell(job, host, std::move(failed));
    Fd fd = connect_to(address);
    if (fd.get() < 0) {
      // Out of descriptors is no fault of the host's, and must not count as one.
      if (errno != EMFILE && errno != ENFILE) failed.outcome = Outcome::connect_failed;
      return tell(job, host, std::move(failed));
    }
    auto fresh = make_(std::move(fd), host, *this);
    connection = fresh.get();
    connections_.emplace(connection, std::move(fresh));
  }
  if (job.attempt) attempts_[{job.attempt->request.value, job.attempt->number}] = connection;
  connection->run(std::move(job));
}

/// Giving an attempt up closes its connection: an answer that is still due must not meet another request.
void SocketUpstream::cancel(broker::AttemptKey key) {
  const auto it = attempts_.find({key.request.value, key.number});
  if (it == attempts_.end()) return;
  auto* connection = it->second;
  attempts_.erase(it);
  drop(connection);
}

void SocketUpstream::done(HostConnection* connection, const Job& job, AttemptResult result, bool keep) {
  const auto host = connection->host();
  if (job.attempt) attempts_.erase({job.attempt->request.value, job.attempt->number});
  if (keep && !winding_down_ && connections_.size() <= most_)
    pool_.put(host, connection, clock_());
  else
    gone(connection);
  tell(job, host, std::move(result));
}

bool SocketUpstream::part(const Job& job, std::string_view bytes) {
  return !job.attempt || broker_->attempt_part(*job.attempt, bytes);
}

void SocketUpstream::resume(broker::AttemptKey key) {
  const auto it = attempts_.find({key.request.value, key.number});
  if (it != attempts_.end()) it->second->more();
}

void SocketUpstream::written(const Job& job) {
  if (job.attempt) broker_->attempt_written(*job.attempt);
}

void SocketUpstream::tell(const Job& job, HostId host, AttemptResult result) {
  if (job.attempt)
    broker_->attempt_ended(*job.attempt, std::move(result));
  else
    broker_->probe_ended(host, result.outcome, clock_() - job.started, result.report);
}

void SocketUpstream::wind_down(bool on) {
  winding_down_ = on;
  if (!on) return;
  while (auto* idle = pool_.take_oldest()) drop(idle);
}

void SocketUpstream::drop(HostConnection* connection) {
  connection->give_up();
  gone(connection);
}

void SocketUpstream::gone(HostConnection* connection) {
  pool_.remove(connection->host(), connection);
  const auto it = connections_.find(connection);
  if (it == connections_.end()) return;
  reaper_.take(std::move(it->second));
  connections_.erase(it);
}

void SocketUpstream::close_idle(HostId host) {
  for (auto* idle : pool_.take_all(host)) drop(idle);
  // A slow connect or prepare must not put a request on the host long after we were told.
  std::vector<HostConnection*> mine;
  for (const auto& [key, connection] : connections_)
    if (connection->host() == host) mine.push_back(connection.get());
  for (auto* connection : mine) connection->withdraw();
}

void SocketUpstream::set_timer(Time due) {
  wake_at_ = due;
  arm_wake();
}

void SocketUpstream::arm_wake() {
  wake_.stop();
  wake_.start(seconds(wake_at_ - clock_()));
}

void SocketUpstream::wake(ev::timer&, int) {
  // The router passes over a beat that comes early: the loop's clock and ours may differ by a little.
  if (clock_() < wake_at_) return arm_wake();
  broker_->timer_fired();
}

/// Idle connections go well before the host closes them: a request written then would be lost.
void SocketUpstream::sweep(ev::timer&, int) {
  for (auto* idle : pool_.take_expired(clock_() - options_.idle_close / 2)) drop(idle);
}

}  // namespace cedarring::wire
