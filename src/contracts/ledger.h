// The ledger of promises: what each team has asked for in each class and what became of it, by window; and
// who broke which promise where one was broken.
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

/// Answer times from 1 ms to 100 s on a logarithmic axis of 120 bins: a quantile read from it is off by 10%
/// at the most (one bin is a factor of 1.10). Mergeable by adding.
class AnswerTimes {
 public:
  AnswerTimes();
  void add(Duration elapsed, std::uint64_t count = 1);
  AnswerTimes& operator+=(const AnswerTimes& o);
  /// The bins that hold any, and back; a bin that there is not is left out.
  [[nodiscard]] std::vector<std::pair<std::int32_t, std::uint32_t>> filled() const;
  void add(const std::vector<std::pair<std::int32_t, std::uint32_t>>& bins);
  /// The upper edge of the bin that holds the quantile, in milliseconds; 0 without any.
  [[nodiscard]] double quantile(double q) const;
  [[nodiscard]] std::uint64_t count() const;

 private:
  using Axis = boost::histogram::axis::regular<double, boost::histogram::axis::transform::log>;
  using Histogram =
      boost::histogram::histogram<std::tuple<Axis>, boost::histogram::dense_storage<std::uint32_t>>;
  Histogram bins_;
};

/// One window of one team and class. Conservation: asked = in_time + late + refused (of all) + failed + left
/// + open.
struct Entry {
  std::uint64_t asked = 0, within = 0, beyond = 0;  // asked = within + beyond
  std::uint64_t in_time = 0, late = 0, failed = 0, left = 0;
  std::uint64_t refused_contract = 0, refused_contention = 0, refused_levels = 0, refused_router = 0;
  std::uint64_t within_in_time = 0,
                within_ended = 0;  // of what was within the contract: the promise is about these
  double cost = 0, borrowed = 0;   // in milliseconds of a host's work
  [[nodiscard]] std::uint64_t ended() const {
    return in_time + late + failed + left + refused_contract + refused_contention + refused_levels +
           refused_router;
  }
  Entry& operator+=(const Entry& o);
};

/// Whose promise was broken in a window. Never both for the same request: the team's side counts what it
/// asked beyond its contract, the gateway's only what was within.
enum class Side : std::uint8_t { team, gateway };
struct Breach {
  std::size_t team = 0, cls = 0;
  Side side = Side::team;
  Time from{}, to{};
  std::uint64_t counted = 0;     // requests that broke it
  double promised = 0, got = 0;  // the team: units a second; the gateway: share in time
  bool closure = false;
};

/// A window that has closed, with what was booked in it.
struct Closed {
  std::size_t team = 0, cls = 0;
  Time from{}, to{};
  Entry entry;
  double p50_ms = 0, p99_ms = 0;  // of all answers so far
};

}  // namespace cedarring::contracts
