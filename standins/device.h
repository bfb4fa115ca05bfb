// A stand-in for a device: the other end of the edge's session protocol, without I/O, so that it runs over
// real links and over simulated ones alike.
#pragma once

#include <functional>
#include <map>
#include <optional>
#include <string>
#include <vector>

#include "edge/logic/frame.h"

namespace steprail::standin {

class Device {
 public:
  struct Request {
    edge::Body body;
    std::chrono::microseconds asked{0}, deadline{0};
    bool answered{false}, done{false};
    int finals{0};  // final answers heard; more than one is a fault of the edge
    int asked_again{0};
    bool changed{false};  // what was asked again was answered otherwise than the first time
    edge::Outcome outcome;
    std::string code;
    std::string rows;
    std::uint64_t have_rows{0};
    bool wrong{false};  // rows out of order, or of another request
  };

  Device(std::string tenant, std::string name) : tenant_(std::move(tenant)), name_(std::move(name)) {}

  // Asks for something, now or as soon as there is a session; returns the key.
  std::uint64_t ask(const std::string& verb, const std::string& statement, std::int64_t limit_ms,
                    std::chrono::microseconds now) {
    const std::uint64_t key = ++last_key_;
    Request& request = requests_[key];
    request.body.kind = edge::Body::Kind::kRequest;
    request.body.key = key;
    request.body.verb = verb;
    request.body.statement = statement;
    request.body.limit_ms = limit_ms;
    request.asked = now;
    request.deadline = now + std::chrono::milliseconds(limit_ms);
    ++open_;
    if (in_session_) channel_.push(request.body);
    return key;
  }
  // Sends a request once more, as a device does that has lost its memory of having sent it.
  void ask_again(std::uint64_t key) {
    Request& request = requests_.at(key);
    if (!in_session_ || request.done) return;
    ++request.asked_again;
    channel_.push(request.body);
  }
  void interrupt(std::uint64_t key) {
    edge::Body body;
    body.kind = edge::Body::Kind::kInterrupt;
    body.key = key;
    if (in_session_) channel_.push(body);
  }

  // A new connection is up: what to say first.
  edge::Frame hello(std::chrono::microseconds now) {
    welcomed_ = false;
    edge::Frame frame;
    frame.type = edge::Frame::Type::kHello;
    frame.tenant = tenant_;
    frame.device = name_;
    if (!plain) frame.token = token_;
    frame.have = channel_.have();
    std::int64_t nearest = 60'000;
    for (const auto& [_, request] : requests_) {
      if (!request.done) nearest = std::min<std::int64_t>(nearest, (request.deadline - now).count() / 1000);
    }
    frame.deadline_ms = std::max<std::int64_t>(0, nearest);
    return frame;
  }

  enum class Then { kGoOn, kClose, kComeLater, kElsewhere };
  // A frame has come; what is to be said goes to `out`.
  Then heard(const edge::Frame& frame, std::vector<edge::Frame>& out) {
    using Type = edge::Frame::Type;
    switch (frame.type) {
      case Type::kWelcome:
        welcome(frame);
        break;
      case Type::kMessage: {
        channel_.acknowledge(frame.have);
        const auto heard = channel_.heard(frame.seq);
        if (heard == edge::Heard::kGap && !polling) return Then::kClose;
        if (heard == edge::Heard::kNew) message(frame.body);
        edge::Frame ack;
        ack.type = Type::kAck;
        ack.have = channel_.have();
        out.push_back(ack);
        break;
      }
      case Type::kAck:
        channel_.acknowledge(frame.have);
        break;
      case Type::kPing: {
        edge::Frame pong;
        pong.type = Type::kPong;
        pong.nonce = frame.nonce;
        pong.have = channel_.have();
        out.push_back(pong);
        break;
      }
      case Type::kLater:
        later_ms = frame.later_ms;
        return Then::kComeLater;
      case Type::kMoved:
        home = frame.home;
        return Then::kElsewhere;
      case Type::kError:
        last_error = frame.code;
        if (frame.code == "token") token_.clear();
        return Then::kClose;
      default:
        break;
    }
    transmit(out);
    return Then::kGoOn;
  }
  // What waits to be sent.
  void transmit(std::vector<edge::Frame>& out) {
    if (!welcomed_) return;
    while (edge::Body* body = channel_.peek()) {
      edge::Frame frame;
      frame.type = edge::Frame::Type::kMessage;
      frame.seq = channel_.cursor();
      frame.have = channel_.have();
      if (body->kind == edge::Body::Kind::kRequest) {
        // The incarnation under which it is sent for the first time stays with it.
        auto& first = requests_.at(body->key).body.first;
        if (first == 0) first = incarnation_;
        body->first = first;
      }
      frame.body = *body;
      channel_.transmitted();
      out.push_back(std::move(frame));
    }
  }
  // What was sent and not acknowledged is sent again, as over polls, where answers get lost.
  void rewind() { channel_.resume(channel_.base()); }

  bool idle() const { return open_ == 0; }
  std::size_t open() const { return open_; }
  const std::map<std::uint64_t, Request>& requests() const { return requests_; }
  const std::string& token() const { return token_; }
  void set_token(std::string token) { token_ = std::move(token); }
  void forget_token() { token_.clear(); }
  // As if it had been sent under that incarnation before.
  void set_first(std::uint64_t key, std::uint64_t first) { requests_.at(key).body.first = first; }
  const std::string& name() const { return name_; }
  edge::Seq have() const { return channel_.have(); }
  bool welcomed() const { return welcomed_; }
  std::string last_error, home;
  std::int64_t later_ms{0}, heartbeat_ms{0};
  bool draining{false}, polling{false};
  bool plain{false};  // without sessions: every connection begins anew, and so do its requests' rows
  std::uint64_t sessions{0}, resumes{0};

 private:
  void welcome(const edge::Frame& frame) {
    token_ = frame.token;
    incarnation_ = frame.incarnation;
    welcomed_ = true;
    heartbeat_ms = frame.heartbeat_ms;
    if (frame.resumed) {
      ++resumes;
      channel_.resume(frame.have);
      return;
    }
    // A session of its own: what has no final answer is asked again, under its old key.
    ++sessions;
    channel_ = edge::Channel<edge::Body>(frame.have);
    in_session_ = true;
    for (auto& [key, request] : requests_) {
      if (request.done) continue;
      request.answered = false;
      request.rows.clear();
      request.have_rows = 0;
      channel_.push(request.body);
    }
  }

  void message(const edge::Body& body) {
    if (body.kind == edge::Body::Kind::kNotice) {
      draining |= body.code == "draining";
      return;
    }
    const auto at = requests_.find(body.key);
    if (at == requests_.end()) return;
    Request& request = at->second;
    if (request.done && request.asked_again > 0) {
      // It was asked again before this side had the answer, and that has crossed it: the same is told once
      // more.
      if (body.kind == edge::Body::Kind::kAnswer) request.changed |= body.outcome.how != request.outcome.how;
      return;
    }
    if (body.kind == edge::Body::Kind::kAnswer) {
      if (request.done || request.answered) ++request.finals;
      request.answered = true;
      request.outcome = body.outcome;
      request.code = body.code;
      if (body.outcome.how != edge::Outcome::How::kServed || body.outcome.rows == 0) finish(request);
      return;
    }
    if (!body.code.empty()) {
      request.code = body.code;
      return finish(request);
    }
    if (request.done || body.row != request.have_rows || !body.text) {
      request.wrong = true;
      return;
    }
    request.rows += *body.text;
    request.have_rows += body.count;
    if (body.last) finish(request);
  }
  void finish(Request& request) {
    open_ -= !request.done;
    request.done = true;
    ++request.finals;
  }

  std::string tenant_, name_, token_;
  edge::Channel<edge::Body> channel_;
  std::map<std::uint64_t, Request> requests_;
  std::uint64_t last_key_{0}, incarnation_{0};
  std::size_t open_{0};  // requests without their end: some of thousands
  bool in_session_{false}, welcomed_{false};
};

}  // namespace steprail::standin
