#include "levels/ladder.h"

#include <algorithm>
#include <set>
#include <utility>

namespace cedarring::levels {

Ladder::Ladder(LadderConfig config) : config_(std::move(config)) { reset_clocks(); }

void Ladder::reset_clocks() {
  clocks_.clear();
  for (const auto& l : config_.levels) {
    clocks_.push_back({});
    clocks_.back().enter.resize(l.enter.conditions.size());
    clocks_.back().exit.resize(l.exit.conditions.size());
  }
}

/// Every condition's clock is kept, whatever the others say: a rule holds once enough of them have held for
/// as long as each has to. A reading that cannot be used stops its clock: what is not known has not held.
Ladder::State Ladder::evaluate(const Rule& rule, std::vector<Clock>& clocks, const Read& read,
                               Change& change) {
  std::size_t held = 0, unknown = 0;
  for (std::size_t i = 0; i < rule.conditions.size(); ++i) {
    const auto& c = rule.conditions[i];
    const auto sample = read(c);
    const auto use = sample.use(info(c.reading), now_);
    change.reads.push_back({c, sample.value, use});
    if (use != Use::usable || (sample.value > c.bound) != c.above) {
      clocks[i].runs = false;
      unknown += use != Use::usable ? 1 : 0;
      continue;
    }
    if (!clocks[i].runs) clocks[i] = {now_, true};
    if (now_ - clocks[i].since >= c.hold) ++held;
  }
  if (rule.conditions.empty()) return State::no;
  if (rule.all) return held == rule.conditions.size() ? State::yes : unknown > 0 ? State::unknown : State::no;
  return held > 0 ? State::yes : unknown > 0 ? State::unknown : State::no;
}

bool Ladder::may_change() const { return !changed_ || now_ - since_ >= std::max(config_.apart, stay_); }

void Ladder::move(std::size_t to, Cause cause, Change change, std::vector<Change>& out) {
  change.at = now_;
  change.cause = cause;
  change.from = present().name;
  change.to = config_.levels[to].name;
  // A level left not long ago and wanted again was left too soon: it stays longer this time, within a bound.
  // Without this a load that the level itself relieves would swing it for ever at the least distance.
  auto& left = clocks_[level_];
  if (to < level_) left.left = now_, left.was_left = true, left.stay = stay_;
  stay_ = config_.levels[to].stay;
  const auto& again = clocks_[to];
  if (to > level_ && again.was_left && now_ - again.left < std::max(again.stay, config_.apart) * 2) {
    const auto longer = Duration(static_cast<std::int64_t>(
        static_cast<double>(std::max({again.stay, stay_, config_.apart}).count()) * config_.damping));
    stay_ = std::max(stay_, std::min(longer, config_.longest_stay));
  }
  change.stay = stay_;
  level_ = to;
  since_ = now_;
  changed_ = true;
  told_held_ = false;
  for (auto& c : clocks_)
    for (auto& clock : c.exit) clock.runs = false;  // the way out counts from the entry
  out.push_back(std::move(change));
}

void Ladder::hold(Change change, std::vector<Change>& out) {
  if (std::exchange(told_held_, true)) return;  // once, until it changes or all can be read again
  change.at = now_;
  change.cause = Cause::held;
  change.from = change.to = present().name;
  out.push_back(std::move(change));
}

void Ladder::step(Time now, const Read& read, std::vector<Change>& out) {
  now = begun_ ? std::max(now, now_) : now;
  // After a gap nobody knows whether a condition has held all the while: a stopped loop or a clock that leapt
  // must not stand for time that was watched.
  if (begun_ && now - now_ > config_.max_gap)
    for (auto& c : clocks_)
      for (auto* clocks : {&c.enter, &c.exit})
        for (auto& clock : *clocks) clock.runs = false;
  now_ = now;
  if (!std::exchange(begun_, true)) since_ = now;

  bool unknown = false;
  Change why_unknown;
  const auto look = [&](const Rule& rule, std::vector<Clock>& clocks, Change& change) {
    const auto state = evaluate(rule, clocks, read, change);
    if (state == State::unknown && !std::exchange(unknown, true)) why_unknown = change;
    return state == State::yes;
  };
  // All clocks run on, also below and above the present level and while a pin holds.
  std::size_t up = level_;
  Change up_change, down_change, scratch;
  for (std::size_t i = 1; i < config_.levels.size(); ++i) {
    Change change;
    const bool entered =
        i > level_ ? look(config_.levels[i].enter, clocks_[i].enter, change)
                   : evaluate(config_.levels[i].enter, clocks_[i].enter, read, scratch) == State::yes;
    if (entered && i > up) up = i, up_change = std::move(change);
  }
  const bool down = level_ > 0 && look(present().exit, clocks_[level_].exit, down_change);

  if (pin_ && now_ >= pin_->until) {
    if (pin_->told) {
      Change change;
      change.at = now_, change.cause = Cause::pin_ended, change.from = change.to = present().name;
      out.push_back(std::move(change));
    }
    pin_.reset();
  }
  if (pin_) {
    if (!may_change() && pin_->level != level_) return;
    Change change;
    change.until = pin_->until;
    if (pin_->level != level_) {
      pin_->told = true;
      return move(pin_->level, Cause::pinned, std::move(change), out);
    }
    if (std::exchange(pin_->told, true)) return;
    change.at = now_, change.cause = Cause::pinned, change.from = change.to = present().name;
    out.push_back(std::move(change));
    return;
  }
  if (may_change()) {
    if (up > level_)
      return move(config_.step_by_step ? level_ + 1 : up, Cause::entered, std::move(up_change), out);
    if (down) return move(level_ - 1, Cause::left, std::move(down_change), out);
  }
  if (unknown && level_ > 0)
    hold(std::move(why_unknown), out);
  else if (!unknown)
    told_held_ = false;
}

bool Ladder::pin(const std::string& level, Time until, Time now) {
  const auto& all = config_.levels;
  const auto it = std::find_if(all.begin(), all.end(), [&](const Level& l) { return l.name == level; });
  if (it == all.end() || until <= std::max(now, now_)) return false;
  pin_ = Pin{static_cast<std::size_t>(it - all.begin()), until};
  return true;
}

void Ladder::unpin() {
  if (pin_) pin_->until = now_;
}

LadderSnapshot Ladder::snapshot(Time now) const {
  LadderSnapshot c;
  c.level = present().name;
  c.since = begun_ ? std::max(Duration::zero(), now - since_) : Duration::zero();
  c.stay = stay_, c.changed = changed_;
  if (pin_) c.pinned = config_.levels[pin_->level].name, c.pinned_for = pin_->until - now;
  return c;
}

/// Holds begin anew: nobody has watched in between.
void Ladder::restore(const LadderSnapshot& told, Time now) {
  const auto& all = config_.levels;
  const auto it = std::find_if(all.begin(), all.end(), [&](const Level& l) { return l.name == told.level; });
  if (it == all.end()) return;
  level_ = static_cast<std::size_t>(it - all.begin());
  now_ = begun_ ? std::max(now, now_) : now;
  begun_ = true;
  since_ = now_ - std::max(Duration::zero(), told.since);
  stay_ = std::clamp(told.stay, Duration::zero(), std::max(config_.longest_stay, it->stay));
  changed_ = told.changed;
  if (!told.pinned.empty() && told.pinned_for > Duration::zero() &&
      pin(told.pinned, now_ + told.pinned_for, now_))
    pin_->told = true;
}

std::optional<Time> Ladder::pinned_until() const {
  return pin_ ? std::optional<Time>(pin_->until) : std::nullopt;
}
std::optional<std::string> Ladder::pinned_to() const {
  return pin_ ? std::optional<std::string>(config_.levels[pin_->level].name) : std::nullopt;
}

void Ladder::reload(LadderConfig config, Time now, std::vector<Change>& out) {
  const auto old = std::move(config_);
  const auto find = [&](const std::string& name) -> std::optional<std::size_t> {
    for (std::size_t i = 0; i < config.levels.size(); ++i)
      if (config.levels[i].name == name) return i;
    return std::nullopt;
  };
  // The nearest level below that is still there; `normal` always is.
  std::size_t to = 0;
  for (std::size_t i = level_ + 1; i-- > 0;)
    if (const auto at = find(old.levels[i].name)) {
      to = *at;
      break;
    }
  const auto from = old.levels[level_].name;
  const auto pinned = pin_ ? find(old.levels[pin_->level].name) : std::nullopt;
  if (pinned)
    pin_->level = *pinned;
  else
    pin_.reset();
  config_ = std::move(config);
  reset_clocks();
  level_ = to;
  now_ = begun_ ? std::max(now, now_) : now;
  told_held_ = false;
  if (config_.levels[to].name == from) return;
  Change change;
  change.at = now_, change.cause = Cause::reloaded, change.from = from, change.to = config_.levels[to].name;
  stay_ = change.stay = config_.levels[to].stay;
  since_ = now_, changed_ = true;
  out.push_back(std::move(change));
}

namespace {

/// The values of a reading that a condition allows.
struct Range {
  double from = 0, to = 0;  // from < x <= to, or 0 <= x where `closed`
  bool closed = false;
};

Range range_of(const Condition& c) {
  const double most = info(c.reading).most;
  return c.above ? Range{c.bound, most, c.bound < 0} : Range{0, std::min(c.bound, most), true};
}
bool empty(const Range& r) { return r.closed ? r.to < r.from : r.to <= r.from; }
bool same(const Condition& a, const Condition& b) { return a.reading == b.reading && a.cls == b.cls; }

/// Whether two sets of conditions can hold at once.
bool overlap(const std::vector<Condition>& a, const std::vector<Condition>& b) {
  for (const auto& x : a)
    for (const auto& y : b) {
      if (!same(x, y)) continue;
      const auto p = range_of(x), q = range_of(y);
      const Range both{std::max(p.from, q.from), std::min(p.to, q.to),
                       p.from > q.from   ? p.closed
                       : q.from > p.from ? q.closed
                                         : p.closed && q.closed};
      if (empty(both)) return false;
    }
  return true;
}

/// The ways in which a rule can hold: one set of conditions each.
std::vector<std::vector<Condition>> ways(const Rule& rule) {
  if (rule.all) return {rule.conditions};
  std::vector<std::vector<Condition>> each;
  for (const auto& c : rule.conditions) each.push_back({c});
  return each;
}

std::optional<ConfigIssue> flaw_of(const Rule& rule, Scope scope, const std::string& where) {
  for (std::size_t i = 0; i < rule.conditions.size(); ++i) {
    const auto& c = rule.conditions[i];
    const auto at = where + "/" + std::to_string(i);
    if (!std::isfinite(c.bound)) return ConfigIssue{at, "a bound that is no number"};
    if ((info(c.reading).scope == Scope::group) != (scope == Scope::group))
      return ConfigIssue{at + "/reading",
                         std::string("reading ") + info(c.reading).name + " is not of this axis"};
    if (empty(range_of(c))) return ConfigIssue{at, "can never hold: no value of the reading is there"};
  }
  if (rule.all && !overlap(rule.conditions, rule.conditions)) return ConfigIssue{where, "can never hold"};
  return std::nullopt;
}

}  // namespace

std::optional<ConfigIssue> find_config_issue(const LadderConfig& config, Scope scope) {
  if (config.levels.empty()) return ConfigIssue{"", "no level"};
  if (config.levels.size() > 16) return ConfigIssue{"", "more than 16 levels"};
  std::set<std::string> names;
  for (std::size_t i = 0; i < config.levels.size(); ++i) {
    const auto& l = config.levels[i];
    const auto at = "/" + std::to_string(i);
    if (l.name.empty() || !names.insert(l.name).second) return ConfigIssue{at + "/name", "empty or taken"};
    if (i == 0) {
      if (!l.enter.conditions.empty() || !l.exit.conditions.empty() || !l.sheds.empty())
        return ConfigIssue{at, "the first level is the normal one: it has no conditions and sheds nothing"};
      continue;
    }
    if (l.enter.conditions.empty()) return ConfigIssue{at + "/enter", "unreachable: no condition to enter"};
    if (l.exit.conditions.empty()) return ConfigIssue{at + "/exit", "no way out: no condition to leave"};
    if (auto flaw = flaw_of(l.enter, scope, at + "/enter")) return flaw;
    if (auto flaw = flaw_of(l.exit, scope, at + "/exit")) return flaw;
    for (const auto& in : ways(l.enter))
      for (const auto& out : ways(l.exit))
        if (overlap(in, out))
          return ConfigIssue{at + "/exit",
                             "overlaps the level's own entry: it would be left and entered at once"};
    for (std::size_t j = 0; j < l.sheds.size(); ++j)
      if (!(l.sheds[j].share >= 0 && l.sheds[j].share <= 1))
        return ConfigIssue{at + "/shed/" + std::to_string(j) + "/share", "not between 0 and 1"};
  }
  if (config.apart <= Duration::zero()) return ConfigIssue{"", "the time between changes has to be positive"};
  return std::nullopt;
}

}  // namespace cedarring::levels
