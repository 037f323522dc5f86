// cedarring ctl: queries a running gateway over its admin socket, and sets or unsets operator overrides of
// levels.
#include <CLI/CLI.hpp>
#include <iostream>

#include "tools/ctl/show.h"
#include "wire/admin.h"

int main(int argc, char** argv) {
  CLI::App app("Query and control a running gateway over its admin socket", "cedarring ctl");
  std::string socket = "/run/cedarring/admin.sock";
  bool json = false;
  app.add_option("-s,--socket", socket,
                 "Path of the admin socket, as in the section admin of the gateway file")
      ->envname("CEDARRING_ADMIN");
  app.add_flag("--json", json, "Print the response as received");
  std::string command;
  // Adds a subcommand that is sent as it is.
  const auto add_query = [&](const char* name, const char* description) {
    app.add_subcommand(name, description)->callback([&command, name] { command = name; });
  };
  add_query("levels", "Degradation levels, by front end");
  add_query("contracts", "Each team's usage of each class against its contract");
  add_query("hosts", "Groups and the state of their hosts");
  int count = 50;
  auto* records = app.add_subcommand("records", "The latest decision records");
  records->add_option("N", count, "Number of records")->check(CLI::Range(1, 10000));
  records->callback([&] { command = "records " + std::to_string(count); });
  std::string front_end;
  std::string axis;
  std::string level;
  int seconds = 0;
  auto* set = app.add_subcommand("set-level", "Hold a degradation level for a number of seconds");
  set->add_option("FRONT", front_end, "postgresql or mysql")->required();
  set->add_option("AXIS", axis, "pressure, or the number of a group")->required();
  set->add_option("LEVEL", level, "Name of the level")->required();
  set->add_option("SECONDS", seconds, "Duration in seconds")->required()->check(CLI::Range(1, 86400));
  set->callback(
      [&] { command = "set-level " + front_end + " " + axis + " " + level + " " + std::to_string(seconds); });
  auto* unset = app.add_subcommand("unset-level", "Release a held degradation level");
  unset->add_option("FRONT", front_end, "postgresql or mysql")->required();
  unset->add_option("AXIS", axis, "pressure, or the number of a group")->required();
  unset->callback([&] { command = "unset-level " + front_end + " " + axis; });
  app.require_subcommand(1);
  CLI11_PARSE(app, argc, argv);

  std::string response;
  std::string error;
  if (!cedarring::wire::send_admin_command(socket, command, response, error)) {
    std::cerr << "cedarring ctl: " << error << '\n';
    return 1;
  }
  std::cout << (json ? response : cedarring::tools::format_response(response)) << '\n';
  return response.rfind("{\"error\"", 0) == 0 ? 1 : 0;
}
