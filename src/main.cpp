// The real gateway: reads its configuration, serves, ends on SIGTERM.
#include <csignal>
#include <exception>
#include <iostream>

#include "app/gateway.h"

int main() {
  std::signal(SIGPIPE, SIG_IGN);
  std::signal(SIGHUP, SIG_IGN);  // until the gateway takes it
  try {
    ev::default_loop loop;
    cedarring::app::Gateway gateway(loop, cedarring::app::load_config());
    gateway.run();
    return 0;
  } catch (const std::exception& e) {
    std::cerr << "cedarring: " << e.what() << '\n';
    return 1;
  }
}
