#include "tools/lab/ledger.h"

#include <algorithm>

namespace cedarring::lab {

HostModel::HostModel(Timeline& timeline, Ledger& group, HostId id, const HostSpec& spec, std::string zone)
    : timeline_(timeline),
      group_(group),
      id_(id),
      spec_(spec),
      zone_(std::move(zone)),
      apply_free_(timeline.now()) {}

/// The share of its capacity that a host has now: from the cold share evenly up to all of it.
double HostModel::capacity() const {
  if (timeline_.now() >= cold_until_ || cold_for_ <= Duration::zero()) return 1;
  const double up = 1 - static_cast<double>((cold_until_ - timeline_.now()).count()) /
                            static_cast<double>(cold_for_.count());
  return cold_from_ + (1 - cold_from_) * up;
}

/// A primary stands at the present. A replica has the log up to what was shipped, less what it has not
/// applied; while the group has no primary nothing is added.
Time HostModel::position() const {
  const auto now = timeline_.now();
  if (group_.primary() == this) return now;
  const auto shipped = (group_.primary() ? now : std::min(now, group_.lost_at())) - spec_.ship;
  for (const auto& [commit, applied] : log_)
    if (applied > now) return std::min(shipped, commit - Duration(1));
  return shipped;
}

void HostModel::ship(Time commit) {
  const auto now = timeline_.now();
  while (!log_.empty() && log_.front().second <= now) log_.pop_front();
  const auto apply =
      Duration(static_cast<std::int64_t>(static_cast<double>(spec_.apply_write.count()) * slow_apply_));
  apply_free_ = std::max(apply_free_, now + spec_.ship) + apply;
  log_.emplace_back(commit, apply_free_);
}

AnswerMetadata HostModel::note() const {
  AnswerMetadata n;
  n.role = group_.primary() == this ? Role::primary : Role::replica;
  n.position = std::chrono::floor<std::chrono::milliseconds>(position());
  return n;
}

LoadReport HostModel::report() const {
  LoadReport r;
  r.role = group_.primary() == this ? Role::primary : Role::replica;
  r.position = std::chrono::floor<std::chrono::milliseconds>(position());
  r.queue_length = static_cast<double>(waiting_.size());
  return r;
}

bool HostModel::connect(std::function<void()> up) {
  if (spec_.connections > 0 && connections_ >= spec_.connections) return false;
  ++connections_;
  if (spec_.handshake <= Duration::zero()) {
    up();
    return true;
  }
  // Work like any other, yet not of those that the room is for.
  Job job;
  job.work = spec_.handshake;
  job.done = [up = std::move(up)](Outcome outcome, const AnswerMetadata&) {
    if (outcome == Outcome::ok) up();
  };
  waiting_.push_back({next_++, std::move(job)});
  next();
  return true;
}

std::uint64_t HostModel::offer(Job job) {
  const auto answer = [&](Outcome outcome) {
    job.done(outcome, note());
    return std::uint64_t{0};
  };
  if (!alive_) {
    job.done(Outcome::connect_failed, {});
    return 0;
  }
  const auto number = next_++;
  if (silent_) {
    gone_.push_back(number);  // it may run, or not: nobody will hear of it
    return number;
  }
  if (draining_ || static_cast<int>(waiting_.size()) + running_ >= spec_.room) return answer(Outcome::full);
  const bool primary = group_.primary() == this;
  if (job.write && !primary) return answer(Outcome::too_stale);
  if (!primary) {
    if (job.freshness == Freshness::fresh) return answer(Outcome::too_stale);
    if (job.freshness == Freshness::bounded && spec_.checks && timeline_.now() - position() > job.bound)
      return answer(Outcome::too_stale);
    if (job.needs && spec_.checks && position() < *job.needs) return answer(Outcome::too_stale);
  }
  waiting_.push_back({number, std::move(job)});
  next();
  return number;
}

void HostModel::next() {
  while (alive_ && !silent_ && running_ < spec_.cores && !waiting_.empty()) {
    auto entry = std::move(waiting_.front());
    waiting_.pop_front();
    ++running_;
    const auto took = Duration(
        static_cast<std::int64_t>(static_cast<double>(entry.job.work.count()) / (spec_.speed * capacity())));
    busy_ += took;
    timeline_.after(took, [this, life = life_, number = entry.number, job = std::move(entry.job)] {
      finished(life, number, job);
    });
  }
}

void HostModel::finished(std::uint64_t life, std::uint64_t number, const Job& job) {
  if (life != life_) return;
  --running_;
  auto n = note();
  Outcome outcome = Outcome::ok;
  if (job.write) {
    if (group_.primary() == this) {
      n.position = std::chrono::ceil<std::chrono::milliseconds>(timeline_.now());  // a commit, rounded up
      group_.committed(timeline_.now());
    } else {
      outcome = Outcome::error;  // it was primary when it began
    }
  }
  const auto it = std::find(gone_.begin(), gone_.end(), number);
  if (it != gone_.end())
    gone_.erase(it);
  else if (silent_)
    unsaid_.emplace_back([done = job.done, n, outcome] { done(outcome, n); });
  else
    job.done(outcome, n);
  next();
}

void HostModel::cancel(std::uint64_t number) {
  const auto it =
      std::find_if(waiting_.begin(), waiting_.end(), [&](const Entry& e) { return e.number == number; });
  if (it != waiting_.end())
    waiting_.erase(it);
  else
    gone_.push_back(number);
  if (gone_.size() > 4096) gone_.erase(gone_.begin(), gone_.begin() + 2048);
}

void HostModel::die() {
  ++life_;
  alive_ = false;
  running_ = connections_ = 0;
  auto lost = std::move(waiting_);
  waiting_.clear();
  gone_.clear();
  for (auto& e : lost) e.job.done(Outcome::reset, {});
}

void HostModel::start(Duration cold, double share) {
  alive_ = true, silent_ = false, draining_ = false;
  started_ = timeline_.now();
  cold_for_ = cold, cold_from_ = share;
  cold_until_ = timeline_.now() + cold;
}

void HostModel::set_silent(bool silent) {
  silent_ = silent;
  if (silent) return;
  for (auto& say : std::exchange(unsaid_, {})) say();
  next();
}

HostModel& Ledger::add(HostId id, const HostSpec& spec, std::string zone) {
  hosts_.push_back(std::make_unique<HostModel>(timeline_, *this, id, spec, std::move(zone)));
  if (!primary_) primary_ = hosts_.back().get();
  return *hosts_.back();
}

HostModel* Ledger::find(HostId id) const {
  for (const auto& h : hosts_)
    if (h->id() == id) return h.get();
  return nullptr;
}

void Ledger::committed(Time commit) {
  for (const auto& h : hosts_)
    if (h.get() != primary_ && h->alive()) h->ship(commit);
}

void Ledger::lose_primary(Duration takeover, const std::function<void(HostModel& next)>& told) {
  auto* old = std::exchange(primary_, nullptr);
  lost_at_ = timeline_.now();
  if (old) old->die();
  timeline_.after(takeover, [this, old, told] {
    HostModel* best = nullptr;
    for (const auto& h : hosts_)
      if (h->alive() && h.get() != old && (!best || h->position() > best->position())) best = h.get();
    if (!best) return;
    primary_ = best;
    told(*best);
  });
}

}  // namespace cedarring::lab
