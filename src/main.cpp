// The command line interface.
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
  std::string config_path, conf_path, topic;
  const auto add_config_options = [&](CLI::App* command) {
    command->add_option("--config", config_path, "configuration file (JSON)")
        ->envname("NODE_CONFIG")
        ->required();
    command->add_option("--conf", conf_path, "operator's file (directives; see help-config)");
    return command;
  };
  CLI::App* serve = add_config_options(app.add_subcommand("serve", "serve until SIGTERM"));
  CLI::App* check = add_config_options(
      app.add_subcommand("check-config", "read the configuration and check whether it can be used"));
  CLI::App* help = app.add_subcommand("help-config", "print what the operator's file may contain");
  help->add_option("word", topic, "a block or directive");
  commands::ExplainOptions explain_options;
  CLI::App* explain =
      add_config_options(app.add_subcommand("explain", "print the route that matches a request, and why"));
  explain->add_option("--class", explain_options.cls, "the request's class")->required();
  explain->add_option("--tenant", explain_options.tenant, "the request's tenant");
  explain->add_option("--front", explain_options.front, "the front that receives it: platform, spool or edge")
      ->capture_default_str();
  explain->add_option("--statement", explain_options.statement,
                      "the statement, from which the table group is derived");
  explain->add_option("--group", explain_options.group, "the table group, if no statement is given");
  explain->add_option("--work", explain_options.work_ms, "estimated work, ms");
  explain->add_option("--memory", explain_options.memory_mb, "estimated memory, MB");
  std::string traffic_path;
  CLI::App* plan = add_config_options(app.add_subcommand(
      "plan", "print proposed routes for the given traffic, with what each line achieves"));
  plan->add_option("--traffic", traffic_path,
                   "file that states what traffic to expect: rates, times and losses by class")
      ->required();
  CLI::App* version = app.add_subcommand("version", "print the version");
  CLI11_PARSE(app, argc, argv);
  // Signals end the other commands as usual; serve releases them once its handlers are installed.
  if (!*serve) unblock_signals();
  try {
    if (*version) std::cout << "steprail " STEPRAIL_VERSION "\n";
    if (*help) {
      conf::Schema schema;
      OperatorConf conf;
      register_blocks(schema, conf);
      const std::string text = schema.reference(topic);
      if (text.empty()) throw std::runtime_error("no block or directive is named '" + topic + "'");
      std::cout << text;
    }
    const auto read_conf = [&] { return conf_path.empty() ? OperatorConf{} : read_operator(conf_path); };
    if (*check) {
      const Config config = read_config(config_path);
      const OperatorConf conf = read_conf();
      const std::string fault = limit_violation(conf, config.memory_mb, config.sockets);
      if (!fault.empty()) throw std::runtime_error(conf_path + ": " + fault);
      resolve_routes(conf, config.settings, config.tables);
      std::cout << config.name << ": can be used\n";
    }
    if (*explain) {
      if (conf_path.empty())
        throw std::runtime_error("explain needs --conf: routes are defined in the operator's file");
      explain_options.config = config_path, explain_options.conf = conf_path;
      commands::explain(explain_options, std::cout);
    }
    if (*plan) commands::plan(config_path, conf_path, traffic_path, std::cout);
    if (*serve) {
      Server server(read_config(config_path), read_conf());
      server.start();
      server.io().run();
    }
  } catch (const std::exception& fault) {
    std::cerr << "steprail: " << fault.what() << '\n';
    return 1;
  }
  return 0;
}
