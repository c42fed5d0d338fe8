#ifndef TESTS_PLATFORM_PLATFORM_FAKES_H_
#define TESTS_PLATFORM_PLATFORM_FAKES_H_

#include <atomic>
#include <functional>
#include <map>
#include <memory>
#include <mutex>
#include <string>
#include <utility>

#include "gentian_adapters/key_value_store.h"
#include "gentian_net/gentian_net.h"

namespace gentian::testing {

/** In-memory key-value store in place of the platform's metadata store.
    Thread-safe. Daemons call it through a fake_store_client each. */
class fake_metadata_store {
 public:
  /** Makes all calls fail with the status not_sent. */
  void SetUnavailable(bool unavailable) { unavailable_ = unavailable; }

  /** Makes all calls end at their deadlines without an answer. */
  void SetUnresponsive(bool unresponsive) { unresponsive_ = unresponsive; }

  void Put(const std::string& key, const std::string& value) {
    const std::lock_guard<std::mutex> lock(mutex_);
    Write(key, value);
  }

  /** Writes several keys, so that no listing shows a part of them. */
  void PutAll(const std::map<std::string, std::string>& values) {
    const std::lock_guard<std::mutex> lock(mutex_);
    for (const auto& [key, value] : values) {
      Write(key, value);
    }
  }

  /** Writes a key again with the value that it has. */
  void Touch(const std::string& key) {
    const std::lock_guard<std::mutex> lock(mutex_);
    const auto found = items_.find(key);
    if (found != items_.end()) {
      Write(key, std::string(found->second.value));
    }
  }

  /** The value of a key; empty if it is absent. */
  std::string Value(const std::string& key) {
    const std::lock_guard<std::mutex> lock(mutex_);
    const auto found = items_.find(key);
    return found == items_.end() ? "" : found->second.value;
  }

  void Remove(const std::string& key) {
    const std::lock_guard<std::mutex> lock(mutex_);
    Erase(key);
  }

  bool is_unresponsive() const { return unresponsive_; }

  /** Calls that wrote claims on budgets. */
  int claim_calls() const { return claim_calls_; }

  kv_answer Answer(const kv_operation& operation) {
    if (unavailable_) {
      kv_answer answer;
      answer.outcome = kv_answer::status::not_sent;
      return answer;
    }
    const std::lock_guard<std::mutex> lock(mutex_);
    return std::visit([this](const auto& value) { return Do(value); },
                      operation);
  }

 private:
  static kv_answer Ok() {
    kv_answer answer;
    answer.outcome = kv_answer::status::ok;
    return answer;
  }

  kv_answer Do(const kv_list& operation) {
    kv_answer answer = Ok();
    for (const auto& [key, item] : items_) {
      if (key.rfind(operation.prefix, 0) == 0) {
        answer.entries.push_back(item);
      }
    }
    answer.revision = revision_;
    return answer;
  }

  kv_answer Do(const kv_get& operation) {
    kv_answer answer = Ok();
    const auto found = items_.find(operation.key);
    if (found != items_.end()) {
      answer.entries.push_back(found->second);
    }
    return answer;
  }

  kv_answer Do(const kv_compare_and_swap& operation) {
    const auto found = items_.find(operation.key);
    const std::uint64_t version =
        found == items_.end() ? 0 : found->second.version;
    kv_answer answer = Ok();
    if (version != operation.expected_version) {
      answer.outcome = kv_answer::status::conflict;
      if (found != items_.end()) {
        answer.entries.push_back(found->second);
      }
      return answer;
    }
    Write(operation.key, operation.value);
    answer.revision = revision_;
    return answer;
  }

  kv_answer Do(const kv_write_batch& operation) {
    kv_answer answer = Ok();
    const bool is_claim =
        operation.writes.front().key.rfind("gentianrun/budget/", 0) == 0;
    claim_calls_ += is_claim ? 1 : 0;
    for (const kv_compare_and_swap& write : operation.writes) {
      const auto found = items_.find(write.key);
      const bool exists = found != items_.end();
      if (write.expected_version != (exists ? found->second.version : 0)) {
        answer.outcome = kv_answer::status::conflict;
      }
      if (exists) {
        answer.entries.push_back(found->second);
      }
    }
    if (answer.outcome == kv_answer::status::ok) {
      answer.entries.clear();
      ++revision_;
      for (const kv_compare_and_swap& write : operation.writes) {
        items_[write.key] = {write.key, write.value, revision_};
        changes_.emplace(revision_, write.key);
      }
    }
    answer.revision = revision_;
    return answer;
  }

  kv_answer Do(const kv_delete& operation) {
    Erase(operation.key);
    return Ok();
  }

  kv_answer Do(const kv_watch& operation) {
    kv_answer answer = Ok();
    answer.revision = revision_;
    for (const auto& [revision, key] : changes_) {
      if (revision <= operation.after_revision ||
          key.rfind(operation.prefix, 0) != 0) {
        continue;
      }
      answer.last_change = revision;
      const auto found = items_.find(key);
      if (found == items_.end()) {
        answer.deleted.push_back(key);
      } else if (found->second.version == revision) {
        answer.entries.push_back(found->second);
      }
    }
    return answer;
  }

  kv_answer Do(const kv_grant_lease&) {
    kv_answer answer = Ok();
    answer.lease = 1;
    return answer;
  }

  kv_answer Do(const kv_renew_lease&) { return Ok(); }

  // The gateway daemon uses no other operations.
  template <typename Other>
  kv_answer Do(const Other&) {
    return kv_answer{};
  }

  void Write(const std::string& key, const std::string& value) {
    items_[key] = {key, value, ++revision_};
    changes_.emplace(revision_, key);
  }

  void Erase(const std::string& key) {
    if (items_.erase(key) > 0) {
      changes_.emplace(++revision_, key);
    }
  }

  std::atomic<bool> unavailable_{false};
  std::atomic<bool> unresponsive_{false};
  std::atomic<int> claim_calls_{0};
  std::mutex mutex_;
  std::uint64_t revision_ = 0;
  std::map<std::string, kv_entry> items_;
  /** Keys by the revision of each of their changes; a batch changes several
      under one. */
  std::multimap<std::uint64_t, std::string> changes_;
};

/** A daemon's connection to a fake_metadata_store. */
class fake_store_client : public key_value_store {
 public:
  /** @param pool  the daemon's pool, on which its handlers have to run */
  fake_store_client(fake_metadata_store& store, io_pool& pool)
      : store_(store), pool_(pool) {}

  void Call(const kv_operation& operation,
            milliseconds deadline,
            answer_handler handler) override {
    const bool lost = store_.is_unresponsive() || IsDropped(operation);
    kv_answer answer = lost ? kv_answer() : store_.Answer(operation);
    if (const auto* watch = std::get_if<kv_watch>(&operation)) {
      const bool waits = answer.outcome == kv_answer::status::ok &&
                         answer.last_change == 0 && watch->wait > kWatchTick;
      if (waits) {
        kv_watch rest = *watch;
        rest.wait -= kWatchTick;
        pool_.After(kWatchTick,
                    [this, rest, deadline, handler = std::move(handler)] {
                      Call(rest, deadline, handler);
                    });
        return;
      }
    }
    {
      const std::lock_guard<std::mutex> lock(mutex_);
      for (kv_entry& entry : answer.entries) {
        const auto found = replaced_.find(entry.key);
        if (found != replaced_.end()) {
          entry.value = found->second;
        }
        bytes_ += entry.value.size();
      }
    }
    pool_.After(lost ? deadline : milliseconds(1),
                [handler = std::move(handler), answer] { handler(answer); });
  }

  /** From now on, reads of keys with this prefix end at their deadlines without
      an answer. */
  void Drop(const std::string& prefix) {
    const std::lock_guard<std::mutex> lock(mutex_);
    dropped_ = prefix;
  }

  /** Bytes of the values that the daemon was sent. */
  std::size_t bytes() const { return bytes_; }

  /** Shows the daemon another value under a key than the other daemons see. */
  void Replace(const std::string& key, const std::string& value) {
    {
      const std::lock_guard<std::mutex> lock(mutex_);
      replaced_[key] = value;
    }
    store_.Touch(key);
  }

 private:
  static constexpr milliseconds kWatchTick{5};

  bool IsDropped(const kv_operation& operation) {
    const std::lock_guard<std::mutex> lock(mutex_);
    const auto* list = std::get_if<kv_list>(&operation);
    const auto* watch = std::get_if<kv_watch>(&operation);
    return !dropped_.empty() &&
           ((list != nullptr && list->prefix == dropped_) ||
            (watch != nullptr && watch->prefix == dropped_));
  }

  fake_metadata_store& store_;
  io_pool& pool_;
  std::mutex mutex_;
  std::map<std::string, std::string> replaced_;
  std::string dropped_;
  std::atomic<std::size_t> bytes_{0};
};

/** HTTP server in place of a target: counts the requests that it receives and
    responds as the handler of the test does. */
class fake_target {
 public:
  using request_handler =
      std::function<void(std::shared_ptr<http_exchange>, int run)>;

  fake_target(io_pool& pool, request_handler handler)
      : handler_(std::move(handler)),
        server_(pool, [this](std::shared_ptr<http_exchange> exchange) {
          handler_(std::move(exchange), ++runs_);
        }) {
    server_.Listen("127.0.0.1:0");
  }

  std::string address() const { return server_.address(); }

  /** Closes all connections and takes no more. */
  void Stop() { server_.Stop(); }

  int runs() const { return runs_; }

  /** Header fields of a signed response to a request. */
  static http_headers SealedHeaders(const http_exchange& exchange) {
    http_headers headers;
    headers.Add("Request-Id", exchange.request().headers.Find("Request-Id"));
    headers.Add("Response-Seal", "seal");
    return headers;
  }

  /** Responds with status 200, a signature and the body. */
  static void RespondSealed(const std::shared_ptr<http_exchange>& exchange,
                            const std::string& body) {
    exchange->Respond({200, SealedHeaders(*exchange), body});
  }

 private:
  request_handler handler_;
  std::atomic<int> runs_{0};
  http_server server_;
};

}  // namespace gentian::testing

#endif  // TESTS_PLATFORM_PLATFORM_FAKES_H_
