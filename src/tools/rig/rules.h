// Checks the rules that all gateways together must keep, from what hosts and clients observed. Takes events
// with their times and reports violations; no I/O and no clock of its own. Finished requests are forgotten
// after Limits::retention, so the load bounds the memory used.
//
// The rules, by the name in Violation::rule:
// - "one final answer": a client gets exactly one answer, unless it leaves.
// - "in time": the answer comes by the deadline, with Limits::grace.
// - "a host's value": a value served is one that a host returned for the request.
// - "refused what may have run": a request that may have been executed is refused only if a retry is safe.
// - "sent by nobody": hosts receive only what a client has sent.
// - "six at most": a request has at most Limits::max_attempts attempts.
// - "never two at once": a request has one attempt in flight at a time.
// - "never again what may have run": a request that is not safe to repeat is not sent again once it may have
//   been executed; a keyed one may be, within its deduplication window and scope.
// - "nothing for one that left": no attempts later than Limits::client_exit_deadline after the client left.
// - "nothing new after a drain": no attempts later than Limits::drain_deadline after discovery has told the
//   gateway that the host is draining or gone.
// - "no cold host tipped": a host that has just started is sent a limited amount of work in each
//   Limits::overload_window.
// - "no read too old": a bounded read is not served from data older than its staleness bound.
#pragma once

#include <algorithm>
#include <cstdint>
#include <deque>
#include <map>
#include <optional>
#include <string>
#include <unordered_map>
#include <utility>
#include <vector>

#include "cedarring/router.h"

namespace cedarring::rig {

/// Limits of the rules. Durations are in microseconds.
struct Limits {
  std::size_t max_attempts = 6;           // at hosts, for each request id
  Duration grace{50'000};                 // added to each time limit, for delays on sockets
  Duration drain_deadline{1'000'000};     // from a drain notice until attempts may no longer arrive
  Duration stale_grace{100'000};          // added to the staleness bound of a read
  Duration warm_up_duration{14'000'000};  // from a host's start until it has full capacity
  double cold_capacity_share = 0.17;      // share of the capacity at the start
  double overload_multiple = 2;           // of the host's capacity, within any overload_window
  Duration overload_window{2'000'000};
  Duration client_exit_deadline{300'000};  // from a client's exit until attempts may no longer arrive
  Duration retention{5'000'000};           // how long finished requests are remembered
};

/// The part of a request class that the rules depend on.
struct ClassRule {
  Idempotency idempotency = Idempotency::safe;
  DedupScope dedup_scope = DedupScope::group;
  Duration dedup_window{};  // within which a repeat with the same key is dropped
  Freshness freshness = Freshness::any;
  Duration staleness_bound{};
};

/// How an attempt ended at its host; `closed`: either side closed the connection before an answer.
enum class AttemptEnd { served, too_stale, full, error, closed };
/// The answer that a client received; `lost`: its connection ended without one.
enum class Answer { served, refused, failed, lost };

/// A broken rule.
struct Violation {
  std::string rule;     // its name, from the list above
  std::string request;  // its id
  std::string details;  // a description and the trace of the request, with times in ms since the start
};

/// Collects events and reports violations. Gateways and hosts are identified by their index. A request is one
/// send by a client to one gateway, under an id of its own: a client's retry is another request. An attempt
/// is one send of a request by its gateway to a host.
class RuleChecker {
 public:
  RuleChecker(const Limits& limits, std::vector<ClassRule> classes, Time start);

  /// A client has sent a request to a gateway.
  void on_request(const std::string& id, int gateway, std::size_t class_index, Time at, Time deadline);
  /// A client has received its final answer, or lost its connection.
  void on_answer(const std::string& id, Answer answer, Time at);
  /// The client left before its answer: no answer is owed, and no further attempts may be sent after
  /// Limits::client_exit_deadline.
  void on_client_exit(const std::string& id, Time at);
  /// The rig killed or paused the gateway in this period: its requests are exempt from time limits.
  void excuse_gateway(int gateway, Time from, Time to) { excused_periods_[gateway].emplace_back(from, to); }
  /// The rig itself was delayed in this period: no time limit is checked for requests that overlap it.
  void excuse_all(Time from, Time to) {
    auto& periods = excused_periods_[all_gateways];
    if (!periods.empty() && from <= periods.back().second)
      periods.back().second = std::max(periods.back().second, to);
    else
      periods.emplace_back(from, to);
    if (periods.size() > max_excused_periods) periods.erase(periods.begin());
  }
  /// A host received a complete statement; returns the index of the attempt. `connection_ended`: the gateway
  /// had already closed the connection or ended its sending, as when a cut link heals: the attempt ends at
  /// once. It counts as concurrent with an earlier one that is in flight: the host has read it, whenever it
  /// was sent.
  std::size_t on_attempt(const std::string& id, int gateway, int host, int group, Duration work, Time at,
                         bool connection_ended = false);
  /// The client was served a value that no host returned for the request.
  void on_wrong_value(const std::string& id) { report("a host's value", id, "served with another value"); }
  /// An attempt ended at its host. `position`: replication position of the host when it executed a served
  /// read.
  void on_attempt_end(const std::string& id, std::size_t attempt_index, AttemptEnd end,
                      std::optional<Time> position, Time at);
  /// Discovery sent a list to a gateway; `usable`: whether the host is listed and not draining.
  void on_listing(int gateway, int host, bool usable, Time at);
  /// A second process takes over from the first. Drain notices to either process bind only from
  /// `binding_from`: 2 s after the second process has accepted the handover.
  void on_upgrade(int gateway, Time binding_from) { binding_from_[gateway] = binding_from; }
  /// A new process of the gateway started: it has received no list yet.
  void on_new_process(int gateway);
  /// A host process started; `capacity`: seconds of work that it can do in a second once it is warm.
  void on_host_start(int host, double capacity, Time at);
  /// Reports requests without an answer and forgets finished ones. To be called periodically.
  void check_timeouts(Time now);

  [[nodiscard]] const std::vector<Violation>& violations() const { return violations_; }
  /// All violations, also those beyond the stored ones.
  [[nodiscard]] std::uint64_t violation_count() const { return violation_count_; }
  [[nodiscard]] std::size_t tracked_requests() const { return requests_.size(); }
  [[nodiscard]] std::uint64_t attempt_count() const { return attempt_count_; }
  /// Whether a host has received the request.
  [[nodiscard]] bool reached_host(const std::string& id) const {
    const auto it = requests_.find(id);
    return it != requests_.end() && !it->second.attempts.empty();
  }
  /// The request never reached its gateway: no answer is owed.
  void forget(const std::string& id) { requests_.erase(id); }

 private:
  static constexpr int all_gateways = -1;
  static constexpr std::size_t max_excused_periods = 10'000;  // of all gateways; the oldest are dropped
  struct Attempt {
    int gateway = 0;
    int host = 0;
    int group = 0;
    Time at{};                  // arrival at the host
    std::optional<Time> ended;  // empty: still open
    AttemptEnd end = AttemptEnd::closed;
  };
  struct Request {
    std::optional<std::size_t> class_index;  // empty: a host received it, but no client sent it
    int gateway = 0;
    Time at{};  // when its client sent it
    Time deadline{};
    std::optional<Time> answered;     // or left by its client, or reported as unanswered
    std::optional<Time> client_left;  // set with `answered` if the client left
    Answer answer = Answer::lost;
    std::vector<Attempt> attempts;
  };
  /// A host that has not been up for the warm-up duration yet.
  struct ColdHost {
    Time started_at{};
    double capacity = 0;                                // seconds of work in a second, once it is warm
    std::deque<std::pair<Time, Duration>> recent_work;  // arrival and work, within the last overload_window
    Duration recent_total{};                            // sum of recent_work
    bool reported = false;                              // an overload is reported once for each start
  };
  /// Whether an excused period of the gateway, or of all, overlaps the request's time up to `until`.
  [[nodiscard]] bool excused(const Request& request, Time until) const;
  /// When a gateway can receive a notice sent at `at`: a paused one only once it resumes.
  [[nodiscard]] Time resumes_at(int gateway, Time at) const;
  void report(const char* rule, const std::string& id, const std::string& description);
  /// The request and its attempts as text; empty for an unknown request.
  [[nodiscard]] std::string trace(const std::string& id) const;
  Limits limits_;
  std::vector<ClassRule> classes_;
  Time start_;
  std::unordered_map<std::string, Request> requests_;
  std::map<int, Time> binding_from_;                    // by gateway, after an upgrade
  std::map<std::pair<int, int>, Time> unusable_hosts_;  // by gateway and host: when the drain notice binds
  std::map<int, ColdHost> cold_hosts_;
  std::map<int, std::vector<std::pair<Time, Time>>> excused_periods_;  // by gateway, or all_gateways
  std::vector<Violation> violations_;                                  // at most max_stored_violations
  std::uint64_t violation_count_ = 0;
  std::uint64_t attempt_count_ = 0;
};

}  // namespace cedarring::rig
