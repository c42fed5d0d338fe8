#include "gentian_gateway/shared_listing.h"

#include <criterion/criterion.h>

using namespace gentian;

namespace {

using outcome = shared_listing::outcome;

steady_time At(int ms) {
  return steady_time(std::chrono::hours(1) + milliseconds(ms));
}

listing_changes Whole(const std::string& value, std::uint64_t version) {
  listing_changes changes;
  changes.complete = true;
  changes.entries = {{"key", value, version}};
  return changes;
}

std::string ValueIn(const shared_listing& subject) {
  return subject.content().Entries().at(0).value;
}

}  // namespace

// Guards against targets that go back to an earlier state: a question that was
// sent later may have been answered earlier by the service.
Test(shared_listing, a_later_question_does_not_bring_back_an_earlier_state) {
  shared_listing subject("targets", milliseconds(1'000));
  cr_assert(subject.Apply(Whole("draining", 8), {8, At(0)}, At(60)) ==
            outcome::changed);
  cr_assert(subject.Apply(Whole("ready", 5), {7, At(10)}, At(70)) ==
            outcome::older);
  cr_assert(ValueIn(subject) == "draining");
  cr_assert(subject.asked_at() == At(0));
}

// Guards against a newer state that is refused because it was asked for
// earlier.
Test(shared_listing, a_newer_state_counts_though_asked_for_earlier) {
  shared_listing subject("targets", milliseconds(1'000));
  subject.Apply(Whole("ready", 5), {7, At(10)}, At(20));
  cr_assert(subject.Apply(Whole("draining", 8), {8, At(0)}, At(60)) ==
            outcome::changed);
  cr_assert(ValueIn(subject) == "draining" && subject.asked_at() == At(10));
}

// Guards against a service that was restored from a backup and is not believed.
Test(shared_listing, a_restored_service_is_believed) {
  shared_listing subject("targets", milliseconds(1'000));
  subject.Apply(Whole("late", 800), {900, At(0)}, At(10));
  cr_assert(subject.Apply(Whole("restored", 40), {50, At(5'000)}, At(5'010)) ==
            outcome::changed);
  cr_assert(ValueIn(subject) == "restored");
}

// Daemons of the build before tell no revision.
Test(shared_listing, without_a_revision_the_time_of_the_question_counts) {
  shared_listing subject("targets", milliseconds(1'000));
  subject.Apply(Whole("first", 5), {7, At(100)}, At(110));
  cr_assert(subject.Apply(Whole("earlier", 4), {0, At(50)}, At(120)) ==
            outcome::older);
  cr_assert(subject.Apply(Whole("later", 9), {0, At(150)}, At(160)) ==
            outcome::changed);
}

Test(shared_listing, a_confirmation_renews_the_age) {
  shared_listing subject("targets", milliseconds(1'000));
  cr_assert(!subject.Age(At(0)));
  subject.Apply(Whole("same", 5), {7, At(0)}, At(10));
  subject.Confirm({6, At(400)}, At(410));
  cr_assert(subject.Age(At(500)) == milliseconds(100));
  cr_assert(subject.revision() == 7);
}
