// Wiring, start and stop of one gateway.
#pragma once

#include <ev++.h>

#include "app/clock.h"
#include "app/config.h"
#include "memory/broker.h"
#include "wire/discovery.h"
#include "wire/pg_client.h"
#include "wire/pg_host.h"

namespace cedarring::app {

class Gateway {
 public:
  Gateway(ev::loop_ref loop, const Config& config);
  /// Serves until a SIGTERM or SIGINT has been seen through.
  void run();

 private:
  void stop(ev::sig&, int);
  void drain(ev::timer&, int);
  void check_empty(ev::check&, int);

  ev::loop_ref loop_;
  UnixClock clock_;
  wire::Reaper reaper_;
  wire::SocketUpstream upstream_;
  memory::Broker broker_;
  wire::DiscoveryWatch discovery_;
  wire::ClientSet front_;
  ev::sig term_, int_;
  ev::timer drain_;
  ev::check check_;
};

}  // namespace cedarring::app
