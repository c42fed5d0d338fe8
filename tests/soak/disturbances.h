#ifndef TESTS_SOAK_DISTURBANCES_H_
#define TESTS_SOAK_DISTURBANCES_H_

#include <functional>
#include <map>
#include <set>
#include <string>
#include <vector>

#include "deployment.h"
#include "late_callers.h"
#include "signal_series.h"
#include "unfinished_bodies.h"

namespace gentian::soak {

/** Does things to a deployment, by a seed: the same things in the same order
    for the same seed. They come in series and overlap. Used on the thread that
    made the deployment. */
class disturbances {
 public:
  /** @param binary  the build that is started after a kill or a stop */
  disturbances(deployment& subject,
               judge& seen,
               std::uint64_t seed,
               std::string binary,
               std::function<void(const std::string&)> log);

  /** Plans disturbances of all kinds, or of those named.

      @param kinds  empty for all */
  void Plan(milliseconds length, const std::set<std::string>& kinds);
  /** Replaces the build of all hosts, one after the other. */
  void PlanUpgrade(milliseconds start, const std::string& binary);
  /** Does what is due. */
  void Tick();
  /** Kills a process and starts it again. */
  void Restart(product_process& process);
  /** Starts processes that ended by themselves again. */
  void RestartEnded();
  /** Ends all that has an end, for the rest of the run. */
  void EndAll();

  /** Names of all kinds. */
  static std::vector<std::string> Kinds();

 private:
  struct kind {
    const char* name;
    void (disturbances::*begin)();
    /** Of a hundred. */
    std::uint64_t weight;
    /** Used only if it is named: it shows a known fault. */
    bool is_known_red = false;
  };
  struct action {
    std::string what;
    std::function<void()> run;
  };

  static const std::vector<kind>& Table();

  void After(milliseconds delay, std::string what, std::function<void()> run);
  milliseconds Length(milliseconds least, milliseconds most);
  /** A gateway that nothing else happens to, or nothing. */
  std::optional<std::size_t> TakeGateway();
  /** Starts the process when it has ended, or kills it after the limit. */
  void RestartWhenEnded(product_process& process,
                        steady_time limit,
                        const std::function<void()>& done);
  void StopAndStart(product_process& process,
                    const std::function<void()>& done);
  void UpgradeNext();
  /** A gateway or turn store that nothing else happens to, or nullptr. */
  product_process* TakeHost();
  void Free(product_process& process);
  /** Begins to send signals to the process that was started last. */
  void SendSignals(product_process& process, signal_plan plan);
  /** Asks a process to stop, with callers that come late. */
  void Stop(product_process& process);
  /** Something unplanned begins at a gateway or turn store. */
  void OnTroubleAt(product_process& process, milliseconds length);
  /** Leaves the settings file empty, and then written in part, for a while. */
  void RewriteSettings(product_process& process,
                       const std::function<void()>& done);
  void ResumeAfterHandOver(product_process& process, steady_time limit);

  void KillGateway();
  void KillMostGateways();
  void FreezeGateway();
  void StopGateway();
  void CutTargets();
  void HoldTargets();
  void ResetTargets();
  void CutStore();
  void KillTurnStore();
  void CrashEngines();
  void PauseEngine();
  void DamageAnswers();
  void SendEndlessAnswers();
  /** Callers that send large bodies and never finish them. */
  void SendUnfinishedBodies();
  void Release();
  void SignalHost();
  void SignalAtStart();
  /** SIGHUP and SIGTERM all through a planned stop. */
  void SignalThroughStop();
  /** A successor starts while its predecessor still stops. */
  void HandOver();
  void ChangeSettings();
  void StartOnUnfinishedSettings();
  void LimitFileSize();
  void LimitAddressSpace();
  void LimitDescriptors();
  void StartLimited(product_process& process, const process_limits& limits);

  /** Something unplanned begins at a gateway. */
  void OnTrouble(std::size_t gateway, milliseconds length);
  /** Something unplanned begins at targets, links to them or stores. */
  void OnTroubleOutside(milliseconds length);

  deployment& subject_;
  judge& seen_;
  seeded_random random_;
  std::string binary_;
  std::function<void(const std::string&)> log_;
  steady_time started_at_;
  std::multimap<steady_time, action> due_;
  std::set<product_process*> busy_;
  std::vector<std::unique_ptr<signal_series>> signals_;
  std::vector<std::unique_ptr<unfinished_bodies>> unfinished_;
  std::vector<std::unique_ptr<late_callers>> late_;
  /** Hosts whose build is still to be replaced, the next one last. */
  std::vector<product_process*> upgrades_;
  int last_version_ = 1;
};

}  // namespace gentian::soak

#endif  // TESTS_SOAK_DISTURBANCES_H_
