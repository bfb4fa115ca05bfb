// The session token: what a device presents to resume its session, authenticated with a secret key so that it
// cannot be forged or changed.
#pragma once

#include <array>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

namespace steprail::edge {

struct Token {
  std::string home;             // name of the coordinator that holds the session
  std::uint64_t incarnation{};  // of that coordinator's process
  std::uint64_t session{};
  int tenant{};
  std::string device;
  bool operator==(const Token&) const = default;
};

class TokenSigner {
 public:
  using Secret = std::array<unsigned char, 32>;
  explicit TokenSigner(const Secret& secret) : secret_(secret) {}
  std::string sign(const Token& token) const;
  // Empty if the text is not a valid token: truncated, changed, or signed with another secret.
  std::optional<Token> verify(std::string_view text) const;

 private:
  Secret secret_;
};

}  // namespace steprail::edge
