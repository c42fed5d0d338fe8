#include <criterion/criterion.h>

#include <filesystem>
#include <fstream>

#include "gentian_adapters/gentian_adapters.h"
#include "support/child_process.h"
#include "support/synchronous_http.h"

using namespace gentian;
using namespace gentian::testing;

namespace {

// A folder that is removed at the end.
struct scratch_folder {
  scratch_folder()
      : path(std::filesystem::temp_directory_path() /
             ("gentian_serve_" + std::to_string(::getpid()))) {
    std::filesystem::create_directories(path);
  }
  ~scratch_folder() { std::filesystem::remove_all(path); }

  std::string Write(const std::string& name, const std::string& text) const {
    std::ofstream(path / name) << text;
    return (path / name).string();
  }

  std::filesystem::path path;
};

// An address whose port was free a moment ago.
std::string FreeAddress(io_pool& pool) {
  http_server probe(pool, [](const auto& /*exchange*/) {});
  cr_assert(!Failed(probe.Bind("127.0.0.1:0")));
  return probe.address();
}

}  // namespace

// Guards against a daemon that hangs at a stop, or starts with a file that has
// mistakes.
Test(serve_process, starts_from_its_file_and_stops_with_status_0) {
  const scratch_folder folder;
  io_pool pool(2);
  key_value_fake values;
  etcd_fake_server service(pool, values);
  http_server http(pool,
                   [&](const auto& exchange) { service.Serve(exchange); });
  cr_assert(!Failed(http.Listen("127.0.0.1:0")));
  const std::string address = FreeAddress(pool);
  const std::string key =
      folder.Write("key", "0123456789abcdef0123456789abcdef\n");
  const std::string settings =
      "[daemon]\nhost = a\nfailure_domain = f\n"
      "peer_address = " +
      FreeAddress(pool) + "\ncaller_address = " + address +
      "\n[peers]\nkey_file = " + key +
      "\n[key-value]\naddress = " + http.address() + "\n";
  child_process broken({"serve", folder.Write("broken.ini", "[daemon]\n")});
  cr_assert(broken.Wait() == 1);

  child_process process({"serve", folder.Write("a.ini", settings)});
  http_client client(pool);
  http_client_request request;
  request.address = address;
  request.target = "/v1/addresses";
  cr_assert(WaitFor([&] {
    const http_outcome outcome = Fetch(client, request);
    return !outcome.failure && outcome.response.status == 200;
  }));
  process.Signal(SIGTERM);
  cr_assert(process.Wait() == 0);
  http.Stop();
  pool.Stop();
}
