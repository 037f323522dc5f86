// Validation of settings and comparison of request classes.
#include <stdexcept>

#include "cedarring/router.h"

namespace cedarring {

bool operator==(const RequestClass& a, const RequestClass& b) {
  return a.name == b.name && a.latency_target == b.latency_target && a.deadline == b.deadline &&
         a.value == b.value && a.late_value == b.late_value && a.idempotency == b.idempotency &&
         a.dedup_scope == b.dedup_scope && a.dedup_window == b.dedup_window && a.freshness == b.freshness &&
         a.staleness_bound == b.staleness_bound && a.max_attempts == b.max_attempts;
}

void check(const Settings& settings) {
  const auto require = [](bool valid, const char* key) {
    if (!valid) throw std::invalid_argument(key);
  };
  require(!settings.classes.empty(), "classes");
  require(settings.instance_count >= 1 && settings.instance_index < settings.instance_count, "position");
  require(settings.max_attempts >= 1, "send_cap");
  require(settings.cold_capacity_share > 0 && settings.cold_capacity_share <= 1, "cold_from");
  require(settings.warm_up_duration >= Duration::zero(), "cold");
  require(settings.overload_multiple > 0, "tip_multiple");
  require(settings.overload_window > Duration::zero(), "tip_after");
  require(settings.quantum >= Duration::zero(), "quantum");
  require(settings.max_poll_interval > Duration::zero(), "ask_within");
  for (const auto& c : settings.classes) {
    require(c.latency_target > Duration::zero() && c.latency_target <= c.deadline, "aim");
    require(c.value >= 0 && c.late_value >= 0, "worth");
    require(c.freshness != Freshness::bounded || c.staleness_bound > Duration::zero(), "class_bound");
    require(c.idempotency != Idempotency::keyed || c.dedup_window > Duration::zero(), "window");
  }
}

}  // namespace cedarring
