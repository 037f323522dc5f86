#include "tools/rig/processes.h"

#include <fcntl.h>
#include <signal.h>
#include <spawn.h>
#include <sys/prctl.h>
#include <unistd.h>

#include <cstdlib>
#include <cstring>

extern char** environ;

namespace cedarring::rig {

/// argv: the rig, "become", the process id of the parent, the program.
int become(char** argv) {
  if (!argv[2] || !argv[3]) return 2;
  if (::prctl(PR_SET_PDEATHSIG, SIGKILL) != 0) return 2;
  // The parent may have exited before the signal was requested.
  if (::getppid() != std::atoi(argv[2])) return 2;
  char* args[] = {argv[3], nullptr};
  ::execv(argv[3], args);
  return 127;
}

pid_t start_program(const std::string& program,
                    const std::vector<std::pair<std::string, std::string>>& variables,
                    const std::string& log) {
  std::vector<std::string> assignments;
  for (const auto& [name, value] : variables) assignments.push_back(name + '=' + value);
  std::vector<char*> env;
  for (auto& v : assignments) env.push_back(v.data());
  for (char** v = environ; *v; ++v) {
    bool replaced = std::strncmp(*v, "ROUTER_", 7) == 0 || std::strncmp(*v, "CEDARRING_", 10) == 0;
    for (const auto& [name, value] : variables)
      replaced = replaced || std::strncmp(*v, (name + '=').c_str(), name.size() + 1) == 0;
    if (!replaced) env.push_back(*v);
  }
  env.push_back(nullptr);
  posix_spawn_file_actions_t files;
  posix_spawn_file_actions_init(&files);
  posix_spawn_file_actions_addopen(&files, 0, "/dev/null", O_RDONLY, 0);
  posix_spawn_file_actions_addopen(&files, 1, log.c_str(), O_WRONLY | O_CREAT | O_APPEND, 0644);
  posix_spawn_file_actions_adddup2(&files, 1, 2);
  posix_spawnattr_t attributes;
  posix_spawnattr_init(&attributes);
  sigset_t empty_mask, default_signals;
  sigemptyset(&empty_mask);
  sigemptyset(&default_signals);
  for (const int s : {SIGPIPE, SIGINT, SIGTERM, SIGHUP}) sigaddset(&default_signals, s);
  posix_spawnattr_setsigmask(&attributes, &empty_mask);
  posix_spawnattr_setsigdefault(&attributes, &default_signals);
  posix_spawnattr_setflags(&attributes, POSIX_SPAWN_SETSIGMASK | POSIX_SPAWN_SETSIGDEF);
  std::string self = "/proc/self/exe", word = "become", parent = std::to_string(::getpid()), path = program;
  char* args[] = {self.data(), word.data(), parent.data(), path.data(), nullptr};
  pid_t pid = -1;
  if (::posix_spawn(&pid, self.c_str(), &files, &attributes, args, env.data()) != 0) pid = -1;
  posix_spawn_file_actions_destroy(&files);
  posix_spawnattr_destroy(&attributes);
  return pid;
}

}  // namespace cedarring::rig
