#include "jobs/slice_load.h"

#include <algorithm>
#include <sstream>

namespace hickoryusher::jobs {
namespace {

// A load may be 2 s old when it is read. The remainder allows for clock
// differences between processes.
constexpr std::int64_t kOldestLoadMs = 4000;

// Words that start with a mark describe services, not queues: what is meant,
// the service and, for labels, the label. Earlier versions take them for
// queues, of which they show nothing.
constexpr char kServiceMark = '!';
constexpr char kSeparator = ':';
constexpr std::string_view kCpu = "cpu";
constexpr std::string_view kMegabytes = "mb";
constexpr std::string_view kAccelerators = "acc";
constexpr std::string_view kLabel = "label";

// In place of a service and what it has. Earlier versions take it for a service
// without workers.
constexpr std::string_view kJobRoom = "room_kb:!jobs";

constexpr std::int64_t kBytesPerKilobyte = 1024;
constexpr std::int64_t kBytesPerMegabyte = 1024 * kBytesPerKilobyte;

bool IsWord(std::string_view text) {
  return !text.empty() &&
         std::ranges::all_of(text, [](char c) { return c > ' ' && c < 0x7f; });
}

void AppendService(std::string& text,
                   std::string_view service,
                   const ServiceRoom& room) {
  const auto append = [&](std::string_view what, std::string_view label,
                          std::int64_t number) {
    text += kServiceMark;
    text.append(what) += kSeparator;
    text.append(service);
    if (!label.empty()) {
      (text += kSeparator).append(label);
    }
    text += ' ' + std::to_string(number) + '\n';
  };
  append(kCpu, {}, room.largest.cpu_millis);
  append(kMegabytes, {}, room.largest.memory_bytes / kBytesPerMegabyte);
  append(kAccelerators, {}, room.largest.accelerators);
  for (const std::string& label : room.labels) {
    if (IsWord(label)) {
      append(kLabel, label, 1);
    }
  }
}

/// @param word of the form that AppendService writes, without the mark.
/// @returns false if it has another form.
bool ReadService(SliceLoad& load, std::string_view word, std::uint32_t number) {
  const std::size_t first = word.find(kSeparator);
  if (first == std::string_view::npos) {
    return false;
  }
  const std::string_view what = word.substr(0, first);
  word.remove_prefix(first + 1);
  const std::size_t second = std::min(word.find(kSeparator), word.size());
  ServiceRoom& room = load.services[std::string(word.substr(0, second))];
  if (what == kCpu) {
    room.largest.cpu_millis = number;
  } else if (what == kMegabytes) {
    room.largest.memory_bytes = number * kBytesPerMegabyte;
  } else if (what == kAccelerators) {
    room.largest.accelerators = static_cast<std::int32_t>(number);
  } else if (what == kLabel && second < word.size()) {
    room.labels.emplace(word.substr(second + 1));
  }
  return true;
}

}  // namespace

bool IsRecent(const SliceLoad& load, std::int64_t unix_ms) {
  return unix_ms <= load.unix_ms + kOldestLoadMs;
}

std::string EncodeSliceLoad(const SliceLoad& load) {
  std::string text = std::to_string(load.unix_ms) + ' ' +
                     std::to_string(load.demand_millis) + ' ' +
                     std::to_string(load.reserved_millis) + ' ' +
                     std::to_string(load.long_running_millis) + ' ' +
                     std::to_string(load.capacity_millis) + ' ' +
                     std::to_string(load.incoming) + ' ' +
                     std::to_string(load.long_running_room_millis.size());
  for (const std::int64_t free : load.long_running_room_millis) {
    text += ' ' + std::to_string(free);
  }
  text += '\n';
  for (const auto& [queue, count] : load.pending) {
    text += queue + ' ' + std::to_string(count) + '\n';
  }
  for (const auto& [service, room] : load.services) {
    if (IsWord(service) && service.find(kSeparator) == service.npos) {
      AppendService(text, service, room);
    }
  }
  if (load.job_room_bytes) {
    text += kServiceMark;
    text.append(kJobRoom) +=
        ' ' + std::to_string(*load.job_room_bytes / kBytesPerKilobyte) + '\n';
  }
  return text;
}

std::optional<SliceLoad> DecodeSliceLoad(std::string_view text) {
  SliceLoad load;
  std::istringstream in{std::string(text)};
  std::uint32_t count = 0;
  if (!(in >> load.unix_ms >> load.demand_millis >> load.reserved_millis >>
        load.long_running_millis >> load.capacity_millis >> load.incoming >>
        count) ||
      count > kPublishedWorkers) {
    return std::nullopt;
  }
  load.long_running_room_millis.resize(count);
  for (std::int64_t& free : load.long_running_room_millis) {
    if (!(in >> free)) {
      return std::nullopt;
    }
  }
  std::string queue;
  while (in >> queue) {
    if (!(in >> count)) {
      return std::nullopt;
    }
    if (queue.front() != kServiceMark) {
      load.pending[queue] = count;
    } else if (std::string_view(queue).substr(1) == kJobRoom) {
      load.job_room_bytes = count * kBytesPerKilobyte;
    } else if (!ReadService(load, std::string_view(queue).substr(1), count)) {
      return std::nullopt;
    }
  }
  return load;
}

}  // namespace hickoryusher::jobs
