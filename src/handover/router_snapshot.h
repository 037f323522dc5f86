// Takes a snapshot of a router's observations and budgets, and merges the snapshot of another router that it
// replaces. No I/O, no clock.
#pragma once

#include "cedarring/router.h"
#include "cedarring/snapshot.h"
#include "router/state.h"

namespace cedarring::handover {

/// The snapshot at `now`. With SnapshotScope::split the budgets of `state` are halved and the snapshot holds
/// the other half.
RouterSnapshot take_snapshot(state::TransferableState& state, const Settings& settings, Time now,
                             SnapshotScope scope);
/// Merges what is newer in `snapshot`, only for hosts, groups and classes that `state` knows. Budgets are
/// replaced if the snapshot holds a part of them. Values out of range are ignored or clamped.
void merge_snapshot(state::TransferableState& state, const Settings& settings, const RouterSnapshot& snapshot,
                    Time now);

}  // namespace cedarring::handover
