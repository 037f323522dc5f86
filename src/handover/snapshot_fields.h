// The fields of what a router tells, see handover/json_archive.h. In two records: commits of sessions are
// many and change by the request, all else goes over twice.
#pragma once

#include "cedarring/snapshot.h"

namespace cedarring {

template <class Archive>
void serialize(Archive& archive, HostSnapshot& h) {
  archive("host", h.name), archive("fails", h.failure_score), archive("judged_us", h.last_outcome_age),
      archive("ejected_us", h.ejection_remaining), archive("backoff_us", h.backoff);
  archive("lost_probes", h.lost_probes), archive("refusals", h.refusals), archive("cold_us", h.start_age),
      archive("sent", h.slow_start_sends);
  archive("slowness", h.relative_latency), archive("load", h.load), archive("window", h.concurrency_limit);
}
template <class Archive>
void serialize(Archive& archive, SessionSnapshot& s) {
  archive("group", s.group), archive("session", s.session), archive("commit_us", s.commit);
}
template <class Archive>
void serialize(Archive& archive, ClassSnapshot& c) {
  archive("name", c.name), archive("latency_us", c.latency), archive("arrived", c.arrived),
      archive("served", c.served);
  archive("asked_replicas", c.demand[0]), archive("asked_primaries", c.demand[1]);
}

namespace handover {

struct HostsSection {
  RouterSnapshot k;
};
template <class Archive>
void serialize(Archive& archive, HostsSection& p) {
  archive("hosts", p.k.hosts), archive("classes", p.k.classes), archive("age_us", p.k.age),
      archive("retries", p.k.retry_tokens);
  archive("probes", p.k.probe_tokens), archive("cold_whole", p.k.slow_start_share_total),
      archive("cold_part", p.k.slow_start_share);
}
struct SessionsSection {
  RouterSnapshot k;
};
template <class Archive>
void serialize(Archive& archive, SessionsSection& p) {
  archive("sessions", p.k.sessions), archive("floors", p.k.floors);
}

}  // namespace handover
}  // namespace cedarring
