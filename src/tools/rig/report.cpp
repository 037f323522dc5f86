#include "tools/rig/report.h"

#include <rapidjson/prettywriter.h>
#include <rapidjson/stringbuffer.h>

#include <algorithm>
#include <cstdio>
#include <cstdlib>
#include <fstream>

namespace cedarring::rig {
namespace {

/// Of the attempts at a replica in each second: variance over mean, over time, the mean of all replicas. A
/// draw that knows nothing makes 1, and a load that changes makes more.
double dispersion(const Scenario& s, const RunResult& r) {
  const auto first_second = static_cast<std::size_t>(s.warm_up.count() / 1'000'000) + 1;
  double sum = 0, replicas = 0;
  for (int h = 0; h < s.groups * s.members; ++h) {
    if (h % s.members == 0) continue;  // the first of a group is its primary at the start
    double count = 0, mean = 0, squares = 0;
    for (std::size_t t = first_second; t + 1 < r.seconds.size(); ++t) {
      const double v = r.seconds[t].attempts_by_host[static_cast<std::size_t>(h)], previous_mean = mean;
      mean += (v - mean) / ++count;
      squares += (v - previous_mean) * (v - mean);
    }
    if (count > 1 && mean > 0) {
      sum += squares / (count - 1) / mean;
      ++replicas;
    }
  }
  return replicas > 0 ? sum / replicas : 0;
}

}  // namespace

double quantile(std::vector<float>& v, double q) {
  if (v.empty()) return 0;
  const auto n = std::min(v.size() - 1, static_cast<std::size_t>(q * static_cast<double>(v.size())));
  std::nth_element(v.begin(), v.begin() + static_cast<std::ptrdiff_t>(n), v.end());
  return static_cast<double>(v[n]);
}

std::string table(const Scenario& s, RunResult& r) {
  std::string out;
  char line[256];
  const auto print = [&](auto... v) {
    std::snprintf(line, sizeof line, v...);
    out += line;
  };
  print("%s, seed %llu: %d gateways, %d hosts, %llu requests, %llu attempts, up in %.1f s\n", s.name.c_str(),
        static_cast<unsigned long long>(s.seed), s.gateways, s.groups * s.members,
        static_cast<unsigned long long>(r.requests), static_cast<unsigned long long>(r.attempts),
        r.startup_seconds);
  for (const auto& m : r.events) print("  %6.1f s  %s\n", m.at, m.text.c_str());
  print("%-12s %8s %8s %7s %8s %7s %6s %8s %8s\n", "class", "asked", "in time", "late", "refused", "failed",
        "lost", "p50 ms", "p99 ms");
  for (std::size_t i = 0; i < r.classes.size(); ++i) {
    auto& c = r.classes[i];
    const auto n = [](std::uint64_t v) { return static_cast<unsigned long long>(v); };
    print("%-12s %8llu %8llu %7llu %8llu %7llu %6llu %8.1f %8.1f\n", s.classes[i].contract.name.c_str(),
          n(c.asked), n(c.in_time), n(c.late), n(c.refused), n(c.failed), n(c.lost),
          quantile(c.latencies_ms, 0.5), quantile(c.latencies_ms, 0.99));
  }
  print(
      "worth served %.4f; attempts at a replica a second, variance over mean %.2f; gateways: %.1f s of "
      "processor, %.0f MB together\n",
      r.value_served, dispersion(s, r), r.gateways_cpu_seconds, r.gateways_mb);
  print("the rig's own sends: p99 %.1f ms late%s\n", r.send_delay_p99_ms,
        r.too_slow ? "; TOO SLOW for a verdict on figures" : "");
  for (std::size_t t = 0; t < r.seconds.size(); ++t)
    if (r.seconds[t].worst_send_delay_ms > 100)
      print("  second %zu: sent up to %.0f ms late\n", t, r.seconds[t].worst_send_delay_ms);
  if (r.crashes > 0) print("%llu gateways CRASHED\n", static_cast<unsigned long long>(r.crashes));
  if (r.violation_count == 0)
    print("rules kept\n");
  else
    print("%llu times a rule was BROKEN\n", static_cast<unsigned long long>(r.violation_count));
  for (std::size_t i = 0; i < r.violations.size() && i < 10; ++i)
    out +=
        "  " + r.violations[i].rule + ": " + r.violations[i].request + ' ' + r.violations[i].details + '\n';
  return out;
}

std::string result_json(const Scenario& s, RunResult& r) {
  rapidjson::StringBuffer b;
  rapidjson::PrettyWriter<rapidjson::StringBuffer> w(b);
  w.SetIndent(' ', 1);
  const auto write_string = [&](const char* k, const std::string& v) {
    w.Key(k);
    w.String(v.c_str());
  };
  const auto write_number = [&](const char* k, double v) {
    w.Key(k);
    w.Double(v);
  };
  const auto write_integer = [&](const char* k, std::uint64_t v) {
    w.Key(k);
    w.Uint64(v);
  };
  w.StartObject();
  w.Key("complete");
  w.Bool(r.error.empty());
  if (!r.error.empty()) write_string("error", r.error);
  write_string("scenario", s.name);
  write_integer("seed", s.seed);
  write_integer("gateways", static_cast<std::uint64_t>(s.gateways));
  write_integer("hosts", static_cast<std::uint64_t>(s.groups * s.members));
  write_integer("requests", r.requests);
  write_integer("attempts", r.attempts);
  write_integer("broken", r.violation_count);
  write_integer("crashes", r.crashes);
  write_number("worth_served", r.value_served);
  write_number("dispersion", dispersion(s, r));
  write_number("start_up_s", r.startup_seconds);
  write_number("lateness_p99_ms", r.send_delay_p99_ms);
  write_number("gateways_cpu_s", r.gateways_cpu_seconds);
  write_number("gateways_mb", r.gateways_mb);
  w.Key("too_slow");
  w.Bool(r.too_slow);
  w.Key("classes");
  w.StartArray();
  for (std::size_t i = 0; i < r.classes.size(); ++i) {
    auto& c = r.classes[i];
    w.StartObject();
    write_string("class", s.classes[i].contract.name);
    write_integer("asked", c.asked);
    write_integer("in_time", c.in_time);
    write_integer("late", c.late);
    write_integer("refused", c.refused);
    write_integer("failed", c.failed);
    write_integer("lost", c.lost);
    write_number("p50_ms", quantile(c.latencies_ms, 0.5));
    write_number("p99_ms", quantile(c.latencies_ms, 0.99));
    w.EndObject();
  }
  w.EndArray();
  w.Key("marks");
  w.StartArray();
  for (const auto& m : r.events) {
    w.StartObject();
    write_number("at_s", m.at);
    write_string("what", m.text);
    w.EndObject();
  }
  w.EndArray();
  w.Key("violations");
  w.StartArray();
  for (const auto& v : r.violations) {
    w.StartObject();
    write_string("rule", v.rule);
    write_string("request", v.request);
    write_string("course", v.details);
    w.EndObject();
  }
  w.EndArray();
  w.Key("seconds");
  w.StartArray();
  for (const auto& x : r.seconds) {
    w.StartObject();
    write_integer("asked", x.asked);
    write_integer("in_time", x.in_time);
    write_integer("refused", x.refused);
    write_integer("failed", x.failed);
    write_number("p99_ms", x.p99_ms);
    write_number("late_ms", x.worst_send_delay_ms);
    w.Key("by_host");
    w.StartArray();
    for (const auto v : x.attempts_by_host) w.Uint(v);
    w.EndArray();
    w.EndObject();
  }
  w.EndArray();
  w.EndObject();
  return std::string(b.GetString(), b.GetSize()) + '\n';
}

void write_plots(const Scenario& s, const RunResult& r, const std::string& folder) {
  std::ofstream load(folder + "/load.dat"), hosts(folder + "/hosts.dat"), script(folder + "/plot.gp");
  load << "# second asked in_time refused failed p99_ms\n";
  for (std::size_t t = 0; t < r.seconds.size(); ++t) {
    const auto& x = r.seconds[t];
    load << t << ' ' << x.asked << ' ' << x.in_time << ' ' << x.refused << ' ' << x.failed << ' ' << x.p99_ms
         << '\n';
    hosts << t;
    for (const auto v : x.attempts_by_host) hosts << ' ' << v;
    hosts << '\n';
  }
  script << "set datafile commentschars '#'\nset key outside\nset xlabel 'seconds'\nset grid\n";
  for (const auto& m : r.events)
    script << "set arrow from " << m.at << ", graph 0 to " << m.at << ", graph 1 nohead dt 2 lc 'gray'\n"
           << "set label \"" << m.text << "\" at " << m.at
           << ", graph 0.98 rotate by -90 font ',7' tc 'gray'\n";
  const auto write_plot = [&](const char* terminal, const char* kind) {
    script << "set terminal " << terminal << "\nset output '" << kind << "'\n"
           << "set multiplot layout 3,1 title '" << s.name << ", seed " << s.seed << "'\n"
           << "set ylabel 'requests a second'\nplot 'load.dat' using 1:2 with lines title 'asked', '' using "
              "1:3 with lines title 'in "
              "time', '' using 1:4 with lines title 'refused', '' using 1:5 with lines title 'failed'\n"
           << "set ylabel 'p99, ms'\nplot 'load.dat' using 1:6 with lines notitle\n"
           << "set ylabel 'attempts a host'\nplot for [i=2:" << s.groups * s.members + 1
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
