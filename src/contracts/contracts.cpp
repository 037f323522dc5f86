#include "contracts/contracts.h"

#include <algorithm>
#include <cmath>
#include <utility>

namespace cedarring::contracts {
namespace {

constexpr double cost_gain = 0.02;    // of one answer on the learnt cost of its class
constexpr double flow_memory = 1;     // seconds, of what teams ask of a resource
constexpr double headroom = 1.05;     // over what a contended resource has served
constexpr double growth = 1.05;       // of the capacity for each step without contention
constexpr double cut = 0.9;           // of it for each step in which the router turned work away
constexpr double lend_growth = 1.02;  // of what is lent beyond contracts, for each step without contention
constexpr double lent_least = 0.02;   // of what is served: less than this is as good as nothing lent
constexpr double flow_burst =
    0.1;  // seconds of a share that may come at once: lent shares return within that
constexpr Duration eased{2'000'000};  // without contention, after which nothing is shared out any more
constexpr Duration flow_kept{10'000'000};
constexpr std::size_t flows_most = 65536;

double seconds(Duration d) { return static_cast<double>(d.count()) / 1e6; }

/// A pause behind `wait`, spread over as long again or 100 ms, so that those refused together return apart.
Duration spread(Duration wait, Duration most, double draw) {
  const auto width = std::max(std::min(wait, most), Duration(100'000));
  const auto from = std::clamp(wait, Duration::zero(), std::max(Duration::zero(), most - width / 2));
  return std::min(most,
                  from + Duration(static_cast<std::int64_t>(static_cast<double>(width.count()) * draw)));
}

}  // namespace

std::size_t Contracts::FlowHash::operator()(const FlowKey& k) const {
  auto h = static_cast<std::uint64_t>(k.group) * 0x9e3779b97f4a7c15ULL;
  h ^= (static_cast<std::uint64_t>(static_cast<std::uint32_t>(k.team)) << 1U | (k.primary ? 1U : 0U)) +
       (h >> 29U);
  return h * 0xbf58476d1ce4e5b9ULL;
}

Contracts::Contracts(Config config, ServiceInfo service)
    : service_(std::move(service)), random_(service_.seed) {
  for (const auto& c : service_.classes)
    costs_.push_back(
        std::max(1.0, static_cast<double>(c.latency_target.count()) / 1000 / 4));  // until answers tell
  reload(std::move(config), Time{});
}

bool Contracts::needs_primary(std::size_t cls) const {
  const auto f = service_.classes[cls].freshness;
  return f == Freshness::write || f == Freshness::fresh;
}

std::int32_t Contracts::team_of(std::int32_t tenant) const {
  return tenant >= 0 && static_cast<std::size_t>(tenant) < team_of_.size()
             ? team_of_[static_cast<std::size_t>(tenant)]
             : -1;
}

const Terms* Contracts::terms(std::size_t team, std::size_t cls, bool closure) const {
  const auto& c = config_.teams[team].classes[cls];
  if (!c) return config_.fallback ? &*config_.fallback : nullptr;
  return closure && c->closure ? &*c->closure : &c->usual;
}

bool Contracts::closure(Time now) const {
  const auto after = std::upper_bound(config_.closures.begin(), config_.closures.end(), now,
                                      [](Time t, const ClosureWindow& w) { return t < w.from; });
  return after != config_.closures.begin() && now < std::prev(after)->to;
}

Entry Contracts::total(std::size_t team, std::size_t cls) const {
  auto sum = booked(team, cls).before;
  return sum += booked(team, cls).now;
}

void Contracts::reload(Config config, Time now) {
  const auto classes = service_.classes.size();
  std::vector<Cell> cells(config.teams.size() * classes);
  std::vector<TeamState> teams(config.teams.size());
  std::vector<std::int32_t> team_of(service_.tenants, -1);
  std::vector<bool> fresh(config.teams.size(), false);
  const double even = 1.0 / std::max(1U, config.gateways);
  for (std::size_t t = 0; t < config.teams.size(); ++t) {
    teams[t].part = even;
    for (const auto tenant : config.teams[t].tenants)
      if (tenant >= 0 && static_cast<std::size_t>(tenant) < team_of.size())
        team_of[static_cast<std::size_t>(tenant)] = static_cast<std::int32_t>(t);
    // A team that keeps its name keeps what it has used and what was booked.
    const auto old = std::find_if(config_.teams.begin(), config_.teams.end(),
                                  [&](const Team& o) { return o.name == config.teams[t].name; });
    if (old == config_.teams.end()) {
      fresh[t] = true;
      continue;
    }
    const auto from = static_cast<std::size_t>(old - config_.teams.begin());
    teams[t] = teams_[from];
    for (std::size_t c = 0; c < classes; ++c) cells[t * classes + c] = std::move(at(from, c));
  }
  // Shares of teams by their old numbers would be somebody else's now; requests that are open are charged to
  // nobody.
  flows_.clear();
  resources_.clear();
  open_.clear();
  config_ = std::move(config);
  cells_ = std::move(cells);
  teams_ = std::move(teams);
  team_of_ = std::move(team_of);
  // Of what is new each of two processes has its part from the start.
  for (std::size_t t = 0; t < teams_.size(); ++t)
    for (std::size_t c = 0; c < classes; ++c)
      if (fresh[t]) at(t, c).share = handover::budget_share(stage_, burst(t, c));
  set_rates(now);
}

double Contracts::burst(std::size_t t, std::size_t c) const {
  const auto* terms = this->terms(t, c, closure_);
  return terms ? std::max(1.0, terms->burst * teams_[t].part) : 1;
}

/// As in force at this gateway now: the terms' by its part; `share`: of both processes' that are one gateway.
Rate Contracts::rate_of(std::size_t t, std::size_t c, double share) const {
  const auto* terms = this->terms(t, c, closure_);
  return terms ? Rate::of(terms->rate * teams_[t].part * share, burst(t, c) * share) : Rate{};
}

void Contracts::set_rates(Time now) {
  closure_ = closure(now);
  for (std::size_t t = 0; t < teams_.size(); ++t)
    for (std::size_t c = 0; c < service_.classes.size(); ++c) at(t, c).rate = rate_of(t, c, at(t, c).share);
}

/// As many as a share of what the team asks for here, and a few at once: never out of another team's.
Rate Contracts::retry_rate(std::size_t t, handover::HandoverStage stage) const {
  double demand = 0;
  for (std::size_t c = 0; c < service_.classes.size(); ++c) demand += at(t, c).demand;
  const double part = handover::budget_share(stage, config_.retry_burst);
  return Rate::of(std::max(1.0, demand * config_.retry_share) * part, config_.retry_burst * part);
}

CellSnapshot Contracts::counts(std::size_t t, std::size_t c) const {
  CellSnapshot k;
  const auto& book = booked(t, c);
  k.now = book.now, k.before = book.before, k.times = book.times.filled();
  return k;
}

Snapshot Contracts::split(Time now) {
  using handover::HandoverStage;
  stage_ = HandoverStage::outgoing;
  Snapshot all;
  if (begun_) all.window = now - window_from_;
  for (std::size_t c = 0; c < service_.classes.size(); ++c) all.costs[service_.classes[c].name] = costs_[c];
  for (std::size_t t = 0; t < teams_.size(); ++t) {
    auto& team = all.teams[config_.teams[t].name];
    team.part = teams_[t].part;
    team.retries_owed = teams_[t].retries.owed(now);
    for (std::size_t c = 0; c < service_.classes.size(); ++c) {
      auto& cell = at(t, c);
      auto& k = team.classes[service_.classes[c].name] = counts(t, c);
      cell.book.reset();
      k.owed = cell.bucket.owed(now), k.demand = cell.demand;
      k.share = handover::budget_share(HandoverStage::incoming, burst(t, c));
      cell.share = handover::budget_share(HandoverStage::outgoing, burst(t, c));
    }
  }
  for (const auto& [key, r] : resources_)
    all.resources.push_back({GroupId{key.first}, key.second, r.served, r.capacity, r.lend});
  for (const auto& [key, f] : flows_)
    all.flows.push_back({GroupId{key.group}, config_.teams[static_cast<std::size_t>(key.team)].name,
                         key.primary, f.within, f.beyond});
  set_rates(now);
  return all;
}

void Contracts::follow(Time now) {
  stage_ = handover::HandoverStage::waiting;
  for (auto& cell : cells_) cell.share = 0;
  set_rates(now);
}

void Contracts::unheard(Time now) {
  stage_ = handover::HandoverStage::incoming;
  for (std::size_t t = 0; t < teams_.size(); ++t)
    for (std::size_t c = 0; c < service_.classes.size(); ++c)
      at(t, c).share = handover::budget_share(stage_, burst(t, c));
  set_rates(now);
  for (std::size_t t = 0; t < teams_.size(); ++t) teams_[t].retries.spend_all(retry_rate(t, stage_), now);
  for (auto& cell : cells_) cell.bucket.spend_all(cell.rate, now);
}

void Contracts::restore(const Snapshot& told, Time now) {
  unheard(now);  // of what is not told nothing is left
  const auto sane = [](double v, double most) { return v >= 0 && v <= most ? v : 0; };
  for (std::size_t c = 0; c < service_.classes.size(); ++c)
    if (const auto it = told.costs.find(service_.classes[c].name);
        it != told.costs.end() && sane(it->second, 1e9) > 0)
      costs_[c] = it->second;
  for (std::size_t t = 0; t < teams_.size(); ++t) {
    const auto team = told.teams.find(config_.teams[t].name);
    if (team == told.teams.end()) continue;
    if (sane(team->second.part, 1) > 0) teams_[t].part = team->second.part;
    teams_[t].retries.owe(team->second.retries_owed, now);
    for (std::size_t c = 0; c < service_.classes.size(); ++c) {
      const auto it = team->second.classes.find(service_.classes[c].name);
      if (it == team->second.classes.end()) continue;
      auto& cell = at(t, c);
      cell.share = sane(it->second.share, 1), cell.demand = sane(it->second.demand, 1e9);
      cell.bucket.owe(it->second.owed, now);
    }
  }
  for (const auto& r : told.resources) {
    auto& mine = resources_[{r.group.value, r.primary}];
    mine.served = sane(r.served, 1e12), mine.capacity = r.capacity, mine.lend = r.lend,
    mine.last_contended = now;
  }
  for (const auto& f : told.flows) {
    const auto team = std::find_if(config_.teams.begin(), config_.teams.end(),
                                   [&](const Team& o) { return o.name == f.team; });
    if (team == config_.teams.end() || flows_.size() >= flows_most) continue;
    auto& mine = flows_[{f.group.value, static_cast<std::int32_t>(team - config_.teams.begin()), f.primary}];
    mine.within = sane(f.within, 1e12), mine.beyond = sane(f.beyond, 1e12), mine.used = now;
  }
  if (told.window && *told.window >= Duration::zero() && *told.window < config_.window)
    begun_ = true, stepped_ = now, window_from_ = now - *told.window;
  book(told);
  set_rates(now);
}

void Contracts::book(const Snapshot& told) {
  for (std::size_t t = 0; t < teams_.size(); ++t) {
    const auto team = told.teams.find(config_.teams[t].name);
    if (team == told.teams.end()) continue;
    for (std::size_t c = 0; c < service_.classes.size(); ++c) {
      const auto it = team->second.classes.find(service_.classes[c].name);
      const auto& k = it == team->second.classes.end() ? CellSnapshot{} : it->second;
      if (k.now.asked + k.now.ended() + k.before.asked + k.before.ended() == 0) continue;
      auto& book = this->book(at(t, c));
      book.now += k.now, book.before += k.before, book.times.add(k.times);
    }
  }
}

Snapshot Contracts::booked() const {
  Snapshot all;
  for (std::size_t t = 0; t < teams_.size(); ++t)
    for (std::size_t c = 0; c < service_.classes.size(); ++c)
      if (at(t, c).book) all.teams[config_.teams[t].name].classes[service_.classes[c].name] = counts(t, c);
  return all;
}

void Contracts::alone(Time now) {
  using handover::HandoverStage;
  const auto was = std::exchange(stage_, HandoverStage::single);
  if (was == HandoverStage::single) return;
  for (std::size_t t = 0; t < teams_.size(); ++t) {
    teams_[t].retries.widen(retry_rate(t, HandoverStage::single),
                            handover::budget_share(was, config_.retry_burst), now);
    for (std::size_t c = 0; c < service_.classes.size(); ++c) {
      auto& cell = at(t, c);
      cell.bucket.widen(rate_of(t, c, 1), std::exchange(cell.share, 1), now);
    }
  }
  set_rates(now);
}

gates::Verdict Contracts::refuse(gates::Reason why, Duration wait) {
  gates::Verdict v;
  v.admitted = false;
  v.decided_by = gates::Decider::contracts;
  v.reason = why;
  if (service_.retry_after_allowed)
    v.retry_after = spread(wait, service_.max_retry_after, static_cast<double>(random_()) * 0x1p-32);
  return v;
}

gates::Verdict Contracts::admit(const gates::GateRequest& ask, Time now) {
  now = std::max(now, stepped_);
  const auto team = team_of(ask.tenant);
  if (config_.mode == Mode::off || team < 0 || ask.class_id.value < 0 ||
      static_cast<std::size_t>(ask.class_id.value) >= service_.classes.size())
    return {};
  const auto t = static_cast<std::size_t>(team), c = static_cast<std::size_t>(ask.class_id.value);
  auto& cell = at(t, c);
  auto& book = this->book(cell);
  ++book.now.asked;
  cell.demand += 1;
  const auto* terms = this->terms(t, c, closure_);
  const bool within = !terms || cell.bucket.conforms(cell.rate, now);
  ++(within ? book.now.within : book.now.beyond);
  const double cost = costs_[c];
  const FlowKey key{ask.group.value, team, needs_primary(c)};
  auto flow = flows_.find(key);
  if (flow == flows_.end() && flows_.size() < flows_most) flow = flows_.emplace(key, Flow{}).first;
  if (flow != flows_.end()) {
    flow->second.used = now;
    (within ? flow->second.within : flow->second.beyond) += cost;
  }
  gates::Verdict v;
  v.beyond_contract = !within;
  if (config_.mode == Mode::enforce) {
    if (!within && terms->beyond == Beyond::refuse)
      return refuse(gates::Reason::over_contract, cell.bucket.wait(cell.rate, now));
    if (flow != flows_.end()) {
      auto& f = flow->second;
      const double may = within ? f.may_within : f.may_beyond;
      auto& bucket = within ? f.within_bucket : f.beyond_bucket;
      if (may >= 0 && (within || terms->beyond == Beyond::borrow)) {
        const auto rate = Rate::of(may, std::max(cost, may * flow_burst));
        if (!bucket.conforms(rate, now))
          return refuse(within ? gates::Reason::contention : gates::Reason::over_contract,
                        bucket.wait(rate, now));
        bucket.take(rate, cost, now);
      }
    }
  }
  if (within && terms) cell.bucket.take(cell.rate, 1, now);
  book.now.cost += cost;
  if (!within) book.now.borrowed += cost;
  open_[ask.request.value] = {cost, !within};
  return v;
}

bool Contracts::may_retry(const gates::GateRequest& ask, Time now) {
  const auto team = team_of(ask.tenant);
  if (config_.mode != Mode::enforce || team < 0) return true;
  const auto t = static_cast<std::size_t>(team);
  const auto rate = retry_rate(t, stage_);
  if (!teams_[t].retries.conforms(rate, now)) return false;
  teams_[t].retries.take(rate, 1, now);
  return true;
}

void Contracts::on_request_end(const gates::GateRequest& ask, const gates::RequestResult& ending,
                               Time /*now*/) {
  const auto team = team_of(ask.tenant);
  if (config_.mode == Mode::off || team < 0 || ask.class_id.value < 0 ||
      static_cast<std::size_t>(ask.class_id.value) >= service_.classes.size())
    return;
  const auto t = static_cast<std::size_t>(team), c = static_cast<std::size_t>(ask.class_id.value);
  auto& cell = at(t, c);
  auto& book = this->book(cell);
  const auto* terms = this->terms(t, c, closure_);
  const auto it = open_.find(ask.request.value);
  const bool admitted = it != open_.end();
  const bool beyond = admitted && it->second.beyond;
  const double charged = admitted ? it->second.cost : 0;
  if (admitted) open_.erase(it);
  const auto wanted =
      terms && terms->wanted > Duration::zero() ? terms->wanted : service_.classes[c].latency_target;
  bool in_time = false;
  switch (ending.end) {
    case gates::RequestEnd::served:
      in_time = ending.elapsed <= wanted;
      ++(in_time ? book.now.in_time : book.now.late);
      book.times.add(ending.elapsed);
      break;
    case gates::RequestEnd::failed:
      ++book.now.failed;
      break;
    case gates::RequestEnd::abandoned:
      ++book.now.left;
      break;
    case gates::RequestEnd::refused:
      if (ending.decided_by == gates::Decider::levels)
        ++book.now.refused_levels;
      else if (ending.decided_by != gates::Decider::contracts)
        ++book.now.refused_router;
      else if (ending.reason == gates::Reason::contention)
        ++book.now.refused_contention;
      else
        ++book.now.refused_contract;
      break;
  }
  // The gateway's promise is about what was within the contract, and about what it has refused of that in
  // contention. A client that leaves by itself has not waited for the promise.
  if (((admitted && !beyond) || ending.reason == gates::Reason::contention) &&
      ending.end != gates::RequestEnd::abandoned) {
    ++book.now.within_ended;
    if (in_time) ++book.now.within_in_time;
  }
  if (!admitted) return;
  auto& resource = resources_[{ask.group.value, needs_primary(c)}];
  if (ending.end == gates::RequestEnd::refused && ending.decided_by == gates::Decider::router)
    ++resource.refused;
  if (ending.end == gates::RequestEnd::served) {
    // What an answer took beyond the quick ones is waiting, not work: an expectile on the low side, which a
    // queue before the hosts moves little.
    const double took = std::max(0.1, static_cast<double>(ending.elapsed.count()) / 1000);
    costs_[c] +=
        (took < costs_[c] ? cost_gain : cost_gain / 20) * (std::min(took, costs_[c] * 3) - costs_[c]);
    resource.served += charged;
  } else if (!ending.ran) {
    // What never ran is not the team's to pay.
    if (!beyond && terms) cell.bucket.give_back(cell.rate, 1);
    book.now.cost -= charged;
    if (beyond) book.now.borrowed -= charged;
  }
}

std::vector<Scarcity> scarcity(const std::vector<GroupView>& views) {
  constexpr double full = 0.95;  // of a window
  std::vector<Scarcity> all;
  for (const auto& v : views) {
    const auto tight = [](int waiting, int in_flight, double window) {
      return waiting > 0 || (window > 0 && in_flight >= full * window);
    };
    all.push_back(
        {v.group, true, tight(v.primary_waiting, v.primary_in_flight, v.primary_concurrency_limit)});
    all.push_back({v.group, false,
                   tight(v.waiting - v.primary_waiting, v.in_flight - v.primary_in_flight,
                         v.concurrency_limit - v.primary_concurrency_limit)});
  }
  return all;
}

void Contracts::step(Time now, const std::vector<Scarcity>& scarce, std::vector<Breach>& out,
                     std::vector<Closed>* closed) {
  if (!begun_) begun_ = true, stepped_ = window_from_ = now;
  now = std::max(now, stepped_);
  const double passed = seconds(now - stepped_);
  stepped_ = now;
  if (passed > 0) {
    const double keep = std::exp(-passed / flow_memory);
    // A gateway's part: even, until more than that arrives here for a while. It cannot know what arrives
    // elsewhere, so it never holds more than `part_most` even parts: all gateways together overshoot by that
    // factor at the worst.
    const double even = 1.0 / std::max(1U, config_.gateways), most = std::min(1.0, even * config_.part_most);
    const double move = 1 - std::exp(-passed / std::max(0.1, seconds(config_.part_memory)));
    for (std::size_t t = 0; t < teams_.size(); ++t) {
      double asked = 0, promised = 0;
      for (std::size_t c = 0; c < service_.classes.size(); ++c) {
        auto& cell = at(t, c);
        cell.demand *= keep;
        if (const auto* terms = this->terms(t, c, closure_))
          asked += cell.demand * costs_[c], promised += terms->rate * costs_[c];
      }
      const double wanted = promised > 0 ? std::clamp(asked / flow_memory / promised, even, most) : even;
      teams_[t].part += (wanted - teams_[t].part) * move;
    }
    share(now, scarce);
    for (auto it = flows_.begin(); it != flows_.end();) {
      it->second.within *= keep, it->second.beyond *= keep;
      it = now - it->second.used > flow_kept ? flows_.erase(it) : std::next(it);
    }
    for (auto& [key, r] : resources_) r.served *= keep;
  }
  set_rates(now);
  if (stage_ != handover::HandoverStage::outgoing && now - window_from_ >= config_.window)
    close_window(now, out, closed);
}

/// Weighted max-min over teams: first what is within contracts, then, of what that leaves, what is beyond.
void Contracts::share(Time now, const std::vector<Scarcity>& scarce) {
  std::map<std::pair<std::int64_t, bool>, std::vector<std::pair<Flow*, std::int32_t>>> by_resource;
  for (auto& [key, f] : flows_) by_resource[{key.group, key.primary}].emplace_back(&f, key.team);
  for (const auto& s : scarce) {
    auto& r = resources_[{s.group.value, s.primary}];
    auto& flows = by_resource[{s.group.value, s.primary}];
    std::sort(flows.begin(), flows.end(), [](const auto& a, const auto& b) { return a.second < b.second; });
    const double served = r.served / flow_memory;
    // Work that was let through and that the router turned away, or windows that are full: more is let
    // through than there is. What is lent goes first, by half at each step, and comes back slowly; only once
    // next to nothing is lent is what was promised shared out: a little more than comes back served, cut
    // where the router turns work away.
    const bool refused = std::exchange(r.refused, 0) > 0, trouble = refused || s.contended;
    double within = 0, beyond = 0;
    for (const auto& [f, team] : flows) within += f->within / flow_memory, beyond += f->beyond / flow_memory;
    const bool lending = (r.lend < 0 ? beyond : std::min(r.lend, beyond)) > lent_least * served;
    if (trouble) {
      r.last_contended = now;
      r.lend = (r.lend < 0 ? beyond : std::min(r.lend, beyond)) / 2;
    } else if (r.lend >= 0) {
      r.lend = r.lend * lend_growth + served * lent_least / 10;
      if (now - r.last_contended > eased && beyond < r.lend) r.lend = -1;
    }
    if (trouble && !lending) {
      if (r.capacity < 0)
        r.capacity = std::max(1.0, served * headroom);
      else if (refused)
        r.capacity = std::max({1.0, served, r.capacity * cut});
      else
        r.capacity = std::max(r.capacity, served);
    } else if (r.capacity >= 0) {
      r.capacity *= growth;
      if (now - r.last_contended > eased && within < r.capacity) r.capacity = -1;
    }
    std::vector<Claim> claims;
    for (const auto& [f, team] : flows) {
      double weight = 0;
      for (std::size_t c = 0; c < service_.classes.size(); ++c)
        if (needs_primary(c) == s.primary)
          if (const auto* terms = this->terms(static_cast<std::size_t>(team), c, closure_))
            weight = std::max(weight, terms->weight);
      claims.push_back({f->within / flow_memory, weight > 0 ? weight : 1, 0});
    }
    const auto limit = [&](double capacity, double Flow::*may) {
      if (capacity >= 0) share_out(claims, capacity);
      for (std::size_t i = 0; i < flows.size(); ++i)
        flows[i].first->*may = capacity < 0 || claims[i].share >= claims[i].demand ? -1 : claims[i].share;
    };
    limit(r.capacity, &Flow::may_within);
    for (std::size_t i = 0; i < flows.size(); ++i) claims[i].demand = flows[i].first->beyond / flow_memory;
    limit(r.lend, &Flow::may_beyond);
  }
}

void Contracts::close_window(Time now, std::vector<Breach>& out, std::vector<Closed>* closed) {
  for (std::size_t t = 0; t < teams_.size(); ++t)
    for (std::size_t c = 0; c < service_.classes.size(); ++c) {
      if (!at(t, c).book) continue;
      auto& book = *at(t, c).book;
      if (const auto* terms = this->terms(t, c, closure_)) {
        if (book.now.beyond > 0)
          out.push_back({t, c, Side::team, window_from_, now, book.now.beyond, terms->rate * teams_[t].part,
                         static_cast<double>(book.now.asked) / std::max(0.001, seconds(now - window_from_)),
                         closure_});
        const auto ended = book.now.within_ended;
        const double got =
            ended > 0 ? static_cast<double>(book.now.within_in_time) / static_cast<double>(ended) : 1;
        if (got < terms->share)
          out.push_back({t, c, Side::gateway, window_from_, now, ended - book.now.within_in_time,
                         terms->share, got, closure_});
      }
      if (closed && book.now.asked > 0)
        closed->push_back(
            {t, c, window_from_, now, book.now, book.times.quantile(0.5), book.times.quantile(0.99)});
      book.before += book.now;
      book.now = {};
    }
  window_from_ = now;
}

std::optional<ConfigIssue> find_config_issue(const Config& config, const ServiceInfo& service) {
  std::vector<std::int32_t> owner(service.tenants, -1);
  for (std::size_t t = 0; t < config.teams.size(); ++t) {
    const auto at = "/teams/" + std::to_string(t);
    const auto& team = config.teams[t];
    for (std::size_t o = 0; o < t; ++o)
      if (config.teams[o].name == team.name) return ConfigIssue{at + "/name", "taken by another team"};
    for (const auto tenant : team.tenants) {
      if (tenant < 0 || static_cast<std::size_t>(tenant) >= owner.size())
        return ConfigIssue{at + "/tenants", "no such tenant"};
      if (owner[static_cast<std::size_t>(tenant)] >= 0)
        return ConfigIssue{at + "/tenants", "a tenant of two teams"};
      owner[static_cast<std::size_t>(tenant)] = static_cast<std::int32_t>(t);
    }
    if (team.classes.size() != service.classes.size())
      return ConfigIssue{at + "/classes", "not one entry a class"};
    for (const auto& c : team.classes)
      if (c)
        for (const auto* terms : {&c->usual, c->closure ? &*c->closure : &c->usual})
          if (!(terms->rate >= 0) || !(terms->burst >= 1) || !(terms->weight > 0) ||
              !(terms->share > 0 && terms->share <= 1))
            return ConfigIssue{at + "/classes",
                               "rate from 0, burst from 1, weight above 0, share above 0 and at most 1"};
  }
  for (std::size_t i = 0; i < config.closures.size(); ++i)
    if (config.closures[i].to <= config.closures[i].from ||
        (i > 0 && config.closures[i].from < config.closures[i - 1].to))
      return ConfigIssue{"/calendar", "closures that overlap or end before they begin"};
  if (config.gateways < 1) return ConfigIssue{"/gateways", "at least one"};
  return std::nullopt;
}

}  // namespace cedarring::contracts
