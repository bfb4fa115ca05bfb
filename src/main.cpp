// The command line.
#include <CLI/CLI.hpp>
#include <iostream>

#include "base/signals.h"
#include "commands/explain.h"
#include "commands/plan.h"
#include "server.h"

int main(int argc, char** argv) {
  using namespace steprail;
  block_signals();
  CLI::App app{"steprail: a coordinator in front of query engines"};
  app.require_subcommand(1);
  std::string path, own, word;
  const auto with_config = [&](CLI::App* command) {
    command->add_option("--config", path, "configuration file (JSON)")->envname("NODE_CONFIG")->required();
    command->add_option("--conf", own, "operator's file (directives; see help-config)");
    return command;
  };
  CLI::App* serve = with_config(app.add_subcommand("serve", "serve until SIGTERM"));
  CLI::App* check =
      with_config(app.add_subcommand("check-config", "read the configuration and say if it can be used"));
  CLI::App* help = app.add_subcommand("help-config", "print what may stand in the operator's file");
  help->add_option("word", word, "one block or directive");
  commands::ExplainOptions asked;
  CLI::App* explain =
      with_config(app.add_subcommand("explain", "print the route that a request takes, and why"));
  explain->add_option("--class", asked.cls, "its class")->required();
  explain->add_option("--tenant", asked.tenant, "its tenant");
  explain->add_option("--front", asked.front, "platform, spool or edge")->capture_default_str();
  explain->add_option("--statement", asked.statement, "its statement, which names the group of tables");
  explain->add_option("--group", asked.group, "the group, where no statement is given");
  explain->add_option("--work", asked.work_ms, "its estimated work, ms");
  explain->add_option("--memory", asked.memory_mb, "its estimated memory, MB");
  std::string traffic;
  CLI::App* plan =
      with_config(app.add_subcommand("plan", "print routes for stated traffic, with what each line brings"));
  plan->add_option("--traffic", traffic, "what comes: rates, times and losses, by class")->required();
  CLI::App* version = app.add_subcommand("version", "print the version");
  CLI11_PARSE(app, argc, argv);
  // The other commands are ended by what ends any command; serving takes its signals once it has handlers.
  if (!*serve) unblock_signals();
  try {
    if (*version) std::cout << "steprail " STEPRAIL_VERSION "\n";
    if (*help) {
      conf::Schema schema;
      OperatorConf conf;
      register_all(schema, conf);
      const std::string text = schema.reference(word);
      if (text.empty()) throw std::runtime_error("no block or directive is named '" + word + "'");
      std::cout << text;
    }
    const auto read_own = [&] { return own.empty() ? OperatorConf{} : read_operator(own); };
    if (*check) {
      const Config config = read_config(path);
      const OperatorConf conf = read_own();
      const std::string fault = misfit(conf, config.memory_mb, config.sockets);
      if (!fault.empty()) throw std::runtime_error(own + ": " + fault);
      routes_of(conf, config.settings, config.tables);
      std::cout << config.name << ": can be used\n";
    }
    if (*explain) {
      if (own.empty()) throw std::runtime_error("explain needs --conf: routes stand in the operator's file");
      asked.config = path, asked.conf = own;
      commands::explain(asked, std::cout);
    }
    if (*plan) commands::plan(path, own, traffic, std::cout);
    if (*serve) {
      Server server(read_config(path), read_own());
      server.start();
      server.io().run();
    }
  } catch (const std::exception& fault) {
    std::cerr << "steprail: " << fault.what() << '\n';
    return 1;
  }
  return 0;
}
