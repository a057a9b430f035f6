#include "rpc/codec.h"

#include <catch2/catch.hpp>

namespace hickoryusher::rpc {
namespace {

Dispatcher::Method Doubler() {
  return
      [](const Json::Value& params, Json::Value& result, std::string& error) {
        if (!params["n"].isInt()) {
          error = "n: expected an integer";
          return false;
        }
        result["twice"] = 2 * params["n"].asInt();
        return true;
      };
}

// Guards against a call that does not survive the way there and back.
TEST_CASE("a call reaches its method and the result comes back") {
  Dispatcher dispatcher;
  dispatcher.Add("double", Doubler());
  Json::Value params;
  params["n"] = 21;
  const std::string response = dispatcher.Handle(EncodeCall("double", params));
  Json::Value result;
  std::string error;
  REQUIRE(DecodeResponse(response, result, error));
  CHECK(result["twice"].asInt() == 42);
}

// Guards against input that ends the process or is answered as a success.
TEST_CASE("faulty calls are answered with an error") {
  Dispatcher dispatcher;
  dispatcher.Add("double", Doubler());
  const std::string rows[] = {
      "",
      "{",
      "[]",
      "null",
      "\xff\xfe",
      R"({"jsonrpc":"2.0","id":1,"method":"missing","params":{}})",
      R"({"jsonrpc":"2.0","id":1,"method":"double","params":{"n":"x"}})",
      R"({"jsonrpc":"2.0","id":1,"method":"double"})",
      R"({"jsonrpc":"2.0","id":1,"method":7,"params":{}})",
  };
  for (const std::string& row : rows) {
    INFO(row);
    Json::Value result;
    std::string error;
    CHECK_FALSE(DecodeResponse(dispatcher.Handle(row), result, error));
    CHECK_FALSE(error.empty());
  }
}

// Guards against a response that is cut or foreign and taken for a result.
TEST_CASE("faulty responses are not results") {
  const std::string rows[] = {"",
                              "<html>",
                              "[]",
                              "null",
                              R"({"jsonrpc":"2.0","id":1})",
                              R"({"jsonrpc":"2.0","id":1,"result":{"a":)"};
  for (const std::string& row : rows) {
    INFO(row);
    Json::Value result;
    std::string error;
    CHECK_FALSE(DecodeResponse(row, result, error));
  }
}

}  // namespace
}  // namespace hickoryusher::rpc
