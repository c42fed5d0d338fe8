#ifndef GENTIAN_GATEWAY_UNCLAIMED_START_POLICY_H_
#define GENTIAN_GATEWAY_UNCLAIMED_START_POLICY_H_

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <unordered_set>
#include <vector>

#include "gentian_core/gentian_core.h"
#include "gentian_gateway/member_record.h"

namespace gentian {

/** Decides which programs are new, so that their first turn may start before
    its tokens are claimed while the key-value service is away.

    A program is new if it has no stored claim. This daemon knows that of a
    program of which it has been the owner since it read the list of all claims,
    as it then would have written the program's claim itself. Without such a
    list, it knows it after it has been the owner for as long as a program may
    pause.
*/
class unclaimed_start_policy {
 public:
  /** @param self       key of this daemon's record
      @param retention  longest pause of a program that returns */
  unclaimed_start_policy(std::string self, duration retention);

  void SetRetention(duration retention) { retention_ = retention; }

  /** Handles a time without a record of this daemon. Others may have owned its
      programs meanwhile, also if its own list of members didn't change. */
  void OnRecordLost(steady_time now);

  /** Applies a changed list of members.

      @param after_outage  the key-value service was away shortly before. What a
                           daemon that failed then had started unclaimed is not
                           known to anyone. */
  void OnMembers(const std::map<std::string, member_record>& members,
                 bool after_outage,
                 steady_time now);

  /** True if a list of all claims would let this daemon know more programs as
      new. */
  bool NeedsClaims(steady_time now) const;

  /** Applies the list of all programs with a claim, which was requested after
      the latest change of members had become known everywhere. */
  void OnClaims(const std::vector<std::string>& programs);

  /** True if the program is new. */
  bool MayStart(const std::string& program, steady_time now) const;

 private:
  bool IsPast(const std::string& key, steady_time now) const;

  std::string self_;
  duration retention_;
  /** When the first list of members came. */
  std::optional<steady_time> started_at_;
  /** Hashes of the programs that had a claim when the claims were listed. */
  std::unordered_set<std::uint64_t> claimed_;
  bool has_claims_ = false;
  /** The members, and those that have left since the claims were listed, by
      key. The owner of a program by this list has been its owner ever since. */
  std::map<std::string, member_record> owners_;
  /** When those that have left did so. */
  std::map<std::string, steady_time> left_at_;
  steady_time refused_until_;
};

}  // namespace gentian

#endif  // GENTIAN_GATEWAY_UNCLAIMED_START_POLICY_H_
