#ifndef STORE_FAKE_FAKE_PLATFORM_H_
#define STORE_FAKE_FAKE_PLATFORM_H_

#include <algorithm>
#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

#include "core/overloaded.h"
#include "core/time.h"
#include "store/command.h"
#include "store/event.h"

namespace hickoryusher::store {

/// The platform in memory, with a clock that the test moves. Not safe for use
/// from several threads.
///
/// @code
/// FakePlatform platform;
/// platform.Send(now, store::ReadRow{.id = id, .key = "k"});
/// for (store::Event& event : platform.Advance(now)) { ... }
/// @endcode
class FakePlatform {
 public:
  /// Can be changed at any moment; applies to commands sent afterwards.
  struct Switches {
    bool outage = false;       ///< Every command is answered with Unavailable.
    core::Duration delay{};    ///< From Send to the answer.
    int lost_answers = 0;      ///< That many writes take effect unanswered.
    bool stale_reads = false;  ///< Reads show the table as at the switch.
    core::Duration vm_list_lag{};
    core::Duration timeout = std::chrono::seconds(2);
    std::uint32_t writes_per_second = 0;  ///< 0 for no limit.
    std::uint32_t reads_per_second = 0;
  };

  /// Number of commands of each kind that reached the platform.
  struct Counts {
    std::uint64_t writes = 0;
    std::uint64_t reads = 0;
  };

  const Switches& switches() const { return switches_; }
  const Counts& counts() const { return counts_; }

  void Switch(const Switches& switches) {
    if (switches.stale_reads && !switches_.stale_reads) {
      stale_ = table_;
    }
    switches_ = switches;
  }

  void Send(core::TimePoint now, Command command) {
    if (switches_.outage) {
      Schedule(now, Answer{Unavailable{IdOf(command)}});
      return;
    }
    const bool write = IsWrite(command);
    (write ? counts_.writes : counts_.reads) += 1;
    if (IsLimited(now, write)) {
      Schedule(now, Answer{Refused{.id = IdOf(command),
                                   .reason = RefusalReason::kRateLimit,
                                   .retry_after = std::chrono::seconds(1)}});
      return;
    }
    const bool late = switches_.delay > switches_.timeout;
    if (late) {
      Schedule(now + switches_.timeout, Answer{TimedOut{IdOf(command)}});
    }
    // The effect comes halfway, so that it can follow the timeout.
    Schedule(now + switches_.delay / 2,
             Effect{.command = std::move(command),
                    .answer_at = now + switches_.delay,
                    .timeout_at = now + switches_.timeout,
                    .answered = !late});
  }

  /// Moves the clock and @returns the events due by @p now, in time order.
  std::vector<Event> Advance(core::TimePoint now) {
    std::vector<Event> events;
    while (!due_.empty() && due_.begin()->first <= now) {
      auto node = due_.extract(due_.begin());
      std::visit(core::Overloaded{
                     [&](Answer& answer) {
                       events.push_back(std::move(answer.event));
                     },
                     [&](Effect& effect) {
                       Event event = Execute(node.key(), effect.command);
                       if (!effect.answered) {
                         return;
                       }
                       if (TakeLostAnswer(event)) {
                         Schedule(effect.timeout_at,
                                  Answer{TimedOut{IdOf(event)}});
                       } else {
                         Schedule(effect.answer_at, Answer{std::move(event)});
                       }
                     }},
                 node.mapped());
    }
    return events;
  }

  /// @returns when the next event or effect is due.
  std::optional<core::TimePoint> next_due() const {
    return due_.empty() ? std::nullopt : std::optional(due_.begin()->first);
  }

  /// Lists @p vm from @p now on, replacing its earlier entry.
  void SetVm(core::TimePoint now, const Vm& vm) {
    std::vector<Vm> vms = CurrentVms();
    std::erase_if(vms, [&](const Vm& v) { return v.name == vm.name; });
    vms.push_back(vm);
    vm_history_.emplace_back(now, std::move(vms));
  }

  void RemoveVm(core::TimePoint now, std::string_view name) {
    std::vector<Vm> vms = CurrentVms();
    std::erase_if(vms, [&](const Vm& v) { return v.name == name; });
    vm_history_.emplace_back(now, std::move(vms));
  }

  /// @returns the row as it is now, for checks.
  std::optional<Row> Find(std::string_view key) const {
    return FindIn(table_, key);
  }

 private:
  struct Table {
    std::map<std::string, Row, std::less<>> rows;
    RowVersion version = kAbsent;
  };
  struct Answer {
    Event event;
  };
  struct Effect {
    Command command;
    core::TimePoint answer_at;
    core::TimePoint timeout_at;
    bool answered = true;
  };
  struct Window {
    std::int64_t second = 0;
    std::uint32_t used = 0;
  };

  static std::optional<Row> FindIn(const Table& table, std::string_view key) {
    const auto found = table.rows.find(key);
    return found == table.rows.end() ? std::nullopt
                                     : std::optional(found->second);
  }

  void Schedule(core::TimePoint when, std::variant<Answer, Effect> item) {
    due_.emplace(when, std::move(item));
  }

  bool TakeLostAnswer(const Event& event) {
    const bool took_effect = std::holds_alternative<Committed>(event) ||
                             std::holds_alternative<ObjectStored>(event);
    if (!took_effect || switches_.lost_answers == 0) {
      return false;
    }
    --switches_.lost_answers;
    return true;
  }

  bool IsLimited(core::TimePoint now, bool write) {
    const std::uint32_t limit =
        write ? switches_.writes_per_second : switches_.reads_per_second;
    Window& window = write ? writes_ : reads_;
    const std::int64_t second = core::ToMillis(now.time_since_epoch()) / 1000;
    if (window.second != second) {
      window = {.second = second};
    }
    return limit > 0 && ++window.used > limit;
  }

  Event Execute(core::TimePoint now, const Command& command) {
    const Table& shown = switches_.stale_reads ? stale_ : table_;
    return std::visit(
        core::Overloaded{[&](const Transact& c) { return Commit(c); },
                         [&](const ReadRow& c) -> Event {
                           return RowRead{.id = c.id,
                                          .row = FindIn(shown, c.key),
                                          .as_of = shown.version};
                         },
                         [&](const ReadRange& c) { return Range(c, shown); },
                         [&](const PutObject& c) -> Event {
                           objects_[c.name] = c.content;
                           return ObjectStored{c.id};
                         },
                         [&](const GetObject& c) -> Event {
                           const auto found = objects_.find(c.name);
                           return found == objects_.end()
                                      ? ObjectRead{.id = c.id}
                                      : ObjectRead{.id = c.id,
                                                   .content = found->second};
                         },
                         [&](const ReadVmList& c) -> Event {
                           return ReadVms(c, now - switches_.vm_list_lag);
                         }},
        command);
  }

  Event Commit(const Transact& command) {
    Conflicted conflict{.id = command.id};
    for (const KeyVersion& condition : command.conditions) {
      const std::optional<Row> row = FindIn(table_, condition.key);
      const RowVersion present = row ? row->version : kAbsent;
      if (present != condition.version) {
        conflict.present.push_back({.key = condition.key, .version = present});
      }
    }
    if (!conflict.present.empty()) {
      return conflict;
    }
    ++table_.version;
    for (const Row& row : command.puts) {
      table_.rows[row.key] = {
          .key = row.key, .value = row.value, .version = table_.version};
    }
    for (const std::string& key : command.deletes) {
      table_.rows.erase(key);
    }
    return Committed{.id = command.id, .version = table_.version};
  }

  static Event Range(const ReadRange& command, const Table& table) {
    RangeRead result{.id = command.id, .as_of = table.version};
    auto next = command.after < command.prefix
                    ? table.rows.lower_bound(command.prefix)
                    : table.rows.upper_bound(command.after);
    for (; next != table.rows.end() && next->first.starts_with(command.prefix);
         ++next) {
      if (result.rows.size() == command.limit) {
        result.more = true;
        break;
      }
      result.rows.push_back(next->second);
    }
    return result;
  }

  std::vector<Vm> CurrentVms() const {
    return vm_history_.empty() ? std::vector<Vm>() : vm_history_.back().second;
  }

  VmListRead ReadVms(const ReadVmList& command, core::TimePoint when) const {
    const auto later = std::ranges::find_if(
        vm_history_, [when](const auto& entry) { return entry.first > when; });
    VmListRead read{
        .id = command.id,
        .revision = static_cast<std::uint64_t>(later - vm_history_.begin())};
    read.unchanged =
        read.revision > 0 && read.revision == command.known_revision;
    if (later != vm_history_.begin() && !read.unchanged) {
      read.vms = std::prev(later)->second;
    }
    return read;
  }

  Switches switches_;
  Counts counts_;
  Window writes_;
  Window reads_;
  Table table_;
  Table stale_;
  std::map<std::string, std::string, std::less<>> objects_;
  std::vector<std::pair<core::TimePoint, std::vector<Vm>>> vm_history_;
  std::multimap<core::TimePoint, std::variant<Answer, Effect>> due_;
};

}  // namespace hickoryusher::store

#endif  // STORE_FAKE_FAKE_PLATFORM_H_
