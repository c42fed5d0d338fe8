#ifndef GENTIAN_GATEWAY_EVACUATION_LIST_H_
#define GENTIAN_GATEWAY_EVACUATION_LIST_H_

#include <cstddef>
#include <functional>
#include <map>
#include <set>
#include <string>
#include <vector>

namespace gentian {

/** The failure domains that the operator has evacuated: no new request is sent
    to a target there. */
class evacuation_list {
 public:
  /** What is to be logged of a domain. */
  struct event {
    enum class kind { evacuated, unknown, returned };

    kind what = kind::evacuated;
    std::string failure_domain;
  };

  /** Applies a complete listing. */
  void Update(const std::set<std::string>& listed);

  /** True if a domain is evacuated. The empty name is no domain. */
  bool Contains(const std::string& failure_domain) const {
    return !domains_.empty() && !failure_domain.empty() &&
           domains_.count(failure_domain) > 0;
  }

  /** Evacuated domains, except those that TakeEvents found unknown. */
  std::size_t size() const;

  /** The events since the last call. A domain that doesn't exist is reported
      once for each time that it is listed, and again if it comes to exist.

      @param exists       true if a failure domain exists
      @param is_complete  false while domains that exist may not be known */
  std::vector<event> TakeEvents(
      const std::function<bool(const std::string&)>& exists,
      bool is_complete);

 private:
  enum class reported { nothing, evacuated, unknown };

  std::map<std::string, reported> domains_;
  /** Domains whose evacuation was reported and has ended. */
  std::vector<std::string> returned_;
};

}  // namespace gentian

#endif  // GENTIAN_GATEWAY_EVACUATION_LIST_H_
