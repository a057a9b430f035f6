#ifndef JOBS_TRANSFER_POLICY_H_
#define JOBS_TRANSFER_POLICY_H_

#include <cstddef>
#include <cstdint>
#include <optional>
#include <span>
#include <string>
#include <string_view>
#include <vector>

#include "core/resources.h"
#include "core/time.h"
#include "jobs/slice_load.h"
#include "jobs/types.h"

/// Decides which waiting jobs of a slice are transferred to which other slice.
namespace hickoryusher::jobs {

/// What the tasks of a step need from a worker, apart from free room.
struct TaskNeeds {
  core::Resources need;
  std::string label;  ///< Empty if any worker will do.

  bool operator==(const TaskNeeds&) const = default;
};

/// Adds what the tasks of the step need, unless it is there.
void AddNeeds(std::vector<TaskNeeds>& needs, const StepSpec& step);

/// @returns false if the published load shows that no worker of the slice can
/// run such tasks, however free it is.
bool CanRun(const SliceLoad& load,
            std::string_view service,
            std::span<const TaskNeeds> needs);

/// A job of which nothing runs, and which could start.
struct WaitingJob {
  std::string id;
  std::string service;
  std::vector<TaskNeeds> needs;         ///< Of the tasks that are not done.
  std::vector<std::size_t> candidates;  ///< Slices that may have the job.
  std::int64_t demand_millis = 0;       ///< CPU of the tasks that could start.
  core::Duration waited{};              ///< Since when none of its tasks runs.
  core::Duration resident{};  ///< Since when it belongs to this slice.
  core::Duration unfit{};     ///< Since when no worker here can run it.
};

enum class TransferReason { kEvacuated, kNoWorkerFits, kUnevenDemand };

std::string_view ToString(TransferReason reason);

/// The slice from which jobs would be transferred.
struct TransferSource {
  std::size_t slice = 0;
  bool evacuated = false;
  std::int64_t demand_millis = 0;    ///< CPU of the open tasks.
  std::int64_t capacity_millis = 0;  ///< CPU of the usable workers.
};

struct TransferChoice {
  std::size_t job = 0;  ///< Index into the waiting jobs.
  std::size_t target = 0;
  TransferReason reason = TransferReason::kEvacuated;
};

/// @param loads by slice; nullopt for slices that must not get jobs. The demand
///     of the chosen jobs is added to them.
/// @param limit the most choices to make.
/// @returns transfers of jobs to one target.
std::vector<TransferChoice> ChooseTransfers(
    const TransferSource& source,
    std::span<const WaitingJob> jobs,
    std::span<std::optional<SliceLoad>> loads,
    std::size_t limit);

}  // namespace hickoryusher::jobs

#endif  // JOBS_TRANSFER_POLICY_H_
