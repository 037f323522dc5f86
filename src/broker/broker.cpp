// Implementation of Broker: admission of requests, their attempts and ends, and the tenants' budgets.
#include "broker/broker.h"

#include <algorithm>
#include <iterator>

namespace cedarring::broker {
namespace {

// A request that has waited longer than this is sent on only after checking that its client is still
// connected: after a stall of the process, or behind bytes that are not read, the broker may not have been
// notified of a disconnect.
constexpr Duration client_check_after = std::chrono::milliseconds(100);
constexpr double microseconds_per_second = 1e6;
// A host's state passed on by the other process reaches the router as an answered probe of this duration.
constexpr Duration relayed_probe_duration = std::chrono::milliseconds(1);
constexpr std::uint64_t timer_id = 1;  // of the router's only timer
// Shares of a budget that this process may spend, beside another process and alone.
constexpr double half_share = 0.5;
constexpr double whole_share = 1;

FinalAnswer refused_answer(Duration retry_after, const gates::Verdict& verdict = {}) {
  FinalAnswer answer;
  answer.status = AnswerStatus::refused;
  answer.retry_after = retry_after;
  answer.verdict = verdict;
  return answer;
}

FinalAnswer answer_without_value(AnswerStatus status) {
  FinalAnswer answer;
  answer.status = status;
  return answer;
}

FinalAnswer served_answer(std::string value) {
  FinalAnswer answer;
  answer.status = AnswerStatus::served;
  answer.value = std::move(value);
  return answer;
}

/// The limits of an attempt at a request with this deadline.
AttemptLimits limits_of(const Send& send, Time deadline) {
  AttemptLimits limits;
  limits.give_up_at = send.give_up_at > Time::zero() ? std::min(send.give_up_at, deadline) : deadline;
  if (send.write_by > Time::zero()) limits.write_by = send.write_by;
  limits.use_full_connect_timeout = send.use_full_connect_timeout;
  return limits;
}

/// The result of an attempt that ended by the broker's decision, without an answer of the host.
AttemptResult result_without_answer(Outcome outcome) {
  AttemptResult result;
  result.outcome = outcome;
  return result;
}

}  // namespace

Broker::Broker(const Settings& settings, const std::vector<TenantBudget>& budgets,
               std::vector<std::string> zones, Clock clock, Upstream& upstream, std::size_t max_requests)
    : budgets_(budgets.begin(), budgets.end()),
      clock_(std::move(clock)),
      upstream_(upstream),
      max_requests_(max_requests),
      settings_(settings),
      classes_(settings),
      gated_classes_(settings.classes.size()),
      gated_tenants_(budgets_.size()),
      router_(settings),
      hosts_(std::move(zones)) {}

void Broker::update_settings(Settings settings, std::vector<TenantBudget> budgets) {
  std::unordered_set<std::int32_t> classes_in_use;
  for (const auto& [id, request] : requests_) classes_in_use.insert(request.gate_request.class_id.value);
  classes_.update(settings, classes_in_use, clock_());
  for (auto& budget : budgets_) budget.configured = false;
  for (auto& budget : budgets) {
    const auto existing = std::find_if(budgets_.begin(), budgets_.end(), [&](const TenantBudget& candidate) {
      return candidate.tenant == budget.tenant;
    });
    if (existing == budgets_.end()) {
      budgets_.push_back(std::move(budget));
    } else {
      existing->configured = true;
      existing->per_second = budget.per_second;
    }
  }
  settings.classes = classes_.all();
  settings_ = std::move(settings);
  router_.update_settings(settings_);
}

void Broker::start(const MemberList& known_members) {
  handle_event(Started{});
  handle_event(MembersListed{ListKind::cached, hosts_.apply(known_members)});
}

Rejection Broker::accept(const ClientRequest& request, AnswerSink& sink, RequestId& id) {
  const auto class_id = classes_.find(request.class_name, clock_());
  if (!class_id) return Rejection::unknown_class;
  const auto rejection = admit(request, *class_id, sink, id);
  auto& counts = classes_.counts(*class_id);
  // Clients are told of these rejections as refusals, so they count as refused.
  if (rejection == Rejection::too_many_requests || rejection == Rejection::out_of_memory ||
      rejection == Rejection::late)
    ++counts.shed;
  else if (rejection != Rejection::none)
    ++counts.errors;
  return rejection;
}

/// Accepts a request of a known class, unless it is rejected, and passes it to the gates and the router.
Rejection Broker::admit(const ClientRequest& client_request, ClassId class_id, AnswerSink& sink,
                        RequestId& id) {
  const auto budget = std::find_if(budgets_.begin(), budgets_.end(), [&](const TenantBudget& candidate) {
    return candidate.configured && candidate.tenant == client_request.tenant;
  });
  if (!budgets_.empty() && budget == budgets_.end()) return Rejection::unknown_tenant;
  if (!hosts_.has_group(client_request.group)) return Rejection::unknown_group;
  if (requests_.size() >= max_requests_) return Rejection::too_many_requests;
  if (client_request.out_of_memory) return Rejection::out_of_memory;
  const Time now = clock_();
  const Time deadline = std::min(client_request.arrived.value_or(now), now) + client_request.time_left;
  if (deadline <= now || shutting_down_) return Rejection::late;
  // Hosts and routing rules identify a request by its name: two open requests must not have the same name.
  if (!open_request_names_.insert(client_request.name).second) return Rejection::name_in_use;
  id = RequestId{next_request_id_++};
  auto& request = requests_[id.value];
  request.sink = &sink;
  request.name = client_request.name;
  request.payload = client_request.payload;
  request.session = client_request.session;
  request.accepted_at = now;
  request.deadline = deadline;
  request.gate_request.request = id;
  request.gate_request.class_id = class_id;
  request.gate_request.group = client_request.group;
  request.gate_request.retry = client_request.retry;
  request.gate_request.time_left = deadline - now;
  if (client_request.session) request.gate_request.caller = client_request.session->value;
  if (budget != budgets_.end()) {
    request.budget = &*budget;
    request.gate_request.tenant = static_cast<std::int32_t>(budget - budgets_.begin());
    ++budget->requested;
    request.gate_request.beyond_budget = !budget->try_spend(now);
    if (request.gate_request.beyond_budget) ++budget->over_budget;
  }
  if (const auto verdict = pass_gates(request, now); !verdict.admitted) {
    // The router never learns of the request: it is refused here. `id` refers to the caller's storage, which
    // the answer may destroy.
    const RequestId refused_id = id;
    finish_request(refused_id, refused_answer(verdict.retry_after, verdict), verdict.decided_by);
    erase_if_complete(refused_id);
    return Rejection::none;
  }
  RequestArrived event;
  event.request = id;
  event.class_id = request.gate_request.class_id;
  event.group = client_request.group;
  event.time_left = deadline - now;
  event.session = client_request.session;
  // A commit stamped by a clock ahead of this one is still a write that the read has to see, so its age is
  // never zero.
  if (client_request.required_position)
    event.token_age = std::max(now - *client_request.required_position, Duration(1));
  handle_event(event);
  return Rejection::none;
}

/// Passes a request through the gates until one of them rejects it; returns the verdict of that gate.
gates::Verdict Broker::pass_gates(Request& request, Time now) {
  // Gates know only the classes and tenants that were configured at the start. Requests of a class or tenant
  // that was added by a reload bypass the gates until the next restart.
  if (index_of(request.gate_request.class_id) >= gated_classes_ ||
      (request.gate_request.tenant >= 0 &&
       static_cast<std::size_t>(request.gate_request.tenant) >= gated_tenants_))
    return {};
  for (auto* gate : gates_) {
    ++request.gates_consulted;
    const auto verdict = gate->admit(request.gate_request, now);
    if (!verdict.admitted) return verdict;
    request.gate_request.beyond_budget |= verdict.beyond_contract;
  }
  return {};
}

void Broker::client_left(RequestId id) {
  const auto it = requests_.find(id.value);
  if (it == requests_.end() || it->second.ended) return;
  mark_ended(it->second);
  record_end(it->second, gates::RequestEnd::abandoned);
  it->second.sink = nullptr;
  handle_event(ClientLeft{id});
  cancel_attempts(id);
}

/// Cancels the attempts in flight of a request whose answer is no longer awaited, which closes their
/// connections.
void Broker::cancel_attempts(RequestId id) {
  const auto it = requests_.find(id.value);
  if (it == requests_.end()) return;
  const auto attempts = it->second.attempts;
  for (std::uint32_t i = 0; i < attempts.size(); ++i)
    if (attempts[i].in_flight) {
      upstream_.cancel({id, i});
      attempt_ended({id, i}, result_without_answer(Outcome::cancelled));
    }
  erase_if_complete(id);
}

void Broker::begin_shutdown() {
  shutting_down_ = true;
  std::vector<RequestId> open;
  for (const auto& [id, request] : requests_)
    if (!request.ended && !request.streaming) open.push_back(RequestId{id});
  for (const auto id : open) {
    const auto it = requests_.find(id.value);
    if (it == requests_.end() || it->second.ended) continue;
    const auto status = it->second.may_have_run || it->second.attempts_in_flight > 0 ? AnswerStatus::failed
                                                                                     : AnswerStatus::refused;
    finish_request(id, answer_without_value(status), gates::Decider::nobody);
    handle_event(ClientLeft{id});
    cancel_attempts(id);
  }
}

bool Broker::attempt_part(AttemptKey key, std::string_view bytes) {
  const auto it = requests_.find(key.request.value);
  if (it == requests_.end()) return true;
  auto& request = it->second;
  const bool is_last_attempt = key.number + 1 == request.attempts.size();
  if (request.ended || !is_last_attempt) return true;
  if (!std::exchange(request.streaming, true)) {
    handle_event(AnswerStarted{key.request, key.number});
    request.may_have_run = true;
  }
  auto* sink = request.sink;
  return !sink || sink->on_answer_part(key.request, bytes);
}

void Broker::resume_answer(RequestId id) {
  const auto it = requests_.find(id.value);
  if (it == requests_.end() || it->second.ended || !it->second.streaming) return;
  upstream_.resume({id, static_cast<std::uint32_t>(it->second.attempts.size() - 1)});
}

void Broker::attempt_written(AttemptKey key) {
  const auto it = requests_.find(key.request.value);
  if (it != requests_.end()) ++classes_.counts(it->second.gate_request.class_id).tries;
}

void Broker::collect_metrics(telemetry::Metrics& out) {
  for (const auto& [name, counts] : classes_.counts_by_name()) out.classes[name] += counts;
  out.active += open_request_names_.size();
  out.pool_size += hosts_.listed_count();
  std::vector<GroupView> views;
  group_views(views);
  for (const auto& view : views) out.pool_ejected += static_cast<std::uint64_t>(view.avoided);
  out.pool_ejected += hosts_.listed_disabled_count();
}

void Broker::attempt_ended(AttemptKey key, AttemptResult result) {
  const auto it = requests_.find(key.request.value);
  if (it == requests_.end() || key.number >= it->second.attempts.size()) return;
  auto& request = it->second;
  auto& attempt = request.attempts[key.number];
  if (!attempt.in_flight) return;
  attempt.in_flight = false;
  --request.attempts_in_flight;
  AttemptEnded event;
  event.request = key.request;
  event.attempt = key.number;
  event.host = attempt.host;
  event.outcome = result.outcome;
  attempt.duration = clock_() - attempt.sent_at;
  event.elapsed = attempt.duration;
  attempt.outcome = result.outcome;
  event.metadata = result.metadata;
  event.report = result.report;
  event.connect_timed_out = result.connect_timed_out;
  event.unconfirmed = result.unconfirmed;
  request.last_outcome = result.outcome;
  request.may_have_run |= result.outcome != Outcome::connect_failed && result.outcome != Outcome::not_sent &&
                          result.outcome != Outcome::full && result.outcome != Outcome::too_stale;
  request.message = std::move(result.message);
  // The answer to a write carries the write's commit position, which says nothing about which replicas have
  // applied it: only the host's role is recorded, not the position. Replicas refuse writes, so the position
  // in a replica's answer is its own and is recorded, as for reads.
  const auto& request_class = classes_[request.gate_request.class_id];
  const bool position_is_commit =
      request_class.freshness == Freshness::write && result.metadata.role != Role::replica;
  observe_host(attempt.host, result.metadata.role,
               position_is_commit ? std::nullopt : result.metadata.position);
  // A served attempt ends the request: the router is notified of both in one event, then the client is
  // answered.
  AnswerSink* sink = nullptr;
  if (result.outcome == Outcome::ok && !request.ended) {
    sink = std::exchange(request.sink, nullptr);
    mark_ended(request);
    record_end(request, gates::RequestEnd::served);
    if (position_is_commit && on_commit_ && request.session)
      on_commit_({request.gate_request.group, *request.session, result.metadata.position.value_or(clock_())});
  }
  event.request_ended = request.ended;
  handle_event(event);
  erase_if_complete(key.request);
  if (sink) sink->finish(key.request, served_answer(std::move(result.value)));
}

/// Records a host's role and position, and reports a change of role.
void Broker::observe_host(HostId host, Role role, std::optional<Time> position) {
  if (hosts_.observe(host, role, position, clock_()) && on_role_change_)
    on_role_change_(hosts_.name(host), role);
}

bool Broker::set_disabled(const std::string& host, bool disabled, bool force) {
  const auto entry = hosts_.set_disabled(host, disabled, clock_(), force);
  if (!entry) return false;
  if (entry->host == HostId{})
    return true;  // not listed now: the state applies once the host is listed again
  handle_event(MembersListed{ListKind::delta, {*entry}});
  if (entry->state != HostState::ready) upstream_.close_idle(entry->host);
  return true;
}

void Broker::observe(const std::string& host, Role role, std::optional<Time> position) {
  const auto id = hosts_.find(host);
  if (!id) return;
  hosts_.observe(*id, role, position, clock_());
  LoadReport report;
  // A primary is always current, so an old position would make it look stalled.
  if (role != Role::primary) report.position = position;
  if (role != Role::unknown) report.role = role;
  handle_event(ProbeEnded{*id, Outcome::ok, relayed_probe_duration, report});
}

RouterSnapshot Broker::snapshot(SnapshotScope scope) {
  auto snapshot = router_.snapshot(clock_(), scope);
  for (auto& host : snapshot.hosts) host.name = hosts_.name(host.host);
  return snapshot;
}

void Broker::merge_snapshot(RouterSnapshot snapshot) {
  // An unknown host gets the id that no host has, so that the router ignores it.
  for (auto& host : snapshot.hosts) host.host = hosts_.find(host.name).value_or(HostId{});
  router_.merge_snapshot(clock_(), snapshot);
}

BudgetSnapshots Broker::split_budgets() {
  BudgetSnapshots snapshots;
  for (auto& budget : budgets_) {
    budget.refill(clock_());
    // The bucket holds the tokens of one second, so the burst that may be spent at once is `per_second`.
    const double incoming_share =
        handover::budget_share(handover::HandoverStage::incoming, budget.per_second);
    snapshots[budget.tenant] = {incoming_share, budget.tokens * incoming_share};
    budget.share_fraction = handover::budget_share(handover::HandoverStage::outgoing, budget.per_second);
    budget.tokens *= budget.share_fraction;
  }
  return snapshots;
}

void Broker::restore_budgets(const BudgetSnapshots& received) {
  for (auto& budget : budgets_) {
    budget.share_fraction = handover::budget_share(handover::HandoverStage::incoming, budget.per_second);
    budget.tokens = 0;
    budget.refilled_at = clock_();
  }
  for (auto& budget : budgets_)
    if (const auto it = received.find(budget.tenant); it != received.end()) {
      const auto& snapshot = it->second;
      budget.refilled_at = clock_();
      budget.share_fraction =
          snapshot.share_fraction >= 0 && snapshot.share_fraction <= 1 ? snapshot.share_fraction : 0;
      budget.tokens =
          snapshot.tokens >= 0 ? std::min(snapshot.tokens, budget.per_second * budget.share_fraction) : 0;
    }
}

void Broker::suspend_spending() {
  router_.suspend_spending();
  for (auto& budget : budgets_) {
    budget.tokens = 0;
    budget.share_fraction = 0;
    budget.refilled_at = clock_();
  }
}

void Broker::assume_own_share() {
  set_slow_start_share(half_share);
  restore_budgets({});
}

void Broker::resume_full_spending() {
  set_slow_start_share(whole_share);
  for (auto& budget : budgets_) {
    budget.refill(clock_());
    budget.share_fraction = whole_share;
  }
}

void Broker::probe_ended(HostId host, Outcome outcome, Duration elapsed, const LoadReport& report) {
  observe_host(host, report.role.value_or(Role::unknown), report.position);
  handle_event(ProbeEnded{host, outcome, elapsed, report});
}

void Broker::on_member_list(const MemberList& list) {
  handle_event(MembersListed{list.full ? ListKind::full : ListKind::delta, hosts_.apply(list)});
  for (const auto host : hosts_.hosts_to_close()) upstream_.close_idle(host);
  // While another event is being handled, this list is only queued: the router does not track the new hosts
  // yet, and they would be forgotten.
  if (!handling_events_) hosts_.prune([this](HostId id) { return router_.tracks(id); });
}

void Broker::on_member_list_failed() { handle_event(MembersListed{ListKind::failed, {}}); }

void Broker::timer_fired() { handle_event(TimerFired{timer_id}); }

/// Passes an event to the router and performs the resulting actions. An event that occurs meanwhile, because
/// an action has an immediate result, is queued and handled afterwards.
void Broker::handle_event(Event event) {
  events_.emplace_back(clock_(), std::move(event));
  if (handling_events_) return;
  handling_events_ = true;
  std::vector<Action> actions;
  while (!events_.empty()) {
    const auto [now, next_event] = std::move(events_.front());
    events_.pop_front();
    actions.clear();
    router_.handle(now, next_event, actions);
    for (const auto& action : actions) perform(action, now);
  }
  handling_events_ = false;
}

/// Performs an action of the router, which was decided at `now`.
void Broker::perform(const Action& action, Time now) {
  if (const auto* send = std::get_if<Send>(&action)) return start_attempt(*send, now);
  if (const auto* cancel = std::get_if<Cancel>(&action)) {
    const auto it = requests_.find(cancel->request.value);
    if (it == requests_.end() || cancel->attempt >= it->second.attempts.size()) return;
    if (!it->second.attempts[cancel->attempt].in_flight) return;
    const AttemptKey key{cancel->request, cancel->attempt};
    if (!it->second.ended && cancel->confirm_by > Time::zero())
      return upstream_.give_up(key, cancel->confirm_by);
    upstream_.cancel(key);
    attempt_ended(key, result_without_answer(Outcome::cancelled));
  } else if (const auto* refuse = std::get_if<Refuse>(&action)) {
    finish_request(refuse->request, refused_answer(refuse->retry_after), gates::Decider::router);
    erase_if_complete(refuse->request);
  } else if (const auto* fail = std::get_if<Fail>(&action)) {
    finish_request(fail->request, answer_without_value(AnswerStatus::failed), gates::Decider::router);
    erase_if_complete(fail->request);
  } else if (const auto* probe = std::get_if<Probe>(&action)) {
    upstream_.probe(probe->host, hosts_.address(probe->host));
  } else if (const auto* timer = std::get_if<SetTimer>(&action)) {
    upstream_.set_timer(timer->due);
  } else if (std::holds_alternative<OpenWatch>(action)) {
    upstream_.open_watch();
  }
}

/// Records an attempt and sends it, unless its answer is no longer awaited, a gate bars the retry, or there
/// is no time left: then the attempt ends as not sent.
void Broker::start_attempt(const Send& send, Time now) {
  const auto it = requests_.find(send.request.value);
  if (it == requests_.end()) return;
  auto& request = it->second;
  const auto number = static_cast<std::uint32_t>(request.attempts.size());
  request.attempts.push_back({send.host, now, true});
  ++request.attempts_in_flight;
  const AttemptKey key{send.request, number};
  const auto limits = limits_of(send, request.deadline);
  const auto consulted_end = gates_.begin() + static_cast<std::ptrdiff_t>(request.gates_consulted);
  const bool retry_barred = number > 0 && std::any_of(gates_.begin(), consulted_end, [&](auto* gate) {
                              return !gate->may_retry(request.gate_request, now);
                            });
  const bool check_client = number > 0 || now - request.accepted_at > client_check_after;
  if (!request.ended && check_client && request.sink && request.sink->client_gone())
    return client_left(send.request);
  // A request that ended while this action was queued is not sent: its answer is no longer awaited.
  if (request.ended || retry_barred || clock_() >= std::min(limits.give_up_at, limits.write_by))
    return attempt_ended(key, result_without_answer(Outcome::not_sent));
  const auto payload = request.payload;
  upstream_.start(key, send.host, hosts_.address(send.host), payload, limits);
}

/// Ends a request that was not served, and gives the client its final answer.
void Broker::finish_request(RequestId id, FinalAnswer answer, gates::Decider decided_by) {
  const auto it = requests_.find(id.value);
  if (it == requests_.end() || it->second.ended) return;
  // The client already has a part of a value, so the only possible end is a truncated one.
  if (it->second.streaming) {
    answer = {};
    answer.truncated = true;
  }
  mark_ended(it->second);
  record_end(it->second,
             answer.status == AnswerStatus::refused ? gates::RequestEnd::refused : gates::RequestEnd::failed,
             decided_by, answer.verdict.reason);
  if (answer.status == AnswerStatus::failed) {
    answer.message = std::move(it->second.message);
    answer.last_outcome = it->second.last_outcome;
  }
  if (auto* sink = std::exchange(it->second.sink, nullptr)) sink->finish(id, std::move(answer));
}

/// Notifies the gates of a request's end, and counts it for its class and tenant.
void Broker::record_end(Request& request, gates::RequestEnd end, gates::Decider decided_by,
                        gates::Reason reason) {
  request.end = end;
  if (request.gates_consulted > 0) {
    const Time now = clock_();
    for (std::size_t i = 0; i < request.gates_consulted; ++i)
      gates_[i]->on_request_end(request.gate_request,
                                {end, decided_by, reason, request.may_have_run, now - request.accepted_at},
                                now);
  }
  if (end == gates::RequestEnd::abandoned) return;
  auto& counts = classes_.counts(request.gate_request.class_id);
  ++(end == gates::RequestEnd::served    ? counts.ok
     : end == gates::RequestEnd::refused ? counts.shed
                                         : counts.errors);
  if (!request.budget) return;
  ++(end == gates::RequestEnd::served    ? request.budget->served
     : end == gates::RequestEnd::refused ? request.budget->refused
                                         : request.budget->failed);
}

void TenantBudget::refill(Time now) {
  const double seconds = static_cast<double>((now - refilled_at).count()) / microseconds_per_second;
  const double rate = per_second * share_fraction;
  tokens = refilled_at == Time{} ? rate : std::min(rate, tokens + seconds * rate);
  refilled_at = now;
}

bool TenantBudget::try_spend(Time now) {
  refill(now);
  if (tokens < 1) return false;
  tokens -= 1;
  return true;
}

/// Marks a request as ended, which makes its name available to other requests.
void Broker::mark_ended(Request& request) {
  request.ended = true;
  request.ended_at = clock_();
  open_request_names_.erase(request.name);
}

/// Erases a request that has ended and has no attempt in flight.
void Broker::erase_if_complete(RequestId id) {
  const auto it = requests_.find(id.value);
  if (it == requests_.end() || !it->second.ended || it->second.attempts_in_flight > 0) return;
  if (on_request_trace_) report_trace(it->second);
  requests_.erase(it);
}

/// Reports the course of a request and its attempts to the trace callback.
void Broker::report_trace(const Request& request) const {
  RequestTrace trace;
  trace.name = request.name;
  trace.class_name = classes_[request.gate_request.class_id].name;
  trace.group = request.gate_request.group;
  trace.retry = request.gate_request.retry;
  trace.elapsed = request.ended_at - request.accepted_at;
  trace.end = request.end;
  for (const auto& attempt : request.attempts)
    trace.attempts.push_back({hosts_.name(attempt.host), attempt.sent_at - request.accepted_at,
                              attempt.duration, attempt.outcome});
  on_request_trace_(trace);
}

}  // namespace cedarring::broker
