#include "gentian_app/admin_session.h"

#include <future>
#include <iostream>
#include <utility>

#include "gentian_app/exit_code.h"

namespace gentian {

namespace {

constexpr int kFirstErrorStatus = 400;

error Unreachable(const std::string& address, const std::string& message) {
  return error{error_kind::unavailable,
               "can not reach " + address + ": " + message,
               "check --address and [admin] of the daemon's file, or use "
               "another daemon"};
}

error NoConfirmation(const std::string& message) {
  return error{error_kind::outcome_unknown, "no confirmation came: " + message,
               "read the settings and the history before trying again",
               call_outcome::unknown};
}

error Unreadable() {
  return error{error_kind::internal, "the answer is not that of a daemon",
               "check that --address is an administration API"};
}

result<json> ReadAnswer(const http_response& answer, bool changes) {
  const result<json> body = ParseJsonBody(answer.body);
  if (Failed(body)) {
    return changes ? NoConfirmation("the answer can not be read")
                   : Unreadable();
  }
  if (answer.status < kFirstErrorStatus) {
    return body;
  }
  const auto reason = ValueOf(body).find("error");
  if (reason == ValueOf(body).end() || !reason->is_object()) {
    return Unreadable();
  }
  try {
    return reason->get<error>();
  } catch (const json::exception&) {
    return changes ? NoConfirmation("the answer can not be read")
                   : Unreadable();
  }
}

std::shared_ptr<tls_context> MakeTls(const admin_options& options) {
  if (!options.tls && options.authorities.empty()) {
    return nullptr;
  }
  tls_files files;
  files.authorities = options.authorities;
  return std::make_shared<tls_context>(files);
}

}  // namespace

admin_session::admin_session(admin_options options)
    : options_(std::move(options)) {}

result<json> admin_session::Get(const std::string& path) {
  http_client_request request;
  request.target = "/admin/v1/" + path;
  return Exchange(std::move(request), false);
}

result<json> admin_session::Post(const std::string& path, const json& body) {
  http_client_request request;
  request.method = "POST";
  request.target = "/admin/v1/" + path;
  request.headers.Add("Content-Type", "application/json");
  request.body = body.dump(-1, ' ', false, json::error_handler_t::replace);
  return Exchange(std::move(request), true);
}

result<json> admin_session::Exchange(http_client_request request,
                                     bool changes) {
  request.address = options_.address;
  request.deadline = options_.timeout;
  request.headers.Add("Authorization", "Bearer " + options_.key);
  const std::shared_ptr<tls_context> tls = MakeTls(options_);
  if (tls) {
    const result<success> loaded = tls->Reload();
    if (Failed(loaded)) {
      return ErrorOf(loaded);
    }
  }
  io_pool pool(1);
  http_client client(pool, tls);
  auto promise = std::make_shared<std::promise<result<json>>>();
  std::future<result<json>> answered = promise->get_future();
  const auto call = client.Fetch(
      std::move(request),
      [promise, changes](const http_response& answer) {
        promise->set_value(ReadAnswer(answer, changes));
      },
      [this, promise, changes](http_failure failure,
                               const std::string& message) {
        if (failure == http_failure::not_sent || !changes) {
          unreachable_ = true;
          promise->set_value(Unreachable(options_.address, message));
        } else {
          promise->set_value(NoConfirmation(message));
        }
      });
  return answered.get();
}

result<settings_snapshot> admin_session::ReadSettings() {
  const result<json> answer = Get("settings");
  if (Failed(answer)) {
    return ErrorOf(answer);
  }
  try {
    settings_snapshot snapshot;
    snapshot.version = ValueOf(answer).at("version").get<std::uint64_t>();
    snapshot.tree = ValueOf(answer).at("settings").get<settings_tree>();
    return snapshot;
  } catch (const json::exception&) {
    return Unreadable();
  }
}

void admin_session::Print(const json& answer, const std::string& text) const {
  if (options_.as_json) {
    std::cout << answer.dump(2, ' ', false, json::error_handler_t::replace)
              << "\n";
  } else {
    std::cout << text;
  }
}

int admin_session::Fail(const error& reason) const {
  if (options_.as_json) {
    std::cout << json{{"error", reason}}.dump(2, ' ', false,
                                              json::error_handler_t::replace)
              << "\n";
  } else {
    std::cerr << "gentianrun admin: " << NameOf(reason.kind) << ": "
              << reason.message << "; " << reason.remedy << "\n";
  }
  return unreachable_ ? static_cast<int>(exit_unreachable) : ExitCodeOf(reason);
}

int admin_session::Fail(const std::vector<settings_problem>& problems) const {
  if (options_.as_json) {
    std::cout << json{{"problems", problems}}.dump(
                     2, ' ', false, json::error_handler_t::replace)
              << "\n";
  } else {
    for (const settings_problem& problem : problems) {
      std::cerr << ToString(problem) << "\n";
    }
  }
  return exit_mistakes;
}

}  // namespace gentian
