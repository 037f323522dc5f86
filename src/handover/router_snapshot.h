// What the module has learnt and spent, told to the router that takes its place, and taken over by it. No
// I/O, no clock.
#pragma once

#include "cedarring/router.h"
#include "cedarring/snapshot.h"
#include "router/state.h"

namespace cedarring::handover {

/// See SnapshotScope; of a split, what may be spent is halved here.
RouterSnapshot known(state::Learnt& mine, const Settings& settings, Time now, SnapshotScope what);
/// Only what is news, and only of hosts and classes that are known here. What may be spent is as told.
void learn(state::Learnt& mine, const Settings& settings, const RouterSnapshot& told, Time now);

}  // namespace cedarring::handover
