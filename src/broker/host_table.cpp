#include "broker/host_table.h"

#include <algorithm>
#include <set>
#include <utility>

namespace cedarring::broker {
namespace {

constexpr std::size_t out_most = 4096, back_most = 4096;

}  // namespace

ZoneId HostTable::zone(const std::string& name) {
  const auto it = std::find(zones_.begin(), zones_.end(), name);
  const auto index = it - zones_.begin();
  if (it == zones_.end()) zones_.push_back(name);
  return ZoneId{static_cast<std::int32_t>(index)};
}

HostEntry HostTable::entry(HostId id, const Row& row) {
  HostEntry e;
  e.host = id;
  e.group = row.listed.group;
  e.zone = zone(row.listed.zone);
  e.state = row.state;
  if (e.state == HostState::ready && out_.count(row.listed.id) > 0) e.state = HostState::draining;
  e.listed_primary = row.listed.primary;
  e.weight = row.listed.weight;
  e.started_at = started_at(row);
  return e;
}

/// One that came back may have been restarted meanwhile; untold, it counts as cold from the call on.
std::optional<Time> HostTable::started_at(const Row& row) const {
  const auto back = back_.find(row.listed.id);
  if (back == back_.end()) return row.listed.started_at;
  return row.listed.started_at ? std::max(*row.listed.started_at, back->second) : back->second;
}

std::vector<HostEntry> HostTable::apply(const MemberList& list) {
  std::vector<HostEntry> entries;
  std::set<HostId> named;
  closed_.clear();
  version_ = list.version;
  for (const auto& told : list.members) {
    auto m = told;
    // One that only tells that nothing more is to go there: all else stays as it was.
    if (m.state != HostState::ready && m.address.empty()) {
      const auto known = ids_.find(m.id);
      if (known == ids_.end()) continue;
      m = rows_.at(known->second).listed;
      m.state = told.state;
    }
    auto [it, fresh] = ids_.try_emplace(m.id, HostId{next_});
    if (fresh) ++next_;
    const HostId id = it->second;
    auto& row = rows_[id];
    // A host that moved to another address is another process: idle connections to the old one are void.
    const bool moved = !fresh && row.listed.address != m.address;
    row.listed = m;
    row.state = m.state;
    named.insert(id);
    ++groups_[m.group];
    entries.push_back(entry(id, row));
    if (entries.back().state != HostState::ready || moved) closed_.push_back(id);
  }
  if (list.full)
    for (auto& [id, row] : rows_)
      if (named.count(id) == 0) row.state = HostState::gone, closed_.push_back(id);
  return entries;
}

std::optional<HostEntry> HostTable::set_disabled(const std::string& id, bool out, Time now, bool sure) {
  const auto it = ids_.find(id);
  const bool listed = it != ids_.end() && rows_.at(it->second).state != HostState::gone;
  if (!listed && !sure && out_.count(id) == 0) return std::nullopt;
  if (out) {
    if (out_.size() >= out_most && out_.count(id) == 0) return std::nullopt;
    out_.insert(id);
    back_.erase(id);
  } else if (out_.erase(id) > 0) {
    back_[id] = now;
    // Bounded: what came back longest ago is warm by now.
    if (back_.size() > back_most)
      back_.erase(std::min_element(back_.begin(), back_.end(),
                                   [](const auto& a, const auto& b) { return a.second < b.second; }));
  }
  if (!listed) return HostEntry{};
  return entry(it->second, rows_.at(it->second));
}

std::size_t HostTable::listed_disabled() const {
  return static_cast<std::size_t>(std::count_if(
      rows_.begin(), rows_.end(),
      [&](const auto& r) {
        return r.second.state == HostState::ready && out_.count(r.second.listed.id) > 0;
      }));
}

bool HostTable::observe(HostId id, Role role, std::optional<Time> position, Time now) {
  const auto it = rows_.find(id);
  if (it == rows_.end()) return false;
  auto& h = it->second.observed;
  if (position) h.position = h.position ? std::max(*h.position, *position) : *position;
  if (role == Role::unknown) return false;
  h.role_at = now;
  return std::exchange(h.role, role) != role;
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

std::size_t HostTable::listed() const {
  return static_cast<std::size_t>(std::count_if(
      rows_.begin(), rows_.end(), [](const auto& r) { return r.second.state != HostState::gone; }));
}

std::size_t HostTable::ready() const {
  return static_cast<std::size_t>(std::count_if(
      rows_.begin(), rows_.end(), [](const auto& r) { return r.second.state == HostState::ready; }));
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

void HostTable::prune(const std::function<bool(HostId)>& of_interest) {
  for (auto it = rows_.begin(); it != rows_.end();) {
    if (of_interest(it->first)) {
      ++it;
      continue;
    }
    back_.erase(it->second.listed.id);
    ids_.erase(it->second.listed.id);
    it = rows_.erase(it);
  }
}

}  // namespace cedarring::broker
