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

constexpr double tolerance = 1e-6;

/// The cores that a group has under a failure: of its primary, and in all.
struct Capacity {
  std::string failure;
  double primary = 0, all = 0;
};

std::vector<Capacity> capacities(const Group& g, const Fleet& fleet) {
  std::vector<Capacity> all;
  const auto without = [&](const std::string& failure, const std::vector<bool>& lost) {
    Capacity c;
    c.failure = failure;
    for (std::size_t h = 0; h < g.cores.size(); ++h)
      if (!lost[h]) {
        if (c.primary <= 0) c.primary = g.cores[h];  // the first that is left is, or becomes, the primary
        c.all += g.cores[h];
      }
    all.push_back(c);
  };
  std::vector<bool> none(g.cores.size(), false);
  without("all well", none);
  if (fleet.lose_host && g.cores.size() > 1) {
    auto lost = none;
    lost[static_cast<std::size_t>(std::max_element(g.cores.begin() + 1, g.cores.end()) - g.cores.begin())] =
        true;
    without("a replica lost", lost);
  }
  if (fleet.lose_room)
    for (const auto& room : std::set<std::string>(g.rooms.begin(), g.rooms.end())) {
      auto lost = none;
      for (std::size_t h = 0; h < g.rooms.size(); ++h) lost[h] = g.rooms[h] == room;
      without("room " + room + " lost", lost);
    }
  return all;
}

}  // namespace

std::vector<Limit> limits_of(const std::vector<Promise>& promises, const Fleet& fleet) {
  std::vector<Limit> all;
  std::set<std::string> periods;
  for (const auto& p : promises) periods.insert(p.period);
  for (const auto& period : periods)
    for (const auto& g : fleet.groups)
      for (const auto& c : capacities(g, fleet))
        for (const bool primary : {true, false}) {
          Limit l;
          l.what = period + ", group " + g.name + (primary ? ", primary, " : ", all hosts, ") + c.failure;
          l.limit = (primary ? c.primary : c.all) * fleet.use;
          for (const auto& p : promises)
            l.a.push_back(p.period == period && (p.primary || !primary) ? p.cost_ms / 1000 * g.share : 0);
          all.push_back(std::move(l));
        }
  return all;
}

Answer solve(const std::vector<Promise>& promises, const std::vector<Limit>& limits) {
  const auto n = static_cast<int>(promises.size()), m = static_cast<int>(limits.size());
  Answer answer;
  answer.trim.assign(promises.size(), 0);
  answer.dual.assign(limits.size(), 0);
  for (const auto& l : limits) {
    double use = 0;
    for (std::size_t i = 0; i < promises.size(); ++i) use += l.a[i] * promises[i].rate;
    answer.use.push_back(use);
  }
  if (n == 0 || m == 0) {
    answer.fits = true;
    return answer;
  }
  // Variables: the trims. Rows: what is trimmed has to cover what is over the limit.
  const std::unique_ptr<glp_prob, void (*)(glp_prob*)> lp(glp_create_prob(),
                                                          [](glp_prob* p) { glp_delete_prob(p); });
  glp_term_out(GLP_OFF);
  glp_set_obj_dir(lp.get(), GLP_MIN);
  glp_add_cols(lp.get(), n);
  for (int i = 1; i <= n; ++i) {
    const auto& p = promises[static_cast<std::size_t>(i - 1)];
    if (p.rate > 0)
      glp_set_col_bnds(lp.get(), i, GLP_DB, 0, p.rate);
    else
      glp_set_col_bnds(lp.get(), i, GLP_FX, 0, 0);
    glp_set_obj_coef(lp.get(), i, p.value);
  }
  glp_add_rows(lp.get(), m);
  std::vector<int> columns(1);
  std::vector<double> values(1);
  for (int j = 1; j <= m; ++j) {
    const auto& l = limits[static_cast<std::size_t>(j - 1)];
    glp_set_row_bnds(lp.get(), j, GLP_LO, answer.use[static_cast<std::size_t>(j - 1)] - l.limit, 0);
    columns.resize(1), values.resize(1);
    for (int i = 1; i <= n; ++i)
      if (l.a[static_cast<std::size_t>(i - 1)] != 0)
        columns.push_back(i), values.push_back(l.a[static_cast<std::size_t>(i - 1)]);
    glp_set_mat_row(lp.get(), j, static_cast<int>(columns.size()) - 1, columns.data(), values.data());
  }
  glp_smcp how;
  glp_init_smcp(&how);
  how.msg_lev = GLP_MSG_OFF;
  how.presolve = GLP_OFF;
  // A limit below zero cannot be: everything may be trimmed, so there always is an answer.
  if (glp_simplex(lp.get(), &how) != 0 || glp_get_status(lp.get()) != GLP_OPT)
    throw std::runtime_error("the solver gives up");
  answer.cost = glp_get_obj_val(lp.get());
  for (int i = 1; i <= n; ++i) answer.trim[static_cast<std::size_t>(i - 1)] = glp_get_col_prim(lp.get(), i);
  for (int j = 1; j <= m; ++j)
    answer.dual[static_cast<std::size_t>(j - 1)] = std::max(0.0, glp_get_row_dual(lp.get(), j));
  answer.fits = answer.cost <= tolerance;
  answer.certificate_flaw = check_certificate(promises, limits, answer);
  return answer;
}

/// min v.x with 0 <= x <= r and A x >= b has the dual max b.y - r.z with y, z >= 0 and A'y - z <= v. For
/// given y the best z is max(0, A'y - v): where both sides come to the same, x is the best there is, whoever
/// found it.
std::string check_certificate(const std::vector<Promise>& promises, const std::vector<Limit>& limits,
                              const Answer& answer) {
  double scale = 1;
  for (const auto& p : promises) scale = std::max(scale, p.rate * p.value);
  const double slack = tolerance * scale;
  double primal = 0, dual = 0;
  for (std::size_t i = 0; i < promises.size(); ++i) {
    if (answer.trim[i] < -slack || answer.trim[i] > promises[i].rate + slack) return "a trim out of range";
    primal += answer.trim[i] * promises[i].value;
    double pull = 0;
    for (std::size_t j = 0; j < limits.size(); ++j) pull += limits[j].a[i] * answer.dual[j];
    dual -= promises[i].rate * std::max(0.0, pull - promises[i].value);
  }
  for (std::size_t j = 0; j < limits.size(); ++j) {
    if (answer.dual[j] < 0) return "a dual value below zero";
    double use = 0, written = 0;
    for (std::size_t i = 0; i < promises.size(); ++i) {
      use += limits[j].a[i] * (promises[i].rate - answer.trim[i]);
      written += limits[j].a[i] * promises[i].rate;
    }
    if (use > limits[j].limit + slack) return "over the limit: " + limits[j].what;
    dual += answer.dual[j] * (written - limits[j].limit);
  }
  return std::abs(primal - dual) <= slack * 10 ? "" : "the trim is not the cheapest";
}

std::vector<std::string> conflicts(const std::vector<Promise>& promises, const std::vector<Limit>& limits,
                                   const Answer& answer) {
  std::vector<std::string> all;
  for (std::size_t j = 0; j < limits.size(); ++j) {
    if (answer.use[j] <= limits[j].limit + tolerance || answer.dual[j] <= tolerance) continue;
    std::map<std::string, double> by_team;
    for (std::size_t i = 0; i < promises.size(); ++i)
      if (limits[j].a[i] > 0) by_team[promises[i].team] += limits[j].a[i] * promises[i].rate;
    std::string names;
    bool alone = true;
    for (const auto& [team, use] : by_team) {
      alone = alone && use <= limits[j].limit;
      names += (names.empty() ? "" : ", ") + team;
    }
    if (by_team.size() > 1 && alone)
      all.push_back(names + ": each fits alone, together they overload " + limits[j].what);
  }
  return all;
}

}  // namespace cedarring::plan
