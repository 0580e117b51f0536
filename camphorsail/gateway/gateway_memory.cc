#include <algorithm>

#include "camphorsail/gateway/gateway.h"

// The part of `Gateway` that tells what a request needs of a server's memory.
namespace camphorsail {

void Gateway::SetMemoryNeed(Exchange* exchange) {
  PlacementRequest& placement = exchange->placement;
  if (!ModelOf(*exchange).speeds().has_reports()) {
    return;
  }
  placement.server_memory = Tokens(exchange->service->kv_capacity_tokens);
  if (!placement.is_generation || placement.server_memory <= Tokens(0)) {
    return;
  }
  double output =
      ModelOf(*exchange).ProfileOf(*exchange->route).output_tokens();
  if (exchange->request.max_output_tokens > Tokens(0)) {
    output = std::min(output, static_cast<double>(
                                  exchange->request.max_output_tokens.value()));
  }
  // A caller states its prompt's length; the bound keeps the sums of all
  // requests in range.
  placement.memory_tokens =
      std::min(placement.server_memory,
               placement.prompt_tokens + Tokens(static_cast<int64_t>(output)));
}

}  // namespace camphorsail
