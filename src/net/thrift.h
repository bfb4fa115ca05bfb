// Thrift's strict binary protocol, as far as the front speaks it, over buffers of whole frames.
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
enum class Fault : std::int32_t { kUnknownMethod = 1, kProtocolError = 7 };

constexpr std::size_t kFrameHead = 4;

// The length that a frame's head announces; -1 if it is no length.
std::int64_t frame_length(std::string_view head);

// Reads in place: what it gives out points into the frame. After a fault, good() stays false.
class Reader {
 public:
  explicit Reader(std::string_view bytes) : left_(bytes) {}
  bool good() const { return good_; }
  bool done() const { return left_.empty(); }
  std::uint8_t u8();
  std::int16_t i16();
  std::int32_t i32();
  std::string_view bytes();
  void skip(Type type, int depth = 0);

 private:
  std::string_view take(std::size_t count);
  std::uint64_t number(std::size_t bytes);
  std::string_view left_;
  bool good_{true};
};

struct Message {
  Kind kind{};
  std::string_view method;
  std::int32_t call{};
};
// Also false where the version is another one.
bool read_head(Reader& reader, Message& message);

using Fields = std::vector<std::pair<std::string_view, std::string_view>>;
using Texts = std::vector<std::pair<std::string, std::string>>;
bool read_execute(Reader& reader, Fields& fields, std::string_view& body);
bool read_interrupt(Reader& reader, std::int32_t& call);

// A served answer's frame is this head, the body's bytes, and this tail; the head counts the tail in, with
// its fields.
std::string served_head(std::int32_t call, std::string_view method, std::size_t body_bytes,
                        const Texts& fields = {});
std::string served_tail(bool good, const Texts& fields = {});
// Overloaded (field 1) or Internal (field 2), as a whole frame.
std::string thrown(std::int32_t call, std::string_view method, std::int16_t field, const Texts& fields);
std::string application_exception(std::int32_t call, std::string_view method, Fault fault,
                                  std::string_view text);

}  // namespace thrift
