#include "jobs/table_follower.h"

#include <algorithm>
#include <iterator>
#include <utility>

#include "core/overloaded.h"

namespace hickoryusher::jobs {
namespace {

// Pause after a refused or unanswered call. A configuration must be in force
// 2 s after it was written, and one unanswered call may take 1.6 s of that.
constexpr core::Duration kRetryPause = std::chrono::milliseconds(100);

}  // namespace

std::optional<StoreCommand> TableFollower::Next(core::TimePoint now) {
  if (call_ || now < not_before_) {
    return std::nullopt;
  }
  call_ = ids_.Next();
  call_sent_ = now;
  call_waits_ = false;
  if (phase_ == Phase::kReading) {
    return ReadRows{.call = *call_,
                    .table = options_.table,
                    .part = options_.part,
                    .from = read_from_};
  }
  call_waits_ = complete_until_ > refresh_until_;
  return FollowRows{.call = *call_,
                    .table = options_.table,
                    .after = version_,
                    .wait = call_waits_ ? options_.wait : core::Duration()};
}

void TableFollower::Refresh(core::TimePoint now) {
  refresh_until_ = std::max(refresh_until_, now);
  if (call_ && call_waits_) {
    call_.reset();
  }
}

std::optional<TableUpdate> TableFollower::Handle(const StoreEvent& event,
                                                 core::TimePoint now) {
  if (!call_ || CallOf(event) != *call_) {
    return std::nullopt;
  }
  call_.reset();
  const auto answered = [&] { last_answer_ = now; };
  return std::visit(
      core::Overloaded{
          [&](const RowsRead& page) {
            answered();
            return HandlePage(page);
          },
          [&](const RowsChanged& change) -> std::optional<TableUpdate> {
            answered();
            version_ = std::max(version_, change.version);
            complete_until_ = call_sent_;
            if (change.rows.empty()) {
              return std::nullopt;
            }
            return TableChanges{.rows = change.rows};
          },
          [&](const HistoryLost&) -> std::optional<TableUpdate> {
            answered();
            Restart();
            return std::nullopt;
          },
          [&](const auto&) -> std::optional<TableUpdate> {
            not_before_ = now + kRetryPause;
            return std::nullopt;
          }},
      event);
}

std::optional<TableUpdate> TableFollower::HandlePage(const RowsRead& page) {
  if (!first_page_version_) {
    first_page_version_ = page.version;
    first_page_sent_ = call_sent_;
  }
  std::ranges::copy(page.rows, std::back_inserter(pages_));
  if (page.more && !page.rows.empty()) {
    // The smallest key that follows the last one of this page.
    read_from_ = page.rows.back().key.key + '\x01';
    if (options_.by_page) {
      return TableChanges{.rows = std::exchange(pages_, {})};
    }
    return std::nullopt;
  }
  version_ = *first_page_version_;
  complete_until_ = first_page_sent_;
  phase_ = Phase::kFollowing;
  return TableSnapshot{.rows = std::exchange(pages_, {})};
}

void TableFollower::Restart() {
  phase_ = Phase::kReading;
  pages_.clear();
  read_from_.clear();
  first_page_version_.reset();
}

core::TimePoint TableFollower::next_timer() const {
  return call_ ? core::TimePoint::max() : not_before_;
}

}  // namespace hickoryusher::jobs
