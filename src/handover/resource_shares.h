// Division of memory and connections between the two processes of one gateway during an upgrade. No I/O, no
// clock.
#pragma once

#include <algorithm>
#include <cstddef>

namespace cedarring::handover {

/// Limits on the resources of a process.
struct ResourceShares {
  std::size_t memory = 0;   // bytes in buffers
  std::size_t clients = 0;  // client connections
  std::size_t hosts = 0;    // connections to hosts
};

/// The limits of the outgoing process, if `outgoing` is true, or of the incoming process, within `total`. The
/// outgoing process accepts no new clients, so its limit on clients is `outgoing_clients`, the number of
/// client connections that it still has, and the incoming process may accept the rest of `total`. Memory and
/// connections to hosts grow in both processes, so each gets half. The limits of the two processes together
/// never exceed `total`.
inline ResourceShares split_resources(const ResourceShares& total, bool outgoing,
                                      std::size_t outgoing_clients) {
  ResourceShares share;
  const auto kept_clients = std::min(outgoing_clients, total.clients);
  share.clients = outgoing ? kept_clients : total.clients - kept_clients;
  share.memory = outgoing ? total.memory / 2 : total.memory - total.memory / 2;
  share.hosts = outgoing ? total.hosts / 2 : total.hosts - total.hosts / 2;
  return share;
}

}  // namespace cedarring::handover
