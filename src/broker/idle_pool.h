// Which idle connections there are to each host. It owns none of them and resends nothing.
#pragma once

#include <algorithm>
#include <map>
#include <vector>

#include "cedarring/router.h"

namespace cedarring::broker {

template <class Connection>
class IdlePool {
 public:
  void put(HostId host, Connection* connection, Time now) { idle_[host].push_back({connection, now}); }
  /// The one used last: the others may fall idle for good and be retired.
  Connection* take(HostId host) {
    const auto it = idle_.find(host);
    if (it == idle_.end()) return nullptr;
    auto* connection = it->second.back().connection;
    it->second.pop_back();
    if (it->second.empty()) idle_.erase(it);
    return connection;
  }
  void remove(HostId host, Connection* connection) {
    const auto it = idle_.find(host);
    if (it == idle_.end()) return;
    auto& v = it->second;
    v.erase(std::remove_if(v.begin(), v.end(), [&](const Idle& i) { return i.connection == connection; }),
            v.end());
    if (v.empty()) idle_.erase(it);
  }
  /// Those idle since before `before`, taken out.
  std::vector<Connection*> retire(Time before) {
    std::vector<Connection*> old;
    for (auto host = idle_.begin(); host != idle_.end();) {
      auto& v = host->second;
      const auto fresh = std::find_if(v.begin(), v.end(), [&](const Idle& i) { return i.since >= before; });
      for (auto it = v.begin(); it != fresh; ++it) old.push_back(it->connection);
      v.erase(v.begin(), fresh);
      host = v.empty() ? idle_.erase(host) : std::next(host);
    }
    return old;
  }
  /// All idle ones of a host, taken out.
  std::vector<Connection*> drop(HostId host) {
    std::vector<Connection*> all;
    if (const auto it = idle_.find(host); it != idle_.end()) {
      for (const auto& i : it->second) all.push_back(i.connection);
      idle_.erase(it);
    }
    return all;
  }
  /// The idle connection that has waited longest, of any host, taken out; null if there is none.
  Connection* oldest() {
    auto best = idle_.end();
    for (auto it = idle_.begin(); it != idle_.end(); ++it)
      if (best == idle_.end() || it->second.front().since < best->second.front().since) best = it;
    if (best == idle_.end()) return nullptr;
    auto* connection = best->second.front().connection;
    best->second.erase(best->second.begin());
    if (best->second.empty()) idle_.erase(best);
    return connection;
  }
  /// Hosts that it keeps an entry for.
  [[nodiscard]] std::size_t hosts() const { return idle_.size(); }

 private:
  struct Idle {
    Connection* connection;
    Time since;
  };
  std::map<HostId, std::vector<Idle>> idle_;  // none empty; by how long they have been idle, longest first
};

}  // namespace cedarring::broker
