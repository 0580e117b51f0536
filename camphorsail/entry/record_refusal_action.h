#ifndef CAMPHORSAIL_ENTRY_RECORD_REFUSAL_ACTION_H_
#define CAMPHORSAIL_ENTRY_RECORD_REFUSAL_ACTION_H_

#include "camphorsail/base/error_kind.h"
#include "camphorsail/base/ids.h"

namespace camphorsail {

/// Reports that a request was refused or failed. Whether its minute counts as
/// refused follows from `ErrorTraits::counts_as_refused`.
struct RecordRefusalAction {
  ClientAccountId account;
  ClassId class_id;
  ErrorKind kind = ErrorKind::kInternal;
};

}  // namespace camphorsail

#endif  // CAMPHORSAIL_ENTRY_RECORD_REFUSAL_ACTION_H_
