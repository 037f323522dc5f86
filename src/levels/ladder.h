// One axis of levels: a ladder from `normal` upwards, its conditions, hysteresis, least stay and bound on
// changes. A state machine: readings and times in, level changes out. Equal input gives equal output.
#pragma once

#include <cstddef>
#include <functional>
#include <optional>
#include <string>
#include <vector>

#include "levels/readings.h"
#include "levels/snapshot.h"

namespace cedarring::levels {

/// A reading on one side of a bound, without a break for `hold`.
struct Condition {
  Reading reading = Reading::latency;
  std::int32_t cls = -1;  // of readings of a class: its index
  bool above = true;      // above the bound, else below or at it
  double bound = 0;
  Duration hold{};
};

/// Conditions of which all or any have to hold. Without conditions it never holds.
struct Rule {
  bool all = false;
  std::vector<Condition> conditions;
};

/// What a level gives up. Of what several entries name, the largest share counts.
struct Shed {
  std::vector<std::int32_t> classes;  // empty: every class
  std::int32_t tenant = -1;           // -1: every tenant
  bool only_beyond_budget = false;
  bool only_without_primary = false;  // while the group has none that can be used
  bool only_hopeless = false;         // whose time ends before a primary is expected
  double share = 1;                   // of the callers, 0 to 1
};

/// What a level changes besides: factors on the usual figures.
struct Changes {
  double probe_rate = 1;    // 0.1 to 10
  double retry_budget = 1;  // 0 to 1: attempts after the first
  double pool_size = 1;     // 0.1 to 1: host connections
  double spill = 1;  // 0 to 1: of the primary's window that reads may fill while replicas are only busy
};

struct Level {
  std::string name;
  Rule enter, exit;
  Duration stay{};  // least time in it
  std::vector<Shed> sheds;
  Changes changes;
};

struct LadderConfig {
  std::vector<Level> levels;    // from normal (no conditions) upwards
  Duration apart{10'000'000};   // least time between two changes
  Duration max_gap{1'000'000};  // evaluations further apart than this start all `hold` times anew
  bool step_by_step = true;     // up by one level at a time, else at once to the highest whose entry holds
  double damping = 2;           // factor on the stay of a level that is entered again soon after it was left
  Duration longest_stay{120'000'000};
};

/// Why a level has changed or was kept.
enum class Cause : std::uint8_t { entered, left, pinned, pin_ended, reloaded, held };
constexpr const char* name_of(Cause c) {
  switch (c) {
    case Cause::entered:
      return "entered";
    case Cause::left:
      return "left";
    case Cause::pinned:
      return "pinned";
    case Cause::pin_ended:
      return "pin ended";
    case Cause::reloaded:
      return "reloaded";
    case Cause::held:
      return "held";
  }
  return "held";
}

/// One record of a decision. What an operator sees of it is made from this and nothing else.
struct Change {
  struct Read {
    Condition condition;
    double value = 0;
    Use use = Use::usable;
  };
  Time at{};
  Cause cause = Cause::entered;
  std::string from, to;       // names; equal where the level is held
  std::vector<Read> reads;    // of the rule that decided, as they were
  Duration stay{};            // least time in the new level
  std::optional<Time> until;  // of a pin
};

class Ladder {
 public:
  using Read = std::function<Sample(const Condition&)>;
  explicit Ladder(LadderConfig config);

  /// Looks at the readings at `now` (a time before the last one counts as the last one) and appends at most
  /// one change, beside one word on what holds the level where a reading that it needs cannot be used.
  void step(Time now, const Read& read, std::vector<Change>& out);

  /// Holds the level from when the bound on changes allows it to `until`. False for a level that is not there
  /// or an end that is not ahead.
  bool pin(const std::string& level, Time until, Time now);
  void unpin();
  /// Other levels from now on. Where the present one is not among them, the nearest one below it is taken:
  /// the change is the reload's and is recorded as such.
  void reload(LadderConfig config, Time now, std::vector<Change>& out);

  /// For the process that follows, and taken over by it: the level of that name, where there is one, with its
  /// time.
  [[nodiscard]] LadderSnapshot snapshot(Time now) const;
  void restore(const LadderSnapshot& told, Time now);

  [[nodiscard]] std::size_t level() const { return level_; }
  [[nodiscard]] const Level& present() const { return config_.levels[level_]; }
  [[nodiscard]] const LadderConfig& config() const { return config_; }
  [[nodiscard]] std::optional<Time> pinned_until() const;
  [[nodiscard]] std::optional<std::string> pinned_to() const;
  [[nodiscard]] Time since() const { return since_; }
  [[nodiscard]] Duration least_stay() const { return stay_; }
  [[nodiscard]] bool held() const { return told_held_; }

 private:
  enum class State : std::uint8_t { no, yes, unknown };
  struct Clock {
    Time since{};
    bool runs = false;
  };
  struct Clocks {
    std::vector<Clock> enter, exit;
    Time left{};  // when the level was last left
    bool was_left = false;
    Duration stay{};  // that it had then
  };
  State evaluate(const Rule& rule, std::vector<Clock>& clocks, const Read& read, Change& change);
  void move(std::size_t to, Cause cause, Change change, std::vector<Change>& out);
  void hold(Change change, std::vector<Change>& out);
  [[nodiscard]] bool may_change() const;
  void reset_clocks();

  LadderConfig config_;
  std::vector<Clocks> clocks_;
  std::size_t level_ = 0;
  Time now_{}, since_{};
  Duration stay_{};
  bool begun_ = false, changed_ = false, told_held_ = false;
  struct Pin {
    std::size_t level;
    Time until;
    bool told = false;
  };
  std::optional<Pin> pin_;
};

/// What is wrong with a ladder: where (a path of keys below the ladder's own) and what. None if it can be
/// used.
struct ConfigIssue {
  std::string where, what;
};
std::optional<ConfigIssue> find_config_issue(const LadderConfig& config, Scope scope);

}  // namespace cedarring::levels
