#include "camphorsail/process/metrics.h"

#include <algorithm>
#include <cassert>
#include <cmath>
#include <functional>
#include <utility>

#include "absl/strings/str_cat.h"
#include "absl/strings/str_format.h"

namespace camphorsail {
namespace {

constexpr char kOverflowLabel[] = "overflow";

std::string MakeKey(MetricId metric, const std::vector<std::string>& labels) {
  std::string key = absl::StrCat(metric.value());
  for (const std::string& label : labels) {
    // The sizes ensure that different label values give different keys.
    absl::StrAppend(&key, ",", label.size(), ":", label);
  }
  return key;
}

std::string EscapeLabel(const std::string& value) {
  std::string escaped;
  for (const char c : value) {
    if (c == '\\' || c == '"') {
      escaped += '\\';
      escaped += c;
    } else if (c == '\n') {
      escaped += "\\n";
    } else {
      escaped += c;
    }
  }
  return escaped;
}

/// @param bound The `le` label of a bucket; empty for other lines.
std::string LabelBlock(const MetricSpec& spec,
                       const std::vector<std::string>& values,
                       const std::string& bound = "") {
  std::string block;
  for (size_t i = 0; i < spec.labels.size(); ++i) {
    absl::StrAppend(&block, block.empty() ? "" : ",", spec.labels[i], "=\"",
                    EscapeLabel(values[i]), "\"");
  }
  if (!bound.empty()) {
    absl::StrAppend(&block, block.empty() ? "" : ",", "le=\"", bound, "\"");
  }
  return block.empty() ? "" : absl::StrCat("{", block, "}");
}

/// Formats up to 15 significant digits; StrCat rounds values above a million.
std::string FormatNumber(double value) {
  return absl::StrFormat("%.15g", value);
}

const char* TypeName(MetricKind kind) {
  switch (kind) {
    case MetricKind::kCounter:
      return "counter";
    case MetricKind::kGauge:
      return "gauge";
    case MetricKind::kLatency:
      return "histogram";
  }
  return "untyped";
}

}  // namespace

MetricId Metrics::Declare(MetricSpec spec) {
  Family& family = families_.emplace_back();
  family.spec = std::move(spec);
  return MetricId(families_.size() - 1);
}

void Metrics::Increment(MetricId metric, LabelValues labels, uint64_t delta) {
  UpdateSeries(metric, MetricKind::kCounter, labels,
               [delta](Series& series) { series.count += delta; });
}

void Metrics::Set(MetricId metric, LabelValues labels, double value) {
  UpdateSeries(metric, MetricKind::kGauge, labels,
               [value](Series& series) { series.value = value; });
}

void Metrics::Observe(MetricId metric,
                      LabelValues labels,
                      absl::Duration duration) {
  UpdateSeries(metric, MetricKind::kLatency, labels,
               [duration](Series& series) { series.latency->Add(duration); });
}

std::string Metrics::Render() const {
  std::string text;
  for (size_t i = 0; i < families_.size(); ++i) {
    const MetricSpec& spec = families_[i].spec;
    const std::string prefix = MakeKey(MetricId(i), {});
    std::vector<RenderedSeries> rendered;
    for (const Shard& shard : shards_) {
      absl::ReaderMutexLock lock(&shard.mutex);
      for (const auto& [key, series] : shard.series) {
        if (key == prefix || key.starts_with(prefix + ",")) {
          rendered.push_back({series.labels, RenderSeries(spec, series)});
        }
      }
    }
    std::sort(rendered.begin(), rendered.end(),
              [](const RenderedSeries& a, const RenderedSeries& b) {
                return a.labels < b.labels;
              });
    absl::StrAppend(&text, "# HELP ", spec.name, " ", spec.help, "\n# TYPE ",
                    spec.name, " ", TypeName(spec.kind), "\n");
    for (const RenderedSeries& series : rendered) {
      text += series.text;
    }
  }
  return text;
}

template <typename Update>
void Metrics::UpdateSeries(MetricId metric,
                           MetricKind kind,
                           LabelValues labels,
                           Update update) {
  Family& family = families_[metric.value()];
  assert(family.spec.kind == kind);
  assert(family.spec.labels.size() == labels.size());
  std::vector<std::string> values(labels.begin(), labels.end());
  std::string key = MakeKey(metric, values);
  {
    Shard& shard = ShardOf(key);
    absl::MutexLock lock(&shard.mutex);
    auto it = shard.series.find(key);
    if (it == shard.series.end() &&
        family.series_count.fetch_add(1) < family.spec.max_series) {
      it = shard.series.try_emplace(key).first;
      it->second.labels = values;
      if (kind == MetricKind::kLatency) {
        it->second.latency.emplace();
      }
    } else if (it == shard.series.end()) {
      family.series_count.fetch_sub(1);
    }
    if (it != shard.series.end()) {
      update(it->second);
      return;
    }
  }
  std::fill(values.begin(), values.end(), kOverflowLabel);
  key = MakeKey(metric, values);
  Shard& shard = ShardOf(key);
  absl::MutexLock lock(&shard.mutex);
  Series& series = shard.series[key];
  if (series.labels.empty()) {
    series.labels = std::move(values);
  }
  if (kind == MetricKind::kLatency && !series.latency) {
    series.latency.emplace();
  }
  update(series);
}

Metrics::Shard& Metrics::ShardOf(const std::string& key) {
  return shards_[std::hash<std::string>()(key) % kShardCount];
}

std::string Metrics::RenderSeries(const MetricSpec& spec,
                                  const Series& series) {
  std::string text;
  switch (spec.kind) {
    case MetricKind::kCounter:
      absl::StrAppend(&text, spec.name, LabelBlock(spec, series.labels), " ",
                      series.count, "\n");
      break;
    case MetricKind::kGauge:
      absl::StrAppend(&text, spec.name, LabelBlock(spec, series.labels), " ",
                      FormatNumber(series.value), "\n");
      break;
    case MetricKind::kLatency:
      for (const auto& [bound, count] : series.latency->CumulativeCounts()) {
        const std::string le = std::isinf(bound) ? "+Inf" : absl::StrCat(bound);
        absl::StrAppend(&text, spec.name, "_bucket",
                        LabelBlock(spec, series.labels, le), " ", count, "\n");
      }
      absl::StrAppend(&text, spec.name, "_sum", LabelBlock(spec, series.labels),
                      " ", FormatNumber(series.latency->sum_seconds()), "\n",
                      spec.name, "_count", LabelBlock(spec, series.labels), " ",
                      series.latency->count(), "\n");
      break;
  }
  return text;
}

}  // namespace camphorsail
