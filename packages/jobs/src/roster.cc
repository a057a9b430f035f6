#include "jobs/roster.h"

#include <charconv>
#include <sstream>

namespace hickoryusher::jobs {
namespace {

// Stands between an address and the time at which the last lease is over.
constexpr char kOverMark = '@';

}  // namespace

std::string EncodeRoster(std::span<const RosterEntry> entries) {
  std::string text;
  for (const RosterEntry& entry : entries) {
    text += entry.id + ' ' + entry.address;
    if (entry.over_ms != 0) {
      text += kOverMark + std::to_string(entry.over_ms);
    }
    text += '\n';
  }
  return text;
}

std::vector<RosterEntry> DecodeRoster(std::string_view text) {
  std::vector<RosterEntry> entries;
  std::istringstream in{std::string(text)};
  RosterEntry entry;
  while (in >> entry.id >> entry.address) {
    entry.over_ms = 0;
    const std::size_t mark = entry.address.find(kOverMark);
    if (mark != std::string::npos) {
      // An unreadable time leaves 0, which promises nothing.
      std::from_chars(entry.address.data() + mark + 1,
                      entry.address.data() + entry.address.size(),
                      entry.over_ms);
      entry.address.resize(mark);
    }
    entries.push_back(entry);
  }
  return entries;
}

}  // namespace hickoryusher::jobs
