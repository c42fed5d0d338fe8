#include "gentian_gateway_daemon/turn_service.h"

#include <utility>

#include "gentian_log/gentian_log.h"

namespace gentian {

namespace {

using outcome = turn_verdict::outcome;

constexpr milliseconds kPeerConnectLimit{150};
// Retry interval for reading a budget while the key-value service is down.
constexpr milliseconds kOutageRetry{150};

}  // namespace

turn_service::turn_service(io_pool& pool,
                           key_value_store& store,
                           http_client& peers,
                           const gateway_settings& settings,
                           gateway_state& state,
                           const std::string& writer)
    : pool_(pool),
      store_(store),
      peers_(peers, {kPeerDeadline, kPeerConnectLimit}),
      settings_(settings),
      state_(state),
      ledger_(writer),
      scheduler_(state.targets),
      // Tickets of an earlier start must not identify turns of this one.
      last_ticket_(StableHash(writer) >> 16U) {}

std::uint64_t turn_service::Request(const turn_request& request,
                                    verdict_handler handler) {
  const std::uint64_t number = ++last_number_;
  const steady_time now = BootTimeNow();
  asked_[number] = {
      request, now, now + request.wait_limit, std::move(handler), 0, nullptr};
  Ask(number);
  return number;
}

void turn_service::Ask(std::uint64_t number) {
  const member_record* owner =
      ReachableOwner(asked_.at(number).request.program);
  if (owner == nullptr || owner->host == settings_.host) {
    DecideHere(number);
  } else {
    AskOwner(owner->peer_address, number, 0);
  }
}

void turn_service::AskAgainLater(std::uint64_t number) {
  asked_turn& asked = asked_.at(number);
  asked.own_ticket = 0;
  asked.call.reset();
  if (BootTimeNow() >= asked.give_up_at) {
    Answer(number, turn_verdict{}, "");
    return;
  }
  pool_.After(kOutageRetry, [this, number] {
    if (asked_.count(number) > 0) {
      Ask(number);
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
  asked_turn& asked = asked_.at(number);
  const json body = known == 0 ? json(asked.request) : json{{"ticket", known}};
  asked.call = peers_.Post(
      owner, kAskPath, body,
      [this, owner, number](const http_response& response) {
        OnOwnerAnswer(owner, number, response);
      },
      [this, owner, number](http_failure, const std::string&) {
        if (asked_.count(number) > 0) {
          state_.counters.Add("owner_lost");
          const turn_request& request = asked_.at(number).request;
          Log(log_level::warning, "owner is unreachable",
              {{"request", request.request_id},
               {"program", request.program},
               {"owner", owner},
               {"not_asked_for_ms", peer_client::kAvoidDuration.count()}});
          peers_.Avoid(owner);
          Ask(number);
        }
      });
}

void turn_service::OnOwnerAnswer(const std::string& owner,
                                 std::uint64_t number,
                                 const http_response& response) {
  if (asked_.count(number) == 0) {
    return;
  }
  turn_verdict verdict;
  try {
    verdict = json::parse(response.body).get<turn_verdict>();
  } catch (const json::exception&) {
    // The owner restarted and no longer knows the ticket.
    verdict.result = outcome::unavailable;
  }
  if (verdict.result == outcome::undecided) {
    AskOwner(owner, number, verdict.ticket);
  } else if (verdict.result == outcome::unavailable) {
    // This daemon may reach the key-value service when the owner can't.
    if (state_.store_reached) {
      DecideHere(number);
    } else {
      AskAgainLater(number);
    }
  } else {
    Answer(number, verdict, owner);
  }
}

void turn_service::DecideHere(std::uint64_t number) {
  asked_turn& asked = asked_.at(number);
  turn_request request = asked.request;
  const milliseconds elapsed = ToMilliseconds(BootTimeNow() - asked.asked_at);
  request.time_left -= elapsed;
  request.finish_within -= elapsed;
  request.wait_limit -= elapsed;
  const turn_ticket ticket = Own(request);
  asked.own_ticket = ticket;
  Await(ticket, [this, number](const turn_verdict& verdict) {
    if (verdict.result != outcome::granted) {
      owned_.erase(verdict.ticket);
    }
    if (verdict.result == outcome::unavailable && asked_.count(number) > 0) {
      AskAgainLater(number);
    } else {
      Answer(number, verdict, "");
    }
  });
}

void turn_service::Answer(std::uint64_t number,
                          const turn_verdict& verdict,
                          const std::string& owner) {
  const auto found = asked_.find(number);
  if (found == asked_.end()) {
    return;
  }
  const verdict_handler handler = std::move(found->second.handler);
  asked_.erase(found);
  handler(verdict, owner);
}

void turn_service::Abandon(std::uint64_t request) {
  const auto found = asked_.find(request);
  if (found == asked_.end()) {
    return;
  }
  const asked_turn asked = std::move(found->second);
  asked_.erase(found);
  if (asked.own_ticket != 0) {
    DropOwned(asked.own_ticket);
  } else if (asked.call) {
    asked.call->Cancel();
  }
}

void turn_service::End(const turn_end& end, const std::string& owner) {
  if (owner.empty()) {
    EndOwned(end);
    return;
  }
  peers_.Post(
      owner, kEndPath, end, [](const http_response&) {},
      [this](http_failure, const std::string&) {
        // The reserved tokens stay claimed, though unused.
        state_.counters.Add("turn_end_lost");
      });
}

}  // namespace gentian
