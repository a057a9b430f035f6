#ifndef JOBS_OPERATOR_STATE_H_
#define JOBS_OPERATOR_STATE_H_

#include <functional>
#include <set>
#include <string>

#include "jobs/queues.h"

namespace hickoryusher::jobs {

using FailureDomains = std::set<std::string, std::less<>>;

/// What operators request. Published as a whole, so that nobody acts on a
/// configuration without knowing the evacuations.
struct OperatorState {
  QueueConfigPtr config;     ///< Null until one has been read.
  FailureDomains evacuated;  ///< No task may start on their workers.
};

}  // namespace hickoryusher::jobs

#endif  // JOBS_OPERATOR_STATE_H_
