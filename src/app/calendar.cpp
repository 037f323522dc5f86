#include "app/calendar.h"

#include <unistd.h>

#include <algorithm>
#include <cstdlib>
#include <ctime>
#include <optional>

namespace cedarring::app {
namespace {

/// The process's zone, set for as long as this lives.
class Zone {
 public:
  explicit Zone(const std::string& zone) {
    if (const char* before = std::getenv("TZ")) before_ = before;
    set(zone);
  }
  ~Zone() {
    if (before_) {
      set(*before_);
    } else {
      ::unsetenv("TZ");
      ::tzset();
    }
  }
  Zone(const Zone&) = delete;
  Zone& operator=(const Zone&) = delete;

 private:
  static void set(const std::string& zone) {
    ::setenv("TZ", zone.c_str(), 1);
    ::tzset();
  }
  std::optional<std::string> before_;
};

}  // namespace

bool zone_known(const std::string& zone) {
  // The C library takes a zone that it does not know for UTC, without a word.
  if (zone.empty() || zone.front() == '/' || zone.find("..") != std::string::npos) return false;
  const char* folder = std::getenv("TZDIR");
  return zone == "UTC" ||
         ::access((std::string(folder ? folder : "/usr/share/zoneinfo") + "/" + zone).c_str(), R_OK) == 0;
}

std::vector<contracts::ClosureWindow> closures_around(const Calendar& calendar, Time now, int days) {
  const Zone zone(calendar.zone);
  const std::time_t seconds = std::chrono::floor<std::chrono::seconds>(now).count();
  std::tm today{};
  ::localtime_r(&seconds, &today);
  std::vector<contracts::ClosureWindow> all;
  for (int day = -1; day <= days; ++day)
    for (const auto& c : calendar.closures) {
      std::tm at{};
      at.tm_year = today.tm_year, at.tm_mon = today.tm_mon, at.tm_mday = today.tm_mday + day;
      at.tm_hour = c.hour, at.tm_min = c.minute;
      at.tm_isdst = -1;
      const std::time_t when = ::mktime(&at);  // also sets the day of the week
      if (when == -1 || (c.days >> static_cast<unsigned>(at.tm_wday) & 1U) == 0) continue;
      const Time instant = std::chrono::seconds(when);
      all.push_back({instant - c.lead, instant + std::max(c.trail, Duration(1))});
    }
  std::sort(all.begin(), all.end(), [](const auto& a, const auto& b) { return a.from < b.from; });
  std::vector<contracts::ClosureWindow> merged;
  for (const auto& w : all)
    if (!merged.empty() && w.from <= merged.back().to)
      merged.back().to = std::max(merged.back().to, w.to);
    else
      merged.push_back(w);
  return merged;
}

}  // namespace cedarring::app
