// Enforcement of contracts between teams: a gate that limits each team to its contracted rates, divides
// contended resources fairly and records how every request ended. A state machine without I/O: requests and
// times come in, verdicts go out.
//
// Terms: a window is an accounting period of the ledger (Config::window); its counts are checked against the
// contracts when it closes. A closure is a period around a gate closure of the business, in which other terms
// may hold than usual (ClassTerms::closure).
#pragma once

#include <cstdint>
#include <map>
#include <memory>
#include <optional>
#include <pcg_random.hpp>
#include <unordered_map>
#include <vector>

#include "contracts/fair_share.h"
#include "contracts/gcra.h"
#include "contracts/ledger.h"
#include "contracts/snapshot.h"
#include "contracts/terms.h"
#include "gates/gate.h"
#include "handover/budget_share.h"

namespace cedarring::contracts {

using gates::ServiceInfo;

/// The load of one resource: a group's primary, or its replicas together.
struct ResourceLoad {
  GroupId group;
  bool primary = false;
  bool contended = false;  // its concurrency limit is reached, or requests wait for it
};

/// Derives the load of each resource from a router's view of its groups.
std::vector<ResourceLoad> resource_loads(const std::vector<GroupView>& views);

/// The contracts gate of one front end in one gateway process. Not thread-safe.
class Contracts : public gates::Gate {
 public:
  Contracts(Config config, ServiceInfo service);

  gates::Verdict admit(const gates::GateRequest& request, Time now) override;
  void on_request_end(const gates::GateRequest& request, const gates::RequestResult& result,
                      Time now) override;
  /// Whether the team's retry budget allows another attempt for this request. If so, charges the attempt to
  /// the budget. The first attempt is free.
  bool may_retry(const gates::GateRequest& request, Time now) override;

  /// Allocates contended resources, adjusts this gateway's shares and closes windows. To be called every
  /// 100 ms. Appends breaches to `breaches` and, unless null, closed windows to `closed_windows`.
  void step(Time now, const std::vector<ResourceLoad>& loads, std::vector<Breach>& breaches,
            std::vector<ClosedWindow>* closed_windows = nullptr);

  /// Replaces the configuration. Teams that keep their name keep their limiters and windows.
  void reload(Config config, Time now);

  // The handover between two processes of one gateway, see handover/budget_share.h.
  /// Called in the outgoing process. Returns the successor's share of the budgets and all recorded counts;
  /// records in this process start again at zero, and no window closes here.
  Snapshot split(Time now);
  /// Called in a new process that has not received a snapshot yet: nothing may be spent.
  void suspend_spending(Time now);
  /// Called if no snapshot arrives: this process spends its own share, with no burst saved up.
  void assume_own_share(Time now);
  /// Called in the incoming process. Takes over the state in a snapshot returned by the other process's
  /// `split`, and the share of the budgets that it grants.
  void restore(const Snapshot& snapshot, Time now);
  /// Adds the counts recorded by another process.
  void merge_records(const Snapshot& snapshot);
  /// Called in the outgoing process. The counts recorded since the split, for `merge_records` of the process
  /// that continues; the rest of the snapshot is empty.
  [[nodiscard]] Snapshot records_since_split() const;
  /// Called when no other process spends any more: rates apply in full; the burst that the other process had
  /// left is not taken over.
  void resume_full_spending(Time now);

  /// Replaces the closures. They must be in order and must not overlap.
  void set_closures(std::vector<ClosureWindow> closures) { config_.closures = std::move(closures); }

  [[nodiscard]] const Config& config() const { return config_; }
  /// Whether `now` lies in a closure window.
  [[nodiscard]] bool in_closure(Time now) const;
  /// The index of a tenant's team; -1 if it has none.
  [[nodiscard]] std::int32_t team_of(std::int32_t tenant) const;
  /// The counts of the open window.
  [[nodiscard]] const LedgerEntry& entry(std::size_t team, std::size_t class_index) const {
    return records_at(team, class_index).open_window;
  }
  /// The counts summed over all windows.
  [[nodiscard]] LedgerEntry total(std::size_t team, std::size_t class_index) const;
  /// The answer times since the start.
  [[nodiscard]] const AnswerTimes& answer_times(std::size_t team, std::size_t class_index) const {
    return records_at(team, class_index).times;
  }
  /// This gateway's share of the team's rates, 0 to 1.
  [[nodiscard]] double gateway_share(std::size_t team) const { return teams_[team].gateway_share; }
  /// The cost of a request of the class in milliseconds of host work, learnt from answers.
  [[nodiscard]] double cost(std::size_t class_index) const { return costs_[class_index]; }
  /// The number of open requests and resource uses in memory.
  [[nodiscard]] std::size_t entry_count() const { return open_requests_.size() + resource_uses_.size(); }

 private:
  /// The ledger of one team and class.
  struct Records {
    LedgerEntry open_window;
    LedgerEntry closed_windows_sum;
    AnswerTimes times;  // since the start
  };
  /// The state of one team and class.
  struct Cell {
    Gcra limiter;
    Rate rate;  // in force in this process; see rate_of
    // Share of the gateway's rate and burst that this process may spend; below 1 during a handover. The
    // gateway's own share of the contract is TeamState::gateway_share.
    double process_share = 1;
    double demand = 0;                 // requests a second that arrive here, decaying
    std::unique_ptr<Records> records;  // created by the first request: most of many teams are idle
  };
  [[nodiscard]] static Records& records_of(Cell& cell) {
    if (!cell.records) cell.records = std::make_unique<Records>();
    return *cell.records;
  }
  /// The records of a team and class; empty ones if there are none.
  [[nodiscard]] const Records& records_at(std::size_t team, std::size_t class_index) const {
    static const Records none;
    const auto& cell = cell_at(team, class_index);
    return cell.records ? *cell.records : none;
  }
  /// The state of one team over all classes.
  struct TeamState {
    double gateway_share = 1;  // this gateway's share of the contract's rates, 0 to 1
    Gcra retry_limiter;        // of attempts after the first, see may_retry
  };
  /// One team's use of one resource. Removed after a period without use.
  struct ResourceUse {
    double demand_within = 0;  // cost requested within the contract, decaying
    double demand_beyond = 0;  // cost requested beyond the contract, decaying
    double limit_within = -1;  // cost a second; below zero: no limit
    double limit_beyond = -1;  // cost a second; below zero: no limit
    Gcra limiter_within;
    Gcra limiter_beyond;
    Time last_used{};
  };
  /// Identifies a team's use of a group's primary, or of its replicas.
  struct ResourceUseKey {
    std::int64_t group;
    std::int32_t team;  // index in Config::teams
    bool primary;
    bool operator==(const ResourceUseKey& other) const {
      return group == other.group && team == other.team && primary == other.primary;
    }
  };
  struct ResourceUseHash {
    std::size_t operator()(const ResourceUseKey& key) const;
  };
  /// The state of one resource, see ResourceLoad.
  struct Resource {
    double served = 0;          // cost of served requests, decaying
    double capacity = -1;       // cost a second allocated within contracts; below zero: no limit
    double lent_capacity = -1;  // cost a second allocated beyond contracts; below zero: no limit
    Time last_contended{};
    int router_refusals = 0;  // admitted requests that the router refused since the last step
  };
  /// An admitted request that has not ended.
  struct OpenRequest {
    double cost;  // charged on admission, milliseconds of host work
    bool beyond;  // beyond the contract
  };
  [[nodiscard]] Cell& cell_at(std::size_t team, std::size_t class_index) {
    return cells_[team * service_.classes.size() + class_index];
  }
  [[nodiscard]] const Cell& cell_at(std::size_t team, std::size_t class_index) const {
    return cells_[team * service_.classes.size() + class_index];
  }
  /// The terms in force; null if the team and class have none.
  [[nodiscard]] const Terms* terms_of(std::size_t team, std::size_t class_index, bool closure) const;
  /// Whether only a primary can serve requests of the class.
  [[nodiscard]] bool needs_primary(std::size_t class_index) const;
  /// Determines whether a closure is on and sets the rates in force accordingly.
  void update_rates(Time now);
  [[nodiscard]] Rate rate_of(std::size_t team, std::size_t class_index, double share) const;
  [[nodiscard]] Rate retry_rate(std::size_t team, handover::HandoverStage stage) const;
  /// The burst at this gateway: the contracted burst times the gateway's share, at least one request.
  [[nodiscard]] double burst_of(std::size_t team, std::size_t class_index) const;
  /// The ledger of a team and class; the rest of the snapshot is not set.
  [[nodiscard]] CellSnapshot cell_counts(std::size_t team, std::size_t class_index) const;
  void allocate_resources(Time now, const std::vector<ResourceLoad>& loads);
  void close_window(Time now, std::vector<Breach>& breaches, std::vector<ClosedWindow>* closed_windows);
  /// A refusal. Clients are asked to return once a request can be admitted, after `wait`, spread by jitter.
  gates::Verdict refuse(gates::Reason reason, Duration wait);

  Config config_;
  ServiceInfo service_;
  std::vector<std::int32_t> team_of_tenant_;  // by tenant index; -1: no team
  std::vector<TeamState> teams_;
  std::vector<Cell> cells_;    // by team and class, see cell_at
  std::vector<double> costs_;  // by class, milliseconds
  std::unordered_map<ResourceUseKey, ResourceUse, ResourceUseHash> resource_uses_;
  std::map<std::pair<std::int64_t, bool>, Resource> resources_;   // by group and whether it is the primary
  std::unordered_map<std::uint64_t, OpenRequest> open_requests_;  // by request id
  handover::HandoverStage stage_ = handover::HandoverStage::single;
  bool closure_ = false;  // the terms around a closure apply
  Time last_step_{};
  Time window_start_{};
  bool started_ = false;  // a step has been made, or the open window was taken over
  pcg32 random_;
};

/// An invalid configuration value.
struct ConfigIssue {
  std::string path;     // JSON pointer below the section `contracts`
  std::string problem;  // message for operators
};
/// The first issue of a configuration, if any.
std::optional<ConfigIssue> find_config_issue(const Config& config, const ServiceInfo& service);

}  // namespace cedarring::contracts
