#ifndef GENTIAN_NET_MEMORY_BUDGET_H_
#define GENTIAN_NET_MEMORY_BUDGET_H_

#include <cstddef>
#include <cstdint>
#include <functional>
#include <map>
#include <mutex>
#include <vector>

namespace gentian {

/** Bytes that a process may hold of what its peers send: messages in part,
    requests in progress, and answers that wait for a slow reader. Peers decide
    how much they send, so bounds of single messages don't bound the sum.

    When it is used up, the largest holding that can be given up is taken back,
    so that a peer that sends without end takes nothing from the others.
    Thread-safe.
*/
class memory_budget {
 public:
  /** What one message holds. Not thread-safe; must not outlive the budget. */
  class holding {
   public:
    /** @param on_taken_back  runs when the bytes have to be given up; on the
                              thread of another holding, which must not be
                              resized there */
    holding(memory_budget& budget, std::function<void()> on_taken_back);
    /** Gives the bytes back. */
    ~holding();
    holding(const holding&) = delete;
    holding& operator=(const holding&) = delete;

    /** Sets how many bytes the message takes.

        @returns  false if it has to be given up */
    bool Resize(std::size_t bytes);

    /** From now on, and until it is resized to 0, the bytes can't be taken
        back. */
    void Keep();

   private:
    memory_budget& budget_;
    const std::uint64_t id_;
    /** Without the bytes that are not counted. */
    std::size_t counted_ = 0;
    std::function<void()> on_taken_back_;
  };

  /** Messages are counted from this size on. The number of connections bounds
      the smaller ones. */
  static constexpr std::size_t kUncountedBytes = 8 * 1024;

  /** @param capacity  0 for no bound */
  explicit memory_budget(std::size_t capacity = 0) : capacity_(capacity) {}
  memory_budget(const memory_budget&) = delete;
  memory_budget& operator=(const memory_budget&) = delete;

  void SetCapacity(std::size_t capacity);
  /** @param observer  runs when a holding has to be given up, with its size
                       and the bytes that were in use; must not use the budget
  */
  void SetObserver(
      std::function<void(std::size_t bytes, std::size_t used)> observer);
  std::size_t used() const;
  /** Holdings that had to be given up. */
  std::uint64_t taken_back() const;

 private:
  struct entry {
    std::size_t bytes = 0;
    bool is_kept = false;
    std::function<void()> on_taken_back;
  };

  std::uint64_t NextId();
  /** @param on_taken_back  of a holding that becomes large enough to count */
  bool Resize(std::uint64_t id,
              std::size_t bytes,
              const std::function<void()>* on_taken_back);
  void Keep(std::uint64_t id);
  /** Takes holdings back until the rest fits.

      @param handlers  receives those of the holdings that were taken back
      @returns         false if the growing one was */
  bool MakeRoom(std::uint64_t growing,
                std::vector<std::function<void()>>& handlers);

  mutable std::mutex mutex_;
  std::size_t capacity_;
  std::size_t used_ = 0;
  std::uint64_t last_id_ = 0;
  std::uint64_t taken_back_ = 0;
  std::function<void(std::size_t bytes, std::size_t used)> observer_;
  /** Holdings of more than kUncountedBytes. */
  std::map<std::uint64_t, entry> entries_;
};

}  // namespace gentian

#endif  // GENTIAN_NET_MEMORY_BUDGET_H_
