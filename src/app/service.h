// One front with its hosts: listener, broker, host connections and the source of its list.
#pragma once

#include <optional>

#include "app/config.h"
#include "memory/broker.h"
#include "wire/client.h"
#include "wire/discovery.h"
#include "wire/upstream.h"

namespace cedarring::app {

class Service {
 public:
  struct Parts {
    wire::SocketUpstream::Make host;
    wire::ClientSet::Make client;
  };
  Service(ev::loop_ref loop, wire::Reaper& reaper, memory::Broker::Clock clock, const ServiceConfig& config,
          const Parts& parts, std::size_t descriptors);
  void drain() { clients_.drain(); }
  [[nodiscard]] std::string address() const { return clients_.address(); }
  [[nodiscard]] bool empty() const { return clients_.empty(); }

 private:
  void watch();
  memory::MemberList known_;
  wire::SocketUpstream upstream_;
  memory::Broker broker_;
  std::optional<wire::DiscoveryWatch> discovery_;  // absent: the known list is all there is
  wire::ClientSet clients_;
};

}  // namespace cedarring::app
