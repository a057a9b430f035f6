#include <catch2/catch.hpp>
#include <map>
#include <vector>

#include "core/overloaded.h"
#include "http/front.h"
#include "http/upstream.h"
#include "runtime/duty_thread.h"
#include "standin/endpoint_standin.h"

namespace hickoryusher::http {
namespace {

using std::chrono::milliseconds;
using Message = std::variant<IncomingRequest, UpstreamEvent>;

/// Smallest router: one ring in, every request to one endpoint.
class ForwardingRouter {
 public:
  ForwardingRouter(runtime::Ring<Message>& inbox, std::string target)
      : inbox_(inbox), target_(std::move(target)) {}

  void Run(Front& front, Upstream& upstream) {
    std::vector<Message> messages;
    while (!inbox_.finished()) {
      messages.clear();
      inbox_.WaitDrain(messages);
      for (Message& message : messages) {
        std::visit(core::Overloaded{
                       [&](IncomingRequest& request) {
                         upstream.TrySend(StartExchange{
                             .id = core::AttemptId(request.id.value()),
                             .url = target_ + request.path,
                             .method = request.method,
                             .headers = std::move(request.headers),
                             .body = std::move(request.body)});
                       },
                       [&](UpstreamEvent& event) { Answer(front, event); },
                   },
                   message);
      }
    }
  }

 private:
  static void Answer(Front& front, UpstreamEvent& event) {
    if (auto* done = std::get_if<Completed>(&event)) {
      front.Respond({.id = core::RequestId(done->id.value()),
                     .status = done->status,
                     .headers = std::move(done->headers),
                     .body = std::move(done->body)});
    } else if (auto* failed = std::get_if<Failed>(&event)) {
      front.Respond({.id = core::RequestId(failed->id.value()),
                     .status = 504,
                     .body = std::string(failed->reason)});
    }
  }

  runtime::Ring<Message>& inbox_;
  std::string target_;
};

// Guards the path that the entry process wires together: caller, front,
// router, upstream, endpoint and back.
TEST_CASE("a request passes through front and upstream to the endpoint") {
  const auto endpoint = standin::EndpointStandIn::Start({});
  REQUIRE(endpoint != nullptr);
  runtime::Ring<Message> inbox(256);
  const auto front = Front::Builder().requests(inbox).Start();
  REQUIRE(front != nullptr);
  const auto upstream = Upstream::Builder().events(inbox).Start();
  REQUIRE(upstream != nullptr);
  ForwardingRouter router(
      inbox, "http://127.0.0.1:" + std::to_string(endpoint->port()));
  runtime::DutyThread thread("router", [&] { router.Run(*front, *upstream); });

  runtime::Ring<UpstreamEvent> answers(8);
  const auto caller = Upstream::Builder().events(answers).Start();
  REQUIRE(caller->TrySend(StartExchange{
      .id = core::AttemptId(1),
      .url = "http://127.0.0.1:" + std::to_string(front->port()) + "/v1/x",
      .method = "POST",
      .headers = {{"Hickoryusher-Request-Key", "k1"}},
      .body = "hello"}));
  std::vector<UpstreamEvent> events;
  while (events.size() < 2) {
    REQUIRE(answers.WaitDrain(events, std::chrono::steady_clock::now() +
                                          milliseconds(10'000)) > 0);
  }
  REQUIRE(std::holds_alternative<Completed>(events[1]));
  const Completed& answer = std::get<Completed>(events[1]);
  CHECK(answer.status == 200);
  CHECK(answer.body == "hello");
  CHECK_FALSE(FindHeader(answer.headers, "Hickoryusher-Request-Id").empty());
  CHECK(endpoint->record().RunsOf("k1") == 1);

  front->StopAccepting();
  CHECK(
      front->WaitIdle(std::chrono::steady_clock::now() + milliseconds(10'000)));
  caller->Shutdown();
  front->Shutdown();
  upstream->Shutdown();
  inbox.Close();
}

}  // namespace
}  // namespace hickoryusher::http
