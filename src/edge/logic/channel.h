// Numbered messages to and from one peer, across any number of connections: each arrives once and in order.
//
// Numbers are 32 bits and wrap (RFC 1982's order). What was sent is kept until the peer has acknowledged it;
// a new connection goes on behind the last one that the peer says it has. The device and the edge run the
// same code.
#pragma once

#include <cstddef>
#include <cstdint>
#include <vector>

namespace steprail::edge {

using Seq = std::uint32_t;

// a comes before b.
constexpr bool before(Seq a, Seq b) { return static_cast<std::int32_t>(a - b) < 0; }

enum class Heard { kNew, kAgain, kGap };

// What a number is of a peer's acknowledgement: one that runs ahead of what was sent is forged or confused.
enum class Acked { kNews, kOld, kForged };

template <typename Body>
class Channel {
 public:
  // `first` is the number of the first message either way.
  explicit Channel(Seq first = 1) : next_(first), cursor_(first), base_(first), expected_(first) {}

  // ---- Out ----
  // Kept until it is acknowledged; transmitted once the cursor comes to it.
  Seq push(Body body) {
    sent_.push_back(std::move(body));
    return next_++;
  }
  // The next message to be transmitted on this connection, if there is one.
  Body* peek() { return cursor_ == next_ ? nullptr : &at(cursor_); }
  Seq cursor() const { return cursor_; }
  void transmitted() { ++cursor_; }
  // A new connection: the peer has everything before `have`. False where that cannot be.
  Acked resume(Seq have) {
    const Acked acked = acknowledge(have);
    if (acked != Acked::kForged) cursor_ = base_;
    return acked;
  }
  // Everything before `have` has arrived. What is dropped is given to `each`.
  template <typename F>
  Acked acknowledge(Seq have, F&& each) {
    if (before(next_, have)) return Acked::kForged;
    if (!before(base_, have)) return Acked::kOld;
    while (base_ != have) {
      each(base_, sent_[head_]);
      sent_[head_++] = Body{};
      ++base_;
    }
    // An idle session keeps no memory for what it once had in flight.
    if (head_ == sent_.size()) {
      sent_ = {};
      head_ = 0;
    } else if (head_ > 32 && head_ > sent_.size() / 2) {
      sent_.erase(sent_.begin(), sent_.begin() + static_cast<std::ptrdiff_t>(head_));
      head_ = 0;
    }
    if (before(cursor_, base_)) cursor_ = base_;
    return Acked::kNews;
  }
  Acked acknowledge(Seq have) {
    return acknowledge(have, [](Seq, Body&) {});
  }
  std::size_t unacknowledged() const { return sent_.size() - head_; }
  std::size_t in_flight() const { return cursor_ - base_; }
  Seq base() const { return base_; }
  Seq next() const { return next_; }
  Body& at(Seq number) { return sent_[head_ + (number - base_)]; }
  bool holds(Seq number) const { return !before(number, base_) && before(number, next_); }

  // ---- In ----
  Heard heard(Seq number) {
    if (number == expected_) {
      ++expected_;
      return Heard::kNew;
    }
    return before(number, expected_) ? Heard::kAgain : Heard::kGap;
  }
  // What this side has: everything before.
  Seq have() const { return expected_; }

 private:
  std::vector<Body> sent_;
  std::size_t head_{0};  // of what is unacknowledged
  Seq next_, cursor_, base_;
  Seq expected_;
};

}  // namespace steprail::edge
