// Starts gateways as child processes. The kernel kills them when the rig exits, however it ends.
#pragma once

#include <sys/types.h>

#include <string>
#include <utility>
#include <vector>

namespace cedarring::rig {

/// Runs in a child of the rig before it becomes the program: asks to be killed with its parent, then executes
/// the program. Returns an exit code only on failure.
int become(char** argv);

/// Starts `program` through this executable, with these environment variables added to the rig's own, and its
/// output appended to the file `log`. Returns the process id, or -1 on failure.
pid_t start_program(const std::string& program,
                    const std::vector<std::pair<std::string, std::string>>& variables,
                    const std::string& log);

}  // namespace cedarring::rig
