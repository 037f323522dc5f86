// Starts gateways as child processes. The kernel kills them when the rig exits, however it ends.
#pragma once

#include <sys/types.h>

#include <string>
#include <utility>
#include <vector>

namespace cedarring::rig {

/// The part of start_program() that runs in the child process: asks the kernel to kill the process with its
/// parent, then executes the program. Returns only on failure, an exit code. `argv`: the rig, "become", the
/// process id of the parent, the program.
int become(char** argv);

/// Starts `program` through this executable, with its output appended to the file `log`. Its environment is
/// that of the rig without all variables of gateways (ROUTER_ and CEDARRING_), and with `variables`, given as
/// names and values. Returns the process id, or -1 on failure.
pid_t start_program(const std::string& program,
                    const std::vector<std::pair<std::string, std::string>>& variables,
                    const std::string& log);

/// Sends a signal to one process. Returns false, and sends nothing, unless `pid` is the id of a process:
/// kill() takes 0 and negative numbers for groups of processes, -1 for all that it may signal.
bool signal_process(pid_t pid, int number);

}  // namespace cedarring::rig
