#include <algorithm>
#include <limits>

#include "scheduler_p.h"

namespace hickoryusher::placement {
namespace {

/// What decides whether a task finds room; capacity only shrinks in a round.
struct Shape {
  KindId kind;
  core::WorkClass work_class;
  core::Resources size;

  bool operator==(const Shape&) const = default;
};

/// Longer lists cost more to search than they save.
constexpr std::size_t kMaxShapes = 64;

std::int64_t CopiesThatFit(const core::Resources& size,
                           const core::Resources& capacity) {
  const auto copies = [](std::int64_t need, std::int64_t have) {
    return need <= 0 ? std::numeric_limits<std::int32_t>::max() : have / need;
  };
  return std::min({copies(size.cpu_millis, capacity.cpu_millis),
                   copies(size.memory_bytes, capacity.memory_bytes),
                   copies(size.accelerators, capacity.accelerators)});
}

}  // namespace

std::string_view Scheduler::Impl::ImpossibleReason(const JobSpec& job,
                                                   core::TimePoint now) const {
  const core::Resources size = SizeFor(config.policy, estimator, job, now);
  const std::int64_t together = job.gang ? job.tasks : 1;
  if (job.gang && job.tasks > kGroupRows) {
    return "gang has more than 64 tasks";
  }
  std::int64_t room = 0;
  for (const Worker& worker : workers.workers()) {
    room += CopiesThatFit(size, worker.spec.capacity);
  }
  if (room == 0) {
    return "larger than every worker";
  }
  if (room < together) {
    return "gang larger than the fleet";
  }
  const auto quota = quotas.find(job.team);
  if (quota != quotas.end() && CopiesThatFit(size, quota->second) < together) {
    return "larger than the team's quota";
  }
  return {};
}

bool Scheduler::Impl::WithinQuota(const JobSpec& job,
                                  const core::Resources& size) const {
  const auto quota = quotas.find(job.team);
  if (quota == quotas.end()) {
    return true;
  }
  const auto used = team_use.find(job.team);
  return core::Fits(used == team_use.end() ? size : used->second + size,
                    quota->second);
}

bool Scheduler::Impl::WithinFloors(const JobSpec& job,
                                   const core::Resources& size,
                                   std::int64_t evicted_cpu) const {
  // A class may use what no other class's floor still needs.
  std::int64_t free = workers.capacity().cpu_millis;
  for (const core::WorkClass work_class : core::kWorkClasses) {
    const std::size_t i = core::Index(work_class);
    const std::int64_t floor =
        workers.capacity().cpu_millis * config.floor_percent.at(i) / 100;
    const std::int64_t used =
        class_use.at(i).cpu_millis -
        (work_class == core::WorkClass::kBatch ? evicted_cpu : 0);
    free -= work_class == job.work_class ? used : std::max(used, floor);
  }
  const std::size_t own = core::Index(job.work_class);
  const bool within_floor =
      (class_use.at(own) + size).cpu_millis * 100 <=
      workers.capacity().cpu_millis * config.floor_percent.at(own);
  return within_floor || size.cpu_millis <= free;
}

bool Scheduler::Impl::Permitted(const JobSpec& job,
                                const core::Resources& size) const {
  return WithinQuota(job, size) && WithinFloors(job, size, 0);
}

bool Scheduler::Impl::PermittedAfterEviction(
    const JobSpec& job,
    const core::Resources& size) const {
  const std::int64_t batch =
      class_use.at(core::Index(core::WorkClass::kBatch)).cpu_millis;
  return WithinQuota(job, size) &&
         WithinFloors(job, size, std::min(batch, size.cpu_millis));
}

Worker* Scheduler::Impl::Reserve(const Job& job,
                                 TaskSlot slot,
                                 core::TimePoint now) {
  const core::Resources size = SizeFor(config.policy, estimator, job.spec, now);
  if (!Permitted(job.spec, size)) {
    return nullptr;
  }
  Worker* worker = Choose(config.policy, workers, slowdowns,
                          {.job = job.spec.job,
                           .kind = job.spec.kind,
                           .work_class = job.spec.work_class,
                           .size = size,
                           .now = now});
  if (worker != nullptr) {
    Task& task = tasks[slot];
    task.worker = worker->spec.worker;
    task.charge = size;
    workers.Charge(*worker, slot, job.spec, size);
    slowdowns.Refresh(worker->kinds);
    ChargeUsage(job, size, 1);
  }
  return worker;
}

bool Scheduler::Impl::PlaceOne(Job& job,
                               core::TimePoint now,
                               std::vector<Command>& out) {
  const TaskSlot slot = job.pending.back();
  if (Reserve(job, slot, now) == nullptr) {
    return false;
  }
  job.pending.pop_back();
  Dispatch(slot, names.place, now, out);
  const Task& task = tasks[slot];
  out.emplace_back(Placed{.task = task.id,
                          .attempt = task.attempt,
                          .worker = task.worker,
                          .charge = task.charge});
  return true;
}

bool Scheduler::Impl::PlaceGang(Job& job,
                                core::TimePoint now,
                                std::vector<Command>& out) {
  std::size_t reserved = 0;
  while (reserved < job.pending.size() &&
         Reserve(job, job.pending[reserved], now) != nullptr) {
    ++reserved;
  }
  if (reserved < job.pending.size()) {
    for (std::size_t i = 0; i < reserved; ++i) {
      Release(job.pending[i]);
    }
    return false;
  }
  unit = next_unit++;
  job.started = true;
  const std::vector<TaskSlot> slots = std::move(job.pending);
  job.pending.clear();
  for (const TaskSlot slot : slots) {
    Dispatch(slot, names.place, now, out);
    out.emplace_back(Placed{.task = tasks[slot].id,
                            .attempt = tasks[slot].attempt,
                            .worker = tasks[slot].worker,
                            .charge = tasks[slot].charge});
  }
  unit = 0;
  return true;
}

void Scheduler::Impl::PlaceRound(core::TimePoint now,
                                 std::vector<Command>& out) {
  if (hold || workers.workers().empty()) {
    return;
  }
  if (const auto* learned = std::get_if<LearnedPlacement>(&config.policy)) {
    slowdowns.Forget(learned->forget_half_life, now);
  }
  std::vector<Shape> full;
  int budget = config.placements_per_tick;
  for (auto next = queue.begin(); next != queue.end() && budget > 0;) {
    const std::uint32_t index = std::get<2>(*next);
    const auto entry = next++;
    Job& job = jobs[index];
    if (!job.checked && fleet_known) {
      job.checked = true;
      const std::string_view reason = ImpossibleReason(job.spec, now);
      if (!reason.empty()) {
        StopJob(index, reason, now, out);
        continue;
      }
    }
    const Shape shape{.kind = job.spec.kind,
                      .work_class = job.spec.work_class,
                      .size = SizeFor(config.policy, estimator, job.spec, now)};
    if (std::ranges::find(full, shape) != full.end()) {
      continue;
    }
    bool placed = true;
    if (job.spec.gang && !job.started) {
      placed = PlaceGang(job, now, out);
    }
    while (placed && !job.pending.empty() && budget > 0) {
      placed = PlaceOne(job, now, out);
      --budget;
    }
    if (job.pending.empty()) {
      queue.erase(entry);
    } else if (!placed) {
      const bool over_quota = !Permitted(job.spec, shape.size);
      // Batch work may fill the fleet; what is evicted no longer counts.
      if (job.spec.urgent && PermittedAfterEviction(job.spec, shape.size)) {
        MakeRoom(job.spec, now, out);
      }
      if (!job.spec.gang && !over_quota && full.size() < kMaxShapes) {
        full.push_back(shape);
      }
    }
  }
}

void Scheduler::Impl::MakeRoom(const JobSpec& job,
                               core::TimePoint now,
                               std::vector<Command>& out) {
  const core::Resources size = SizeFor(config.policy, estimator, job, now);
  // Room once the checkpoints in progress are done, and room at most.
  const auto room_of = [&](const Worker& worker, bool with_evictable) {
    core::Resources room = worker.Free();
    for (const TaskSlot slot : worker.tasks) {
      if (tasks[slot].state == names.checkpointing ||
          (with_evictable && IsEvictable(tasks[slot], now))) {
        room += tasks[slot].charge;
      }
    }
    return room;
  };
  const auto usable = [&](const Worker& worker) {
    return worker.up && !worker.quarantined;
  };
  // Room that is on its way is used in a later round.
  const bool coming =
      std::ranges::any_of(workers.workers(), [&](const Worker& worker) {
        return usable(worker) && core::Fits(size, room_of(worker, false));
      });
  if (coming) {
    return;
  }
  const auto found =
      std::ranges::find_if(workers.workers(), [&](const Worker& worker) {
        return usable(worker) && core::Fits(size, room_of(worker, true));
      });
  if (found == workers.workers().end()) {
    return;
  }
  while (!core::Fits(size, room_of(*found, false)) &&
         EvictCheapest(*found, KindId(), now, out)) {
  }
}

}  // namespace hickoryusher::placement
