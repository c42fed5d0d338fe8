#ifndef GENTIAN_TURNS_ORIGIN_LOOKUP_H_
#define GENTIAN_TURNS_ORIGIN_LOOKUP_H_

#include <cstddef>
#include <set>
#include <string>
#include <vector>

namespace gentian {

/** Finds a record that a single store suffices for: asks the preferred stores
    first, and one more for each that lacks the record or does not answer. */
class origin_lookup {
 public:
  enum class state {
    pending,
    found,
    /** Every store has said that it lacks the record. */
    absent,
    /** Some store did not answer, and the others lack the record. */
    uncertain,
  };
  using asks = std::vector<std::string>;

  /** @param hosts   every store that may hold the record, the preferred first
      @param copies  stores that are asked at first */
  origin_lookup(std::vector<std::string> hosts, std::size_t copies);

  asks Start();
  asks OnFound();
  asks OnAbsent(const std::string& host);
  asks OnFailed(const std::string& host);
  /** Asks one more store for each that has not answered. */
  asks OnSlow();

  state current() const { return state_; }

 private:
  asks AskUpTo(std::size_t count);
  asks AfterAnswer(const std::string& host);

  std::vector<std::string> hosts_;
  std::size_t copies_;
  std::size_t next_ = 0;
  std::set<std::string> unanswered_;
  bool certain_ = true;
  state state_ = state::pending;
};

}  // namespace gentian

#endif  // GENTIAN_TURNS_ORIGIN_LOOKUP_H_
