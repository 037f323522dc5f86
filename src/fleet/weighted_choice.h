// Weighted choice among candidates by a random number that the caller draws.
#pragma once

#include <utility>
#include <vector>

namespace cedarring::fleet {

/// Divides the range from 0 up to, not including, 1 among the candidates in their order, each with a part in
/// proportion to its weight (0 or more), and returns the candidate whose part contains `random_draw`. Null
/// without candidates; the last one if all weights are 0.
template <class Candidate>
Candidate* weighted_choice(const std::vector<std::pair<Candidate*, double>>& candidates, double random_draw) {
  double total = 0;
  for (const auto& [candidate, weight] : candidates) total += weight;
  double remaining = random_draw * total;
  for (const auto& [candidate, weight] : candidates) {
    remaining -= weight;
    if (remaining < 0) return candidate;
  }
  return candidates.empty() ? nullptr : candidates.back().first;
}

}  // namespace cedarring::fleet
