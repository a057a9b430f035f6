#include "retry/key_claims.h"

#include <algorithm>
#include <iterator>
#include <utility>

#include "core/overloaded.h"

namespace hickoryusher::retry {

void KeyClaims::Handle(const KeyEvent& event,
                       core::TimePoint now,
                       std::vector<KeyCommand>& out) {
  now_ = now;
  out_ = &out;
  store_down_ = false;
  std::visit([this](const auto& typed) { On(typed); }, event);
  // Outcomes that wait for the store go with the next claim; trying again at
  // once would repeat without pause while the store is down.
  if (phase_ == Phase::kIdle && !store_down_) {
    StartTransaction();
  }
  out_ = nullptr;
}

void KeyClaims::On(const ClaimCallerKey& event) {
  Claim claim{
      .claim = event.claim, .key = event.key, .deadline = event.deadline};
  if (claims_.size() >= settings_.max_pending) {
    Unresolved(claim, Reason::kQueueFull);
    return;
  }
  claims_.push_back(std::move(claim));
}

void KeyClaims::On(const ReportKeyOutcome& event) {
  const auto granted = granted_.extract(event.claim);
  if (granted.empty() || updates_.size() >= settings_.max_pending) {
    ++counters_.outcomes_dropped;
    return;
  }
  updates_.push_back({.claim = granted.mapped().claim,
                      .key = event.key,
                      .version = granted.mapped().version,
                      .outcome = event.outcome});
}

void KeyClaims::On(const KeysWritten& event) {
  if (!Ends(event.transaction, Phase::kWriting)) {
    return;
  }
  for (const Item& item : std::exchange(group_, {})) {
    if (const auto* claim = std::get_if<Claim>(&item)) {
      Grant(*claim, {.claim = claim->claim, .version = event.version});
    }
  }
}

void KeyClaims::On(const KeysConflicted& event) {
  if (!Ends(event.transaction, Phase::kWriting)) {
    return;
  }
  std::vector<Item> group = std::exchange(group_, {});
  // Without a conflicting row the same group would be refused for ever, so all
  // of it is read.
  for (std::size_t i = group.size(); i-- > 0;) {
    if (event.rows.empty() ||
        std::ranges::find(event.rows, i) != event.rows.end()) {
      group_.push_back(std::move(group[i]));
    } else {
      PutBack(group[i]);
    }
  }
  ReadGroup();
}

void KeyClaims::On(const KeysWriteLost& event) {
  if (Ends(event.transaction, Phase::kWriting)) {
    ReadGroup();
  }
}

void KeyClaims::On(const KeyStoreDown& event) {
  if (!Ends(event.transaction, Phase::kWriting)) {
    return;
  }
  store_down_ = true;
  for (Item& item : std::exchange(group_, {})) {
    std::visit(core::Overloaded{
                   [this](Claim& claim) {
                     --claim.tries;
                     GiveUp(claim, Reason::kKeyUnresolved);
                   },
                   [this](Update& u) { updates_.push_back(std::move(u)); }},
               item);
  }
  GiveUpWaiting();
}

void KeyClaims::On(const KeysRead& event) {
  if (event.rows.size() != group_.size()) {
    On(KeysReadFailed{event.transaction});
    return;
  }
  if (!Ends(event.transaction, Phase::kReading)) {
    return;
  }
  std::vector<Item> group = std::exchange(group_, {});
  for (std::size_t i = 0; i < group.size(); ++i) {
    std::visit(
        [&](auto& item) {
          if (event.rows[i].has_value()) {
            Resolve(item, *event.rows[i]);
          } else {
            Repeat(item);
          }
        },
        group[i]);
  }
}

void KeyClaims::On(const KeysReadFailed& event) {
  if (!Ends(event.transaction, Phase::kReading)) {
    return;
  }
  store_down_ = true;
  for (Item& item : std::exchange(group_, {})) {
    std::visit(core::Overloaded{[this](Claim& claim) {
                                  GiveUp(claim, Reason::kKeyUnresolved);
                                },
                                [this](Update& update) { Repeat(update); }},
               item);
  }
  GiveUpWaiting();
}

void KeyClaims::ReadGroup() {
  ReadKeys read{.transaction = transaction_};
  std::ranges::transform(
      group_, std::back_inserter(read.keys), [](const Item& item) {
        return std::visit([](const auto& typed) { return typed.key; }, item);
      });
  phase_ = Phase::kReading;
  out_->emplace_back(std::move(read));
}

void KeyClaims::PutBack(Item& item) {
  std::visit(core::Overloaded{[this](Claim& claim) {
                                --claim.tries;
                                claims_.push_front(std::move(claim));
                              },
                              [this](Update& update) {
                                --update.tries;
                                updates_.push_front(std::move(update));
                              }},
             item);
}

bool KeyClaims::Ends(KeyTransactionId transaction, Phase phase) {
  if (transaction != transaction_ || phase != phase_) {
    ++counters_.stale_dropped;
    return false;
  }
  phase_ = Phase::kIdle;
  return true;
}

void KeyClaims::StartTransaction() {
  FillGroup();
  if (group_.empty()) {
    return;
  }
  transaction_ = KeyTransactionId(next_transaction_++);
  ++counters_.transactions;
  phase_ = Phase::kWriting;
  WriteKeys command{.transaction = transaction_};
  std::ranges::transform(
      group_, std::back_inserter(command.writes), [](Item& item) {
        return std::visit(
            core::Overloaded{[](Claim& claim) -> KeyWrite {
                               ++claim.tries;
                               return InsertKey{.key = claim.key,
                                                .claim = claim.claim};
                             },
                             [](Update& update) -> KeyWrite {
                               ++update.tries;
                               return UpdateKey{.key = update.key,
                                                .version = update.version,
                                                .claim = update.claim,
                                                .outcome = update.outcome};
                             }},
            item);
      });
  out_->emplace_back(std::move(command));
}

void KeyClaims::FillGroup() {
  // A key may occur once in a transaction; its later claims wait.
  std::deque<Claim> later;
  while (!claims_.empty() && group_.size() < kMaxKeysPerTransaction) {
    Claim claim = std::move(claims_.front());
    claims_.pop_front();
    if (InGroup(claim.key)) {
      later.push_back(std::move(claim));
    } else if (claim.deadline <= now_) {
      GiveUp(claim, Reason::kDeadline);
    } else {
      group_.emplace_back(std::move(claim));
    }
  }
  std::ranges::move(claims_, std::back_inserter(later));
  claims_ = std::move(later);
  while (!updates_.empty() && group_.size() < kMaxKeysPerTransaction &&
         !InGroup(updates_.front().key)) {
    group_.emplace_back(std::move(updates_.front()));
    updates_.pop_front();
  }
}

bool KeyClaims::InGroup(const KeyName& key) const {
  return std::ranges::any_of(group_, [&key](const Item& item) {
    return std::visit([&key](const auto& typed) { return typed.key == key; },
                      item);
  });
}

void KeyClaims::Grant(const Claim& claim, const GrantedRow& row) {
  if (claim.deadline <= now_) {
    // The request was delivered at its deadline and will not run.
    Abandon(row.claim);
    Unresolved(claim, Reason::kDeadline);
    return;
  }
  if (granted_.size() >= settings_.max_remembered) {
    // Its outcome will not be stored; the key stays held.
    granted_.erase(granted_.begin());
  }
  granted_[claim.claim] = row;
  AnswerClaim({.claim = claim.claim, .verdict = KeyVerdict::kGranted});
}

void KeyClaims::Resolve(Claim& claim, const KeyRow& row) {
  if (row.claim == claim.claim || TakeOver(row)) {
    Grant(claim, {.claim = row.claim, .version = row.version});
    return;
  }
  AnswerClaim({.claim = claim.claim,
               .verdict = KeyVerdict::kHeld,
               .reason = Reason::kKeyHeld,
               .stored = OutcomeOf(claim.key, row)});
}

void KeyClaims::Resolve(Update& update, const KeyRow& row) {
  if (row.claim != update.claim) {
    ++counters_.outcomes_dropped;
  } else if (!row.outcome.has_value()) {
    update.version = row.version;
    Repeat(update);
  }
}

void KeyClaims::Repeat(Claim& claim) {
  if (claim.tries >= settings_.max_tries) {
    GiveUp(claim, Reason::kKeyUnresolved);
    return;
  }
  // Inserting again with the same claim id is safe: if the lost write lands
  // first, the conflict shows the claim's own row.
  claims_.push_back(std::move(claim));
}

void KeyClaims::Repeat(Update& update) {
  if (update.tries >= settings_.max_tries) {
    ++counters_.outcomes_dropped;
    return;
  }
  updates_.push_back(std::move(update));
}

void KeyClaims::GiveUp(const Claim& claim, Reason reason) {
  // A write whose answer was lost may have taken effect, or still may.
  if (claim.tries > 0) {
    Abandon(claim.claim);
  }
  Unresolved(claim, reason);
}

void KeyClaims::GiveUpWaiting() {
  for (const Claim& claim : std::exchange(claims_, {})) {
    GiveUp(claim, Reason::kKeyUnresolved);
  }
}

void KeyClaims::Unresolved(const Claim& claim, Reason reason) {
  ++counters_.unresolved;
  AnswerClaim({.claim = claim.claim,
               .verdict = KeyVerdict::kUnresolved,
               .reason = reason,
               .retry_after = settings_.retry_after});
}

void KeyClaims::Abandon(const ClaimId& claim) {
  if (abandoned_.size() >= settings_.max_remembered) {
    abandoned_.erase(abandoned_order_.front());
    abandoned_order_.pop_front();
  }
  abandoned_.insert(claim);
  abandoned_order_.push_back(claim);
}

bool KeyClaims::TakeOver(const KeyRow& row) {
  if (row.outcome.has_value() || abandoned_.erase(row.claim) == 0) {
    return false;
  }
  std::erase(abandoned_order_, row.claim);
  return true;
}

std::optional<StoredOutcome> KeyClaims::OutcomeOf(const KeyName& key,
                                                  const KeyRow& row) const {
  if (row.outcome.has_value()) {
    return row.outcome;
  }
  const auto waiting =
      std::ranges::find_if(updates_, [&](const Update& update) {
        return update.claim == row.claim && update.key == key;
      });
  return waiting == updates_.end() ? std::nullopt
                                   : std::optional(waiting->outcome);
}

void KeyClaims::AnswerClaim(KeyAnswer answer) {
  out_->emplace_back(std::move(answer));
}

}  // namespace hickoryusher::retry
