#ifndef TESTS_SOAK_ENGINE_H_
#define TESTS_SOAK_ENGINE_H_

#include <atomic>
#include <mutex>
#include <string>

#include "connection_server.h"
#include "endless_answer.h"
#include "gentian_core/gentian_core.h"
#include "judge.h"
#include "stream_text.h"

namespace gentian::soak {

/** A stand-in of a target: streams events of an order under `/turn/`, and runs
    requests that may run once only under `/once/`. Each start of a target is an
    object of its own. */
class engine {
 public:
  engine(std::string id,
         std::string service,
         std::string version,
         std::uint64_t seed,
         judge& seen);

  const std::string& id() const { return id_; }
  const std::string& service() const { return service_; }
  const std::string& version() const { return version_; }
  const std::string& address() const { return server_.address(); }

  /** The entry under which it registers.

      @param address  at which a host reaches it */
  std::string Entry(const std::string& address) const;

  void SetDraining() { is_draining_ = true; }
  /** Share of the answers that are damaged from now on. */
  /** Has it answer all requests without end; nothing for sound answers. */
  void SetEndless(const endless_answer* form) { endless_ = form; }
  void SetDamagedShare(double share) { damaged_share_ = share; }
  /** Sends nothing for this time. */
  void Pause(milliseconds length);
  /** Ends as a process that is killed: its port closes, and then its
      connections, in order. */
  void Crash();
  /** Ends after the answers in progress. */
  void Leave() { server_.Close(); }
  bool HasEnded() const { return !server_.IsOpen(); }

 private:
  enum class damage {
    none,
    cut_in_head,
    cut_in_body,
    no_answer,
    late_copy,
  };
  enum class framing { chunks, length, connection };

  void Serve(int socket);
  /** False if the connection is to be closed. */
  bool Answer(int socket, const std::string& head, const std::string& body);
  bool Stream(int socket,
              const std::string& head,
              const stream_order& order,
              damage fault);
  /** Sends at the rate of its network link until the client closes. */
  void SendWithoutEnd(int socket,
                      const endless_answer& form,
                      const std::string& request);
  bool RunOnce(int socket,
               const std::string& request,
               milliseconds work,
               damage fault);
  bool SendWhole(int socket, const std::string& answer, damage fault);
  /** Waits; false if the client has left or the engine has crashed. */
  bool Work(int socket, milliseconds length);
  damage NextDamage();
  std::uint64_t Below(std::uint64_t bound);

  const std::string id_;
  const std::string service_;
  const std::string version_;
  const milliseconds started_at_;
  judge& seen_;
  std::mutex mutex_;
  seeded_random random_;
  std::atomic<double> damaged_share_{0};
  std::atomic<const endless_answer*> endless_{nullptr};
  /** When its link can take the next part. */
  steady_time link_free_at_;
  std::atomic<bool> is_draining_{false};
  std::atomic<bool> has_crashed_{false};
  std::atomic<steady_time> paused_until_{steady_time()};
  /** Last, because its threads use the others. */
  connection_server server_;
};

}  // namespace gentian::soak

#endif  // TESTS_SOAK_ENGINE_H_
