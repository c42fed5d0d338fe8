#ifndef GENTIAN_NET_TLS_CONTEXT_H_
#define GENTIAN_NET_TLS_CONTEXT_H_

#include <memory>
#include <mutex>
#include <string>

#include "gentian_core/gentian_core.h"

namespace boost::asio::ssl {
class context;
}  // namespace boost::asio::ssl

namespace gentian {

/** Files of one TLS endpoint, in PEM form. */
struct tls_files {
  std::string certificate;
  std::string private_key;
  /** Certificates that the other side is checked against; empty: a server
      asks for none, a client uses the system's.
  */
  std::string authorities;

  bool IsServer() const { return !certificate.empty(); }
};

/** The certificate in use. Connections that are open keep the one they were
    opened with; new connections use the newest.
*/
class tls_context {
 public:
  explicit tls_context(tls_files files) : files_(std::move(files)) {}

  /** Reads the files. On an error the previous certificate stays in use. */
  result<success> Reload();

  /** Reloads if a file has changed since it was read. */
  result<success> ReloadIfChanged();

  /** The context for new connections; nothing before the first Reload. */
  std::shared_ptr<boost::asio::ssl::context> current() const;

 private:
  std::string ReadStamp() const;

  tls_files files_;
  mutable std::mutex mutex_;
  std::shared_ptr<boost::asio::ssl::context> current_;
  std::string stamp_;
};

}  // namespace gentian

#endif  // GENTIAN_NET_TLS_CONTEXT_H_
