#include "gentian_net/repeating_task.h"

#include <array>
#include <atomic>
#include <boost/asio/io_context.hpp>
#include <boost/asio/post.hpp>
#include <boost/asio/steady_timer.hpp>
#include <cstddef>
#include <exception>
#include <mutex>
#include <new>
#include <utility>

#include "gentian_net/io_pool.h"

namespace gentian {

namespace asio = boost::asio;

namespace {

// Holds the pending operation of a timer, so that the next run can be armed
// while no memory is left.
class operation_slot {
 public:
  void* Allocate(std::size_t size) {
    if (size <= bytes_.size() && !in_use_.exchange(true)) {
      return bytes_.data();
    }
    return ::operator new(size);
  }

  void Deallocate(void* place) noexcept {
    if (place == bytes_.data()) {
      in_use_ = false;
    } else {
      ::operator delete(place);
    }
  }

 private:
  static constexpr std::size_t kBytes = 512;

  alignas(std::max_align_t) std::array<std::byte, kBytes> bytes_;
  std::atomic<bool> in_use_{false};
};

template <typename Value>
struct slot_allocator {
  using value_type = Value;

  explicit slot_allocator(std::shared_ptr<operation_slot> place)
      : slot(std::move(place)) {}
  template <typename Other>
  slot_allocator(const slot_allocator<Other>& other) noexcept
      : slot(other.slot) {}

  Value* allocate(std::size_t count) {
    return static_cast<Value*>(slot->Allocate(count * sizeof(Value)));
  }
  void deallocate(Value* place, std::size_t /*count*/) noexcept {
    slot->Deallocate(place);
  }

  template <typename Other>
  bool operator==(const slot_allocator<Other>& other) const noexcept {
    return slot == other.slot;
  }
  template <typename Other>
  bool operator!=(const slot_allocator<Other>& other) const noexcept {
    return slot != other.slot;
  }

  std::shared_ptr<operation_slot> slot;
};

}  // namespace

struct repeating_task::state : std::enable_shared_from_this<state> {
  state(asio::io_context& pool_context, duration delay, step run)
      : context(pool_context),
        timer(pool_context),
        retry_delay(delay),
        action(std::move(run)) {}

  // Runs the step once the timer expires.
  struct expiry_handler {
    using allocator_type = slot_allocator<void>;

    allocator_type get_allocator() const noexcept {
      return allocator_type(task->slot);
    }

    void operator()(boost::system::error_code failure = {}) const {
      if (!failure) {
        task->Run();
      }
    }

    std::shared_ptr<state> task;
  };

  void Run();
  void Arm(duration delay) noexcept;

  asio::io_context& context;
  asio::steady_timer timer;
  const duration retry_delay;
  const step action;
  const std::shared_ptr<operation_slot> slot =
      std::make_shared<operation_slot>();
  // Guards the timer and `ended`.
  std::mutex mutex;
  bool ended = false;
};

struct repeating_task::round::state {
  explicit state(std::shared_ptr<repeating_task::state> owner)
      : task(std::move(owner)) {}
  ~state() { Decide(task->retry_delay); }
  state(const state&) = delete;
  state& operator=(const state&) = delete;

  void Decide(duration delay) noexcept {
    if (!decided.exchange(true)) {
      task->Arm(delay);
    }
  }

  const std::shared_ptr<repeating_task::state> task;
  std::atomic<bool> decided{false};
};

repeating_task::round::round(std::shared_ptr<state> shared)
    : state_(std::move(shared)) {}

void repeating_task::round::RunAgainAfter(duration delay) const {
  state_->Decide(delay);
}

void repeating_task::round::End() const {
  state_->decided = true;
}

void repeating_task::state::Run() {
  std::shared_ptr<round::state> current;
  try {
    current = std::make_shared<round::state>(shared_from_this());
  } catch (const std::bad_alloc&) {
    Arm(retry_delay);
    throw;
  }
  action(round(std::move(current)));
}

void repeating_task::state::Arm(duration delay) noexcept {
  const std::lock_guard<std::mutex> lock(mutex);
  if (ended) {
    return;
  }
  const expiry_handler handler{shared_from_this()};
  try {
    timer.expires_after(delay);
    timer.async_wait(handler);
  } catch (const std::exception&) {
    // The queue of timers could not grow. A posted handler needs no memory but
    // the slot.
    asio::post(context, handler);
  }
}

repeating_task::repeating_task(io_pool& pool, duration retry_delay, step action)
    : state_(std::make_shared<state>(pool.context(),
                                     retry_delay,
                                     std::move(action))) {}

repeating_task::~repeating_task() {
  const std::lock_guard<std::mutex> lock(state_->mutex);
  state_->ended = true;
  state_->timer.cancel();
}

void repeating_task::Start() {
  state_->Run();
}

repeating_task::round repeating_task::Begin() {
  return round(std::make_shared<round::state>(state_));
}

void repeating_task::StartAfter(duration delay) {
  state_->Arm(delay);
}

}  // namespace gentian
