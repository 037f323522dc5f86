// The broker: requests, attempts, contracts and budgets. It drives the Router and knows no wire: a FrontEnd
// takes final answers, an Upstream carries attempts out. Decides nothing itself.
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
#include "cedarring/router.h"
#include "cedarring/snapshot.h"
#include "gates/gate.h"
#include "handover/budget_share.h"
#include "telemetry/metrics.h"

namespace cedarring::broker {

/// What a front wants done: opaque here, understood by the upstream of the same protocol.
struct RequestPayload {
  virtual ~RequestPayload() = default;
};

/// A request in the terms of its contract.
struct ClientRequest {
  std::string name;      // its id among the clients' open requests
  std::string contract;  // the class's name
  std::string tenant;
  GroupId group;
  Duration time_left{};         // that its client waits, counted from `arrived`
  std::optional<Time> arrived;  // when its last byte came; absent: now
  std::optional<SessionId> session;
  std::optional<Time> after;  // the position that the read has to see
  bool retry = false;         // marked by the client as one
  std::shared_ptr<const RequestPayload> work;
};

enum class AnswerStatus { served, refused, failed };
struct FinalAnswer {
  AnswerStatus status = AnswerStatus::failed;
  Duration retry_after{};               // of a refusal: when to come back
  std::string value;                    // of what was served: as the upstream gave it
  std::string message;                  // of a failure: what the host said, if anything
  std::optional<Outcome> last_outcome;  // of a failure: how the last attempt ended
  gates::Verdict verdict;               // of a refusal by a gate: who, and why
  bool truncated = false;               // parts of a value have been passed on, and the rest does not come
};

class FrontEnd {
 public:
  virtual ~FrontEnd() = default;
  /// A part of a long answer, before the final one: false if no more may come until Broker::more.
  virtual bool part(RequestId /*request*/, std::string_view /*bytes*/) { return true; }
  /// The one final answer of a request; behind parts its value is what follows them, or `truncated` is set.
  virtual void finish(RequestId request, FinalAnswer answer) = 0;
  /// Whether nobody is there any more to take an answer, heard of or not.
  [[nodiscard]] virtual bool gone() const { return false; }
};

struct AttemptKey {
  RequestId request;
  std::uint32_t number = 0;
};

/// How an attempt ended, as told by the upstream.
struct AttemptResult {
  Outcome outcome = Outcome::ok;
  AnswerMetadata metadata;
  LoadReport report;
  std::string value;
  std::string message;
  bool connect_timed_out = false;  // of connect_failed: nothing came in its time
};

/// Carries attempts, probes and the watch out. Results may come before the call returns.
class Upstream {
 public:
  virtual ~Upstream() = default;
  /// `only_there`: no other host can take it, so that a connection is waited for as long as may be.
  virtual void start(AttemptKey key, HostId host, const std::string& address,
                     const std::shared_ptr<const RequestPayload>& work, Time stop_at, bool only_there) = 0;
  virtual void cancel(AttemptKey key) = 0;
  virtual void probe(HostId host, const std::string& address) = 0;
  virtual void open_watch() = 0;
  virtual void set_timer(Time due) = 0;
  /// The front has room for more of an attempt's answer.
  virtual void resume(AttemptKey /*key*/) {}
  /// Hosts that are no longer listed as ready: idle connections to them are of no more use.
  virtual void close_idle(HostId host) = 0;
};

/// A tenant's share of the service, and what it has made of it at this gateway. It is kept, not enforced:
/// what to give up in overload is the router's to decide.
struct TenantBudget {
  std::string tenant;
  double per_second = 0;                                                   // this gateway's part of the share
  std::uint64_t asked = 0, over = 0, served = 0, refused = 0, failed = 0;  // over: asked beyond the share
  double left = 0;
  Time at{};
  bool named = true;  // in the settings in force
  double part = 1;    // of both processes' while an upgrade runs, that is this one's
  /// Takes one request off the share, a second's worth of which is saved; false beyond it.
  bool draw(Time now);
  void refill(Time now);
};

/// What is left of a tenant's share, for the process that is told.
struct BudgetSnapshot {
  double part = 0, left = 0;
};
template <class Archive>
void serialize(Archive& archive, BudgetSnapshot& b) {
  archive("part", b.part), archive("left", b.left);
}
using BudgetSnapshots = std::map<std::string, BudgetSnapshot>;  // by tenant

/// late: its time ran out before its turn came, nothing has run.
enum class Rejection { none, unknown_contract, unknown_tenant, unknown_group, name_in_use, overfull, late };

/// A request that is over, for those who look for what became of it.
struct RequestTrace {
  struct AttemptTrace {
    std::string host;
    Duration sent{}, took{};  // since the request was taken; until it ended
    Outcome outcome = Outcome::ok;
  };
  std::string name, contract;
  GroupId group;
  bool retry = false;
  Duration elapsed{};  // until its final answer, or until its client left
  gates::RequestEnd end = gates::RequestEnd::failed;
  std::vector<AttemptTrace> legs;
};

class Broker {
  static constexpr Time forever{INT64_MAX / 2};

 public:
  using Clock = std::function<Time()>;
  Broker(Settings settings, const std::vector<TenantBudget>& budgets, std::vector<std::string> zones,
         Clock clock, Upstream& upstream, std::size_t max_requests = 20000);
  /// Puts a gate behind those there are: a request passes them in this order, then the router. Not owned.
  void add_gate(gates::Gate& gate) { gates_.push_back(&gate); }

  void start(const MemberList& known);
  /// Takes a request, or says why not; `id` is set before the front can be called.
  Rejection accept(const ClientRequest& ask, FrontEnd& front, RequestId& id);
  void client_left(RequestId id);
  /// The process is about to be ended: what it still holds is answered at once, refused where nothing may
  /// have run, and what comes from now on is refused. A long answer that is being passed on goes on.
  void begin_shutdown();
  /// The last byte of an attempt has left for its host.
  void attempt_written(AttemptKey key);
  /// A part of a long answer has come. From the first on no other attempt follows. False: wait for
  /// Upstream::more.
  bool attempt_part(AttemptKey key, std::string_view bytes);
  /// The front has room for more of what a request is answered with.
  void more(RequestId id);
  void attempt_ended(AttemptKey key, AttemptResult result);
  void probe_ended(HostId host, Outcome outcome, Duration elapsed, const LoadReport& report);
  void listed(const MemberList& list);
  void list_failed();
  /// Leaves a host out by hand, or takes it back; false if nobody has the id.
  bool set_disabled(const std::string& host, bool out, bool sure = false);
  [[nodiscard]] const HostTable& hosts() const { return hosts_; }
  /// What the other process of this gateway has heard of a host.
  void observe(const std::string& host, Role role, std::optional<Time> position);
  // Two processes of one gateway, see docs/service.md.
  /// What the router knows, hosts by name.
  RouterSnapshot snapshot(SnapshotScope what);
  void merge_snapshot(RouterSnapshot knowledge);
  /// What is left of tenants' shares; the other's part is told.
  BudgetSnapshots split_budgets();
  void take_budgets(const BudgetSnapshots& told);
  /// Another process may be spending, and has not told yet: nothing is left.
  void suspend_spending();
  /// It does not tell: this process has its part from here on, and nothing is saved.
  void assume_own_share();
  /// Of what cold hosts may be sent, `part` may be spent from one window on.
  void set_slow_start_share(double part) { router_.set_slow_start_share(clock_(), part); }
  /// No other spends any more.
  void resume_full_spending();
  /// Called for each write that went through, before its client hears of it.
  void on_commit(std::function<void(const SessionSnapshot&)> call) { commit_ = std::move(call); }
  /// Called when a host tells another role than was known.
  void on_role(std::function<void(const std::string& host, Role role)> call) { role_told_ = std::move(call); }
  /// Called for each request once nothing of it is out; an empty one: not at all.
  void on_request_trace(std::function<void(const RequestTrace&)> call) { course_ = std::move(call); }
  void timer_fired();
  /// What the router believes of each group, by id.
  void group_views(std::vector<GroupView>& out) { router_.group_views(clock_(), out); }
  void set_tuning(const Tuning& tuning) { router_.set_tuning(tuning); }
  /// How many attempts may be out at once, 1 or more.
  void set_max_in_flight(std::size_t attempts) {
    router_.set_max_in_flight(static_cast<int>(std::max<std::size_t>(attempts, 1)));
  }
  /// Other settings and budgets from now on, checked already; open requests keep the class that they came in
  /// under.
  void update_settings(Settings settings, std::vector<TenantBudget> budgets);

  [[nodiscard]] Time now() const { return clock_(); }
  [[nodiscard]] std::size_t open_requests() const { return requests_.size(); }
  /// Adds what it has counted, and what it holds, to the figures.
  void collect_metrics(telemetry::Metrics& out);
  /// Whether it knows a host that it might send to.
  [[nodiscard]] bool ready() const { return hosts_.ready() > 0; }
  /// How many entries are held (requests, hosts, the router's own): it stays bounded.
  [[nodiscard]] std::size_t entry_count() const {
    return requests_.size() + names_.size() + hosts_.size() + router_.entry_count();
  }
  [[nodiscard]] const std::deque<TenantBudget>& budgets() const { return budgets_; }

 private:
  struct Attempt {
    HostId host;
    Time sent{};
    bool out = true;
    Duration took{};
    Outcome outcome = Outcome::ok;
  };
  struct Request {
    FrontEnd* front = nullptr;
    std::string name;
    std::shared_ptr<const RequestPayload> work;
    std::optional<SessionId> session;
    TenantBudget* budget = nullptr;
    gates::GateRequest ask;
    std::size_t gates_asked = 0;  // of the chain, from its front: those are told of the end
    Time taken{}, deadline{};
    std::vector<Attempt> attempts;
    std::string message;  // what the last host said, for a failure
    std::optional<Outcome> why;
    int out = 0;
    bool ran = false;  // an attempt was written, or may have been
    bool ended = false;
    Time ended_at{};
    gates::RequestEnd how = gates::RequestEnd::failed;
    bool streaming = false;  // the last attempt's answer is being passed on
  };

  void name(std::size_t index, const RequestClass& cls);
  Rejection take(const ClientRequest& ask, ClassId cls, FrontEnd& front, RequestId& id);
  void feed(Event event);
  void act(const Action& action, Time now);
  void send(const Send& send, Time now);
  void end(RequestId id, FinalAnswer answer, gates::Decider by);
  void settle(RequestId id);
  void give_up(RequestId id);
  void close(Request& r);
  void count(Request& r, gates::RequestEnd end, gates::Decider by = gates::Decider::nobody,
             gates::Reason why = gates::Reason::none);
  gates::Verdict pass_gates(Request& r, Time now);
  void tell_course(const Request& r) const;
  void hear(HostId host, Role role, std::optional<Time> position);

  /// A class of the settings, and what has become of its requests.
  struct Contract {
    RequestClass cls;
    telemetry::ClassCounts* counts = nullptr;  // of its name
    Time until = forever;                      // it may be named before that; passed: dropped, or replaced
  };
  std::vector<Contract> contracts_;  // by ClassId: one keeps its number while a request of it is open
  std::map<std::string, telemetry::ClassCounts> counts_;
  std::deque<TenantBudget> budgets_;  // by the tenant's number; requests point into it
  std::vector<gates::Gate*> gates_;
  Clock clock_;
  Upstream& upstream_;
  std::size_t max_requests_;
  Settings settings_;
  std::size_t gated_classes_, gated_tenants_;  // that gates know: those of the start
  Router router_;
  HostTable hosts_;
  std::unordered_map<std::uint64_t, Request> requests_;
  std::unordered_set<std::string> names_;  // of the open requests
  std::uint64_t next_request_ = 1;
  std::function<void(const std::string&, Role)> role_told_;
  std::function<void(const RequestTrace&)> course_;
  std::function<void(const SessionSnapshot&)> commit_;
  std::deque<std::pair<Time, Event>> events_;
  bool closing_ = false;  // after begin_shutdown
  bool feeding_ = false;  // guards against feeding the router while it is being fed
};

}  // namespace cedarring::broker
