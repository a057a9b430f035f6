#ifndef MATRIX_LEASE_RIG_H_
#define MATRIX_LEASE_RIG_H_

#include <string_view>
#include <vector>

#include "chart/chart.h"
#include "lease_world.h"

namespace hickoryusher::matrix {

/// The task under test.
struct TaskSpec {
  core::Resources declared{.cpu_millis = 4000};
  core::Resources use{.cpu_millis = 3000};
};

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
  LeaseRig(const LeaseWorld::Charts& charts,
           std::size_t setup,
           const TaskSpec& task = {});

  bool owned_before() const { return setup_ % 2 == 1; }
  bool links_stay_cut() const { return setup_ >= 2; }
  void Heal();

  LeaseWorld world_;

 private:
  std::size_t setup_;
  bool injected_ = false;
};

/// Drives the contact of process 0 with the worker under test.
class WorkerLeaseRig : public LeaseRig {
 public:
  WorkerLeaseRig(const chart::Chart& chart, std::size_t setup);

  bool Perform(std::string_view event);
  std::string_view State() const { return world_.WorkerState(); }

 private:
  bool& TestedLink() {
    return world_.links.worker_of_0.at(world_.tested().value());
  }
};

/// Drives one task of the slice that process 0 owns; process 1 stands by. A
/// service fills the other worker, so that an urgent job has to evict.
class TaskRig : public LeaseRig {
 public:
  TaskRig(const chart::Chart& chart, std::size_t setup);

  bool Perform(std::string_view event);
  std::string_view State() const { return world_.TaskState(); }
  void Inject(const Step& step);
  bool Finish();

 private:
  void AddService();

  std::size_t task_setup_;
  std::vector<core::TaskId> services_;
  bool injected_task_ = false;
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
