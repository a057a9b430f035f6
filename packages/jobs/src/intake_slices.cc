#include <algorithm>
#include <utility>

#include "jobs/intake.h"
#include "jobs/worker_pool.h"

/// Which slice a job goes to, and when none has room for it.
namespace hickoryusher::jobs {
namespace {

// Number of slices that a job may be stored in. Each adds a condition to the
// write; three are enough to distribute large jobs evenly.
constexpr std::size_t kCandidates = 3;

// Multiplies the demand that this process has added to a slice since its load
// was published, to estimate what all processes have added.
constexpr std::int64_t kUnpublishedFactor = 3;

// Share of a slice's CPU that long-running tasks may reserve. The rest allows
// them to move when workers leave, and serves all other jobs.
constexpr double kLongRunningShare = 0.9;

std::int64_t LongRunningLimit(const SliceLoad& load) {
  return static_cast<std::int64_t>(kLongRunningShare *
                                   static_cast<double>(load.capacity_millis));
}

}  // namespace

std::uint64_t HashOf(std::string_view text) {
  std::uint64_t hash = 0xcbf29ce484222325U;  // FNV-1a.
  for (const char c : text) {
    hash = (hash ^ static_cast<unsigned char>(c)) * 0x100000001b3U;
  }
  return hash;
}

std::vector<std::size_t> CandidateSlices(std::string_view job,
                                         std::size_t slice_count) {
  std::vector<std::size_t> candidates;
  const std::size_t first = (HashOf(job) >> 32U) % slice_count;
  for (std::size_t i = 0; i < std::min(kCandidates, slice_count); ++i) {
    candidates.push_back((first + i) % slice_count);
  }
  return candidates;
}

void Intake::SetLoads(std::vector<std::optional<SliceLoad>> loads) {
  for (std::size_t i = 0; i < job_rooms_.size() && i < loads.size(); ++i) {
    std::optional<JobRoom>& room = job_rooms_[i];
    // Without an answer about job rows in between, an owner publishes the same
    // time again, and has not read what was added.
    if (loads[i] && loads[i]->job_room_bytes &&
        (!room || room->unix_ms != loads[i]->unix_ms ||
         room->bytes != *loads[i]->job_room_bytes)) {
      room = {.bytes = *loads[i]->job_room_bytes, .unix_ms = loads[i]->unix_ms};
    }
  }
  loads_ = std::move(loads);
  added_.assign(options_.slices.size(), JobDemand());
}

JobDemand DemandOf(const JobSpec& spec, std::size_t document_bytes) {
  JobDemand widest{
      .bytes = static_cast<std::int64_t>(FixedBytesOf(spec, document_bytes) +
                                         OccurrenceBytesOf(spec))};
  for (const StepSpec& step : spec.steps) {
    const std::int64_t count = step.count;
    AddNeeds(widest.needs, step);
    const JobDemand demand = {
        .millis = count * step.need.cpu_millis,
        .reserved_millis = count * Reservation(step).cpu_millis};
    widest.long_running_millis =
        std::max(widest.long_running_millis,
                 step.long_running ? demand.reserved_millis : 0);
    widest.millis = std::max(widest.millis, demand.millis);
    widest.reserved_millis =
        std::max(widest.reserved_millis, demand.reserved_millis);
  }
  return widest;
}

// @returns nullptr if the load is unknown or too old: the slice has no owner at
// present, or its owner is late to publish.
const SliceLoad* Intake::RecentLoad(std::size_t slice) const {
  const bool recent = slice < loads_.size() && loads_[slice] &&
                      IsRecent(*loads_[slice], unix_ms_);
  return recent ? &*loads_[slice] : nullptr;
}

std::int64_t Intake::LongRunningMillis(std::size_t slice,
                                       const SliceLoad& load) const {
  return load.long_running_millis +
         kUnpublishedFactor * added_[slice].long_running_millis;
}

bool Intake::IsEvacuated(std::size_t slice) const {
  return evacuated_.contains(options_.slices[slice].failure_domain);
}

// @returns the slice with the smallest demand relative to its capacity; for a
// job that reserves CPU, the one with the smallest reserved share. Slices with
// room come first, then those without a recent load, then full ones, then those
// that cannot run the job.
std::size_t Intake::ChooseSlice(std::span<const std::size_t> candidates,
                                const Queue& queue,
                                const JobDemand& demand) {
  enum class Rank { kRoom, kUnknown, kFull, kUnfit, kEvacuated, kNoMemory };
  const auto rank = [&](std::size_t slice, const SliceLoad* load) {
    if (const auto& room = job_rooms_[slice];
        room && room->left() < demand.bytes) {
      return Rank::kNoMemory;
    }
    if (IsEvacuated(slice)) {
      return Rank::kEvacuated;
    }
    if (load == nullptr) {
      return Rank::kUnknown;
    }
    if (!CanRun(*load, queue.service, demand.needs)) {
      return Rank::kUnfit;
    }
    const bool full =
        demand.long_running_millis > 0 &&
        LongRunningMillis(slice, *load) + demand.long_running_millis >
            LongRunningLimit(*load);
    return full ? Rank::kFull : Rank::kRoom;
  };
  const auto preference = [&](std::size_t slice) {
    const SliceLoad* recent = RecentLoad(slice);
    const SliceLoad load = recent == nullptr ? SliceLoad() : *recent;
    const JobDemand& added = added_[slice];
    const std::int64_t estimated_millis =
        demand.reserved_millis > 0
            ? load.reserved_millis + kUnpublishedFactor * added.reserved_millis
            : load.demand_millis + kUnpublishedFactor * added.millis;
    const auto capacity = std::max<std::int64_t>(load.capacity_millis, 1);
    return std::pair(
        rank(slice, recent),
        static_cast<double>(estimated_millis) / static_cast<double>(capacity));
  };
  const std::size_t chosen =
      *std::ranges::min_element(candidates, {}, preference);
  added_[chosen].millis += demand.millis;
  added_[chosen].reserved_millis += demand.reserved_millis;
  added_[chosen].long_running_millis += demand.long_running_millis;
  if (auto& room = job_rooms_[chosen]) {
    room->added += demand.bytes;
  }
  return chosen;
}

std::int64_t Intake::JobRoom::left() const {
  return std::max<std::int64_t>(bytes - kUnpublishedFactor * added, 0);
}

// A job that no owner can hold in its memory is refused before it is stored.
// @returns the room of each candidate, as text; nullopt if one of them has room
// or does not say.
std::optional<std::string> Intake::FindMemoryShortage(
    std::span<const std::size_t> candidates,
    const JobDemand& demand) const {
  std::string reason =
      "needs " + std::to_string(demand.bytes) + " bytes of an owner's memory";
  for (const std::size_t slice : candidates) {
    const auto& room = job_rooms_[slice];
    if (!room || demand.bytes <= room->left()) {
      return std::nullopt;
    }
    reason += "; " + options_.slices[slice].name + " has " +
              std::to_string(room->left()) + " left, " +
              std::to_string(unix_ms_ - room->unix_ms) + " ms ago";
  }
  return reason;
}

// A long-running job without room would delay other jobs until it is cancelled,
// so it is refused before it is stored.
// @returns the load of each candidate, as text; nullopt if one of them has room
// or its load is unknown.
std::optional<std::string> Intake::FindCapacityShortage(
    std::span<const std::size_t> candidates,
    const JobDemand& demand) const {
  const bool nowhere = std::ranges::all_of(
      candidates, [this](std::size_t slice) { return IsEvacuated(slice); });
  if (demand.long_running_millis == 0 || nowhere) {
    return std::nullopt;
  }
  std::string reason = "needs " + std::to_string(demand.long_running_millis) +
                       " thousandths of a core";
  for (const std::size_t slice : candidates) {
    if (IsEvacuated(slice)) {
      reason += "; " + options_.slices[slice].name + " is evacuated";
      continue;
    }
    const SliceLoad* load = RecentLoad(slice);
    if (load == nullptr) {
      return std::nullopt;  // It may have room.
    }
    const std::int64_t allocated_millis = LongRunningMillis(slice, *load);
    const std::int64_t limit = LongRunningLimit(*load);
    if (allocated_millis + demand.long_running_millis <= limit) {
      return std::nullopt;
    }
    reason += "; " + options_.slices[slice].name + " has " +
              std::to_string(allocated_millis) + " of at most " +
              std::to_string(limit) + " reserved by long-running tasks, " +
              std::to_string(unix_ms_ - load->unix_ms) + " ms ago";
  }
  return reason;
}

}  // namespace hickoryusher::jobs
