#include "tools/plan/plan.h"

#include <glpk.h>

#include <algorithm>
#include <cmath>
#include <map>
#include <memory>
#include <set>
#include <stdexcept>

namespace cedarring::plan {
namespace {

constexpr double tolerance = 1e-6;  // for rounding errors, in cores, penalties or requests a second
constexpr double ms_per_second = 1000;
constexpr double duality_gap_factor = 10;  // sums over all rates and limits accumulate rounding errors

/// The cores that a group has left after one failure, or without a failure.
struct Capacity {
  std::string failure;  // its description
  double primary = 0;   // cores of the primary
  double all = 0;       // cores of all hosts
};

/// The capacity of a group without a failure and after each failure that the fleet must survive.
std::vector<Capacity> capacities(const Group& group, const Fleet& fleet) {
  std::vector<Capacity> result;
  const auto add = [&](const std::string& failure, const std::vector<bool>& lost) {
    Capacity capacity;
    capacity.failure = failure;
    for (std::size_t h = 0; h < group.cores.size(); ++h)
      if (!lost[h]) {
        // The first remaining host is the primary, or is promoted.
        if (capacity.primary <= 0) capacity.primary = group.cores[h];
        capacity.all += group.cores[h];
      }
    result.push_back(capacity);
  };
  std::vector<bool> none(group.cores.size(), false);
  add("no failure", none);
  if (fleet.survive_replica_loss && group.cores.size() > 1) {
    auto lost = none;
    const auto largest_replica = std::max_element(group.cores.begin() + 1, group.cores.end());
    lost[static_cast<std::size_t>(largest_replica - group.cores.begin())] = true;
    add("a replica lost", lost);
  }
  if (fleet.survive_room_loss)
    for (const auto& room : std::set<std::string>(group.rooms.begin(), group.rooms.end())) {
      auto lost = none;
      for (std::size_t h = 0; h < group.rooms.size(); ++h) lost[h] = group.rooms[h] == room;
      add("room " + room + " lost", lost);
    }
  return result;
}

}  // namespace

std::vector<CapacityLimit> capacity_limits(const std::vector<ContractedRate>& rates, const Fleet& fleet) {
  std::vector<CapacityLimit> limits;
  std::set<std::string> periods;
  for (const auto& rate : rates) periods.insert(rate.period);
  for (const auto& period : periods)
    for (const auto& group : fleet.groups)
      for (const auto& capacity : capacities(group, fleet))
        for (const bool primary : {true, false}) {
          CapacityLimit limit;
          limit.description = period + ", group " + group.name + (primary ? ", primary, " : ", all hosts, ") +
                              capacity.failure;
          limit.cores = (primary ? capacity.primary : capacity.all) * fleet.max_utilization;
          for (const auto& rate : rates)
            limit.coefficients.push_back(rate.period == period && (rate.primary || !primary)
                                             ? rate.cost_ms / ms_per_second * group.share
                                             : 0);
          limits.push_back(std::move(limit));
        }
  return limits;
}

Solution solve(const std::vector<ContractedRate>& rates, const std::vector<CapacityLimit>& limits) {
  const auto column_count = static_cast<int>(rates.size());
  const auto row_count = static_cast<int>(limits.size());
  Solution solution;
  solution.reductions.assign(rates.size(), 0);
  solution.shadow_prices.assign(limits.size(), 0);
  for (const auto& limit : limits) {
    double usage = 0;
    for (std::size_t i = 0; i < rates.size(); ++i) usage += limit.coefficients[i] * rates[i].rate;
    solution.usage.push_back(usage);
  }
  if (column_count == 0 || row_count == 0) {
    solution.fits = true;
    return solution;
  }
  // The columns are the variables, the reductions. Each row requires that the reductions cover the excess
  // over a limit.
  const std::unique_ptr<glp_prob, void (*)(glp_prob*)> problem(
      glp_create_prob(), [](glp_prob* created) { glp_delete_prob(created); });
  glp_term_out(GLP_OFF);
  glp_set_obj_dir(problem.get(), GLP_MIN);
  glp_add_cols(problem.get(), column_count);
  // GLPK counts rows and columns from 1.
  for (int i = 1; i <= column_count; ++i) {
    const auto& rate = rates[static_cast<std::size_t>(i - 1)];
    if (rate.rate > 0)
      glp_set_col_bnds(problem.get(), i, GLP_DB, 0, rate.rate);
    else
      glp_set_col_bnds(problem.get(), i, GLP_FX, 0, 0);
    glp_set_obj_coef(problem.get(), i, rate.reduction_penalty);
  }
  glp_add_rows(problem.get(), row_count);
  // The matrix row j, as column numbers and their coefficients; GLPK ignores the first element of both.
  std::vector<int> columns(1);
  std::vector<double> values(1);
  for (int j = 1; j <= row_count; ++j) {
    const auto& limit = limits[static_cast<std::size_t>(j - 1)];
    const double excess = solution.usage[static_cast<std::size_t>(j - 1)] - limit.cores;
    glp_set_row_bnds(problem.get(), j, GLP_LO, excess, 0);
    columns.resize(1);
    values.resize(1);
    for (int i = 1; i <= column_count; ++i) {
      const double coefficient = limit.coefficients[static_cast<std::size_t>(i - 1)];
      if (coefficient == 0) continue;
      columns.push_back(i);
      values.push_back(coefficient);
    }
    glp_set_mat_row(problem.get(), j, static_cast<int>(columns.size()) - 1, columns.data(), values.data());
  }
  glp_smcp parameters;
  glp_init_smcp(&parameters);
  parameters.msg_lev = GLP_MSG_OFF;
  parameters.presolve = GLP_OFF;
  // A feasible solution always exists: limits are never below zero and all rates may be reduced to zero.
  if (glp_simplex(problem.get(), &parameters) != 0 || glp_get_status(problem.get()) != GLP_OPT)
    throw std::runtime_error("the linear programming solver found no optimum");
  solution.total_penalty = glp_get_obj_val(problem.get());
  for (int i = 1; i <= column_count; ++i)
    solution.reductions[static_cast<std::size_t>(i - 1)] = glp_get_col_prim(problem.get(), i);
  for (int j = 1; j <= row_count; ++j)
    solution.shadow_prices[static_cast<std::size_t>(j - 1)] =
        std::max(0.0, glp_get_row_dual(problem.get(), j));
  solution.fits = solution.total_penalty <= tolerance;
  solution.certificate_error = check_certificate(rates, limits, solution);
  return solution;
}

/// min v.x with 0 <= x <= r and A x >= b has the dual max b.y - r.z with y, z >= 0 and A'y - z <= v. For
/// given y the best z is max(0, A'y - v). If x and y are feasible and both objectives are equal, x is
/// optimal, however it was found.
std::string check_certificate(const std::vector<ContractedRate>& rates,
                              const std::vector<CapacityLimit>& limits, const Solution& solution) {
  double scale = 1;
  for (const auto& rate : rates) scale = std::max(scale, rate.rate * rate.reduction_penalty);
  const double slack = tolerance * scale;
  double primal_objective = 0;
  double dual_objective = 0;
  for (std::size_t i = 0; i < rates.size(); ++i) {
    if (solution.reductions[i] < -slack || solution.reductions[i] > rates[i].rate + slack)
      return "a reduction is out of range";
    primal_objective += solution.reductions[i] * rates[i].reduction_penalty;
    double price = 0;
    for (std::size_t j = 0; j < limits.size(); ++j)
      price += limits[j].coefficients[i] * solution.shadow_prices[j];
    dual_objective -= rates[i].rate * std::max(0.0, price - rates[i].reduction_penalty);
  }
  for (std::size_t j = 0; j < limits.size(); ++j) {
    if (solution.shadow_prices[j] < 0) return "a dual value is negative";
    double reduced_usage = 0;
    double full_usage = 0;
    for (std::size_t i = 0; i < rates.size(); ++i) {
      reduced_usage += limits[j].coefficients[i] * (rates[i].rate - solution.reductions[i]);
      full_usage += limits[j].coefficients[i] * rates[i].rate;
    }
    if (reduced_usage > limits[j].cores + slack)
      return "the reduced rates exceed the limit " + limits[j].description;
    dual_objective += solution.shadow_prices[j] * (full_usage - limits[j].cores);
  }
  return std::abs(primal_objective - dual_objective) <= slack * duality_gap_factor
             ? ""
             : "the primal and the dual objective differ, so the reductions may not be the cheapest";
}

std::vector<std::string> find_conflicts(const std::vector<ContractedRate>& rates,
                                        const std::vector<CapacityLimit>& limits, const Solution& solution) {
  std::vector<std::string> conflicts;
  for (std::size_t j = 0; j < limits.size(); ++j) {
    if (solution.usage[j] <= limits[j].cores + tolerance || solution.shadow_prices[j] <= tolerance) continue;
    std::map<std::string, double> usage_by_team;
    for (std::size_t i = 0; i < rates.size(); ++i)
      if (limits[j].coefficients[i] > 0)
        usage_by_team[rates[i].team] += limits[j].coefficients[i] * rates[i].rate;
    std::string teams;
    bool each_fits = true;
    for (const auto& [team, usage] : usage_by_team) {
      each_fits = each_fits && usage <= limits[j].cores;
      teams += (teams.empty() ? "" : ", ") + team;
    }
    if (usage_by_team.size() > 1 && each_fits)
      conflicts.push_back(teams + ": each fits alone, together they overload " + limits[j].description);
  }
  return conflicts;
}

}  // namespace cedarring::plan
