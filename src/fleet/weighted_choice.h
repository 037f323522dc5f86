// Weighted choice among candidates. Has no randomness of its own.
#pragma once

#include <utility>
#include <vector>

namespace cedarring::fleet {

/// Returns the candidate at `position` (0 up to, not including, 1) when each one takes a share in proportion
/// to its weight (0 or more). Null without candidates.
template <class Candidate>
Candidate* weighted_choice(const std::vector<std::pair<Candidate*, double>>& candidates, double position) {
  double total = 0;
  for (const auto& [candidate, weight] : candidates) total += weight;
  double remaining = position * total;
  for (const auto& [candidate, weight] : candidates) {
    remaining -= weight;
    if (remaining < 0) return candidate;
  }
  return candidates.empty() ? nullptr : candidates.back().first;
}

}  // namespace cedarring::fleet
