#ifndef TESTS_SOAK_ENDLESS_ANSWER_H_
#define TESTS_SOAK_ENDLESS_ANSWER_H_

#include <string>
#include <vector>

namespace gentian::soak {

/** An answer that a target in trouble sends until its client closes. */
struct endless_answer {
  const char* name;
  /** Made from the request's identifier. */
  std::string (*begin)(const std::string& request);
  /** Sent again and again after the beginning. */
  std::string part;
};

/** Answers without end in each part of an HTTP message. */
const std::vector<endless_answer>& EndlessAnswers();

}  // namespace gentian::soak

#endif  // TESTS_SOAK_ENDLESS_ANSWER_H_
