// A connection's buffers: received bytes, which are parsed in place, and bytes that wait to be written.
#pragma once

#include <boost/asio/buffer.hpp>
#include <cstdint>
#include <deque>
#include <memory>
#include <string>
#include <string_view>
#include <variant>
#include <vector>

namespace steprail {

class InputBuffer {
 public:
  std::string_view view() const { return {bytes_.data() + begin_, end_ - begin_}; }
  void consume(std::size_t count) {
    begin_ += count;
    if (begin_ == end_) begin_ = end_ = 0;
  }
  // Returns space for the next read. Bytes already parsed are dropped first; the rest moves only if space
  // runs out.
  boost::asio::mutable_buffer prepare() {
    if (bytes_.size() - end_ < kMinReadBytes) drop_parsed();
    if (bytes_.size() - end_ < kMinReadBytes) bytes_.resize(std::max(2 * kMinReadBytes, 2 * bytes_.size()));
    return boost::asio::buffer(bytes_.data() + end_, bytes_.size() - end_);
  }
  // Returns space for the rest of a message of which a part has been received and whose length is known.
  // The buffer grows at most to that length.
  boost::asio::mutable_buffer prepare(std::size_t message_bytes) {
    if (end_ - begin_ >= message_bytes) return prepare();
    reserve(message_bytes);
    return boost::asio::buffer(bytes_.data() + end_, bytes_.size() - end_);
  }
  // Makes room for a message of that length, counted from the first byte not parsed yet.
  void reserve(std::size_t message_bytes) {
    if (bytes_.size() - begin_ < message_bytes) drop_parsed();
    if (bytes_.size() < message_bytes) bytes_.resize(std::max(2 * kMinReadBytes, message_bytes));
  }
  void commit(std::size_t count) { end_ += count; }
  std::size_t capacity() const { return bytes_.size(); }
  // Frees the memory that a long message needed once little is left to parse.
  void shrink(std::size_t max_retained_bytes = 16 << 10) {
    constexpr std::size_t kLittleBytes = 2 * kMinReadBytes;
    if (bytes_.size() <= max_retained_bytes || end_ - begin_ > kLittleBytes) return;
    std::vector<char> rest(bytes_.begin() + static_cast<std::ptrdiff_t>(begin_),
                           bytes_.begin() + static_cast<std::ptrdiff_t>(end_));
    bytes_ = std::move(rest);
    begin_ = 0;
    end_ = bytes_.size();
  }

 private:
  static constexpr std::size_t kMinReadBytes = 2048;

  void drop_parsed() {
    std::copy(bytes_.begin() + static_cast<std::ptrdiff_t>(begin_),
              bytes_.begin() + static_cast<std::ptrdiff_t>(end_), bytes_.begin());
    end_ -= begin_;
    begin_ = 0;
  }

  std::vector<char> bytes_;
  std::size_t begin_{0}, end_{0};
};

class OutputQueue {
 public:
  // A tag other than 0 names the pieces of a message that withdraw() can remove as long as none of it has
  // been sent. A message's pieces are pushed one after the other.
  void push(std::string piece, std::uint64_t tag = 0) {
    if (piece.empty()) return;
    size_ += piece.size();
    if (tag == 0 && append_to_last(piece)) return;
    pieces_.push_back({std::move(piece), tag});
  }
  // Bytes with other owners as well; they are written without a copy.
  void push(std::shared_ptr<const std::string> shared, std::size_t from, std::size_t to,
            std::uint64_t tag = 0) {
    if (from >= to) return;
    size_ += to - from;
    shared_size_ += to - from;
    pieces_.push_back({Shared{std::move(shared), from, to}, tag});
  }
  bool empty() const { return pieces_.empty(); }
  std::size_t size() const { return size_; }
  std::size_t unshared_size() const { return size_ - shared_size_; }

  // The buffers for one gathered write.
  const std::vector<boost::asio::const_buffer>& gather() {
    constexpr std::size_t kMaxBuffersPerWrite = 64;
    gathered_.clear();
    for (std::size_t i = 0; i < pieces_.size() && i < kMaxBuffersPerWrite; ++i) {
      const std::string_view bytes = pieces_[i].view();
      gathered_.push_back(boost::asio::buffer(bytes.data(), bytes.size()));
    }
    if (!gathered_.empty()) gathered_.front() += front_sent_;
    return gathered_;
  }

  void mark_sent(std::size_t count) {
    size_ -= count;
    count += front_sent_;
    while (!pieces_.empty() && count >= pieces_.front().view().size()) {
      const Piece& front = pieces_.front();
      count -= front.view().size();
      started_tag_ = front.tag;
      if (front.shared()) shared_size_ -= front.view().size();
      pieces_.pop_front();
    }
    front_sent_ = count;
    if (front_sent_ > 0) started_tag_ = pieces_.front().tag;
  }

  // True if at least part of the piece is still queued: the peer cannot have received it completely.
  bool contains(std::uint64_t tag) const {
    for (const Piece& piece : pieces_) {
      if (piece.tag == tag) return true;
    }
    return false;
  }

  // Removes a message of which no byte has been sent yet.
  bool withdraw(std::uint64_t tag) {
    if (tag == started_tag_) return false;
    const std::size_t removed = std::erase_if(pieces_, [&](const Piece& piece) {
      if (piece.tag != tag) return false;
      size_ -= piece.view().size();
      if (piece.shared()) shared_size_ -= piece.view().size();
      return true;
    });
    return removed > 0;
  }

 private:
  struct Shared {
    std::shared_ptr<const std::string> text;
    std::size_t from{0}, to{0};
  };
  struct Piece {
    std::variant<std::string, Shared> bytes;
    std::uint64_t tag{};
    bool shared() const { return bytes.index() == 1; }
    std::string_view view() const {
      if (const auto* own = std::get_if<std::string>(&bytes)) return *own;
      const Shared& part = std::get<Shared>(bytes);
      return std::string_view(*part.text).substr(part.from, part.to - part.from);
    }
  };
  // Many short answers that are not read would otherwise take several times their length.
  bool append_to_last(const std::string& piece) {
    constexpr std::size_t kMaxJoinedBytes = 4096;
    if (pieces_.empty() || pieces_.back().shared() || pieces_.back().tag != 0) return false;
    std::string& last = std::get<std::string>(pieces_.back().bytes);
    if (last.size() + piece.size() > kMaxJoinedBytes) return false;
    last += piece;
    return true;
  }

  std::deque<Piece> pieces_;
  std::vector<boost::asio::const_buffer> gathered_;
  std::size_t front_sent_{0};     // bytes of the first piece that have been sent
  std::uint64_t started_tag_{0};  // of the message of which a byte was sent last
  std::size_t size_{0}, shared_size_{0};
};

}  // namespace steprail
