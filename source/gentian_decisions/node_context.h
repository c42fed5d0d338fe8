#ifndef GENTIAN_DECISIONS_NODE_CONTEXT_H_
#define GENTIAN_DECISIONS_NODE_CONTEXT_H_

#include <utility>
#include <vector>

#include "gentian_decisions/command.h"

namespace gentian {

/** What a part of a node may use while it handles one event. */
struct node_context {
  steady_time now;
  /** Commands of this step, in the order in which they are carried out. */
  std::vector<command>& commands;
  counter_set& counters;
  random_source& random;

  /** Appends a command. */
  void Emit(command next) { commands.push_back(std::move(next)); }
};

}  // namespace gentian

#endif  // GENTIAN_DECISIONS_NODE_CONTEXT_H_
