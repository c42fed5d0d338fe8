#ifndef GENTIAN_NET_LINK_AUTHENTICATOR_H_
#define GENTIAN_NET_LINK_AUTHENTICATOR_H_

#include <string>

#include "gentian_core/gentian_core.h"

namespace gentian {

/** Protocol spoken on links; daemons with another one are refused. */
constexpr int kLinkProtocol = 1;

/** Proves to each other that both ends of a link hold the shared key, without
    sending it: an HMAC challenge in both directions. Messages in order:
    hello (client), challenge (server), proof (client).
*/
class link_authenticator {
 public:
  /** @param key   shared by all daemons
      @param name  name of this end
  */
  link_authenticator(std::string key, std::string name);

  /** Client: the first message. */
  std::string Hello();

  /** Server: checks the hello and returns the challenge. */
  result<std::string> AnswerHello(const std::string& hello);

  /** Client: checks that the server knows the key and returns the proof.

      @param expected_name  whom the client means to reach
  */
  result<std::string> AnswerChallenge(const std::string& challenge,
                                      const std::string& expected_name);

  /** Server: checks that the client knows the key. */
  result<success> CheckProof(const std::string& proof) const;

  /** Name of the other end. Only valid after the checks have passed. */
  const std::string& peer() const { return peer_; }

 private:
  std::string Proof(const char* role,
                    const std::string& client,
                    const std::string& server) const;

  std::string key_;
  std::string name_;
  std::string peer_;
  std::string client_nonce_;
  std::string server_nonce_;
};

}  // namespace gentian

#endif  // GENTIAN_NET_LINK_AUTHENTICATOR_H_
