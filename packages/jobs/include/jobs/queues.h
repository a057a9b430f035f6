#ifndef JOBS_QUEUES_H_
#define JOBS_QUEUES_H_

#include <cstdint>
#include <memory>
#include <optional>
#include <span>
#include <string>
#include <string_view>
#include <vector>

#include "core/time.h"

namespace hickoryusher::jobs {

/// A queue of jobs, as configured by the operators.
struct Queue {
  std::string name;
  std::string host;
  std::string path_prefix;
  std::string service;
  std::uint32_t priority = 0;  ///< 0 is the highest.
  std::uint32_t max_attempts = 1;
  /// A job's objective is the declared run time of its longest chain of steps,
  /// multiplied by `stretch`, plus `objective_extra`.
  double stretch = 1;
  core::Duration objective_extra{};
};

/// One version of the operators' configuration. Immutable.
class QueueConfig {
 public:
  QueueConfig(std::uint64_t version, std::vector<Queue> queues);

  std::uint64_t version() const { return version_; }

  /// @returns the queue of @p host with the longest prefix that @p path starts
  /// with, or nullptr.
  const Queue* Match(std::string_view host, std::string_view path) const;

  /// @returns the queue, or nullptr.
  const Queue* FindQueue(std::string_view name) const;

  std::span<const Queue> queues() const { return queues_; }

 private:
  std::uint64_t version_;
  std::vector<Queue> queues_;
};

using QueueConfigPtr = std::shared_ptr<const QueueConfig>;

}  // namespace hickoryusher::jobs

#endif  // JOBS_QUEUES_H_
