// Tells settings that contradict themselves. Decides nothing.
#include <stdexcept>

#include "cedarring/router.h"

namespace cedarring {

bool operator==(const RequestClass& a, const RequestClass& b) {
  return a.name == b.name && a.latency_target == b.latency_target && a.deadline == b.deadline &&
         a.value == b.value && a.late_value == b.late_value && a.idempotency == b.idempotency &&
         a.dedup_scope == b.dedup_scope && a.dedup_window == b.dedup_window && a.freshness == b.freshness &&
         a.staleness_bound == b.staleness_bound && a.max_attempts == b.max_attempts;
}

void check(const Settings& s) {
  const auto demand = [](bool ok, const char* key) {
    if (!ok) throw std::invalid_argument(key);
  };
  demand(!s.classes.empty(), "classes");
  demand(s.instance_count >= 1 && s.instance_index < s.instance_count, "position");
  demand(s.max_attempts >= 1, "send_cap");
  demand(s.cold_capacity_share > 0 && s.cold_capacity_share <= 1, "cold_from");
  demand(s.warm_up_duration >= Duration::zero(), "cold");
  demand(s.overload_multiple > 0, "tip_multiple");
  demand(s.overload_window > Duration::zero(), "tip_after");
  demand(s.quantum >= Duration::zero(), "quantum");
  demand(s.max_poll_interval > Duration::zero(), "ask_within");
  for (const auto& c : s.classes) {
    demand(c.latency_target > Duration::zero() && c.latency_target <= c.deadline, "aim");
    demand(c.value >= 0 && c.late_value >= 0, "worth");
    demand(c.freshness != Freshness::bounded || c.staleness_bound > Duration::zero(), "class_bound");
    demand(c.idempotency != Idempotency::keyed || c.dedup_window > Duration::zero(), "window");
  }
}

}  // namespace cedarring
