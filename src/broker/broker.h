// The broker keeps the open requests, their attempts and the tenants' budgets, and drives the Router. It
// knows no protocol: an AnswerSink receives the answers, an Upstream carries the attempts out. Gates and
// the router make the decisions; the broker carries them out.
#pragma once

#include <algorithm>
#include <deque>
#include <functional>
#include <map>
#include <memory>
#include <string>
#include <string_view>
#include <unordered_map>
#include <unordered_set>
#include <utility>
#include <vector>

#include "broker/host_table.h"
#include "broker/message_memory.h"
#include "broker/request_classes.h"
#include "cedarring/router.h"
#include "cedarring/snapshot.h"
#include "gates/gate.h"
#include "handover/budget_share.h"
#include "telemetry/metrics.h"

namespace cedarring::broker {

/// The statement of a request with its parameters, opaque to the broker. The upstream of the front end's
/// protocol interprets it.
struct RequestPayload {
  virtual ~RequestPayload() = default;
  MessageMemory::Charge memory;  // for what is not reserved from a MemoryBudget
};

/// A request as a client connection hands it to the broker.
struct ClientRequest {
  std::string name;        // the client's id for the request; must differ from those of all open requests
  std::string class_name;  // of the request class
  std::string tenant;
  GroupId group;
  Duration time_left{};         // how long the client waits, counted from `arrived`
  std::optional<Time> arrived;  // when the request's last byte arrived; absent, or in the future: now
  std::optional<SessionId> session;
  std::optional<Time> required_position;  // replication position that the read has to see
  bool retry = false;                     // marked by the client as a retry
  bool out_of_memory = false;             // there is no memory to keep the statement
  std::shared_ptr<const RequestPayload> payload;
};

/// How a request ended, as its client is told.
enum class AnswerStatus { served, refused, failed };

/// The final answer to a request.
struct FinalAnswer {
  AnswerStatus status = AnswerStatus::failed;
  Duration retry_after{};               // refused: delay after which the client may retry; zero: none told
  std::string value;                    // served: the value as the upstream returned it
  std::string message;                  // failed: the host's error message, if any
  std::optional<Outcome> last_outcome;  // failed: outcome of the last attempt
  gates::Verdict verdict;               // refused by a gate: the gate's verdict
  bool truncated = false;  // failed: parts of the value have been passed on, and the rest will not follow
};

/// Receives the answers of the requests that it has handed to the broker; a client connection, for example.
class AnswerSink {
 public:
  virtual ~AnswerSink() = default;
  /// Receives a part of a long answer, before the final answer. Returns false if no more parts may come until
  /// Broker::resume_answer.
  virtual bool on_answer_part(RequestId /*request*/, std::string_view /*bytes*/) { return true; }
  /// Receives the one final answer of a request. After parts, its value is the remainder, or `truncated` is
  /// set.
  virtual void finish(RequestId request, FinalAnswer answer) = 0;
  /// Whether the client has disconnected, even if the broker has not been notified yet.
  [[nodiscard]] virtual bool client_gone() const { return false; }
};

/// Identifies an attempt: its request, and its index among the request's attempts.
struct AttemptKey {
  RequestId request;
  std::uint32_t number = 0;
};

/// The limits in time of an attempt, see cedarring::Send.
struct AttemptLimits {
  /// The attempt ends then at the latest. Applies until the first part of a long answer: from then on only a
  /// stall ends the attempt early.
  Time give_up_at{};
  /// The attempt ends as not sent if the last byte of its request has not been written before.
  Time write_by = Time::max();
  /// Whether a slow connection is awaited up to the full connect timeout, instead of the adaptive one.
  bool use_full_connect_timeout = true;
};

/// How an attempt ended, as reported by the upstream.
struct AttemptResult {
  Outcome outcome = Outcome::ok;
  AnswerMetadata metadata;
  LoadReport report;
  std::string value;
  std::string message;
  // Whether the attempt ended by a timeout. Only read with the outcome connect_failed, where it tells a slow
  // connection from a refused one.
  bool connect_timed_out = false;
  bool unconfirmed = false;  // see AttemptEnded::unconfirmed
};

/// Carries out attempts, probes and the discovery watch. Their results may be reported to the broker before
/// the call that starts them returns.
class Upstream {
 public:
  virtual ~Upstream() = default;
  /// Starts an attempt, which sends `payload` to the host at `address` within `limits`.
  virtual void start(AttemptKey key, HostId host, const std::string& address,
                     const std::shared_ptr<const RequestPayload>& payload, const AttemptLimits& limits) = 0;
  /// Cancels an attempt. The broker ignores a result of the attempt that is reported afterwards.
  virtual void cancel(AttemptKey key) = 0;
  /// Gives up an attempt whose request may be sent again elsewhere, see cedarring::Cancel. The attempt stays
  /// in flight until its end is reported: with the host's answer if one arrives, else as Outcome::cancelled,
  /// by `confirm_by` at the latest. cancel() ends it earlier.
  virtual void give_up(AttemptKey key, Time confirm_by) = 0;
  /// Sends a probe, answered by Broker::probe_ended.
  virtual void probe(HostId host, const std::string& address) = 0;
  /// Opens or reopens the discovery watch.
  virtual void open_watch() = 0;
  /// Arranges for Broker::timer_fired at `due`. There is one timer: a later call replaces the time.
  virtual void set_timer(Time due) = 0;
  /// Continues an answer that was paused because Broker::attempt_part returned false.
  virtual void resume(AttemptKey /*key*/) {}
  /// Called when a host is listed as draining or gone, is missing in a full list, has moved to a new address,
  /// or is disabled by an operator. Closes its idle connections; one in use is not reused, and an attempt
  /// that is not submitted yet ends as not sent.
  virtual void close_idle(HostId host) = 0;
};

/// A tenant's budget, a token bucket, and its counters at this gateway. The budget is accounted for, not
/// enforced: gates and the router decide which requests to refuse in overload.
struct TenantBudget {
  std::string tenant;
  double per_second = 0;  // this gateway's share of the tenant's rate, requests per second
  // Numbers of requests; over_budget: requests that arrived when the bucket held no whole token.
  std::uint64_t requested = 0, over_budget = 0, served = 0, refused = 0, failed = 0;
  double tokens = 0;          // requests that may arrive now within the budget
  Time refilled_at{};         // zero before the first refill, which fills the bucket
  bool configured = true;     // whether the current settings contain the tenant
  double share_fraction = 1;  // this process's fraction of per_second while two processes run in an upgrade
  /// Refills the bucket and spends one token; false if there is no whole token.
  bool try_spend(Time now);
  /// Adds the tokens earned since `refilled_at`. The bucket holds at most the tokens of one second.
  void refill(Time now);
};

/// The part of a tenant's budget that is handed over to another process of this gateway; see TenantBudget for
/// the fields.
struct BudgetSnapshot {
  double share_fraction = 0;
  double tokens = 0;
};
/// Reads or writes the snapshot under the key names of the handover format.
template <class Archive>
void serialize(Archive& archive, BudgetSnapshot& budget) {
  archive("part", budget.share_fraction);
  archive("left", budget.tokens);
}
using BudgetSnapshots = std::map<std::string, BudgetSnapshot>;  // by tenant

/// Why a request was not accepted. name_in_use: an open request has the same name; too_many_requests: the
/// limit on open requests is reached; out_of_memory: see ClientRequest; late: the deadline has passed
/// already, or the process is shutting down; nothing has run.
enum class Rejection {
  none,
  unknown_class,
  unknown_tenant,
  unknown_group,
  name_in_use,
  too_many_requests,
  out_of_memory,
  late
};

/// The course of a request that has ended, for the log.
struct RequestTrace {
  /// One attempt of the request, in the order of sending.
  struct AttemptTrace {
    std::string host;
    Duration sent_after{};  // from the acceptance of the request to the start of the attempt
    Duration duration{};
    Outcome outcome = Outcome::ok;
  };
  std::string name, class_name;
  GroupId group;
  bool retry = false;
  Duration elapsed{};  // until the final answer, or until the client disconnected
  gates::RequestEnd end = gates::RequestEnd::failed;
  std::vector<AttemptTrace> attempts;
};

/// Accepts requests and sees each through to one final answer. Single-threaded. Gates and upstream are not
/// owned and outlive the broker; a sink lives until the final answer or client_left of each of its requests.
class Broker {
 public:
  /// Returns the current time, which must not decrease.
  using Clock = std::function<Time()>;
  /// `zones`: zone names in the order of ZoneId. `max_requests`: limit on open requests.
  Broker(const Settings& settings, const std::vector<TenantBudget>& budgets, std::vector<std::string> zones,
         Clock clock, Upstream& upstream, std::size_t max_requests = 20000);
  /// Appends a gate: a request passes the gates in this order, then the router. Not owned.
  void add_gate(gates::Gate& gate) { gates_.push_back(&gate); }

  /// Starts the router with the hosts that are already known.
  void start(const MemberList& known_members);
  /// Accepts a request, or returns why it is rejected. `id` is set to the id of an accepted request, before
  /// `sink` can be called. A request refused by a gate counts as accepted: the sink has its answer before
  /// accept returns Rejection::none. The router may refuse a request at once, too.
  Rejection accept(const ClientRequest& request, AnswerSink& sink, RequestId& id);
  /// The client has disconnected: cancels the request's attempts.
  void client_left(RequestId id);
  /// The process is about to end: answers all open requests immediately, refused where nothing may have run,
  /// and rejects further ones. A long answer that is already being passed on continues.
  void begin_shutdown();
  /// The last byte of an attempt has been written to its host.
  void attempt_written(AttemptKey key);
  /// A part of a long answer has arrived. After the first part no other attempt follows. Returns false if the
  /// upstream has to wait for Upstream::resume.
  bool attempt_part(AttemptKey key, std::string_view bytes);
  /// The sink accepts further parts of a request's answer.
  void resume_answer(RequestId id);
  /// An attempt has ended; ignored if it was cancelled before.
  void attempt_ended(AttemptKey key, AttemptResult result);
  /// A probe has ended after `elapsed`.
  void probe_ended(HostId host, Outcome outcome, Duration elapsed, const LoadReport& report);
  /// Applies a list of hosts from discovery.
  void on_member_list(const MemberList& list);
  /// Discovery failed to deliver a list.
  void on_member_list_failed();
  /// Disables the host of this name, or enables it again, by operator command. Returns false if no host has
  /// the name or too many hosts are disabled. With `force` the name is accepted unchecked, because another
  /// process of this gateway has verified that the host exists.
  bool set_disabled(const std::string& host, bool disabled, bool force = false);
  [[nodiscard]] const HostTable& hosts() const { return hosts_; }
  /// Applies a host's role and replication position as the other process of this gateway has observed them.
  void observe(const std::string& host, Role role, std::optional<Time> position);
  // Handover between two processes of one gateway, which divide the budgets while an upgrade runs:
  // 1. The incoming process calls suspend_spending at its start; when it is ready to serve, the outgoing one
  //    calls snapshot(SnapshotScope::split) and split_budgets.
  // 2. With their results the incoming process calls merge_snapshot and restore_budgets; without, it calls
  //    assume_own_share. Then it serves.
  // 3. When one process has ended, the other calls resume_full_spending.
  /// The router's state, with host names in place of ids, which differ between the processes.
  RouterSnapshot snapshot(SnapshotScope scope);
  /// Merges the state of the other process's router.
  void merge_snapshot(RouterSnapshot snapshot);
  /// Divides the tenants' budgets between this process, the outgoing one, and the incoming one, whose part is
  /// returned. The router's budgets are divided by snapshot.
  BudgetSnapshots split_budgets();
  /// Takes over this process's part of the tenants' budgets from the outgoing process; the router's budgets
  /// come with merge_snapshot. A tenant that is missing in `received` gets its share without saved tokens.
  void restore_budgets(const BudgetSnapshots& received);
  /// Another process may be spending the budgets and has not reported yet: sets the router's budgets to zero,
  /// see Router::suspend_spending, and the tenants' until restore_budgets, assume_own_share or
  /// resume_full_spending.
  void suspend_spending();
  /// The other process does not report: uses this process's share of the tenants' budgets from now on,
  /// without saved tokens, and half of the slow-start budgets after one overload window. Retry and probe
  /// budgets stay.
  void assume_own_share();
  /// Sets the share (0 to 1) of the hosts' slow-start budgets that this process may spend, from one overload
  /// window after now on.
  void set_slow_start_share(double share) { router_.set_slow_start_share(clock_(), share); }
  /// The other process has stopped spending: uses the tenants' whole budgets from now on, and the whole
  /// slow-start budgets after one overload window. Retry and probe budgets stay.
  void resume_full_spending();
  /// Sets the callback for each successful write of a request with a session, called before the client is
  /// answered.
  void set_commit_callback(std::function<void(const SessionSnapshot&)> callback) {
    on_commit_ = std::move(callback);
  }
  /// Sets the callback for a host that reports another role than was known.
  void set_role_change_callback(std::function<void(const std::string& host, Role role)> callback) {
    on_role_change_ = std::move(callback);
  }
  /// Sets the callback for each request that has ended and has no attempt in flight; empty: no traces.
  void set_request_trace_callback(std::function<void(const RequestTrace&)> callback) {
    on_request_trace_ = std::move(callback);
  }
  /// The timer set by Upstream::set_timer has expired.
  void timer_fired();
  /// The router's view of each group, ordered by id.
  void group_views(std::vector<GroupView>& out) { router_.group_views(clock_(), out); }
  /// Applies tuning parameters to the router.
  void set_tuning(const Tuning& tuning) { router_.set_tuning(tuning); }
  /// Limits the number of attempts in flight; at least 1.
  void set_max_in_flight(std::size_t attempts) {
    router_.set_max_in_flight(static_cast<int>(std::max<std::size_t>(attempts, 1)));
  }
  /// Replaces settings and budgets, both already validated. Open requests keep the class under which they
  /// were accepted; see RequestClasses for those that arrive soon after.
  void update_settings(Settings settings, std::vector<TenantBudget> budgets);

  [[nodiscard]] Time now() const { return clock_(); }
  /// Number of requests that have not ended or still have attempts in flight.
  [[nodiscard]] std::size_t open_requests() const { return requests_.size(); }
  /// Adds this broker's counters and gauges to `out`.
  void collect_metrics(telemetry::Metrics& out);
  /// Whether any known host is ready.
  [[nodiscard]] bool ready() const { return hosts_.ready_count() > 0; }
  /// Number of entries held (requests, hosts, the router's own), to verify that memory stays bounded.
  [[nodiscard]] std::size_t entry_count() const {
    return requests_.size() + open_request_names_.size() + hosts_.size() + router_.entry_count();
  }
  /// Budgets by tenant index, including tenants that are no longer configured.
  [[nodiscard]] const std::deque<TenantBudget>& budgets() const { return budgets_; }

 private:
  /// An attempt of an accepted request. `duration` and `outcome` are set when the attempt ends.
  struct Attempt {
    HostId host;
    Time sent_at{};
    bool in_flight = true;
    Duration duration{};
    Outcome outcome = Outcome::ok;
  };
  /// An accepted request, until it has ended and none of its attempts is in flight.
  struct Request {
    AnswerSink* sink = nullptr;  // null once the final answer is given or the client has disconnected
    std::string name;
    std::shared_ptr<const RequestPayload> payload;
    std::optional<SessionId> session;
    TenantBudget* budget = nullptr;  // of the request's tenant; null if no tenants are configured
    gates::GateRequest gate_request;
    // Number of gates, from the front of the chain, that have decided on the request: these are notified of
    // its end.
    std::size_t gates_consulted = 0;
    Time accepted_at{}, deadline{};
    std::vector<Attempt> attempts;
    std::string message;  // the host's last error message
    std::optional<Outcome> last_outcome;
    int attempts_in_flight = 0;
    // A part of an answer has arrived, or an attempt has ended with an outcome after which it may have run.
    // Attempts in flight do not count.
    bool may_have_run = false;
    bool ended = false;
    Time ended_at{};
    gates::RequestEnd end = gates::RequestEnd::failed;
    bool streaming = false;  // parts of the last attempt's answer are being passed on
  };

  Rejection admit(const ClientRequest& client_request, ClassId class_id, AnswerSink& sink, RequestId& id);
  void handle_event(Event event);
  void perform(const Action& action, Time now);
  void start_attempt(const Send& send, Time now);
  void finish_request(RequestId id, FinalAnswer answer, gates::Decider decided_by);
  void erase_if_complete(RequestId id);
  void cancel_attempts(RequestId id);
  void mark_ended(Request& request);
  void record_end(Request& request, gates::RequestEnd end, gates::Decider decided_by = gates::Decider::nobody,
                  gates::Reason reason = gates::Reason::none);
  gates::Verdict pass_gates(Request& request, Time now);
  void report_trace(const Request& request) const;
  void observe_host(HostId host, Role role, std::optional<Time> position);

  std::deque<TenantBudget> budgets_;  // by tenant index; requests keep pointers to the entries
  std::vector<gates::Gate*> gates_;
  Clock clock_;
  Upstream& upstream_;
  std::size_t max_requests_;
  Settings settings_;
  RequestClasses classes_;
  std::size_t gated_classes_, gated_tenants_;  // numbers known to the gates: those at construction
  Router router_;
  HostTable hosts_;
  std::unordered_map<std::uint64_t, Request> requests_;  // by RequestId
  std::unordered_set<std::string> open_request_names_;   // of the requests that have not ended
  std::uint64_t next_request_id_ = 1;
  std::function<void(const std::string&, Role)> on_role_change_;
  std::function<void(const RequestTrace&)> on_request_trace_;
  std::function<void(const SessionSnapshot&)> on_commit_;
  std::deque<std::pair<Time, Event>> events_;  // queued for the router, with the times of their occurrence
  bool shutting_down_ = false;                 // after begin_shutdown
  bool handling_events_ = false;               // guards against re-entering the router
};

}  // namespace cedarring::broker
