#include <algorithm>
#include <chrono>
#include <cmath>

#include "slice_scheduler_p.h"

/// Learns from the reports of workers: the loads of serving tasks, and by how
/// much best-effort tasks raise their utilisation.
namespace hickoryusher::jobs {
namespace {

using Seconds = std::chrono::duration<double>;

// Share of the latency target that the tail latency may reach when best-effort
// tasks are placed or their pace is set. The remainder absorbs load changes
// between two reports.
constexpr double kAllowedTargetShare = 0.85;

// Time constant of a job's baseline utilisation, its utilisation without
// neighbours. Loads fluctuate with periods of 10 to 20 s, alike for all tasks
// of a job.
constexpr Seconds kBaselineTime(0.2);
// The load's rate of change, in 1/s, and the time ahead for which a pace is
// set: until the next report can change it.
constexpr double kSlopeGain = 0.2;
constexpr double kMaxSlope = 0.15;
constexpr Seconds kMinSlopeTime(0.15);
constexpr Seconds kMaxSlopeTime(1);
constexpr Seconds kHorizon(0.4);
// A run lasts a good part of a fluctuation: it is planned for a load between
// the current one and the recent peak.
constexpr double kPeakShare = 0.7;
constexpr Seconds kPeakTime(30);
// Reports of several tasks at one moment count as if they came this far apart.
constexpr core::Duration kMinBaselineAge = std::chrono::milliseconds(50);
// Factor by which a raise lowers the weight of a report for the baseline.
constexpr double kRaiseDistrust = 4;

// Standard deviation of a raise that is not explained by the best-effort
// neighbours, as that by other serving tasks.
constexpr double kRaiseNoise = 0.12;

// The idle tail is at most this share of the target. The first reports come
// from tasks under load, and would leave no room for best-effort work.
constexpr double kMaxIdleTargetShare = 0.25;

// Standard deviation of a reported utilisation.
constexpr double kUtilisationNoise = 0.06;
constexpr double kMinUtilisation = 0.05;
constexpr double kInitialUtilisation = 0.5;  ///< Of a job without a report.

}  // namespace

double SliceScheduler::BaselineUtilisation(const Job& job) const {
  const auto found = baseline_utilisations_.find(job.spec.id);
  if (found == baseline_utilisations_.end()) {
    return kInitialUtilisation;
  }
  const Baseline& baseline = found->second;
  return std::max(
      kMinUtilisation,
      baseline.value + std::max(baseline.slope, 0.0) * kHorizon.count());
}

double SliceScheduler::IdleTail(const StepSpec& step) const {
  const double highest =
      kMaxIdleTargetShare *
      static_cast<double>(core::ToMillis(step.latency_target));
  const auto found = idle_tails_.find(step.image);
  return found == idle_tails_.end() ? highest
                                    : std::min(found->second, highest);
}

// The utilisation at which the tail reaches the allowed share of its target.
double SliceScheduler::AllowedUtilisation(const StepSpec& step) const {
  const double allowed =
      kAllowedTargetShare *
      static_cast<double>(core::ToMillis(step.latency_target));
  return 1 - IdleTail(step) / allowed;
}

// Returns the utilisation to expect during a run that starts now.
double SliceScheduler::PlannedUtilisation(const Job& job) const {
  const double current = BaselineUtilisation(job);
  const auto found = baseline_utilisations_.find(job.spec.id);
  return found == baseline_utilisations_.end()
             ? current
             : std::max(current, kPeakShare * found->second.peak +
                                     (1 - kPeakShare) * current);
}

// Adds the best-effort load since the last call to the report window.
void SliceScheduler::AccrueLoad(Worker& worker) const {
  const double kept = SmoothingWeight(now_ - worker.load_until);
  worker.load_until = now_;
  for (Neighbour& load : worker.window_load) {
    load.share *= kept;
  }
  for (const Task* task : worker.tasks) {
    if (!IsBestEffort(*task) || !IsState(*task, states_.running)) {
      continue;
    }
    const double share = (1 - kept) * PacedShare(*task, worker);
    const auto same = std::ranges::find(worker.window_load, ImageOf(*task),
                                        &Neighbour::image);
    if (same == worker.window_load.end()) {
      worker.window_load.push_back({.image = ImageOf(*task), .share = share});
    } else {
      same->share += share;
    }
  }
}

// Ends the report window of a worker: updates the tails of its serving tasks,
// the interference model and the baseline utilisations of the jobs.
void SliceScheduler::LearnInterference(Worker& worker) {
  const core::Duration window = now_ - worker.window_start;
  if (window < kMinReportWindow) {
    return;
  }
  AccrueLoad(worker);
  const double weight = 1 - SmoothingWeight(window);
  for (Neighbour& load : worker.window_load) {
    load.share /= weight;
  }
  for (Task* task : worker.tasks) {
    if (!IsServing(*task) || !IsState(*task, states_.running) ||
        task->usage <= 0) {
      continue;
    }
    const bool settled = now_ - task->started >= 2 * kReportSmoothing;
    task->tail.Update(task->usage, now_, settled);
    if (task->tail.recent_ms() &&
        (settled || task->started <= worker.window_start)) {
      LearnFrom(*task, worker.window_load);
    }
  }
  worker.window_load.clear();
  worker.window_start = now_;
}

void SliceScheduler::LearnFrom(Task& serving,
                               std::span<const Neighbour> neighbours) {
  const StepSpec& step = serving.job->StepOf(serving);
  const double tail = std::max(*serving.tail.recent_ms(), 1.0);
  double& smallest =
      idle_tails_.try_emplace(step.image, serving.usage).first->second;
  smallest = std::min(smallest, serving.usage);
  const double observed = std::max(kMinUtilisation, 1 - IdleTail(step) / tail);
  Baseline& baseline =
      baseline_utilisations_
          .try_emplace(serving.job->spec.id,
                       Baseline{.value = observed, .updated = now_})
          .first->second;
  const double expected = std::max(kMinUtilisation, baseline.value);
  if (!neighbours.empty()) {
    interference_.Learn(ImageOf(serving), neighbours, observed / expected - 1,
                        std::hypot(kUtilisationNoise / expected, kRaiseNoise));
  }
  const double raise = interference_.Raise(ImageOf(serving), neighbours);
  const Seconds elapsed = now_ - baseline.updated;
  const Seconds age = std::max(elapsed, Seconds(kMinBaselineAge));
  const double gain =
      (1 - std::exp(-(age / kBaselineTime))) / (1 + kRaiseDistrust * raise);
  baseline.value += baseline.slope * std::min(elapsed, kMaxSlopeTime).count();
  const double error = observed / (1 + raise) - baseline.value;
  baseline.value = std::clamp(baseline.value + gain * error, 0.0, 1.0);
  baseline.slope =
      std::clamp(baseline.slope + kSlopeGain * gain * error /
                                      std::max(elapsed, kMinSlopeTime).count(),
                 -kMaxSlope, kMaxSlope);
  baseline.peak = std::max(baseline.value,
                           baseline.peak * std::exp(-(elapsed / kPeakTime)));
  baseline.updated = now_;
}

}  // namespace hickoryusher::jobs
