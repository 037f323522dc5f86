// The database hosts as discovery lists them. Assigns the numeric ids by which the router knows host names
// and zones.
#pragma once

#include <functional>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <vector>

#include "cedarring/router.h"

namespace cedarring::broker {

/// One host in a member list of discovery.
struct Member {
  std::string id;       // the host's name
  std::string address;  // may be empty unless the host is ready
  std::string zone;
  GroupId group;
  HostState state = HostState::ready;
  double weight = 1;               // see HostEntry::weight
  bool primary = false;            // see ListedRole
  std::optional<Time> started_at;  // start of the host's process, if known
};
/// A member list of discovery.
struct MemberList {
  std::uint64_t version = 0;  // number that discovery raises with each change
  bool full = false;  // hosts that the list does not contain are gone; otherwise it holds changes only
  std::vector<Member> members;
};

/// State of a host as observed from its answers and load reports.
struct ObservedState {
  std::optional<Time> position;  // lower bound of its replication position
  Role role = Role::unknown;
  Time role_at{};  // when the role was last reported
};

/// All known hosts, with the hosts that operators have disabled.
class HostTable {
 public:
  /// `zones`: zone names in the order of ZoneId; further names are appended as lists contain them.
  explicit HostTable(std::vector<std::string> zones) : zones_(std::move(zones)) {}
  /// Applies a member list; returns its entries for the router.
  std::vector<HostEntry> apply(const MemberList& list);
  /// Disables a host whatever lists say, or enables it again. Returns the entry to pass to the router, an
  /// empty entry if the host is not listed now, or nothing if no host has the id or too many hosts are
  /// disabled. A host that is enabled again counts as started at `now` at the earliest, because it may have
  /// been restarted meanwhile. `force`: the id is not checked, because another process of this gateway has
  /// verified it.
  std::optional<HostEntry> set_disabled(const std::string& id, bool disabled, Time now, bool force = false);
  /// Ids of the disabled hosts, listed or not.
  [[nodiscard]] const std::set<std::string>& disabled() const { return disabled_; }
  /// Number of hosts that are listed as ready and disabled.
  [[nodiscard]] std::size_t listed_disabled_count() const;
  /// Records the role and position reported by a host. Returns true if its role has changed.
  bool observe(HostId id, Role role, std::optional<Time> position, Time now);
  /// The observed state of a host; null if the id is unknown.
  [[nodiscard]] const ObservedState* observed(const std::string& id) const;
  /// The numeric id of a host, if it is known.
  [[nodiscard]] std::optional<HostId> find(const std::string& id) const;
  /// The full list as last received, for the process that takes over.
  [[nodiscard]] MemberList list() const;
  /// Whether a list has ever contained the group.
  [[nodiscard]] bool has_group(GroupId group) const;
  /// A host's address; empty if the host is unknown.
  [[nodiscard]] const std::string& address(HostId id) const;
  /// A host's name, its id in the lists; empty if the host is unknown.
  [[nodiscard]] const std::string& name(HostId id) const;
  /// Hosts whose idle connections the last list has made useless: draining, gone, or at a new address.
  [[nodiscard]] const std::vector<HostId>& hosts_to_close() const { return hosts_to_close_; }
  /// Number of listed hosts.
  [[nodiscard]] std::size_t listed_count() const;
  /// Number of hosts that are listed as ready.
  [[nodiscard]] std::size_t ready_count() const;
  /// Number of entries held, to verify that memory stays bounded.
  [[nodiscard]] std::size_t size() const { return rows_.size() + ids_.size(); }
  /// Forgets the hosts for which `still_needed` returns false.
  void prune(const std::function<bool(HostId)>& still_needed);

 private:
  /// A known host.
  struct Row {
    Member listed;                       // as last listed
    HostState state = HostState::ready;  // as last listed, or gone since a full list did not contain the host
    ObservedState observed;
  };
  /// When the host last started: as listed, or when it was re-enabled if that is later.
  [[nodiscard]] std::optional<Time> started_at(const Row& row) const;
  /// The host's entry for the router. A ready host that is disabled counts as draining.
  HostEntry entry(HostId id, const Row& row);
  /// The id of a zone; a new name is added.
  ZoneId zone_id(const std::string& name);
  std::vector<std::string> zones_;
  std::map<std::string, HostId> ids_;  // by name
  std::map<HostId, Row> rows_;
  // Groups ever listed: a request for a group that has lost its hosts is refused by the router rather than
  // rejected as unknown.
  std::set<GroupId> groups_;
  std::set<std::string> disabled_;            // by operators; bounded by max_disabled
  std::map<std::string, Time> reenabled_at_;  // when operators enabled a host again; bounded by max_reenabled
  std::vector<HostId> hosts_to_close_;
  std::uint64_t version_ = 0;       // of the last list
  std::uint32_t next_host_id_ = 1;  // 0 is the id of no host
};

}  // namespace cedarring::broker
