// Implementation of router snapshots: conversion of times to ages and back, and validation of received
// values.
#include "handover/router_snapshot.h"

#include <algorithm>
#include <cmath>
#include <cstddef>

namespace cedarring::handover {
namespace {

using namespace state;  // NOLINT(google-build-using-namespace): the router's own records

// Older observations say nothing about a host.
constexpr Duration max_age = std::chrono::hours(24);
// Limits of values accepted from a snapshot.
constexpr int max_failures_in_a_row = 1000;  // lost probes or refused connections
constexpr double min_relative_latency = 0.1;
constexpr double max_relative_latency = 50;
constexpr double max_load = 1000;              // latency relative to the latency target
constexpr double max_concurrency_limit = 1e6;  // attempts in flight
constexpr double max_work = 1e9;               // typical requests
constexpr double max_tokens = 1e3;

/// The time `age` before `now`; nothing if there is no age or the age is out of range. The sender is not
/// trusted: the difference could overflow 64 bits.
std::optional<Time> time_from_age(std::optional<Duration> age, Time now) {
  if (!age || *age < -max_age || *age > max_age) return std::nullopt;
  return now - *age;
}
/// The age of `time` at `now`, if `time` was set and is at most max_age ago.
std::optional<Duration> age_of(Time time, Time now) {
  if (time == never || now - time > max_age) return std::nullopt;
  return now - time;
}
/// `value` if it lies within the range from `least` to `most`, else, and for NaN, `least`.
double in_range_or_least(double value, double least, double most) {
  return value >= least && value <= most ? value : least;
}

/// The snapshot of one host. Slow start is included only until the host is warmed up.
HostSnapshot snapshot_host(const Host& host, const Settings& settings, Time now) {
  HostSnapshot snapshot;
  snapshot.host = host.id;
  const auto& outlier = host.outlier.state();
  snapshot.failure_score = outlier.failure_score;
  snapshot.last_outcome_age = age_of(outlier.last_outcome_at, now);
  if (host.outlier.ejected()) {
    snapshot.ejection_remaining = outlier.ejected_until - now;
    snapshot.backoff = outlier.backoff;
  }
  snapshot.lost_probes = host.lost_probes;
  snapshot.refusals = host.refused_connections;
  snapshot.relative_latency = host.relative_latency;
  snapshot.load = host.load;
  snapshot.concurrency_limit = host.concurrency_limit;
  if (host.started_at == never || now - host.started_at >= settings.warm_up_duration) return snapshot;
  snapshot.start_age = now - host.started_at;
  for (const auto& [sent_at, work] : host.slow_start_usage.all())
    if (sent_at > now - settings.overload_window) snapshot.slow_start_sends.emplace_back(now - sent_at, work);
  return snapshot;
}

/// Merges the snapshot of one host into its state.
void merge_host(Host& host, const HostSnapshot& snapshot, const Settings& settings, Time now) {
  fleet::OutlierDetector::State outlier;
  outlier.failure_score = in_range_or_least(snapshot.failure_score, 0, 1);
  if (const auto last_outcome = time_from_age(snapshot.last_outcome_age, now))
    outlier.last_outcome_at = std::min(*last_outcome, now);
  // Ejections last at most 16 times the longest latency target, times a random factor of up to 1.25: in
  // practice minutes. One that ends, or has ended, more than max_age (a day) from now is taken for corrupt
  // and ignored.
  if (snapshot.ejection_remaining && *snapshot.ejection_remaining <= max_age &&
      *snapshot.ejection_remaining >= -max_age)
    outlier.ejected_until = now + *snapshot.ejection_remaining;
  outlier.backoff = std::clamp(snapshot.backoff, Duration::zero(), max_age);
  host.outlier.merge(outlier);
  host.lost_probes = std::max(host.lost_probes, std::clamp(snapshot.lost_probes, 0, max_failures_in_a_row));
  host.refused_connections =
      std::max(host.refused_connections, std::clamp(snapshot.refusals, 0, max_failures_in_a_row));
  if (snapshot.relative_latency >= min_relative_latency && snapshot.relative_latency <= max_relative_latency)
    host.relative_latency = snapshot.relative_latency;
  if (snapshot.load >= 0 && snapshot.load <= max_load) host.load = snapshot.load;
  if (snapshot.concurrency_limit > 0 && snapshot.concurrency_limit <= max_concurrency_limit)
    host.concurrency_limit = snapshot.concurrency_limit;
  if (const auto started_at = time_from_age(snapshot.start_age, now); started_at && *started_at <= now)
    host.started_at = std::max(host.started_at, *started_at);
  if (!snapshot.start_age) return;
  std::deque<fleet::SlowStartUsage::SentWork> sends;
  for (const auto& [age, work] : snapshot.slow_start_sends)
    if (age >= Duration::zero() && age < settings.overload_window && work >= 0 && work < max_work)
      sends.emplace_back(now - age, work);
  std::sort(sends.begin(), sends.end());
  host.slow_start_usage.set_others(std::move(sends));
}

}  // namespace

RouterSnapshot take_snapshot(TransferableState& state, const Settings& settings, Time now,
                             SnapshotScope scope) {
  RouterSnapshot snapshot;
  for (const auto& [id, host] : state.hosts_) snapshot.hosts.push_back(snapshot_host(host, settings, now));
  if (scope == SnapshotScope::hosts) return snapshot;
  if (scope == SnapshotScope::all)
    for (const auto& [id, group] : state.groups_) {
      if (group.session_floor != never) snapshot.floors.emplace_back(id, group.session_floor);
      for (const auto& [session, commit] : group.session_writes)
        snapshot.sessions.push_back({id, session, commit});
    }
  state.arrived_.decay_and_sum(now);
  state.served_work_.decay_and_sum(now);
  for (auto& demand : state.demand_) demand.decay_and_sum(now);
  for (std::size_t i = 0; i < settings.classes.size(); ++i)
    snapshot.classes.push_back({settings.classes[i].name,
                                state.class_latency_[i],
                                state.arrived_.by_class[i],
                                state.served_work_.by_class[i],
                                {state.demand_[0].by_class[i], state.demand_[1].by_class[i]}});
  if (state.first_event_at_ != never) snapshot.age = now - state.first_event_at_;
  if (scope != SnapshotScope::split) return snapshot;
  state.retry_tokens_ /= 2;
  snapshot.retry_tokens = state.retry_tokens_;
  snapshot.probe_tokens = state.probe_budget_.split_half();
  snapshot.slow_start_share_total = state.slow_start_share_.split(now);
  snapshot.slow_start_share = snapshot.slow_start_share_total / 2;
  return snapshot;
}

void merge_snapshot(TransferableState& state, const Settings& settings, const RouterSnapshot& snapshot,
                    Time now) {
  for (const auto& host : snapshot.hosts)
    if (const auto it = state.hosts_.find(host.host); it != state.hosts_.end())
      merge_host(it->second, host, settings, now);
  for (const auto& [id, floor] : snapshot.floors)
    if (const auto it = state.groups_.find(id); it != state.groups_.end())
      it->second.session_floor = std::max(it->second.session_floor, floor);
  for (const auto& session : snapshot.sessions)
    if (const auto it = state.groups_.find(session.group); it != state.groups_.end()) {
      auto& commit = it->second.session_writes.try_emplace(session.session, never).first->second;
      commit = std::max(commit, session.commit);
    }
  for (const auto& class_snapshot : snapshot.classes)
    for (std::size_t i = 0; i < settings.classes.size(); ++i) {
      if (settings.classes[i].name != class_snapshot.name) continue;
      if (class_snapshot.latency && *class_snapshot.latency > Duration::zero() &&
          *class_snapshot.latency < max_age)
        state.class_latency_[i] = *class_snapshot.latency;
      const auto raise_to = [&](DecayingTotals& totals, double amount) {
        totals.decay_and_sum(now);
        totals.by_class[i] = std::max(totals.by_class[i], in_range_or_least(amount, 0, max_work));
      };
      raise_to(state.arrived_, class_snapshot.arrived);
      raise_to(state.served_work_, class_snapshot.served);
      raise_to(state.demand_[0], class_snapshot.demand[0]);
      raise_to(state.demand_[1], class_snapshot.demand[1]);
    }
  if (const auto started_at = time_from_age(snapshot.age, now))
    state.first_event_at_ =
        state.first_event_at_ == never ? *started_at : std::min(state.first_event_at_, *started_at);
  // Only a snapshot that was taken with SnapshotScope::split holds a part of the budgets. The negated
  // comparison also returns for NaN.
  if (!(snapshot.slow_start_share > 0)) return;
  state.retry_tokens_ = in_range_or_least(snapshot.retry_tokens, 0, max_tokens);
  state.probe_budget_.set_balance(in_range_or_least(snapshot.probe_tokens, 0, max_tokens));
  state.slow_start_share_.set_shares(
      std::min(1.0, snapshot.slow_start_share_total),
      std::min({1.0, snapshot.slow_start_share_total, snapshot.slow_start_share}));
}

}  // namespace cedarring::handover
