#ifndef GENTIAN_GATEWAY_BLOCKED_REQUESTS_H_
#define GENTIAN_GATEWAY_BLOCKED_REQUESTS_H_

#include <map>
#include <string>
#include <vector>

#include "gentian_core/gentian_core.h"

namespace gentian {

/** Requests, by fingerprint, that are not sent to targets for a while because
    they crash them. Each further block of a request lasts twice as long, up to
    ten minutes, until it is answered. */
class blocked_requests {
 public:
  /** Blocks a request.

      @returns  the length of the block; 0 if the request is blocked already */
  milliseconds Block(const std::string& fingerprint, steady_time now);

  /** Takes over a block that another gateway has decided.

      @returns  false if the request is blocked already */
  bool Add(const std::string& fingerprint, milliseconds left, steady_time now);

  /** Forgets the earlier blocks of a request that was answered. */
  void Remove(const std::string& fingerprint) { blocked_.erase(fingerprint); }

  /** Time until the request is no longer blocked; 0 if it isn't. */
  duration TimeLeft(const std::string& fingerprint, steady_time now) const;

  /** The fingerprints that are blocked now. */
  std::vector<std::string> Current(steady_time now) const;

 private:
  struct entry {
    steady_time until;
    int blocks = 0;
  };

  void EvictOld(steady_time now);

  std::map<std::string, entry> blocked_;
};

}  // namespace gentian

#endif  // GENTIAN_GATEWAY_BLOCKED_REQUESTS_H_
