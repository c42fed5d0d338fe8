// Tests the storage of stream origins on a real file system.
#include <criterion/criterion.h>
#include <unistd.h>

#include <filesystem>

#include "gentian_turn_storage/gentian_turn_storage.h"

using namespace gentian;

namespace {

namespace fs = std::filesystem;

constexpr duration kNoTime{0};

class origin_database {
 public:
  origin_database() {
    std::string name = (fs::temp_directory_path() / "origins-XXXXXX").string();
    cr_assert(::mkdtemp(name.data()) != nullptr);
    path_ = name;
    Reopen();
  }
  ~origin_database() {
    database_.reset();
    fs::remove_all(path_);
  }

  void Reopen() {
    database_.reset();
    auto opened = turn_database::Open(path_, true);
    cr_assert(!Failed(opened));
    database_ = std::move(ValueOf(opened));
  }

  void Store(const std::string& team,
             const std::string& id,
             int send,
             const std::string& version) {
    const stored_origin stored = {
        {team, id}, send, {"service", version, "target", 1, 2}};
    cr_assert(!Failed(database_->Store(store_batch{{}, {&stored}}, kNoTime)));
  }

  std::string VersionOf(const std::string& team, const std::string& id) {
    const auto origin = database_->ReadOrigin({team, id});
    cr_assert(!Failed(origin));
    return ValueOf(origin) ? ValueOf(origin)->version : "absent";
  }

  turn_database& operator*() { return *database_; }

 private:
  std::string path_;
  std::unique_ptr<turn_database> database_;
};

}  // namespace

// Guards against a stream that can't be resumed after a loss of power.
Test(origin_database, keeps_origins_over_a_restart) {
  origin_database subject;
  subject.Store("t", "r", 1, "v1");
  subject.Reopen();
  cr_assert(subject.VersionOf("t", "r") == "v1");
  cr_assert(subject.VersionOf("t", "other") == "absent");
  cr_assert(subject.VersionOf("other", "r") == "absent");
}

// Guards against a late message of an earlier send that brings its origin back.
Test(origin_database, the_latest_send_counts) {
  origin_database subject;
  subject.Store("t", "r", 1, "v1");
  subject.Store("t", "r", 2, "v2");
  subject.Store("t", "r", 1, "v1");
  cr_assert(subject.VersionOf("t", "r") == "v2");
}

// Guards against a disk that fills with origins, and against one that is
// removed while its caller may still resume the stream.
Test(origin_database, origins_are_removed_after_their_time) {
  origin_database subject;
  subject.Store("t", "r", 1, "v1");
  cr_assert(!Failed((*subject).RemoveExpired(std::chrono::seconds(60))));
  cr_assert(subject.VersionOf("t", "r") == "v1");
  cr_assert(!Failed((*subject).RemoveExpired(std::chrono::seconds(61))));
  cr_assert(subject.VersionOf("t", "r") == "absent");
}
