#include "net/engine_pool.h"

#include <algorithm>
#include <boost/asio/coroutine.hpp>
#include <tuple>

#include "net/buffers.h"
#include "net/engine_line.h"

namespace steprail {

using boost::system::error_code;

namespace {
constexpr Micros kSweep{100'000};
// An answer whose first byte is here has been sent: the rest is a matter of milliseconds. A page comes when
// it is asked for, at once. What stays away for so long does not come.
constexpr Micros kAnswerMost{500'000};
constexpr Micros kPagesWait{1'500'000};
constexpr Micros kProbePatience{1'000'000};
constexpr double kIdlePart = 0.7;      // of the idle time, after which a connection is not used again
constexpr Micros kSilence{1'000'000};  // of a connection on which an attempt was then given up
constexpr std::size_t kOwnPart = 2;    // of the connections serve to give attempts one of their own
constexpr std::size_t kShared =
    4;  // attempts on a connection before the next one is opened, where they share
constexpr std::int64_t kPagesMost = 1024;
constexpr std::size_t kResultMost = 48'000;
constexpr std::size_t kWindow = 16;           // pages of a long result that are asked for and not yet here
constexpr std::size_t kUnsentMost = 4 << 20;  // commands that an engine does not read
}  // namespace

std::optional<tcp::endpoint> parse_address(const std::string& text) {
  const std::size_t colon = text.rfind(':');
  if (colon == std::string::npos) return std::nullopt;
  error_code error;
  const auto host = boost::asio::ip::make_address(text.substr(0, colon), error);
  const auto port = parse_count(std::string_view(text).substr(colon + 1));
  if (error || !port || *port > 65535) return std::nullopt;
  return tcp::endpoint(host, static_cast<std::uint16_t>(*port));
}

#include <boost/asio/yield.hpp>

// One connection. An attempt on it is `live` until its end is known or it is given up. On the wire all
// attempts of a request have one id, and an answer names nothing else. So an id is sent at most once on a
// connection: after an attempt that did not bring the result it stays `retired` for as long as its request
// may be sent again, and further answers to that attempt (second copies, errors of further pages, an answer
// that crossed the cancel) end no later one.
class EnginePool::Line : public std::enable_shared_from_this<Line>, boost::asio::coroutine {
 public:
  Line(EnginePool& pool, int engine, std::uint64_t number, const tcp::endpoint& to)
      : pool_(pool), engine_(engine), number_(number), to_(to), socket_(pool.strand_), limit_(pool.strand_) {
    opened_ = used_ = pool_.coordinator_.now();
  }

  void run(error_code error = {}, std::size_t count = 0) {
    if (closed_) return;
    if (error) return close(error == boost::asio::error::eof ? "closed by the engine" : error.message());
    const auto next = [self = shared_from_this()](error_code e, std::size_t n = 0) { self->run(e, n); };
    reenter(this) {
      limit_.expires_after(pool_.limits_.connect_timeout);
      limit_.async_wait([self = shared_from_this()](error_code e) {
        if (!e && !self->up_) self->close("no connection in time");
      });
      yield socket_.async_connect(to_, [next](error_code e) { next(e); });
      up_ = true;
      limit_.cancel();
      set_options();
      write();
      for (;;) {
        yield socket_.async_read_some(in_.room(), next);
        in_.filled(count);
        heard_ = pool_.coordinator_.now();
        if (!take_answers()) return spoilt("unreadable answer");
        in_.shrink();
      }
    }
  }

  bool can_take(std::optional<RequestId> id) const {
    if (closed_ || slots_.size() >= pool_.limits_.multiplex) return false;
    if (idle_for() > kIdlePart) return false;
    return !id || (!slots_.contains(*id) && !retired_.contains(*id));
  }
  Micros used() const { return used_; }
  bool idle() const { return slots_.empty() && probes_.empty(); }
  std::size_t live() const { return slots_.size(); }
  // Carries what must not run twice: nothing joins it that could spoil its answer.
  bool alone() const {
    return std::any_of(slots_.begin(), slots_.end(), [](const auto& entry) { return entry.second.alone; });
  }
  Micros opened() const { return opened_; }

  void serve(const Dispatch& dispatch) {
    Slot slot;
    slot.name = dispatch.query.name;
    slot.attempt = dispatch.attempt;
    slot.tag = ++last_tag_;
    slot.sent = pool_.coordinator_.now();
    slot.deadline = dispatch.query.taken + dispatch.query.limit;
    slot.sink = dispatch.query.sink;
    slot.result_most = slot.sink != nullptr ? dispatch.query.result_most : kResultMost;
    slot.alone = pool_.runs_once(dispatch.query);
    pool_.log_.event(
        LogLevel::kDebug, "queued",
        {{"id", slot.name}, {"attempt", slot.attempt}, {"engine", engine_}, {"connection", number_}});
    slots_.emplace(dispatch.query.id, std::move(slot));
    out_.push(serve_command(dispatch), last_tag_);
    mark();
  }

  void give_up(RequestId id, int attempt) {
    const auto at = slots_.find(id);
    if (at == slots_.end() || at->second.attempt != attempt) return;
    const Slot slot = std::move(at->second);
    slots_.erase(at);
    used_ = pool_.coordinator_.now();
    if (out_.take_back(slot.tag)) return;
    if (slot.sink != nullptr) slot.sink->lost(id, attempt);
    // Nothing at all was heard here for long: what has swallowed one answer is of no use to the next request.
    if (idle() && used_ - std::max(heard_, slot.sent) > kSilence) return close({});
    command(slot.count == 0 ? "cancel" : "release", slot);
    retire(id, slot);
  }

  void probe(std::uint64_t number) {
    probes_.emplace(number, pool_.coordinator_.now());
    out_.push((pool_.limits_.reports ? "gauges " : "health ") + probe_name(number) + "\r\n");
    mark();
  }

  // The engine takes nothing new: what has not begun to leave stays here.
  void take_back_unsent() {
    std::vector<std::pair<RequestId, int>> unsent;
    for (const auto& [id, slot] : slots_) {
      if (out_.take_back(slot.tag)) unsent.emplace_back(id, slot.attempt);
    }
    for (const auto& [id, attempt] : unsent) {
      slots_.erase(id);
      pool_.never_written(id, attempt, EndCause::kDrained);
    }
  }

  void write() {
    dirty_ = false;
    while (!closed_ && up_ && !out_.empty() && !waiting_) {
      error_code error;
      const std::size_t count = socket_.write_some(out_.gather(), error);
      out_.sent(count);
      if (error == boost::asio::error::would_block || error == boost::asio::error::try_again) {
        if (out_.size() > kUnsentMost) {
          lost_by_ = EndCause::kCommandsUnread;
          return close("commands are left unread");
        }
        waiting_ = true;
        socket_.async_wait(tcp::socket::wait_write, [self = shared_from_this()](error_code e) {
          self->waiting_ = false;
          if (!e) self->write();
        });
      } else if (error) {
        return close(error.message());
      }
    }
  }

  void sweep(Micros now) {
    std::vector<std::uint64_t> late;
    for (const auto& [number, sent] : probes_) {
      if (now - sent > kProbePatience) late.push_back(number);
    }
    for (const std::uint64_t number : late) probe_ended(number, false, {});
    std::erase_if(retired_, [now](const auto& entry) { return now > entry.second; });
    const bool gone = pool_.engines_[static_cast<std::size_t>(engine_)].standing == Standing::kGone;
    if (idle() && up_ && (gone || idle_for() > kIdlePart)) return close({});
    if (partial_since_.count() > 0 && now - partial_since_ > kAnswerMost) return spoilt("cut answer");
    for (const auto& [_, slot] : slots_) {
      if (slot.missing > 0 && now - slot.moved > kPagesWait) return spoilt("no page in time");
    }
  }

  // The peer broke the protocol, or off within an answer: nothing that follows on this connection can be
  // trusted. The engine was there to answer all the same, so that this is no sign of its health.
  void spoilt(const std::string& reason) {
    lost_by_ = EndCause::kSpoiltAnswer;
    close(reason);
  }

  void replaced() {
    lost_by_ = EndCause::kEngineReplaced;
    close("the engine has started anew");
  }

  // With a reason: worth a line in the log. Attempts on it end here.
  void close(const std::string& reason) {
    if (std::exchange(closed_, true)) return;
    const auto self = shared_from_this();
    if (!reason.empty() && (live() > 0 || !up_))
      pool_.log_.message("engine " + std::to_string(engine_) + ": connection lost with " +
                         std::to_string(live()) + " attempts: " + reason);
    pool_.log_.event(LogLevel::kDebug, "connection_closed",
                     {{"connection", number_},
                      {"engine", engine_},
                      {"attempts", live()},
                      {"why", reason.empty() ? "not needed" : reason}});
    error_code ignored;
    socket_.close(ignored);
    limit_.cancel();
    pool_.drop(engine_, this);
    const auto slots = std::exchange(slots_, {});
    for (const auto& [id, slot] : slots) {
      if (slot.sink != nullptr) slot.sink->lost(id, slot.attempt);
      // What the engine cannot have read whole never ran; of the rest nobody knows.
      const bool unwritten = !up_ || out_.holds(slot.tag);
      const Outcome lost = lost_by_ == EndCause::kSpoiltAnswer ? Outcome::kAppError : Outcome::kDropped;
      end(id, slot, unwritten ? Outcome::kDialFailed : lost, up_ ? lost_by_ : EndCause::kNoConnection, {},
          {});
    }
    const auto probes = std::exchange(probes_, {});
    for (const auto& [number, sent] : probes)
      pool_.coordinator_.probed({engine_, false, pool_.coordinator_.now() - sent, {}});
  }

 private:
  struct Slot {
    std::string name;
    int attempt{};
    std::uint64_t tag{};
    Micros sent{0};
    bool alone{};
    Micros deadline{0};  // of the request; its id is not sent again after that
    PageSink* sink{};
    std::size_t result_most{};
    std::size_t count{};             // of the pages, once it was acknowledged
    std::vector<std::string> pages;  // without a sink: all of them, those missing empty
    std::vector<bool> have;
    std::size_t missing{};
    std::size_t asked{};  // pages up to this one have been asked for
    std::size_t bytes{};
    Micros moved{0};  // when the last page of it came
    LoadReport report;
  };

  // A connection that carries nothing, as a part of the time after which engines close it.
  double idle_for() const {
    if (!idle() || pool_.limits_.idle.count() <= 0) return 0;
    return static_cast<double>((pool_.coordinator_.now() - used_).count()) /
           static_cast<double>(pool_.limits_.idle.count());
  }

  static std::string probe_name(std::uint64_t number) { return "probe" + std::to_string(number); }
  void command(const char* verb, const Slot& slot) {
    out_.push(std::string(verb) + ' ' + slot.name + "\r\n");
    mark();
  }
  void mark() {
    if (std::exchange(dirty_, true)) return;
    pool_.dirty_.push_back(shared_from_this());
    pool_.coordinator_.wake();
  }
  void set_options() {
    error_code ignored;
    socket_.set_option(tcp::no_delay(true), ignored);
    socket_.non_blocking(true, ignored);
  }

  void retire(RequestId id, const Slot& slot) { retired_[id] = slot.deadline; }

  void end(RequestId id, const Slot& slot, Outcome outcome, EndCause cause, const LoadReport& report,
           std::vector<std::string> pages) {
    pool_.where_.erase(id);
    pool_.coordinator_.attempt_ended({id, slot.attempt, outcome, cause, report, std::move(pages)});
  }

  // The attempt's end in the engine's own words. The report is a copy: it may stand in the slot that goes
  // here.
  void finished(std::unordered_map<RequestId, Slot>::iterator at, Outcome outcome, EndCause cause,
                LoadReport report) {
    const RequestId id = at->first;
    Slot slot = std::move(at->second);
    slots_.erase(at);
    used_ = pool_.coordinator_.now();
    if (outcome != Outcome::kDelivered) retire(id, slot);
    if (outcome != Outcome::kDelivered && slot.sink != nullptr) slot.sink->lost(id, slot.attempt);
    end(id, slot, outcome, cause, report,
        outcome == Outcome::kDelivered ? std::move(slot.pages) : std::vector<std::string>{});
  }

  void probe_ended(std::uint64_t number, bool delivered, const LoadReport& report) {
    const auto at = probes_.find(number);
    if (at == probes_.end()) return;
    const Micros delay = pool_.coordinator_.now() - at->second;
    probes_.erase(at);
    used_ = pool_.coordinator_.now();
    pool_.coordinator_.probed({engine_, delivered, delay, report});
  }

  bool take_answers() {
    EngineAnswer answer;
    std::size_t used = 0;
    for (;;) {
      const Parsed parsed = parse_answer(in_.view(), answer, used);
      if (parsed == Parsed::kMore) break;
      if (parsed == Parsed::kBad || !take(answer)) return false;
      in_.consume(used);
      partial_since_ = Micros{0};
      if (closed_) return true;
    }
    if (!in_.view().empty() && partial_since_.count() == 0) partial_since_ = pool_.coordinator_.now();
    return true;
  }

  // False if the answer shows that what the engine says on this connection cannot be relied on. An answer
  // under an id that is not (or no longer) open here is readable, and no reason to lose the others.
  bool take(const EngineAnswer& answer) {
    if (answer.word == Word::kReady || answer.word == Word::kAiling) {
      constexpr std::string_view kName = "probe";
      const auto number = answer.id.substr(0, kName.size()) == kName
                              ? parse_count(answer.id.substr(kName.size()))
                              : std::nullopt;
      if (number)
        probe_ended(static_cast<std::uint64_t>(*number), answer.word == Word::kReady, answer.report);
      return true;
    }
    const auto id = parse_id(answer.id);
    const auto at = id ? slots_.find(*id) : slots_.end();
    if (at == slots_.end()) {
      passed_over(answer);
      return true;
    }
    Slot& slot = at->second;
    switch (answer.word) {
      case Word::kAck:
        return acknowledged(at, answer);
      case Word::kAgain:
      case Word::kStale:
        // What was acknowledged has run: this is no proof of the contrary.
        if (slot.count > 0) return false;
        finished(at, Outcome::kShed,
                 answer.word == Word::kAgain ? EndCause::kEngineFull : EndCause::kEngineStale, answer.report);
        return true;
      case Word::kEio:
        finished(at, Outcome::kAppError, EndCause::kEngineError, answer.report);
        return true;
      case Word::kEvent:
        note(*id, slot, answer);
        return true;
      case Word::kBlock:
        return block(at, answer);
      default:
        return false;
    }
  }

  // It belongs to no attempt that is out.
  void passed_over(const EngineAnswer& answer) {
    pool_.log_.event(
        LogLevel::kDebug, "passed_over",
        {{"id", answer.id}, {"word", name_of(answer.word)}, {"engine", engine_}, {"connection", number_}});
  }

  void note(RequestId id, const Slot& slot, const EngineAnswer& answer) {
    Note note{id, slot.attempt, engine_, Topic::kProgress, answer.reading};
    if (answer.why == "overflow") {
      note.topic = Topic::kSpills;
    } else if (answer.why == "queued") {
      note.topic = Topic::kWaits;
    } else if (answer.why != "pct") {
      return;
    }
    pool_.coordinator_.noted(note);
  }

  bool acknowledged(std::unordered_map<RequestId, Slot>::iterator at, const EngineAnswer& answer) {
    Slot& slot = at->second;
    const std::int64_t count = answer.count;
    if (slot.count > 0) return true;  // a second copy
    // A page of a long result holds a row at least, and a row two bytes.
    const auto most = slot.sink != nullptr
                          ? std::max(kPagesMost, static_cast<std::int64_t>(slot.result_most / 2))
                          : kPagesMost;
    if (count < 1 || count > most || !whole_rows(answer.body)) return false;
    slot.count = static_cast<std::size_t>(count);
    if (slot.sink == nullptr) slot.pages.resize(slot.count);
    slot.have.resize(slot.count);
    slot.missing = slot.count;
    slot.asked = 1;
    slot.report = answer.report;
    return taken(at, 0, answer.body);
  }

  bool block(std::unordered_map<RequestId, Slot>::iterator at, const EngineAnswer& answer) {
    Slot& slot = at->second;
    const auto page = static_cast<std::size_t>(answer.position);
    if (answer.position < 1 || page >= slot.count) return false;
    if (slot.have[page]) return true;  // a second copy
    if (!whole_rows(answer.body)) return false;
    return taken(at, page, answer.body);
  }

  // A page that is new, and what follows from it.
  bool taken(std::unordered_map<RequestId, Slot>::iterator at, std::size_t page, std::string_view bytes) {
    Slot& slot = at->second;
    slot.have[page] = true;
    slot.moved = pool_.coordinator_.now();
    slot.bytes += bytes.size();
    --slot.missing;
    if (slot.sink == nullptr) {
      if (slot.bytes > slot.result_most) return false;
      slot.pages[page] = bytes;
    } else {
      const auto want = page == 0 ? slot.sink->begin(at->first, slot.attempt, slot.count, bytes)
                                  : slot.sink->page(at->first, slot.attempt, page, bytes);
      if (want == PageSink::Want::kEnough) {
        if (slot.missing > 0) command("release", slot);
        slot.missing = 0;
      }
    }
    if (slot.missing == 0) {
      finished(at, Outcome::kDelivered, EndCause::kAnswered, slot.report);
      return true;
    }
    ask(slot);
    return true;
  }

  // Without a sink all pages are asked for at once: they are few. A long result comes in a bounded window, so
  // that neither its engine nor this side has to hold much of it.
  void ask(Slot& slot) {
    const std::size_t have = slot.count - slot.missing;
    const std::size_t until = slot.sink == nullptr ? slot.count : std::min(slot.count, have + kWindow);
    if (until <= slot.asked) return;
    std::string reads;
    for (; slot.asked < until; ++slot.asked)
      reads += "read " + slot.name + ' ' + std::to_string(slot.asked) + "\r\n";
    out_.push(std::move(reads));
    mark();
  }

  EnginePool& pool_;
  int engine_;
  std::uint64_t number_;  // of this connection, for the log
  tcp::endpoint to_;
  tcp::socket socket_;
  boost::asio::steady_timer limit_;
  InBuffer in_;
  OutQueue out_;
  std::unordered_map<RequestId, Slot> slots_;      // of the attempts that are out
  std::unordered_map<RequestId, Micros> retired_;  // ids that are not sent here again, and until when
  std::unordered_map<std::uint64_t, Micros> probes_;
  std::uint64_t last_tag_{0};
  Micros opened_{0}, used_{0}, heard_{0};
  Micros partial_since_{0};  // of an answer that is not whole yet; 0: none
  bool up_{false}, closed_{false}, dirty_{false}, waiting_{false};
  EndCause lost_by_{EndCause::kConnectionLost};  // what ends the attempts that are out when it closes
};

#include <boost/asio/unyield.hpp>

EnginePool::EnginePool(Strand strand, Coordinator& coordinator, EventLog& log, Limits limits)
    : strand_(strand), coordinator_(coordinator), log_(log), limits_(limits), sweep_(strand) {
  sweep();
}

EnginePool::~EnginePool() = default;

void EnginePool::list(const EngineChange& change) {
  const auto index = static_cast<std::size_t>(change.engine);
  if (index >= engines_.size()) engines_.resize(index + 1);
  Engine& engine = engines_[index];
  engine.name = change.name;
  engine.standing = change.standing;
  // Connections of a process that has ended since stay open and silent if its machine went with it.
  const bool moved = engine.address != change.address;
  const auto lines = engine.lines;
  for (const auto& line : lines) {
    if (change.standing != Standing::kReady) line->take_back_unsent();
    if (change.standing == Standing::kGone && line->idle()) {
      line->close({});
      continue;
    }
    const bool dead = moved || (change.came_up > engine.came_up && line->opened() < change.came_up);
    if (dead) line->replaced();
  }
  if (moved) {
    engine.address = change.address;
    engine.endpoint = parse_address(change.address);
    if (!engine.endpoint) log_.message("engine " + engine.name + " has no usable address: " + engine.address);
  }
  engine.came_up = change.came_up;
}

bool EnginePool::runs_once(const Query& query) const {
  const auto& classes = coordinator_.settings().classes;
  return classes[static_cast<std::size_t>(query.cls)].effect == Effect::kOnce;
}

// An attempt gets a connection to itself as long as there are enough of them: what spoils, cuts or resets a
// connection then costs one attempt, and not all that share it. Where coordinators are many, a connection for
// each is a handshake for each and a place for each that the engines have not: what may run again shares.
std::shared_ptr<EnginePool::Line> EnginePool::pick(int index, std::optional<RequestId> id, bool alone) {
  if (index < 0 || static_cast<std::size_t>(index) >= engines_.size()) return nullptr;
  Engine& engine = engines_[static_cast<std::size_t>(index)];
  if (!engine.endpoint) return nullptr;
  std::shared_ptr<Line> least;
  for (const auto& line : engine.lines) {
    if (!line->can_take(id)) continue;
    // Of those that carry nothing the one used last: the others may then grow old and go.
    const auto rank = std::tuple(line->alone(), line->live(), -line->used());
    if (!least || rank < std::tuple(least->alone(), least->live(), -least->used())) least = line;
  }
  if (least && least->live() == 0) return least;
  // A probe tells as much on a connection that carries something.
  if (least && !id) return least;
  // Where attempts are many they share: a handshake for each, and a write to each, would delay all of them.
  if (least && limits_.sharing && !alone && !least->alone() && least->live() < kShared) return least;
  const bool many = connections_ >= limits_.connections / kOwnPart;
  if ((least && many) || !room_for(index, !least)) return least;
  ++connections_;
  const auto fresh = std::make_shared<Line>(*this, index, ++last_connection_, *engine.endpoint);
  engine.lines.push_back(fresh);
  fresh->run();
  return fresh;
}

// A busy engine may take more than its part, as long as that leaves each of the others one. When all are
// taken and the engine has none that can be used, the connection that has been idle for longest goes: where
// there are more engines than connections, that may be another engine's only one.
bool EnginePool::room_for(int index, bool needed) {
  const auto number = static_cast<std::size_t>(index);
  std::size_t owed = 0;
  std::shared_ptr<Line> oldest, only;
  for (std::size_t i = 0; i < engines_.size(); ++i) {
    const Engine& engine = engines_[i];
    if (i != number && engine.standing == Standing::kReady && engine.lines.empty()) ++owed;
    for (const auto& line : engine.lines) {
      if (!line->idle()) continue;
      const bool spare = i == number || engine.lines.size() > 1 || engine.standing != Standing::kReady;
      std::shared_ptr<Line>& least = spare ? oldest : only;
      if (!least || line->used() < least->used()) least = line;
    }
  }
  if (engines_[number].lines.empty()) owed = 0;
  if (connections_ + owed < limits_.connections) return true;
  if (!oldest) oldest = only;
  if (!needed || !oldest) return false;
  oldest->close({});
  return true;
}

void EnginePool::send(const Dispatch& dispatch) {
  const auto index = static_cast<std::size_t>(dispatch.engine);
  const bool open = index < engines_.size() && engines_[index].standing == Standing::kReady;
  const auto line = open ? pick(dispatch.engine, dispatch.query.id, runs_once(dispatch.query)) : nullptr;
  if (!line) return never_written(dispatch.query.id, dispatch.attempt, EndCause::kNoConnection);
  where_[dispatch.query.id] = line;
  line->serve(dispatch);
}

void EnginePool::never_written(RequestId id, int attempt, EndCause cause) {
  where_.erase(id);
  coordinator_.attempt_ended({id, attempt, Outcome::kDialFailed, cause, {}, {}});
}

void EnginePool::give_up(RequestId id, int attempt) {
  const auto at = where_.find(id);
  if (at == where_.end()) return;
  const auto line = std::move(at->second);
  where_.erase(at);
  line->give_up(id, attempt);
}

void EnginePool::probe(int engine) {
  const auto line = pick(engine, std::nullopt);
  if (!line) return coordinator_.probed({engine, false, Micros{0}, {}});
  line->probe(++last_probe_);
}

void EnginePool::flush() {
  const auto dirty = std::exchange(dirty_, {});
  for (const auto& line : dirty) line->write();
}

void EnginePool::drop(int engine, const Line* line) {
  connections_ -= std::erase_if(engines_[static_cast<std::size_t>(engine)].lines,
                                [line](const auto& held) { return held.get() == line; });
}

void EnginePool::sweep() {
  sweep_.expires_after(kSweep);
  sweep_.async_wait([this](error_code error) {
    if (error) return;
    const Micros now = coordinator_.now();
    for (Engine& engine : engines_) {
      const auto lines = engine.lines;
      for (const auto& line : lines) line->sweep(now);
    }
    sweep();
  });
}

}  // namespace steprail
