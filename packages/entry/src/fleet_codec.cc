#include "fleet_codec_p.h"

#include <json/value.h>

#include <algorithm>
#include <array>
#include <utility>

#include "core/overloaded.h"
#include "job_codec_p.h"
#include "key_codec_p.h"

namespace hickoryusher::entry {
namespace {

using placement::Phase;
using placement::TaskRow;

constexpr std::size_t kNumberDigits = 20;

constexpr std::array<std::pair<std::string_view, TaskRow::State>, 4> kStates = {
    {{"claimed", TaskRow::State::kClaimed},
     {"done", TaskRow::State::kDone},
     {"failed", TaskRow::State::kFailed},
     {"cancelled", TaskRow::State::kCancelled}}};

constexpr std::array<std::pair<std::string_view, Phase>, 5> kPhases = {
    {{"running", Phase::kRunning},
     {"done", Phase::kDone},
     {"failed", Phase::kFailed},
     {"stopped", Phase::kStopped},
     {"checkpointed", Phase::kCheckpointed}}};

template <typename Table>
auto FindName(const Table& table, std::string_view name) {
  using Value = decltype(table[0].second);
  const auto found =
      std::ranges::find(table, name, [](const auto& e) { return e.first; });
  return found == table.end() ? std::optional<Value>()
                              : std::optional<Value>(found->second);
}

std::string Padded(std::uint64_t number) {
  const std::string digits = std::to_string(number);
  return std::string(kNumberDigits - digits.size(), '0') + digits;
}

std::string InSlice(std::string_view table,
                    std::string_view domain,
                    core::SliceId slice) {
  return std::string(table) + "/" + std::string(domain) + "/" +
         std::to_string(slice.value());
}

/// Runs @p decode on the object in @p text; a value of the wrong type gives
/// nothing.
template <typename Decode>
auto Decoded(std::string_view text, Decode decode)
    -> decltype(decode(Json::Value())) {
  const Json::Value value = ParseJson(text);
  if (!value.isObject()) {
    return std::nullopt;
  }
  try {
    return decode(value);
  } catch (const Json::Exception&) {
    return std::nullopt;
  }
}

void AddSize(Json::Value& value, const core::Resources& size) {
  value["cpu_millis"] = Json::Int64(size.cpu_millis);
  value["memory_bytes"] = Json::Int64(size.memory_bytes);
  value["accelerators"] = size.accelerators;
}

Json::Value AddressOf(std::string_view type,
                      const placement::TaskAddress& address) {
  Json::Value value;
  value["type"] = std::string(type);
  value["task"] = Json::UInt64(address.task.value());
  value["attempt"] = address.attempt;
  return value;
}

Json::Value Encode(const StartOrder& order) {
  const placement::StartTask& start = order.start;
  Json::Value value =
      AddressOf("start", {start.worker, start.task, start.attempt});
  value["checkpoint_attempt"] = start.checkpoint_attempt;
  AddSize(value, start.size);
  if (order.run_ms) {
    value["run_ms"] = Json::Int64(*order.run_ms);
  }
  return value;
}

Json::Value Encode(const placement::ThrottleWorker& throttle) {
  Json::Value value;
  value["type"] = "throttle";
  value["level"] = throttle.level;
  return value;
}

}  // namespace

std::string SlicePrefix(std::string_view domain) {
  return "slice/" + std::string(domain) + "/";
}

std::string SliceKey(std::string_view domain, core::SliceId slice) {
  return InSlice("slice", domain, slice);
}

std::string EpochKey(std::string_view domain, core::SliceId slice) {
  return InSlice("slice_epoch", domain, slice);
}

std::string JobKey(std::string_view domain, std::string_view id) {
  return "job/" + std::string(domain) + "/" + std::string(id);
}

std::string OpenPrefix(std::string_view domain, core::SliceId slice) {
  return InSlice("job_open", domain, slice) + "/";
}

std::string OpenKey(std::string_view domain,
                    core::SliceId slice,
                    std::string_view id) {
  return OpenPrefix(domain, slice) + std::string(id);
}

std::string TaskPrefix(std::string_view domain, core::SliceId slice) {
  return InSlice("task", domain, slice) + "/";
}

std::string JobTaskPrefix(std::string_view domain,
                          core::SliceId slice,
                          std::uint64_t number) {
  return TaskPrefix(domain, slice) + Padded(number) + "/";
}

std::string TaskKey(std::string_view domain,
                    core::SliceId slice,
                    core::TaskId task) {
  return JobTaskPrefix(domain, slice, JobNumberOf(task)) +
         std::to_string(task.value() % kMaxTasks);
}

std::string EncodeSliceRow(const lease::SliceRow& row,
                           const Directory& directory) {
  Json::Value value;
  value["owner"] =
      row.owner.valid()
          ? Json::Value(std::string(directory.EntryName(row.owner)))
          : Json::Value();
  value["incarnation"] = Json::UInt64(row.incarnation.value());
  value["epoch"] = Json::UInt64(row.epoch.value());
  value["exclusive"] = row.exclusive;
  return WriteJson(value);
}

std::optional<lease::SliceRow> DecodeSliceRow(std::string_view text,
                                              const Directory& directory) {
  return Decoded(
      text, [&](const Json::Value& value) -> std::optional<lease::SliceRow> {
        lease::SliceRow row;
        if (value["owner"].isString()) {
          // An entry that the settings do not list is still an owner: an
          // invalid handle would make the slice free.
          const core::EntryId owner =
              directory.FindEntry(value["owner"].asString());
          row.owner = owner.valid() ? owner
                                    : core::EntryId(static_cast<std::uint32_t>(
                                          directory.entry_count()));
        }
        row.incarnation = core::Incarnation(value["incarnation"].asUInt64());
        row.epoch = core::Epoch(value["epoch"].asUInt64());
        row.exclusive = value["exclusive"].asBool();
        return row;
      });
}

std::string EncodeEpoch(core::Epoch epoch) {
  Json::Value value;
  value["epoch"] = Json::UInt64(epoch.value());
  return WriteJson(value);
}

core::Epoch DecodeEpoch(std::string_view text) {
  return Decoded(text,
                 [](const Json::Value& value) {
                   return std::optional(core::Epoch(value["epoch"].asUInt64()));
                 })
      .value_or(core::Epoch());
}

std::string EncodeTaskRow(const TaskRow& row, const Fleet& fleet) {
  Json::Value value;
  value["task"] = Json::UInt64(row.task.value());
  value["attempt"] = row.attempt;
  const auto state = std::ranges::find(kStates, row.state,
                                       [](const auto& e) { return e.second; });
  value["state"] = std::string(state->first);
  if (row.worker.valid()) {
    value["worker"] = std::string(fleet.Name(row.worker));
  }
  value["checkpoint_attempt"] = row.checkpoint_attempt;
  value["epoch"] = Json::UInt64(row.epoch.value());
  value["claim"] = Json::UInt64(row.claim);
  value["version"] = Json::UInt64(row.version);
  return WriteJson(value);
}

std::optional<TaskRow> DecodeTaskRow(std::string_view text, Fleet& fleet) {
  return Decoded(text, [&](const Json::Value& value) -> std::optional<TaskRow> {
    const auto state = FindName(kStates, value["state"].asString());
    if (!state) {
      return std::nullopt;
    }
    TaskRow row{.task = core::TaskId(value["task"].asUInt64()),
                .attempt = value["attempt"].asUInt(),
                .state = *state,
                .checkpoint_attempt = value["checkpoint_attempt"].asUInt(),
                .epoch = core::Epoch(value["epoch"].asUInt64()),
                .claim = value["claim"].asUInt64(),
                .version = value["version"].asUInt64()};
    if (value.isMember("worker")) {
      row.worker = fleet.Intern(value["worker"].asString());
    }
    return row;
  });
}

std::string EncodeExchange(const lease::Heartbeat& heartbeat,
                           std::span<const WorkerOrder> orders) {
  Json::Value value;
  value["epoch"] = Json::UInt64(heartbeat.epoch.value());
  if (heartbeat.echo) {
    value["echo_ns"] = Json::Int64(heartbeat.echo->time_since_epoch().count());
  }
  Json::Value& commands = value["commands"] = Json::Value(Json::arrayValue);
  for (const WorkerOrder& order : orders) {
    commands.append(std::visit(
        core::Overloaded{
            [](const placement::StopTask& o) { return AddressOf("stop", o); },
            [](const placement::CheckpointTask& o) {
              return AddressOf("checkpoint", o);
            },
            [](const placement::AckEnded& o) { return AddressOf("ack", o); },
            [](const auto& o) { return Encode(o); }},
        order));
  }
  return WriteJson(value);
}

std::optional<ExchangeReply> DecodeExchange(std::string_view text) {
  return Decoded(
      text, [](const Json::Value& value) -> std::optional<ExchangeReply> {
        ExchangeReply reply{.accepted = value["accepted"].asBool(),
                            .epoch = core::Epoch(value["epoch"].asUInt64()),
                            .worker_time = core::TimePoint(
                                core::Duration(value["time_ns"].asInt64())),
                            .run = value["run"].asUInt64()};
        for (const Json::Value& task : value["tasks"]) {
          const auto phase = FindName(kPhases, task["phase"].asString());
          if (!phase) {
            return std::nullopt;
          }
          reply.attempts.push_back(
              {.task = core::TaskId(task["task"].asUInt64()),
               .attempt = task["attempt"].asUInt(),
               .phase = *phase,
               .peak_use = {.cpu_millis = task["cpu_millis"].asInt64(),
                            .memory_bytes = task["memory_bytes"].asInt64(),
                            .accelerators = task["accelerators"].asInt()},
               .slowdown = task["slowdown"].asDouble()});
        }
        return reply;
      });
}

}  // namespace hickoryusher::entry
