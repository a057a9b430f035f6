#ifndef CORE_IDS_H_
#define CORE_IDS_H_

#include <cstdint>

#include "core/handle.h"

namespace hickoryusher::core {

using VmId = Handle<struct VmTag>;
using RackId = Handle<struct RackTag>;
using FailureDomainId = Handle<struct FailureDomainTag>;
using EndpointId = Handle<struct EndpointTag>;
using ServiceId = Handle<struct ServiceTag>;
using TeamId = Handle<struct TeamTag>;

/// An entry process, by its index in the process settings.
using EntryId = Handle<struct EntryTag>;

/// One run of an entry process; larger numbers started later.
using Incarnation = Handle<struct IncarnationTag, std::uint64_t>;

/// A caller's request, unique within one incarnation of an entry process.
using RequestId = Handle<struct RequestTag, std::uint64_t>;

/// One sending of a request to an endpoint, unique like RequestId.
using AttemptId = Handle<struct AttemptTag, std::uint64_t>;

using WorkerId = Handle<struct WorkerTag>;
using SliceId = Handle<struct SliceTag>;
using JobId = Handle<struct JobTag, std::uint64_t>;
using TaskId = Handle<struct TaskTag, std::uint64_t>;

/// Fencing number of a slice's ownership; a worker refuses older ones.
using Epoch = Handle<struct EpochTag, std::uint64_t>;

}  // namespace hickoryusher::core

#endif  // CORE_IDS_H_
