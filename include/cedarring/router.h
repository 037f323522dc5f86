// The interface of cedarring: settings, events in, actions out. No decisions live here.
#pragma once

#include <chrono>
#include <cstdint>
#include <memory>
#include <optional>
#include <string>
#include <variant>
#include <vector>

namespace cedarring {

using Duration = std::chrono::microseconds;
/// Time on the caller's monotonic clock, counted from any fixed instant.
using Time = std::chrono::microseconds;

/// A number that cannot be mixed up with an id of another type.
template <class Tag, class Rep>
struct Id {
  Rep value{};
  friend bool operator==(Id a, Id b) { return a.value == b.value; }
  friend bool operator!=(Id a, Id b) { return a.value != b.value; }
  friend bool operator<(Id a, Id b) { return a.value < b.value; }
};
using HostId = Id<struct HostTag, std::uint32_t>;
using GroupId = Id<struct GroupTag, std::int64_t>;
using ClassId = Id<struct ClassTag, std::int32_t>;  // index into Settings::classes; -1 is unknown
using ZoneId = Id<struct ZoneTag, std::int32_t>;
using SessionId = Id<struct SessionTag, std::uint64_t>;
using RequestId = Id<struct RequestTag, std::uint64_t>;

enum class Idempotency { safe, keyed, unsafe };  // what a repeat of the request does
enum class DedupScope { all, zone, group };      // where a keyed repeat is dropped
enum class Freshness { any, bounded, session, fresh, write };
enum class StaleReadPolicy { none, refuse, wait };  // what a host does with a read it is too far behind for
enum class ListedRole { none, late, start };        // how the list's primary flag follows the role
enum class TokenMode { remembered, carried };
enum class DiscoveryMode { push, poll };
enum class Role { unknown, primary, replica };
enum class HostState { gone, draining, ready };
enum class ListKind { delta, full, cached, failed };
enum class Outcome { ok, error, full, timeout, connect_failed, reset, cancelled, not_sent, too_stale };
/// moot: never sent, and no fault of the host's.
constexpr const char* name_of(Outcome o) {
  constexpr const char* names[] = {"ok",    "error",     "full", "timeout", "connect_failed",
                                   "reset", "cancelled", "moot", "miss"};
  return names[static_cast<int>(o)];
}

struct RequestClass {
  std::string name;
  Duration latency_target{};  // answers within this earn full worth
  Duration deadline{};        // what a client waits over all its tries
  double value = 1;
  double late_value = 0;
  Idempotency idempotency = Idempotency::safe;
  DedupScope dedup_scope = DedupScope::all;
  Duration dedup_window{};  // how long a keyed repeat is dropped
  Freshness freshness = Freshness::any;
  Duration staleness_bound{};      // of bounded reads
  std::uint32_t max_attempts = 0;  // for a request, at most; 0: the settings' max_attempts
};
bool operator==(const RequestClass& a, const RequestClass& b);

struct Settings {
  std::uint64_t seed = 0;
  std::uint32_t instance_index = 0;  // of this router among `routers`
  std::uint32_t instance_count = 1;
  ZoneId zone{};
  std::vector<RequestClass> classes;
  StaleReadPolicy stale_read_policy = StaleReadPolicy::none;
  ListedRole listed_role = ListedRole::none;
  TokenMode token_mode = TokenMode::remembered;
  DiscoveryMode discovery_mode = DiscoveryMode::push;
  bool answers_carry_position = false;
  bool probes_allowed = true;
  bool cancel_allowed = false;
  bool hedging_allowed = false;
  bool retry_after_allowed = false;
  bool removed_hosts_stay_usable = false;
  bool late_refusal_costs = false;  // a late refusal of what was never sent costs more than an early one
  std::uint32_t max_attempts = 8;
  Duration max_retry_after{1'000'000};
  Duration max_poll_interval{10'000'000};
  Duration drain_grace{1'000'000};  // nothing new to a host this long after it was told draining or gone
  Duration warm_up_duration{};      // a started host is warm after this
  double cold_capacity_share = 1;   // and begins with this share of its capacity
  double overload_multiple = 3;
  Duration overload_window{1'000'000};
  Duration quantum{5'000};
  double probe_cost = 0;
  Duration connect_timeout{250'000};  // connections not set up by then fail
  Duration idle_timeout{15'000'000};  // idle connections close after this
};

/// Throws std::invalid_argument, naming the setting, when the settings contradict themselves.
void check(const Settings& settings);

// ---- events -------------------------------------------------------------------------------------

struct HostEntry {
  HostId host;
  GroupId group;
  ZoneId zone;
  HostState state = HostState::ready;
  bool listed_primary = false;
  double weight = 1;
  std::optional<Time> started_at;  // absent: long past
};
struct MembersListed {
  ListKind kind = ListKind::full;
  std::vector<HostEntry> entries;
};
struct RequestArrived {
  RequestId request;
  ClassId class_id;
  GroupId group;
  Duration time_left{};
  std::optional<SessionId> session;
  std::optional<Duration> token_age;  // carried tokens; absent or zero: no write
};
/// A load report. Only what the host told is set.
struct LoadReport {
  std::optional<Time> position;
  std::optional<Role> role;
  std::optional<double> queue_length;  // requests waiting there
  std::optional<double> utilization;   // how busy its cores are, 1 at most
};
/// What an answer tells of its host. For a write that went through, `position` is its commit.
struct AnswerMetadata {
  Role role = Role::unknown;
  std::optional<Time> position;
};
struct AttemptEnded {
  RequestId request;
  std::uint32_t attempt = 0;
  HostId host;
  Outcome outcome = Outcome::ok;
  Duration elapsed{};
  bool request_ended = false;
  AnswerMetadata metadata;
  LoadReport report;
  bool connect_timed_out =
      false;  // of connect_failed: it did not come up in its time, rather than being refused
};
struct AnswerStarted {
  RequestId request;
  std::uint32_t attempt = 0;
};
struct ClientLeft {
  RequestId request;
};
struct ProbeEnded {
  HostId host;
  Outcome outcome = Outcome::ok;
  Duration elapsed{};
  LoadReport report;
};
struct TimerFired {
  std::uint64_t timer = 0;
};
struct Started {};  // hand this in once, before anything else
using Event = std::variant<Started, MembersListed, RequestArrived, AttemptEnded, AnswerStarted, ClientLeft,
                           ProbeEnded, TimerFired>;

// ---- actions ------------------------------------------------------------------------------------

struct Send {
  RequestId request;
  HostId host;
  Time give_up_at{};
  bool sole_candidate =
      false;  // no other host can take it, or one has been left already: a slow connection is waited for
};
struct Cancel {
  RequestId request;
  std::uint32_t attempt = 0;
};
struct Refuse {
  RequestId request;
  Duration retry_after{};
};
struct Fail {
  RequestId request;
};
struct Probe {
  HostId host;
};
struct SetTimer {
  std::uint64_t timer = 0;
  Time due{};
};
struct OpenWatch {};
using Action = std::variant<Send, Cancel, Refuse, Fail, Probe, SetTimer, OpenWatch>;

// ---- what those who watch may see and change ------------------------------------------------------

/// What the module believes of a group.
struct GroupView {
  GroupId group;
  bool has_primary = false;        // one is known that may be used now
  int hosts = 0, unavailable = 0;  // listed as ready; of them ejected or silent
  int avoided = 0;                // of those out, sent nothing for two longest aims: no trial, no short pause
  int replicas = 0, lagging = 0;  // of them, known no better than past the tightest bound of a class
  int in_flight = 0, waiting = 0;
  double concurrency_limit = 0;  // requests in flight that its hosts are believed to take well, over all
  int primary_in_flight = 0;     // of these, the primary's; of those waiting, what only the primary can take
  double primary_concurrency_limit = 0;
  int primary_waiting = 0;
};
/// Factors on the module's own figures, set while service is reduced.
struct Tuning {
  double probe_rate = 1;    // 0.1 to 10
  double retry_budget = 1;  // 0 to 1
  double read_spillover =
      1;  // 0 to 1: of the primary's window that reads may fill while replicas are only busy
};

struct RouterSnapshot;  // cedarring/snapshot.h
/// hosts: these alone. split: the other router begins now, and what may be spent is from here on in two
/// parts, of which the other's is told; all but the sessions.
enum class SnapshotScope { all, hosts, split };

/// One router's decisions. Not thread-safe; shares nothing with other instances.
class Router {
 public:
  /// Throws std::invalid_argument, naming the setting, when the settings contradict themselves.
  explicit Router(Settings settings);
  ~Router();
  Router(Router&&) noexcept;
  Router& operator=(Router&&) noexcept;
  Router(const Router&) = delete;
  Router& operator=(const Router&) = delete;

  /// Takes one event at `now`, which must not go back, and appends what is to be done to `out`.
  void handle(Time now, const Event& event, std::vector<Action>& out);

  /// Whether the host is still of interest; an id that is not may be forgotten by the caller.
  [[nodiscard]] bool tracks(HostId host) const;

  /// By group. The time must not go back; no event is taken and nothing decided.
  void group_views(Time now, std::vector<GroupView>& out);
  void set_tuning(const Tuning& tuning);
  /// How many attempts may be out at once, 1 or more; what finds no place waits within its time. Those that
  /// are out already stay.
  void set_max_in_flight(int places);
  /// Other settings from now on. Classes keep their numbers: there are as many as before or more, and one
  /// whose requests are open must not change. Throws as the constructor does, and then changes nothing.
  void update_settings(Settings settings);

  /// What it knows, for a router that takes its place.
  [[nodiscard]] RouterSnapshot snapshot(Time now, SnapshotScope what);
  /// Takes over what another has told, where that is news; of hosts and classes that are known here.
  void merge_snapshot(Time now, const RouterSnapshot& knowledge);
  /// Another router may be spending, too, and has not told yet how much: nothing may be spent.
  void suspend_spending();
  /// From one window on this one may use this part of what may be spent on cold hosts: 1 where no other
  /// spends any more, less where one does and has not been heard.
  void set_slow_start_share(Time now, double part);

  /// How many entries are held (requests, hosts, sessions): it stays bounded.
  [[nodiscard]] std::size_t entry_count() const;

 private:
  class Impl;
  std::unique_ptr<Impl> impl_;
};

}  // namespace cedarring
