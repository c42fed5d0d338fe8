#include "gentian_daemon/daemon_log.h"

#include <log4cplus/consoleappender.h>
#include <log4cplus/logger.h>
#include <log4cplus/loggingmacros.h>

#include <array>
#include <atomic>
#include <memory>

#include "gentian_daemon/json_layout.h"

namespace gentian {

namespace {

struct level_row {
  write_log::level severity;
  const char* name;
  log4cplus::LogLevel level;
};

constexpr std::array<level_row, 4> kLevels = {{
    {write_log::level::debug, "debug", log4cplus::DEBUG_LOG_LEVEL},
    {write_log::level::info, "info", log4cplus::INFO_LOG_LEVEL},
    {write_log::level::warning, "warning", log4cplus::WARN_LOG_LEVEL},
    {write_log::level::error, "error", log4cplus::ERROR_LOG_LEVEL},
}};

// Names under which a key, a prompt or an answer could be logged by mistake.
constexpr std::array<const char*, 8> kWithheldFields = {
    "key",  "api_key", "authorization", "prompt",
    "body", "content", "messages",      "cluster_key"};

// Lines before StartLog are dropped; tests of parts run without a log.
std::atomic<bool> log_started{false};

log4cplus::Logger Logger() {
  return log4cplus::Logger::getInstance("gentianrun");
}

}  // namespace

result<success> StartLog(const std::string& level,
                         const std::string& host,
                         log_output output) {
  for (const level_row& row : kLevels) {
    if (level != row.name) {
      continue;
    }
    // Written at once: the last lines before a crash matter.
    log4cplus::SharedAppenderPtr appender(new log4cplus::ConsoleAppender(
        output == log_output::standard_error, true));
    appender->setLayout(std::make_unique<json_layout>(host));
    Logger().removeAllAppenders();
    Logger().setAdditivity(false);
    Logger().addAppender(appender);
    Logger().setLogLevel(row.level);
    log_started = true;
    return success{};
  }
  return error{error_kind::invalid_settings,
               "'" + level + "' is not a log level",
               "use debug, info, warning or error"};
}

void Log(const write_log& line) {
  Log(line.severity, line.message, line.fields);
}

void Log(write_log::level severity,
         const std::string& message,
         const json& fields) {
  if (!log_started) {
    return;
  }
  json content = fields.is_object() ? fields : json::object();
  for (const char* name : kWithheldFields) {
    content.erase(name);
  }
  content["message"] = message;
  for (const level_row& row : kLevels) {
    if (row.severity == severity && Logger().isEnabledFor(row.level)) {
      Logger().log(row.level, content.dump(-1, ' ', false,
                                           json::error_handler_t::replace));
    }
  }
}

}  // namespace gentian
