// A scenario of the rig: what runs, the load, and the time line of faults. Read from JSON and checked before
// anything starts. No I/O beside what it is handed.
#pragma once

#include <cstdint>
#include <string>
#include <vector>

#include "tools/lab/simulation.h"

namespace cedarring::rig {

/// Some of the gateways or hosts: of a zone, a group, by number; of those a share, drawn by the seed.
struct Pick {
  enum class Kind { gateways, hosts, primary, discovery } kind = Kind::gateways;
  std::string zone;          // empty: any
  std::vector<int> numbers;  // empty: any; of `primary`: groups
  double share = 1;
};

enum class Do {
  kill,
  term,
  stop,
  hup,
  upgrade,
  slow,
  fail,
  silent,
  lag,
  drain,
  cut,
  delay,
  refuse,
  break_off,  // requests in work are reset, some behind a part of their answer
  spoil,      // answers that are not what they should be, or never end
  late,       // connections come up late
  hurry,      // idle connections are closed early
  mute,       // watches that are open fall silent and stay open
  tear,       // watches end in the middle of a list
  loss,       // of datagrams between gateways, as all that follow
  twice,      // some come two times
  disorder    // some come behind later ones
};

struct Fault {
  Duration at{};
  Do what = Do::kill;
  Pick on;           // of a link: its gateways
  Pick to;           // of a link: its hosts
  Duration lasts{};  // 0: to the end
  // slow, lag: times as long; fail, break_off, spoil: share of the requests; loss, twice, disorder: of the
  // datagrams; delay, late, hurry: milliseconds
  double factor = 1;
  bool reset = false;              // of a cut: connections are reset, and not silent
  bool there = true, back = true;  // of a cut: which ways
};

struct Scenario {
  std::string name;
  std::uint64_t seed = 1;
  int gateways = 3, groups = 3, members = 3;
  std::vector<std::string> zones{"a"};
  Duration length{10'000'000}, warm_up{2'000'000};
  double load = 0.5;  // of what the hosts can do
  double ramp = 1;    // times that at the end
  Duration takeover{2'000'000};
  Duration list_late{500'000};     // from a change to when discovery tells of it
  Duration front_late{1'000'000};  // from a gateway's death to when the front sends elsewhere
  Duration cold{14'000'000};
  double cold_from = 0.17;
  int memory_mb = 64, sockets = 512;
  lab::HostSpec host;
  std::vector<lab::ClassSpec> classes;
  std::vector<lab::TenantSpec> tenants;
  double leaving = 0;         // share of the requests whose clients leave before their time is up
  double probe_price = 0.05;  // of a request's worth, as the settings tell it
  // Of each gateway, as JSON; empty: none. Where gateways talk, @REAL@ is the address that it talks at,
  // @SHOWN@ the one that others reach it at, and "@SEEDS@" a list of the first three of those.
  std::string gateway_file;
  bool peers = false;  // they do
  std::vector<Fault> faults;
  double served_least = 0;  // of the worth, in time, for a verdict on figures; 0: none
};

/// Throws app::ConfigError, one line with the pointer.
Scenario parse_scenario(const std::string& text, const std::string& file);

/// The gateway's configuration, in the platform's form; `known`: the list that it starts with, as discovery
/// tells it.
std::string gateway_config(const Scenario& s, int gateway, const std::string& listen,
                           const std::string& control, const std::string& discovery,
                           const std::string& known);

/// Mean seconds of a host's work that a request takes, and requests a second at `load` 1.
double mean_work(const Scenario& s);
double full_rate(const Scenario& s);

}  // namespace cedarring::rig
