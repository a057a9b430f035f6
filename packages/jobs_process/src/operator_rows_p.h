#ifndef JOBS_PROCESS_SRC_OPERATOR_ROWS_P_H_
#define JOBS_PROCESS_SRC_OPERATOR_ROWS_P_H_

#include <functional>
#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "core/log_line.h"
#include "core/time.h"
#include "jobs/operator_state.h"
#include "jobs/rows.h"
#include "jobs/table_follower.h"

namespace hickoryusher::jobs_process {

/// Reads what operators request from the rows of their table: the
/// configuration and the evacuated failure domains.
class OperatorRows {
 public:
  struct Options {
    std::string config_key;
    std::string evacuation_prefix;  ///< Followed by a failure domain.
    std::vector<std::string> failure_domains;  ///< Those of the deployment.
    std::function<std::optional<jobs::QueueConfig>(std::string_view)>
        read_config;
    std::function<void(const core::LogLine&)> log;
  };

  explicit OperatorRows(Options options) : options_(std::move(options)) {}

  /// Applies rows or changes.
  /// @returns whether state() has changed.
  bool Update(const jobs::TableUpdate& update);

  /// The configuration is the newest readable one; it outlives its row.
  const jobs::OperatorState& state() const { return state_; }

 private:
  bool ApplySnapshot(const jobs::TableSnapshot& snapshot);
  bool ApplyRow(const jobs::Row& row);
  bool ApplyConfig(const jobs::Row& row);
  bool ApplyEvacuation(const jobs::Row& row, std::string_view domain);
  void EndEvacuation(std::string_view domain, jobs::RowVersion version);

  /// @returns the failure domain that a row evacuates; nullopt for other rows.
  std::optional<std::string_view> DomainOf(const jobs::Row& row) const;

  Options options_;
  jobs::OperatorState state_;
  /// Versions of the rows of state_.evacuated.
  std::map<std::string, jobs::RowVersion, std::less<>> versions_;
};

/// Hands the latest state to another thread, and tries again while that thread
/// has no room for it.
class StatePublisher {
 public:
  /// @param publish returns whether the state was taken.
  explicit StatePublisher(
      std::function<bool(const jobs::OperatorState&)> publish)
      : publish_(std::move(publish)) {}

  /// Replaces a state that has not been taken yet.
  void Offer(jobs::OperatorState state) { pending_ = std::move(state); }

  /// Publishes the pending state if an attempt is due.
  void Run(core::TimePoint now);

  /// @returns when to call Run; max() if nothing is pending.
  core::TimePoint next_timer() const;

 private:
  std::function<bool(const jobs::OperatorState&)> publish_;
  std::optional<jobs::OperatorState> pending_;
  core::TimePoint not_before_;
};

}  // namespace hickoryusher::jobs_process

#endif  // JOBS_PROCESS_SRC_OPERATOR_ROWS_P_H_
