#include <algorithm>
#include <limits>
#include <utility>

#include "fleet_codec_p.h"
#include "fleet_store_p.h"

namespace hickoryusher::entry {
namespace {

// No row has this version, so that a condition with it never holds.
constexpr store::RowVersion kNeverVersion =
    std::numeric_limits<std::int64_t>::max();

}  // namespace

template <typename Command>
void FleetStore::Issue(Command command, Pending pending) {
  command.id = store::CommandId(++next_id_);
  pending_.emplace(command.id, std::move(pending));
  commands_.emplace_back(std::move(command));
}

void FleetStore::IssueRange(std::string prefix,
                            std::string after,
                            Pending pending) {
  Issue(
      store::ReadRange{.prefix = std::move(prefix), .after = std::move(after)},
      std::move(pending));
}

std::vector<store::Command> FleetStore::TakeCommands() {
  return std::exchange(commands_, {});
}

bool FleetStore::IsWritingSlices() const {
  return std::ranges::any_of(pending_, [](const auto& entry) {
    return std::holds_alternative<SliceWriting>(entry.second);
  });
}

void FleetStore::ReadSlices(const lease::ReadRows& read) {
  IssueRange(SlicePrefix(fleet_.domain()), {}, SliceReading{read});
}

void FleetStore::WriteSlices(const lease::WriteRows& write) {
  store::Transact transact;
  for (const lease::SliceRow& row : write.rows) {
    const std::string key = SliceKey(fleet_.domain(), row.slice);
    transact.conditions.push_back({.key = key, .version = row.version});
    transact.puts.push_back(
        {.key = key, .value = EncodeSliceRow(row, directory_)});
    const auto known = known_epochs_.find(row.slice);
    if (known == known_epochs_.end() || known->second != row.epoch) {
      transact.puts.push_back({.key = EpochKey(fleet_.domain(), row.slice),
                               .value = EncodeEpoch(row.epoch)});
    }
  }
  Issue(std::move(transact), SliceWriting{write});
}

void FleetStore::Load(TermKey term) {
  NextLoadStep({.loaded = {.term = term}}, {});
}

void FleetStore::ListOpenJobs(TermKey term) {
  IssueRange(OpenPrefix(fleet_.domain(), term.slice), {},
             Listing{{.term = term}});
}

store::KeyVersion FleetStore::EpochCondition(TermKey term) const {
  const auto found = epoch_rows_.find(term.slice);
  const bool known =
      found != epoch_rows_.end() && found->second.epoch == term.epoch;
  return {.key = EpochKey(fleet_.domain(), term.slice),
          .version = known ? found->second.version : kNeverVersion};
}

void FleetStore::WriteTasks(TermKey term, const placement::WriteGroup& write) {
  store::Transact transact;
  transact.conditions.push_back(EpochCondition(term));
  for (placement::TaskRow row : write.rows) {
    const std::string key = TaskKey(fleet_.domain(), term.slice, row.task);
    store::RowVersion version = store::kAbsent;
    if (row.version != 0) {
      const TaskVersion& known = task_versions_[row.task];
      version = known.count == row.version ? known.table : kNeverVersion;
    }
    transact.conditions.push_back({.key = key, .version = version});
    ++row.version;
    transact.puts.push_back({.key = key, .value = EncodeTaskRow(row, fleet_)});
  }
  Issue(std::move(transact), GroupWriting{.term = term, .write = write});
}

void FleetStore::ReadTasks(TermKey term, const placement::ReadGroup& read) {
  auto group = std::make_shared<GroupReading>();
  group->term = term;
  group->answer.token = read.token;
  group->remaining = read.tasks.size();
  for (const core::TaskId task : read.tasks) {
    Issue(store::ReadRow{.key = TaskKey(fleet_.domain(), term.slice, task)},
          RowReading{.group = group, .task = task});
  }
}

void FleetStore::Close(TermKey term, const JobRecord& job) {
  store::Transact transact;
  transact.conditions.push_back(EpochCondition(term));
  transact.puts.push_back({.key = JobKey(fleet_.domain(), job.request.id),
                           .value = EncodeJob(job)});
  transact.deletes.push_back(
      OpenKey(fleet_.domain(), term.slice, job.request.id));
  for (std::uint32_t i = 0; i < job.request.tasks; ++i) {
    const core::TaskId task = TaskOf(job.number, i);
    transact.deletes.push_back(TaskKey(fleet_.domain(), term.slice, task));
    task_versions_.erase(task);
  }
  Issue(std::move(transact), Closing{.term = term, .number = job.number});
}

void FleetStore::ReadVms() {
  Issue(store::ReadVmList{}, VmReading{});
}

void FleetStore::Handle(const store::Event& event,
                        std::vector<FleetEvent>& out) {
  auto found = pending_.extract(store::IdOf(event));
  if (!found.empty()) {
    std::visit([&](auto& pending) { Finish(pending, event, out); },
               found.mapped());
  }
}

void FleetStore::Finish(SliceReading& pending,
                        const store::Event& event,
                        std::vector<FleetEvent>& out) {
  const lease::Token token = pending.read.token;
  const auto* read = std::get_if<store::RangeRead>(&event);
  if (read == nullptr) {
    out.emplace_back(lease::SliceEvent(lease::AnswerLost{.token = token}));
    return;
  }
  lease::RowsRead answer{.token = token};
  for (const core::SliceId slice : pending.read.slices) {
    lease::SliceRow row;
    const auto found = std::ranges::find(
        read->rows, SliceKey(fleet_.domain(), slice), &store::Row::key);
    if (found != read->rows.end()) {
      const auto decoded = DecodeSliceRow(found->value, directory_);
      // A row that cannot be decoded may still have an owner.
      if (!decoded) {
        out.emplace_back(lease::SliceEvent(lease::AnswerLost{.token = token}));
        return;
      }
      row = *decoded;
      row.version = found->version;
      known_epochs_[slice] = row.epoch;
    }
    row.slice = slice;
    answer.rows.push_back(row);
  }
  out.emplace_back(lease::SliceEvent(std::move(answer)));
}

void FleetStore::Finish(SliceWriting& pending,
                        const store::Event& event,
                        std::vector<FleetEvent>& out) {
  const lease::Token token = pending.write.token;
  if (const auto* committed = std::get_if<store::Committed>(&event)) {
    lease::RowsWritten answer{.token = token, .rows = pending.write.rows};
    for (lease::SliceRow& row : answer.rows) {
      row.version = committed->version;
      known_epochs_[row.slice] = row.epoch;
    }
    out.emplace_back(lease::SliceEvent(std::move(answer)));
  } else if (std::holds_alternative<store::Conflicted>(event)) {
    out.emplace_back(lease::SliceEvent(lease::RowsConflicted{.token = token}));
  } else {
    out.emplace_back(lease::SliceEvent(lease::AnswerLost{.token = token}));
  }
}

void FleetStore::NextLoadStep(Loading loading, std::string after) {
  const core::SliceId slice = loading.loaded.term.slice;
  switch (loading.step) {
    case Loading::Step::kEpoch:
      Issue(store::ReadRow{.key = EpochKey(fleet_.domain(), slice)},
            std::move(loading));
      break;
    case Loading::Step::kJobs:
      IssueRange(OpenPrefix(fleet_.domain(), slice), std::move(after),
                 std::move(loading));
      break;
    case Loading::Step::kTasks:
      IssueRange(TaskPrefix(fleet_.domain(), slice), std::move(after),
                 std::move(loading));
      break;
  }
}

std::optional<placement::TaskRow> FleetStore::TakeTask(const store::Row& row) {
  auto task = DecodeTaskRow(row.value, fleet_);
  if (task) {
    task_versions_[task->task] = {.count = task->version, .table = row.version};
  }
  return task;
}

bool FleetStore::TakeLoadStep(Loading& loading, const store::Event& event) {
  TermLoaded& loaded = loading.loaded;
  if (const auto* read = std::get_if<store::RowRead>(&event)) {
    if (!read->row || DecodeEpoch(read->row->value) != loaded.term.epoch) {
      return false;
    }
    epoch_rows_[loaded.term.slice] = {.epoch = loaded.term.epoch,
                                      .version = read->row->version};
    return true;
  }
  const auto* page = std::get_if<store::RangeRead>(&event);
  if (page == nullptr) {
    return false;
  }
  for (const store::Row& row : page->rows) {
    if (loading.step == Loading::Step::kJobs) {
      auto job = DecodeJob(row.value, row.version);
      if (!job) {
        return false;
      }
      loaded.jobs.push_back(*std::move(job));
    } else {
      auto task = TakeTask(row);
      // Without the row, its task could be started a second time.
      if (!task) {
        return false;
      }
      loaded.tasks.push_back(*task);
    }
  }
  return true;
}

void FleetStore::Finish(Loading& pending,
                        const store::Event& event,
                        std::vector<FleetEvent>& out) {
  if (!TakeLoadStep(pending, event)) {
    out.emplace_back(TermNotLoaded{.term = pending.loaded.term});
    return;
  }
  const auto* page = std::get_if<store::RangeRead>(&event);
  if (page != nullptr && page->more) {
    NextLoadStep(std::move(pending), page->rows.back().key);
  } else if (pending.step == Loading::Step::kTasks) {
    out.emplace_back(std::move(pending.loaded));
  } else {
    pending.step = pending.step == Loading::Step::kEpoch
                       ? Loading::Step::kJobs
                       : Loading::Step::kTasks;
    NextLoadStep(std::move(pending), {});
  }
}

void FleetStore::Finish(Listing& pending,
                        const store::Event& event,
                        std::vector<FleetEvent>& out) {
  const auto* page = std::get_if<store::RangeRead>(&event);
  if (page == nullptr) {
    return;
  }
  for (const store::Row& row : page->rows) {
    if (auto job = DecodeJob(row.value, row.version)) {
      pending.listed.jobs.push_back(*std::move(job));
    }
  }
  if (page->more) {
    std::string prefix = OpenPrefix(fleet_.domain(), pending.listed.term.slice);
    IssueRange(std::move(prefix), page->rows.back().key, std::move(pending));
  } else {
    out.emplace_back(std::move(pending.listed));
  }
}

void FleetStore::Finish(GroupWriting& pending,
                        const store::Event& event,
                        std::vector<FleetEvent>& out) {
  const placement::GroupToken token = pending.write.token;
  if (const auto* committed = std::get_if<store::Committed>(&event)) {
    for (const placement::TaskRow& row : pending.write.rows) {
      task_versions_[row.task] = {.count = row.version + 1,
                                  .table = committed->version};
    }
    out.emplace_back(
        GroupAnswered{.term = pending.term,
                      .event = placement::GroupWritten{.token = token}});
  } else if (std::holds_alternative<store::Conflicted>(event)) {
    out.emplace_back(
        GroupAnswered{.term = pending.term,
                      .event = placement::GroupConflicted{.token = token}});
  } else {
    out.emplace_back(
        GroupAnswered{.term = pending.term,
                      .event = placement::GroupAnswerLost{.token = token}});
  }
}

void FleetStore::Finish(RowReading& pending,
                        const store::Event& event,
                        std::vector<FleetEvent>& out) {
  GroupReading& group = *pending.group;
  const auto* read = std::get_if<store::RowRead>(&event);
  placement::TaskRow row{.task = pending.task};
  if (read == nullptr) {
    group.failed = true;
  } else if (read->row) {
    const auto task = TakeTask(*read->row);
    group.failed = group.failed || !task;
    row = task.value_or(row);
  }
  group.answer.rows.push_back(row);
  if (--group.remaining > 0) {
    return;
  }
  if (group.failed) {
    out.emplace_back(GroupAnswered{
        .term = group.term,
        .event = placement::GroupAnswerLost{.token = group.answer.token}});
  } else {
    out.emplace_back(
        GroupAnswered{.term = group.term, .event = std::move(group.answer)});
  }
}

void FleetStore::Finish(Closing& pending,
                        const store::Event& event,
                        std::vector<FleetEvent>& out) {
  out.emplace_back(
      JobClosed{.term = pending.term,
                .number = pending.number,
                .written = std::holds_alternative<store::Committed>(event)});
}

void FleetStore::Finish(VmReading& /*pending*/,
                        const store::Event& event,
                        std::vector<FleetEvent>& out) {
  if (const auto* read = std::get_if<store::VmListRead>(&event)) {
    out.emplace_back(VmsListed{.revision = read->revision, .vms = read->vms});
  }
}

}  // namespace hickoryusher::entry
