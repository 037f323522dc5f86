// The database hosts as discovery lists them: names and zones interned, addresses kept.
#pragma once

#include <functional>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <vector>

#include "cedarring/router.h"

namespace cedarring::broker {

/// One entry of a list, in its own words.
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
struct MemberList {
  std::uint64_t version = 0;
  bool full = false;
  std::vector<Member> members;
};

/// What answers and reports have told of a host.
struct ObservedState {
  std::optional<Time> position;  // a lower bound of what it holds
  Role role = Role::unknown;
  Time role_at{};  // when that was heard
};

class HostTable {
 public:
  explicit HostTable(std::vector<std::string> zones) : zones_(std::move(zones)) {}
  /// Interns a list's entries for the router.
  std::vector<HostEntry> apply(const MemberList& list);
  /// Leaves a host out, whatever lists say, or takes it back. The entry to tell the router, or nothing if
  /// nobody has the id. One taken back counts as started at `now` at the latest: it may have been restarted
  /// meanwhile. `sure`: another process of this gateway has found that somebody has it.
  std::optional<HostEntry> set_disabled(const std::string& id, bool out, Time now, bool sure = false);
  [[nodiscard]] const std::set<std::string>& disabled() const { return out_; }
  /// Of the listed ones, those that are out by hand.
  [[nodiscard]] std::size_t listed_disabled() const;
  /// What a host has told of itself; true if its role is another than was known.
  bool observe(HostId id, Role role, std::optional<Time> position, Time now);
  [[nodiscard]] const ObservedState* observed(const std::string& id) const;
  [[nodiscard]] std::optional<HostId> find(const std::string& id) const;
  /// The whole list as it was last told, for the process that follows.
  [[nodiscard]] MemberList list() const;
  [[nodiscard]] bool has_group(GroupId group) const;
  [[nodiscard]] const std::string& address(HostId id) const;
  [[nodiscard]] const std::string& name(HostId id) const;
  /// Hosts that the last list made draining or gone.
  [[nodiscard]] const std::vector<HostId>& closed() const { return closed_; }
  /// Hosts in the list, and of them those that it calls ready.
  [[nodiscard]] std::size_t listed() const;
  [[nodiscard]] std::size_t ready() const;
  [[nodiscard]] std::size_t size() const { return rows_.size() + ids_.size(); }
  /// Forgets hosts that are gone and no longer of interest.
  void prune(const std::function<bool(HostId)>& of_interest);

 private:
  struct Row {
    Member listed;  // as the list last told
    HostState state = HostState::ready;
    ObservedState observed;
  };
  /// Its last start: as told, or when it was taken back, if that is later.
  [[nodiscard]] std::optional<Time> started_at(const Row& row) const;
  /// What the router is told of it: the stricter of the list's word and the operators'.
  HostEntry entry(HostId id, const Row& row);
  ZoneId zone(const std::string& name);
  std::vector<std::string> zones_;
  std::map<std::string, HostId> ids_;
  std::map<HostId, Row> rows_;
  std::map<GroupId, int> groups_;  // ever listed: a group without hosts is refused by the router, not unknown
  std::set<std::string> out_;      // by hand; of those not listed the bound below
  std::map<std::string, Time> back_;  // taken back: cold since then, unless the list tells of a later start
  std::vector<HostId> closed_;
  std::uint64_t version_ = 0;
  std::uint32_t next_ = 1;
};

}  // namespace cedarring::broker
