#ifndef GENTIAN_DECISIONS_KV_OPERATION_H_
#define GENTIAN_DECISIONS_KV_OPERATION_H_

#include <cstdint>
#include <optional>
#include <string>
#include <variant>
#include <vector>

#include "gentian_core/gentian_core.h"

namespace gentian {

/** Identifies one call to the key-value service within an incarnation. */
using kv_call_id = std::uint64_t;

/** One entry as the service returns it. */
struct kv_entry {
  std::string key;
  std::string value;
  /** Grows with each change of the key; 0 means that the key is absent. */
  std::uint64_t version = 0;
};

/** Reads one key. */
struct kv_get {
  std::string key;
};

/** Reads all keys with a prefix. */
struct kv_list {
  std::string prefix;
  /** The listing may be some seconds old, and costs the service less. */
  bool may_be_stale = false;
  /** Most pages to read, after which the answer is truncated; without it, a
      listing beyond the client's own bound fails. Services without pages ignore
      it. */
  std::optional<int> max_pages{};
};

/** Writes a key if its version is the expected one; 0 creates it. */
struct kv_compare_and_swap {
  std::string key;
  std::uint64_t expected_version = 0;
  std::string value;
  /** Lease that the key lives under, 0 for none. */
  std::uint64_t lease = 0;
};

/** Writes several keys if each of them has its expected version, and none
    otherwise. */
struct kv_write_batch {
  /** Most writes of one batch that every service accepts. */
  static constexpr std::size_t kMaxWrites = 16;

  std::vector<kv_compare_and_swap> writes;
};

/** Deletes a key if its version is the expected one. */
struct kv_delete {
  std::string key;
  std::uint64_t expected_version = 0;
};

/** Asks for a lease that ends `time_to_live` after its last renewal. */
struct kv_grant_lease {
  milliseconds time_to_live{0};
};

/** Renews a lease. */
struct kv_renew_lease {
  std::uint64_t lease = 0;
};

/** Waits until a key with the prefix changes after a revision. */
struct kv_watch {
  std::string prefix;
  std::uint64_t after_revision = 0;
  milliseconds wait{30'000};
};

/** A call to the key-value service. */
using kv_operation = std::variant<kv_get,
                                  kv_list,
                                  kv_compare_and_swap,
                                  kv_write_batch,
                                  kv_delete,
                                  kv_grant_lease,
                                  kv_renew_lease,
                                  kv_watch>;

/** What the service answered. */
struct kv_answer {
  enum class status {
    ok,
    /** A conditional write or delete found another version. */
    conflict,
    /** The lease does not exist any more. */
    lease_expired,
    /** The watch's revision is no longer kept; read everything again. */
    compacted,
    /** No answer came: the call may or may not have taken effect. */
    no_answer,
    /** The call was not sent, for instance the connection was refused. */
    not_sent,
  };

  status outcome = status::no_answer;
  /** Entries found, changed, or (on conflict) currently stored under the keys
      of the operation. */
  std::vector<kv_entry> entries;
  /** Deleted keys that a watch saw. */
  std::vector<std::string> deleted;
  /** Revision of the last change that a watch saw; 0 if it saw none. */
  std::uint64_t last_change = 0;
  /** Revision of the store at the time of the answer. */
  std::uint64_t revision = 0;
  /** Granted lease. */
  std::uint64_t lease = 0;
  /** Why no answer came, for logs; empty if it is not known. */
  std::string reason = {};
  /** A listing has more entries. */
  bool is_truncated = false;
};

/** The stable name of a status, for logs. */
const char* NameOf(kv_answer::status status);

}  // namespace gentian

#endif  // GENTIAN_DECISIONS_KV_OPERATION_H_
