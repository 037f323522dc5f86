#include "tools/rig/report.h"

#include <rapidjson/prettywriter.h>
#include <rapidjson/stringbuffer.h>

#include <algorithm>
#include <cstdio>
#include <cstdlib>
#include <fstream>

namespace cedarring::rig {
namespace {

constexpr double min_printed_send_delay_ms = 100;
constexpr std::size_t max_printed_violations = 10;

/// Index of dispersion: variance over mean of the attempts at a replica in each second, averaged over all
/// replicas, without the warm-up and the last second. Random choice at constant load gives 1; a changing load
/// gives more.
double dispersion(const Scenario& scenario, const RunResult& result) {
  const auto first_second = static_cast<std::size_t>(scenario.warm_up.count() / 1'000'000) + 1;
  double sum = 0;
  double replicas = 0;
  for (int h = 0; h < scenario.groups * scenario.members; ++h) {
    if (h % scenario.members == 0) continue;  // the first of a group is its primary at the start
    // Welford's algorithm for mean and variance.
    double count = 0;
    double mean = 0;
    double squares = 0;
    for (std::size_t t = first_second; t + 1 < result.seconds.size(); ++t) {
      const double attempts = result.seconds[t].attempts_by_host[static_cast<std::size_t>(h)];
      const double previous_mean = mean;
      ++count;
      mean += (attempts - mean) / count;
      squares += (attempts - previous_mean) * (attempts - mean);
    }
    if (count > 1 && mean > 0) {
      sum += squares / (count - 1) / mean;
      ++replicas;
    }
  }
  return replicas > 0 ? sum / replicas : 0;
}

}  // namespace

double quantile(std::vector<float>& values, double q) {
  if (values.empty()) return 0;
  const auto index =
      std::min(values.size() - 1, static_cast<std::size_t>(q * static_cast<double>(values.size())));
  std::nth_element(values.begin(), values.begin() + static_cast<std::ptrdiff_t>(index), values.end());
  return static_cast<double>(values[index]);
}

std::string table(const Scenario& scenario, RunResult& result) {
  std::string out;
  char line[256];
  const auto print = [&](auto... arguments) {
    std::snprintf(line, sizeof line, arguments...);
    out += line;
  };
  print("%s, seed %llu: %d gateways, %d hosts, %llu requests, %llu attempts, up in %.1f s\n",
        scenario.name.c_str(), static_cast<unsigned long long>(scenario.seed), scenario.gateways,
        scenario.groups * scenario.members, static_cast<unsigned long long>(result.requests),
        static_cast<unsigned long long>(result.attempts), result.startup_seconds);
  for (const auto& event : result.events) print("  %6.1f s  %s\n", event.at, event.text.c_str());
  print("%-12s %8s %8s %7s %8s %7s %6s %8s %8s\n", "class", "asked", "in time", "late", "refused", "failed",
        "lost", "p50 ms", "p99 ms");
  for (std::size_t i = 0; i < result.classes.size(); ++i) {
    auto& class_result = result.classes[i];
    const auto printable = [](std::uint64_t count) { return static_cast<unsigned long long>(count); };
    print("%-12s %8llu %8llu %7llu %8llu %7llu %6llu %8.1f %8.1f\n",
          scenario.classes[i].request_class.name.c_str(), printable(class_result.asked),
          printable(class_result.in_time), printable(class_result.late), printable(class_result.refused),
          printable(class_result.failed), printable(class_result.lost),
          quantile(class_result.latencies_ms, 0.5), quantile(class_result.latencies_ms, 0.99));
  }
  print(
      "value served %.4f; attempts per second at a replica, variance over mean %.2f; all gateways: %.1f s "
      "of CPU time, %.0f MB of memory\n",
      result.value_served, dispersion(scenario, result), result.gateways_cpu_seconds, result.gateways_mb);
  print("the rig's own sends: p99 %.1f ms late%s\n", result.send_delay_p99_ms,
        result.too_slow ? "; TOO SLOW for a verdict on figures" : "");
  for (std::size_t t = 0; t < result.seconds.size(); ++t)
    if (result.seconds[t].worst_send_delay_ms > min_printed_send_delay_ms)
      print("  second %zu: sent up to %.0f ms late\n", t, result.seconds[t].worst_send_delay_ms);
  if (result.crashes > 0) print("%llu gateways CRASHED\n", static_cast<unsigned long long>(result.crashes));
  if (result.violation_count == 0)
    print("rules kept\n");
  else
    print("%llu times a rule was BROKEN\n", static_cast<unsigned long long>(result.violation_count));
  for (std::size_t i = 0; i < result.violations.size() && i < max_printed_violations; ++i)
    out += "  " + result.violations[i].rule + ": " + result.violations[i].request + ' ' +
           result.violations[i].details + '\n';
  return out;
}

std::string result_json(const Scenario& scenario, RunResult& result) {
  rapidjson::StringBuffer buffer;
  rapidjson::PrettyWriter<rapidjson::StringBuffer> writer(buffer);
  writer.SetIndent(' ', 1);
  const auto write_string = [&](const char* key, const std::string& value) {
    writer.Key(key);
    writer.String(value.c_str());
  };
  const auto write_number = [&](const char* key, double value) {
    writer.Key(key);
    writer.Double(value);
  };
  const auto write_integer = [&](const char* key, std::uint64_t value) {
    writer.Key(key);
    writer.Uint64(value);
  };
  writer.StartObject();
  writer.Key("complete");
  writer.Bool(result.error.empty());
  if (!result.error.empty()) write_string("error", result.error);
  write_string("scenario", scenario.name);
  write_integer("seed", scenario.seed);
  write_integer("gateways", static_cast<std::uint64_t>(scenario.gateways));
  write_integer("hosts", static_cast<std::uint64_t>(scenario.groups * scenario.members));
  write_integer("requests", result.requests);
  write_integer("attempts", result.attempts);
  write_integer("broken", result.violation_count);
  write_integer("crashes", result.crashes);
  write_number("worth_served", result.value_served);
  write_number("dispersion", dispersion(scenario, result));
  write_number("start_up_s", result.startup_seconds);
  write_number("lateness_p99_ms", result.send_delay_p99_ms);
  write_number("gateways_cpu_s", result.gateways_cpu_seconds);
  write_number("gateways_mb", result.gateways_mb);
  writer.Key("too_slow");
  writer.Bool(result.too_slow);
  writer.Key("classes");
  writer.StartArray();
  for (std::size_t i = 0; i < result.classes.size(); ++i) {
    auto& class_result = result.classes[i];
    writer.StartObject();
    write_string("class", scenario.classes[i].request_class.name);
    write_integer("asked", class_result.asked);
    write_integer("in_time", class_result.in_time);
    write_integer("late", class_result.late);
    write_integer("refused", class_result.refused);
    write_integer("failed", class_result.failed);
    write_integer("lost", class_result.lost);
    write_number("p50_ms", quantile(class_result.latencies_ms, 0.5));
    write_number("p99_ms", quantile(class_result.latencies_ms, 0.99));
    writer.EndObject();
  }
  writer.EndArray();
  writer.Key("marks");
  writer.StartArray();
  for (const auto& event : result.events) {
    writer.StartObject();
    write_number("at_s", event.at);
    write_string("what", event.text);
    writer.EndObject();
  }
  writer.EndArray();
  writer.Key("violations");
  writer.StartArray();
  for (const auto& violation : result.violations) {
    writer.StartObject();
    write_string("rule", violation.rule);
    write_string("request", violation.request);
    write_string("course", violation.details);
    writer.EndObject();
  }
  writer.EndArray();
  writer.Key("seconds");
  writer.StartArray();
  for (const auto& second : result.seconds) {
    writer.StartObject();
    write_integer("asked", second.asked);
    write_integer("in_time", second.in_time);
    write_integer("refused", second.refused);
    write_integer("failed", second.failed);
    write_number("p99_ms", second.p99_ms);
    write_number("late_ms", second.worst_send_delay_ms);
    writer.Key("by_host");
    writer.StartArray();
    for (const auto attempts : second.attempts_by_host) writer.Uint(attempts);
    writer.EndArray();
    writer.EndObject();
  }
  writer.EndArray();
  writer.EndObject();
  return std::string(buffer.GetString(), buffer.GetSize()) + '\n';
}

void write_plots(const Scenario& scenario, const RunResult& result, const std::string& folder) {
  std::ofstream load(folder + "/load.dat");
  std::ofstream hosts(folder + "/hosts.dat");
  std::ofstream script(folder + "/plot.gp");
  load << "# second asked in_time refused failed p99_ms\n";
  for (std::size_t t = 0; t < result.seconds.size(); ++t) {
    const auto& second = result.seconds[t];
    load << t << ' ' << second.asked << ' ' << second.in_time << ' ' << second.refused << ' ' << second.failed
         << ' ' << second.p99_ms << '\n';
    hosts << t;
    for (const auto attempts : second.attempts_by_host) hosts << ' ' << attempts;
    hosts << '\n';
  }
  script << "set datafile commentschars '#'\nset key outside\nset xlabel 'seconds'\nset grid\n";
  for (const auto& event : result.events)
    script << "set arrow from " << event.at << ", graph 0 to " << event.at
           << ", graph 1 nohead dt 2 lc 'gray'\n"
           << "set label \"" << event.text << "\" at " << event.at
           << ", graph 0.98 rotate by -90 font ',7' tc 'gray'\n";
  const auto write_plot = [&](const char* terminal, const char* file) {
    script << "set terminal " << terminal << "\nset output '" << file << "'\n"
           << "set multiplot layout 3,1 title '" << scenario.name << ", seed " << scenario.seed << "'\n"
           << "set ylabel 'requests a second'\nplot 'load.dat' using 1:2 with lines title 'asked', '' using "
              "1:3 with lines title 'in "
              "time', '' using 1:4 with lines title 'refused', '' using 1:5 with lines title 'failed'\n"
           << "set ylabel 'p99, ms'\nplot 'load.dat' using 1:6 with lines notitle\n"
           << "set ylabel 'attempts a host'\nplot for [i=2:" << scenario.groups * scenario.members + 1
           << "] 'hosts.dat' using 1:i with lines lw 0.6 notitle\n"
           << "unset multiplot\n";
  };
  write_plot("svg size 1000,900", "plot.svg");
  write_plot("png size 1000,900", "plot.png");
  load.close();
  hosts.close();
  script.close();
  if (std::system(("cd '" + folder + "' && command -v gnuplot >/dev/null && gnuplot plot.gp >/dev/null 2>&1")
                      .c_str()) != 0)
    return;
}

}  // namespace cedarring::rig
