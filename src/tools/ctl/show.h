// Answers of the admin socket for a person: nested JSON as indented lines, lists of objects as a table.
#pragma once

#include <string>

namespace cedarring::tools {

/// The answer as text; one that is no JSON comes back as it is.
std::string show(const std::string& json);

}  // namespace cedarring::tools
