#include "levels/levels.h"

#include <xxhash.h>

#include <algorithm>

namespace cedarring::levels {
namespace {

constexpr Duration settle{
    1'000'000};  // after a primary's return, until what its absence has held up is through

}  // namespace

Levels::Levels(Config config, ServiceInfo service)
    : config_(std::move(config)),
      service_(std::move(service)),
      pressure_(config_.pressure),
      meter_(
          [this] {
            std::vector<Duration> aims;
            for (const auto& c : service_.classes) aims.push_back(c.latency_target);
            return aims;
          }(),
          config_.memory),
      samples_(reading_count),
      counters_(service_.classes.size()),
      random_(service_.seed) {
  compile_all();
}

/// The shares that a level sheds, by class, budget and whether the group has a primary: a verdict is one
/// look-up.
void Levels::compile(const Level& level, std::vector<Cell>& table, std::vector<TenantShed>* tenants) const {
  table.assign(service_.classes.size() * 4, Cell{});
  if (tenants) tenants->clear();
  const auto classes = static_cast<std::int32_t>(service_.classes.size());
  for (const auto& s : level.sheds) {
    const auto share = static_cast<float>(s.share);
    if (s.tenant >= 0) {
      if (!tenants) continue;
      if (s.classes.empty()) tenants->push_back({-1, s.tenant, s.only_beyond_budget, share});
      for (const auto cls : s.classes) tenants->push_back({cls, s.tenant, s.only_beyond_budget, share});
      continue;
    }
    for (std::int32_t cls = 0; cls < classes; ++cls) {
      if (!s.classes.empty() && std::find(s.classes.begin(), s.classes.end(), cls) == s.classes.end())
        continue;
      for (const bool beyond : {false, true})
        for (const bool lost : {false, true}) {
          if ((s.only_beyond_budget && !beyond) || (s.only_without_primary && !lost)) continue;
          auto& at = table[cell(cls, beyond, lost)];
          // Of equal shares the one without a condition is the stricter.
          if (share > at.share || (share == at.share && !s.only_hopeless)) at = {share, s.only_hopeless};
        }
    }
  }
}

void Levels::compile_all() {
  compile(pressure_.present(), table_, &tenants_);
  for (auto& [id, g] : groups_) compile(g.faults.present(), g.table, nullptr);
}

/// The caller's place in [0, 1): the same for all its requests while the episode lasts, so that the same
/// callers are shed, a retry meets the same answer, and a larger share sheds those of a smaller one and more.
double Levels::place(const gates::GateRequest& ask) const {
  const auto who = ask.caller != 0 ? ask.caller : ask.request.value;
  return static_cast<double>(XXH3_64bits_withSeed(&who, sizeof who, episode_) >> 11U) * 0x1p-53;
}

gates::Verdict Levels::admit(const gates::GateRequest& ask, Time now) {
  if (ask.class_id.value < 0 || static_cast<std::size_t>(ask.class_id.value) >= counters_.size()) return {};
  auto& counter = counters_[static_cast<std::size_t>(ask.class_id.value)];
  ++counter.asked;
  asks_ += 1, retries_ += ask.retry ? 1 : 0;
  const auto group = groups_.find(ask.group);
  const bool lost = group != groups_.end() && !group->second.primary;
  const auto at = cell(ask.class_id.value, ask.beyond_budget, lost);
  const auto remaining = [&] {
    return group->second.takeover.remaining(std::max(Duration::zero(), now - group->second.lost));
  };
  double fault = 0;
  if (group != groups_.end()) {
    const auto& c = group->second.table[at];
    // One that the router can hold until the primary is there is better served late than refused.
    if (c.share > 0 && !(c.only_hopeless && remaining() < ask.time_left))
      fault = static_cast<double>(c.share);
  }
  double share = static_cast<double>(table_[at].share);
  auto why = gates::Reason::class_shed;
  if (ask.beyond_budget && share > static_cast<double>(table_[cell(ask.class_id.value, false, lost)].share))
    why = gates::Reason::budget_shed;
  for (const auto& t : tenants_)
    if (t.tenant == ask.tenant && (t.cls < 0 || t.cls == ask.class_id.value) &&
        (!t.only_beyond_budget || ask.beyond_budget) && static_cast<double>(t.share) > share)
      share = static_cast<double>(t.share), why = gates::Reason::tenant_shed;
  if (fault > share) share = fault, why = lost ? gates::Reason::no_primary : gates::Reason::class_shed;
  if (share <= 0 || (share < 1 && place(ask) >= share)) return {};
  if (config_.mode != Mode::on) return {};
  gates::Verdict v;
  v.admitted = false;
  v.decided_by = gates::Decider::levels;
  v.reason = why;
  if (why == gates::Reason::no_primary)
    ++counter.refused_without_primary;
  else
    ++counter.shed;
  if (!service_.retry_after_allowed) return v;
  // Until a primary is expected, or as long as a level stays at the least.
  const auto expected =
      why == gates::Reason::no_primary
          ? remaining()
          : pressure_.since() + std::max(pressure_.least_stay(), config_.pressure.apart) - now;
  v.retry_after = spread_pause(expected, service_.max_retry_after, draw());
  return v;
}

void Levels::on_request_end(const gates::GateRequest& ask, const gates::RequestResult& ending, Time now) {
  // What a lost primary brings about is the other axis's: it must not be taken for pressure as well.
  if (const auto it = groups_.find(ask.group); it != groups_.end())
    if (!it->second.primary || (it->second.back && now - ending.elapsed < it->second.found + settle)) return;
  meter_.add(ask.class_id, ending, now);
}

Sample Levels::sample(const Condition& c, const Group* group, Time now) {
  switch (info(c.reading).scope) {
    case Scope::cls:
      return {meter_.read(c.reading, c.cls, now), now, true};
    case Scope::gateway:
      return samples_[static_cast<std::size_t>(c.reading)];
    case Scope::group:
      break;
  }
  if (!group) return {};
  return c.reading == Reading::primary_lost ? group->primary_lost
         : c.reading == Reading::group_out  ? group->out
                                            : group->lagging;
}

/// Null: there are as many as may be watched.
Levels::Group* Levels::watched(GroupId id) {
  auto it = groups_.find(id);
  if (it == groups_.end()) {
    if (groups_.size() >= config_.groups_most) return nullptr;
    it = groups_
             .emplace(id, Group{Ladder(config_.faults),
                                Takeover(config_.takeover_hint),
                                true,
                                {},
                                false,
                                {},
                                {},
                                {},
                                {},
                                {}})
             .first;
    compile(it->second.faults.present(), it->second.table, nullptr);
  }
  return &it->second;
}

void Levels::step(Time now, const GatewayState& state, std::vector<AxisChange>& out) {
  for (const auto& v : state.values)
    if (info(v.reading).scope == Scope::gateway)
      samples_[static_cast<std::size_t>(v.reading)] = {v.value, v.at, true};
  samples_[static_cast<std::size_t>(Reading::retries)] = {asks_ < 1 ? 0 : retries_ / asks_, now, true};
  const double keep =
      1 - static_cast<double>(config_.beat.count()) / static_cast<double>(config_.memory.count());
  asks_ *= std::max(0.0, keep), retries_ *= std::max(0.0, keep);
  std::vector<Change> changes;
  const auto before = pressure_.level();
  pressure_.step(
      now, [&](const Condition& c) { return sample(c, nullptr, now); }, changes);
  if (before == 0 && pressure_.level() > 0) ++episode_;
  if (before != pressure_.level()) compile(pressure_.present(), table_, &tenants_);
  for (auto& c : changes) out.push_back({std::nullopt, std::move(c)});

  // A group that is told no more is forgotten once it is back to normal: its state is bounded by those there
  // are.
  const Time at = state.groups_at;
  for (const auto& told : state.groups) {
    auto* known = watched(told.group);
    if (!known) continue;
    auto& g = *known;
    if (!told.primary && g.primary) g.lost = at;
    if (told.primary && !g.primary) g.takeover.seen(at - g.lost), g.back = true, g.found = at;
    g.primary = told.primary;
    g.primary_lost = {g.primary ? 0.0 : static_cast<double>((at - g.lost).count()) / 1e6, at, true};
    g.out = {told.out, at, true};
    g.lagging = {told.lagging, at, true};
  }
  for (auto it = groups_.begin(); it != groups_.end();) {
    auto& g = it->second;
    const auto at_most = std::lower_bound(state.groups.begin(), state.groups.end(), it->first,
                                          [](const GroupState& s, GroupId id) { return s.group < id; });
    const bool told = at_most != state.groups.end() && at_most->group == it->first;
    if (!told && g.faults.level() == 0 && !g.faults.pinned_until()) {
      it = groups_.erase(it);
      continue;
    }
    changes.clear();
    g.faults.step(
        now, [&](const Condition& c) { return sample(c, &g, now); }, changes);
    if (!changes.empty()) compile(g.faults.present(), g.table, nullptr);
    for (auto& c : changes) out.push_back({it->first, std::move(c)});
    ++it;
  }
}

Snapshot Levels::snapshot(Time now) const {
  Snapshot c;
  c.pressure = pressure_.snapshot(now);
  for (const auto& [id, g] : groups_) {
    GroupSnapshot k;
    k.group = id, k.ladder = g.faults.snapshot(now);
    k.takeover = g.takeover.estimate(), k.takeovers = g.takeover.count();
    if (!g.primary) k.lost = now - g.lost;
    c.groups.push_back(std::move(k));
  }
  for (std::size_t i = 0; i < counters_.size(); ++i)
    c.counters.push_back({service_.classes[i].name, counters_[i].asked, counters_[i].shed,
                          counters_[i].refused_without_primary});
  return c;
}

/// Counts are added: the other process books no more, or this one would have begun at nothing.
void Levels::restore(const Snapshot& told, Time now) {
  pressure_.restore(told.pressure, now);
  for (const auto& k : told.groups) {
    auto* known = watched(k.group);
    if (!known) continue;
    auto& g = *known;
    g.faults.restore(k.ladder, now);
    g.takeover.take(k.takeover, k.takeovers);
    if (k.lost && *k.lost >= Duration::zero()) g.primary = false, g.lost = now - *k.lost;
  }
  for (const auto& k : told.counters)
    for (std::size_t i = 0; i < counters_.size(); ++i)
      if (service_.classes[i].name == k.cls) {
        auto& mine = counters_[i];
        mine.asked += k.asked, mine.shed += k.shed, mine.refused_without_primary += k.refused_without_primary;
      }
  compile_all();
}

bool Levels::pin(std::optional<GroupId> group, const std::string& level, Time until, Time now) {
  if (!group) return pressure_.pin(level, until, now);
  const auto it = groups_.find(*group);
  return it != groups_.end() && it->second.faults.pin(level, until, now);
}

bool Levels::unpin(std::optional<GroupId> group) {
  if (!group) return pressure_.unpin(), true;
  const auto it = groups_.find(*group);
  if (it == groups_.end()) return false;
  it->second.faults.unpin();
  return true;
}

void Levels::reload(Config config, Time now, std::vector<AxisChange>& out) {
  config_ = std::move(config);
  std::vector<Change> changes;
  pressure_.reload(config_.pressure, now, changes);
  for (auto& c : changes) out.push_back({std::nullopt, std::move(c)});
  for (auto& [id, g] : groups_) {
    changes.clear();
    g.faults.reload(config_.faults, now, changes);
    for (auto& c : changes) out.push_back({id, std::move(c)});
  }
  compile_all();
}

void tell_views(const std::vector<GroupView>& views, Time now, GatewayState& state) {
  double hosts = 0, out = 0, replicas = 0, lagging = 0, in_flight = 0, window = 0, waiting = 0;
  const auto share = [](double part, double of) { return of <= 0 ? 0.0 : part / of; };
  for (const auto& v : views) {
    hosts += v.hosts, out += v.unavailable, replicas += v.replicas, lagging += v.lagging;
    in_flight += v.in_flight, window += v.concurrency_limit, waiting += v.waiting;
    state.groups.push_back(
        {v.group, v.has_primary, share(v.unavailable, v.hosts), share(v.lagging, v.replicas)});
  }
  state.groups_at = now;
  for (const auto& [reading, value] : {std::pair{Reading::hosts_out, share(out, hosts)},
                                       {Reading::lagging, share(lagging, replicas)},
                                       {Reading::in_flight, share(in_flight, window)},
                                       {Reading::waiting, share(waiting, std::max(1.0, in_flight))}})
    state.values.push_back({reading, value, now});
}

Changes Levels::changes() const {
  Changes all;
  if (config_.mode != Mode::on) return all;
  const auto take = [&](const Changes& c) {
    // A rate that is stretched on one axis and raised on another: the hosts' relief comes first.
    all.probe_rate = c.probe_rate < 1     ? std::min(all.probe_rate, c.probe_rate)
                     : all.probe_rate < 1 ? all.probe_rate
                                          : std::max(all.probe_rate, c.probe_rate);
    all.retry_budget = std::min(all.retry_budget, c.retry_budget);
    all.pool_size = std::min(all.pool_size, c.pool_size);
    all.spill = std::min(all.spill, c.spill);
  };
  take(pressure_.present().changes);
  for (const auto& [id, g] : groups_) take(g.faults.present().changes);
  return all;
}

namespace {

bool needs_primary(const RequestClass& c) {
  return c.freshness == Freshness::write || c.freshness == Freshness::fresh;
}

std::optional<ConfigIssue> with_axis(std::optional<ConfigIssue> flaw, const char* axis) {
  if (flaw) flaw->where = axis + flaw->where;
  return flaw;
}

}  // namespace

std::optional<ConfigIssue> find_config_issue(const Config& config, const ServiceInfo& service) {
  if (auto flaw = with_axis(find_config_issue(config.pressure, Scope::gateway), "/pressure")) return flaw;
  if (auto flaw = with_axis(find_config_issue(config.faults, Scope::group), "/faults")) return flaw;
  for (std::size_t i = 0; i < config.faults.levels.size(); ++i)
    for (std::size_t j = 0; j < config.faults.levels[i].sheds.size(); ++j)
      if (config.faults.levels[i].sheds[j].tenant >= 0)
        return ConfigIssue{"/faults/" + std::to_string(i) + "/shed/" + std::to_string(j) + "/tenant",
                           "a fault strikes all tenants of a group alike"};
  // Writes within their budget are the last that pressure may give up.
  const auto classes = service.classes.size();
  for (std::size_t i = 0; i < config.pressure.levels.size(); ++i) {
    std::vector<double> share(classes, 0);
    for (const auto& s : config.pressure.levels[i].sheds) {
      if (s.only_beyond_budget || s.tenant >= 0) continue;
      for (std::size_t c = 0; c < classes; ++c)
        if (s.classes.empty() ||
            std::find(s.classes.begin(), s.classes.end(), static_cast<std::int32_t>(c)) != s.classes.end())
          share[c] = std::max(share[c], s.share);
    }
    bool all_others = true, some_write = false;
    for (std::size_t c = 0; c < classes; ++c)
      if (service.classes[c].freshness == Freshness::write)
        some_write |= share[c] > 0;
      else
        all_others &= share[c] >= 1;
    if (some_write && !all_others)
      return ConfigIssue{"/pressure/" + std::to_string(i) + "/shed",
                         "writes within their budget are shed before everything else is"};
  }
  return std::nullopt;
}

Config default_config(const ServiceInfo& service) {
  constexpr double slack = 0.6;  // of the hosts' windows in use, at which a level may be left
  Config c;
  std::vector<std::int32_t> any, reads, current;
  for (std::size_t i = 0; i < service.classes.size(); ++i) {
    const auto id = static_cast<std::int32_t>(i);
    const auto& k = service.classes[i];
    if (needs_primary(k))
      current.push_back(id);
    else if (k.freshness == Freshness::any)
      any.push_back(id);
    else
      reads.push_back(id);
  }
  const auto ms = [](std::int64_t n) { return Duration(n * 1000); };
  // Pressure is told by what matters most: by how those that need the primary fare. The way out asks for
  // slack at the hosts as well: what a level relieves looks well for as long as the level lasts.
  const auto rule = [&](bool all, double refused, double late, Duration hold, bool above) {
    Rule r;
    r.all = all;
    for (const auto cls : current) {
      r.conditions.push_back({Reading::refused, cls, above, refused, hold});
      r.conditions.push_back({Reading::late, cls, above, late, hold});
    }
    if (all) r.conditions.push_back({Reading::in_flight, -1, false, slack, hold});
    return r;
  };
  // Heavier pressure is believed sooner: the bound on changes would hold the first level reached for ten
  // seconds.
  const auto level = [&](const char* name, double refused, double late, Duration hold) {
    Level l;
    l.name = name;
    l.enter = rule(false, refused, late, hold, true);
    l.exit = rule(true, refused / 3, late / 3, ms(5000), false);
    l.stay = ms(10000);
    l.changes.spill = 0;
    // What comes beyond a tenant's budget is the first to go: it is what the others' promises are kept from.
    l.sheds.push_back({{}, -1, true, false, false, 1});
    return l;
  };
  c.pressure.levels.push_back({"normal", {}, {}, {}, {}, {}});
  if (!current.empty()) {
    auto relief = level("relief", 0.08, 0.10, ms(2500));
    relief.changes.spill = 0.2;  // measured: docs/levels.md
    c.pressure.levels.push_back(std::move(relief));
    auto trim = level("trim", 0.15, 0.25, ms(1500));
    auto shed = level("shed-history", 0.25, 0.35, ms(1500));
    auto protect = level("protect-gate", 0.40, 0.50, ms(1000));
    auto survive = level("survive", 0.60, 0.70, ms(500));
    if (!any.empty()) {
      trim.sheds.push_back({any, -1, false, false, false, 0.5});
      for (auto* l : {&shed, &protect, &survive}) l->sheds.push_back({any, -1, false, false, false, 1});
    }
    if (!reads.empty()) {
      protect.sheds.push_back({reads, -1, false, false, false, 0.5});
      survive.sheds.push_back({reads, -1, false, false, false, 1});
    }
    shed.changes.retry_budget = 0.5;
    protect.changes.retry_budget = 0.25;
    survive.changes.retry_budget = 0;
    for (auto* l : {&trim, &shed, &protect, &survive}) c.pressure.levels.push_back(std::move(*l));
  }
  c.faults.levels.push_back({"normal", {}, {}, {}, {}, {}});
  if (!current.empty()) {
    Level l;
    l.name = "no-writes";
    l.enter = {false, {{Reading::primary_lost, -1, true, 0.3, {}}}};
    l.exit = {true, {{Reading::primary_lost, -1, false, 0, ms(2000)}}};
    l.stay = ms(10000);
    l.sheds.push_back({current, -1, false, true, true, 1});
    c.faults.levels.push_back(l);
  }
  return c;
}

}  // namespace cedarring::levels
