#include "camphorsail/placement/line_fit.h"

#include <algorithm>
#include <cmath>
#include <vector>

namespace camphorsail {
namespace {

/// Pairs of samples whose x values differ by less than this fraction of the
/// larger one say little about the slope.
constexpr double kMinRelativeDistance = 0.2;

double Median(std::vector<double>* values) {
  const auto middle = values->begin() + values->size() / 2;
  std::nth_element(values->begin(), middle, values->end());
  return *middle;
}

}  // namespace

void LineFit::Add(double x, double y) {
  samples_[count_ % kCapacity] = {x, y};
  ++count_;
  if (count_ >= kMinSamples && count_ % kSamplesPerFit == 0) {
    Fit();
  }
}

void LineFit::Fit() {
  const size_t size = std::min(count_, kCapacity);
  std::vector<double> values;
  values.reserve(size * size / 2);
  for (size_t i = 0; i < size; ++i) {
    for (size_t j = 0; j < i; ++j) {
      const double distance = samples_[i].x - samples_[j].x;
      if (std::abs(distance) >
          kMinRelativeDistance * std::max(samples_[i].x, samples_[j].x)) {
        values.push_back((samples_[i].y - samples_[j].y) / distance);
      }
    }
  }
  if (values.size() < size) {
    // All samples have about the same x: the slope cannot be told from the
    // intercept, and the line goes through the origin.
    values.clear();
    for (size_t i = 0; i < size; ++i) {
      if (samples_[i].x > 0) {
        values.push_back(samples_[i].y / samples_[i].x);
      }
    }
    if (values.empty()) {
      return;
    }
  }
  slope_ = std::max(0.0, Median(&values));
  values.clear();
  for (size_t i = 0; i < size; ++i) {
    values.push_back(samples_[i].y - slope_ * samples_[i].x);
  }
  intercept_ = std::max(0.0, Median(&values));
  is_ready_ = true;
}

}  // namespace camphorsail
