#ifndef TESTS_FAULT_MATRIX_CALLER_H_
#define TESTS_FAULT_MATRIX_CALLER_H_

#include <cstdint>
#include <map>
#include <memory>
#include <string>
#include <vector>

#include "simulation.h"

namespace gentian::fault_matrix {

/** What a program does next. */
enum class action { model, stream, book, lookup, history, end };

/** A caller that runs one agent program: it asks for addresses, opens a
    session, makes the calls of its script one after the other, repeats what it
    may repeat, and records everything that it sees.
*/
class caller {
 public:
  /** Describes the program. */
  struct program {
    std::string tag;
    std::string team;
    std::vector<action> script;
    milliseconds think{300};
    /** Calls in the session's budget, 0 for the team's default. */
    std::uint64_t call_limit = 0;
    /** Repeats the script until the budget is spent. */
    bool loops = false;
    /** Refusals for the team's rate are expected; the call is dropped. */
    bool drops_limited = false;
  };

  caller(simulation& world, program plan);

  /** Starts the program. */
  void Start();

  /** True if the program has ended, well or not. */
  bool done() const { return done_; }

  /** The session, empty before it was opened. */
  const session_id& session() const { return session_; }

 private:
  void FindAddress();
  void OpenSession();
  void Opened(const answer_part& part);
  void NextAction();
  void Send();
  void Received(const answer_part& part, int attempt);
  void Answered(const final_answer& answer);
  void Refused(const error& failure);
  void Retry(milliseconds delay);
  void GiveUp(const std::string& trouble);
  void Finish();
  caller_operation Operation() const;
  action Current() const;
  bool Repeatable() const;
  std::string Marker() const;
  std::string Expected() const;
  const host_id& Host();
  known_session& Known();
  void Conclude(bool answered, const error& failure, const std::string& text);

  simulation& world_;
  program plan_;
  std::vector<host_id> addresses_;
  steady_time addresses_expire_;
  std::size_t next_address_ = 0;
  session_id session_;
  std::size_t position_ = 0;
  int attempt_ = 0;
  int call_attempts_ = 0;
  steady_time call_began_;
  std::map<std::uint64_t, std::string> events_;
  std::vector<std::string> answered_;
  std::string last_refusal_ = "none";
  bool done_ = false;
};

}  // namespace gentian::fault_matrix

#endif  // TESTS_FAULT_MATRIX_CALLER_H_
