// How long an idle client may keep its place, by how many places are taken. Decides from numbers alone.
#pragma once

#include <algorithm>
#include <cstddef>

#include "cedarring/router.h"

namespace cedarring::memory {

/// The fuller the places, the shorter an idle connection may stay. Clients that ask once and then hold their
/// connection use up what clients may hold together long before they use up our places: without this a crowd of
/// them, each idle for the usual time, keeps everyone else out.
struct Places {
  Duration usual{2'000'000};  // what an idle client may stay for when there is room
  Duration floor{150'000};    // and when there is none: a client that asks again at once still finds its place
  double quiet = 1.0 / 6;     // share of the places up to which nothing is closed early
  double tight = 1.0 / 3;     // share from which the floor holds

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

}  // namespace cedarring::memory
