#include "app/service.h"

#include <algorithm>

#include "broker/connection_limits.h"
#include "contracts/snapshot.h"
#include "handover/json_archive.h"
#include "handover/snapshot_fields.h"
#include "levels/snapshot.h"

namespace cedarring::app {

Service::Service(ev::loop_ref loop, wire::Reaper& reaper, broker::Broker::Clock clock, const ServiceConfig& c,
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
      upstream_(loop, reaper, clock, {c.settings.connect_timeout, c.settings.idle_timeout, descriptors / 4},
                parts.host, [this] { watch(); }),
      broker_(c.settings, c.budgets, c.zones, clock, upstream_),
      clients_(loop, reaper, broker_, c.listen, descriptors * 3 / 4, parts.client, std::move(listener)) {
  upstream_.attach(broker_);
  clients_.on_change([this] { share_places(); });
  upstream_.on_full([this] { share_places(); });
  if (!c.discovery.empty())
    discovery_.emplace(
        loop, reaper, c.discovery, known_.version, fleet::WatchTiming(c.settings.drain_grace),
        wire::DiscoveryWatch::Events{[this](const broker::MemberList& list) { broker_.on_member_list(list); },
                                     [this] { broker_.on_member_list_failed(); }});
  if (!c.zone_updates.empty())
    zone_.emplace(
        loop, c.zone_updates, c.zone,
        [this](const broker::MemberList& list) { broker_.on_member_list(list); }, std::move(updates));
  if (c.contracts) contracts_.emplace(loop_, front_, *c.contracts, for_contracts_, broker_, clock_, log_);
  if (c.levels) start_levels(*c.levels);
  broker_.start(known_);
  // Nobody asks for what is pushed, yet it comes on a watch.
  if (discovery_ && own_.discovery_mode == DiscoveryMode::push) discovery_->keep();
  if (!before) return;
  for (const auto& id : before->out) broker_.set_disabled(id, true, true);
  for (const auto& h : before->heard) broker_.observe(h.host, h.role, h.position);
  if (before->parts.empty()) return;  // of a build that tells none, and would not tell what is left
  broker_.suspend_spending();
  if (contracts_) contracts_->contracts().suspend_spending(clock_());
}

StateParts Service::parts(bool split) {
  StateParts all;
  auto k = broker_.snapshot(split ? SnapshotScope::split : SnapshotScope::all);
  // Commits that come after the first telling are told one by one.
  if (!split) all["sessions"] = handover::to_text(handover::SessionsSection{k});
  k.sessions.clear();
  all["hosts"] = handover::to_text(handover::HostsSection{std::move(k)});
  if (!split) return all;
  all["tenants"] = handover::to_text(broker_.split_budgets());
  if (contracts_) {
    handed_ = contracts_->contracts().split(clock_());
    all["contracts"] = handover::to_text(*handed_);
  }
  if (levels_) all["levels"] = handover::to_text(levels_->levels().snapshot(clock_()));
  return all;
}

std::vector<std::string> Service::take(const StateParts& told) {
  std::vector<std::string> spoilt;
  const auto read = [&](const char* name, auto record, const auto& use) {
    const auto it = told.find(name);
    if (it == told.end()) return;
    if (auto r = handover::from_text<decltype(record)>(it->second))
      use(std::move(*r));
    else
      spoilt.emplace_back(name);
  };
  read(
      "sessions", handover::SessionsSection{},
      [&](auto p) { broker_.merge_snapshot(std::move(p.snapshot)); });
  read(
      "hosts", handover::HostsSection{}, [&](auto p) { broker_.merge_snapshot(std::move(p.snapshot)); });
  read(
      "tenants", broker::BudgetSnapshots{}, [&](auto p) { broker_.restore_budgets(p); });
  read(
      "contracts", contracts::Snapshot{},
      [&](auto p) {
        if (contracts_) contracts_->contracts().restore(p, clock_());
      });
  read("levels", levels::Snapshot{}, [&](auto p) {
    if (levels_) levels_->take(p);
  });
  // What cannot be read counts as spent.
  for (const auto& name : spoilt) {
    if (name == "hosts") broker_.set_slow_start_share(0.5);
    if (name == "tenants") broker_.restore_budgets({});
    if (name == "contracts" && contracts_) contracts_->contracts().assume_own_share(clock_());
  }
  return spoilt;
}

void Service::unheard() {
  broker_.assume_own_share();
  if (contracts_) contracts_->contracts().assume_own_share(clock_());
}

StateParts Service::booked() {
  if (!contracts_) return {};
  return {{"contracts", handover::to_text(contracts_->contracts().recorded())}};
}

std::vector<std::string> Service::book(const StateParts& told) {
  const auto it = told.find("contracts");
  if (it == told.end() || !contracts_) return {};
  const auto booked = handover::from_text<contracts::Snapshot>(it->second);
  if (!booked) return {"contracts"};
  contracts_->contracts().merge_records(*booked);
  return {};
}

void Service::alone() {
  broker_.resume_full_spending();
  if (!contracts_) return;
  if (handed_) contracts_->contracts().merge_records(*handed_), handed_.reset();
  contracts_->contracts().resume_full_spending(clock_());
}

/// Alone, clients and hosts have what they need of the sum; beside another process each part is fixed.
void Service::share_places() {
  if (shares_.hosts < whole_.hosts || shares_.clients < whole_.clients) {
    clients_.set_most(shares_.clients);
    return upstream_.set_most(shares_.hosts), upstream_.trim(whole_.hosts);
  }
  const auto all = whole_.clients + whole_.hosts;
  auto split = broker::split_connections(all, clients_.taken(), upstream_.connections());
  upstream_.set_most(split.hosts);
  upstream_.trim(split.hosts);
  clients_.set_most(broker::split_connections(all, clients_.taken(), upstream_.connections()).clients,
                    whole_.clients);
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
  upstream_.set_times(settings.connect_timeout, settings.idle_timeout);
  if (discovery_ && settings.discovery_mode == DiscoveryMode::push) discovery_->keep();
  broker_.update_settings(std::move(settings), c.budgets);
}

Duration Service::longest_deadline() const {
  Duration longest{};
  for (const auto& c : own_.classes) longest = std::max(longest, c.deadline);
  return longest;
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
  broker_.on_member_list(list);
}

}  // namespace cedarring::app
