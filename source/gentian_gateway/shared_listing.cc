#include "gentian_gateway/shared_listing.h"

#include <algorithm>

namespace gentian {

namespace {

// Times told by other daemons are rounded.
constexpr milliseconds kClockMargin{100};

}  // namespace

std::optional<duration> shared_listing::Age(steady_time now) const {
  return asked_at_ ? std::optional<duration>(now - *asked_at_) : std::nullopt;
}

bool shared_listing::IsNewerThan(const reading& other) const {
  if (!asked_at_) {
    return false;
  }
  if (revision_ == 0 || other.revision == 0) {
    return other.asked_at < *asked_at_;
  }
  // A service that answers a later question with an earlier revision was
  // restored from a backup.
  const bool is_restored = other.asked_at > learned_at_ + kClockMargin;
  return other.revision < revision_ && !is_restored;
}

shared_listing::outcome shared_listing::Apply(const listing_changes& changes,
                                              const reading& source,
                                              steady_time now) {
  if (IsNewerThan(source)) {
    return outcome::older;
  }
  if (source.revision != revision_) {
    revision_ = source.revision;
    learned_at_ = now;
  }
  asked_at_ =
      asked_at_ ? std::max(*asked_at_, source.asked_at) : source.asked_at;
  return content_.Apply(changes) ? outcome::changed : outcome::unchanged;
}

void shared_listing::Confirm(const reading& source, steady_time now) {
  if (source.revision > revision_) {
    revision_ = source.revision;
    learned_at_ = now;
  }
  asked_at_ =
      asked_at_ ? std::max(*asked_at_, source.asked_at) : source.asked_at;
}

}  // namespace gentian
