// DNS zones: master files (RFC 1035), dynamic updates (RFC 2136), and the hosts that SRV records list (RFC
// 2782). Pure functions over bytes.
#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "broker/host_table.h"

namespace cedarring::wire::dns {

enum Type : std::uint16_t {
  type_a = 1,
  type_ns = 2,
  type_cname = 5,
  type_soa = 6,
  type_ptr = 12,
  type_mx = 15,
  type_txt = 16,
  type_aaaa = 28,
  type_srv = 33,
  type_any = 255
};
enum Class : std::uint16_t { class_in = 1, class_none = 254, class_any = 255 };
enum class Rcode : std::uint8_t {
  ok = 0,
  form_error = 1,
  server_failure = 2,
  nx_domain = 3,
  not_implemented = 4,
  refused = 5,
  yx_domain = 6,
  yx_rrset = 7,
  nx_rrset = 8,
  not_auth = 9,
  not_zone = 10
};

/// Names are kept as on the wire, uncompressed and in small letters: equal names are equal bytes.
struct Record {
  std::string name;
  std::uint16_t type = 0, cls = class_in;
  std::uint32_t ttl = 0;
  std::string data;  // names in it as above
};
struct Zone {
  std::string origin;
  std::vector<Record> records;
};

/// A name from its text; a relative one gets `origin`. Nothing if it is not a name.
std::optional<std::string> name_from_text(std::string_view text, std::string_view origin);
std::string name_to_text(std::string_view name);

/// Reads a master file; false with the line at fault in `error`.
bool parse_zone(std::string_view text, std::string_view origin, Zone& zone, std::string& error);

/// Carries an update out on the zone, all of it or nothing, and gives the response; empty if the message is
/// not to be answered. `changed` tells whether the zone is another now.
std::string answer_update(std::string_view message, Zone& zone, bool& changed);

/// The hosts of a zone: each SRV record of _mysql._tcp.gN is one of group N, the primary with priority 0. The
/// target's TXT record may tell zone=, state= and started_ms=. Targets without an address are left out.
broker::MemberList members_of(const Zone& zone, std::uint64_t version);

}  // namespace cedarring::wire::dns
