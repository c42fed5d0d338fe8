#ifndef GENTIAN_TURNS_CHAIN_LOOKUP_H_
#define GENTIAN_TURNS_CHAIN_LOOKUP_H_

#include <set>
#include <string>
#include <vector>

#include "gentian_turns/kept_turn.h"

namespace gentian {

/** Finds the chain that ends with a turn. Asks one store first and all others
    if that one doesn't hold it or is slow. If a store holds only the newest
    turns of the chain, the lookup continues with the turn before them.
*/
class chain_lookup {
 public:
  enum class state {
    pending,
    found,
    /** Every store that may hold the turn has said that it doesn't. */
    absent,
    /** A store that may hold the turn did not answer, or can't tell. */
    uncertain,
  };

  /** One read: ask the store for the chain that ends with the turn. */
  struct read {
    std::string host;
    std::string turn_id;
  };
  using reads = std::vector<read>;

  /** @param turn_id  the newest turn of the chain
      @param hosts    every store that may hold it, the preferred first */
  chain_lookup(std::string turn_id, std::vector<std::string> hosts);

  reads Start();
  reads OnPart(const read& answered, chain_part part);
  reads OnAbsent(const read& answered);
  /** The store did not answer, or may have lost the turn. */
  reads OnUncertain(const read& answered);
  /** The stores that were asked have not answered in time. */
  reads OnSlow();

  state current() const { return state_; }

  /** The conversation that the turn belongs to. Precondition: found. */
  const std::string& conversation() const { return conversation_; }

  /** Moves the histories of the chain out, oldest first, followed by the new
      input. Precondition: found. */
  std::string TakePrompt(const std::string& input);

 private:
  reads AskFor(std::string turn_id, const std::string& not_at);
  reads AskUpTo(std::size_t count);
  reads AfterAnswer(const read& answered);
  bool IsCurrent(const read& answered) const;

  std::vector<std::string> hosts_;
  std::string wanted_;
  /** Stores that have not been asked for the wanted turn. */
  std::vector<std::string> unasked_;
  std::set<std::string> unanswered_;
  bool certain_ = true;
  state state_ = state::pending;
  std::string conversation_;
  /** Histories of the chain, the newest part first. */
  std::vector<std::string> parts_;
};

}  // namespace gentian

#endif  // GENTIAN_TURNS_CHAIN_LOOKUP_H_
