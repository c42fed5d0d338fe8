#ifndef GENTIAN_TURNS_ORIGIN_WRITE_H_
#define GENTIAN_TURNS_ORIGIN_WRITE_H_

#include <cstddef>
#include <set>
#include <string>
#include <vector>

namespace gentian {

/** Writes the origin of one stream to several stores.

    A request is sent again if a target fails before the first event, and the
    stream may then begin at other software. No store may be left with the
    origin of the earlier send, because a reader trusts a single store. */
class origin_write {
 public:
  /** Stores to send the current origin to now. */
  using sends = std::vector<std::string>;

  /** @param candidates  stores, the preferred ones first
      @param copies      stores that have to hold the origin */
  origin_write(std::vector<std::string> candidates, std::size_t copies);

  /** Starts to write the origin of the next send. */
  sends Start();
  /** @param round  number of the Start that named the store, from 1 */
  sends OnStored(const std::string& host, int round);
  /** @param is_unchanged  the store is certain not to have stored it */
  sends OnFailed(const std::string& host, int round, bool is_unchanged);
  /** Sends to one more store for each that has not answered. */
  sends OnSlow();

  int round() const { return round_; }

  /** True if enough stores hold the current origin and none an earlier one. */
  bool IsDurable() const;
  /** True if no store may hold the origin of an earlier send. */
  bool IsConsistent() const { return outdated_.empty(); }
  /** True if no more stores can be asked and none has yet to answer. */
  bool IsExhausted() const;

 private:
  sends SendTo(std::size_t count);

  std::vector<std::string> candidates_;
  std::size_t copies_;
  std::size_t next_ = 0;
  int round_ = 0;
  std::set<std::string> unanswered_;
  std::set<std::string> stored_;
  /** Stores that may hold the origin of this round. */
  std::set<std::string> reached_;
  /** Stores that may hold the origin of an earlier round. */
  std::set<std::string> outdated_;
};

}  // namespace gentian

#endif  // GENTIAN_TURNS_ORIGIN_WRITE_H_
