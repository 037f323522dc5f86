// What the ladder reads: numbers about the gateway, about classes and about groups, each with its age.
#pragma once

#include <array>
#include <cmath>
#include <cstddef>
#include <cstdint>
#include <string>

#include "cedarring/router.h"

namespace cedarring::levels {

enum class Reading : std::uint8_t {
  // of a class
  latency,  // smoothed time of served answers over the class's aim
  late,     // share of served answers that came after the aim
  refused,  // share of requests refused or failed by the router and the hosts, not by a gate
  // of the gateway
  hosts_out,          // share of listed hosts that are ejected or silent
  lagging,            // share of replicas whose known position is past the tightest bound
  in_flight,          // requests at hosts over the sum of their windows
  waiting,            // requests held by the router over those at hosts
  retries,            // share of requests that clients mark as retries
  discovery_silence,  // seconds since the list's source was last heard
  descriptors,        // share of the places for clients that are taken
  memory,             // share of the buffers' bound that is in use
  loop_lag,           // seconds by which the event loop is late
  // of a group
  primary_lost,   // seconds since the group has had no primary that can be used; 0 while it has one
  group_out,      // share of the group's hosts that are ejected or silent
  group_lagging,  // share of the group's replicas past the bound
};
inline constexpr std::size_t reading_count = 15;
enum class Scope : std::uint8_t { cls, gateway, group };

struct ReadingInfo {
  const char* name;
  Scope scope;
  double most;       // larger ones are absurd
  Duration max_age;  // older ones are not used
};

inline constexpr Duration seconds_of(double s) { return Duration(static_cast<std::int64_t>(s * 1e6)); }

/// By the order of `Reading`. A level is evaluated ten times a second; readings are as fresh as that, unless
/// their source has stopped: two seconds without one is a fault of the source and no news about the hosts.
inline constexpr std::array<ReadingInfo, reading_count> reading_table{{
    {"latency", Scope::cls, 1e4, seconds_of(2)},
    {"late", Scope::cls, 1, seconds_of(2)},
    {"refused", Scope::cls, 1, seconds_of(2)},
    {"hosts_out", Scope::gateway, 1, seconds_of(2)},
    {"lagging", Scope::gateway, 1, seconds_of(2)},
    {"in_flight", Scope::gateway, 1e6, seconds_of(2)},
    {"waiting", Scope::gateway, 1e6, seconds_of(2)},
    {"retries", Scope::gateway, 1, seconds_of(2)},
    {"discovery_silence", Scope::gateway, 1e7, seconds_of(2)},
    {"descriptors", Scope::gateway, 1, seconds_of(2)},
    {"memory", Scope::gateway, 10, seconds_of(2)},
    {"loop_lag", Scope::gateway, 1e4, seconds_of(2)},
    {"primary_lost", Scope::group, 1e7, seconds_of(2)},
    {"group_out", Scope::group, 1, seconds_of(2)},
    {"group_lagging", Scope::group, 1, seconds_of(2)},
}};
inline constexpr const ReadingInfo& info(Reading r) { return reading_table[static_cast<std::size_t>(r)]; }

/// Whether a reading may be used, and if not, why.
enum class Use : std::uint8_t { usable, missing, stale, absurd, ahead };
constexpr const char* name_of(Use u) {
  switch (u) {
    case Use::usable:
      return "usable";
    case Use::missing:
      return "never read";
    case Use::stale:
      return "too old";
    case Use::absurd:
      return "absurd";
    case Use::ahead:
      return "from the future";
  }
  return "usable";
}

struct Sample {
  double value = 0;
  Time at{};
  bool read = false;
  [[nodiscard]] Use use(const ReadingInfo& i, Time now) const {
    if (!read) return Use::missing;
    if (!std::isfinite(value) || value < 0 || value > i.most) return Use::absurd;
    if (at > now) return Use::ahead;
    return now - at > i.max_age ? Use::stale : Use::usable;
  }
};

}  // namespace cedarring::levels
