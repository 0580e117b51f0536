#ifndef CAMPHORSAIL_GATEWAY_SERVER_PACE_LOG_H_
#define CAMPHORSAIL_GATEWAY_SERVER_PACE_LOG_H_

#include <string_view>

#include "camphorsail/placement/backend_server.h"

namespace camphorsail {

/// Logs that the pace of the server has begun.
/// @param reason Why the server is paced.
void LogPaceBegin(const BackendServer& server, std::string_view reason);
/// Logs the end of the server's pace if it has ended since the last call.
void LogPaceEnd(BackendServer* server);

}  // namespace camphorsail

#endif  // CAMPHORSAIL_GATEWAY_SERVER_PACE_LOG_H_
