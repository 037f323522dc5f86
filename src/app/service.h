// One front with its hosts: listener, broker, host connections and the source of its list.
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

class Service {
 public:
  struct Parts {
    wire::SocketUpstream::Make host;
    wire::ClientSet::Make client;
  };
  Service(ev::loop_ref loop, wire::Reaper& reaper, broker::Broker::Clock clock, const ServiceConfig& config,
          const Parts& parts, std::size_t descriptors, std::string front, telemetry::Log& log,
          wire::Fd listener = wire::Fd(), const ServiceState* before = nullptr,
          wire::Fd updates = wire::Fd());
  /// Whether what it would choose from is known: where lists are pushed, what they say counts from the first
  /// moment, so one has to have come.
  [[nodiscard]] bool informed() const {
    return !discovery_ || own_.discovery_mode != DiscoveryMode::push || discovery_->told();
  }
  /// Takes clients from here on.
  void begin() { clients_.begin(); }
  /// Another process follows: `give` hands it a client.
  void hand_over(std::function<bool(int fd, const std::string& known)> give) {
    upstream_.wind_down(true);
    if (zone_) zone_->pause(true);
    clients_.hand_over(std::move(give));
  }
  void take_back() {
    upstream_.wind_down(false);
    if (zone_) zone_->pause(false);
    clients_.take_back();
  }
  /// What is known, for the process that follows; `split`: it begins now, and what may be spent is from here
  /// on in two parts, of which its own is told.
  [[nodiscard]] StateParts parts(bool split);
  /// Takes over what the process before knows; the names of the parts that cannot be read.
  std::vector<std::string> take(const StateParts& told);
  /// The process before has not told what it has spent, or it could not be read.
  void unheard();
  /// What was booked here since the split, and what another has.
  [[nodiscard]] StateParts booked();
  std::vector<std::string> book(const StateParts& told);
  /// The other process has ended.
  void alone();
  void adopt(wire::Fd fd, const std::string& known) { clients_.adopt(std::move(fd), known); }
  /// The socket for updates of its zone; null without one.
  [[nodiscard]] const wire::Fd* updates() const { return zone_ ? &zone_->socket() : nullptr; }
  [[nodiscard]] const wire::Fd& listener() const { return clients_.listener(); }
  [[nodiscard]] std::size_t clients() const { return clients_.size(); }
  [[nodiscard]] const handover::ResourceShares& whole() const { return whole_; }
  void limit(const handover::ResourceShares& shares) {
    shares_ = shares;
    clients_.set_room(shares.memory / 2);  // a quarter of the memory: buffers may have half
    share_places();
  }
  void drain() { clients_.drain(); }
  /// The longest that a client waits for an answer, as the settings have it.
  [[nodiscard]] Duration longest_deadline() const;
  /// Watches the list at another address; the list stays what it is until that tells otherwise.
  void move_watch(const std::string& address) {
    if (discovery_ && !address.empty()) discovery_->move(address);
  }
  /// Where updates of the zone are taken; empty without one.
  [[nodiscard]] std::string zone_address() const { return zone_ ? zone_->address() : std::string(); }
  [[nodiscard]] std::string address() const { return clients_.address(); }
  [[nodiscard]] const std::deque<broker::TenantBudget>& budgets() const { return broker_.budgets(); }
  [[nodiscard]] bool empty() const { return clients_.empty(); }
  /// Clients are taken, and there is a host to choose.
  [[nodiscard]] bool ready() const { return clients_.listening() && broker_.ready(); }
  [[nodiscard]] const std::string& front() const { return front_; }
  /// Other levels from now on; none: those there were go out of force.
  void reload_levels(const std::optional<levels::Config>& config);
  void retune(const ServiceConfig& config);
  /// Whether its classes are those of the start.
  [[nodiscard]] bool same_classes(const ServiceConfig& config) const {
    return config.settings.classes == own_.classes;
  }
  void reload_contracts(const std::optional<ContractsConfig>& config);
  [[nodiscard]] const ContractsRunner* contracts() const { return contracts_ ? &*contracts_ : nullptr; }
  [[nodiscard]] LevelsRunner* levels() { return levels_ ? &*levels_ : nullptr; }
  [[nodiscard]] broker::Broker& broker() { return broker_; }

 private:
  void watch();
  void share_places();
  void start_levels(const levels::Config& config);
  ev::loop_ref loop_;
  std::string front_;
  broker::Broker::Clock clock_;
  telemetry::Log& log_;
  handover::ResourceShares whole_, shares_;  // alone; now
  Settings own_;                             // of the start
  levels::ServiceInfo for_levels_;
  contracts::ServiceInfo for_contracts_;
  broker::MemberList known_;
  wire::SocketUpstream upstream_;
  broker::Broker broker_;
  // Without either of these the known list is all there is.
  std::optional<wire::DiscoveryWatch> discovery_;
  std::optional<wire::ZoneSource> zone_;
  wire::ClientSet clients_;
  std::optional<ContractsRunner>
      contracts_;  // the first gate: what is beyond a contract is what levels shed first
  std::optional<LevelsRunner> levels_;
  std::optional<contracts::Snapshot> handed_;  // booked before the split: taken back where the other dies
};

}  // namespace cedarring::app
