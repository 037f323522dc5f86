// Simulator adapter on standard input and output.
#include <iostream>

#include "sim/adapter.h"

int main() {
  std::ios::sync_with_stdio(false);
  std::cin.tie(nullptr);
  return cedarring::sim::run(std::cin, std::cout, std::cerr);
}
