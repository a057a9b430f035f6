#ifndef ENTRY_SRC_FLEET_CODEC_P_H_
#define ENTRY_SRC_FLEET_CODEC_P_H_

#include <cstdint>
#include <optional>
#include <span>
#include <string>
#include <string_view>
#include <variant>

#include "directory_p.h"
#include "fleet_p.h"
#include "lease/slice_owner.h"
#include "lease/worker_leases.h"
#include "placement/scheduler.h"

namespace hickoryusher::entry {

/// Row keys. Numbers are padded so that the order of keys is that of numbers.
std::string SlicePrefix(std::string_view domain);
std::string SliceKey(std::string_view domain, core::SliceId slice);
/// Rewritten only when a slice changes hands: the condition of every write of
/// an owner. The slice row itself changes with each renewal.
std::string EpochKey(std::string_view domain, core::SliceId slice);
std::string JobKey(std::string_view domain, std::string_view id);
/// Rows of the jobs that are not closed yet.
std::string OpenPrefix(std::string_view domain, core::SliceId slice);
std::string OpenKey(std::string_view domain,
                    core::SliceId slice,
                    std::string_view id);
std::string TaskPrefix(std::string_view domain, core::SliceId slice);
std::string JobTaskPrefix(std::string_view domain,
                          core::SliceId slice,
                          std::uint64_t number);
std::string TaskKey(std::string_view domain,
                    core::SliceId slice,
                    core::TaskId task);

std::string EncodeSliceRow(const lease::SliceRow& row,
                           const Directory& directory);
std::optional<lease::SliceRow> DecodeSliceRow(std::string_view text,
                                              const Directory& directory);

std::string EncodeEpoch(core::Epoch epoch);
core::Epoch DecodeEpoch(std::string_view text);

/// The row's own count of versions is part of the value, because the table
/// numbers versions by transaction.
std::string EncodeTaskRow(const placement::TaskRow& row, const Fleet& fleet);
std::optional<placement::TaskRow> DecodeTaskRow(std::string_view text,
                                                Fleet& fleet);

/// StartTask with what the worker has to know of the job.
struct StartOrder {
  placement::StartTask start;
  std::optional<std::int64_t> run_ms;  ///< Nothing for a watcher.
};
using WorkerOrder = std::variant<StartOrder,
                                 placement::StopTask,
                                 placement::CheckpointTask,
                                 placement::ThrottleWorker,
                                 placement::AckEnded>;

std::string EncodeExchange(const lease::Heartbeat& heartbeat,
                           std::span<const WorkerOrder> orders);

struct ExchangeReply {
  bool accepted = false;
  core::Epoch epoch;
  core::TimePoint worker_time;
  std::uint64_t run = 0;  ///< Tells one process of the worker from the next.
  std::vector<placement::AttemptReport> attempts;
};
std::optional<ExchangeReply> DecodeExchange(std::string_view text);

}  // namespace hickoryusher::entry

#endif  // ENTRY_SRC_FLEET_CODEC_P_H_
