#include "pick_p.h"

#include <algorithm>
#include <utility>

#include "core/overloaded.h"

namespace hickoryusher::routing {
namespace {

/// Visits the indices below a size once each, in an order that differs from
/// call to call: a random start and a random step without common factor.
class Shuffle {
 public:
  Shuffle(std::size_t size, core::Random& random) : size_(size) {
    // Every step is a prime above the largest fleet that is designed for, so
    // it has no common factor with a smaller size.
    static constexpr std::array<std::uint32_t, 16> kSteps = {
        10007, 10009, 10037, 10039, 10061, 10067, 10069, 10079,
        10091, 10093, 10099, 10103, 10111, 10133, 10139, 10141};
    const std::uint64_t bits = random();
    position_ = (bits >> 4) % size;
    step_ = size < kSteps.front() ? kSteps[bits % kSteps.size()] % size : 1;
  }

  std::size_t Next() {
    const std::size_t current = position_;
    position_ += step_;
    if (position_ >= size_) {
      position_ -= size_;
    }
    return current;
  }

 private:
  std::size_t size_;
  std::size_t position_ = 0;
  std::size_t step_ = 0;
};

bool Contains(std::span<const core::RackId> racks, core::RackId rack) {
  return std::ranges::find(racks, rack) != racks.end();
}

bool IsEligible(const PickInput& input, std::uint32_t index) {
  const core::EndpointId id(index);
  const RequestFacts& request = *input.request;
  return input.slots->HasFree(id, request.deadline) &&
         std::ranges::find(request.avoid, id) == request.avoid.end() &&
         !(input.skip_racks &&
           Contains(request.racks_last, input.specs[index].rack));
}

double Load(const PickInput& input, std::uint32_t index) {
  const SlotEntry& entry = input.slots->entry(core::EndpointId(index));
  int share = entry.slots;
  int in_flight = entry.in_flight;
  for (const BorrowedSlots& loan : entry.borrowed) {
    share += loan.slots;
    in_flight += loan.in_flight;
  }
  return static_cast<double>(in_flight + 1) /
         static_cast<double>(std::max(share, 1));
}

/// Factor by which recent failures raise a score; 0.3, the limit for a suspect
/// endpoint, makes it count almost six times.
constexpr double kFailurePenalty = 16;

double Score(const PowerOfTwoChoices& policy,
             const PickInput& input,
             std::uint32_t index) {
  const EndpointHealth& health = input.health[index];
  const double penalty =
      health.health == Health::kSuspect ? policy.suspect_penalty : 1;
  return Load(input, index) * health.ExpectedNanos(input.now) * penalty *
         (1 + kFailurePenalty * health.failures);
}

/// @param visit called with each eligible endpoint until it returns false.
template <typename Visit>
void ForEachEligible(const PickInput& input,
                     core::Random& random,
                     Visit visit) {
  if (input.usable.empty()) {
    return;
  }
  Shuffle shuffle(input.usable.size(), random);
  for (std::size_t i = 0; i < input.usable.size(); ++i) {
    const std::uint32_t index = input.usable[shuffle.Next()];
    if (IsEligible(input, index) && !visit(index)) {
      return;
    }
  }
}

/// A smaller difference between two scores is noise. Following it would leave
/// the endpoint that is slightly slower than all others without requests.
constexpr double kClearlyBetter = 1.25;

void Order(std::array<Candidate, 2>& candidates) {
  if (candidates[1].endpoint.valid() &&
      kClearlyBetter * candidates[1].score < candidates[0].score) {
    std::swap(candidates[0], candidates[1]);
  }
}

}  // namespace

std::array<Candidate, 2> Pick(const Policy& policy,
                              const PickInput& input,
                              core::Random& random) {
  std::array<Candidate, 2> found;
  const auto take = [&](std::size_t place, std::uint32_t index, double score) {
    found[place] = {.endpoint = core::EndpointId(index), .score = score};
  };
  std::visit(core::Overloaded{
                 [&](const PowerOfTwoChoices& choice) {
                   std::size_t count = 0;
                   ForEachEligible(input, random, [&](std::uint32_t index) {
                     take(count, index, Score(choice, input, index));
                     return ++count < found.size();
                   });
                   Order(found);
                 },
                 [&](const LeastLoaded&) {
                   ForEachEligible(input, random, [&](std::uint32_t index) {
                     const double load = Load(input, index);
                     if (!found[0].endpoint.valid() || load < found[0].score) {
                       found[1] = found[0];
                       take(0, index, load);
                     }
                     return true;
                   });
                 },
                 [&](const RandomChoice&) {
                   ForEachEligible(input, random, [&](std::uint32_t index) {
                     take(0, index, 0);
                     return false;
                   });
                 }},
             policy);
  return found;
}

}  // namespace hickoryusher::routing
