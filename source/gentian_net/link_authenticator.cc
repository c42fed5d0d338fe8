#include "gentian_net/link_authenticator.h"

#include <openssl/crypto.h>
#include <openssl/evp.h>
#include <openssl/hmac.h>

#include <array>
#include <utility>

namespace gentian {

namespace {

constexpr std::size_t kMaxHandshakeBytes = 4'096;

std::string ToHex(const unsigned char* bytes, std::size_t size) {
  constexpr const char* kDigits = "0123456789abcdef";
  std::string text;
  for (std::size_t i = 0; i < size; ++i) {
    text += kDigits[bytes[i] >> 4U];
    text += kDigits[bytes[i] & 15U];
  }
  return text;
}

std::string NewNonce() {
  system_random random;
  std::array<std::uint64_t, 4> words{};
  for (std::uint64_t& word : words) {
    word = random.Next();
  }
  return ToHex(reinterpret_cast<const unsigned char*>(words.data()),
               sizeof(words));
}

bool SameText(const std::string& a, const std::string& b) {
  return a.size() == b.size() &&
         CRYPTO_memcmp(a.data(), b.data(), a.size()) == 0;
}

error Refused(const std::string& message, const std::string& remedy) {
  return error{error_kind::unauthorized, message, remedy};
}

result<json> ReadFields(const std::string& text,
                        std::initializer_list<const char*> names) {
  json fields = text.size() <= kMaxHandshakeBytes
                    ? json::parse(text, nullptr, false)
                    : json();
  if (!fields.is_object()) {
    return Refused("the link handshake is not valid",
                   "check that the address belongs to a daemon");
  }
  for (const char* name : names) {
    if (!fields.contains(name) || !fields[name].is_string()) {
      return Refused("the link handshake is not complete",
                     "run the same version on all daemons");
    }
  }
  return fields;
}

result<json> ReadIntroduction(const std::string& text) {
  result<json> fields = ReadFields(text, {"name", "nonce"});
  if (!Failed(fields) &&
      ValueOf(fields).value("protocol", json()) != kLinkProtocol) {
    return Refused("the other daemon speaks another link protocol",
                   "run the same version on all daemons");
  }
  return fields;
}

error WrongKey() {
  return Refused("the other end does not hold the cluster key",
                 "use the same cluster key file on all daemons");
}

}  // namespace

link_authenticator::link_authenticator(std::string key, std::string name)
    : key_(std::move(key)), name_(std::move(name)) {}

std::string link_authenticator::Hello() {
  client_nonce_ = NewNonce();
  return json{
      {"protocol", kLinkProtocol}, {"name", name_}, {"nonce", client_nonce_}}
      .dump();
}

result<std::string> link_authenticator::AnswerHello(const std::string& hello) {
  const result<json> fields = ReadIntroduction(hello);
  if (Failed(fields)) {
    return ErrorOf(fields);
  }
  peer_ = ValueOf(fields)["name"].get<std::string>();
  client_nonce_ = ValueOf(fields)["nonce"].get<std::string>();
  server_nonce_ = NewNonce();
  return json{{"protocol", kLinkProtocol},
              {"name", name_},
              {"nonce", server_nonce_},
              {"proof", Proof("server", peer_, name_)}}
      .dump();
}

result<std::string> link_authenticator::AnswerChallenge(
    const std::string& challenge,
    const std::string& expected_name) {
  const result<json> fields = ReadIntroduction(challenge);
  if (Failed(fields)) {
    return ErrorOf(fields);
  }
  const json& values = ValueOf(fields);
  peer_ = values["name"].get<std::string>();
  server_nonce_ = values["nonce"].get<std::string>();
  if (!values.contains("proof") || !values["proof"].is_string() ||
      !SameText(values["proof"].get<std::string>(),
                Proof("server", name_, peer_))) {
    return WrongKey();
  }
  if (peer_ != expected_name) {
    return Refused("the address belongs to daemon " + peer_,
                   "check the peer addresses in the settings");
  }
  return json{{"proof", Proof("client", name_, peer_)}}.dump();
}

result<success> link_authenticator::CheckProof(const std::string& proof) const {
  const result<json> fields = ReadFields(proof, {"proof"});
  if (Failed(fields)) {
    return ErrorOf(fields);
  }
  if (!SameText(ValueOf(fields)["proof"].get<std::string>(),
                Proof("client", peer_, name_))) {
    return WrongKey();
  }
  return success{};
}

std::string link_authenticator::Proof(const char* role,
                                      const std::string& client,
                                      const std::string& server) const {
  // JSON quotes the parts, so that no two lists of parts give one text.
  const std::string text =
      json{role, kLinkProtocol, client, server, client_nonce_, server_nonce_}
          .dump();
  std::array<unsigned char, EVP_MAX_MD_SIZE> digest{};
  unsigned size = 0;
  HMAC(EVP_sha256(), key_.data(), static_cast<int>(key_.size()),
       reinterpret_cast<const unsigned char*>(text.data()), text.size(),
       digest.data(), &size);
  return ToHex(digest.data(), size);
}

}  // namespace gentian
