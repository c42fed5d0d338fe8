#ifndef GENTIAN_TURNS_DRAIN_PROGRESS_H_
#define GENTIAN_TURNS_DRAIN_PROGRESS_H_

#include <cstdint>
#include <map>
#include <string>

#include "gentian_turns/turn_store_directory.h"
#include "gentian_turns/turn_summary.h"

namespace gentian {

/** Tells when a store that is being emptied holds nothing that the others still
    need. */
class drain_progress {
 public:
  /** Records how far another store has read this store's journal. */
  void OnRead(const journal_request& request, std::int64_t journal);

  /** True if every store that takes turns holds each turn of this one that is
      placed there.

      @param last  position of the latest entry of this store's journal */
  bool IsComplete(const turn_store_directory& directory,
                  std::int64_t last) const;

 private:
  /** Positions up to which others have read, by host. Only reads that left
      this store out of the placement count. */
  std::map<std::string, std::int64_t> read_to_;
};

}  // namespace gentian

#endif  // GENTIAN_TURNS_DRAIN_PROGRESS_H_
