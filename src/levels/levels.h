// Levels of reduced service: two axes, pressure (of the gateway) and faults (of each group), never mixed into
// one number. For a request the stricter of the two counts. The gate of requests, and the state machine
// behind it.
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

enum class Mode : std::uint8_t { off, watch, on };  // watch: levels change and are recorded, nothing is shed

struct Config {
  Mode mode = Mode::off;
  LadderConfig pressure, faults;
  Duration takeover_hint{5'000'000};  // until a take-over has been seen
  Duration memory{2'000'000};         // of the readings of classes
  Duration beat{100'000};             // between evaluations
  std::size_t groups_most = 1024;     // groups watched; the others are on the normal level
};

using gates::ServiceInfo;

/// What is known of a group at an evaluation.
struct GroupState {
  GroupId group;
  bool primary = true;  // one is known that can be used
  double out = 0, lagging = 0;
};
/// What is known of the gateway at an evaluation. Readings that the caller cannot give are left out.
struct GatewayState {
  struct Value {
    Reading reading;
    double value;
    Time at;
  };
  std::vector<Value> values;
  std::vector<GroupState> groups;  // by id
  Time groups_at{};
};

/// Fills in what a router's view tells: the groups, and the readings that are sums over them.
void tell_views(const std::vector<GroupView>& views, Time now, GatewayState& state);

/// A change of level, and on which axis: a group's, or the gateway's pressure where there is none.
struct AxisChange {
  std::optional<GroupId> group;
  Change change;
};

struct Counters {
  std::uint64_t asked = 0, shed = 0, refused_without_primary = 0;
};

class Levels : public gates::Gate {
 public:
  Levels(Config config, ServiceInfo service);

  gates::Verdict admit(const gates::GateRequest& ask, Time now) override;
  void on_request_end(const gates::GateRequest& ask, const gates::RequestResult& ending, Time now) override;

  /// Takes in what is known and evaluates both axes. To be called every `beat`.
  void step(Time now, const GatewayState& state, std::vector<AxisChange>& out);

  /// See Ladder. Axis: a group's, or pressure. False: no such level, group or end.
  bool pin(std::optional<GroupId> group, const std::string& level, Time until, Time now);
  bool unpin(std::optional<GroupId> group);
  void reload(Config config, Time now, std::vector<AxisChange>& out);

  /// For the process that follows, and taken over by it.
  [[nodiscard]] Snapshot snapshot(Time now) const;
  void restore(const Snapshot& told, Time now);

  [[nodiscard]] const Config& config() const { return config_; }
  [[nodiscard]] const Ladder& pressure() const { return pressure_; }
  /// What a level sheds of one class, with or beyond the budget, with or without a primary.
  struct Cell {
    float share = 0;
    bool only_hopeless = false;
  };
  struct Group {
    Ladder faults;
    Takeover takeover;
    bool primary = true;
    Time lost{};        // when its primary was, while it is
    bool back = false;  // it has been lost and is back
    Time found{};       // since when
    Sample primary_lost, out, lagging;
    std::vector<Cell> table;
  };
  [[nodiscard]] const std::map<GroupId, Group>& groups() const { return groups_; }
  [[nodiscard]] const std::vector<Counters>& counters() const { return counters_; }
  /// What the present levels change besides: the stricter of all axes.
  [[nodiscard]] Changes changes() const;
  /// What a reading is now, as the ladder sees it.
  [[nodiscard]] Sample sample(const Condition& c, const Group* group, Time now);

 private:
  struct TenantShed {
    std::int32_t cls, tenant;  // cls -1: every class
    bool only_beyond_budget;
    float share;
  };
  void compile(const Level& level, std::vector<Cell>& table, std::vector<TenantShed>* tenants) const;
  void compile_all();
  Group* watched(GroupId id);
  [[nodiscard]] std::size_t cell(std::int32_t cls, bool beyond, bool lost) const {
    return static_cast<std::size_t>(cls) * 4 + (beyond ? 2 : 0) + (lost ? 1 : 0);
  }
  [[nodiscard]] double draw() { return static_cast<double>(random_()) * 0x1p-32; }
  [[nodiscard]] double place(const gates::GateRequest& ask) const;

  Config config_;
  ServiceInfo service_;
  Ladder pressure_;
  std::map<GroupId, Group> groups_;
  Meter meter_;
  std::vector<Sample> samples_;  // of the gateway, by reading
  std::vector<Cell> table_;      // of the pressure level
  std::vector<TenantShed> tenants_;
  std::vector<Counters> counters_;  // by class
  double asks_ = 0, retries_ = 0;   // since the last evaluation, and faded before
  std::uint64_t episode_ = 1;       // of pressure: which callers are shed is drawn anew in each
  pcg32 random_;
};

/// See find_config_issue in ladder.h; the path begins with the axis. Also that what matters most is given up
/// last.
std::optional<ConfigIssue> find_config_issue(const Config& config, const ServiceInfo& service);

/// The ladder that is used where the file names none.
Config default_config(const ServiceInfo& service);

}  // namespace cedarring::levels
