#include "levels/ladder.h"

#include <algorithm>
#include <set>
#include <utility>

namespace cedarring::levels {

Ladder::Ladder(LadderConfig config) : config_(std::move(config)) { reset_level_states(); }

void Ladder::reset_level_states() {
  level_states_.clear();
  for (const auto& level : config_.levels) {
    level_states_.push_back({});
    level_states_.back().enter.resize(level.enter.conditions.size());
    level_states_.back().exit.resize(level.exit.conditions.size());
  }
}

/// Updates the hold timer of every condition, independently of the others, and decides whether the rule
/// holds. An unusable sample stops its timer: a condition that cannot be observed has not held. Appends the
/// samples to the observations of `change`.
Ladder::RuleState Ladder::evaluate(const Rule& rule, std::vector<HoldTimer>& timers, const SampleReader& read,
                                   LevelChange& change) {
  std::size_t holding_count = 0;
  std::size_t unusable_count = 0;
  for (std::size_t i = 0; i < rule.conditions.size(); ++i) {
    const auto& condition = rule.conditions[i];
    const auto sample = read(condition);
    const auto usability = sample.usability(reading_info(condition.reading), now_);
    change.observations.push_back({condition, sample.value, usability});
    if (usability != Usability::usable || (sample.value > condition.bound) != condition.above) {
      timers[i].running = false;
      unusable_count += usability != Usability::usable ? 1 : 0;
      continue;
    }
    if (!timers[i].running) timers[i] = {now_, true};
    if (now_ - timers[i].since >= condition.hold_time) ++holding_count;
  }
  if (rule.conditions.empty()) return RuleState::no;
  const bool holds = rule.require_all ? holding_count == rule.conditions.size() : holding_count > 0;
  if (holds) return RuleState::yes;
  return unusable_count > 0 ? RuleState::unknown : RuleState::no;
}

bool Ladder::may_change() const {
  return !has_changed_ || now_ - entered_at_ >= std::max(config_.min_change_interval, min_dwell_);
}

/// Makes level `to` the current one and appends `change`, whose observations are set already.
void Ladder::change_level(std::size_t to, Cause cause, LevelChange change, std::vector<LevelChange>& out) {
  change.at = now_;
  change.cause = cause;
  change.from = current_level().name;
  change.to = config_.levels[to].name;
  // A level that is needed again shortly after it was left was left too early: its dwell time is extended, up
  // to a limit. Without this, a load that the level itself relieves would make it oscillate for ever at the
  // minimum change interval.
  auto& left = level_states_[level_];
  if (to < level_) {
    left.left_at = now_;
    left.was_left = true;
    left.dwell_when_left = min_dwell_;
  }
  min_dwell_ = config_.levels[to].min_dwell;
  const auto& entered = level_states_[to];
  if (to > level_ && entered.was_left &&
      now_ - entered.left_at < std::max(entered.dwell_when_left, config_.min_change_interval) * 2) {
    const auto extended = Duration(static_cast<std::int64_t>(
        static_cast<double>(
            std::max({entered.dwell_when_left, min_dwell_, config_.min_change_interval}).count()) *
        config_.damping));
    min_dwell_ = std::max(min_dwell_, std::min(extended, config_.max_damped_dwell));
  }
  change.min_dwell = min_dwell_;
  level_ = to;
  entered_at_ = now_;
  has_changed_ = true;
  hold_reported_ = false;
  // Exit conditions have to hold from the entry on.
  for (auto& state : level_states_)
    for (auto& timer : state.exit) timer.running = false;
  out.push_back(std::move(change));
}

/// Reports once that the level is held, until the level changes or every sample is usable again.
void Ladder::report_hold(LevelChange change, std::vector<LevelChange>& out) {
  if (std::exchange(hold_reported_, true)) return;
  change.at = now_;
  change.cause = Cause::held;
  change.from = change.to = current_level().name;
  out.push_back(std::move(change));
}

void Ladder::step(Time now, const SampleReader& read, std::vector<LevelChange>& out) {
  now = started_ ? std::max(now, now_) : now;
  // After a gap it is unknown whether a condition has held throughout: time in which the event loop was
  // blocked or by which the clock jumped must not count towards a hold time.
  if (started_ && now - now_ > config_.max_evaluation_gap)
    for (auto& state : level_states_)
      for (auto* timers : {&state.enter, &state.exit})
        for (auto& timer : *timers) timer.running = false;
  now_ = now;
  if (!std::exchange(started_, true)) entered_at_ = now;

  // Rules that could change the current level: if one is unknown, the first such rule is recorded.
  bool is_unknown = false;
  LevelChange first_unknown;
  const auto holds = [&](const Rule& rule, std::vector<HoldTimer>& timers, LevelChange& change) {
    const auto state = evaluate(rule, timers, read, change);
    if (state == RuleState::unknown && !std::exchange(is_unknown, true)) first_unknown = change;
    return state == RuleState::yes;
  };
  // All timers are updated, also those of levels below and above the current one and while a pin applies.
  std::size_t highest_to_enter = level_;
  LevelChange enter_change;
  LevelChange leave_change;
  LevelChange discarded;
  for (std::size_t i = 1; i < config_.levels.size(); ++i) {
    LevelChange change;
    const bool may_enter = i > level_ ? holds(config_.levels[i].enter, level_states_[i].enter, change)
                                      : evaluate(config_.levels[i].enter, level_states_[i].enter, read,
                                                 discarded) == RuleState::yes;
    if (may_enter && i > highest_to_enter) {
      highest_to_enter = i;
      enter_change = std::move(change);
    }
  }
  const bool may_leave = level_ > 0 && holds(current_level().exit, level_states_[level_].exit, leave_change);

  if (pin_ && now_ >= pin_->until) {
    if (pin_->reported) {
      LevelChange change;
      change.at = now_;
      change.cause = Cause::pin_ended;
      change.from = change.to = current_level().name;
      out.push_back(std::move(change));
    }
    pin_.reset();
  }
  if (pin_) {
    if (!may_change() && pin_->level != level_) return;
    LevelChange change;
    change.pinned_until = pin_->until;
    if (pin_->level != level_) {
      pin_->reported = true;
      return change_level(pin_->level, Cause::pinned, std::move(change), out);
    }
    if (std::exchange(pin_->reported, true)) return;
    change.at = now_;
    change.cause = Cause::pinned;
    change.from = change.to = current_level().name;
    out.push_back(std::move(change));
    return;
  }
  if (may_change()) {
    if (highest_to_enter > level_)
      return change_level(config_.step_by_step ? level_ + 1 : highest_to_enter, Cause::entered,
                          std::move(enter_change), out);
    if (may_leave) return change_level(level_ - 1, Cause::left, std::move(leave_change), out);
  }
  if (is_unknown && level_ > 0)
    report_hold(std::move(first_unknown), out);
  else if (!is_unknown)
    hold_reported_ = false;
}

bool Ladder::pin(const std::string& level, Time until, Time now) {
  const auto& levels = config_.levels;
  const auto found = std::find_if(levels.begin(), levels.end(),
                                  [&](const Level& candidate) { return candidate.name == level; });
  if (found == levels.end() || until <= std::max(now, now_)) return false;
  pin_ = Pin{static_cast<std::size_t>(found - levels.begin()), until};
  return true;
}

void Ladder::unpin() {
  if (pin_) pin_->until = now_;
}

LadderSnapshot Ladder::snapshot(Time now) const {
  LadderSnapshot snapshot;
  snapshot.level = current_level().name;
  snapshot.time_in_level = started_ ? std::max(Duration::zero(), now - entered_at_) : Duration::zero();
  snapshot.min_dwell = min_dwell_;
  snapshot.has_changed = has_changed_;
  if (pin_) {
    snapshot.pinned_level = config_.levels[pin_->level].name;
    snapshot.pin_remaining = pin_->until - now;
  }
  return snapshot;
}

void Ladder::restore(const LadderSnapshot& snapshot, Time now) {
  const auto& levels = config_.levels;
  const auto found = std::find_if(levels.begin(), levels.end(),
                                  [&](const Level& candidate) { return candidate.name == snapshot.level; });
  if (found == levels.end()) return;
  level_ = static_cast<std::size_t>(found - levels.begin());
  now_ = started_ ? std::max(now, now_) : now;
  started_ = true;
  entered_at_ = now_ - std::max(Duration::zero(), snapshot.time_in_level);
  min_dwell_ =
      std::clamp(snapshot.min_dwell, Duration::zero(), std::max(config_.max_damped_dwell, found->min_dwell));
  has_changed_ = snapshot.has_changed;
  if (!snapshot.pinned_level.empty() && snapshot.pin_remaining > Duration::zero() &&
      pin(snapshot.pinned_level, now_ + snapshot.pin_remaining, now_))
    pin_->reported = true;
}

std::optional<Time> Ladder::pinned_until() const {
  return pin_ ? std::optional<Time>(pin_->until) : std::nullopt;
}

std::optional<std::string> Ladder::pinned_level() const {
  return pin_ ? std::optional<std::string>(config_.levels[pin_->level].name) : std::nullopt;
}

void Ladder::reload(LadderConfig config, Time now, std::vector<LevelChange>& out) {
  const auto previous = std::move(config_);
  const auto find = [&](const std::string& name) -> std::optional<std::size_t> {
    for (std::size_t i = 0; i < config.levels.size(); ++i)
      if (config.levels[i].name == name) return i;
    return std::nullopt;
  };
  // The nearest remaining level at or below the current one; `normal` always remains.
  std::size_t to = 0;
  for (std::size_t i = level_ + 1; i-- > 0;)
    if (const auto index = find(previous.levels[i].name)) {
      to = *index;
      break;
    }
  const auto from = previous.levels[level_].name;
  const auto pinned = pin_ ? find(previous.levels[pin_->level].name) : std::nullopt;
  if (pinned)
    pin_->level = *pinned;
  else
    pin_.reset();
  config_ = std::move(config);
  reset_level_states();
  level_ = to;
  now_ = started_ ? std::max(now, now_) : now;
  hold_reported_ = false;
  if (config_.levels[to].name == from) return;
  LevelChange change;
  change.at = now_;
  change.cause = Cause::reloaded;
  change.from = from;
  change.to = config_.levels[to].name;
  min_dwell_ = change.min_dwell = config_.levels[to].min_dwell;
  entered_at_ = now_;
  has_changed_ = true;
  out.push_back(std::move(change));
}

namespace {

constexpr std::size_t max_levels = 16;  // of one ladder

/// The values of a reading for which a condition holds: from < x <= to, or from <= x <= to if `closed`.
struct Range {
  double from = 0;
  double to = 0;
  bool closed = false;
};

Range range_of(const Condition& condition) {
  const double max_value = reading_info(condition.reading).max_value;
  return condition.above ? Range{condition.bound, max_value, condition.bound < 0}
                         : Range{0, std::min(condition.bound, max_value), true};
}

bool is_empty(const Range& range) { return range.closed ? range.to < range.from : range.to <= range.from; }

bool same_reading(const Condition& a, const Condition& b) {
  return a.reading == b.reading && a.class_index == b.class_index;
}

/// The values that lie in both ranges.
Range intersection_of(const Range& a, const Range& b) {
  const bool closed = a.from > b.from ? a.closed : b.from > a.from ? b.closed : a.closed && b.closed;
  return {std::max(a.from, b.from), std::min(a.to, b.to), closed};
}

/// Whether each condition of one set can hold at the same time as each condition of the other.
bool overlap(const std::vector<Condition>& first, const std::vector<Condition>& second) {
  for (const auto& a : first)
    for (const auto& b : second)
      if (same_reading(a, b) && is_empty(intersection_of(range_of(a), range_of(b)))) return false;
  return true;
}

/// The sets of conditions that are each sufficient for a rule to hold.
std::vector<std::vector<Condition>> sufficient_sets(const Rule& rule) {
  if (rule.require_all) return {rule.conditions};
  std::vector<std::vector<Condition>> sets;
  for (const auto& condition : rule.conditions) sets.push_back({condition});
  return sets;
}

/// The first error of a rule; `path` is that of the rule.
std::optional<ConfigIssue> find_rule_issue(const Rule& rule, Scope scope, const std::string& path) {
  for (std::size_t i = 0; i < rule.conditions.size(); ++i) {
    const auto& condition = rule.conditions[i];
    const auto condition_path = path + "/" + std::to_string(i);
    if (!std::isfinite(condition.bound))
      return ConfigIssue{condition_path, "the bound is not a finite number"};
    if ((reading_info(condition.reading).scope == Scope::group) != (scope == Scope::group))
      return ConfigIssue{
          condition_path + "/reading",
          std::string("reading ") + reading_info(condition.reading).name + " does not belong to this axis"};
    if (is_empty(range_of(condition)))
      return ConfigIssue{condition_path,
                         "the condition can never hold: no value of the reading satisfies it"};
  }
  if (rule.require_all && !overlap(rule.conditions, rule.conditions))
    return ConfigIssue{path, "the rule can never hold: its conditions exclude each other"};
  return std::nullopt;
}

}  // namespace

std::optional<ConfigIssue> find_config_issue(const LadderConfig& config, Scope scope) {
  if (config.levels.empty()) return ConfigIssue{"", "the ladder has no levels"};
  if (config.levels.size() > max_levels) return ConfigIssue{"", "the ladder has more than 16 levels"};
  std::set<std::string> names;
  for (std::size_t i = 0; i < config.levels.size(); ++i) {
    const auto& level = config.levels[i];
    const auto path = "/" + std::to_string(i);
    if (level.name.empty() || !names.insert(level.name).second)
      return ConfigIssue{path + "/name", "the name is empty or is used by another level"};
    if (i == 0) {
      if (!level.enter.conditions.empty() || !level.exit.conditions.empty() || !level.shed_rules.empty())
        return ConfigIssue{
            path, "the first level is the normal level: it must have no conditions and shed nothing"};
      continue;
    }
    if (level.enter.conditions.empty())
      return ConfigIssue{path + "/enter", "the level is unreachable: it has no entry condition"};
    if (level.exit.conditions.empty())
      return ConfigIssue{path + "/exit", "the level cannot be left: it has no exit condition"};
    if (auto issue = find_rule_issue(level.enter, scope, path + "/enter")) return issue;
    if (auto issue = find_rule_issue(level.exit, scope, path + "/exit")) return issue;
    for (const auto& entry : sufficient_sets(level.enter))
      for (const auto& exit : sufficient_sets(level.exit))
        if (overlap(entry, exit))
          return ConfigIssue{
              path + "/exit",
              "the exit rule overlaps the entry rule: the level would be left and entered at the same time"};
    for (std::size_t j = 0; j < level.shed_rules.size(); ++j)
      if (!(level.shed_rules[j].share >= 0 && level.shed_rules[j].share <= 1))
        return ConfigIssue{path + "/shed/" + std::to_string(j) + "/share",
                           "the share is not between 0 and 1"};
  }
  if (config.min_change_interval <= Duration::zero())
    return ConfigIssue{"", "the minimum time between changes has to be positive"};
  return std::nullopt;
}

}  // namespace cedarring::levels
