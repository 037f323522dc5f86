// The gateway's metrics: counters since the process started, and gauges, as Prometheus text. Operators rely
// on the exported names and their meaning.
#pragma once

#include <cstdint>
#include <map>
#include <string>

namespace cedarring::telemetry {

/// Counters of one request class. Each accepted request is counted at its end in one of `ok`, `shed` and
/// `errors`, or in none of them if its client disconnected before. A rejected request (broker::Rejection) is
/// counted at once: in `shed` if it is late or too many are open, in none if its class is unknown, else in
/// `errors`.
struct ClassCounts {
  std::uint64_t ok = 0;      // requests served
  std::uint64_t shed = 0;    // requests refused
  std::uint64_t errors = 0;  // requests failed
  std::uint64_t tries = 0;   // attempts written completely to hosts
  ClassCounts& operator+=(const ClassCounts& other) {
    ok += other.ok;
    shed += other.shed;
    errors += other.errors;
    tries += other.tries;
    return *this;
  }
};

/// All metrics of the process.
struct Metrics {
  std::map<std::string, ClassCounts> classes;  // by name; every configured class, also at 0
  std::uint64_t active = 0;                    // requests accepted and not ended
  std::uint64_t pool_size = 0;                 // listed hosts
  std::uint64_t pool_ejected = 0;              // listed hosts disabled by operators or avoided now
  std::uint64_t statement_bytes = 0;           // reserved for long statements
  std::uint64_t statements_waiting = 0;        // clients whose long statement waits for memory
  std::uint64_t message_bytes = 0;             // taken by all other messages, see broker::MessageMemory
  std::uint64_t config_applied = 0;            // configuration files read at SIGHUP and applied
  std::uint64_t config_rejected = 0;           // configuration files read at SIGHUP and rejected
};

/// Prometheus text exposition format 0.0.4, with # HELP and # TYPE for each name.
std::string to_prometheus(const Metrics& metrics);

}  // namespace cedarring::telemetry
