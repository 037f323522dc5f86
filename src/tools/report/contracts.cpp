#include "tools/report/contracts.h"

#include <rapidjson/document.h>
#include <rapidjson/stringbuffer.h>
#include <rapidjson/writer.h>

#include <algorithm>
#include <cstdio>
#include <istream>

namespace cedarring::report {
namespace {

// Names of the readings that are reported, which are also the names of their columns.
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

/// The number, rounded to an integer.
std::string format_number(double value) {
  char text[32];
  std::snprintf(text, sizeof text, "%.0f", value);
  return text;
}

/// The sum in a column; 0 if no record had the reading.
double sum_of(const ContractUsage& usage, const std::string& column) {
  const auto it = usage.sums.find(column);
  return it == usage.sums.end() ? 0 : it->second;
}

}  // namespace

void merge(std::istream& in, UsageReport& report) {
  for (std::string line; std::getline(in, line);) {
    if (line.empty()) continue;
    ++report.lines;
    rapidjson::Document document;
    document.Parse<rapidjson::kParseIterativeFlag>(line.c_str());
    if (document.HasParseError() || !document.IsObject()) {
      ++report.unreadable;
      continue;
    }
    const auto text_member = [&](const char* key) {
      const auto it = document.FindMember(key);
      return it != document.MemberEnd() && it->value.IsString() ? std::string(it->value.GetString())
                                                                : std::string();
    };
    const auto kind = text_member("record");
    const auto subject = text_member("subject");
    // The rule of a breach begins with the party that broke it: the team or the gateway.
    if (kind == "breach")
      ++(text_member("rule").rfind("the team", 0) == 0 ? report.by_subject[subject].by_team
                                                       : report.by_subject[subject].by_gateway);
    if (kind != "ledger") continue;
    auto& usage = report.by_subject[subject];
    ++usage.windows;
    const auto readings = document.FindMember("readings");
    if (readings == document.MemberEnd() || !readings->value.IsObject()) continue;
    // from_ms, the start of the window, is no count to be summed.
    for (const auto& reading : readings->value.GetObject())
      if (reading.value.IsNumber() && reading.name != "from_ms")
        usage.sums[reading.name.GetString()] += reading.value.GetDouble();
  }
}

std::string print(const UsageReport& report, OutputFormat format) {
  if (format == OutputFormat::json) {
    rapidjson::StringBuffer buffer;
    rapidjson::Writer<rapidjson::StringBuffer> writer(buffer);
    writer.StartArray();
    for (const auto& [subject, usage] : report.by_subject) {
      writer.StartObject();
      writer.Key("subject");
      writer.String(subject.c_str());
      for (const auto* column : columns) {
        writer.Key(column);
        writer.Double(sum_of(usage, column));
      }
      writer.Key("windows");
      writer.Uint64(usage.windows);
      writer.Key("breaches_team");
      writer.Uint64(usage.by_team);
      writer.Key("breaches_gateway");
      writer.Uint64(usage.by_gateway);
      writer.EndObject();
    }
    writer.EndArray();
    return std::string(buffer.GetString(), buffer.GetSize()) + "\n";
  }
  std::vector<std::vector<std::string>> rows{{"subject"}};
  for (const auto* column : columns) rows[0].emplace_back(column);
  for (const auto* column : {"windows", "breaches_team", "breaches_gateway"}) rows[0].emplace_back(column);
  for (const auto& [subject, usage] : report.by_subject) {
    rows.push_back({subject});
    for (const auto* column : columns) rows.back().push_back(format_number(sum_of(usage, column)));
    for (const auto count : {usage.windows, usage.by_team, usage.by_gateway})
      rows.back().push_back(std::to_string(count));
  }
  std::vector<std::size_t> widths(rows[0].size(), 0);
  for (const auto& row : rows)
    for (std::size_t i = 0; i < row.size(); ++i) widths[i] = std::max(widths[i], row[i].size());
  std::string out;
  for (const auto& row : rows) {
    for (std::size_t i = 0; i < row.size(); ++i)
      if (format == OutputFormat::csv)
        out += (i > 0 ? "," : "") + row[i];
      else
        out += i == 0 ? row[i] + std::string(widths[i] - row[i].size(), ' ')
                      : "  " + std::string(widths[i] - row[i].size(), ' ') + row[i];
    out += '\n';
  }
  return out;
}

}  // namespace cedarring::report
