#include <criterion/criterion.h>
#include <unistd.h>

#include <cstdlib>
#include <filesystem>
#include <fstream>

#include "support/synchronous_http.h"

using namespace gentian;
using namespace gentian::testing;

namespace {

// A folder with a self-signed certificate for one IP address.
class certificate_folder {
 public:
  certificate_folder()
      : path_(std::filesystem::temp_directory_path() /
              ("gentian_tls_" + std::to_string(::getpid()))) {
    std::filesystem::create_directories(path_);
  }
  ~certificate_folder() { std::filesystem::remove_all(path_); }

  void Issue(const std::string& ip) const {
    const std::string command =
        "openssl req -x509 -newkey rsa:2048 -nodes -days 1 -subj /CN=test "
        "-addext subjectAltName=IP:" +
        ip + " -keyout " + File("key.pem") + " -out " + File("cert.pem") +
        " 2>/dev/null";
    cr_assert(std::system(command.c_str()) == 0);
  }

  std::string File(const std::string& name) const {
    return (path_ / name).string();
  }

  tls_files ServerFiles() const {
    return {File("cert.pem"), File("key.pem"), ""};
  }

 private:
  std::filesystem::path path_;
};

std::shared_ptr<tls_context> Load(const tls_files& files) {
  auto context = std::make_shared<tls_context>(files);
  cr_assert(!Failed(context->Reload()));
  return context;
}

}  // namespace

// Guards against restarts for a new certificate, and against clients that
// accept a certificate of another host or an unknown authority.
Test(tls, certificate_is_checked_and_reloaded_without_a_restart) {
  const certificate_folder folder;
  folder.Issue("127.0.0.1");
  io_pool pool(2);
  const auto server_tls = Load(folder.ServerFiles());
  http_server server(
      pool,
      [](const std::shared_ptr<http_exchange>& exchange) {
        exchange->Respond(JsonResponse(200, json::object()));
      },
      {}, server_tls);
  cr_assert(!Failed(server.Listen("127.0.0.1:0")));
  http_client_request request;
  request.address = server.address();

  const tls_files trusting{"", "", folder.File("cert.pem")};
  http_client first(pool, Load(trusting));
  cr_assert(!Fetch(first, request).failure);

  folder.Issue("127.0.0.2");
  cr_assert(!Failed(server_tls->ReloadIfChanged()));
  // The old authority does not vouch for the new certificate.
  cr_assert(Fetch(first, request).failure == http_failure::not_sent);
  // The new authority does, but for another address.
  http_client second(pool, Load(trusting));
  cr_assert(Fetch(second, request).failure == http_failure::not_sent);

  folder.Issue("127.0.0.1");
  cr_assert(!Failed(server_tls->ReloadIfChanged()));
  http_client third(pool, Load(trusting));
  cr_assert(!Fetch(third, request).failure);

  // A file that can not be read leaves the old certificate in use.
  std::ofstream(folder.File("cert.pem")) << "not a certificate";
  cr_assert(Failed(server_tls->ReloadIfChanged()));
  cr_assert(!Fetch(third, request).failure);
  server.Stop();
  pool.Stop();
}
