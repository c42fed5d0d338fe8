#ifndef GENTIAN_GATEWAY_TARGET_TABLE_H_
#define GENTIAN_GATEWAY_TARGET_TABLE_H_

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <vector>

#include "gentian_core/gentian_core.h"
#include "gentian_gateway/cold_limit.h"
#include "gentian_gateway/cold_period.h"
#include "gentian_gateway/evacuation_list.h"
#include "gentian_gateway/target_limit.h"
#include "gentian_gateway/target_performance.h"
#include "gentian_gateway/target_record.h"

namespace gentian {

/** Load that a target reported in a response. */
struct reported_load {
  int running = 0;
  int waiting = 0;
  steady_time at;
  /** Time that work takes on the target's host at that moment, relative to the
      usual time; nothing if the target doesn't report it. */
  std::optional<double> pace{};
};

/** State of one target as seen by this daemon. */
struct known_target {
  target_record record;
  /** Requests that this daemon has open there. */
  int open_requests = 0;
  std::optional<reported_load> load;
  /** Requests that this daemon has sent there since the load report. */
  int sent_since_report = 0;
  target_performance performance;
  /** Nothing if it has never said whether it has a limit. */
  std::optional<target_limit> limit;
  /** Whether it is cold, and its limit meanwhile. */
  cold_period cold;
  /** Its limit leaves no room for a request before this time. */
  steady_time no_room_until;
  /** Consecutive failures to reach it. */
  int failures = 0;
  /** When it last answered a request completely. */
  steady_time answered_at;
  /** No request is sent before this time unless no other target is left. */
  steady_time avoid_until;
  /** It has said in an answer that it leaves. Its registration may say so
     later, or not at all. */
  bool has_said_leaving = false;
  /** It was listed after the last outage of the key-value service. */
  bool listed_since_outage = true;

  /** True if it takes no new requests. */
  bool IsLeaving() const { return record.draining || has_said_leaving; }
  /** True if it has named a limit itself. */
  bool NamesLimit() const { return limit && limit->rate; }
  /** Requests per second that it takes from all gateways together: the lower of
      the limit that it names and that of a cold target. Nothing for no
      limit. */
  std::optional<double> RateLimit(steady_time now) const;
  bool IsLimited(steady_time now) const {
    return NamesLimit() || cold.Rate(now).has_value();
  }
  /** True if its limit is known to leave no room for a request. */
  bool HasNoRoom(steady_time now) const {
    return now < no_room_until && IsLimited(now);
  }
};

/** The targets of one service, leaving or not, and what is known of them
    together. */
struct service_targets {
  std::vector<const known_target*> targets;
  service_performance performance;
  /** When the performance was last derived from the targets'. */
  steady_time derived_at;
};

/** The targets that requests may be sent to, from listings of the key-value
    service and from the outcome of requests.
*/
class target_table {
 public:
  target_table() = default;
  // The index by service points into the table.
  target_table(const target_table&) = delete;
  target_table& operator=(const target_table&) = delete;
  target_table(target_table&&) = default;
  target_table& operator=(target_table&&) = default;
  ~target_table() = default;

  /** Applies a complete listing.

      Listings that follow an outage of the key-value service may lack targets
      whose entries expired in it; those targets are kept for 1.9 s. A target
      that was listed after the outage and is then missing has left.

      @param asked_at  when the listing was requested
      @returns         identifiers of targets that are new, restarted, removed
                       or whose draining state changed */
  std::vector<std::string> Update(std::vector<target_record> listing,
                                  steady_time asked_at);

  /** Applies a complete listing.

      @param read_at  when the listing was read, from which the cold times in it
                      are counted */
  std::vector<std::string> Update(std::vector<target_record> listing,
                                  steady_time asked_at,
                                  steady_time read_at);

  /** What the latest listing told about cold targets. */
  struct cold_news {
    /** Targets that became cold. */
    std::vector<std::string> turned_cold;
    /** Targets with a new version of their record that has a malformed cold
        time. */
    std::vector<std::string> malformed;
  };
  const cold_news& cold_changes() const { return cold_changes_; }

  /** Sets the limits of cold targets, by service. */
  void SetColdLimits(std::map<std::string, cold_limit> limits);

  /** Records that a target said in an answer how long it stays cold.

      @returns  true if it was taken for warm before */
  bool ReportCold(const std::string& id, milliseconds left, steady_time now);

  /** Targets with the limit of a cold target. */
  std::vector<std::string> ColdTargets(steady_time now) const;

  /** Records that the key-value service was heard, whatever it answered: a gap
      between listings is no outage then.

      @param asked_at  when it was asked */
  void OnServiceHeard(steady_time asked_at);

  /** The evacuated failure domains. Their targets take no requests: Find,
      Serving and HasTarget leave them out. */
  evacuation_list& evacuations() { return evacuations_; }
  const evacuation_list& evacuations() const { return evacuations_; }

  /** True if a target is known and in an evacuated failure domain. */
  bool IsEvacuated(const std::string& id) const;

  /** True if a target is neither leaving nor in an evacuated failure domain. */
  bool TakesRequests(const known_target& target) const;

  /** True if a target is known in a failure domain. */
  bool HasDomain(const std::string& failure_domain) const;

  /** True if a listing has been applied. */
  bool is_loaded() const { return last_listing_.has_value(); }

  /** True if a target of the service takes requests. */
  bool HasTarget(const std::string& service) const;

  /** A target by identifier; nullptr if it is unknown, leaving or in an
      evacuated failure domain. */
  const known_target* Find(const std::string& id) const;

  /** A target by identifier, draining or not; nullptr if it is unknown. */
  const known_target* FindListed(const std::string& id) const;

  /** All targets, draining or not. */
  std::vector<const known_target*> All() const;

  /** The software version of a service, if all its targets that could have
     begun a stream of a caller that still waits had the same one. Nothing if
     there were several, or if the listings of that time are not known. */
  std::optional<std::string> OnlyVersion(const std::string& service,
                                         steady_time now) const;

  /** Targets of a service that take requests. */
  std::vector<const known_target*> Serving(const std::string& service) const;

  /** The targets of a service and their performance; nullptr if it has none. */
  const service_targets* FindService(const std::string& service) const;

  /** True if a target is known, draining or not. */
  bool IsListed(const std::string& id) const { return known_.count(id) > 0; }

  void RequestStarted(const std::string& id);
  void RequestEnded(const std::string& id);
  void ReportLoad(const std::string& id, reported_load load);
  /** Records how long a target took for a request. The load that it reported
      last, with its answer, tells its pace and how long the request waited. */
  void ReportWork(const std::string& id,
                  const work_sample& sample,
                  steady_time now);
  /** Records a target's limit, unless a later statement is known.

      @returns  true if a limit was named, lifted or changed by more than a
                tenth */
  bool LearnLimit(const std::string& id, const target_limit& limit);
  /** What the target last said of its limit; nothing if it is not known. */
  std::optional<target_limit> Limit(const std::string& id) const;
  /** Records that a target's limit leaves no room before this time. */
  void ReportNoRoom(const std::string& id, steady_time until);
  /** Targets that name a limit. */
  std::vector<std::string> LimitedTargets() const;
  /** Records that the target was unreachable or closed the connection early. */
  void ReportFailure(const std::string& id, steady_time now);
  void ReportSuccess(const std::string& id, steady_time now);
  /** True if this start of the target has answered a request after a time. */
  bool HasAnsweredAfter(const std::string& id,
                        std::uint64_t started_at_ms,
                        steady_time time) const;
  /** Forgets all failures: they were not the targets'. */
  void ForgetFailures();
  /** Records that this start of the target has said that it leaves.

      @returns  true if that is new */
  bool ReportLeaving(const std::string& id);
  /** Records that another target answered at this target's address. */
  void ReportReplaced(const std::string& id);

 private:
  known_target* FindMutable(const std::string& id);
  void IndexServices(steady_time now);
  static void Derive(service_targets& service, steady_time now);
  void LearnColdTime(known_target& target, steady_time read_at);
  cold_limit ColdLimitFor(const std::string& service) const;

  std::map<std::string, known_target> known_;
  /** Index of known_. */
  std::map<std::string, service_targets> services_;
  evacuation_list evacuations_;
  std::map<std::string, cold_limit> cold_limits_;
  cold_news cold_changes_;
  /** When each version of a service was last listed. */
  std::map<std::string, std::map<std::string, steady_time>> versions_;
  /** Start of the listings without a gap. */
  std::optional<steady_time> observed_since_;
  std::optional<steady_time> last_listing_;
  std::optional<steady_time> last_heard_;
  /** Longest time since the last listing in which the service was not heard. */
  duration longest_silence_{0};
  std::optional<steady_time> outage_ended_;
};

}  // namespace gentian

#endif  // GENTIAN_GATEWAY_TARGET_TABLE_H_
