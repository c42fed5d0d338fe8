#include "late_callers.h"

#include "caller.h"

namespace gentian::soak {

namespace {

constexpr int kCallers = 40;
constexpr milliseconds kLatest{8'000};

}  // namespace

late_callers::late_callers(const std::string& gateway,
                           const std::string& name,
                           std::uint64_t seed,
                           judge& seen) {
  for (int i = 0; i < kCallers; ++i) {
    const auto number = static_cast<std::uint64_t>(i);
    threads_.emplace_back([gateway, name, seed, number, &seen] {
      seeded_random random(seed + number);
      caller next(
          name + "." + std::to_string(number), seed + number,
          [gateway](std::uint64_t) { return gateway; }, seen);
      const milliseconds delay(static_cast<milliseconds::rep>(
          random.Below(static_cast<std::uint64_t>(kLatest.count()))));
      // Long work keeps the gateway from ending before its grace does.
      next.RunOnce(delay, random.Below(4) > 0);
    });
  }
}

late_callers::~late_callers() {
  for (std::thread& next : threads_) {
    next.join();
  }
}

}  // namespace gentian::soak
