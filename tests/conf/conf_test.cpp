// Tests of the operator's configuration file: grammar, validation, error messages and reference.
#include <catch2/catch.hpp>

#include "conf/schema.h"
#include "spool/settings.h"

namespace {

using namespace steprail;
using namespace steprail::conf;

struct ReadResult {
  spool::SpoolSettings settings;
  std::vector<Diagnostic> diagnostics;
  std::string rendered;
};

ReadResult read_spool_settings(const std::string& text) {
  ReadResult result;
  Schema schema;
  spool::register_spool(schema, result.settings);
  const Document document = parse("s.conf", text);
  result.diagnostics = schema.apply(document);
  result.rendered = render_diagnostics(document, result.diagnostics);
  return result;
}

}  // namespace

TEST_CASE("units, options, comments and quoted words are parsed") {
  const ReadResult read = read_spool_settings(
      "# what is on\n"
      "spool {   # results\n"
      "\tlisten 127.0.0.1:7070\n"
      "  memory 8m high 80% low 25%\r\n"
      "  disk \"/var/lib/a b\" 2g\n"
      "  lease 1500ms\n"
      "  share vlaanderen 57%\n"
      "  share \"wal\\\"lonie\" 43%\n"
      "}\n");
  CHECK(read.rendered.empty());
  CHECK(read.settings.enabled);
  CHECK(read.settings.logic.memory.max_bytes == 8u << 20);
  CHECK(read.settings.logic.memory.high_watermark == Approx(0.8));
  CHECK(read.settings.logic.memory.low_watermark == Approx(0.25));
  CHECK(read.settings.disk_path == "/var/lib/a b");
  CHECK(read.settings.logic.disk.max_bytes == 2ull << 30);
  CHECK(read.settings.logic.lease == std::chrono::milliseconds(1500));
  CHECK(read.settings.shares.at("wal\"lonie") == Approx(0.43));
}

TEST_CASE("all errors are reported at once, with line, column, caret and a suggestion") {
  const ReadResult read = read_spool_settings(
      "spol {\n"
      "}\n"
      "spool {\n"
      "  listen nowhere\n"
      "  memroy 8m\n"
      "  lease 12\n"
      "  lease 5s\n"
      "  compress 99\n"
      "  disk relative 2g\n"
      "  sessions 5 6\n"
      "  memory 8m hihg 3%\n"
      "  segment (\n"
      "  share x \"y\n");
  CHECK(read.rendered.find("s.conf:1:1: 'spol' is no block; did you mean 'spool'?\n  spol {\n  ^~~~\n") !=
        std::string::npos);
  CHECK(read.rendered.find("s.conf:4:10: 'nowhere' is not an address") != std::string::npos);
  CHECK(read.rendered.find("s.conf:5:3: 'memroy' is no directive of spool; did you mean 'memory'?\n"
                           "    memroy 8m\n    ^~~~~~\n") != std::string::npos);
  CHECK(read.rendered.find("s.conf:6:9: '12' is not a time such as") != std::string::npos);
  CHECK(read.rendered.find("s.conf:7:3: 'lease' stands in line 6 already") != std::string::npos);
  CHECK(read.rendered.find("s.conf:8:12: '99' is out of range: 1 to 19") != std::string::npos);
  CHECK(read.rendered.find("s.conf:9:8: 'relative' is not a path") != std::string::npos);
  CHECK(read.rendered.find("s.conf:10:14: 'sessions' ends before this") != std::string::npos);
  CHECK(read.rendered.find("s.conf:11:13: 'hihg' is no word of memory; did you mean 'high'?") !=
        std::string::npos);
  CHECK(read.rendered.find("s.conf:12:11: this character can stand in \"quotes\" only") != std::string::npos);
  CHECK(read.rendered.find("s.conf:13:13: quoted text does not end") != std::string::npos);
  CHECK(read.rendered.find("s.conf:3:1: block 'spool' is not closed") != std::string::npos);
  CHECK(read.diagnostics.size() == 12);
}

TEST_CASE("rules across several directives are checked once each directive is valid") {
  const auto with = [](const std::string& lines) {
    return read_spool_settings("spool {\n  listen 127.0.0.1:0\n" + lines + "}\n").rendered;
  };
  CHECK(with("").empty());
  CHECK(read_spool_settings("spool {\n}\n").rendered.find("lacks 'listen ADDRESS'") != std::string::npos);
  CHECK(with("memory 4m\nresult-most 2m\n").find(":4:1: a result may take a quarter") != std::string::npos);
  CHECK(with("share a 60%\nshare b 60%\n").find("more than 100%") != std::string::npos);
  CHECK(with("share a 60%\nshare a 10%\n").find("given twice") != std::string::npos);
  CHECK(with("disk-above 64k\n").find("there is no 'disk' for it") != std::string::npos);
  CHECK(with("disk /tmp/x 4m\nsegment 4m\n").find("two segments") != std::string::npos);
  CHECK(with("memory 4m high 50% low 60%\n").find("the low mark must lie below") != std::string::npos);
  CHECK(read_spool_settings("}\n").rendered.find("closes no block") != std::string::npos);
  CHECK(read_spool_settings("spool\n").rendered.find("is a block") != std::string::npos);
  CHECK(with("memory {\n}\n").find("is no block") != std::string::npos);
}

TEST_CASE("any file content gives settings or errors, never a crash") {
  std::string text = "spool {\n listen 127.0.0.1:1\n memory 8m high 80%\n share \"a\\\\b\" 3%\n}\n";
  for (std::size_t length = 0; length <= text.size(); ++length) read_spool_settings(text.substr(0, length));
  for (std::size_t position = 0; position < text.size(); ++position) {
    for (const char c : {'\0', '"', '\\', '{', '}', '#', '\n', '\x80', '\xff'}) {
      std::string changed = text;
      changed[position] = c;
      read_spool_settings(changed);
    }
  }
  SUCCEED();
}

TEST_CASE("the reference states the unit, range and default of a directive") {
  Schema schema;
  spool::SpoolSettings settings;
  spool::register_spool(schema, settings);
  const std::string all = schema.reference();
  CHECK(all.find("spool { ... }") != std::string::npos);
  const std::string lease = schema.reference("lease");
  CHECK(lease.find("lease TIME\n") != std::string::npos);
  CHECK(lease.find("100ms to 1h") != std::string::npos);
  CHECK(lease.find("Default: 30s.") != std::string::npos);
  CHECK(lease.find("window-most") == std::string::npos);
  CHECK(schema.reference("nothing").empty());
}

TEST_CASE("defaults in the reference match the settings' initial values") {
  const spool::SpoolSettings settings;
  std::string error_text;
  const auto bytes = [&](const char* text) {
    return static_cast<std::uint64_t>(
        std::get<std::int64_t>(*parse_value({"", ValueKind::kBytes}, text, error_text)));
  };
  CHECK(settings.logic.memory.max_bytes == bytes("64m"));
  CHECK(settings.segment_bytes == bytes("16m"));
  CHECK(settings.max_window_bytes == bytes("1m"));
  CHECK(settings.max_unread_bytes == bytes("2m"));
  CHECK(settings.logic.max_result_bytes == 48000);
  CHECK(settings.logic.lease == std::chrono::seconds(30));
}
