// Settings and load reports, read from text. The one parser of both: the gateway and the simulator's adapter
// use it.
#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "cedarring/router.h"

namespace cedarring {

/// Settings from name=value pairs by path, as an `enlist` line has them. Adds the names of zones to `zones`,
/// sets `base_time` to what positions on that wire are counted from. Throws std::invalid_argument naming the
/// key.
Settings parse_settings(std::string_view facts, std::uint64_t seed, std::string_view zone,
                        std::vector<std::string>& zones, Time& base_time);

/// A load report from name-separator-value pairs set apart by commas; what cannot be read is passed over.
LoadReport parse_report(std::optional<std::string_view> stats, Time base, char separator = ':');
/// The same from a socket, where a part that cannot be read puts all of it in doubt: then it tells nothing.
LoadReport parse_whole_report(std::string_view stats);

/// The number of a zone's name, which is added if it is new.
ZoneId zone_id(std::string_view name, std::vector<std::string>& zones);

}  // namespace cedarring
