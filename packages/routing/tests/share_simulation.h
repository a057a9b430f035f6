#ifndef ROUTING_TESTS_SHARE_SIMULATION_H_
#define ROUTING_TESTS_SHARE_SIMULATION_H_

#include <cstdint>
#include <deque>
#include <memory>
#include <optional>
#include <string>
#include <vector>

#include "core/random.h"
#include "routing/share_ledger.h"

namespace hickoryusher::routing {

/// Fault that is put into the simulation to show that the checker can fail.
enum class Defect {
  kNone,
  kSuccessionOnTimeout,  ///< Silence counts as proof of death.
  kNoInFlightWait,       ///< Requests of a dead process are not waited for.
  kLoanWithoutMargin,    ///< Clocks count as exact.
  kReplacementAtOnce,    ///< A replacement does not wait for its predecessor.
  kStaleVmList,          ///< Old reads of the VM list count as new.
  kReusedIncarnation,    ///< A replacement has the number of its predecessor.
  kReusedVm,  ///< A VM that left the list comes back under its old identity.
};

/// What happened in a run, to show that it exercised the rules.
struct SimulationCounts {
  int requests = 0;
  int borrowed_requests = 0;
  int shares_taken = 0;
  int kills = 0;
  int releases = 0;
};

/// Several ledgers in one process: two domains of three seats and two endpoints
/// each, a clock of its own rate per process, a network that loses, delays,
/// doubles and reorders, and a VM list that lags. All time is simulated.
class ShareSimulation {
 public:
  ShareSimulation(std::uint64_t seed, Defect defect);

  /// Runs under load and faults.
  void Run(core::Duration duration);
  /// Ends the faults and runs on, so that every share finds its owner.
  void Settle(core::Duration duration);

  /// @returns the first time a limit was exceeded, or nothing.
  const std::optional<std::string>& violation() const { return violation_; }
  const SimulationCounts& counts() const { return counts_; }
  /// @returns slots that processes may use at an endpoint, without loans.
  int GrantedSlots(std::uint32_t endpoint) const;

 private:
  enum class Life { kRunning, kFrozen, kDead };

  struct Request {
    Slot slot;
    core::TimePoint deadline;  ///< On the process's clock.
  };
  struct Process {
    PeerIdentity identity;
    double rate = 1;
    core::Duration offset{};
    Life life = Life::kRunning;
    core::Duration resume_at{};
    bool releasing = false;
    bool vm_lost = false;
    std::unique_ptr<SlotTable> slots;
    std::optional<ShareLedger> ledger;
    std::vector<Request> requests;
    std::vector<ShareEnvelope> inbox;
    std::vector<core::Duration> last_heard;  ///< By seat.
    std::uint64_t list_reads = 0;
    bool busy = true;
  };
  struct InTransit {
    core::Duration arrival;
    ShareEnvelope envelope;
  };
  struct ListVersion {
    core::Duration since;
    std::vector<core::VmId> vms;
  };
  /// A request or connection at an endpoint, as the endpoint sees it.
  struct Occupied {
    core::Duration end;
    const Process* owner;
    Slot slot;
  };
  struct Endpoint {
    std::vector<Occupied> requests;
    std::vector<Occupied> closing;  ///< Connections of dead processes.
  };

  core::TimePoint Local(const Process& process) const;
  core::Duration True(const Process& process, core::TimePoint local) const;
  Process& Start(SeatAddress address,
                 std::uint64_t incarnation,
                 core::VmId vm,
                 bool first);
  void Tick();
  void Deliver();
  void RunProcess(Process& process);
  void Handle(Process& process, const ShareEvent& event);
  void Transmit(const ShareEnvelope& envelope);
  void ReadVmList(Process& process);
  void Load(Process& process);
  void SendRequest(Process& process, core::EndpointId id);
  void Finish(Process& process, bool all);
  void CountConnections();
  void InjectFaults();
  void Kill(Process& process);
  void Replace(Process& process);
  void PublishVmList();
  bool Chance(double probability);
  core::Duration Between(core::Duration low, core::Duration high);

  core::Random random_;
  Defect defect_;
  ShareSettings settings_;
  core::Duration now_{};
  bool faults_ = true;
  std::vector<EndpointSpec> specs_;
  std::vector<Endpoint> endpoints_;
  std::deque<Process> processes_;  ///< All that ever ran.
  std::vector<Process*> seats_;    ///< The current process of each seat.
  std::vector<core::Duration> replace_at_;
  std::vector<InTransit> network_;
  std::vector<ListVersion> vm_list_;
  std::uint32_t next_vm_ = 0;
  core::Duration cut_until_{};
  std::uint32_t cut_seat_ = 0;  ///< Index of the seat that is cut off.
  bool cut_domains_ = false;
  bool cut_one_way_ = false;
  std::optional<std::string> violation_;
  SimulationCounts counts_;
};

}  // namespace hickoryusher::routing

#endif  // ROUTING_TESTS_SHARE_SIMULATION_H_
