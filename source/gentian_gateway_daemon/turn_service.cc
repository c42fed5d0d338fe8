#include "gentian_gateway_daemon/turn_service.h"

#include <utility>

#include "gentian_log/gentian_log.h"

namespace gentian {

namespace {

using outcome = turn_verdict::outcome;

constexpr milliseconds kPeerConnectTimeout{150};
// Retry interval for reading a budget while the key-value service is down.
constexpr milliseconds kOutageRetryInterval{150};
constexpr milliseconds kSettleInterval{100};
// Tries to send the end of a turn, and the pause between two of them.
constexpr int kMaxEndTries = 4;
constexpr milliseconds kEndRetryInterval{200};

}  // namespace

turn_service::turn_service(io_pool& pool,
                           key_value_store& store,
                           http_client& peers,
                           const gateway_settings& settings,
                           gateway_state& state,
                           const std::string& writer)
    : pool_(pool),
      store_(store),
      peers_(peers, {kPeerTimeout, kPeerConnectTimeout}),
      settings_(settings),
      state_(state),
      ledger_(writer),
      recorder_(peers, settings, state),
      scheduler_(state.targets),
      unclaimed_starts_(store, settings, state),
      advancing_(pool,
                 kAdvanceInterval,
                 [this](const repeating_task::round& round) {
                   DropOverdue();
                   Advance();
                   if (owned_.empty()) {
                     is_advancing_ = false;
                     round.End();
                   }
                 }),
      settling_(pool,
                kSettleInterval,
                [this](const repeating_task::round& /*round*/) {
                  unclaimed_starts_.Update();
                  ReleaseTokens();
                  ResolveWrites();
                }),
      // Tickets of an earlier start must not identify turns of this one.
      last_ticket_(StableHash(writer) >> 16U) {
  scheduler_.SetCharges([this](const waiting_turn& turn, steady_time now) {
    return state_.domains.ChargesFor(turn.service, turn.failure_domain,
                                     state_.targets,
                                     state_.membership.members(), now);
  });
  settling_.Start();
}

std::uint64_t turn_service::Request(const turn_request& request,
                                    verdict_handler handler) {
  const std::uint64_t number = ++last_number_;
  const steady_time now = BootTimeNow();
  pending_[number] = {
      request, now, now + request.wait_limit, std::move(handler), 0, nullptr};
  RequestDecision(number);
  return number;
}

void turn_service::RequestDecision(std::uint64_t number) {
  if (state_.membership.members().empty()) {
    // This daemon has just started. A claim of its own would be missing at the
    // owner.
    RetryLater(number);
    return;
  }
  const member_record* owner =
      ReachableOwner(pending_.at(number).request.program);
  if (owner == nullptr || owner->host == settings_.host) {
    DecideLocally(number);
  } else {
    AskOwner(owner->peer_address, number, 0);
  }
}

void turn_service::RetryLater(std::uint64_t number) {
  pending_turn& pending = pending_.at(number);
  pending.own_ticket = 0;
  pending.call.reset();
  if (BootTimeNow() >= pending.wait_deadline) {
    Answer(number, turn_verdict{}, "");
    return;
  }
  pool_.After(kOutageRetryInterval, [this, number] {
    if (pending_.count(number) > 0) {
      RequestDecision(number);
    }
  });
}

const member_record* turn_service::ReachableOwner(
    const std::string& program) const {
  return OwnerOf(program, state_.membership.members(),
                 [this](const member_record& member) {
                   return !peers_.IsAvoided(member.peer_address);
                 });
}

void turn_service::AskOwner(const std::string& owner,
                            std::uint64_t number,
                            turn_ticket known) {
  pending_turn& pending = pending_.at(number);
  const json body =
      known == 0 ? json(pending.request) : json{{"ticket", known}};
  pending.call = peers_.Post(
      owner, kAskPath, body,
      [this, owner, number](const http_response& response) {
        OnOwnerAnswer(owner, number, response);
      },
      [this, owner, number](http_failure, const std::string&) {
        if (pending_.count(number) > 0) {
          state_.counters.Add("owner_lost");
          const turn_request& request = pending_.at(number).request;
          Log(log_level::warning, "owner is unreachable",
              {{"request", request.request_id},
               {"program", request.program},
               {"owner", owner},
               {"not_asked_for_ms", peer_client::kAvoidDuration.count()}});
          peers_.Avoid(owner);
          RequestDecision(number);
        }
      });
}

void turn_service::OnOwnerAnswer(const std::string& owner,
                                 std::uint64_t number,
                                 const http_response& response) {
  if (pending_.count(number) == 0) {
    return;
  }
  turn_verdict verdict;
  try {
    verdict = ParseJsonMessage(response.body).get<turn_verdict>();
  } catch (const json::exception&) {
    // The owner restarted and no longer knows the ticket.
    verdict.result = outcome::unavailable;
  }
  if (verdict.result == outcome::undecided) {
    AskOwner(owner, number, verdict.ticket);
  } else if (verdict.result == outcome::unavailable) {
    // This daemon may reach the key-value service when the owner can't.
    if (state_.store_reached) {
      DecideLocally(number);
    } else {
      RetryLater(number);
    }
  } else {
    Answer(number, verdict, owner);
  }
}

void turn_service::DecideLocally(std::uint64_t number) {
  pending_turn& pending = pending_.at(number);
  turn_request request = pending.request;
  const milliseconds elapsed =
      ToMilliseconds(BootTimeNow() - pending.requested_at);
  request.time_left -= elapsed;
  request.finish_within -= elapsed;
  request.wait_limit -= elapsed;
  const turn_ticket ticket = AddOwned(request);
  pending.own_ticket = ticket;
  ReplyWhenDecided(ticket, [this, number](const turn_verdict& verdict) {
    if (verdict.result != outcome::granted) {
      owned_.erase(verdict.ticket);
    }
    if (verdict.result == outcome::unavailable && pending_.count(number) > 0) {
      RetryLater(number);
    } else {
      Answer(number, verdict, "");
    }
  });
}

void turn_service::Answer(std::uint64_t number,
                          const turn_verdict& verdict,
                          const std::string& owner) {
  const auto found = pending_.find(number);
  if (found == pending_.end()) {
    return;
  }
  const verdict_handler handler = std::move(found->second.handler);
  pending_.erase(found);
  handler(verdict, owner);
}

void turn_service::Abandon(std::uint64_t request) {
  const auto found = pending_.find(request);
  if (found == pending_.end()) {
    return;
  }
  const pending_turn pending = std::move(found->second);
  pending_.erase(found);
  if (pending.own_ticket != 0) {
    DropOwned(pending.own_ticket);
  } else if (pending.call) {
    pending.call->Cancel();
  }
}

void turn_service::End(const turn_end& end, const std::string& owner) {
  if (!owner.empty()) {
    SendEnd(std::make_shared<end_delivery>(end_delivery{end, owner, 0, false}));
  } else if (!EndOwned(end)) {
    SettleForOwner(end);
  }
}

// A turn's unused tokens are counted once: by its owner, or, if the end has
// certainly not reached it, by this daemon.
void turn_service::SendEnd(const std::shared_ptr<end_delivery>& delivery) {
  ++delivery->tries;
  peers_.Post(
      delivery->owner, kEndPath, json(delivery->end),
      [this, delivery](const http_response& response) {
        OnEndAnswer(*delivery, response);
      },
      [this, delivery](http_failure failure, const std::string&) {
        OnEndFailure(delivery, failure);
      });
}

void turn_service::OnEndAnswer(const end_delivery& delivery,
                               const http_response& response) {
  turn_end_answer answer;
  try {
    answer = ParseJsonMessage(response.body).get<turn_end_answer>();
  } catch (const json::exception&) {
    // Counts as known: the owner may have counted the tokens.
  }
  if (answer.is_known) {
    return;
  }
  // The owner has restarted or has dropped the turn, unless an earlier try has
  // come, too.
  if (delivery.end.is_claimed && !delivery.may_have_come) {
    SettleForOwner(delivery.end);
  }
}

void turn_service::OnEndFailure(const std::shared_ptr<end_delivery>& delivery,
                                http_failure failure) {
  delivery->may_have_come |= failure != http_failure::not_sent;
  if (delivery->end.is_claimed && !delivery->may_have_come) {
    SettleForOwner(delivery->end);
  } else if (delivery->end.is_claimed && delivery->tries < kMaxEndTries) {
    pool_.After(kEndRetryInterval, [this, delivery] { SendEnd(delivery); });
  } else {
    // The reserved tokens stay claimed, though unused.
    state_.counters.Add("turn_end_lost");
  }
}

void turn_service::SettleForOwner(const turn_end& end) {
  state_.counters.Add("turn_end_taken_over");
  Execute(ledger_.Settle(end.program, end.reserved, end.used, BootTimeNow()));
  ScheduleRelease();
}

}  // namespace gentian
