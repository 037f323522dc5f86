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
namespace {

constexpr int exit_error = 2;
constexpr int exit_not_executed = 127;  // as a shell has it for a program that cannot be executed

}  // namespace

int become(char** argv) {
  if (!argv[2] || !argv[3]) return exit_error;
  if (::prctl(PR_SET_PDEATHSIG, SIGKILL) != 0) return exit_error;
  // The parent may have exited before the signal was requested.
  if (::getppid() != std::atoi(argv[2])) return exit_error;
  char* args[] = {argv[3], nullptr};
  ::execv(argv[3], args);
  return exit_not_executed;
}

bool signal_process(pid_t pid, int number) { return pid > 0 && ::kill(pid, number) == 0; }

pid_t start_program(const std::string& program,
                    const std::vector<std::pair<std::string, std::string>>& variables,
                    const std::string& log) {
  std::vector<std::string> assignments;
  for (const auto& [name, value] : variables) assignments.push_back(name + '=' + value);
  std::vector<char*> environment;
  for (auto& assignment : assignments) environment.push_back(assignment.data());
  const auto starts_with = [](const char* text, const std::string& prefix) {
    return std::strncmp(text, prefix.c_str(), prefix.size()) == 0;
  };
  for (char** inherited = environ; *inherited; ++inherited) {
    bool dropped = starts_with(*inherited, "ROUTER_") || starts_with(*inherited, "CEDARRING_");
    for (const auto& [name, value] : variables) dropped = dropped || starts_with(*inherited, name + '=');
    if (!dropped) environment.push_back(*inherited);
  }
  environment.push_back(nullptr);
  posix_spawn_file_actions_t files;
  posix_spawn_file_actions_init(&files);
  posix_spawn_file_actions_addopen(&files, 0, "/dev/null", O_RDONLY, 0);
  posix_spawn_file_actions_addopen(&files, 1, log.c_str(), O_WRONLY | O_CREAT | O_APPEND, 0644);
  posix_spawn_file_actions_adddup2(&files, 1, 2);
  posix_spawnattr_t attributes;
  posix_spawnattr_init(&attributes);
  // Ignored or blocked signals of the rig must not pass to the program.
  sigset_t empty_mask;
  sigset_t default_signals;
  sigemptyset(&empty_mask);
  sigemptyset(&default_signals);
  for (const int signal : {SIGPIPE, SIGINT, SIGTERM, SIGHUP}) sigaddset(&default_signals, signal);
  posix_spawnattr_setsigmask(&attributes, &empty_mask);
  posix_spawnattr_setsigdefault(&attributes, &default_signals);
  posix_spawnattr_setflags(&attributes, POSIX_SPAWN_SETSIGMASK | POSIX_SPAWN_SETSIGDEF);
  std::string self = "/proc/self/exe";
  std::string subcommand = "become";
  std::string parent = std::to_string(::getpid());
  std::string path = program;
  char* args[] = {self.data(), subcommand.data(), parent.data(), path.data(), nullptr};
  pid_t pid = -1;
  if (::posix_spawn(&pid, self.c_str(), &files, &attributes, args, environment.data()) != 0) pid = -1;
  posix_spawn_file_actions_destroy(&files);
  posix_spawnattr_destroy(&attributes);
  return pid;
}

}  // namespace cedarring::rig
