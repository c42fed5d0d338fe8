#ifndef GENTIAN_DECISIONS_KV_STAMP_H_
#define GENTIAN_DECISIONS_KV_STAMP_H_

#include <cstdint>
#include <string>

namespace gentian {

/** Names one write to the key-value service. It is stored in front of the
    value, so that the writer can tell by reading whether a write whose answer
    was lost has taken effect.
*/
struct kv_stamp {
  /** One run of a daemon process; empty for a value without a stamp. */
  std::string writer;
  std::uint64_t number = 0;

  friend bool operator==(const kv_stamp& a, const kv_stamp& b) {
    return a.writer == b.writer && a.number == b.number;
  }
};

/** Puts a stamp in front of a value. Precondition: the writer's name contains
    no blank and no line break.
*/
std::string AddStamp(const kv_stamp& stamp, const std::string& value);

/** Removes the stamp from a stored value. A value without one stays as it is.

    @returns the stamp
*/
kv_stamp TakeStamp(std::string& value);

}  // namespace gentian

#endif  // GENTIAN_DECISIONS_KV_STAMP_H_
