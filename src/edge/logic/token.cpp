#include "edge/logic/token.h"

#include <sodium.h>

#include <nlohmann/json.hpp>
#include <vector>

namespace steprail::edge {

using nlohmann::json;

static_assert(sizeof(TokenSigner::Secret) == crypto_auth_KEYBYTES);

std::string TokenSigner::sign(const Token& token) const {
  const auto body = json::to_cbor(
      json::array({1, token.home, token.incarnation, token.session, token.tenant, token.device}));
  std::vector<unsigned char> signed_bytes(crypto_auth_BYTES);
  signed_bytes.insert(signed_bytes.end(), body.begin(), body.end());
  crypto_auth(signed_bytes.data(), body.data(), body.size(), secret_.data());
  std::string text(sodium_base64_encoded_len(signed_bytes.size(), sodium_base64_VARIANT_URLSAFE_NO_PADDING),
                   '\0');
  sodium_bin2base64(text.data(), text.size(), signed_bytes.data(), signed_bytes.size(),
                    sodium_base64_VARIANT_URLSAFE_NO_PADDING);
  text.pop_back();  // the terminating zero
  return text;
}

std::optional<Token> TokenSigner::verify(std::string_view text) const {
  if (text.empty()) return std::nullopt;
  std::vector<unsigned char> signed_bytes(text.size());
  std::size_t size = 0;
  const char* end = nullptr;
  if (sodium_base642bin(signed_bytes.data(), signed_bytes.size(), text.data(), text.size(), nullptr, &size,
                        &end, sodium_base64_VARIANT_URLSAFE_NO_PADDING) != 0 ||
      end != text.data() + text.size() || size <= crypto_auth_BYTES)
    return std::nullopt;
  const unsigned char* body = signed_bytes.data() + crypto_auth_BYTES;
  if (crypto_auth_verify(signed_bytes.data(), body, size - crypto_auth_BYTES, secret_.data()) != 0)
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
