#ifndef GENTIAN_TURNS_TURN_WRITE_H_
#define GENTIAN_TURNS_TURN_WRITE_H_

#include <set>
#include <string>
#include <vector>

namespace gentian {

/** Writes one turn to several stores. The turn is durable once enough of them
    have stored it; a store that fails or is slow is replaced by the next one.
*/
class turn_write {
 public:
  enum class state { pending, durable, failed };

  /** Stores to send the turn to now. */
  using sends = std::vector<std::string>;

  /** @param candidates  stores, the preferred ones first
      @param copies      stores that have to hold the turn */
  turn_write(std::vector<std::string> candidates, std::size_t copies);

  sends Start();
  sends OnStored(const std::string& host);
  sends OnFailed(const std::string& host);
  /** Sends to one more store for each that has not answered. A late answer
      still counts. */
  sends OnSlow();

  state current() const;

 private:
  sends SendTo(std::size_t count);

  std::vector<std::string> candidates_;
  std::size_t copies_;
  std::size_t next_ = 0;
  std::set<std::string> unanswered_;
  std::set<std::string> stored_;
};

}  // namespace gentian

#endif  // GENTIAN_TURNS_TURN_WRITE_H_
