// What one process of a gateway tells the next of its services, as text. Lists, hosts out and roles are read
// whole or not used at all; the parts beside them stand each for itself.
#pragma once

#include <map>
#include <optional>
#include <string>
#include <vector>

#include "broker/host_table.h"

namespace cedarring::app {

/// StateParts of the state by name, each a text of its own form: one that cannot be read is left out alone.
using StateParts = std::map<std::string, std::string>;

struct ServiceState {
  std::string front;
  broker::MemberList list;
  std::vector<std::string> out;  // hosts left out by hand
  struct Heard {
    std::string host;
    Role role = Role::unknown;
    std::optional<Time> position;
  };
  std::vector<Heard> heard;
  StateParts parts;
};

std::string to_text(const std::vector<ServiceState>& services);
std::optional<std::vector<ServiceState>> services_of(const std::string& text);
ServiceState state_of(const std::string& front, const broker::HostTable& hosts);
Role role_of(const std::string& word);
const char* word_of(Role role);

}  // namespace cedarring::app
