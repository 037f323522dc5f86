// A draw among candidates by weight. No randomness of its own.
#pragma once

#include <utility>
#include <vector>

namespace cedarring::fleet {

/// The candidate that `at` (0 up to, not including, 1) falls on; each has a part in proportion to its weight
/// (0 or more). Null without candidates.
template <class Candidate>
Candidate* weighted_choice(const std::vector<std::pair<Candidate*, double>>& from, double at) {
  double total = 0;
  for (const auto& [c, w] : from) total += w;
  at *= total;
  for (const auto& [c, w] : from)
    if ((at -= w) < 0) return c;
  return from.empty() ? nullptr : from.back().first;
}

}  // namespace cedarring::fleet
