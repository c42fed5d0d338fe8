#include "gentian_decisions/kv_client.h"

#include <algorithm>
#include <array>
#include <cstdio>
#include <utility>

namespace gentian {

namespace {

constexpr std::size_t kCallsInFlight = 8;
constexpr std::size_t kQueueLength = 256;
// A call that is sent in time and answered in time never reaches this bound;
// it leaves room for several attempts during a short outage.
constexpr milliseconds kTotalDeadline{10'000};
constexpr milliseconds kAttemptDeadline{2'000};
// The service ends a watch after its wait; what is silent longer is broken.
constexpr milliseconds kWatchGrace{5'000};
// The shell reports each deadline; this covers a shell that does not.
constexpr milliseconds kShellGrace{500};

using status = kv_answer::status;

const char* KindOf(const kv_operation& operation) {
  static constexpr std::array kNames = {
      "get",    "list",        "compare_and_swap", "write_batch",
      "delete", "grant_lease", "renew_lease",      "watch"};
  static_assert(kNames.size() == std::variant_size_v<kv_operation>);
  return kNames[operation.index()];
}

bool IsWatch(const kv_operation& operation) {
  return std::holds_alternative<kv_watch>(operation);
}

bool IsRead(const kv_operation& operation) {
  return std::holds_alternative<kv_get>(operation) ||
         std::holds_alternative<kv_list>(operation) || IsWatch(operation);
}

// Key and expected version of an operation that is read back.
struct guarded_key {
  std::string key;
  std::uint64_t expected_version = 0;
};

// A batch has no single key to read back; none is sent through a kv_client.
std::optional<guarded_key> GuardedKeyOf(const kv_operation& operation) {
  if (const auto* write = std::get_if<kv_compare_and_swap>(&operation)) {
    return guarded_key{write->key, write->expected_version};
  }
  if (const auto* removal = std::get_if<kv_delete>(&operation)) {
    return guarded_key{removal->key, removal->expected_version};
  }
  return std::nullopt;
}

milliseconds DeadlineOf(const kv_operation& operation) {
  if (const auto* watch = std::get_if<kv_watch>(&operation)) {
    return watch->wait + kWatchGrace;
  }
  return kAttemptDeadline;
}

void RemoveStamps(kv_answer& answer) {
  for (kv_entry& entry : answer.entries) {
    TakeStamp(entry.value);
  }
}

bool HasAnswer(status outcome) {
  return outcome != status::no_answer && outcome != status::not_sent;
}

}  // namespace

void kv_client::SetDaemonCount(std::size_t daemons) {
  const double count = static_cast<double>(std::max<std::size_t>(1, daemons));
  writes_.SetRate(std::max(0.5, 300.0 / count));
  reads_.SetRate(std::max(1.0, 1'500.0 / count));
}

void kv_client::Call(kv_operation operation,
                     priority order,
                     answer_handler handler,
                     node_context& context) {
  MakeRoom(order, context);
  if (calls_.size() >= kQueueLength) {
    context.counters.Add("kv.queue_full");
    rejected_.push_back(std::move(handler));
    return;
  }
  EnsureWriter(context.random);
  pending_call call;
  call.give_up = context.now + kTotalDeadline;
  if (IsWatch(operation)) {
    call.give_up = context.now + kTotalDeadline + DeadlineOf(operation);
  }
  call.operation = std::move(operation);
  call.order = order;
  call.handler = std::move(handler);
  call.not_before = context.now;
  call.number = next_write_++;
  calls_.emplace(next_serial_++, std::move(call));
  SendWaiting(context);
}

// A full queue gives up the newest waiting call of a lower priority, so that
// checkpoints never keep a lease from being renewed.
void kv_client::MakeRoom(priority order, node_context& context) {
  if (calls_.size() < kQueueLength) {
    return;
  }
  auto victim = calls_.end();
  for (auto it = calls_.begin(); it != calls_.end(); ++it) {
    const pending_call& call = it->second;
    const bool waits = call.attempt == 0 && !call.unresolved;
    if (waits && call.order > order &&
        (victim == calls_.end() || call.order >= victim->second.order)) {
      victim = it;
    }
  }
  if (victim != calls_.end()) {
    context.counters.Add("kv.queue_full");
    rejected_.push_back(std::move(victim->second.handler));
    calls_.erase(victim);
  }
}

void kv_client::Handle(const tick& /*input*/, node_context& context) {
  std::vector<answer_handler> rejected;
  rejected.swap(rejected_);
  kv_answer not_sent;
  not_sent.outcome = status::not_sent;
  for (const answer_handler& handler : rejected) {
    handler(not_sent, context);
  }
  ExpireCalls(context);
  SendWaiting(context);
}

void kv_client::ExpireCalls(node_context& context) {
  std::vector<std::uint64_t> serials;
  for (const auto& [serial, call] : calls_) {
    serials.push_back(serial);
  }
  for (const std::uint64_t serial : serials) {
    const auto it = calls_.find(serial);
    if (it == calls_.end()) {
      continue;
    }
    pending_call& call = it->second;
    if (call.attempt != 0 && context.now >= call.attempt_deadline) {
      Handle(kv_answered{call.attempt, {}}, context);
    } else if (call.attempt == 0 && context.now >= call.give_up) {
      kv_answer answer;
      answer.outcome = call.may_have_run ? status::no_answer : status::not_sent;
      Finish(it, answer, context);
    }
  }
}

void kv_client::SendWaiting(node_context& context) {
  for (auto next = NextToSend(context); next != calls_.end();
       next = NextToSend(context)) {
    Send(next->second, context);
    in_flight_[next->second.attempt] = next->first;
  }
}

// Reads and writes have separate rates: when one is used up, the other goes on.
kv_client::call_map::iterator kv_client::NextToSend(node_context& context) {
  auto first = FirstWaiting(true, context.now);
  auto second = FirstWaiting(false, context.now);
  const auto order_of = [this](call_map::iterator call) {
    return call == calls_.end() ? priority::checkpoint : call->second.order;
  };
  if (order_of(second) < order_of(first)) {
    std::swap(first, second);
  }
  for (const auto& call : {first, second}) {
    if (call == calls_.end()) {
      continue;
    }
    token_bucket& cap = Reads(call->second) ? reads_ : writes_;
    if (cap.TryTake(context.now)) {
      return call;
    }
  }
  return calls_.end();
}

kv_client::call_map::iterator kv_client::FirstWaiting(bool reads,
                                                      steady_time now) {
  auto best = calls_.end();
  for (auto it = calls_.begin(); it != calls_.end(); ++it) {
    const pending_call& call = it->second;
    const bool slot = IsWatch(call.operation) || slots_used_ < kCallsInFlight;
    const bool due = call.attempt == 0 && call.not_before <= now;
    if (slot && due && Reads(call) == reads &&
        (best == calls_.end() || call.order < best->second.order)) {
      best = it;
    }
  }
  return best;
}

bool kv_client::Reads(const pending_call& call) {
  return call.unresolved || IsRead(call.operation);
}

void kv_client::Send(pending_call& call, node_context& context) {
  call.attempt = next_attempt_++;
  call.reading_back =
      call.unresolved && GuardedKeyOf(call.operation).has_value();
  const milliseconds deadline = DeadlineOf(call.operation);
  call.attempt_deadline = context.now + deadline + kShellGrace;
  if (!IsWatch(call.operation)) {
    ++slots_used_;
  }
  context.Emit(call_kv{call.attempt, AttemptOperation(call), deadline});
}

kv_operation kv_client::AttemptOperation(const pending_call& call) const {
  if (call.reading_back) {
    return kv_get{GuardedKeyOf(call.operation)->key};
  }
  kv_operation operation = call.operation;
  if (auto* write = std::get_if<kv_compare_and_swap>(&operation)) {
    write->value = AddStamp({writer_, call.number}, write->value);
  }
  return operation;
}

void kv_client::Handle(const kv_answered& input, node_context& context) {
  const auto known = in_flight_.find(input.id);
  if (HasAnswer(input.answer.outcome)) {
    last_answer_ = context.now;
  }
  if (known == in_flight_.end()) {
    context.counters.Add("kv.late_answer");
    return;
  }
  const auto call = calls_.find(known->second);
  in_flight_.erase(known);
  call->second.attempt = 0;
  const bool watch = IsWatch(call->second.operation);
  if (!watch) {
    --slots_used_;
  }
  const char* kind =
      call->second.reading_back ? "read_back" : KindOf(call->second.operation);
  context.counters.Add(std::string("kv.") + kind + "." +
                       NameOf(input.answer.outcome));
  if (call->second.reading_back) {
    ResolveReadBack(call, input.answer, context);
  } else {
    Resolve(call, input.answer, context);
  }
  SendWaiting(context);
}

void kv_client::Resolve(call_map::iterator call,
                        kv_answer answer,
                        node_context& context) {
  pending_call& state = call->second;
  // The owner of a watch decides itself from where to resume.
  if (IsWatch(state.operation) || HasAnswer(answer.outcome)) {
    if (answer.outcome == status::conflict &&
        HasTakenEffect(state, answer.entries)) {
      answer.outcome = status::ok;
    }
    Finish(call, answer, context);
    return;
  }
  if (answer.outcome == status::no_answer) {
    state.may_have_run = true;
    state.unresolved = GuardedKeyOf(state.operation).has_value();
  }
  Retry(state, context);
}

void kv_client::ResolveReadBack(call_map::iterator call,
                                kv_answer answer,
                                node_context& context) {
  pending_call& state = call->second;
  if (!HasAnswer(answer.outcome)) {
    Retry(state, context);
    return;
  }
  const guarded_key guarded = *GuardedKeyOf(state.operation);
  const std::uint64_t version =
      answer.entries.empty() ? 0 : answer.entries.front().version;
  if (HasTakenEffect(state, answer.entries)) {
    answer.outcome = status::ok;
    Finish(call, answer, context);
  } else if (version == guarded.expected_version) {
    // It has not taken effect, and at most one of two equal writes can.
    state.unresolved = false;
    Retry(state, context);
  } else {
    answer.outcome = status::conflict;
    Finish(call, answer, context);
  }
}

// An attempt whose answer was lost has taken effect if the key shows it.
bool kv_client::HasTakenEffect(const pending_call& call,
                               const std::vector<kv_entry>& entries) const {
  if (std::holds_alternative<kv_delete>(call.operation)) {
    return call.may_have_run && entries.empty();
  }
  if (entries.empty()) {
    return false;
  }
  std::string value = entries.front().value;
  return TakeStamp(value) == kv_stamp{writer_, call.number};
}

void kv_client::Retry(pending_call& call, node_context& context) {
  context.counters.Add(std::string("kv.retried.") + KindOf(call.operation));
  call.not_before = context.now + call.delay.NextDelay(context.random);
}

void kv_client::Finish(call_map::iterator call,
                       const kv_answer& answer,
                       node_context& context) {
  const answer_handler handler = std::move(call->second.handler);
  calls_.erase(call);
  kv_answer plain = answer;
  RemoveStamps(plain);
  handler(plain, context);
}

bool kv_client::IsIdle() const {
  const bool watches_only = std::all_of(
      calls_.begin(), calls_.end(),
      [](const auto& entry) { return IsWatch(entry.second.operation); });
  return watches_only && rejected_.empty();
}

// The name has to differ between two runs of a process, also before the
// process has an epoch.
void kv_client::EnsureWriter(random_source& random) {
  if (writer_.empty()) {
    char text[17];
    std::snprintf(text, sizeof(text), "%016llx",
                  static_cast<unsigned long long>(random.Next()));
    writer_ = text;
  }
}

}  // namespace gentian
