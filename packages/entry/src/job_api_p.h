#ifndef ENTRY_SRC_JOB_API_P_H_
#define ENTRY_SRC_JOB_API_P_H_

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <variant>
#include <vector>

#include "fleet_p.h"
#include "http/message.h"
#include "job_codec_p.h"
#include "store/command.h"
#include "store/event.h"

namespace hickoryusher::entry {

inline constexpr std::string_view kJobsPath = "/v1/jobs";

/// @returns true if the job API answers requests for @p path.
bool IsJobPath(std::string_view path);

/// Answers `/v1/jobs` from the table; needs no ownership of a slice.
///
/// @remarks POST adds the row of the job and that of the open job in one
/// transaction, on condition that the job's row is absent. The owner of the
/// slice finds the job there.
class JobApi {
 public:
  /// @param first_id commands are numbered from here.
  JobApi(const Fleet& fleet, std::uint64_t first_id)
      : fleet_(fleet), next_id_(first_id) {}

  void Handle(const http::IncomingRequest& request, std::int64_t unix_ms);
  void Handle(const store::Event& event);

  std::vector<store::Command> TakeCommands();
  std::vector<http::Response> TakeResponses();

 private:
  struct Inserting {
    JobRecord job;
  };
  /// Reads the row after a conflict or a lost answer.
  struct Comparing {
    JobRecord job;
    bool conflict = false;
  };
  struct Showing {};
  struct Counting {
    JobRecord job;
  };
  struct FindingOpen {};
  struct ReadingOpen {
    JobRecord job;
  };
  struct Cancelling {};
  using Step = std::variant<Inserting,
                            Comparing,
                            Showing,
                            Counting,
                            FindingOpen,
                            ReadingOpen,
                            Cancelling>;
  struct Pending {
    core::RequestId request;
    Step step;
  };

  void Submit(const http::IncomingRequest& request, std::int64_t unix_ms);
  template <typename Command>
  void Issue(core::RequestId request, Command command, Step step);
  void Respond(core::RequestId request, int status, std::string body);
  void Fail(core::RequestId request, const store::Event& event, bool wrote);
  /// @returns the job in the row that was read, after answering if there is
  /// none.
  std::optional<JobRecord> TakeJob(core::RequestId request,
                                   const store::Event& event);

  void Finish(core::RequestId request,
              const Inserting& step,
              const store::Event& event);
  void Finish(core::RequestId request,
              const Comparing& step,
              const store::Event& event);
  void Finish(core::RequestId request,
              const Showing& step,
              const store::Event& event);
  void Finish(core::RequestId request,
              const Counting& step,
              const store::Event& event);
  void Finish(core::RequestId request,
              const FindingOpen& step,
              const store::Event& event);
  void Finish(core::RequestId request,
              const ReadingOpen& step,
              const store::Event& event);
  void Finish(core::RequestId request,
              const Cancelling& step,
              const store::Event& event);

  const Fleet& fleet_;
  std::uint64_t next_id_;
  std::map<store::CommandId, Pending> pending_;
  std::vector<store::Command> commands_;
  std::vector<http::Response> responses_;
};

}  // namespace hickoryusher::entry

#endif  // ENTRY_SRC_JOB_API_P_H_
