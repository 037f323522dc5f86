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
  std::size_t attempts = 6;         // of one request
  Duration grace{50'000};           // on sockets, on each time limit
  Duration after_drain{1'000'000};  // within which sends to a host told as draining have to end
  Duration stale_grace{100'000};    // on the age of a read
  Duration cold_for{14'000'000};    // a started host is warm after this
  double cold_from = 0.17;          // of its capacity at the start
  double tip_multiple = 2;          // of what it can do, in any window of
  Duration tip_after{2'000'000};
  Duration after_leaving{300'000};  // within which sends for a client that has gone have to end
  Duration kept{5'000'000};         // requests, after their end
};

/// What a class allows, as the rules need it.
struct ClassRule {
  Idempotency effect = Idempotency::safe;
  DedupScope scope = DedupScope::group;
  Duration window{};  // within which a keyed repeat is dropped
  Freshness freshness = Freshness::any;
  Duration bound{};
};

enum class Over { served, miss, full, error, closed };  // closed: by either side, before an answer
enum class Answer { served, refused, failed, lost };    // lost: its connection ended without one

struct Violation {
  std::string rule, request, text;  // the text tells its course, times in ms since the start
};

class Rules {
 public:
  Rules(const Limits& limits, std::vector<ClassRule> classes, Time start);

  void asked(const std::string& id, int gateway, std::size_t cls, Time at, Time deadline);
  void answered(const std::string& id, Answer answer, Time at);
  /// Its client has gone before its answer: nobody is owed one any more, and nothing is to be sent for it.
  void left(const std::string& id, Time at);
  /// The rig has killed or stopped a gateway: what it held meanwhile is not its fault.
  void harmed(int gateway, Time from, Time to) { harmed_[gateway].emplace_back(from, to); }
  /// The rig itself, or its machine, stood still: no time limit can be judged.
  void stood_still(Time from, Time to) {
    auto& all = harmed_[everybody];
    if (!all.empty() && from <= all.back().second)
      all.back().second = std::max(all.back().second, to);
    else
      all.emplace_back(from, to);
    if (all.size() > 10'000) all.erase(all.begin());
  }
  /// The last byte of a statement has come to a host; the number of the attempt is returned. `given_up`: its
  /// gateway had ended the connection before that, as when a cut link heals; it may have been sent before
  /// others that came earlier.
  std::size_t attempt(const std::string& id, int gateway, int host, int group, Duration work, Time at,
                      bool given_up = false);
  /// It was served with a value that no host gave for it.
  void made_up(const std::string& id) { broke("a host's value", id, "served with another value"); }
  /// `position`: what the host held when it ran, for reads that were served.
  void over(const std::string& id, std::size_t attempt, Over how, std::optional<Time> position, Time at);
  /// Discovery has written to a gateway that a host drains or is gone, or that it serves (again).
  void told(int gateway, int host, bool open, Time at);
  /// A second process takes over from the first: what either is told binds from 2 s after its yes (DAYS) on.
  void upgraded(int gateway, Time binds) { binds_[gateway] = binds; }
  /// A new process of the gateway, that has been told nothing yet.
  void anew(int gateway);
  /// A host's process has started; `work`: what it can do in a second when it is warm, in seconds of work.
  void started(int host, double capacity, Time at);
  /// Looks for requests that got no answer, and forgets what is over. To be called now and then.
  void look(Time now);

  [[nodiscard]] const std::vector<Violation>& violations() const { return violations_; }
  [[nodiscard]] std::uint64_t broken() const { return broken_; }
  [[nodiscard]] std::size_t held() const { return requests_.size(); }
  [[nodiscard]] std::uint64_t attempts() const { return attempts_; }
  /// Whether a host has seen the request.
  [[nodiscard]] bool seen(const std::string& id) const {
    const auto it = requests_.find(id);
    return it != requests_.end() && !it->second.attempts.empty();
  }
  /// The client has never got it to its gateway: nobody owes an answer.
  void withdrawn(const std::string& id) { requests_.erase(id); }

 private:
  static constexpr int everybody = -1;
  struct Attempt {
    int gateway = 0, host = 0, group = 0;
    Time at{};
    std::optional<Time> ended;
    Over how = Over::closed;
  };
  struct Request {
    std::optional<std::size_t> cls;  // none: a host has seen it that no client has sent
    int gateway = 0;
    Time at{}, deadline{};
    std::optional<Time> answered, left;
    Answer answer = Answer::lost;
    std::vector<Attempt> attempts;
  };
  struct Cold {
    Time since{};
    double capacity = 0;
    std::deque<std::pair<Time, Duration>> came;  // in the last window
    Duration sum{};
    bool told = false;  // of the violation: once for each start
  };
  [[nodiscard]] bool excused(const Request& r, Time until) const;
  [[nodiscard]] Time goes_on(int gateway, Time at) const;
  void broke(const char* rule, const std::string& id, const std::string& why);
  [[nodiscard]] std::string course(const std::string& id) const;
  Limits limits_;
  std::vector<ClassRule> classes_;
  Time start_;
  std::unordered_map<std::string, Request> requests_;
  std::map<int, Time> binds_;                   // by gateway
  std::map<std::pair<int, int>, Time> closed_;  // gateway and host: when it was told
  std::map<int, Cold> cold_;
  std::map<int, std::vector<std::pair<Time, Time>>> harmed_;  // as many as there are faults
  std::vector<Violation> violations_;                         // the first hundred
  std::uint64_t broken_ = 0, attempts_ = 0;
};

}  // namespace cedarring::rig
