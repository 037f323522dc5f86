// The present levels of one process, for the process that follows it. Plain records; ages in place of times.
// See handover/json_archive.h for how they become text.
#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

#include "cedarring/router.h"

namespace cedarring::levels {

struct LadderSnapshot {
  std::string level;      // its name
  Duration since{};       // how long it has been in it
  Duration stay{};        // least time in it
  bool changed = false;   // it has changed before
  std::string pinned;     // level of a pin; empty: none
  Duration pinned_for{};  // for how much longer
};
struct GroupSnapshot {
  GroupId group;
  LadderSnapshot ladder;
  Duration takeover{};  // as estimated, from so many
  std::int32_t takeovers = 0;
  std::optional<Duration> lost;  // how long it has been without a primary
};
struct CountersSnapshot {
  std::string cls;
  std::uint64_t asked = 0, shed = 0, refused_without_primary = 0;
};
struct Snapshot {
  LadderSnapshot pressure;
  std::vector<GroupSnapshot> groups;
  std::vector<CountersSnapshot> counters;
};

template <class Archive>
void serialize(Archive& archive, LadderSnapshot& l) {
  archive("level", l.level), archive("since_us", l.since), archive("stay_us", l.stay),
      archive("changed", l.changed);
  archive("pinned", l.pinned), archive("pinned_for_us", l.pinned_for);
}
template <class Archive>
void serialize(Archive& archive, GroupSnapshot& g) {
  archive("group", g.group), archive("ladder", g.ladder), archive("takeover_us", g.takeover),
      archive("takeovers", g.takeovers);
  archive("lost_us", g.lost);
}
template <class Archive>
void serialize(Archive& archive, CountersSnapshot& c) {
  archive("class", c.cls), archive("asked", c.asked), archive("shed", c.shed),
      archive("refused_without_primary", c.refused_without_primary);
}
template <class Archive>
void serialize(Archive& archive, Snapshot& c) {
  archive("pressure", c.pressure), archive("groups", c.groups), archive("counters", c.counters);
}

}  // namespace cedarring::levels
