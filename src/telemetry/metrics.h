// The figures that operators read: counts since the start of this process, as Prometheus text. Names and
// meaning are the operators' page's.
#pragma once

#include <cstdint>
#include <map>
#include <string>

namespace cedarring::telemetry {

/// Of one class. Each request taken ends under one of the first three, or under none where its client left
/// before.
struct ClassCounts {
  std::uint64_t ok = 0, shed = 0, errors = 0;  // requests served, refused, failed
  std::uint64_t tries = 0;                     // attempts written whole to hosts
  ClassCounts& operator+=(const ClassCounts& o) {
    ok += o.ok, shed += o.shed, errors += o.errors, tries += o.tries;
    return *this;
  }
};

struct Metrics {
  std::map<std::string, ClassCounts> classes;             // by name; each class of the settings, also at 0
  std::uint64_t active = 0;                               // requests taken and not ended
  std::uint64_t pool_size = 0;                            // hosts in the list
  std::uint64_t pool_ejected = 0;                         // of them, avoided now by hand or by choice
  std::uint64_t config_applied = 0, config_rejected = 0;  // files taken and turned down at SIGHUP
};

/// Text exposition format 0.0.4, # HELP and # TYPE with each name.
std::string to_prometheus(const Metrics& figures);

}  // namespace cedarring::telemetry
