// One front of the gateway. A front is a client listener that speaks one database protocol ("postgresql" or
// "mysql"), together with its own broker, its connections to database hosts and its source of the host list.
#pragma once

#include <optional>

#include "app/config.h"
#include "app/contracts_runner.h"
#include "app/levels_runner.h"
#include "app/successor.h"
#include "broker/broker.h"
#include "handover/resource_shares.h"
#include "wire/client.h"
#include "wire/discovery.h"
#include "wire/upstream.h"
#include "wire/zone_source.h"

namespace cedarring::app {

/// Owns and connects the parts of one front; a process has one Service for each front. During an upgrade two
/// processes run a service each for the same front and share its budgets and resources.
class Service {
 public:
  /// The functions that create the connections of the front's protocol.
  struct ConnectionFactories {
    wire::SocketUpstream::Factory host;
    wire::ClientSet::Factory client;
  };
  /// `max_descriptors`: the file descriptors that clients and host connections may use together. `front`: the
  /// name of the front, used in logs and as a key towards the other process. `listener`, `predecessor` and
  /// `dns_update_socket` are passed on by a process that serves already: its client listener, its state (may
  /// be null) and its UDP socket for DNS updates.
  Service(ev::loop_ref loop, wire::Reaper& reaper, broker::Broker::Clock clock, const ServiceConfig& config,
          const ConnectionFactories& factories, std::size_t max_descriptors, std::string front,
          telemetry::Log& log, wire::Fd listener = wire::Fd(), const ServiceState* predecessor = nullptr,
          wire::Fd dns_update_socket = wire::Fd());
  /// Whether the host list permits serving to start: where discovery pushes lists, the first list must have
  /// been received, since a pushed list applies from the moment it is sent; otherwise always.
  [[nodiscard]] bool may_start_serving() const {
    return !discovery_ || initial_settings_.discovery_mode != DiscoveryMode::push || discovery_->has_list();
  }
  /// Starts accepting clients.
  void start_accepting() { clients_.start_accepting(); }
  /// A successor serves: `transfer` passes it a client.
  void start_handover(wire::ClientSet::Transfer transfer) {
    upstream_.set_draining(true);
    if (zone_) zone_->pause(true);
    clients_.start_handover(std::move(transfer));
  }
  /// The successor is gone: serves again.
  void cancel_handover() {
    upstream_.set_draining(false);
    if (zone_) zone_->pause(false);
    clients_.cancel_handover();
  }
  /// The state for the successor. With `split` the successor starts serving now: budgets are divided between
  /// the two processes, and the result holds the successor's share.
  [[nodiscard]] StateSections snapshot(bool split);
  /// Restores the predecessor's state; returns the names of the sections that cannot be read. Budgets in such
  /// a section count as spent.
  std::vector<std::string> restore(const StateSections& sections);
  /// To be called if the predecessor does not report its spending or the report cannot be read: from then on
  /// no more than this process's own share of the budgets is spent.
  void assume_own_share();
  /// The contracts' counts of requests in this process since the budgets were split; empty without contracts.
  [[nodiscard]] StateSections contract_counts_since_split();
  /// Adds the contract counts of the other process since the split to those of this one; returns the names of
  /// the sections that cannot be read.
  std::vector<std::string> add_contract_counts(const StateSections& sections);
  /// To be called when the other process has ended: the whole budgets belong to this process again.
  void resume_full_spending();
  /// Continues a client connection that the other process has transferred.
  void adopt(wire::Fd fd, const std::string& state) { clients_.adopt(std::move(fd), state); }
  /// The UDP socket that receives DNS updates; null if the host list does not come from a DNS zone.
  [[nodiscard]] const wire::Fd* dns_update_socket() const { return zone_ ? &zone_->socket() : nullptr; }
  /// The socket that listens for clients.
  [[nodiscard]] const wire::Fd& listener() const { return clients_.listener(); }
  [[nodiscard]] std::size_t client_count() const { return clients_.size(); }
  /// The resources of this service while one process serves: numbers of client and host connections. The
  /// memory field is 0, because memory belongs to the whole process; the gateway sets it.
  [[nodiscard]] const handover::ResourceShares& total_resources() const { return total_resources_; }
  /// Sets the resources that this process may use now.
  void set_resources(const handover::ResourceShares& resources) {
    resources_ = resources;
    // Long statements may use half of the memory for buffers: a quarter of all memory while one process
    // serves.
    clients_.set_memory_budget(resources.memory / 2);
    divide_connections();
  }
  /// Stops listening; clients are closed as they become idle.
  void drain() { clients_.drain(); }
  /// The longest deadline of a class in the settings at the start.
  [[nodiscard]] Duration longest_deadline() const;
  /// Watches discovery at another address. The present host list applies until the new address has sent a
  /// list. An empty address is ignored.
  void change_discovery_address(const std::string& address) {
    if (discovery_ && !address.empty()) discovery_->change_address(address);
  }
  /// The address and port that receive DNS updates; empty if the host list does not come from a DNS zone.
  [[nodiscard]] std::string dns_update_address() const { return zone_ ? zone_->address() : std::string(); }
  /// The address and port that clients connect to.
  [[nodiscard]] std::string address() const { return clients_.address(); }
  [[nodiscard]] const std::deque<broker::TenantBudget>& budgets() const { return broker_.budgets(); }
  /// Whether no client is connected.
  [[nodiscard]] bool empty() const { return clients_.empty(); }
  /// Whether clients are accepted and a host is available.
  [[nodiscard]] bool ready() const { return clients_.listening() && broker_.ready(); }
  [[nodiscard]] const std::string& front() const { return front_; }
  /// Applies another configuration of levels; without one, present levels are switched off.
  void reload_levels(const std::optional<levels::Config>& config);
  /// Applies other settings and tenant budgets.
  void update_settings(const ServiceConfig& config);
  /// Whether the classes are the same as at the start.
  [[nodiscard]] bool same_classes(const ServiceConfig& config) const {
    return config.settings.classes == initial_settings_.classes;
  }
  /// Applies another configuration of contracts; without one, present contracts are switched off.
  void reload_contracts(const std::optional<ContractsConfig>& config);
  /// Null if no contracts have been configured since the start.
  [[nodiscard]] const ContractsRunner* contracts() const { return contracts_ ? &*contracts_ : nullptr; }
  /// Null if no levels have been configured since the start.
  [[nodiscard]] LevelsRunner* levels() { return levels_ ? &*levels_ : nullptr; }
  [[nodiscard]] broker::Broker& broker() { return broker_; }
  /// Adds this service's counters and gauges to `out`.
  void collect_metrics(telemetry::Metrics& out);

 private:
  /// Requests the host list from its source; without one, the list at the start is applied again.
  void open_watch();
  /// Divides the connections that this process may have between clients and hosts.
  void divide_connections();
  void start_levels(const levels::Config& config);
  ev::loop_ref loop_;
  std::string front_;
  broker::Broker::Clock clock_;
  telemetry::Log& log_;
  handover::ResourceShares total_resources_;  // while one process serves
  handover::ResourceShares resources_;        // that this process may use now
  Settings initial_settings_;                 // at the start
  levels::ServiceInfo levels_service_info_;
  contracts::ServiceInfo contracts_service_info_;
  broker::MemberList known_list_;  // the host list at the start: the predecessor's, or the configured one
  wire::SocketUpstream upstream_;
  broker::Broker broker_;
  // The source of the host list: at most one of the two. Without a source, known_list_ stays in force.
  std::optional<wire::DiscoveryWatch> discovery_;
  std::optional<wire::ZoneSource> zone_;
  wire::ClientSet clients_;
  // Contracts are the first gate: levels shed first what is beyond a contract.
  std::optional<ContractsRunner> contracts_;
  std::optional<LevelsRunner> levels_;
  /// The contract counts that were passed to the successor at the split; added here again if it ends.
  std::optional<contracts::Snapshot> handed_over_contracts_;
};

}  // namespace cedarring::app
