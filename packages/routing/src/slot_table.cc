#include "routing/slot_table.h"

#include <algorithm>

namespace hickoryusher::routing {

const BorrowedSlots* SlotTable::FindBorrowed(const SlotEntry& entry,
                                             core::TimePoint deadline) {
  const auto found =
      std::ranges::find_if(entry.borrowed, [&](const BorrowedSlots& loan) {
        return loan.in_flight < loan.slots && deadline < loan.expiry;
      });
  return found == entry.borrowed.end() ? nullptr : &*found;
}

std::optional<Slot> SlotTable::Reserve(core::EndpointId endpoint,
                                       core::TimePoint deadline) {
  SlotEntry& entry = entries_[endpoint.value()];
  if (entry.in_flight < entry.slots) {
    ++entry.in_flight;
    return Slot{.endpoint = endpoint};
  }
  if (const BorrowedSlots* loan = FindBorrowed(entry, deadline)) {
    ++entry.borrowed[static_cast<std::size_t>(loan - entry.borrowed.data())]
          .in_flight;
    return Slot{.endpoint = endpoint, .loan = loan->id};
  }
  return std::nullopt;
}

void SlotTable::Release(const Slot& slot) {
  SlotEntry& entry = entries_[slot.endpoint.value()];
  if (!slot.loan.valid()) {
    --entry.in_flight;
    return;
  }
  const auto loan =
      std::ranges::find(entry.borrowed, slot.loan, &BorrowedSlots::id);
  if (loan != entry.borrowed.end()) {
    --loan->in_flight;
  }
}

void SlotTable::SetLimit(core::EndpointId endpoint,
                         int slots,
                         int connections) {
  SlotEntry& entry = entries_[endpoint.value()];
  if (entry.slots != slots || entry.connections != connections) {
    entry.slots = slots;
    entry.connections = connections;
    ++revision_;
  }
}

void SlotTable::SetOpenConnections(core::EndpointId endpoint, int count) {
  entries_[endpoint.value()].open_connections = count;
}

void SlotTable::AddLoan(core::EndpointId endpoint, const BorrowedSlots& loan) {
  entries_[endpoint.value()].borrowed.push_back(loan);
  ++revision_;
}

void SlotTable::DropExpiredLoans(core::EndpointId endpoint,
                                 core::TimePoint now) {
  const std::size_t dropped = std::erase_if(
      entries_[endpoint.value()].borrowed, [now](const BorrowedSlots& loan) {
        return loan.expiry <= now && loan.in_flight == 0;
      });
  revision_ += dropped;
}

}  // namespace hickoryusher::routing
