#include "gentian_daemon/connection_report.h"

#include <utility>

#include "gentian_core/process_usage.h"
#include "gentian_log/gentian_log.h"

namespace gentian {

void LogRefusedConnections(http_server& server, const std::string& listener) {
  server.SetRefusalObserver([listener](const refused_connections& refused) {
    const process_usage usage = ReadProcessUsage();
    Log(log_level::warning, "connections refused",
        {{"listener", listener},
         {"reason", refused.reason},
         {"refused_total", refused.total},
         {"open_descriptors", usage.open_descriptors.value_or(0)},
         {"resident_bytes", usage.resident_bytes.value_or(0)},
         {"remedy",
          "look for a peer that opens connections without end, or give the "
          "host more descriptors and memory"}});
  });
}

void ReportUnreadRequests(
    http_server& server,
    const std::string& listener,
    std::function<void(const std::string& counter)> count) {
  server.SetRefusalMaker([listener, count = std::move(count)](
                             const http_request&, const error& reason) {
    count("refused_unread." + listener + "." + NameOf(reason.kind));
    Log(log_level::info, "unfinished request refused",
        {{"listener", listener},
         {"outcome", NameOf(reason.kind)},
         {"detail", reason.message}});
    return ErrorResponse(reason);
  });
}

void ReportConnections(daemon_metrics& metrics,
                       const http_server& server,
                       const std::string& listener) {
  metrics.SetGauge("open_connections." + listener,
                   static_cast<double>(server.open_connections()));
  metrics.SetGauge("refused_connections." + listener,
                   static_cast<double>(server.refused_connections_total()));
}

void ReportProcessUsage(daemon_metrics& metrics,
                        std::size_t memory,
                        std::size_t descriptors) {
  const process_usage usage = ReadProcessUsage();
  if (usage.open_descriptors) {
    metrics.SetGauge("open_descriptors",
                     static_cast<double>(*usage.open_descriptors));
  }
  if (usage.resident_bytes) {
    metrics.SetGauge("resident_bytes",
                     static_cast<double>(*usage.resident_bytes));
  }
  const std::size_t host_limit = DescriptorLimit();
  const bool is_lower =
      descriptors > 0 && (host_limit == 0 || descriptors < host_limit);
  metrics.SetGauge("descriptor_limit",
                   static_cast<double>(is_lower ? descriptors : host_limit));
  metrics.SetGauge("memory_limit_bytes", static_cast<double>(memory));
}

}  // namespace gentian
