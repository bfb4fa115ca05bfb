#include "spool/settings.h"

namespace steprail::spool {

namespace {
constexpr double kK = 1024, kM = 1024 * kK, kG = 1024 * kM;
constexpr double kSecond = 1e6;
}  // namespace

void register_spool(conf::Schema& schema, SpoolSettings& into) {
  using Given = conf::Directive::Parsed;
  const auto bytes = [](const Given& given, std::size_t n = 0) {
    return static_cast<Bytes>(given.integer(n));
  };
  const auto marks = [](Marks& of, const Given& given) {
    of.high = given.option("high", of.high);
    of.low = given.option("low", of.low);
    of.reserved = given.option("reserved", of.reserved);
    return of.low < of.high ? std::string() : "the low mark must lie below the high one";
  };
  const auto with_marks = [](conf::Directive& directive) -> conf::Directive& {
    return directive.option({"high", conf::ValueKind::kPercent, 0.02, 1})
        .option({"low", conf::ValueKind::kPercent, 0.01, 0.99})
        .option({"reserved", conf::ValueKind::kPercent, 0, 1});
  };
  conf::Block& block =
      schema.block("spool",
                   "Results are kept until their readers have them: the engine is freed when its answer is "
                   "complete, and a reader that drops can resume. Off where this block does not stand.");
  block.on_present([&into] { into.on = true; });
  block.directive("listen", "where readers connect, beside the platform's own service")
      .address("ADDRESS")
      .required()
      .on_parsed([&into](const Given& given) { return into.listen = given.text(0), std::string(); });
  with_marks(block
                 .directive("memory",
                            "bytes of results in memory; from the high mark down to the low one "
                            "results go to disk, or tenants get no more than is reserved for them")
                 .bytes("SIZE", kM, 1024 * kG))
      .default_value("64m high 90% low 70% reserved 50%")
      .on_parsed([=, &into](const Given& given) {
        into.logic.memory.most = bytes(given);
        return marks(into.logic.memory, given);
      });
  with_marks(block
                 .directive("disk",
                            "a folder of the spool's own, and bytes of results in it; without it there "
                            "is no disk tier and no thread")
                 .path("FOLDER")
                 .bytes("SIZE", kM, 16 * 1024 * kG))
      .default_value("none")
      .on_parsed([=, &into](const Given& given) {
        into.disk_path = given.text(0);
        into.logic.disk.most = bytes(given, 1);
        return marks(into.logic.disk, given);
      });
  block.directive("disk-above", "results of this size and more go to disk as soon as they are whole")
      .bytes("SIZE", kK, kG)
      .default_value("under pressure only")
      .on_parsed(
          [=, &into](const Given& given) { return into.logic.disk_above = bytes(given), std::string(); });
  block.directive("segment", "size of a file in the folder, from which on the next one is begun")
      .bytes("SIZE", 64 * kK, kG)
      .default_value("16m")
      .on_parsed([=, &into](const Given& given) { return into.segment = bytes(given), std::string(); });
  block.directive("compress", "level of zstd for what goes to disk")
      .count("LEVEL", 1, 19)
      .default_value("not compressed")
      .on_parsed([&into](const Given& given) {
        return into.compression = static_cast<int>(given.integer(0)), std::string();
      });
  block.directive("result-most", "the longest result; the platform's own bound is 48000 bytes")
      .bytes("SIZE", 6000, kG)
      .default_value("48000")
      .on_parsed(
          [=, &into](const Given& given) { return into.logic.result_most = bytes(given), std::string(); });
  block.directive("window-most", "bytes that one fetch gets at most")
      .bytes("SIZE", 8 * kK, 64 * kM)
      .default_value("1m")
      .on_parsed([=, &into](const Given& given) { return into.window_most = bytes(given), std::string(); });
  block.directive("unread-most", "bytes queued to one reader, from which on its next calls wait")
      .bytes("SIZE", 8 * kK, 64 * kM)
      .default_value("2m")
      .on_parsed([=, &into](const Given& given) { return into.unread_most = bytes(given), std::string(); });
  block
      .directive("lease",
                 "how long a result is kept after its reader was last heard from; never beyond the "
                 "request's give-up time")
      .time("TIME", kSecond / 10, 3600 * kSecond)
      .default_value("30s")
      .on_parsed(
          [&into](const Given& given) { return into.logic.lease = Micros{given.integer(0)}, std::string(); });
  block.directive("results-most", "results held at a time; those beyond are answered directly")
      .count("COUNT", 1, 1e7)
      .default_value("100000")
      .on_parsed([&into](const Given& given) {
        return into.logic.results_most = static_cast<std::size_t>(given.integer(0)), std::string();
      });
  block.directive("remember", "ended results whose end is still told to who asks for them")
      .count("COUNT", 0, 1e6)
      .default_value("4096")
      .on_parsed([&into](const Given& given) {
        return into.logic.remembered = static_cast<std::size_t>(given.integer(0)), std::string();
      });
  block.directive("sessions", "readers' connections at a time")
      .count("COUNT", 1, 65536)
      .default_value("256")
      .on_parsed([&into](const Given& given) {
        return into.sessions = static_cast<std::size_t>(given.integer(0)), std::string();
      });
  block.directive("share", "a tenant's share of both budgets; those not named divide the rest equally")
      .text("TENANT")
      .percent("SHARE", 0.001, 1)
      .repeated()
      .default_value("equal shares")
      .on_parsed([&into](const Given& given) {
        if (into.shares.emplace(given.text(0), given.real(1)).second) return std::string();
        return "the share of '" + given.text(0) + "' is given twice";
      });
  using Wrong = conf::Block::Violation;
  block.rule([&into]() -> Wrong {
    if (into.logic.result_most * 4 <= into.logic.memory.most) return {};
    return {"result-most",
            "a result may take a quarter of the memory at most, or a few would take all of it"};
  });
  block.rule([&into]() -> Wrong {
    double sum = 0;
    for (const auto& [_, share] : into.shares) sum += share;
    if (sum <= 1.0001) return {};
    return {"share", "the shares add up to more than 100%"};
  });
  block.rule([&into]() -> Wrong {
    if (into.logic.disk_above == 0 || !into.disk_path.empty()) return {};
    return {"disk-above", "there is no 'disk' for it"};
  });
  block.rule([&into]() -> Wrong {
    if (into.disk_path.empty() || into.segment * 2 <= into.logic.disk.most) return {};
    return {"segment", "the disk's budget must hold two segments at least"};
  });
  block.rule([&into]() -> Wrong {
    if (into.disk_path.empty() || into.logic.disk.most >= into.logic.result_most * 2) return {};
    return {"disk", "the disk's budget must hold two of the longest results at least"};
  });
}

std::string needs_restart(const SpoolSettings& running, const SpoolSettings& fresh) {
  if (running.on != fresh.on) return "spool";
  if (running.listen != fresh.listen) return "listen";
  if (running.disk_path != fresh.disk_path) return "disk";
  if (running.segment != fresh.segment) return "segment";
  if (running.compression != fresh.compression) return "compress";
  return {};
}

}  // namespace steprail::spool
