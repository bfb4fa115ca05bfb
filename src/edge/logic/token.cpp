#include "edge/logic/token.h"

#include <sodium.h>

#include <nlohmann/json.hpp>
#include <vector>

namespace steprail::edge {

using nlohmann::json;

static_assert(sizeof(Sealer::Secret) == crypto_auth_KEYBYTES);

std::string Sealer::seal(const Token& token) const {
  const auto body = json::to_cbor(
      json::array({1, token.home, token.incarnation, token.session, token.tenant, token.device}));
  std::vector<unsigned char> whole(crypto_auth_BYTES);
  whole.insert(whole.end(), body.begin(), body.end());
  crypto_auth(whole.data(), body.data(), body.size(), secret_.data());
  std::string text(sodium_base64_encoded_len(whole.size(), sodium_base64_VARIANT_URLSAFE_NO_PADDING), '\0');
  sodium_bin2base64(text.data(), text.size(), whole.data(), whole.size(),
                    sodium_base64_VARIANT_URLSAFE_NO_PADDING);
  text.pop_back();  // its closing zero
  return text;
}

std::optional<Token> Sealer::open(std::string_view text) const {
  if (text.empty()) return std::nullopt;
  std::vector<unsigned char> whole(text.size());
  std::size_t size = 0;
  const char* end = nullptr;
  if (sodium_base642bin(whole.data(), whole.size(), text.data(), text.size(), nullptr, &size, &end,
                        sodium_base64_VARIANT_URLSAFE_NO_PADDING) != 0 ||
      end != text.data() + text.size() || size <= crypto_auth_BYTES)
    return std::nullopt;
  const unsigned char* body = whole.data() + crypto_auth_BYTES;
  if (crypto_auth_verify(whole.data(), body, size - crypto_auth_BYTES, secret_.data()) != 0)
    return std::nullopt;
  try {
    const json value = json::from_cbor(body, body + (size - crypto_auth_BYTES));
    if (value.at(0) != 1) return std::nullopt;
    return Token{value.at(1), value.at(2), value.at(3), value.at(4), value.at(5)};
  } catch (const json::exception&) {
    return std::nullopt;
  }
}

}  // namespace steprail::edge
