#include "key_value_server.h"

#include <utility>

namespace gentian::soak {

namespace {

constexpr milliseconds kLatency{4};
constexpr int kOk = 200;
constexpr int kNotFound = 404;
constexpr int kPreconditionFailed = 412;
constexpr milliseconds kWatchTick{5};

std::string Unescape(const std::string& text) {
  constexpr int kHex = 16;
  std::string out;
  for (std::size_t i = 0; i < text.size(); ++i) {
    if (text[i] == '%' && i + 2 < text.size()) {
      out += static_cast<char>(std::stoi(text.substr(i + 1, 2), nullptr, kHex));
      i += 2;
    } else {
      out += text[i];
    }
  }
  return out;
}

std::string QueryOf(const std::string& target, const std::string& name) {
  std::size_t at = target.find('?');
  while (at != std::string::npos) {
    const std::size_t start = at + 1;
    at = target.find('&', start);
    const std::string pair = target.substr(start, at - start);
    if (pair.rfind(name + "=", 0) == 0) {
      return Unescape(pair.substr(name.size() + 1));
    }
  }
  return {};
}

// The number at the end of a path.
std::uint64_t IdOf(const std::string& path) {
  return std::stoull(path.substr(path.rfind('/') + 1));
}

}  // namespace

key_value_server::key_value_server(io_pool& pool, view see)
    : pool_(pool), see_(std::move(see)) {}

std::string key_value_server::Serve(const std::string& host) {
  servers_.push_back(std::make_unique<http_server>(
      pool_, [this, host](std::shared_ptr<http_exchange> exchange) {
        pool_.After(kLatency, [this, host, exchange = std::move(exchange)] {
          Answer(host, exchange);
        });
      }));
  servers_.back()->Listen("127.0.0.1:0");
  return servers_.back()->address();
}

void key_value_server::Put(const std::string& key, const std::string& value) {
  const std::lock_guard<std::mutex> lock(mutex_);
  Write(key, value, 0);
}

void key_value_server::Remove(const std::string& key) {
  const std::lock_guard<std::mutex> lock(mutex_);
  Erase(key);
}

bool key_value_server::Contains(const std::string& key) {
  const std::lock_guard<std::mutex> lock(mutex_);
  return items_.count(key) > 0;
}

void key_value_server::Answer(const std::string& host,
                              const std::shared_ptr<http_exchange>& exchange) {
  const std::lock_guard<std::mutex> lock(mutex_);
  Expire();
  const http_request& request = exchange->request();
  if (request.Path() == "/kv-watch") {
    const milliseconds wait(std::stoll(QueryOf(request.target, "wait_ms")));
    Watch(host, exchange, BootTimeNow() + wait);
  } else {
    exchange->Respond(Execute(host, request));
  }
}

void key_value_server::Watch(const std::string& host,
                             const std::shared_ptr<http_exchange>& exchange,
                             steady_time until) {
  const std::string& target = exchange->request().target;
  json events = EventsAfter(host, std::stoull(QueryOf(target, "after")),
                            QueryOf(target, "prefix"));
  if (!events.empty() || BootTimeNow() >= until) {
    exchange->Respond(JsonResponse(
        kOk, {{"events", std::move(events)}, {"as_of", revision_}}));
    return;
  }
  pool_.After(kWatchTick, [this, host, exchange, until] {
    const std::lock_guard<std::mutex> lock(mutex_);
    Expire();
    Watch(host, exchange, until);
  });
}

json key_value_server::EventsAfter(const std::string& host,
                                   std::uint64_t revision,
                                   const std::string& prefix) const {
  json events = json::array();
  for (auto next = changes_.upper_bound(revision); next != changes_.end();
       ++next) {
    const auto& [changed_at, key] = *next;
    if (key.rfind(prefix, 0) != 0) {
      continue;
    }
    const auto found = items_.find(key);
    if (found == items_.end()) {
      events.push_back({{"key", key}, {"rev", changed_at}, {"removed", true}});
    } else if (found->second.version == changed_at) {
      events.push_back(ItemOf(host, key, found->second));
    }
  }
  return events;
}

http_response key_value_server::Execute(const std::string& host,
                                        const http_request& request) {
  const std::string path = request.Path();
  if (path == "/kv-range") {
    return List(host, request.target);
  }
  if (path == "/kv-key") {
    const auto found = items_.find(QueryOf(request.target, "key"));
    return found == items_.end()
               ? JsonResponse(kNotFound, json::object())
               : JsonResponse(kOk, ItemOf(host, found->first, found->second));
  }
  if (path == "/kv-txn") {
    return Transact(host, json::parse(request.body));
  }
  if (path == "/kv-lease") {
    const milliseconds lifetime(
        json::parse(request.body).at("ttl_ms").get<milliseconds::rep>());
    leases_[++last_lease_] = {lifetime, BootTimeNow() + lifetime};
    return JsonResponse(kOk,
                        {{"lease", last_lease_}, {"ttl_ms", lifetime.count()}});
  }
  if (path.rfind("/kv-keep/", 0) == 0) {
    const auto found = leases_.find(IdOf(path));
    if (found == leases_.end()) {
      return JsonResponse(kNotFound, json::object());
    }
    found->second.until = BootTimeNow() + found->second.lifetime;
    return JsonResponse(kOk, {{"ttl_ms", found->second.lifetime.count()}});
  }
  if (path.rfind("/kv-lease-end/", 0) == 0) {
    EndLease(IdOf(path));
    return JsonResponse(kOk, json::object());
  }
  return JsonResponse(kNotFound, json::object());
}

http_response key_value_server::List(const std::string& host,
                                     const std::string& target) {
  const std::string prefix = QueryOf(target, "prefix");
  json items = json::array();
  for (auto next = items_.lower_bound(prefix);
       next != items_.end() && next->first.rfind(prefix, 0) == 0; ++next) {
    items.push_back(ItemOf(host, next->first, next->second));
  }
  return JsonResponse(
      kOk, {{"items", items}, {"truncated", false}, {"as_of", revision_}});
}

http_response key_value_server::Transact(const std::string& host,
                                         const json& body) {
  bool holds = true;
  json current = json::array();
  for (const json& row : body.at("expect")) {
    const auto found = items_.find(row.at("key").get<std::string>());
    const bool exists = found != items_.end();
    holds = holds && row.at("rev").get<std::uint64_t>() ==
                         (exists ? found->second.version : 0);
    if (exists) {
      current.push_back(ItemOf(host, found->first, found->second));
    }
  }
  if (!holds) {
    return JsonResponse(kPreconditionFailed, {{"items", current}});
  }
  for (const json& put : body.at("puts")) {
    const auto lease = put.value("lease", std::uint64_t{0});
    if (lease != 0 && leases_.count(lease) == 0) {
      return JsonResponse(kNotFound, json::object());
    }
  }
  for (const json& put : body.at("puts")) {
    Write(put.at("key").get<std::string>(),
          DecodeBase64(put.at("value").get<std::string>()),
          put.value("lease", std::uint64_t{0}));
  }
  for (const json& key : body.at("remove")) {
    Erase(key.get<std::string>());
  }
  return JsonResponse(kOk, {{"rev", revision_}});
}

json key_value_server::ItemOf(const std::string& host,
                              const std::string& key,
                              const item& subject) const {
  return {{"key", key},
          {"value", EncodeBase64(see_(host, key, subject.value))},
          {"rev", subject.version},
          {"create_rev", subject.version},
          {"lease", subject.lease}};
}

void key_value_server::Write(const std::string& key,
                             std::string value,
                             std::uint64_t lease) {
  items_[key] = {std::move(value), ++revision_, lease};
  changes_[revision_] = key;
}

void key_value_server::Erase(const std::string& key) {
  if (items_.erase(key) > 0) {
    changes_[++revision_] = key;
  }
}

void key_value_server::Expire() {
  const steady_time now = BootTimeNow();
  for (auto next = leases_.begin(); next != leases_.end();) {
    const auto subject = next++;
    if (now >= subject->second.until) {
      EndLease(subject->first);
    }
  }
}

void key_value_server::EndLease(std::uint64_t id) {
  leases_.erase(id);
  for (auto next = items_.begin(); next != items_.end();) {
    const auto subject = next++;
    if (subject->second.lease == id) {
      const std::string key = subject->first;
      Erase(key);
    }
  }
}

}  // namespace gentian::soak
