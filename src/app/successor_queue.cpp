#include "app/successor_queue.h"

#include <algorithm>

#include "wire/handover.h"

namespace cedarring::app {
namespace {

/// Well under the silence after which a successor takes this process for hung.
constexpr double heartbeat_interval_s = 0.2;
constexpr std::size_t max_waiting = 4;

}  // namespace

SuccessorQueue::SuccessorQueue(ev::loop_ref loop) : heartbeat_timer_(loop) {
  heartbeat_timer_.set<SuccessorQueue, &SuccessorQueue::send_heartbeats>(this);
}

void SuccessorQueue::add(wire::Fd link) {
  if (links_.size() >= max_waiting || !wire::send_wait(link)) return;
  links_.push_back(std::move(link));
  if (!heartbeat_timer_.is_active()) heartbeat_timer_.start(heartbeat_interval_s, heartbeat_interval_s);
}

std::optional<wire::Fd> SuccessorQueue::take() {
  while (!links_.empty()) {
    auto link = std::move(links_.front());
    links_.pop_front();
    if (links_.empty()) heartbeat_timer_.stop();
    if (wire::send_wait(link)) return link;  // else the successor has given up
  }
  return std::nullopt;
}

void SuccessorQueue::clear() {
  links_.clear();
  heartbeat_timer_.stop();
}

void SuccessorQueue::send_heartbeats(ev::timer&, int) {
  links_.erase(std::remove_if(links_.begin(), links_.end(),
                              [](const wire::Fd& link) { return !wire::send_wait(link); }),
               links_.end());
  if (links_.empty()) heartbeat_timer_.stop();
}

}  // namespace cedarring::app
