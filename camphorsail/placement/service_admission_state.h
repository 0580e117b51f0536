#ifndef CAMPHORSAIL_PLACEMENT_SERVICE_ADMISSION_STATE_H_
#define CAMPHORSAIL_PLACEMENT_SERVICE_ADMISSION_STATE_H_

#include <algorithm>
#include <cstdint>
#include <vector>

#include "camphorsail/placement/urgency_set.h"
#include "msgpack.hpp"

namespace camphorsail {

/// What gateways tell each other about the requests to one overloaded service,
/// so that all of them refuse less urgent requests before more urgent ones.
struct ServiceAdmissionState {
  /// Hash of the service's name, equal on all VMs.
  uint64_t service = 0;
  /// Urgencies of requests that are expected to be answered too late.
  UrgencySet late;
  /// Urgencies of requests that were sent to a server recently.
  UrgencySet started;

  MSGPACK_DEFINE(service, late, started)
};

/// Adds the states of one or more gateways to those of others.
/// @param states One entry for each service; receives the unions.
inline void MergeAdmissionStates(
    const std::vector<ServiceAdmissionState>& added,
    std::vector<ServiceAdmissionState>* states) {
  for (const ServiceAdmissionState& state : added) {
    const auto found = std::find_if(states->begin(), states->end(),
                                    [&](const ServiceAdmissionState& known) {
                                      return known.service == state.service;
                                    });
    if (found == states->end()) {
      states->push_back(state);
    } else {
      found->late |= state.late;
      found->started |= state.started;
    }
  }
}

}  // namespace camphorsail

#endif  // CAMPHORSAIL_PLACEMENT_SERVICE_ADMISSION_STATE_H_
