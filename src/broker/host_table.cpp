// Implementation of HostTable.
#include "broker/host_table.h"

#include <algorithm>
#include <set>
#include <utility>

namespace cedarring::broker {
namespace {

// Limits on the hosts that operators have disabled or enabled again; they bound the memory used.
constexpr std::size_t max_disabled = 4096;
constexpr std::size_t max_reenabled = 4096;

}  // namespace

ZoneId HostTable::zone_id(const std::string& name) {
  const auto it = std::find(zones_.begin(), zones_.end(), name);
  const auto index = it - zones_.begin();
  if (it == zones_.end()) zones_.push_back(name);
  return ZoneId{static_cast<std::int32_t>(index)};
}

HostEntry HostTable::entry(HostId id, const Row& row) {
  HostEntry result;
  result.host = id;
  result.group = row.listed.group;
  result.zone = zone_id(row.listed.zone);
  result.state = row.state;
  if (result.state == HostState::ready && disabled_.count(row.listed.id) > 0)
    result.state = HostState::draining;
  result.listed_primary = row.listed.primary;
  result.weight = row.listed.weight;
  result.started_at = started_at(row);
  return result;
}

/// A host may have been restarted while it was disabled, so it goes through slow start once it is re-enabled.
std::optional<Time> HostTable::started_at(const Row& row) const {
  const auto reenabled = reenabled_at_.find(row.listed.id);
  if (reenabled == reenabled_at_.end()) return row.listed.started_at;
  return row.listed.started_at ? std::max(*row.listed.started_at, reenabled->second) : reenabled->second;
}

std::vector<HostEntry> HostTable::apply(const MemberList& list) {
  std::vector<HostEntry> entries;
  std::set<HostId> listed_ids;
  hosts_to_close_.clear();
  version_ = list.version;
  for (const auto& received : list.members) {
    auto member = received;
    // A member without an address only changes the state of a known host: its other fields stay.
    if (member.state != HostState::ready && member.address.empty()) {
      const auto known = ids_.find(member.id);
      if (known == ids_.end()) continue;
      member = rows_.at(known->second).listed;
      member.state = received.state;
    }
    auto [it, inserted] = ids_.try_emplace(member.id, HostId{next_host_id_});
    if (inserted) ++next_host_id_;
    const HostId id = it->second;
    auto& row = rows_[id];
    // A host at another address is another process: idle connections to the old address are useless.
    const bool moved = !inserted && row.listed.address != member.address;
    row.listed = member;
    row.state = member.state;
    listed_ids.insert(id);
    groups_.insert(member.group);
    entries.push_back(entry(id, row));
    if (entries.back().state != HostState::ready || moved) hosts_to_close_.push_back(id);
  }
  if (list.full)
    for (auto& [id, row] : rows_)
      if (listed_ids.count(id) == 0) {
        row.state = HostState::gone;
        hosts_to_close_.push_back(id);
      }
  return entries;
}

std::optional<HostEntry> HostTable::set_disabled(const std::string& id, bool disabled, Time now, bool force) {
  const auto it = ids_.find(id);
  const bool listed = it != ids_.end() && rows_.at(it->second).state != HostState::gone;
  if (!listed && !force && disabled_.count(id) == 0) return std::nullopt;
  if (disabled) {
    if (disabled_.size() >= max_disabled && disabled_.count(id) == 0) return std::nullopt;
    disabled_.insert(id);
    reenabled_at_.erase(id);
  } else if (disabled_.erase(id) > 0) {
    reenabled_at_[id] = now;
    // Drops the host that was re-enabled longest ago: it has completed its slow start.
    if (reenabled_at_.size() > max_reenabled)
      reenabled_at_.erase(std::min_element(reenabled_at_.begin(), reenabled_at_.end(),
                                           [](const auto& a, const auto& b) { return a.second < b.second; }));
  }
  if (!listed) return HostEntry{};
  return entry(it->second, rows_.at(it->second));
}

std::size_t HostTable::listed_disabled_count() const {
  return static_cast<std::size_t>(std::count_if(
      rows_.begin(), rows_.end(),
      [&](const auto& item) {
        return item.second.state == HostState::ready && disabled_.count(item.second.listed.id) > 0;
      }));
}

bool HostTable::observe(HostId id, Role role, std::optional<Time> position, Time now) {
  const auto it = rows_.find(id);
  if (it == rows_.end()) return false;
  auto& observed = it->second.observed;
  if (position) observed.position = observed.position ? std::max(*observed.position, *position) : *position;
  if (role == Role::unknown) return false;
  observed.role_at = now;
  return std::exchange(observed.role, role) != role;
}

std::optional<HostId> HostTable::find(const std::string& id) const {
  const auto it = ids_.find(id);
  if (it == ids_.end()) return std::nullopt;
  return it->second;
}

const ObservedState* HostTable::observed(const std::string& id) const {
  const auto it = ids_.find(id);
  return it == ids_.end() ? nullptr : &rows_.at(it->second).observed;
}

MemberList HostTable::list() const {
  MemberList all;
  all.version = version_;
  all.full = true;
  for (const auto& [id, row] : rows_) {
    all.members.push_back(row.listed);
    all.members.back().state = row.state;
    all.members.back().started_at = started_at(row);
  }
  return all;
}

std::size_t HostTable::listed_count() const {
  return static_cast<std::size_t>(std::count_if(
      rows_.begin(), rows_.end(), [](const auto& item) { return item.second.state != HostState::gone; }));
}

std::size_t HostTable::ready_count() const {
  return static_cast<std::size_t>(std::count_if(
      rows_.begin(), rows_.end(), [](const auto& item) { return item.second.state == HostState::ready; }));
}

bool HostTable::has_group(GroupId group) const { return groups_.count(group) > 0; }

const std::string& HostTable::address(HostId id) const {
  static const std::string none;
  const auto it = rows_.find(id);
  return it == rows_.end() ? none : it->second.listed.address;
}

const std::string& HostTable::name(HostId id) const {
  static const std::string none;
  const auto it = rows_.find(id);
  return it == rows_.end() ? none : it->second.listed.id;
}

void HostTable::prune(const std::function<bool(HostId)>& still_needed) {
  for (auto it = rows_.begin(); it != rows_.end();) {
    if (still_needed(it->first)) {
      ++it;
      continue;
    }
    reenabled_at_.erase(it->second.listed.id);
    ids_.erase(it->second.listed.id);
    it = rows_.erase(it);
  }
}

}  // namespace cedarring::broker
