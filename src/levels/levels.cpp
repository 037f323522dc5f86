#include "levels/levels.h"

#include <xxhash.h>

#include <algorithm>

namespace cedarring::levels {
namespace {

// 1 s: requests that began before or within this time after a primary's return may have been delayed by its
// absence.
constexpr Duration primary_settle_time{1'000'000};

}  // namespace

Levels::Levels(Config config, ServiceInfo service)
    : config_(std::move(config)),
      service_(std::move(service)),
      pressure_(config_.pressure),
      meter_(
          [this] {
            std::vector<Duration> latency_targets;
            for (const auto& request_class : service_.classes)
              latency_targets.push_back(request_class.latency_target);
            return latency_targets;
          }(),
          config_.reading_decay_time),
      samples_(reading_count),
      counters_(service_.classes.size()),
      random_(service_.seed) {
  compile_all_shed_rules();
}

/// Precomputes the shares that a level sheds by class, budget and primary state, so that a verdict is a
/// single table look-up. Rules for a tenant go to `tenant_sheds`, or are ignored if it is null.
void Levels::compile_shed_rules(const Level& level, std::vector<ShedEntry>& table,
                                std::vector<TenantShed>* tenant_sheds) const {
  table.assign(service_.classes.size() * shed_entries_per_class, ShedEntry{});
  if (tenant_sheds) tenant_sheds->clear();
  const auto class_count = static_cast<std::int32_t>(service_.classes.size());
  for (const auto& rule : level.shed_rules) {
    const auto share = static_cast<float>(rule.share);
    if (rule.tenant >= 0) {
      if (!tenant_sheds) continue;
      if (rule.classes.empty()) tenant_sheds->push_back({-1, rule.tenant, rule.only_beyond_budget, share});
      for (const auto class_index : rule.classes)
        tenant_sheds->push_back({class_index, rule.tenant, rule.only_beyond_budget, share});
      continue;
    }
    for (std::int32_t class_index = 0; class_index < class_count; ++class_index) {
      if (!rule.classes.empty() &&
          std::find(rule.classes.begin(), rule.classes.end(), class_index) == rule.classes.end())
        continue;
      for (const bool beyond_budget : {false, true})
        for (const bool without_primary : {false, true}) {
          if ((rule.only_beyond_budget && !beyond_budget) || (rule.only_without_primary && !without_primary))
            continue;
          auto& entry = table[entry_index(class_index, beyond_budget, without_primary)];
          // Of two rules with equal shares, the unconditional rule is the stricter.
          if (share > entry.share || (share == entry.share && !rule.only_past_takeover_deadline))
            entry = {share, rule.only_past_takeover_deadline};
        }
    }
  }
}

void Levels::compile_all_shed_rules() {
  compile_shed_rules(pressure_.current_level(), shed_table_, &tenant_sheds_);
  for (auto& [id, group] : groups_)
    compile_shed_rules(group.faults.current_level(), group.shed_table, nullptr);
}

/// Maps the caller to [0, 1), constant for all its requests during a pressure episode. A caller is shed if
/// its rank is below the shed share: the same callers are shed throughout, a retry gets the same answer, and
/// a larger share sheds the callers of a smaller share and more.
double Levels::caller_rank(const gates::GateRequest& request) const {
  const auto caller = request.caller != 0 ? request.caller : request.request.value;
  // The upper 53 bits of the hash, as many as a double represents exactly.
  return static_cast<double>(XXH3_64bits_withSeed(&caller, sizeof caller, episode_) >> 11U) * 0x1p-53;
}

gates::Verdict Levels::admit(const gates::GateRequest& request, Time now) {
  if (request.class_id.value < 0 || static_cast<std::size_t>(request.class_id.value) >= counters_.size())
    return {};
  auto& counter = counters_[static_cast<std::size_t>(request.class_id.value)];
  ++counter.requests;
  recent_requests_ += 1;
  recent_retries_ += request.retry ? 1 : 0;
  const auto group = groups_.find(request.group);
  const bool without_primary = group != groups_.end() && !group->second.has_primary;
  const auto index = entry_index(request.class_id.value, request.beyond_budget, without_primary);
  const auto within_budget_index = entry_index(request.class_id.value, false, without_primary);
  const auto takeover_remaining = [&] {
    return group->second.takeover.remaining(std::max(Duration::zero(), now - group->second.primary_lost_at));
  };
  double fault_share = 0;
  if (group != groups_.end()) {
    const auto& entry = group->second.shed_table[index];
    // A request that the router can hold until a primary is expected is better served late than refused.
    if (entry.share > 0 && !(entry.only_past_takeover_deadline && takeover_remaining() < request.time_left))
      fault_share = static_cast<double>(entry.share);
  }
  double share = static_cast<double>(shed_table_[index].share);
  auto reason = gates::Reason::class_shed;
  if (request.beyond_budget && share > static_cast<double>(shed_table_[within_budget_index].share))
    reason = gates::Reason::budget_shed;
  for (const auto& shed : tenant_sheds_)
    if (shed.tenant == request.tenant &&
        (shed.class_index < 0 || shed.class_index == request.class_id.value) &&
        (!shed.only_beyond_budget || request.beyond_budget) && static_cast<double>(shed.share) > share) {
      share = static_cast<double>(shed.share);
      reason = gates::Reason::tenant_shed;
    }
  if (fault_share > share) {
    share = fault_share;
    reason = without_primary ? gates::Reason::no_primary : gates::Reason::class_shed;
  }
  if (share <= 0 || (share < 1 && caller_rank(request) >= share)) return {};
  if (config_.mode != Mode::on) return {};
  gates::Verdict verdict;
  verdict.admitted = false;
  verdict.decided_by = gates::Decider::levels;
  verdict.reason = reason;
  if (reason == gates::Reason::no_primary)
    ++counter.refused_without_primary;
  else
    ++counter.shed;
  if (!service_.retry_after_allowed) return verdict;
  // Until a primary is expected, or until the pressure level may change at the earliest.
  const auto expected = reason == gates::Reason::no_primary
                            ? takeover_remaining()
                            : pressure_.entered_at() +
                                  std::max(pressure_.min_dwell(), config_.pressure.min_change_interval) - now;
  verdict.retry_after = spread_retry_after(expected, service_.max_retry_after, random_fraction());
  return verdict;
}

void Levels::on_request_end(const gates::GateRequest& request, const gates::RequestResult& result, Time now) {
  // A lost primary belongs to the faults axis: its effects on requests must not count as pressure as well.
  if (const auto found = groups_.find(request.group); found != groups_.end()) {
    const auto& group = found->second;
    if (!group.has_primary || (group.primary_has_returned &&
                               now - result.elapsed < group.primary_returned_at + primary_settle_time))
      return;
  }
  meter_.add(request.class_id, result, now);
}

Sample Levels::sample(const Condition& condition, const Group* group, Time now) {
  switch (reading_info(condition.reading).scope) {
    case Scope::request_class:
      return {meter_.read(condition.reading, condition.class_index, now), now, true};
    case Scope::gateway:
      return samples_[static_cast<std::size_t>(condition.reading)];
    case Scope::group:
      break;
  }
  if (!group) return {};
  return condition.reading == Reading::primary_lost ? group->primary_lost_sample
         : condition.reading == Reading::group_out  ? group->unavailable
                                                    : group->lagging;
}

/// The tracked group of that id, added if new; null if `max_groups` others are tracked.
Levels::Group* Levels::find_or_add_group(GroupId id) {
  auto found = groups_.find(id);
  if (found == groups_.end()) {
    if (groups_.size() >= config_.max_groups) return nullptr;
    Group group{Ladder(config_.faults), TakeoverEstimator(config_.initial_takeover_estimate)};
    found = groups_.emplace(id, std::move(group)).first;
    compile_shed_rules(found->second.faults.current_level(), found->second.shed_table, nullptr);
  }
  return &found->second;
}

void Levels::step(Time now, const GatewayState& state, std::vector<AxisChange>& out) {
  for (const auto& value : state.values)
    if (reading_info(value.reading).scope == Scope::gateway)
      samples_[static_cast<std::size_t>(value.reading)] = {value.value, value.at, true};
  samples_[static_cast<std::size_t>(Reading::retries)] = {
      recent_requests_ < 1 ? 0 : recent_retries_ / recent_requests_, now, true};
  const double decay = 1 - static_cast<double>(config_.evaluation_interval.count()) /
                               static_cast<double>(config_.reading_decay_time.count());
  recent_requests_ *= std::max(0.0, decay);
  recent_retries_ *= std::max(0.0, decay);
  std::vector<LevelChange> changes;
  const auto previous_level = pressure_.level_index();
  pressure_.step(
      now, [&](const Condition& condition) { return sample(condition, nullptr, now); }, changes);
  if (previous_level == 0 && pressure_.level_index() > 0) ++episode_;
  if (previous_level != pressure_.level_index())
    compile_shed_rules(pressure_.current_level(), shed_table_, &tenant_sheds_);
  for (auto& change : changes) out.push_back({std::nullopt, std::move(change)});

  const Time observed_at = state.groups_at;
  for (const auto& observed : state.groups) {
    auto* tracked = find_or_add_group(observed.group);
    if (!tracked) continue;
    auto& group = *tracked;
    if (!observed.has_primary && group.has_primary) group.primary_lost_at = observed_at;
    if (observed.has_primary && !group.has_primary) {
      group.takeover.record(observed_at - group.primary_lost_at);
      group.primary_has_returned = true;
      group.primary_returned_at = observed_at;
    }
    group.has_primary = observed.has_primary;
    group.primary_lost_sample = {
        group.has_primary ? 0.0 : static_cast<double>((observed_at - group.primary_lost_at).count()) / 1e6,
        observed_at, true};
    group.unavailable = {observed.unavailable_share, observed_at, true};
    group.lagging = {observed.lagging_share, observed_at, true};
  }
  // A group that is no longer reported is dropped once it is back on the normal level, so that state is kept
  // for existing groups only.
  for (auto it = groups_.begin(); it != groups_.end();) {
    auto& group = it->second;
    const auto reported =
        std::lower_bound(state.groups.begin(), state.groups.end(), it->first,
                         [](const GroupState& candidate, GroupId id) { return candidate.group < id; });
    const bool is_reported = reported != state.groups.end() && reported->group == it->first;
    if (!is_reported && group.faults.level_index() == 0 && !group.faults.pinned_until()) {
      it = groups_.erase(it);
      continue;
    }
    changes.clear();
    group.faults.step(
        now, [&](const Condition& condition) { return sample(condition, &group, now); }, changes);
    if (!changes.empty()) compile_shed_rules(group.faults.current_level(), group.shed_table, nullptr);
    for (auto& change : changes) out.push_back({it->first, std::move(change)});
    ++it;
  }
}

Snapshot Levels::snapshot(Time now) const {
  Snapshot snapshot;
  snapshot.pressure = pressure_.snapshot(now);
  for (const auto& [id, group] : groups_) {
    GroupSnapshot group_snapshot;
    group_snapshot.group = id;
    group_snapshot.ladder = group.faults.snapshot(now);
    group_snapshot.takeover_estimate = group.takeover.estimate();
    group_snapshot.takeover_count = group.takeover.count();
    if (!group.has_primary) group_snapshot.primary_lost_for = now - group.primary_lost_at;
    snapshot.groups.push_back(std::move(group_snapshot));
  }
  for (std::size_t i = 0; i < counters_.size(); ++i)
    snapshot.counters.push_back({service_.classes[i].name, counters_[i].requests, counters_[i].shed,
                                 counters_[i].refused_without_primary});
  return snapshot;
}

/// Counters are added up: the previous process counts no further requests, and this process may already have
/// counted some.
void Levels::restore(const Snapshot& snapshot, Time now) {
  pressure_.restore(snapshot.pressure, now);
  for (const auto& group_snapshot : snapshot.groups) {
    auto* tracked = find_or_add_group(group_snapshot.group);
    if (!tracked) continue;
    auto& group = *tracked;
    group.faults.restore(group_snapshot.ladder, now);
    group.takeover.restore(group_snapshot.takeover_estimate, group_snapshot.takeover_count);
    if (group_snapshot.primary_lost_for && *group_snapshot.primary_lost_for >= Duration::zero()) {
      group.has_primary = false;
      group.primary_lost_at = now - *group_snapshot.primary_lost_for;
    }
  }
  for (const auto& previous : snapshot.counters)
    for (std::size_t i = 0; i < counters_.size(); ++i)
      if (service_.classes[i].name == previous.class_name) {
        auto& own = counters_[i];
        own.requests += previous.requests;
        own.shed += previous.shed;
        own.refused_without_primary += previous.refused_without_primary;
      }
  compile_all_shed_rules();
}

bool Levels::pin(std::optional<GroupId> group, const std::string& level, Time until, Time now) {
  if (!group) return pressure_.pin(level, until, now);
  const auto found = groups_.find(*group);
  return found != groups_.end() && found->second.faults.pin(level, until, now);
}

bool Levels::unpin(std::optional<GroupId> group) {
  if (!group) {
    pressure_.unpin();
    return true;
  }
  const auto found = groups_.find(*group);
  if (found == groups_.end()) return false;
  found->second.faults.unpin();
  return true;
}

void Levels::reload(Config config, Time now, std::vector<AxisChange>& out) {
  config_ = std::move(config);
  std::vector<LevelChange> changes;
  pressure_.reload(config_.pressure, now, changes);
  for (auto& change : changes) out.push_back({std::nullopt, std::move(change)});
  for (auto& [id, group] : groups_) {
    changes.clear();
    group.faults.reload(config_.faults, now, changes);
    for (auto& change : changes) out.push_back({id, std::move(change)});
  }
  compile_all_shed_rules();
}

void add_group_views(const std::vector<GroupView>& views, Time now, GatewayState& state) {
  double hosts = 0;
  double unavailable = 0;
  double replicas = 0;
  double lagging = 0;
  double in_flight = 0;
  double concurrency_limit = 0;
  double waiting = 0;
  const auto share = [](double part, double total) { return total <= 0 ? 0.0 : part / total; };
  for (const auto& view : views) {
    hosts += view.hosts;
    unavailable += view.unavailable;
    replicas += view.replicas;
    lagging += view.lagging;
    in_flight += view.in_flight;
    concurrency_limit += view.concurrency_limit;
    waiting += view.waiting;
    state.groups.push_back({view.group, view.has_primary, share(view.unavailable, view.hosts),
                            share(view.lagging, view.replicas)});
  }
  state.groups_at = now;
  for (const auto& [reading, value] : {std::pair{Reading::hosts_out, share(unavailable, hosts)},
                                       {Reading::lagging, share(lagging, replicas)},
                                       {Reading::in_flight, share(in_flight, concurrency_limit)},
                                       {Reading::waiting, share(waiting, std::max(1.0, in_flight))}})
    state.values.push_back({reading, value, now});
}

Adjustments Levels::adjustments() const {
  Adjustments combined;
  if (config_.mode != Mode::on) return combined;
  const auto combine = [&](const Adjustments& level) {
    // If one axis lowers the probe rate and another raises it, relief for the hosts takes precedence.
    combined.probe_rate = level.probe_rate < 1      ? std::min(combined.probe_rate, level.probe_rate)
                          : combined.probe_rate < 1 ? combined.probe_rate
                                                    : std::max(combined.probe_rate, level.probe_rate);
    combined.retry_budget = std::min(combined.retry_budget, level.retry_budget);
    combined.pool_size = std::min(combined.pool_size, level.pool_size);
    combined.read_spillover = std::min(combined.read_spillover, level.read_spillover);
  };
  combine(pressure_.current_level().adjustments);
  for (const auto& [id, group] : groups_) combine(group.faults.current_level().adjustments);
  return combined;
}

namespace {

/// Whether only a primary can serve requests of the class.
bool needs_primary(const RequestClass& request_class) {
  return request_class.freshness == Freshness::write || request_class.freshness == Freshness::fresh;
}

/// Puts the name of the axis before the path of the issue.
std::optional<ConfigIssue> with_axis(std::optional<ConfigIssue> issue, const char* axis) {
  if (issue) issue->path = axis + issue->path;
  return issue;
}

}  // namespace

std::optional<ConfigIssue> find_config_issue(const Config& config, const ServiceInfo& service) {
  if (auto issue = with_axis(find_config_issue(config.pressure, Scope::gateway), "/pressure")) return issue;
  if (auto issue = with_axis(find_config_issue(config.faults, Scope::group), "/faults")) return issue;
  for (std::size_t i = 0; i < config.faults.levels.size(); ++i)
    for (std::size_t j = 0; j < config.faults.levels[i].shed_rules.size(); ++j)
      if (config.faults.levels[i].shed_rules[j].tenant >= 0)
        return ConfigIssue{
            "/faults/" + std::to_string(i) + "/shed/" + std::to_string(j) + "/tenant",
            "the key is not allowed on the axis faults: a fault affects all tenants of a group alike"};
  // Writes within their budget are the last requests that pressure may shed.
  const auto class_count = service.classes.size();
  for (std::size_t i = 0; i < config.pressure.levels.size(); ++i) {
    std::vector<double> shares(class_count, 0);  // by class: the share that the level sheds within budgets
    for (const auto& rule : config.pressure.levels[i].shed_rules) {
      if (rule.only_beyond_budget || rule.tenant >= 0) continue;
      for (std::size_t c = 0; c < class_count; ++c)
        if (rule.classes.empty() || std::find(rule.classes.begin(), rule.classes.end(),
                                              static_cast<std::int32_t>(c)) != rule.classes.end())
          shares[c] = std::max(shares[c], rule.share);
    }
    bool sheds_all_others = true;
    bool sheds_some_write = false;
    for (std::size_t c = 0; c < class_count; ++c)
      if (service.classes[c].freshness == Freshness::write)
        sheds_some_write |= shares[c] > 0;
      else
        sheds_all_others &= shares[c] >= 1;
    if (sheds_some_write && !sheds_all_others)
      return ConfigIssue{"/pressure/" + std::to_string(i) + "/shed",
                         "writes within their budget are shed before all other requests are"};
  }
  return std::nullopt;
}

namespace {

/// The first level of each ladder: no conditions, sheds nothing.
Level normal_level() {
  Level level;
  level.name = "normal";
  return level;
}

/// Sheds a share of the callers of some classes; an empty list means every class.
ShedRule shed_classes(std::vector<std::int32_t> classes, double share) {
  ShedRule rule;
  rule.classes = std::move(classes);
  rule.share = share;
  return rule;
}

}  // namespace

Config default_config(const ServiceInfo& service) {
  // Share of the hosts' concurrency limits in use at or below which a pressure level may be left.
  constexpr double exit_utilization = 0.6;
  // The bounds to leave a pressure level are its bounds to enter it, divided by this.
  constexpr double exit_bound_divisor = 3;
  constexpr Duration exit_hold_time{5'000'000};  // 5 s
  Config config;
  std::vector<std::int32_t> any_reads;
  std::vector<std::int32_t> bounded_reads;
  std::vector<std::int32_t> primary_requests;
  for (std::size_t i = 0; i < service.classes.size(); ++i) {
    const auto class_index = static_cast<std::int32_t>(i);
    const auto& request_class = service.classes[i];
    if (needs_primary(request_class))
      primary_requests.push_back(class_index);
    else if (request_class.freshness == Freshness::any)
      any_reads.push_back(class_index);
    else
      bounded_reads.push_back(class_index);
  }
  const auto milliseconds = [](std::int64_t count) { return Duration(count * 1000); };
  // Pressure is measured by the most important requests: those that need the primary. The exit rule requires
  // spare capacity at the hosts as well, since the requests fare well for as long as the level relieves them.
  const auto add_conditions = [&](Rule& rule, bool above, double refused, double late, Duration hold_time) {
    for (const auto class_index : primary_requests) {
      rule.conditions.push_back({Reading::refused, class_index, above, refused, hold_time});
      rule.conditions.push_back({Reading::late, class_index, above, late, hold_time});
    }
  };
  // `refused` and `late`: shares of a class above which the level is entered. Heavier pressure has a shorter
  // hold time: the minimum change interval keeps the first level reached for ten seconds.
  const auto make_level = [&](const char* name, double refused, double late, Duration hold_time) {
    Level level;
    level.name = name;
    add_conditions(level.enter, true, refused, late, hold_time);
    level.exit.require_all = true;
    add_conditions(level.exit, false, refused / exit_bound_divisor, late / exit_bound_divisor,
                   exit_hold_time);
    level.exit.conditions.push_back({Reading::in_flight, -1, false, exit_utilization, exit_hold_time});
    level.min_dwell = milliseconds(10000);
    level.adjustments.read_spillover = 0;
    // Requests beyond a tenant's budget are shed first: they take capacity promised to other tenants.
    auto beyond_budget = shed_classes({}, 1);
    beyond_budget.only_beyond_budget = true;
    level.shed_rules.push_back(beyond_budget);
    return level;
  };
  config.pressure.levels.push_back(normal_level());
  if (!primary_requests.empty()) {
    auto relief = make_level("relief", 0.08, 0.10, milliseconds(2500));
    // Leaves at least four fifths of the primary's limit to writes while replicas are only busy.
    relief.adjustments.read_spillover = 0.2;
    config.pressure.levels.push_back(std::move(relief));
    auto trim = make_level("trim", 0.15, 0.25, milliseconds(1500));
    auto shed_history = make_level("shed-history", 0.25, 0.35, milliseconds(1500));
    auto protect_gate = make_level("protect-gate", 0.40, 0.50, milliseconds(1000));
    auto survive = make_level("survive", 0.60, 0.70, milliseconds(500));
    if (!any_reads.empty()) {
      trim.shed_rules.push_back(shed_classes(any_reads, 0.5));
      for (auto* level : {&shed_history, &protect_gate, &survive})
        level->shed_rules.push_back(shed_classes(any_reads, 1));
    }
    if (!bounded_reads.empty()) {
      protect_gate.shed_rules.push_back(shed_classes(bounded_reads, 0.5));
      survive.shed_rules.push_back(shed_classes(bounded_reads, 1));
    }
    shed_history.adjustments.retry_budget = 0.5;
    protect_gate.adjustments.retry_budget = 0.25;
    survive.adjustments.retry_budget = 0;
    for (auto* level : {&trim, &shed_history, &protect_gate, &survive})
      config.pressure.levels.push_back(std::move(*level));
  }
  config.faults.levels.push_back(normal_level());
  if (!primary_requests.empty()) {
    Level no_writes;
    no_writes.name = "no-writes";
    Condition lost;
    lost.reading = Reading::primary_lost;
    lost.above = true;
    lost.bound = 0.3;  // seconds
    no_writes.enter.conditions = {lost};
    Condition returned;
    returned.reading = Reading::primary_lost;
    returned.above = false;
    returned.bound = 0;
    returned.hold_time = milliseconds(2000);
    no_writes.exit.require_all = true;
    no_writes.exit.conditions = {returned};
    no_writes.min_dwell = milliseconds(10000);
    // Sheds requests that cannot wait for the new primary.
    auto without_primary = shed_classes(primary_requests, 1);
    without_primary.only_without_primary = true;
    without_primary.only_past_takeover_deadline = true;
    no_writes.shed_rules.push_back(without_primary);
    config.faults.levels.push_back(no_writes);
  }
  return config;
}

}  // namespace cedarring::levels
