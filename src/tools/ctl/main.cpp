// cedarring ctl: what a running gateway says of itself, and the few things that an operator may set, over its
// admin socket.
#include <CLI/CLI.hpp>
#include <iostream>

#include "tools/ctl/show.h"
#include "wire/admin.h"

int main(int argc, char** argv) {
  CLI::App app("Talk to a running gateway over its admin socket", "cedarring ctl");
  std::string socket = "/run/cedarring/admin.sock";
  bool json = false;
  app.add_option("-s,--socket", socket, "The socket, as in the section admin")->envname("CEDARRING_ADMIN");
  app.add_flag("--json", json, "The answer as it came");
  std::string line;
  const auto plain = [&](const char* name, const char* what) {
    app.add_subcommand(name, what)->callback([&line, name] { line = name; });
  };
  plain("levels", "Levels of reduced service, by front");
  plain("contracts", "Each team's use of each class against its contract");
  plain("hosts", "Groups and how their hosts fare");
  int count = 50;
  auto* records = app.add_subcommand("records", "The last decisions recorded");
  records->add_option("N", count, "How many")->check(CLI::Range(1, 10000));
  records->callback([&] { line = "records " + std::to_string(count); });
  std::string front, axis, level;
  int seconds = 0;
  auto* set = app.add_subcommand("set-level", "Hold a level until a time");
  set->add_option("FRONT", front, "postgresql or mysql")->required();
  set->add_option("AXIS", axis, "pressure, or the number of a group")->required();
  set->add_option("LEVEL", level, "Its name")->required();
  set->add_option("SECONDS", seconds, "How long")->required()->check(CLI::Range(1, 86400));
  set->callback(
      [&] { line = "set-level " + front + " " + axis + " " + level + " " + std::to_string(seconds); });
  auto* unset = app.add_subcommand("unset-level", "Take a held level back");
  unset->add_option("FRONT", front, "postgresql or mysql")->required();
  unset->add_option("AXIS", axis, "pressure, or the number of a group")->required();
  unset->callback([&] { line = "unset-level " + front + " " + axis; });
  app.require_subcommand(1);
  CLI11_PARSE(app, argc, argv);

  std::string answer, error;
  if (!cedarring::wire::send_admin_command(socket, line, answer, error)) {
    std::cerr << "cedarring ctl: " << error << '\n';
    return 1;
  }
  std::cout << (json ? answer : cedarring::tools::show(answer)) << '\n';
  return answer.rfind("{\"error\"", 0) == 0 ? 1 : 0;
}
