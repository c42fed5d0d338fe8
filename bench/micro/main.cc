// Processor time of one request through a lone call_scheduler against the
// number of engines, teams, sessions and configured daemons, as slopes.
#include <cmath>
#include <cstdio>
#include <ctime>
#include <string>

#include "control_traffic.h"
#include "decisions/scheduling_fakes.h"
#include "log_cost.h"

namespace gentian {
namespace {

constexpr int kRequests = 3'000;
constexpr int kScales[] = {1, 10, 100};

struct sizes {
  int daemons = 6;
  int engines = 9;
  int teams = 8;
  int sessions = 100;
};

double ProcessorSeconds() {
  return static_cast<double>(std::clock()) / CLOCKS_PER_SEC;
}

// The daemon under test sees only itself alive, so that it schedules the pool.
double MicrosecondsPerRequest(const sizes& size) {
  configuration settings = MakeSettings(size.daemons, size.engines, 16);
  for (int i = 0; i < size.teams; ++i) {
    AddTeam(settings, "t" + std::to_string(i), 1e9, 1e9);
  }
  fake_view view("d0", 1, &settings);
  member self;
  self.id = view.self();
  view.members.push_back(self);
  call_scheduler subject(view);
  fake_listener heard(subject);
  subject.SetListener(&heard);
  step_fixture step;
  const double start = ProcessorSeconds();
  for (int i = 1; i <= kRequests; ++i) {
    step.now += milliseconds(1);
    step.commands.clear();
    node_context context = step.Context();
    const auto ticket = static_cast<ticket_id>(i);
    subject.Admit(MakeItem(ticket, "t" + std::to_string(i % size.teams),
                           "s" + std::to_string(i % size.sessions)),
                  context);
    subject.Finish(ticket, call_usage{1'000, 0, 50}, context);
  }
  return (ProcessorSeconds() - start) * 1e6 / kRequests;
}

void Measure(const char* name, int sizes::*field) {
  double cost[3] = {};
  for (int i = 0; i < 3; ++i) {
    sizes size;
    size.*field *= kScales[i];
    cost[i] = MicrosecondsPerRequest(size);
  }
  std::printf("%-10s %9.1f %9.1f %9.1f us/request, log-log slope %5.2f\n", name,
              cost[0], cost[1], cost[2], std::log10(cost[2] / cost[0]) / 2);
}

}  // namespace
}  // namespace gentian

int main() {
  using gentian::sizes;
  std::printf("%-10s %9s %9s %9s\n", "against", "1x", "10x", "100x");
  gentian::Measure("daemons", &sizes::daemons);
  gentian::Measure("engines", &sizes::engines);
  gentian::Measure("teams", &sizes::teams);
  gentian::Measure("sessions", &sizes::sessions);
  gentian::MeasureLogCost();
  gentian::MeasureControlTraffic();
}
