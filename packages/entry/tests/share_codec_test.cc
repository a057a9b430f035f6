#include "share_codec_p.h"

#include <catch2/catch.hpp>

#include "key_codec_p.h"
#include "test_directory.h"

namespace hickoryusher::entry {
namespace {

// Guards against a message that another process reads differently.
TEST_CASE("every share message survives the way to another process") {
  const TestDirectory sender("e0");
  const TestDirectory receiver("e2");
  VmTable sender_vms;
  VmTable receiver_vms;
  receiver_vms.Intern("some other vm");
  const routing::ShareMessage messages[] = {
      routing::Hello{},
      routing::ShareAsk{.share = routing::SeatId(1), .round = 4},
      routing::SharePermit{.share = routing::SeatId(1), .round = 4},
      routing::SharesReleased{},
      routing::LoanAsk{.loan = routing::LoanId(9),
                       .endpoint = core::EndpointId(2),
                       .slots = 3},
      routing::LoanGrant{.loan = routing::LoanId(9),
                         .endpoint = core::EndpointId(2),
                         .slots = 3,
                         .duration = std::chrono::seconds(5)}};
  for (const routing::ShareMessage& message : messages) {
    const routing::ShareEnvelope envelope{
        .from = {.address = {.domain = sender.directory.own_domain(),
                             .seat = routing::SeatId(0)},
                 .incarnation = core::Incarnation(77),
                 .vm = sender_vms.Intern("entry-vm0")},
        .to = {.domain = sender.directory.FindDomain("tpe-b"),
               .seat = routing::SeatId(0)},
        .to_incarnation = core::Incarnation(78),
        .message = message};
    const Json::Value value = ParseJson(
        WriteJson(EncodeEnvelope(envelope, sender.directory, sender_vms)));
    const auto read = DecodeEnvelope(value, receiver.directory, receiver_vms);
    REQUIRE(read.has_value());
    CHECK(receiver_vms.Name(read->from.vm) == "entry-vm0");
    CHECK(read->from.incarnation == core::Incarnation(77));
    CHECK(read->to_incarnation == core::Incarnation(78));
    CHECK(receiver.directory.DomainName(read->to.domain) == "tpe-b");
    REQUIRE(read->message.index() == message.index());
    if (const auto* grant = std::get_if<routing::LoanGrant>(&read->message)) {
      CHECK(grant->duration == std::chrono::seconds(5));
      CHECK(receiver.directory.endpoint(grant->endpoint).name == "x2");
    }
  }
}

// Guards against a malformed message that changes who holds slots.
TEST_CASE("malformed share messages are refused") {
  const TestDirectory test;
  VmTable vms;
  const std::string rows[] = {
      "{}",
      R"({"from":{"domain":"tpe-a","seat":0},"incarnation":1,"vm":"v"})",
      R"({"from":{"domain":"tpe-a","seat":9},"incarnation":1,"vm":"v",
          "to":{"domain":"tpe-a","seat":0},"message":{"kind":"hello"}})",
      R"({"from":{"domain":"tpe-a","seat":0},"incarnation":1,"vm":"v",
          "to":{"domain":"tpe-a","seat":1},"message":{"kind":"steal"}})",
      R"({"from":{"domain":"tpe-a","seat":0},"incarnation":-1,"vm":"v",
          "to":{"domain":"tpe-a","seat":1},"message":{"kind":"hello"}})",
      R"({"from":{"domain":"tpe-a","seat":0},"incarnation":1,"vm":"v",
          "to":{"domain":"tpe-a","seat":1},
          "message":{"kind":"loan_ask","loan":1,"endpoint":"x9","slots":1}})"};
  for (const std::string& row : rows) {
    INFO(row);
    CHECK_FALSE(
        DecodeEnvelope(ParseJson(row), test.directory, vms).has_value());
  }
}

}  // namespace
}  // namespace hickoryusher::entry
