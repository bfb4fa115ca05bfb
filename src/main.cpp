// The command line.
#include <CLI/CLI.hpp>
#include <iostream>

#include "server.h"

int main(int argc, char** argv) {
  using namespace steprail;
  CLI::App app{"steprail: a coordinator in front of query engines"};
  app.require_subcommand(1);
  std::string path;
  const auto with_config = [&](CLI::App* command) {
    command->add_option("--config", path, "configuration file (JSON)")->envname("NODE_CONFIG")->required();
    return command;
  };
  CLI::App* serve = with_config(app.add_subcommand("serve", "serve until SIGTERM"));
  CLI::App* check =
      with_config(app.add_subcommand("check-config", "read the configuration and say if it can be used"));
  CLI::App* version = app.add_subcommand("version", "print the version");
  CLI11_PARSE(app, argc, argv);
  try {
    if (*version) std::cout << "steprail " STEPRAIL_VERSION "\n";
    if (*check) {
      const Config config = read_config(path);
      std::cout << config.name << ": can be used\n";
    }
    if (*serve) {
      Server server(read_config(path));
      server.start();
      server.io().run();
    }
  } catch (const std::exception& fault) {
    std::cerr << "steprail: " << fault.what() << '\n';
    return 1;
  }
  return 0;
}
