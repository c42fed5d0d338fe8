#include "gentian_adapters/etcd_key_value_store.h"

#include <memory>
#include <utility>

#include "gentian_adapters/etcd_codec.h"
#include "gentian_adapters/etcd_watch.h"

namespace gentian {

namespace {

using status = kv_answer::status;

constexpr int kOk = 200;
constexpr int kNotFound = 404;

kv_answer Outcome(status outcome) {
  kv_answer answer;
  answer.outcome = outcome;
  return answer;
}

kv_answer OkAnswer(const json& body) {
  kv_answer answer = Outcome(status::ok);
  answer.revision =
      ReadEtcdNumber(body.value("header", json::object()), "revision");
  return answer;
}

kv_answer ReadRange(const json& body) {
  kv_answer answer = OkAnswer(body);
  const json entries = body.value("kvs", json::array());
  // Throws for anything but an array.
  for (const json& entry : entries.get_ref<const json::array_t&>()) {
    answer.entries.push_back(ReadEtcdEntry(entry));
  }
  return answer;
}

struct conditional_change {
  std::string key;
  std::uint64_t expected_version = 0;
  json change;
};

// A transaction that makes all changes if each key's mod_revision is the
// expected one, and else reads the keys.
json Transaction(const std::vector<conditional_change>& changes) {
  json compare = json::array();
  json success = json::array();
  json failure = json::array();
  for (const conditional_change& next : changes) {
    const std::string key = EncodeBase64(next.key);
    compare.push_back(
        {{"key", key},
         {"target", "MOD"},
         {"result", "EQUAL"},
         {"mod_revision", std::to_string(next.expected_version)}});
    success.push_back(next.change);
    failure.push_back({{"requestRange", {{"key", key}}}});
  }
  return {{"compare", compare}, {"success", success}, {"failure", failure}};
}

conditional_change PutOf(const kv_compare_and_swap& write) {
  json put{{"key", EncodeBase64(write.key)},
           {"value", EncodeBase64(write.value)}};
  if (write.lease != 0) {
    put["lease"] = std::to_string(write.lease);
  }
  return {write.key, write.expected_version, {{"requestPut", put}}};
}

kv_answer ReadConflict(const json& body) {
  kv_answer answer = Outcome(status::conflict);
  answer.revision = OkAnswer(body).revision;
  for (const json& response : body.value("responses", json::array())) {
    if (response.contains("response_range")) {
      for (kv_entry& entry : ReadRange(response["response_range"]).entries) {
        answer.entries.push_back(std::move(entry));
      }
    }
  }
  return answer;
}

bool Succeeded(const json& body) {
  const auto found = body.find("succeeded");
  return found != body.end() && *found == true;
}

kv_answer ReadHttpError(const http_response& response) {
  const json body = ParseEtcdMessage(response.body);
  const auto reason = body.find("error");
  const bool lease_missing =
      response.status == kNotFound && reason != body.end() &&
      reason->is_string() &&
      reason->get_ref<const std::string&>().find("lease") != std::string::npos;
  // Any other error may have come after the change took effect.
  return Outcome(lease_missing ? status::lease_expired : status::no_answer);
}

kv_answer FailureAnswer(http_failure failure) {
  return Outcome(failure == http_failure::not_sent ? status::not_sent
                                                   : status::no_answer);
}

}  // namespace

etcd_key_value_store::etcd_key_value_store(io_pool& pool,
                                           std::string address,
                                           std::shared_ptr<tls_context> tls)
    : pool_(pool),
      client_(pool, std::move(tls)),
      address_(std::move(address)) {}

void etcd_key_value_store::Call(const kv_operation& operation,
                                milliseconds deadline,
                                answer_handler handler) {
  std::visit(
      [&](const auto& value) { Start(value, deadline, std::move(handler)); },
      operation);
}

void etcd_key_value_store::Post(const char* path,
                                const json& body,
                                milliseconds deadline,
                                answer_handler handler,
                                std::function<kv_answer(const json&)> read) {
  http_client_request request;
  request.address = address_;
  request.method = "POST";
  request.target = path;
  request.headers.Add("Content-Type", "application/json");
  request.body = body.dump();
  request.deadline = deadline;
  request.reuse_connection = true;
  const auto shared = std::make_shared<answer_handler>(std::move(handler));
  client_.Fetch(
      std::move(request),
      [shared, read = std::move(read)](const http_response& response) {
        if (response.status != kOk) {
          (*shared)(ReadHttpError(response));
          return;
        }
        kv_answer answer = Outcome(status::no_answer);
        try {
          answer = read(ParseEtcdMessage(response.body));
        } catch (const json::exception&) {
          // An answer that can not be read says nothing about the effect.
          answer = Outcome(status::no_answer);
        }
        (*shared)(std::move(answer));
      },
      [shared](http_failure failure, const std::string&) {
        (*shared)(FailureAnswer(failure));
      });
}

void etcd_key_value_store::Start(const kv_get& operation,
                                 milliseconds deadline,
                                 answer_handler handler) {
  Post("/v3/kv/range", {{"key", EncodeBase64(operation.key)}}, deadline,
       std::move(handler), ReadRange);
}

void etcd_key_value_store::Start(const kv_list& operation,
                                 milliseconds deadline,
                                 answer_handler handler) {
  Post("/v3/kv/range",
       {{"key", EncodeBase64(operation.prefix)},
        {"range_end", EncodeBase64(EndOfPrefix(operation.prefix))},
        {"serializable", operation.may_be_stale}},
       deadline, std::move(handler), ReadRange);
}

void etcd_key_value_store::Start(const kv_compare_and_swap& operation,
                                 milliseconds deadline,
                                 answer_handler handler) {
  Start(kv_write_batch{{operation}}, deadline, std::move(handler));
}

void etcd_key_value_store::Start(const kv_write_batch& operation,
                                 milliseconds deadline,
                                 answer_handler handler) {
  std::vector<conditional_change> changes;
  for (const kv_compare_and_swap& write : operation.writes) {
    changes.push_back(PutOf(write));
  }
  Post("/v3/kv/txn", Transaction(changes), deadline, std::move(handler),
       [operation](const json& body) {
         if (!Succeeded(body)) {
           return ReadConflict(body);
         }
         kv_answer answer = OkAnswer(body);
         // A write's mod_revision is the revision of its transaction.
         for (const kv_compare_and_swap& write : operation.writes) {
           answer.entries.push_back(
               kv_entry{write.key, write.value, answer.revision});
         }
         return answer;
       });
}

void etcd_key_value_store::Start(const kv_delete& operation,
                                 milliseconds deadline,
                                 answer_handler handler) {
  Post(
      "/v3/kv/txn",
      Transaction(
          {{operation.key,
            operation.expected_version,
            {{"requestDeleteRange", {{"key", EncodeBase64(operation.key)}}}}}}),
      deadline, std::move(handler), [](const json& body) {
        return Succeeded(body) ? OkAnswer(body) : ReadConflict(body);
      });
}

void etcd_key_value_store::Start(const kv_grant_lease& operation,
                                 milliseconds deadline,
                                 answer_handler handler) {
  // The API counts in whole seconds; a longer lease is safe, a shorter is not.
  const auto seconds = (operation.time_to_live.count() + 999) / 1000;
  Post("/v3/lease/grant", {{"TTL", std::to_string(seconds)}, {"ID", "0"}},
       deadline, std::move(handler), [](const json& body) {
         kv_answer answer = OkAnswer(body);
         answer.lease = ReadEtcdNumber(body, "ID");
         if (answer.lease == 0) {
           answer.outcome = status::no_answer;
         }
         return answer;
       });
}

void etcd_key_value_store::Start(const kv_renew_lease& operation,
                                 milliseconds deadline,
                                 answer_handler handler) {
  Post("/v3/lease/keepalive", {{"ID", std::to_string(operation.lease)}},
       deadline, std::move(handler),
       [lease = operation.lease](const json& body) {
         const json& inner = body.at("result");
         kv_answer answer = OkAnswer(inner);
         answer.lease = lease;
         if (ReadEtcdNumber(inner, "TTL") == 0) {
           answer.outcome = status::lease_expired;
         }
         return answer;
       });
}

void etcd_key_value_store::Start(const kv_watch& operation,
                                 milliseconds deadline,
                                 answer_handler handler) {
  StartEtcdWatch(pool_, client_, address_, operation, deadline,
                 std::move(handler));
}

}  // namespace gentian
