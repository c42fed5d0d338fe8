#ifndef TESTS_SOAK_CALLER_H_
#define TESTS_SOAK_CALLER_H_

#include <functional>
#include <string>

#include "gentian_core/gentian_core.h"
#include "judge.h"
#include "stream_text.h"

namespace gentian::soak {

/** A caller that sends one request after the other and keeps its connection for
    as long as it is open. Resumes a stream that breaks off, as the platform's
    callers do. */
class caller {
 public:
  /** @param choose  the address of the next gateway to connect to */
  caller(std::string name,
         std::uint64_t seed,
         std::function<std::string(std::uint64_t random)> choose,
         judge& seen);
  ~caller();
  caller(const caller&) = delete;
  caller& operator=(const caller&) = delete;

  /** Sends requests until `stop` holds. */
  void Run(const std::function<bool()>& stop);

  /** Sends a request that may run once only.

      @param delay    between the parts in which it is sent; 0 to send it at
     once
      @param is_long  its target works for long */
  void RunOnce(milliseconds delay, bool is_long);

 private:
  /** One answer. */
  struct answer {
    /** 0 if none came. */
    int status = 0;
    std::string head;
    std::string body;
    bool is_whole = false;
    /** The gateway closed the connection. */
    bool has_ended = false;
    /** When the last byte of the request was sent. */
    steady_time sent_at;
  };

  void RunStream();
  std::string NextRequestId();
  bool EnsureConnected();
  void Disconnect();
  /** Sends a request on the open connection, or on a new one. */
  answer Exchange(const std::string& request,
                  milliseconds delay = milliseconds(0));
  void ReadAnswer(answer& out);
  /** Reads the body of an answer in chunks; false if it breaks off. */
  bool ReadChunks(answer& out);
  /** Receives more; notes in `out` if the connection has ended. */
  bool Fill(answer& out);
  void CheckAnswer(const answer& got, const std::string& request);

  const std::string name_;
  seeded_random random_;
  std::function<std::string(std::uint64_t random)> choose_;
  judge& seen_;
  std::string gateway_;
  int socket_ = -1;
  std::string input_;
  steady_time deadline_;
  int last_request_ = 0;
};

}  // namespace gentian::soak

#endif  // TESTS_SOAK_CALLER_H_
