#ifndef GENTIAN_DECISIONS_ANSWER_SINK_H_
#define GENTIAN_DECISIONS_ANSWER_SINK_H_

#include "gentian_decisions/answer_part.h"
#include "gentian_decisions/answer_route.h"
#include "gentian_decisions/node_context.h"

namespace gentian {

/** Sends answers to callers connected to this or another daemon. */
class answer_sink {
 public:
  virtual ~answer_sink() = default;

  /** Sends a part. A final_answer or an error ends the answer. */
  virtual void Reply(const answer_route& route,
                     answer_part part,
                     node_context& context) = 0;
};

}  // namespace gentian

#endif  // GENTIAN_DECISIONS_ANSWER_SINK_H_
