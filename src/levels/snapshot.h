// State of the levels that a process hands over to its successor: plain records that hold durations instead
// of points in time. handover/json_archive.h converts them to and from JSON. Their JSON keys are read by
// other versions of the program and must not change.
#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

#include "cedarring/router.h"

namespace cedarring::levels {

/// The state of one ladder.
struct LadderSnapshot {
  std::string level;         // name of the current level
  Duration time_in_level{};  // time since the level was reached
  Duration min_dwell{};      // minimum time in the level, with damping
  bool has_changed = false;  // whether the ladder has ever changed its level
  std::string pinned_level;  // level of an operator's pin; empty: no pin
  Duration pin_remaining{};  // time until the pin ends
};

/// The state of one replica group on the faults axis.
struct GroupSnapshot {
  GroupId group;
  LadderSnapshot ladder;
  Duration takeover_estimate{};
  std::int32_t takeover_count = 0;           // takeovers that the estimate is based on
  std::optional<Duration> primary_lost_for;  // time without a usable primary; absent while there is one
};

/// The counts of one request class, see Counters in levels.h.
struct CountersSnapshot {
  std::string class_name;
  std::uint64_t requests = 0;
  std::uint64_t shed = 0;
  std::uint64_t refused_without_primary = 0;
};

/// The whole state of the levels of one front end.
struct Snapshot {
  LadderSnapshot pressure;
  std::vector<GroupSnapshot> groups;
  std::vector<CountersSnapshot> counters;
};

// Each function passes the members of a record to a reader or a writer, see handover/json_archive.h.
template <class Archive>
void serialize(Archive& archive, LadderSnapshot& ladder) {
  archive("level", ladder.level);
  archive("since_us", ladder.time_in_level);
  archive("stay_us", ladder.min_dwell);
  archive("changed", ladder.has_changed);
  archive("pinned", ladder.pinned_level);
  archive("pinned_for_us", ladder.pin_remaining);
}

template <class Archive>
void serialize(Archive& archive, GroupSnapshot& group) {
  archive("group", group.group);
  archive("ladder", group.ladder);
  archive("takeover_us", group.takeover_estimate);
  archive("takeovers", group.takeover_count);
  archive("lost_us", group.primary_lost_for);
}

template <class Archive>
void serialize(Archive& archive, CountersSnapshot& counters) {
  archive("class", counters.class_name);
  archive("asked", counters.requests);
  archive("shed", counters.shed);
  archive("refused_without_primary", counters.refused_without_primary);
}

template <class Archive>
void serialize(Archive& archive, Snapshot& snapshot) {
  archive("pressure", snapshot.pressure);
  archive("groups", snapshot.groups);
  archive("counters", snapshot.counters);
}

}  // namespace cedarring::levels
