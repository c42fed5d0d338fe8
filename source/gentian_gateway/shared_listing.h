#ifndef GENTIAN_GATEWAY_SHARED_LISTING_H_
#define GENTIAN_GATEWAY_SHARED_LISTING_H_

#include <cstdint>
#include <optional>
#include <string>
#include <utility>

#include "gentian_core/gentian_core.h"
#include "gentian_gateway/listing_content.h"

namespace gentian {

/** The latest content of one listing of the key-value service, and its age.

    Readings arrive from the service and from other daemons, and not in the
   order in which the service answered. The service's revision orders them;
   where one is not known, the times at which they were asked for do.
*/
class shared_listing {
 public:
  /** What became of a reading. */
  enum class outcome { older, unchanged, changed };

  /** When and at which revision of the service content was read. */
  struct reading {
    /** 0 if it is not known. */
    std::uint64_t revision = 0;
    steady_time asked_at{};
  };

  /** @param name     for logs and metrics
      @param max_age  age from which on the content is stale */
  shared_listing(std::string name, duration max_age)
      : name_(std::move(name)), max_age_(max_age) {}

  const std::string& name() const { return name_; }
  duration max_age() const { return max_age_; }
  const listing_content& content() const { return content_; }

  /** When the listing that the content is from was asked for; nothing before
      the first one. */
  const std::optional<steady_time>& asked_at() const { return asked_at_; }

  /** Revision of the service that the content shows; 0 if it is not known. */
  std::uint64_t revision() const { return revision_; }

  /** Age of the content; nothing before the first reading. */
  std::optional<duration> Age(steady_time now) const;

  /** True if the content is newer than a reading. */
  bool IsNewerThan(const reading& other) const;

  /** Applies a reading unless the content is newer.

      @param changes  the whole listing, or what changed since the content
      @param now      when the reading came */
  outcome Apply(const listing_changes& changes,
                const reading& source,
                steady_time now);

  /** Records that the content was still the same in a reading. */
  void Confirm(const reading& source, steady_time now);

 private:
  std::string name_;
  duration max_age_;
  listing_content content_;
  std::uint64_t revision_ = 0;
  std::optional<steady_time> asked_at_;
  /** When the revision became known here. */
  steady_time learned_at_{};
};

}  // namespace gentian

#endif  // GENTIAN_GATEWAY_SHARED_LISTING_H_
