#ifndef ENTRY_SRC_VM_LIVES_P_H_
#define ENTRY_SRC_VM_LIVES_P_H_

#include <algorithm>
#include <map>
#include <span>
#include <string>
#include <string_view>
#include <vector>

#include "core/ids.h"

namespace hickoryusher::entry {

/// Gives each life of a VM its own handle: a name that left the VM list and
/// came back is another VM.
class VmLives {
 public:
  /// @returns the handle of the present life of the VM called @p name.
  core::VmId Intern(std::string_view name) {
    const auto found = lives_.find(name);
    if (found != lives_.end()) {
      return found->second.id;
    }
    const core::VmId id = Add(name);
    lives_.emplace(name, Life{.id = id});
    return id;
  }

  std::string_view Name(core::VmId id) const {
    return id.value() < names_.size() ? std::string_view(names_[id.value()])
                                      : std::string_view("?");
  }

  /// Takes one read of the VM list.
  /// @returns the handles of the VMs in it.
  std::vector<core::VmId> TakeList(std::span<const std::string_view> names) {
    std::vector<core::VmId> ids;
    for (const std::string_view name : names) {
      Intern(name);
      Life& life = lives_.find(name)->second;
      if (life.gone) {
        life = {.id = Add(name)};
      }
      life.listed = true;
      ids.push_back(life.id);
    }
    for (auto& [name, life] : lives_) {
      life.gone =
          life.gone || (life.listed && !std::ranges::count(ids, life.id));
    }
    return ids;
  }

 private:
  struct Life {
    core::VmId id;
    bool listed = false;  ///< Seen in the VM list.
    bool gone = false;    ///< Missing from a read after it was seen.
  };

  core::VmId Add(std::string_view name) {
    names_.emplace_back(name);
    return core::VmId(static_cast<std::uint32_t>(names_.size() - 1));
  }

  std::map<std::string, Life, std::less<>> lives_;
  std::vector<std::string> names_;
};

}  // namespace hickoryusher::entry

#endif  // ENTRY_SRC_VM_LIVES_P_H_
