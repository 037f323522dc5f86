#include "app/service.h"

#include "memory/places.h"

namespace cedarring::app {

Service::Service(ev::loop_ref loop, wire::Reaper& reaper, memory::Broker::Clock clock, const ServiceConfig& c,
                 const Parts& parts, std::size_t descriptors, std::string front, telemetry::Log& log,
                 wire::Fd listener, const ServiceState* before, wire::Fd updates)
    : loop_(loop),
      front_(std::move(front)),
      clock_(clock),
      log_(log),
      whole_{0, descriptors * 3 / 4, descriptors / 4},
      shares_(whole_),
      own_(c.settings),
      for_levels_(c.for_levels()),
      for_contracts_(c.for_contracts()),
      known_(before ? before->list : c.known),
      upstream_(loop, reaper, clock, {c.settings.connect_timeout, c.settings.idle_close, descriptors / 4},
                parts.host, [this] { watch(); }),
      broker_(c.settings, c.budgets, c.zones, clock, upstream_),
      clients_(loop, reaper, broker_, c.listen, descriptors * 3 / 4, parts.client, std::move(listener)) {
  upstream_.attach(broker_);
  clients_.on_change([this] { share_places(); });
  upstream_.on_full([this] { share_places(); });
  if (!c.discovery.empty())
    discovery_.emplace(
        loop, reaper, c.discovery, known_.version,
        wire::DiscoveryWatch::Events{[this](const memory::MemberList& list) { broker_.listed(list); },
                                     [this] { broker_.list_failed(); }});
  if (!c.zone_updates.empty())
    zone_.emplace(
        loop, c.zone_updates, c.zone, [this](const memory::MemberList& list) { broker_.listed(list); },
        std::move(updates));
  if (c.contracts) contracts_.emplace(loop_, front_, *c.contracts, for_contracts_, broker_, clock_, log_);
  if (c.levels) start_levels(*c.levels);
  broker_.start(known_);
  if (!before) return;
  for (const auto& id : before->out) broker_.set_out(id, true, true);
  for (const auto& h : before->heard) broker_.learn(h.host, h.role, h.position);
}

/// Alone, clients and hosts have what they need of the sum; beside another process each part is fixed.
void Service::share_places() {
  if (shares_.hosts < whole_.hosts || shares_.clients < whole_.clients) {
    clients_.set_most(shares_.clients);
    return upstream_.set_most(shares_.hosts), upstream_.trim(whole_.hosts);
  }
  const auto all = whole_.clients + whole_.hosts;
  auto split = memory::split_places(all, clients_.taken(), upstream_.connections());
  upstream_.set_most(split.hosts);
  upstream_.trim(split.hosts);
  clients_.set_most(memory::split_places(all, clients_.taken(), upstream_.connections()).clients, whole_.clients);
}

void Service::start_levels(const levels::Config& config) {
  LevelsRunner::Hooks hooks;
  hooks.inputs = [this] {
    LevelsRunner::Inputs in;
    in.descriptors = clients_.fullness();
    in.memory = static_cast<double>(wire::RingBuffer::total()) /
                static_cast<double>(std::max<std::size_t>(wire::RingBuffer::bound(), 1));
    if (discovery_) in.discovery_silence = discovery_->silence();
    return in;
  };
  hooks.pool_size = [this](double factor) { upstream_.scale_most(factor); };
  levels_.emplace(loop_, front_, config, for_levels_, broker_, clock_, std::move(hooks), log_);
}

/// What is this gateway's own, its place among the others and its seed, stays as it was at the start.
void Service::retune(const ServiceConfig& c) {
  auto settings = c.settings;
  settings.seed = own_.seed;
  settings.zone = own_.zone;
  upstream_.set_times(settings.connect_timeout, settings.idle_close);
  broker_.retune(std::move(settings), c.budgets);
}

void Service::reload_contracts(const std::optional<ContractsConfig>& config) {
  if (contracts_) return contracts_->reload(config.value_or(ContractsConfig{}));
  if (config) contracts_.emplace(loop_, front_, *config, for_contracts_, broker_, clock_, log_);
}

void Service::reload_levels(const std::optional<levels::Config>& config) {
  if (levels_ && config) return levels_->reload(*config);
  if (levels_) {
    auto off = levels_->levels().config();
    off.mode = levels::Mode::off;
    return levels_->reload(off);
  }
  if (config) start_levels(*config);
}

void Service::watch() {
  if (discovery_) return discovery_->start();
  auto list = zone_ ? zone_->list() : known_;
  list.full = true;
  broker_.listed(list);
}

}  // namespace cedarring::app
