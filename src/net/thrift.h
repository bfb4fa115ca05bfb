// Thrift's strict binary protocol over buffers that hold whole frames, as far as the fronts need it.
#pragma once

#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

namespace thrift {

enum class Type : std::uint8_t {
  kStop = 0,
  kBool = 2,
  kByte = 3,
  kDouble = 4,
  kI16 = 6,
  kI32 = 8,
  kI64 = 10,
  kString = 11,
  kStruct = 12,
  kMap = 13,
  kSet = 14,
  kList = 15
};
enum class Kind : std::uint8_t { kCall = 1, kReply = 2, kException = 3, kOneway = 4 };
enum class ApplicationError : std::int32_t { kUnknownMethod = 1, kProtocolError = 7 };

constexpr std::size_t kFrameHeaderBytes = 4;

// The length in a frame's header; -1 if it is not positive or the header is incomplete.
std::int64_t frame_length(std::string_view head);

// Reads in place: the views it returns point into the frame. After an error, good() stays false.
class Reader {
 public:
  explicit Reader(std::string_view bytes) : remaining_(bytes) {}
  bool good() const { return good_; }
  bool at_end() const { return remaining_.empty(); }
  std::uint8_t u8();
  std::int16_t i16();
  std::int32_t i32();
  std::string_view bytes();
  void skip(Type type, int depth = 0);

 private:
  std::string_view take(std::size_t count);
  std::uint64_t number(std::size_t bytes);
  std::string_view remaining_;
  bool good_{true};
};

struct Message {
  Kind kind{};
  std::string_view method;
  std::int32_t call{};  // sequence id
};
// Also returns false if the protocol version is not supported.
bool read_message_head(Reader& reader, Message& message);

using Fields = std::vector<std::pair<std::string_view, std::string_view>>;
using OwnedFields = std::vector<std::pair<std::string, std::string>>;
// A call has far fewer fields than this. To read very many would hold up all other clients.
constexpr std::int32_t kMaxFields = 256;
// kTooManyFields: the call can be answered, but its arguments have not been read.
enum class CallArgs { kRead, kTooManyFields, kMalformed };
CallArgs read_call_args(Reader& reader, Fields& fields, std::string_view& body);
bool read_interrupt_args(Reader& reader, std::int32_t& call);

// The frame of a successful reply is this head, the body's bytes, and the tail. The length in the head
// includes the tail with the same fields.
std::string reply_head(std::int32_t call, std::string_view method, std::size_t body_bytes,
                       const OwnedFields& fields = {});
std::string reply_tail(bool good, const OwnedFields& fields = {});
// A whole frame with an exception that the service declares: Overloaded (field 1) or Internal (field 2).
std::string declared_exception(std::int32_t call, std::string_view method, std::int16_t field,
                               const OwnedFields& fields);
std::string application_exception(std::int32_t call, std::string_view method, ApplicationError fault,
                                  std::string_view text);

}  // namespace thrift
