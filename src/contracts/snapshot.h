// The counts and remaining budgets of the contracts of one process, handed to its successor. Plain data with
// ages in place of points in time. handover/json_archive.h converts it to and from JSON; the keys below are
// read by other versions of the program and must not change.
#pragma once

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <utility>
#include <vector>

#include "contracts/ledger.h"

namespace cedarring::contracts {

/// The state of one team and class.
struct CellSnapshot {
  double share = 0;       // of the rate limit that the receiver may spend, 0 to 1
  std::int64_t debt = 0;  // of the limiter, nanoseconds; see Gcra::debt
  double demand = 0;      // requests a second
  LedgerEntry open_window;
  LedgerEntry closed_windows_sum;
  std::vector<std::pair<std::int32_t, std::uint32_t>> times;  // answer times, see AnswerTimes::filled
};
/// The state of one team.
struct TeamSnapshot {
  double gateway_share = 0;     // of the team's rates, 0 to 1
  std::int64_t retry_debt = 0;  // of the limiter of retries, nanoseconds; see Gcra::debt
  std::map<std::string, CellSnapshot> classes;
};
/// The state of one resource. `served`: cost of the requests served, decaying, in milliseconds of host work.
/// `capacity` and `lent_capacity`: milliseconds of host work a second; below zero: no limit.
struct ResourceSnapshot {
  GroupId group;
  bool primary = false;
  double served = 0;
  double capacity = -1;
  double lent_capacity = -1;
};
/// A team's decayed demand for one resource within and beyond its contract, in milliseconds of host work.
struct ResourceUseSnapshot {
  GroupId group;
  std::string team;
  bool primary = false;
  double within = 0;
  double beyond = 0;
};
/// The whole state that a process hands over.
struct Snapshot {
  std::map<std::string, TeamSnapshot> teams;  // by name
  std::map<std::string, double> costs;        // milliseconds, by class name
  std::optional<Duration> open_window_age;
  std::vector<ResourceSnapshot> resources;
  std::vector<ResourceUseSnapshot> resource_uses;
};

// Each function passes the members of a record to a reader or a writer, see handover/json_archive.h.
template <class Archive>
void serialize(Archive& archive, LedgerEntry& entry) {
  archive("asked", entry.asked);
  archive("within", entry.within);
  archive("beyond", entry.beyond);
  archive("in_time", entry.in_time);
  archive("late", entry.late);
  archive("failed", entry.failed);
  archive("left", entry.abandoned);
  archive("refused_contract", entry.refused_contract);
  archive("refused_contention", entry.refused_contention);
  archive("refused_levels", entry.refused_levels);
  archive("refused_router", entry.refused_router);
  archive("within_in_time", entry.within_in_time);
  archive("within_ended", entry.within_ended);
  archive("cost", entry.cost);
  archive("borrowed", entry.borrowed);
}
template <class Archive>
void serialize(Archive& archive, CellSnapshot& cell) {
  archive("share", cell.share);
  archive("owed_ns", cell.debt);
  archive("demand", cell.demand);
  archive("now", cell.open_window);
  archive("before", cell.closed_windows_sum);
  archive("times", cell.times);
}
template <class Archive>
void serialize(Archive& archive, TeamSnapshot& team) {
  archive("part", team.gateway_share);
  archive("retries_owed_ns", team.retry_debt);
  archive("classes", team.classes);
}
template <class Archive>
void serialize(Archive& archive, ResourceSnapshot& resource) {
  archive("group", resource.group);
  archive("primary", resource.primary);
  archive("served", resource.served);
  archive("capacity", resource.capacity);
  archive("lend", resource.lent_capacity);
}
template <class Archive>
void serialize(Archive& archive, ResourceUseSnapshot& use) {
  archive("group", use.group);
  archive("team", use.team);
  archive("primary", use.primary);
  archive("within", use.within);
  archive("beyond", use.beyond);
}
template <class Archive>
void serialize(Archive& archive, Snapshot& snapshot) {
  archive("teams", snapshot.teams);
  archive("costs", snapshot.costs);
  archive("window_us", snapshot.open_window_age);
  archive("resources", snapshot.resources);
  archive("flows", snapshot.resource_uses);
}

}  // namespace cedarring::contracts
