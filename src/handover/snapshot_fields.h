// JSON fields of a router snapshot; see handover/json_archive.h for the serialize functions. The snapshot is
// written in two sections, because session commits are numerous and change with every write, while the other
// state is sent twice during a handover. The keys are part of the format between two builds of the gateway;
// some differ from the names of the fields.
#pragma once

#include "cedarring/snapshot.h"

namespace cedarring {

template <class Archive>
void serialize(Archive& archive, HostSnapshot& host) {
  archive("host", host.name);
  archive("fails", host.failure_score);
  archive("judged_us", host.last_outcome_age);
  archive("ejected_us", host.ejection_remaining);
  archive("backoff_us", host.backoff);
  archive("lost_probes", host.lost_probes);
  archive("refusals", host.refusals);
  archive("cold_us", host.start_age);
  archive("sent", host.slow_start_sends);
  archive("slowness", host.relative_latency);
  archive("load", host.load);
  archive("window", host.concurrency_limit);
}
template <class Archive>
void serialize(Archive& archive, SessionSnapshot& session) {
  archive("group", session.group);
  archive("session", session.session);
  archive("commit_us", session.commit);
}
template <class Archive>
void serialize(Archive& archive, ClassSnapshot& request_class) {
  archive("name", request_class.name);
  archive("latency_us", request_class.latency);
  archive("arrived", request_class.arrived);
  archive("served", request_class.served);
  archive("asked_replicas", request_class.demand[0]);
  archive("asked_primaries", request_class.demand[1]);
}

namespace handover {

/// Section of the hosts, classes and budgets of a router.
struct HostsSection {
  RouterSnapshot snapshot;
};
template <class Archive>
void serialize(Archive& archive, HostsSection& section) {
  archive("hosts", section.snapshot.hosts);
  archive("classes", section.snapshot.classes);
  archive("age_us", section.snapshot.age);
  archive("retries", section.snapshot.retry_tokens);
  archive("probes", section.snapshot.probe_tokens);
  archive("cold_whole", section.snapshot.slow_start_share_total);
  archive("cold_part", section.snapshot.slow_start_share);
}
/// Section of the session positions of a router.
struct SessionsSection {
  RouterSnapshot snapshot;
};
template <class Archive>
void serialize(Archive& archive, SessionsSection& section) {
  archive("sessions", section.snapshot.sessions);
  archive("floors", section.snapshot.floors);
}

}  // namespace handover
}  // namespace cedarring
