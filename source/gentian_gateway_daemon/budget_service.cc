#include "gentian_gateway_daemon/budget_service.h"

#include <array>
#include <utility>

namespace gentian {

namespace {

constexpr const char* kClaimPrefix = "gentianrun/budget/";
constexpr const char* kReservePath = "/budget/reserve";
constexpr const char* kSettlePath = "/budget/settle";
constexpr int kOk = 200;
constexpr int kBadRequest = 400;
// Time for one write. The service answers in milliseconds; a slow one in some
// hundred.
constexpr milliseconds kWriteDeadline{900};
// Time for the owner's answer, which may include a write.
constexpr milliseconds kOwnerDeadline{1'000};
constexpr milliseconds kOwnerConnectLimit{150};
// Programs are unused for at most some seconds between two turns. A program
// that comes back later finds its claim in the key-value service.
constexpr milliseconds kAccountLifetime{120'000};

struct verdict_row {
  budget_verdict verdict;
  const char* name;
};

constexpr std::array<verdict_row, 3> kVerdicts = {{
    {budget_verdict::granted, "granted"},
    {budget_verdict::spent, "spent"},
    {budget_verdict::unavailable, "unavailable"},
}};

const char* NameOf(budget_verdict verdict) {
  return kVerdicts[static_cast<std::size_t>(verdict)].name;
}

budget_verdict ReadVerdict(const http_response& response) {
  const json body = json::parse(response.body, nullptr, false);
  if (response.status == kOk && body.is_object()) {
    for (const verdict_row& row : kVerdicts) {
      if (body.value("verdict", "") == row.name) {
        return row.verdict;
      }
    }
  }
  return budget_verdict::unavailable;
}

}  // namespace

budget_service::budget_service(key_value_store& store,
                               http_client& peers,
                               const gateway_settings& settings,
                               gateway_state& state,
                               const std::string& writer)
    : store_(store),
      peers_(peers),
      settings_(settings),
      state_(state),
      ledger_(writer) {}

budget_ticket budget_service::Reserve(const std::string& program,
                                      std::int64_t budget,
                                      std::int64_t most,
                                      verdict_handler handler) {
  const budget_ticket ticket = ++last_ticket_;
  pending_[ticket] = {program, budget, most, std::move(handler)};
  const member_record* owner = OwnerOf(program, state_.members);
  if (owner == nullptr || owner->host == settings_.host) {
    ReserveHere(ticket);
  } else {
    ReserveAt(owner->peer_address, ticket);
  }
  return ticket;
}

void budget_service::ReserveHere(budget_ticket ticket) {
  const steady_time now = BootTimeNow();
  if (now - forgotten_at_ > kAccountLifetime) {
    ledger_.Forget(now - kAccountLifetime);
    forgotten_at_ = now;
  }
  const pending& request = pending_.at(ticket);
  Execute(ledger_.Reserve(
      {request.program, request.budget, request.most, ticket}, now));
}

http_client_request budget_service::PeerRequest(const std::string& owner,
                                                const char* path,
                                                const json& body) const {
  http_client_request request;
  request.address = owner;
  request.method = "POST";
  request.target = path;
  request.body = body.dump();
  request.deadline = kOwnerDeadline;
  request.connect_limit = kOwnerConnectLimit;
  request.reuse_connection = true;
  return request;
}

void budget_service::ReserveAt(const std::string& owner, budget_ticket ticket) {
  const pending& request = pending_.at(ticket);
  peers_.Fetch(
      PeerRequest(owner, kReservePath,
                  {{"program", request.program},
                   {"budget", request.budget},
                   {"most", request.most}}),
      [this, owner, ticket](const http_response& response) {
        OnOwnerAnswer(owner, ticket, response);
      },
      [this, ticket](http_failure, const std::string&) {
        OnOwnerLost(ticket);
      });
}

void budget_service::OnOwnerAnswer(const std::string& owner,
                                   budget_ticket ticket,
                                   const http_response& response) {
  const budget_verdict verdict = ReadVerdict(response);
  if (verdict == budget_verdict::unavailable) {
    // The key-value service may turn the owner away and serve this daemon.
    OnOwnerLost(ticket);
    return;
  }
  Answer(ticket, verdict, owner);
}

void budget_service::OnOwnerLost(budget_ticket ticket) {
  state_.counters.Add("budget_owner_lost");
  if (pending_.count(ticket) > 0) {
    ReserveHere(ticket);
  }
}

void budget_service::Answer(budget_ticket ticket,
                            budget_verdict verdict,
                            const std::string& holder) {
  const auto found = pending_.find(ticket);
  if (found == pending_.end()) {
    // The caller left; tokens that an owner granted meanwhile are lost to the
    // program.
    return;
  }
  const verdict_handler handler = std::move(found->second.handler);
  pending_.erase(found);
  handler(verdict, holder);
}

void budget_service::Settle(const budget_settlement& settlement) {
  if (settlement.holder.empty()) {
    Execute(ledger_.Settle(settlement.program, settlement.reserved,
                           settlement.used, BootTimeNow()));
    return;
  }
  peers_.Fetch(
      PeerRequest(settlement.holder, kSettlePath,
                  {{"program", settlement.program},
                   {"reserved", settlement.reserved},
                   {"used", settlement.used}}),
      [](const http_response&) {},
      [this](http_failure, const std::string&) {
        // The tokens stay claimed and unused.
        state_.counters.Add("budget_settlement_lost");
      });
}

void budget_service::Abandon(budget_ticket ticket) {
  const auto found = pending_.find(ticket);
  if (found != pending_.end()) {
    ledger_.Abandon(found->second.program, ticket);
    pending_.erase(found);
  }
}

bool budget_service::AnswerPeer(
    const std::shared_ptr<http_exchange>& exchange) {
  const std::string path = exchange->request().Path();
  if (path != kReservePath && path != kSettlePath) {
    return false;
  }
  const json body = json::parse(exchange->request().body, nullptr, false);
  try {
    const std::string program = body.at("program").get<std::string>();
    if (path == kSettlePath) {
      Execute(ledger_.Settle(program, body.at("reserved").get<std::int64_t>(),
                             body.at("used").get<std::int64_t>(),
                             BootTimeNow()));
      exchange->Respond(JsonResponse(kOk, json::object()));
      return true;
    }
    const budget_ticket ticket = ++last_ticket_;
    pending_[ticket] = {
        program, body.at("budget").get<std::int64_t>(),
        body.at("most").get<std::int64_t>(),
        [exchange](budget_verdict verdict, const std::string&) {
          exchange->Respond(JsonResponse(kOk, {{"verdict", NameOf(verdict)}}));
        }};
    ReserveHere(ticket);
  } catch (const json::exception& failure) {
    exchange->Respond(JsonResponse(kBadRequest, {{"error", failure.what()}}));
  }
  return true;
}

void budget_service::Execute(budget_commands commands) {
  for (const auto& write : commands.writes) {
    Write(write);
  }
  for (const auto& verdict : commands.verdicts) {
    Answer(verdict.ticket, verdict.outcome, "");
  }
}

void budget_service::Write(const budget_commands::write& write) {
  kv_compare_and_swap operation;
  operation.key = kClaimPrefix + write.program;
  operation.expected_version = write.expected_version;
  operation.value = write.value;
  store_.Call(operation, kWriteDeadline,
              [this, program = write.program](const kv_answer& answer) {
                OnAnswer(program, answer);
              });
}

void budget_service::OnAnswer(const std::string& program,
                              const kv_answer& answer) {
  switch (answer.outcome) {
    case kv_answer::status::ok:
      Execute(ledger_.OnWritten(program, answer.revision));
      return;
    case kv_answer::status::conflict: {
      if (answer.entries.empty()) {
        Execute(ledger_.OnConflict(program, 0, std::nullopt));
        return;
      }
      const kv_entry& stored = answer.entries.front();
      const auto claim = DecodeClaim(stored.value);
      if (!claim) {
        // Nothing is known of what was spent, so nothing more is granted.
        Execute(ledger_.OnNoAnswer(program, false));
        return;
      }
      Execute(ledger_.OnConflict(program, stored.version, claim));
      return;
    }
    case kv_answer::status::not_sent:
      Execute(ledger_.OnNoAnswer(program, false));
      return;
    default:
      Execute(ledger_.OnNoAnswer(program, true));
      return;
  }
}

}  // namespace gentian
