#ifndef ENTRY_SRC_FLEET_P_H_
#define ENTRY_SRC_FLEET_P_H_

#include <span>
#include <string>
#include <string_view>
#include <vector>

#include "config/process_settings.h"
#include "core/ids.h"
#include "core/name_table.h"
#include "placement/types.h"

namespace hickoryusher::entry {

struct FleetWorker {
  placement::WorkerSpec spec;
  core::SliceId slice;
  std::string name;
  std::string url;
  std::string vm;
};

/// Workers of the own failure domain and their slices.
///
/// @remarks Slices are cut in the order of the settings file, so every entry of
/// the domain has to have the same list of workers.
class Fleet {
 public:
  explicit Fleet(const config::ProcessSettings& settings);

  const std::string& domain() const { return domain_; }
  std::span<const FleetWorker> workers() const { return workers_; }
  const FleetWorker* Find(core::WorkerId id) const;
  std::vector<core::SliceId> slices() const;
  std::vector<placement::WorkerSpec> SpecsOf(core::SliceId slice) const;

  /// @returns the slice that takes the job named @p id, or an invalid handle
  /// if no worker can hold a task of @p size.
  core::SliceId SliceFor(std::string_view id,
                         const core::Resources& size) const;

  /// @returns the worker of this name. A name that the settings do not list
  /// gets a handle without capacity, so that its tasks stay charged to it.
  core::WorkerId Intern(std::string_view name) { return names_.Intern(name); }
  std::string_view Name(core::WorkerId id) const { return names_.Name(id); }

 private:
  std::string domain_;
  std::vector<FleetWorker> workers_;
  core::NameTable<core::WorkerId> names_;
};

}  // namespace hickoryusher::entry

#endif  // ENTRY_SRC_FLEET_P_H_
