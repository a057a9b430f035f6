// The part of the request path that follows the fleet and the settings: VM
// list, slot shares, calls of other entry processes and policies of services.
#include <algorithm>
#include <iterator>
#include <utility>

#include "request_path_p.h"

namespace hickoryusher::entry {

void RequestPath::TakeVmList(const store::VmListRead& list,
                             core::TimePoint now) {
  if (list.unchanged || list.revision < vm_list_revision_) {
    return;
  }
  vm_list_revision_ = list.revision;
  std::unordered_map<core::VmId, store::VmState> seen;
  for (const store::Vm& vm : list.vms) {
    if (const core::VmId id = parts_.directory.FindVm(vm.name); id.valid()) {
      seen.emplace(id, vm.state);
    }
  }
  for (const auto& [id, state] : seen) {
    const auto before = vm_states_.find(id);
    const bool was_leaving = before != vm_states_.end() &&
                             before->second == store::VmState::kLeaving;
    const bool leaving = state == store::VmState::kLeaving;
    if (leaving && !was_leaving) {
      parts_.router.Handle(routing::VmLeaving{.vm = id}, now);
    } else if (!leaving && was_leaving) {
      parts_.router.Handle(routing::VmReturned{.vm = id}, now);
    }
  }
  for (const auto& [id, state] : vm_states_) {
    // A VM that has gone from the list gets no request until it is back.
    if (!seen.contains(id)) {
      parts_.router.Handle(routing::VmLeaving{.vm = id}, now);
      seen.emplace(id, store::VmState::kLeaving);
    }
  }
  vm_states_ = std::move(seen);
  ShareOutput output;
  parts_.shares.TakeVmList(list, parts_.router.slots(), now, output);
  TakeShareOutput(std::move(output), now);
}

void RequestPath::AddMethods(rpc::Dispatcher& dispatcher,
                             std::function<core::TimePoint()> clock) {
  parts_.keys.tickets().AddMethods(dispatcher);
  dispatcher.Add("share.message", [this, clock = std::move(clock)](
                                      const Json::Value& params,
                                      Json::Value& result, std::string& error) {
    const core::TimePoint now = clock();
    ShareOutput output;
    if (!parts_.shares.TakeMessage(params, parts_.router.slots(), now,
                                   output)) {
      error = "share.message: malformed or of an unknown seat";
      return false;
    }
    TakeShareOutput(std::move(output), now);
    result = Json::Value(Json::objectValue);
    return true;
  });
}

void RequestPath::Handle(const PoliciesChanged& change, core::TimePoint now) {
  for (std::uint32_t i = 0; i < parts_.policies.size(); ++i) {
    const ServicePolicy& policy = change.policies[i];
    if (policy == parts_.policies[i]) {
      continue;
    }
    parts_.policies[i] = policy;
    const core::ServiceId service(i);
    core::LogLine line("service_policy");
    line.Add("service", parts_.directory.ServiceName(service));
    for (const core::WorkClass work_class : core::kWorkClasses) {
      line.Add("floor_" + std::string(core::ToString(work_class)),
               policy.floors[core::Index(work_class)]);
    }
    parts_.log(line.Add("first_byte_timeout_ms",
                        core::ToMillis(policy.first_byte_timeout)));
    RunAdmission(service, admission::FloorsChanged{policy.floors}, now);
  }
  DispatchQueued(now);
}

void RequestPath::ReleaseShares(core::TimePoint now) {
  ShareOutput output;
  parts_.shares.Release(parts_.router.slots(), now, output);
  TakeShareOutput(std::move(output), now);
}

void RequestPath::TakeShareOutput(ShareOutput&& output, core::TimePoint now) {
  std::ranges::move(output.calls, std::back_inserter(commands_));
  std::ranges::for_each(output.lines, parts_.log);
  shares_released_ = shares_released_ || output.all_released;
  if (output.limits_changed) {
    TellSlots(now);
  }
}

void RequestPath::TellSlots(core::TimePoint now) {
  std::vector<std::size_t> slots(parts_.admission.size(), 0);
  const std::span<const routing::SlotEntry> entries =
      parts_.router.slots().entries();
  for (std::size_t i = 0; i < entries.size(); ++i) {
    int usable = entries[i].slots;
    std::ranges::for_each(
        entries[i].borrowed,
        [&usable](const routing::BorrowedSlots& b) { usable += b.slots; });
    slots[parts_.router.endpoints()[i].service.value()] +=
        static_cast<std::size_t>(std::max(usable, 0));
  }
  for (std::uint32_t i = 0; i < slots.size(); ++i) {
    RunAdmission(core::ServiceId(i), admission::SlotsChanged{.slots = slots[i]},
                 now);
  }
  DispatchQueued(now);
}

}  // namespace hickoryusher::entry
