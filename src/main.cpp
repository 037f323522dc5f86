// The command line. Without a sub-command the gateway reads its configuration and serves until SIGTERM.
#include <unistd.h>

#include <CLI/CLI.hpp>
#include <climits>
#include <csignal>
#include <cstring>
#include <exception>
#include <fstream>
#include <iostream>
#include <sstream>

#include "app/gateway.h"

namespace {

constexpr const char* version = CEDARRING_VERSION;
constexpr int unknown_command_exit_code = 2;

/// Runs the gateway until SIGTERM; `file`: the gateway file, empty: the default one.
int serve(const std::string& file) {
  std::signal(SIGPIPE, SIG_IGN);
  // Until the gateway handles them:
  std::signal(SIGHUP, SIG_IGN);
  std::signal(SIGUSR1, SIG_IGN);
  ev::default_loop loop;
  cedarring::app::Gateway gateway(loop, cedarring::app::load_config(false, file), file);
  gateway.run();
  return 0;
}

/// Validates a gateway file and prints the resulting settings. With the platform's configuration
/// (ROUTER_CONFIG) levels are checked against its classes; without it only the syntax is checked.
int check(const std::string& file) {
  using namespace cedarring::app;
  if (std::getenv("ROUTER_CONFIG")) {
    const auto config = load_config(false, file);
    for (const auto& warning : config.warnings) std::cerr << "note: " << warning << '\n';
    const auto print_service = [](const char* front, const ServiceConfig& service) {
      std::vector<std::string> tenants;
      for (const auto& budget : service.budgets) tenants.push_back(budget.tenant);
      std::cout << front << " listens at " << service.listen << ", " << service.settings.classes.size()
                << " classes, " << tenants.size() << " tenants\n"
                << front << " levels: "
                << (service.levels ? levels_to_json(*service.levels, service.levels_service_info(), tenants)
                                   : "off")
                << '\n';
    };
    print_service("postgresql", config.platform);
    if (config.mysql)
      print_service("mysql", *config.mysql);
    else
      std::cout << "mysql: off\n";
  } else {
    std::ifstream in(file);
    std::stringstream text;
    text << in.rdbuf();
    if (!in) throw ConfigError(file + ": cannot be read");
    const auto parsed = parse_gateway_file(text.str(), file);
    std::cout << "the syntax is valid; set ROUTER_CONFIG to the platform's configuration to check levels and "
                 "contracts against its classes and tenants\n";
  }
  return 0;
}

/// Replaces this process by the program cedarring-NAME in the same folder, where NAME is the first argument.
/// Such commands are programs of their own to keep the gateway small.
[[noreturn]] void run_tool(char** argv) {
  char executable[PATH_MAX] = "";
  const auto length = ::readlink("/proc/self/exe", executable, sizeof executable - 1);
  std::string path = length > 0 ? std::string(executable, static_cast<std::size_t>(length)) : argv[0];
  path.resize(path.rfind('/') + 1);
  path += "cedarring-";
  path += argv[1];
  ::execv(path.c_str(), argv + 1);
  std::cerr << "cedarring: no command '" << argv[1] << "' (" << path << ": " << std::strerror(errno)
            << "); try cedarring --help\n";
  std::exit(unknown_command_exit_code);
}

/// Whether the first argument can name a tool: a word that is neither an option nor a command of this
/// program.
bool names_tool(const std::string& word) {
  if (word.empty() || word == "serve" || word == "check" || word == "version" || word == "help") return false;
  return word.find_first_not_of("abcdefghijklmnopqrstuvwxyz0123456789-") == std::string::npos &&
         word[0] != '-';
}

}  // namespace

int main(int argc, char** argv) {
  if (argc > 1 && names_tool(argv[1])) run_tool(argv);
  CLI::App app("cedarring, a gateway that distributes database requests over the hosts of replica groups",
               "cedarring");
  std::string file;
  std::string checked_file;
  app.add_option("--config", file, "The gateway file (default: CEDARRING_GATEWAY, else deploy/gateway.json)");
  app.add_subcommand("serve", "Serve until SIGTERM (default)")
      ->add_option("--config", file, "The gateway file");
  auto* check_command =
      app.add_subcommand("check", "Validate a gateway file and print the resulting settings");
  check_command->add_option("FILE", checked_file, "The gateway file")->required();
  auto* version_command = app.add_subcommand("version", "Print the version");
  app.footer("Any other command NAME runs the program cedarring-NAME, such as: ctl");
  app.require_subcommand(0, 1);
  CLI11_PARSE(app, argc, argv);
  try {
    if (version_command->parsed()) {
      std::cout << "cedarring " << version << '\n';
      return 0;
    }
    if (check_command->parsed()) return check(checked_file);
    return serve(file);
  } catch (const cedarring::app::StartCancelled& e) {
    std::cout << "cedarring: " << e.what() << std::endl;
    return 0;
  } catch (const std::exception& e) {
    std::cerr << "cedarring: " << e.what() << '\n';
    return 1;
  }
}
