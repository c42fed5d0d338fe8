#include "cell_runner.h"

#include <algorithm>
#include <memory>
#include <vector>

#include "caller.h"
#include "scenario.h"

namespace gentian::fault_matrix {

namespace {

constexpr std::chrono::seconds kLongestRun{150};
constexpr std::chrono::seconds kSettle{15};
constexpr milliseconds kWarmUp{3'000};
constexpr milliseconds kBaseAction{6'000};
constexpr milliseconds kProbeAfter{6'000};
constexpr int kNoisyCalls = 120;

const std::vector<action> kScript = {
    action::model, action::book,   action::stream,  action::lookup,
    action::book,  action::stream, action::history, action::end};

/** The callers and operators of one cell. */
class cell_run {
 public:
  explicit cell_run(const cell& plan) : plan_(plan), world_(plan) {}

  cell_result Run() {
    AddPrograms();
    world_.After(kWarmUp, [this] { world_.Arm(); });
    world_.After(kBaseAction, [this] { ActForStep(); });
    if (plan_.broken == sabotage::hide_leaving) {
      world_.After(kBaseAction,
                   [this] { world_.Inject(fault::leaving_target, Host()); });
    }
    if (plan_.broken == sabotage::kill_on_stop) {
      world_.After(kBaseAction, [this] { world_.Stop(world_.BusiestOwner()); });
    }
    const steady_time begin = world_.now();
    while (!Quiet() && world_.now() - begin < kLongestRun) {
      world_.RunUntil(world_.now() + std::chrono::seconds(1));
      ProbeWithdrawnKeys();
    }
    world_.RunUntil(world_.now() + kSettle);
    world_.targets().RecordHoldings();
    world_.log().end = world_.now();
    cell_result result;
    result.step_reached = world_.step_reached();
    result.broken = CheckAll(world_.log());
    result.emptiness = Emptiness();
    result.virtual_seconds = ToSeconds(world_.now() - begin);
    return result;
  }

 private:
  static host_id Host() { return Scenario().hosts.front(); }

  void Add(caller::program program, milliseconds start) {
    callers_.push_back(std::make_unique<caller>(world_, std::move(program)));
    caller* added = callers_.back().get();
    world_.After(start, [added] { added->Start(); });
  }

  void AddPrograms() {
    for (int i = 0; i < 9; ++i) {
      const char* teams[] = {"kiosk", "desk", "guest"};
      const std::string team = teams[i % 3];
      // Letters keep one tag from being the prefix of another.
      const std::string tag = team + std::string(1, static_cast<char>('a' + i));
      Add({tag, team, kScript}, milliseconds(2'000 + 700 * i));
    }
    caller::program loop{"loop", "desk", {action::lookup}};
    loop.call_limit = kLoopCalls;
    loop.loops = true;
    Add(loop, milliseconds(3'500));
    for (int i = 0; i < 3; ++i) {
      caller::program noisy;
      noisy.tag = "noisy" + std::string(1, static_cast<char>('a' + i));
      noisy.team = "noisy";
      noisy.script.assign(kNoisyCalls, action::lookup);
      noisy.think = milliseconds(20);
      noisy.drops_limited = true;
      Add(noisy, milliseconds(2'500));
    }
    world_.After(milliseconds(9'000), [this] { ProbeForeignSession(); });
    if (Has(fault::endless_loop)) {
      caller::program more = loop;
      more.tag = "spin";
      more.think = milliseconds(1);
      Add(more, milliseconds(4'000));
    }
  }

  bool Has(fault what) const {
    return std::count(plan_.faults.begin(), plan_.faults.end(), what) > 0;
  }

  // What the operators or the machines do so that the cell's step occurs.
  void ActForStep() {
    switch (plan_.at) {
      case step::takeover:
        world_.Kill(world_.BusiestOwner());
        return;
      case step::hand_over:
      case step::drain:
        world_.Stop(world_.BusiestOwner());
        return;
      case step::key_change:
        world_.Withdraw("guest");
        return;
      case step::config_change:
        ChangeSettings();
        return;
      default:
        return;
    }
  }

  void ChangeSettings() {
    world_.Ask(read_settings{}, [this](const result<json>& settings) {
      if (Failed(settings)) {
        world_.After(milliseconds(500), [this] { ChangeSettings(); });
        return;
      }
      apply_changes request;
      request.expected_version = ValueOf(settings).value("version", 0);
      request.changes = {"cleo", "test", {{"/teams/guest", "weight", "3"}}};
      world_.Ask(request, [this](const result<json>& answer) {
        if (!Failed(answer)) {
          const std::uint64_t version = ValueOf(answer).value("version", 0);
          const auto added =
              world_.log().accepted.emplace(version, world_.now());
          world_.log().doubly_accepted += added.second ? 0 : 1;
        } else {
          // Also when the outcome is unknown: the settings are read again.
          world_.After(milliseconds(500), [this] { ChangeSettings(); });
        }
      });
    });
  }

  void ProbeForeignSession() {
    const session_id session = callers_.front()->session();
    if (session.empty()) {
      return;
    }
    world_.Connect(
        world_.AnyRunning(), KeyOf("noisy"), read_history{session},
        [this](const answer_part& part) {
          const bool served = std::holds_alternative<final_answer>(part);
          world_.log().foreign_served += served ? 1 : 0;
        },
        [] {});
  }

  void ProbeWithdrawnKeys() {
    for (const auto& [team, at] : world_.log().withdrawn) {
      if (world_.now() < at + kProbeAfter || !probed_.insert(team).second) {
        continue;
      }
      open_session operation;
      operation.program = program_id("agent");
      for (const host_id& host : Scenario().hosts) {
        world_.Connect(
            host, KeyOf(team), operation,
            [this](const answer_part& part) {
              const bool served = std::holds_alternative<final_answer>(part);
              world_.log().served_after_withdrawal += served ? 1 : 0;
            },
            [] {});
      }
    }
  }

  bool Quiet() const {
    const bool done =
        std::all_of(callers_.begin(), callers_.end(),
                    [](const auto& entry) { return entry->done(); });
    // A planned stop may take longer than the callers' programs, for example
    // while the only successors are paused; kLongestRun bounds it.
    const bool stopped = Has(fault::process_death) ||
                         log().stops_started <= log().stops_completed;
    return done && stopped && world_.now() >= healed() &&
           world_.now() - begin_ > std::chrono::seconds(20);
  }

  const world_log& log() const { return const_cast<simulation&>(world_).log(); }

  steady_time healed() const { return log().healed; }

  // A run in which nothing happened proves nothing.
  std::string Emptiness() {
    const world_log& log = world_.log();
    if (log.executions.empty() || log.conclusions.empty()) {
      return "no call ran";
    }
    if (log.histories.empty()) {
      return "no history was read";
    }
    if (log.undecodable > 0) {
      return "a peer message could not be decoded";
    }
    if (log.stops_started > log.stops_completed && !Has(fault::process_death)) {
      return "a planned stop did not complete";
    }
    if (plan_.at == step::key_change && log.withdrawn.empty()) {
      return "no key was withdrawn";
    }
    if (plan_.at == step::config_change && log.accepted.empty()) {
      return "no change was accepted";
    }
    return "";
  }

  cell plan_;
  simulation world_;
  steady_time begin_{std::chrono::hours(1)};
  std::vector<std::unique_ptr<caller>> callers_;
  std::set<std::string> probed_;
};

}  // namespace

cell_result RunCell(const cell& plan) {
  return cell_run(plan).Run();
}

}  // namespace gentian::fault_matrix
