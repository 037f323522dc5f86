// The routing decisions: which host a request is sent to, whether it is retried, refused or failed.
// The interface is include/cedarring/router.h. Sections, in order: membership, replication positions,
// primary, health, host selection, admission, attempts, timers.
#include "cedarring/router.h"

#include <algorithm>
#include <numeric>
#include <random>
#include <tuple>
#include <utility>

#include "cedarring/snapshot.h"
#include "fleet/weighted_choice.h"
#include "handover/router_snapshot.h"
#include "router/state.h"

namespace cedarring {
using namespace state;  // NOLINT(google-build-using-namespace): the router's own records

namespace {

// Estimates of latency. A "target" is the latency target of a request's class; a "load" is latency over
// target.
constexpr double host_latency_gain = 0.15;      // EWMA gain of a host's relative latency and load
constexpr double class_latency_gain = 0.03;     // EWMA gain of a class's mean latency
constexpr double initial_latency_share = 0.25;  // of the class's target, until the latency has been measured
constexpr double min_latency_ms = 0.1;          // least divisor, so that very short latencies divide safely
constexpr double min_relative_latency = 0.1;    // of a host, over the class's mean latency
constexpr double max_relative_latency = 50;     // of a host, over the class's mean latency
constexpr int initial_probe_time_divisor = 32;  // shortest target over the expected round trip of a probe
constexpr int initial_queue_wait_divisor = 3;   // typical latency over the wait per queued request
constexpr int min_queue_wait_divisor = 20;      // typical latency over the least wait per queued request
constexpr int probe_time_samples = 8;           // memory of the probes' mean round trip
constexpr int report_age_samples = 16;          // memory of the usual age of primaries' reports
constexpr double saturation_utilization = 1.2;  // at which the latency estimate from utilization diverges
// Elapsed time of an answer over the assumed age of the role that it reports.
constexpr int role_evidence_elapsed_divisor = 4;

// Health.
constexpr double failure_gain = 0.2;              // EWMA gain of a host's failures
constexpr double ejection_score = 0.5;            // failure score from which a host is ejected
constexpr double refused_connection_weight = 3;   // failures that one refusal counts as, enough to eject
constexpr int min_ejection_divisor = 2;           // shortest target over the least length of an ejection
constexpr int max_ejection_interval_targets = 8;  // longest targets; caps the first ejection
constexpr int max_ejection_targets = 16;          // longest targets; caps repeated ejections
constexpr double min_ejection_jitter = 0.75;      // least random factor on an ejection; the greatest is 1.25
constexpr int refused_connect_divisor = 2;   // connect timeout over the time of a refused connection at most
constexpr int unresponsive_lost_probes = 2;  // probes lost in a row that make a host unresponsive
constexpr int avoided_host_targets = 2;      // longest targets without a send, see GroupView::avoided
// If more than this share of lost probes were lost at hosts that answer requests, lost probes are not taken
// as a sign of failure.
constexpr double max_probe_unreliability = 0.5;
constexpr int probe_answer_gain_divisor = 4;        // failure_gain over the EWMA gain of an answered probe
constexpr double response_timeout_latencies = 5;    // typical latencies without an answer: host unresponsive
constexpr int response_timeout_divisor = 2;         // shortest target over the least response timeout
constexpr double max_timeout_relative_latency = 2;  // greatest relative latency in a host's response timeout
constexpr double trial_interval_timeouts = 4;   // response timeouts between trials of an unresponsive host
constexpr double lost_attempt_latencies = 12;   // expected latencies after which a single attempt is lost
constexpr int lost_attempt_timeouts = 2;        // response timeouts after which an attempt frees its place
constexpr int cancel_dedup_window_divisor = 2;  // deduplication window over the time for cancelling attempts
constexpr double outdated_report_multiple = 3;  // of the usual report age: above it a role claim is outdated

// Concurrency limits.
constexpr double initial_fleet_concurrency = 12;  // requests in flight at a host from all routers together
constexpr double limit_decrease_load = 0.27;      // smoothed load above which a host's limit shrinks
constexpr double limit_increase_load = 0.21;      // smoothed load below which a host's limit grows
constexpr double limit_increase_usage = 0.7;      // share of the limit in use from which it may grow
constexpr double limit_decrease_factor = 0.9;     // a reduction multiplies the limit by this
constexpr double min_concurrency_limit = 0.25;    // below 1, because the replicas' limits are pooled
constexpr double max_timeout_loads = 1.5;         // a time-out counts for at most this many smoothed loads
constexpr double fallback_read_share = 0.5;       // of the primary's limit that fallback reads may fill

// Admission.
constexpr double full_admission_load = 0.35;  // load up to which all requests are admitted
constexpr double saturated_load = 0.6;        // load from which only min_admitted_share is admitted
constexpr double min_admitted_share = 0.03;   // share of the work that is always admitted
constexpr double fallback_load_weight = 1.4;  // a primary's load as it counts for fallback reads
constexpr double full_host_load = 2;          // load sample of Outcome::full
constexpr double queueing_host_load = full_host_load / 2;  // load sample of a report with waiting requests
constexpr double queue_report_periods = 1.3;      // normal probe periods for which a reported queue is used
constexpr double busy_utilization = 0.9;          // reported use of cores from which a host is fully loaded
constexpr double group_load_memory_seconds = 12;  // long, because a group yields few samples
constexpr double rate_memory_seconds = 3;         // of arrival rates, load by role, failure scores
constexpr double max_load_samples = 12;           // samples remembered
constexpr int few_routers_divisor = 4;       // initial_fleet_concurrency over the routers that count as few
constexpr double load_prior_samples = 3;     // weight of all groups' load beside a group's own samples
constexpr double max_wait_share = 0.45;      // of its time that a request waits where late refusals cost more
constexpr double retry_after_latencies = 2;  // class latencies after which a refused request may come again
constexpr int stale_tolerance_divisor = 4;   // staleness bound over a difference in lag that does not matter

// Retries and sessions.
constexpr double retry_tokens_per_request = 0.2;
constexpr double max_retry_tokens = 10;
constexpr double session_memory_targets = 60;  // longest targets for which session writes are kept

// Probes.
constexpr double probe_period_staleness_share = 0.2;  // probe period over the tightest staleness bound
constexpr int min_probe_period_divisor = 3;           // shortest target over the least normal probe period
constexpr int max_probe_period_targets = 2;           // shortest targets; caps the normal probe period
constexpr int urgent_probe_divisor = 2;     // shortest target over the longest urgent period of few routers
constexpr int max_paid_period_targets = 3;  // longest targets; above it a group gets no regular probes
constexpr double arrival_rate_hold_seconds = 1;  // time without a request before the arrival rate is reduced
constexpr int on_demand_probe_count = 2;         // probes for one read, where only probes report positions
constexpr int on_demand_wait_round_trips = 4;    // mean round trips for which on-demand probes are awaited
constexpr int max_on_demand_wait_divisor = 4;    // shortest target over the longest such wait
constexpr double urgent_probe_load = 0.01;       // urgent probes of all routers in one typical latency
constexpr double probe_cost_share = 0.01;        // part of the requests' value that probes may cost
constexpr double max_saved_probes = 10;
// Share of the saved probes that only groups with waiting requests and no usable primary may use.
constexpr double urgent_probe_reserve = 0.5;
constexpr double min_capacity_divisor = 0.01;  // least capacity share that a cold host's probe interval uses
constexpr double min_probe_jitter = 0.8;       // least random factor on a probe period
constexpr double probe_jitter_range = 0.4;     // greatest random factor less the least

// Slow start.
constexpr double slow_start_budget_share = 0.67;  // of the overload budget, see slow_start_allows

// Requests for the member list, after the start and after failed requests, as shares of
// Settings::max_poll_interval.
constexpr double first_poll_spread = 0.1;  // the first polls of routers that start together spread over this
constexpr double initial_poll_backoff = 0.05;
constexpr double max_poll_backoff = 0.4;  // so that a retry still comes well inside the interval
// Least random factor on the backoff; the greatest is 1.5.
constexpr double min_backoff_jitter = 0.5;

// Timer.
constexpr double tick_quanta = 4;  // length of a tick in Settings::quantum
constexpr Duration min_tick_interval{10'000};
constexpr int idle_ticks_per_probe_period = 4;  // ticks in the shortest probe period while no request is open
constexpr std::uint64_t timer_number = 1;       // the router has a single timer

}  // namespace

/// The state machine behind Router. Each event is handled by an overload of on(), which appends the resulting
/// actions to `actions_`.
class Router::Impl : TransferableState {
 public:
  explicit Impl(Settings settings)
      : TransferableState({settings.probe_cost, probe_cost_share, max_saved_probes}),
        settings_(std::move(settings)),
        random_engine_(settings_.seed) {
    update_settings(settings_);
    retry_tokens_ = max_retry_tokens;
    for (auto& load : role_load_) {
      load.memory_seconds = rate_memory_seconds;
      load.max_samples = max_load_samples;
    }
    probe_round_trip_ = targets_.shortest / initial_probe_time_divisor;
    wait_per_queued_request_ = typical_latency() / initial_queue_wait_divisor;
  }

  /// Open requests keep their class ids, and the learned latencies and totals of the classes are kept.
  void update_settings(Settings settings) {
    check(settings);
    settings_ = std::move(settings);
    for (auto& request_class : settings_.classes)
      request_class.max_attempts =
          request_class.max_attempts > 0 ? request_class.max_attempts : settings_.max_attempts;
    targets_ = summarize_targets(settings_.classes);
    for (auto* totals : {&demand_[replica_index], &demand_[primary_index], &arrived_, &served_work_}) {
      totals->by_class.resize(settings_.classes.size());
      totals->memory_seconds = totals == &served_work_ ? group_load_memory_seconds : rate_memory_seconds;
    }
    for (auto i = class_latency_.size(); i < settings_.classes.size(); ++i)
      class_latency_.push_back(scale(settings_.classes[i].latency_target, initial_latency_share));
    tick_interval_ = std::max(scale(settings_.quantum, tick_quanta), min_tick_interval);
  }

  void handle(Time now, const Event& event, std::vector<Action>& out) {
    now_ = std::max(now_, now);
    if (first_event_at_ == never) first_event_at_ = now_;
    actions_ = &out;
    std::visit([this](const auto& typed_event) { on(typed_event); }, event);
    schedule_timer();
    actions_ = nullptr;
  }

  void group_views(Time now, std::vector<GroupView>& out) {
    now_ = std::max(now_, now);
    for (auto& [id, group] : groups_) {
      GroupView view;
      view.group = id;
      view.waiting = static_cast<int>(group.waiting.size());
      const Host* group_primary = primary(id);
      view.has_primary = group_primary && usable(*group_primary);
      if (group_primary) {
        view.primary_in_flight = group_primary->in_flight();
        view.primary_concurrency_limit = group_primary->concurrency_limit;
      }
      for (const auto request : group.waiting)
        view.primary_waiting += requires_primary(requests_.at(request).class_id.value) ? 1 : 0;
      for (const Host* member : group.members) {
        if (!listed_ready(*member)) continue;
        ++view.hosts;
        view.unavailable += healthy(*member) ? 0 : 1;
        view.in_flight += member->in_flight();
        view.concurrency_limit += member->concurrency_limit;
        view.avoided +=
            !healthy(*member) && now_ - member->last_send_at > targets_.longest * avoided_host_targets ? 1
                                                                                                       : 0;
        if (member == group_primary) continue;
        ++view.replicas;
        if (targets_.tightest_staleness_bound != forever &&
            now_ - member->position > targets_.tightest_staleness_bound)
          ++view.lagging;
      }
      out.push_back(view);
    }
  }
  void set_tuning(const Tuning& tuning) { tuning_ = tuning; }
  void set_max_in_flight(int max_in_flight) { max_in_flight_ = max_in_flight; }
  RouterSnapshot snapshot(Time now, SnapshotScope scope) {
    now_ = std::max(now_, now);
    return handover::take_snapshot(*this, settings_, now_, scope);
  }
  void merge_snapshot(Time now, const RouterSnapshot& snapshot) {
    now_ = std::max(now_, now);
    handover::merge_snapshot(*this, settings_, snapshot, now_);
  }
  void suspend_spending() {
    retry_tokens_ = 0;
    probe_budget_.set_balance(0);
    slow_start_share_.set_shares(0, 0);
  }
  void set_slow_start_share(Time now, double share) {
    slow_start_share_.schedule_share(now + settings_.overload_window, share);
  }
  bool tracks(HostId id) const { return hosts_.count(id) > 0; }
  std::size_t entry_count() const {
    std::size_t count = hosts_.size() + requests_.size();
    for (const auto& [id, group] : groups_) count += group.session_writes.size() + group.waiting.size();
    return count;
  }

 private:
  // ---- membership ----
  void on(const Started&) {
    if (settings_.discovery_mode == DiscoveryMode::poll) {
      const auto slot = scale(settings_.max_poll_interval, first_poll_spread) / settings_.instance_count;
      next_poll_at_ = now_ + slot * static_cast<std::int64_t>(settings_.instance_index);
      poll_backoff_ = scale(settings_.max_poll_interval, initial_poll_backoff);
    }
  }

  void on(const MembersListed& list) {
    if (list.kind == ListKind::failed) {
      next_poll_at_ = now_ + scale(poll_backoff_, min_backoff_jitter + random_unit());
      poll_backoff_ = std::min(poll_backoff_ * 2, scale(settings_.max_poll_interval, max_poll_backoff));
      return;
    }
    if (list.kind != ListKind::cached)
      poll_backoff_ = scale(settings_.max_poll_interval, initial_poll_backoff);
    if (list.kind != ListKind::delta)
      for (auto& [id, host] : hosts_) host.listed = false;
    for (const auto& entry : list.entries) apply_entry(entry);
    ready_hosts_ = 0;
    warm_up_ends_.clear();
    for (auto it = hosts_.begin(); it != hosts_.end();) {
      Host& host = (it++)->second;
      if (!host.listed) apply_listed_state(host, HostState::gone);
      ready_hosts_ += listed_ready(host) ? 1 : 0;
      if (listed_ready(host) && capacity_share(host) < 1)
        warm_up_ends_.insert(host.started_at + settings_.warm_up_duration);
      if (host.state != HostState::gone || host.in_flight() > 0) continue;
      groups_[host.group].remove_member(host);
      hosts_.erase(HostId(host.id));  // by a copy of the id, because the host is destroyed
    }
    for (auto& [id, group] : groups_) process_waiting(id);
  }

  void apply_entry(const HostEntry& entry) {
    auto [it, added] = hosts_.try_emplace(entry.host);
    Host& host = it->second;
    if (!added && host.group != entry.group) groups_[host.group].remove_member(host);
    if (added || host.group != entry.group) {
      host.id = entry.host;
      host.group = entry.group;
      if (added) host.outlier = fleet::OutlierDetector({failure_gain, rate_memory_seconds, ejection_score});
      host.concurrency_limit = initial_fleet_concurrency / settings_.instance_count;
      Group& group = groups_[entry.group];
      for (auto& load : group.load) {
        load.memory_seconds = group_load_memory_seconds;
        load.max_samples = max_load_samples;
      }
      auto& members = group.members;
      const auto next_member = std::find_if(members.begin(), members.end(),
                                            [&](const Host* other) { return host.id < other->id; });
      members.insert(next_member, &host);
      host.last_probe_at = now_ - scale(targets_.shortest, random_unit());  // spreads the first probes
    }
    host.listed = true;
    host.zone = entry.zone;
    host.listed_as_primary = entry.listed_primary && settings_.listed_role != ListedRole::none;
    apply_listed_state(host, entry.state);
    // A listed role may be old, so it is the weakest evidence: any report from a host replaces it.
    if (entry.listed_primary && settings_.listed_role != ListedRole::none && host.role == Role::unknown) {
      host.role = Role::primary;
      host.role_as_of = never + Duration(1);  // older than any report
    }
    const Time started_at = entry.started_at.value_or(never);
    if (started_at > host.started_at && now_ - started_at < settings_.warm_up_duration) {
      host.started_at = started_at;
      host.outlier.reset();
      host.lost_probes = 0;
      host.relative_latency = 1;
    }
  }

  /// Where removed hosts stay usable, a ready host that left the list stays in use: the outcomes of requests
  /// show whether it still serves. Only a listed drain takes it out of use.
  void apply_listed_state(Host& host, HostState state) const {
    if (state == HostState::gone && settings_.removed_hosts_stay_usable && host.state == HostState::ready)
      return;
    host.state = state;
  }

  // ---- replication positions ----
  void update_position(Host& host, Time position) {
    if (position > now_) return;  // a lower bound cannot lie in the future: the report is broken
    if (position > host.position) host.position_advanced_at = now_;
    host.position = std::max(host.position, position);
    host.position_learned_at = now_;
  }

  /// Weight of a replica for a request by its replication lag; 0: must not be used.
  double staleness_weight(const Host& host, const Request& request) const {
    const auto& request_class = settings_.classes[request.class_id.value];
    if (believed_too_stale(host, request)) {
      if (host.position == never || settings_.stale_read_policy == StaleReadPolicy::none) return 0;
      return fleet::StaleReadSuccessRate::weight(groups_.at(host.group).stale_read_success,
                                                 stale_read_success_);
    }
    return request_class.freshness == Freshness::bounded
               ? fleet::lag_weight(now_ - host.position, request_class.staleness_bound)
               : 1;
  }
  /// Whether the replica is believed to be too far behind for the request, by its last known position. A
  /// replica that checks reads decides by its true position.
  bool believed_too_stale(const Host& host, const Request& request) const {
    const auto& request_class = settings_.classes[request.class_id.value];
    if (request_class.freshness == Freshness::session) return host.position < request.required_position;
    return request_class.freshness == Freshness::bounded &&
           now_ - host.position > request_class.staleness_bound;
  }

  // ---- primary ----
  /// Sets the host's role unless the known role is newer. `as_of`: the time at which the host had `role`.
  void update_role(Host& host, Role role, Time as_of) {
    if (role == Role::unknown || as_of < host.role_as_of) return;
    host.role = role;
    host.role_as_of = as_of;
  }

  /// The ready host of the group that was known to be the primary most recently; null without any.
  Host* primary(GroupId id) {
    Host* best = nullptr;
    for (Host* member : groups_[id].members)
      if (member->role == Role::primary && listed_ready(*member) &&
          (!best || member->role_as_of > best->role_as_of))
        best = member;
    return best;
  }

  // ---- health ----
  /// Latency of a request of the class at the host, estimated from answers and, while known, from the host's
  /// utilization and queue.
  Duration expected_latency(const Host& host, ClassId class_id) const {
    // Cores shared among many requests slow all of them before a queue forms.
    const double utilization = queue_known(host) ? host.utilization : 0;
    const double slowdown = utilization * utilization * utilization / (saturation_utilization - utilization);
    return scale(class_latency_[class_id.value], host.relative_latency * (1 + slowdown)) + queue_delay(host);
  }

  /// Whether the host's last reported queue length and utilization are recent enough to be used: for about as
  /// long as a reported position.
  bool queue_known(const Host& host) const {
    return now_ - host.queue_reported_at <= scale(normal_probe_period(), queue_report_periods);
  }
  Duration queue_delay(const Host& host) const {
    return queue_known(host) ? scale(wait_per_queued_request_, host.queue_length) : Duration::zero();
  }
  /// Whether the reported queue is so long that the answer would come too late to be of value.
  bool queue_too_long(const Host& host, const Request& request) const {
    return host.queue_length > 0 && queue_known(host) &&
           now_ + queue_delay(host) > latest_useful_send(request);
  }

  /// How long a host with requests in flight may send no answer at all before it is unresponsive.
  Duration response_timeout(const Host& host) const {
    const double relative_latency = std::min(host.relative_latency, max_timeout_relative_latency);
    return std::max(targets_.shortest / response_timeout_divisor,
                    scale(typical_latency(), response_timeout_latencies * relative_latency));
  }
  /// Mean latency over all classes.
  Duration typical_latency() const {
    return std::accumulate(class_latency_.begin(), class_latency_.end(), Duration{}) /
           static_cast<std::int64_t>(class_latency_.size());
  }

  /// Whether the host is treated as hung, cut off or dead, or as a former primary that still claims the role
  /// with a position that stands still. Such a host gets single trial requests only: soon while its position
  /// advances (it is alive, only answers were lost on the way), seldom otherwise. A host that executes only
  /// long queries looks the same, and gets no further requests until it answers.
  bool unresponsive(const Host& host) const {
    const auto timeout = response_timeout(host);
    const bool outdated_primary_claim =
        host.role == Role::primary &&
        host.report_age > std::max(timeout, scale(usual_report_age_, outdated_report_multiple)) &&
        now_ - host.last_response_at > timeout;
    const bool probes_answered =
        host.lost_probes < unresponsive_lost_probes || probe_unreliability_ > max_probe_unreliability;
    if (probes_answered && !outdated_primary_claim) {
      if (host.time_without_response(now_) <= timeout) return false;
      // Without a response for so long, at least one attempt is in flight. The newest one is the last trial.
      const Time last_trial_at = *host.in_flight_sends.rbegin();
      if (now_ - host.position_advanced_at <= timeout) return now_ - last_trial_at <= timeout;
    }
    // If a host claims to be the primary by outdated reports, an advance of its position does not delay the
    // trial: with a position that advances now and then the host would never get a trial and would stay out
    // of use for good.
    const auto last_activity_at = std::max({host.last_send_at, host.last_response_at,
                                            outdated_primary_claim ? never : host.position_advanced_at});
    return !host.in_flight_sends.empty() ||
           now_ - last_activity_at <= scale(timeout, trial_interval_timeouts);
  }

  /// Whether the host is responsive and either not ejected or due for a trial: a single request at a time.
  bool healthy(const Host& host) const {
    if (unresponsive(host)) return false;
    const bool trial_allowed = host.outlier.ready_for_trial(now_) && host.in_flight() == 0;
    return !host.outlier.ejected() || trial_allowed;
  }

  /// Whether the primary `host` may take requests that no other host can take. These use it in spite of its
  /// errors, unless it is unresponsive or refuses connections. If an ejected primary got no requests, all
  /// writes would wait although some would be answered.
  bool usable(const Host& host) const {
    return healthy(host) || (host.refused_connections == 0 && !unresponsive(host));
  }

  /// Counts a failure of `weight` ordinary ones, and ejects the host at the threshold.
  void record_failure(Host& host, double weight) {
    if (!host.outlier.record_failure(now_, first_event_at_, weight)) return;
    // The ejection lasts so long that the next request of this router is not the trial yet. Not so for a
    // primary: requests that need it cannot be sent elsewhere meanwhile.
    const auto interval =
        std::min(groups_[host.group].send_interval(), targets_.longest * max_ejection_interval_targets);
    const auto min_length = std::max(targets_.shortest / min_ejection_divisor,
                                     host.role == Role::primary ? Duration{} : interval);
    host.outlier.eject(now_, min_length, targets_.longest * max_ejection_targets,
                       min_ejection_jitter + random_unit() / 2);
  }

  /// Resets the signs of failure of a host that has answered a request.
  void record_response(Host& host) {
    host.last_response_at = now_;
    // A process that refused connections and answers again has restarted, so it is cold.
    if (host.refused_connections > 1 && capacity_share(host) >= 1) host.started_at = now_;
    host.refused_connections = 0;
    if (host.lost_probes > 0) probe_unreliability_ += (1 - probe_unreliability_) * failure_gain;
    host.lost_probes = 0;
    host.outlier.record_success(now_, first_event_at_);
  }

  /// Updates the latency estimates of the class, the host and its queue, and the host's concurrency limit.
  void record_latency(Host& host, const Request& request, Duration elapsed) {
    auto& mean = class_latency_[request.class_id.value];
    const Time sent_at = now_ - elapsed;
    if (host.queue_length >= 1 && queue_known(host) && host.queue_reported_at <= sent_at)
      wait_per_queued_request_ +=
          scale(scale(elapsed - mean, 1 / host.queue_length) - wait_per_queued_request_, class_latency_gain);
    wait_per_queued_request_ = std::max(wait_per_queued_request_, typical_latency() / min_queue_wait_divisor);
    mean += scale(elapsed - mean, class_latency_gain);
    host.relative_latency +=
        host_latency_gain * (to_ms(elapsed) / std::max(min_latency_ms, to_ms(mean)) - host.relative_latency);
    host.relative_latency = std::clamp(host.relative_latency, min_relative_latency, max_relative_latency);
    adjust_concurrency_limit(host, request, elapsed, true);
  }

  /// Adjusts the host's concurrency limit by the request's latency over its target: additive increase,
  /// multiplicative decrease. `answered`: false for a time-out, whose `elapsed` the caller caps, because a
  /// time-out beside quick answers means an answer lost on the way, not a queue.
  void adjust_concurrency_limit(Host& host, const Request& request, Duration elapsed, bool answered) {
    const auto target = settings_.classes[request.class_id.value].latency_target;
    host.load += host_latency_gain * (to_ms(elapsed) / to_ms(target) - host.load);
    if (host.load > limit_decrease_load &&
        now_ - host.limit_reduced_at > class_latency_[request.class_id.value]) {
      host.concurrency_limit =
          std::max(min_concurrency_limit, host.concurrency_limit * limit_decrease_factor);
      host.limit_reduced_at = now_;
    } else if (answered && host.load < limit_increase_load &&
               host.in_flight() + 1 >= host.concurrency_limit * limit_increase_usage) {
      host.concurrency_limit += 1 / std::max(1.0, host.concurrency_limit);
    }
  }

  // ---- host selection ----
  /// Capacity of a host as a share of its full capacity, `ago` before now; 1 when it is warm now.
  double capacity_share(const Host& host, Duration ago = {}) const {
    if (host.started_at == never || now_ - host.started_at >= settings_.warm_up_duration) return 1;
    const auto uptime = std::max(Duration::zero(), now_ - ago - host.started_at);
    return settings_.cold_capacity_share +
           (1 - settings_.cold_capacity_share) * to_ms(uptime) / to_ms(settings_.warm_up_duration);
  }

  /// Slow start: whether a host that may be cold can take this request. In every overload window all routers
  /// together may send a cold host overload_multiple times its present capacity. No router knows what the
  /// others send, so each has a part of that budget:
  /// - Capacity is the work that warm hosts answered, per host. A fleet cannot answer more than its capacity,
  ///   so the routers' parts add up to at most one warm host, also in overload and retry storms; a restarted
  ///   router begins at 0. The capacity share is that at the start of the window, so a host that is warmer by
  ///   now gets fewer requests than it could take.
  /// - One of hundreds of routers has a part far below one request. Parts saved up would be spent by all
  ///   routers at once when a primary changes or waiting requests are released, so nothing is saved: a
  ///   request is sent with the probability at which the part covers all requests that may come, retries
  ///   included. Where no warm host can serve them, requests that may still be waiting count too. On a
  ///   primary, requests that need it and fallback reads have separate shares. While the part covers whole
  ///   requests, they are sent without a draw.
  /// - Routers that have not been notified of the start yet exceed the budget unknowingly, which is tolerated
  ///   unless two thirds of the work come from notified routers; so the notified ones use two thirds of the
  ///   budget. The rest covers handshakes, probes, slow hosts and chance. Warm hosts are not always fully
  ///   loaded, so the parts are smaller still.
  /// `choice_probability`: probability with which the host was chosen; `no_warm_host`: no warm host can take
  /// the request.
  bool slow_start_allows(const Request& request, Host& host, double choice_probability, bool no_warm_host) {
    if (capacity_share(host) >= 1) return true;
    const double window_seconds = to_seconds(settings_.overload_window);
    const double capacity = capacity_share(host, settings_.overload_window);
    const double budget = slow_start_budget_share * settings_.overload_multiple * capacity * window_seconds *
                          work_rate_per_warm_host();
    const Time window_start = now_ - settings_.overload_window;
    auto& usage = host.slow_start_usage;
    const double own_usage = usage.own(window_start);
    const double remaining = slow_start_share_.remaining(now_, budget, own_usage, usage.others(window_start));
    if (remaining >= relative_work(request.class_id.value)) return true;
    const double arrivals = std::max(1.0, arrived_.decay_and_sum(now_));
    const double arrival_seconds = arrived_.effective_seconds(now_ - first_event_at_);
    const double group_arrivals = groups_[request.group].arrival_rate * arrival_seconds;
    const double group_share = std::max(1.0 / groups_.size(), std::min(1.0, group_arrivals / arrivals));
    const bool needs_primary = requires_primary(request.class_id.value);
    double demand = 0;  // work of all groups' requests that are, like this one, for a primary or for replicas
    for (std::size_t i = 0; i < settings_.classes.size(); ++i)
      if (requires_primary(i) == needs_primary) {
        const double waiting_seconds = no_warm_host ? to_seconds(useful_duration(i)) : 0;
        demand +=
            arrived_.by_class[i] / arrival_seconds * relative_work(i) * (window_seconds + waiting_seconds);
      }
    const double primary_share = needs_primary ? 1 - fallback_read_share : fallback_read_share;
    const double share = host.role != Role::primary ? 1 : primary_share;
    const bool allowed = request.random_draw * demand * group_share * choice_probability < remaining * share;
    slow_start_denied_ = slow_start_denied_ || !allowed;
    return allowed;
  }
  /// Typical requests a second that warm hosts answered, per host. A crashed host counts until it leaves the
  /// list.
  double work_rate_per_warm_host() {
    warm_up_ends_.erase(warm_up_ends_.begin(), warm_up_ends_.upper_bound(now_));
    const auto warm_hosts = std::max(1, ready_hosts_ - static_cast<int>(warm_up_ends_.size()));
    return served_work_.decay_and_sum(now_) / served_work_.effective_seconds(now_ - first_event_at_) /
           warm_hosts;
  }
  /// Work of one request of a class, in typical requests.
  double relative_work(std::size_t class_index) const {
    return to_ms(class_latency_[class_index]) / std::max(min_latency_ms, to_ms(typical_latency()));
  }
  /// Value of a timely answer over its cost in milliseconds.
  double value_per_cost(std::size_t class_index) const {
    return settings_.classes[class_index].value /
           std::max(min_latency_ms, to_ms(class_latency_[class_index]));
  }
  std::size_t max_attempts(const Request& request) const {
    return settings_.classes[request.class_id.value].max_attempts;
  }
  /// Whether requests of the class run at the primary only: Freshness::fresh and Freshness::write.
  bool requires_primary(std::size_t class_index) const {
    return settings_.classes[class_index].freshness >= Freshness::fresh;
  }

  bool listed_ready(const Host& host) const { return host.state == HostState::ready; }
  /// Whether the host's attempts in flight are below `share` of its concurrency limit. Old attempts at a host
  /// that answers others are lost and do not count.
  bool below_concurrency_limit(const Host& host, double share = 1) const {
    const auto lost_before = now_ - response_timeout(host) * lost_attempt_timeouts;
    const auto& sends = host.in_flight_sends;
    const auto lost = host.last_response_at > lost_before
                          ? std::distance(sends.begin(), sends.lower_bound(lost_before))
                          : 0;
    return host.in_flight() - static_cast<int>(lost) < std::max(1.0, host.concurrency_limit * share);
  }

  /// Whether the replicas' attempts in flight are below the sum of their limits. The limits are pooled
  /// because one attempt from each of many routers would already overload a host. A slow host's limit can be
  /// used at the others, whose requests then get slower.
  bool below_pooled_limit(const Group& group, const Host* group_primary) const {
    double pooled_limit = 0;
    int in_flight = 0;
    for (const Host* member : group.members)
      if (member != group_primary && listed_ready(*member)) {
        pooled_limit += member->concurrency_limit;
        in_flight += member->in_flight();
      }
    return in_flight < std::max(1.0, pooled_limit);
  }

  /// Mean queueing delay of the replicas whose queue is known. It is assumed for the other replicas too:
  /// otherwise the replicas that reported last would get all reads until others report. Reads sent to a full
  /// host that has not reported wait longer than estimated.
  Duration mean_queue_delay(const Group& group, const Host* group_primary) const {
    Duration total{};
    std::int64_t known = 0;
    for (const Host* member : group.members)
      if (member != group_primary && listed_ready(*member) && queue_known(*member)) {
        total += queue_delay(*member);
        ++known;
      }
    return known > 0 ? total / known : Duration::zero();
  }

  /// Weighted random choice among `candidates`. If slow start denies the request to the chosen cold host,
  /// chooses again among the warm ones; null if there are none.
  Host* choose_weighted(const Request& request, std::vector<std::pair<Host*, double>>& candidates) {
    Host* chosen = fleet::weighted_choice(candidates, random_unit());
    if (!chosen || capacity_share(*chosen) >= 1) return chosen;
    double total_weight = 0;
    double chosen_weight = 0;
    for (const auto& [host, weight] : candidates) {
      total_weight += weight;
      chosen_weight += host == chosen ? weight : 0;
    }
    const auto cold = [this](const auto& candidate) { return capacity_share(*candidate.first) < 1; };
    const bool all_cold = std::all_of(candidates.begin(), candidates.end(), cold);
    const double probability = chosen_weight / std::max(chosen_weight, total_weight);
    if (slow_start_allows(request, *chosen, probability, all_cold)) return chosen;
    candidates.erase(std::remove_if(candidates.begin(), candidates.end(), cold), candidates.end());
    return fleet::weighted_choice(candidates, random_unit());
  }

  /// Probes replicas (a single one where answers report positions too), or the primary. To be called when too
  /// little is known of them to send a request. Returns whether a probe's answer is awaited. Where traffic is
  /// too thin to keep positions current, reads thus wait for one probe instead of going to the primary.
  bool probe_on_demand(Group& group, Host* group_primary, bool probe_primary) {
    if (!settings_.probes_allowed || !probe_budget_.available(urgent_probe_reserve)) return false;
    auto& awaited_until = group.on_demand_probes_until[role_index(probe_primary)];
    const auto pending = [&](const Host* member) {
      return member->probe_in_flight && (member == group_primary) == probe_primary;
    };
    if (now_ < awaited_until) return std::any_of(group.members.begin(), group.members.end(), pending);
    std::vector<std::pair<Host*, double>> candidates;
    for (Host* member : group.members)
      if ((member == group_primary) == probe_primary && listed_ready(*member) && !member->probe_in_flight &&
          healthy(*member) &&
          now_ - member->last_probe_at >= std::max(normal_probe_period(), min_probe_interval(*member)))
        candidates.emplace_back(member, capacity_share(*member));
    if (candidates.empty()) return false;
    awaited_until = now_ + std::clamp(probe_round_trip_ * on_demand_wait_round_trips, tick_interval_,
                                      targets_.shortest / max_on_demand_wait_divisor);
    const int max_probes = settings_.answers_carry_position ? 1 : on_demand_probe_count;
    for (int i = 0; i < max_probes && !candidates.empty() && probe_budget_.available(urgent_probe_reserve);
         ++i) {
      Host* chosen = fleet::weighted_choice(candidates, random_unit());
      send_probe(*chosen);
      const auto is_chosen = [&](const auto& candidate) { return candidate.first == chosen; };
      candidates.erase(std::remove_if(candidates.begin(), candidates.end(), is_chosen), candidates.end());
    }
    return true;
  }

  void send_probe(Host& host) {
    probe_budget_.spend();
    host.probe_in_flight = true;
    host.last_probe_at = now_;
    actions_->push_back(Probe{host.id});
  }

  /// A host to which a write is sent in search of the primary, where no usable primary is known and probing
  /// all members costs too much; null if there is none to try. A replica refuses the write at once and
  /// executes nothing. Each host gets such a write at most once in the shortest target: the listed primary
  /// first, then the hosts whose role was learnt longest ago. A write that does not find the primary has used
  /// up attempts.
  Host* primary_candidate(const Request& request, Group& group, const Host* group_primary) {
    const double cost_of_all_probes = settings_.probe_cost * static_cast<double>(group.members.size());
    const bool probes_affordable = settings_.probes_allowed && cost_of_all_probes <= probe_cost_share;
    if (probes_affordable || request.attempts.size() + 1 >= max_attempts(request)) return nullptr;
    Host* best = nullptr;
    for (Host* member : group.members) {
      if (member == group_primary || !listed_ready(*member) || !healthy(*member) ||
          !below_concurrency_limit(*member))
        continue;
      if (now_ - std::max(member->role_as_of, member->last_send_at) < targets_.shortest) continue;
      if (!best || std::pair(member->listed_as_primary, best->role_as_of) >
                       std::pair(best->listed_as_primary, member->role_as_of))
        best = member;
    }
    return best && slow_start_allows(request, *best, 1, true) ? best : nullptr;
  }

  /// The host that the request is to be sent to: the primary if the request requires it, else a weighted
  /// random choice among the replicas, else the primary. Null if no host can take the request now.
  Host* select_host(const Request& request) {
    if (attempts_in_flight_ >= max_in_flight_) return nullptr;
    const auto& request_class = settings_.classes[request.class_id.value];
    Group& group = groups_[request.group];
    Host* group_primary = primary(request.group);
    if (requires_primary(request.class_id.value)) {
      if (!group_primary || !usable(*group_primary))
        return request_class.freshness == Freshness::write ? primary_candidate(request, group, group_primary)
                                                           : nullptr;
      if (!below_concurrency_limit(*group_primary)) return nullptr;
      if (queues_reported_ && !queue_known(*group_primary) && probe_on_demand(group, group_primary, true))
        return nullptr;
      return queue_too_long(*group_primary, request) || !slow_start_allows(request, *group_primary, 1, true)
                 ? nullptr
                 : group_primary;
    }
    const bool pool_has_room = below_pooled_limit(group, group_primary);
    const auto assumed_queue_delay = mean_queue_delay(group, group_primary);
    bool no_replica = true;  // no replica can answer the request, now or soon
    if (!(request.refused_as_stale && group_primary)) {
      // First only healthy replicas, then all but those that refuse connections: these wait for their trial.
      for (const bool healthy_only : {true, false}) {
        std::vector<std::pair<Host*, double>> eligible;  // with their weights
        bool fresh_enough = false;                       // some eligible replica is not believed too stale
        bool busy = false;  // some healthy replica could answer, but has no capacity at present
        for (Host* member : group.members) {
          auto& host = *member;
          if (&host == group_primary || !listed_ready(host)) continue;
          const double lag_weight = staleness_weight(host, request);
          const bool excluded = healthy_only ? !healthy(host) || request.tried(host.id)
                                             : host.refused_connections > 0 && !healthy(host);
          if (lag_weight <= 0 || excluded) continue;
          if (!pool_has_room || !below_concurrency_limit(host) || queue_too_long(host, request)) {
            busy = busy || healthy(host);
            continue;
          }
          fresh_enough = fresh_enough || !believed_too_stale(host, request);
          // expected_latency includes the delay of a known queue.
          const auto unknown_queue_delay = queue_known(host) ? Duration::zero() : assumed_queue_delay;
          const double latency_ms =
              std::max(min_latency_ms, to_ms(expected_latency(host, request.class_id) + unknown_queue_delay));
          const double health_weight = std::pow(1 - host.outlier.decayed_failure_score(now_), 2);
          const double base_weight = lag_weight * capacity_share(host) * health_weight;
          const double weight = base_weight / (latency_ms * (host.in_flight() + 1));
          eligible.emplace_back(&host, weight);
        }
        no_replica = no_replica && !fresh_enough && !busy;
        if (fresh_enough) {
          if (Host* chosen = choose_weighted(request, eligible)) return chosen;
          break;
        }
        // The eligible replicas are all believed too stale, and check reads themselves: only the most current
        // ones are used.
        if (!eligible.empty() && !busy) {
          const bool assume_kept_up =
              fleet::StaleReadSuccessRate::assume_kept_up(group.stale_read_success, stale_read_success_);
          const auto tolerance =
              assume_kept_up ? request_class.staleness_bound / stale_tolerance_divisor : Duration::zero();
          fleet::retain_most_current(eligible, tolerance,
                                     [&](const Host& host) { return host.lag(now_, assume_kept_up); });
          if (Host* chosen = choose_weighted(request, eligible)) return chosen;
        }
        // Hosts at their concurrency limit are no reason to try unhealthy ones.
        if (healthy_only && (busy || (group_primary && healthy(*group_primary)))) break;
      }
      if (request_class.freshness != Freshness::any && probe_on_demand(group, group_primary, false))
        return nullptr;
    }
    // Fallback to the primary, within a share of its limit. Reads of more value than any write may use the
    // whole limit, because stale load reports can leave them no host but the primary. Like a write, a read
    // that no other host can answer uses the primary in spite of its errors.
    const double spillover = no_replica ? 1 : tuning_.read_spillover;
    const double limit_share = current_value_per_cost(request) > max_write_value_ ? 1 : fallback_read_share;
    if (group_primary && (no_replica ? usable(*group_primary) : healthy(*group_primary)) &&
        !queue_too_long(*group_primary, request) && spillover > 0 &&
        below_concurrency_limit(*group_primary, spillover * limit_share) &&
        slow_start_allows(request, *group_primary, 1, true))
      return group_primary;
    return nullptr;
  }

  // ---- admission ----
  /// Whether a further attempt would be the only one that a host has or can get, as it must be without
  /// hedging: none is in flight, and none has ended that its host may still read.
  bool only_copy(const Request& request) const {
    return settings_.hedging_allowed || (request.attempts_in_flight == 0 && !request.unconfirmed);
  }

  /// Whether the request may be sent to `target`, or be refused if `target` is null, without the risk that it
  /// takes effect twice. With DedupScope::all a request that may have run is refused without a check of its
  /// window: this relies on the client to repeat it with the same key within the window.
  bool permitted(const Request& request, const Host* target) const {
    const auto& request_class = settings_.classes[request.class_id.value];
    if (target && !only_copy(request)) return false;
    if (target && request.attempts.size() >= request_class.max_attempts) return false;
    if (request_class.idempotency == Idempotency::safe) return true;
    if (request.may_have_run_at == forever && request.attempts_in_flight == 0) return true;
    if (request_class.idempotency == Idempotency::unsafe) return false;
    if (!target) return request_class.dedup_scope == DedupScope::all;
    if (now_ >= write_by(request)) return false;
    const auto it = hosts_.find(request.first_possible_run().host);
    if (request_class.dedup_scope == DedupScope::all) return true;
    if (it == hosts_.end()) return false;
    return request_class.dedup_scope == DedupScope::zone ? it->second.zone == target->zone
                                                         : it->second.group == target->group;
  }

  /// Until when a further attempt has to be written whole, so that a repeat of a keyed request that may have
  /// run reaches its host within the deduplication window; `forever` without such a limit.
  Time write_by(const Request& request) const {
    const auto& request_class = settings_.classes[request.class_id.value];
    const auto first_run = request.first_possible_run();
    if (request_class.idempotency != Idempotency::keyed || first_run.sent_at == forever) return forever;
    return first_run.sent_at + request_class.dedup_window - settings_.quantum;
  }

  /// Adds a load sample of the host to its group and to all hosts of its role.
  void record_load(const Host& host, double sample) {
    const auto index = role_index(host.role == Role::primary);
    role_load_[index].add(now_, sample);
    groups_[host.group].load[index].add(now_, sample);
  }

  /// Share of the requested work that a group's replicas or its primary (`index`: see role_index) can take.
  /// One of hundreds of routers has less than one request in flight per host, so the share depends on the few
  /// answers of the group and, where these are too few, on the load of all groups. Keeps hosts from working
  /// through queues of requests that clients have given up. Next to an overloaded group, others with few
  /// samples refuse some requests too. `load_weight`: factor on the load.
  double admissible_share(const Group& group, std::size_t index, double load_weight) const {
    const double all_samples = role_load_[index].weight(now_);
    const double own_samples = group.load[index].weight(now_);
    const double usual_load = role_load_[index].mean * all_samples / (all_samples + load_prior_samples);
    const double load = (group.load[index].mean * own_samples + usual_load * load_prior_samples) /
                        (own_samples + load_prior_samples);
    // With few routers the concurrency limits bind first, so admission is more lenient.
    const double few_routers =
        std::min(1.0, initial_fleet_concurrency / few_routers_divisor / settings_.instance_count);
    const double effective_load = load_weight * load / (1 + few_routers);
    return std::clamp((saturated_load - effective_load) / (saturated_load - full_admission_load),
                      min_admitted_share, 1.0);
  }

  /// Whether the request is admitted to the host. The requests of most value per cost are admitted, up to the
  /// share of the work that the hosts can take. A loaded primary sheds fallback reads first, because writes
  /// cannot be sent elsewhere; so fallback reads are refused while the primary could still take some.
  bool admitted(const Request& request, const Host& host) {
    const auto index = role_index(host.role == Role::primary);
    auto& demand = demand_[index];
    const std::size_t class_index = request.class_id.value;
    demand.add(now_, class_index, to_ms(class_latency_[class_index]));
    const bool fallback_read = index == primary_index && !requires_primary(class_index);
    const double share =
        admissible_share(groups_[request.group], index, fallback_read ? fallback_load_weight : 1);
    if (share >= 1) return true;
    double more_valuable_demand = 0;
    for (std::size_t i = 0; i < demand.by_class.size(); ++i)
      if (value_per_cost(i) > value_per_cost(class_index)) more_valuable_demand += demand.by_class[i];
    return request.random_draw * demand.by_class[class_index] <
           share * demand.decay_and_sum(now_) - more_valuable_demand;
  }

  /// Value over cost of an answer to a request sent now.
  double current_value_per_cost(const Request& request) const {
    const auto& request_class = settings_.classes[request.class_id.value];
    const bool late =
        now_ + class_latency_[request.class_id.value] > request.arrived_at + request_class.latency_target;
    return value_per_cost(request.class_id.value) * (late ? request_class.late_value : 1.0);
  }

  /// The latest time at which a send can still lead to an answer of value.
  Time latest_useful_send(const Request& request) const {
    return std::min(request.deadline, request.arrived_at + useful_duration(request.class_id.value)) -
           class_latency_[request.class_id.value];
  }
  /// How long after a request's arrival its answer has value, for a request of the class.
  Duration useful_duration(std::size_t class_index) const {
    return settings_.classes[class_index].late_value > 0 ? settings_.classes[class_index].deadline
                                                         : settings_.classes[class_index].latency_target;
  }

  void on(const RequestArrived& event) {
    const auto found = groups_.find(event.group);
    const bool known_class = event.class_id.value >= 0 &&
                             event.class_id.value < static_cast<std::int32_t>(settings_.classes.size());
    if (!known_class || found == groups_.end() || found->second.members.empty()) {
      actions_->push_back(Refuse{event.request, retry_after(targets_.longest)});
      return;
    }
    if (requests_.count(event.request) > 0) return;
    Request& request = requests_[event.request];
    request.id = event.request;
    request.class_id = event.class_id;
    request.group = event.group;
    request.arrived_at = now_;
    request.deadline = now_ + event.time_left;
    request.random_draw = random_unit();
    Group& group = found->second;
    group.count_arrival(now_, rate_memory_seconds);
    if (now_ >= group.next_session_sweep_at) {
      group.next_session_sweep_at = now_ + targets_.longest;
      group.forget_session_writes(now_ - scale(targets_.longest, session_memory_targets));
    }
    ++group.open_requests;
    retry_tokens_ =
        std::min(max_retry_tokens, retry_tokens_ + retry_tokens_per_request * tuning_.retry_budget);
    probe_budget_.earn();
    arrived_.add(now_, request.class_id.value, 1);
    const auto& request_class = settings_.classes[event.class_id.value];
    if (request_class.freshness == Freshness::session) {
      request.required_position = group.session_floor;
      if (event.session) {
        const auto it = group.session_writes.find(*event.session);
        if (it != group.session_writes.end()) request.required_position = it->second;
      }
      if (event.token_age && *event.token_age > Duration::zero())
        request.required_position = std::max(request.required_position, now_ - *event.token_age);
    }
    request.session = event.session;
    enqueue(request);
    process_waiting(request.group);
  }

  /// The retry pause to suggest to a refused client: `wanted` within its upper limit, or zero where retry
  /// pauses are not allowed.
  Duration retry_after(Duration wanted) const {
    return settings_.retry_after_allowed ? std::min(wanted, settings_.max_retry_after) : Duration::zero();
  }

  /// Adds the request to the waiting requests of its group; process_waiting() sends it.
  void enqueue(Request& request) {
    if (request.waiting) return;
    request.waiting = true;
    groups_[request.group].waiting.push_back(request.id);
  }

  /// Sends the waiting requests of the group that a host can take, in the order of their value per cost.
  /// Within a class, writes are sent in the order of arrival, and reads newest first, because the oldest
  /// reads would all be answered just too late. An old read may be refused while newer ones are sent.
  void process_waiting(GroupId id) {
    Group& group = groups_[id];
    if (group.waiting.empty()) return;
    max_write_value_ = 0;
    for (std::size_t i = 0; i < settings_.classes.size(); ++i)
      if (settings_.classes[i].freshness == Freshness::write)
        max_write_value_ = std::max(max_write_value_, value_per_cost(i));
    // The class is compared before the age: among reads and writes of equal value the ages run in opposite
    // directions, which would be no strict order.
    // Ids grow with the time of arrival, so the complement of the id puts the newest read first.
    std::vector<std::tuple<double, std::int32_t, std::uint64_t, RequestId>> order;
    for (const auto request_id : group.waiting) {
      const auto class_index = requests_.at(request_id).class_id.value;
      const bool write = settings_.classes[class_index].freshness == Freshness::write;
      order.emplace_back(-current_value_per_cost(requests_.at(request_id)), class_index,
                         write ? request_id.value : ~request_id.value, request_id);
    }
    std::sort(order.begin(), order.end());
    std::vector<RequestId> still_waiting;
    std::vector<bool> class_blocked(settings_.classes.size(), false);
    for (const auto& [negated_value, class_index, rank_in_class, request_id] : order) {
      Request& request = requests_.at(request_id);
      const bool too_late =
          now_ > latest_useful_send(request) || now_ >= request.deadline || waited_too_long(request);
      const bool session_read = settings_.classes[request.class_id.value].freshness == Freshness::session;
      slow_start_denied_ = false;
      Host* target = too_late || class_blocked[request.class_id.value] ? nullptr : select_host(request);
      if (!too_late && !target && retry_possible(request)) {
        // Other requests of the class find no host either, unless the result depends on the single request:
        // on its session, its random draw or the hosts that it has tried.
        if (!session_read && !slow_start_denied_ && request.attempts.empty())
          class_blocked[request.class_id.value] = true;
        still_waiting.push_back(request_id);
        continue;
      }
      request.waiting = false;
      if (target && permitted(request, target) && admitted(request, *target))
        send(request, *target);
      else
        refuse_or_fail(request);
    }
    group.waiting = std::move(still_waiting);
  }

  /// Processes the waiting requests of all groups in turn, starting after the group whose request last
  /// reached the limit on attempts in flight, which all groups share.
  void process_all_waiting() {
    std::vector<GroupId> order;
    for (const auto& [id, group] : groups_)
      if (!group.waiting.empty()) order.push_back(id);
    std::rotate(order.begin(), std::upper_bound(order.begin(), order.end(), last_limited_group_),
                order.end());
    for (const auto id : order) process_waiting(id);
  }

  /// Where a late refusal costs more, a request that has found no host is refused while its client can still
  /// try elsewhere, even if a host would have taken it in the rest of its time.
  bool waited_too_long(const Request& request) const {
    return settings_.late_refusal_costs && !request.reached_host &&
           now_ - request.arrived_at >= scale(request.deadline - request.arrived_at, max_wait_share);
  }

  /// Whether the request may still be sent. A keyed request that may have run is not sent again after its
  /// deduplication window.
  bool retry_possible(const Request& request) const {
    const auto& request_class = settings_.classes[request.class_id.value];
    return request_class.idempotency != Idempotency::keyed || request.may_have_run_at == forever ||
           now_ - request.may_have_run_at < request_class.dedup_window;
  }

  /// The final answer for a request without attempts in flight: refused if that is permitted, else failed.
  void refuse_or_fail(Request& request) {
    if (request.ended) return;
    request.ended = true;
    if (permitted(request, nullptr))
      actions_->push_back(Refuse{
          request.id, retry_after(scale(class_latency_[request.class_id.value], retry_after_latencies))});
    else
      actions_->push_back(Fail{request.id});
    remove_request(request.id);
  }

  /// Removes a request, unless attempts are in flight.
  void remove_request(RequestId id) {
    const auto it = requests_.find(id);
    if (it == requests_.end() || it->second.attempts_in_flight > 0) return;
    auto& waiting = groups_[it->second.group].waiting;
    if (it->second.waiting) waiting.erase(std::remove(waiting.begin(), waiting.end(), id), waiting.end());
    --groups_[it->second.group].open_requests;
    requests_.erase(it);
  }

  // ---- attempts ----
  void send(Request& request, Host& host) {
    const Time limit = write_by(request);
    Attempt attempt;
    attempt.host = host.id;
    attempt.sent_at = now_;
    attempt.to_stale_replica = &host != primary(request.group) && believed_too_stale(host, request);
    request.attempts.push_back(attempt);
    ++request.attempts_in_flight;
    ++attempts_in_flight_;
    if (attempts_in_flight_ >= max_in_flight_) last_limited_group_ = request.group;
    host.in_flight_sends.insert(now_);
    if (capacity_share(host) < 1) host.slow_start_usage.add(now_, relative_work(request.class_id.value));
    host.last_send_at = now_;
    const bool use_full_connect_timeout =
        requires_primary(request.class_id.value) || request.attempts.size() > 1;
    actions_->push_back(Send{request.id, host.id, Time::zero(), limit == forever ? Time::zero() : limit,
                             use_full_connect_timeout});
  }

  void on(const AttemptEnded& event) {
    const auto found = requests_.find(event.request);
    if (found == requests_.end() || event.attempt >= found->second.attempts.size()) return;
    Request& request = found->second;
    Attempt& attempt = request.attempts[event.attempt];
    if (!attempt.in_flight || attempt.host != event.host) return;
    attempt.in_flight = false;
    --request.attempts_in_flight;
    const bool limit_was_reached = attempts_in_flight_ >= max_in_flight_;
    --attempts_in_flight_;
    const auto group_id = request.group;
    if (const auto it = hosts_.find(event.host); it != hosts_.end())
      record_outcome(it->second, request, attempt, event);
    const bool may_have_run = event.outcome == Outcome::ok || event.outcome == Outcome::error ||
                              event.outcome == Outcome::timeout || event.outcome == Outcome::reset ||
                              event.outcome == Outcome::cancelled;
    if (may_have_run && attempt.sent_at < request.may_have_run_at) {
      request.may_have_run_at = attempt.sent_at;
      request.may_have_run_on = attempt.host;
    }
    request.unconfirmed = request.unconfirmed || event.unconfirmed;
    if (event.outcome == Outcome::too_stale) request.refused_as_stale = true;
    if (attempt.to_stale_replica && (event.outcome == Outcome::ok || event.outcome == Outcome::too_stale))
      for (auto* success_rate : {&groups_[group_id].stale_read_success, &stale_read_success_})
        success_rate->record(event.outcome == Outcome::ok);
    request.reached_host = request.reached_host ||
                           (event.outcome != Outcome::connect_failed && event.outcome != Outcome::not_sent);
    if (event.outcome == Outcome::ok &&
        settings_.classes[request.class_id.value].freshness == Freshness::write) {
      if (request.session) {
        // Without a commit position in the answer the present is the only safe bound.
        auto& last_write = groups_[group_id].session_writes[*request.session];
        last_write = std::max(last_write, event.metadata.position.value_or(now_));
      }
    }
    if (event.request_ended || event.outcome == Outcome::ok) request.ended = true;
    if (request.ended) {
      cancel_attempts(request);
      remove_request(event.request);
    } else if (request.attempts_in_flight == 0) {
      retry_or_give_up(request, event.outcome, now_ - attempt.sent_at);
    }
    if (limit_was_reached)
      process_all_waiting();
    else
      process_waiting(group_id);
  }

  /// Updates the host by the outcome of an attempt and by the reports that came with it.
  void record_outcome(Host& host, const Request& request, const Attempt& attempt, const AttemptEnded& event) {
    if (!request.answer_started) host.remove_in_flight(attempt.sent_at);
    const bool write = settings_.classes[request.class_id.value].freshness == Freshness::write;
    const auto target = settings_.classes[request.class_id.value].latency_target;
    // A position that comes with a write's answer is that of its commit, unless a replica refused the write.
    if (event.metadata.position && !(write && event.metadata.role != Role::replica))
      update_position(host, *event.metadata.position);
    update_role(host, event.metadata.role,
                std::max(attempt.sent_at, now_ - event.elapsed / role_evidence_elapsed_divisor));
    // Only a replica refuses a write as too stale, whatever role was known before.
    if (event.outcome == Outcome::too_stale && write)
      update_role(host, Role::replica, std::max(attempt.sent_at, host.role_as_of));
    apply_report(host, event.report);
    switch (event.outcome) {
      case Outcome::ok:
        if (!request.answer_started) record_answer(host, request, attempt);
        break;
      case Outcome::too_stale:
        host.last_response_at = now_;
        break;
      case Outcome::error:
        host.last_response_at = now_;
        record_failure(host, 1);
        break;
      case Outcome::full:
        host.last_response_at = now_;
        record_load(host, full_host_load);
        host.concurrency_limit =
            std::max(min_concurrency_limit, host.concurrency_limit * limit_decrease_factor);
        break;
      case Outcome::connect_failed:
        if (connection_refused(event)) {
          ++host.refused_connections;
          record_failure(host, refused_connection_weight);
        } else {
          record_failure(host, 1);
        }
        break;
      case Outcome::reset:
        record_failure(host, 1);
        break;
      case Outcome::timeout:
        // No failure of a host that has answered other requests since the send.
        if (host.last_response_at <= attempt.sent_at) record_failure(host, 1);
        adjust_concurrency_limit(
            host, request, std::min(now_ - attempt.sent_at, scale(target, max_timeout_loads * host.load)),
            false);
        break;
      case Outcome::cancelled:
        // A failure only if the router cancelled the attempt for lack of an answer while its request was
        // open, and, as for a time-out, the host has answered no other request since the send.
        if (attempt.cancelled && !request.ended && host.last_response_at <= attempt.sent_at)
          record_failure(host, 1);
        break;
      case Outcome::not_sent:
        break;
    }
  }

  /// Whether a failed connection was refused at once, because there is no process. Otherwise the connection
  /// only timed out: the host is slow or overloaded by handshakes.
  bool connection_refused(const AttemptEnded& event) const {
    return !event.connect_timed_out && event.elapsed < settings_.connect_timeout / refused_connect_divisor;
  }

  /// Records an answer when it is complete or when its first bytes have arrived: how long the rest of a long
  /// answer takes depends on the client's speed.
  void record_answer(Host& host, const Request& request, const Attempt& attempt) {
    record_response(host);
    record_latency(host, request, now_ - attempt.sent_at);
    if (capacity_share(host) >= 1)
      served_work_.add(now_, request.class_id.value, relative_work(request.class_id.value));
    const auto target = std::min(settings_.classes[request.class_id.value].latency_target, targets_.mean);
    if (!attempt.load_recorded) record_load(host, to_ms(now_ - attempt.sent_at) / to_ms(target));
  }

  void apply_report(Host& host, const LoadReport& report) {
    // The position of a primary is the time at which it made the report.
    host.report_age =
        report.position && report.role == Role::primary ? now_ - *report.position : Duration::zero();
    // A report that advances the position is no outdated claim to be the primary, so its age counts as usual,
    // even if it is long beside the latency targets.
    if (host.report_age > Duration::zero() && *report.position > host.position)
      usual_report_age_ += (host.report_age - usual_report_age_) /
                           (usual_report_age_ == Duration::zero() ? 1 : report_age_samples);
    if (report.position) update_position(host, *report.position);
    if (report.queue_length) {
      queues_reported_ = true;
      host.queue_length = *report.queue_length;
      host.queue_reported_at = now_;
      host.utilization = report.utilization.value_or(0);
      record_load(host, reported_load(host));
    }
    if (report.role && report.position)
      update_role(host, *report.role, *report.position);
    else if (report.role)
      update_role(host, *report.role, now_ - targets_.shortest);  // a report of unknown age
  }

  /// The load sample that the host's reported queue length and utilization stand for.
  double reported_load(const Host& host) const {
    if (host.queue_length >= 1) return queueing_host_load;
    if (host.utilization > busy_utilization) return saturated_load;
    return full_admission_load * host.utilization;
  }

  /// Queues a request for a further attempt, or ends it. A retry spends retry tokens for the work of the
  /// failed attempt: this prevents retry storms, while fast failures may be retried elsewhere. After `full`
  /// the request has not run, but the retry costs a whole token, because the host is overloaded. `outcome`,
  /// `elapsed`: of that attempt.
  void retry_or_give_up(Request& request, Outcome outcome, Duration elapsed) {
    const bool free_of_charge =
        outcome == Outcome::too_stale || outcome == Outcome::not_sent || outcome == Outcome::connect_failed;
    const double work = std::min(
        1.0, to_ms(elapsed) / std::max(min_latency_ms, to_ms(class_latency_[request.class_id.value])));
    const double charge = outcome == Outcome::error ? work : 1;
    const double cost = free_of_charge ? 0 : charge;
    const bool budget_spent = retry_tokens_ < cost || request.attempts.size() >= max_attempts(request);
    if (request.answer_started || budget_spent || now_ >= request.deadline || !only_copy(request))
      return refuse_or_fail(request);
    if (settings_.classes[request.class_id.value].idempotency == Idempotency::unsafe &&
        request.may_have_run_at != forever)
      return refuse_or_fail(request);
    retry_tokens_ -= cost;
    arrived_.add(now_, request.class_id.value, 1);
    request.random_draw = random_unit();  // each send needs a slow start decision of its own
    enqueue(request);
  }

  /// Cancels the attempts in flight of a request that has ended.
  void cancel_attempts(Request& request) {
    if (!settings_.cancel_allowed) return;
    for (std::size_t i = 0; i < request.attempts.size(); ++i) {
      if (request.attempts[i].in_flight && !request.attempts[i].cancelled) {
        request.attempts[i].cancelled = true;
        actions_->push_back(Cancel{request.id, static_cast<std::uint32_t>(i)});
      }
    }
  }

  /// Cancels attempts at unresponsive hosts, and attempts lost by hosts that have answered others since, so
  /// that their requests are retried once their hosts cannot read them any more. A long query that is
  /// cancelled for no fault of its host is executed twice; the retry budget limits how often.
  void cancel_lost_attempts() {
    for (auto& [id, request] : requests_) {
      record_overdue_attempts(request);
      if (!settings_.cancel_allowed || request.ended || request.answer_started ||
          request.attempts_in_flight != 1 || retry_tokens_ < 1 || now_ > latest_useful_send(request))
        continue;
      Attempt& attempt = request.attempts.back();
      const auto& request_class = settings_.classes[request.class_id.value];
      if (!attempt.in_flight || attempt.cancelled || request_class.idempotency == Idempotency::unsafe)
        continue;
      const Time first_sent_at = std::min(request.may_have_run_at, attempt.sent_at);
      if (request_class.idempotency == Idempotency::keyed &&
          now_ - first_sent_at > request_class.dedup_window / cancel_dedup_window_divisor)
        continue;
      const auto host = hosts_.find(attempt.host);
      // A request that needs the primary would go to the same host again, which would execute it anew after
      // the work that it already has. With many routers that would make its queue longer still.
      const bool same_host = host != hosts_.end() && requires_primary(request.class_id.value) &&
                             primary(request.group) == &host->second;
      if (host != hosts_.end() && (same_host || !unresponsive(host->second)) &&
          (host->second.last_response_at <= attempt.sent_at ||
           now_ - attempt.sent_at <=
               scale(expected_latency(host->second, request.class_id), lost_attempt_latencies)))
        continue;
      attempt.cancelled = true;
      actions_->push_back(
          Cancel{request.id, static_cast<std::uint32_t>(request.attempts.size() - 1), confirm_by(request)});
    }
  }

  /// Until when the host of a cancelled attempt is given time to show that it has read the request or never
  /// will, see Cancel; zero where the request may be sent again without that. The client learns by then that
  /// its request is given up, so the time is limited also where an answer has value for long.
  Time confirm_by(const Request& request) const {
    if (settings_.hedging_allowed) return Time::zero();
    const auto target = settings_.classes[request.class_id.value].latency_target;
    return std::min(now_ + target, latest_useful_send(request));
  }

  /// Records load for hosts that answer probes and have attempts past their latency target: this shows a
  /// queue before the attempts end.
  void record_overdue_attempts(Request& request) {
    for (auto& attempt : request.attempts) {
      if (!attempt.in_flight || attempt.load_recorded ||
          now_ - attempt.sent_at < settings_.classes[request.class_id.value].latency_target)
        continue;
      const auto host = hosts_.find(attempt.host);
      if (host == hosts_.end() ||
          (host->second.lost_probes > 0 && probe_unreliability_ <= max_probe_unreliability))
        continue;
      attempt.load_recorded = true;
      record_load(host->second, saturated_load);
    }
  }

  void on(const AnswerStarted& event) {
    const auto it = requests_.find(event.request);
    if (it == requests_.end() || it->second.answer_started || event.attempt >= it->second.attempts.size())
      return;
    Request& request = it->second;
    Attempt& attempt = request.attempts[event.attempt];
    const auto host = hosts_.find(attempt.host);
    if (host != hosts_.end()) {
      host->second.remove_in_flight(attempt.sent_at);
      record_answer(host->second, request, attempt);
    }
    attempt.load_recorded = true;
    request.answer_started = true;
  }

  void on(const ClientLeft& event) {
    const auto it = requests_.find(event.request);
    if (it == requests_.end()) return;
    it->second.ended = true;
    cancel_attempts(it->second);
    remove_request(event.request);
  }

  void on(const ProbeEnded& event) {
    const auto it = hosts_.find(event.host);
    if (it == hosts_.end()) return;
    Host& host = it->second;
    host.probe_in_flight = false;
    if (event.outcome == Outcome::ok) {
      host.lost_probes = 0;
      probe_unreliability_ -= probe_unreliability_ * failure_gain / probe_answer_gain_divisor;
      host.last_probe_answer_at = now_;
      probe_round_trip_ += (event.elapsed - probe_round_trip_) / probe_time_samples;
      // An answer that could not be parsed shows only that the host is alive.
      if (event.report.position || event.report.role || event.report.queue_length)
        apply_report(host, event.report);
    } else if (event.outcome != Outcome::not_sent) {  // a probe that was not sent is no fault of the host
      ++host.lost_probes;
    }
    process_waiting(host.group);
  }

  // ---- timers ----
  void on(const TimerFired&) {
    if (timer_due_ == never || now_ < timer_due_) return;
    timer_due_ = never;
    if (now_ >= next_poll_at_) {
      actions_->push_back(OpenWatch{});
      next_poll_at_ = forever;
    }
    const auto shortest_period = send_due_probes();
    cancel_lost_attempts();
    process_all_waiting();
    next_idle_tick_at_ = shortest_period == forever
                             ? forever
                             : now_ + std::max(tick_interval_, shortest_period / idle_ticks_per_probe_period);
    schedule_timer();
  }

  /// Sets the timer: to the next tick while requests are open, otherwise to the time at which a probe or a
  /// poll is next due. A timer that is set already is not postponed: if every arrival postponed it, it would
  /// never fire on a busy router.
  void schedule_timer() {
    const auto due = std::min(requests_.empty() ? next_idle_tick_at_ : now_ + tick_interval_, next_poll_at_);
    if (due == forever || (timer_due_ != never && timer_due_ <= due)) return;
    timer_due_ = std::max(due, now_);
    actions_->push_back(SetTimer{timer_number, timer_due_});
  }

  /// Probe period of a group whose traffic pays for it, without urgency.
  Duration normal_probe_period() const {
    const auto period = targets_.tightest_staleness_bound == forever
                            ? targets_.shortest
                            : scale(targets_.tightest_staleness_bound, probe_period_staleness_share);
    return std::clamp(period, targets_.shortest / min_probe_period_divisor,
                      targets_.shortest * max_probe_period_targets);
  }
  /// Period of urgent probes. All routers may be probing the same host, so their sum has to stay small beside
  /// the host's work.
  Duration urgent_probe_period() const {
    return std::max(std::min(normal_probe_period(), targets_.shortest / urgent_probe_divisor),
                    scale(typical_latency(), urgent_probe_load * settings_.instance_count));
  }

  /// Least time between probes of a host: zero for a warm host, in inverse proportion to its capacity for a
  /// cold one, which would otherwise be flooded by probes for the waiting reads of hundreds of routers.
  Duration min_probe_interval(const Host& host) const {
    return capacity_share(host) >= 1
               ? Duration::zero()
               : scale(urgent_probe_period(), 1 / std::max(min_capacity_divisor, capacity_share(host)));
  }

  /// The group's probe period: the normal period, or the longer one that the group's traffic can pay for.
  /// `forever` if that exceeds the tightest staleness bound: then reads probe on demand.
  Duration probe_period(const Group& group) const {
    const auto period = normal_probe_period();
    if (settings_.probe_cost <= 0) return period;
    const double silence_seconds =
        std::max(0.0, to_seconds(now_ - group.last_arrival_at) - arrival_rate_hold_seconds);
    const double rate = group.arrival_rate * std::exp(-silence_seconds / rate_memory_seconds);
    const double paid_seconds =
        static_cast<double>(group.members.size()) * settings_.probe_cost / probe_cost_share / rate;
    // Written so that it is also true if paid_seconds is not a number, without hosts and without traffic.
    if (!(paid_seconds < to_seconds(targets_.longest * max_paid_period_targets))) return forever;
    const auto paid_period = Duration(static_cast<std::int64_t>(paid_seconds * microseconds_per_second));
    return paid_period > std::max(period, targets_.tightest_staleness_bound) ? forever
                                                                             : std::max(paid_period, period);
  }

  /// Sends the probes that are due and returns the shortest probe period of a group.
  Duration send_due_probes() {
    Duration shortest = forever;
    if (!settings_.probes_allowed) return shortest;
    for (auto& [id, group] : groups_) {
      if (group.open_requests == 0 && group.probe_period == forever) continue;
      group.probe_period = probe_period(group);
      if (group.probe_period != forever)
        group.probe_period = scale(group.probe_period, 1 / tuning_.probe_rate);
      const Host* group_primary = primary(id);
      const bool primary_needed = !group.waiting.empty() && (!group_primary || !usable(*group_primary));
      shortest = std::min(shortest, group.probe_period);
      for (Host* member : group.members) {
        auto& host = *member;
        if (host.probe_in_flight || !listed_ready(host) ||
            !probe_budget_.available(primary_needed ? 0 : urgent_probe_reserve))
          continue;
        const bool urgent = primary_needed || host.time_without_response(now_) > response_timeout(host) / 2;
        const auto period =
            std::max(urgent ? urgent_probe_period() : group.probe_period, min_probe_interval(host));
        if (period == forever ||
            (host.last_probe_at != never && now_ - host.last_probe_at < scale(period, host.probe_jitter)))
          continue;
        if (!urgent && settings_.answers_carry_position && host.position_learned_at != never &&
            now_ - host.position_learned_at < period / 2)
          continue;
        host.probe_jitter = min_probe_jitter + probe_jitter_range * random_unit();
        send_probe(host);
      }
    }
    return shortest;
  }

  /// Uniform in [0, 1), with 53 random bits.
  double random_unit() { return static_cast<double>(random_engine_() >> 11U) * 0x1.0p-53; }

  Settings settings_;
  std::mt19937_64 random_engine_;
  Time now_ = Time::zero();
  std::vector<Action>* actions_ = nullptr;  // of the event being handled; owned by the caller
  std::map<RequestId, Request> requests_;
  TargetSummary targets_;  // of the classes
  // timer
  Duration tick_interval_{};
  Time timer_due_ = never;
  Time next_idle_tick_at_ = forever;
  Time next_poll_at_ = forever;  // of the member list
  Duration poll_backoff_{};
  // estimates
  Duration probe_round_trip_{};         // EWMA of the time from a probe to its answer
  Duration usual_report_age_{};         // EWMA of the age of primaries' reports
  Duration wait_per_queued_request_{};  // EWMA of a request's delay by each request queued before it
  bool queues_reported_ = false;        // some report had a queue length
  double probe_unreliability_ = 0;      // EWMA: hosts answer requests although their probes were lost
  bool slow_start_denied_ = false;      // slow start denied a host to the request that is being processed
  std::multiset<Time> warm_up_ends_;    // of the ready hosts that are cold
  int ready_hosts_ = 0;
  Tuning tuning_;
  int max_in_flight_ = 1 << 30;  // attempts
  int attempts_in_flight_ = 0;
  GroupId last_limited_group_{INT64_MIN};  // group of the send that last reached max_in_flight_
  double max_write_value_ = 0;             // highest value per cost of a write class
};

Router::Router(Settings settings) : impl_(std::make_unique<Impl>(std::move(settings))) {}
Router::~Router() = default;
Router::Router(Router&&) noexcept = default;
Router& Router::operator=(Router&&) noexcept = default;
void Router::handle(Time now, const Event& event, std::vector<Action>& out) {
  impl_->handle(now, event, out);
}
bool Router::tracks(HostId host) const { return impl_->tracks(host); }
void Router::group_views(Time now, std::vector<GroupView>& out) { impl_->group_views(now, out); }
void Router::set_tuning(const Tuning& tuning) { impl_->set_tuning(tuning); }
void Router::set_max_in_flight(int max_in_flight) { impl_->set_max_in_flight(max_in_flight); }
RouterSnapshot Router::snapshot(Time now, SnapshotScope scope) { return impl_->snapshot(now, scope); }
void Router::merge_snapshot(Time now, const RouterSnapshot& snapshot) {
  impl_->merge_snapshot(now, snapshot);
}
void Router::suspend_spending() { impl_->suspend_spending(); }
void Router::set_slow_start_share(Time now, double share) { impl_->set_slow_start_share(now, share); }
void Router::update_settings(Settings settings) { impl_->update_settings(std::move(settings)); }
std::size_t Router::entry_count() const { return impl_->entry_count(); }

}  // namespace cedarring
