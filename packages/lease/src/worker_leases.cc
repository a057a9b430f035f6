#include "lease/worker_leases.h"

#include <algorithm>
#include <map>
#include <string_view>

#include "chart/interpreter.h"

namespace hickoryusher::lease {
namespace {

using core::Duration;
using core::TimePoint;

struct Slice {
  SliceTerm term;
  TimePoint next_ask;  ///< When the previous owner is asked again to yield.
};

struct Worker {
  core::WorkerId id;
  core::SliceId slice;
  chart::StateId state;
  std::optional<TimePoint> echo;  ///< Worker's time from its last report.
  TimePoint report_at;            ///< When that report arrived.
  /// Arrival of the newest report that was replied to. A worker that moved
  /// over from a previous owner counts as replied to at its first report.
  std::optional<TimePoint> replied_at;
  TimePoint next_heartbeat;
  chart::EventId timer_event;
  TimePoint timer_at;
};

struct Context {
  Worker& worker;
  const SliceTerm& term;
  const Timing& timing;
  TimePoint now;
  std::vector<WorkerCommand>& out;

  void StartTimer(chart::EventId event, Duration duration) {
    worker.timer_event = event;
    worker.timer_at = now + duration;
  }
  void CancelTimer(chart::EventId /*event*/) {
    worker.timer_event = chart::EventId();
  }
};

template <typename Command>
void Announce(Context& context) {
  context.out.emplace_back(Command{.worker = context.worker.id});
}

chart::Bindings<Context> MakeBindings() {
  chart::Bindings<Context> bindings;
  bindings.Action("announce_live", Announce<WorkerLive>)
      .Action("announce_silent", Announce<WorkerSilent>)
      .Action("release_tasks", Announce<WorkerLost>)
      .Duration("unreachable_wait",
                [](const Context& c) {
                  const bool free =
                      !c.term.previous.valid() && c.term.previous_exclusive;
                  return free ? c.timing.WorkerLostWait()
                              : c.term.previous_seen +
                                    c.timing.UnreachableWait() - c.now;
                })
      .Duration("yield_wait",
                [](const Context& c) { return c.timing.WorkerLostWait(); })
      .Duration("silence_wait",
                [](const Context& c) {
                  return c.worker.report_at + kSilence - c.now;
                })
      .Duration("lost_wait", [](const Context& c) {
        return c.worker.replied_at.value_or(c.worker.report_at) +
               c.timing.WorkerLostWait() - c.now;
      });
  return bindings;
}

}  // namespace

SliceTerm TermOf(const SliceBegun& begun) {
  return {.slice = begun.slice,
          .epoch = begun.epoch,
          .previous = begun.previous.owner,
          .previous_exclusive =
              begun.previous.version == 0 || begun.previous.exclusive,
          .previous_seen = begun.previous_seen};
}

struct WorkerLeases::Impl {
  using Interpreter = chart::Interpreter<Context>;

  Impl(Interpreter interpreter_in, Timing timing_in)
      : interpreter(std::move(interpreter_in)), timing(timing_in) {
    const chart::Chart& chart = interpreter.chart();
    unconfirmed = chart.FindState("unconfirmed");
    yielded_state = chart.FindState("yielded");
    live = chart.FindState("live");
    lost = chart.FindState("lost");
    gone = chart.FindState("gone");
    report = chart.FindEvent("report");
    yielded = chart.FindEvent("yielded");
    vm_gone = chart.FindEvent("vm_gone");
  }

  Context MakeContext(Worker& worker,
                      TimePoint now,
                      std::vector<WorkerCommand>& out) {
    return {worker, slices.at(worker.slice).term, timing, now, out};
  }

  void Dispatch(Worker& worker,
                chart::EventId event,
                TimePoint now,
                std::vector<WorkerCommand>& out) {
    Context context = MakeContext(worker, now, out);
    worker.state = interpreter.Dispatch(worker.state, event, context).state;
  }

  void RunTimers(Worker& worker,
                 TimePoint now,
                 std::vector<WorkerCommand>& out) {
    while (worker.timer_event.valid() && worker.timer_at <= now) {
      const chart::EventId event = worker.timer_event;
      worker.timer_event = chart::EventId();
      Dispatch(worker, event, now, out);
    }
  }

  void SendHeartbeat(Worker& worker,
                     TimePoint now,
                     std::vector<WorkerCommand>& out) {
    if (worker.state == gone || now < worker.next_heartbeat) {
      return;
    }
    worker.next_heartbeat = now + kHeartbeat;
    // Only a live worker's report is answered: in state silent the wait for
    // its lease already counts from the last answer, and a lost worker's tasks
    // may run elsewhere.
    const bool reply = worker.state == live;
    if (reply) {
      worker.replied_at = worker.report_at;
    }
    out.emplace_back(Heartbeat{.worker = worker.id,
                               .epoch = slices.at(worker.slice).term.epoch,
                               .echo = reply ? worker.echo : std::nullopt});
  }

  void AskPrevious(TimePoint now, std::vector<WorkerCommand>& out) {
    for (auto& [id, slice] : slices) {
      const bool waiting =
          std::ranges::any_of(workers, [&, slice_id = id](const auto& entry) {
            return entry.second.slice == slice_id &&
                   entry.second.state == unconfirmed;
          });
      if (waiting && slice.term.previous.valid() &&
          slice.term.previous_exclusive && now >= slice.next_ask) {
        slice.next_ask = now + kHeartbeat;
        out.emplace_back(AskYield{.previous = slice.term.previous,
                                  .slice = id,
                                  .epoch = slice.term.epoch});
      }
    }
  }

  Interpreter interpreter;
  Timing timing;
  std::map<core::SliceId, Slice> slices;
  std::map<core::WorkerId, Worker> workers;
  chart::StateId unconfirmed, yielded_state, live, lost, gone;
  chart::EventId report, yielded, vm_gone;
};

WorkerLeases::WorkerLeases(std::unique_ptr<Impl> impl)
    : impl_(std::move(impl)) {}
WorkerLeases::WorkerLeases(WorkerLeases&&) noexcept = default;
WorkerLeases& WorkerLeases::operator=(WorkerLeases&&) noexcept = default;
WorkerLeases::~WorkerLeases() = default;

std::optional<WorkerLeases> WorkerLeases::Create(
    const chart::Chart& chart,
    Timing timing,
    std::vector<chart::Problem>& problems) {
  auto interpreter =
      chart::Interpreter<Context>::Bind(chart, MakeBindings(), problems);
  if (!interpreter.has_value()) {
    return std::nullopt;
  }
  return WorkerLeases(std::make_unique<Impl>(std::move(*interpreter), timing));
}

void WorkerLeases::BeginSlice(const SliceTerm& term) {
  EndSlice(term.slice);
  impl_->slices[term.slice] = {.term = term};
}

void WorkerLeases::EndSlice(core::SliceId slice) {
  std::erase_if(impl_->workers, [slice](const auto& entry) {
    return entry.second.slice == slice;
  });
  impl_->slices.erase(slice);
}

void WorkerLeases::AddWorker(core::WorkerId id,
                             core::SliceId slice,
                             TimePoint now,
                             std::vector<WorkerCommand>& out) {
  if (!impl_->slices.contains(slice) || impl_->workers.contains(id)) {
    return;
  }
  Worker& worker = impl_->workers[id];
  worker.id = id;
  worker.slice = slice;
  worker.next_heartbeat = now;
  Context context = impl_->MakeContext(worker, now, out);
  worker.state = impl_->interpreter.Start(context);
}

bool WorkerLeases::Report(core::WorkerId id,
                          core::Epoch epoch,
                          TimePoint worker_time,
                          TimePoint now,
                          std::vector<WorkerCommand>& out) {
  const auto found = impl_->workers.find(id);
  if (found == impl_->workers.end()) {
    return false;
  }
  Worker& worker = found->second;
  impl_->RunTimers(worker, now, out);
  // A report from before the last one was delayed or doubled; its task list
  // is out of date.
  const bool stale = worker.echo.has_value() && worker_time <= *worker.echo;
  if (epoch != impl_->slices.at(worker.slice).term.epoch || stale ||
      worker.state == impl_->gone) {
    return false;
  }
  worker.echo = worker_time;
  worker.report_at = now;
  if (!worker.replied_at.has_value()) {
    worker.replied_at = now;
  }
  impl_->Dispatch(worker, impl_->report, now, out);
  return true;
}

void WorkerLeases::Yielded(core::SliceId slice,
                           TimePoint now,
                           std::vector<WorkerCommand>& out) {
  const auto found = impl_->slices.find(slice);
  if (found == impl_->slices.end() || !found->second.term.previous_exclusive) {
    return;
  }
  for (auto& [id, worker] : impl_->workers) {
    if (worker.slice == slice) {
      impl_->Dispatch(worker, impl_->yielded, now, out);
    }
  }
}

void WorkerLeases::VmGone(core::WorkerId id,
                          TimePoint now,
                          std::vector<WorkerCommand>& out) {
  if (const auto found = impl_->workers.find(id);
      found != impl_->workers.end()) {
    impl_->Dispatch(found->second, impl_->vm_gone, now, out);
  }
}

void WorkerLeases::Tick(TimePoint now, std::vector<WorkerCommand>& out) {
  for (auto& [id, worker] : impl_->workers) {
    impl_->RunTimers(worker, now, out);
    impl_->SendHeartbeat(worker, now, out);
  }
  impl_->AskPrevious(now, out);
}

std::optional<TimePoint> WorkerLeases::EchoForCommand(core::WorkerId id) {
  const auto found = impl_->workers.find(id);
  if (found == impl_->workers.end() || found->second.state != impl_->live) {
    return std::nullopt;
  }
  found->second.replied_at = found->second.report_at;
  return found->second.echo;
}

bool WorkerLeases::IsLive(core::WorkerId id) const {
  const auto found = impl_->workers.find(id);
  return found != impl_->workers.end() && found->second.state == impl_->live;
}

bool WorkerLeases::IsExclusive(core::SliceId slice) const {
  return impl_->slices.contains(slice) &&
         std::ranges::none_of(impl_->workers, [&](const auto& entry) {
           const Worker& worker = entry.second;
           return worker.slice == slice &&
                  (worker.state == impl_->unconfirmed ||
                   worker.state == impl_->yielded_state);
         });
}

std::string_view WorkerLeases::StateName(core::WorkerId id) const {
  const auto found = impl_->workers.find(id);
  return found == impl_->workers.end()
             ? std::string_view("none")
             : impl_->interpreter.chart().StateName(found->second.state);
}

}  // namespace hickoryusher::lease
