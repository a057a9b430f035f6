#include <algorithm>

#include "core/overloaded.h"
#include "sim_world.h"

namespace hickoryusher::placement::sim {
namespace {

constexpr Duration kEntryTick = std::chrono::milliseconds(100);

}  // namespace

void World::StartEntry(EntryNode& entry) {
  std::vector<chart::Problem> problems;
  lease::Timing waits;
  lease::Timing takeover;
  if (options_.defect == Defect::kShortLostWait) {
    waits.clock_margin_percent = -60;
  }
  if (options_.defect == Defect::kShortTakeoverWait) {
    takeover.clock_margin_percent = -70;
    waits = takeover;
  }
  lease::SliceOwnerConfig config{
      .self = entry.id,
      .incarnation =
          core::Incarnation(static_cast<std::uint64_t>(entry.node.generation)),
      .slices = {core::SliceId(0), core::SliceId(1)},
      .timing = takeover};
  entry.owner = lease::SliceOwner::Create(slice_chart_, config,
                                          net_.Local(entry.node), problems);
  entry.leases = lease::WorkerLeases::Create(worker_chart_, waits, problems);
  entry.terms.clear();
  net_.Every(entry.node, kEntryTick, [this, &entry] { TickEntry(entry); });
}

void World::HandleSlice(EntryNode& entry, const lease::SliceEvent& event) {
  std::vector<lease::SliceCommand> out;
  entry.owner->Handle(event, net_.Local(entry.node), out);
  Execute(entry, out);
}

void World::HandleTask(EntryNode& entry,
                       core::SliceId slice,
                       const Event& event) {
  const auto term = entry.terms.find(slice);
  if (term == entry.terms.end() || !term->second.scheduler.has_value()) {
    return;
  }
  std::vector<Command> out;
  term->second.scheduler->Handle(event, net_.Local(entry.node), out);
  Execute(entry, slice, out);
}

void World::TickEntry(EntryNode& entry) {
  HandleSlice(entry, lease::Tick{});
  const TimePoint now = net_.Local(entry.node);
  std::vector<lease::WorkerCommand> out;
  std::map<core::SliceId, SetFleet> fleets;
  for (WorkerNode& worker : workers_) {
    if (!entry.terms.contains(worker.slice)) {
      continue;
    }
    if (worker.listed) {
      fleets[worker.slice].workers.push_back(worker.spec);
      entry.leases->AddWorker(worker.id, worker.slice, now, out);
    } else {
      entry.leases->VmGone(worker.id, now, out);
    }
  }
  entry.leases->Tick(now, out);
  Execute(entry, out);
  for (auto& [slice, term] : entry.terms) {
    if (entry.leases->IsExclusive(slice)) {
      entry.owner->SetExclusive(slice);
    }
    if (!term.scheduler.has_value()) {
      LoadTerm(entry, slice);
      continue;
    }
    SubmitDue(entry, slice, term);
    HandleTask(entry, slice, fleets[slice]);
    HandleTask(entry, slice, Tick{});
  }
}

void World::Execute(EntryNode& entry,
                    const std::vector<lease::SliceCommand>& out) {
  for (const lease::SliceCommand& command : out) {
    std::visit(
        core::Overloaded{
            [&](const lease::ReadRows& read) {
              net_.Send(entry.node, table_.node, [this, &entry, read] {
                if (table_.down) {
                  return;
                }
                lease::RowsRead answer{.token = read.token};
                for (const core::SliceId id : read.slices) {
                  answer.rows.push_back(table_.slices[id]);
                  answer.rows.back().slice = id;
                }
                net_.Send(table_.node, entry.node, [this, &entry, answer] {
                  HandleSlice(entry, answer);
                });
              });
            },
            [&](const lease::WriteRows& write) { WriteSlices(entry, write); },
            [&](const lease::SliceBegun& begun) { Begin(entry, begun); },
            [&](const lease::HoldBegun& hold) {
              HandleTask(entry, hold.slice, SetHold{.hold = true});
            },
            [&](const lease::HoldEnded& hold) {
              HandleTask(entry, hold.slice, SetHold{.hold = false});
            },
            [&](const lease::SliceEnded& ended) {
              entry.leases->EndSlice(ended.slice);
              entry.terms.erase(ended.slice);
            },
            [&](const lease::YieldAnswer& answer) {
              EntryNode& to = entries_[answer.to.value()];
              net_.Send(entry.node, to.node, [this, &to, answer] {
                const auto term = to.terms.find(answer.slice);
                if (term != to.terms.end() &&
                    term->second.epoch == answer.epoch) {
                  std::vector<lease::WorkerCommand> commands;
                  to.leases->Yielded(answer.slice, net_.Local(to.node),
                                     commands);
                  Execute(to, commands);
                }
              });
            },
        },
        command);
  }
}

void World::WriteSlices(EntryNode& entry, const lease::WriteRows& write) {
  net_.Send(entry.node, table_.node, [this, &entry, write] {
    if (table_.down) {
      return;
    }
    const bool holds = std::ranges::all_of(write.rows, [this](const auto& row) {
      return table_.slices[row.slice].version == row.version;
    });
    const bool lost = !calm_ && net_.Chance(net_.faults.answer_lost);
    const auto answer = [&](const lease::SliceEvent& event) {
      if (!lost) {
        net_.Send(table_.node, entry.node,
                  [this, &entry, event] { HandleSlice(entry, event); });
      }
    };
    if (!holds && options_.defect != Defect::kNoConditions) {
      answer(lease::RowsConflicted{.token = write.token});
      return;
    }
    lease::RowsWritten written{.token = write.token};
    for (lease::SliceRow row : write.rows) {
      row.version = table_.slices[row.slice].version + 1;
      table_.slices[row.slice] = row;
      written.rows.push_back(row);
    }
    answer(written);
  });
}

void World::Begin(EntryNode& entry, const lease::SliceBegun& begun) {
  ++takeovers_;
  entry.leases->BeginSlice(lease::TermOf(begun));
  Term& term = entry.terms[begun.slice];
  term = Term{.epoch = begun.epoch};
  LoadTerm(entry, begun.slice);
}

void World::LoadTerm(EntryNode& entry, core::SliceId slice) {
  Term& term = entry.terms.at(slice);
  const TimePoint now = net_.Local(entry.node);
  if (now < term.next_load) {
    return;
  }
  term.next_load = now + std::chrono::seconds(1);
  net_.Send(entry.node, table_.node, [this, &entry, slice, epoch = term.epoch] {
    if (table_.down) {
      return;
    }
    net_.Send(table_.node, entry.node,
              [this, &entry, slice, epoch, rows = table_.tasks] {
                FillTerm(entry, slice, epoch, rows);
              });
  });
}

void World::FillTerm(EntryNode& entry,
                     core::SliceId slice,
                     core::Epoch epoch,
                     const std::map<core::TaskId, TaskRow>& rows) {
  const auto found = entry.terms.find(slice);
  if (found == entry.terms.end() || found->second.epoch != epoch ||
      found->second.scheduler.has_value()) {
    return;
  }
  // Short, so that the run sees kinds tried again.
  SchedulerConfig config{
      .epoch = epoch,
      .policy = LearnedPlacement{.forget_half_life = std::chrono::seconds(20)},
      .guard = {.ban = std::chrono::seconds(40)}};
  if (options_.defect == Defect::kNoMargin) {
    config.estimator.margin_percent = 0;
  }
  std::vector<chart::Problem> problems;
  Term& term = found->second;
  term.scheduler = Scheduler::Create(task_chart_, config, problems);
  SubmitDue(entry, slice, term);
  for (const TrueJob& job : jobs_) {
    if (!term.submitted.contains(job.spec.job)) {
      continue;
    }
    for (std::uint32_t i = 0; i < job.spec.tasks; ++i) {
      const auto row = rows.find(core::TaskId(job.spec.first_task.value() + i));
      if (row != rows.end() && row->second.version > 0) {
        HandleTask(entry, slice,
                   RestoreTask{.job = job.spec.job, .row = row->second});
      }
    }
  }
  for (const WorkerNode& worker : workers_) {
    if (worker.slice != slice) {
      continue;
    }
    const std::string_view state = entry.leases->StateName(worker.id);
    if (state == "live") {
      HandleTask(entry, slice, WorkerUp{.worker = worker.spec});
    } else if (state == "lost" || state == "gone" ||
               (state == "none" && !worker.listed)) {
      HandleTask(entry, slice, WorkerTasksLost{.worker = worker.id});
    }
  }
  if (entry.owner->OwnershipAt(slice, net_.Local(entry.node)) ==
      lease::Ownership::kHold) {
    HandleTask(entry, slice, SetHold{.hold = true});
  }
}

void World::SubmitDue(EntryNode& entry, core::SliceId slice, Term& term) {
  for (const TrueJob& job : jobs_) {
    if (job.slice != slice || job.submit > net_.now()) {
      continue;
    }
    if (term.submitted.insert(job.spec.job).second) {
      HandleTask(entry, slice, SubmitJob{.job = job.spec});
    } else if (job.cancel.has_value() && *job.cancel <= net_.now() &&
               term.cancelled.insert(job.spec.job).second) {
      HandleTask(entry, slice, CancelJob{.job = job.spec.job});
    }
  }
}

void World::OnReport(EntryNode& entry,
                     core::SliceId slice,
                     const WorkerReport& report,
                     core::Epoch epoch,
                     TimePoint worker_time) {
  HandleSlice(entry, lease::Tick{});
  std::vector<lease::WorkerCommand> out;
  const bool accepted = entry.leases->Report(report.worker, epoch, worker_time,
                                             net_.Local(entry.node), out);
  Execute(entry, out);
  if (accepted) {
    HandleTask(entry, slice, report);
  }
}

void World::Execute(EntryNode& entry,
                    const std::vector<lease::WorkerCommand>& out) {
  const auto forward = [&](core::WorkerId id, const Event& event) {
    HandleTask(entry, FindWorker(id)->slice, event);
  };
  for (const lease::WorkerCommand& command : out) {
    std::visit(
        core::Overloaded{
            [&](const lease::Heartbeat& heartbeat) {
              WorkerNode& worker = *FindWorker(heartbeat.worker);
              net_.Send(entry.node, worker.node,
                        [this, &worker, &entry, heartbeat] {
                          OnHeartbeat(worker, entry, heartbeat);
                        });
            },
            [&](const lease::AskYield& ask) {
              EntryNode& to = entries_[ask.previous.value()];
              net_.Send(entry.node, to.node, [this, &to, ask, from = entry.id] {
                HandleSlice(to, lease::YieldAsked{.slice = ask.slice,
                                                  .epoch = ask.epoch,
                                                  .from = from});
              });
            },
            [&](const lease::WorkerLive& live) {
              forward(live.worker,
                      WorkerUp{.worker = FindWorker(live.worker)->spec});
            },
            [&](const lease::WorkerSilent& silent) {
              forward(silent.worker, WorkerPaused{.worker = silent.worker});
            },
            [&](const lease::WorkerLost& lost) {
              forward(lost.worker, WorkerTasksLost{.worker = lost.worker});
            },
        },
        command);
  }
}

template <typename CommandType>
void World::SendToWorker(EntryNode& entry,
                         core::SliceId slice,
                         const CommandType& command) {
  const auto echo = entry.leases->EchoForCommand(command.worker);
  if (!echo.has_value()) {
    return;
  }
  WorkerNode& worker = *FindWorker(command.worker);
  net_.Send(
      entry.node, worker.node,
      [this, &worker, command, echo, epoch = entry.terms.at(slice).epoch] {
        OnCommand(worker, epoch, echo, command);
      });
}

void World::Execute(EntryNode& entry,
                    core::SliceId slice,
                    const std::vector<Command>& out) {
  for (const Command& command : out) {
    std::visit(
        core::Overloaded{
            [&](const WriteGroup& write) { WriteTasks(entry, slice, write); },
            [&](const ReadGroup& read) { ReadTasks(entry, slice, read); },
            [&](const StartTask& c) { SendToWorker(entry, slice, c); },
            [&](const StopTask& c) { SendToWorker(entry, slice, c); },
            [&](const CheckpointTask& c) { SendToWorker(entry, slice, c); },
            [&](const AckEnded& c) { SendToWorker(entry, slice, c); },
            [](const auto&) {},
        },
        command);
  }
}

void World::WriteTasks(EntryNode& entry,
                       core::SliceId slice,
                       const WriteGroup& write) {
  const auto answer = [this, &entry, slice](const Event& event) {
    net_.Send(table_.node, entry.node, [this, &entry, slice, event] {
      HandleTask(entry, slice, event);
    });
  };
  if (options_.defect == Defect::kLostIsWritten) {
    net_.After(std::chrono::milliseconds(1400), [this, &entry, slice, write] {
      HandleTask(entry, slice, GroupWritten{.token = write.token});
    });
  }
  net_.Send(entry.node, table_.node, [this, slice, write, answer] {
    if (table_.down) {
      return;
    }
    const bool holds =
        table_.slices[slice].epoch == write.epoch &&
        std::ranges::all_of(write.rows, [this](const TaskRow& row) {
          return table_.tasks[row.task].version == row.version;
        });
    if (!holds && options_.defect != Defect::kNoConditions) {
      answer(GroupConflicted{.token = write.token});
      return;
    }
    for (TaskRow row : write.rows) {
      ++row.version;
      table_.tasks[row.task] = row;
    }
    if (calm_ || !net_.Chance(net_.faults.answer_lost)) {
      answer(GroupWritten{.token = write.token});
    }
  });
}

void World::ReadTasks(EntryNode& entry,
                      core::SliceId slice,
                      const ReadGroup& read) {
  net_.Send(entry.node, table_.node, [this, &entry, slice, read] {
    if (table_.down) {
      return;
    }
    GroupRead answer{.token = read.token};
    for (const core::TaskId id : read.tasks) {
      answer.rows.push_back(table_.tasks[id]);
      answer.rows.back().task = id;
      if (options_.defect == Defect::kLostIsRefused) {
        answer.rows.back().claim = 0;
      }
    }
    net_.Send(table_.node, entry.node, [this, &entry, slice, answer] {
      HandleTask(entry, slice, answer);
    });
  });
}

}  // namespace hickoryusher::placement::sim
