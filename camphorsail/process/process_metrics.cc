#include "camphorsail/process/process_metrics.h"

#include <sys/resource.h>

#include "camphorsail/process/logger.h"

namespace camphorsail {
namespace {

constexpr double kBytesPerKilobyte = 1024;

double Seconds(const timeval& time) {
  return static_cast<double>(time.tv_sec) +
         static_cast<double>(time.tv_usec) / 1e6;
}

}  // namespace

ProcessMetrics::ProcessMetrics(Metrics* metrics) : metrics_(metrics) {
  cpu_ = metrics_->Declare({"camphorsail_process_cpu_seconds",
                            MetricKind::kGauge,
                            "Processor time since the process began.",
                            {}});
  peak_memory_ = metrics_->Declare({"camphorsail_process_peak_memory_bytes",
                                    MetricKind::kGauge,
                                    "Largest resident memory so far.",
                                    {}});
  dropped_ = metrics_->Declare({"camphorsail_log_lines_dropped",
                                MetricKind::kGauge,
                                "Log lines left out since the process began.",
                                {}});
}

void ProcessMetrics::Update() {
  rusage usage = {};
  if (getrusage(RUSAGE_SELF, &usage) == 0) {
    metrics_->Set(cpu_, {}, Seconds(usage.ru_utime) + Seconds(usage.ru_stime));
    metrics_->Set(peak_memory_, {},
                  static_cast<double>(usage.ru_maxrss) * kBytesPerKilobyte);
  }
  metrics_->Set(dropped_, {}, static_cast<double>(DroppedLogLines()));
}

}  // namespace camphorsail
