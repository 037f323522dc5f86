// The configuration of contracts: teams, their tenants, and for each class a rate, a burst, a latency target
// and the policy for requests beyond the rate. Plain data, read from the configuration file.
#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

#include "cedarring/router.h"

namespace cedarring::contracts {

/// The policy for requests beyond the contract's rate.
enum class BeyondPolicy : std::uint8_t {
  refuse,  // refused at once
  borrow,  // served from capacity that other teams leave unused
  count    // served and counted
};

/// The terms of one class for one team.
struct Terms {
  double rate = 0;            // requests a second, over all gateways
  double burst = 1;           // requests at once
  Duration latency_target{};  // an answer within this time is in time; zero: the target of the class
  // Share of the requests within the contract in a window that the gateway promises to answer in time.
  double in_time_share = 0.99;
  double weight = 1;  // of the team under contention, above zero; see fair_share.h
  BeyondPolicy beyond = BeyondPolicy::borrow;
};
/// The terms of one class, with others around gate closures where the contract has them.
struct ClassTerms {
  Terms usual;
  std::optional<Terms> closure;  // in force around a gate closure; otherwise the usual terms apply
};
/// A contract: the tenants of one team and its terms by class.
struct Team {
  std::string name;
  std::vector<std::int32_t> tenants;               // indices of the service's tenants
  std::vector<std::optional<ClassTerms>> classes;  // by class; absent: Config::default_terms
};
/// A period around a gate closure, lead and trail included. Unix time, from <= t < to.
struct ClosureWindow {
  Time from{};
  Time to{};
};

/// Whether contracts are ignored, only counted, or counted and enforced. With `count`, too, a request beyond
/// its contract is marked in the verdict, and later gates treat it as beyond its tenant's budget.
enum class Mode : std::uint8_t { off, count, enforce };

/// The contracts of one front end.
struct Config {
  Mode mode = Mode::off;
  std::vector<Team> teams;
  std::optional<Terms> default_terms;        // for teams and classes without a contract; absent: no limit
  std::vector<ClosureWindow> closures;       // in order, not overlapping
  std::uint32_t gateways = 1;                // that share the contracted rates
  double max_share_multiple = 2;             // largest gateway share, as a multiple of an even share
  Duration share_time_constant{10'000'000};  // time in which a gateway's share adapts to its arrivals
  Duration window{300'000'000};              // length of a ledger window
  double retry_share = 0.2;                  // retries a team may make for each of its requests
  double retry_burst = 10;                   // retries that a team may make at once
};

}  // namespace cedarring::contracts
