#include "app/service.h"

#include <algorithm>

#include "broker/connection_limits.h"
#include "contracts/snapshot.h"
#include "handover/json_archive.h"
#include "handover/snapshot_fields.h"
#include "levels/snapshot.h"

namespace cedarring::app {
namespace {

/// Shares of the descriptors: three quarters for client connections, one quarter for host connections.
std::size_t client_share(std::size_t max_descriptors) { return max_descriptors * 3 / 4; }
std::size_t host_share(std::size_t max_descriptors) { return max_descriptors / 4; }

/// Share of the slow-start budgets that this process spends while the other process may be spending the rest.
constexpr double own_slow_start_share = 0.5;

}  // namespace

Service::Service(ev::loop_ref loop, wire::Reaper& reaper, broker::Broker::Clock clock,
                 const ServiceConfig& config, const ConnectionFactories& factories,
                 std::size_t max_descriptors, std::string front, telemetry::Log& log, wire::Fd listener,
                 const ServiceState* predecessor, wire::Fd dns_update_socket)
    : loop_(loop),
      front_(std::move(front)),
      clock_(clock),
      log_(log),
      total_resources_{0, client_share(max_descriptors), host_share(max_descriptors)},
      resources_(total_resources_),
      initial_settings_(config.settings),
      levels_service_info_(config.levels_service_info()),
      contracts_service_info_(config.contracts_service_info()),
      known_list_(predecessor ? predecessor->list : config.known_hosts),
      upstream_(loop, reaper, clock,
                {config.settings.connect_timeout, config.settings.idle_timeout, host_share(max_descriptors)},
                factories.host, [this] { open_watch(); }),
      broker_(config.settings, config.budgets, config.zone_names, clock, upstream_),
      clients_(loop, reaper, broker_, config.listen, client_share(max_descriptors), factories.client,
               std::move(listener)) {
  upstream_.attach(broker_);
  clients_.set_new_client_callback([this] { divide_connections(); });
  upstream_.set_limit_callback([this] { divide_connections(); });
  clients_.set_time_limit_callback([this](wire::TimeLimit limit, double waited_s) {
    log_.write(telemetry::Level::debug, "client", "client closed: a time limit has passed",
               {{"front", front_}, {"limit", wire::name_of(limit)}, {"waited_s", std::to_string(waited_s)}});
  });
  if (!config.discovery.empty())
    discovery_.emplace(loop, reaper, config.discovery, known_list_.version,
                       fleet::WatchTiming(config.settings.drain_grace),
                       wire::DiscoveryWatch::Callbacks{
                           [this](const broker::MemberList& list) { broker_.on_member_list(list); },
                           [this] { broker_.on_member_list_failed(); }});
  if (!config.dns_update_address.empty())
    zone_.emplace(
        loop, config.dns_update_address, config.dns_zone,
        [this](const broker::MemberList& list) { broker_.on_member_list(list); },
        std::move(dns_update_socket));
  if (config.contracts)
    contracts_.emplace(loop_, front_, *config.contracts, contracts_service_info_, broker_, clock_, log_);
  if (config.levels) start_levels(*config.levels);
  broker_.start(known_list_);
  // Pushed lists are not requested by the router, but they come on a watch, too.
  if (discovery_ && initial_settings_.discovery_mode == DiscoveryMode::push) discovery_->keep_open();
  if (!predecessor) return;
  for (const auto& id : predecessor->disabled_hosts) broker_.set_disabled(id, true, true);
  for (const auto& observed : predecessor->observed_hosts)
    broker_.observe(observed.host, observed.role, observed.position);
  if (predecessor->sections.empty())
    return;  // an older build that sends no sections, and will not report its spending
  broker_.suspend_spending();
  if (contracts_) contracts_->contracts().suspend_spending(clock_());
}

StateSections Service::snapshot(bool split) {
  StateSections sections;
  auto router_snapshot = broker_.snapshot(split ? SnapshotScope::split : SnapshotScope::all);
  // Commits after the first snapshot are sent one by one.
  if (!split) sections["sessions"] = handover::to_text(handover::SessionsSection{router_snapshot});
  router_snapshot.sessions.clear();
  sections["hosts"] = handover::to_text(handover::HostsSection{std::move(router_snapshot)});
  if (!split) return sections;
  sections["tenants"] = handover::to_text(broker_.split_budgets());
  if (contracts_) {
    handed_over_contracts_ = contracts_->contracts().split(clock_());
    sections["contracts"] = handover::to_text(*handed_over_contracts_);
  }
  if (levels_) sections["levels"] = handover::to_text(levels_->levels().snapshot(clock_()));
  return sections;
}

std::vector<std::string> Service::restore(const StateSections& sections) {
  std::vector<std::string> unreadable;
  const auto restore_if_present = [&](const char* name, auto record, const auto& restore_section) {
    const auto it = sections.find(name);
    if (it == sections.end()) return;
    if (auto parsed = handover::from_text<decltype(record)>(it->second))
      restore_section(std::move(*parsed));
    else
      unreadable.emplace_back(name);
  };
  restore_if_present(
      "sessions", handover::SessionsSection{},
      [&](auto section) { broker_.merge_snapshot(std::move(section.snapshot)); });
  restore_if_present(
      "hosts", handover::HostsSection{},
      [&](auto section) { broker_.merge_snapshot(std::move(section.snapshot)); });
  restore_if_present(
      "tenants", broker::BudgetSnapshots{}, [&](auto section) { broker_.restore_budgets(section); });
  restore_if_present(
      "contracts", contracts::Snapshot{},
      [&](auto section) {
        if (contracts_) contracts_->contracts().restore(section, clock_());
      });
  restore_if_present("levels", levels::Snapshot{}, [&](auto section) {
    if (levels_) levels_->restore(section);
  });
  // Budgets that cannot be read count as spent.
  for (const auto& name : unreadable) {
    if (name == "hosts") broker_.set_slow_start_share(own_slow_start_share);
    if (name == "tenants") broker_.restore_budgets({});
    if (name == "contracts" && contracts_) contracts_->contracts().assume_own_share(clock_());
  }
  return unreadable;
}

void Service::assume_own_share() {
  broker_.assume_own_share();
  if (contracts_) contracts_->contracts().assume_own_share(clock_());
}

StateSections Service::contract_counts_since_split() {
  if (!contracts_) return {};
  return {{"contracts", handover::to_text(contracts_->contracts().records_since_split())}};
}

std::vector<std::string> Service::add_contract_counts(const StateSections& sections) {
  const auto it = sections.find("contracts");
  if (it == sections.end() || !contracts_) return {};
  const auto counts = handover::from_text<contracts::Snapshot>(it->second);
  if (!counts) return {"contracts"};
  contracts_->contracts().merge_records(*counts);
  return {};
}

void Service::resume_full_spending() {
  broker_.resume_full_spending();
  if (!contracts_) return;
  if (handed_over_contracts_) {
    contracts_->contracts().merge_records(*handed_over_contracts_);
    handed_over_contracts_.reset();
  }
  contracts_->contracts().resume_full_spending(clock_());
}

/// While one process serves, client and host connections share all descriptors by demand; beside another
/// process each kind has a fixed limit.
void Service::divide_connections() {
  if (resources_.hosts < total_resources_.hosts || resources_.clients < total_resources_.clients) {
    clients_.set_max_clients(resources_.clients);
    upstream_.set_max_connections(resources_.hosts);
    upstream_.trim(total_resources_.hosts);
    return;
  }
  const auto total_connections = total_resources_.clients + total_resources_.hosts;
  auto split = broker::split_connections(total_connections, clients_.active_count(), upstream_.connections());
  upstream_.set_max_connections(split.hosts);
  upstream_.trim(split.hosts);
  clients_.set_max_clients(
      broker::split_connections(total_connections, clients_.active_count(), upstream_.connections()).clients,
      total_resources_.clients);
}

void Service::start_levels(const levels::Config& config) {
  LevelsRunner::Hooks hooks;
  hooks.read_inputs = [this] {
    LevelsRunner::Inputs inputs;
    inputs.descriptors = clients_.utilization();
    inputs.memory = static_cast<double>(broker::MessageMemory::used()) /
                    static_cast<double>(std::max<std::size_t>(broker::MessageMemory::limit(), 1));
    if (discovery_) inputs.discovery_silence = discovery_->seconds_since_data();
    return inputs;
  };
  hooks.scale_pool_size = [this](double factor) { upstream_.scale_limit(factor); };
  levels_.emplace(loop_, front_, config, levels_service_info_, broker_, clock_, std::move(hooks), log_);
}

/// The seed and the zone, which are specific to this instance, stay as they were at the start.
void Service::update_settings(const ServiceConfig& config) {
  auto settings = config.settings;
  settings.seed = initial_settings_.seed;
  settings.zone = initial_settings_.zone;
  upstream_.set_timeouts(settings.connect_timeout, settings.idle_timeout);
  if (discovery_ && settings.discovery_mode == DiscoveryMode::push) discovery_->keep_open();
  broker_.update_settings(std::move(settings), config.budgets);
}

Duration Service::longest_deadline() const {
  Duration longest{};
  for (const auto& request_class : initial_settings_.classes)
    longest = std::max(longest, request_class.deadline);
  return longest;
}

void Service::reload_contracts(const std::optional<ContractsConfig>& config) {
  if (contracts_) return contracts_->reload(config.value_or(ContractsConfig{}));
  if (config) contracts_.emplace(loop_, front_, *config, contracts_service_info_, broker_, clock_, log_);
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

void Service::collect_metrics(telemetry::Metrics& out) {
  broker_.collect_metrics(out);
  out.statement_bytes += clients_.memory_budget().used();
  out.statements_waiting += clients_.memory_budget().waiting();
}

void Service::open_watch() {
  if (discovery_) return discovery_->open_once();
  auto list = zone_ ? zone_->list() : known_list_;
  list.full = true;
  broker_.on_member_list(list);
}

}  // namespace cedarring::app
