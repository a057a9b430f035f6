#ifndef RETRY_KEY_CLAIMS_H_
#define RETRY_KEY_CLAIMS_H_

#include <chrono>
#include <cstdint>
#include <deque>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <variant>
#include <vector>

#include "core/handle.h"
#include "core/ids.h"
#include "core/time.h"
#include "retry/claim_id.h"
#include "retry/types.h"

namespace hickoryusher::retry {

/// Rows written in one transaction at most.
inline constexpr std::size_t kMaxKeysPerTransaction = 64;

using KeyTransactionId = core::Handle<struct KeyTransactionTag, std::uint64_t>;

/// A caller's key, unique within a team's service. The store adapter writes the
/// names behind the handles, because handles differ between processes.
struct KeyName {
  core::TeamId team;
  core::ServiceId service;
  std::string text;

  auto operator<=>(const KeyName&) const = default;
};

/// Version of a row, as the table service numbers it.
using KeyRowVersion = std::uint64_t;

/// What the table service holds for a key.
struct KeyRow {
  ClaimId claim;
  std::optional<StoredOutcome> outcome;
  KeyRowVersion version = 0;
};

// Events.

struct ClaimCallerKey {
  ClaimId claim;
  KeyName key;
  core::TimePoint deadline;
};

/// Reported by the request that holds the key.
struct ReportKeyOutcome {
  ClaimId claim;
  KeyName key;
  StoredOutcome outcome;
};

/// Every row of the transaction was written with this version.
struct KeysWritten {
  KeyTransactionId transaction;
  KeyRowVersion version = 0;
};

/// Nothing was written, because the conditions of some rows did not hold.
struct KeysConflicted {
  KeyTransactionId transaction;
  std::vector<std::size_t> rows;  ///< Indexes in the transaction.
};

/// The answer was lost: the rows may have been written, or may be later.
struct KeysWriteLost {
  KeyTransactionId transaction;
};

/// The write was refused before it could have an effect.
struct KeyStoreDown {
  KeyTransactionId transaction;
};

/// The rows in the order in which they were asked for.
struct KeysRead {
  KeyTransactionId transaction;
  std::vector<std::optional<KeyRow>> rows;
};

struct KeysReadFailed {
  KeyTransactionId transaction;
};

using KeyEvent = std::variant<ClaimCallerKey,
                              ReportKeyOutcome,
                              KeysWritten,
                              KeysConflicted,
                              KeysWriteLost,
                              KeyStoreDown,
                              KeysRead,
                              KeysReadFailed>;

// Commands.

/// Takes effect only if the table has no row for the key.
struct InsertKey {
  KeyName key;
  ClaimId claim;
};

/// Takes effect only if the row still has this version.
struct UpdateKey {
  KeyName key;
  KeyRowVersion version = 0;
  ClaimId claim;  ///< Written again with the outcome.
  StoredOutcome outcome;
};

using KeyWrite = std::variant<InsertKey, UpdateKey>;

/// One transaction: all rows or none. The adapter always answers with one of
/// KeysWritten, KeysConflicted, KeysWriteLost or KeyStoreDown.
struct WriteKeys {
  KeyTransactionId transaction;
  std::vector<KeyWrite> writes;
};

/// Asks what rows hold after a conflict or a lost answer. Answered by KeysRead
/// or KeysReadFailed.
struct ReadKeys {
  KeyTransactionId transaction;
  std::vector<KeyName> keys;
};

enum class KeyVerdict : std::uint8_t {
  kGranted,
  kHeld,        ///< By another claim; its outcome is attached if known.
  kUnresolved,  ///< The caller may repeat the request with the same key.
};

struct KeyAnswer {
  ClaimId claim;
  KeyVerdict verdict = KeyVerdict::kUnresolved;
  Reason reason = Reason::kNone;
  std::optional<StoredOutcome> stored;
  core::Duration retry_after{};
};

using KeyCommand = std::variant<WriteKeys, ReadKeys, KeyAnswer>;

struct KeyClaimsSettings {
  std::size_t max_pending = 1024;       ///< Claims and outcomes each.
  std::size_t max_remembered = 10'000;  ///< Claims granted or given up, each.
  int max_tries = 3;                    ///< Writes of one claim.
  core::Duration retry_after = std::chrono::seconds(1);
};

struct KeyCounters {
  std::uint64_t transactions = 0;
  std::uint64_t unresolved = 0;
  std::uint64_t outcomes_dropped = 0;
  std::uint64_t stale_dropped = 0;  ///< Answers to an earlier transaction.
};

/// Claims callers' own keys in the table service, in groups, with one
/// transaction in flight. Not thread-safe.
///
/// @remarks A claim that was answered with `unresolved` never runs its request.
/// If its row turns up later without an outcome, the next claim of the key
/// through this process takes it over; otherwise the key would stay held.
class KeyClaims {
 public:
  explicit KeyClaims(const KeyClaimsSettings& settings = {})
      : settings_(settings) {}

  /// Handles one event and appends the resulting commands to @p out.
  /// @param now must not go backwards.
  void Handle(const KeyEvent& event,
              core::TimePoint now,
              std::vector<KeyCommand>& out);

  const KeyCounters& counters() const { return counters_; }

 private:
  struct Claim {
    ClaimId claim;
    KeyName key;
    core::TimePoint deadline;
    int tries = 0;
  };

  struct Update {
    ClaimId claim;
    KeyName key;
    KeyRowVersion version = 0;
    StoredOutcome outcome;
    int tries = 0;
  };

  /// Row behind a granted claim; its claim differs after a takeover.
  struct GrantedRow {
    ClaimId claim;
    KeyRowVersion version = 0;
  };

  using Item = std::variant<Claim, Update>;

  enum class Phase : std::uint8_t { kIdle, kWriting, kReading };

  void On(const ClaimCallerKey& event);
  void On(const ReportKeyOutcome& event);
  void On(const KeysWritten& event);
  void On(const KeysConflicted& event);
  void On(const KeysWriteLost& event);
  void On(const KeyStoreDown& event);
  void On(const KeysRead& event);
  void On(const KeysReadFailed& event);

  /// Takes the group out of flight if @p transaction is the current one.
  bool Ends(KeyTransactionId transaction, Phase phase);
  void StartTransaction();
  void FillGroup();
  bool InGroup(const KeyName& key) const;
  void ReadGroup();
  void PutBack(Item& item);
  void Grant(const Claim& claim, const GrantedRow& row);
  void Resolve(Claim& claim, const KeyRow& row);
  void Resolve(Update& update, const KeyRow& row);
  void Repeat(Claim& claim);
  void Repeat(Update& update);
  void GiveUp(const Claim& claim, Reason reason);
  void GiveUpWaiting();
  void Unresolved(const Claim& claim, Reason reason);
  void Abandon(const ClaimId& claim);
  bool TakeOver(const KeyRow& row);
  std::optional<StoredOutcome> OutcomeOf(const KeyName& key,
                                         const KeyRow& row) const;
  void AnswerClaim(KeyAnswer answer);

  KeyClaimsSettings settings_;
  std::deque<Claim> claims_;
  std::deque<Update> updates_;
  std::vector<Item> group_;
  Phase phase_ = Phase::kIdle;
  KeyTransactionId transaction_;
  std::uint64_t next_transaction_ = 0;
  std::set<ClaimId> abandoned_;
  std::deque<ClaimId> abandoned_order_;
  std::map<ClaimId, GrantedRow> granted_;
  KeyCounters counters_;
  bool store_down_ = false;
  core::TimePoint now_;
  std::vector<KeyCommand>* out_ = nullptr;
};

}  // namespace hickoryusher::retry

#endif  // RETRY_KEY_CLAIMS_H_
