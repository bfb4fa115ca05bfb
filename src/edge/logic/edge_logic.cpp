#include "edge/logic/edge_logic.h"

#define XXH_INLINE_ALL
#include <xxhash.h>

#include <algorithm>

namespace steprail::edge {
namespace {

constexpr Micros kTick{10'000};
constexpr std::size_t kUnreadPerAsk =
    8;  // messages to a device that it may leave unacknowledged, for each open request
// Of a timer's key: a connection's, else a session's.
constexpr std::uint64_t kOfConn = std::uint64_t{1} << 63;

std::uint64_t digest(const Body& body) {
  XXH3_state_t state;
  XXH3_64bits_reset(&state);
  const std::uint64_t size = body.verb.size();
  XXH3_64bits_update(&state, &size, sizeof size);
  XXH3_64bits_update(&state, body.verb.data(), body.verb.size());
  XXH3_64bits_update(&state, body.statement.data(), body.statement.size());
  return XXH3_64bits_digest(&state);
}

Frame frame(Frame::Type type) {
  Frame frame;
  frame.type = type;
  return frame;
}

}  // namespace

EdgeLogic::EdgeLogic(EdgeSettings settings, Sealer sealer, std::vector<std::uint64_t> incarnations,
                     std::uint64_t seed, Micros now, std::int64_t now_unix_us, Seq first)
    : settings_(std::move(settings)),
      sealer_(sealer),
      random_(seed),
      first_(first),
      gate_(settings_.gate, seed ^ 0x9e3779b97f4a7c15),
      ledger_(settings_.ledger, std::move(incarnations), now, now_unix_us),
      wheel_(kTick, now) {
  reconfigure(settings_);
}

void EdgeLogic::reconfigure(const EdgeSettings& settings) {
  settings_ = settings;
  gate_.set(settings.gate);
  const std::size_t tenants = std::max<std::size_t>(1, settings.tenants.size());
  memory_.set(settings.memory, std::vector<double>(tenants, 1.0));
  by_tenant_.resize(tenants);
}

void EdgeLogic::recover(const Record& record, std::vector<Act>& out) {
  std::vector<Record> records;
  ledger_.recover(record, records);
  for (Record& r : records) out.push_back(Write{std::move(r)});
}

bool EdgeLogic::once(const std::string& verb) const {
  const auto at = settings_.once.find(verb);
  return at == settings_.once.end() || at->second;
}

EdgeLogic::Session* EdgeLogic::of(ConnId conn) {
  const auto at = conns_.find(conn);
  if (at == conns_.end() || at->second.session == 0) return nullptr;
  const auto session = sessions_.find(at->second.session);
  return session == sessions_.end() ? nullptr : &session->second;
}

// ---- Links ----

void EdgeLogic::opened(ConnId conn, Micros now) {
  Conn& fresh = conns_[conn];
  fresh.timer = wheel_.schedule(now + settings_.hello_wait, conn | kOfConn);
}

void EdgeLogic::turn_away(ConnId conn, const char* code, const char* text, bool again,
                          std::vector<Act>& out) {
  ++counts_.turned_away;
  Frame error = frame(Frame::Type::kError);
  error.code = code;
  error.text = text;
  error.again = again;
  out.push_back(ToDevice{conn, std::move(error)});
  out.push_back(CloseConn{conn});
}

void EdgeLogic::heard(ConnId conn, const Frame& frame, Micros now, std::vector<Act>& out) {
  const auto at = conns_.find(conn);
  if (at == conns_.end()) return;  // it was closed, or another has taken its session over
  if (at->second.session == 0) {
    if (frame.type != Frame::Type::kHello || at->second.hello)
      return turn_away(conn, "hello-first", "a connection begins with one hello", true, out);
    at->second.hello = std::make_unique<Frame>(frame);
    std::vector<Gate::Turned> turned;
    gate_.arrive(conn, now + Micros{std::max<std::int64_t>(0, frame.deadline_ms) * 1000}, now, turned);
    for (const Gate::Turned& away : turned) {
      Frame later = edge::frame(Frame::Type::kLater);
      later.later_ms = away.later.count() / 1000;
      ++counts_.turned_away;
      out.push_back(ToDevice{away.who, std::move(later)});
      out.push_back(CloseConn{away.who});
    }
    return admit(now, out);
  }
  Session* session = of(conn);
  if (session == nullptr) return;
  session->heard = now;
  session->suspicion.heard(now);
  switch (frame.type) {
    case Frame::Type::kMessage:
      message(*session, frame, now, out);
      break;
    case Frame::Type::kAck:
      if (!acknowledged(*session, frame.have, now, out)) return;
      break;
    case Frame::Type::kPing: {
      Frame pong = edge::frame(Frame::Type::kPong);
      pong.nonce = frame.nonce;
      pong.have = session->channel.have();
      out.push_back(ToDevice{conn, std::move(pong)});
      break;
    }
    case Frame::Type::kPong:
      if (session->ping != 0 && frame.nonce == session->ping) {
        session->trip.sample(now - session->ping_sent);
        session->ping = 0;
      }
      break;
    case Frame::Type::kBye:
      out.push_back(CloseConn{conn});
      detach(*session, now);
      return;
    default:
      return turn_away(conn, "unexpected", "such a frame is not for the edge", false, out);
  }
  if (session->conn == conn) {
    pump(*session, now, out);
    watch(*session, now);
  }
}

void EdgeLogic::closed(ConnId conn, Micros now, std::vector<Act>& out) {
  const auto at = conns_.find(conn);
  if (at == conns_.end()) return;
  gate_.gone(conn);
  wheel_.cancel(at->second.timer);
  Session* session = of(conn);
  conns_.erase(at);
  if (session != nullptr && session->conn == conn) detach(*session, now);
  feed_starving(now, out);
}

void EdgeLogic::room(ConnId conn, bool room, Micros now, std::vector<Act>& out) {
  Session* session = of(conn);
  if (session == nullptr || session->conn != conn) return;
  session->room = room;
  if (room) pump(*session, now, out);
}

void EdgeLogic::polled(ConnId conn, Seq have, Micros now, std::vector<Act>& out) {
  Session* session = of(conn);
  if (session == nullptr || session->conn != conn) return;
  session->heard = now;
  session->suspicion.heard(now);
  session->polling = true;
  if (!acknowledged(*session, have, now, out)) return;
  // What an earlier poll was given and this one does not have was lost with its answer.
  ground(*session);
  pump(*session, now, out);
  watch(*session, now);
}

// ---- Coming in ----

void EdgeLogic::admit(Micros now, std::vector<Act>& out) {
  std::vector<std::uint64_t> in;
  std::vector<Gate::Turned> turned;
  gate_.admit(now, in, turned);
  for (const ConnId conn : in) come_in(conn, now, out);
  for (const Gate::Turned& away : turned) {
    Frame later = frame(Frame::Type::kLater);
    later.later_ms = away.later.count() / 1000;
    ++counts_.turned_away;
    out.push_back(ToDevice{away.who, std::move(later)});
    out.push_back(CloseConn{away.who});
  }
}

void EdgeLogic::come_in(ConnId conn, Micros now, std::vector<Act>& out) {
  const auto at = conns_.find(conn);
  if (at == conns_.end() || !at->second.hello) return;
  const Frame& hello = *at->second.hello;
  wheel_.cancel(at->second.timer);
  int tenant = 0;
  if (!settings_.tenants.empty()) {
    const auto found = std::find(settings_.tenants.begin(), settings_.tenants.end(), hello.tenant);
    if (found == settings_.tenants.end()) return turn_away(conn, "tenant", "no such tenant", false, out);
    tenant = static_cast<int>(found - settings_.tenants.begin());
  }
  if (hello.device.empty() || hello.device.size() > 64)
    return turn_away(conn, "device", "a device names itself, in 64 bytes at most", false, out);
  if (!hello.token.empty()) {
    const auto token = sealer_.open(hello.token);
    if (!token || token->tenant != tenant || token->device != hello.device) {
      ++counts_.forged;
      return turn_away(conn, "token", "the token is not this device's; begin without one", true, out);
    }
    if (token->home != settings_.home && !settings_.gone.contains(token->home)) {
      const auto home = settings_.homes.find(token->home);
      if (home == settings_.homes.end())
        return turn_away(conn, "home", "the session lives elsewhere, and nobody here knows where", true, out);
      Frame moved = frame(Frame::Type::kMoved);
      moved.home = home->second;
      out.push_back(ToDevice{conn, std::move(moved)});
      out.push_back(CloseConn{conn});
      return;
    }
    const auto known = sessions_.find(token->session);
    if (token->home == settings_.home && token->incarnation == ledger_.incarnation() &&
        known != sessions_.end()) {
      Session& session = known->second;
      // What the device says it has must be something that it was sent.
      if (before(session.channel.next(), hello.have)) {
        ++counts_.forged;
        return turn_away(conn, "have", "the device says it has what was never sent", false, out);
      }
      if (!before(hello.have, session.channel.base())) {
        ++counts_.resumed;
        attach(session, conn, hello, true, now, out);
        at->second.hello.reset();
        return;
      }
      // It lacks what it has acknowledged, and that is gone: it can't go on from there. What it asked for is
      // in the ledger, and is told again in a session of its own.
      ++counts_.forged;
      expire(session, out);
    }
    // Its process is gone, or its session has expired: it begins anew, and the ledger knows what it asked
    // for.
  }
  std::string why;
  Session* session = begin(hello, tenant, now, out, why);
  if (session == nullptr) return turn_away(conn, why.c_str(), "no room for another session now", true, out);
  attach(*session, conn, hello, false, now, out);
  at->second.hello.reset();
}

EdgeLogic::Session* EdgeLogic::begin(const Frame& hello, int tenant, Micros, std::vector<Act>& out,
                                     std::string& why) {
  const auto t = static_cast<std::size_t>(tenant);
  // A device that keeps beginning anew gives up what it left: the session that was heard of longest ago.
  for (;;) {
    const auto own = by_device_.find({tenant, hello.device});
    if (own == by_device_.end() || own->second.size() < settings_.sessions_device) break;
    const auto oldest = *std::min_element(
        own->second.begin(), own->second.end(),
        [&](SessionId a, SessionId b) { return sessions_.at(a).heard < sessions_.at(b).heard; });
    expire(sessions_.at(oldest), out);  // with its last session the device's place goes as well
  }
  if (sessions_.size() >= settings_.sessions_most || by_tenant_[t] >= settings_.sessions_tenant) {
    why = "sessions-full";
    return nullptr;
  }
  SessionId id = 0;
  while (id == 0 || sessions_.contains(id)) id = random_() & ~kOfConn;
  Session& session = sessions_.try_emplace(id, first_, settings_).first->second;
  session.id = id;
  session.tenant = tenant;
  const auto known = by_device_.try_emplace({tenant, hello.device}).first;
  known->second.push_back(id);
  session.device = &known->first.second;
  ++by_tenant_[t];
  ++counts_.sessions_begun;
  return &session;
}

void EdgeLogic::attach(Session& session, ConnId conn, const Frame& hello, bool resumed, Micros now,
                       std::vector<Act>& out) {
  if (session.conn != 0) {
    // The old connection looks alive, but the device is here: whatever still comes by that one is not its
    // word.
    ++counts_.taken_over;
    const ConnId old = session.conn;
    Frame error = frame(Frame::Type::kError);
    error.code = "taken-over";
    error.text = "the session goes on by another connection";
    error.again = true;
    out.push_back(ToDevice{old, std::move(error)});
    out.push_back(CloseConn{old});
    detach(session, now);
    conns_[old].session = 0;
    conns_.erase(old);
  }
  session.conn = conn;
  session.room = true;
  session.polling = false;
  session.heard = now;
  session.suspicion = Suspicion(heartbeat(session));
  session.suspicion.heard(now);
  conns_[conn].session = session.id;
  if (resumed) acknowledged(session, hello.have, now, out);
  Frame welcome = frame(Frame::Type::kWelcome);
  welcome.token =
      sealer_.seal({settings_.home, ledger_.incarnation(), session.id, session.tenant, *session.device});
  welcome.incarnation = ledger_.incarnation();
  welcome.resumed = resumed;
  welcome.have = session.channel.have();
  welcome.heartbeat_ms = heartbeat(session).count() / 1000;
  out.push_back(ToDevice{conn, std::move(welcome)});
  if (draining_) {
    Body notice;
    notice.kind = Body::Kind::kNotice;
    notice.code = "draining";
    session.channel.push({notice, 0, 0, 0, true, Micros{0}, false});
  }
  pump(session, now, out);
  watch(session, now);
}

void EdgeLogic::detach(Session& session, Micros now) {
  if (session.conn == 0) return;
  session.conn = 0;
  session.room = false;
  session.page.cut();
  session.ping = 0;
  ground(session);
  session.expires = now + settings_.session_keep;
  watch(session, now);
}

// Nothing is on its way any more; what is unacknowledged will be sent again.
void EdgeLogic::ground(Session& session) {
  const Seq cursor = session.channel.cursor();
  for (Seq n = session.channel.base(); before(n, session.channel.next()); ++n) {
    Out& sent = session.channel.at(n);
    free_flight(session, sent);
    if (before(n, cursor)) sent.again = true;
  }
  session.channel.resume(session.channel.base());
}

// The last session that a result's rows go to lets it go.
void EdgeLogic::stop_reading(Session& session, RequestId request, std::uint64_t rows, std::vector<Act>& out) {
  const auto at = std::find(session.reading.begin(), session.reading.end(), request);
  if (at == session.reading.end()) return;
  session.reading.erase(at);
  const auto readers = readers_.find(request);
  if (--readers->second > 0) return;
  readers_.erase(readers);
  out.push_back(Release{request, rows});
}

void EdgeLogic::expire(Session& session, std::vector<Act>& out) {
  ++counts_.expired;
  if (session.conn != 0) {
    out.push_back(CloseConn{session.conn});
    conns_.erase(session.conn);
  }
  ground(session);
  // What is under way goes on: its outcome is for the ledger. Rows that nobody will come for are let go.
  while (!session.reading.empty()) stop_reading(session, session.reading.back(), 0, out);
  for (auto& [_, ask] : asks_) {
    if (ask.session == session.id) ask.session = 0;
  }
  wheel_.cancel(session.timer);
  const auto own = by_device_.find({session.tenant, *session.device});
  std::erase(own->second, session.id);
  if (own->second.empty()) by_device_.erase(own);
  --by_tenant_[static_cast<std::size_t>(session.tenant)];
  sessions_.erase(session.id);
}

// ---- Messages ----

bool EdgeLogic::acknowledged(Session& session, Seq have, Micros now, std::vector<Act>& out) {
  std::uint64_t bytes = 0;
  Micros since{0};
  std::vector<std::pair<RequestId, std::uint64_t>> done;
  const Acked acked = session.channel.acknowledge(have, [&](Seq, Out& sent) {
    if (sent.sent.count() > 0 && !sent.again) {
      bytes += sent.bytes;
      since = since.count() == 0 ? sent.sent : std::min(since, sent.sent);
    }
    free_flight(session, sent);
    if (sent.body.kind == Body::Kind::kRows && sent.body.last) {
      done.emplace_back(sent.request, sent.body.row + sent.body.count);
      std::erase(session.asks, sent.body.key);
    } else if (sent.body.kind == Body::Kind::kAnswer &&
               (sent.body.outcome.how != Outcome::How::kServed || sent.body.outcome.rows == 0)) {
      std::erase(session.asks, sent.body.key);
    }
  });
  if (acked == Acked::kForged) {
    ++counts_.forged;
    const ConnId conn = session.conn;
    if (conn != 0) turn_away(conn, "ack", "the device says it has what was never sent", false, out);
    return false;
  }
  if (since.count() > 0) {
    session.trip.sample(now - since);
    if (bytes > 0) session.page.delivered(bytes, now - since);
  }
  for (const auto& [request, rows] : done) stop_reading(session, request, rows, out);
  if (acked == Acked::kNews) feed_starving(now, out);
  return true;
}

void EdgeLogic::message(Session& session, const Frame& frame, Micros now, std::vector<Act>& out) {
  if (!acknowledged(session, frame.have, now, out)) return;
  const ConnId conn = session.conn;
  // Each message may bring an answer, and answers are kept until they are acknowledged: a device that asks on
  // and acknowledges nothing would fill its replay window without end.
  if (session.channel.unacknowledged() > kUnreadPerAsk * settings_.asks_most)
    return turn_away(conn, "unread", "answers are left unacknowledged", true, out);
  switch (session.channel.heard(frame.seq)) {
    case Heard::kGap:
      // In its order on one connection; where polls cross, the device sends it again behind what is here.
      if (!session.polling) return turn_away(conn, "gap", "a message is missing before this one", true, out);
      break;
    case Heard::kAgain:
      break;
    case Heard::kNew:
      if (frame.body.kind == Body::Kind::kRequest) {
        request(session, frame.body, now, out);
      } else if (frame.body.kind == Body::Kind::kInterrupt) {
        interrupt(session, frame.body.key, now, out);
      } else {
        return turn_away(conn, "unexpected", "such a message is not for the edge", false, out);
      }
  }
  Frame ack = edge::frame(Frame::Type::kAck);
  ack.have = session.channel.have();
  out.push_back(ToDevice{conn, std::move(ack)});
}

void EdgeLogic::refuse(Session& session, std::uint64_t key, const char* code, bool again, Micros later) {
  ++counts_.refused;
  session.ask(key);  // until the refusal has arrived, what crosses it is not asked anew
  Out out;
  out.body.kind = Body::Kind::kAnswer;
  out.body.key = key;
  out.body.code = code;
  out.body.outcome.how = Outcome::How::kRefused;
  out.body.outcome.again = again;
  out.body.outcome.later = later;
  out.known = true;
  session.channel.push(std::move(out));
}

void EdgeLogic::request(Session& session, const Body& body, Micros now, std::vector<Act>& out) {
  (void)now;
  const Key key{session.tenant, *session.device, body.key};
  const bool must_not_repeat = once(body.verb);
  ++counts_.requests;
  // The edge bounds messages, never queries by its own judgement: who has so many open waits for some to end.
  Outcome outcome;
  const auto look = ledger_.look(key, digest(body), must_not_repeat, body.first, outcome);
  if (look != LedgerLogic::Answer::kOther && look != LedgerLogic::Answer::kSame &&
      session.asks_for(body.key)) {
    ++counts_.repeats;
    return;  // its answer is on the way, in this session
  }
  const auto turned = [&](const char* code, bool again, Micros later) {
    refuse(session, body.key, code, again, later);
  };
  if (session.asks.size() >= settings_.asks_most && !session.asks_for(body.key))
    return turned("too-many", true, Micros{1'000'000});
  switch (look) {
    case LedgerLogic::Answer::kOther:
      return turned("other-statement", false, Micros{0});
    case LedgerLogic::Answer::kTooOld:
      return turned("too-old", false, Micros{0});
    case LedgerLogic::Answer::kFull:
      return turned("ledger-full", true, Micros{5'000'000});
    case LedgerLogic::Answer::kOutcome:
      ++counts_.repeats;
      session.ask(body.key);
      return tell(session, key, outcome);
    case LedgerLogic::Answer::kSame: {
      // Whoever asked last hears the answer: the device is where it last asked from.
      ++counts_.repeats;
      session.ask(body.key);
      const auto running = running_.find(key);
      if (running != running_.end()) asks_.at(running->second).session = session.id;
      return;
    }
    default:
      break;
  }
  if (draining_) return turned("draining", true, Micros{1'000'000});
  RequestId id = 0;
  while (id == 0 || asks_.contains(id)) id = random_();
  session.ask(body.key);
  running_[key] = id;
  std::vector<Record> records;
  const bool wait = ledger_.take(key, digest(body), must_not_repeat, id, records);
  asks_[id] = {key, wait ? body : Body{}, session.id, must_not_repeat};
  for (Record& record : records) out.push_back(Write{std::move(record)});
  if (!wait) out.push_back(Submit{id, session.tenant, body});
}

void EdgeLogic::interrupt(Session& session, std::uint64_t number, Micros now, std::vector<Act>& out) {
  const Key key{session.tenant, *session.device, number};
  const auto running = running_.find(key);
  if (running == running_.end()) return;  // its answer has crossed it
  const RequestId request = running->second;
  const auto fate = ledger_.fate(key);
  if (fate == Fate::kTaken || fate == Fate::kAnswered) return;  // its end is under way, one way or the other
  out.push_back(Withdraw{request});
  // Withdrawn from the coordinator, which says no more of it: whether a load has run, nobody knows.
  const bool must_not_repeat = asks_.at(request).once;
  Outcome outcome;
  outcome.how = must_not_repeat ? Outcome::How::kUnknown : Outcome::How::kFailed;
  outcome.again = !must_not_repeat;
  answered(request, outcome, now, out);
}

void EdgeLogic::recorded(const Record& record, bool durable, Micros now, std::vector<Act>& out) {
  if (record.mark || record.erase) return;
  const auto running = running_.find(record.key);
  if (running == running_.end()) return;
  const RequestId id = running->second;
  if (record.fate == Fate::kDispatched) {
    Ask& ask = asks_.at(id);
    if (!durable) {
      // Nothing was dispatched, and nothing will be, under this key.
      Outcome refused;
      refused.how = Outcome::How::kRefused;
      refused.again = true;
      refused.later = Micros{5'000'000};
      ledger_.not_recorded(record.key, refused);
      const SessionId whose = ask.session;
      asks_.erase(id);
      running_.erase(running);
      const auto session = sessions_.find(whose);
      if (session != sessions_.end()) {
        refuse(session->second, record.key.number, "not-recorded", true, refused.later);
        pump(session->second, now, out);
      }
      return;
    }
    if (ledger_.dispatched(record.key))
      out.push_back(Submit{id, record.key.tenant, std::exchange(ask.body, {})});
  } else if (record.fate == Fate::kAnswered) {
    const SessionId whose = asks_.at(id).session;
    const Outcome* outcome = ledger_.told(record.key, durable);
    if (outcome != nullptr) finish(id, *outcome, out);
    const auto session = sessions_.find(whose);
    if (session != sessions_.end()) pump(session->second, now, out);
  }
}

void EdgeLogic::answered(RequestId request, const Outcome& outcome, Micros now, std::vector<Act>& out) {
  const auto at = asks_.find(request);
  if (at == asks_.end()) return;  // it was answered before: there is one answer
  const Key key = at->second.key;
  const SessionId whose = at->second.session;
  std::vector<Record> records;
  const auto fate = ledger_.fate(key);
  if (fate != Fate::kTaken && fate != Fate::kDispatched) return;
  if (ledger_.answered(key, outcome, records)) {
    for (Record& record : records) out.push_back(Write{std::move(record)});
    return;
  }
  const Outcome* told = ledger_.told(key, true);
  if (told != nullptr) finish(request, *told, out);
  const auto session = sessions_.find(whose);
  if (session != sessions_.end()) pump(session->second, now, out);
}

// The request's one end: whoever last asked for it is told, if it still has a session.
void EdgeLogic::finish(RequestId request, const Outcome& outcome, std::vector<Act>& out) {
  const auto at = asks_.find(request);
  if (at == asks_.end()) return;
  const Ask ask = std::move(at->second);
  asks_.erase(at);
  running_.erase(ask.key);
  ++counts_.answers;
  if (outcome.how == Outcome::How::kUnknown) ++counts_.unknowns;
  const auto session = sessions_.find(ask.session);
  if (session == sessions_.end()) {
    (void)out;  // its result waits in the spool for as long as the request may
    return;
  }
  tell(session->second, ask.key, outcome);
}

void EdgeLogic::tell(Session& session, const Key& key, const Outcome& outcome) {
  Out out;
  out.body.kind = Body::Kind::kAnswer;
  out.body.key = key.number;
  out.body.outcome = outcome;
  out.known = true;
  session.channel.push(std::move(out));
  if (outcome.how == Outcome::How::kServed && outcome.rows > 0)
    session.deliveries.push_back({outcome.request, key.number, 0, outcome.rows});
  if (outcome.how == Outcome::How::kServed && outcome.rows > 0 &&
      std::find(session.reading.begin(), session.reading.end(), outcome.request) == session.reading.end()) {
    session.reading.push_back(outcome.request);
    ++readers_[outcome.request];
  }
}

// ---- To the device ----

void EdgeLogic::free_flight(Session& session, Out& out) {
  if (out.charged == 0) return;
  memory_.give_back(static_cast<std::size_t>(session.tenant), out.charged);
  session.in_flight -= std::min(session.in_flight, out.charged);
  out.charged = 0;
}

void EdgeLogic::pump(Session& session, Micros now, std::vector<Act>& out) {
  while (session.conn != 0 && session.room && !session.fetching) {
    Out* next = session.channel.peek();
    if (next == nullptr) {
      if (session.deliveries.empty()) return;
      const Delivery& delivery = session.deliveries.front();
      Out rows;
      rows.body.kind = Body::Kind::kRows;
      rows.body.key = delivery.key;
      rows.body.row = delivery.next;
      rows.request = delivery.request;
      session.channel.push(std::move(rows));
      continue;
    }
    if (next->body.kind != Body::Kind::kRows || !next->body.code.empty()) {
      transmit(session, *next, now, out);
      continue;
    }
    // Rows are fetched when they are to leave, and again when they are to leave again: none wait here.
    const std::uint32_t bytes = next->known ? next->bytes : session.page.bytes();
    if (session.in_flight > 0 && session.in_flight + bytes > settings_.window) return;
    if (!memory_.take(static_cast<std::size_t>(session.tenant), bytes)) {
      // One page a device goes in any case where its tenant has none on the way.
      if (memory_.used(static_cast<std::size_t>(session.tenant)) > 0) {
        if (!std::exchange(session.starving, true)) starving_.push_back(session.id);
        return;
      }
      memory_.take_anyway(static_cast<std::size_t>(session.tenant), bytes);
    }
    next->charged = bytes;
    session.in_flight += bytes;
    session.fetching = true;
    out.push_back(Fetch{next->request, session.id, next->body.row, bytes});
  }
}

void EdgeLogic::rows(const Rows& rows, Micros now, std::vector<Act>& out) {
  const auto at = sessions_.find(rows.session);
  if (at == sessions_.end()) return;
  Session& session = at->second;
  session.fetching = false;
  Out* next = session.channel.peek();
  // The link may have gone meanwhile, and the cursor back: then it is fetched anew when its turn comes.
  if (next == nullptr || next->body.kind != Body::Kind::kRows || next->request != rows.request ||
      next->body.row != rows.row || next->charged == 0) {
    return pump(session, now, out);
  }
  const bool first = !next->known;
  if (!rows.text) {
    // Its time is over, or the disk has lost it. What the device has of it is right as far as it goes.
    free_flight(session, *next);
    next->body.code = "rows-gone";
    next->body.last = true;
    next->known = true;
    if (first && !session.deliveries.empty() && session.deliveries.front().request == rows.request)
      session.deliveries.erase(session.deliveries.begin());
    return pump(session, now, out);
  }
  const auto size = static_cast<std::uint32_t>(rows.text->size());
  // What was taken for it and what it is: a row may be longer than a page.
  if (size < next->charged) {
    memory_.give_back(static_cast<std::size_t>(session.tenant), next->charged - size);
  } else {
    memory_.take_anyway(static_cast<std::size_t>(session.tenant), size - next->charged);
  }
  session.in_flight = session.in_flight - next->charged + size;
  next->charged = size;
  next->bytes = size;
  next->known = true;
  next->body.count = rows.count;
  next->body.last = rows.last;
  if (first && !session.deliveries.empty() && session.deliveries.front().request == rows.request) {
    Delivery& delivery = session.deliveries.front();
    delivery.next = rows.row + rows.count;
    if (rows.last) session.deliveries.erase(session.deliveries.begin());
  }
  if (session.conn == 0 || !session.room) {
    free_flight(session, *next);
    return;
  }
  next->body.text = rows.text;
  transmit(session, *next, now, out);
  pump(session, now, out);
}

void EdgeLogic::transmit(Session& session, Out& sent, Micros now, std::vector<Act>& acts) {
  Frame message = frame(Frame::Type::kMessage);
  message.seq = session.channel.cursor();
  message.have = session.channel.have();
  message.body = sent.body;
  sent.body.text.reset();
  if (sent.sent.count() == 0) sent.sent = now;
  session.channel.transmitted();
  acts.push_back(ToDevice{session.conn, std::move(message)});
}

void EdgeLogic::feed_starving(Micros now, std::vector<Act>& out) {
  for (std::size_t left = starving_.size(); left > 0; --left) {
    const SessionId id = starving_.front();
    starving_.pop_front();
    const auto at = sessions_.find(id);
    if (at == sessions_.end()) continue;
    at->second.starving = false;
    pump(at->second, now, out);
    if (at->second.starving) return;  // it stands in line again: there is nothing left to give
  }
}

// ---- Time ----

Micros EdgeLogic::heartbeat(const Session& session) const {
  return std::clamp(4 * session.trip.timeout(), settings_.heartbeat_least, settings_.heartbeat_most);
}

void EdgeLogic::watch(Session& session, Micros now) {
  wheel_.cancel(session.timer);
  Micros due = session.expires;
  if (session.conn != 0) {
    due = session.ping == 0 ? session.heard + heartbeat(session)
                            : session.suspicion.until(settings_.suspicion, session.heard);
    due = std::max(due, now + kTick);
  }
  session.timer = wheel_.schedule(due, session.id);
}

void EdgeLogic::advance(Micros now, std::int64_t now_unix_us, std::vector<Act>& out) {
  std::vector<Record> records;
  ledger_.advance(now, now_unix_us, records);
  for (Record& record : records) out.push_back(Write{std::move(record)});
  std::vector<std::uint64_t> due;
  wheel_.advance(now, [&](std::uint64_t whose) { due.push_back(whose); });
  for (const std::uint64_t id : due) {
    if ((id & kOfConn) != 0) {
      const auto conn = conns_.find(id & ~kOfConn);
      if (conn != conns_.end() && conn->second.session == 0 && !conn->second.hello)
        turn_away(conn->first, "hello-late", "nothing was said in time", true, out);
      continue;
    }
    const auto at = sessions_.find(id);
    if (at == sessions_.end()) continue;
    Session& session = at->second;
    if (session.conn == 0) {
      if (now >= session.expires) {
        expire(session, out);
      } else {
        watch(session, now);
      }
      continue;
    }
    if (session.ping != 0 && session.suspicion.phi(now) >= settings_.suspicion) {
      ++counts_.suspected;
      out.push_back(CloseConn{session.conn});
      conns_.erase(session.conn);
      detach(session, now);
      continue;
    }
    if (session.ping == 0 && now - session.heard >= heartbeat(session)) {
      session.ping = random_() | 1;
      session.ping_sent = now;
      Frame ping = frame(Frame::Type::kPing);
      ping.nonce = session.ping;
      ping.have = session.channel.have();
      out.push_back(ToDevice{session.conn, std::move(ping)});
    }
    watch(session, now);
  }
  feed_starving(now, out);
  admit(now, out);
}

std::optional<Micros> EdgeLogic::next(Micros now) const {
  std::optional<Micros> soonest = wheel_.next_wakeup();
  for (const auto& other : {ledger_.next(), gate_.next(now)}) {
    if (other && (!soonest || *other < *soonest)) soonest = other;
  }
  return soonest;
}

// ---- The end ----

void EdgeLogic::drain(Micros now, std::vector<Act>& out) {
  if (std::exchange(draining_, true)) return;
  for (auto& [_, session] : sessions_) {
    Out notice;
    notice.body.kind = Body::Kind::kNotice;
    notice.body.code = "draining";
    notice.known = true;
    session.channel.push(std::move(notice));
    pump(session, now, out);
  }
}

bool EdgeLogic::settled() const {
  if (!asks_.empty()) return false;
  for (const auto& [_, session] : sessions_) {
    if (session.conn != 0 && (session.channel.unacknowledged() > 0 || !session.deliveries.empty()))
      return false;
  }
  return true;
}

std::size_t EdgeLogic::live() const {
  return static_cast<std::size_t>(std::count_if(sessions_.begin(), sessions_.end(),
                                                [](const auto& entry) { return entry.second.conn != 0; }));
}

}  // namespace steprail::edge
