// Limits on connections: how long an idle client connection may stay open, and how clients and hosts share
// the connection limit. Pure functions of counts and durations.
#pragma once

#include <algorithm>
#include <cstddef>

#include "cedarring/router.h"

namespace cedarring::broker {

/// The idle timeout of client connections, which shrinks as the connection limit fills up. With a fixed
/// timeout, a crowd of clients that each sent one request and then kept the connection idle used up all the
/// connections that clients may hold (a third of the descriptors, in the deployment where it was seen), and
/// nobody else could connect.
struct IdleConnectionLimits {
  Duration max_idle = std::chrono::seconds(2);  // allowed while few connections are open
  // Allowed from `strict_share` on: long enough that a client that sends its next request at once keeps its
  // connection.
  Duration min_idle = std::chrono::milliseconds(150);
  double relaxed_share = 1.0 / 6;  // share of the connection limit up to which no connection is closed
  double strict_share = 1.0 / 3;   // share of the connection limit from which `min_idle` applies

  /// The idle timeout with `open` of at most `limit` connections: falls linearly from `max_idle` at
  /// `relaxed_share` to `min_idle` at `strict_share`; never rises with `open`.
  [[nodiscard]] Duration idle_timeout(std::size_t open, std::size_t limit) const {
    if (limit == 0) return min_idle;
    const double share = static_cast<double>(open) / static_cast<double>(limit);
    const double strictness = std::clamp((share - relaxed_share) / (strict_share - relaxed_share), 0.0, 1.0);
    return max_idle - Duration(static_cast<std::int64_t>(static_cast<double>((max_idle - min_idle).count()) *
                                                         strictness));
  }
  /// Whether to close a connection that has been idle for `idle`. False while the open connections do not
  /// exceed `relaxed_share` of the limit, so that closing stops there.
  [[nodiscard]] bool should_close(Duration idle, std::size_t open, std::size_t limit) const {
    return static_cast<double>(open) > static_cast<double>(limit) * relaxed_share &&
           idle > idle_timeout(open, limit);
  }
};

/// How a front end's connection limit is split: clients may have three quarters and hosts a quarter. Hosts
/// may also use what clients leave unused, up to a half. Above their quarter, hosts leave an eighth of the
/// limit free beyond the open clients, so that a burst of clients can connect before host connections have
/// been closed.
struct ConnectionSplit {
  std::size_t clients = 0;  // limit on client connections
  std::size_t hosts = 0;    // limit on host connections
};
/// How many of `limit` connections clients and hosts may have now, with `open_clients` client connections and
/// `open_hosts` host connections open.
/// Open connections exceed `limit` by no more than the host connections still to be closed. Hosts always get
/// their quarter and clients their half.
inline ConnectionSplit split_connections(std::size_t limit, std::size_t open_clients,
                                         std::size_t open_hosts) {
  const auto reserved_for_clients = open_clients + limit / 8;
  ConnectionSplit split;
  split.hosts =
      std::clamp(reserved_for_clients < limit ? limit - reserved_for_clients : 0, limit / 4, limit / 2);
  split.clients = std::min(limit * 3 / 4, limit - std::min(limit / 2, std::max(open_hosts, limit / 4)));
  return split;
}

}  // namespace cedarring::broker
