#include "settings_checkers.h"

#include <map>
#include <set>
#include <string>
#include <utility>

#include "core/overloaded.h"

namespace hickoryusher::matrix {

Check CheckSettings(std::span<const Entry> history) {
  Check check;
  std::map<std::string, std::uint64_t> written;
  std::set<std::string> refused;
  std::map<std::string, std::uint64_t> accepted;
  std::map<std::pair<std::size_t, std::uint64_t>, std::uint64_t> heads;
  const auto require = [&](bool holds, const std::string& text) {
    if (!holds) {
      check.violations.push_back(text);
    }
  };
  for (const Entry& entry : history) {
    std::visit(
        core::Overloaded{
            [&](const SettingWritten& w) {
              require(written.emplace(w.change, w.revision).second,
                      w.change + " was written twice");
            },
            [&](const SettingAccepted& a) { accepted[a.change] = a.revision; },
            [&](const SettingRefused& r) { refused.insert(r.change); },
            [&](const SettingsShown& s) {
              std::uint64_t& head = heads[{s.process, s.run}];
              require(s.head >= head, "a head moved back");
              head = s.head;
            },
            [&](const SettingsAtEnd& e) {
              check.looked = true;
              require(e.head == written.size(),
                      "a process does not show the last change");
            },
            [](const auto&) {}},
        entry.record);
  }
  for (const auto& [change, revision] : accepted) {
    const auto found = written.find(change);
    require(found != written.end() && found->second == revision,
            change + " was accepted and is not written");
  }
  for (const std::string& change : refused) {
    require(!written.contains(change), change + " was refused and is written");
  }
  return check;
}

}  // namespace hickoryusher::matrix
