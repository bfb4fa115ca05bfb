#include "net/directory.h"

#include <boost/asio/write.hpp>
#include <unordered_set>

#include "net/engine_pool.h"

namespace steprail {

using boost::system::error_code;
using nlohmann::json;

namespace {
// A line comes every second, and what a silent directory would have told counts as told 4 s after it stopped:
// two lines missed are enough to ask again.
constexpr std::chrono::milliseconds kSilenceMost{2200};
constexpr std::chrono::milliseconds kConnectMost{1000};
// Between connections. With the silence and one connect that fails it stays within what a change may be late
// by.
constexpr std::chrono::milliseconds kPause{200}, kPauseMost{800};
constexpr std::size_t kLongestLine = 4 << 20;
constexpr std::size_t kLeftOutLines = 8;  // in the log, of one event
// A line cut or garbled on its way comes whole when it is asked for again; one that never does is passed
// over.
constexpr int kBadMost = 3;

const std::map<std::string, Standing> kStates = {
    {"active", Standing::kReady}, {"leaving", Standing::kDraining}, {"left", Standing::kGone}};

struct Missing : std::runtime_error {
  using std::runtime_error::runtime_error;
};
}  // namespace

Directory::Directory(Strand strand, Coordinator& coordinator, EventLog& log, Tables& tables,
                     tcp::endpoint source, Micros reference, std::uint64_t seed)
    : strand_(strand),
      coordinator_(coordinator),
      log_(log),
      tables_(tables),
      source_(source),
      socket_(strand),
      silence_(strand),
      pause_(strand),
      reference_(reference),
      backoff_(seed, kPause, kPauseMost) {}

// Where the saved list ends in what cannot be read, the stream tells the rest.
void Directory::load(const json& known) {
  try {
    for (const json& event : known.at("updates")) apply(event, last_ == 0);
    last_ = std::max(last_, known.at("index").get<std::int64_t>());
  } catch (const std::exception& fault) {
    log_.message("the saved list cannot be read behind event " + std::to_string(last_) + ": " + fault.what());
  }
}

void Directory::follow() {
  ++life_;
  state_ = {};
  in_ = {};
  hello_.clear();
  socket_ = tcp::socket(strand_);
  run();
}

#include <boost/asio/yield.hpp>

void Directory::run(error_code error, std::size_t count) {
  if (error) return again(error.message());
  const auto next = [this, life = life_](error_code e, std::size_t n = 0) {
    if (life == life_) run(e, n);
  };
  // A cut-off machine says nothing at all, not even that it is cut off.
  silence_.expires_after(hello_.empty() ? kConnectMost : kSilenceMost);
  silence_.async_wait([this, life = life_](error_code e) {
    if (!e && life == life_) again("silent");
  });
  reenter(state_) {
    yield socket_.async_connect(source_, [next](error_code e) { next(e); });
    hello_ = "follow " + std::to_string(last_) + "\n";
    yield boost::asio::async_write(socket_, boost::asio::buffer(hello_), next);
    for (;;) {
      yield socket_.async_read_some(in_.room(), next);
      in_.filled(count);
      if (!take_lines()) return;
    }
  }
}

#include <boost/asio/unyield.hpp>

void Directory::again(const std::string& why) {
  if (!std::exchange(failing_, true))
    log_.message("directory lost, followed anew from " + std::to_string(last_) + ": " + why);
  ++life_;
  error_code ignored;
  socket_.close(ignored);
  silence_.cancel();
  pause_.expires_after(backoff_.next_delay());
  pause_.async_wait([this](error_code error) {
    if (!error) follow();
  });
}

void Directory::move_to(const tcp::endpoint& source) {
  if (source == source_) return;
  source_ = source;
  log_.message("directory moves to " + source.address().to_string() + ':' + std::to_string(source.port()));
  error_code ignored;
  socket_.close(ignored);
  pause_.cancel();
  follow();
}

bool Directory::take_lines() {
  for (;;) {
    const std::string_view bytes = in_.view();
    const std::size_t end = bytes.find('\n');
    if (end == std::string_view::npos) {
      if (bytes.size() <= kLongestLine) return true;
      again("line without end");
      return false;
    }
    try {
      take(bytes.substr(0, end));
    } catch (const Missing& fault) {
      again(fault.what());
      return false;
    } catch (const std::exception& fault) {
      failing_ = false;  // each bad line is worth its own line in the log
      if (++bad_ < kBadMost) {
        again(std::string("bad line: ") + fault.what());
        return false;
      }
      log_.message("line of the directory passed over behind event " + std::to_string(last_) + ": " +
                   fault.what());
    }
    in_.consume(end + 1);
  }
}

void Directory::take(std::string_view line) {
  if (!line.empty() && line.back() == '\r') line.remove_suffix(1);
  if (line.empty()) return;
  const json message = json::parse(line);
  // What was passed over on this connection may have been the event that is missing.
  const bool passed = bad_ >= kBadMost;
  const auto missing = [this] { return Missing("event " + std::to_string(last_ + 1) + " is missing"); };
  if (message.is_number_integer()) {
    const auto told = message.get<std::int64_t>();
    if (told > last_ && !passed) throw missing();
    last_ = std::max(last_, told);
  } else {
    const auto index = message.at("index").get<std::int64_t>();
    if (index <= last_) return;
    if (index > last_ + 1 && !passed) throw missing();
    apply(message, last_ == 0);
  }
  bad_ = 0;
  backoff_.reset();
  if (std::exchange(failing_, false)) log_.message("directory followed again, at " + std::to_string(last_));
}

// Throws where the row cannot be understood.
Directory::Row Directory::read_row(const json& row) {
  Row read;
  const std::string name = row.at("name");
  if (name.empty()) throw std::runtime_error("a name is empty");
  const Standing standing = choose(row.at("status").get<std::string>(), kStates, "status");
  const auto known = rows_.find(tables_.engines.index(name));
  if (standing != Standing::kReady && known != rows_.end()) {
    // Of one that goes nothing more has to be understood than which it is: a drain must be heard of.
    read = known->second;
  } else {
    read.entry.zone = tables_.zones.find(row.at("zone"), "zone");
    read.entry.kind = tables_.kinds.find(row.at("type"), "type");
    read.entry.cell = optional_field(row, "group", 0);
    read.entry.weight = optional_field(row, "weight", 1.0);
    read.entry.came_up = Micros{optional_field<std::int64_t>(row, "since_ms", 0) * 1000};
    read.change.address = row.at("address");
    if (!parse_address(read.change.address))
      throw std::runtime_error("no address: '" + read.change.address + "'");
  }
  // Last: a row that is left out takes no number.
  read.entry.engine = tables_.engines.add(name);
  read.entry.name = name_hash(name);
  read.entry.standing = standing;
  read.change = {read.entry.engine, name, read.change.address, standing, read.entry.came_up};
  return read;
}

// Replacements come under new names all day. Their numbers are given out again, or every table that is kept
// by number would grow with them.
void Directory::forget_gone() {
  std::erase_if(gone_, [this](const auto& entry) {
    if (coordinator_.now() - entry.second <= reference_) return false;
    tables_.engines.forget(entry.first);
    rows_.erase(entry.first);
    return true;
  });
}

// All of an event is read before any of it is used. A row that cannot be understood is left out, and the
// others hold.
void Directory::apply(const json& event, bool first) {
  forget_gone();
  const auto index = event.at("index").get<std::int64_t>();
  const json& news = event.at("endpoints");
  const bool whole = optional_field(news, "snapshot", false) || first;
  std::vector<EngineEntry> entries;
  std::vector<EngineChange> changes;
  std::unordered_set<int> named;
  std::size_t left_out = 0;
  for (const json& row : news.at("endpoints")) {
    try {
      Row read = read_row(row);
      named.insert(read.entry.engine);
      Row& known = rows_[read.entry.engine];
      const EngineChange& was = known.change;
      if (was.name != read.change.name || was.address != read.change.address ||
          was.standing != read.change.standing || was.came_up != read.change.came_up)
        log_.message("engine " + std::to_string(read.entry.engine) + " is " + read.change.name + " at " +
                     read.change.address + ", " + row.at("status").get<std::string>());
      known = read;
      entries.push_back(read.entry);
      changes.push_back(std::move(read.change));
    } catch (const std::exception& fault) {
      if (++left_out <= kLeftOutLines)
        log_.message("a row of event " + std::to_string(index) + " is left out: " + fault.what());
    }
  }
  if (left_out > kLeftOutLines)
    log_.message("rows of event " + std::to_string(index) +
                 " left out besides: " + std::to_string(left_out - kLeftOutLines));
  // What a whole list does not hold is gone.
  for (const auto& [name, engine] : tables_.engines.known()) {
    if (!whole || named.contains(engine)) continue;
    const EngineChange& was = rows_[engine].change;
    changes.push_back({engine, name, was.address, Standing::kGone, was.came_up});
  }
  for (const EngineChange& change : changes) {
    if (change.standing == Standing::kGone) {
      gone_.try_emplace(change.engine, coordinator_.now());
      rows_[change.engine].change.standing = Standing::kGone;
    } else {
      gone_.erase(change.engine);
    }
  }
  last_ = index;
  coordinator_.listed(first   ? ListMode::kSaved
                      : whole ? ListMode::kFull
                              : ListMode::kIncremental,
                      std::move(entries), std::move(changes));
}

}  // namespace steprail
