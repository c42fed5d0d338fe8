#include "gentian_gateway_daemon/gateway_daemon.h"

#include <algorithm>
#include <array>
#include <utility>
#include <vector>

#include "gentian_daemon/connection_report.h"
#include "gentian_log/gentian_log.h"

namespace gentian {

namespace {

constexpr int kOk = 200;
constexpr int kNotFound = 404;
constexpr int kUnavailable = 503;
constexpr const char* kMetricsPath = "/metrics";
// Time for which callers may cache a directory response.
constexpr milliseconds kDirectoryMaxAge{2'000};
// Time for callers to learn that this daemon is stopping before it closes its
// listener. Until then it answers new requests and closes their connections.
constexpr milliseconds kListenerCloseDelay{2'500};
constexpr milliseconds kStopPollInterval{50};
// Time beyond the stable window for which the directory may name a gateway that
// has ended.
constexpr milliseconds kEndedGrace{3'000};
// Listings of the members at gateways that follow others by two steps are up to
// 1.7 s old while all is well.
constexpr milliseconds kMinDirectoryAge{2'000};
// Of the time until the forced end.
constexpr int kListenerCloseShare = 3;

// Limits that apply until a configuration is loaded.
http_server_limits CallerLimits(const connection_bounds& bounds) {
  http_server_limits limits;
  limits.max_connections = bounds.callers;
  limits.max_unsent_bytes = 1024 * 1024;
  return limits;
}

http_server_limits InternalLimits(std::size_t max_connections) {
  http_server_limits limits;
  limits.max_connections = max_connections;
  limits.max_body_bytes = 64 * 1024;
  return limits;
}

http_response Plain(int status, std::string body = "") {
  http_response response;
  response.status = status;
  response.body = std::move(body);
  return response;
}

}  // namespace

const std::array<gateway_daemon::listener, 4> gateway_daemon::kListeners = {{
    {"callers", &gateway_daemon::callers_},
    {"readiness", &gateway_daemon::readiness_},
    {"directory", &gateway_daemon::directory_},
    {"peers", &gateway_daemon::peers_},
}};

gateway_daemon::gateway_daemon(io_pool& pool,
                               key_value_store& store,
                               const gateway_protocol& protocol,
                               gateway_settings settings,
                               const std::string& incarnation)
    : pool_(pool),
      protocol_(protocol),
      settings_(std::move(settings)),
      bounds_(BoundConnections(settings_.descriptors, settings_.memory)),
      state_(settings_),
      target_client_(pool),
      peer_client_(pool),
      allowances_(peer_client_, settings_, state_),
      publisher_(pool, store, state_.counters, [this] { reader_.Refresh(); }),
      limits_(peer_client_, settings_, state_, publisher_),
      crashes_(peer_client_, settings_, state_, publisher_),
      turns_(pool, store, peer_client_, settings_, state_, incarnation),
      histories_(pool, peer_client_, settings_, state_),
      origins_(pool, peer_client_, settings_, state_),
      paths_(pool, settings_, state_),
      reader_(
          pool,
          store,
          peer_client_,
          protocol,
          settings_,
          state_,
          incarnation,
          [this] { ApplyCallerLimits(); },
          [this](const std::vector<kv_entry>& entries) {
            limits_.OnRegistry(entries);
            crashes_.OnRegistry(entries);
          }),
      environment_{settings_, protocol, state_,         pool,       allowances_,
                   limits_,   crashes_, turns_,         histories_, origins_,
                   paths_,    reader_,  target_client_, open_calls_},
      callers_(
          pool,
          [this](std::shared_ptr<http_exchange> exchange) {
            std::make_shared<gateway_call>(environment_, std::move(exchange))
                ->Start();
          },
          CallerLimits(bounds_)),
      readiness_(
          pool,
          [this](const std::shared_ptr<http_exchange>& exchange) {
            AnswerReadiness(*exchange);
          },
          InternalLimits(bounds_.services)),
      directory_(
          pool,
          [this](const std::shared_ptr<http_exchange>& exchange) {
            AnswerDirectory(*exchange);
          },
          InternalLimits(bounds_.services)),
      peers_(
          pool,
          [this](const std::shared_ptr<http_exchange>& exchange) {
            AnswerPeer(exchange);
          },
          InternalLimits(bounds_.peers)),
      stopping_(
          pool,
          kStopPollInterval,
          [this](const repeating_task::round& round) { FinishStop(round); }) {
  for (const listener& next : kListeners) {
    LogRefusedConnections(this->*next.server, next.name);
    ReportUnreadRequests(
        this->*next.server, next.name,
        [this](const std::string& counter) { state_.counters.Add(counter); });
  }
}

gateway_daemon::~gateway_daemon() = default;

// Answers a request that has not come as a whole. No call exists for it.
http_response gateway_daemon::RefuseUnread(const http_request& begin,
                                           const error& reason) {
  refusal answer{refusal_reason::malformed, reason.retry_after};
  switch (reason.kind) {
    case error_kind::too_large:
      answer.reason = refusal_reason::too_large;
      break;
    case error_kind::overloaded:
      answer.reason = refusal_reason::no_memory;
      break;
    case error_kind::draining:
      answer.reason = refusal_reason::stopping;
      break;
    default:
      break;
  }
  state_.counters.Add(std::string("refused.") + NameOf(answer.reason));
  const std::optional<caller_call> call = protocol_.DecodeCall(begin);
  const std::string request_id = call ? call->request_id : std::string();
  Log(log_level::info, "unfinished request refused",
      {{"request", request_id},
       {"outcome", NameOf(answer.reason)},
       {"detail", reason.message}});
  return protocol_.Refuse(answer, request_id);
}

result<success> gateway_daemon::Start() {
  callers_.SetRefusalMaker(
      [this](const http_request& begin, const error& reason) {
        return RefuseUnread(begin, reason);
      });
  result<success> listening = Bind();
  if (!Failed(listening)) {
    listening = paths_.Start();
  }
  if (Failed(listening)) {
    return listening;
  }
  for (http_server* server : {&peers_, &directory_, &readiness_, &callers_}) {
    if (server->is_bound()) {
      server->Serve();
    }
  }
  reader_.Start();
  return listening;
}

// A process before this one on the host closes the address of its peers last,
// so that nothing else is taken from it before.
result<success> gateway_daemon::Bind() {
  const std::vector<std::pair<http_server*, const std::string*>> listeners = {
      {&peers_, &settings_.peer_address},
      {&directory_, &settings_.directory_address},
      {&readiness_, &settings_.readiness_address},
      {&callers_, &settings_.caller_address}};
  for (const auto& [server, address] : listeners) {
    if (address->empty() || server->is_bound()) {
      continue;
    }
    result<success> bound = server->Bind(*address);
    if (Failed(bound)) {
      return bound;
    }
  }
  return success{};
}

void gateway_daemon::ApplyCallerLimits() {
  const gateway_configuration::parts& configured =
      state_.configuration.current()->content();
  http_server_limits limits = CallerLimits(bounds_);
  limits.max_header_bytes = configured.max_header_bytes;
  // gateway_call refuses larger bodies, once their route is known.
  limits.max_body_bytes =
      std::max(limits.max_body_bytes, configured.max_body_bytes);
  limits.header_deadline = configured.header_timeout;
  limits.idle_deadline = configured.idle_timeout;
  callers_.SetLimits(limits);
}

void gateway_daemon::AnswerReadiness(http_exchange& exchange) const {
  const bool known = exchange.request().Path() == protocol_.ReadinessPath();
  if (!known) {
    exchange.Respond(Plain(kNotFound));
    return;
  }
  const bool ready = state_.CanServe(BootTimeNow());
  exchange.Respond(Plain(ready ? kOk : kUnavailable));
}

void gateway_daemon::AnswerDirectory(http_exchange& exchange) const {
  if (exchange.request().Path() != protocol_.DirectoryPath()) {
    exchange.Respond(Plain(kNotFound));
    return;
  }
  const directory_query query =
      protocol_.DecodeDirectoryQuery(exchange.request());
  const shared_configuration configuration = state_.configuration.current();
  const auto region = settings_.regions.find(query.failure_domain);
  const std::vector<std::string> addresses = AddressesFor(
      NamedGateways(),
      configuration ? configuration->HomesOf(query.host)
                    : std::vector<std::vector<std::string>>(),
      query.region.empty() && region != settings_.regions.end() ? region->second
                                                                : query.region);
  if (addresses.empty()) {
    exchange.Respond(Plain(kUnavailable));
    return;
  }
  exchange.Respond(protocol_.DirectoryAnswer(addresses, kDirectoryMaxAge));
}

std::string gateway_daemon::RegionOf(const member_record& member) const {
  const auto found = settings_.regions.find(member.failure_domain);
  if (found != settings_.regions.end()) {
    return found->second;
  }
  return member.host == settings_.host ? settings_.region : std::string();
}

// A record that was listed proves that its gateway was there one lease before.
// While the key-value service doesn't answer, all members are named: callers
// would crowd at the few gateways that still answer otherwise.
std::vector<named_gateway> gateway_daemon::NamedGateways() const {
  const steady_time now = BootTimeNow();
  const bool can_serve = state_.CanServe(now);
  steady_time since{};
  if (settings_.stable_window) {
    since = now -
            std::max(kMinDirectoryAge, *settings_.stable_window + kEndedGrace -
                                           lease_registration::kLeaseTtl);
    if (!state_.store_reached || !state_.membership.last_listing()) {
      since = steady_time{};
    }
  }
  std::vector<named_gateway> gateways;
  for (const auto& [key, member] : state_.membership.members()) {
    const bool is_known = member.host == settings_.host
                              ? can_serve
                              : state_.membership.WasListed(key, since);
    if (!member.stopping && is_known) {
      gateways.push_back({member.caller_address, RegionOf(member)});
    }
  }
  return gateways;
}

void gateway_daemon::AnswerPeer(
    const std::shared_ptr<http_exchange>& exchange) {
  if (turns_.AnswerPeer(exchange) || allowances_.AnswerPeer(exchange) ||
      limits_.AnswerPeer(exchange) || crashes_.AnswerPeer(exchange) ||
      reader_.AnswerPeer(exchange)) {
    return;
  }
  if (exchange->request().Path() != kMetricsPath) {
    exchange->Respond(Plain(kNotFound));
    return;
  }
  state_.metrics.SetGauge("open_requests",
                          static_cast<double>(open_calls_.size()));
  state_.metrics.SetGauge(
      "members", static_cast<double>(state_.membership.members().size()));
  state_.metrics.SetGauge(
      "limited_targets",
      static_cast<double>(state_.targets.LimitedTargets().size()));
  limits_.ReportColdTargets();
  state_.metrics.SetGauge(
      "evacuated_domains",
      static_cast<double>(state_.targets.evacuations().size()));
  state_.metrics.SetGauge(
      "turn_stores_accepting",
      static_cast<double>(state_.turn_stores.accepting().size()));
  state_.metrics.SetGauge("message_memory_bytes",
                          static_cast<double>(pool_.message_memory().used()));
  state_.metrics.SetGauge(
      "messages_without_memory",
      static_cast<double>(pool_.message_memory().taken_back()));
  for (const listener& next : kListeners) {
    ReportConnections(state_.metrics, this->*next.server, next.name);
  }
  ReportDomains();
  state_.metrics.SetGauge("open_tunnels",
                          static_cast<double>(paths_.tunnels()));
  ReportProcessUsage(state_.metrics, settings_.memory, settings_.descriptors);
  reader_.ReportAges();
  const log_losses losses = GetLogLosses();
  state_.metrics.SetGauge("log_lines_sampled",
                          static_cast<double>(losses.sampled_out));
  state_.metrics.SetGauge("log_lines_dropped",
                          static_cast<double>(losses.dropped));
  http_response page = Plain(kOk, state_.metrics.ToPrometheus(state_.counters));
  page.headers.Add("Content-Type", "text/plain");
  exchange->Respond(std::move(page));
}

void gateway_daemon::ReportDomains() {
  state_.domains.ForEach([this](const std::string& service,
                                const std::string& domain,
                                const domain_router& router) {
    const std::string name = service + "." + domain;
    state_.metrics.SetGauge("domain_left_share." + name, router.LeavingShare());
    state_.metrics.SetGauge("domain_left_reason." + name,
                            static_cast<double>(router.reason()));
  });
}

void gateway_daemon::Stop(std::function<void()> on_stopped) {
  if (state_.stop.HasBegun()) {
    return;
  }
  on_stopped_ = std::move(on_stopped);
  state_.stop.Begin(BootTimeNow(), settings_.stop_grace);
  // Before what may fail, so that the process ends in any case.
  stopping_.StartAfter(std::min(kListenerCloseDelay,
                                settings_.stop_grace / kListenerCloseShare));
  Log(log_level::info, "stopping", {{"open_requests", open_calls_.size()}});
  reader_.AnnounceStop();
  callers_.CloseAfterAnswers();
}

// An exception in one of the last steps must not keep the others from running,
// nor the process from ending.
void gateway_daemon::FinishStop(const repeating_task::round& round) {
  static constexpr std::array<void (gateway_daemon::*)(), 5> kEndSteps = {
      &gateway_daemon::CloseListeners, &gateway_daemon::LogEnd,
      &gateway_daemon::EndCalls, &gateway_daemon::ReleaseTurns,
      &gateway_daemon::Deregister};
  if (end_step_ == kEndSteps.size()) {
    round.End();
    on_stopped_();
    return;
  }
  if (end_step_ == 1 && IsAnswering() &&
      BootTimeNow() < state_.stop.ends_at()) {
    return;
  }
  const auto step = kEndSteps[end_step_++];
  (this->*step)();
  // The rest is time to send the last response bytes and the deregistration.
  round.RunAgainAfter(end_step_ == kEndSteps.size() ? 2 * kStopPollInterval
                                                    : milliseconds(0));
}

bool gateway_daemon::IsAnswering() const {
  return callers_.busy_connections() > 0 || !open_calls_.empty() ||
         paths_.busy_tunnels() > 0;
}

void gateway_daemon::CloseListeners() {
  callers_.StopAccepting();
  paths_.Stop();
}

void gateway_daemon::LogEnd() {
  Log(log_level::info, "stopped",
      {{"ended_requests", open_calls_.size()},
       {"busy_connections", callers_.busy_connections()}});
}

// Callers must not be left without an answer.
void gateway_daemon::EndCalls() {
  const open_call_set unfinished = open_calls_;
  for (const auto& [key, unfinished_call] : unfinished) {
    if (const auto call = unfinished_call.lock()) {
      call->EndForStop();
    }
  }
  callers_.EndReceiving(error{error_kind::draining, "this host is stopping",
                              "send the request to another host"});
}

void gateway_daemon::ReleaseTurns() {
  turns_.Release();
}

void gateway_daemon::Deregister() {
  reader_.Deregister();
}

}  // namespace gentian
