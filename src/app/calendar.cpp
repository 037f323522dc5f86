#include "app/calendar.h"

#include <unistd.h>

#include <algorithm>
#include <cstdlib>
#include <ctime>
#include <optional>

namespace cedarring::app {
namespace {

/// Sets the time zone of the process during its lifetime.
class ScopedTimeZone {
 public:
  explicit ScopedTimeZone(const std::string& zone) {
    if (const char* previous = std::getenv("TZ")) previous_ = previous;
    set(zone);
  }
  ~ScopedTimeZone() {
    if (previous_) {
      set(*previous_);
    } else {
      ::unsetenv("TZ");
      ::tzset();
    }
  }
  ScopedTimeZone(const ScopedTimeZone&) = delete;
  ScopedTimeZone& operator=(const ScopedTimeZone&) = delete;

 private:
  static void set(const std::string& zone) {
    ::setenv("TZ", zone.c_str(), 1);
    ::tzset();
  }
  std::optional<std::string> previous_;
};

}  // namespace

bool has_zone_data(const std::string& zone) {
  // The C library silently treats an unknown zone as UTC.
  if (zone.empty() || zone.front() == '/' || zone.find("..") != std::string::npos) return false;
  const char* folder = std::getenv("TZDIR");
  return zone == "UTC" ||
         ::access((std::string(folder ? folder : "/usr/share/zoneinfo") + "/" + zone).c_str(), R_OK) == 0;
}

std::vector<contracts::ClosureWindow> closures_around(const Calendar& calendar, Time now, int days) {
  const ScopedTimeZone zone(calendar.zone);
  const std::time_t seconds = std::chrono::floor<std::chrono::seconds>(now).count();
  std::tm today{};
  ::localtime_r(&seconds, &today);
  std::vector<contracts::ClosureWindow> windows;
  for (int day = -1; day <= days; ++day)
    for (const auto& closure : calendar.closures) {
      std::tm local{};
      local.tm_year = today.tm_year;
      local.tm_mon = today.tm_mon;
      local.tm_mday = today.tm_mday + day;
      local.tm_hour = closure.hour;
      local.tm_min = closure.minute;
      local.tm_isdst = -1;                             // mktime determines whether daylight saving applies
      const std::time_t unix_time = ::mktime(&local);  // also sets the day of the week
      if (unix_time == -1 || (closure.days >> static_cast<unsigned>(local.tm_wday) & 1U) == 0) continue;
      const Time instant = std::chrono::seconds(unix_time);
      // A trail of at least one microsecond, so that no window is empty.
      windows.push_back({instant - closure.lead, instant + std::max(closure.trail, Duration(1))});
    }
  std::sort(windows.begin(), windows.end(), [](const auto& a, const auto& b) { return a.from < b.from; });
  std::vector<contracts::ClosureWindow> merged;
  for (const auto& window : windows)
    if (!merged.empty() && window.from <= merged.back().to)
      merged.back().to = std::max(merged.back().to, window.to);
    else
      merged.push_back(window);
  return merged;
}

}  // namespace cedarring::app
