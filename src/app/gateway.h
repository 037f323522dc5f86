// Wiring, start and stop of one gateway.
#pragma once

#include <ev++.h>

#include <memory>
#include <vector>

#include "app/clock.h"
#include "app/config.h"
#include "app/service.h"

namespace cedarring::app {

class Gateway {
 public:
  Gateway(ev::loop_ref loop, const Config& config);
  /// Serves until a SIGTERM or SIGINT has been seen through.
  void run();

 private:
  void stop(ev::sig&, int);
  void drain(ev::timer&, int);
  void reload(ev::sig&, int);
  void told(ev::sig&, int) { report(); }
  void report() const;
  void check_empty(ev::prepare&, int);
  [[nodiscard]] bool empty() const;

  ev::loop_ref loop_;
  UnixClock clock_;
  wire::Reaper reaper_;
  std::vector<std::unique_ptr<Service>> services_;
  ev::sig term_, int_, usr1_, hup_;
  ev::timer drain_;
  ev::prepare check_;
};

}  // namespace cedarring::app
