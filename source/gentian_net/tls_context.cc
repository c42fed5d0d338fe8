#include "gentian_net/tls_context.h"

#include <sys/stat.h>

#include <boost/asio/ssl/context.hpp>

namespace gentian {

namespace ssl = boost::asio::ssl;

result<success> tls_context::Reload() {
  const std::string stamp = ReadStamp();
  const auto method =
      files_.IsServer() ? ssl::context::tls_server : ssl::context::tls_client;
  try {
    auto fresh = std::make_shared<ssl::context>(method);
    fresh->set_options(ssl::context::default_workarounds |
                       ssl::context::no_sslv2 | ssl::context::no_sslv3 |
                       ssl::context::no_tlsv1 | ssl::context::no_tlsv1_1);
    if (files_.IsServer()) {
      fresh->use_certificate_chain_file(files_.certificate);
      fresh->use_private_key_file(files_.private_key, ssl::context::pem);
    }
    if (!files_.authorities.empty()) {
      fresh->load_verify_file(files_.authorities);
      fresh->set_verify_mode(ssl::verify_peer |
                             ssl::verify_fail_if_no_peer_cert);
    } else if (!files_.IsServer()) {
      fresh->set_default_verify_paths();
      fresh->set_verify_mode(ssl::verify_peer);
    }
    const std::lock_guard<std::mutex> lock(mutex_);
    current_ = std::move(fresh);
    stamp_ = stamp;
  } catch (const boost::system::system_error& failure) {
    return error{error_kind::invalid_settings,
                 std::string("TLS files cannot be used: ") + failure.what(),
                 "check that certificate and key exist, are readable PEM "
                 "files and belong together"};
  }
  return success{};
}

result<success> tls_context::ReloadIfChanged() {
  {
    const std::lock_guard<std::mutex> lock(mutex_);
    if (current_ && stamp_ == ReadStamp()) {
      return success{};
    }
  }
  return Reload();
}

std::shared_ptr<ssl::context> tls_context::current() const {
  const std::lock_guard<std::mutex> lock(mutex_);
  return current_;
}

std::string tls_context::ReadStamp() const {
  std::string stamp;
  for (const std::string& name :
       {files_.certificate, files_.private_key, files_.authorities}) {
    struct stat status {};
    if (!name.empty() && ::stat(name.c_str(), &status) == 0) {
      stamp += std::to_string(status.st_mtim.tv_sec) + "." +
               std::to_string(status.st_mtim.tv_nsec) + "/" +
               std::to_string(status.st_ino) + ";";
    }
  }
  return stamp;
}

}  // namespace gentian
