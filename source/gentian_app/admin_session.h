#ifndef GENTIAN_APP_ADMIN_SESSION_H_
#define GENTIAN_APP_ADMIN_SESSION_H_

#include <string>
#include <vector>

#include "gentian_net/gentian_net.h"
#include "gentian_settings/gentian_settings.h"

namespace gentian {

/** What every admin command is given on the command line. */
struct admin_options {
  /** `ip:port` of a daemon's administration API. */
  std::string address;
  std::string key;
  /** PEM file that the daemon's certificate is checked against. */
  std::string authorities;
  bool tls = false;
  bool as_json = false;
  milliseconds timeout{35'000};

  /** Words after the command's name. */
  std::vector<std::string> arguments;
  /** `SECTION:KEY=VALUE` values to set. */
  std::vector<std::string> set;
  /** `SECTION:KEY` values to remove. */
  std::vector<std::string> unset;
  /** File with the whole new settings. */
  std::string file;
  std::string comment;
  /** Version that a change is based on; nothing takes the newest. */
  std::optional<std::uint64_t> expected_version;
};

/** A version of the settings as a daemon has it. */
struct settings_snapshot {
  std::uint64_t version = 0;
  settings_tree tree;
};

/** A connection of one command to a daemon, and its output. */
class admin_session {
 public:
  explicit admin_session(admin_options options);

  const admin_options& options() const { return options_; }

  /** Reads below /admin/v1/. */
  result<json> Get(const std::string& path);

  /** Sends a change. A failure after the request may have been sent has the
      outcome `unknown`.
  */
  result<json> Post(const std::string& path, const json& body);

  /** Reads the newest settings. */
  result<settings_snapshot> ReadSettings();

  /** Prints an answer, as JSON with --json and else as text. */
  void Print(const json& answer, const std::string& text) const;

  /** Prints an error.
      @returns  the exit code
  */
  int Fail(const error& reason) const;

  /** Prints mistakes in settings.
      @returns  the exit code
  */
  int Fail(const std::vector<settings_problem>& problems) const;

 private:
  result<json> Exchange(http_client_request request, bool changes);

  admin_options options_;
  bool unreachable_ = false;
};

}  // namespace gentian

#endif  // GENTIAN_APP_ADMIN_SESSION_H_
