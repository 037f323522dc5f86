// What one router may tell another that takes its place: what it has learnt of hosts and sessions, and what
// it has spent of budgets. Plain records. Times are told as ages, so that the two need not agree on a clock;
// commits and floors are positions, on the hosts' own.
#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <utility>
#include <vector>

#include "cedarring/router.h"

namespace cedarring {

struct HostSnapshot {
  HostId host;
  std::string name;  // for those who tell it on: ids are each process's own. The router leaves it empty
  // outlier detection
  double failure_score = 0;                  // its score, 0 to 1
  std::optional<Duration> last_outcome_age;  // how long ago an outcome last told of it
  std::optional<Duration>
      ejection_remaining;  // for how much longer; 0 or less: its time is up, not yet proved well
  Duration backoff{};      // of that ejection
  std::int32_t lost_probes = 0, refusals = 0;  // in a row
  // a cold start
  std::optional<Duration> start_age;  // how long ago its process started, if it may still be cold
  std::vector<std::pair<Duration, double>>
      slow_start_sends;  // to it while cold: how long ago, and how much, in typical requests
  // estimates
  double relative_latency = 1, load = 0, concurrency_limit = 0;  // see the module; a window of 0 is none
};
struct SessionSnapshot {
  GroupId group;
  SessionId session;
  Time commit{};  // of its last write
};
struct ClassSnapshot {
  std::string name;
  std::optional<Duration> latency;
  double arrived = 0, served = 0;  // recent, fading; served: in typical requests
  double demand[2] = {0, 0};       // recent work asked of replicas, of primaries
};
struct RouterSnapshot {
  std::vector<HostSnapshot> hosts;
  std::vector<SessionSnapshot> sessions;
  std::vector<std::pair<GroupId, Time>> floors;  // newest commit whose session is forgotten
  std::vector<ClassSnapshot> classes;
  std::optional<Duration> age;                // of the router that tells
  double retry_tokens = 0, probe_tokens = 0;  // saved up for the one that is told
  double slow_start_share_total = 0,
         slow_start_share = 0;  // of the bounds on cold hosts: for both routers, for the one that is told
};

}  // namespace cedarring
