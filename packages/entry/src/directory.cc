#include <algorithm>

#include "directory_p.h"

namespace hickoryusher::entry {

Directory::Directory(const config::ProcessSettings& settings) {
  for (const config::ServiceSettings& service : settings.services) {
    const core::ServiceId service_id = services_.Intern(service.name);
    service_settings_.push_back(&service);
    for (const config::EndpointSettings& endpoint : service.endpoints) {
      endpoint_settings_.push_back(&endpoint);
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
  }
  own_entry_ = entries_.Find(settings.entry);
  const config::EntrySettings& self = settings.self();
  own_domain_ = domains_.Intern(self.failure_domain);
  own_seat_ = routing::SeatId(static_cast<std::uint32_t>(self.seat));
  seats_ = static_cast<std::uint32_t>(
      std::ranges::count(settings.entries, self.failure_domain,
                         &config::EntrySettings::failure_domain));
}

}  // namespace hickoryusher::entry
