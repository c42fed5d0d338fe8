#ifndef GENTIAN_GATEWAY_DAEMON_RECORD_PUBLISHER_H_
#define GENTIAN_GATEWAY_DAEMON_RECORD_PUBLISHER_H_

#include <functional>
#include <map>
#include <string>

#include "gentian_adapters/gentian_adapters.h"

namespace gentian {

/** Writes small records to the key-value service that all gateways should know,
    each under a lease of its own, so that it disappears by itself. Used on the
    I/O thread only.
*/
class record_publisher {
 public:
  /** @param counters      counts records that could not be written
      @param on_published  runs after each write */
  record_publisher(io_pool& pool,
                   key_value_store& store,
                   counter_set& counters,
                   std::function<void()> on_published);

  /** Writes a record unless it exists, and tries again while the key-value
      service does not answer. Nothing happens if this process has written the
      record within the last seconds. */
  void Publish(const std::string& key,
               const std::string& value,
               milliseconds lifetime);

  /** Removes a record that has this version. */
  void Remove(const std::string& key, std::uint64_t version);

 private:
  struct record {
    std::string value;
    steady_time until;
    bool is_writing = true;
    steady_time written_at;
  };

  void GrantLease(const std::string& key);
  void Write(const std::string& key, std::uint64_t lease);
  void OnWritten(const std::string& key);
  void RetryLater(const std::string& key);
  void EvictOld();

  io_pool& pool_;
  key_value_store& store_;
  counter_set& counters_;
  std::function<void()> on_published_;
  std::map<std::string, record> records_;
};

}  // namespace gentian

#endif  // GENTIAN_GATEWAY_DAEMON_RECORD_PUBLISHER_H_
