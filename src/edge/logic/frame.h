// What devices and the edge say to each other, apart from how it is written on the wire.
#pragma once

#include <cstdint>
#include <memory>
#include <string>

#include "edge/logic/channel.h"
#include "edge/logic/ledger_logic.h"

namespace steprail::edge {

// The content of a numbered message.
struct Body {
  enum class Kind : std::uint8_t {
    kRequest,    // device: key, first, verb, statement, limit, cpu, mem
    kInterrupt,  // device: key
    kAnswer,     // edge: key, outcome; code where it was turned away by the edge itself
    kRows,       // edge: key, row, count, text, last; code where no more come
    kNotice      // edge: code ("draining")
  } kind{};
  std::uint64_t key{};
  std::uint64_t first{};  // the incarnation under which the device first sent the request
  std::string verb, statement;
  std::int64_t limit_ms{};
  double cpu{}, mem{};
  Outcome outcome;
  std::string code;
  std::uint64_t row{}, count{};
  bool last{};
  std::shared_ptr<const std::string> text;
};

struct Frame {
  enum class Type : std::uint8_t {
    kHello,
    kWelcome,
    kMessage,
    kAck,
    kPing,
    kPong,
    kLater,
    kMoved,
    kError,
    kBye
  } type{};
  Seq seq{}, have{};                  // kMessage: its number; what the sender has: everything before
  Body body;                          // kMessage
  std::string tenant, device, token;  // kHello; kWelcome: token
  std::int64_t deadline_ms{};         // kHello: how long its most urgent request has left
  std::uint64_t incarnation{};        // kWelcome
  bool resumed{};                     // kWelcome
  std::int64_t heartbeat_ms{};        // kWelcome: what the device may expect to hear by
  std::uint64_t nonce{};              // kPing, kPong
  std::int64_t later_ms{};            // kLater
  std::string home;                   // kMoved: where its session lives
  std::string code, text;             // kError
  bool again{};                       // kError: sending it again is harmless
};

}  // namespace steprail::edge
