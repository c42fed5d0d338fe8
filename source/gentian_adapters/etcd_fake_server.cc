#include "gentian_adapters/etcd_fake_server.h"

#include <mutex>
#include <utility>
#include <vector>

#include "gentian_adapters/etcd_codec.h"

namespace gentian {

namespace {

constexpr int kOk = 200;
constexpr int kBadRequest = 400;
constexpr int kNotFound = 404;
constexpr milliseconds kLeaseCheck{50};

json Header(std::uint64_t revision) {
  return {{"revision", std::to_string(revision)}};
}

json EntryJson(const std::string& key, const stored_value& stored) {
  return {{"key", EncodeBase64(key)},
          {"value", EncodeBase64(stored.value)},
          {"create_revision", std::to_string(stored.create_revision)},
          {"mod_revision", std::to_string(stored.mod_revision)},
          {"version", std::to_string(stored.version)},
          {"lease", std::to_string(stored.lease)}};
}

json ChangeJson(const stored_change& change) {
  if (!change.deleted) {
    return {{"kv", EntryJson(change.key, change.value)}};
  }
  return {{"type", "DELETE"},
          {"kv",
           {{"key", EncodeBase64(change.key)},
            {"mod_revision", std::to_string(change.revision)}}}};
}

bool InRange(const std::string& key,
             const std::string& first,
             const std::string& end) {
  return end.empty() ? key == first : key >= first && key < end;
}

struct watcher {
  std::shared_ptr<http_exchange> exchange;
  std::string first;
  std::string end;
};

}  // namespace

struct etcd_fake_server::state : std::enable_shared_from_this<state> {
  explicit state(key_value_fake& values) : store(values) {}

  using route = json (state::*)(const json&);

  json Range(const json& body) {
    json entries = json::array();
    for (const auto& [key, stored] : store.Range(
             ReadEtcdBytes(body, "key"), ReadEtcdBytes(body, "range_end"))) {
      entries.push_back(EntryJson(key, stored));
    }
    return {{"header", Header(store.revision())}, {"kvs", entries}};
  }

  json Transaction(const json& body) {
    const json& changes = body.at("success");
    std::optional<std::uint64_t> revision;
    if (changes.at(0).contains("requestPut")) {
      std::vector<conditional_put> puts;
      for (std::size_t i = 0; i < changes.size(); ++i) {
        const json& compare = body.at("compare").at(i);
        const json& put = changes.at(i).at("requestPut");
        puts.push_back({ReadEtcdBytes(compare, "key"),
                        ReadEtcdBytes(put, "value"),
                        ReadEtcdNumber(put, "lease"),
                        ReadEtcdNumber(compare, "mod_revision")});
        if (puts.back().lease != 0 && !store.HasLease(puts.back().lease)) {
          return json();
        }
      }
      revision = store.PutAll(puts);
    } else {
      const json& compare = body.at("compare").at(0);
      revision = store.Delete(ReadEtcdBytes(compare, "key"),
                              ReadEtcdNumber(compare, "mod_revision"));
    }
    if (revision) {
      return {{"header", Header(*revision)}, {"succeeded", true}};
    }
    json responses = json::array();
    for (const json& read : body.at("failure")) {
      responses.push_back({{"response_range", Range(read.at("requestRange"))}});
    }
    return {{"header", Header(store.revision())},
            {"succeeded", false},
            {"responses", responses}};
  }

  json Grant(const json& body) {
    const std::chrono::seconds time_to_live(ReadEtcdNumber(body, "TTL"));
    const std::uint64_t lease =
        store.Grant(time_to_live, std::chrono::steady_clock::now());
    return {{"header", Header(store.revision())},
            {"ID", std::to_string(lease)},
            {"TTL", std::to_string(time_to_live.count())}};
  }

  json KeepAlive(const json& body) {
    const std::uint64_t lease = ReadEtcdNumber(body, "ID");
    const milliseconds left =
        store.Renew(lease, std::chrono::steady_clock::now());
    return {{"result",
             {{"header", Header(store.revision())},
              {"ID", std::to_string(lease)},
              {"TTL", std::to_string(left.count() / 1000)}}}};
  }

  json Revoke(const json& body) {
    store.Revoke(ReadEtcdNumber(body, "ID"));
    return {{"header", Header(store.revision())}};
  }

  void Watch(const std::shared_ptr<http_exchange>& exchange, const json& body) {
    const json& create = body.at("create_request");
    watcher added{exchange, ReadEtcdBytes(create, "key"),
                  ReadEtcdBytes(create, "range_end")};
    exchange->StartChunks({});
    Send(added, {{"header", Header(store.revision())}, {"created", true}});
    const std::uint64_t start = ReadEtcdNumber(create, "start_revision");
    const auto missed = store.ChangesSince(start);
    if (start > 0 && !missed) {
      Send(added, {{"canceled", true},
                   {"compact_revision", std::to_string(store.revision())}});
      exchange->EndStream();
      return;
    }
    json events = json::array();
    for (const stored_change& change :
         start > 0 ? *missed : std::vector<stored_change>()) {
      if (InRange(change.key, added.first, added.end)) {
        events.push_back(ChangeJson(change));
      }
    }
    if (!events.empty()) {
      Send(added, {{"header", Header(store.revision())}, {"events", events}});
    }
    const std::uint64_t id = ++last_watcher;
    exchange->SetDisconnectHandler([weak = weak_from_this(), id] {
      if (const auto me = weak.lock()) {
        const std::lock_guard<std::recursive_mutex> lock(me->mutex);
        me->watchers.erase(id);
      }
    });
    watchers[id] = std::move(added);
  }

  static void Send(const watcher& to, const json& body) {
    to.exchange->SendChunk(json{{"result", body}}.dump() + "\n");
  }

  void Changed(const stored_change& change) {
    const std::lock_guard<std::recursive_mutex> lock(mutex);
    for (const auto& [id, next] : watchers) {
      if (available && InRange(change.key, next.first, next.end)) {
        Send(next, {{"header", Header(change.revision)},
                    {"events", {ChangeJson(change)}}});
      }
    }
  }

  void Handle(const std::shared_ptr<http_exchange>& exchange) {
    static const std::map<std::string, route> routes = {
        {"/v3/kv/range", &state::Range},
        {"/v3/kv/txn", &state::Transaction},
        {"/v3/lease/grant", &state::Grant},
        {"/v3/lease/keepalive", &state::KeepAlive},
        {"/v3/lease/revoke", &state::Revoke}};
    const std::string path = exchange->request().Path();
    const json body = json::parse(exchange->request().body);
    if (path == "/v3/watch") {
      Watch(exchange, body);
      return;
    }
    const auto found = routes.find(path);
    if (found == routes.end()) {
      exchange->Respond(JsonResponse(kNotFound, {{"error", "Not Found"}}));
      return;
    }
    const json answer = (this->*found->second)(body);
    if (lost_answers > 0 && path == "/v3/kv/txn") {
      --lost_answers;
      exchange->Abort();
    } else if (answer.is_null()) {
      exchange->Respond(JsonResponse(
          kNotFound, {{"error", "etcdserver: requested lease not found"}}));
    } else {
      exchange->Respond(JsonResponse(kOk, answer));
    }
  }

  key_value_fake& store;
  // Recursive: a change made by Handle reaches Changed on the same thread.
  // It is always locked before the store's own mutex.
  mutable std::recursive_mutex mutex;
  bool available = true;
  int lost_answers = 0;
  std::uint64_t last_watcher = 0;
  std::map<std::uint64_t, watcher> watchers;
  std::map<std::string, std::uint64_t> calls;
};

etcd_fake_server::etcd_fake_server(io_pool& pool, key_value_fake& store)
    : state_(std::make_shared<state>(store)) {
  store.SetListener(
      [weak = std::weak_ptr<state>(state_)](const stored_change& change) {
        if (const auto me = weak.lock()) {
          me->Changed(change);
        }
      });
  timer_ = std::make_unique<periodic_timer>(pool, kLeaseCheck, [me = state_] {
    const std::lock_guard<std::recursive_mutex> lock(me->mutex);
    me->store.Expire(std::chrono::steady_clock::now());
  });
}

etcd_fake_server::~etcd_fake_server() {
  timer_.reset();
  state_->store.SetListener(nullptr);
}

void etcd_fake_server::Serve(const std::shared_ptr<http_exchange>& exchange) {
  const std::lock_guard<std::recursive_mutex> lock(state_->mutex);
  ++state_->calls[exchange->request().Path()];
  if (!state_->available) {
    exchange->Abort();
    return;
  }
  try {
    state_->Handle(exchange);
  } catch (const json::exception& failure) {
    exchange->Respond(JsonResponse(kBadRequest, {{"error", failure.what()}}));
  }
}

void etcd_fake_server::SetAvailable(bool available) {
  const std::lock_guard<std::recursive_mutex> lock(state_->mutex);
  state_->available = available;
  if (available) {
    return;
  }
  for (const auto& [id, next] : state_->watchers) {
    next.exchange->Abort();
  }
  state_->watchers.clear();
}

void etcd_fake_server::LoseAnswers(int count) {
  const std::lock_guard<std::recursive_mutex> lock(state_->mutex);
  state_->lost_answers = count;
}

std::map<std::string, std::uint64_t> etcd_fake_server::Calls() const {
  const std::lock_guard<std::recursive_mutex> lock(state_->mutex);
  return state_->calls;
}

}  // namespace gentian
