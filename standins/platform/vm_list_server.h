#ifndef STANDINS_PLATFORM_VM_LIST_SERVER_H_
#define STANDINS_PLATFORM_VM_LIST_SERVER_H_

#include <chrono>
#include <cstdint>
#include <map>
#include <mutex>
#include <set>
#include <string>
#include <utility>
#include <vector>

#include "platform/fault_server.h"

namespace hickoryusher::standins {

/// Stand-in for the platform's VM list.
///
/// GET /v1/vms: `{"revision","vms":[{"name","address","failure_domain",
/// "state"}]}` with state `live` or `leaving`, as it was `lag_ms` ago. The
/// revision grows with each change.
/// GET /v1/vms/since/<revision>: the same, without `vms` if the revision is the
/// reader's.
/// POST /v1/vms with one such entry adds or changes it; state `gone` removes
/// it. A name stands for one life of a VM: adding it again gets 409.
class VmListServer {
 public:
  explicit VmListServer(std::uint16_t port = 0);

  FaultServer& server() { return server_; }

 private:
  struct Vm {
    std::string address;
    std::string failure_domain;
    std::string state;
  };
  using List = std::map<std::string, Vm>;

  Reply Handle(const Request& request);
  Reply Change(const Request& request);
  Reply Show(std::chrono::steady_clock::time_point as_of,
             std::uint64_t known) const;

  std::mutex mutex_;
  std::set<std::string> gone_;
  std::vector<std::pair<std::chrono::steady_clock::time_point, List>> history_;
  FaultServer server_;  ///< Last, so that no request outlives the list.
};

}  // namespace hickoryusher::standins

#endif  // STANDINS_PLATFORM_VM_LIST_SERVER_H_
