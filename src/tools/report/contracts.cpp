#include "tools/report/contracts.h"

#include <rapidjson/document.h>
#include <rapidjson/stringbuffer.h>
#include <rapidjson/writer.h>

#include <algorithm>
#include <cstdio>
#include <istream>

namespace cedarring::report {
namespace {

constexpr const char* columns[] = {"asked",
                                   "within",
                                   "beyond",
                                   "in_time",
                                   "late",
                                   "failed",
                                   "left",
                                   "refused_contract",
                                   "refused_contention",
                                   "refused_levels",
                                   "refused_router",
                                   "promised",
                                   "kept",
                                   "cost_ms"};

std::string number(double v) {
  char text[32];
  std::snprintf(text, sizeof text, "%.0f", v);
  return text;
}

double sum_of(const Use& u, const std::string& column) {
  const auto it = u.sums.find(column);
  return it == u.sums.end() ? 0 : it->second;
}

}  // namespace

void merge(std::istream& in, Merged& merged) {
  for (std::string line; std::getline(in, line);) {
    if (line.empty()) continue;
    ++merged.lines;
    rapidjson::Document d;
    d.Parse<rapidjson::kParseIterativeFlag>(line.c_str());
    if (d.HasParseError() || !d.IsObject()) {
      ++merged.unreadable;
      continue;
    }
    const auto text = [&](const char* key) {
      const auto it = d.FindMember(key);
      return it != d.MemberEnd() && it->value.IsString() ? std::string(it->value.GetString()) : std::string();
    };
    const auto kind = text("record"), subject = text("subject");
    if (kind == "breach")
      ++(text("rule").rfind("the team", 0) == 0 ? merged.by_subject[subject].by_team
                                                : merged.by_subject[subject].by_gateway);
    if (kind != "ledger") continue;
    auto& use = merged.by_subject[subject];
    ++use.windows;
    const auto readings = d.FindMember("readings");
    if (readings == d.MemberEnd() || !readings->value.IsObject()) continue;
    for (const auto& m : readings->value.GetObject())
      if (m.value.IsNumber() && m.name != "from_ms") use.sums[m.name.GetString()] += m.value.GetDouble();
  }
}

std::string print(const Merged& merged, Form form) {
  if (form == Form::json) {
    rapidjson::StringBuffer buffer;
    rapidjson::Writer<rapidjson::StringBuffer> w(buffer);
    w.StartArray();
    for (const auto& [subject, use] : merged.by_subject) {
      w.StartObject();
      w.Key("subject"), w.String(subject.c_str());
      for (const auto* c : columns) w.Key(c), w.Double(sum_of(use, c));
      w.Key("windows"), w.Uint64(use.windows);
      w.Key("breaches_team"), w.Uint64(use.by_team);
      w.Key("breaches_gateway"), w.Uint64(use.by_gateway);
      w.EndObject();
    }
    w.EndArray();
    return std::string(buffer.GetString(), buffer.GetSize()) + "\n";
  }
  std::vector<std::vector<std::string>> rows{{"subject"}};
  for (const auto* c : columns) rows[0].emplace_back(c);
  for (const auto* c : {"windows", "breaches_team", "breaches_gateway"}) rows[0].emplace_back(c);
  for (const auto& [subject, use] : merged.by_subject) {
    rows.push_back({subject});
    for (const auto* c : columns) rows.back().push_back(number(sum_of(use, c)));
    for (const auto n : {use.windows, use.by_team, use.by_gateway}) rows.back().push_back(std::to_string(n));
  }
  std::vector<std::size_t> width(rows[0].size(), 0);
  for (const auto& row : rows)
    for (std::size_t i = 0; i < row.size(); ++i) width[i] = std::max(width[i], row[i].size());
  std::string out;
  for (const auto& row : rows) {
    for (std::size_t i = 0; i < row.size(); ++i)
      if (form == Form::csv)
        out += (i > 0 ? "," : "") + row[i];
      else
        out += i == 0 ? row[i] + std::string(width[i] - row[i].size(), ' ')
                      : "  " + std::string(width[i] - row[i].size(), ' ') + row[i];
    out += '\n';
  }
  return out;
}

}  // namespace cedarring::report
