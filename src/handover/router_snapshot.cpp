#include "handover/router_snapshot.h"

#include <algorithm>
#include <cmath>
#include <cstddef>

namespace cedarring::handover {
namespace {

using namespace state;  // NOLINT(google-build-using-namespace): the module's own records

constexpr Duration oldest{86'400'000'000};  // a day: what is older tells nothing of a host

/// How long ago, where that is told and can be: another's word is not to be trusted with a sum beyond 63
/// bits.
std::optional<Time> at(std::optional<Duration> ago, Time now) {
  if (!ago || *ago < -oldest || *ago > oldest) return std::nullopt;
  return now - *ago;
}
std::optional<Duration> ago(Time at, Time now) {
  if (at == never || now - at > oldest) return std::nullopt;
  return now - at;
}
double within(double v, double least, double most) { return v >= least && v <= most ? v : least; }

HostSnapshot known(const Host& h, const Settings& s, Time now) {
  HostSnapshot k;
  k.host = h.id;
  const auto& o = h.outlier.state();
  k.failure_score = o.failure_score;
  k.last_outcome_age = ago(o.last_outcome_at, now);
  if (h.outlier.ejected()) k.ejection_remaining = o.ejected_until - now, k.backoff = o.backoff;
  k.lost_probes = h.lost_probes, k.refusals = h.refusals;
  k.relative_latency = h.slowness, k.load = h.load, k.concurrency_limit = h.window;
  if (h.cold_since == never || now - h.cold_since >= s.warm_up_duration) return k;
  k.start_age = now - h.cold_since;
  for (const auto& [when, work] : h.spent.all())
    if (when > now - s.overload_window) k.slow_start_sends.emplace_back(now - when, work);
  return k;
}

void learn(Host& h, const HostSnapshot& k, const Settings& s, Time now) {
  fleet::OutlierDetector::State o;
  o.failure_score = within(k.failure_score, 0, 1);
  if (const auto judged = at(k.last_outcome_age, now)) o.last_outcome_at = std::min(*judged, now);
  // No ejection lasts longer than what the module itself would set.
  if (k.ejection_remaining && *k.ejection_remaining <= oldest && *k.ejection_remaining >= -oldest)
    o.ejected_until = now + *k.ejection_remaining;
  o.backoff = std::clamp(k.backoff, Duration::zero(), oldest);
  h.outlier.merge(o);
  h.lost_probes = std::max(h.lost_probes, std::clamp(k.lost_probes, 0, 1000));
  h.refusals = std::max(h.refusals, std::clamp(k.refusals, 0, 1000));
  if (k.relative_latency >= 0.1 && k.relative_latency <= 50) h.slowness = k.relative_latency;
  if (k.load >= 0 && k.load <= 1000) h.load = k.load;
  if (k.concurrency_limit > 0 && k.concurrency_limit <= 1e6) h.window = k.concurrency_limit;
  if (const auto since = at(k.start_age, now); since && *since <= now)
    h.cold_since = std::max(h.cold_since, *since);
  if (!k.start_age) return;
  std::deque<fleet::SlowStartUsage::SentWork> sent;
  for (const auto& [when, work] : k.slow_start_sends)
    if (when >= Duration::zero() && when < s.overload_window && work >= 0 && work < 1e9)
      sent.emplace_back(now - when, work);
  std::sort(sent.begin(), sent.end());
  h.spent.set_others(std::move(sent));
}

}  // namespace

RouterSnapshot known(Learnt& mine, const Settings& settings, Time now, SnapshotScope what) {
  RouterSnapshot k;
  for (const auto& [id, h] : mine.hosts_) k.hosts.push_back(known(h, settings, now));
  if (what == SnapshotScope::hosts) return k;
  for (const auto& [id, g] : mine.groups_) {
    if (what == SnapshotScope::split) break;
    if (g.floor != never) k.floors.emplace_back(id, g.floor);
    for (const auto& [session, commit] : g.sessions) k.sessions.push_back({id, session, commit});
  }
  mine.arrived_.sum(now), mine.served_.sum(now);
  for (auto& w : mine.wanted_) w.sum(now);
  for (std::size_t i = 0; i < settings.classes.size(); ++i)
    k.classes.push_back({settings.classes[i].name,
                         mine.class_latency_[i],
                         mine.arrived_.by[i],
                         mine.served_.by[i],
                         {mine.wanted_[0].by[i], mine.wanted_[1].by[i]}});
  if (mine.started_ != never) k.age = now - mine.started_;
  if (what != SnapshotScope::split) return k;
  k.retry_tokens = mine.retry_tokens_ /= 2;
  k.probe_tokens = mine.probes_.split_half();
  k.slow_start_share_total = mine.cold_part_.split(now);
  k.slow_start_share = k.slow_start_share_total / 2;
  return k;
}

void learn(Learnt& mine, const Settings& settings, const RouterSnapshot& told, Time now) {
  for (const auto& k : told.hosts)
    if (const auto it = mine.hosts_.find(k.host); it != mine.hosts_.end())
      learn(it->second, k, settings, now);
  for (const auto& [id, floor] : told.floors)
    if (const auto it = mine.groups_.find(id); it != mine.groups_.end())
      it->second.floor = std::max(it->second.floor, floor);
  for (const auto& k : told.sessions)
    if (const auto it = mine.groups_.find(k.group); it != mine.groups_.end()) {
      auto& commit = it->second.sessions.try_emplace(k.session, never).first->second;
      commit = std::max(commit, k.commit);
    }
  for (const auto& k : told.classes)
    for (std::size_t i = 0; i < settings.classes.size(); ++i) {
      if (settings.classes[i].name != k.name) continue;
      if (k.latency && *k.latency > Duration::zero() && *k.latency < oldest)
        mine.class_latency_[i] = *k.latency;
      const auto set = [&](Recent& r, double v) {
        r.sum(now), r.by[i] = std::max(r.by[i], within(v, 0, 1e9));
      };
      set(mine.arrived_, k.arrived), set(mine.served_, k.served);
      set(mine.wanted_[0], k.demand[0]), set(mine.wanted_[1], k.demand[1]);
    }
  if (const auto started = at(told.age, now))
    mine.started_ = mine.started_ == never ? *started : std::min(mine.started_, *started);
  if (!(told.slow_start_share > 0)) return;
  mine.retry_tokens_ = within(told.retry_tokens, 0, 1e3);
  mine.probes_.set_balance(within(told.probe_tokens, 0, 1e3));
  mine.cold_part_.set(std::min(1.0, told.slow_start_share_total),
                      std::min({1.0, told.slow_start_share_total, told.slow_start_share}));
}

}  // namespace cedarring::handover
