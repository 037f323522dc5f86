// The rules that bind all gateways together, judged from what hosts and clients saw. Events with times in,
// violations out; no I/O, no clock. What is over is forgotten some seconds later, so that the state is
// bounded by the load.
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

struct Limits {
  std::size_t max_attempts = 6;           // of one request
  Duration grace{50'000};                 // on sockets, on each time limit
  Duration drain_deadline{1'000'000};     // within which sends to a host told as draining have to end
  Duration stale_grace{100'000};          // on the age of a read
  Duration warm_up_duration{14'000'000};  // a started host is warm after this
  double cold_capacity_share = 0.17;      // of its capacity at the start
  double overload_multiple = 2;           // of what it can do, in any window of
  Duration overload_window{2'000'000};
  Duration client_exit_deadline{300'000};  // within which sends for a client that has gone have to end
  Duration retention{5'000'000};           // requests, after their end
};

/// What a class allows, as the rules need it.
struct ClassRule {
  Idempotency idempotency = Idempotency::safe;
  DedupScope dedup_scope = DedupScope::group;
  Duration dedup_window{};  // within which a keyed repeat is dropped
  Freshness freshness = Freshness::any;
  Duration staleness_bound{};
};

enum class AttemptEnd { served, too_stale, full, error, closed };  // closed: by either side, before an answer
enum class Answer { served, refused, failed, lost };               // lost: its connection ended without one

struct Violation {
  std::string rule, request, details;  // the text tells its course, times in ms since the start
};

class RuleChecker {
 public:
  RuleChecker(const Limits& limits, std::vector<ClassRule> classes, Time start);

  void on_request(const std::string& id, int gateway, std::size_t class_index, Time at, Time deadline);
  void on_answer(const std::string& id, Answer answer, Time at);
  /// Its client has gone before its answer: nobody is owed one any more, and nothing is to be sent for it.
  void on_client_exit(const std::string& id, Time at);
  /// The rig has killed or stopped a gateway: what it held meanwhile is not its fault.
  void excuse_gateway(int gateway, Time from, Time to) { excused_periods_[gateway].emplace_back(from, to); }
  /// The rig itself, or its machine, stood still: no time limit can be judged.
  void excuse_all(Time from, Time to) {
    auto& periods = excused_periods_[all_gateways];
    if (!periods.empty() && from <= periods.back().second)
      periods.back().second = std::max(periods.back().second, to);
    else
      periods.emplace_back(from, to);
    if (periods.size() > 10'000) periods.erase(periods.begin());
  }
  /// The last byte of a statement has come to a host; the number of the attempt is returned. `given_up`: its
  /// gateway had ended the connection before that, as when a cut link heals; it may have been sent before
  /// others that came earlier.
  std::size_t on_attempt(const std::string& id, int gateway, int host, int group, Duration work, Time at,
                         bool connection_ended = false);
  /// It was served with a value that no host gave for it.
  void on_wrong_value(const std::string& id) { report("a host's value", id, "served with another value"); }
  /// `position`: what the host held when it ran, for reads that were served.
  void on_attempt_end(const std::string& id, std::size_t attempt, AttemptEnd end,
                      std::optional<Time> position, Time at);
  /// Discovery has written to a gateway that a host drains or is gone, or that it serves (again).
  void on_listing(int gateway, int host, bool usable, Time at);
  /// A second process takes over from the first: what either is told binds from 2 s after its yes (DAYS) on.
  void on_upgrade(int gateway, Time binding_from) { binding_from_[gateway] = binding_from; }
  /// A new process of the gateway, that has been told nothing yet.
  void on_new_process(int gateway);
  /// A host's process has started; `work`: what it can do in a second when it is warm, in seconds of work.
  void on_host_start(int host, double capacity, Time at);
  /// Looks for requests that got no answer, and forgets what is over. To be called now and then.
  void check_timeouts(Time now);

  [[nodiscard]] const std::vector<Violation>& violations() const { return violations_; }
  [[nodiscard]] std::uint64_t violation_count() const { return violation_count_; }
  [[nodiscard]] std::size_t tracked_requests() const { return requests_.size(); }
  [[nodiscard]] std::uint64_t attempt_count() const { return attempt_count_; }
  /// Whether a host has seen the request.
  [[nodiscard]] bool reached_host(const std::string& id) const {
    const auto it = requests_.find(id);
    return it != requests_.end() && !it->second.attempts.empty();
  }
  /// The client has never got it to its gateway: nobody owes an answer.
  void forget(const std::string& id) { requests_.erase(id); }

 private:
  static constexpr int all_gateways = -1;
  struct Attempt {
    int gateway = 0, host = 0, group = 0;
    Time at{};
    std::optional<Time> ended;
    AttemptEnd end = AttemptEnd::closed;
  };
  struct Request {
    std::optional<std::size_t> class_index;  // none: a host has seen it that no client has sent
    int gateway = 0;
    Time at{}, deadline{};
    std::optional<Time> answered, client_left;
    Answer answer = Answer::lost;
    std::vector<Attempt> attempts;
  };
  struct ColdHost {
    Time started_at{};
    double capacity = 0;
    std::deque<std::pair<Time, Duration>> recent_work;  // in the last window
    Duration recent_total{};
    bool reported = false;  // of the violation: once for each start
  };
  [[nodiscard]] bool excused(const Request& r, Time until) const;
  [[nodiscard]] Time resumes_at(int gateway, Time at) const;
  void report(const char* rule, const std::string& id, const std::string& description);
  [[nodiscard]] std::string trace(const std::string& id) const;
  Limits limits_;
  std::vector<ClassRule> classes_;
  Time start_;
  std::unordered_map<std::string, Request> requests_;
  std::map<int, Time> binding_from_;                  // by gateway
  std::map<std::pair<int, int>, Time> closed_hosts_;  // gateway and host: when it was told
  std::map<int, ColdHost> cold_hosts_;
  std::map<int, std::vector<std::pair<Time, Time>>> excused_periods_;  // as many as there are faults
  std::vector<Violation> violations_;                                  // the first hundred
  std::uint64_t violation_count_ = 0, attempt_count_ = 0;
};

}  // namespace cedarring::rig
