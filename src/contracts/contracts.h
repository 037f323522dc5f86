// Contracts between teams, enforced: the gate that keeps each team to its terms, shares out what is scarce,
// and books what became of every request. A state machine: requests and times in, verdicts out.
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

/// What a group's primary, or its replicas together, can bear just now.
struct Scarcity {
  GroupId group;
  bool primary = false;
  bool contended = false;  // its windows are full, or requests wait for it
};

/// What a router's view says of it.
std::vector<Scarcity> scarcity(const std::vector<GroupView>& views);

class Contracts : public gates::Gate {
 public:
  Contracts(Config config, ServiceInfo service);

  gates::Verdict admit(const gates::GateRequest& ask, Time now) override;
  void on_request_end(const gates::GateRequest& ask, const gates::RequestResult& ending, Time now) override;
  /// Whether the team may have a further attempt made for this request; the first is free.
  bool may_retry(const gates::GateRequest& ask, Time now) override;

  /// Shares out what is scarce, moves this gateway's parts and closes windows. To be called every 100 ms.
  /// Windows that close are appended to `closed` where that is wanted.
  void step(Time now, const std::vector<Scarcity>& scarce, std::vector<Breach>& out,
            std::vector<Closed>* closed = nullptr);

  /// Other terms from now on. Buckets and windows of teams that keep their name carry over.
  void reload(Config config, Time now);

  // Two processes of one gateway, see handover/budget_share.h.
  /// Another process begins: its part of what may be spent, and all that has been booked; what is booked here
  /// from now on begins at nothing, and no window closes here.
  Snapshot split(Time now);
  /// This process begins beside another that has not told yet: nothing may be spent.
  void follow(Time now);
  /// It does not tell: this process has its part from here on, and nothing is saved.
  void unheard(Time now);
  /// What that one tells at its split.
  void restore(const Snapshot& told, Time now);
  /// Adds what another has booked.
  void book(const Snapshot& told);
  /// What has been booked since the split, for the one that stays.
  [[nodiscard]] Snapshot booked() const;
  /// No other spends any more: rates are whole, what the other had left is not taken.
  void alone(Time now);

  /// Other closures, in order and apart.
  void set_closures(std::vector<ClosureWindow> closures) { config_.closures = std::move(closures); }

  [[nodiscard]] const Config& config() const { return config_; }
  [[nodiscard]] bool closure(Time now) const;
  /// The team of a tenant; -1: none.
  [[nodiscard]] std::int32_t team_of(std::int32_t tenant) const;
  /// The present window's entry, and all windows together.
  [[nodiscard]] const Entry& entry(std::size_t team, std::size_t cls) const { return booked(team, cls).now; }
  [[nodiscard]] Entry total(std::size_t team, std::size_t cls) const;
  [[nodiscard]] const AnswerTimes& times(std::size_t team, std::size_t cls) const {
    return booked(team, cls).times;
  }
  /// This gateway's part of the team's rates, 0 to 1.
  [[nodiscard]] double part(std::size_t team) const { return teams_[team].part; }
  /// What a request of the class costs the hosts, in milliseconds, as learnt from answers.
  [[nodiscard]] double cost(std::size_t cls) const { return costs_[cls]; }
  [[nodiscard]] std::size_t held() const { return open_.size() + flows_.size(); }

 private:
  struct Book {
    Entry now, before;  // the window that is open; those that are closed, added up
    AnswerTimes times;
  };
  struct Cell {
    Gcra bucket;
    Rate rate;
    double share = 1;            // of both, that this process may spend
    double demand = 0;           // requests a second that arrive here, smoothed
    std::unique_ptr<Book> book;  // from its first request on: of many teams most are idle
  };
  [[nodiscard]] static Book& book(Cell& cell) {
    if (!cell.book) cell.book = std::make_unique<Book>();
    return *cell.book;
  }
  /// What is booked; an empty one where nothing is.
  [[nodiscard]] const Book& booked(std::size_t team, std::size_t cls) const {
    static const Book none;
    const auto& cell = at(team, cls);
    return cell.book ? *cell.book : none;
  }
  struct TeamState {
    double part = 1;
    Gcra retries;
  };
  /// One team's use of one scarce resource; kept while it is used.
  struct Flow {
    double within = 0, beyond = 0;            // cost asked for, fading
    double may_within = -1, may_beyond = -1;  // cost a second; below zero: no limit
    Gcra within_bucket, beyond_bucket;
    Time used{};
  };
  struct FlowKey {
    std::int64_t group;
    std::int32_t team;
    bool primary;
    bool operator==(const FlowKey& o) const {
      return group == o.group && team == o.team && primary == o.primary;
    }
  };
  struct FlowHash {
    std::size_t operator()(const FlowKey& k) const;
  };
  struct Resource {
    double served = 0;     // cost a second that came back served, smoothed
    double capacity = -1;  // cost a second shared out within contracts; below zero: no limit
    double lend = -1;      // cost a second shared out beyond them; below zero: no limit
    Time last_contended{};
    int refused = 0;  // by the router, since the last step
  };
  struct Open {
    double cost;
    bool beyond;
  };
  [[nodiscard]] Cell& at(std::size_t team, std::size_t cls) {
    return cells_[team * service_.classes.size() + cls];
  }
  [[nodiscard]] const Cell& at(std::size_t team, std::size_t cls) const {
    return cells_[team * service_.classes.size() + cls];
  }
  [[nodiscard]] const Terms* terms(std::size_t team, std::size_t cls, bool closure) const;
  [[nodiscard]] bool needs_primary(std::size_t cls) const;
  void set_rates(Time now);
  [[nodiscard]] Rate rate_of(std::size_t team, std::size_t cls, double share) const;
  [[nodiscard]] Rate retry_rate(std::size_t team, handover::HandoverStage stage) const;
  [[nodiscard]] double burst(std::size_t team, std::size_t cls) const;
  [[nodiscard]] CellSnapshot counts(std::size_t team, std::size_t cls) const;
  void share(Time now, const std::vector<Scarcity>& scarce);
  void close_window(Time now, std::vector<Breach>& out, std::vector<Closed>* closed);
  gates::Verdict refuse(gates::Reason why, Duration wait);

  Config config_;
  ServiceInfo service_;
  std::vector<std::int32_t> team_of_;
  std::vector<TeamState> teams_;
  std::vector<Cell> cells_;
  std::vector<double> costs_;
  std::unordered_map<FlowKey, Flow, FlowHash> flows_;
  std::map<std::pair<std::int64_t, bool>, Resource> resources_;
  std::unordered_map<std::uint64_t, Open> open_;  // by request: what it was charged
  handover::HandoverStage stage_ = handover::HandoverStage::single;
  bool closure_ = false;
  Time stepped_{}, window_from_{};
  bool begun_ = false;
  pcg32 random_;
};

/// What cannot be meant: where (a path below the section) and what.
struct ConfigIssue {
  std::string where, what;
};
std::optional<ConfigIssue> find_config_issue(const Config& config, const ServiceInfo& service);

}  // namespace cedarring::contracts
