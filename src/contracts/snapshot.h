// What the contracts of one process have counted and may spend, for the process that follows it. Plain
// records; ages in place of times. See handover/json_archive.h for how they become text.
#pragma once

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <utility>
#include <vector>

#include "contracts/ledger.h"

namespace cedarring::contracts {

struct CellSnapshot {
  double share = 0;       // of the bucket, for the one that is told; 0 to 1
  std::int64_t owed = 0;  // nanoseconds of its rate that are used up
  double demand = 0;      // requests a second
  Entry now, before;      // of the open window; of those that are closed
  std::vector<std::pair<std::int32_t, std::uint32_t>> times;  // answer times, by bin
};
struct TeamSnapshot {
  double part = 0;
  std::int64_t retries_owed = 0;
  std::map<std::string, CellSnapshot> classes;
};
struct ResourceSnapshot {
  GroupId group;
  bool primary = false;
  double served = 0, capacity = -1, lend = -1;
};
struct FlowSnapshot {
  GroupId group;
  std::string team;
  bool primary = false;
  double within = 0, beyond = 0;
};
struct Snapshot {
  std::map<std::string, TeamSnapshot> teams;  // by name
  std::map<std::string, double> costs;        // by class
  std::optional<Duration> window;             // how long the window has been open
  std::vector<ResourceSnapshot> resources;
  std::vector<FlowSnapshot> flows;
};

template <class Archive>
void serialize(Archive& archive, Entry& e) {
  archive("asked", e.asked), archive("within", e.within), archive("beyond", e.beyond);
  archive("in_time", e.in_time), archive("late", e.late), archive("failed", e.failed),
      archive("left", e.left);
  archive("refused_contract", e.refused_contract), archive("refused_contention", e.refused_contention);
  archive("refused_levels", e.refused_levels), archive("refused_router", e.refused_router);
  archive("within_in_time", e.within_in_time), archive("within_ended", e.within_ended);
  archive("cost", e.cost), archive("borrowed", e.borrowed);
}
template <class Archive>
void serialize(Archive& archive, CellSnapshot& c) {
  archive("share", c.share), archive("owed_ns", c.owed), archive("demand", c.demand);
  archive("now", c.now), archive("before", c.before), archive("times", c.times);
}
template <class Archive>
void serialize(Archive& archive, TeamSnapshot& t) {
  archive("part", t.part), archive("retries_owed_ns", t.retries_owed), archive("classes", t.classes);
}
template <class Archive>
void serialize(Archive& archive, ResourceSnapshot& r) {
  archive("group", r.group), archive("primary", r.primary), archive("served", r.served),
      archive("capacity", r.capacity), archive("lend", r.lend);
}
template <class Archive>
void serialize(Archive& archive, FlowSnapshot& f) {
  archive("group", f.group), archive("team", f.team), archive("primary", f.primary),
      archive("within", f.within), archive("beyond", f.beyond);
}
template <class Archive>
void serialize(Archive& archive, Snapshot& c) {
  archive("teams", c.teams), archive("costs", c.costs), archive("window_us", c.window);
  archive("resources", c.resources), archive("flows", c.flows);
}

}  // namespace cedarring::contracts
