// The database hosts as discovery lists them. Interns host names and zones as the router's numeric ids.
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
  std::string id;
  std::string address;
  std::string zone;
  GroupId group;
  HostState state = HostState::ready;
  double weight = 1;
  bool primary = false;
  std::optional<Time> started_at;
};
/// A member list of discovery. full: hosts that it does not contain are gone; otherwise only changes.
struct MemberList {
  std::uint64_t version = 0;
  bool full = false;
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
  /// `zones`: zone names in the order of ZoneId; further ones are appended as lists name them.
  explicit HostTable(std::vector<std::string> zones) : zones_(std::move(zones)) {}
  /// Applies a member list; returns its entries for the router.
  std::vector<HostEntry> apply(const MemberList& list);
  /// Disables a host whatever lists say, or re-enables it. Returns the entry to pass to the router, an empty
  /// entry if the host is not listed now, or nothing if no host has the id. A host that is re-enabled counts
  /// as started at `now` at the earliest, because it may have been restarted meanwhile. `force`: another
  /// process of this gateway has verified the id.
  std::optional<HostEntry> set_disabled(const std::string& id, bool disabled, Time now, bool force = false);
  /// Ids of the disabled hosts, listed or not.
  [[nodiscard]] const std::set<std::string>& disabled() const { return disabled_; }
  /// Number of hosts that are listed as ready and disabled.
  [[nodiscard]] std::size_t listed_disabled() const;
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
  struct Row {
    Member listed;  // as last listed
    HostState state = HostState::ready;
    ObservedState observed;
  };
  /// When the host last started: as listed, or when it was re-enabled if that is later.
  [[nodiscard]] std::optional<Time> started_at(const Row& row) const;
  /// The entry for the router, with the stricter state of the list's and the operators'.
  HostEntry entry(HostId id, const Row& row);
  ZoneId zone(const std::string& name);
  std::vector<std::string> zones_;
  std::map<std::string, HostId> ids_;
  std::map<HostId, Row> rows_;
  // Groups ever listed: a request for a group that has lost its hosts is refused by the router rather than
  // rejected as unknown.
  std::map<GroupId, int> groups_;
  std::set<std::string> disabled_;            // by operators; bounded by max_disabled
  std::map<std::string, Time> reenabled_at_;  // in slow start since then, unless a later start is listed
  std::vector<HostId> hosts_to_close_;
  std::uint64_t version_ = 0;
  std::uint32_t next_ = 1;
};

}  // namespace cedarring::broker
