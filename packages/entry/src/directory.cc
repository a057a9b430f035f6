#include <algorithm>

#include "directory_p.h"

namespace hickoryusher::entry {

Directory::Directory(const config::ProcessSettings& settings) {
  for (const config::ServiceSettings& service : settings.services) {
    const core::ServiceId service_id = services_.Intern(service.name);
    service_settings_.push_back(&service);
    for (const config::EndpointSettings& endpoint : service.endpoints) {
      endpoint_settings_.push_back(&endpoint);
      endpoint_names_.Intern(endpoint.name);
      endpoints_.push_back({.service = service_id,
                            .vm = vms_.Intern(endpoint.vm),
                            .rack = racks_.Intern(endpoint.rack),
                            .domain = domains_.Intern(endpoint.failure_domain),
                            .slots = endpoint.slots,
                            .connections = endpoint.connections});
    }
  }
  for (const config::EntrySettings& entry : settings.entries) {
    entries_.Intern(entry.name);
    entry_settings_.push_back(&entry);
    entry_seats_.push_back(
        {.domain = domains_.Intern(entry.failure_domain),
         .seat = routing::SeatId(static_cast<std::uint32_t>(entry.seat))});
    seats_by_domain_.resize(domains_.size(), 0);
    ++seats_by_domain_[entry_seats_.back().domain.value()];
  }
  own_entry_ = entries_.Find(settings.entry);
  const config::EntrySettings& self = settings.self();
  own_domain_ = domains_.Intern(self.failure_domain);
  own_seat_ = routing::SeatId(static_cast<std::uint32_t>(self.seat));
  seats_ = seats_by_domain_[own_domain_.value()];
}

core::EntryId Directory::EntryAt(const routing::SeatAddress& address) const {
  const auto found = std::ranges::find(entry_seats_, address);
  return found == entry_seats_.end() ? core::EntryId()
                                     : core::EntryId(static_cast<std::uint32_t>(
                                           found - entry_seats_.begin()));
}

}  // namespace hickoryusher::entry
