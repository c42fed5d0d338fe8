#include "gentian_gateway_daemon/allowance_service.h"

#include <algorithm>
#include <utility>

#include "gentian_log/gentian_log.h"

namespace gentian {

namespace {

using outcome = allowance_verdict::outcome;

constexpr const char* kTakePath = "/allowance/take";
constexpr const char* kReturnPath = "/allowance/return";
constexpr int kOk = 200;
constexpr int kBadRequest = 400;
// A holder answers within a few milliseconds, and requests have deadlines of
// at least a second.
constexpr milliseconds kPeerTimeout{200};
constexpr milliseconds kPeerConnectTimeout{100};
// A second holder may have tokens left when the first has none. Asking more
// holders costs more than it gains.
constexpr std::size_t kMaxHoldersQueried = 2;
// Longest time that a request waits for a token. A caller that is refused comes
// back after about as long, and has used up one of its retries.
constexpr milliseconds kMaxWait{300};
// Longest time for which a team counts as over its allowance without asking
// other holders again.
constexpr milliseconds kMaxUsedUp{250};
// Daemons from which on shares are small: they refill more slowly than requests
// of a team come in clusters. With fewer, a share that is used up nearly always
// means a team that is over its allowance.
constexpr std::size_t kManyMembers = 16;
// A new holder doesn't grant yet; the caller retries after this delay.
constexpr milliseconds kNewHolderRetryAfter{300};

}  // namespace

allowance_service::allowance_service(http_client& peers,
                                     const gateway_settings& settings,
                                     gateway_state& state)
    : peers_(peers, {kPeerTimeout, kPeerConnectTimeout}),
      state_(state),
      self_(MemberKey(settings.host)) {}

bool allowance_service::HasSmallShares() const {
  return state_.membership.members().size() >= kManyMembers;
}

bool allowance_service::IsUsedUp(const gateway_team& team,
                                 steady_time now) const {
  const auto found = used_up_until_.find(team.name);
  return found != used_up_until_.end() && now < found->second;
}

void allowance_service::SetUsedUp(const std::string& team, milliseconds wait) {
  const steady_time now = BootTimeNow();
  for (auto next = used_up_until_.begin(); next != used_up_until_.end();) {
    next = next->second <= now ? used_up_until_.erase(next) : std::next(next);
  }
  used_up_until_[team] = now + std::min(wait, kMaxUsedUp);
}

allowance_verdict allowance_service::TakeLocally(const gateway_team& team,
                                                 milliseconds max_wait) {
  const allowance_meter::reservation taken = state_.allowances.Reserve(
      team, state_.holders.HoldersOf(team.name).size(), max_wait,
      BootTimeNow());
  return {taken.made ? outcome::granted : outcome::refused, taken.wait, self_};
}

bool allowance_service::MayGrant(const gateway_team& team) const {
  return state_.holders.MayGrant(team.name, BootTimeNow());
}

std::vector<std::string> allowance_service::OtherHolders(
    const gateway_team& team,
    const std::string& request_id,
    std::size_t most) const {
  const std::vector<std::string>& holders = state_.holders.HoldersOf(team.name);
  std::vector<std::string> others;
  const std::size_t start =
      holders.empty() ? 0 : StableHash(request_id) % holders.size();
  for (std::size_t i = 0; i < holders.size() && others.size() < most; ++i) {
    const std::string& holder = holders[(start + i) % holders.size()];
    const std::string address = PeerAddressOf(holder);
    if (holder != self_ && !address.empty() && !peers_.IsAvoided(address)) {
      others.push_back(holder);
    }
  }
  return others;
}

void allowance_service::Take(const gateway_team& team,
                             const std::string& request_id,
                             milliseconds max_wait,
                             verdict_handler handler) {
  if (team.rate <= 0) {
    handler({outcome::granted, milliseconds(0), ""});
    return;
  }
  const auto subject = std::make_shared<holder_query>();
  std::size_t most_queried = kMaxHoldersQueried;
  if (MayGrant(team)) {
    subject->verdict = TakeLocally(team, milliseconds(0));
    if (subject->verdict.result == outcome::granted || !HasSmallShares() ||
        IsUsedUp(team, BootTimeNow())) {
      handler(subject->verdict);
      return;
    }
    most_queried = 1;
  }
  subject->team = team.name;
  subject->max_wait = std::min(max_wait, kMaxWait);
  subject->handler = std::move(handler);
  subject->holders = OtherHolders(team, request_id, most_queried);
  QueryNextHolder(subject);
}

void allowance_service::QueryNextHolder(
    const std::shared_ptr<holder_query>& subject) {
  if (subject->next == subject->holders.size()) {
    ReserveNextToken(subject);
    return;
  }
  const std::string holder = subject->holders[subject->next++];
  AskHolder(
      subject, holder, milliseconds(0),
      [this, subject](const allowance_verdict& verdict) {
        OnHolderVerdict(subject, verdict);
      },
      [this, subject] { QueryNextHolder(subject); });
}

void allowance_service::AskHolder(const std::shared_ptr<holder_query>& subject,
                                  const std::string& holder,
                                  milliseconds max_wait,
                                  verdict_handler on_verdict,
                                  std::function<void()> on_failure) {
  const std::string address = PeerAddressOf(holder);
  const auto failed =
      std::make_shared<std::function<void()>>(std::move(on_failure));
  json question = {{"team", subject->team}};
  if (max_wait.count() > 0) {
    question["max_wait_ms"] = max_wait.count();
  }
  peers_.Post(
      address, kTakePath, question,
      [this, holder, failed,
       on_verdict = std::move(on_verdict)](const http_response& response) {
        const json answer = ParseJsonMessage(response.body);
        if (!answer.is_object() || !answer.contains("wait_ms") ||
            !answer["wait_ms"].is_number_integer()) {
          state_.counters.Add("allowance_answer_unreadable");
          (*failed)();
          return;
        }
        const milliseconds wait(answer["wait_ms"].get<milliseconds::rep>());
        // A holder of the build before doesn't reserve tokens.
        const bool granted =
            wait.count() == 0 || answer.value("granted", json()) == json(true);
        on_verdict(
            {granted ? outcome::granted : outcome::refused, wait, holder});
      },
      [this, subject, holder, address, failed](http_failure,
                                               const std::string&) {
        // The holder may have charged the team; that token is lost.
        state_.counters.Add("allowance_holder_lost");
        Log(log_level::warning, "allowance holder is unreachable",
            {{"holder", holder},
             {"team", subject->team},
             {"not_asked_for_ms", peer_client::kAvoidDuration.count()}});
        peers_.Avoid(address);
        (*failed)();
      });
}

void allowance_service::OnHolderVerdict(
    const std::shared_ptr<holder_query>& subject,
    const allowance_verdict& verdict) {
  if (verdict.result == outcome::granted) {
    if (subject->verdict.result == outcome::refused) {
      state_.counters.Add("allowance_granted_by_second");
    }
    subject->handler(verdict);
    return;
  }
  if (subject->verdict.result != outcome::refused ||
      verdict.wait < subject->verdict.wait) {
    subject->verdict = verdict;
  }
  QueryNextHolder(subject);
}

void allowance_service::ReserveNextToken(
    const std::shared_ptr<holder_query>& subject) {
  const allowance_verdict best = subject->verdict;
  if (best.result != outcome::refused || !HasSmallShares()) {
    subject->handler(best);
    return;
  }
  if (best.wait > subject->max_wait) {
    SetUsedUp(subject->team, best.wait);
    subject->handler(best);
    return;
  }
  const auto on_verdict = [this, subject](const allowance_verdict& verdict) {
    state_.counters.Add(verdict.result == outcome::granted
                            ? "allowance_waited"
                            : "allowance_wait_too_long");
    subject->handler(verdict);
  };
  const shared_configuration configuration = state_.configuration.current();
  const gateway_team* team =
      configuration ? configuration->FindTeam(subject->team) : nullptr;
  if (best.holder != self_) {
    AskHolder(subject, best.holder, subject->max_wait, on_verdict,
              [subject, best] { subject->handler(best); });
  } else if (team != nullptr && MayGrant(*team)) {
    on_verdict(TakeLocally(*team, subject->max_wait));
  } else {
    subject->handler(best);
  }
}

void allowance_service::Return(const gateway_team& team,
                               const std::string& holder) {
  if (holder == self_) {
    state_.allowances.Refund(
        team,
        std::max<std::size_t>(1, state_.holders.HoldersOf(team.name).size()));
    return;
  }
  const std::string address = PeerAddressOf(holder);
  if (address.empty()) {
    return;
  }
  peers_.Post(
      address, kReturnPath, {{"team", team.name}}, [](const http_response&) {},
      [this](http_failure, const std::string&) {
        // The team is one token short until its share refills.
        state_.counters.Add("allowance_return_lost");
      });
}

bool allowance_service::AnswerPeer(
    const std::shared_ptr<http_exchange>& exchange) {
  const std::string path = exchange->request().Path();
  if (path != kTakePath && path != kReturnPath) {
    return false;
  }
  const json body = ParseJsonMessage(exchange->request().body);
  const shared_configuration configuration = state_.configuration.current();
  const gateway_team* team =
      configuration && body.is_object() && body.contains("team") &&
              body["team"].is_string()
          ? configuration->FindTeam(body["team"].get<std::string>())
          : nullptr;
  if (team == nullptr) {
    exchange->Respond(JsonResponse(kBadRequest, {{"error", "unknown team"}}));
  } else if (path == kReturnPath) {
    Return(*team, self_);
    exchange->Respond(JsonResponse(kOk, json::object()));
  } else {
    const milliseconds max_wait(
        FindInteger(body, "max_wait_ms", 0, kMaxWait.count()).value_or(0));
    const allowance_verdict verdict =
        MayGrant(*team)
            ? TakeLocally(*team, max_wait)
            : allowance_verdict{outcome::refused, kNewHolderRetryAfter, ""};
    // Without `granted`, a wait means a refusal: the build before sends no
    // max_wait_ms.
    exchange->Respond(
        JsonResponse(kOk, {{"wait_ms", verdict.wait.count()},
                           {"granted", verdict.result == outcome::granted}}));
  }
  return true;
}

std::string allowance_service::PeerAddressOf(const std::string& holder) const {
  const auto found = state_.membership.members().find(holder);
  return found == state_.membership.members().end()
             ? ""
             : found->second.peer_address;
}

}  // namespace gentian
