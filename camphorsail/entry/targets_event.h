#ifndef CAMPHORSAIL_ENTRY_TARGETS_EVENT_H_
#define CAMPHORSAIL_ENTRY_TARGETS_EVENT_H_

#include <vector>

#include "camphorsail/base/ids.h"

namespace camphorsail {

/// The models and services that backend servers have announced.
struct TargetsEvent {
  std::vector<ModelId> models;
  std::vector<ModelId> services;
};

}  // namespace camphorsail

#endif  // CAMPHORSAIL_ENTRY_TARGETS_EVENT_H_
