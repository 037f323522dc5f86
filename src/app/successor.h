// The state of its services that a serving process passes to its successor, as JSON. Host lists, disabled
// hosts and observed roles are read completely or not at all; the other sections are independent of each
// other.
#pragma once

#include <map>
#include <optional>
#include <string>
#include <vector>

#include "broker/host_table.h"

namespace cedarring::app {

/// Sections of the state by name. Each section is a text with its own format version, so that a section that
/// cannot be read is skipped alone.
using StateSections = std::map<std::string, std::string>;

/// The state of one service.
struct ServiceState {
  std::string front;
  broker::MemberList list;                  // the host list in force
  std::vector<std::string> disabled_hosts;  // by operators
  /// The role and position of a host, as last observed.
  struct ObservedHost {
    std::string host;
    Role role = Role::unknown;
    std::optional<Time> position;  // lower bound; absent: unknown
  };
  std::vector<ObservedHost> observed_hosts;
  StateSections sections;
};

/// Formats the state of all services as JSON.
std::string to_json(const std::vector<ServiceState>& services);
/// Parses the output of to_json(); nothing if it is malformed.
std::optional<std::vector<ServiceState>> parse_services(const std::string& text);
/// The state of a service without its sections.
ServiceState capture_state(const std::string& front, const broker::HostTable& hosts);
/// The role of a name returned by role_name(); Role::unknown for any other word.
Role parse_role(const std::string& word);
/// The name of a role in the handover.
const char* role_name(Role role);

}  // namespace cedarring::app
