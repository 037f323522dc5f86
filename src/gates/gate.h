// Admission control in front of the router: a chain of gates, each of which may reject a request. A gate
// decides from its arguments and its own state, without I/O, a clock or global randomness, so that the same
// object runs in the gateway, in simulated time and in tests.
#pragma once

#include <cstdint>
#include <vector>

#include "cedarring/router.h"

namespace cedarring::gates {

/// The service that a gate protects. Set once.
struct ServiceInfo {
  std::vector<RequestClass> classes;
  std::size_t tenants = 0;            // number of configured tenants
  Duration max_retry_after{500'000};  // upper limit of Verdict::retry_after
  bool retry_after_allowed = true;    // whether refusals may carry a retry delay
  std::uint64_t seed = 0;             // seed of the random numbers in gates
};

/// The component that rejected a request. Logs, client errors and reports use the names of name_of().
enum class Decider : std::uint8_t { nobody, levels, contracts, router };
/// Why a gate rejected a request.
enum class Reason : std::uint8_t {
  none,
  class_shed,     // the active level sheds this class, or the share of its callers that includes this one
  budget_shed,    // the active level sheds requests beyond a tenant's budget
  tenant_shed,    // the active level sheds this tenant
  no_primary,     // the group has no primary for the request, and none is expected soon
  over_contract,  // beyond the rate that the team's contract guarantees
  contention,     // beyond the team's share of a host that is the bottleneck
};

/// The decider's name in logs and reports.
constexpr const char* name_of(Decider decider) {
  switch (decider) {
    case Decider::nobody:
      return "nobody";
    case Decider::levels:
      return "levels";
    case Decider::contracts:
      return "contracts";
    case Decider::router:
      return "router";
  }
  return "nobody";
}
/// The reason's text in logs, client errors and reports.
constexpr const char* name_of(Reason reason) {
  switch (reason) {
    case Reason::none:
      return "none";
    case Reason::class_shed:
      return "class shed";
    case Reason::budget_shed:
      return "beyond the budget";
    case Reason::tenant_shed:
      return "tenant shed";
    case Reason::no_primary:
      return "no primary";
    case Reason::over_contract:
      return "beyond the contract";
    case Reason::contention:
      return "beyond the team's part";
  }
  return "none";
}

/// The properties of a request that gates decide on. Holds numbers only, so that a verdict allocates nothing.
struct GateRequest {
  RequestId request;
  ClassId class_id;
  GroupId group;
  std::int32_t tenant = -1;    // index into the configured tenants; -1: none
  std::uint64_t caller = 0;    // hash of the session or key, the same for a caller's retries; 0: unknown
  bool beyond_budget = false;  // exceeds its tenant's share at this gateway
  bool retry = false;          // marked as a retry by the client
  Duration time_left{};        // until the client gives up
};

/// A gate's decision on a request.
struct Verdict {
  bool admitted = true;
  Decider decided_by = Decider::nobody;
  Reason reason = Reason::none;
  Duration retry_after{};        // delay to suggest to the client; zero: none
  bool beyond_contract = false;  // admitted beyond the contract; later gates see it as beyond the budget
};

/// How a request ended; reported once per request, whichever component ended it.
enum class RequestEnd : std::uint8_t { served, refused, failed, abandoned };
/// The name of a request's end in logs and records. "left" stands for `abandoned`: the client left early.
constexpr const char* name_of(RequestEnd end) {
  switch (end) {
    case RequestEnd::served:
      return "served";
    case RequestEnd::refused:
      return "refused";
    case RequestEnd::failed:
      return "failed";
    case RequestEnd::abandoned:
      return "left";
  }
  return "failed";
}
/// The end of a request, as reported to gates.
struct RequestResult {
  RequestEnd end = RequestEnd::failed;
  Decider decided_by = Decider::nobody;  // component that refused the request, if any did
  Reason reason = Reason::none;          // why a gate refused the request, if one did
  // An attempt that has ended may have run, or a part of an answer has arrived. An attempt still in flight
  // when the request ends, because its client has left or the process shuts down, does not count.
  bool ran = false;
  Duration elapsed{};  // time since the request was accepted
};

/// A stage of admission control.
class Gate {
 public:
  virtual ~Gate() = default;
  /// Decides whether the request may pass to the next gate, or to the router after the last gate. Decides at
  /// once: a gate does not delay requests.
  virtual Verdict admit(const GateRequest& request, Time now) = 0;
  /// Whether a request that this gate admitted may make another attempt; not asked for the first one. If not,
  /// the attempt ends with Outcome::not_sent.
  virtual bool may_retry(const GateRequest& /*request*/, Time /*now*/) { return true; }
  /// Called once for each request that this gate admitted or rejected.
  virtual void on_request_end(const GateRequest& /*request*/, const RequestResult& /*result*/, Time /*now*/) {
  }
};

}  // namespace cedarring::gates
