#ifndef ENTRY_SRC_REQUEST_MAPPING_P_H_
#define ENTRY_SRC_REQUEST_MAPPING_P_H_

#include <string_view>

#include "admission/controller.h"
#include "http/upstream.h"
#include "retry/request_events.h"
#include "retry/types.h"
#include "routing/types.h"

namespace hickoryusher::entry {

// Each layer has its own errors; these functions translate them.

retry::ExchangeStage ToExchangeStage(http::Stage stage);

/// @param reason of http::Failed.
retry::Reason ToReason(std::string_view reason);
retry::Reason ToReason(routing::Reason reason);
retry::Reason ToReason(admission::Refusal refusal);

routing::AttemptResult ToResult(const retry::ReleaseEndpoint& command);

/// @returns the HTTP status of a request that was not run.
int NotRunStatus(retry::Reason reason);

}  // namespace hickoryusher::entry

#endif  // ENTRY_SRC_REQUEST_MAPPING_P_H_
