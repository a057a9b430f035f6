#ifndef MATRIX_LEASE_RIG_H_
#define MATRIX_LEASE_RIG_H_

#include <string_view>

#include "chart/chart.h"
#include "lease_world.h"

namespace hickoryusher::matrix {

/// What both lease rigs share. Setups: whether another process owned the slice
/// before, and whether the links that were cut to reach the state stay cut
/// until the faults end.
class LeaseRig {
 public:
  static constexpr std::size_t kSetups = 4;

  void Inject(const Step& step);
  bool Finish();

  const Injector& injector() const { return world_.injector(); }
  const History& history() const { return world_.history(); }

 protected:
  LeaseRig(const LeaseWorld::Charts& charts, std::size_t setup);

  bool owned_before() const { return setup_ % 2 == 1; }
  bool links_stay_cut() const { return setup_ >= 2; }
  void Heal();

  LeaseWorld world_;

 private:
  std::size_t setup_;
  bool injected_ = false;
};

/// Drives the contact of process 0 with worker 0.
class WorkerLeaseRig : public LeaseRig {
 public:
  WorkerLeaseRig(const chart::Chart& chart, std::size_t setup);

  bool Perform(std::string_view event);
  std::string_view State() const { return world_.WorkerState(); }
};

/// Drives one task of the slice that process 0 owns. Setups: whether an urgent
/// job evicts a task while the fault is active, and whether the job of the task
/// is too large for every worker.
class TaskRig : public LeaseRig {
 public:
  TaskRig(const chart::Chart& chart, std::size_t setup);

  bool Perform(std::string_view event);
  std::string_view State() const { return world_.TaskState(); }
  void Inject(const Step& step);
  bool Finish();

 private:
  std::size_t task_setup_;
  bool urgent_added_ = false;
};

/// Drives process 0's ownership of the slice.
class SliceLeaseRig : public LeaseRig {
 public:
  SliceLeaseRig(const chart::Chart& chart, std::size_t setup);

  bool Perform(std::string_view event);
  std::string_view State() const { return world_.SliceState(); }
};

}  // namespace hickoryusher::matrix

#endif  // MATRIX_LEASE_RIG_H_
