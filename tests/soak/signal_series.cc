#include "signal_series.h"

#include <utility>

namespace gentian::soak {

signal_series::signal_series(std::shared_ptr<process_instance> subject,
                             signal_plan plan,
                             std::uint64_t seed)
    : subject_(std::move(subject)),
      plan_(std::move(plan)),
      random_(seed),
      thread_([this] { Run(); }) {}

signal_series::~signal_series() {
  is_stopped_ = true;
  thread_.join();
}

void signal_series::Run() {
  constexpr std::chrono::microseconds kPollInterval{50};
  while (!is_stopped_ && subject_->RunTime() < plan_.first &&
         subject_->IsRunning()) {
    std::this_thread::sleep_for(kPollInterval);
  }
  const steady_time end = BootTimeNow() + plan_.length;
  while (!is_stopped_ && BootTimeNow() < end && subject_->IsRunning()) {
    subject_->Signal(plan_.numbers[random_.Below(plan_.numbers.size())]);
    std::this_thread::sleep_for(std::chrono::microseconds(
        static_cast<std::chrono::microseconds::rep>(random_.Below(
            static_cast<std::uint64_t>(plan_.max_gap.count()) + 1))));
  }
}

}  // namespace gentian::soak
