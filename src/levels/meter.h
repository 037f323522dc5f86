// How each class fares, as smoothed readings: from the endings of its requests, forgotten with time.
#pragma once

#include <cmath>
#include <vector>

#include "gates/gate.h"
#include "levels/readings.h"

namespace cedarring::levels {

/// Sums that fade with `memory`; what is asked of them is a share or a mean, so the fading cancels out.
class Meter {
 public:
  struct Class {
    double latency = 0, late = 0, served = 0, refused = 0, asked = 0;
    Time at{};
  };
  Meter(std::vector<Duration> aims, Duration memory)
      : aims_(std::move(aims)), by_(aims_.size()), memory_(memory) {}

  /// Requests that a gate has turned away do not count: a level must not be kept up by what it sheds itself.
  void add(ClassId cls, const gates::RequestResult& e, Time now) {
    if (cls.value < 0 || static_cast<std::size_t>(cls.value) >= by_.size() ||
        e.end == gates::RequestEnd::abandoned)
      return;
    if (e.end == gates::RequestEnd::refused && e.decided_by != gates::Decider::router &&
        e.decided_by != gates::Decider::nobody)
      return;
    auto& c = by_[static_cast<std::size_t>(cls.value)];
    fade(c, now);
    c.asked += 1;
    if (e.end != gates::RequestEnd::served) {
      c.refused += 1;
      return;
    }
    const auto aim = aims_[static_cast<std::size_t>(cls.value)];
    c.served += 1;
    c.latency +=
        static_cast<double>(e.elapsed.count()) / static_cast<double>(std::max<std::int64_t>(aim.count(), 1));
    c.late += e.elapsed > aim ? 1 : 0;
  }

  /// A class that nobody asks for any more is under no pressure: below one request it reads zero.
  [[nodiscard]] double read(Reading r, std::int32_t cls, Time now) {
    if (cls < 0 || static_cast<std::size_t>(cls) >= by_.size()) return 0;
    auto& c = by_[static_cast<std::size_t>(cls)];
    fade(c, now);
    const auto share = [](double part, double of) { return of < 1 ? 0.0 : std::min(1.0, part / of); };
    if (r == Reading::refused) return share(c.refused, c.asked);
    if (r == Reading::late) return share(c.late, c.served);
    return c.served < 1 ? 0 : c.latency / c.served;
  }

 private:
  void fade(Class& c, Time now) const {
    if (now <= c.at) return;
    const double keep =
        std::exp(-static_cast<double>((now - c.at).count()) / static_cast<double>(memory_.count()));
    for (auto* x : {&c.latency, &c.late, &c.served, &c.refused, &c.asked}) *x *= keep;
    c.at = now;
  }
  std::vector<Duration> aims_;
  std::vector<Class> by_;
  Duration memory_;
};

}  // namespace cedarring::levels
