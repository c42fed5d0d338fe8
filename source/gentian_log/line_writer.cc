#include "gentian_log/line_writer.h"

#include <poll.h>
#include <unistd.h>

#include <algorithm>
#include <cerrno>
#include <climits>
#include <condition_variable>
#include <mutex>
#include <string_view>
#include <thread>

namespace gentian {

namespace {

// Bounds how long the destructor waits for the last lines. A reader that is
// still reading takes a few milliseconds.
constexpr milliseconds kFlushTimeout{200};

// Number of bytes for the next write: as many whole lines as fit in PIPE_BUF,
// up to which a write to a pipe is atomic and not interleaved with other
// writers. A line that is longer is written alone.
std::size_t AtomicWriteSize(std::string_view lines) {
  if (lines.size() <= PIPE_BUF) {
    return lines.size();
  }
  const std::size_t last = lines.rfind('\n', PIPE_BUF - 1);
  const std::size_t end =
      last == std::string_view::npos ? lines.find('\n') : last;
  return end == std::string_view::npos ? lines.size() : end + 1;
}

// Pause after a failed write. A disk that was full may have room again, and a
// file may have been made shorter.
constexpr std::chrono::seconds kRetryInterval{1};

// Returns false if a write fails, such as when the reader has closed the pipe
// or the disk is full.
bool WriteAll(int descriptor, std::string_view bytes) {
  while (!bytes.empty()) {
    const ssize_t count =
        ::write(descriptor, bytes.data(), AtomicWriteSize(bytes));
    if (count >= 0) {
      bytes.remove_prefix(static_cast<std::size_t>(count));
    } else if (errno == EAGAIN) {
      // The parent process may have made the descriptor non-blocking.
      pollfd writable{descriptor, POLLOUT, 0};
      ::poll(&writable, 1, -1);
    } else if (errno != EINTR) {
      return false;
    }
  }
  return true;
}

}  // namespace

struct line_writer::shared_state {
  shared_state(int file, std::size_t max_bytes)
      : descriptor(file), queue(max_bytes) {}

  const int descriptor;
  std::mutex mutex;
  std::condition_variable lines_added;
  std::condition_variable lines_written;
  line_queue queue;
  bool writing = false;
  bool ended = false;
  // After a failed write, none is tried before this.
  steady_time not_before{};
  // Ends a line of which a failed write may have written a part.
  bool ends_line = false;
  std::uint64_t dropped_by_failures = 0;
};

line_writer::line_writer(int descriptor, std::size_t max_bytes)
    : state_(std::make_shared<shared_state>(descriptor, max_bytes)) {
  std::thread([state = state_] { Run(state); }).detach();
}

line_writer::~line_writer() {
  Flush(kFlushTimeout);
  const std::lock_guard<std::mutex> lock(state_->mutex);
  state_->ended = true;
  state_->lines_added.notify_one();
}

void line_writer::Run(const std::shared_ptr<shared_state>& state) {
  std::unique_lock<std::mutex> lock(state->mutex);
  while (true) {
    state->lines_added.wait(
        lock, [&] { return state->ended || !state->queue.empty(); });
    if (state->queue.empty()) {
      return;
    }
    const std::string lines = state->queue.TakeAll();
    state->writing = true;
    const bool ends_line = state->ends_line;
    lock.unlock();
    const bool written = (!ends_line || WriteAll(state->descriptor, "\n")) &&
                         WriteAll(state->descriptor, lines);
    lock.lock();
    state->writing = false;
    state->ends_line = !written;
    if (!written) {
      state->not_before = BootTimeNow() + kRetryInterval;
      state->dropped_by_failures += static_cast<std::uint64_t>(
          std::count(lines.begin(), lines.end(), '\n'));
    }
    state->lines_written.notify_all();
  }
}

void line_writer::Write(const std::string& line, line_queue::importance kind) {
  const std::lock_guard<std::mutex> lock(state_->mutex);
  if (BootTimeNow() < state_->not_before) {
    ++state_->dropped_by_failures;
    return;
  }
  const bool was_empty = state_->queue.empty();
  if (state_->queue.Add(line, kind) && was_empty) {
    state_->lines_added.notify_one();
  }
}

bool line_writer::Flush(milliseconds timeout) {
  std::unique_lock<std::mutex> lock(state_->mutex);
  return state_->lines_written.wait_for(lock, timeout, [this] {
    return state_->queue.empty() && !state_->writing;
  });
}

std::uint64_t line_writer::dropped() const {
  const std::lock_guard<std::mutex> lock(state_->mutex);
  return state_->queue.dropped() + state_->dropped_by_failures;
}

}  // namespace gentian
