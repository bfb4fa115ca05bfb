// What a request costs on the platform's own path: the program as it is, with the operator's file, and an
// earlier build of it, by the processor's time of each process.
#pragma once

#include <memory>
#include <nlohmann/json.hpp>
#include <string>
#include <vector>

#include "bench/bench.h"
#include "standins/site.h"

namespace steprail::bench {

inline double cost_of_round(standin::Site& site, standin::Client& client, const Process& process,
                            int requests, std::uint64_t& next) {
  const double before = process.cpu_seconds();
  int open = 0, done = 0, asked = 0;
  while (done < requests) {
    while (open < 16 && asked < requests) {
      char id[17];
      std::snprintf(id, sizeof id, "%016llx", static_cast<unsigned long long>(++next));
      client.call("execute", ++asked, standin::request(id, "lookup"), "select 1 from a_7.t");
      ++open;
    }
    if (!site.run_until([&] {
          bool any = false;
          while (client.next_reply()) ++done, --open, any = true;
          return any || client.ended();
        }) ||
        client.ended())
      std::abort();
  }
  return process.cpu_seconds() - before;
}

// `before` may be empty. Ratios are medians over rounds taken in turn.
inline nlohmann::json ordinary_cost(const std::string& program, const std::string& before,
                                    const std::string& conf, bool quick) {
  using namespace standin;
  Site::Options options;
  options.engines = 4;
  options.conf = conf;
  Site site(options);
  site.kill();
  struct Variant {
    std::string name;
    std::unique_ptr<Site> listen;
    std::unique_ptr<Process> process;
    std::unique_ptr<Client> client;
    std::vector<double> costs;
  };
  std::vector<Variant> variants;
  const auto add = [&](const std::string& name, const std::string& path, bool on) {
    // A port that is free now: the program is told where to listen.
    tcp::acceptor probe(site.io, {boost::asio::ip::address_v4::loopback(), 0});
    const int port = probe.local_endpoint().port();
    probe.close();
    nlohmann::json config = site.config;
    config["listen"] = "127.0.0.1:" + std::to_string(port);
    const std::string file = name + ".json";
    site.temp_dir.write(file, config.dump());
    std::vector<std::string> words{path, "serve", "--config", site.temp_dir.path(file)};
    if (on) words.insert(words.end(), {"--conf", site.temp_dir.path("steprail.conf")});
    Variant variant{name, nullptr, std::make_unique<Process>(words, "serving as"), nullptr, {}};
    variant.client = std::make_unique<Client>(
        site.io, tcp::endpoint{boost::asio::ip::address_v4::loopback(), static_cast<std::uint16_t>(port)});
    variants.push_back(std::move(variant));
  };
  if (!before.empty()) add("before", before, false);
  add("off", program, false);
  add("on", program, true);
  const int requests = quick ? 2000 : 4000, rounds = quick ? 11 : 61;
  std::uint64_t next = 0;
  for (Variant& variant : variants)
    cost_of_round(site, *variant.client, *variant.process, requests / 4, next);
  for (int round = 0; round < rounds; ++round) {
    // The order turns, so that what a round leaves behind burdens each alike.
    for (std::size_t i = 0; i < variants.size(); ++i) {
      Variant& variant = variants[(i + static_cast<std::size_t>(round)) % variants.size()];
      variant.costs.push_back(cost_of_round(site, *variant.client, *variant.process, requests, next));
    }
  }
  const auto ratio = [&](const Variant& a, const Variant& b) {
    std::vector<double> ratios;
    for (std::size_t i = 0; i < a.costs.size(); ++i) ratios.push_back(a.costs[i] / b.costs[i]);
    return median(ratios);
  };
  nlohmann::json out = {
      {"ordinary_us_a_request", median(variants.back().costs) / requests * 1e6},
      {"ordinary_cost_on_over_off", ratio(variants[variants.size() - 1], variants[variants.size() - 2])},
      {"ordinary_idle_rss_off_mb", variants[variants.size() - 2].process->memory("VmRSS") / 1e6}};
  if (!before.empty()) {
    out["ordinary_cost_ratio_off"] = ratio(variants[1], variants[0]);
    out["ordinary_cost_ratio_on"] = ratio(variants[2], variants[0]);
    out["ordinary_rss_before_mb"] = variants[0].process->memory("VmRSS") / 1e6;
  }
  return out;
}

}  // namespace steprail::bench
