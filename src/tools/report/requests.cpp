#include "tools/report/requests.h"

#include <rapidjson/document.h>

#include <algorithm>
#include <cstdio>
#include <cstdlib>
#include <istream>
#include <sstream>
#include <vector>

namespace cedarring::report {
namespace {

void add(Ends& e, const std::string& end, const std::vector<std::string>& outcomes, double ms) {
  ++e.requests;
  ++e.by_end[end];
  for (const auto& o : outcomes) ++e.by_outcome[o];
  e.unsent += outcomes.empty() && (end == "refused" || end == "failed") ? 1 : 0;
  e.ms += end == "served" ? ms : 0;
}

template <class Map>
auto at(const Map& m, const std::string& key) {
  const auto it = m.find(key);
  return it == m.end() ? std::size_t{0} : it->second;
}

std::string row(const std::string& name, const Ends& e) {
  char text[256];
  const auto served = at(e.by_end, "served");
  std::snprintf(text, sizeof text,
                "%-14s %8zu %8zu %8zu %7zu %7zu %7zu %8.1f  %7zu %7zu %7zu %7zu %7zu %7zu\n", name.c_str(),
                e.requests, served, at(e.by_end, "refused"), e.unsent, at(e.by_end, "failed"),
                at(e.by_end, "left"), served > 0 ? e.ms / static_cast<double>(served) : 0.0,
                at(e.by_outcome, "ok"), at(e.by_outcome, "connect_failed"),
                at(e.by_outcome, "full") + at(e.by_outcome, "miss"), at(e.by_outcome, "timeout"),
                at(e.by_outcome, "cancelled"), at(e.by_outcome, "error") + at(e.by_outcome, "reset"));
  return text;
}

}  // namespace

void merge(std::istream& in, Requests& into) {
  for (std::string line; std::getline(in, line);) {
    ++into.lines;
    const auto from = line.find('{');
    rapidjson::Document d;
    if (from != std::string::npos) d.Parse<rapidjson::kParseIterativeFlag>(line.c_str() + from);
    const auto text = [&](const char* key) {
      const auto it = d.FindMember(key);
      return it != d.MemberEnd() && it->value.IsString() ? std::string(it->value.GetString()) : std::string();
    };
    if (from == std::string::npos || d.HasParseError() || !d.IsObject() || text("cause") != "request" ||
        !d.HasMember("at_ms") || !d["at_ms"].IsInt64()) {
      ++into.others;
      continue;
    }
    std::vector<std::string> outcomes;
    std::istringstream legs(text("course"));
    for (std::string leg; legs >> leg;) {
      const auto eq = leg.rfind('='), mark = leg.rfind('@');
      if (eq == std::string::npos || mark == std::string::npos) continue;
      outcomes.push_back(leg.substr(eq + 1));
      ++into.by_host[leg.substr(0, mark)][outcomes.back()];
    }
    const auto end = text("end");
    const auto ms = std::strtod(text("ms").c_str(), nullptr);
    for (auto* e : {&into.all, &into.by_second[d["at_ms"].GetInt64() / 1000], &into.by_class[text("class")],
                    &into.by_group[text("group")]})
      add(*e, end, outcomes, ms);
    if (end == "served" && outcomes.size() == 1) continue;
    auto pattern = text("class") + " " + end + ":";
    for (const auto& o : outcomes) pattern += " " + o;
    ++into.patterns[outcomes.empty() ? pattern + " never sent" : pattern];
  }
}

std::string print(const Requests& r, std::size_t rows) {
  const std::string head =
      "               requests   served  refused  unsent  failed    left  mean_ms       ok no_conn    full "
      "timeout  taken "
      "  broke\n";
  auto out = head + row("all", r.all);
  for (const auto& [name, e] : r.by_class) out += row(name, e);
  for (const auto& [second, e] : r.by_second) out += row(std::to_string(second), e);
  const auto top = [&](const auto& counted, auto&& weight, auto&& line) {
    std::vector<std::pair<std::size_t, std::string>> order;
    for (const auto& [name, what] : counted) order.emplace_back(weight(what), name);
    std::sort(order.rbegin(), order.rend());
    for (std::size_t i = 0; i < std::min(rows, order.size()) && order[i].first > 0; ++i)
      out += line(order[i].first, order[i].second);
  };
  out += "\ncourses of what was not served at the first attempt\n";
  top(
      r.patterns, [](std::size_t n) { return n; },
      [](std::size_t n, const std::string& name) { return std::to_string(n) + "  " + name + "\n"; });
  out += "\ngroups by what they refused or failed\n";
  top(
      r.by_group, [](const Ends& e) { return at(e.by_end, "refused") + at(e.by_end, "failed"); },
      [&](std::size_t, const std::string& name) { return row(name, r.by_group.at(name)); });
  out += "\nhosts by attempts that came to nothing\n";
  const auto lost = [](const std::map<std::string, std::size_t>& m) {
    std::size_t n = 0;
    for (const auto& [o, count] : m) n += o == "ok" ? 0 : count;
    return n;
  };
  top(r.by_host, lost, [&](std::size_t n, const std::string& name) {
    auto text = name + "  " + std::to_string(n) + " of ";
    std::size_t all = 0;
    std::string parts;
    for (const auto& [o, count] : r.by_host.at(name))
      all += count, parts += " " + o + " " + std::to_string(count);
    return text + std::to_string(all) + ":" + parts + "\n";
  });
  return out;
}

}  // namespace cedarring::report
