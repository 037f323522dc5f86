#include "app/gateway.h"

#include <algorithm>

namespace cedarring::app {
namespace {

constexpr double serve_after_term = 0.5;  // seconds: the front goes on sending for 0.2 to 0.4 s
constexpr std::size_t spare_descriptors = 48;  // listener, discovery, the loop's own, a burst of accepts

wire::SocketUpstream::Options upstream_options(const Config& c) {
  wire::SocketUpstream::Options o;
  o.connect_timeout = c.settings.connect_timeout;
  o.idle_close = c.settings.idle_close;
  o.most = (c.sockets - spare_descriptors) * 2 / 5;
  return o;
}

}  // namespace

Gateway::Gateway(ev::loop_ref loop, const Config& c)
    : loop_(loop),
      reaper_(loop),
      upstream_(loop, reaper_, [this] { return clock_.now(); }, upstream_options(c),
                [loop](wire::Fd fd, HostId host, wire::SocketUpstream& owner) {
                  return std::make_unique<wire::PgHost>(loop, std::move(fd), host, owner);
                },
                [this] { discovery_.start(); }),
      broker_(c.settings, c.budgets, c.zones, [this] { return clock_.now(); }, upstream_),
      discovery_(loop, reaper_, c.discovery, c.known.version,
                 {[this](const memory::MemberList& list) { broker_.listed(list); },
                  [this] { broker_.list_failed(); }}),
      front_(loop, reaper_, broker_, c.listen, (c.sockets - spare_descriptors) * 3 / 5,
             [loop](wire::Fd fd, wire::ClientSet& owner) {
               return std::make_unique<wire::PgClient>(loop, std::move(fd), owner);
             }),
      term_(loop),
      int_(loop),
      drain_(loop),
      check_(loop) {
  upstream_.attach(broker_);
  term_.set<Gateway, &Gateway::stop>(this);
  int_.set<Gateway, &Gateway::stop>(this);
  term_.start(SIGTERM);
  int_.start(SIGINT);
  drain_.set<Gateway, &Gateway::drain>(this);
  check_.set<Gateway, &Gateway::check_empty>(this);
  broker_.start(c.known);
}

void Gateway::run() { loop_.run(0); }

void Gateway::stop(ev::sig&, int) {
  if (!drain_.is_active() && !check_.is_active()) drain_.start(serve_after_term);
}

void Gateway::drain(ev::timer&, int) {
  front_.drain();
  check_.start();
  if (front_.empty()) loop_.break_loop(ev::ALL);
}

/// Once draining, ends as soon as the last client has its answer and has left.
void Gateway::check_empty(ev::check&, int) {
  if (front_.empty()) loop_.break_loop(ev::ALL);
}

}  // namespace cedarring::app
