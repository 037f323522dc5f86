// Levels of reduced service (graceful degradation) on two independent axes: pressure, one ladder for the
// gateway, and faults, one ladder for each replica group. A request is subject to the stricter of the two.
// `Levels` is the gate that sheds requests and drives the ladders behind it.
#pragma once

#include <map>
#include <pcg_random.hpp>
#include <string>
#include <vector>

#include "gates/gate.h"
#include "levels/ladder.h"
#include "levels/meter.h"
#include "levels/takeover.h"

namespace cedarring::levels {

/// `watch`: ladders are evaluated and changes recorded, but nothing is shed or adjusted. `on`: levels also
/// take effect. `off`: a reload has removed the levels; the ladders of the earlier configuration are still
/// evaluated and recorded, as with `watch`.
enum class Mode : std::uint8_t { off, watch, on };

/// The levels of one front end.
struct Config {
  Mode mode = Mode::off;
  LadderConfig pressure;
  LadderConfig faults;
  Duration initial_takeover_estimate{5'000'000};  // 5 s: estimate until a takeover has been seen
  Duration reading_decay_time{2'000'000};         // 2 s: time constant of the smoothed class readings
  Duration evaluation_interval{100'000};          // 100 ms
  std::size_t max_groups = 1024;                  // groups tracked; further groups stay on the normal level
};

using gates::ServiceInfo;

/// State of a replica group at an evaluation: the parts of a router's GroupView that the fault readings use,
/// as shares (0 to 1) instead of counts of hosts.
struct GroupState {
  GroupId group;
  bool has_primary = true;  // a usable primary is known
  double unavailable_share = 0;
  double lagging_share = 0;
};

/// State of the gateway at an evaluation. Readings that the caller cannot provide are left out.
struct GatewayState {
  /// A reading of the gateway and the time at which it was taken.
  struct Value {
    Reading reading;
    double value;
    Time at;
  };
  std::vector<Value> values;
  std::vector<GroupState> groups;  // sorted by id
  Time groups_at{};                // when the state of the groups was taken
};

/// Adds the groups of a router's view to the state, and the gateway readings that are sums over them.
void add_group_views(const std::vector<GroupView>& views, Time now, GatewayState& state);

/// A level change and its axis: the faults of `group`, or the gateway's pressure if absent.
struct AxisChange {
  std::optional<GroupId> group;
  LevelChange change;
};

/// Requests of one class since the start, including those counted by previous processes.
struct Counters {
  std::uint64_t requests = 0;
  std::uint64_t shed = 0;                     // refused by a level for any reason but a missing primary
  std::uint64_t refused_without_primary = 0;  // refused because the group has no primary; not in `shed`
};

/// The gate of both axes. Sheds requests by precomputed tables; `step` evaluates the ladders.
class Levels : public gates::Gate {
 public:
  Levels(Config config, ServiceInfo service);

  gates::Verdict admit(const gates::GateRequest& request, Time now) override;
  void on_request_end(const gates::GateRequest& request, const gates::RequestResult& result,
                      Time now) override;

  /// Updates the readings and evaluates both axes. To be called every `evaluation_interval`.
  void step(Time now, const GatewayState& state, std::vector<AxisChange>& out);

  /// See Ladder::pin. Axis: the faults of `group`, or pressure if absent. Also false for an unknown group.
  bool pin(std::optional<GroupId> group, const std::string& level, Time until, Time now);
  /// See Ladder::unpin. False for an unknown group.
  bool unpin(std::optional<GroupId> group);
  /// Replaces the configuration; see Ladder::reload.
  void reload(Config config, Time now, std::vector<AxisChange>& out);

  /// The state for a successor process.
  [[nodiscard]] Snapshot snapshot(Time now) const;
  /// Adopts the state of a previous process.
  void restore(const Snapshot& snapshot, Time now);

  [[nodiscard]] const Config& config() const { return config_; }
  [[nodiscard]] const Ladder& pressure() const { return pressure_; }

  /// The part of a class that a level sheds, for one combination of budget and primary state.
  struct ShedEntry {
    float share = 0;                           // of the callers, 0 to 1
    bool only_past_takeover_deadline = false;  // see ShedRule
  };
  /// A tracked replica group: its ladder of the faults axis, and its state at the last evaluation.
  struct Group {
    Ladder faults;
    TakeoverEstimator takeover;
    bool has_primary = true;
    Time primary_lost_at{};               // valid while there is no primary
    bool primary_has_returned = false;    // a primary was lost and has come back
    Time primary_returned_at{};           // valid if primary_has_returned
    Sample primary_lost_sample{};         // Reading::primary_lost
    Sample unavailable{};                 // Reading::group_out
    Sample lagging{};                     // Reading::group_lagging
    std::vector<ShedEntry> shed_table{};  // of the current level of `faults`, by entry_index
  };
  /// The tracked groups.
  [[nodiscard]] const std::map<GroupId, Group>& groups() const { return groups_; }
  /// By class index.
  [[nodiscard]] const std::vector<Counters>& counters() const { return counters_; }
  /// The adjustments of the current levels of all axes: the lowest of each factor, except that the highest
  /// probe rate applies where no level lowers it. Neutral unless the mode is `on`.
  [[nodiscard]] Adjustments adjustments() const;
  /// The sample that is compared with the condition's bound. `group` must be set for readings of a group and
  /// is null for all others.
  [[nodiscard]] Sample sample(const Condition& condition, const Group* group, Time now);

 private:
  /// A shed rule of the current pressure level for one tenant, see ShedRule.
  struct TenantShed {
    std::int32_t class_index;  // -1: every class
    std::int32_t tenant;
    bool only_beyond_budget;
    float share;  // of the tenant's callers, 0 to 1
  };
  void compile_shed_rules(const Level& level, std::vector<ShedEntry>& table,
                          std::vector<TenantShed>* tenant_sheds) const;
  void compile_all_shed_rules();
  Group* find_or_add_group(GroupId id);
  // A shed table has one entry for each combination of class, budget and primary state.
  static constexpr std::size_t shed_entries_per_class = 4;
  [[nodiscard]] std::size_t entry_index(std::int32_t class_index, bool beyond_budget,
                                        bool without_primary) const {
    return static_cast<std::size_t>(class_index) * shed_entries_per_class + (beyond_budget ? 2 : 0) +
           (without_primary ? 1 : 0);
  }
  /// Uniform in [0, 1).
  [[nodiscard]] double random_fraction() { return static_cast<double>(random_()) * 0x1p-32; }
  [[nodiscard]] double caller_rank(const gates::GateRequest& request) const;

  Config config_;
  ServiceInfo service_;
  Ladder pressure_;
  std::map<GroupId, Group> groups_;
  ClassMeter meter_;
  std::vector<Sample> samples_;        // of the gateway, by reading
  std::vector<ShedEntry> shed_table_;  // of the current pressure level, by entry_index
  std::vector<TenantShed> tenant_sheds_;
  std::vector<Counters> counters_;  // by class
  double recent_requests_ = 0;      // since the last evaluation, plus earlier ones with decay
  double recent_retries_ = 0;       // of these, requests that clients marked as retries
  // Number of the pressure episode, which begins when the ladder leaves the normal level; seeds the choice of
  // callers to shed.
  std::uint64_t episode_ = 1;
  pcg32 random_;
};

/// The first error of a configuration; see find_config_issue in ladder.h. The path begins with the axis. Also
/// checks that writes within their budget are the last requests that pressure sheds.
std::optional<ConfigIssue> find_config_issue(const Config& config, const ServiceInfo& service);

/// The configuration that applies where the file names no ladder.
Config default_config(const ServiceInfo& service);

}  // namespace cedarring::levels
