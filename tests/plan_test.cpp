// The planner: small cases by hand and against brute force, and certificates that are wrong.
#include "tools/plan/plan.h"

#include <gtest/gtest.h>
#include <rapidcheck.h>

#include <cmath>
#include <functional>

namespace cedarring::test {
namespace {

using namespace plan;

Promise promise(const std::string& team, double rate, double cost_ms, bool primary, double value = 1) {
  return {team, "class", "usual", rate, cost_ms, primary, value};
}

/// The cheapest trim by trying every corner: of three variables, those where three of the conditions are
/// tight.
double brute_force(const std::vector<Promise>& p, const std::vector<Limit>& limits) {
  const std::size_t n = p.size();
  std::vector<std::pair<std::vector<double>, double>> tight;  // a.x = b
  for (const auto& l : limits) {
    double use = 0;
    for (std::size_t i = 0; i < n; ++i) use += l.a[i] * p[i].rate;
    tight.emplace_back(l.a, use - l.limit);
  }
  for (std::size_t i = 0; i < n; ++i)
    for (const double bound : {0.0, p[i].rate}) {
      std::vector<double> a(n, 0);
      a[i] = 1;
      tight.emplace_back(a, bound);
    }
  double best = INFINITY;
  std::vector<std::size_t> chosen;
  const std::function<void(std::size_t)> choose = [&](std::size_t from) {
    if (chosen.size() == n) {
      std::vector<std::vector<double>> m;
      for (const auto k : chosen) {
        m.push_back(tight[k].first);
        m.back().push_back(tight[k].second);
      }
      for (std::size_t c = 0; c < n; ++c) {  // Gauss-Jordan
        std::size_t pivot = c;
        for (std::size_t r = c; r < n; ++r)
          if (std::abs(m[r][c]) > std::abs(m[pivot][c])) pivot = r;
        if (std::abs(m[pivot][c]) < 1e-12) return;
        std::swap(m[pivot], m[c]);
        for (std::size_t r = 0; r < n; ++r) {
          if (r == c) continue;
          const double f = m[r][c] / m[c][c];
          for (std::size_t k = c; k <= n; ++k) m[r][k] -= f * m[c][k];
        }
      }
      double cost = 0;
      for (std::size_t i = 0; i < n; ++i) {
        const double x = m[i][n] / m[i][i];
        if (x < -1e-7 || x > p[i].rate + 1e-7) return;
        m[i][n] = x;
        cost += x * p[i].value;
      }
      for (const auto& l : limits) {
        double use = 0;
        for (std::size_t i = 0; i < n; ++i) use += l.a[i] * (p[i].rate - m[i][n]);
        if (use > l.limit + 1e-7) return;
      }
      best = std::min(best, cost);
      return;
    }
    for (std::size_t k = from; k < tight.size(); ++k) {
      chosen.push_back(k);
      choose(k + 1);
      chosen.pop_back();
    }
  };
  choose(0);
  return best;
}

TEST(Plan, SmallCasesAgreeWithBruteForceAndTheirCertificatesHold) {
  EXPECT_TRUE(rc::check(
      "against every corner",
      [] {
        std::vector<Promise> p;
        for (int i = 0; i < 3; ++i)
          p.push_back(promise("t" + std::to_string(i), *rc::gen::inRange(0, 60), *rc::gen::inRange(1, 100),
                              *rc::gen::arbitrary<bool>(), *rc::gen::inRange(1, 6)));
        Fleet f;
        f.lose_host = false;
        f.groups = {
            {"1",
             1,
             {static_cast<double>(*rc::gen::inRange(1, 4)), static_cast<double>(*rc::gen::inRange(1, 4))},
             {"a", "b"}}};
        const auto limits = limits_of(p, f);
        const auto answer = solve(p, limits);
        RC_ASSERT(answer.certificate_flaw.empty());
        RC_ASSERT(std::abs(answer.cost - brute_force(p, limits)) < 1e-4);
        RC_ASSERT(answer.fits == (answer.cost <= 1e-6));
      }));
}

TEST(Plan, TwoTeamsThatFitAloneAndOverloadAPrimaryTogetherAreNamed) {
  Fleet f;
  f.use = 1, f.lose_host = false;
  f.groups = {{"east", 1, {3, 3, 3}, {"a", "b", "c"}}};
  // 20 bids a second of 90 ms are 1.8 cores each; the primary has 3.
  const std::vector<Promise> p = {promise("desks", 20, 90, true, 3), promise("partner", 20, 90, true, 1)};
  const auto limits = limits_of(p, f);
  const auto answer = solve(p, limits);
  EXPECT_FALSE(answer.fits);
  EXPECT_NEAR(answer.trim[0], 0, 1e-6);  // the cheaper one is trimmed
  EXPECT_NEAR(answer.trim[1], 0.6 / 0.09, 1e-6);
  const auto named = conflicts(p, limits, answer);
  ASSERT_EQ(named.size(), 1U);
  EXPECT_NE(named[0].find("desks, partner: each fits alone"), std::string::npos);
  EXPECT_NE(named[0].find("usual, group east, primary"), std::string::npos);
  for (const auto& one : p) EXPECT_TRUE(solve({one}, limits_of({one}, f)).fits);
}

TEST(Plan, FailuresThatArePlannedForTakeTheirHosts) {
  Fleet f;
  f.use = 1;
  f.groups = {{"g", 1, {2, 4, 2}, {"a", "b", "b"}}};
  const std::vector<Promise> p = {promise("t", 70, 100, false)};  // 7 cores
  const auto fits = [&](bool host, bool room) {
    f.lose_host = host, f.lose_room = room;
    return solve(p, limits_of(p, f));
  };
  EXPECT_TRUE(fits(false, false).fits);           // 8 there
  EXPECT_NEAR(fits(true, false).cost, 30, 1e-6);  // the largest replica lost: 4
  EXPECT_NEAR(fits(false, true).cost, 50, 1e-6);  // room b lost: 2
}

TEST(Plan, ACertificateThatIsWrongIsFound) {
  Fleet f;
  f.use = 1, f.lose_host = false;
  f.groups = {{"g", 1, {1}, {"a"}}};
  const std::vector<Promise> p = {promise("a", 20, 100, true, 2), promise("b", 20, 100, true, 1)};
  const auto limits = limits_of(p, f);
  const auto good = solve(p, limits);
  ASSERT_EQ(check_certificate(p, limits, good), "");
  auto bad = good;
  bad.trim[1] -= 1;
  EXPECT_NE(check_certificate(p, limits, bad), "");  // over the limit
  bad = good;
  bad.trim[0] += 1;
  EXPECT_NE(check_certificate(p, limits, bad), "");  // not the cheapest
  bad = good;
  for (auto& y : bad.dual) y *= 0.5;
  EXPECT_NE(check_certificate(p, limits, bad), "");
  bad = good;
  bad.dual[0] = -1;
  EXPECT_NE(check_certificate(p, limits, bad), "");
}

}  // namespace
}  // namespace cedarring::test
