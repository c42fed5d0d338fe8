#ifndef TESTS_SOAK_JUDGE_H_
#define TESTS_SOAK_JUDGE_H_

#include <map>
#include <mutex>
#include <set>
#include <string>
#include <vector>

#include "gentian_core/gentian_core.h"
#include "stream_text.h"

namespace gentian::soak {

/** A request whose connection was closed or reset by its gateway. */
struct unanswered_request {
  std::string id;
  /** The address for callers. */
  std::string gateway;
  /** When its last byte was sent. */
  steady_time sent_at;
  steady_time ended_at;
  /** For which its caller waits. */
  milliseconds time_left{0};
};

/** Holds what callers got against what targets ran. Thread-safe. */
class judge {
 public:
  /** A target began to work on a request that may run once only. */
  void OnRun(const std::string& request);
  /** A caller was told that such a request has not run. */
  void OnRefused(const std::string& request, int status);

  /** A caller got the events of one stream, over all its tries.

      @param text      what came, in order
      @param is_whole  the last answer ended as a complete one */
  void OnStream(const stream_order& order,
                const std::string& text,
                bool is_whole,
                const std::string& story);

  /** A caller got something that breaks a promise. */
  void Report(const std::string& rule, const std::string& what);
  /** A target, or its end, cut off its answer to a request. */
  void OnBrokenOff(const std::string& request);
  /** Something unplanned happens to a gateway or its links, or to targets or
      stores.

      @param gateway  the address for callers; empty for all gateways
      @param length   0 for an instant */
  void OnTrouble(const std::string& gateway, milliseconds length);
  /** A gateway is asked to stop. */
  void OnStop(const std::string& gateway);
  /** The connection of a request that was sent as a whole has ended without a
      whole answer. */
  void OnUnanswered(const unanswered_request& request);

  /** Counts an outcome for the summary. */
  void Count(const std::string& outcome);

  /** Ends the run and returns the broken rules, with what was seen. */
  std::vector<std::string> Finish();
  std::map<std::string, int> counts();

 private:
  std::mutex mutex_;
  struct span {
    steady_time begin;
    steady_time end;
  };

  /** True if something unplanned happened shortly before or during the
      request. */
  bool IsExcused(const unanswered_request& request,
                 const std::string& place) const;
  /** True if the request should have had an answer. */
  bool IsLost(const unanswered_request& request) const;

  std::map<std::string, int> runs_;
  std::set<std::string> broken_off_;
  std::map<std::string, std::vector<span>> troubles_;
  std::map<std::string, std::vector<steady_time>> stops_;
  std::vector<unanswered_request> unanswered_;
  std::map<std::string, int> refused_;
  std::vector<std::string> broken_;
  std::map<std::string, int> counts_;
};

}  // namespace gentian::soak

#endif  // TESTS_SOAK_JUDGE_H_
