#include "request_codec_p.h"

#include <catch2/catch.hpp>

#include "timer_queue_p.h"

namespace hickoryusher::entry {
namespace {

http::IncomingRequest GoodRequest() {
  return {.method = "POST",
          .path = "/v1/services/carnet/requests",
          .headers = {{"Hickoryusher-Class", "batch"},
                      {"Hickoryusher-Deadline-Ms", "2000"},
                      {"Hickoryusher-Repeatable", "no"},
                      {"Hickoryusher-Request-Key", "t1.abc"}}};
}

RequestReader Reader() {
  return RequestReader(std::chrono::seconds(60));
}

// Guards against a correct request that is refused or misread.
TEST_CASE("a correct request is read") {
  const http::IncomingRequest request = GoodRequest();
  RequestReader reader = Reader();
  const auto read = reader.Read(request);
  REQUIRE(read.has_value());
  CHECK(read->service == "carnet");
  CHECK(read->work_class == core::WorkClass::kBatch);
  CHECK(read->time_left == std::chrono::seconds(2));
  CHECK_FALSE(read->idempotent);
  CHECK(read->key.kind == retry::KeyKind::kTicket);
}

// Guards against bad input that is accepted, or refused without its reason.
TEST_CASE("each fault of a request has its status and reason") {
  struct Row {
    std::size_t header;
    std::string value;
    int status;
    std::string_view reason;
  };
  const Row rows[] = {
      {0, "urgent", 400, "bad_class"},
      {0, "", 400, "bad_class"},
      {1, "0", 400, "bad_deadline"},
      {1, "-5", 400, "bad_deadline"},
      {1, "60001", 400, "bad_deadline"},
      {1, "2000x", 400, "bad_deadline"},
      {1, "99999999999999999999", 400, "bad_deadline"},
      {2, "maybe", 400, "bad_repeatable"},
      {3, std::string(129, 'k'), 400, "bad_request_key"},
      {3, "caf\xc3\xa9", 400, "bad_request_key"},
      {3, "two words", 400, "bad_request_key"},
  };
  for (const Row& row : rows) {
    INFO(row.reason << " " << row.value);
    http::IncomingRequest request = GoodRequest();
    request.headers[row.header].value = row.value;
    RequestReader reader = Reader();
    CHECK_FALSE(reader.Read(request).has_value());
    CHECK(reader.last_error().status == row.status);
    CHECK(reader.last_error().reason == row.reason);
  }
}

// Guards against a path that is taken for that of a service.
TEST_CASE("only the path of a service's requests names a service") {
  CHECK(ServiceOfPath("/v1/services/carnet/requests") == "carnet");
  const std::string_view rows[] = {"/v1/services//requests",
                                   "/v1/services/requests",
                                   "/v1/services/a/b/requests",
                                   "/",
                                   "",
                                   "/v1/services/carnet/request"};
  for (const std::string_view row : rows) {
    INFO(row);
    CHECK_FALSE(ServiceOfPath(row).has_value());
  }
}

// Guards against a cancelled timer that fires and a due one that does not.
TEST_CASE("due timers come out once and cancelled ones never") {
  using std::chrono::seconds;
  TimerQueue<int, int> timers;
  const core::TimePoint start(seconds(100));
  timers.Start(1, start + seconds(3), 30);
  timers.Start(2, start + seconds(1), 10);
  timers.Start(3, start + seconds(2), 20);
  timers.Cancel(3);
  std::vector<int> due;
  timers.TakeDue(start + seconds(2), due);
  CHECK(due == std::vector<int>{10});
  timers.TakeDue(start + seconds(9), due);
  CHECK(due == std::vector<int>{10, 30});
  CHECK_FALSE(timers.next().has_value());
}

}  // namespace
}  // namespace hickoryusher::entry
