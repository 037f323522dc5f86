// Smoothed readings of each request class: latency, lateness and refusals of its recent requests.
#pragma once

#include <cmath>
#include <vector>

#include "gates/gate.h"
#include "levels/readings.h"

namespace cedarring::levels {

/// Keeps sums per class that decay exponentially with time constant `decay_time`. Readings are quotients of
/// two such sums, so that the decay cancels out.
class ClassMeter {
 public:
  /// Decaying sums over the requests of one class.
  struct ClassSums {
    double relative_latency = 0;  // sum of latency / latency target over served requests
    double late = 0;              // served requests that exceeded the latency target
    double served = 0;            // served requests
    double refused = 0;           // refused or failed requests
    double requests = 0;          // served, refused or failed requests
    Time updated_at{};            // time up to which the sums have decayed
  };

  /// `latency_targets`: one for each class, by class id.
  ClassMeter(std::vector<Duration> latency_targets, Duration decay_time)
      : latency_targets_(std::move(latency_targets)),
        classes_(latency_targets_.size()),
        decay_time_(decay_time) {}

  /// Counts a request that has ended. Abandoned requests do not count, and neither do requests that a gate
  /// has refused: what a level sheds itself must not keep the level in force.
  void add(ClassId class_id, const gates::RequestResult& result, Time now) {
    if (class_id.value < 0 || static_cast<std::size_t>(class_id.value) >= classes_.size() ||
        result.end == gates::RequestEnd::abandoned)
      return;
    if (result.end == gates::RequestEnd::refused && result.decided_by != gates::Decider::router &&
        result.decided_by != gates::Decider::nobody)
      return;
    auto& sums = classes_[static_cast<std::size_t>(class_id.value)];
    decay(sums, now);
    sums.requests += 1;
    if (result.end != gates::RequestEnd::served) {
      sums.refused += 1;
      return;
    }
    const auto target = latency_targets_[static_cast<std::size_t>(class_id.value)];
    sums.served += 1;
    sums.relative_latency += static_cast<double>(result.elapsed.count()) /
                             static_cast<double>(std::max<std::int64_t>(target.count(), 1));
    sums.late += result.elapsed > target ? 1 : 0;
  }

  /// The reading of a class at `now`. Zero if less than one request remains in the sums: a class without
  /// traffic is under no pressure.
  [[nodiscard]] double read(Reading reading, std::int32_t class_index, Time now) {
    if (class_index < 0 || static_cast<std::size_t>(class_index) >= classes_.size()) return 0;
    auto& sums = classes_[static_cast<std::size_t>(class_index)];
    decay(sums, now);
    const auto share = [](double part, double total) {
      return total < 1 ? 0.0 : std::min(1.0, part / total);
    };
    if (reading == Reading::refused) return share(sums.refused, sums.requests);
    if (reading == Reading::late) return share(sums.late, sums.served);
    return sums.served < 1 ? 0 : sums.relative_latency / sums.served;
  }

 private:
  void decay(ClassSums& sums, Time now) const {
    if (now <= sums.updated_at) return;
    const double factor = std::exp(-static_cast<double>((now - sums.updated_at).count()) /
                                   static_cast<double>(decay_time_.count()));
    for (auto* sum : {&sums.relative_latency, &sums.late, &sums.served, &sums.refused, &sums.requests})
      *sum *= factor;
    sums.updated_at = now;
  }

  std::vector<Duration> latency_targets_;
  std::vector<ClassSums> classes_;
  Duration decay_time_;
};

}  // namespace cedarring::levels
