#include "tools/lab/world.h"

#include <algorithm>
#include <boost/random/exponential_distribution.hpp>
#include <boost/random/uniform_01.hpp>
#include <cmath>
#include <unordered_map>

namespace cedarring::lab {
namespace {

constexpr double beyond_worth = 0.05;  // of the usual: the users' page
constexpr Duration hop{100};  // one way between a gateway and a host of its room; three times that to others
constexpr Duration probe_work{300};

struct LabWork : broker::RequestPayload {
  Duration work{};
  std::size_t cls = 0;
  std::optional<Time> needs;
};

class World;

/// What the sockets are in the real gateway: carries attempts to the models of hosts.
class SimUpstream : public broker::Upstream {
 public:
  SimUpstream(World& world, std::size_t gateway) : world_(world), gateway_(gateway) {}
  void start(broker::AttemptKey key, HostId host, const std::string& address,
             const std::shared_ptr<const broker::RequestPayload>& work, Time stop_at,
             bool only_there) override;
  void cancel(broker::AttemptKey key) override;
  void probe(HostId host, const std::string& address) override;
  void open_watch() override;
  void set_timer(Time due) override;
  void close_idle(HostId) override {}

 private:
  struct Out {
    HostModel* host = nullptr;
    std::uint64_t number = 0;
    bool told = false;
  };
  void end(broker::AttemptKey key, std::uint64_t serial, broker::AttemptResult result);
  World& world_;
  std::size_t gateway_;
  std::map<std::pair<std::uint64_t, std::uint32_t>, std::pair<std::uint64_t, Out>> out_;
  std::uint64_t serial_ = 0, wake_ = 0;
};

/// Notes for each request whether it is within its tenant's budget, and who has refused it.
class Observer : public gates::Gate {
 public:
  gates::Verdict admit(const gates::GateRequest& ask, Time) override {
    last_beyond = ask.beyond_budget;
    return {};
  }
  bool last_beyond = false;
};

struct Gateway : broker::FrontEnd {
  Gateway(World& world, std::size_t number);
  void finish(RequestId request, broker::FinalAnswer answer) override;
  World& world;
  std::size_t number;
  Observer observer;
  SimUpstream upstream;
  std::unique_ptr<broker::Broker> broker;
  std::unique_ptr<levels::Levels> levels;
  std::unique_ptr<contracts::Contracts> contracts;
};

/// A request as its client sees it: over all its tries.
struct Client {
  std::size_t cls = 0, tenant_at = 0;
  std::string tenant;
  std::string key;
  GroupId group;
  Time asked{}, deadline{};
  Duration work{};
  bool beyond = false, counted = false;
  int tries = 0;
};

class World {
 public:
  explicit World(const WorldConfig& c)
      : c(c), timeline(Time{1'000'000'000'000}), random(c.seed), start(timeline.now()) {
    std::uint32_t id = 1;
    for (int g = 0; g < c.groups; ++g) {
      groups.push_back(std::make_unique<Ledger>(timeline, GroupId{g + 1}));
      for (int m = 0; m < c.members; ++m, ++id)
        groups.back()->add(HostId{id}, c.host, std::string(1, static_cast<char>('a' + m % 3)));
    }
    for (const auto& k : c.classes) settings.classes.push_back(k.contract);
    settings.stale_read_policy = StaleReadPolicy::refuse;
    settings.listed_role = ListedRole::late;
    settings.token_mode = TokenMode::carried;
    settings.answers_carry_position = true;
    settings.cancel_allowed = true;
    settings.retry_after_allowed = true;
    settings.late_refusal_costs = true;
    settings.max_attempts = 6;
    settings.max_retry_after = std::chrono::milliseconds(500);
    settings.warm_up_duration = std::chrono::seconds(14), settings.cold_capacity_share = 0.17;
    settings.overload_multiple = 2, settings.overload_window = std::chrono::seconds(2);
    settings.probe_cost = c.probe_price;
    settings.instance_count = static_cast<std::uint32_t>(c.gateways);
    double mean = 0, shares = 0;
    for (const auto& k : c.classes) {
      mean += k.share * seconds(k.work_from + k.work_to) / 2;
      shares += k.share;
    }
    // Load 1 is where the groups are about full: most of the cores' time is then asked for.
    rate1 = 0.92 * c.groups * c.members * c.host.cores * c.host.speed / (mean / shares);
    for (int g = 0; g < c.gateways; ++g)
      gateways.push_back(std::make_unique<Gateway>(*this, static_cast<std::size_t>(g)));
    result.within.resize(c.classes.size());
    result.beyond.resize(c.classes.size());
    result.by_tenant_class.resize(c.classes.size() * c.tenants.size());
    reads.resize(static_cast<std::size_t>(c.groups * c.members));
    double all = 0;
    for (int g = 0; g < c.gateways; ++g) {
      const double at = c.gateways > 1 ? static_cast<double>(g) / (c.gateways - 1) : 0;
      parts.push_back(std::pow(c.uneven, 1 - 2 * at));
      all += parts.back();
    }
    for (auto& p : parts) p /= all;
  }

  static double seconds(Duration d) { return static_cast<double>(d.count()) / 1e6; }
  double draw() { return boost::random::uniform_01<double>()(random); }

  broker::MemberList list() const {
    broker::MemberList l;
    l.version = ++version;
    l.full = true;
    for (const auto& g : groups)
      for (const auto& h : g->hosts()) {
        broker::Member m;
        m.id = "h" + std::to_string(h->id().value);
        m.address = std::to_string(h->id().value);
        m.zone = h->zone();
        m.group = g->id();
        m.state = h->alive() ? HostState::ready : HostState::gone;
        m.primary = g->primary() == h.get();
        if (h->started() > Time{}) m.started_at = h->started();
        if (h->alive()) l.members.push_back(m);
      }
    return l;
  }
  HostModel* host(const std::string& address) const {
    const HostId id{static_cast<std::uint32_t>(std::stoul(address))};
    for (const auto& g : groups)
      if (auto* h = g->find(id)) return h;
    return nullptr;
  }

  void arrive(std::size_t cls) {
    const auto& k = c.classes[cls];
    double rate = rate1 * c.load * k.share;
    if (!c.factors.empty()) rate *= c.factors[cls];
    if (rate <= 0) return;
    const auto gap = boost::random::exponential_distribution<double>(rate)(random);
    timeline.after(Duration(static_cast<std::int64_t>(gap * 1e6)), [this, cls] {
      if (timeline.now() >= start + c.length) return;
      arrive(cls);
      double pick = draw();
      std::size_t tenant = 0;
      for (; tenant + 1 < c.tenants.size() && (pick -= c.tenants[tenant].share) >= 0; ++tenant) {
      }
      come(cls, tenant);
    });
  }

  /// A new request of a tenant: its key, group and work are drawn, and the gateway that it comes to.
  void come(std::size_t cls, std::size_t tenant) {
    auto r = std::make_shared<Client>();
    const auto& k = c.classes[cls];
    r->cls = cls, r->tenant_at = tenant, r->tenant = c.tenants[tenant].name;
    r->key = std::to_string(static_cast<int>(draw() * 5000));
    r->group = GroupId{1 + static_cast<int>(draw() * c.groups)};
    r->asked = timeline.now();
    r->deadline = r->asked + k.contract.deadline;
    r->work =
        k.work_from +
        Duration(static_cast<std::int64_t>(static_cast<double>((k.work_to - k.work_from).count()) * draw()));
    ++result.requests;
    std::size_t at = 0;
    for (double pick = draw(); at + 1 < parts.size() && (pick -= parts[at]) >= 0; ++at) {
    }
    ask(r, at);
  }

  /// A read comes to a replica; where its course is another's to say, the replica that it comes to in truth.
  HostModel* read_at(HostModel* chosen) {
    auto& group = *groups[(chosen->id().value - 1) / static_cast<std::uint32_t>(c.members)];
    if (c.spread != WorldConfig::Spread::module) {
      std::vector<HostModel*> replicas;
      for (const auto& h : group.hosts())
        if (h.get() != group.primary() && h->alive()) replicas.push_back(h.get());
      const auto first = static_cast<std::size_t>(draw() * static_cast<double>(replicas.size()));
      std::rotate(replicas.begin(), replicas.begin() + static_cast<std::ptrdiff_t>(first), replicas.end());
      chosen = replicas.front();
      const auto load = [this](HostModel* h) {
        return h->waiting() + static_cast<std::size_t>(h->running()) + coming[h];
      };
      if (c.spread == WorldConfig::Spread::oracle)
        chosen = *std::min_element(replicas.begin(), replicas.end(),
                                   [&](HostModel* a, HostModel* b) { return load(a) < load(b); });
    }
    if (timeline.now() >= start + c.warm_up && timeline.now() < start + c.length) {
      auto& mine = reads[chosen->id().value - 1];
      const auto at = static_cast<std::size_t>((timeline.now() - start - c.warm_up) / Spread::windows[0]);
      if (mine.size() <= at) mine.resize(at + 1);
      ++mine[at];
    }
    return chosen;
  }

  /// Now and then: does a replica rest while another of its group has requests waiting?
  void look() {
    for (const auto& g : groups) {
      bool queue = false, rests = false;
      for (const auto& h : g->hosts()) {
        if (h.get() == g->primary() || !h->alive()) continue;
        queue = queue || h->waiting() > 0;
        rests = rests || h->running() < c.host.cores;
      }
      ++looks, unfair += queue && rests;
    }
    timeline.after(std::chrono::milliseconds(20), [this] { look(); });
  }

  void sum_up() {
    auto& s = result.spread;
    s.idle_beside_queue = looks > 0 ? static_cast<double>(unfair) / static_cast<double>(looks) : 0;
    const auto many = static_cast<std::size_t>((c.length - c.warm_up) / Spread::windows[0]);
    std::vector<double> sums(std::size(Spread::windows)), correlation(20);
    double replicas = 0, least = 0, varied = 0;
    for (const auto& g : groups) {
      double all = 0, smallest = 1e18, members = 0;
      for (const auto& h : g->hosts()) {
        if (h.get() == g->primary()) continue;
        auto& mine = reads[h->id().value - 1];
        mine.resize(many);
        double total = 0;
        for (const auto n : mine) total += n;
        all += total, smallest = std::min(smallest, total), ++members, ++replicas;
        for (std::size_t w = 0; w < std::size(Spread::windows); ++w) {
          const auto step = static_cast<std::size_t>(Spread::windows[w] / Spread::windows[0]);
          double n = 0, mean = 0, square = 0;
          for (std::size_t at = 0; at + step <= many; at += step) {
            double v = 0;
            for (std::size_t i = at; i < at + step; ++i) v += mine[i];
            const double before = mean;
            mean += (v - mean) / ++n;
            square += (v - before) * (v - mean);
          }
          if (n > 1 && mean > 0) sums[w] += square / (n - 1) / mean;
        }
        const double mean = many > 0 ? total / static_cast<double>(many) : 0;
        double variance = 0;
        for (const auto n : mine) variance += (n - mean) * (n - mean);
        if (variance <= 0) continue;
        ++varied;
        for (std::size_t lag = 1; lag <= correlation.size() && lag < many; ++lag)
          for (std::size_t i = lag; i < many; ++i)
            correlation[lag - 1] += (mine[i] - mean) * (mine[i - lag] - mean) / variance;
      }
      if (all > 0) least += smallest / (all / members);
    }
    for (std::size_t w = 0; w < sums.size(); ++w) s.dispersion[w] = replicas > 0 ? sums[w] / replicas : 0;
    s.least = least / static_cast<double>(groups.size());
    for (auto& v : correlation) v /= std::max(1.0, varied);
    s.correlation = correlation;
  }

  /// What a tenant asks beyond its usual share while a surge of it lasts.
  void surge(const WorldConfig::Surge& s) {
    const auto gap = boost::random::exponential_distribution<double>(s.per_second)(random);
    timeline.after(Duration(static_cast<std::int64_t>(gap * 1e6)), [this, s] {
      if (timeline.now() >= start + s.to) return;
      surge(s);
      come(s.cls, s.tenant);
    });
  }

  void ask(const std::shared_ptr<Client>& r, std::size_t at) {
    auto& gateway = *gateways[at];
    auto work = std::make_shared<LabWork>();
    work->work = r->work;
    work->cls = r->cls;
    broker::ClientRequest a;
    a.name = std::to_string(++names);
    a.contract = c.classes[r->cls].contract.name;
    a.tenant = r->tenant;
    a.group = r->group;
    a.time_left = r->deadline - timeline.now();
    a.session = SessionId{std::hash<std::string>()(r->key)};
    a.retry = r->tries > 0;
    a.payload = std::move(work);
    ++r->tries;
    RequestId id;
    pending = &id;  // set by accept() before anyone can be answered
    const auto rejection = gateway.broker->accept(a, gateway, id);
    if (!r->counted) {
      r->counted = true;
      r->beyond = gateway.observer.last_beyond;
      if (measured(*r))
        for (auto* t : {&tally(*r), &own(*r)}) ++t->asked, t->worth_asked += worth(*r);
    }
    pending = nullptr;
    if (rejection != broker::Rejection::none)
      return answered(r, at, {broker::AnswerStatus::refused, {}, {}, {}, {}, {}});
    if (early) return answered(r, at, *std::exchange(early, std::nullopt));
    open[at][id.value] = r;
  }

  void finish(std::size_t at, RequestId id, broker::FinalAnswer answer) {
    if (pending && *pending == id) {  // before accept() has returned
      early = std::move(answer);
      return;
    }
    const auto it = open[at].find(id.value);
    if (it == open[at].end()) return;
    const auto r = it->second;
    open[at].erase(it);
    answered(r, at, answer);
  }

  void answered(const std::shared_ptr<Client>& r, std::size_t at, const broker::FinalAnswer& answer) {
    const auto now = timeline.now();
    if (now > r->deadline + std::chrono::milliseconds(50)) ++result.late_answers;
    if (answer.status == broker::AnswerStatus::refused && c.client_retries && r->tries < 2) {
      const auto pause =
          answer.retry_after > Duration::zero() ? answer.retry_after : std::chrono::milliseconds(200);
      if (now + pause < r->deadline) {
        if (!answer.verdict.admitted && measured(*r)) ++tally(*r).shed;
        timeline.after(pause, [this, r, at] { ask(r, at); });
        return;
      }
    }
    if (!measured(*r)) return;
    const auto& k = c.classes[r->cls].contract;
    for (auto* t : {&tally(*r), &own(*r)})
      if (answer.status == broker::AnswerStatus::served) {
        const bool in_time = now - r->asked <= k.latency_target;
        ++(in_time ? t->in_time : t->late);
        t->worth += worth(*r) * (in_time ? 1 : k.late_value);
      } else {
        ++(answer.status == broker::AnswerStatus::refused ? t->refused : t->failed);
        if (!answer.verdict.admitted) ++t->shed;
      }
  }

  [[nodiscard]] bool measured(const Client& r) const { return r.asked >= start + c.warm_up; }
  Tally& own(const Client& r) { return result.by_tenant_class[r.tenant_at * c.classes.size() + r.cls]; }
  Tally& tally(const Client& r) { return (r.beyond ? result.beyond : result.within)[r.cls]; }
  [[nodiscard]] double worth(const Client& r) const {
    return c.classes[r.cls].contract.value * (r.beyond ? beyond_worth : 1);
  }

  void beat() {
    for (auto& g : gateways) {
      levels::GatewayState state;
      std::vector<GroupView> views;
      g->broker->group_views(views);
      if (g->contracts) {
        std::vector<contracts::Breach> breaches;
        g->contracts->step(timeline.now(), contracts::scarcity(views), breaches);
      }
      if (!g->levels) continue;
      levels::add_group_views(views, timeline.now(), state);
      std::vector<levels::AxisChange> events;
      g->levels->step(timeline.now(), state, events);
      const auto adjustments = g->levels->adjustments();
      g->broker->set_tuning({adjustments.probe_rate, adjustments.retry_budget, adjustments.read_spillover});
      if (g->number == 0) result.changes.insert(result.changes.end(), events.begin(), events.end());
    }
    timeline.after(std::chrono::milliseconds(100), [this] { beat(); });
  }

  WorldResult go() {
    open.resize(gateways.size());
    for (auto& g : gateways) g->broker->start(list());
    for (std::size_t i = 0; i < c.classes.size(); ++i) arrive(i);
    for (const auto& s : c.surges) timeline.after(s.from, [this, s] { surge(s); });
    beat();
    timeline.after(c.warm_up, [this] { look(); });
    for (const auto& loss : c.losses)
      timeline.after(loss.at, [this, loss] {
        auto& g = *groups[static_cast<std::size_t>(loss.group)];
        auto* old = g.primary();
        g.lose_primary(loss.takeover, [](HostModel&) {});
        // The list names the death and the successor seconds late; the old one comes back cold, as a replica.
        timeline.after(std::chrono::seconds(3), [this] { tell(); });
        timeline.after(loss.takeover + std::chrono::seconds(3), [this] { tell(); });
        timeline.after(loss.takeover + std::chrono::seconds(2), [this, old] {
          old->start(c.host.cores > 0 ? Duration(std::chrono::seconds(14)) : Duration{}, 0.17);
        });
      });
    timeline.run_until(start + c.length + std::chrono::seconds(10));
    for (const auto& o : open) result.unanswered += o.size();
    for (auto& g : gateways)
      if (g->contracts) {
        result.ledger.resize(g->contracts->config().teams.size() * c.classes.size());
        for (std::size_t t = 0; t < g->contracts->config().teams.size(); ++t)
          for (std::size_t k = 0; k < c.classes.size(); ++k)
            result.ledger[t * c.classes.size() + k] += g->contracts->total(t, k);
      }
    result.events = timeline.done();
    sum_up();
    return std::move(result);
  }
  void tell() {
    for (auto& g : gateways) g->broker->on_member_list(list());
  }

  const WorldConfig& c;
  Timeline timeline;
  Random random;
  Time start;
  Settings settings;
  double rate1 = 0;
  std::vector<std::unique_ptr<Ledger>> groups;
  std::vector<std::unique_ptr<Gateway>> gateways;
  std::vector<std::unordered_map<std::uint64_t, std::shared_ptr<Client>>> open;
  const RequestId* pending = nullptr;
  std::optional<broker::FinalAnswer> early;
  std::uint64_t names = 0;
  mutable std::uint64_t version = 0;
  std::vector<double> parts;                           // of the traffic, by gateway
  std::vector<std::vector<std::uint32_t>> reads;       // by host and 100 ms
  std::unordered_map<HostModel*, std::size_t> coming;  // sent there, not there yet
  std::uint64_t looks = 0, unfair = 0;
  WorldResult result;
};

Gateway::Gateway(World& w, std::size_t n) : world(w), number(n), upstream(w, n) {
  auto settings = w.settings;
  settings.seed = w.c.seed * 1000 + n;
  settings.instance_index = static_cast<std::uint32_t>(n);
  std::vector<broker::TenantBudget> budgets;
  for (const auto& t : w.c.tenants) {
    broker::TenantBudget b;
    b.tenant = t.name;
    b.per_second = w.rate1 * t.share / w.c.gateways;
    budgets.push_back(b);
  }
  levels::ServiceInfo service;
  service.classes = settings.classes;
  service.tenants = budgets.size();
  service.seed = settings.seed;
  broker = std::make_unique<broker::Broker>(
      settings, std::move(budgets), std::vector<std::string>{"a", "b", "c"},
      [&w] { return w.timeline.now(); }, upstream);
  if (w.c.contracts) {
    contracts::ServiceInfo terms;
    terms.classes = settings.classes;
    terms.tenants = service.tenants;
    terms.seed = settings.seed ^ 1;
    contracts = std::make_unique<contracts::Contracts>(*w.c.contracts, terms);
    broker->add_gate(*contracts);
  }
  broker->add_gate(observer);
  if (!w.c.levels) return;
  levels = std::make_unique<levels::Levels>(*w.c.levels, service);
  broker->add_gate(*levels);
}

void Gateway::finish(RequestId request, broker::FinalAnswer answer) {
  world.finish(number, request, std::move(answer));
}

void SimUpstream::start(broker::AttemptKey key, HostId, const std::string& address,
                        const std::shared_ptr<const broker::RequestPayload>& work, Time stop_at,
                        bool /*only_there*/) {
  auto& t = world_.timeline;
  ++world_.result.attempts;
  if (key.number >= 6) ++world_.result.too_many;
  // Never two attempts of a request at once.
  const auto first = out_.lower_bound({key.request.value, 0});
  if (first != out_.end() && first->first.first == key.request.value) ++world_.result.overlapping;
  const auto serial = ++serial_;
  auto* host = world_.host(address);
  out_[{key.request.value, key.number}] = {serial, {host, 0, false}};
  const auto& w = static_cast<const LabWork&>(*work);
  const auto& k = world_.c.classes[w.cls].contract;
  if (k.freshness <= Freshness::bounded) {
    const bool replica = host && host->note().role == Role::replica;
    ++(replica ? world_.result.replica_reads : world_.result.primary_reads);
    if (replica) host = world_.read_at(host), out_[{key.request.value, key.number}].second.host = host;
  }
  if (host) ++world_.coming[host];
  Job job;
  job.work = w.work;
  job.write = k.freshness == Freshness::write;
  job.freshness = k.freshness;
  job.bound = k.staleness_bound;
  job.done = [this, key, serial, &t](Outcome outcome, AnswerMetadata note) {
    t.after(hop, [this, key, serial, outcome, note] {
      broker::AttemptResult r;
      r.outcome = outcome;
      r.metadata = note;
      end(key, serial, std::move(r));
    });
  };
  t.after(hop, [this, key, serial, host, job = std::move(job)]() mutable {
    if (host) --world_.coming[host];
    const auto it = out_.find({key.request.value, key.number});
    if (it == out_.end() || it->second.first != serial) return;  // given up on its way
    const auto number = host->offer(std::move(job));
    const auto still = out_.find({key.request.value, key.number});
    if (still != out_.end() && still->second.first == serial) still->second.second.number = number;
  });
  t.at(stop_at, [this, key, serial] {
    const auto it = out_.find({key.request.value, key.number});
    if (it == out_.end() || it->second.first != serial) return;
    if (it->second.second.number) it->second.second.host->cancel(it->second.second.number);
    broker::AttemptResult r;
    r.outcome = Outcome::timeout;
    end(key, serial, std::move(r));
  });
}

void SimUpstream::end(broker::AttemptKey key, std::uint64_t serial, broker::AttemptResult result) {
  const auto it = out_.find({key.request.value, key.number});
  if (it == out_.end() || it->second.first != serial) return;
  out_.erase(it);
  world_.gateways[gateway_]->broker->attempt_ended(key, std::move(result));
}

void SimUpstream::cancel(broker::AttemptKey key) {
  const auto it = out_.find({key.request.value, key.number});
  if (it == out_.end()) return;
  if (it->second.second.number) it->second.second.host->cancel(it->second.second.number);
  out_.erase(it);
}

void SimUpstream::probe(HostId id, const std::string& address) {
  auto& t = world_.timeline;
  const auto began = t.now();
  ++world_.result.probes;
  auto* host = world_.host(address);
  t.after(hop * 2 + probe_work, [this, id, host, began, &t] {
    const bool ok = host->alive() && !host->silent();
    world_.gateways[gateway_]->broker->probe_ended(id, ok ? Outcome::ok : Outcome::connect_failed,
                                                   t.now() - began, ok ? host->report() : LoadReport{});
  });
}

void SimUpstream::open_watch() {
  world_.timeline.after(
      std::chrono::milliseconds(1),
      [this] { world_.gateways[gateway_]->broker->on_member_list(world_.list()); });
}

void SimUpstream::set_timer(Time due) {
  const auto mine = ++wake_;
  world_.timeline.at(due, [this, mine] {
    if (mine == wake_) world_.gateways[gateway_]->broker->timer_fired();
  });
}

}  // namespace

double WorldResult::worth_share() const {
  double got = 0, asked = 0;
  for (const auto* side : {&within, &beyond})
    for (const auto& t : *side) got += t.worth, asked += t.worth_asked;
  return asked > 0 ? got / asked : 0;
}

double WorldResult::in_time_share(std::size_t cls) const {
  const auto& t = within[cls];
  return t.asked > 0 ? static_cast<double>(t.in_time) / static_cast<double>(t.asked) : 0;
}

WorldConfig sapporo() {
  WorldConfig c;
  const auto add = [&](const char* name, double share, Duration from, Duration to, Freshness freshness,
                       Duration aim, Duration deadline, double worth, double late) {
    ClassSpec k;
    k.contract.name = name;
    k.contract.latency_target = aim;
    k.contract.deadline = deadline;
    k.contract.value = worth;
    k.contract.late_value = late;
    k.contract.freshness = freshness;
    k.contract.staleness_bound = std::chrono::milliseconds(200);
    k.contract.idempotency = freshness == Freshness::write ? Idempotency::keyed : Idempotency::safe;
    k.contract.dedup_scope = DedupScope::group;
    k.contract.dedup_window = std::chrono::milliseconds(1200);
    k.share = share, k.work_from = from, k.work_to = to;
    c.classes.push_back(k);
  };
  add("desk-view", 0.48, std::chrono::milliseconds(44), std::chrono::milliseconds(77), Freshness::bounded,
      std::chrono::milliseconds(300), std::chrono::milliseconds(750), 2, 0.2);
  add("history", 0.40, std::chrono::milliseconds(44), std::chrono::milliseconds(77), Freshness::any,
      std::chrono::milliseconds(300), std::chrono::seconds(1), 1, 0);
  add("gate-check", 0.038, std::chrono::milliseconds(27), std::chrono::milliseconds(46), Freshness::fresh,
      std::chrono::milliseconds(200), std::chrono::milliseconds(800), 1, 0);
  add("bid-submit", 0.077, std::chrono::milliseconds(67), std::chrono::milliseconds(120), Freshness::write,
      std::chrono::milliseconds(750), std::chrono::seconds(2), 3, 0.7);
  c.tenants = {{"ishikari-gen", 0.66}, {"tokachi-denryoku", 0.18}, {"rumoi-wind", 0.16}};
  return c;
}

WorldResult run(const WorldConfig& config) { return World(config).go(); }

}  // namespace cedarring::lab
