// Tests that the thread of a turn_storage outlives exceptions.
#include <criterion/criterion.h>
#include <unistd.h>

#include <filesystem>
#include <future>
#include <new>

#include "gentian_turn_storage/gentian_turn_storage.h"

using namespace gentian;

// Guards against an exception in one use of the database, such as for lack of
// memory, that ends the process or leaves its caller without an answer.
Test(turn_storage, lives_on_after_an_exception, .timeout = 30) {
  std::string path =
      (std::filesystem::temp_directory_path() / "gentian-XXXXXX").string();
  cr_assert(::mkdtemp(path.data()) != nullptr);
  auto opened = turn_database::Open(path, true);
  cr_assert(!Failed(opened));
  {
    turn_storage storage(
        std::move(ValueOf(opened)), path,
        [](const std::function<void()>& handler) { handler(); });
    std::promise<result<int>> failed;
    storage.Run<int>(
        [](turn_database&) -> result<int> { throw std::bad_alloc(); },
        [&](const result<int>& outcome) { failed.set_value(outcome); });
    auto answer = failed.get_future();
    cr_assert(answer.wait_for(std::chrono::seconds(5)) ==
              std::future_status::ready);
    // Anything else would have the database replaced by an empty one.
    cr_assert(ErrorOf(answer.get()).kind == error_kind::unavailable);

    std::promise<bool> stored;
    kept_turn turn;
    turn.key = {"team", "id"};
    storage.Store(std::move(turn), [&](const result<store_outcome>& outcome) {
      stored.set_value(!Failed(outcome));
    });
    cr_assert(stored.get_future().get());
  }
  std::filesystem::remove_all(path);
}
