#include "spool/settings.h"

namespace steprail::spool {

namespace {
constexpr double kKiB = 1024, kMiB = 1024 * kKiB, kGiB = 1024 * kMiB;
constexpr double kSecondUs = 1e6;
}  // namespace

void register_spool(conf::Schema& schema, SpoolSettings& settings) {
  using Given = conf::Directive::Parsed;
  const auto bytes = [](const Given& given, std::size_t n = 0) {
    return static_cast<Bytes>(given.integer(n));
  };
  const auto read_budget = [](BudgetSettings& budget, const Given& given) {
    budget.high_watermark = given.option("high", budget.high_watermark);
    budget.low_watermark = given.option("low", budget.low_watermark);
    budget.reserved_fraction = given.option("reserved", budget.reserved_fraction);
    return budget.low_watermark < budget.high_watermark ? std::string()
                                                        : "the low mark must lie below the high one";
  };
  const auto add_budget_options = [](conf::Directive& directive) -> conf::Directive& {
    return directive.option({"high", conf::ValueKind::kPercent, 0.02, 1})
        .option({"low", conf::ValueKind::kPercent, 0.01, 0.99})
        .option({"reserved", conf::ValueKind::kPercent, 0, 1});
  };
  conf::Block& block =
      schema.block("spool",
                   "Results are kept until their readers have them: the engine is freed when its "
                   "answer is complete, and a reader that disconnects can resume. Off without this block.");
  block.on_present([&settings] { settings.enabled = true; });
  block.directive("listen", "address for readers, beside the platform's own service")
      .address("ADDRESS")
      .required()
      .on_parsed([&settings](const Given& given) { return settings.listen = given.text(0), std::string(); });
  add_budget_options(
      block
          .directive("memory",
                     "bytes of results in memory; once above the high mark, and until below the "
                     "low one, results are evicted to disk, or tenants get no more than is reserved for them")
          .bytes("SIZE", kMiB, 1024 * kGiB))
      .default_value("64m high 90% low 70% reserved 50%")
      .on_parsed([=, &settings](const Given& given) {
        settings.logic.memory.max_bytes = bytes(given);
        return read_budget(settings.logic.memory, given);
      });
  add_budget_options(
      block
          .directive("disk",
                     "a folder of the spool's own, and the bytes of results in it; without it there is "
                     "no disk tier and no disk thread")
          .path("FOLDER")
          .bytes("SIZE", kMiB, 16 * 1024 * kGiB))
      .default_value("none")
      .on_parsed([=, &settings](const Given& given) {
        settings.disk_path = given.text(0);
        settings.logic.disk.max_bytes = bytes(given, 1);
        return read_budget(settings.logic.disk, given);
      });
  block.directive("disk-above", "results of this size and more are stored on disk as soon as they are whole")
      .bytes("SIZE", kKiB, kGiB)
      .default_value("under pressure only")
      .on_parsed([=, &settings](const Given& given) {
        return settings.logic.disk_threshold = bytes(given), std::string();
      });
  block.directive("segment", "size of a file in the folder from which on a new file is started")
      .bytes("SIZE", 64 * kKiB, kGiB)
      .default_value("16m")
      .on_parsed([=, &settings](const Given& given) {
        return settings.segment_bytes = bytes(given), std::string();
      });
  block.directive("compress", "zstd level for what is stored on disk")
      .count("LEVEL", 1, 19)
      .default_value("not compressed")
      .on_parsed([&settings](const Given& given) {
        return settings.compression = static_cast<int>(given.integer(0)), std::string();
      });
  block.directive("result-most", "size limit of a result; the platform's own bound is 48000 bytes")
      .bytes("SIZE", 6000, kGiB)
      .default_value("48000")
      .on_parsed([=, &settings](const Given& given) {
        return settings.logic.max_result_bytes = bytes(given), std::string();
      });
  block.directive("window-most", "largest number of bytes that one fetch returns")
      .bytes("SIZE", 8 * kKiB, 64 * kMiB)
      .default_value("1m")
      .on_parsed([=, &settings](const Given& given) {
        return settings.max_window_bytes = bytes(given), std::string();
      });
  block.directive("unread-most", "bytes queued to one reader from which on its next calls wait")
      .bytes("SIZE", 8 * kKiB, 64 * kMiB)
      .default_value("2m")
      .on_parsed([=, &settings](const Given& given) {
        return settings.max_unread_bytes = bytes(given), std::string();
      });
  block
      .directive("lease",
                 "how long a result is kept after its reader was last heard from; never beyond the "
                 "request's give-up time")
      .time("TIME", kSecondUs / 10, 3600 * kSecondUs)
      .default_value("30s")
      .on_parsed([&settings](const Given& given) {
        return settings.logic.lease = Micros{given.integer(0)}, std::string();
      });
  block
      .directive("results-most",
                 "limit on the results held at a time; requests beyond it are answered directly")
      .count("COUNT", 1, 1e7)
      .default_value("100000")
      .on_parsed([&settings](const Given& given) {
        return settings.logic.max_results = static_cast<std::size_t>(given.integer(0)), std::string();
      });
  block
      .directive("remember", "ended results that are remembered, so that a reader who comes late is told why")
      .count("COUNT", 0, 1e6)
      .default_value("4096")
      .on_parsed([&settings](const Given& given) {
        return settings.logic.max_remembered = static_cast<std::size_t>(given.integer(0)), std::string();
      });
  block.directive("sessions", "limit on readers' connections at a time")
      .count("COUNT", 1, 65536)
      .default_value("256")
      .on_parsed([&settings](const Given& given) {
        return settings.max_sessions = static_cast<std::size_t>(given.integer(0)), std::string();
      });
  block.directive("share", "a tenant's share of both budgets; those not named divide the rest equally")
      .text("TENANT")
      .percent("SHARE", 0.001, 1)
      .repeated()
      .default_value("equal shares")
      .on_parsed([&settings](const Given& given) {
        if (settings.shares.emplace(given.text(0), given.real(1)).second) return std::string();
        return "the share of '" + given.text(0) + "' is given twice";
      });
  using Wrong = conf::Block::Violation;
  block.rule([&settings]() -> Wrong {
    if (settings.logic.max_result_bytes * 4 <= settings.logic.memory.max_bytes) return {};
    return {"result-most",
            "a result may take a quarter of the memory at most, or a few would take all of it"};
  });
  block.rule([&settings]() -> Wrong {
    double sum = 0;
    for (const auto& [_, share] : settings.shares) sum += share;
    if (sum <= 1.0001) return {};
    return {"share", "the shares add up to more than 100%"};
  });
  block.rule([&settings]() -> Wrong {
    if (settings.logic.disk_threshold == 0 || !settings.disk_path.empty()) return {};
    return {"disk-above", "there is no 'disk' for it"};
  });
  block.rule([&settings]() -> Wrong {
    if (settings.disk_path.empty() || settings.segment_bytes * 2 <= settings.logic.disk.max_bytes) return {};
    return {"segment", "the disk's budget must hold two segments at least"};
  });
  block.rule([&settings]() -> Wrong {
    if (settings.disk_path.empty() || settings.logic.disk.max_bytes >= settings.logic.max_result_bytes * 2)
      return {};
    return {"disk", "the disk's budget must hold two of the longest results at least"};
  });
}

std::string needs_restart(const SpoolSettings& running, const SpoolSettings& updated) {
  if (running.enabled != updated.enabled) return "spool";
  if (running.listen != updated.listen) return "listen";
  if (running.disk_path != updated.disk_path) return "disk";
  if (running.segment_bytes != updated.segment_bytes) return "segment";
  if (running.compression != updated.compression) return "compress";
  return {};
}

}  // namespace steprail::spool
