#include "broker/broker.h"

#include <algorithm>
#include <iterator>

namespace cedarring::broker {
namespace {

// How long a class that was dropped may still be named: clients hear of a reload later than the gateway, 1.2
// s.
constexpr Duration named_after{2'000'000};
constexpr std::size_t counts_most = 256;
// A request that has waited so long is not sent on before its client has been looked for: after a standstill,
// or behind bytes that are not read, its end may not have been heard.
constexpr Duration unseen_most{100'000};

/// With the settings' number of attempts, which belongs to what a request came in under.
RequestClass with_attempts(RequestClass cls, const Settings& settings) {
  if (cls.max_attempts == 0) cls.max_attempts = settings.max_attempts;
  return cls;
}

}  // namespace

Broker::Broker(Settings settings, const std::vector<TenantBudget>& budgets, std::vector<std::string> zones,
               Clock clock, Upstream& upstream, std::size_t max_requests)
    : budgets_(budgets.begin(), budgets.end()),
      clock_(std::move(clock)),
      upstream_(upstream),
      max_requests_(max_requests),
      settings_(settings),
      gated_classes_(settings.classes.size()),
      gated_tenants_(budgets_.size()),
      router_(settings),
      hosts_(std::move(zones)) {
  contracts_.resize(settings.classes.size());
  for (std::size_t i = 0; i < contracts_.size(); ++i) name(i, with_attempts(settings.classes[i], settings));
}

void Broker::name(std::size_t index, const RequestClass& cls) {
  contracts_[index] = {cls, &counts_[cls.name], forever};
}

void Broker::update_settings(Settings settings, std::vector<TenantBudget> budgets) {
  const Time now = clock_();
  std::vector<bool> open(contracts_.size(), false), kept(contracts_.size(), false);
  for (const auto& [id, r] : requests_) open[static_cast<std::size_t>(r.ask.class_id.value)] = true;
  std::vector<RequestClass> fresh;
  for (const auto& c : settings.classes) {
    const auto cls = with_attempts(c, settings);
    const auto same = std::find_if(contracts_.begin(), contracts_.end(),
                                   [&](const Contract& k) { return k.until == forever && k.cls == cls; });
    if (same == contracts_.end())
      fresh.push_back(cls);
    else
      kept[static_cast<std::size_t>(same - contracts_.begin())] = true;
  }
  for (std::size_t i = 0; i < contracts_.size(); ++i) {
    if (kept[i] || contracts_[i].until != forever) continue;
    const bool replaced = std::any_of(
        fresh.begin(), fresh.end(), [&](const RequestClass& c) { return c.name == contracts_[i].cls.name; });
    contracts_[i].until = replaced ? now : now + named_after;
  }
  for (const auto& cls : fresh) {
    std::size_t at = 0;
    while (at < contracts_.size() && (contracts_[at].until > now || open[at])) ++at;
    if (at == contracts_.size()) contracts_.emplace_back(), open.push_back(false);
    name(at, cls);
  }
  // A name that no number stands for is forgotten once there are many.
  for (auto it = counts_.begin(); it != counts_.end() && counts_.size() > counts_most;) {
    const bool used = std::any_of(contracts_.begin(), contracts_.end(),
                                  [&](const Contract& c) { return c.counts == &it->second; });
    it = used ? std::next(it) : counts_.erase(it);
  }
  for (auto& b : budgets_) b.named = false;
  for (auto& b : budgets) {
    const auto old = std::find_if(budgets_.begin(), budgets_.end(),
                                  [&](const TenantBudget& o) { return o.tenant == b.tenant; });
    if (old == budgets_.end())
      budgets_.push_back(std::move(b));
    else
      old->named = true, old->per_second = b.per_second;
  }
  settings.classes.clear();
  for (const auto& c : contracts_) settings.classes.push_back(c.cls);
  settings_ = std::move(settings);
  router_.update_settings(settings_);
}

void Broker::start(const MemberList& known) {
  feed(Started{});
  feed(MembersListed{ListKind::cached, hosts_.apply(known)});
}

Rejection Broker::accept(const ClientRequest& ask, FrontEnd& front, RequestId& id) {
  const Time now = clock_();
  const auto contract = std::find_if(contracts_.begin(), contracts_.end(), [&](const Contract& c) {
    return c.cls.name == ask.contract && now < c.until;
  });
  if (contract == contracts_.end()) return Rejection::unknown_contract;
  const auto rejection =
      take(ask, ClassId{static_cast<std::int32_t>(contract - contracts_.begin())}, front, id);
  // The front tells the client: what is worded as a refusal counts as one.
  if (rejection == Rejection::overfull || rejection == Rejection::late)
    ++contract->counts->shed;
  else if (rejection != Rejection::none)
    ++contract->counts->errors;
  return rejection;
}

Rejection Broker::take(const ClientRequest& ask, ClassId cls, FrontEnd& front, RequestId& id) {
  const auto budget = std::find_if(budgets_.begin(), budgets_.end(),
                                   [&](const TenantBudget& b) { return b.named && b.tenant == ask.tenant; });
  if (!budgets_.empty() && budget == budgets_.end()) return Rejection::unknown_tenant;
  if (!hosts_.has_group(ask.group)) return Rejection::unknown_group;
  if (requests_.size() >= max_requests_) return Rejection::overfull;
  const Time now = clock_();
  const Time deadline = std::min(ask.arrived.value_or(now), now) + ask.time_left;
  if (deadline <= now || closing_) return Rejection::late;
  // Hosts and the rules know a request by it: two at once could be taken for one another.
  if (!names_.insert(ask.name).second) return Rejection::name_in_use;
  id = RequestId{next_request_++};
  auto& r = requests_[id.value];
  r.front = &front;
  r.name = ask.name;
  r.work = ask.work;
  r.session = ask.session;
  r.taken = now;
  r.deadline = deadline;
  r.ask.request = id;
  r.ask.class_id = cls;
  r.ask.group = ask.group;
  r.ask.retry = ask.retry;
  r.ask.time_left = deadline - now;
  if (ask.session) r.ask.caller = ask.session->value;
  if (budget != budgets_.end()) {
    r.budget = &*budget;
    r.ask.tenant = static_cast<std::int32_t>(budget - budgets_.begin());
    ++budget->asked;
    r.ask.beyond_budget = !budget->draw(now);
    if (r.ask.beyond_budget) ++budget->over;
  }
  if (const auto verdict = pass_gates(r, now); !verdict.admitted) {
    // The router never learns of it: the answer is given here and now. The caller's own place for the id may
    // go with it.
    const RequestId mine = id;
    end(mine, {AnswerStatus::refused, verdict.retry_after, {}, {}, {}, verdict}, verdict.decided_by);
    settle(mine);
    return Rejection::none;
  }
  RequestArrived event;
  event.request = id;
  event.class_id = r.ask.class_id;
  event.group = ask.group;
  event.time_left = deadline - now;
  event.session = ask.session;
  // A commit from a clock ahead of ours still is a write that the read has to see: never an age of zero.
  if (ask.after) event.token_age = std::max(now - *ask.after, Duration(1));
  feed(event);
  return Rejection::none;
}

gates::Verdict Broker::pass_gates(Request& r, Time now) {
  // Gates know the classes and tenants of the start: what a reload has brought passes them by until the next
  // one.
  if (static_cast<std::size_t>(r.ask.class_id.value) >= gated_classes_ ||
      (r.ask.tenant >= 0 && static_cast<std::size_t>(r.ask.tenant) >= gated_tenants_))
    return {};
  for (auto* gate : gates_) {
    ++r.gates_asked;
    const auto verdict = gate->admit(r.ask, now);
    if (!verdict.admitted) return verdict;
    r.ask.beyond_budget |= verdict.beyond_contract;
  }
  return {};
}

void Broker::client_left(RequestId id) {
  const auto it = requests_.find(id.value);
  if (it == requests_.end() || it->second.ended) return;
  close(it->second);
  count(it->second, gates::RequestEnd::abandoned);
  it->second.front = nullptr;
  feed(ClientLeft{id});
  give_up(id);
}

/// Nobody waits for it any more: what is still out is given up, and its connection with it.
void Broker::give_up(RequestId id) {
  const auto left = requests_.find(id.value);
  if (left == requests_.end()) return;
  const auto attempts = left->second.attempts;
  for (std::uint32_t i = 0; i < attempts.size(); ++i)
    if (attempts[i].out) {
      upstream_.cancel({id, i});
      attempt_ended({id, i}, {Outcome::cancelled, {}, {}, {}, {}});
    }
  settle(id);
}

void Broker::begin_shutdown() {
  closing_ = true;
  std::vector<RequestId> open;
  for (const auto& [id, r] : requests_)
    if (!r.ended && !r.streaming) open.push_back(RequestId{id});
  for (const auto id : open) {
    const auto it = requests_.find(id.value);
    if (it == requests_.end() || it->second.ended) continue;
    const auto how = it->second.ran || it->second.out > 0 ? AnswerStatus::failed : AnswerStatus::refused;
    end(id, {how, {}, {}, {}, {}, {}}, gates::Decider::nobody);
    feed(ClientLeft{id});
    give_up(id);
  }
}

bool Broker::attempt_part(AttemptKey key, std::string_view bytes) {
  const auto it = requests_.find(key.request.value);
  if (it == requests_.end() || it->second.ended || key.number + 1 != it->second.attempts.size()) return true;
  if (!std::exchange(it->second.streaming, true)) {
    feed(AnswerStarted{key.request, key.number});
    it->second.ran = true;
  }
  auto* front = it->second.front;
  return !front || front->part(key.request, bytes);
}

void Broker::more(RequestId id) {
  const auto it = requests_.find(id.value);
  if (it == requests_.end() || it->second.ended || !it->second.streaming) return;
  upstream_.resume({id, static_cast<std::uint32_t>(it->second.attempts.size() - 1)});
}

void Broker::attempt_written(AttemptKey key) {
  const auto it = requests_.find(key.request.value);
  if (it != requests_.end())
    ++contracts_[static_cast<std::size_t>(it->second.ask.class_id.value)].counts->tries;
}

void Broker::collect_metrics(telemetry::Metrics& out) {
  for (const auto& [name, counts] : counts_) out.classes[name] += counts;
  out.active += names_.size();
  out.pool_size += hosts_.listed();
  std::vector<GroupView> views;
  group_views(views);
  for (const auto& v : views) out.pool_ejected += static_cast<std::uint64_t>(v.avoided);
  out.pool_ejected += hosts_.listed_disabled();
}

void Broker::attempt_ended(AttemptKey key, AttemptResult result) {
  const auto it = requests_.find(key.request.value);
  if (it == requests_.end() || key.number >= it->second.attempts.size()) return;
  auto& r = it->second;
  auto& a = r.attempts[key.number];
  if (!a.out) return;
  a.out = false;
  --r.out;
  AttemptEnded event;
  event.request = key.request;
  event.attempt = key.number;
  event.host = a.host;
  event.outcome = result.outcome;
  event.elapsed = a.took = clock_() - a.sent;
  a.outcome = result.outcome;
  event.metadata = result.metadata;
  event.report = result.report;
  event.connect_timed_out = result.connect_timed_out;
  r.why = result.outcome;
  r.ran |= result.outcome != Outcome::connect_failed && result.outcome != Outcome::not_sent &&
           result.outcome != Outcome::full && result.outcome != Outcome::too_stale;
  r.message = std::move(result.message);
  // A write's position is its commit, which its primary alone is known to hold.
  const bool commit =
      contracts_[static_cast<std::size_t>(r.ask.class_id.value)].cls.freshness == Freshness::write &&
      result.metadata.role != Role::replica;
  hear(a.host, result.metadata.role, commit ? std::nullopt : result.metadata.position);
  // What a host has served ends the request: the router learns of both at once, then the client gets it.
  FrontEnd* front = nullptr;
  if (result.outcome == Outcome::ok && !r.ended) {
    front = std::exchange(r.front, nullptr);
    close(r);
    count(r, gates::RequestEnd::served);
    if (commit && commit_ && r.session)
      commit_({r.ask.group, *r.session, result.metadata.position.value_or(clock_())});
  }
  event.request_ended = r.ended;
  feed(event);
  settle(key.request);
  if (front) front->finish(key.request, {AnswerStatus::served, {}, std::move(result.value), {}, {}, {}});
}

void Broker::hear(HostId host, Role role, std::optional<Time> position) {
  if (hosts_.observe(host, role, position, clock_()) && role_told_) role_told_(hosts_.name(host), role);
}

bool Broker::set_disabled(const std::string& host, bool out, bool sure) {
  const auto entry = hosts_.set_disabled(host, out, clock_(), sure);
  if (!entry) return false;
  if (entry->host == HostId{}) return true;  // not listed now: it is still out when it returns
  feed(MembersListed{ListKind::delta, {*entry}});
  if (entry->state != HostState::ready) upstream_.close_idle(entry->host);
  return true;
}

void Broker::observe(const std::string& host, Role role, std::optional<Time> position) {
  const auto id = hosts_.find(host);
  if (!id) return;
  hosts_.observe(*id, role, position, clock_());
  LoadReport report;
  // A primary stands at the present, so an old position would make it look like one that has stopped.
  if (role != Role::primary) report.position = position;
  if (role != Role::unknown) report.role = role;
  feed(ProbeEnded{*id, Outcome::ok, std::chrono::milliseconds(1), report});
}

RouterSnapshot Broker::snapshot(SnapshotScope what) {
  auto k = router_.snapshot(clock_(), what);
  for (auto& h : k.hosts) h.name = hosts_.name(h.host);
  return k;
}

void Broker::merge_snapshot(RouterSnapshot k) {
  for (auto& h : k.hosts) h.host = hosts_.find(h.name).value_or(HostId{});
  router_.merge_snapshot(clock_(), k);
}

BudgetSnapshots Broker::split_budgets() {
  BudgetSnapshots all;
  for (auto& b : budgets_) {
    b.refill(clock_());
    const double theirs = handover::budget_share(handover::HandoverStage::incoming, b.per_second);
    all[b.tenant] = {theirs, b.left * theirs};
    b.part = handover::budget_share(handover::HandoverStage::outgoing, b.per_second), b.left *= b.part;
  }
  return all;
}

void Broker::take_budgets(const BudgetSnapshots& told) {
  for (auto& b : budgets_)
    b.part = handover::budget_share(handover::HandoverStage::incoming, b.per_second), b.left = 0,
    b.at = clock_();
  for (auto& b : budgets_)
    if (const auto it = told.find(b.tenant); it != told.end()) {
      b.at = clock_();
      b.part = it->second.part >= 0 && it->second.part <= 1 ? it->second.part : 0;
      b.left = it->second.left >= 0 ? std::min(it->second.left, b.per_second * b.part) : 0;
    }
}

void Broker::suspend_spending() {
  router_.suspend_spending();
  for (auto& b : budgets_) b.part = b.left = 0, b.at = clock_();
}

void Broker::assume_own_share() {
  set_slow_start_share(0.5);
  take_budgets({});
}

void Broker::resume_full_spending() {
  set_slow_start_share(1);
  for (auto& b : budgets_) b.refill(clock_()), b.part = 1;
}

void Broker::probe_ended(HostId host, Outcome outcome, Duration elapsed, const LoadReport& report) {
  hear(host, report.role.value_or(Role::unknown), report.position);
  feed(ProbeEnded{host, outcome, elapsed, report});
}

void Broker::listed(const MemberList& list) {
  feed(MembersListed{list.full ? ListKind::full : ListKind::delta, hosts_.apply(list)});
  for (const auto host : hosts_.closed()) upstream_.close_idle(host);
  // While the router is being fed it has not seen this list yet: it would seem to know none of the new hosts.
  if (!feeding_) hosts_.prune([this](HostId id) { return router_.tracks(id); });
}

void Broker::list_failed() { feed(MembersListed{ListKind::failed, {}}); }

void Broker::timer_fired() { feed(TimerFired{1}); }

/// Events are taken one after another: what an action brings about at once waits for its turn.
void Broker::feed(Event event) {
  events_.emplace_back(clock_(), std::move(event));
  if (feeding_) return;
  feeding_ = true;
  std::vector<Action> actions;
  while (!events_.empty()) {
    const auto [now, next] = std::move(events_.front());
    events_.pop_front();
    actions.clear();
    router_.handle(now, next, actions);
    for (const auto& action : actions) act(action, now);
  }
  feeding_ = false;
}

void Broker::act(const Action& action, Time now) {
  if (const auto* s = std::get_if<Send>(&action)) return send(*s, now);
  if (const auto* c = std::get_if<Cancel>(&action)) {
    const auto it = requests_.find(c->request.value);
    if (it == requests_.end() || c->attempt >= it->second.attempts.size()) return;
    if (!it->second.attempts[c->attempt].out) return;
    upstream_.cancel({c->request, c->attempt});
    attempt_ended({c->request, c->attempt}, {Outcome::cancelled, {}, {}, {}, {}});
  } else if (const auto* r = std::get_if<Refuse>(&action)) {
    end(r->request, {AnswerStatus::refused, r->retry_after, {}, {}, {}, {}}, gates::Decider::router);
    settle(r->request);
  } else if (const auto* f = std::get_if<Fail>(&action)) {
    end(f->request, {AnswerStatus::failed, {}, {}, {}, {}, {}}, gates::Decider::router);
    settle(f->request);
  } else if (const auto* p = std::get_if<Probe>(&action)) {
    upstream_.probe(p->host, hosts_.address(p->host));
  } else if (const auto* t = std::get_if<SetTimer>(&action)) {
    upstream_.set_timer(t->due);
  } else if (std::holds_alternative<OpenWatch>(action)) {
    upstream_.open_watch();
  }
}

void Broker::send(const Send& send, Time now) {
  const auto it = requests_.find(send.request.value);
  if (it == requests_.end()) return;
  auto& r = it->second;
  const auto number = static_cast<std::uint32_t>(r.attempts.size());
  r.attempts.push_back({send.host, now, true});
  ++r.out;
  const AttemptKey key{send.request, number};
  const Time stop_at = send.give_up_at > Time::zero() ? std::min(send.give_up_at, r.deadline) : r.deadline;
  // A request that ended while this action waited is not sent at all: nobody would take its answer.
  const bool barred =
      number > 0 && std::any_of(gates_.begin(), gates_.begin() + static_cast<std::ptrdiff_t>(r.gates_asked),
                                [&](auto* gate) { return !gate->may_retry(r.ask, now); });
  const bool waited = number > 0 || now - r.taken > unseen_most;
  if (!r.ended && waited && r.front && r.front->gone()) return client_left(send.request);
  if (r.ended || barred || clock_() >= stop_at)
    return attempt_ended(key, {Outcome::not_sent, {}, {}, {}, {}, {}});
  const auto work = r.work;
  upstream_.start(key, send.host, hosts_.address(send.host), work, stop_at, send.sole_candidate);
}

void Broker::end(RequestId id, FinalAnswer answer, gates::Decider by) {
  const auto it = requests_.find(id.value);
  if (it == requests_.end() || it->second.ended) return;
  if (it->second.streaming) answer = {}, answer.truncated = true;
  close(it->second);
  count(it->second,
        answer.status == AnswerStatus::refused ? gates::RequestEnd::refused : gates::RequestEnd::failed, by,
        answer.verdict.reason);
  if (answer.status == AnswerStatus::failed)
    answer.message = std::move(it->second.message), answer.last_outcome = it->second.why;
  if (auto* front = std::exchange(it->second.front, nullptr)) front->finish(id, std::move(answer));
}

void Broker::count(Request& r, gates::RequestEnd end, gates::Decider by, gates::Reason why) {
  r.how = end;
  if (r.gates_asked > 0) {
    const Time now = clock_();
    for (std::size_t i = 0; i < r.gates_asked; ++i)
      gates_[i]->on_request_end(r.ask, {end, by, why, r.ran, now - r.taken}, now);
  }
  if (end == gates::RequestEnd::abandoned) return;
  auto& counts = *contracts_[static_cast<std::size_t>(r.ask.class_id.value)].counts;
  ++(end == gates::RequestEnd::served    ? counts.ok
     : end == gates::RequestEnd::refused ? counts.shed
                                         : counts.errors);
  if (!r.budget) return;
  ++(end == gates::RequestEnd::served    ? r.budget->served
     : end == gates::RequestEnd::refused ? r.budget->refused
                                         : r.budget->failed);
}

void TenantBudget::refill(Time now) {
  const double passed = static_cast<double>((now - at).count()) / 1e6, rate = per_second * part;
  left = at == Time{} ? rate : std::min(rate, left + passed * rate);
  at = now;
}

bool TenantBudget::draw(Time now) {
  refill(now);
  if (left < 1) return false;
  left -= 1;
  return true;
}

void Broker::close(Request& r) {
  r.ended = true;
  r.ended_at = clock_();
  names_.erase(r.name);
}

void Broker::settle(RequestId id) {
  const auto it = requests_.find(id.value);
  if (it == requests_.end() || !it->second.ended || it->second.out > 0) return;
  if (course_) tell_course(it->second);
  requests_.erase(it);
}

void Broker::tell_course(const Request& r) const {
  RequestTrace c;
  c.name = r.name;
  c.contract = contracts_[static_cast<std::size_t>(r.ask.class_id.value)].cls.name;
  c.group = r.ask.group;
  c.retry = r.ask.retry;
  c.elapsed = r.ended_at - r.taken;
  c.end = r.how;
  for (const auto& a : r.attempts)
    c.legs.push_back({hosts_.name(a.host), a.sent - r.taken, a.took, a.outcome});
  course_(c);
}

}  // namespace cedarring::broker
