#ifndef GENTIAN_DECISIONS_MEMBER_TABLE_H_
#define GENTIAN_DECISIONS_MEMBER_TABLE_H_

#include <cstddef>
#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <utility>
#include <vector>

#include "gentian_decisions/cluster_messages.h"
#include "gentian_decisions/member.h"
#include "gentian_decisions/node_identity.h"
#include "gentian_decisions/target_report.h"
#include "gentian_settings/gentian_settings.h"

namespace gentian {

/** What is stored under `/daemon/<host>`. */
struct daemon_record {
  incarnation id;
  failure_domain_id failure_domain;
  std::string peer_address;
  std::string caller_address;
  bool has_data_folder = false;
};

NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE(daemon_record,
                                   id,
                                   failure_domain,
                                   peer_address,
                                   caller_address,
                                   has_data_folder)

/** The other daemons: from the settings, the key-value service, the host list
    and heartbeats.

    News about an incarnation is ordered by the number of the heartbeat that it
    is based on, and then by state: a suspicion overrides the heartbeat it is
    based on, and a later heartbeat refutes the suspicion.
*/
class member_table {
 public:
  /** Creates an empty table of a daemon on a host. */
  explicit member_table(host_id self) : self_(std::move(self)) {}

  /** Adds and removes the daemons that the settings list. */
  void UseSettings(const configuration& settings, steady_time now);

  /** Adds what the service says about a daemon. */
  void UseRecord(const daemon_record& record, steady_time now);

  /** Marks hosts that are about to leave. */
  void UseHostList(const std::vector<host_list_entry>& entries);

  /** Notes a heartbeat that came directly from its sender. */
  void Heard(const heartbeat& input, steady_time now);

  /** Notes news from another daemon.

      @returns true if it is newer than what is known and is passed on
  */
  bool Apply(const member_news& news, steady_time now);

  /** Suspects members that are silent although this daemon probes them, and
      declares old suspects dead.

      @param probed  members that have to answer this daemon
  */
  void Judge(const std::set<host_id>& probed, steady_time now);

  /** Removes up to `limit` changes that have to be passed on. */
  std::vector<member_news> TakeNews(std::size_t limit);

  /** Hosts whose incarnation is known but not their address. */
  std::vector<host_id> WithoutAddress() const;

  /** A member other than this daemon. */
  std::optional<member> Find(const host_id& host) const;

  /** Members other than this daemon that are not suspected or dead. */
  std::vector<member> Live() const;

  /** All members other than this daemon that are not dead. */
  std::vector<member> All() const;

  /** Hosts whose daemons are declared dead. */
  std::vector<host_id> Dead() const;

  /** True if callers may be sent to a host. */
  bool TakesCallers(const host_id& host) const;

  /** True if the host list says that the host is leaving. */
  bool IsLeaving(const host_id& host) const;

 private:
  struct row {
    member info;
    bool configured = false;
    std::uint64_t heartbeat = 0;
    steady_time last_heard;
    steady_time suspected_at;
  };

  row* Row(const host_id& host, steady_time now);
  void SetState(row& entry, member::state next, steady_time now);
  void AddNews(const row& entry);
  void ForgetOldDead(steady_time now);
  bool Replace(row& entry, const incarnation& id, steady_time now);

  host_id self_;
  std::map<host_id, row> rows_;
  std::set<host_id> leaving_;
  std::optional<steady_time> last_judged_;
  // Changes to pass on and how often each has still to be sent.
  std::map<host_id, int> news_;
};

}  // namespace gentian

#endif  // GENTIAN_DECISIONS_MEMBER_TABLE_H_
