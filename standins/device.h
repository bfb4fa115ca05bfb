// A device for tests: the client side of the edge's session protocol, without I/O, so that it runs over real
// and simulated links.
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
    std::chrono::microseconds asked_at{0}, deadline{0};
    bool answered{false}, done{false};
    int final_answers{0};  // final answers received; more than one is an error of the edge
    int resends{0};
    bool answer_changed{false};  // a retry got a different outcome than the first answer
    edge::Outcome outcome;
    std::string code;
    std::string rows;
    std::uint64_t row_count{0};
    bool rows_invalid{false};  // rows out of order, or after the end
  };

  Device(std::string tenant, std::string name) : tenant_(std::move(tenant)), name_(std::move(name)) {}

  // Adds a request, which is sent as soon as there is a session; returns its key.
  std::uint64_t submit(const std::string& verb, const std::string& statement, std::int64_t limit_ms,
                       std::chrono::microseconds now) {
    const std::uint64_t key = ++last_key_;
    Request& request = requests_[key];
    request.body.kind = edge::Body::Kind::kRequest;
    request.body.key = key;
    request.body.verb = verb;
    request.body.statement = statement;
    request.body.limit_ms = limit_ms;
    request.asked_at = now;
    request.deadline = now + std::chrono::milliseconds(limit_ms);
    ++open_count_;
    if (in_session_) channel_.push(request.body);
    return key;
  }
  // Sends an open request again, as a device that has lost the record of having sent it.
  void resend(std::uint64_t key) {
    Request& request = requests_.at(key);
    if (!in_session_ || request.done) return;
    ++request.resends;
    channel_.push(request.body);
  }
  void interrupt(std::uint64_t key) {
    edge::Body body;
    body.kind = edge::Body::Kind::kInterrupt;
    body.key = key;
    if (in_session_) channel_.push(body);
  }

  // The first frame on a new connection.
  edge::Frame hello(std::chrono::microseconds now) {
    welcomed_ = false;
    edge::Frame frame;
    frame.type = edge::Frame::Type::kHello;
    frame.tenant = tenant_;
    frame.device = name_;
    if (!sessionless) frame.token = token_;
    frame.next_expected = channel_.next_expected();
    std::int64_t earliest_ms = 60'000;
    for (const auto& [_, request] : requests_) {
      if (!request.done)
        earliest_ms = std::min<std::int64_t>(earliest_ms, (request.deadline - now).count() / 1000);
    }
    frame.deadline_ms = std::max<std::int64_t>(0, earliest_ms);
    return frame;
  }

  enum class NextStep { kContinue, kClose, kRetryLater, kReconnectElsewhere };
  // Handles a received frame and appends the frames to send to `out`.
  NextStep on_frame(const edge::Frame& frame, std::vector<edge::Frame>& out) {
    using Type = edge::Frame::Type;
    switch (frame.type) {
      case Type::kWelcome:
        on_welcome(frame);
        break;
      case Type::kMessage: {
        channel_.acknowledge(frame.next_expected);
        const auto receipt = channel_.receive(frame.seq);
        if (receipt == edge::Receipt::kGap && !long_polling) return NextStep::kClose;
        if (receipt == edge::Receipt::kNew) on_message(frame.body);
        edge::Frame ack;
        ack.type = Type::kAck;
        ack.next_expected = channel_.next_expected();
        out.push_back(ack);
        break;
      }
      case Type::kAck:
        channel_.acknowledge(frame.next_expected);
        break;
      case Type::kPing: {
        edge::Frame pong;
        pong.type = Type::kPong;
        pong.nonce = frame.nonce;
        pong.next_expected = channel_.next_expected();
        out.push_back(pong);
        break;
      }
      case Type::kLater:
        retry_after_ms = frame.retry_after_ms;
        return NextStep::kRetryLater;
      case Type::kMoved:
        home = frame.home;
        return NextStep::kReconnectElsewhere;
      case Type::kError:
        last_error = frame.code;
        if (frame.code == "token") token_.clear();
        return NextStep::kClose;
      default:
        break;
    }
    transmit(out);
    return NextStep::kContinue;
  }
  // Appends the frames of all messages that wait to be sent.
  void transmit(std::vector<edge::Frame>& out) {
    if (!welcomed_) return;
    while (edge::Body* body = channel_.peek()) {
      edge::Frame frame;
      frame.type = edge::Frame::Type::kMessage;
      frame.seq = channel_.cursor();
      frame.next_expected = channel_.next_expected();
      if (body->kind == edge::Body::Kind::kRequest) {
        // A request keeps the incarnation to which it was first sent.
        auto& first_incarnation = requests_.at(body->key).body.first_incarnation;
        if (first_incarnation == 0) first_incarnation = incarnation_;
        body->first_incarnation = first_incarnation;
      }
      frame.body = *body;
      channel_.advance_cursor();
      out.push_back(std::move(frame));
    }
  }
  // Sends all unacknowledged messages again, as needed over long polls, whose responses may be lost.
  void rewind() { channel_.resume(channel_.base()); }

  bool idle() const { return open_count_ == 0; }
  std::size_t open_count() const { return open_count_; }
  const std::map<std::uint64_t, Request>& requests() const { return requests_; }
  const std::string& token() const { return token_; }
  void set_token(std::string token) { token_ = std::move(token); }
  void forget_token() { token_.clear(); }
  // Pretends that the request was first sent to that incarnation.
  void set_first_incarnation(std::uint64_t key, std::uint64_t incarnation) {
    requests_.at(key).body.first_incarnation = incarnation;
  }
  const std::string& name() const { return name_; }
  edge::Seq next_expected() const { return channel_.next_expected(); }
  bool welcomed() const { return welcomed_; }
  std::string last_error, home;
  std::int64_t retry_after_ms{0}, heartbeat_ms{0};
  bool draining{false}, long_polling{false};
  bool sessionless{
      false};  // never resumes: each connection starts a new session, and all rows are sent again
  std::uint64_t session_count{0}, resume_count{0};

 private:
  void on_welcome(const edge::Frame& frame) {
    token_ = frame.token;
    incarnation_ = frame.incarnation;
    welcomed_ = true;
    heartbeat_ms = frame.heartbeat_ms;
    if (frame.resumed) {
      ++resume_count;
      channel_.resume(frame.next_expected);
      return;
    }
    // A new session: requests without a final answer are sent again under their keys.
    ++session_count;
    channel_ = edge::Channel<edge::Body>(frame.next_expected);
    in_session_ = true;
    for (auto& [key, request] : requests_) {
      if (request.done) continue;
      request.answered = false;
      request.rows.clear();
      request.row_count = 0;
      channel_.push(request.body);
    }
  }

  void on_message(const edge::Body& body) {
    if (body.kind == edge::Body::Kind::kNotice) {
      draining |= body.code == "draining";
      return;
    }
    const auto at = requests_.find(body.key);
    if (at == requests_.end()) return;
    Request& request = at->second;
    if (request.done && request.resends > 0) {
      // The request was sent again before its answer arrived, so the answer comes twice and must not differ.
      if (body.kind == edge::Body::Kind::kAnswer)
        request.answer_changed |= body.outcome.status != request.outcome.status;
      return;
    }
    if (body.kind == edge::Body::Kind::kAnswer) {
      if (request.done || request.answered) ++request.final_answers;
      request.answered = true;
      request.outcome = body.outcome;
      request.code = body.code;
      if (body.outcome.status != edge::Outcome::Status::kServed || body.outcome.rows == 0) finish(request);
      return;
    }
    if (!body.code.empty()) {
      request.code = body.code;
      return finish(request);
    }
    if (request.done || body.first_row != request.row_count || !body.text) {
      request.rows_invalid = true;
      return;
    }
    request.rows += *body.text;
    request.row_count += body.row_count;
    if (body.last) finish(request);
  }
  void finish(Request& request) {
    open_count_ -= !request.done;
    request.done = true;
    ++request.final_answers;
  }

  std::string tenant_, name_, token_;
  edge::Channel<edge::Body> channel_;
  std::map<std::uint64_t, Request> requests_;
  std::uint64_t last_key_{0}, incarnation_{0};
  std::size_t open_count_{0};  // requests that are not done; there may be thousands in requests_
  bool in_session_{false}, welcomed_{false};
};

}  // namespace steprail::standin
