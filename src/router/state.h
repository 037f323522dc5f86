// State records of the router: hosts, requests, groups and recent load. Makes no routing decisions.
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

/// In the arrays of two by role, element 0 is of replicas and element 1 of primaries.
namespace cedarring::state {

/// A time before any clock value, and a time or duration beyond any; both can be subtracted without overflow.
inline constexpr Time never{-40'000'000'000'000'000};
inline constexpr Time forever{40'000'000'000'000'000};

/// The duration in milliseconds.
inline double to_ms(Duration duration) { return static_cast<double>(duration.count()) / 1000.0; }
/// The duration times a factor, cut to whole microseconds.
inline Duration scale(Duration duration, double factor) {
  return Duration(static_cast<std::int64_t>(static_cast<double>(duration.count()) * factor));
}

/// Of the classes: the longest, mean and shortest latency target, and the tightest staleness bound of a
/// bounded read (`forever` without one).
inline std::tuple<Duration, Duration, Duration, Duration> summarize_targets(
    const std::vector<RequestClass>& classes) {
  Duration longest{};
  Duration mean{};
  Duration shortest = forever;
  Duration tightest = forever;
  for (const auto& request_class : classes) {
    longest = std::max(longest, request_class.latency_target);
    mean += request_class.latency_target / static_cast<std::int64_t>(classes.size());
    shortest = std::min(shortest, request_class.latency_target);
    if (request_class.freshness == Freshness::bounded)
      tightest = std::min(tightest, request_class.staleness_bound);
  }
  return {longest, mean, shortest, tightest};
}

/// What the router knows of one database host.
struct Host {
  HostId id;
  GroupId group;
  ZoneId zone;
  HostState state = HostState::ready;
  bool listed = true;
  bool listed_as_primary = false;
  Time started_at = never;  // start of the present process, if it may still be cold
  // replication position
  Time position = never;              // a lower bound of the host's position; never regresses
  Time position_advanced_at = never;  // when `position` last grew
  Time position_learned_at = never;   // when a position was last reported
  // role, and the time at which it was true
  Role role = Role::unknown;
  Time role_as_of = never;
  // health and load
  double relative_latency = 1;  // EWMA of latency over the mean of the request's class
  double load = 0;              // EWMA of latency over the class's latency target
  double concurrency_limit = 1;
  Time limit_reduced_at = never;
  fleet::OutlierDetector outlier{{}};  // configured when the host is first listed
  Time last_response_at = never;       // of the last answer to a request
  Time last_probe_answer_at = never;
  double queue_length = 0;         // requests waiting at the host, as last reported
  double utilization = 0;          // of the host's cores, as last reported
  Time queue_reported_at = never;  // when these two were reported
  int lost_probes = 0;             // in a row
  int refused_connections = 0;     // in a row
  Duration report_age{};           // of the last report, where the report dates itself
  bool probe_in_flight = false;
  double probe_jitter = 1;  // factor on the probe period, so that routers do not probe at once
  Time last_probe_at = never;
  std::multiset<Time> in_flight_sends;  // send times of the attempts in flight
  Time last_send_at = never;
  fleet::SlowStartUsage slow_start_usage;

  /// Estimated replication lag, see fleet::estimated_lag.
  Duration lag(Time now, bool assume_kept_up) const {
    if (position == never) return forever;
    return fleet::estimated_lag(position_learned_at - position, now - position_learned_at, assume_kept_up);
  }
  int in_flight() const { return static_cast<int>(in_flight_sends.size()); }
  /// Removes one attempt in flight that was sent at `sent_at` and has been answered or has ended.
  void remove_in_flight(Time sent_at) {
    if (const auto it = in_flight_sends.find(sent_at); it != in_flight_sends.end()) in_flight_sends.erase(it);
  }
  /// How long the host has not responded while a request was in flight; zero without one.
  Duration time_without_response(Time now) const {
    if (in_flight_sends.empty()) return Duration::zero();
    return now - std::max(last_response_at, *in_flight_sends.begin());
  }
};

/// One send of a request to a host.
struct Attempt {
  HostId host;
  Time sent_at{};
  bool in_flight = true;
  bool cancelled = false;
  bool load_recorded = false;     // already counted as a load sample, being overdue or partly answered
  bool to_stale_replica = false;  // the replica was believed to be past the staleness bound
};

/// A request without a final answer, or with attempts that have not ended.
struct Request {
  RequestId id;
  ClassId class_id;
  GroupId group;
  Time arrived_at{};
  Time deadline{};
  Time required_position = never;  // that a session read must find
  std::optional<SessionId> session;
  std::vector<Attempt> attempts;
  double random_draw = 0;  // uniform in [0, 1), for admission and slow start; drawn anew for each retry
  int attempts_in_flight = 0;
  bool waiting = false;
  bool answer_started = false;     // the answer is being streamed
  bool reached_host = false;       // an attempt was written to a host
  bool ended = false;              // the client has a final answer or has left
  bool refused_as_stale = false;   // a replica refused the read because it is too far behind
  Time may_have_run_at = forever;  // earliest send that may have been executed
  HostId may_have_run_on{};

  bool tried(HostId host) const {
    return std::any_of(
        attempts.begin(), attempts.end(), [&](const Attempt& attempt) { return attempt.host == host; });
  }
};

/// Recent latency over its target: of a group's primary or replicas, or of all hosts of that role.
struct LoadAverage {
  double mean = 0;
  double sample_count = 0;  // decaying
  Time updated_at = never;
  double memory_seconds = 1;
  double max_samples = 1;  // samples remembered

  void add(Time now, double sample) {
    sample_count = 1 + weight(now);
    updated_at = now;
    mean += (sample - mean) / std::min(sample_count, max_samples);
  }
  /// Number of samples that the mean stands for at `now`.
  double weight(Time now) const {
    return sample_count * std::exp(-to_ms(now - updated_at) / 1000 / memory_seconds);
  }
};

/// Recent amounts by request class, decaying exponentially.
struct DecayingTotals {
  std::vector<double> by_class;
  Time updated_at = never;
  double memory_seconds = 1;

  /// Decays all amounts to `now` and returns their sum.
  double decay_and_sum(Time now) {
    const double decay = std::exp(-to_ms(now - updated_at) / 1000 / memory_seconds);
    updated_at = now;
    double sum = 0;
    for (auto& amount : by_class) {
      amount *= decay;
      sum += amount;
    }
    return sum;
  }
  /// Seconds of traffic that the sum stands for: the memory, or less while the router is younger than that.
  double effective_seconds(Duration age) const {
    return memory_seconds * (1 - std::exp(-to_ms(age) / 1000 / memory_seconds)) + 0.001;
  }
  void add(Time now, std::size_t class_index, double amount) {
    decay_and_sum(now);
    by_class[class_index] += amount;
  }
};

/// What the router knows of one replica group.
struct Group {
  LoadAverage load[2];                       // of the replicas, of the primary
  std::vector<Host*> members;                // by id; owned by TransferableState::hosts_
  std::vector<RequestId> waiting;            // requests without an attempt in flight
  std::map<SessionId, Time> session_writes;  // commit position of the last write seen
  Time session_floor = never;                // newest commit of the sessions that were forgotten
  double arrival_rate = 0;                   // requests a second, smoothed
  Time last_arrival_at = never;
  Time next_session_sweep_at = never;
  int open_requests = 0;
  Duration probe_period = forever;  // `forever` without regular probes
  fleet::StaleReadSuccessRate stale_read_success{1};
  struct {
    Time until = never;
  } on_demand_probes[2];  // of replicas, of the primary: until when their answers are awaited

  /// Counts an arrival in the smoothed rate.
  void count_arrival(Time now, double memory_seconds) {
    if (last_arrival_at != never) {
      const double gap = std::max(1.0, to_ms(now - last_arrival_at)) / 1000.0;
      const double keep = std::exp(-gap / memory_seconds);
      arrival_rate = arrival_rate * keep + (1 - keep) / gap;
    }
    last_arrival_at = now;
  }
  /// Expected time between two requests that this router sends to one host of the group.
  Duration send_interval() const {
    return Duration(
        static_cast<std::int64_t>(1e6 * static_cast<double>(members.size()) / std::max(arrival_rate, 0.01)));
  }
  /// Forgets session writes committed before `before` and raises the floor to them: a read of a session that
  /// is not found must find the floor.
  void forget_session_writes(Time before) {
    for (auto it = session_writes.begin(); it != session_writes.end();) {
      if (it->second >= before) {
        ++it;
        continue;
      }
      session_floor = std::max(session_floor, it->second);
      it = session_writes.erase(it);
    }
  }
  void remove_member(const Host& host) {
    members.erase(std::remove(members.begin(), members.end(), &host), members.end());
  }
};

/// Observations and spent budgets that a router hands over to another process of the same gateway.
struct TransferableState {
  explicit TransferableState(const fleet::ProbeBudget& probe_budget) : probe_budget_(probe_budget) {}
  std::map<HostId, Host> hosts_;
  std::map<GroupId, Group> groups_;
  std::vector<Duration> class_latency_;  // mean latency by class
  LoadAverage role_load_[2];             // of all replicas, of all primaries
  DecayingTotals demand_[2];             // work requested of replicas, of primaries
  // Of all groups. One half at the start: nothing is known yet.
  fleet::StaleReadSuccessRate stale_read_success_{0.5};
  DecayingTotals arrived_;      // requests, retries included
  DecayingTotals served_work_;  // work answered by warm hosts
  Time first_event_at_ = never;
  double retry_tokens_ = 0;
  // Requests pay for probes: one of hundreds of routers sees few requests, and a probe for each of its reads
  // would make more probes than requests in total. Half of the saved probes is reserved for groups whose
  // primary is not known. Where no probe can be paid for, queue lengths are unknown and positions are old.
  fleet::ProbeBudget probe_budget_;
  handover::WindowShare slow_start_share_;  // of the limits on work sent to cold hosts
};

}  // namespace cedarring::state
