// Formats responses of the admin socket for reading: nested JSON as indented lines, lists of objects as
// tables.
#pragma once

#include <string>

namespace cedarring::tools {

/// The response as text, without a line feed at its end. A response that is not a JSON object or array is
/// returned unchanged.
std::string format_response(const std::string& json);

}  // namespace cedarring::tools
