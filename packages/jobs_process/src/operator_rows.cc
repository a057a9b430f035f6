#include <algorithm>
#include <chrono>
#include <memory>
#include <set>
#include <utility>

#include "core/overloaded.h"
#include "operator_rows_p.h"

namespace hickoryusher::jobs_process {
namespace {

// Pause after a full ring. A scheduler round of 300 ms is logged as slow, so a
// full ring usually has room again after a few attempts.
constexpr core::Duration kPublishPause = std::chrono::milliseconds(50);

}  // namespace

bool OperatorRows::Update(const jobs::TableUpdate& update) {
  return std::visit(
      core::Overloaded{[&](const jobs::TableSnapshot& snapshot) {
                         return ApplySnapshot(snapshot);
                       },
                       [&](const jobs::TableChanges& changes) {
                         bool changed = false;
                         for (const jobs::Row& row : changes.rows) {
                           changed |= ApplyRow(row);
                         }
                         return changed;
                       }},
      update);
}

bool OperatorRows::ApplySnapshot(const jobs::TableSnapshot& snapshot) {
  std::set<std::string, std::less<>> present;
  for (const jobs::Row& row : snapshot.rows) {
    if (const auto domain = DomainOf(row); domain && !row.removed) {
      present.emplace(*domain);
    }
  }
  std::vector<std::string> ended;
  std::ranges::set_difference(state_.evacuated, present,
                              std::back_inserter(ended));
  for (const std::string& domain : ended) {
    // The version of the removal is unknown: the last one seen is logged.
    EndEvacuation(domain, versions_.find(domain)->second);
  }
  bool changed = !ended.empty();
  // Versions of an earlier snapshot do not order rows of this one, as the
  // store may have been restored from a backup.
  versions_.clear();
  for (const jobs::Row& row : snapshot.rows) {
    changed |= ApplyRow(row);
  }
  return changed;
}

bool OperatorRows::ApplyRow(const jobs::Row& row) {
  if (const auto domain = DomainOf(row)) {
    return ApplyEvacuation(row, *domain);
  }
  return row.key.key == options_.config_key && !row.removed && ApplyConfig(row);
}

bool OperatorRows::ApplyConfig(const jobs::Row& row) {
  auto config = options_.read_config(row.value);
  if (!config) {
    options_.log(core::LogLine("config_unreadable", core::LogLevel::kError)
                     .Add("row_version", row.version));
    return false;
  }
  if (state_.config != nullptr &&
      config->version() <= state_.config->version()) {
    return false;
  }
  state_.config = std::make_shared<const jobs::QueueConfig>(*std::move(config));
  options_.log(core::LogLine("config_applied")
                   .Add("version", state_.config->version())
                   .Add("queues", state_.config->queues().size()));
  return true;
}

bool OperatorRows::ApplyEvacuation(const jobs::Row& row,
                                   std::string_view domain) {
  const auto known = versions_.find(domain);
  // Changes are followed from the first page of a snapshot on, so they may
  // report a removal that precedes the row of a later page.
  if (known != versions_.end() && row.version < known->second) {
    return false;
  }
  if (row.removed) {
    if (!state_.evacuated.contains(domain)) {
      return false;
    }
    EndEvacuation(domain, row.version);
    return true;
  }
  versions_.insert_or_assign(std::string(domain), row.version);
  if (!state_.evacuated.emplace(domain).second) {
    return false;
  }
  options_.log(
      core::LogLine("evacuation_requested")
          .Add("failure_domain", domain)
          .Add("row_version", row.version)
          .Add("known", std::ranges::find(options_.failure_domains, domain) !=
                            options_.failure_domains.end()));
  return true;
}

void OperatorRows::EndEvacuation(std::string_view domain,
                                 jobs::RowVersion version) {
  options_.log(core::LogLine("evacuation_ended")
                   .Add("failure_domain", domain)
                   .Add("row_version", version));
  state_.evacuated.erase(state_.evacuated.find(domain));
  versions_.erase(versions_.find(domain));
}

std::optional<std::string_view> OperatorRows::DomainOf(
    const jobs::Row& row) const {
  const std::string_view key = row.key.key;
  if (!key.starts_with(options_.evacuation_prefix)) {
    return std::nullopt;
  }
  return key.substr(options_.evacuation_prefix.size());
}

void StatePublisher::Run(core::TimePoint now) {
  if (!pending_ || now < not_before_) {
    return;
  }
  if (publish_(*pending_)) {
    pending_.reset();
    not_before_ = {};
  } else {
    not_before_ = now + kPublishPause;
  }
}

core::TimePoint StatePublisher::next_timer() const {
  return pending_ ? not_before_ : core::TimePoint::max();
}

}  // namespace hickoryusher::jobs_process
