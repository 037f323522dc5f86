// State records of the router: hosts, requests, groups and recent load. Makes no routing decisions.
#pragma once

#include <algorithm>
#include <cmath>
#include <map>
#include <set>
#include <utility>
#include <vector>

#include "cedarring/router.h"
#include "fleet/outlier_detector.h"
#include "fleet/probe_budget.h"
#include "fleet/replica_lag.h"
#include "fleet/slow_start_usage.h"
#include "handover/budget_share.h"

namespace cedarring::state {

/// A time before any clock value. It can be subtracted without overflow.
inline constexpr Time never{-40'000'000'000'000'000};
/// A time after any clock value, and a duration longer than any. It can be subtracted without overflow.
inline constexpr Time forever{40'000'000'000'000'000};

/// Indices into the arrays of two elements, one for replicas and one for primaries.
inline constexpr std::size_t replica_index = 0;
inline constexpr std::size_t primary_index = 1;
/// The index for primaries or for replicas.
constexpr std::size_t role_index(bool primary) { return primary ? primary_index : replica_index; }

inline constexpr double microseconds_per_second = 1e6;

/// The duration in milliseconds.
inline double to_ms(Duration duration) { return static_cast<double>(duration.count()) / 1000.0; }
/// The duration in seconds.
inline double to_seconds(Duration duration) { return to_ms(duration) / 1000; }
/// The duration times a factor, cut to whole microseconds.
inline Duration scale(Duration duration, double factor) {
  return Duration(static_cast<std::int64_t>(static_cast<double>(duration.count()) * factor));
}

/// Latency targets and staleness bound over all request classes.
struct TargetSummary {
  Duration longest{};                           // latency target
  Duration mean{};                              // latency target
  Duration shortest = forever;                  // latency target
  Duration tightest_staleness_bound = forever;  // of the bounded reads; `forever` without any
};
inline TargetSummary summarize_targets(const std::vector<RequestClass>& classes) {
  TargetSummary summary;
  for (const auto& request_class : classes) {
    summary.longest = std::max(summary.longest, request_class.latency_target);
    summary.mean += request_class.latency_target / static_cast<std::int64_t>(classes.size());
    summary.shortest = std::min(summary.shortest, request_class.latency_target);
    if (request_class.freshness == Freshness::bounded)
      summary.tightest_staleness_bound =
          std::min(summary.tightest_staleness_bound, request_class.staleness_bound);
  }
  return summary;
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
  Time position = never;              // a lower bound of the host's position; never decreases
  Time position_advanced_at = never;  // when `position` last grew
  Time position_learned_at = never;   // when a position was last reported
  // role
  Role role = Role::unknown;
  Time role_as_of = never;  // the latest time at which the host is known to have had `role`
  // health and load
  double relative_latency = 1;  // EWMA of latency over the mean of the request's class
  double load = 0;              // EWMA of latency over the class's latency target
  double concurrency_limit = 1;
  Time limit_reduced_at = never;
  fleet::OutlierDetector outlier{{}};  // configured when the host is first listed
  Time last_response_at = never;       // when the host last answered a request, also with an error
  Time last_probe_answer_at = never;
  double queue_length = 0;         // requests waiting at the host, as last reported
  double utilization = 0;          // of the host's cores, 0 to 1, as last reported
  Time queue_reported_at = never;  // when queue_length and utilization were reported
  int lost_probes = 0;             // in a row
  int refused_connections = 0;     // in a row
  Duration report_age{};           // age of the last report if a primary sent it with its position, else zero
  bool probe_in_flight = false;
  double probe_jitter = 1;  // random factor on the probe period, to spread the probes of many routers
  Time last_probe_at = never;
  std::multiset<Time> in_flight_sends;  // send times of the attempts in flight
  Time last_send_at = never;
  fleet::SlowStartUsage slow_start_usage;

  /// Estimated replication lag, see fleet::estimated_lag; `forever` if the position is not known.
  Duration lag(Time now, bool assume_kept_up) const {
    if (position == never) return forever;
    return fleet::estimated_lag(position_learned_at - position, now - position_learned_at, assume_kept_up);
  }
  int in_flight() const { return static_cast<int>(in_flight_sends.size()); }
  /// Removes one attempt in flight that was sent at `sent_at` and has been answered or has ended.
  void remove_in_flight(Time sent_at) {
    if (const auto it = in_flight_sends.find(sent_at); it != in_flight_sends.end()) in_flight_sends.erase(it);
  }
  /// How long requests have been in flight without any answer from the host; zero if none is in flight.
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
  bool load_recorded = false;     // counted as a load sample before its end: when overdue or partly answered
  bool to_stale_replica = false;  // the replica was believed to be too stale for the request
};

/// A request without a final answer, or with attempts that have not ended.
struct Request {
  RequestId id;
  ClassId class_id;
  GroupId group;
  Time arrived_at{};
  Time deadline{};
  Time required_position = never;  // position that a replica must have reached to answer this session read
  std::optional<SessionId> session;
  std::vector<Attempt> attempts;
  double random_draw = 0;  // uniform in [0, 1), for admission and slow start; drawn anew for each retry
  int attempts_in_flight = 0;
  bool waiting = false;
  bool answer_started = false;     // the answer is being streamed
  bool reached_host = false;       // an attempt was written to a host
  bool ended = false;              // the client has a final answer or has left
  bool refused_as_stale = false;   // a replica refused the read because it is too far behind
  bool unconfirmed = false;        // an attempt has ended whose host may still read it
  Time may_have_run_at = forever;  // send time of the earliest attempt that has ended and may have run
  HostId may_have_run_on{};        // host of that attempt

  /// An attempt that may have run.
  struct PossibleRun {
    Time sent_at = forever;  // `forever`: no attempt may have run
    HostId host{};
  };
  /// The earliest attempt that may have run; attempts in flight count.
  PossibleRun first_possible_run() const {
    PossibleRun first{may_have_run_at, may_have_run_on};
    for (const auto& attempt : attempts)
      if (attempt.in_flight && attempt.sent_at < first.sent_at) first = {attempt.sent_at, attempt.host};
    return first;
  }
  bool tried(HostId host) const {
    return std::any_of(
        attempts.begin(), attempts.end(), [&](const Attempt& attempt) { return attempt.host == host; });
  }
};

/// Decaying mean of load samples, which are latencies over their latency target: of a group's primary or
/// replicas, or of all hosts of that role.
struct LoadAverage {
  double mean = 0;
  double sample_count = 0;  // as of `updated_at`; decays afterwards
  Time updated_at = never;
  double memory_seconds = 1;  // time constant of the decay
  double max_samples = 1;     // the mean stands for this many samples at most

  void add(Time now, double sample) {
    sample_count = 1 + weight(now);
    updated_at = now;
    mean += (sample - mean) / std::min(sample_count, max_samples);
  }
  /// Number of samples that the mean stands for at `now`.
  double weight(Time now) const {
    return sample_count * std::exp(-to_seconds(now - updated_at) / memory_seconds);
  }
};

/// Recent amounts by request class, decaying exponentially.
struct DecayingTotals {
  static constexpr double min_effective_seconds = 0.001;  // keeps effective_seconds above 0

  std::vector<double> by_class;
  Time updated_at = never;
  double memory_seconds = 1;  // time constant of the decay

  /// Decays all amounts to `now` and returns their sum.
  double decay_and_sum(Time now) {
    const double decay = std::exp(-to_seconds(now - updated_at) / memory_seconds);
    updated_at = now;
    double sum = 0;
    for (auto& amount : by_class) {
      amount *= decay;
      sum += amount;
    }
    return sum;
  }
  /// Seconds of traffic that the sum stands for, above 0: about memory_seconds, or less while `age`, the time
  /// for which amounts have been added, is shorter.
  double effective_seconds(Duration age) const {
    return memory_seconds * (1 - std::exp(-to_seconds(age) / memory_seconds)) + min_effective_seconds;
  }
  void add(Time now, std::size_t class_index, double amount) {
    decay_and_sum(now);
    by_class[class_index] += amount;
  }
};

/// What the router knows of one replica group.
struct Group {
  static constexpr double min_arrival_gap_ms = 1;   // shorter gaps count as this
  static constexpr double min_arrival_rate = 0.01;  // requests a second; keeps send_interval finite

  LoadAverage load[2];                       // by role_index
  std::vector<Host*> members;                // in the order of their ids; owned by TransferableState::hosts_
  std::vector<RequestId> waiting;            // requests that wait for their first attempt or for a retry
  std::map<SessionId, Time> session_writes;  // commit position of the last write seen
  Time session_floor = never;                // newest commit of the sessions that were forgotten
  double arrival_rate = 0;                   // requests a second, smoothed
  Time last_arrival_at = never;
  Time next_session_sweep_at = never;
  int open_requests = 0;
  Duration probe_period = forever;  // `forever` without regular probes
  fleet::StaleReadSuccessRate stale_read_success{1};
  Time on_demand_probes_until[2] = {never, never};  // by role_index: until when answers of probes are awaited

  /// Counts an arrival in the smoothed rate, which decays with the time constant `memory_seconds`.
  void count_arrival(Time now, double memory_seconds) {
    if (last_arrival_at != never) {
      const double gap_seconds = std::max(min_arrival_gap_ms, to_ms(now - last_arrival_at)) / 1000.0;
      const double keep = std::exp(-gap_seconds / memory_seconds);
      arrival_rate = arrival_rate * keep + (1 - keep) / gap_seconds;
    }
    last_arrival_at = now;
  }
  /// Expected time between two requests that this router sends to one host of the group.
  Duration send_interval() const {
    return Duration(static_cast<std::int64_t>(microseconds_per_second * static_cast<double>(members.size()) /
                                              std::max(arrival_rate, min_arrival_rate)));
  }
  /// Forgets session writes committed before `before` and raises the floor to the newest of them: session
  /// reads for which no write is remembered require the floor as position.
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

/// Observations and budgets that a router hands over to another process of the same gateway. Router::Impl
/// derives from this, hence the underscores of the members.
struct TransferableState {
  explicit TransferableState(const fleet::ProbeBudget& probe_budget) : probe_budget_(probe_budget) {}
  std::map<HostId, Host> hosts_;
  std::map<GroupId, Group> groups_;
  std::vector<Duration> class_latency_;  // mean latency by class
  LoadAverage role_load_[2];             // of the hosts of all groups, by role_index
  DecayingTotals demand_[2];  // work requested, by role_index, in milliseconds of mean class latency
  // Over all groups. One half at the start: nothing is known yet.
  fleet::StaleReadSuccessRate stale_read_success_{0.5};
  DecayingTotals arrived_;      // requests, retries included
  DecayingTotals served_work_;  // work answered by warm hosts, in units of a typical request
  Time first_event_at_ = never;
  double retry_tokens_ = 0;
  // Requests pay for probes, because one of hundreds of routers sees few requests: with a probe for each of
  // its reads, the routers together would send more probes than requests. Half of the saved probes is
  // reserved for groups with waiting requests and no usable primary. Where no probe can be paid for, queue
  // lengths are unknown and positions are old.
  fleet::ProbeBudget probe_budget_;
  handover::WindowShare slow_start_share_;  // this process's share of the slow-start budgets
};

}  // namespace cedarring::state
