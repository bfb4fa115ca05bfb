// The session token: what a device shows to go on with its session, sealed so that nobody can make or change
// one.
#pragma once

#include <array>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

namespace steprail::edge {

struct Token {
  std::string home;             // the coordinator where the session lives
  std::uint64_t incarnation{};  // of that process
  std::uint64_t session{};
  int tenant{};
  std::string device;
  bool operator==(const Token&) const = default;
};

class Sealer {
 public:
  using Secret = std::array<unsigned char, 32>;
  explicit Sealer(const Secret& secret) : secret_(secret) {}
  std::string seal(const Token& token) const;
  // Empty where the text is no token of ours: cut, changed, or sealed with another secret.
  std::optional<Token> open(std::string_view text) const;

 private:
  Secret secret_;
};

}  // namespace steprail::edge
