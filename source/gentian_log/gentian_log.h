/** Structured logging as JSON lines that never block the process, and the
    history of one request assembled from the logs of several processes.

    Dependencies: gentian_core, log4cplus.
*/
#ifndef GENTIAN_LOG_GENTIAN_LOG_H_
#define GENTIAN_LOG_GENTIAN_LOG_H_

#include "gentian_log/json_layout.h"
#include "gentian_log/line_queue.h"
#include "gentian_log/line_sampler.h"
#include "gentian_log/line_writer.h"
#include "gentian_log/log.h"
#include "gentian_log/request_history.h"

#endif  // GENTIAN_LOG_GENTIAN_LOG_H_
