// State that a router hands to its successor, or during a handover to its predecessor: estimates of hosts and
// classes, session positions, and the remaining budgets. Plain data. Times are given as ages, so that the two
// routers need no common clock. `commit` and `floors` are replication positions and thus on the hosts' clock.
#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <utility>
#include <vector>

#include "cedarring/router.h"

namespace cedarring {

/// State of one host.
struct HostSnapshot {
  HostId host;
  // The host's external name, which replaces the id between processes. Set by the caller; the router leaves
  // it empty.
  std::string name;
  // outlier detection
  double failure_score = 0;                    // 0 to 1
  std::optional<Duration> last_outcome_age;    // time since the outcome of a request last changed the score
  std::optional<Duration> ejection_remaining;  // 0 or less: expired, and no request has succeeded since
  Duration backoff{};                          // length of the last ejection, before jitter
  std::int32_t lost_probes = 0;                // consecutive probes without an answer
  std::int32_t refusals = 0;                   // consecutive refused connections
  // slow start
  std::optional<Duration> start_age;  // time since the host's process started; absent: warmed up or unknown
  // Requests sent during slow start: age, and work in units of a typical request.
  std::vector<std::pair<Duration, double>> slow_start_sends;
  // estimates
  double relative_latency = 1;   // latency relative to the mean of the request's class; 0: unknown
  double load = 0;               // latency relative to the latency target; -1: unknown
  double concurrency_limit = 0;  // attempts in flight; 0: unknown
};
/// Position of a session's last write.
struct SessionSnapshot {
  GroupId group;
  SessionId session;
  Time commit{};
};
/// Recent traffic of a class; the counts decay over time.
struct ClassSnapshot {
  std::string name;
  std::optional<Duration> latency;  // mean
  double arrived = 0;               // requests, retries included
  double served = 0;                // work that warm hosts answered, in units of a typical request
  double demand[2] = {0, 0};        // work asked of the replicas [0] and of the primary [1], in milliseconds
};
/// State of a router.
struct RouterSnapshot {
  std::vector<HostSnapshot> hosts;
  std::vector<SessionSnapshot> sessions;
  std::vector<std::pair<GroupId, Time>> floors;  // newest commit among the sessions that were dropped
  std::vector<ClassSnapshot> classes;
  std::optional<Duration> age;  // time since the first event of the sending router or of its predecessors
  // budgets, in a snapshot of SnapshotScope::split only; if slow_start_share is 0, the snapshot has none
  double retry_tokens = 0;            // given to the receiving router
  double probe_tokens = 0;            // given to the receiving router
  double slow_start_share_total = 0;  // share (0 to 1) of the slow-start budgets for both routers together
  double slow_start_share = 0;        // part of `slow_start_share_total` given to the receiving router
};

}  // namespace cedarring
