#include "gentian_log/log.h"

#include <log4cplus/appender.h>
#include <log4cplus/logger.h>
#include <log4cplus/spi/loggingevent.h>
#include <unistd.h>

#include <array>
#include <atomic>
#include <memory>
#include <mutex>
#include <optional>
#include <utility>

#include "gentian_log/json_layout.h"
#include "gentian_log/line_sampler.h"
#include "gentian_log/line_writer.h"

namespace gentian {

namespace {

struct level_row {
  log_level severity;
  const char* name;
  log4cplus::LogLevel level;
};

constexpr std::array<level_row, 4> kLevels = {{
    {log_level::debug, "debug", log4cplus::DEBUG_LOG_LEVEL},
    {log_level::info, "info", log4cplus::INFO_LOG_LEVEL},
    {log_level::warning, "warning", log4cplus::WARN_LOG_LEVEL},
    {log_level::error, "error", log4cplus::ERROR_LOG_LEVEL},
}};

// Fields that are never written, so that a key, a prompt or a model's answer is
// not logged by mistake.
constexpr std::array<const char*, 8> kRedactedFields = {
    "key",  "api_key", "authorization", "prompt",
    "body", "content", "messages",      "cluster_key"};

// Holds several seconds of lines at the highest rate that isn't sampled, and is
// small compared to a daemon's memory limit of 64 MB.
constexpr std::size_t kMaxQueuedBytes = 512 * 1024;

// Minimum time between two reports of lost lines.
constexpr std::chrono::seconds kLossReportInterval{1};

constexpr const char* kLogger = "gentianrun";
constexpr const char* kRoutineLogger = "gentianrun.routine";

// Appender of log4cplus that passes each formatted line to a line_writer.
class writer_appender : public log4cplus::Appender {
 public:
  explicit writer_appender(std::shared_ptr<line_writer> writer)
      : writer_(std::move(writer)) {}
  ~writer_appender() override { destructorImpl(); }
  writer_appender(const writer_appender&) = delete;
  writer_appender& operator=(const writer_appender&) = delete;

  void close() override { closed = true; }

 protected:
  void append(const log4cplus::spi::InternalLoggingEvent& event) override {
    writer_->Write(formatEvent(event), event.getLoggerName() == kRoutineLogger
                                           ? line_queue::importance::routine
                                           : line_queue::importance::essential);
  }

 private:
  std::shared_ptr<line_writer> writer_;
};

// Process-wide state; its mutex guards all members.
struct log_state {
  std::mutex mutex;
  std::shared_ptr<line_writer> writer;
  line_sampler sampler;
  log_losses reported;
  steady_time reported_at;
};

log_state& State() {
  static log_state state;
  return state;
}

// Until StartLog, lines are discarded, so that unit tests need no log.
std::atomic<bool> log_started{false};

std::string SerializeLine(const std::string& message, const json& fields) {
  json content = fields.is_object() ? fields : json::object();
  for (const char* name : kRedactedFields) {
    content.erase(name);
  }
  content["message"] = message;
  return content.dump(-1, ' ', false, json::error_handler_t::replace);
}

// The caller must hold the mutex of the state.
log_losses CountLosses(const log_state& state) {
  return {state.sampler.omitted(),
          state.writer == nullptr ? 0 : state.writer->dropped()};
}

// Returns the current losses if they changed since the last report and the
// report interval has passed.
std::optional<log_losses> TakeLossesToReport() {
  log_state& state = State();
  const std::lock_guard<std::mutex> lock(state.mutex);
  const log_losses losses = CountLosses(state);
  const steady_time now = BootTimeNow();
  const bool same = losses.sampled_out == state.reported.sampled_out &&
                    losses.dropped == state.reported.dropped;
  if (same || now - state.reported_at < kLossReportInterval) {
    return std::nullopt;
  }
  state.reported = losses;
  state.reported_at = now;
  return losses;
}

// Reports totals, so that a report that is itself dropped is covered by the
// next.
void ReportLosses() {
  if (const auto losses = TakeLossesToReport()) {
    log4cplus::Logger::getInstance(kLogger).log(
        log4cplus::WARN_LOG_LEVEL,
        SerializeLine(
            "log lines left out since the start",
            {{"sampled", losses->sampled_out}, {"dropped", losses->dropped}}));
  }
}

}  // namespace

result<success> StartLog(const std::string& level,
                         const std::string& host,
                         log_output output) {
  for (const level_row& row : kLevels) {
    if (level != row.name) {
      continue;
    }
    log_state& state = State();
    const std::lock_guard<std::mutex> lock(state.mutex);
    state.writer = std::make_shared<line_writer>(
        output == log_output::standard_error ? STDERR_FILENO : STDOUT_FILENO,
        kMaxQueuedBytes);
    log4cplus::SharedAppenderPtr appender(new writer_appender(state.writer));
    appender->setLayout(std::make_unique<json_layout>(host));
    log4cplus::Logger logger = log4cplus::Logger::getInstance(kLogger);
    logger.removeAllAppenders();
    logger.setAdditivity(false);
    logger.addAppender(appender);
    logger.setLogLevel(row.level);
    log_started = true;
    return success{};
  }
  return error{error_kind::invalid_settings,
               "'" + level + "' is not a log level",
               "use debug, info, warning or error"};
}

void StopLog() {
  if (!log_started.exchange(false)) {
    return;
  }
  log4cplus::Logger::getInstance(kLogger).removeAllAppenders();
  log_state& state = State();
  const std::lock_guard<std::mutex> lock(state.mutex);
  // The appender was the only other owner, so this runs the destructor, which
  // flushes the queue.
  state.writer.reset();
}

void Log(log_level severity, const std::string& message, const json& fields) {
  if (!log_started) {
    return;
  }
  const log4cplus::Logger logger = log4cplus::Logger::getInstance(kLogger);
  for (const level_row& row : kLevels) {
    if (row.severity == severity && logger.isEnabledFor(row.level)) {
      logger.log(row.level, SerializeLine(message, fields));
    }
  }
  ReportLosses();
}

void LogRoutine(const std::string& subject,
                const std::string& message,
                const std::function<json()>& fields) {
  if (!log_started) {
    return;
  }
  const log4cplus::Logger logger =
      log4cplus::Logger::getInstance(kRoutineLogger);
  if (!logger.isEnabledFor(log4cplus::INFO_LOG_LEVEL)) {
    return;
  }
  bool keep = false;
  {
    log_state& state = State();
    const std::lock_guard<std::mutex> lock(state.mutex);
    keep = state.sampler.Keep(subject, BootTimeNow());
  }
  if (keep) {
    logger.log(log4cplus::INFO_LOG_LEVEL, SerializeLine(message, fields()));
  }
  ReportLosses();
}

log_losses GetLogLosses() {
  log_state& state = State();
  const std::lock_guard<std::mutex> lock(state.mutex);
  return CountLosses(state);
}

}  // namespace gentian
