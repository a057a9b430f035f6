#ifndef CORE_NAME_TABLE_H_
#define CORE_NAME_TABLE_H_

#include <cstdint>
#include <map>
#include <string>
#include <string_view>
#include <vector>

#include "core/handle.h"

namespace hickoryusher::core {

/// Maps names to dense handles and back.
template <typename HandleType>
class NameTable {
 public:
  /// @returns the handle of @p name, adding it if it is new.
  HandleType Intern(std::string_view name) {
    if (const HandleType found = Find(name); found.valid()) {
      return found;
    }
    const HandleType handle(
        static_cast<decltype(HandleType().value())>(names_.size()));
    names_.emplace_back(name);
    handles_.emplace(name, handle);
    return handle;
  }

  /// @returns the handle of @p name, or an invalid handle.
  HandleType Find(std::string_view name) const {
    const auto found = handles_.find(name);
    return found == handles_.end() ? HandleType() : found->second;
  }

  /// @returns the name behind @p handle, or `?` for an unknown handle.
  std::string_view Name(HandleType handle) const {
    return handle.value() < names_.size()
               ? std::string_view(names_[handle.value()])
               : std::string_view("?");
  }

  std::size_t size() const { return names_.size(); }

 private:
  std::vector<std::string> names_;
  std::map<std::string, HandleType, std::less<>> handles_;
};

}  // namespace hickoryusher::core

#endif  // CORE_NAME_TABLE_H_
