#ifndef GENTIAN_APP_DEV_ENVIRONMENT_H_
#define GENTIAN_APP_DEV_ENVIRONMENT_H_

#include <memory>
#include <string>
#include <vector>

#include "gentian_adapters/gentian_adapters.h"
#include "gentian_daemon/gentian_daemon.h"

namespace gentian {

/** Fakes of all outside systems, served over loopback. */
class dev_environment {
 public:
  explicit dev_environment(io_pool& pool);
  ~dev_environment();

  /** Starts the servers. */
  result<success> Start();

  /** Settings with the fakes as targets and one team.

      @param key     the team's key
      @param daemon  the only daemon
  */
  settings_tree MakeSettings(const std::string& key,
                             const daemon_settings& daemon) const;

  /** Name and address of each server. */
  std::vector<std::pair<std::string, std::string>> Addresses() const;

  /** Address of one server. Precondition: it was started. */
  std::string AddressOf(const std::string& name) const;

 private:
  struct fake_server {
    std::string name;
    std::unique_ptr<http_server> server;
  };

  result<success> Serve(const std::string& name, http_server::handler handler);

  io_pool& pool_;
  key_value_fake values_;
  etcd_fake_server key_values_;
  host_list_fake hosts_;
  tool_fake tools_;
  std::vector<std::unique_ptr<engine_fake>> engines_;
  std::vector<fake_server> servers_;
};

}  // namespace gentian

#endif  // GENTIAN_APP_DEV_ENVIRONMENT_H_
