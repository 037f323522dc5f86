// The ledger of contracts: per window, how many requests each team sent in each class and how they ended, and
// which side, team or gateway, breached the contract.
#pragma once

#include <array>
#include <boost/histogram.hpp>
#include <cstdint>
#include <string>
#include <utility>
#include <vector>

#include "contracts/terms.h"
#include "gates/gate.h"

namespace cedarring::contracts {

/// A histogram of answer times from 1 ms to 100 s on a logarithmic axis of 120 bins. One bin is a factor of
/// 1.10, so a quantile is off by at most 10%. Histograms merge by addition.
class AnswerTimes {
 public:
  AnswerTimes();
  /// Adds `count` answers. Times outside the axis count in the first or the last bin.
  void add(Duration elapsed, std::uint64_t count = 1);
  AnswerTimes& operator+=(const AnswerTimes& other);
  /// The bins that are not empty, as pairs of index and count.
  [[nodiscard]] std::vector<std::pair<std::int32_t, std::uint32_t>> filled() const;
  /// Adds bins as returned by `filled`. An index outside the axis is ignored.
  void add(const std::vector<std::pair<std::int32_t, std::uint32_t>>& bins);
  /// The upper edge of the bin that holds the quantile (0 to 1), in milliseconds; 0 for an empty histogram.
  [[nodiscard]] double quantile(double quantile) const;
  /// The number of answers in all bins.
  [[nodiscard]] std::uint64_t count() const;

 private:
  using Axis = boost::histogram::axis::regular<double, boost::histogram::axis::transform::log>;
  using Histogram =
      boost::histogram::histogram<std::tuple<Axis>, boost::histogram::dense_storage<std::uint32_t>>;
  Histogram bins_;
};

/// Counts of one team and class in one window. Invariants: `asked` is the sum of `within` and `beyond`, and
/// also of `in_time`, `late`, `failed`, `abandoned`, the four refusal counts and the requests still open.
struct LedgerEntry {
  std::uint64_t asked = 0;    // requests that arrived
  std::uint64_t within = 0;   // within the contract
  std::uint64_t beyond = 0;   // beyond the contract
  std::uint64_t in_time = 0;  // answered within the latency target
  std::uint64_t late = 0;     // answered after the latency target
  std::uint64_t failed = 0;
  std::uint64_t abandoned = 0;           // the client left
  std::uint64_t refused_contract = 0;    // by this gate, as beyond the contract
  std::uint64_t refused_contention = 0;  // by this gate, within the contract, for want of capacity
  std::uint64_t refused_levels = 0;      // by the levels gate
  std::uint64_t refused_router = 0;      // by the router or any other component
  // Requests that the gateway's promise covers (see Terms::in_time_share): answered in time, and ended.
  std::uint64_t within_in_time = 0;
  std::uint64_t within_ended = 0;
  double cost = 0;      // milliseconds of host work
  double borrowed = 0;  // the part of `cost` for requests beyond the contract
  /// The number of requests that have ended in any way.
  [[nodiscard]] std::uint64_t ended() const {
    return in_time + late + failed + abandoned + refused_contract + refused_contention + refused_levels +
           refused_router;
  }
  LedgerEntry& operator+=(const LedgerEntry& other);
};

/// The side that breached a contract in a window. No request counts for both: the team's side counts requests
/// beyond the contract, the gateway's side only requests within it.
enum class Side : std::uint8_t { team, gateway };

/// A contract that was breached in one window.
struct Breach {
  std::size_t team = 0;         // index in Config::teams
  std::size_t class_index = 0;  // index in ServiceInfo::classes
  Side side = Side::team;
  Time from{};                      // start of the window
  Time to{};                        // end of the window
  std::uint64_t request_count = 0;  // requests that caused the breach
  double promised = 0;              // for the team: requests a second; for the gateway: share in time
  double measured = 0;              // in the unit of `promised`
  bool closure = false;             // the terms around a gate closure applied
};

/// A window that has closed, with its counts.
struct ClosedWindow {
  std::size_t team = 0;         // index in Config::teams
  std::size_t class_index = 0;  // index in ServiceInfo::classes
  Time from{};
  Time to{};
  LedgerEntry entry;
  double p50_ms = 0;  // median time of all answers since the start, not only of this window
  double p99_ms = 0;  // 99th percentile of the same answers
};

}  // namespace cedarring::contracts
