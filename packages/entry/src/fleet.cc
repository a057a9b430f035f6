#include <algorithm>
#include <cstdint>
#include <iterator>

#include "fleet_p.h"

namespace hickoryusher::entry {
namespace {

// A slice has at most this many workers.
constexpr std::uint32_t kSliceWorkers = 64;

/// FNV-1a: entries of different builds have to agree, which std::hash does not
/// promise.
std::uint64_t Hash(std::string_view text) {
  std::uint64_t hash = 14'695'981'039'346'656'037U;
  for (const char c : text) {
    hash = (hash ^ static_cast<unsigned char>(c)) * 1'099'511'628'211U;
  }
  return hash;
}

}  // namespace

Fleet::Fleet(const config::ProcessSettings& settings)
    : domain_(settings.self().failure_domain) {
  core::NameTable<core::RackId> racks;
  for (const config::WorkerSettings& worker : settings.workers) {
    if (worker.failure_domain != domain_) {
      continue;
    }
    const core::WorkerId id = names_.Intern(worker.name);
    workers_.push_back(
        {.spec = {.worker = id,
                  .rack = racks.Intern(worker.rack),
                  .capacity = {.cpu_millis = worker.cpu_millis,
                               .memory_bytes = worker.memory_bytes,
                               .accelerators = worker.accelerators}},
         .slice = core::SliceId(id.value() / kSliceWorkers),
         .name = worker.name,
         .url = worker.url,
         .vm = worker.vm});
  }
}

const FleetWorker* Fleet::Find(core::WorkerId id) const {
  return id.value() < workers_.size() ? &workers_[id.value()] : nullptr;
}

std::vector<core::SliceId> Fleet::slices() const {
  std::vector<core::SliceId> slices;
  for (const FleetWorker& worker : workers_) {
    if (slices.empty() || slices.back() != worker.slice) {
      slices.push_back(worker.slice);
    }
  }
  return slices;
}

std::vector<placement::WorkerSpec> Fleet::SpecsOf(core::SliceId slice) const {
  std::vector<placement::WorkerSpec> specs;
  for (const FleetWorker& worker : workers_) {
    if (worker.slice == slice) {
      specs.push_back(worker.spec);
    }
  }
  return specs;
}

core::SliceId Fleet::SliceFor(std::string_view id,
                              const core::Resources& size) const {
  std::vector<core::SliceId> fitting;
  for (const FleetWorker& worker : workers_) {
    if (core::Fits(size, worker.spec.capacity) &&
        (fitting.empty() || fitting.back() != worker.slice)) {
      fitting.push_back(worker.slice);
    }
  }
  return fitting.empty() ? core::SliceId() : fitting[Hash(id) % fitting.size()];
}

}  // namespace hickoryusher::entry
