// What the module keeps of hosts, requests and groups. Plain records: nothing is decided here.
#pragma once

#include <algorithm>
#include <cmath>
#include <map>
#include <set>
#include <tuple>
#include <utility>
#include <vector>

#include "cedarring/router.h"
#include "fleet/outlier_detector.h"
#include "fleet/probe_budget.h"
#include "fleet/replica_lag.h"
#include "fleet/slow_start_usage.h"
#include "handover/budget_share.h"

namespace cedarring::state {

inline constexpr Time never{-40'000'000'000'000'000};  // far enough for any clock, near enough to subtract
inline constexpr Time forever{40'000'000'000'000'000};

inline double ms(Duration d) { return static_cast<double>(d.count()) / 1000.0; }
inline Duration scale(Duration d, double by) {
  return Duration(static_cast<std::int64_t>(static_cast<double>(d.count()) * by));
}

/// Of the classes: the longest, mean and shortest aim, and the tightest bound of a bounded read.
inline std::tuple<Duration, Duration, Duration, Duration> aims(const std::vector<RequestClass>& classes) {
  Duration longest{}, mean{}, shortest = forever, tightest = forever;
  for (const auto& c : classes) {
    longest = std::max(longest, c.latency_target);
    mean += c.latency_target / static_cast<std::int64_t>(classes.size());
    shortest = std::min(shortest, c.latency_target);
    if (c.freshness == Freshness::bounded) tightest = std::min(tightest, c.staleness_bound);
  }
  return {longest, mean, shortest, tightest};
}

struct Host {
  HostId id;
  GroupId group;
  ZoneId zone;
  HostState state = HostState::ready;
  bool listed = true;
  bool named = false;       // as the primary, by the list
  Time cold_since = never;  // start of the present process, if it may still be cold
  // positions
  Time position = never;     // a lower bound of what it holds; never regresses
  Time moved = never;        // when it last grew
  Time position_at = never;  // when it was last learnt
  // role, by when it was true
  Role role = Role::unknown;
  Time role_at = never;
  // health and load
  double slowness = 1;  // EWMA of latency over the class mean
  double load = 0;      // EWMA of latency over aim
  double window = 1;
  Time window_cut_at = never;
  fleet::OutlierDetector outlier{{}};  // whose terms are set when it is first listed
  Time heard = never;                  // last sign of life: an answer or a probe
  Time seen = never;                   // last answered probe
  double queued = 0;                   // requests waiting there, as last reported
  double util = 0;                     // how busy its cores are, as last reported
  Time queued_at = never;              // when that was learnt
  int lost_probes = 0;
  int refusals = 0;       // connections refused in a row
  Duration report_age{};  // of the last report, where the report dates itself
  bool probing = false;
  double phase = 1;  // spreads probes within their period
  Time last_probe = never;
  std::multiset<Time> out;  // when each attempt in flight was sent
  /// How far behind it is believed to be, see fleet::estimated_lag.
  Duration lag(Time now, bool trust) const {
    return position == never ? forever
                             : fleet::estimated_lag(position_at - position, now - position_at, trust);
  }
  int in_flight() const { return static_cast<int>(out.size()); }
  void settled(Time sent) {  // one of those in flight has been answered, or has ended
    if (const auto it = out.find(sent); it != out.end()) out.erase(it);
  }
  Duration quiet(Time now) const {  // how long it has owed an answer
    return out.empty() ? Duration::zero() : now - std::max(heard, *out.begin());
  }
  Time last_sent = never;
  fleet::SlowStartUsage spent;
};

struct Attempt {
  HostId host;
  Time sent{};
  bool out = true;
  bool cancelled = false;
  bool noted = false;   // counted as overdue
  bool behind = false;  // at a replica believed too far behind
};

struct Request {
  RequestId id;
  ClassId cls;
  GroupId group;
  Time arrived{};
  Time deadline{};
  Time needs = never;  // position that a session read must find
  std::optional<SessionId> session;
  std::vector<Attempt> attempts;
  double luck = 0;  // its place in the draw for admission
  int out = 0;
  bool waiting = false;
  bool started = false;  // its answer is being streamed
  bool reached = false;  // an attempt was written to a host
  bool ended = false;
  bool missed = false;       // a replica turned the read away as too old
  Time maybe_ran = forever;  // earliest send that may have run
  HostId maybe_host{};
  bool tried(HostId host) const {
    return std::any_of(
        attempts.begin(), attempts.end(), [&](const Attempt& a) { return a.host == host; });
  }
};

/// Recent latency over aim: of a group's primary or replicas, or of all of that role.
struct Load {
  double mean = 0;
  double count = 0;  // samples, fading
  Time at = never;
  void add(Time now, double sample) {
    count = 1 + weight(now);
    at = now;
    mean += (sample - mean) / std::min(count, most);
  }
  double weight(Time now) const { return count * std::exp(-ms(now - at) / 1000 / memory); }
  double memory = 1;  // seconds
  double most = 1;    // samples remembered
};

/// Recent amounts by class, fading.
struct Recent {
  std::vector<double> by;
  Time at = never;
  double memory = 1;  // seconds
  double sum(Time now) {
    const double keep = std::exp(-ms(now - at) / 1000 / memory);
    at = now;
    double all = 0;
    for (auto& x : by) all += x *= keep;
    return all;
  }
  /// What the sum is of: the memory, or less so soon after the start.
  double seconds(Duration age) const { return memory * (1 - std::exp(-ms(age) / 1000 / memory)) + 0.001; }
  void add(Time now, std::size_t i, double amount) {
    sum(now);
    by[i] += amount;
  }
};

struct Group {
  Load load[2];                // of the replicas, of the primary
  std::vector<Host*> members;  // by id
  std::vector<RequestId> waiting;
  std::map<SessionId, Time> sessions;  // commit of the last write seen
  Time floor = never;                  // newest commit forgotten
  double rate = 0;                     // requests a second, smoothed
  Time counted = never;
  Time next_sweep = never;
  int held = 0;                         // requests without an end
  Duration period = forever;            // of its probes, if any
  fleet::StaleReadSuccessRate past{1};  // of all that is known of it
  struct {
    Time until = never;
  } asked[2];  // when replicas, or the primary, were last asked for what waits

  void count(Time now, double memory) {  // an arrival, into the smoothed rate
    if (counted != never) {
      const double gap = std::max(1.0, ms(now - counted)) / 1000.0;
      const double keep = std::exp(-gap / memory);
      rate = rate * keep + (1 - keep) / gap;
    }
    counted = now;
  }
  /// How long between two requests that this router would send to a host of the group.
  Duration send_gap() const {
    return Duration(
        static_cast<std::int64_t>(1e6 * static_cast<double>(members.size()) / std::max(rate, 0.01)));
  }
  /// Old writes leave the map for one floor: a read of a session not found must have reached it.
  void forget(Time before) {
    for (auto it = sessions.begin(); it != sessions.end();) {
      if (it->second >= before) {
        ++it;
        continue;
      }
      floor = std::max(floor, it->second);
      it = sessions.erase(it);
    }
  }
  void remove(const Host& h) {
    members.erase(std::remove(members.begin(), members.end(), &h), members.end());
  }
};

/// What the module has learnt and what it may spend: all that another process of the same gateway may be
/// told.
struct Learnt {
  explicit Learnt(const fleet::ProbeBudget& probes) : probes_(probes) {}
  std::map<HostId, Host> hosts_;
  std::map<GroupId, Group> groups_;
  std::vector<Duration> class_latency_;
  Load load_[2];                           // of replicas, of primaries
  Recent wanted_[2];                       // work asked of them
  fleet::StaleReadSuccessRate past_{0.5};  // of all groups; half: nothing is known
  Recent arrived_, served_;                // requests that came or are tried again; work answered
  Time started_ = never;                   // when the first event came
  double retry_tokens_ = 0;
  /// Probes are paid for by requests: one of hundreds of routers sees few, and what each asks for a read of
  /// its own comes to more probes than requests over all. Half of what is saved is kept for groups whose
  /// primary is not known. Harm: without one a queue is not known, a position old.
  fleet::ProbeBudget probes_;
  handover::WindowShare cold_part_;  // of the bounds on what cold hosts are sent
};

}  // namespace cedarring::state
