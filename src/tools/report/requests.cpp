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

constexpr std::int64_t milliseconds_per_second = 1000;

/// Counts one request; `outcomes`: of its attempts, `ms`: its duration.
void add(RequestStats& stats, const std::string& end, const std::vector<std::string>& outcomes, double ms) {
  ++stats.requests;
  ++stats.by_end[end];
  for (const auto& outcome : outcomes) ++stats.by_outcome[outcome];
  stats.unsent += outcomes.empty() && (end == "refused" || end == "failed") ? 1 : 0;
  stats.served_ms += end == "served" ? ms : 0;
}

/// The count of `key`; 0 if there is none.
template <class Map>
auto count_of(const Map& map, const std::string& key) {
  const auto it = map.find(key);
  return it == map.end() ? std::size_t{0} : it->second;
}

/// One line under the header of print().
std::string format_row(const std::string& name, const RequestStats& stats) {
  char text[256];
  const auto served = count_of(stats.by_end, "served");
  std::snprintf(text, sizeof text,
                "%-14s %8zu %8zu %8zu %7zu %7zu %7zu %8.1f  %7zu %7zu %7zu %7zu %9zu %7zu\n", name.c_str(),
                stats.requests, served, count_of(stats.by_end, "refused"), stats.unsent,
                count_of(stats.by_end, "failed"), count_of(stats.by_end, "left"),
                served > 0 ? stats.served_ms / static_cast<double>(served) : 0.0,
                count_of(stats.by_outcome, "ok"), count_of(stats.by_outcome, "connect_failed"),
                count_of(stats.by_outcome, "full") + count_of(stats.by_outcome, "miss"),
                count_of(stats.by_outcome, "timeout"), count_of(stats.by_outcome, "cancelled"),
                count_of(stats.by_outcome, "error") + count_of(stats.by_outcome, "reset"));
  return text;
}

}  // namespace

void merge(std::istream& in, RequestReport& report) {
  for (std::string line; std::getline(in, line);) {
    ++report.lines;
    const auto json_begin = line.find('{');
    rapidjson::Document document;
    if (json_begin != std::string::npos)
      document.Parse<rapidjson::kParseIterativeFlag>(line.c_str() + json_begin);
    const auto text_member = [&](const char* key) {
      const auto it = document.FindMember(key);
      return it != document.MemberEnd() && it->value.IsString() ? std::string(it->value.GetString())
                                                                : std::string();
    };
    if (json_begin == std::string::npos || document.HasParseError() || !document.IsObject() ||
        text_member("cause") != "request" || !document.HasMember("at_ms") || !document["at_ms"].IsInt64()) {
      ++report.skipped;
      continue;
    }
    // Each attempt is written as host@sent_after+duration=outcome.
    std::vector<std::string> outcomes;
    std::istringstream attempts(text_member("course"));
    for (std::string attempt; attempts >> attempt;) {
      const auto outcome_mark = attempt.rfind('=');
      const auto time_mark = attempt.rfind('@');
      if (outcome_mark == std::string::npos || time_mark == std::string::npos) continue;
      outcomes.push_back(attempt.substr(outcome_mark + 1));
      ++report.by_host[attempt.substr(0, time_mark)][outcomes.back()];
    }
    const auto end = text_member("end");
    const auto ms = std::strtod(text_member("ms").c_str(), nullptr);
    for (auto* stats :
         {&report.all, &report.by_second[document["at_ms"].GetInt64() / milliseconds_per_second],
          &report.by_class[text_member("class")], &report.by_group[text_member("group")]})
      add(*stats, end, outcomes, ms);
    // The pattern of all requests but those served at the first attempt.
    if (end == "served" && outcomes.size() == 1) continue;
    auto pattern = text_member("class") + " " + end + ":";
    for (const auto& outcome : outcomes) pattern += " " + outcome;
    ++report.patterns[outcomes.empty() ? pattern + " never sent" : pattern];
  }
}

std::string print(const RequestReport& report, std::size_t max_rows) {
  const std::string header =
      "               requests   served  refused  unsent  failed    left  mean_ms       ok no_conn    full "
      "timeout cancelled  errors\n";
  auto out = header + format_row("all", report.all);
  for (const auto& [name, stats] : report.by_class) out += format_row(name, stats);
  for (const auto& [second, stats] : report.by_second) out += format_row(std::to_string(second), stats);
  // Appends a line for each of the entries with the highest counts, without those that count 0.
  const auto append_top = [&](const auto& entries, auto&& count_entry, auto&& format_line) {
    std::vector<std::pair<std::size_t, std::string>> ranked;
    for (const auto& [name, entry] : entries) ranked.emplace_back(count_entry(entry), name);
    std::sort(ranked.rbegin(), ranked.rend());
    for (std::size_t i = 0; i < std::min(max_rows, ranked.size()) && ranked[i].first > 0; ++i)
      out += format_line(ranked[i].first, ranked[i].second);
  };
  out += "\nrequests not served at the first attempt, by class, end and outcomes of their attempts\n";
  append_top(
      report.patterns, [](std::size_t count) { return count; },
      [](std::size_t count, const std::string& name) { return std::to_string(count) + "  " + name + "\n"; });
  out += "\ngroups with the most refused and failed requests\n";
  append_top(
      report.by_group,
      [](const RequestStats& stats) {
        return count_of(stats.by_end, "refused") + count_of(stats.by_end, "failed");
      },
      [&](std::size_t, const std::string& name) { return format_row(name, report.by_group.at(name)); });
  out += "\nhosts with the most unsuccessful attempts\n";
  const auto count_unsuccessful = [](const std::map<std::string, std::size_t>& outcomes) {
    std::size_t total = 0;
    for (const auto& [outcome, count] : outcomes) total += outcome == "ok" ? 0 : count;
    return total;
  };
  append_top(report.by_host, count_unsuccessful, [&](std::size_t unsuccessful, const std::string& name) {
    auto text = name + "  " + std::to_string(unsuccessful) + " of ";
    std::size_t all = 0;
    std::string outcome_counts;
    for (const auto& [outcome, count] : report.by_host.at(name)) {
      all += count;
      outcome_counts += " " + outcome + " " + std::to_string(count);
    }
    return text + std::to_string(all) + ":" + outcome_counts + "\n";
  });
  return out;
}

}  // namespace cedarring::report
