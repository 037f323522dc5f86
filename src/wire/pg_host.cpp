#include "wire/pg_host.h"

#include <algorithm>
#include <cerrno>

#include "sim/adapter.h"
#include "wire/pg.h"

namespace cedarring::wire {
namespace {

using memory::AttemptResult;

double seconds(Duration d) { return std::max(0.0, static_cast<double>(d.count()) / 1e6); }

/// PROTOCOL's table of outcomes, for what a host says. Breaks of the connection are told by lost().
Outcome outcome_of(std::string_view code) {
  if (code == "25006" || code == "72000") return Outcome::miss;
  if (code == "53300" || code == "57P03") return Outcome::full;
  return Outcome::error;
}
/// The rest of it: the connection was refused, never came up, broke, or said nothing in time.
Outcome lost(bool submitted, bool timed_out) {
  if (!submitted) return Outcome::connect_failed;
  return timed_out ? Outcome::timeout : Outcome::reset;
}

}  // namespace

PgHost::PgHost(ev::loop_ref loop, Fd fd, HostId host, PgUpstream& owner)
    : Connection(loop, std::move(fd), true, pg_message_most + 16, 2 * pg_message_most),
      owner_(owner),
      host_(host),
      timer_(loop) {
  timer_.set<PgHost, &PgHost::expired>(this);
}

void PgHost::run(Job job) {
  job_ = std::move(job);
  submitted_ = false;
  rows_.clear();
  row_count_ = 0;
  complete_ = false;
  error_code_.clear();
  error_text_.clear();
  health_.clear();
  note_ = {};
  if (welcomed_) submit();
  arm();
}

void PgHost::arm() {
  auto due = job_->stop_at;
  if (!submitted_) due = std::min(due, job_->started + owner_.options().connect_timeout);
  timer_.start(seconds(due - owner_.now()));
}

void PgHost::submit() {
  std::string out;
  if (job_->attempt) {
    const auto left = std::chrono::floor<std::chrono::milliseconds>(job_->stop_at - owner_.now()).count();
    const auto& work = *job_->work;
    pg::put_query(out, with_deadline(work.sql, work.info, std::max<std::int64_t>(left, 1)));
  } else {
    pg::put_query(out, "SHOW health");
  }
  submitted_ = true;
  write(out);
}

void PgHost::on_open() {
  std::string out;
  pg::put_startup(out, "svc", "main");
  write(out);
}

void PgHost::on_input() {
  while (!closed()) {
    const auto in = in_.view();
    pg::Message message;
    const auto frame = pg::next_message(in, pg_message_most, message);
    if (frame == pg::Frame::partial) return;
    if (frame == pg::Frame::bad) {
      close();
      return on_end(EPROTO);
    }
    const bool go_on = take(message.type, message.body, in.substr(0, message.size));
    if (!go_on) return;
    in_.consume(message.size);
    if (message.type == 'Z' && !closed()) completed();
  }
}

/// False if the connection is done with.
bool PgHost::take(char type, std::string_view body, std::string_view whole) {
  switch (type) {
    case 'T':
    case 'D':
    case 'C':
      if (!submitted_) break;
      rows_ += whole;
      if (rows_.size() > pg_message_most) {
        close();
        on_end(EPROTO);
        return false;
      }
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
      if (!name || !value) break;
      if (*name == "recovery") note_.role = *value == "off" ? Role::primary : Role::replica;
      if (*name == "lsn_ms")
        if (const auto at = to_int(*value); at && *at > 0 && *at < 10'000'000'000'000)
          note_.position = std::chrono::milliseconds(*at);
      break;
    }
    default: break;  // notices, keys, the row's description: nothing to learn from
  }
  return true;
}

/// ReadyForQuery: the welcome is over, or the answer is whole.
void PgHost::completed() {
  if (!welcomed_) {
    welcomed_ = true;
    note_ = {};
    if (job_) submit(), arm();
    return;
  }
  if (!job_ || !submitted_) return;
  AttemptResult result;
  result.note = note_;
  if (!error_code_.empty()) {
    result.outcome = outcome_of(error_code_);
    result.message = error_text_;
  } else if (!complete_ || row_count_ != 1) {
    result.outcome = Outcome::error;
  } else {
    result.value = std::move(rows_);
    rows_.clear();
  }
  if (!job_->attempt) result.report = sim::parse_report(health_, Time::zero(), '=');
  finish(std::move(result), true);
}

void PgHost::finish(AttemptResult result, bool keep) {
  timer_.stop();
  const auto job = std::exchange(job_, std::nullopt);
  if (!keep && !closed()) close();
  owner_.done(this, *job, std::move(result), keep);
}

void PgHost::expired(ev::timer&, int) {
  if (!job_) return;
  finish({lost(submitted_, true), note_, {}, {}, {}}, false);
}

void PgHost::give_up() {
  timer_.stop();
  job_.reset();
  if (!closed()) close();
}

void PgHost::on_end(int) {
  if (!job_) return owner_.gone(this);
  AttemptResult result;
  if (!error_code_.empty()) result = {outcome_of(error_code_), note_, {}, {}, error_text_};
  else result.outcome = lost(submitted_ && out_.empty(), false);
  finish(std::move(result), false);
}

PgUpstream::PgUpstream(ev::loop_ref loop, Reaper& reaper, Clock clock, Options options,
                       std::function<void()> watch)
    : loop_(loop),
      reaper_(reaper),
      clock_(std::move(clock)),
      options_(options),
      watch_(std::move(watch)),
      wake_(loop),
      sweep_(loop) {
  wake_.set<PgUpstream, &PgUpstream::wake>(this);
  sweep_.set<PgUpstream, &PgUpstream::sweep>(this);
  sweep_.start(1, 1);
}

void PgUpstream::start(memory::AttemptKey key, HostId host, const std::string& address,
                       const std::shared_ptr<const memory::Work>& work, Time stop_at) {
  run(host, address, {key, std::static_pointer_cast<const PgWork>(work), clock_(), stop_at});
}

void PgUpstream::probe(HostId host, const std::string& address) {
  const auto now = clock_();
  run(host, address, {std::nullopt, nullptr, now, now + options_.connect_timeout});
}

void PgUpstream::run(HostId host, const std::string& address, Job job) {
  auto* connection = pool_.take(host);
  if (!connection) {
    // At the bound the connection that was idle longest, anywhere, makes room.
    if (connections_.size() >= options_.most)
      if (auto* idle = pool_.oldest()) idle->give_up(), gone(idle);
    AttemptResult failed;
    failed.outcome = Outcome::moot;
    if (connections_.size() >= options_.most) return tell(job, host, std::move(failed));
    Fd fd = connect_to(address);
    if (fd.get() < 0) {
      // Out of descriptors is no fault of the host's, and must not count as one.
      if (errno != EMFILE && errno != ENFILE) failed.outcome = Outcome::connect_failed;
      return tell(job, host, std::move(failed));
    }
    auto fresh = std::make_unique<PgHost>(loop_, std::move(fd), host, *this);
    connection = fresh.get();
    connections_.emplace(connection, std::move(fresh));
  }
  if (job.attempt) attempts_[{job.attempt->request.value, job.attempt->number}] = connection;
  connection->run(std::move(job));
}

void PgUpstream::abandon(memory::AttemptKey key) {
  const auto it = attempts_.find({key.request.value, key.number});
  if (it == attempts_.end()) return;
  auto* connection = it->second;
  attempts_.erase(it);
  connection->give_up();
  gone(connection);
}

void PgUpstream::done(PgHost* connection, const Job& job, AttemptResult result, bool keep) {
  const auto host = connection->host();
  if (job.attempt) attempts_.erase({job.attempt->request.value, job.attempt->number});
  if (keep) pool_.put(host, connection, clock_());
  else gone(connection);
  tell(job, host, std::move(result));
}

void PgUpstream::tell(const Job& job, HostId host, AttemptResult result) {
  if (job.attempt) broker_->attempt_ended(*job.attempt, std::move(result));
  else broker_->probe_ended(host, result.outcome, clock_() - job.started, result.report);
}

void PgUpstream::gone(PgHost* connection) {
  pool_.remove(connection->host(), connection);
  const auto it = connections_.find(connection);
  if (it == connections_.end()) return;
  reaper_.take(std::move(it->second));
  connections_.erase(it);
}

void PgUpstream::closed(HostId host) {
  for (auto* idle : pool_.drop(host)) idle->give_up(), gone(idle);
}

void PgUpstream::wake_at(Time due) {
  wake_at_ = due;
  arm_wake();
}

void PgUpstream::arm_wake() {
  wake_.stop();
  wake_.start(seconds(wake_at_ - clock_()));
}

void PgUpstream::wake(ev::timer&, int) {
  // The router passes over a beat that comes early: the loop's clock and ours may differ by a little.
  if (clock_() < wake_at_) return arm_wake();
  broker_->timer_fired();
}

/// Idle connections go well before the host closes them: a request written then would be lost.
void PgUpstream::sweep(ev::timer&, int) {
  for (auto* idle : pool_.retire(clock_() - options_.idle_close / 2)) idle->give_up(), gone(idle);
}

}  // namespace cedarring::wire
