// Weighted max-min fairness (Bertsekas and Gallager, Data Networks, 6.5.2): no claim receives more than its
// demand, and capacity that one claim leaves unused is divided among the others by weight.
#pragma once

#include <algorithm>
#include <cstddef>
#include <numeric>
#include <vector>

namespace cedarring::contracts {

/// One participant in a division of capacity. Demand, share and capacity use the same unit.
struct Claim {
  double demand = 0;  // zero or more
  double weight = 1;  // above zero
  double share = 0;   // result: the capacity allocated to this claim
};

/// Sets the share of each claim to its weighted max-min fair part of `capacity` (zero or more). Returns the
/// capacity that no claim demands.
inline double allocate_max_min(std::vector<Claim>& claims, double capacity) {
  std::vector<std::size_t> order(claims.size());
  std::iota(order.begin(), order.end(), std::size_t{0});
  // In order of demand over weight: each satisfied claim frees its surplus for the claims after it.
  std::sort(order.begin(), order.end(), [&](std::size_t a, std::size_t b) {
    return claims[a].demand * claims[b].weight < claims[b].demand * claims[a].weight;
  });
  double remaining_weight = 0;
  for (const auto& claim : claims) remaining_weight += claim.weight;
  for (const auto index : order) {
    auto& claim = claims[index];
    claim.share =
        remaining_weight > 0 ? std::min(claim.demand, capacity * claim.weight / remaining_weight) : 0;
    capacity = std::max(0.0, capacity - claim.share);
    remaining_weight -= claim.weight;
  }
  return capacity;
}

}  // namespace cedarring::contracts
