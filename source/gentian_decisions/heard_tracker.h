#ifndef GENTIAN_DECISIONS_HEARD_TRACKER_H_
#define GENTIAN_DECISIONS_HEARD_TRACKER_H_

#include <cstddef>
#include <cstdint>
#include <map>
#include <vector>

#include "gentian_settings/gentian_settings.h"

namespace gentian {

/** When each configured daemon was heard from, directly or through others.

    Passed on as ages rather than as a bitmap: two isolated daemons that
    exchange bitmaps would confirm each other's view of a third one for ever.
*/
class heard_tracker {
 public:
  /** Creates the tracker of a daemon on a host. */
  explicit heard_tracker(host_id self) : self_(std::move(self)) {}

  /** Sets the configured daemons. */
  void UseSettings(const configuration& settings);

  /** A daemon was heard from directly. */
  void Heard(const host_id& host, steady_time now);

  /** Takes over what a neighbour has heard.

      @param ages     as Export wrote them, with the same configured daemons
  */
  void Import(const std::vector<std::uint8_t>& ages, steady_time now);

  /** Ages in the order of the configured daemons, two a byte. */
  std::vector<std::uint8_t> Export(steady_time now) const;

  /** True if more than half of the configured daemons, this one included, were
      heard from within a time.
  */
  bool HeardMajority(duration within, steady_time now) const;

 private:
  host_id self_;
  std::vector<host_id> order_;
  std::map<host_id, steady_time> last_;
};

}  // namespace gentian

#endif  // GENTIAN_DECISIONS_HEARD_TRACKER_H_
