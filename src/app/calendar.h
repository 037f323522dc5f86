// Converts the times of day of gate closures, given in the local time of an IANA zone, to points in time.
// Uses the zone data of the C library.
#pragma once

#include <string>
#include <vector>

#include "contracts/terms.h"

namespace cedarring::app {

/// A closure on every day, or on some days of the week.
struct DailyClosure {
  int hour = 0;
  int minute = 0;
  unsigned days = 0x7f;  // bit 0: Sunday, to bit 6: Saturday; default: every day
  Duration lead{};       // how long before the closure its terms begin to apply
  Duration trail{};      // how long after the closure its terms still apply
};
/// The closures of one time zone.
struct Calendar {
  std::string zone = "UTC";  // IANA name
  std::vector<DailyClosure> closures;
};

/// Whether the machine has data for the zone.
bool has_zone_data(const std::string& zone);

/// The closure windows from the day before `now` to `days` days after it, in order; windows that touch are
/// merged. A local time that occurs twice counts once; a local time that daylight saving skips is moved as by
/// mktime. Not thread-safe: sets the time zone of the process while it runs.
std::vector<contracts::ClosureWindow> closures_around(const Calendar& calendar, Time now, int days);

}  // namespace cedarring::app
