// Reliable, ordered, exactly-once delivery of numbered messages to and from one peer, across any number of
// connections.
//
// Sequence numbers are 32 bits and wrap (serial number arithmetic, RFC 1982). A message is kept until the
// peer has acknowledged it; a new connection resumes after the last message that the peer reports to have.
// The device and the edge run the same code.
#pragma once

#include <cstddef>
#include <cstdint>
#include <vector>

namespace steprail::edge {

using Seq = std::uint32_t;

// Whether a precedes b in serial number arithmetic.
constexpr bool seq_before(Seq a, Seq b) { return static_cast<std::int32_t>(a - b) < 0; }

enum class Receipt { kNew, kDuplicate, kGap };

// How a peer's cumulative acknowledgement relates to what was sent. One beyond the last message sent is
// invalid: the peer forged it or is confused.
enum class AckResult { kAdvanced, kStale, kInvalid };

template <typename Body>
class Channel {
 public:
  // `first` is the number of the first message in each direction.
  explicit Channel(Seq first = 1) : next_(first), cursor_(first), base_(first), next_expected_(first) {}

  // ---- Sending ----
  // Queues a message, which is kept until it is acknowledged, and returns its number.
  Seq push(Body body) {
    sent_.push_back(std::move(body));
    return next_++;
  }
  // The next message to transmit on this connection, or null.
  Body* peek() { return cursor_ == next_ ? nullptr : &at(cursor_); }
  Seq cursor() const { return cursor_; }
  void advance_cursor() { ++cursor_; }
  // Starts on a new connection: acknowledges everything before `next_expected` and rewinds the cursor to the
  // oldest unacknowledged message. An invalid acknowledgement changes nothing.
  AckResult resume(Seq next_expected) {
    const AckResult result = acknowledge(next_expected);
    if (result != AckResult::kInvalid) cursor_ = base_;
    return result;
  }
  // Everything before `next_expected` has arrived. Calls `on_dropped` for every message before it is dropped.
  template <typename F>
  AckResult acknowledge(Seq next_expected, F&& on_dropped) {
    if (seq_before(next_, next_expected)) return AckResult::kInvalid;
    if (!seq_before(base_, next_expected)) return AckResult::kStale;
    while (base_ != next_expected) {
      on_dropped(base_, sent_[head_]);
      sent_[head_++] = Body{};
      ++base_;
    }
    // Frees the buffer once it is empty: an idle session holds no memory for earlier messages.
    if (head_ == sent_.size()) {
      sent_ = {};
      head_ = 0;
    } else if (head_ > 32 && head_ > sent_.size() / 2) {
      sent_.erase(sent_.begin(), sent_.begin() + static_cast<std::ptrdiff_t>(head_));
      head_ = 0;
    }
    if (seq_before(cursor_, base_)) cursor_ = base_;
    return AckResult::kAdvanced;
  }
  AckResult acknowledge(Seq next_expected) {
    return acknowledge(next_expected, [](Seq, Body&) {});
  }
  std::size_t unacknowledged() const { return sent_.size() - head_; }
  std::size_t in_flight() const { return cursor_ - base_; }
  Seq base() const { return base_; }
  Seq next() const { return next_; }
  Body& at(Seq number) { return sent_[head_ + (number - base_)]; }
  bool holds(Seq number) const { return !seq_before(number, base_) && seq_before(number, next_); }

  // ---- Receiving ----
  Receipt receive(Seq number) {
    if (number == next_expected_) {
      ++next_expected_;
      return Receipt::kNew;
    }
    return seq_before(number, next_expected_) ? Receipt::kDuplicate : Receipt::kGap;
  }
  // The cumulative acknowledgement: this side has everything before.
  Seq next_expected() const { return next_expected_; }

 private:
  std::vector<Body> sent_;
  std::size_t head_{0};  // index of the oldest unacknowledged message
  Seq next_, cursor_, base_;
  Seq next_expected_;
};

}  // namespace steprail::edge
