// Parsers of settings and load reports, shared by the gateway and the simulator's adapter.
#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "cedarring/router.h"

namespace cedarring {

/// Parses settings from space-separated name=value pairs with dotted names. `zone` overrides the zone in the
/// text unless it is empty. Adds new zone names to `zones` and sets `base_time` to the origin of the hosts'
/// replication positions. Throws std::invalid_argument, whose text is the name of the invalid setting.
Settings parse_settings(std::string_view text, std::uint64_t seed, std::string_view zone,
                        std::vector<std::string>& zones, Time& base_time);

/// Parses a load report from comma-separated pairs of a name, `separator` and a value. Positions are seconds
/// after `base`. Unknown and unreadable pairs are skipped.
LoadReport parse_report(std::optional<std::string_view> report_text, Time base, char separator = ':');
/// Parses a load report of comma-separated name=value pairs with positions as absolute times. A malformed
/// pair, a duplicate name, a negative value or a role other than 0 and 1 makes the whole report empty.
LoadReport parse_strict_report(std::string_view report_text);

/// Returns the id of a zone, its index in `zones`; adds the name if it is new.
ZoneId find_or_add_zone(std::string_view name, std::vector<std::string>& zones);

}  // namespace cedarring
