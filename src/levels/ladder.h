// A ladder: the ordered levels of reduced service on one axis (pressure or faults, see levels.h), from
// `normal` upwards, with entry and exit conditions, hysteresis, minimum dwell times and a minimum interval
// between changes. A deterministic state machine: samples and times in, level changes out; equal input gives
// equal output.
#pragma once

#include <cstddef>
#include <functional>
#include <optional>
#include <string>
#include <vector>

#include "levels/readings.h"
#include "levels/snapshot.h"

namespace cedarring::levels {

/// Holds once a reading has been on one side of a bound for `hold_time` without interruption.
struct Condition {
  Reading reading = Reading::latency;
  std::int32_t class_index = -1;  // index in ServiceInfo::classes for readings of a class, else -1
  bool above = true;              // true: holds above the bound; false: holds at or below it
  double bound = 0;               // in the unit of the reading
  Duration hold_time{};
};

/// Holds if all of its conditions hold (`require_all`) or else if any of them holds. A rule without
/// conditions never holds.
struct Rule {
  bool require_all = false;
  std::vector<Condition> conditions;
};

/// Requests that a level refuses. If several rules match a request, the largest share applies.
struct ShedRule {
  std::vector<std::int32_t> classes;  // indexes in ServiceInfo::classes; empty: every class
  std::int32_t tenant = -1;           // index of the tenant; -1: every tenant
  bool only_beyond_budget = false;    // only requests beyond their tenant's budget
  bool only_without_primary = false;  // only while the group has no usable primary
  // Only requests whose deadline passes before a primary is expected. Written "only_hopeless" in the
  // configuration.
  bool only_past_takeover_deadline = false;
  // Share of the callers whose requests are refused, 0 to 1. A caller is a hash of the session or key of a
  // request; a request without one counts as a caller of its own.
  double share = 1;
};

/// Factors that a level applies to the gateway's normal operating values.
struct Adjustments {
  double probe_rate = 1;    // 0.1 to 10
  double retry_budget = 1;  // 0 to 1: factor on retries, which are attempts after the first
  double pool_size = 1;     // 0.1 to 1: connections to hosts
  // 0 to 1: factor on the share of the primary's concurrency limit that is open to reads while the replicas
  // are merely busy; 0: none.
  double read_spillover = 1;
};

/// One level of a ladder: the rules to enter and leave it, and its effects.
struct Level {
  std::string name;
  Rule enter;
  Rule exit;
  Duration min_dwell{};  // minimum time in the level
  std::vector<ShedRule> shed_rules;
  Adjustments adjustments;
};

/// The levels of a ladder and the limits on how often they change.
struct LadderConfig {
  std::vector<Level> levels;                 // from normal (no conditions) upwards
  Duration min_change_interval{10'000'000};  // 10 s: minimum time between two changes
  Duration max_evaluation_gap{1'000'000};    // 1 s: evaluations further apart restart every hold time
  bool step_by_step = true;  // up by one level at a time, else to the highest that may be entered
  // Factor on the dwell time of a level that is entered again within twice its last dwell time (or twice
  // min_change_interval, if longer) after it was left downwards. 1: no extension.
  double damping = 2;
  Duration max_damped_dwell{120'000'000};  // 120 s: limit of the dwell time that damping extends
};

/// The reason for a level change, or for a record that the level is kept.
enum class Cause : std::uint8_t {
  entered,    // the entry rule of a higher level holds
  left,       // the exit rule of the current level holds
  pinned,     // an operator's pin begins to apply
  pin_ended,  // a pin has ended; the level is kept
  reloaded,   // the previous level does not exist in the new configuration
  held,       // the level is kept since a reading that it depends on is unusable; not related to a hold time
};

/// The text of a cause in records.
constexpr const char* name_of(Cause cause) {
  switch (cause) {
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

/// A decision on a level with the samples behind it: a change, or a record that the level is kept, in which
/// case `from` equals `to`. Records for operators are made from this alone.
struct LevelChange {
  /// A condition and the sample that it was compared with.
  struct Observation {
    Condition condition;
    double value = 0;
    Usability usability = Usability::usable;
  };
  Time at{};
  Cause cause = Cause::entered;
  std::string from;  // level names; equal if the level was kept
  std::string to;
  std::vector<Observation> observations;  // for the rule that decided, at the time of the decision
  Duration min_dwell{};                   // minimum time in the new level
  std::optional<Time> pinned_until;       // end of a pin
};

/// The state of one ladder: current level, hold timers of all conditions and an operator's pin.
class Ladder {
 public:
  /// Returns the sample to compare with the bound of a condition.
  using SampleReader = std::function<Sample(const Condition&)>;
  explicit Ladder(LadderConfig config);

  /// Evaluates all conditions at `now` (an earlier time than the previous one counts as the previous one).
  /// Appends at most one change of the level. Also appends records that the level is kept: when a pin to the
  /// current level begins to apply, when a pin has ended, and, where a sample that the current level depends
  /// on cannot be used, one record of cause `held` for each such period.
  void step(Time now, const SampleReader& read, std::vector<LevelChange>& out);

  /// Pins the level until `until`, as soon as the minimum change interval and the minimum dwell time allow.
  /// Replaces an earlier pin. False if there is no level of that name or `until` is not in the future.
  bool pin(const std::string& level, Time until, Time now);
  /// Ends a pin at the next evaluation.
  void unpin();
  /// Replaces the levels. If the current level no longer exists, the nearest remaining level below it becomes
  /// current, recorded with cause `reloaded`.
  void reload(LadderConfig config, Time now, std::vector<LevelChange>& out);

  /// The state for a successor process.
  [[nodiscard]] LadderSnapshot snapshot(Time now) const;
  /// Adopts the state of a previous process if this ladder has a level of that name. Hold times start anew,
  /// since no process has evaluated the conditions in between.
  void restore(const LadderSnapshot& snapshot, Time now);

  [[nodiscard]] std::size_t level_index() const { return level_; }
  [[nodiscard]] const Level& current_level() const { return config_.levels[level_]; }
  [[nodiscard]] const LadderConfig& config() const { return config_; }
  [[nodiscard]] std::optional<Time> pinned_until() const;
  [[nodiscard]] std::optional<std::string> pinned_level() const;
  /// When the current level was reached.
  [[nodiscard]] Time entered_at() const { return entered_at_; }
  /// Minimum time in the current level, with damping.
  [[nodiscard]] Duration min_dwell() const { return min_dwell_; }
  /// Whether the level is kept because samples that it depends on cannot be used (Cause::held).
  [[nodiscard]] bool is_held() const { return hold_reported_; }

 private:
  /// Whether a rule holds. `unknown`: it does not hold, but an unusable sample may be the reason.
  enum class RuleState : std::uint8_t { no, yes, unknown };
  /// How long a condition has been on its side of the bound.
  struct HoldTimer {
    Time since{};
    bool running = false;
  };
  /// What the ladder keeps for each level.
  struct LevelState {
    std::vector<HoldTimer> enter;  // by condition
    std::vector<HoldTimer> exit;   // by condition
    Time left_at{};                // when the level was last left downwards
    bool was_left = false;
    Duration dwell_when_left{};  // the minimum dwell time that applied then
  };
  RuleState evaluate(const Rule& rule, std::vector<HoldTimer>& timers, const SampleReader& read,
                     LevelChange& change);
  void change_level(std::size_t to, Cause cause, LevelChange change, std::vector<LevelChange>& out);
  void report_hold(LevelChange change, std::vector<LevelChange>& out);
  [[nodiscard]] bool may_change() const;
  void reset_level_states();

  LadderConfig config_;
  std::vector<LevelState> level_states_;
  std::size_t level_ = 0;  // index of the current level in config_.levels
  Time now_{};             // time of the last evaluation
  Time entered_at_{};
  Duration min_dwell_{};
  bool started_ = false;        // an evaluation or a restore has taken place
  bool has_changed_ = false;    // the level has ever changed, also in a previous process
  bool hold_reported_ = false;  // a record of cause `held` was written for the present period
  /// An operator's pin.
  struct Pin {
    std::size_t level;  // index in config_.levels
    Time until;
    bool reported = false;  // a record of cause `pinned` was written
  };
  std::optional<Pin> pin_;
};

/// A configuration error: the path of JSON keys below the ladder's own, and a description of the problem.
struct ConfigIssue {
  std::string path;
  std::string problem;
};

/// The first error of a ladder; nothing if the ladder can be used. `scope` is Scope::group for the faults
/// axis, whose conditions may use readings of a group only; any other scope excludes these readings.
std::optional<ConfigIssue> find_config_issue(const LadderConfig& config, Scope scope);

}  // namespace cedarring::levels
