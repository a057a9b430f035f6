#ifndef MATRIX_REQUEST_RIG_H_
#define MATRIX_REQUEST_RIG_H_

#include <cstdint>
#include <functional>
#include <map>
#include <optional>
#include <set>
#include <span>
#include <string>
#include <string_view>
#include <variant>
#include <vector>

#include "chart/chart.h"
#include "history.h"
#include "injector.h"
#include "retry/key_claims.h"
#include "retry/request_table.h"
#include "retry/ticket_issuer.h"
#include "skewed_clock.h"

namespace hickoryusher::matrix {

/// One entry process with the real request table and key claims, a ticket
/// issuer in another process, and fakes of the store and the endpoints.
class RequestRig {
 public:
  /// @returns the number of kinds of request that a cell is run with.
  static constexpr std::size_t kSetups = 4;

  RequestRig(const chart::Chart& chart, std::size_t setup);

  /// Makes @p event the next event of the request under test.
  /// @returns false if the event cannot be caused here.
  bool Perform(std::string_view event);

  /// @returns the state of the request under test.
  std::string_view State() const;

  void Inject(const Step& step);

  /// Lets the faults end and runs until nothing is left to do.
  /// @returns false if the run did not become quiet.
  bool Finish();

  const Injector& injector() const { return injector_; }
  const History& history() const { return history_; }

 private:
  enum class Stage : std::uint8_t { kConnect, kRun, kFirstByte, kComplete };

  struct Attempt {
    core::RequestId request;
    bool connected = false;
    bool ended = false;
    bool omit_connected = false;  ///< The adapter does not report it.
    bool omit_sent = false;
    bool omit_first_byte = false;
  };

  // Messages under way.
  struct ToTable {
    retry::RequestEvent event;
  };
  struct ToKeys {
    retry::KeyEvent event;
  };
  struct ToStore {
    retry::KeyCommand command;
  };
  struct ToIssuer {
    core::RequestId request;
    retry::TicketEvent event;
  };
  struct AtEndpoint {
    core::AttemptId attempt;
    Stage stage = Stage::kConnect;
  };
  struct ConnectLimit {
    core::AttemptId attempt;
  };
  /// The caller sends its request again after an unknown outcome.
  struct CallerRetry {};
  using Payload = std::variant<ToTable,
                               ToKeys,
                               ToStore,
                               ToIssuer,
                               AtEndpoint,
                               ConnectLimit,
                               CallerRetry>;

  struct Message {
    core::TimePoint due;
    std::uint64_t sequence = 0;
    std::uint64_t run = 0;  ///< Of the process; others are dropped.
    Payload payload;
  };

  /// @returns true if the message goes to the process under test.
  static bool IsInbound(const Payload& payload);
  void Post(Payload payload, core::Duration after = {});
  /// Posts an answer of another process; faults of the network apply.
  /// @returns false if the answer was lost.
  bool PostAnswer(Payload payload, Payload if_lost);
  Message TakeNext();
  bool StepOnce();
  bool ExpireTimer(retry::TimerId id);
  std::optional<retry::StartTimer> NextTimer() const;
  void Process(Message message);

  void On(const ToTable& message);
  void On(const ToKeys& message);
  void On(const ToStore& message);
  void On(const ToIssuer& message);
  void On(const AtEndpoint& message);
  void On(const ConnectLimit& message);
  void On(const CallerRetry& message);

  void Give(const retry::RequestEvent& event);
  void GiveKeys(const retry::KeyEvent& event);

  void Command(const retry::AskAdmission& command);
  void Command(const retry::ClaimKey& command);
  void Command(const retry::VoidKey& command);
  void Command(const retry::StoreKeyOutcome& command);
  void Command(const retry::ChooseEndpoint& command);
  void Command(const retry::StartExchange& command);
  void Command(const retry::CancelExchange& command);
  void Command(const retry::DeliverOutcome& command);
  void Command(const retry::ReleaseEndpoint& command);
  void Command(const retry::StartTimer& command);
  void Command(const retry::CancelTimer& command);
  void Command(const retry::WriteKeys& command);
  void Command(const retry::ReadKeys& command);
  void Command(const retry::KeyAnswer& command);

  retry::KeyEvent Apply(const retry::WriteKeys& command);
  retry::KeyEvent Apply(const retry::ReadKeys& command) const;

  void Start();
  core::RequestId Submit(std::uint64_t operation, std::size_t setup, bool sure);
  void Resubmit();
  void Kill();
  void BreakExchange();
  void HoldKeyElsewhere();
  retry::ClaimId ClaimOf(core::RequestId request) const;
  core::TimePoint ProcessNow() const { return clock_.At(now_); }
  void Note(Record record) { history_.push_back({now_, std::move(record)}); }
  bool RunToEnd();

  const chart::Chart* chart_;
  std::size_t setup_;
  core::TimePoint now_{std::chrono::seconds(100)};
  SkewedClock clock_;
  std::optional<core::TimePoint> skew_ends_;
  Injector injector_;
  History history_;

  std::optional<retry::RequestTable> table_;
  std::optional<retry::KeyClaims> keys_;
  retry::TicketIssuer issuer_;
  retry::Ticket ticket_;
  std::map<retry::KeyName, retry::KeyRow> rows_;
  std::uint64_t row_version_ = 0;

  std::vector<Message> queue_;
  std::uint64_t next_sequence_ = 0;
  std::uint64_t run_ = 1;
  std::vector<retry::RequestEvent> given_;
  std::map<retry::TimerId, retry::StartTimer> timers_;
  std::map<core::AttemptId, Attempt> attempts_;
  std::map<core::RequestId, std::size_t> setup_of_;
  std::set<core::RequestId> waiting_;
  core::RequestId primary_;
  core::TimePoint primary_deadline_;  ///< On the clock of the process.
  std::uint64_t next_request_ = 0;
  std::uint64_t next_attempt_ = 0;
  std::uint64_t next_operation_ = 2;
  std::size_t inbound_count_ = 0;
  std::size_t caller_retries_ = 0;
  bool endpoints_free_ = true;
  bool admission_refuses_ = false;
  bool arbiter_unreachable_ = false;
  bool shutting_down_ = false;
};

}  // namespace hickoryusher::matrix

#endif  // MATRIX_REQUEST_RIG_H_
