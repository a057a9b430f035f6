#ifndef ENTRY_SRC_FLEET_STORE_P_H_
#define ENTRY_SRC_FLEET_STORE_P_H_

#include <cstdint>
#include <map>
#include <memory>
#include <optional>
#include <span>
#include <string>
#include <variant>
#include <vector>

#include "directory_p.h"
#include "fleet_p.h"
#include "job_codec_p.h"
#include "lease/slice_owner.h"
#include "placement/scheduler.h"
#include "store/command.h"
#include "store/event.h"

namespace hickoryusher::entry {

/// One term of ownership.
struct TermKey {
  core::SliceId slice;
  core::Epoch epoch;

  auto operator<=>(const TermKey&) const = default;
};

/// Everything on record of a slice, read after it was taken over.
struct TermLoaded {
  TermKey term;
  std::vector<JobRecord> jobs;
  std::vector<placement::TaskRow> tasks;
};
/// A read did not succeed; the term has to be loaded again.
struct TermNotLoaded {
  TermKey term;
};
/// The open jobs of the slice.
struct OpenJobsListed {
  TermKey term;
  std::vector<JobRecord> jobs;
};
/// Answer to a group of task rows.
struct GroupAnswered {
  TermKey term;
  placement::Event event;
};
/// The transaction that closes a job took effect, or may not have.
struct JobClosed {
  TermKey term;
  std::uint64_t number = 0;
  bool written = false;
};
struct VmsListed {
  std::uint64_t revision = 0;
  std::vector<store::Vm> vms;
};
using FleetEvent = std::variant<lease::SliceEvent,
                                TermLoaded,
                                TermNotLoaded,
                                OpenJobsListed,
                                GroupAnswered,
                                JobClosed,
                                VmsListed>;

/// Translates slices, tasks and jobs into rows of the table service and back.
class FleetStore {
 public:
  FleetStore(Fleet& fleet, const Directory& directory)
      : fleet_(fleet), directory_(directory) {}

  void ReadSlices(const lease::ReadRows& read);
  void WriteSlices(const lease::WriteRows& write);
  /// Reads the epoch row, the open jobs and the task rows.
  void Load(TermKey term);
  void ListOpenJobs(TermKey term);
  void WriteTasks(TermKey term, const placement::WriteGroup& write);
  void ReadTasks(TermKey term, const placement::ReadGroup& read);
  /// Writes the final state of @p job and deletes its other rows.
  void Close(TermKey term, const JobRecord& job);
  void ReadVms();

  /// Appends what @p event means to @p out.
  void Handle(const store::Event& event, std::vector<FleetEvent>& out);

  std::vector<store::Command> TakeCommands();

  /// @returns true while a write of slice rows is unanswered.
  bool IsWritingSlices() const;

 private:
  struct SliceReading {
    lease::ReadRows read;
  };
  struct SliceWriting {
    lease::WriteRows write;
  };
  struct Loading {
    enum class Step { kEpoch, kJobs, kTasks };
    Step step = Step::kEpoch;
    TermLoaded loaded;
  };
  struct Listing {
    OpenJobsListed listed;
  };
  struct GroupWriting {
    TermKey term;
    placement::WriteGroup write;
  };
  struct GroupReading {
    TermKey term;
    placement::GroupRead answer;
    std::size_t remaining = 0;
    bool failed = false;
  };
  struct RowReading {
    std::shared_ptr<GroupReading> group;
    core::TaskId task;
  };
  struct Closing {
    TermKey term;
    std::uint64_t number = 0;
  };
  struct VmReading {};
  using Pending = std::variant<SliceReading,
                               SliceWriting,
                               Loading,
                               Listing,
                               GroupWriting,
                               RowReading,
                               Closing,
                               VmReading>;
  /// Count of versions in a task row and the table's version of it.
  struct TaskVersion {
    std::uint64_t count = 0;
    store::RowVersion table = store::kAbsent;
  };
  struct EpochRow {
    core::Epoch epoch;
    store::RowVersion version = store::kAbsent;
  };

  template <typename Command>
  void Issue(Command command, Pending pending);
  void IssueRange(std::string prefix, std::string after, Pending pending);
  store::KeyVersion EpochCondition(TermKey term) const;
  std::optional<placement::TaskRow> TakeTask(const store::Row& row);

  void Finish(SliceReading& pending,
              const store::Event& event,
              std::vector<FleetEvent>& out);
  void Finish(SliceWriting& pending,
              const store::Event& event,
              std::vector<FleetEvent>& out);
  void Finish(Loading& pending,
              const store::Event& event,
              std::vector<FleetEvent>& out);
  void Finish(Listing& pending,
              const store::Event& event,
              std::vector<FleetEvent>& out);
  void Finish(GroupWriting& pending,
              const store::Event& event,
              std::vector<FleetEvent>& out);
  void Finish(RowReading& pending,
              const store::Event& event,
              std::vector<FleetEvent>& out);
  void Finish(Closing& pending,
              const store::Event& event,
              std::vector<FleetEvent>& out);
  void Finish(VmReading& pending,
              const store::Event& event,
              std::vector<FleetEvent>& out);
  bool TakeLoadStep(Loading& loading, const store::Event& event);
  void NextLoadStep(Loading loading, std::string after);

  Fleet& fleet_;
  const Directory& directory_;
  std::uint64_t next_id_ = 0;
  std::map<store::CommandId, Pending> pending_;
  std::vector<store::Command> commands_;
  std::map<core::SliceId, core::Epoch> known_epochs_;
  std::map<core::SliceId, EpochRow> epoch_rows_;
  std::map<core::TaskId, TaskVersion> task_versions_;
};

}  // namespace hickoryusher::entry

#endif  // ENTRY_SRC_FLEET_STORE_P_H_
