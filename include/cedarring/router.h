// Public interface of cedarring: settings, input events and output actions of the routing state machine.
// Declarations only; the routing decisions are in src/router.
#pragma once

#include <chrono>
#include <cstdint>
#include <memory>
#include <optional>
#include <string>
#include <variant>
#include <vector>

namespace cedarring {

/// A length of time in microseconds.
using Duration = std::chrono::microseconds;
/// A point in time in microseconds on the caller's monotonic clock. The router compares it with the hosts'
/// replication positions and HostEntry::started_at, so all of them must count from the same instant.
/// Replication positions have this type too: a position is the commit time up to which a host has applied its
/// replication log.
using Time = std::chrono::microseconds;

/// A numeric identifier; identifiers with different tags are different types and do not convert.
template <class Tag, class Rep>
struct Id {
  Rep value{};
  friend bool operator==(Id a, Id b) { return a.value == b.value; }
  friend bool operator!=(Id a, Id b) { return a.value != b.value; }
  friend bool operator<(Id a, Id b) { return a.value < b.value; }
};
/// A database host.
using HostId = Id<struct HostTag, std::uint32_t>;
/// A replica group: a primary and its replicas.
using GroupId = Id<struct GroupTag, std::int64_t>;
/// Index into Settings::classes; -1 for a class that is not configured.
using ClassId = Id<struct ClassTag, std::int32_t>;
/// A zone in which hosts and routers run.
using ZoneId = Id<struct ZoneTag, std::int32_t>;
/// A client's session, whose reads may require its own earlier writes.
using SessionId = Id<struct SessionTag, std::uint64_t>;
/// A request. Of two requests of a class, the router takes the one with the greater id for the newer one.
using RequestId = Id<struct RequestTag, std::uint64_t>;

/// Whether a request may run twice: `safe` always, `keyed` within its deduplication window, `unsafe` never.
enum class Idempotency { safe, keyed, unsafe };
/// Hosts among which a repeat of a keyed request is recognized and dropped.
enum class DedupScope { all, zone, group };
/// State that a request needs to see. `any`: any replica; `bounded`: at most RequestClass::staleness_bound
/// old; `session`: at least the session's own writes; `fresh`: the newest state, read at the primary;
/// `write`: changes state, runs at the primary.
enum class Freshness { any, bounded, session, fresh, write };
/// How a host treats a read that needs a later position than it has: not checked, refused at once
/// (Outcome::too_stale), or delayed until the host has caught up.
enum class StaleReadPolicy { none, refuse, wait };
/// Meaning of HostEntry::listed_primary: `none`: not maintained, so it is ignored; `late`: follows role
/// changes with a delay; `start`: the role at start-up, not updated afterwards. A listed role is the weakest
/// evidence: it applies only while no role of the host is known.
enum class ListedRole { none, late, start };
/// Where the position of a session's last write is kept: in the router, or in a token that the client sends.
/// Validated as a setting, but not read by the router, which uses both its own record and
/// RequestArrived::token_age.
enum class TokenMode { remembered, carried };
/// Whether the first member list arrives unasked, or the router requests it with OpenWatch after its start.
/// In both modes later requests follow only a failed one: after a list has arrived, further lists come
/// unasked.
enum class DiscoveryMode { push, poll };
/// Replication role of a host.
enum class Role { unknown, primary, replica };
/// State of a host in the member list; `draining` and `gone` hosts receive no new requests.
enum class HostState { gone, draining, ready };
/// Content of a member list: changed entries only, all entries, all entries as of some earlier time, or a
/// failed request without entries.
enum class ListKind { delta, full, cached, failed };
/// Result of an attempt or a probe.
/// - `ok`, `error`: the host answered; `error`: with an error.
/// - `full`: the host rejected the request for lack of capacity.
/// - `timeout`: the answer did not arrive in time.
/// - `connect_failed`: no connection to the host was established.
/// - `reset`: the connection was lost.
/// - `cancelled`: the caller ended the attempt.
/// - `not_sent`: the request was never written, through no fault of the host.
/// - `too_stale`: the host's position is too old for the read, or the host is a replica and refused a write.
///
/// After `full`, `connect_failed`, `not_sent` and `too_stale` the router relies on the request not having
/// run.
enum class Outcome { ok, error, full, timeout, connect_failed, reset, cancelled, not_sent, too_stale };
/// The outcome's name in logs and records. Two names differ from their enumerators: "moot" stands for
/// `not_sent` and "miss" for `too_stale`.
constexpr const char* name_of(Outcome outcome) {
  constexpr const char* names[] = {"ok",    "error",     "full", "timeout", "connect_failed",
                                   "reset", "cancelled", "moot", "miss"};
  return names[static_cast<int>(outcome)];
}

/// A kind of request: its time limits, its value to the operator, and the consistency it needs.
struct RequestClass {
  std::string name;
  Duration latency_target{};  // an answer within this time earns `value`; above 0, at most `deadline`
  Duration deadline{};        // the longest that a client waits, over all its retries
  double value = 1;  // what an answer within the latency target earns, relative to other classes; 0 or more
  double late_value = 0;  // factor on `value` for an answer after the latency target; 0 or more
  Idempotency idempotency = Idempotency::safe;
  DedupScope dedup_scope = DedupScope::all;
  Duration dedup_window{};  // time within which a repeat of a keyed request is dropped; above 0 for `keyed`
  Freshness freshness = Freshness::any;
  Duration staleness_bound{};      // maximum replication lag for bounded reads; above 0 for `bounded`
  std::uint32_t max_attempts = 0;  // per request; 0 uses Settings::max_attempts
};
/// Compares all fields.
bool operator==(const RequestClass& a, const RequestClass& b);

/// Configuration of a router.
struct Settings {
  std::uint64_t seed = 0;  // seed of the random numbers; with the same seed, equal events give equal actions
  std::uint32_t instance_index = 0;   // index of this router among all that share the hosts, from 0
  std::uint32_t instance_count = 1;   // number of routers that share the hosts, 1 or more
  ZoneId zone{};                      // zone in which this router runs
  std::vector<RequestClass> classes;  // at least one
  StaleReadPolicy stale_read_policy = StaleReadPolicy::none;
  ListedRole listed_role = ListedRole::none;
  TokenMode token_mode = TokenMode::remembered;
  DiscoveryMode discovery_mode = DiscoveryMode::push;
  bool answers_carry_position = false;  // answers report the host's role and replication position
  bool probes_allowed = true;
  bool cancel_allowed = false;             // attempts may be cancelled
  bool hedging_allowed = false;            // a request may have several attempts in flight
  bool retry_after_allowed = false;        // refusals may carry a delay after which the client retries
  bool removed_hosts_stay_usable = false;  // a ready host that leaves the list stays in use
  // Whether a late refusal of a request that was never sent costs more than an early one. If so, a request
  // that has not reached a host is refused after a part of its time (max_wait_share in router.cpp).
  bool late_refusal_costs = false;
  std::uint32_t max_attempts = 8;          // attempts per request, 1 or more; see RequestClass::max_attempts
  Duration max_retry_after{1'000'000};     // upper limit of Refuse::retry_after
  Duration max_poll_interval{10'000'000};  // scales the delays of requests for the member list; above 0
  // Time after a host was set to draining or gone in which new attempts at it are tolerated. The router sends
  // none once it has the member list, so this is the time that the list may take to arrive. Only
  // fleet::WatchTiming uses it, to limit the delay before an ended watch is opened again.
  Duration drain_grace{1'000'000};
  Duration warm_up_duration{};     // a started host reaches its full capacity after this time; 0 or more
  double cold_capacity_share = 1;  // share of its capacity that a host has at its start, above 0 to 1
  double overload_multiple = 3;    // multiple of its present capacity that overloads a cold host; above 0
  Duration overload_window{1'000'000};  // period over which the work sent to a cold host is summed; above 0
  Duration quantum{5'000};              // resolution of the caller's clock and timers; 0 or more
  double probe_cost = 0;                // cost of one probe over the value of one request; 0: probes are free
  Duration connect_timeout{250'000};    // a connection that is not established by then has failed
  // Hosts close a connection that has been idle for this time. The gateway closes it after half of that, so
  // that no request is written to a connection that the host is closing.
  Duration idle_timeout{15'000'000};
};

/// Validates the settings. Throws std::invalid_argument, whose text is the configuration key of the first
/// setting that is out of range or contradicts another one.
void check(const Settings& settings);

// ---- events -------------------------------------------------------------------------------------

/// The entry of a host in a member list.
struct HostEntry {
  HostId host;
  GroupId group;
  ZoneId zone;
  HostState state = HostState::ready;
  bool listed_primary = false;     // see ListedRole
  double weight = 1;               // relative capacity, as listed; routing does not use it
  std::optional<Time> started_at;  // start of the host's process; absent if it is fully warmed up
};
/// A member list was received, or a request for it failed.
struct MembersListed {
  ListKind kind = ListKind::full;
  std::vector<HostEntry> entries;
};
/// A client sent a request.
struct RequestArrived {
  RequestId request;
  ClassId class_id;
  GroupId group;
  Duration time_left{};               // until the client gives up
  std::optional<SessionId> session;   // required for session consistency
  std::optional<Duration> token_age;  // TokenMode::carried: age of the session's last write;
                                      // absent or zero: the session has not written
};
/// A host's load report; a field that the host did not report is absent.
struct LoadReport {
  std::optional<Time> position;  // replication position, see Time
  std::optional<Role> role;
  std::optional<double> queue_length;  // requests waiting at the host, 0 or more
  std::optional<double> utilization;   // of the host's processor cores, 0 to 1
};
/// Role and position of the host that sent an answer. For a successful write, `position` is its commit.
struct AnswerMetadata {
  Role role = Role::unknown;
  std::optional<Time> position;
};
/// An attempt ended, with or without an answer.
struct AttemptEnded {
  RequestId request;
  std::uint32_t attempt = 0;  // index among the request's attempts, from 0
  HostId host;
  Outcome outcome = Outcome::ok;
  Duration elapsed{};          // since the attempt was sent
  bool request_ended = false;  // the client has its final answer; no further attempt is needed
  AnswerMetadata metadata;
  LoadReport report;
  // For Outcome::connect_failed: whether the connect timeout expired. Otherwise the connection may have been
  // refused.
  bool connect_timed_out = false;
  // The request was written, the caller has ended the connection, and the host has not shown whether it has
  // read the request: it may still read it at any time. So ends a cancelled attempt whose host has shown
  // nothing by Cancel::confirm_by.
  bool unconfirmed = false;
};
/// The first part of an answer was passed on to the client, so the request cannot be retried any more.
struct AnswerStarted {
  RequestId request;
  std::uint32_t attempt = 0;
};
/// The client disconnected or cancelled its request.
struct ClientLeft {
  RequestId request;
};
/// A probe ended, with or without an answer.
struct ProbeEnded {
  HostId host;
  Outcome outcome = Outcome::ok;
  Duration elapsed{};  // since the probe was sent
  LoadReport report;
};
/// A timer set by SetTimer is due.
struct TimerFired {
  std::uint64_t timer = 0;  // as in SetTimer
};
/// The router starts; must be the first event.
struct Started {};
/// Any input of the router.
using Event = std::variant<Started, MembersListed, RequestArrived, AttemptEnded, AnswerStarted, ClientLeft,
                           ProbeEnded, TimerFired>;

// ---- actions ------------------------------------------------------------------------------------

/// Send the request to the host, as its next attempt.
struct Send {
  RequestId request;
  HostId host;
  Time give_up_at{};  // end the attempt at this time; zero: no limit of its own
  // The last byte of the request must be written before this time; if it is not, the attempt ends as not
  // sent. Zero: no limit. Set for a repeat of a keyed request, which its host drops only within the
  // deduplication window of the first attempt, while a connect, a handshake or a long statement takes its
  // time.
  Time write_by{};
  // Wait for a slow connection up to the full connect timeout instead of the adaptive one: no other host can
  // take the request, or it is a retry already.
  bool use_full_connect_timeout = false;
};
/// Cancel an attempt in flight.
///
/// With `confirm_by` the request may be sent again elsewhere: the caller ends the sending on the connection,
/// and reports the end of the attempt once the host has answered or closed its end, which shows that it has
/// read the request or never will. At `confirm_by` the caller closes the connection and reports the end as
/// AttemptEnded::unconfirmed. A caller whose hosts drop what they have not read of a cancelled attempt may
/// report the end at once.
struct Cancel {
  RequestId request;
  std::uint32_t attempt = 0;
  Time confirm_by{};  // zero: close the connection and report the end at once
};
/// Reject the request. The client may safely send it again; a keyed request that may have run, only with the
/// same key and within its deduplication window, which the router does not check.
struct Refuse {
  RequestId request;
  Duration retry_after{};  // delay to suggest to the client; zero: none
};
/// End the request with an error. Unlike a refused request it may have run, so a repeat might take effect
/// twice.
struct Fail {
  RequestId request;
};
/// Send a health probe to the host.
struct Probe {
  HostId host;
};
/// Deliver TimerFired with this number at `due`.
struct SetTimer {
  std::uint64_t timer = 0;
  Time due{};
};
/// Request the member list: in poll mode once after the start, and in either mode again after a failed
/// request. After a list has arrived the router does not ask again; the source sends updates from then on.
struct OpenWatch {};
/// Any output of the router, to be carried out by the caller.
using Action = std::variant<Send, Cancel, Refuse, Fail, Probe, SetTimer, OpenWatch>;

// ---- monitoring and control -----------------------------------------------------------------------

/// The router's current estimate of a group's state.
struct GroupView {
  GroupId group;
  bool has_primary = false;      // a usable primary is known
  int hosts = 0;                 // listed as ready
  int unavailable = 0;           // of `hosts`: ejected or not responding
  int avoided = 0;               // of `unavailable`: sent nothing for twice the longest latency target
  int replicas = 0;              // of `hosts`: not the primary
  int lagging = 0;               // of `replicas`: not known to be within the tightest staleness bound
  int in_flight = 0;             // attempts in flight at these hosts
  int waiting = 0;               // requests that wait for their first attempt or for a retry
  double concurrency_limit = 0;  // sum of the hosts' estimated limits on attempts in flight
  int primary_in_flight = 0;     // of `in_flight`: at the primary
  double primary_concurrency_limit = 0;
  int primary_waiting = 0;  // of `waiting`: requests that only the primary can serve
};
/// Factors on the router's internal budgets, set while service is degraded.
struct Tuning {
  double probe_rate = 1;    // 0.1 to 10: on the rate of regular probes
  double retry_budget = 1;  // 0 to 1: on the retries that each request pays for
  // 0 to 1: factor on the share of the primary's concurrency limit that is open to reads while the replicas
  // are merely busy; 0: none.
  double read_spillover = 1;
};

struct RouterSnapshot;  // cedarring/snapshot.h
/// Content of a snapshot. `all`: hosts, sessions and classes, but no budgets. `hosts`: hosts only. `split`:
/// hosts, classes and budgets; taking the snapshot halves the budgets: this router keeps one half, and the
/// receiver of the snapshot gets the other.
enum class SnapshotScope { all, hosts, split };

/// The routing state machine: takes events, returns actions. Not thread-safe; instances share no state.
class Router {
 public:
  /// Throws std::invalid_argument as check() does.
  explicit Router(Settings settings);
  ~Router();
  Router(Router&&) noexcept;
  Router& operator=(Router&&) noexcept;
  Router(const Router&) = delete;
  Router& operator=(const Router&) = delete;

  /// Handles one event at `now` and appends the resulting actions to `out`. `now` must not decrease between
  /// calls.
  void handle(Time now, const Event& event, std::vector<Action>& out);

  /// Whether the router still holds state for the host; the caller may drop the id of any other host.
  [[nodiscard]] bool tracks(HostId host) const;

  /// Writes the state of each group to `out`. `now` must not decrease between calls. Makes no decisions.
  void group_views(Time now, std::vector<GroupView>& out);
  /// Sets the factors on the internal budgets; they apply from the next event on.
  void set_tuning(const Tuning& tuning);
  /// Limits the attempts in flight over all hosts to `max_in_flight`, 1 or more. Requests beyond the limit
  /// wait within their deadlines; attempts already in flight continue.
  void set_max_in_flight(int max_in_flight);
  /// Replaces the settings. The class list may only grow at its end, and a class with open requests must not
  /// change. Throws std::invalid_argument as check() does, without changing anything.
  void update_settings(Settings settings);

  /// Returns state for another process's router; with SnapshotScope::split also halves this router's budgets.
  [[nodiscard]] RouterSnapshot snapshot(Time now, SnapshotScope scope);
  /// Merges newer state from the router of the other process, predecessor or successor, for the hosts, groups
  /// and classes that this router knows. Budgets are replaced only if RouterSnapshot::slow_start_share is
  /// above 0.
  void merge_snapshot(Time now, const RouterSnapshot& snapshot);
  /// Sets the retry, probe and slow-start budgets to zero, because a predecessor that still runs has not yet
  /// reported its share. The retry and probe budgets are earned anew by requests that arrive; the slow-start
  /// share is set again by merge_snapshot or set_slow_start_share.
  void suspend_spending();
  /// Sets this router's share (0 to 1) of the slow-start budgets, from one overload window after `now` on: 1
  /// if no other router spends them any more, less if another one does and its usage is unknown.
  void set_slow_start_share(Time now, double share);

  /// Number of hosts, requests, waiting requests and remembered session writes that the router holds, to
  /// verify that memory stays bounded. Waiting requests count twice.
  [[nodiscard]] std::size_t entry_count() const;

 private:
  class Impl;
  std::unique_ptr<Impl> impl_;
};

}  // namespace cedarring
