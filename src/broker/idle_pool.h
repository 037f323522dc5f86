// The idle connections to each host.
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
  /// Removes and returns the connection to `host` that was used last, so that the others can expire; null if
  /// there is none.
  Connection* take(HostId host) {
    const auto it = idle_.find(host);
    if (it == idle_.end()) return nullptr;
    auto* connection = it->second.back().connection;
    it->second.pop_back();
    if (it->second.empty()) idle_.erase(it);
    return connection;
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
    auto best = idle_.end();
    for (auto it = idle_.begin(); it != idle_.end(); ++it)
      if (best == idle_.end() || it->second.front().since < best->second.front().since) best = it;
    if (best == idle_.end()) return nullptr;
    auto* connection = best->second.front().connection;
    best->second.erase(best->second.begin());
    if (best->second.empty()) idle_.erase(best);
    return connection;
  }
  /// Number of hosts with idle connections.
  [[nodiscard]] std::size_t hosts() const { return idle_.size(); }

 private:
  struct Entry {
    Connection* connection;
    Time since;
  };
  std::map<HostId, std::vector<Entry>> idle_;  // no vector is empty; longest idle first
};

}  // namespace cedarring::broker
