#include "app/service.h"

namespace cedarring::app {

Service::Service(ev::loop_ref loop, wire::Reaper& reaper, memory::Broker::Clock clock, const ServiceConfig& c,
                 const Parts& parts, std::size_t descriptors)
    : known_(c.known),
      upstream_(loop, reaper, clock, {c.settings.connect_timeout, c.settings.idle_close, descriptors / 4},
                parts.host, [this] { watch(); }),
      broker_(c.settings, c.budgets, c.zones, clock, upstream_),
      clients_(loop, reaper, broker_, c.listen, descriptors * 3 / 4, parts.client) {
  upstream_.attach(broker_);
  if (!c.discovery.empty())
    discovery_.emplace(
        loop, reaper, c.discovery, c.known.version,
        wire::DiscoveryWatch::Events{[this](const memory::MemberList& list) { broker_.listed(list); },
                                     [this] { broker_.list_failed(); }});
  if (!c.zone_updates.empty())
    zone_.emplace(loop, c.zone_updates, c.zone,
                  [this](const memory::MemberList& list) { broker_.listed(list); });
  broker_.start(known_);
}

void Service::watch() {
  if (discovery_) return discovery_->start();
  auto list = zone_ ? zone_->list() : known_;
  list.full = true;
  broker_.listed(list);
}

}  // namespace cedarring::app
