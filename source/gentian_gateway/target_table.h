#ifndef GENTIAN_GATEWAY_TARGET_TABLE_H_
#define GENTIAN_GATEWAY_TARGET_TABLE_H_

#include <map>
#include <optional>
#include <string>
#include <vector>

#include "gentian_core/gentian_core.h"
#include "gentian_gateway/target_record.h"

namespace gentian {

/** Load that a target reported with an answer. */
struct reported_load {
  int running = 0;
  int waiting = 0;
  steady_time at;
};

/** What a daemon knows of one target. */
struct known_target {
  target_record record;
  /** Requests that this daemon has open there. */
  int open_requests = 0;
  std::optional<reported_load> load;
  /** Failures in a row to reach it. */
  int failures = 0;
  /** No request is sent before this time unless no other target is left. */
  steady_time avoid_until;
  /** It was listed since the key-value service was last away. */
  bool listed_since_outage = true;
};

/** The targets that requests may be sent to, from listings of the key-value
    service and from the outcome of requests.
*/
class target_table {
 public:
  /** Takes a complete listing.

      The first listing that follows an outage of the key-value service may
      lack targets whose entries lapsed meanwhile; they are kept for a short
      time. A target that was listed since and then is not has left.

      @param asked_at  when the listing was asked for
      @returns         identifiers of targets that are new, leaving or gone */
  std::vector<std::string> Update(std::vector<target_record> listing,
                                  steady_time asked_at);

  /** The target with an identifier if it may get new work, or nothing. */
  const known_target* Find(const std::string& id) const;

  /** Targets of a service that may get new work. */
  std::vector<const known_target*> Serving(const std::string& service) const;

  /** True if a target is listed, leaving or not. */
  bool IsListed(const std::string& id) const { return known_.count(id) > 0; }

  void RequestStarted(const std::string& id);
  void RequestEnded(const std::string& id);
  void ReportLoad(const std::string& id, reported_load load);
  /** The target could not be reached or broke off. */
  void ReportFailure(const std::string& id, steady_time now);
  void ReportSuccess(const std::string& id);
  /** Another target answered at the address; this one is not there. */
  void ReportReplaced(const std::string& id);

 private:
  known_target* FindMutable(const std::string& id);

  std::map<std::string, known_target> known_;
  std::optional<steady_time> last_listing_;
  std::optional<steady_time> outage_ended_;
};

}  // namespace gentian

#endif  // GENTIAN_GATEWAY_TARGET_TABLE_H_
