#ifndef ENTRY_SRC_SHARE_MANAGER_P_H_
#define ENTRY_SRC_SHARE_MANAGER_P_H_

#include <optional>
#include <vector>

#include "core/log_line.h"
#include "core/time.h"
#include "directory_p.h"
#include "peer_message_p.h"
#include "routing/share_ledger.h"
#include "routing/slot_table.h"
#include "rpc/codec.h"
#include "share_codec_p.h"
#include "store/event.h"

namespace hickoryusher::entry {

/// What the share manager asks the router thread to do.
struct ShareOutput {
  std::vector<PeerCall> calls;
  std::vector<core::LogLine> lines;
  bool limits_changed = false;
  bool all_released = false;
};

/// Runs the share ledger and carries its messages as JSON-RPC `share.message`
/// calls, whose replies say nothing.
class ShareManager {
 public:
  ShareManager(const Directory& directory,
               VmTable vms,
               routing::ShareLedger ledger);

  /// Takes a complete read of the VM list.
  void TakeVmList(const store::VmListRead& list,
                  routing::SlotTable& slots,
                  core::TimePoint now,
                  ShareOutput& out);

  /// Asks for a loan at the endpoints of @p service that have no free slot.
  void WantLoan(core::EndpointId endpoint,
                routing::SlotTable& slots,
                core::TimePoint now,
                ShareOutput& out);

  /// Runs the ledger's timers and gives up what is no longer in use.
  void Wake(routing::SlotTable& slots, core::TimePoint now, ShareOutput& out);

  void Release(routing::SlotTable& slots,
               core::TimePoint now,
               ShareOutput& out);

  /// Takes the parameters of a `share.message` call.
  /// @returns false if the message is malformed.
  bool TakeMessage(const Json::Value& params,
                   routing::SlotTable& slots,
                   core::TimePoint now,
                   ShareOutput& out);

  core::TimePoint next_timer() const { return ledger_.NextTimer(); }

 private:
  void Run(const routing::ShareEvent& event,
           routing::SlotTable& slots,
           core::TimePoint now,
           ShareOutput& out);

  const Directory& directory_;
  VmTable vms_;
  routing::ShareLedger ledger_;
  std::uint64_t next_call_ = 0;
};

}  // namespace hickoryusher::entry

#endif  // ENTRY_SRC_SHARE_MANAGER_P_H_
