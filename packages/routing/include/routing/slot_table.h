#ifndef ROUTING_SLOT_TABLE_H_
#define ROUTING_SLOT_TABLE_H_

#include <cstdint>
#include <optional>
#include <span>
#include <vector>

#include "core/ids.h"
#include "core/time.h"

namespace hickoryusher::routing {

/// A loan of slots, by the borrower's request number.
using LoanId = core::Handle<struct LoanTag, std::uint64_t>;

/// One reserved slot of an endpoint.
struct Slot {
  core::EndpointId endpoint;
  LoanId loan;  ///< Invalid when the slot comes from the process's own share.

  bool operator==(const Slot&) const = default;
};

/// Slots that this process holds on loan at one endpoint.
struct BorrowedSlots {
  LoanId id;
  int slots = 0;
  core::TimePoint expiry;  ///< On this process's clock.
  int in_flight = 0;
};

/// Slots and connections that this process may use at one endpoint.
struct SlotEntry {
  int slots = 0;        ///< Own share, without the slots lent out.
  int connections = 0;  ///< Own share, without the connections lent out.
  int in_flight = 0;    ///< Requests on slots of the own share.
  /// Connections of the own share, idle ones and those being opened included,
  /// as reported by the caller.
  int open_connections = 0;
  std::vector<BorrowedSlots> borrowed;
};

/// Counts the slots that this process may use and uses, for every endpoint.
///
/// @remarks The share ledger sets the limits; the router reserves. A limit may
/// fall below the slots in use: then nothing is reserved until enough have been
/// released. A request on a borrowed slot needs a connection of its own that is
/// closed with the request.
class SlotTable {
 public:
  explicit SlotTable(std::size_t endpoints) : entries_(endpoints) {}

  /// Reserves a slot of the own share, or else a borrowed one whose loan lasts
  /// past @p deadline.
  std::optional<Slot> Reserve(core::EndpointId endpoint,
                              core::TimePoint deadline);
  bool HasFree(core::EndpointId endpoint, core::TimePoint deadline) const {
    const SlotEntry& entry = entries_[endpoint.value()];
    return entry.in_flight < entry.slots ||
           (!entry.borrowed.empty() &&
            FindBorrowed(entry, deadline) != nullptr);
  }
  void Release(const Slot& slot);

  void SetLimit(core::EndpointId endpoint, int slots, int connections);
  void SetOpenConnections(core::EndpointId endpoint, int count);

  void AddLoan(core::EndpointId endpoint, const BorrowedSlots& loan);
  /// Removes the loans that ended at or before @p now and have no request in
  /// flight.
  void DropExpiredLoans(core::EndpointId endpoint, core::TimePoint now);

  const SlotEntry& entry(core::EndpointId endpoint) const {
    return entries_[endpoint.value()];
  }
  std::span<const SlotEntry> entries() const { return entries_; }

  /// Increases with every change of a limit or loan.
  std::uint64_t revision() const { return revision_; }

 private:
  static const BorrowedSlots* FindBorrowed(const SlotEntry& entry,
                                           core::TimePoint deadline);

  std::vector<SlotEntry> entries_;
  std::uint64_t revision_ = 1;
};

}  // namespace hickoryusher::routing

#endif  // ROUTING_SLOT_TABLE_H_
