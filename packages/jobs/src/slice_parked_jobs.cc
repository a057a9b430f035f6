#include <algorithm>
#include <limits>

#include "slice_scheduler_p.h"

/// Jobs that are left in the store until the owner has memory for them. Intake
/// refuses jobs beyond the room that owners publish, but processes that accept
/// at the same time, or an owner with more memory before, may have gone beyond
/// that of this one.
namespace hickoryusher::jobs {
namespace {

// Two copies of an id, in a queue and in a map.
constexpr std::size_t kFinalJobBytes = 384;

}  // namespace

std::size_t SliceScheduler::job_bytes() const {
  return jobs_.bytes() + final_jobs_.size() * kFinalJobBytes;
}

// Returns whether the slice's jobs leave memory for one more. A job that takes
// more than all of them may is held alone.
bool SliceScheduler::HasMemoryFor(std::size_t bytes) const {
  return jobs_.size() == 0 || job_bytes() + bytes <= options_.job_bytes;
}

// Returns whether the job, or a part of it, is left in the store.
bool SliceScheduler::IsParked(std::string_view job) const {
  const auto part = parked_jobs_.lower_bound(FirstPartId(job));
  return parked_jobs_.contains(job) ||
         (part != parked_jobs_.end() && CallerId(part->first) == job);
}

void SliceScheduler::ParkJob(const Row& row,
                             const StoredJob& stored,
                             std::size_t bytes) {
  parked_jobs_[row.key.key] = {.queue = stored.queue,
                               .version = row.version,
                               .bytes = bytes,
                               .complete_before = rows_complete_before_};
  options_.log(core::LogLine("job_parked", core::LogLevel::kWarning)
                   .Add("job", row.key.key)
                   .Add("slice", options_.slice.name)
                   .Add("bytes", bytes)
                   .Add("held_bytes", job_bytes())
                   .Add("limit_bytes", options_.job_bytes)
                   .Add("parked", parked_jobs_.size()));
}

// Reads a job again that has been cancelled, or the oldest one that there is
// memory for.
void SliceScheduler::ReadParkedJob() {
  if (parked_read_ || !restored_ || now_ < parked_retry_) {
    return;
  }
  const auto is_cancelled = [this](std::string_view id) {
    return cancelled_jobs_.contains(CallerId(id));
  };
  constexpr auto kNever = std::numeric_limits<RowVersion>::max();
  const auto next = std::ranges::min_element(
      parked_jobs_, {}, [&](const auto& entry) -> RowVersion {
        const auto& [id, job] = entry;
        return is_cancelled(id)          ? 0
               : HasMemoryFor(job.bytes) ? job.version
                                         : kNever;
      });
  if (next == parked_jobs_.end() ||
      (!is_cancelled(next->first) && !HasMemoryFor(next->second.bytes))) {
    parked_retry_ = now_ + kTick;
    return;
  }
  parked_read_ = ParkedRead{.call = ids_.Next(), .job = next->first};
  const RowKey row = JobRow(options_.slice.name, next->first);
  store_commands_.push_back(ReadRows{.call = parked_read_->call,
                                     .table = row.table,
                                     .part = row.part,
                                     .from = row.key,
                                     .to = row.key + '!',
                                     .limit = 1});
}

void SliceScheduler::FinishParkedRead(const StoreEvent& event) {
  const std::string id = std::move(std::exchange(parked_read_, {})->job);
  const auto* read = std::get_if<RowsRead>(&event);
  if (read == nullptr) {
    parked_retry_ = now_ + kReadRetryDelay;
    return;
  }
  const auto parked = parked_jobs_.extract(id);
  if (!read->rows.empty() && read->rows.front().key.key == id) {
    rows_complete_before_ = parked.mapped().complete_before;
    HandleJobRow(read->rows.front());
  }
  if (!parked_jobs_.contains(id)) {
    stored_progress_.erase(id);
    stored_places_.erase(id);
  }
}

}  // namespace hickoryusher::jobs
