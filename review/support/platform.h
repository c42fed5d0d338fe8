// A stand-in of the platform's metadata store, as PROTOCOL describes it.
#ifndef REVIEW_SUPPORT_PLATFORM_H_
#define REVIEW_SUPPORT_PLATFORM_H_

#include <nlohmann/json.hpp>

#include "net.h"

namespace review {

using nlohmann::json;

inline std::string EncodeBase64(const std::string& bytes) {
  static const char* digits =
      "ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";
  std::string out;
  for (std::size_t i = 0; i < bytes.size(); i += 3) {
    std::uint32_t group = 0;
    for (std::size_t j = 0; j < 3; ++j) {
      group = group << 8 | (i + j < bytes.size()
                                ? static_cast<unsigned char>(bytes[i + j])
                                : 0U);
    }
    for (std::size_t j = 0; j < 4; ++j) {
      out += i + j > bytes.size() ? '='
                                  : digits[group >> (18 - 6 * j) & 63U];
    }
  }
  return out;
}

inline std::string DecodeBase64(const std::string& text) {
  std::string out;
  std::uint32_t group = 0;
  int bits = 0;
  for (const char next : text) {
    int value;
    if (next >= 'A' && next <= 'Z') {
      value = next - 'A';
    } else if (next >= 'a' && next <= 'z') {
      value = next - 'a' + 26;
    } else if (next >= '0' && next <= '9') {
      value = next - '0' + 52;
    } else if (next == '+') {
      value = 62;
    } else if (next == '/') {
      value = 63;
    } else {
      break;
    }
    group = group << 6 | static_cast<std::uint32_t>(value);
    bits += 6;
    if (bits >= 8) {
      bits -= 8;
      out += static_cast<char>(group >> bits & 255U);
    }
  }
  return out;
}

inline std::string DecodeQuery(const std::string& target,
                               const std::string& name) {
  std::size_t at = target.find('?');
  while (at != std::string::npos) {
    const std::size_t start = at + 1;
    at = target.find('&', start);
    const std::string pair = target.substr(
        start, at == std::string::npos ? std::string::npos : at - start);
    const std::size_t equals = pair.find('=');
    if (pair.substr(0, equals) != name || equals == std::string::npos) {
      continue;
    }
    std::string out;
    for (std::size_t i = equals + 1; i < pair.size(); ++i) {
      if (pair[i] == '%' && i + 2 < pair.size()) {
        out += static_cast<char>(std::stoi(pair.substr(i + 1, 2), nullptr, 16));
        i += 2;
      } else {
        out += pair[i];
      }
    }
    return out;
  }
  return {};
}

/** What becomes of a call. */
enum class treatment {
  answered,
  /** Executed; its answer is lost and its channel returns nothing further. */
  lost,
  /** 503: nothing was done. */
  busy,
  /** Neither done nor answered; its channel returns nothing further. */
  silent,
};

/** The store. Its machines reach it at addresses of their own, so that what one
    machine sees of the servers can lead over its own links. */
class platform {
 public:
  /** Decides what becomes of a call, after its arrival.

      @param host  the machine that calls */
  using judge = std::function<
      treatment(const std::string& host, const message& call)>;
  /** Rewrites a value as a machine sees it. */
  using view = std::function<std::string(
      const std::string& host, const std::string& key, const std::string&)>;

  platform() {
    expiry_ = std::thread([this] {
      while (!stopping_) {
        Sleep(20);
        Expire();
      }
    });
  }
  ~platform() {
    stopping_ = true;
    expiry_.join();
  }

  /** Serves one machine at an address. */
  void Serve(const std::string& host, const std::string& address) {
    servers_.push_back(std::make_unique<server>(
        address, [this, host](int fd) { Run(host, fd); }));
  }

  void SetJudge(judge next) {
    const std::lock_guard<std::mutex> lock(mutex_);
    judge_ = std::move(next);
  }
  void SetView(view next) { view_ = std::move(next); }

  /** Called under the store's lock after each change of a key. */
  void SetObserver(
      std::function<void(const std::string& key, const std::string& value)>
          next) {
    const std::lock_guard<std::mutex> lock(mutex_);
    observer_ = std::move(next);
  }

  void Put(const std::string& key, const std::string& value) {
    const std::lock_guard<std::mutex> lock(mutex_);
    Write(key, value, 0);
  }

  void Remove(const std::string& key) {
    const std::lock_guard<std::mutex> lock(mutex_);
    if (items_.erase(key) > 0) {
      ++revision_;
    }
  }

  std::map<std::string, std::string> List(const std::string& prefix) {
    const std::lock_guard<std::mutex> lock(mutex_);
    std::map<std::string, std::string> out;
    for (const auto& [key, next] : items_) {
      if (key.rfind(prefix, 0) == 0) {
        out[key] = next.value;
      }
    }
    return out;
  }

 private:
  struct item {
    std::string value;
    std::uint64_t rev = 0;
    std::uint64_t create_rev = 0;
    std::uint64_t lease = 0;
  };
  struct lease {
    long ttl = 0;
    long until = 0;
  };

  void Write(const std::string& key,
             const std::string& value,
             std::uint64_t lease_id) {
    item& next = items_[key];
    next.value = value;
    next.rev = ++revision_;
    next.create_rev = next.create_rev == 0 ? revision_ : next.create_rev;
    next.lease = lease_id;
    if (observer_) {
      observer_(key, value);
    }
  }

  void Expire() {
    const std::lock_guard<std::mutex> lock(mutex_);
    for (auto next = leases_.begin(); next != leases_.end();) {
      if (Now() < next->second.until) {
        ++next;
        continue;
      }
      EndLease(next->first);
      next = leases_.erase(next);
    }
  }

  void EndLease(std::uint64_t id) {
    for (auto entry = items_.begin(); entry != items_.end();) {
      if (entry->second.lease == id) {
        entry = items_.erase(entry);
        ++revision_;
      } else {
        ++entry;
      }
    }
  }

  json Item(const std::string& host, const std::string& key, const item& next) {
    return {{"key", key},
            {"value", EncodeBase64(view_ ? view_(host, key, next.value)
                                         : next.value)},
            {"rev", next.rev},
            {"create_rev", next.create_rev},
            {"lease", next.lease}};
  }

  std::pair<int, json> Execute(const std::string& host, const message& call) {
    const std::string& target = call.second;
    const std::string path = target.substr(0, target.find('?'));
    const std::lock_guard<std::mutex> lock(mutex_);
    if (path == "/kv-key") {
      const std::string key = DecodeQuery(target, "key");
      const auto found = items_.find(key);
      if (found == items_.end()) {
        return {404, json::object()};
      }
      json out = Item(host, key, found->second);
      out["as_of"] = revision_;
      return {200, out};
    }
    if (path == "/kv-range") {
      const std::string prefix = DecodeQuery(target, "prefix");
      const std::string after = DecodeQuery(target, "after");
      json items = json::array();
      for (const auto& [key, next] : items_) {
        if (key.rfind(prefix, 0) == 0 && key > after) {
          items.push_back(Item(host, key, next));
        }
      }
      return {200,
              {{"items", items}, {"truncated", false}, {"as_of", revision_}}};
    }
    if (path == "/kv-lease") {
      const long ttl = json::parse(call.body).at("ttl_ms").get<long>();
      leases_[++last_lease_] = {ttl, Now() + ttl};
      return {200, {{"lease", last_lease_}, {"ttl_ms", ttl}}};
    }
    if (path.rfind("/kv-keep/", 0) == 0) {
      const auto found = leases_.find(std::stoull(path.substr(9)));
      if (found == leases_.end()) {
        return {404, json::object()};
      }
      found->second.until = Now() + found->second.ttl;
      return {200, {{"ttl_ms", found->second.ttl}}};
    }
    if (path.rfind("/kv-lease-end/", 0) == 0) {
      const std::uint64_t id = std::stoull(path.substr(14));
      EndLease(id);
      leases_.erase(id);
      return {200, json::object()};
    }
    if (path == "/kv-txn") {
      return ExecuteTransaction(host, json::parse(call.body));
    }
    return {404, json::object()};
  }

  std::pair<int, json> ExecuteTransaction(const std::string& host,
                                          const json& body) {
    bool holds = true;
    json items = json::array();
    for (const json& row : body.value("expect", json::array())) {
      const std::string key = row.at("key").get<std::string>();
      const auto found = items_.find(key);
      const std::uint64_t rev = found == items_.end() ? 0 : found->second.rev;
      holds = holds && rev == row.at("rev").get<std::uint64_t>();
      if (found != items_.end()) {
        items.push_back(Item(host, key, found->second));
      }
    }
    if (!holds) {
      return {412, {{"items", items}}};
    }
    for (const json& put : body.value("puts", json::array())) {
      const std::uint64_t id = put.value("lease", std::uint64_t{0});
      if (id != 0 && leases_.count(id) == 0) {
        return {404, json::object()};
      }
    }
    for (const json& put : body.value("puts", json::array())) {
      Write(put.at("key").get<std::string>(),
            DecodeBase64(put.at("value").get<std::string>()),
            put.value("lease", std::uint64_t{0}));
    }
    for (const json& key : body.value("remove", json::array())) {
      items_.erase(key.get<std::string>());
      ++revision_;
    }
    return {200, {{"rev", revision_}}};
  }

  void Run(const std::string& host, int fd) {
    connection from(fd);
    while (true) {
      message call;
      if (!ReadRequest(from, call)) {
        return;
      }
      judge decide;
      {
        const std::lock_guard<std::mutex> lock(mutex_);
        decide = judge_;
      }
      Sleep(4);
      const treatment fate =
          decide ? decide(host, call) : treatment::answered;
      std::pair<int, json> out = {503, json::object()};
      if (fate == treatment::answered || fate == treatment::lost) {
        out = Execute(host, call);
      }
      if (fate == treatment::lost || fate == treatment::silent) {
        // Nothing further comes on this channel.
        while (from.Fill() == read_end::data) {
        }
        return;
      }
      const std::string body = out.second.dump();
      if (!SendAll(fd, "HTTP/1.1 " + std::to_string(out.first) +
                           " Status\r\nContent-Type: application/json\r\n"
                           "Content-Length: " +
                           std::to_string(body.size()) + "\r\n\r\n" + body)) {
        return;
      }
    }
  }

  std::mutex mutex_;
  std::map<std::string, item> items_;
  std::map<std::uint64_t, lease> leases_;
  std::uint64_t revision_ = 10;
  std::uint64_t last_lease_ = 1000;
  judge judge_;
  view view_;
  std::function<void(const std::string&, const std::string&)> observer_;
  std::atomic<bool> stopping_{false};
  std::thread expiry_;
  std::vector<std::unique_ptr<server>> servers_;
};

}  // namespace review

#endif  // REVIEW_SUPPORT_PLATFORM_H_
