#include "retry/request_table.h"

#include "request_fixture.h"

namespace hickoryusher::retry {
namespace {

// Guards against a plain request that is not delivered, or not exactly once.
TEST_CASE("a request is admitted, sent and answered") {
  Fixture fixture;
  const core::RequestId request(7);
  const core::AttemptId attempt(1);
  fixture.Send(RequestArrived{
      .request = request, .deadline = fixture.now + std::chrono::seconds(5)});
  REQUIRE(fixture.Fresh<AskAdmission>().size() == 1);
  fixture.Send(AdmissionGranted{request});
  REQUIRE(fixture.Fresh<ChooseEndpoint>().size() == 1);
  fixture.Send(EndpointChosen{
      .request = request, .attempt = attempt, .endpoint = core::EndpointId(3)});
  const auto started = fixture.Fresh<StartExchange>();
  REQUIRE(started.size() == 1);
  CHECK(started[0].endpoint == core::EndpointId(3));
  fixture.Send(ExchangeConnected{request, attempt});
  fixture.Send(ExchangeSent{request, attempt});
  fixture.Send(ExchangeFirstByte{request, attempt});
  fixture.Send(ExchangeCompleted{request, attempt, 200});
  const auto delivered = fixture.Fresh<DeliverOutcome>();
  REQUIRE(delivered.size() == 1);
  CHECK(delivered[0].outcome == Outcome::kAnswered);
  CHECK(delivered[0].attempt == attempt);
  CHECK(delivered[0].status == 200);
  CHECK(fixture.Fresh<ReleaseEndpoint>().size() == 1);
  CHECK(fixture.table->size() == 0);

  fixture.Send(ExchangeCompleted{request, attempt, 200});
  CHECK(fixture.fresh.empty());
  CHECK(fixture.table->counters().late_dropped == 1);
}

}  // namespace
}  // namespace hickoryusher::retry
