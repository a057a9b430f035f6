#ifndef ENTRY_SRC_DIRECTORY_P_H_
#define ENTRY_SRC_DIRECTORY_P_H_

#include <span>
#include <string>
#include <string_view>
#include <vector>

#include "config/process_settings.h"
#include "core/ids.h"
#include "core/name_table.h"
#include "routing/types.h"

namespace hickoryusher::entry {

/// Names of the settings file and the handles that the decisions use instead.
class Directory {
 public:
  explicit Directory(const config::ProcessSettings& settings);

  core::ServiceId FindService(std::string_view name) const {
    return services_.Find(name);
  }
  std::string_view ServiceName(core::ServiceId id) const {
    return services_.Name(id);
  }
  core::VmId FindVm(std::string_view name) const { return vms_.Find(name); }
  core::FailureDomainId FindDomain(std::string_view name) const {
    return domains_.Find(name);
  }
  const config::ServiceSettings& service(core::ServiceId id) const {
    return *service_settings_[id.value()];
  }
  const config::EndpointSettings& endpoint(core::EndpointId id) const {
    return *endpoint_settings_[id.value()];
  }

  /// @returns the endpoints in the order of their handles.
  std::span<const routing::EndpointSpec> endpoints() const {
    return endpoints_;
  }

  core::EntryId FindEntry(std::string_view name) const {
    return entries_.Find(name);
  }
  std::string_view EntryName(core::EntryId id) const {
    return entries_.Name(id);
  }
  const config::EntrySettings& entry(core::EntryId id) const {
    return *entry_settings_[id.value()];
  }
  std::size_t entry_count() const { return entry_settings_.size(); }
  core::EntryId own_entry() const { return own_entry_; }

  core::FailureDomainId own_domain() const { return own_domain_; }
  routing::SeatId own_seat() const { return own_seat_; }

  /// @returns the number of entry processes in the own failure domain.
  std::uint32_t seats() const { return seats_; }

 private:
  core::NameTable<core::ServiceId> services_;
  core::NameTable<core::VmId> vms_;
  core::NameTable<core::RackId> racks_;
  core::NameTable<core::FailureDomainId> domains_;
  std::vector<const config::ServiceSettings*> service_settings_;
  std::vector<const config::EndpointSettings*> endpoint_settings_;
  std::vector<routing::EndpointSpec> endpoints_;
  core::NameTable<core::EntryId> entries_;
  std::vector<const config::EntrySettings*> entry_settings_;
  core::EntryId own_entry_;
  core::FailureDomainId own_domain_;
  routing::SeatId own_seat_;
  std::uint32_t seats_ = 0;
};

}  // namespace hickoryusher::entry

#endif  // ENTRY_SRC_DIRECTORY_P_H_
