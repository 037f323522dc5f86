// Weighted max-min fairness (Bertsekas and Gallager, Data Networks, 6.5.2): nobody gets more than it asks
// for, and what one leaves is shared among the others by weight.
#pragma once

#include <algorithm>
#include <cstddef>
#include <numeric>
#include <vector>

namespace cedarring::contracts {

struct Claim {
  double demand = 0;
  double weight = 1;  // above zero
  double share = 0;   // what it gets
};

/// Fills in the shares of `capacity`; returns what is left. Demands and capacity of zero or more, in one
/// unit.
inline double share_out(std::vector<Claim>& claims, double capacity) {
  std::vector<std::size_t> order(claims.size());
  std::iota(order.begin(), order.end(), std::size_t{0});
  // By demand over weight: whoever is satisfied first frees its rest for those behind.
  std::sort(order.begin(), order.end(), [&](std::size_t a, std::size_t b) {
    return claims[a].demand * claims[b].weight < claims[b].demand * claims[a].weight;
  });
  double weights = 0;
  for (const auto& c : claims) weights += c.weight;
  for (const auto i : order) {
    auto& c = claims[i];
    c.share = weights > 0 ? std::min(c.demand, capacity * c.weight / weights) : 0;
    capacity = std::max(0.0, capacity - c.share);
    weights -= c.weight;
  }
  return capacity;
}

}  // namespace cedarring::contracts
