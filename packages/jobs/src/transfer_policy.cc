#include "jobs/transfer_policy.h"

#include <algorithm>
#include <array>
#include <utility>

namespace hickoryusher::jobs {
namespace {

using std::chrono::milliseconds;

// Workers are out of use for shorter times when they restart or are slow to
// report.
constexpr core::Duration kUnfitDelay = milliseconds(1000);

// A transfer takes about 100 ms until the job starts. Jobs that wait for less
// than this usually start here when the next tasks end.
constexpr core::Duration kUnevenDemandDelay = milliseconds(2000);

// Hysteresis: a job leaves a slice whose demand exceeds its capacity, for one
// that stays clearly below, and no job is passed on at once.
constexpr double kOverloadedShare = 1.0;
constexpr double kRoomyShare = 0.8;
constexpr core::Duration kMinResidence = milliseconds(4000);

// Slices that see the same published load may choose the same target.
constexpr std::int64_t kUnpublishedFactor = 3;

double DemandShare(std::int64_t demand_millis, std::int64_t capacity_millis) {
  return static_cast<double>(demand_millis) /
         static_cast<double>(std::max<std::int64_t>(capacity_millis, 1));
}

std::optional<TransferReason> FindReason(const TransferSource& source,
                                         const WaitingJob& job) {
  if (source.evacuated) {
    return TransferReason::kEvacuated;
  }
  if (job.unfit >= kUnfitDelay && job.resident >= kMinResidence) {
    return TransferReason::kNoWorkerFits;
  }
  if (job.waited >= kUnevenDemandDelay && job.resident >= kMinResidence &&
      DemandShare(source.demand_millis, source.capacity_millis) >
          kOverloadedShare) {
    return TransferReason::kUnevenDemand;
  }
  return std::nullopt;
}

std::optional<std::size_t> FindTarget(
    const TransferSource& source,
    const WaitingJob& job,
    TransferReason reason,
    std::span<const std::optional<SliceLoad>> loads) {
  std::optional<std::size_t> best;
  double best_share = 0;
  for (const std::size_t candidate : job.candidates) {
    if (candidate == source.slice || candidate >= loads.size() ||
        !loads[candidate] ||
        !CanRun(*loads[candidate], job.service, job.needs)) {
      continue;
    }
    const SliceLoad& load = *loads[candidate];
    const double share = DemandShare(load.demand_millis + job.demand_millis,
                                     load.capacity_millis);
    const bool has_room =
        reason != TransferReason::kUnevenDemand || share <= kRoomyShare;
    if (has_room && (!best || share < best_share)) {
      best = candidate;
      best_share = share;
    }
  }
  return best;
}

}  // namespace

std::string_view ToString(TransferReason reason) {
  constexpr std::array<std::string_view, 3> kNames = {
      "evacuated", "no_worker_fits", "uneven_demand"};
  return kNames.at(static_cast<std::size_t>(reason));
}

void AddNeeds(std::vector<TaskNeeds>& needs, const StepSpec& step) {
  TaskNeeds added{.need = step.need, .label = step.required_label};
  if (step.best_effort) {
    added.need.cpu_millis = 0;
  }
  if (std::ranges::find(needs, added) == needs.end()) {
    needs.push_back(std::move(added));
  }
}

bool CanRun(const SliceLoad& load,
            std::string_view service,
            std::span<const TaskNeeds> needs) {
  if (load.services.empty()) {
    // The owner publishes none, or has no usable worker.
    return load.capacity_millis > 0;
  }
  const auto found = load.services.find(service);
  return found != load.services.end() &&
         std::ranges::all_of(needs, [&](const TaskNeeds& needed) {
           const ServiceRoom& room = found->second;
           return Fits(needed.need, room.largest) &&
                  (needed.label.empty() || room.labels.contains(needed.label));
         });
}

std::vector<TransferChoice> ChooseTransfers(
    const TransferSource& source,
    std::span<const WaitingJob> jobs,
    std::span<std::optional<SliceLoad>> loads,
    std::size_t limit) {
  std::vector<TransferChoice> choices;
  TransferSource left = source;
  for (std::size_t i = 0; i < jobs.size() && choices.size() < limit; ++i) {
    const WaitingJob& job = jobs[i];
    const auto reason = FindReason(left, job);
    const auto target =
        reason ? FindTarget(left, job, *reason, loads) : std::nullopt;
    if (!target || (!choices.empty() && *target != choices.front().target)) {
      continue;
    }
    choices.push_back({.job = i, .target = *target, .reason = *reason});
    loads[*target]->demand_millis += kUnpublishedFactor * job.demand_millis;
    left.demand_millis -= job.demand_millis;
  }
  return choices;
}

}  // namespace hickoryusher::jobs
