#ifndef CTL_SRC_EVACUATIONS_P_H_
#define CTL_SRC_EVACUATIONS_P_H_

#include <chrono>
#include <cstdint>
#include <functional>
#include <map>
#include <optional>
#include <ostream>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

#include "ctl/log_reader.h"

namespace hickoryusher::ctl {

/// Sums up the evacuations of one failure domain.
class Evacuations {
 public:
  explicit Evacuations(std::string_view domain) : domain_(domain) {}

  /// @returns whether @p entry says something of a slice of @p domain that does
  /// not name the domain itself.
  static bool Concerns(const LogEntry& entry, std::string_view domain);

  /// Takes entries in order of time.
  /// @returns false if the entry is not one of an evacuation or a transfer.
  bool Take(const LogEntry& entry);

  /// @param begin of the story, to which the printed times relate.
  void Print(LogTime begin, std::ostream& out) const;

 private:
  /// A row of the operators, from its request to its removal. Processes log
  /// both when they read them, and the request again after a restart.
  struct Evacuation {
    std::uint64_t version = 0;  ///< The lowest that was logged.
    LogTime requested;
    std::optional<LogTime> ended;
    std::map<std::string, std::uint64_t, std::less<>> jobs;  ///< By target.
    const LogEntry* last_state = nullptr;
  };

  std::vector<Evacuation> Group() const;

  std::string domain_;
  std::vector<std::pair<std::uint64_t, LogTime>> requests_;
  std::vector<std::pair<std::uint64_t, LogTime>> ends_;
  std::vector<const LogEntry*> transfers_;  ///< Of evacuated jobs.
  std::vector<const LogEntry*> states_;
  /// Jobs that left for another reason, by reason and target.
  std::map<std::pair<std::string, std::string>, std::uint64_t> other_jobs_;
};

/// @returns the number of @p key, 0 if it is absent or no number.
std::int64_t NumberOf(const LogEntry& entry, std::string_view key);

/// @returns @p duration as text, with three decimals.
std::string Seconds(std::chrono::milliseconds duration);

}  // namespace hickoryusher::ctl

#endif  // CTL_SRC_EVACUATIONS_P_H_
