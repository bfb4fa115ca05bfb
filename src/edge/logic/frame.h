// The frames that devices and the edge exchange, independent of their encoding on the wire.
#pragma once

#include <cstdint>
#include <memory>
#include <string>

#include "edge/logic/channel.h"
#include "edge/logic/ledger_logic.h"

namespace steprail::edge {

// The content of a numbered message. The comments name the fields that each kind uses.
struct Body {
  enum class Kind : std::uint8_t {
    kRequest,    // from a device: key, first_incarnation, verb, statement, limit_ms, cpu, mem
    kInterrupt,  // from a device: key
    kAnswer,     // from the edge: key, outcome; code if the edge itself refused the request
    kRows,       // from the edge: key, first_row, row_count, text, last; code if no more rows follow
    kNotice      // from the edge: code ("draining")
  } kind{};
  std::uint64_t key{};
  std::uint64_t first_incarnation{};  // the edge's incarnation to which the device first sent the request
  std::string verb, statement;
  std::int64_t limit_ms{};
  double cpu{}, mem{};
  Outcome outcome;
  std::string code;
  std::uint64_t first_row{}, row_count{};
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
  // `seq` is the number of a kMessage. `next_expected` is the sender's cumulative acknowledgement: it has all
  // messages before that number.
  Seq seq{}, next_expected{};
  Body body;                          // kMessage
  std::string tenant, device, token;  // kHello; kWelcome: token
  std::int64_t deadline_ms{};         // kHello: time remaining to the earliest deadline of its requests
  std::uint64_t incarnation{};        // kWelcome
  bool resumed{};                     // kWelcome
  std::int64_t heartbeat_ms{};        // kWelcome: the device hears from the edge at least this often
  std::uint64_t nonce{};              // kPing, kPong
  std::int64_t retry_after_ms{};      // kLater
  std::string home;                   // kMoved: address of the coordinator that holds the session
  std::string code, text;             // kError
  bool retry_safe{};                  // kError: the device may safely retry
};

}  // namespace steprail::edge
