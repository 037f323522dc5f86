#include "contracts/contracts.h"

#include <algorithm>
#include <cmath>
#include <utility>

namespace cedarring::contracts {
namespace {

// The cost of a request of a class, learnt from the times of its answers.
constexpr double initial_cost_divisor = 4;     // before any answer the cost is latency target / 4
constexpr double cost_gain = 0.02;             // weight of one answer that is quicker than the learnt cost
constexpr double slow_answer_gain_ratio = 20;  // slower answers weigh this many times less
constexpr double max_cost_ratio = 3;           // an answer counts as at most this many learnt costs
constexpr double min_answer_ms = 0.1;          // quicker answers count as this, so that a cost stays above 0

// Allocation of contended resources. Capacities are costs a second: milliseconds of host work a second.
constexpr double resource_use_decay_time = 1;  // seconds: time constant of demand and served cost
constexpr double min_capacity = 1;             // smallest limit on the capacity within contracts
constexpr double headroom = 1.05;              // factor on the served cost: the first limit of a resource
constexpr double capacity_growth = 1.05;       // factor for each step without contention
constexpr double capacity_cut = 0.9;           // factor for each step in which the router refused requests
constexpr double lend_cut = 0.5;               // factor for each step with contention
constexpr double lend_growth = 1.02;           // factor for each step without contention
constexpr double min_lend_share = 0.02;  // lending less than this share of the served cost counts as none
// Each step without contention adds min_lend_share / lend_restart_ratio of the served cost to the lent
// capacity, so that lending also grows from zero.
constexpr double lend_restart_ratio = 10;
// Seconds of an allocation that may come at once: lent capacity returns to its owner within this time.
constexpr double resource_use_burst = 0.1;
// A limit is removed once there was no contention for this time (2 s) and the demand is below the limit.
constexpr Duration relief_period{2'000'000};
// A use is removed after this time (10 s) without a request.
constexpr Duration resource_use_retention{10'000'000};
constexpr std::size_t max_resource_uses = 65536;  // uses tracked; further uses are not limited
// A resource is contended once its requests in flight reach this share of its concurrency limit.
constexpr double contended_utilization = 0.95;

constexpr Duration min_jitter_width{100'000};    // 100 ms
constexpr double min_share_time_constant = 0.1;  // seconds
constexpr double min_window_seconds = 0.001;     // avoids a division by zero

// Upper bounds of values accepted from another process.
constexpr double max_snapshot_cost = 1e9;            // milliseconds
constexpr double max_snapshot_demand = 1e9;          // requests a second
constexpr double max_snapshot_resource_cost = 1e12;  // milliseconds of host work, decaying

// Constants of SplitMix64, used to spread the bits of a key.
constexpr std::uint64_t splitmix_increment = 0x9e3779b97f4a7c15ULL;
constexpr std::uint64_t splitmix_multiplier = 0xbf58476d1ce4e5b9ULL;

double seconds(Duration duration) { return static_cast<double>(duration.count()) / 1e6; }

/// The time to suggest to a refused client: `wait`, plus jitter of the same length but no less than
/// `min_jitter_width`, so that clients that were refused together do not return together. `draw`, uniform in
/// 0 to 1, selects a point of the jitter. The result is at most `max`; where less than half of the jitter
/// would fit below `max`, the time begins before `wait`, so that half of it fits.
Duration jittered_pause(Duration wait, Duration max, double draw) {
  const auto width = std::max(std::min(wait, max), min_jitter_width);
  const auto from = std::clamp(wait, Duration::zero(), std::max(Duration::zero(), max - width / 2));
  return std::min(max, from + Duration(static_cast<std::int64_t>(static_cast<double>(width.count()) * draw)));
}

}  // namespace

std::size_t Contracts::ResourceUseHash::operator()(const ResourceUseKey& key) const {
  auto hash = static_cast<std::uint64_t>(key.group) * splitmix_increment;
  hash ^= (static_cast<std::uint64_t>(static_cast<std::uint32_t>(key.team)) << 1U | (key.primary ? 1U : 0U)) +
          (hash >> 29U);
  return hash * splitmix_multiplier;
}

Contracts::Contracts(Config config, ServiceInfo service)
    : service_(std::move(service)), random_(service_.seed) {
  for (const auto& request_class : service_.classes)
    costs_.push_back(std::max(
        1.0, static_cast<double>(request_class.latency_target.count()) / 1000 / initial_cost_divisor));
  reload(std::move(config), Time{});
}

bool Contracts::needs_primary(std::size_t class_index) const {
  const auto freshness = service_.classes[class_index].freshness;
  return freshness == Freshness::write || freshness == Freshness::fresh;
}

std::int32_t Contracts::team_of(std::int32_t tenant) const {
  return tenant >= 0 && static_cast<std::size_t>(tenant) < team_of_tenant_.size()
             ? team_of_tenant_[static_cast<std::size_t>(tenant)]
             : -1;
}

const Terms* Contracts::terms_of(std::size_t team, std::size_t class_index, bool closure) const {
  const auto& terms = config_.teams[team].classes[class_index];
  if (!terms) return config_.default_terms ? &*config_.default_terms : nullptr;
  return closure && terms->closure ? &*terms->closure : &terms->usual;
}

bool Contracts::in_closure(Time now) const {
  const auto after =
      std::upper_bound(config_.closures.begin(), config_.closures.end(), now,
                       [](Time time, const ClosureWindow& window) { return time < window.from; });
  return after != config_.closures.begin() && now < std::prev(after)->to;
}

LedgerEntry Contracts::total(std::size_t team, std::size_t class_index) const {
  auto sum = records_at(team, class_index).closed_windows_sum;
  return sum += records_at(team, class_index).open_window;
}

void Contracts::reload(Config config, Time now) {
  const auto classes = service_.classes.size();
  std::vector<Cell> cells(config.teams.size() * classes);
  std::vector<TeamState> teams(config.teams.size());
  std::vector<std::int32_t> team_of_tenant(service_.tenants, -1);
  std::vector<bool> added(config.teams.size(), false);
  const double even_share = 1.0 / std::max(1U, config.gateways);
  for (std::size_t team_index = 0; team_index < config.teams.size(); ++team_index) {
    teams[team_index].gateway_share = even_share;
    for (const auto tenant : config.teams[team_index].tenants)
      if (tenant >= 0 && static_cast<std::size_t>(tenant) < team_of_tenant.size())
        team_of_tenant[static_cast<std::size_t>(tenant)] = static_cast<std::int32_t>(team_index);
    // A team that keeps its name keeps its limiters and records.
    const auto old = std::find_if(config_.teams.begin(), config_.teams.end(), [&](const Team& team) {
      return team.name == config.teams[team_index].name;
    });
    if (old == config_.teams.end()) {
      added[team_index] = true;
      continue;
    }
    const auto from = static_cast<std::size_t>(old - config_.teams.begin());
    teams[team_index] = teams_[from];
    for (std::size_t class_index = 0; class_index < classes; ++class_index)
      cells[team_index * classes + class_index] = std::move(cell_at(from, class_index));
  }
  // Resource uses are keyed by the old team indices, which may now belong to other teams. Open requests are
  // forgotten: what they were charged on admission is not given back, and their ends do not count as ends
  // within the contract.
  resource_uses_.clear();
  resources_.clear();
  open_requests_.clear();
  config_ = std::move(config);
  cells_ = std::move(cells);
  teams_ = std::move(teams);
  team_of_tenant_ = std::move(team_of_tenant);
  // During a handover each of the two processes spends its own share of an added team's rates.
  for (std::size_t team_index = 0; team_index < teams_.size(); ++team_index)
    for (std::size_t class_index = 0; class_index < classes; ++class_index)
      if (added[team_index])
        cell_at(team_index, class_index).process_share =
            handover::budget_share(stage_, burst_of(team_index, class_index));
  update_rates(now);
}

double Contracts::burst_of(std::size_t team, std::size_t class_index) const {
  const auto* terms = terms_of(team, class_index, closure_);
  return terms ? std::max(1.0, terms->burst * teams_[team].gateway_share) : 1;
}

/// The rate in force at this gateway: the contracted rate times the gateway's share. `share` is this
/// process's share of the gateway's rate during a handover.
Rate Contracts::rate_of(std::size_t team, std::size_t class_index, double share) const {
  const auto* terms = terms_of(team, class_index, closure_);
  return terms
             ? Rate::of(terms->rate * teams_[team].gateway_share * share, burst_of(team, class_index) * share)
             : Rate{};
}

void Contracts::update_rates(Time now) {
  closure_ = in_closure(now);
  for (std::size_t team_index = 0; team_index < teams_.size(); ++team_index)
    for (std::size_t class_index = 0; class_index < service_.classes.size(); ++class_index)
      cell_at(team_index, class_index).rate =
          rate_of(team_index, class_index, cell_at(team_index, class_index).process_share);
}

/// A share of the team's own demand at this gateway, with a small burst. Never charged to another team.
Rate Contracts::retry_rate(std::size_t team, handover::HandoverStage stage) const {
  double demand = 0;
  for (std::size_t class_index = 0; class_index < service_.classes.size(); ++class_index)
    demand += cell_at(team, class_index).demand;
  const double share = handover::budget_share(stage, config_.retry_burst);
  return Rate::of(std::max(1.0, demand * config_.retry_share) * share, config_.retry_burst * share);
}

CellSnapshot Contracts::cell_counts(std::size_t team, std::size_t class_index) const {
  CellSnapshot snapshot;
  const auto& records = records_at(team, class_index);
  snapshot.open_window = records.open_window;
  snapshot.closed_windows_sum = records.closed_windows_sum;
  snapshot.times = records.times.filled();
  return snapshot;
}

Snapshot Contracts::split(Time now) {
  using handover::HandoverStage;
  stage_ = HandoverStage::outgoing;
  Snapshot snapshot;
  if (started_) snapshot.open_window_age = now - window_start_;
  for (std::size_t class_index = 0; class_index < service_.classes.size(); ++class_index)
    snapshot.costs[service_.classes[class_index].name] = costs_[class_index];
  for (std::size_t team_index = 0; team_index < teams_.size(); ++team_index) {
    auto& team = snapshot.teams[config_.teams[team_index].name];
    team.gateway_share = teams_[team_index].gateway_share;
    team.retry_debt = teams_[team_index].retry_limiter.debt(now);
    for (std::size_t class_index = 0; class_index < service_.classes.size(); ++class_index) {
      auto& cell = cell_at(team_index, class_index);
      auto& copy = team.classes[service_.classes[class_index].name] = cell_counts(team_index, class_index);
      cell.records.reset();
      copy.debt = cell.limiter.debt(now);
      copy.demand = cell.demand;
      copy.share = handover::budget_share(HandoverStage::incoming, burst_of(team_index, class_index));
      cell.process_share = handover::budget_share(HandoverStage::outgoing, burst_of(team_index, class_index));
    }
  }
  for (const auto& [key, resource] : resources_)
    snapshot.resources.push_back(
        {GroupId{key.first}, key.second, resource.served, resource.capacity, resource.lent_capacity});
  for (const auto& [key, use] : resource_uses_)
    snapshot.resource_uses.push_back({GroupId{key.group},
                                      config_.teams[static_cast<std::size_t>(key.team)].name, key.primary,
                                      use.demand_within, use.demand_beyond});
  update_rates(now);
  return snapshot;
}

void Contracts::suspend_spending(Time now) {
  stage_ = handover::HandoverStage::waiting;
  for (auto& cell : cells_) cell.process_share = 0;
  update_rates(now);
}

void Contracts::assume_own_share(Time now) {
  stage_ = handover::HandoverStage::incoming;
  for (std::size_t team_index = 0; team_index < teams_.size(); ++team_index)
    for (std::size_t class_index = 0; class_index < service_.classes.size(); ++class_index)
      cell_at(team_index, class_index).process_share =
          handover::budget_share(stage_, burst_of(team_index, class_index));
  update_rates(now);
  for (std::size_t team_index = 0; team_index < teams_.size(); ++team_index)
    teams_[team_index].retry_limiter.exhaust(retry_rate(team_index, stage_), now);
  for (auto& cell : cells_) cell.limiter.exhaust(cell.rate, now);
}

void Contracts::restore(const Snapshot& snapshot, Time now) {
  assume_own_share(now);  // limiters that the snapshot does not mention start without a burst
  const auto sanitized = [](double value, double max) { return value >= 0 && value <= max ? value : 0; };
  for (std::size_t class_index = 0; class_index < service_.classes.size(); ++class_index)
    if (const auto it = snapshot.costs.find(service_.classes[class_index].name);
        it != snapshot.costs.end() && sanitized(it->second, max_snapshot_cost) > 0)
      costs_[class_index] = it->second;
  for (std::size_t team_index = 0; team_index < teams_.size(); ++team_index) {
    const auto team = snapshot.teams.find(config_.teams[team_index].name);
    if (team == snapshot.teams.end()) continue;
    if (sanitized(team->second.gateway_share, 1) > 0)
      teams_[team_index].gateway_share = team->second.gateway_share;
    teams_[team_index].retry_limiter.set_debt(team->second.retry_debt, now);
    for (std::size_t class_index = 0; class_index < service_.classes.size(); ++class_index) {
      const auto it = team->second.classes.find(service_.classes[class_index].name);
      if (it == team->second.classes.end()) continue;
      auto& cell = cell_at(team_index, class_index);
      cell.process_share = sanitized(it->second.share, 1);
      cell.demand = sanitized(it->second.demand, max_snapshot_demand);
      cell.limiter.set_debt(it->second.debt, now);
    }
  }
  for (const auto& received : snapshot.resources) {
    auto& resource = resources_[{received.group.value, received.primary}];
    resource.served = sanitized(received.served, max_snapshot_resource_cost);
    resource.capacity = received.capacity;
    resource.lent_capacity = received.lent_capacity;
    resource.last_contended = now;
  }
  for (const auto& received : snapshot.resource_uses) {
    const auto team = std::find_if(config_.teams.begin(), config_.teams.end(),
                                   [&](const Team& candidate) { return candidate.name == received.team; });
    if (team == config_.teams.end() || resource_uses_.size() >= max_resource_uses) continue;
    const auto team_index = static_cast<std::int32_t>(team - config_.teams.begin());
    auto& use = resource_uses_[{received.group.value, team_index, received.primary}];
    use.demand_within = sanitized(received.within, max_snapshot_resource_cost);
    use.demand_beyond = sanitized(received.beyond, max_snapshot_resource_cost);
    use.last_used = now;
  }
  if (snapshot.open_window_age && *snapshot.open_window_age >= Duration::zero() &&
      *snapshot.open_window_age < config_.window) {
    started_ = true;
    last_step_ = now;
    window_start_ = now - *snapshot.open_window_age;
  }
  merge_records(snapshot);
  update_rates(now);
}

void Contracts::merge_records(const Snapshot& snapshot) {
  for (std::size_t team_index = 0; team_index < teams_.size(); ++team_index) {
    const auto team = snapshot.teams.find(config_.teams[team_index].name);
    if (team == snapshot.teams.end()) continue;
    for (std::size_t class_index = 0; class_index < service_.classes.size(); ++class_index) {
      const auto it = team->second.classes.find(service_.classes[class_index].name);
      const auto& received = it == team->second.classes.end() ? CellSnapshot{} : it->second;
      if (received.open_window.asked + received.open_window.ended() + received.closed_windows_sum.asked +
              received.closed_windows_sum.ended() ==
          0)
        continue;
      auto& records = records_of(cell_at(team_index, class_index));
      records.open_window += received.open_window;
      records.closed_windows_sum += received.closed_windows_sum;
      records.times.add(received.times);
    }
  }
}

Snapshot Contracts::records_since_split() const {
  Snapshot snapshot;
  for (std::size_t team_index = 0; team_index < teams_.size(); ++team_index)
    for (std::size_t class_index = 0; class_index < service_.classes.size(); ++class_index)
      if (cell_at(team_index, class_index).records)
        snapshot.teams[config_.teams[team_index].name].classes[service_.classes[class_index].name] =
            cell_counts(team_index, class_index);
  return snapshot;
}

void Contracts::resume_full_spending(Time now) {
  using handover::HandoverStage;
  const auto previous_stage = std::exchange(stage_, HandoverStage::single);
  if (previous_stage == HandoverStage::single) return;
  for (std::size_t team_index = 0; team_index < teams_.size(); ++team_index) {
    teams_[team_index].retry_limiter.restore_full_rate(
        retry_rate(team_index, HandoverStage::single),
        handover::budget_share(previous_stage, config_.retry_burst), now);
    for (std::size_t class_index = 0; class_index < service_.classes.size(); ++class_index) {
      auto& cell = cell_at(team_index, class_index);
      cell.limiter.restore_full_rate(rate_of(team_index, class_index, 1),
                                     std::exchange(cell.process_share, 1), now);
    }
  }
  update_rates(now);
}

gates::Verdict Contracts::refuse(gates::Reason reason, Duration wait) {
  gates::Verdict verdict;
  verdict.admitted = false;
  verdict.decided_by = gates::Decider::contracts;
  verdict.reason = reason;
  if (service_.retry_after_allowed)
    verdict.retry_after =
        jittered_pause(wait, service_.max_retry_after, static_cast<double>(random_()) * 0x1p-32);
  return verdict;
}

gates::Verdict Contracts::admit(const gates::GateRequest& request, Time now) {
  now = std::max(now, last_step_);
  const auto team = team_of(request.tenant);
  if (config_.mode == Mode::off || team < 0 || request.class_id.value < 0 ||
      static_cast<std::size_t>(request.class_id.value) >= service_.classes.size())
    return {};
  const auto team_index = static_cast<std::size_t>(team);
  const auto class_index = static_cast<std::size_t>(request.class_id.value);
  auto& cell = cell_at(team_index, class_index);
  auto& records = records_of(cell);
  ++records.open_window.asked;
  cell.demand += 1;
  const auto* terms = terms_of(team_index, class_index, closure_);
  const bool within = !terms || cell.limiter.conforms(cell.rate, now);
  ++(within ? records.open_window.within : records.open_window.beyond);
  const double cost = costs_[class_index];
  const ResourceUseKey key{request.group.value, team, needs_primary(class_index)};
  auto use_it = resource_uses_.find(key);
  if (use_it == resource_uses_.end() && resource_uses_.size() < max_resource_uses)
    use_it = resource_uses_.emplace(key, ResourceUse{}).first;
  if (use_it != resource_uses_.end()) {
    use_it->second.last_used = now;
    (within ? use_it->second.demand_within : use_it->second.demand_beyond) += cost;
  }
  gates::Verdict verdict;
  verdict.beyond_contract = !within;
  if (config_.mode == Mode::enforce) {
    if (!within && terms->beyond == BeyondPolicy::refuse)
      return refuse(gates::Reason::over_contract, cell.limiter.wait(cell.rate, now));
    if (use_it != resource_uses_.end()) {
      auto& use = use_it->second;
      const double limit = within ? use.limit_within : use.limit_beyond;
      auto& limiter = within ? use.limiter_within : use.limiter_beyond;
      if (limit >= 0 && (within || terms->beyond == BeyondPolicy::borrow)) {
        const auto rate = Rate::of(limit, std::max(cost, limit * resource_use_burst));
        if (!limiter.conforms(rate, now))
          return refuse(within ? gates::Reason::contention : gates::Reason::over_contract,
                        limiter.wait(rate, now));
        limiter.charge(rate, cost, now);
      }
    }
  }
  if (within && terms) cell.limiter.charge(cell.rate, 1, now);
  records.open_window.cost += cost;
  if (!within) records.open_window.borrowed += cost;
  open_requests_[request.request.value] = {cost, !within};
  return verdict;
}

bool Contracts::may_retry(const gates::GateRequest& request, Time now) {
  const auto team = team_of(request.tenant);
  if (config_.mode != Mode::enforce || team < 0) return true;
  const auto team_index = static_cast<std::size_t>(team);
  const auto rate = retry_rate(team_index, stage_);
  if (!teams_[team_index].retry_limiter.conforms(rate, now)) return false;
  teams_[team_index].retry_limiter.charge(rate, 1, now);
  return true;
}

void Contracts::on_request_end(const gates::GateRequest& request, const gates::RequestResult& result,
                               Time /*now*/) {
  const auto team = team_of(request.tenant);
  if (config_.mode == Mode::off || team < 0 || request.class_id.value < 0 ||
      static_cast<std::size_t>(request.class_id.value) >= service_.classes.size())
    return;
  const auto team_index = static_cast<std::size_t>(team);
  const auto class_index = static_cast<std::size_t>(request.class_id.value);
  auto& cell = cell_at(team_index, class_index);
  auto& records = records_of(cell);
  const auto* terms = terms_of(team_index, class_index, closure_);
  const auto it = open_requests_.find(request.request.value);
  const bool admitted = it != open_requests_.end();
  const bool beyond = admitted && it->second.beyond;
  const double charged = admitted ? it->second.cost : 0;
  if (admitted) open_requests_.erase(it);
  const auto latency_target = terms && terms->latency_target > Duration::zero()
                                  ? terms->latency_target
                                  : service_.classes[class_index].latency_target;
  bool in_time = false;
  switch (result.end) {
    case gates::RequestEnd::served:
      in_time = result.elapsed <= latency_target;
      ++(in_time ? records.open_window.in_time : records.open_window.late);
      records.times.add(result.elapsed);
      break;
    case gates::RequestEnd::failed:
      ++records.open_window.failed;
      break;
    case gates::RequestEnd::abandoned:
      ++records.open_window.abandoned;
      break;
    case gates::RequestEnd::refused:
      if (result.decided_by == gates::Decider::levels)
        ++records.open_window.refused_levels;
      else if (result.decided_by != gates::Decider::contracts)
        ++records.open_window.refused_router;
      else if (result.reason == gates::Reason::contention)
        ++records.open_window.refused_contention;
      else
        ++records.open_window.refused_contract;
      break;
  }
  // The gateway's promise covers requests within the contract, including those refused under contention. A
  // client that leaves by itself has not waited for the promised time.
  if (((admitted && !beyond) || result.reason == gates::Reason::contention) &&
      result.end != gates::RequestEnd::abandoned) {
    ++records.open_window.within_ended;
    if (in_time) ++records.open_window.within_in_time;
  }
  if (!admitted) return;
  auto& resource = resources_[{request.group.value, needs_primary(class_index)}];
  if (result.end == gates::RequestEnd::refused && result.decided_by == gates::Decider::router)
    ++resource.router_refusals;
  if (result.end == gates::RequestEnd::served) {
    // The time of an answer above that of the quick ones is queueing, not work. The learnt cost is a low
    // expectile of answer times, which a queue in front of the hosts moves little.
    const double answer_ms = std::max(min_answer_ms, static_cast<double>(result.elapsed.count()) / 1000);
    costs_[class_index] +=
        (answer_ms < costs_[class_index] ? cost_gain : cost_gain / slow_answer_gain_ratio) *
        (std::min(answer_ms, costs_[class_index] * max_cost_ratio) - costs_[class_index]);
    resource.served += charged;
  } else if (!result.ran) {
    // A team does not pay for a request that did not run, see RequestResult::ran.
    if (!beyond && terms) cell.limiter.refund(cell.rate, 1);
    records.open_window.cost -= charged;
    if (beyond) records.open_window.borrowed -= charged;
  }
}

std::vector<ResourceLoad> resource_loads(const std::vector<GroupView>& views) {
  std::vector<ResourceLoad> loads;
  for (const auto& view : views) {
    const auto contended = [](int waiting, int in_flight, double concurrency_limit) {
      return waiting > 0 || (concurrency_limit > 0 && in_flight >= contended_utilization * concurrency_limit);
    };
    loads.push_back(
        {view.group, true,
         contended(view.primary_waiting, view.primary_in_flight, view.primary_concurrency_limit)});
    loads.push_back({view.group, false,
                     contended(view.waiting - view.primary_waiting, view.in_flight - view.primary_in_flight,
                               view.concurrency_limit - view.primary_concurrency_limit)});
  }
  return loads;
}

void Contracts::step(Time now, const std::vector<ResourceLoad>& loads, std::vector<Breach>& breaches,
                     std::vector<ClosedWindow>* closed_windows) {
  if (!started_) {
    started_ = true;
    window_start_ = now;
    last_step_ = now;
  }
  now = std::max(now, last_step_);
  const double passed = seconds(now - last_step_);
  last_step_ = now;
  if (passed > 0) {
    const double decay = std::exp(-passed / resource_use_decay_time);
    // A gateway's share of a team's rates is even until more than that arrives here for a while. A gateway
    // does not know what arrives at the others, so its share never exceeds `max_share_multiple` even shares:
    // all gateways together exceed the contract by at most that factor.
    const double even_share = 1.0 / std::max(1U, config_.gateways);
    const double max_share = std::min(1.0, even_share * config_.max_share_multiple);
    const double gain =
        1 - std::exp(-passed / std::max(min_share_time_constant, seconds(config_.share_time_constant)));
    for (std::size_t team_index = 0; team_index < teams_.size(); ++team_index) {
      double demanded_cost = 0;
      double promised_cost = 0;
      for (std::size_t class_index = 0; class_index < service_.classes.size(); ++class_index) {
        auto& cell = cell_at(team_index, class_index);
        cell.demand *= decay;
        if (const auto* terms = terms_of(team_index, class_index, closure_)) {
          demanded_cost += cell.demand * costs_[class_index];
          promised_cost += terms->rate * costs_[class_index];
        }
      }
      const double target =
          promised_cost > 0
              ? std::clamp(demanded_cost / resource_use_decay_time / promised_cost, even_share, max_share)
              : even_share;
      teams_[team_index].gateway_share += (target - teams_[team_index].gateway_share) * gain;
    }
    allocate_resources(now, loads);
    for (auto it = resource_uses_.begin(); it != resource_uses_.end();) {
      it->second.demand_within *= decay;
      it->second.demand_beyond *= decay;
      it = now - it->second.last_used > resource_use_retention ? resource_uses_.erase(it) : std::next(it);
    }
    for (auto& [key, resource] : resources_) resource.served *= decay;
  }
  update_rates(now);
  if (stage_ != handover::HandoverStage::outgoing && now - window_start_ >= config_.window)
    close_window(now, breaches, closed_windows);
}

/// Weighted max-min fairness over teams: first for demand within contracts, then, out of what is lent, for
/// demand beyond them.
void Contracts::allocate_resources(Time now, const std::vector<ResourceLoad>& loads) {
  std::map<std::pair<std::int64_t, bool>, std::vector<std::pair<ResourceUse*, std::int32_t>>>
      uses_by_resource;
  for (auto& [key, use] : resource_uses_)
    uses_by_resource[{key.group, key.primary}].emplace_back(&use, key.team);
  for (const auto& load : loads) {
    auto& resource = resources_[{load.group.value, load.primary}];
    auto& uses = uses_by_resource[{load.group.value, load.primary}];
    std::sort(uses.begin(), uses.end(), [](const auto& a, const auto& b) { return a.second < b.second; });
    const double served = resource.served / resource_use_decay_time;
    // Admitted requests that the router refuses, or a full concurrency limit, show that more is admitted than
    // the resource can serve. Lending is cut first, by half at each step, and recovers slowly. Only once next
    // to nothing is lent is the capacity for demand within contracts limited: to a little more than the
    // resource serves, and less while the router refuses requests.
    const bool refused = std::exchange(resource.router_refusals, 0) > 0;
    const bool overloaded = refused || load.contended;
    double demand_within = 0;
    double demand_beyond = 0;
    for (const auto& [use, team] : uses) {
      demand_within += use->demand_within / resource_use_decay_time;
      demand_beyond += use->demand_beyond / resource_use_decay_time;
    }
    const bool lending =
        (resource.lent_capacity < 0 ? demand_beyond : std::min(resource.lent_capacity, demand_beyond)) >
        min_lend_share * served;
    if (overloaded) {
      resource.last_contended = now;
      resource.lent_capacity =
          (resource.lent_capacity < 0 ? demand_beyond : std::min(resource.lent_capacity, demand_beyond)) *
          lend_cut;
    } else if (resource.lent_capacity >= 0) {
      resource.lent_capacity =
          resource.lent_capacity * lend_growth + served * min_lend_share / lend_restart_ratio;
      if (now - resource.last_contended > relief_period && demand_beyond < resource.lent_capacity)
        resource.lent_capacity = -1;
    }
    if (overloaded && !lending) {
      if (resource.capacity < 0)
        resource.capacity = std::max(min_capacity, served * headroom);
      else if (refused)
        resource.capacity = std::max({min_capacity, served, resource.capacity * capacity_cut});
      else
        resource.capacity = std::max(resource.capacity, served);
    } else if (resource.capacity >= 0) {
      resource.capacity *= capacity_growth;
      if (now - resource.last_contended > relief_period && demand_within < resource.capacity)
        resource.capacity = -1;
    }
    std::vector<Claim> claims;
    for (const auto& [use, team] : uses) {
      double weight = 0;
      for (std::size_t class_index = 0; class_index < service_.classes.size(); ++class_index)
        if (needs_primary(class_index) == load.primary)
          if (const auto* terms = terms_of(static_cast<std::size_t>(team), class_index, closure_))
            weight = std::max(weight, terms->weight);
      claims.push_back({use->demand_within / resource_use_decay_time, weight > 0 ? weight : 1, 0});
    }
    const auto set_limits = [&](double capacity, double ResourceUse::*limit) {
      if (capacity >= 0) allocate_max_min(claims, capacity);
      for (std::size_t i = 0; i < uses.size(); ++i)
        uses[i].first->*limit = capacity < 0 || claims[i].share >= claims[i].demand ? -1 : claims[i].share;
    };
    set_limits(resource.capacity, &ResourceUse::limit_within);
    for (std::size_t i = 0; i < uses.size(); ++i)
      claims[i].demand = uses[i].first->demand_beyond / resource_use_decay_time;
    set_limits(resource.lent_capacity, &ResourceUse::limit_beyond);
  }
}

void Contracts::close_window(Time now, std::vector<Breach>& breaches,
                             std::vector<ClosedWindow>* closed_windows) {
  for (std::size_t team_index = 0; team_index < teams_.size(); ++team_index)
    for (std::size_t class_index = 0; class_index < service_.classes.size(); ++class_index) {
      if (!cell_at(team_index, class_index).records) continue;
      auto& records = *cell_at(team_index, class_index).records;
      auto& current = records.open_window;
      if (const auto* terms = terms_of(team_index, class_index, closure_)) {
        const double window_seconds = std::max(min_window_seconds, seconds(now - window_start_));
        if (current.beyond > 0)
          breaches.push_back({team_index, class_index, Side::team, window_start_, now, current.beyond,
                              terms->rate * teams_[team_index].gateway_share,
                              static_cast<double>(current.asked) / window_seconds, closure_});
        const auto ended = current.within_ended;
        const double in_time_share =
            ended > 0 ? static_cast<double>(current.within_in_time) / static_cast<double>(ended) : 1;
        if (in_time_share < terms->in_time_share)
          breaches.push_back({team_index, class_index, Side::gateway, window_start_, now,
                              ended - current.within_in_time, terms->in_time_share, in_time_share, closure_});
      }
      if (closed_windows && current.asked > 0)
        closed_windows->push_back({team_index, class_index, window_start_, now, current,
                                   records.times.quantile(0.5), records.times.quantile(0.99)});
      records.closed_windows_sum += current;
      current = {};
    }
  window_start_ = now;
}

std::optional<ConfigIssue> find_config_issue(const Config& config, const ServiceInfo& service) {
  std::vector<std::int32_t> owner(service.tenants, -1);
  for (std::size_t team_index = 0; team_index < config.teams.size(); ++team_index) {
    const auto path = "/teams/" + std::to_string(team_index);
    const auto& team = config.teams[team_index];
    for (std::size_t other = 0; other < team_index; ++other)
      if (config.teams[other].name == team.name)
        return ConfigIssue{path + "/name", "the name is used by another team"};
    for (const auto tenant : team.tenants) {
      if (tenant < 0 || static_cast<std::size_t>(tenant) >= owner.size())
        return ConfigIssue{path + "/tenants", "a tenant is not in the settings"};
      if (owner[static_cast<std::size_t>(tenant)] >= 0)
        return ConfigIssue{path + "/tenants", "a tenant belongs to two teams"};
      owner[static_cast<std::size_t>(tenant)] = static_cast<std::int32_t>(team_index);
    }
    if (team.classes.size() != service.classes.size())
      return ConfigIssue{path + "/classes", "expected one entry for each class"};
    for (const auto& class_terms : team.classes)
      if (class_terms)
        for (const auto* terms :
             {&class_terms->usual, class_terms->closure ? &*class_terms->closure : &class_terms->usual})
          if (!(terms->rate >= 0) || !(terms->burst >= 1) || !(terms->weight > 0) ||
              !(terms->in_time_share > 0 && terms->in_time_share <= 1))
            return ConfigIssue{
                path + "/classes",
                "expected a rate of at least 0, a burst of at least 1, a weight above 0, and a share "
                "above 0 and at most 1"};
  }
  for (std::size_t i = 0; i < config.closures.size(); ++i)
    if (config.closures[i].to <= config.closures[i].from ||
        (i > 0 && config.closures[i].from < config.closures[i - 1].to))
      return ConfigIssue{"/calendar", "closures overlap, or one does not end after its beginning"};
  if (config.gateways < 1) return ConfigIssue{"/gateways", "expected at least one gateway"};
  return std::nullopt;
}

}  // namespace cedarring::contracts
