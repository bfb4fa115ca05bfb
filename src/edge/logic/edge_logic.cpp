#include "edge/logic/edge_logic.h"

#define XXH_INLINE_ALL
#include <xxhash.h>

#include <algorithm>

namespace steprail::edge {
namespace {

constexpr Micros kTick{10'000};
// Messages to a device that may be unacknowledged, per open request that it may have.
constexpr std::size_t kMaxUnackedPerRequest = 8;
// Set in the key of a connection's timer, clear in the key of a session's timer.
constexpr std::uint64_t kConnTimerFlag = std::uint64_t{1} << 63;

std::uint64_t digest(const Body& body) {
  XXH3_state_t state;
  XXH3_64bits_reset(&state);
  const std::uint64_t size = body.verb.size();
  XXH3_64bits_update(&state, &size, sizeof size);
  XXH3_64bits_update(&state, body.verb.data(), body.verb.size());
  XXH3_64bits_update(&state, body.statement.data(), body.statement.size());
  return XXH3_64bits_digest(&state);
}

Frame make_frame(Frame::Type type) {
  Frame frame;
  frame.type = type;
  return frame;
}

}  // namespace

EdgeLogic::EdgeLogic(EdgeSettings settings, TokenSigner token_signer, std::vector<std::uint64_t> incarnations,
                     std::uint64_t seed, Micros now, std::int64_t now_unix_us, Seq first_seq)
    : settings_(std::move(settings)),
      token_signer_(token_signer),
      random_(seed),
      first_seq_(first_seq),
      admission_gate_(settings_.admission, seed ^ 0x9e3779b97f4a7c15),
      ledger_(settings_.ledger, std::move(incarnations), now, now_unix_us),
      wheel_(kTick, now) {
  reconfigure(settings_);
}

void EdgeLogic::reconfigure(const EdgeSettings& settings) {
  settings_ = settings;
  admission_gate_.set_settings(settings.admission);
  const std::size_t tenants = std::max<std::size_t>(1, settings.tenants.size());
  memory_.configure(settings.memory, std::vector<double>(tenants, 1.0));
  session_count_by_tenant_.resize(tenants);
}

void EdgeLogic::recover(const LedgerRecord& record, std::vector<EdgeAction>& out) {
  std::vector<LedgerRecord> records;
  ledger_.recover(record, records);
  for (LedgerRecord& r : records) out.push_back(WriteRecord{std::move(r)});
}

bool EdgeLogic::is_at_most_once(const std::string& verb) const {
  const auto at = settings_.at_most_once.find(verb);
  return at == settings_.at_most_once.end() || at->second;
}

EdgeLogic::Session* EdgeLogic::session_of(ConnId conn) {
  const auto at = conns_.find(conn);
  if (at == conns_.end() || at->second.session == 0) return nullptr;
  const auto session = sessions_.find(at->second.session);
  return session == sessions_.end() ? nullptr : &session->second;
}

// ---- Connections ----

void EdgeLogic::on_open(ConnId conn, Micros now) {
  Conn& entry = conns_[conn];
  entry.timer = wheel_.schedule(now + settings_.hello_timeout, conn | kConnTimerFlag);
}

void EdgeLogic::reject(ConnId conn, const char* code, const char* text, bool retry_safe,
                       std::vector<EdgeAction>& out) {
  ++counters_.rejected;
  Frame error = make_frame(Frame::Type::kError);
  error.code = code;
  error.text = text;
  error.retry_safe = retry_safe;
  out.push_back(SendFrame{conn, std::move(error)});
  out.push_back(CloseConn{conn});
}

void EdgeLogic::on_frame(ConnId conn, const Frame& frame, Micros now, std::vector<EdgeAction>& out) {
  const auto at = conns_.find(conn);
  if (at == conns_.end()) return;  // closed, or another connection has taken over the session
  if (at->second.session == 0) {
    if (frame.type != Frame::Type::kHello || at->second.hello)
      return reject(conn, "hello-first", "a connection begins with one hello", true, out);
    at->second.hello = std::make_unique<Frame>(frame);
    std::vector<AdmissionGate::Deferred> deferred;
    admission_gate_.enqueue(conn, now + Micros{std::max<std::int64_t>(0, frame.deadline_ms) * 1000}, now,
                            deferred);
    for (const AdmissionGate::Deferred& device : deferred) {
      Frame reply = edge::make_frame(Frame::Type::kLater);
      reply.retry_after_ms = device.retry_after.count() / 1000;
      ++counters_.rejected;
      out.push_back(SendFrame{device.id, std::move(reply)});
      out.push_back(CloseConn{device.id});
    }
    return admit(now, out);
  }
  Session* session = session_of(conn);
  if (session == nullptr) return;
  session->last_heard_at = now;
  session->failure_detector.on_heard(now);
  switch (frame.type) {
    case Frame::Type::kMessage:
      handle_message(*session, frame, now, out);
      break;
    case Frame::Type::kAck:
      if (!process_ack(*session, frame.next_expected, now, out)) return;
      break;
    case Frame::Type::kPing: {
      Frame pong = edge::make_frame(Frame::Type::kPong);
      pong.nonce = frame.nonce;
      pong.next_expected = session->channel.next_expected();
      out.push_back(SendFrame{conn, std::move(pong)});
      break;
    }
    case Frame::Type::kPong:
      if (session->ping_nonce != 0 && frame.nonce == session->ping_nonce) {
        session->rtt.add_sample(now - session->ping_sent_at);
        session->ping_nonce = 0;
      }
      break;
    case Frame::Type::kBye:
      out.push_back(CloseConn{conn});
      detach(*session, now);
      return;
    default:
      return reject(conn, "unexpected", "such a frame is not for the edge", false, out);
  }
  if (session->conn == conn) {
    send_pending(*session, now, out);
    rearm_timer(*session, now);
  }
}

void EdgeLogic::on_close(ConnId conn, Micros now, std::vector<EdgeAction>& out) {
  const auto at = conns_.find(conn);
  if (at == conns_.end()) return;
  admission_gate_.remove(conn);
  wheel_.cancel(at->second.timer);
  Session* session = session_of(conn);
  conns_.erase(at);
  if (session != nullptr && session->conn == conn) detach(*session, now);
  resume_memory_waiters(now, out);
}

void EdgeLogic::on_writable(ConnId conn, bool writable, Micros now, std::vector<EdgeAction>& out) {
  Session* session = session_of(conn);
  if (session == nullptr || session->conn != conn) return;
  session->writable = writable;
  if (writable) send_pending(*session, now, out);
}

void EdgeLogic::on_poll(ConnId conn, Seq next_expected, Micros now, std::vector<EdgeAction>& out) {
  Session* session = session_of(conn);
  if (session == nullptr || session->conn != conn) return;
  session->last_heard_at = now;
  session->failure_detector.on_heard(now);
  session->long_polling = true;
  if (!process_ack(*session, next_expected, now, out)) return;
  // Messages sent in response to an earlier poll that the device does not have were lost with that response.
  rewind_unacknowledged(*session);
  send_pending(*session, now, out);
  rearm_timer(*session, now);
}

// ---- Admission ----

void EdgeLogic::admit(Micros now, std::vector<EdgeAction>& out) {
  std::vector<std::uint64_t> admitted;
  std::vector<AdmissionGate::Deferred> deferred;
  admission_gate_.admit(now, admitted, deferred);
  for (const ConnId conn : admitted) handle_hello(conn, now, out);
  for (const AdmissionGate::Deferred& device : deferred) {
    Frame reply = make_frame(Frame::Type::kLater);
    reply.retry_after_ms = device.retry_after.count() / 1000;
    ++counters_.rejected;
    out.push_back(SendFrame{device.id, std::move(reply)});
    out.push_back(CloseConn{device.id});
  }
}

void EdgeLogic::handle_hello(ConnId conn, Micros now, std::vector<EdgeAction>& out) {
  const auto at = conns_.find(conn);
  if (at == conns_.end() || !at->second.hello) return;
  const Frame& hello = *at->second.hello;
  wheel_.cancel(at->second.timer);
  int tenant = 0;
  if (!settings_.tenants.empty()) {
    const auto found = std::find(settings_.tenants.begin(), settings_.tenants.end(), hello.tenant);
    if (found == settings_.tenants.end()) return reject(conn, "tenant", "no such tenant", false, out);
    tenant = static_cast<int>(found - settings_.tenants.begin());
  }
  if (hello.device.empty() || hello.device.size() > 64)
    return reject(conn, "device", "a device names itself, in 64 bytes at most", false, out);
  if (!hello.token.empty()) {
    const auto token = token_signer_.verify(hello.token);
    if (!token || token->tenant != tenant || token->device != hello.device) {
      ++counters_.forged;
      return reject(conn, "token", "the token is not this device's; begin without one", true, out);
    }
    if (token->home != settings_.home && !settings_.retired_homes.contains(token->home)) {
      const auto home = settings_.peer_homes.find(token->home);
      if (home == settings_.peer_homes.end())
        return reject(conn, "home", "the session lives elsewhere, and nobody here knows where", true, out);
      Frame moved = make_frame(Frame::Type::kMoved);
      moved.home = home->second;
      out.push_back(SendFrame{conn, std::move(moved)});
      out.push_back(CloseConn{conn});
      return;
    }
    const auto session_at = sessions_.find(token->session);
    if (token->home == settings_.home && token->incarnation == ledger_.incarnation() &&
        session_at != sessions_.end()) {
      Session& session = session_at->second;
      // The device can only acknowledge messages that were sent.
      if (seq_before(session.channel.next(), hello.next_expected)) {
        ++counters_.forged;
        return reject(conn, "have", "the device says it has what was never sent", false, out);
      }
      if (!seq_before(hello.next_expected, session.channel.base())) {
        ++counters_.resumed;
        attach(session, conn, hello, true, now, out);
        at->second.hello.reset();
        return;
      }
      // The device lacks messages that it acknowledged and that were dropped, so the session cannot resume.
      // The outcomes of its requests are in the ledger and are reported again in a new session.
      ++counters_.forged;
      expire(session, out);
    }
    // The process that issued the token is gone, or the session has expired: the device gets a new session,
    // and the ledger still knows its requests.
  }
  std::string code;
  Session* session = create_session(hello, tenant, now, out, code);
  if (session == nullptr) return reject(conn, code.c_str(), "no room for another session now", true, out);
  attach(*session, conn, hello, false, now, out);
  at->second.hello.reset();
}

EdgeLogic::Session* EdgeLogic::create_session(const Frame& hello, int tenant, Micros,
                                              std::vector<EdgeAction>& out, std::string& code) {
  const auto tenant_index = static_cast<std::size_t>(tenant);
  // A device at its limit of sessions loses the one that was heard from longest ago.
  for (;;) {
    const auto device_sessions = sessions_by_device_.find({tenant, hello.device});
    if (device_sessions == sessions_by_device_.end() ||
        device_sessions->second.size() < settings_.max_sessions_per_device)
      break;
    const auto oldest = *std::min_element(
        device_sessions->second.begin(), device_sessions->second.end(), [&](SessionId a, SessionId b) {
          return sessions_.at(a).last_heard_at < sessions_.at(b).last_heard_at;
        });
    expire(sessions_.at(oldest), out);  // `device_sessions` is erased if this was the device's last session
  }
  if (sessions_.size() >= settings_.max_sessions ||
      session_count_by_tenant_[tenant_index] >= settings_.max_sessions_per_tenant) {
    code = "sessions-full";
    return nullptr;
  }
  SessionId id = 0;
  while (id == 0 || sessions_.contains(id)) id = random_() & ~kConnTimerFlag;
  Session& session = sessions_.try_emplace(id, first_seq_, settings_).first->second;
  session.id = id;
  session.tenant = tenant;
  const auto device_entry = sessions_by_device_.try_emplace({tenant, hello.device}).first;
  device_entry->second.push_back(id);
  session.device = &device_entry->first.second;
  ++session_count_by_tenant_[tenant_index];
  ++counters_.sessions_begun;
  return &session;
}

void EdgeLogic::attach(Session& session, ConnId conn, const Frame& hello, bool resumed, Micros now,
                       std::vector<EdgeAction>& out) {
  if (session.conn != 0) {
    // The old connection looks alive, but the device now uses the new one: close the old one and ignore
    // whatever still arrives on it.
    ++counters_.taken_over;
    const ConnId old_conn = session.conn;
    Frame error = make_frame(Frame::Type::kError);
    error.code = "taken-over";
    error.text = "the session goes on by another connection";
    error.retry_safe = true;
    out.push_back(SendFrame{old_conn, std::move(error)});
    out.push_back(CloseConn{old_conn});
    detach(session, now);
    conns_[old_conn].session = 0;
    conns_.erase(old_conn);
  }
  session.conn = conn;
  session.writable = true;
  session.long_polling = false;
  session.last_heard_at = now;
  session.failure_detector = FailureDetector(heartbeat_interval(session));
  session.failure_detector.on_heard(now);
  conns_[conn].session = session.id;
  if (resumed) process_ack(session, hello.next_expected, now, out);
  Frame welcome = make_frame(Frame::Type::kWelcome);
  welcome.token = token_signer_.sign(
      {settings_.home, ledger_.incarnation(), session.id, session.tenant, *session.device});
  welcome.incarnation = ledger_.incarnation();
  welcome.resumed = resumed;
  welcome.next_expected = session.channel.next_expected();
  welcome.heartbeat_ms = heartbeat_interval(session).count() / 1000;
  out.push_back(SendFrame{conn, std::move(welcome)});
  if (draining_) {
    Body notice;
    notice.kind = Body::Kind::kNotice;
    notice.code = "draining";
    session.channel.push({notice, 0, 0, 0, true, Micros{0}, false});
  }
  send_pending(session, now, out);
  rearm_timer(session, now);
}

void EdgeLogic::detach(Session& session, Micros now) {
  if (session.conn == 0) return;
  session.conn = 0;
  session.writable = false;
  session.page_sizer.on_disconnect();
  session.ping_nonce = 0;
  rewind_unacknowledged(session);
  session.expires_at = now + settings_.session_ttl;
  rearm_timer(session, now);
}

// Nothing is in flight any more; all unacknowledged messages will be sent again.
void EdgeLogic::rewind_unacknowledged(Session& session) {
  const Seq cursor = session.channel.cursor();
  for (Seq n = session.channel.base(); seq_before(n, session.channel.next()); ++n) {
    OutgoingMessage& message = session.channel.at(n);
    release_in_flight(session, message);
    if (seq_before(n, cursor)) message.resent = true;
  }
  session.channel.resume(session.channel.base());
}

// Ends the session's reading of a result; the last reader releases the result.
void EdgeLogic::remove_reader(Session& session, RequestId request, std::uint64_t rows,
                              std::vector<EdgeAction>& out) {
  const auto at = std::find(session.unread_results.begin(), session.unread_results.end(), request);
  if (at == session.unread_results.end()) return;
  session.unread_results.erase(at);
  const auto readers = reader_counts_.find(request);
  if (--readers->second > 0) return;
  reader_counts_.erase(readers);
  out.push_back(ReleaseResult{request, rows});
}

void EdgeLogic::expire(Session& session, std::vector<EdgeAction>& out) {
  ++counters_.expired;
  if (session.conn != 0) {
    out.push_back(CloseConn{session.conn});
    conns_.erase(session.conn);
  }
  rewind_unacknowledged(session);
  // Requests in progress go on, and their outcomes go to the ledger. Results without a reader are released.
  while (!session.unread_results.empty()) remove_reader(session, session.unread_results.back(), 0, out);
  for (auto& [_, request] : pending_requests_) {
    if (request.session == session.id) request.session = 0;
  }
  wheel_.cancel(session.timer);
  const auto device_sessions = sessions_by_device_.find({session.tenant, *session.device});
  std::erase(device_sessions->second, session.id);
  if (device_sessions->second.empty()) sessions_by_device_.erase(device_sessions);
  --session_count_by_tenant_[static_cast<std::size_t>(session.tenant)];
  sessions_.erase(session.id);
}

// ---- Messages ----

bool EdgeLogic::process_ack(Session& session, Seq next_expected, Micros now, std::vector<EdgeAction>& out) {
  std::uint64_t bytes = 0;
  Micros first_sent_at{0};
  std::vector<std::pair<RequestId, std::uint64_t>> delivered;
  const AckResult ack_result = session.channel.acknowledge(next_expected, [&](Seq, OutgoingMessage& sent) {
    if (sent.sent_at.count() > 0 && !sent.resent) {
      bytes += sent.bytes;
      first_sent_at = first_sent_at.count() == 0 ? sent.sent_at : std::min(first_sent_at, sent.sent_at);
    }
    release_in_flight(session, sent);
    if (sent.body.kind == Body::Kind::kRows && sent.body.last) {
      delivered.emplace_back(sent.request, sent.body.first_row + sent.body.row_count);
      std::erase(session.open_keys, sent.body.key);
    } else if (sent.body.kind == Body::Kind::kAnswer &&
               (sent.body.outcome.status != Outcome::Status::kServed || sent.body.outcome.rows == 0)) {
      std::erase(session.open_keys, sent.body.key);
    }
  });
  if (ack_result == AckResult::kInvalid) {
    ++counters_.forged;
    const ConnId conn = session.conn;
    if (conn != 0) reject(conn, "ack", "the device says it has what was never sent", false, out);
    return false;
  }
  if (first_sent_at.count() > 0) {
    session.rtt.add_sample(now - first_sent_at);
    if (bytes > 0) session.page_sizer.on_delivered(bytes, now - first_sent_at);
  }
  for (const auto& [request, rows] : delivered) remove_reader(session, request, rows, out);
  if (ack_result == AckResult::kAdvanced) resume_memory_waiters(now, out);
  return true;
}

void EdgeLogic::handle_message(Session& session, const Frame& frame, Micros now,
                               std::vector<EdgeAction>& out) {
  if (!process_ack(session, frame.next_expected, now, out)) return;
  const ConnId conn = session.conn;
  // Each message may cause an answer, and answers are kept until they are acknowledged: a device that keeps
  // sending requests and acknowledges nothing would grow its replay window without limit.
  if (session.channel.unacknowledged() > kMaxUnackedPerRequest * settings_.max_open_requests)
    return reject(conn, "unread", "answers are left unacknowledged", true, out);
  switch (session.channel.receive(frame.seq)) {
    case Receipt::kGap:
      // One connection keeps the order, so a gap is an error. Long polls may overtake each other: the device
      // sends the message again after the missing ones.
      if (!session.long_polling)
        return reject(conn, "gap", "a message is missing before this one", true, out);
      break;
    case Receipt::kDuplicate:
      break;
    case Receipt::kNew:
      if (frame.body.kind == Body::Kind::kRequest) {
        handle_request(session, frame.body, now, out);
      } else if (frame.body.kind == Body::Kind::kInterrupt) {
        handle_interrupt(session, frame.body.key, now, out);
      } else {
        return reject(conn, "unexpected", "such a message is not for the edge", false, out);
      }
  }
  Frame ack = edge::make_frame(Frame::Type::kAck);
  ack.next_expected = session.channel.next_expected();
  out.push_back(SendFrame{conn, std::move(ack)});
}

void EdgeLogic::refuse(Session& session, std::uint64_t key, const char* code, bool retry_safe,
                       Micros retry_after) {
  ++counters_.refused;
  session.add_open_key(key);  // a duplicate that crosses the refusal must not run the request
  OutgoingMessage message;
  message.body.kind = Body::Kind::kAnswer;
  message.body.key = key;
  message.body.code = code;
  message.body.outcome.status = Outcome::Status::kRefused;
  message.body.outcome.retry_safe = retry_safe;
  message.body.outcome.retry_after = retry_after;
  message.size_known = true;
  session.channel.push(std::move(message));
}

void EdgeLogic::handle_request(Session& session, const Body& body, Micros now, std::vector<EdgeAction>& out) {
  (void)now;
  const RequestKey key{session.tenant, *session.device, body.key};
  const bool at_most_once = is_at_most_once(body.verb);
  ++counters_.requests;
  // The edge limits the number of open requests per session; admission of queries is the coordinator's.
  Outcome outcome;
  const auto lookup = ledger_.lookup(key, digest(body), at_most_once, body.first_incarnation, outcome);
  if (lookup != LedgerLogic::Lookup::kOtherStatement && lookup != LedgerLogic::Lookup::kInProgress &&
      session.has_open_key(body.key)) {
    ++counters_.repeats;
    return;  // its answer will come in this session
  }
  const auto refuse_with = [&](const char* code, bool retry_safe, Micros retry_after) {
    refuse(session, body.key, code, retry_safe, retry_after);
  };
  if (session.open_keys.size() >= settings_.max_open_requests && !session.has_open_key(body.key))
    return refuse_with("too-many", true, Micros{1'000'000});
  switch (lookup) {
    case LedgerLogic::Lookup::kOtherStatement:
      return refuse_with("other-statement", false, Micros{0});
    case LedgerLogic::Lookup::kTooOld:
      return refuse_with("too-old", false, Micros{0});
    case LedgerLogic::Lookup::kFull:
      return refuse_with("ledger-full", true, Micros{5'000'000});
    case LedgerLogic::Lookup::kOutcome:
      ++counters_.repeats;
      session.add_open_key(body.key);
      return send_outcome(session, key, outcome);
    case LedgerLogic::Lookup::kInProgress: {
      // The answer goes to the session that asked last, as that is where the device is now.
      ++counters_.repeats;
      session.add_open_key(body.key);
      const auto pending = pending_by_key_.find(key);
      if (pending != pending_by_key_.end()) pending_requests_.at(pending->second).session = session.id;
      return;
    }
    default:
      break;
  }
  if (draining_) return refuse_with("draining", true, Micros{1'000'000});
  RequestId id = 0;
  while (id == 0 || pending_requests_.contains(id)) id = random_();
  session.add_open_key(body.key);
  pending_by_key_[key] = id;
  std::vector<LedgerRecord> records;
  const bool must_record_first = ledger_.add_entry(key, digest(body), at_most_once, id, records);
  pending_requests_[id] = {key, must_record_first ? body : Body{}, session.id, at_most_once};
  for (LedgerRecord& record : records) out.push_back(WriteRecord{std::move(record)});
  if (!must_record_first) out.push_back(SubmitRequest{id, session.tenant, body});
}

void EdgeLogic::handle_interrupt(Session& session, std::uint64_t key_number, Micros now,
                                 std::vector<EdgeAction>& out) {
  const RequestKey key{session.tenant, *session.device, key_number};
  const auto pending = pending_by_key_.find(key);
  if (pending == pending_by_key_.end()) return;  // it was answered before the interrupt arrived
  const RequestId request = pending->second;
  const auto state = ledger_.state_of(key);
  if (state == EntryState::kTaken || state == EntryState::kAnswered)
    return;  // its record or its outcome is being written
  out.push_back(CancelRequest{request});
  // The coordinator reports nothing more of a cancelled request, so whether a load has run is unknown.
  const bool at_most_once = pending_requests_.at(request).at_most_once;
  Outcome outcome;
  outcome.status = at_most_once ? Outcome::Status::kUnknown : Outcome::Status::kFailed;
  outcome.retry_safe = !at_most_once;
  on_outcome(request, outcome, now, out);
}

void EdgeLogic::on_recorded(const LedgerRecord& record, bool durable, Micros now,
                            std::vector<EdgeAction>& out) {
  if (record.watermark || record.erase) return;
  const auto pending = pending_by_key_.find(record.key);
  if (pending == pending_by_key_.end()) return;
  const RequestId id = pending->second;
  if (record.state == EntryState::kDispatched) {
    PendingRequest& request = pending_requests_.at(id);
    if (!durable) {
      // Nothing was or will be dispatched under this key.
      Outcome refused;
      refused.status = Outcome::Status::kRefused;
      refused.retry_safe = true;
      refused.retry_after = Micros{5'000'000};
      ledger_.refuse_unrecorded(record.key, refused);
      const SessionId session_id = request.session;
      pending_requests_.erase(id);
      pending_by_key_.erase(pending);
      const auto session = sessions_.find(session_id);
      if (session != sessions_.end()) {
        refuse(session->second, record.key.number, "not-recorded", true, refused.retry_after);
        send_pending(session->second, now, out);
      }
      return;
    }
    if (ledger_.mark_dispatched(record.key))
      out.push_back(SubmitRequest{id, record.key.tenant, std::exchange(request.body, {})});
  } else if (record.state == EntryState::kAnswered) {
    const SessionId session_id = pending_requests_.at(id).session;
    const Outcome* outcome = ledger_.finalize_outcome(record.key, durable);
    if (outcome != nullptr) complete_request(id, *outcome, out);
    const auto session = sessions_.find(session_id);
    if (session != sessions_.end()) send_pending(session->second, now, out);
  }
}

void EdgeLogic::on_outcome(RequestId request, const Outcome& outcome, Micros now,
                           std::vector<EdgeAction>& out) {
  const auto at = pending_requests_.find(request);
  if (at == pending_requests_.end()) return;  // answered before: a request has one answer
  const RequestKey key = at->second.key;
  const SessionId session_id = at->second.session;
  std::vector<LedgerRecord> records;
  const auto state = ledger_.state_of(key);
  if (state != EntryState::kTaken && state != EntryState::kDispatched) return;
  if (ledger_.set_outcome(key, outcome, records)) {
    for (LedgerRecord& record : records) out.push_back(WriteRecord{std::move(record)});
    return;
  }
  const Outcome* final_outcome = ledger_.finalize_outcome(key, true);
  if (final_outcome != nullptr) complete_request(request, *final_outcome, out);
  const auto session = sessions_.find(session_id);
  if (session != sessions_.end()) send_pending(session->second, now, out);
}

// Ends the request, once, and sends the outcome to the session that asked last, if it still exists.
void EdgeLogic::complete_request(RequestId request, const Outcome& outcome, std::vector<EdgeAction>& out) {
  const auto at = pending_requests_.find(request);
  if (at == pending_requests_.end()) return;
  const PendingRequest request_entry = std::move(at->second);
  pending_requests_.erase(at);
  pending_by_key_.erase(request_entry.key);
  ++counters_.answers;
  if (outcome.status == Outcome::Status::kUnknown) ++counters_.unknown_outcomes;
  const auto session = sessions_.find(request_entry.session);
  if (session == sessions_.end()) {
    (void)out;  // its result stays in the spool until the request's deadline
    return;
  }
  send_outcome(session->second, request_entry.key, outcome);
}

void EdgeLogic::send_outcome(Session& session, const RequestKey& key, const Outcome& outcome) {
  OutgoingMessage message;
  message.body.kind = Body::Kind::kAnswer;
  message.body.key = key.number;
  message.body.outcome = outcome;
  message.size_known = true;
  session.channel.push(std::move(message));
  if (outcome.status == Outcome::Status::kServed && outcome.rows > 0)
    session.deliveries.push_back({outcome.result_id, key.number, 0, outcome.rows});
  if (outcome.status == Outcome::Status::kServed && outcome.rows > 0 &&
      std::find(session.unread_results.begin(), session.unread_results.end(), outcome.result_id) ==
          session.unread_results.end()) {
    session.unread_results.push_back(outcome.result_id);
    ++reader_counts_[outcome.result_id];
  }
}

// ---- To the device ----

void EdgeLogic::release_in_flight(Session& session, OutgoingMessage& message) {
  if (message.charged_bytes == 0) return;
  memory_.release(static_cast<std::size_t>(session.tenant), message.charged_bytes);
  session.in_flight_bytes -= std::min(session.in_flight_bytes, message.charged_bytes);
  message.charged_bytes = 0;
}

void EdgeLogic::send_pending(Session& session, Micros now, std::vector<EdgeAction>& out) {
  while (session.conn != 0 && session.writable && !session.fetching) {
    OutgoingMessage* next = session.channel.peek();
    if (next == nullptr) {
      if (session.deliveries.empty()) return;
      const Delivery& delivery = session.deliveries.front();
      OutgoingMessage rows;
      rows.body.kind = Body::Kind::kRows;
      rows.body.key = delivery.key;
      rows.body.first_row = delivery.next_row;
      rows.request = delivery.request;
      session.channel.push(std::move(rows));
      continue;
    }
    if (next->body.kind != Body::Kind::kRows || !next->body.code.empty()) {
      transmit(session, *next, now, out);
      continue;
    }
    // Rows are fetched just before they are sent, and again for a resend, so that none are buffered here.
    const std::uint32_t bytes = next->size_known ? next->bytes : session.page_sizer.bytes();
    if (session.in_flight_bytes > 0 && session.in_flight_bytes + bytes > settings_.window) return;
    if (!memory_.try_charge(static_cast<std::size_t>(session.tenant), bytes)) {
      // A tenant with nothing in flight may always send one page.
      if (memory_.used(static_cast<std::size_t>(session.tenant)) > 0) {
        if (!std::exchange(session.awaiting_memory, true)) memory_waiters_.push_back(session.id);
        return;
      }
      memory_.force_charge(static_cast<std::size_t>(session.tenant), bytes);
    }
    next->charged_bytes = bytes;
    session.in_flight_bytes += bytes;
    session.fetching = true;
    out.push_back(FetchRows{next->request, session.id, next->body.first_row, bytes});
  }
}

void EdgeLogic::on_rows(const Rows& rows, Micros now, std::vector<EdgeAction>& out) {
  const auto at = sessions_.find(rows.session);
  if (at == sessions_.end()) return;
  Session& session = at->second;
  session.fetching = false;
  OutgoingMessage* next = session.channel.peek();
  // If the connection was lost meanwhile, the cursor has moved back, and the rows are fetched again later.
  if (next == nullptr || next->body.kind != Body::Kind::kRows || next->request != rows.request ||
      next->body.first_row != rows.first_row || next->charged_bytes == 0) {
    return send_pending(session, now, out);
  }
  const bool first_fetch = !next->size_known;
  // Messages behind this one may have been sent already, and begin with the row after those it had first.
  const bool rows_differ = !first_fetch && rows.row_count != next->body.row_count;
  if (!rows.text || rows_differ) {
    // The result has expired, or the disk has lost it. The rows that the device already has are valid.
    release_in_flight(session, *next);
    next->body.code = "rows-gone";
    next->body.last = true;
    next->size_known = true;
    std::erase_if(session.deliveries,
                  [&](const Delivery& delivery) { return delivery.request == rows.request; });
    return send_pending(session, now, out);
  }
  const auto size = static_cast<std::uint32_t>(rows.text->size());
  // Adjusts the charge from the page size to the actual size: a row may be longer than a page.
  if (size < next->charged_bytes) {
    memory_.release(static_cast<std::size_t>(session.tenant), next->charged_bytes - size);
  } else {
    memory_.force_charge(static_cast<std::size_t>(session.tenant), size - next->charged_bytes);
  }
  session.in_flight_bytes = session.in_flight_bytes - next->charged_bytes + size;
  next->charged_bytes = size;
  next->bytes = size;
  next->size_known = true;
  next->body.row_count = rows.row_count;
  next->body.last = rows.last;
  if (first_fetch && !session.deliveries.empty() && session.deliveries.front().request == rows.request) {
    Delivery& delivery = session.deliveries.front();
    delivery.next_row = rows.first_row + rows.row_count;
    if (rows.last) session.deliveries.erase(session.deliveries.begin());
  }
  if (session.conn == 0 || !session.writable) {
    release_in_flight(session, *next);
    return;
  }
  next->body.text = rows.text;
  transmit(session, *next, now, out);
  send_pending(session, now, out);
}

void EdgeLogic::transmit(Session& session, OutgoingMessage& outgoing, Micros now,
                         std::vector<EdgeAction>& actions) {
  Frame message_frame = make_frame(Frame::Type::kMessage);
  message_frame.seq = session.channel.cursor();
  message_frame.next_expected = session.channel.next_expected();
  message_frame.body = outgoing.body;
  outgoing.body.text.reset();
  if (outgoing.sent_at.count() == 0) outgoing.sent_at = now;
  session.channel.advance_cursor();
  actions.push_back(SendFrame{session.conn, std::move(message_frame)});
}

void EdgeLogic::resume_memory_waiters(Micros now, std::vector<EdgeAction>& out) {
  for (std::size_t remaining = memory_waiters_.size(); remaining > 0; --remaining) {
    const SessionId id = memory_waiters_.front();
    memory_waiters_.pop_front();
    const auto at = sessions_.find(id);
    if (at == sessions_.end()) continue;
    at->second.awaiting_memory = false;
    send_pending(at->second, now, out);
    if (at->second.awaiting_memory) return;  // it waits again: the budget is used up
  }
}

// ---- Time ----

Micros EdgeLogic::heartbeat_interval(const Session& session) const {
  return std::clamp(4 * session.rtt.timeout(), settings_.min_heartbeat, settings_.max_heartbeat);
}

void EdgeLogic::rearm_timer(Session& session, Micros now) {
  wheel_.cancel(session.timer);
  Micros due = session.expires_at;
  if (session.conn != 0) {
    due = session.ping_nonce == 0
              ? session.last_heard_at + heartbeat_interval(session)
              : session.failure_detector.suspected_at(settings_.phi_threshold, session.last_heard_at);
    due = std::max(due, now + kTick);
  }
  session.timer = wheel_.schedule(due, session.id);
}

void EdgeLogic::advance(Micros now, std::int64_t now_unix_us, std::vector<EdgeAction>& out) {
  std::vector<LedgerRecord> records;
  ledger_.advance(now, now_unix_us, records);
  for (LedgerRecord& record : records) out.push_back(WriteRecord{std::move(record)});
  std::vector<std::uint64_t> due;
  wheel_.advance(now, [&](std::uint64_t timer_key) { due.push_back(timer_key); });
  for (const std::uint64_t id : due) {
    if ((id & kConnTimerFlag) != 0) {
      const auto conn = conns_.find(id & ~kConnTimerFlag);
      if (conn != conns_.end() && conn->second.session == 0 && !conn->second.hello)
        reject(conn->first, "hello-late", "nothing was said in time", true, out);
      continue;
    }
    const auto at = sessions_.find(id);
    if (at == sessions_.end()) continue;
    Session& session = at->second;
    if (session.conn == 0) {
      if (now >= session.expires_at) {
        expire(session, out);
      } else {
        rearm_timer(session, now);
      }
      continue;
    }
    if (session.ping_nonce != 0 && session.failure_detector.phi(now) >= settings_.phi_threshold) {
      ++counters_.suspected;
      out.push_back(CloseConn{session.conn});
      conns_.erase(session.conn);
      detach(session, now);
      continue;
    }
    if (session.ping_nonce == 0 && now - session.last_heard_at >= heartbeat_interval(session)) {
      session.ping_nonce = random_() | 1;
      session.ping_sent_at = now;
      Frame ping = make_frame(Frame::Type::kPing);
      ping.nonce = session.ping_nonce;
      ping.next_expected = session.channel.next_expected();
      out.push_back(SendFrame{session.conn, std::move(ping)});
    }
    rearm_timer(session, now);
  }
  resume_memory_waiters(now, out);
  admit(now, out);
}

std::optional<Micros> EdgeLogic::next_wakeup(Micros now) const {
  std::optional<Micros> earliest = wheel_.next_wakeup();
  for (const auto& other : {ledger_.next_wakeup(), admission_gate_.next_wakeup(now)}) {
    if (other && (!earliest || *other < *earliest)) earliest = other;
  }
  return earliest;
}

// ---- Shutdown ----

void EdgeLogic::drain(Micros now, std::vector<EdgeAction>& out) {
  if (std::exchange(draining_, true)) return;
  for (auto& [_, session] : sessions_) {
    OutgoingMessage notice;
    notice.body.kind = Body::Kind::kNotice;
    notice.body.code = "draining";
    notice.size_known = true;
    session.channel.push(std::move(notice));
    send_pending(session, now, out);
  }
}

bool EdgeLogic::quiescent() const {
  if (!pending_requests_.empty()) return false;
  for (const auto& [_, session] : sessions_) {
    if (session.conn != 0 && (session.channel.unacknowledged() > 0 || !session.deliveries.empty()))
      return false;
  }
  return true;
}

std::size_t EdgeLogic::connected_count() const {
  return static_cast<std::size_t>(std::count_if(sessions_.begin(), sessions_.end(),
                                                [](const auto& entry) { return entry.second.conn != 0; }));
}

}  // namespace steprail::edge
