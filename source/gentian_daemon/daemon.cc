#include "gentian_daemon/daemon.h"

#include <atomic>
#include <condition_variable>
#include <mutex>
#include <optional>
#include <utility>

#include "gentian_daemon/admin_api.h"
#include "gentian_daemon/caller_api.h"
#include "gentian_daemon/connection_report.h"
#include "gentian_daemon/decision_loop.h"
#include "gentian_daemon/fleet_snapshot.h"
#include "gentian_daemon/peer_exchange.h"
#include "gentian_daemon/supervisor.h"
#include "gentian_log/gentian_log.h"
#include "gentian_net/connection_bounds.h"
#include "gentian_net/http_server.h"

namespace gentian {

namespace {

constexpr milliseconds kQuietStreamCheck{250};
constexpr milliseconds kLoadPollInterval{250};
constexpr milliseconds kHostListInterval{1'000};
constexpr milliseconds kCertificateCheck{5'000};
// Time for the last bytes of answers to reach their callers.
constexpr milliseconds kFlushDeadline{5'000};
constexpr milliseconds kAdminExpiryCheck{500};
constexpr std::size_t kMegabyte = 1024 * 1024;

node_identity IdentityOf(const daemon_options& options) {
  node_identity identity;
  identity.host = options.host;
  identity.failure_domain = options.failure_domain;
  identity.peer_address = options.peer_address;
  identity.caller_address = options.caller_address;
  identity.has_data_folder = !options.data_folder.empty();
  return identity;
}

http_server_limits ServerLimits(std::size_t max_connections) {
  http_server_limits limits;
  limits.max_connections = max_connections;
  return limits;
}

// A request is parsed, and copied without the caller's key.
std::size_t CostOfBody(const std::string& body) {
  return 2 * JsonCost(body, kMaxJsonValues);
}

}  // namespace

class daemon::parts {
 public:
  parts(daemon_options options,
        initial_settings initial,
        io_pool& pool,
        daemon_platform platform)
      : options_(std::move(options)),
        initial_(std::move(initial)),
        pool_(pool),
        platform_(platform),
        api_([this](event input) { PostFromCaller(std::move(input)); },
             [this] { return loop_->IsOverloaded(); },
             [this](error_kind kind) { latencies_.CountRefusal(kind); }),
        admin_([this](event input) { loop_->Post(std::move(input)); },
               [](const write_log& line) {
                 Log(line.severity, line.message, line.fields);
               },
               options_.operators_by_key_hash,
               latencies_),
        supervisor_(
            [this](duration delay, std::function<void()> action) {
              pool_.After(delay, std::move(action));
            },
            [this](const error& reason) { Finish(reason); }) {
    AddChildren();
  }

  ~parts() { supervisor_.Stop(); }

  result<success> Start() {
    result<success> bound = BindAddresses();
    if (Failed(bound)) {
      return bound;
    }
    CreateLoop();
    return supervisor_.Start();
  }

  void RequestStop() {
    Log(log_level::info, "graceful shutdown begins");
    stopping_ = true;
    server_->CloseAfterAnswers();
    admin_.StartDraining();
    loop_->Post(stop_requested{});
    pool_.After(options_.stop_deadline, [this] {
      Finish(error{error_kind::internal, "requests still ran at the deadline",
                   "give stops more time, or limit calls to less"});
    });
  }

  result<success> WaitUntilStopped() {
    std::unique_lock<std::mutex> lock(mutex_);
    changed_.wait(lock, [this] { return outcome_.has_value(); });
    lock.unlock();
    supervisor_.Stop();
    return *outcome_;
  }

  std::string caller_address() const { return server_->address(); }
  std::string admin_address() const {
    return admin_server_ ? admin_server_->address() : "";
  }

 private:
  // Before the loop starts, because the node tells others the real ports.
  result<success> BindAddresses() {
    if (options_.caller_tls.IsServer()) {
      caller_tls_ = std::make_shared<tls_context>(options_.caller_tls);
      result<success> loaded = caller_tls_->Reload();
      if (Failed(loaded)) {
        return loaded;
      }
    }
    // Of an earlier attempt.
    server_.reset();
    peers_.reset();
    admin_server_.reset();
    server_ = std::make_unique<http_server>(
        pool_,
        [this](const std::shared_ptr<http_exchange>& exchange) {
          api_.Handle(exchange);
        },
        ServerLimits(bounds_.callers), caller_tls_);
    ReportUnread(*server_, "callers");
    server_->SetBodyCost(&CostOfBody);
    result<success> bound = server_->Bind(options_.caller_address);
    if (Failed(bound)) {
      return bound;
    }
    options_.caller_address = server_->address();
    bound = BindPeers();
    return Failed(bound) ? bound : BindAdmin();
  }

  result<success> BindPeers() {
    if (options_.cluster_key_file.empty()) {
      return success{};
    }
    const result<std::string> key = ReadClusterKey(options_.cluster_key_file);
    if (Failed(key)) {
      return ErrorOf(key);
    }
    peers_ = std::make_unique<peer_exchange>(
        pool_, options_.host, ValueOf(key),
        [this](event input) { loop_->Post(std::move(input)); });
    result<success> bound = peers_->Bind(options_.peer_address);
    if (!Failed(bound)) {
      options_.peer_address = peers_->address();
    }
    return bound;
  }

  result<success> BindAdmin() {
    if (options_.admin_address.empty()) {
      return success{};
    }
    admin_server_ = std::make_unique<http_server>(
        pool_,
        [this](const std::shared_ptr<http_exchange>& exchange) {
          admin_.Handle(exchange);
        },
        ServerLimits(bounds_.services), caller_tls_);
    ReportUnread(*admin_server_, "admin");
    admin_server_->SetBodyCost(&CostOfBody);
    return admin_server_->Bind(options_.admin_address);
  }

  void ReportUnread(http_server& server, const std::string& listener) {
    ReportUnreadRequests(server, listener, [this](const std::string& counter) {
      latencies_.CountUnread(counter);
    });
  }

  void CreateLoop() {
    const auto own = initial_.settings.daemons.find(options_.host);
    if (own != initial_.settings.daemons.end()) {
      own->second.caller_address = options_.caller_address;
      own->second.peer_address = options_.peer_address;
      // Later versions are built from the tree, which may name port 0.
      initial_.tree.Apply({{"/daemons/" + options_.host.text(),
                            "caller_address", options_.caller_address}});
    }
    loop_ = std::make_unique<decision_loop>(
        IdentityOf(options_), initial_, random_,
        [this](command next) { Execute(std::move(next)); },
        [this](const cluster_view& view) { Observe(view); },
        [this](const error& reason) { Finish(reason); });
  }

  void Observe(const cluster_view& view) {
    auto addresses = fleet_.Update(view, options_.peers);
    if (peers_) {
      peers_->SetAddresses(std::move(addresses));
    }
  }

  void AddChildren() {
    platform_.targets->SetSink(
        [this](event input) { loop_->Post(std::move(input)); });
    supervisor_.Add({"decision loop",
                     [this] {
                       loop_->Start();
                       return result<success>();
                     },
                     [this] { loop_->Stop(); },
                     {}});
    supervisor_.Add({"peer links",
                     [this] {
                       if (peers_) {
                         peers_->Serve();
                       }
                       return result<success>();
                     },
                     [this] {
                       if (peers_) {
                         peers_->Stop();
                       }
                     },
                     {}});
    supervisor_.Add({"target adapters",
                     [this] { return StartPolling(); },
                     [this] { load_timer_.reset(); },
                     {}});
    supervisor_.Add({"host list",
                     [this] { return StartHostList(); },
                     [this] { host_timer_.reset(); },
                     {}});
    supervisor_.Add({"callers' interface",
                     [this] { return StartCallers(); },
                     [this] { StopCallers(); },
                     {}});
    supervisor_.Add({"administration interface",
                     [this] { return StartAdmin(); },
                     [this] { StopAdmin(); },
                     {}});
  }

  result<success> StartPolling() {
    load_timer_ = std::make_unique<periodic_timer>(pool_, kLoadPollInterval,
                                                   [this] { PollTargets(); });
    return success{};
  }

  void PollTargets() {
    for (const target_settings& target : fleet_.Targets()) {
      platform_.targets->PollLoad(target.id, target.address);
      if (target.cache_tokens > 0) {
        platform_.targets->PollCacheEvents(target.id, target.address);
      }
    }
  }

  result<success> StartHostList() {
    if (platform_.hosts == nullptr) {
      return success{};
    }
    host_timer_ = std::make_unique<periodic_timer>(pool_, kHostListInterval,
                                                   [this] { ReadHostList(); });
    return success{};
  }

  void ReadHostList() {
    platform_.hosts->Read(
        [this](const result<std::vector<host_list_entry>>& entries) {
          if (!Failed(entries)) {
            loop_->Post(host_list_received{ValueOf(entries)});
          }
        });
  }

  result<success> StartCallers() {
    server_->Serve();
    if (caller_tls_) {
      tls_timer_ = std::make_unique<periodic_timer>(
          pool_, kCertificateCheck, [this] { ReloadCertificates(); });
    }
    quiet_timer_ = std::make_unique<periodic_timer>(pool_, kQuietStreamCheck,
                                                    [this] { CheckCallers(); });
    return success{};
  }

  void ReloadCertificates() {
    const result<success> loaded = caller_tls_->ReloadIfChanged();
    if (Failed(loaded)) {
      Log(log_level::error, "the previous certificate stays in use",
          {{"reason", ErrorOf(loaded).message},
           {"remedy", ErrorOf(loaded).remedy}});
    }
  }

  void CheckCallers() {
    api_.StartQuietStreams();
    // A fleet of one daemon has no successor to hand its sessions to.
    if (stopping_ && fleet_.IsAlone() && api_.open_requests() == 0) {
      Finish(success{});
    }
  }

  void StopCallers() {
    quiet_timer_.reset();
    tls_timer_.reset();
    server_->StopAccepting();
    server_->WaitUntilIdle(kFlushDeadline);
    server_->Stop();
  }

  result<success> StartAdmin() {
    if (admin_server_) {
      admin_server_->Serve();
      admin_timer_ = std::make_unique<periodic_timer>(
          pool_, kAdminExpiryCheck,
          [this] { admin_.Expire(std::chrono::steady_clock::now()); });
    }
    return success{};
  }

  void StopAdmin() {
    admin_timer_.reset();
    if (admin_server_) {
      admin_server_->Stop();
    }
  }

  void PostFromCaller(event input) {
    latencies_.Observe(input, std::chrono::steady_clock::now());
    loop_->Post(std::move(input));
  }

  void Execute(command next) {
    std::visit([this](auto& value) { Carry(value); }, next);
  }

  void Carry(const reply_to_caller& reply) {
    latencies_.Observe(reply, std::chrono::steady_clock::now());
    api_.Reply(reply);
  }
  void Carry(const reply_to_operator& reply) { admin_.Reply(reply); }
  void Carry(const send_to_peer& message) {
    if (peers_) {
      peers_->Send(loop_->cluster().self(), message);
    }
  }
  void Carry(const call_kv& call) {
    if (platform_.key_values == nullptr) {
      kv_answer answer;
      answer.outcome = kv_answer::status::not_sent;
      loop_->Post(kv_answered{call.id, answer});
      return;
    }
    platform_.key_values->Call(
        call.operation, call.deadline, [this, id = call.id](kv_answer answer) {
          loop_->Post(kv_answered{id, std::move(answer)});
        });
  }
  void Carry(const dispatch_call& call) { platform_.targets->Dispatch(call); }
  void Carry(const cancel_dispatch& cancel) {
    platform_.targets->Cancel(cancel.id);
  }
  void Carry(const order_target& order) { platform_.targets->Order(order); }
  void Carry(const write_log& line) {
    Log(line.severity, line.message, line.fields);
  }
  void Carry(const stop_completed& /*stop*/) { Finish(success{}); }

  void Finish(result<success> outcome) {
    {
      const std::lock_guard<std::mutex> lock(mutex_);
      if (outcome_) {
        return;
      }
      outcome_ = std::move(outcome);
    }
    changed_.notify_all();
  }

  daemon_options options_;
  initial_settings initial_;
  io_pool& pool_;
  daemon_platform platform_;
  system_random random_;
  fleet_snapshot fleet_;
  std::shared_ptr<tls_context> caller_tls_;
  std::unique_ptr<peer_exchange> peers_;
  std::unique_ptr<decision_loop> loop_;
  latency_recorder latencies_;
  caller_api api_;
  admin_api admin_;
  supervisor supervisor_;
  const connection_bounds bounds_ =
      BoundConnections(0, options_.memory_mb* kMegabyte);
  std::unique_ptr<http_server> server_;
  std::unique_ptr<http_server> admin_server_;
  std::unique_ptr<periodic_timer> quiet_timer_;
  std::unique_ptr<periodic_timer> tls_timer_;
  std::unique_ptr<periodic_timer> admin_timer_;
  std::unique_ptr<periodic_timer> load_timer_;
  std::unique_ptr<periodic_timer> host_timer_;
  std::atomic<bool> stopping_{false};
  std::mutex mutex_;
  std::condition_variable changed_;
  std::optional<result<success>> outcome_;
};

daemon::daemon(daemon_options options,
               initial_settings initial,
               io_pool& pool,
               daemon_platform platform)
    : parts_(std::make_unique<parts>(std::move(options),
                                     std::move(initial),
                                     pool,
                                     platform)) {}

daemon::~daemon() = default;

result<success> daemon::Start() {
  return parts_->Start();
}

void daemon::RequestStop() {
  parts_->RequestStop();
}

result<success> daemon::WaitUntilStopped() {
  return parts_->WaitUntilStopped();
}

std::string daemon::caller_address() const {
  return parts_->caller_address();
}

std::string daemon::admin_address() const {
  return parts_->admin_address();
}

}  // namespace gentian
