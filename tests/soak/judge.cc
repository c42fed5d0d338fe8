#include "judge.h"

#include <algorithm>
#include <sstream>

namespace gentian::soak {

namespace {

// The bounds of the deployment, as in the settings of its processes.
constexpr milliseconds kGrace{8'000};
constexpr milliseconds kStableWindow{3'000};
constexpr milliseconds kMaxCrossing{200};
constexpr milliseconds kEarlyPart{3'000};
constexpr int kLastShare = 6;
// In place of a gateway's address.
constexpr const char* kEverywhere = "";

// The software version in an event's data.
std::string VersionOf(const std::string& event) {
  const std::string name = "data: ";
  const std::size_t start = event.find(name);
  if (start == std::string::npos) {
    return {};
  }
  const std::size_t first = start + name.size();
  return event.substr(first, event.find(' ', first) - first);
}

std::vector<std::string> EventsOf(const std::string& text) {
  std::vector<std::string> events;
  std::size_t start = 0;
  std::size_t end = 0;
  while ((end = text.find("\n\n", start)) != std::string::npos) {
    events.push_back(text.substr(start, end + 2 - start));
    start = end + 2;
  }
  if (start < text.size()) {
    events.push_back(text.substr(start));
  }
  return events;
}

}  // namespace

void judge::OnRun(const std::string& request) {
  const std::lock_guard<std::mutex> lock(mutex_);
  ++runs_[request];
}

void judge::OnRefused(const std::string& request, int status) {
  const std::lock_guard<std::mutex> lock(mutex_);
  refused_[request] = status;
}

void judge::OnStream(const stream_order& order,
                     const std::string& text,
                     bool is_whole,
                     const std::string& story) {
  const std::vector<std::string> events = EventsOf(text);
  const std::string version = events.empty() ? "" : VersionOf(events.front());
  int number = 0;
  for (const std::string& event : events) {
    if (event != EventText(order, version, ++number)) {
      const bool mixes = event == EventText(order, VersionOf(event), number);
      std::ostringstream what;
      what << "event " << number << " of " << EncodeOrder(order) << " is '"
           << event << "'; " << story;
      Report(mixes ? "ORDER, two versions" : "ORDER", what.str());
      return;
    }
  }
  if (is_whole && number < order.events) {
    Report("ORDER, ends early", std::to_string(number) + " events of " +
                                    EncodeOrder(order) + "; " + story);
  }
}

void judge::Report(const std::string& rule, const std::string& what) {
  const std::lock_guard<std::mutex> lock(mutex_);
  broken_.push_back(rule + ": " + what);
}

void judge::OnBrokenOff(const std::string& request) {
  const std::lock_guard<std::mutex> lock(mutex_);
  broken_off_.insert(request);
}

void judge::OnTrouble(const std::string& gateway, milliseconds length) {
  const std::lock_guard<std::mutex> lock(mutex_);
  const steady_time now = BootTimeNow();
  troubles_[gateway].push_back({now, now + length});
}

void judge::OnStop(const std::string& gateway) {
  const std::lock_guard<std::mutex> lock(mutex_);
  stops_[gateway].push_back(BootTimeNow());
}

void judge::OnUnanswered(const unanswered_request& request) {
  const std::lock_guard<std::mutex> lock(mutex_);
  unanswered_.push_back(request);
}

bool judge::IsExcused(const unanswered_request& request,
                      const std::string& place) const {
  const auto found = troubles_.find(place);
  return found != troubles_.end() &&
         std::any_of(found->second.begin(), found->second.end(),
                     [&request](const span& next) {
                       return next.begin <= request.ended_at &&
                              request.sent_at <= next.end + kStableWindow;
                     });
}

// A request that crosses the close of its connection and is not passed on does
// not count.
bool judge::IsLost(const unanswered_request& request) const {
  const auto ran = runs_.find(request.id);
  if ((ran == runs_.end() &&
       request.ended_at - request.sent_at <= kMaxCrossing) ||
      broken_off_.count(request.id) > 0) {
    return false;
  }
  if (request.ended_at - request.sent_at >= request.time_left ||
      IsExcused(request, request.gateway) || IsExcused(request, kEverywhere)) {
    return false;
  }
  if (const auto found = stops_.find(request.gateway);
      found != stops_.end() && ran != runs_.end()) {
    for (const steady_time stop : found->second) {
      // Work that was begun early may be cut at the very end.
      if (request.sent_at <= stop + kEarlyPart &&
          request.ended_at >= stop + kGrace - kGrace / kLastShare) {
        return false;
      }
    }
  }
  return true;
}

void judge::Count(const std::string& outcome) {
  const std::lock_guard<std::mutex> lock(mutex_);
  ++counts_[outcome];
}

std::vector<std::string> judge::Finish() {
  const std::lock_guard<std::mutex> lock(mutex_);
  for (const auto& [request, runs] : runs_) {
    if (runs > 1) {
      broken_.push_back("TWICE: " + request + " ran " + std::to_string(runs) +
                        " times");
    }
    const auto refused = refused_.find(request);
    if (refused != refused_.end()) {
      broken_.push_back("REFUSED: " + request + " ran and was answered " +
                        std::to_string(refused->second));
    }
  }
  for (const unanswered_request& next : unanswered_) {
    if (IsLost(next)) {
      broken_.push_back(
          "LOST: " + next.id + " at " + next.gateway + " had no answer " +
          std::to_string(ToMilliseconds(next.ended_at - next.sent_at).count()) +
          " ms after its last byte, and ran " +
          std::to_string(runs_.count(next.id)) + " times");
    }
  }
  return broken_;
}

std::map<std::string, int> judge::counts() {
  const std::lock_guard<std::mutex> lock(mutex_);
  return counts_;
}

}  // namespace gentian::soak
