// Readings that level conditions compare with bounds: figures of request classes, of the gateway and of
// replica groups, each with the time at which it was taken.
#pragma once

#include <array>
#include <cmath>
#include <cstddef>
#include <cstdint>
#include <string>

#include "cedarring/router.h"

namespace cedarring::levels {

/// What a condition observes. Shares are 0 to 1.
enum class Reading : std::uint8_t {
  // Of a request class.
  latency,  // smoothed latency of served answers, divided by the latency target of the class
  late,     // share of served answers that exceeded the latency target
  refused,  // share of requests refused or failed by the router and the hosts, not by a gate
  // Of the gateway.
  hosts_out,          // share of listed hosts that are ejected or do not answer
  lagging,            // share of replicas known to be behind the tightest staleness bound of any class
  in_flight,          // requests at hosts, divided by the sum of the hosts' concurrency limits
  waiting,            // requests held by the router, divided by those at hosts
  retries,            // share of requests that clients mark as retries
  discovery_silence,  // seconds since the discovery source last answered
  descriptors,        // share of the client connection limit that is in use
  memory,             // share of the buffer memory limit that is in use
  loop_lag,           // seconds by which the event loop is late
  // Of a replica group.
  primary_lost,   // seconds since the group last had a usable primary; 0 while it has one
  group_out,      // share of the group's hosts that are ejected or do not answer
  group_lagging,  // share of the group's replicas that are behind the staleness bound
};
inline constexpr std::size_t reading_count = 15;  // number of values of Reading

/// The kind of object that a reading describes.
enum class Scope : std::uint8_t { request_class, gateway, group };

/// The name of a reading and the limits within which its samples are used.
struct ReadingInfo {
  const char* name;  // as written in configuration and records
  Scope scope;
  double max_value;  // a sample above this value is implausible and not used
  Duration max_age;  // a sample older than this is not used
};

/// Converts seconds to a Duration.
inline constexpr Duration seconds_of(double seconds) {
  return Duration(static_cast<std::int64_t>(seconds * 1e6));
}

/// Properties of each reading, in the order of `Reading`. Levels are evaluated ten times a second and sources
/// deliver at the same rate. Two seconds without a sample mean that the source has failed, and say nothing
/// about the hosts.
inline constexpr std::array<ReadingInfo, reading_count> reading_table{{
    {"latency", Scope::request_class, 1e4, seconds_of(2)},
    {"late", Scope::request_class, 1, seconds_of(2)},
    {"refused", Scope::request_class, 1, seconds_of(2)},
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

/// The entry of `reading_table` for a reading.
inline constexpr const ReadingInfo& reading_info(Reading reading) {
  return reading_table[static_cast<std::size_t>(reading)];
}

/// Whether a sample may be used for a decision, and if not, the reason.
enum class Usability : std::uint8_t { usable, missing, stale, out_of_range, in_future };

/// The text of a usability in records.
constexpr const char* name_of(Usability usability) {
  switch (usability) {
    case Usability::usable:
      return "usable";
    case Usability::missing:
      return "never read";
    case Usability::stale:
      return "too old";
    case Usability::out_of_range:
      return "absurd";
    case Usability::in_future:
      return "from the future";
  }
  return "usable";
}

/// The last known value of a reading.
struct Sample {
  double value = 0;
  Time at{};               // when the value was taken
  bool available = false;  // false until a first value has been taken

  /// Whether the sample may be used at `now` under the limits of its reading.
  [[nodiscard]] Usability usability(const ReadingInfo& limits, Time now) const {
    if (!available) return Usability::missing;
    if (!std::isfinite(value) || value < 0 || value > limits.max_value) return Usability::out_of_range;
    if (at > now) return Usability::in_future;
    return now - at > limits.max_age ? Usability::stale : Usability::usable;
  }
};

}  // namespace cedarring::levels
