#include "tools/lab/host_model.h"

#include <algorithm>

namespace cedarring::lab {
namespace {

// Numbers of jobs that never finish stay in the list of cancelled jobs: above max_cancelled, the oldest
// dropped_cancelled entries are removed.
constexpr std::size_t max_cancelled = 4096;
constexpr std::ptrdiff_t dropped_cancelled = 2048;

}  // namespace

HostModel::HostModel(Timeline& timeline, ReplicaGroup& group, HostId id, const HostSpec& spec,
                     std::string zone)
    : timeline_(timeline),
      group_(group),
      id_(id),
      spec_(spec),
      zone_(std::move(zone)),
      applier_free_at_(timeline.now()) {}

/// The share of its capacity that the host has now: grows linearly during the warm-up.
double HostModel::capacity() const {
  if (timeline_.now() >= warm_at_ || warm_up_ <= Duration::zero()) return 1;
  const double progress =
      1 - static_cast<double>((warm_at_ - timeline_.now()).count()) / static_cast<double>(warm_up_.count());
  return initial_capacity_ + (1 - initial_capacity_) * progress;
}

/// The primary is at the present time. A replica has the log up to what has arrived, less the writes that it
/// has not applied. Nothing is added to the log while the group has no primary.
Time HostModel::position() const {
  const auto now = timeline_.now();
  if (group_.primary() == this) return now;
  const auto log_end = group_.primary() ? now : std::min(now, group_.primary_failed_at());
  const auto received = log_end - spec_.replication_delay;
  for (const auto& [commit, applied_at] : log_)
    if (applied_at > now) return std::min(received, commit - Duration(1));
  return received;
}

void HostModel::receive_write(Time commit) {
  const auto now = timeline_.now();
  while (!log_.empty() && log_.front().applied_at <= now) log_.pop_front();
  const auto apply_time =
      Duration(static_cast<std::int64_t>(static_cast<double>(spec_.apply_time.count()) * apply_slowdown_));
  applier_free_at_ = std::max(applier_free_at_, now + spec_.replication_delay) + apply_time;
  log_.push_back({commit, applier_free_at_});
}

AnswerMetadata HostModel::metadata() const {
  AnswerMetadata result;
  result.role = group_.primary() == this ? Role::primary : Role::replica;
  result.position = std::chrono::floor<std::chrono::milliseconds>(position());
  return result;
}

LoadReport HostModel::load_report() const {
  LoadReport report;
  report.role = group_.primary() == this ? Role::primary : Role::replica;
  report.position = std::chrono::floor<std::chrono::milliseconds>(position());
  report.queue_length = static_cast<double>(queue_.size());
  return report;
}

bool HostModel::connect(std::function<void()> on_connected) {
  if (spec_.max_connections > 0 && connections_ >= spec_.max_connections) return false;
  ++connections_;
  if (spec_.handshake_work <= Duration::zero()) {
    on_connected();
    return true;
  }
  // A handshake uses a core like a request, but max_requests does not apply to it.
  Job job;
  job.work = spec_.handshake_work;
  job.on_done = [on_connected = std::move(on_connected)](Outcome outcome, const AnswerMetadata&) {
    if (outcome == Outcome::ok) on_connected();
  };
  queue_.push_back({next_number_++, std::move(job)});
  run_queued();
  return true;
}

std::uint64_t HostModel::submit(Job job) {
  const auto refuse = [&](Outcome outcome) {
    job.on_done(outcome, metadata());
    return std::uint64_t{0};
  };
  if (!alive_) {
    job.on_done(Outcome::connect_failed, {});
    return 0;
  }
  const auto number = next_number_++;
  if (unresponsive_) {
    cancelled_.push_back(number);  // whether it runs makes no difference: no answer is sent
    return number;
  }
  if (draining_ || static_cast<int>(queue_.size()) + running_ >= spec_.max_requests)
    return refuse(Outcome::full);
  const bool primary = group_.primary() == this;
  if (job.write && !primary) return refuse(Outcome::too_stale);
  if (!primary) {
    if (job.freshness == Freshness::fresh) return refuse(Outcome::too_stale);
    if (job.freshness == Freshness::bounded && spec_.checks_staleness &&
        timeline_.now() - position() > job.staleness_bound)
      return refuse(Outcome::too_stale);
    if (job.min_position && spec_.checks_staleness && position() < *job.min_position)
      return refuse(Outcome::too_stale);
  }
  queue_.push_back({number, std::move(job)});
  run_queued();
  return number;
}

void HostModel::run_queued() {
  while (alive_ && !unresponsive_ && running_ < spec_.cores && !queue_.empty()) {
    auto next = std::move(queue_.front());
    queue_.pop_front();
    ++running_;
    const auto run_time = Duration(
        static_cast<std::int64_t>(static_cast<double>(next.job.work.count()) / (spec_.speed * capacity())));
    busy_time_ += run_time;
    timeline_.after(run_time, [this, process_number = process_number_, number = next.number,
                               job = std::move(next.job)] { finish(process_number, number, job); });
  }
}

void HostModel::finish(std::uint64_t process_number, std::uint64_t number, const Job& job) {
  if (process_number != process_number_) return;
  --running_;
  auto answer_metadata = metadata();
  Outcome outcome = Outcome::ok;
  if (job.write) {
    if (group_.primary() == this) {
      // The position of a commit is rounded up, so that it includes the write.
      answer_metadata.position = std::chrono::ceil<std::chrono::milliseconds>(timeline_.now());
      group_.replicate_to_replicas(timeline_.now());
    } else {
      outcome = Outcome::error;  // the host was the primary when the job began
    }
  }
  const auto it = std::find(cancelled_.begin(), cancelled_.end(), number);
  if (it != cancelled_.end())
    cancelled_.erase(it);
  else if (unresponsive_)
    held_answers_.emplace_back(
        [on_done = job.on_done, answer_metadata, outcome] { on_done(outcome, answer_metadata); });
  else
    job.on_done(outcome, answer_metadata);
  run_queued();
}

void HostModel::cancel(std::uint64_t number) {
  const auto it = std::find_if(queue_.begin(), queue_.end(),
                               [&](const QueuedJob& queued) { return queued.number == number; });
  if (it != queue_.end())
    queue_.erase(it);
  else
    cancelled_.push_back(number);
  if (cancelled_.size() > max_cancelled)
    cancelled_.erase(cancelled_.begin(), cancelled_.begin() + dropped_cancelled);
}

void HostModel::crash() {
  ++process_number_;
  alive_ = false;
  running_ = 0;
  connections_ = 0;
  auto lost = std::move(queue_);
  queue_.clear();
  cancelled_.clear();
  for (auto& entry : lost) entry.job.on_done(Outcome::reset, {});
}

void HostModel::start(Duration warm_up, double initial_capacity) {
  alive_ = true;
  unresponsive_ = false;
  draining_ = false;
  started_at_ = timeline_.now();
  warm_up_ = warm_up;
  initial_capacity_ = initial_capacity;
  warm_at_ = timeline_.now() + warm_up;
}

void HostModel::set_unresponsive(bool unresponsive) {
  unresponsive_ = unresponsive;
  if (unresponsive) return;
  for (auto& send_answer : std::exchange(held_answers_, {})) send_answer();
  run_queued();
}

HostModel& ReplicaGroup::add(HostId id, const HostSpec& spec, std::string zone) {
  hosts_.push_back(std::make_unique<HostModel>(timeline_, *this, id, spec, std::move(zone)));
  if (!primary_) primary_ = hosts_.back().get();
  return *hosts_.back();
}

HostModel* ReplicaGroup::find(HostId id) const {
  for (const auto& host : hosts_)
    if (host->id() == id) return host.get();
  return nullptr;
}

void ReplicaGroup::replicate_to_replicas(Time commit) {
  for (const auto& host : hosts_)
    if (host.get() != primary_ && host->alive()) host->receive_write(commit);
}

void ReplicaGroup::fail_primary(Duration takeover,
                                const std::function<void(HostModel& promoted)>& on_promoted) {
  auto* failed = std::exchange(primary_, nullptr);
  primary_failed_at_ = timeline_.now();
  if (failed) failed->crash();
  timeline_.after(takeover, [this, failed, on_promoted] {
    HostModel* best = nullptr;
    for (const auto& host : hosts_)
      if (host->alive() && host.get() != failed && (!best || host->position() > best->position()))
        best = host.get();
    if (!best) return;
    primary_ = best;
    on_promoted(*best);
  });
}

}  // namespace cedarring::lab
