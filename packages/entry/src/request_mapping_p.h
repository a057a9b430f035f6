#ifndef ENTRY_SRC_REQUEST_MAPPING_P_H_
#define ENTRY_SRC_REQUEST_MAPPING_P_H_

#include <cstddef>
#include <string_view>

#include "admission/controller.h"
#include "http/upstream.h"
#include "retry/request_events.h"
#include "retry/types.h"
#include "routing/slot_table.h"
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

/// @returns the connection limit for an exchange on @p slot.
/// @param endpoint_connections that the endpoint accepts in all.
/// @remarks libcurl has one limit for all hosts and the upstream sets the
/// smallest. A borrowed slot's connection is closed with its request and
/// bounded by the loan, so it gets the endpoint's own limit: the few
/// connections of a loan would otherwise become the limit of every host.
std::size_t ConnectionLimit(const routing::Slot& slot,
                            const routing::SlotEntry& entry,
                            int endpoint_connections);

}  // namespace hickoryusher::entry

#endif  // ENTRY_SRC_REQUEST_MAPPING_P_H_
