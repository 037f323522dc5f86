#include "app/gateway.h"

#include <algorithm>
#include <iostream>

#include "wire/mysql_client.h"
#include "wire/mysql_host.h"
#include "wire/pg_client.h"
#include "wire/pg_host.h"

namespace cedarring::app {
namespace {

constexpr double serve_after_term = 0.5;       // seconds: the front goes on sending for 0.2 to 0.4 s
constexpr std::size_t spare_descriptors = 48;  // listeners, discovery, the loop's own, a burst of accepts

template <class Host, class Client>
Service::Parts parts(ev::loop_ref loop) {
  return {[loop](wire::Fd fd, HostId host, wire::SocketUpstream& owner) {
            return std::make_unique<Host>(loop, std::move(fd), host, owner);
          },
          [loop](wire::Fd fd, wire::ClientSet& owner) {
            return std::make_unique<Client>(loop, std::move(fd), owner);
          }};
}

}  // namespace

Gateway::Gateway(ev::loop_ref loop, const Config& c)
    : loop_(loop),
      reaper_(loop),
      term_(loop),
      int_(loop),
      usr1_(loop),
      hup_(loop),
      drain_(loop),
      check_(loop) {
  term_.set<Gateway, &Gateway::stop>(this);
  int_.set<Gateway, &Gateway::stop>(this);
  term_.start(SIGTERM);
  int_.start(SIGINT);
  usr1_.set<Gateway, &Gateway::told>(this);
  usr1_.start(SIGUSR1);
  hup_.set<Gateway, &Gateway::reload>(this);
  hup_.start(SIGHUP);
  drain_.set<Gateway, &Gateway::drain>(this);
  check_.set<Gateway, &Gateway::check_empty>(this);
  wire::RingBuffer::set_bound((c.memory_mb << 20U) / 2);
  const auto clock = [this] { return clock_.now(); };
  const auto descriptors = (c.sockets - spare_descriptors) / (c.mysql ? 2 : 1);
  services_.push_back(std::make_unique<Service>(loop, reaper_, clock, c.platform,
                                                parts<wire::PgHost, wire::PgClient>(loop), descriptors));
  if (c.mysql)
    services_.push_back(std::make_unique<Service>(
        loop, reaper_, clock, *c.mysql, parts<wire::MysqlHost, wire::MysqlClient>(loop), descriptors));
}

void Gateway::run() {
  static constexpr const char* fronts[] = {"postgresql", "mysql"};
  for (std::size_t i = 0; i < services_.size(); ++i) {
    if (const auto zone = services_[i]->zone_address(); !zone.empty())
      std::cout << "listening dns " << zone << std::endl;
    std::cout << "listening " << fronts[i] << ' ' << services_[i]->address() << std::endl;
  }
  loop_.run(0);
  report();
}

/// One line a tenant: what it asked for at this gateway, how much of that beyond its share, and how it ended.
void Gateway::report() const {
  for (const auto& s : services_)
    for (const auto& b : s->budgets())
      std::cout << "tenant " << b.tenant << " asked " << b.asked << " over " << b.over << " served "
                << b.served << " refused " << b.refused << " failed " << b.failed << std::endl;
}

/// Moves the watches to where the configuration now says. Lists, requests and connections stay; whatever else
/// has changed in it takes a restart. One that cannot be used changes nothing.
void Gateway::reload(ev::sig&, int) {
  try {
    const auto c = load_config(true);
    services_[0]->move_watch(c.platform.discovery);
    if (c.mysql && services_.size() > 1) services_[1]->move_watch(c.mysql->discovery);
    std::cout << "reloaded, discovery " << c.platform.discovery << std::endl;
  } catch (const std::exception& e) { std::cout << "not reloaded: " << e.what() << std::endl; }
}

bool Gateway::empty() const {
  return std::all_of(
      services_.begin(), services_.end(), [](const auto& s) { return s->empty(); });
}

/// New clients are still taken for a while: those who send them here have not heard yet.
void Gateway::stop(ev::sig&, int) {
  if (!drain_.is_active() && !check_.is_active()) drain_.start(serve_after_term);
}

void Gateway::drain(ev::timer&, int) {
  for (auto& s : services_) s->drain();
  check_.start();
  if (empty()) loop_.break_loop(ev::ALL);
}

/// Once draining, ends as soon as the last client has its answer and has left.
void Gateway::check_empty(ev::prepare&, int) {
  if (empty()) loop_.break_loop(ev::ALL);
}

}  // namespace cedarring::app
