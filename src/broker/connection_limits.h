// Places for connections: how long an idle client may keep one, and how clients and hosts share them. Decides
// from numbers alone.
#pragma once

#include <algorithm>
#include <cstddef>

#include "cedarring/router.h"

namespace cedarring::broker {

/// The fuller the places, the shorter an idle connection may stay. Clients that ask once and then hold their
/// connection use up what clients may hold together long before they use up our places: without this a crowd
/// of them, each idle for the usual time, keeps everyone else out.
struct IdleConnectionLimits {
  Duration usual{2'000'000};  // what an idle client may stay for when there is room
  Duration floor{150'000};  // and when there is none: a client that asks again at once still finds its place
  double quiet = 1.0 / 6;   // share of the places up to which nothing is closed early
  double tight = 1.0 / 3;   // share from which the floor holds

  /// Falls evenly from `usual` at `quiet` to `floor` at `tight`; never rises with `taken`.
  [[nodiscard]] Duration idle_allowed(std::size_t taken, std::size_t all) const {
    if (all == 0) return floor;
    const double share = static_cast<double>(taken) / static_cast<double>(all);
    const double full = std::clamp((share - quiet) / (tight - quiet), 0.0, 1.0);
    return usual - Duration(static_cast<std::int64_t>(static_cast<double>((usual - floor).count()) * full));
  }
  /// Whether one that has been idle for `idle` goes: only past the quiet share, so that closing ends there.
  [[nodiscard]] bool gives_way(Duration idle, std::size_t taken, std::size_t all) const {
    return static_cast<double>(taken) > static_cast<double>(all) * quiet && idle > idle_allowed(taken, all);
  }
};

/// Places for connections of a front: clients may have three quarters and hosts a quarter; what clients do
/// not use hosts may have as well, up to a half. An eighth stays free between them, so that a burst of
/// clients finds places before host connections have gone.
struct ConnectionSplit {
  std::size_t clients = 0, hosts = 0;
};
/// Of `all` places, how many either may have now, with `clients` and `hosts` in use. The two parts never
/// exceed `all` together by more than what hosts are still to give back; hosts get their quarter and clients
/// their half in any case.
inline ConnectionSplit split_connections(std::size_t all, std::size_t clients, std::size_t hosts) {
  const auto used = clients + all / 8;
  ConnectionSplit s;
  s.hosts = std::clamp(used < all ? all - used : 0, all / 4, all / 2);
  s.clients = std::min(all * 3 / 4, all - std::min(all / 2, std::max(hosts, all / 4)));
  return s;
}

}  // namespace cedarring::broker
