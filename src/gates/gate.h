// What stands between a request and the router: a chain of gates, each of which may turn the request away. A
// gate decides from what it is handed, without I/O, a clock or randomness of its own, so that the same object
// runs in the gateway, in simulated time and in tests.
#pragma once

#include <cstdint>
#include <vector>

#include "cedarring/router.h"

namespace cedarring::gates {

/// What a gate needs to know of the service that it stands before. Set once; durations in microseconds.
struct ServiceInfo {
  std::vector<RequestClass> classes;
  std::size_t tenants = 0;
  Duration max_pause{500'000};  // clients keep to no longer one
  bool pauses = true;           // whether they are told one
  std::uint64_t seed = 0;
};

/// Who has turned a request away, and why. Closed: the log, the client's error and reports all name these.
enum class Decider : std::uint8_t { nobody, levels, contracts, router };
enum class Reason : std::uint8_t {
  none,
  class_shed,     // the present level gives up this class, or this caller's part of it
  budget_shed,    // the present level gives up what comes beyond a tenant's budget
  tenant_shed,    // the present level gives up this tenant's requests
  no_primary,     // the group has no primary to take it, and is not expected to soon
  over_contract,  // beyond what the team's contract promises
  contention,     // beyond the team's part of a host that is the bottleneck
};

constexpr const char* name_of(Decider d) {
  switch (d) {
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
constexpr const char* name_of(Reason r) {
  switch (r) {
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

/// A request as gates see it. Everything is a number: a verdict allocates nothing.
struct GateRequest {
  RequestId request;
  ClassId cls;
  GroupId group;
  std::int32_t tenant = -1;    // index among the budgets; -1: none named
  std::uint64_t caller = 0;    // hash of the session or key: the same for a caller's retries; 0: unknown
  bool beyond_budget = false;  // of its tenant's share at this gateway
  bool retry = false;          // marked by the client as one
  Duration time_left{};
};

struct Verdict {
  bool admitted = true;
  Decider decided_by = Decider::nobody;
  Reason reason = Reason::none;
  Duration retry_after{};  // when the caller may come again; zero: nothing is said
  bool beyond_contract =
      false;  // admitted, but beyond what was promised: gates behind see it as beyond the budget
};

/// How a request that was asked for has ended; told once for each, whoever ended it.
enum class RequestEnd : std::uint8_t { served, refused, failed, abandoned };
constexpr const char* name_of(RequestEnd e) {
  switch (e) {
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
struct RequestResult {
  RequestEnd end = RequestEnd::failed;
  Decider by = Decider::nobody;  // of a refusal, and why where a gate has refused it
  Reason why = Reason::none;
  bool ran = false;    // an attempt was written to a host, or may have been
  Duration elapsed{};  // since the request was taken
};

class Gate {
 public:
  virtual ~Gate() = default;
  /// Whether the request may go on to the next gate, or the router after the last. Never holds one back.
  virtual Verdict admit(const GateRequest& ask, Time now) = 0;
  /// Whether a further attempt may be made for a request that this gate let through; the first needs no
  /// asking. One that may not ends the attempt as never sent.
  virtual bool may_retry(const GateRequest& /*ask*/, Time /*now*/) { return true; }
  /// Told for each request that passed this gate, and for each that it turned away.
  virtual void on_request_end(const GateRequest& /*ask*/, const RequestResult& /*ending*/, Time /*now*/) {}
};

}  // namespace cedarring::gates
