// DNS zones: master files (RFC 1035), dynamic updates (RFC 2136), and the hosts that SRV records list (RFC
// 2782). Pure functions over bytes. "Zone" means a DNS zone here, unless an availability zone is named.
#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "broker/host_table.h"

namespace cedarring::wire::dns {

/// Record types, as on the wire.
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
  type_opt = 41,
  type_any = 255
};
/// Record classes, as on the wire. In updates, class_none and class_any mark prerequisites and deletions.
enum Class : std::uint16_t { class_in = 1, class_none = 254, class_any = 255 };
/// Response codes (RFC 2136, 2.2), as on the wire.
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

/// A resource record. Names are kept as on the wire, uncompressed and in lower case, so that equal names are
/// equal bytes.
struct Record {
  std::string name;
  std::uint16_t type = 0;
  std::uint16_t class_code = class_in;
  std::uint32_t ttl = 0;  // seconds
  std::string data;       // as on the wire, with its names uncompressed and in lower case
};
/// The records at and below the name `origin`.
struct Zone {
  std::string origin;  // as on the wire
  std::vector<Record> records;
};

/// Parses a name in text form; a relative name is completed with `origin`, which is given as on the wire.
/// Nothing if the result is not a valid name.
std::optional<std::string> name_from_text(std::string_view text, std::string_view origin);
/// The text form of a name given as on the wire, with its final dot.
std::string name_to_text(std::string_view name);

/// Parses a master file of the zone at `origin`, which is given in text form. Returns false if either is
/// invalid and sets `error` to the reason: "origin", "line N" for an invalid line, or "no SOA record".
bool parse_zone(std::string_view text, std::string_view origin, Zone& zone, std::string& error);

/// Applies an update message to the zone, completely or not at all, and returns the response; empty if the
/// message must not be answered. Sets `changed` to whether the zone has changed.
std::string handle_update(std::string_view message, Zone& zone, bool& changed);

/// The member list of a zone. Each SRV record of _mysql._tcp.gN is a host of group N, a primary if the
/// record's priority is 0. TXT records of the target may set zone= (the host's availability zone),
/// state=draining and started_ms= (Unix time). Targets without an A record are left out.
broker::MemberList member_list_of(const Zone& zone, std::uint64_t version);

}  // namespace cedarring::wire::dns
