#ifndef GENTIAN_ADAPTERS_TARGET_STREAM_H_
#define GENTIAN_ADAPTERS_TARGET_STREAM_H_

#include <memory>
#include <string>
#include <string_view>

#include "gentian_adapters/chat_assembler.h"
#include "gentian_adapters/target_gateway.h"
#include "gentian_net/event_stream.h"
#include "gentian_net/http_client.h"

namespace gentian {

/** Turns the HTTP answer to one dispatch into target events. */
class target_stream {
 public:
  /** @param assembler  joins the chunks; the same one for a resumed stream */
  target_stream(const dispatch_call& call,
                std::shared_ptr<chat_assembler> assembler,
                target_gateway::event_sink sink);

  void OnHeader(int status, const http_headers& headers);
  void OnBody(std::string_view bytes);
  void OnEnd();
  void OnFailure(http_failure failure, const std::string& message);

 private:
  void TakeEvent(const stream_event& event);
  void Finish(json body);
  void Fail(target_failure failure, const std::string& message);

  dispatch_id id_;
  target_gateway::event_sink sink_;
  int status_ = 0;
  bool is_stream_ = false;
  bool rejected_not_run_ = false;
  bool complete_ = false;
  /** The answer was reported; what still comes of it is dropped. */
  bool ended_ = false;
  std::string stream_id_;
  std::string body_;
  std::uint64_t next_offset_;
  event_stream_parser parser_;
  std::shared_ptr<chat_assembler> assembler_;
};

}  // namespace gentian

#endif  // GENTIAN_ADAPTERS_TARGET_STREAM_H_
