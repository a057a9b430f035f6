#include "jobs/open_writes.h"

namespace hickoryusher::jobs {
namespace {

// Callers ask again within seconds, in which far fewer writes stay without an
// answer.
constexpr std::size_t kMaxWrites = 20'000;

/// @returns nullptr if the command writes nothing.
const std::string* KeyOf(const StoreCommand& command) {
  const auto* commit = std::get_if<CommitRows>(&command);
  return commit == nullptr ? nullptr : &commit->puts.back().key.key;
}

}  // namespace

void OpenWrites::Add(const StoreCommand& command) {
  if (const std::string* key = KeyOf(command)) {
    ++counts_[*key];
    if (counts_.size() > kMaxWrites) {
      counts_.erase(counts_.begin());
    }
  }
}

void OpenWrites::Drop(const StoreCommand& command) {
  const std::string* key = KeyOf(command);
  const auto found = key == nullptr ? counts_.end() : counts_.find(*key);
  if (found != counts_.end() && --found->second == 0) {
    counts_.erase(found);
  }
}

void OpenWrites::Close(const StoreCommand& command) {
  if (const std::string* key = KeyOf(command)) {
    counts_.erase(*key);
  }
}

bool OpenWrites::Contains(const StoreCommand& command) const {
  const std::string* key = KeyOf(command);
  return key != nullptr && Contains(*key);
}

}  // namespace hickoryusher::jobs
