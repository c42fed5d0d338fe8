#ifndef TESTS_SOAK_JUDGE_H_
#define TESTS_SOAK_JUDGE_H_

#include <map>
#include <mutex>
#include <set>
#include <string>
#include <vector>

#include "stream_text.h"

namespace gentian::soak {

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
  /** Counts an outcome for the summary. */
  void Count(const std::string& outcome);

  /** Ends the run and returns the broken rules, with what was seen. */
  std::vector<std::string> Finish();
  std::map<std::string, int> counts();

 private:
  std::mutex mutex_;
  std::map<std::string, int> runs_;
  std::map<std::string, int> refused_;
  std::vector<std::string> broken_;
  std::map<std::string, int> counts_;
};

}  // namespace gentian::soak

#endif  // TESTS_SOAK_JUDGE_H_
