#include "gentian_daemon/caller_request_reader.h"

#include <algorithm>
#include <array>
#include <charconv>
#include <optional>
#include <utility>
#include <vector>

#include "gentian_daemon/credential_filter.h"

namespace gentian {

namespace {

using operation_result = result<caller_operation>;

error Malformed(const std::string& message, const std::string& remedy) {
  return error{error_kind::malformed_request, message, remedy};
}

std::vector<std::string> SplitPath(const std::string& target) {
  const std::string path = target.substr(0, target.find('?'));
  std::vector<std::string> parts;
  std::size_t start = 1;
  while (start < path.size()) {
    const std::size_t end = std::min(path.find('/', start), path.size());
    parts.push_back(PercentDecode(path.substr(start, end - start)));
    start = end + 1;
  }
  return parts;
}

std::optional<std::uint64_t> ReadNumber(const std::string& text) {
  std::uint64_t value = 0;
  const char* const end = text.data() + text.size();
  const auto parsed = std::from_chars(text.data(), end, value);
  if (text.empty() || parsed.ec != std::errc() || parsed.ptr != end) {
    return std::nullopt;
  }
  return value;
}

result<std::optional<std::uint64_t>> ReadSequence(const http_headers& headers) {
  const std::string text = headers.Find("X-Sequence");
  if (text.empty()) {
    return std::optional<std::uint64_t>();
  }
  const auto value = ReadNumber(text);
  if (!value) {
    return Malformed("X-Sequence is not a number",
                     "send the expected position of the call, or nothing");
  }
  return value;
}

// JSON numbers below zero, or too large for an integer, would become others.
bool IsWholeNumbers(const json& limits) {
  return limits.is_object() &&
         std::all_of(limits.begin(), limits.end(), [](const json& limit) {
           return limit.is_number_unsigned() || limit.is_null();
         });
}

operation_result ReadOpenSession(const filtered_request& request) {
  if (!request.body.is_object() || !request.body.contains("program")) {
    return Malformed("the body names no program",
                     R"(send {"program": "NAME"})");
  }
  try {
    open_session operation;
    operation.program = request.body.at("program").get<program_id>();
    if (request.body.contains("budget")) {
      if (!IsWholeNumbers(request.body.at("budget"))) {
        return Malformed("a limit of the budget is not a whole number",
                         "send whole numbers of zero or more");
      }
      operation.budget = request.body.at("budget").get<budget_request>();
    }
    if (request.body.contains("parent")) {
      operation.parent = request.body.at("parent").get<session_id>();
    }
    return operation;
  } catch (const json::exception&) {
    return Malformed("program, budget or parent has the wrong type",
                     "send names as text and limits as whole numbers");
  }
}

operation_result ReadModelCall(const filtered_request& request) {
  model_call operation;
  operation.session = session_id(request.headers.Find("X-Session"));
  if (operation.session.empty()) {
    return Malformed("the header X-Session is missing",
                     "open a session with POST /v1/sessions and send its id");
  }
  if (!request.body.is_object() || !request.body.contains("messages") ||
      !request.body["messages"].is_array()) {
    return Malformed("the body has no list of messages",
                     "send a chat-completions request");
  }
  const auto sequence = ReadSequence(request.headers);
  if (Failed(sequence)) {
    return ErrorOf(sequence);
  }
  operation.sequence = ValueOf(sequence);
  operation.idempotency_key = request.headers.Find("Idempotency-Key");
  operation.body = request.body;
  const auto stream = request.body.find("stream");
  operation.stream = stream != request.body.end() && *stream == true;
  return operation;
}

operation_result ReadToolCall(const filtered_request& request,
                              const std::string& session,
                              const std::string& tool) {
  tool_call operation;
  operation.session = session_id(session);
  operation.tool = tool;
  const auto sequence = ReadSequence(request.headers);
  if (Failed(sequence)) {
    return ErrorOf(sequence);
  }
  operation.sequence = ValueOf(sequence);
  operation.idempotency_key = request.headers.Find("Idempotency-Key");
  operation.repeatable = request.headers.Find("X-Repeatable") == "true";
  operation.body = request.body;
  return operation;
}

operation_result ReadResume(const filtered_request& request,
                            const std::string& session,
                            const std::string& call) {
  resume_events operation;
  operation.session = session_id(session);
  const auto number = ReadNumber(call);
  const std::string last = request.headers.Find("Last-Event-ID");
  const auto after =
      last.empty() ? std::optional<std::uint64_t>(0) : ReadNumber(last);
  if (!number || !after) {
    return Malformed("the call or Last-Event-ID is not a number",
                     "send the number from X-Call and the last event's id");
  }
  operation.call = *number;
  operation.after_event = *after;
  return operation;
}

// Paths with a session: /v1/sessions/{id}[/…].
std::optional<operation_result> ReadSessionPath(
    const filtered_request& request,
    const std::string& method,
    const std::vector<std::string>& path) {
  const session_id session(path[2]);
  if (method == "DELETE" && path.size() == 3) {
    return end_session{session};
  }
  if (method == "GET" && path.size() == 4 && path[3] == "history") {
    return read_history{session};
  }
  if (method == "POST" && path.size() == 5 && path[3] == "tools") {
    return ReadToolCall(request, path[2], path[4]);
  }
  if (method == "GET" && path.size() == 6 && path[3] == "calls" &&
      path[5] == "events") {
    return ReadResume(request, path[2], path[4]);
  }
  return std::nullopt;
}

operation_result ReadOperation(const filtered_request& request,
                               const std::string& method) {
  const std::vector<std::string> path = SplitPath(request.target);
  const auto is = [&](const char* expected,
                      std::initializer_list<const char*> parts) {
    return method == expected &&
           std::equal(path.begin(), path.end(), parts.begin(), parts.end());
  };
  if (is("GET", {"v1", "addresses"})) {
    return list_addresses{};
  }
  if (is("POST", {"v1", "sessions"})) {
    return ReadOpenSession(request);
  }
  if (is("POST", {"v1", "chat", "completions"})) {
    return ReadModelCall(request);
  }
  if (path.size() >= 3 && path[0] == "v1" && path[1] == "sessions") {
    if (auto operation = ReadSessionPath(request, method, path)) {
      return *operation;
    }
  }
  return plain_call{method, request.target, request.body};
}

}  // namespace

result<parsed_request> ReadCallerRequest(const http_request& request) {
  result<filtered_request> filtered = FilterCredentials(request);
  if (Failed(filtered)) {
    return ErrorOf(filtered);
  }
  operation_result operation = ReadOperation(ValueOf(filtered), request.method);
  if (Failed(operation)) {
    return ErrorOf(operation);
  }
  parsed_request parsed;
  parsed.key = ValueOf(filtered).key;
  parsed.operation = std::move(ValueOf(operation));
  if (const auto* call = std::get_if<model_call>(&parsed.operation)) {
    parsed.streams = call->stream;
    parsed.call = call->sequence.value_or(0);
  }
  if (const auto* resumed = std::get_if<resume_events>(&parsed.operation)) {
    parsed.streams = true;
    parsed.call = resumed->call;
  }
  return parsed;
}

}  // namespace gentian
