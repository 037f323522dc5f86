// What each of two processes of one gateway may hold while an upgrade runs. No I/O, no clock.
#pragma once

#include <algorithm>
#include <cstddef>

namespace cedarring::handover {

/// Bytes in buffers, clients, connections to hosts.
struct ResourceShares {
  std::size_t memory = 0, clients = 0, hosts = 0;
};

/// Of `whole`, what the process that `ends` or the one that begins may hold while both run. The ending one
/// takes no new clients, so its part of those is what it still has, `held` (at most all); the beginning one
/// has the rest. Of what grows by itself, buffers and connections to hosts, each has half. The parts never
/// exceed the whole together.
inline ResourceShares split_resources(const ResourceShares& whole, bool ends, std::size_t held) {
  ResourceShares s;
  const auto theirs = std::min(held, whole.clients);
  s.clients = ends ? theirs : whole.clients - theirs;
  s.memory = ends ? whole.memory / 2 : whole.memory - whole.memory / 2;
  s.hosts = ends ? whole.hosts / 2 : whole.hosts - whole.hosts / 2;
  return s;
}

}  // namespace cedarring::handover
