// What is written in contracts: teams, their tenants, and for each class a rate, a burst, a wanted time and
// what happens beyond. Plain data, read from the configuration.
#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

#include "cedarring/router.h"

namespace cedarring::contracts {

enum class Beyond : std::uint8_t {
  refuse,  // turned away at once
  borrow,  // served from what others leave unused
  count    // served and counted
};

/// The promise of one class to one team.
struct Terms {
  double rate = 0;      // requests a second, over all gateways
  double burst = 1;     // requests at once
  Duration wanted{};    // an answer within this keeps the promise
  double share = 0.99;  // of the answers, over a window
  double weight = 1;    // in contention; above zero
  Beyond beyond = Beyond::borrow;
};
struct ClassTerms {
  Terms usual;
  std::optional<Terms> closure;  // in force around a gate closure
};
struct Team {
  std::string name;
  std::vector<std::int32_t> tenants;               // indices among the service's
  std::vector<std::optional<ClassTerms>> classes;  // by class; none: the default
};
/// A time around a gate closure, lead and trail included. Unix time, from <= t < to.
struct ClosureWindow {
  Time from{}, to{};
};

enum class Mode : std::uint8_t { off, count, enforce };

struct Config {
  Mode mode = Mode::off;
  std::vector<Team> teams;
  std::optional<Terms> fallback;        // of teams and classes without a contract; none: they pass uncounted
  std::vector<ClosureWindow> closures;  // in order, apart
  std::uint32_t gateways = 1;
  double part_most = 2;              // times an even part that one gateway may come to hold
  Duration part_memory{10'000'000};  // over which its part follows what arrives
  Duration window{300'000'000};      // of the ledger
  double retry_share = 0.2;          // further attempts for each request, by team
  double retry_burst = 10;
};

}  // namespace cedarring::contracts
