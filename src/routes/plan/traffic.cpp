#include <cstdio>

#include "routes/plan/plan.h"

namespace steprail::routes {
namespace {

std::string text(double value) {
  char out[32];
  std::snprintf(out, sizeof out, "%.4g", value);
  return out;
}

}  // namespace

using Given = conf::Directive::Parsed;

void register_traffic(conf::Schema& schema, Traffic& into) {
  conf::Block& engines = schema.block("engines", "What all engines have together.");
  engines.directive("cores", "of all of them")
      .count("COUNT", 1, 1e7)
      .required()
      .on_parsed([&into](const Given& given) {
        return into.cores = static_cast<double>(given.integer(0)), std::string();
      });
  conf::Block& block = schema.block("traffic", "One kind of requests.");
  block.named([&into](const std::string& name, std::size_t line) {
    into.streams.emplace_back();
    into.streams.back().name = name;
    into.streams.back().line = line;
    return std::string();
  });
  const auto last = [&into]() -> Stream& { return into.streams.back(); };
  block.directive("class", "their class").text("NAME").required().on_parsed([last](const Given& given) {
    return last().cls = given.text(0), std::string();
  });
  block.directive("tenant", "their tenant")
      .text("NAME")
      .default_value("any")
      .on_parsed([last](const Given& given) { return last().tenant = given.text(0), std::string(); });
  block.directive("rate", "requests a second")
      .count("COUNT", 1, 1e6)
      .required()
      .on_parsed([last](const Given& given) {
        return last().rate = static_cast<double>(given.integer(0)), std::string();
      });
  block.directive("time", "of an attempt that is answered: its mean, and its deviation as a part of that")
      .time("MEAN", 1e3, 3.6e9)
      .option({"spread", conf::ValueKind::kPercent, 0.01, 5})
      .required()
      .on_parsed([last](const Given& given) {
        last().time_ms = static_cast<double>(given.integer(0)) / 1e3;
        last().spread = given.option("spread", 0.5);
        return std::string();
      });
  block.directive("lost", "attempts that never answer")
      .percent("PART", 0, 0.95)
      .default_value("0%")
      .on_parsed([last](const Given& given) { return last().lost = given.real(0), std::string(); });
}

std::string Plan::file() const {
  std::string out =
      "# Planned: " + text(worth) + " worth a second, " + text(worth_before) + " without routes.\n";
  for (const PlannedRoute& route : routes) {
    out += "route " + route.name + " {\n  class " + route.cls + '\n';
    if (!route.tenant.empty()) out += "  tenant " + route.tenant + '\n';
    for (const PlannedLine& line : route.lines)
      out +=
          "  " + line.text + (line.brings > 0 ? "  # brings " + text(line.brings) + " a second" : "") + '\n';
    out += "}\n";
  }
  return out;
}

}  // namespace steprail::routes
