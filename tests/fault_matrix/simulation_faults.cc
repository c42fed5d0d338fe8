// Injects faults, and recognizes the steps at which they strike.
#include <algorithm>

#include "scenario.h"
#include "simulation.h"

namespace gentian::fault_matrix {

namespace {

constexpr milliseconds kPause{20'000};
constexpr milliseconds kOutage{20'000};
constexpr milliseconds kHang{10'000};
constexpr milliseconds kSilence{3'500};
constexpr milliseconds kDisorder{5'000};
constexpr milliseconds kRecovery{10'000};
constexpr int kLostAnswers = 3;

bool IsRecord(const command& next, const char* type, const char* tool) {
  const auto* send = std::get_if<send_to_peer>(&next);
  if (!send) {
    return false;
  }
  const auto* message = std::get_if<store_records>(&send->message);
  if (!message) {
    return false;
  }
  const std::string text = json(message->records).dump();
  return text.find(type) != std::string::npos &&
         text.find(tool) != std::string::npos;
}

bool IsDispatch(const command& next, const char* path) {
  const auto* call = std::get_if<dispatch_call>(&next);
  return call && call->resume_stream.empty() &&
         call->path.find(path) != std::string::npos;
}

bool IsWrite(const command& next, const char* prefix, const char* content) {
  const auto* call = std::get_if<call_kv>(&next);
  const auto* write =
      call ? std::get_if<kv_compare_and_swap>(&call->operation) : nullptr;
  return write && write->key.find(prefix) == 0 &&
         write->value.find(content) != std::string::npos;
}

template <typename Message>
const Message* MessageIn(const command& next) {
  const auto* send = std::get_if<send_to_peer>(&next);
  return send ? std::get_if<Message>(&send->message) : nullptr;
}

bool IsRelease(const command& next) {
  const auto* order = std::get_if<order_target>(&next);
  return order && std::holds_alternative<release_cache>(order->body);
}

bool IsDrain(const command& next) {
  const auto* beat = MessageIn<heartbeat>(next);
  return beat && beat->draining;
}

}  // namespace

bool IsStep(step value, const command& next) {
  switch (value) {
    case step::open_session:
      return IsRecord(next, "session_opened", "");
    case step::model_call:
      return IsDispatch(next, "/chat/");
    case step::tool_before_dispatch:
      return IsRecord(next, "call_started", "\"tool\":\"book\"");
    case step::tool_after_dispatch:
      return IsDispatch(next, kBookPath);
    case step::turn_commit:
      return IsRecord(next, "call_finished", "");
    case step::takeover:
      return IsWrite(next, "/shard/", "adopting");
    case step::hand_over:
      return MessageIn<hand_over>(next) != nullptr;
    case step::grant:
      return MessageIn<grant_request>(next) != nullptr;
    case step::key_change:
      return MessageIn<keys_withdrawn>(next) != nullptr;
    case step::config_change:
      return IsWrite(next, "/config/change/", "");
    case step::release:
      return IsRelease(next);
    case step::drain:
      return IsDrain(next);
  }
  return false;
}

void simulation::NoteHealing(milliseconds after) {
  log_.healed = std::max(log_.healed, now_ + after + kRecovery);
}

void simulation::Inject(fault what, const host_id& host) {
  process& p = processes_.at(host);
  switch (what) {
    case fault::process_death:
      p.disturbed = true;
      Kill(host);
      NoteHealing(milliseconds(20'000));
      return;
    case fault::pause_past_lease:
      p.disturbed = true;
      p.paused_until = now_ + kPause;
      After(kPause, [this, host] { Resume(host); });
      NoteHealing(kPause);
      return;
    case fault::tool_hang:
      targets_.HangToolsUntil(now_ + kHang);
      NoteHealing(kHang);
      return;
    case fault::endless_loop:
      // The looping program is started by the callers of the cell.
      NoteHealing(milliseconds(0));
      return;
    case fault::key_withdrawn_while_connected:
      Withdraw("kiosk");
      NoteHealing(milliseconds(0));
      return;
    case fault::service_down:
      service_down_until_ = now_ + kOutage;
      NoteHealing(kOutage);
      return;
    case fault::service_slow:
      service_slow_until_ = now_ + kOutage;
      NoteHealing(kOutage);
      return;
    case fault::answer_lost_after_write:
      answers_to_lose_ += kLostAnswers;
      NoteHealing(milliseconds(0));
      return;
    case fault::racing_operators:
      RaceOperators();
      NoteHealing(milliseconds(0));
      return;
    case fault::silent_connection:
      silent_until_[host] = now_ + kSilence;
      for (auto& entry : p.dispatches) {
        entry.second->silent = true;
      }
      for (auto& entry : p.connections) {
        entry.second.silent = true;
      }
      NoteHealing(kSilence);
      return;
    case fault::late_reordered_duplicate:
      disorderly_until_[host] = now_ + kDisorder;
      NoteHealing(kDisorder);
      return;
    case fault::partition:
      partitioned_ = IdentityOf(host).failure_domain;
      partition_until_ = now_ + kOutage;
      NoteHealing(kOutage);
      return;
    case fault::leaving_target:
      for (const char* name : {"desk-1", "engine-1"}) {
        log_.leaving.emplace(target_id(name), now_);
        targets_.Leave(target_id(name));
      }
      NoteHealing(milliseconds(0));
      return;
    case fault::planned_stop:
      // A stop of the acting host itself can not begin within its step.
      After(milliseconds(1), [this, host] { Stop(host); });
      NoteHealing(milliseconds(20'000));
      return;
  }
}

bool IsComplete(const result<json>& withdrawal) {
  return !Failed(withdrawal) && ValueOf(withdrawal).value("durable", false) &&
         ValueOf(withdrawal).value("not_confirmed", json::array()).empty();
}

void simulation::Withdraw(const std::string& team) {
  Ask(withdraw_key{Sha256Hex(KeyOf(team)), "ann"},
      [this, team](const result<json>& answer) {
        if (IsComplete(answer)) {
          log_.withdrawn[team] = now_;
        } else {
          After(milliseconds(500), [this, team] { Withdraw(team); });
        }
      });
}

// Two operators read the settings and change them at the same time.
void simulation::RaceOperators() {
  for (const char* author : {"ann", "bob"}) {
    Ask(read_settings{}, [this, author](const result<json>& settings) {
      if (Failed(settings)) {
        return;
      }
      apply_changes request;
      request.expected_version = ValueOf(settings).value("version", 0);
      request.changes = {author, "race", {{"/teams/desk", "weight", "2"}}};
      Ask(request, [this](const result<json>& answer) {
        if (Failed(answer)) {
          return;
        }
        const std::uint64_t version = ValueOf(answer).value("version", 0);
        const bool first = log_.accepted.emplace(version, now_).second;
        log_.doubly_accepted += first ? 0 : 1;
      });
    });
  }
}

}  // namespace gentian::fault_matrix
