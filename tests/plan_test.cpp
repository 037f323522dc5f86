// The planner: small cases by hand and against brute force, and detection of wrong certificates.
#include "tools/plan/plan.h"

#include <gtest/gtest.h>
#include <rapidcheck.h>

#include <cmath>
#include <functional>

namespace cedarring::test {
namespace {

using namespace plan;

/// The rate of one team for the only class and period; `value` is its penalty for a reduction.
ContractedRate contracted_rate(const std::string& team, double rate, double cost_ms, bool primary,
                               double value = 1) {
  return {team, "class", "usual", rate, cost_ms, primary, value};
}

/// The penalty of the cheapest reductions, found by trying every vertex of the feasible region: with n
/// variables, each choice of n constraints that hold with equality.
double brute_force(const std::vector<ContractedRate>& rates, const std::vector<CapacityLimit>& limits) {
  constexpr double rounding_tolerance = 1e-7;
  constexpr double min_pivot = 1e-12;  // smaller: the equations have no single solution
  const std::size_t n = rates.size();
  std::vector<std::pair<std::vector<double>, double>> equations;  // coefficients and right side
  for (const auto& limit : limits) {
    double usage = 0;
    for (std::size_t i = 0; i < n; ++i) usage += limit.coefficients[i] * rates[i].rate;
    equations.emplace_back(limit.coefficients, usage - limit.cores);
  }
  for (std::size_t i = 0; i < n; ++i)
    for (const double bound : {0.0, rates[i].rate}) {
      std::vector<double> unit(n, 0);
      unit[i] = 1;
      equations.emplace_back(unit, bound);
    }
  double cheapest = INFINITY;
  std::vector<std::size_t> chosen;  // indexes in `equations`
  const std::function<void(std::size_t)> choose = [&](std::size_t from) {
    if (chosen.size() == n) {
      std::vector<std::vector<double>> matrix;
      for (const auto equation : chosen) {
        matrix.push_back(equations[equation].first);
        matrix.back().push_back(equations[equation].second);
      }
      for (std::size_t c = 0; c < n; ++c) {  // Gauss-Jordan elimination
        std::size_t pivot = c;
        for (std::size_t r = c; r < n; ++r)
          if (std::abs(matrix[r][c]) > std::abs(matrix[pivot][c])) pivot = r;
        if (std::abs(matrix[pivot][c]) < min_pivot) return;
        std::swap(matrix[pivot], matrix[c]);
        for (std::size_t r = 0; r < n; ++r) {
          if (r == c) continue;
          const double factor = matrix[r][c] / matrix[c][c];
          for (std::size_t k = c; k <= n; ++k) matrix[r][k] -= factor * matrix[c][k];
        }
      }
      double penalty = 0;
      for (std::size_t i = 0; i < n; ++i) {
        const double reduction = matrix[i][n] / matrix[i][i];
        if (reduction < -rounding_tolerance || reduction > rates[i].rate + rounding_tolerance) return;
        matrix[i][n] = reduction;
        penalty += reduction * rates[i].reduction_penalty;
      }
      for (const auto& limit : limits) {
        double usage = 0;
        for (std::size_t i = 0; i < n; ++i) usage += limit.coefficients[i] * (rates[i].rate - matrix[i][n]);
        if (usage > limit.cores + rounding_tolerance) return;
      }
      cheapest = std::min(cheapest, penalty);
      return;
    }
    for (std::size_t k = from; k < equations.size(); ++k) {
      chosen.push_back(k);
      choose(k + 1);
      chosen.pop_back();
    }
  };
  choose(0);
  return cheapest;
}

TEST(Plan, SmallCasesAgreeWithBruteForceAndHaveValidCertificates) {
  EXPECT_TRUE(rc::check(
      "against every vertex",
      [] {
        std::vector<ContractedRate> rates;
        for (int i = 0; i < 3; ++i)
          rates.push_back(contracted_rate("t" + std::to_string(i), *rc::gen::inRange(0, 60),
                                          *rc::gen::inRange(1, 100), *rc::gen::arbitrary<bool>(),
                                          *rc::gen::inRange(1, 6)));
        Fleet fleet;
        fleet.survive_replica_loss = false;
        fleet.groups = {
            {"1",
             1,
             {static_cast<double>(*rc::gen::inRange(1, 4)), static_cast<double>(*rc::gen::inRange(1, 4))},
             {"a", "b"}}};
        const auto limits = capacity_limits(rates, fleet);
        const auto solution = solve(rates, limits);
        RC_ASSERT(solution.certificate_error.empty());
        RC_ASSERT(std::abs(solution.total_penalty - brute_force(rates, limits)) < 1e-4);
        RC_ASSERT(solution.fits == (solution.total_penalty <= 1e-6));
      }));
}

TEST(Plan, TeamsThatFitAloneButOverloadAPrimaryTogetherAreReported) {
  Fleet fleet;
  fleet.max_utilization = 1;
  fleet.survive_replica_loss = false;
  fleet.groups = {{"east", 1, {3, 3, 3}, {"a", "b", "c"}}};
  // 20 bids a second of 90 ms are 1.8 cores each; the primary has 3.
  const std::vector<ContractedRate> rates = {contracted_rate("desks", 20, 90, true, 3),
                                             contracted_rate("partner", 20, 90, true, 1)};
  const auto limits = capacity_limits(rates, fleet);
  const auto solution = solve(rates, limits);
  EXPECT_FALSE(solution.fits);
  EXPECT_NEAR(solution.reductions[0], 0, 1e-6);  // only the rate of lower value is reduced
  EXPECT_NEAR(solution.reductions[1], 0.6 / 0.09, 1e-6);
  const auto conflicts = find_conflicts(rates, limits, solution);
  ASSERT_EQ(conflicts.size(), 1U);
  EXPECT_NE(conflicts[0].find("desks, partner: each fits alone"), std::string::npos);
  EXPECT_NE(conflicts[0].find("usual, group east, primary"), std::string::npos);
  for (const auto& rate : rates) EXPECT_TRUE(solve({rate}, capacity_limits({rate}, fleet)).fits);
}

TEST(Plan, PlannedFailuresRemoveTheCapacityOfTheirHosts) {
  Fleet fleet;
  fleet.max_utilization = 1;
  fleet.groups = {{"g", 1, {2, 4, 2}, {"a", "b", "b"}}};
  const std::vector<ContractedRate> rates = {contracted_rate("t", 70, 100, false)};  // 7 cores
  const auto solve_with = [&](bool host_loss, bool room_loss) {
    fleet.survive_replica_loss = host_loss;
    fleet.survive_room_loss = room_loss;
    return solve(rates, capacity_limits(rates, fleet));
  };
  EXPECT_TRUE(solve_with(false, false).fits);                    // 8 cores are available
  EXPECT_NEAR(solve_with(true, false).total_penalty, 30, 1e-6);  // without the largest replica: 4
  EXPECT_NEAR(solve_with(false, true).total_penalty, 50, 1e-6);  // without room b: 2
}

TEST(Plan, AWrongCertificateIsDetected) {
  Fleet fleet;
  fleet.max_utilization = 1;
  fleet.survive_replica_loss = false;
  fleet.groups = {{"g", 1, {1}, {"a"}}};
  const std::vector<ContractedRate> rates = {contracted_rate("a", 20, 100, true, 2),
                                             contracted_rate("b", 20, 100, true, 1)};
  const auto limits = capacity_limits(rates, fleet);
  const auto good = solve(rates, limits);
  ASSERT_EQ(check_certificate(rates, limits, good), "");
  auto bad = good;
  bad.reductions[1] -= 1;
  EXPECT_NE(check_certificate(rates, limits, bad), "");  // over the limit
  bad = good;
  bad.reductions[0] += 1;
  EXPECT_NE(check_certificate(rates, limits, bad), "");  // not the cheapest
  bad = good;
  for (auto& price : bad.shadow_prices) price *= 0.5;
  EXPECT_NE(check_certificate(rates, limits, bad), "");  // the objectives differ
  bad = good;
  bad.shadow_prices[0] = -1;
  EXPECT_NE(check_certificate(rates, limits, bad), "");  // a negative dual value
}

}  // namespace
}  // namespace cedarring::test
