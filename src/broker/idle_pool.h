// The idle connections to each host, kept for later attempts.
#pragma once

#include <algorithm>
#include <map>
#include <vector>

#include "cedarring/router.h"

namespace cedarring::broker {

/// Keeps track of idle connections by host, each host's ordered by the time it became idle. The connections
/// are not owned, and nothing is sent on them.
template <class Connection>
class IdlePool {
 public:
  /// Adds a connection that has become idle at `now`.
  void put(HostId host, Connection* connection, Time now) { idle_[host].push_back({connection, now}); }
  /// Removes and returns the connection to `host` that became idle last, so that the others can expire; null
  /// if there is no idle connection to `host`. Connections that `preferred` accepts come before others.
  template <class Predicate>
  Connection* take(HostId host, const Predicate& preferred) {
    const auto it = idle_.find(host);
    if (it == idle_.end()) return nullptr;
    auto& entries = it->second;
    const auto last_preferred = std::find_if(
        entries.rbegin(), entries.rend(), [&](const Entry& entry) { return preferred(*entry.connection); });
    const auto taken = last_preferred == entries.rend() ? entries.end() - 1 : last_preferred.base() - 1;
    auto* connection = taken->connection;
    entries.erase(taken);
    if (entries.empty()) idle_.erase(it);
    return connection;
  }
  /// The same without a preference.
  Connection* take(HostId host) {
    return take(
        host, [](const Connection&) { return true; });
  }
  /// Removes `connection` if it is in the pool.
  void remove(HostId host, Connection* connection) {
    const auto it = idle_.find(host);
    if (it == idle_.end()) return;
    auto& entries = it->second;
    entries.erase(std::remove_if(entries.begin(), entries.end(),
                                 [&](const Entry& entry) { return entry.connection == connection; }),
                  entries.end());
    if (entries.empty()) idle_.erase(it);
  }
  /// Removes and returns the connections that have been idle since before `before`.
  std::vector<Connection*> take_expired(Time before) {
    std::vector<Connection*> expired;
    for (auto host = idle_.begin(); host != idle_.end();) {
      auto& entries = host->second;
      const auto first_kept = std::find_if(entries.begin(), entries.end(),
                                           [&](const Entry& entry) { return entry.since >= before; });
      for (auto it = entries.begin(); it != first_kept; ++it) expired.push_back(it->connection);
      entries.erase(entries.begin(), first_kept);
      host = entries.empty() ? idle_.erase(host) : std::next(host);
    }
    return expired;
  }
  /// Removes and returns all connections to `host`.
  std::vector<Connection*> take_all(HostId host) {
    std::vector<Connection*> all;
    if (const auto it = idle_.find(host); it != idle_.end()) {
      for (const auto& entry : it->second) all.push_back(entry.connection);
      idle_.erase(it);
    }
    return all;
  }
  /// Removes and returns the connection that has been idle longest, to any host; null if there is none.
  Connection* take_oldest() {
    auto oldest = idle_.end();
    for (auto it = idle_.begin(); it != idle_.end(); ++it)
      if (oldest == idle_.end() || it->second.front().since < oldest->second.front().since) oldest = it;
    if (oldest == idle_.end()) return nullptr;
    auto* connection = oldest->second.front().connection;
    oldest->second.erase(oldest->second.begin());
    if (oldest->second.empty()) idle_.erase(oldest);
    return connection;
  }
  /// Number of hosts with idle connections.
  [[nodiscard]] std::size_t host_count() const { return idle_.size(); }

 private:
  struct Entry {
    Connection* connection;
    Time since;  // when the connection became idle
  };
  std::map<HostId, std::vector<Entry>> idle_;  // longest idle first; no vector is empty
};

}  // namespace cedarring::broker
