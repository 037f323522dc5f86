// The command line. Without a sub-command the gateway serves: it reads its configuration and ends on SIGTERM.
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

int serve(const std::string& file) {
  std::signal(SIGPIPE, SIG_IGN);
  std::signal(SIGHUP, SIG_IGN);  // until the gateway takes it
  ev::default_loop loop;
  cedarring::app::Gateway gateway(loop, cedarring::app::load_config(false, file), file);
  gateway.run();
  return 0;
}

/// Says what a gateway's file comes to. With the platform's configuration beside it (ROUTER_CONFIG) levels
/// are read against its classes, else only the file's form can be checked.
int check(const std::string& file) {
  using namespace cedarring::app;
  if (std::getenv("ROUTER_CONFIG")) {
    const auto c = load_config(false, file);
    for (const auto& note : c.notes) std::cerr << "note: " << note << '\n';
    const auto show = [](const char* front, const ServiceConfig& s) {
      std::vector<std::string> tenants;
      for (const auto& b : s.budgets) tenants.push_back(b.tenant);
      std::cout << front << " listens at " << s.listen << ", " << s.settings.classes.size() << " classes, "
                << tenants.size() << " tenants\n"
                << front
                << " levels: " << (s.levels ? levels_to_json(*s.levels, s.for_levels(), tenants) : "off")
                << '\n';
    };
    show("postgresql", c.platform);
    if (c.mysql)
      show("mysql", *c.mysql);
    else
      std::cout << "mysql: off\n";
  } else {
    std::ifstream in(file);
    std::stringstream text;
    text << in.rdbuf();
    if (!in) throw ConfigError(file + ": cannot be read");
    const auto f = parse_gateway_file(text.str(), file);
    std::cout << "the form is right; set ROUTER_CONFIG to have levels read against its classes\n";
  }
  return 0;
}

/// Any other word is a program of its own beside this one: the gateway stays lean.
[[noreturn]] void run_tool(char** argv) {
  char self[PATH_MAX] = "";
  const auto n = ::readlink("/proc/self/exe", self, sizeof self - 1);
  std::string path = n > 0 ? std::string(self, static_cast<std::size_t>(n)) : argv[0];
  path.resize(path.rfind('/') + 1);
  path += "cedarring-";
  path += argv[1];
  ::execv(path.c_str(), argv + 1);
  std::cerr << "cedarring: no command '" << argv[1] << "' (" << path << ": " << std::strerror(errno)
            << "); try cedarring --help\n";
  std::exit(2);
}

bool is_tool(const std::string& word) {
  if (word.empty() || word == "serve" || word == "check" || word == "version" || word == "help") return false;
  return word.find_first_not_of("abcdefghijklmnopqrstuvwxyz0123456789-") == std::string::npos &&
         word[0] != '-';
}

}  // namespace

int main(int argc, char** argv) {
  if (argc > 1 && is_tool(argv[1])) run_tool(argv);
  CLI::App app("cedarring, a gateway for ledgers kept by replica groups", "cedarring");
  std::string file, checked;
  app.add_option("--config", file,
                 "The gateway's own file; else CEDARRING_GATEWAY, else deploy/gateway.json");
  app.add_subcommand("serve", "Serve until SIGTERM; the same as no command")
      ->add_option("--config", file, "The gateway's own file");
  auto* check_command =
      app.add_subcommand("check", "Say whether a gateway's file can be used, and what it comes to");
  check_command->add_option("FILE", checked, "The file")->required();
  auto* version_command = app.add_subcommand("version", "Say which version this is");
  app.footer("Any other command NAME runs cedarring-NAME beside this program, such as: ctl");
  app.require_subcommand(0, 1);
  CLI11_PARSE(app, argc, argv);
  try {
    if (version_command->parsed()) return std::cout << "cedarring " << version << '\n', 0;
    if (check_command->parsed()) return check(checked);
    return serve(file);
  } catch (const std::exception& e) {
    std::cerr << "cedarring: " << e.what() << '\n';
    return 1;
  }
}
