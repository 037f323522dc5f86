// Takes a snapshot of a router's observations and budgets, and merges the snapshot into the state of the
// other process's router. No I/O, no clock.
#pragma once

#include "cedarring/router.h"
#include "cedarring/snapshot.h"
#include "router/state.h"

namespace cedarring::handover {

/// The snapshot at `now`; see SnapshotScope for its content. With SnapshotScope::split the budgets of `state`
/// are halved and the snapshot holds the other half.
RouterSnapshot take_snapshot(state::TransferableState& state, const Settings& settings, Time now,
                             SnapshotScope scope);
/// Merges the snapshot of the predecessor or successor, only for hosts, groups and classes that `state`
/// knows: estimates are replaced, and of positions, counts and ejections the later or greater one stays.
/// Budgets are replaced if the snapshot holds a part of them. Values out of range are ignored or clamped.
void merge_snapshot(state::TransferableState& state, const Settings& settings, const RouterSnapshot& snapshot,
                    Time now);

}  // namespace cedarring::handover
