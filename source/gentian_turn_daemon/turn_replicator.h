#ifndef GENTIAN_TURN_DAEMON_TURN_REPLICATOR_H_
#define GENTIAN_TURN_DAEMON_TURN_REPLICATOR_H_

#include <cstdint>
#include <map>
#include <memory>
#include <string>
#include <vector>

#include "gentian_gateway/gentian_gateway.h"
#include "gentian_gateway_daemon/peer_client.h"
#include "gentian_turn_daemon/turn_store_settings.h"
#include "gentian_turn_storage/gentian_turn_storage.h"

namespace gentian {

/** Copies the turns that belong on this host from the other turn stores: those
    that it lost with its disk, those that it missed, and those whose other
    copies are gone. Reads the others' journals, from the beginning whenever the
    placement of turns changes. Used on the I/O thread only.
*/
class turn_replicator {
 public:
  turn_replicator(io_pool& pool,
                  http_client& peers,
                  turn_storage& storage,
                  const turn_store_settings& settings,
                  const turn_store_directory& directory,
                  counter_set& counters);

  void Start();

  /** Reads all journals again. */
  void OnPlacementChanged();

  /** True if the journal of every known store has been read to its end since
      the placement of turns last changed. */
  bool IsCaughtUp() const;

  /** Time since IsCaughtUp was true. */
  duration Lag() const;

 private:
  /** True if this host is to have the turns of a conversation. */
  bool IsPlacedHere(const std::string& conversation) const;

  /** The reading of one store's journal. */
  struct reader {
    std::int64_t journal = 0;
    std::int64_t after = 0;
    bool busy = false;
    bool caught_up = false;
    steady_time retry_at;
  };
  /** One page of a journal that is being copied. */
  struct page_copy {
    std::string host;
    std::string address;
    std::uint64_t generation = 0;
    journal_page page;
    std::vector<turn_summary> wanted;
    std::size_t copied = 0;
  };

  void Tick();
  void ReadJournal(const std::string& host, const std::string& address);
  void OnPage(const std::string& host,
              const std::string& address,
              std::uint64_t generation,
              journal_page page);
  void FindMissing(const std::shared_ptr<page_copy>& copy);
  void FetchNext(const std::shared_ptr<page_copy>& copy);
  void StoreFetched(const std::shared_ptr<page_copy>& copy,
                    std::vector<kept_turn> turns);
  void FinishPage(const page_copy& copy);
  void Fail(const std::string& host, const std::string& reason);

  io_pool& pool_;
  peer_client peers_;
  turn_storage& storage_;
  const turn_store_settings& settings_;
  const turn_store_directory& directory_;
  counter_set& counters_;
  std::map<std::string, reader> readers_;
  /** Incremented when the placement changes. */
  std::uint64_t generation_ = 1;
  steady_time caught_up_at_;
};

}  // namespace gentian

#endif  // GENTIAN_TURN_DAEMON_TURN_REPLICATOR_H_
