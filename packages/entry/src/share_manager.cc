#include "share_manager_p.h"

#include <algorithm>
#include <iterator>
#include <utility>

#include "core/overloaded.h"
#include "share_codec_p.h"

namespace hickoryusher::entry {
namespace {

constexpr core::Duration kMessageTimeout = std::chrono::milliseconds(500);

// Share calls use the upper half of the call numbers, so that their replies are
// never taken for replies to ticket calls.
constexpr std::uint64_t kFirstCall = std::uint64_t{1} << 62U;

}  // namespace

ShareManager::ShareManager(const Directory& directory,
                           VmTable vms,
                           routing::ShareLedger ledger)
    : directory_(directory),
      vms_(std::move(vms)),
      ledger_(std::move(ledger)),
      next_call_(kFirstCall) {}

void ShareManager::TakeVmList(const store::VmListRead& list,
                              routing::SlotTable& slots,
                              core::TimePoint now,
                              ShareOutput& out) {
  std::vector<core::VmId> ids;
  std::ranges::transform(
      list.vms, std::back_inserter(ids),
      [this](const store::Vm& vm) { return vms_.Intern(vm.name); });
  Run(routing::VmListRead{.revision = list.revision, .vms = ids}, slots, now,
      out);
}

void ShareManager::WantLoan(core::EndpointId endpoint,
                            routing::SlotTable& slots,
                            core::TimePoint now,
                            ShareOutput& out) {
  Run(routing::LoanWanted{.endpoint = endpoint, .slots = 1}, slots, now, out);
}

void ShareManager::Wake(routing::SlotTable& slots,
                        core::TimePoint now,
                        ShareOutput& out) {
  Run(routing::Wake{}, slots, now, out);
}

void ShareManager::Release(routing::SlotTable& slots,
                           core::TimePoint now,
                           ShareOutput& out) {
  Run(routing::ReleaseShares{}, slots, now, out);
}

bool ShareManager::TakeMessage(const Json::Value& params,
                               routing::SlotTable& slots,
                               core::TimePoint now,
                               ShareOutput& out) {
  const auto envelope = DecodeEnvelope(params, directory_, vms_);
  if (!envelope) {
    return false;
  }
  Run(routing::MessageReceived{.envelope = *envelope}, slots, now, out);
  return true;
}

void ShareManager::Run(const routing::ShareEvent& event,
                       routing::SlotTable& slots,
                       core::TimePoint now,
                       ShareOutput& out) {
  routing::ShareCommands commands;
  ledger_.Handle(event, slots, now, commands);
  for (const routing::ShareCommand& command : commands) {
    std::visit(
        core::Overloaded{
            [&](const routing::SendMessage& c) {
              out.calls.push_back(
                  {.id = PeerCallId(next_call_++),
                   .to = directory_.EntryAt(c.envelope.to),
                   .text = rpc::EncodeCall(
                       "share.message",
                       EncodeEnvelope(c.envelope, directory_, vms_)),
                   .timeout = kMessageTimeout});
            },
            [&](const routing::ShareChanged& c) {
              out.lines.push_back(core::LogLine("share_changed")
                                      .Add("seat", c.share.value())
                                      .Add("held", c.held));
            },
            [&](const routing::LimitChanged&) { out.limits_changed = true; },
            [&](const routing::LoanReceived& c) {
              out.limits_changed = true;
              out.lines.push_back(
                  core::LogLine("loan_received")
                      .Add("endpoint", directory_.endpoint(c.endpoint).name)
                      .Add("slots", c.slots)
                      .Add("ms", core::ToMillis(c.expiry - now)));
            },
            [&](const routing::AllReleased&) { out.all_released = true; }},
        command);
  }
}

}  // namespace hickoryusher::entry
