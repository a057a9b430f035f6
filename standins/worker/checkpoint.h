#ifndef STANDINS_WORKER_CHECKPOINT_H_
#define STANDINS_WORKER_CHECKPOINT_H_

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

#include "lease/worker_guard.h"

namespace hickoryusher::standins {

std::string CheckpointName(lease::TaskAttempt attempt);

/// @returns a line with length and SHA-256 of the content, then the content.
std::string EncodeCheckpoint(std::int64_t done_ms);

/// @returns the work done, or nothing if the checkpoint is cut or damaged.
std::optional<std::int64_t> DecodeCheckpoint(std::string_view text);

}  // namespace hickoryusher::standins

#endif  // STANDINS_WORKER_CHECKPOINT_H_
