#include "gentian_log/request_history.h"

#include <algorithm>
#include <array>
#include <ctime>
#include <iomanip>
#include <istream>
#include <optional>
#include <set>
#include <sstream>
#include <utility>

namespace gentian {

namespace {

// How far before a request host events are included. State is read again every
// one to two seconds and leases last some seconds, so an event of this time may
// have decided the outcome.
constexpr milliseconds kContextBefore{10'000};
// How far after a request host events are included: a daemon detects a lost
// dependency only when it next reads from it.
constexpr milliseconds kContextAfter{2'000};

struct meaning_row {
  const char* outcome;
  const char* meaning;
};

constexpr std::array<meaning_row, 27> kMeanings = {{
    {"answered", "The target's response was forwarded to the caller."},
    {"caller_gone",
     "The caller closed its connection before the response was complete."},
    {"malformed", "Not run. The request could not be read."},
    {"unknown_route", "Not run. No route of that configuration matched."},
    {"unknown_key", "Not run. No team of that configuration has the key."},
    {"too_large", "Not run. The request was larger than configured."},
    {"over_allowance",
     "Not run. The team exceeded its rate limit; look at its other requests at "
     "this host in the seconds before."},
    {"allowance_unavailable",
     "Not run. No daemon that holds a part of the team's allowance answered; "
     "look for changes of members."},
    {"stale_configuration",
     "Not run. The configuration was too old to verify the key; look for a "
     "lost connection to the key-value service on this host."},
    {"budget_spent",
     "Not run. The program's remaining token budget was too small for the "
     "turn; look at the tokens that its earlier turns claimed."},
    {"budget_unavailable",
     "Not run. The program's budget could not be read or written; look for a "
     "lost connection to the key-value service on the owner."},
    {"unknown_turn",
     "Not run. Every turn store said that the team has no turn with the ID of "
     "the previous turn."},
    {"history_unavailable",
     "Not run. A turn store that may hold the previous turn did not answer; "
     "look for lost turn stores."},
    {"overloaded",
     "Not run. The turn was queued at its owner until its wait limit passed; "
     "look at the load that targets reported."},
    {"stream_origin_unknown",
     "Not run. It is not known which software began the stream that the "
     "request "
     "resumes; look at `stream origin looked up` and at lost turn stores."},
    {"stream_software_gone",
     "Not run. No target runs the software that began the stream; look at the "
     "changes of targets before it."},
    {"home_unavailable",
     "Not run. The service has targets, but none in a region in which the "
     "request may be served; look at `homes` and at evacuated domains."},
    {"no_target",
     "Not run. No target of the service was usable; look at the changes of "
     "targets before it."},
    {"targets_full",
     "Not run. Each target that was tried rejected the request."},
    {"targets_limited",
     "Not run. The limits that targets name left no room in time; look at "
     "changes of limits and at the gateways that pace these targets."},
    {"blocked_request",
     "Not run. Three targets ended while they ran a request with this "
     "fingerprint; look for `request blocked` at other hosts."},
    {"too_late", "Not run. The caller's deadline passed while it waited."},
    {"stopping",
     "Not run. The gateway was stopping, and an answer could not be expected "
     "in time."},
    {"target_failed",
     "May have run. A target failed before its response was complete; look at "
     "other requests to the same target."},
    {"turn_not_kept",
     "Run, and its events were sent, but too few turn stores confirmed the "
     "turn, so the answer was broken off; look for lost turn stores."},
    {"no_memory",
     "Not run. The gateway had no memory for a request of this size; see "
     "`message given up for want of memory`."},
    {"target_timeout",
     "May have run. No complete response arrived before the caller's "
     "deadline."},
}};

// Parses a UTC time such as "2026-08-18T08:46:47.959Z".
std::optional<milliseconds> ParseTime(const std::string& text) {
  std::tm parts{};
  std::istringstream in(text);
  in >> std::get_time(&parts, "%Y-%m-%dT%H:%M:%S");
  if (in.fail()) {
    return std::nullopt;
  }
  int fraction = 0;
  if (in.peek() == '.') {
    in.ignore();
    in >> fraction;
  }
  constexpr int kMillisecondsPerSecond = 1'000;
  return milliseconds(static_cast<milliseconds::rep>(timegm(&parts)) *
                          kMillisecondsPerSecond +
                      fraction);
}

// True for the values that stand for an absent one in a log line.
bool IsUnset(const json& value) {
  return value.is_null() || value == json("") || value == json(-1);
}

std::string TextIn(const json& fields, const char* name) {
  const auto found = fields.find(name);
  return found != fields.end() && found->is_string() ? found->get<std::string>()
                                                     : std::string();
}

std::optional<request_history::step> ParseLine(const std::string& line) {
  const std::size_t start = line.find('{');
  if (start == std::string::npos) {
    return std::nullopt;
  }
  json fields = json::parse(line.substr(start), nullptr, false);
  if (!fields.is_object()) {
    return std::nullopt;
  }
  const auto at = ParseTime(TextIn(fields, "time"));
  if (!at) {
    return std::nullopt;
  }
  request_history::step step;
  step.at = *at;
  step.host = TextIn(fields, "host");
  step.message = TextIn(fields, "message");
  for (const char* name : {"time", "host", "message"}) {
    fields.erase(name);
  }
  for (auto next = fields.begin(); next != fields.end();) {
    next = IsUnset(*next) ? fields.erase(next) : std::next(next);
  }
  step.fields = std::move(fields);
  return step;
}

}  // namespace

void request_history::Read(std::istream& lines) {
  std::string line;
  while (std::getline(lines, line)) {
    if (line.empty()) {
      continue;
    }
    std::optional<step> parsed = ParseLine(line);
    if (!parsed) {
      ++unreadable_;
      continue;
    }
    parsed->names_id = TextIn(parsed->fields, "request") == id_ ||
                       TextIn(parsed->fields, "program") == id_;
    if (parsed->names_id) {
      matching_.push_back(std::move(*parsed));
    } else if (!parsed->fields.contains("request") &&
               !parsed->fields.contains("program")) {
      host_events_.push_back(std::move(*parsed));
    }
  }
}

std::vector<request_history::step> request_history::Steps() const {
  if (matching_.empty()) {
    return {};
  }
  std::set<std::string> hosts;
  std::set<std::string> targets;
  milliseconds first = matching_.front().at;
  milliseconds last = first;
  for (const step& next : matching_) {
    hosts.insert(next.host);
    targets.insert(TextIn(next.fields, "target"));
    // The line is written at the end of a request; subtract its duration.
    const auto lasted = milliseconds(next.fields.value("duration_ms", 0));
    first = std::min(first, next.at - lasted);
    last = std::max(last, next.at);
  }
  std::vector<step> steps = matching_;
  for (const step& next : host_events_) {
    const std::string target = TextIn(next.fields, "target");
    if (hosts.count(next.host) > 0 && next.at >= first - kContextBefore &&
        next.at <= last + kContextAfter &&
        (target.empty() || targets.count(target) > 0)) {
      steps.push_back(next);
    }
  }
  std::stable_sort(steps.begin(), steps.end(),
                   [](const step& a, const step& b) { return a.at < b.at; });
  return steps;
}

std::string request_history::Outcome() const {
  const step* latest = nullptr;
  for (const step& next : matching_) {
    if (next.message == "request ended" &&
        (latest == nullptr || next.at >= latest->at)) {
      latest = &next;
    }
  }
  return latest == nullptr ? "" : TextIn(latest->fields, "outcome");
}

std::string request_history::MeaningOf(const std::string& outcome) {
  for (const meaning_row& row : kMeanings) {
    if (outcome == row.outcome) {
      return row.meaning;
    }
  }
  return outcome.empty()
             ? "No line reports its end: the process was killed, the lines "
               "were discarded by sampling, or its log is missing."
             : "";
}

}  // namespace gentian
