#include "placement/worker_table.h"

#include <algorithm>

namespace hickoryusher::placement {

Worker& WorkerTable::Ensure(core::WorkerId id) {
  const auto [found, added] =
      index_.try_emplace(id, static_cast<std::uint32_t>(workers_.size()));
  if (added) {
    workers_.emplace_back().spec.worker = id;
  }
  return workers_[found->second];
}

Worker& WorkerTable::Up(const WorkerSpec& spec) {
  Worker& worker = Ensure(spec.worker);
  SetSpec(worker, spec);
  worker.up = true;
  return worker;
}

void WorkerTable::SetFleet(std::span<const WorkerSpec> fleet) {
  for (const WorkerSpec& spec : fleet) {
    SetSpec(Ensure(spec.worker), spec);
  }
  if (fleet.size() == workers_.size()) {
    return;
  }
  for (Worker& worker : workers_) {
    if (std::ranges::find(fleet, worker.spec.worker, &WorkerSpec::worker) ==
        fleet.end()) {
      SetSpec(worker, {.worker = worker.spec.worker, .rack = worker.spec.rack});
      worker.up = false;
    }
  }
}

void WorkerTable::SetSpec(Worker& worker, const WorkerSpec& spec) {
  for (const KindCount& kind : worker.kinds) {
    RackSlot(worker.spec.rack, kind.kind) -= kind.count;
    RackSlot(spec.rack, kind.kind) += kind.count;
  }
  capacity_ -= worker.spec.capacity;
  capacity_ += spec.capacity;
  worker.spec = spec;
}

Worker* WorkerTable::Find(core::WorkerId id) {
  const auto found = index_.find(id);
  return found == index_.end() ? nullptr : &workers_[found->second];
}

const Worker* WorkerTable::Find(core::WorkerId id) const {
  const auto found = index_.find(id);
  return found == index_.end() ? nullptr : &workers_[found->second];
}

int& WorkerTable::RackSlot(core::RackId rack, KindId kind) {
  const std::size_t row = rack.valid() ? rack.value() : 0;
  if (row >= rack_counts_.size()) {
    rack_counts_.resize(row + 1);
  }
  std::vector<int>& counts = rack_counts_[row];
  if (kind.value() >= counts.size()) {
    counts.resize(kind.value() + 1);
  }
  return counts[kind.value()];
}

int WorkerTable::RackCount(core::RackId rack, KindId kind) const {
  const std::size_t row = rack.valid() ? rack.value() : 0;
  return row < rack_counts_.size() && kind.value() < rack_counts_[row].size()
             ? rack_counts_[row][kind.value()]
             : 0;
}

void WorkerTable::Charge(Worker& worker,
                         TaskSlot slot,
                         const JobSpec& job,
                         const core::Resources& size) {
  worker.charged += size;
  worker.tasks.push_back(slot);
  const auto found =
      std::ranges::find(worker.kinds, job.kind, &KindCount::kind);
  if (found != worker.kinds.end()) {
    ++found->count;
  } else {
    worker.kinds.push_back(
        {.kind = job.kind, .work_class = job.work_class, .count = 1});
  }
  ++RackSlot(worker.spec.rack, job.kind);
}

void WorkerTable::Release(Worker& worker,
                          TaskSlot slot,
                          const JobSpec& job,
                          const core::Resources& size) {
  worker.charged -= size;
  const auto task = std::ranges::find(worker.tasks, slot);
  if (task != worker.tasks.end()) {
    *task = worker.tasks.back();
    worker.tasks.pop_back();
  }
  const auto found =
      std::ranges::find(worker.kinds, job.kind, &KindCount::kind);
  if (found != worker.kinds.end() && --found->count == 0) {
    *found = worker.kinds.back();
    worker.kinds.pop_back();
  }
  --RackSlot(worker.spec.rack, job.kind);
}

}  // namespace hickoryusher::placement
