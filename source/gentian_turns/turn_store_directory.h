#ifndef GENTIAN_TURNS_TURN_STORE_DIRECTORY_H_
#define GENTIAN_TURNS_TURN_STORE_DIRECTORY_H_

#include <functional>
#include <map>
#include <string>
#include <vector>

#include "gentian_turns/turn_store_record.h"

namespace gentian {

/** The turn stores, from listings of their records, and where turns lie.

    Every daemon places a conversation by rendezvous hashing over the running
    stores, in as many failure domains as possible. Daemons with different
    lists choose different stores, so readers ask the others too.
*/
class turn_store_directory {
 public:
  using records = std::map<std::string, turn_store_record>;

  /** Applies a complete listing, by host.

      @param running  stores whose lease is valid
      @param disks    stores whose disk may hold turns
      @returns        true if the placement of turns may have changed */
  bool Update(records running, records disks);

  /** Every store that may hold a turn, running or not, by host. */
  const records& known() const { return known_; }

  /** Stores that take turns, by host. */
  const records& accepting() const { return accepting_; }

  /** Stores that take turns of a conversation, the preferred ones first. */
  std::vector<std::string> Placement(const std::string& conversation) const;

  /** All known stores in the order in which a reader asks them: the preferred
      `copies` ones first, of these the reader's failure domain first. */
  std::vector<std::string> ReadOrder(const std::string& conversation,
                                     std::size_t copies,
                                     const std::string& failure_domain) const;

  /** True if the store is among the preferred `copies` ones.

      @param may_hold  leaves out stores for which it is false; null for none */
  bool IsPlacedAt(const std::string& host,
                  const std::string& conversation,
                  std::size_t copies,
                  const std::function<bool(const turn_store_record&)>&
                      may_hold = nullptr) const;

  /** True if a listing has been applied. */
  bool is_loaded() const { return loaded_; }

 private:
  records known_;
  records accepting_;
  bool loaded_ = false;
};

}  // namespace gentian

#endif  // GENTIAN_TURNS_TURN_STORE_DIRECTORY_H_
