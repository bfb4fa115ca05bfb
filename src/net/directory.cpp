#include "net/directory.h"

#include <boost/asio/write.hpp>
#include <unordered_set>

#include "net/engine_pool.h"

namespace steprail {

using boost::system::error_code;
using nlohmann::json;

namespace {
// The directory sends a line every second, and a change counts as reported 4 s after the directory has fallen
// silent. So two missed lines are enough to reconnect.
constexpr std::chrono::milliseconds kSilenceTimeout{2200};
constexpr std::chrono::milliseconds kConnectTimeout{1000};
// Between connections. Together with the silence timeout and one failed connect, the longest pause stays
// within those 4 s.
constexpr std::chrono::milliseconds kReconnectPause{200}, kMaxReconnectPause{800};
constexpr std::size_t kMaxLineBytes = 4 << 20;
constexpr std::size_t kMaxRowLogLines = 8;  // in the log, for one event
// A line that was damaged in transit is whole when it is requested again. After so many failures it is
// skipped.
constexpr int kMaxBadReads = 3;

const std::map<std::string, EngineStatus> kStandings = {
    {"active", EngineStatus::kReady}, {"leaving", EngineStatus::kDraining}, {"left", EngineStatus::kGone}};

struct MissingEvent : std::runtime_error {
  using std::runtime_error::runtime_error;
};
}  // namespace

Directory::Directory(Strand strand, Coordinator& coordinator, EventLog& log, NameTables& tables,
                     tcp::endpoint source, Micros forget_after, std::uint64_t seed)
    : strand_(strand),
      coordinator_(coordinator),
      log_(log),
      tables_(tables),
      source_(source),
      socket_(strand),
      silence_timer_(strand),
      reconnect_timer_(strand),
      forget_after_(forget_after),
      backoff_(seed, kReconnectPause, kMaxReconnectPause) {}

// If the saved list cannot be read to its end, the stream sends the rest.
void Directory::load_saved(const json& saved) {
  try {
    for (const json& event : saved.at("updates")) apply(event, last_index_ == 0);
    last_index_ = std::max(last_index_, saved.at("index").get<std::int64_t>());
  } catch (const std::exception& fault) {
    log_.message("the saved list cannot be read behind event " + std::to_string(last_index_) + ": " +
                 fault.what());
  }
}

void Directory::follow() {
  ++generation_;
  coroutine_ = {};
  in_ = {};
  follow_command_.clear();
  socket_ = tcp::socket(strand_);
  run();
}

#include <boost/asio/yield.hpp>

void Directory::run(error_code error, std::size_t count) {
  if (error) return reconnect(error.message());
  const auto next = [this, generation = generation_](error_code e, std::size_t n = 0) {
    if (generation == generation_) run(e, n);
  };
  // A machine that was cut off from the network sends nothing, not even a close.
  silence_timer_.expires_after(follow_command_.empty() ? kConnectTimeout : kSilenceTimeout);
  silence_timer_.async_wait([this, generation = generation_](error_code e) {
    if (!e && generation == generation_) reconnect("the directory is silent");
  });
  reenter(coroutine_) {
    yield socket_.async_connect(source_, [next](error_code e) { next(e); });
    follow_command_ = "follow " + std::to_string(last_index_) + "\n";
    yield boost::asio::async_write(socket_, boost::asio::buffer(follow_command_), next);
    for (;;) {
      yield socket_.async_read_some(in_.prepare(), next);
      in_.commit(count);
      if (!handle_lines()) return;
    }
  }
}

#include <boost/asio/unyield.hpp>

void Directory::reconnect(const std::string& why) {
  if (!std::exchange(loss_logged_, true))
    log_.message("directory lost, followed anew from " + std::to_string(last_index_) + ": " + why);
  ++generation_;
  error_code ignored;
  socket_.close(ignored);
  silence_timer_.cancel();
  reconnect_timer_.expires_after(backoff_.next_delay());
  reconnect_timer_.async_wait([this](error_code error) {
    if (!error) follow();
  });
}

void Directory::move_to(const tcp::endpoint& source) {
  if (source == source_) return;
  source_ = source;
  log_.message("directory moves to " + source.address().to_string() + ':' + std::to_string(source.port()));
  error_code ignored;
  socket_.close(ignored);
  reconnect_timer_.cancel();
  follow();
}

bool Directory::handle_lines() {
  for (;;) {
    const std::string_view bytes = in_.view();
    const std::size_t end = bytes.find('\n');
    if (end == std::string_view::npos) {
      if (bytes.size() <= kMaxLineBytes) return true;
      reconnect("line exceeds the maximum length");
      return false;
    }
    try {
      handle_line(bytes.substr(0, end));
    } catch (const MissingEvent& fault) {
      reconnect(fault.what());
      return false;
    } catch (const std::exception& fault) {
      loss_logged_ = false;  // so that each bad line is logged
      if (++bad_lines_ < kMaxBadReads) {
        reconnect(std::string("malformed line: ") + fault.what());
        return false;
      }
      log_.message("line of the directory passed over behind event " + std::to_string(last_index_) + ": " +
                   fault.what());
    }
    in_.consume(end + 1);
  }
}

void Directory::handle_line(std::string_view line) {
  if (!line.empty() && line.back() == '\r') line.remove_suffix(1);
  if (line.empty()) return;
  const json message = json::parse(line);
  // The missing event may be one that was skipped on this connection.
  const bool skipped = bad_lines_ >= kMaxBadReads;
  const auto missing = [this] {
    return MissingEvent("event " + std::to_string(last_index_ + 1) + " is missing");
  };
  if (message.is_number_integer()) {
    const auto reported = message.get<std::int64_t>();
    if (reported > last_index_ && !skipped) throw missing();
    last_index_ = std::max(last_index_, reported);
  } else {
    const auto index = message.at("index").get<std::int64_t>();
    if (index <= last_index_) return;
    if (index > last_index_ + 1 && !skipped) throw missing();
    apply(message, last_index_ == 0);
  }
  bad_lines_ = 0;
  backoff_.reset();
  if (std::exchange(loss_logged_, false))
    log_.message("directory followed again, at " + std::to_string(last_index_));
}

// Throws if the row is invalid.
Directory::Row Directory::read_row(const json& row) {
  Row read;
  const std::string name = row.at("name");
  if (name.empty()) throw std::runtime_error("a name is empty");
  const EngineStatus standing = parse_enum(row.at("status").get<std::string>(), kStandings, "status");
  const auto stored = rows_.find(tables_.engines.index(name));
  if (standing != EngineStatus::kReady && stored != rows_.end()) {
    // For an engine that leaves, the row only has to identify it: a drain must not be missed because of
    // another field.
    read = stored->second;
  } else {
    read.entry.zone = tables_.zones.index_or_throw(row.at("zone"), "zone");
    read.entry.kind = tables_.kinds.index_or_throw(row.at("type"), "type");
    read.entry.cell = optional_field(row, "group", 0);
    read.entry.weight = optional_field(row, "weight", 1.0);
    read.entry.started_at = Micros{optional_field<std::int64_t>(row, "since_ms", 0) * 1000};
    read.change.address = row.at("address");
    if (!parse_address(read.change.address))
      throw std::runtime_error("invalid address: '" + read.change.address + "'");
  }
  // Done last, so that a row that is left out uses up no number.
  read.entry.engine = tables_.engines.add(name);
  read.entry.name_hash = name_hash(name);
  read.entry.status = standing;
  read.change = {read.entry.engine, name, read.change.address, standing, read.entry.started_at};
  return read;
}

// Replacements arrive under new names all day. Their numbers are reused, as otherwise every table that is
// indexed by them would keep growing.
void Directory::forget_gone_engines() {
  std::erase_if(gone_since_, [this](const auto& entry) {
    if (coordinator_.now() - entry.second <= forget_after_) return false;
    tables_.engines.remove(entry.first);
    rows_.erase(entry.first);
    return true;
  });
}

// Reads the whole event before any of it is applied. An invalid row is left out and the other rows are
// applied.
void Directory::apply(const json& event, bool first) {
  forget_gone_engines();
  const auto index = event.at("index").get<std::int64_t>();
  const json& update = event.at("endpoints");
  const bool full = optional_field(update, "snapshot", false) || first;
  std::vector<EngineEntry> entries;
  std::vector<EngineChange> changes;
  std::unordered_set<int> listed;
  std::size_t left_out = 0;
  for (const json& row : update.at("endpoints")) {
    try {
      Row read = read_row(row);
      listed.insert(read.entry.engine);
      Row& stored = rows_[read.entry.engine];
      const EngineChange& previous = stored.change;
      if (previous.name != read.change.name || previous.address != read.change.address ||
          previous.standing != read.change.standing || previous.started_at != read.change.started_at)
        log_.message("engine " + std::to_string(read.entry.engine) + " is " + read.change.name + " at " +
                     read.change.address + ", " + row.at("status").get<std::string>());
      stored = read;
      entries.push_back(read.entry);
      changes.push_back(std::move(read.change));
    } catch (const std::exception& fault) {
      if (++left_out <= kMaxRowLogLines)
        log_.message("a row of event " + std::to_string(index) + " is left out: " + fault.what());
    }
  }
  if (left_out > kMaxRowLogLines)
    log_.message("rows of event " + std::to_string(index) +
                 " left out besides: " + std::to_string(left_out - kMaxRowLogLines));
  // Engines that are not in a full list are gone.
  for (const auto& [name, engine] : tables_.engines.by_name()) {
    if (!full || listed.contains(engine)) continue;
    const EngineChange& previous = rows_[engine].change;
    changes.push_back({engine, name, previous.address, EngineStatus::kGone, previous.started_at});
  }
  for (const EngineChange& change : changes) {
    if (change.standing == EngineStatus::kGone) {
      gone_since_.try_emplace(change.engine, coordinator_.now());
      rows_[change.engine].change.standing = EngineStatus::kGone;
    } else {
      gone_since_.erase(change.engine);
    }
  }
  last_index_ = index;
  coordinator_.list_changed(first  ? ListMode::kSaved
                            : full ? ListMode::kFull
                                   : ListMode::kIncremental,
                            std::move(entries), std::move(changes));
}

}  // namespace steprail
