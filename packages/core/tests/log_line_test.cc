#include "core/log_line.h"

#include <catch2/catch.hpp>

namespace hickoryusher::core {
namespace {

// Guards against a caller's text that forges another pair or another line.
TEST_CASE("values that could break the line are quoted") {
  struct Row {
    std::string_view value;
    std::string_view expected;
  };
  const Row rows[] = {
      {"plain", "event=e k=plain"},
      {"", "event=e k=\"\""},
      {"a b", "event=e k=\"a b\""},
      {"x outcome=answered", "event=e k=\"x outcome=answered\""},
      {"a\nevent=b", "event=e k=\"a\\x0aevent=b\""},
      {"say \"hi\"", "event=e k=\"say \\\"hi\\\"\""},
      {"back\\slash", "event=e k=\"back\\\\slash\""},
      {"caf\xc3\xa9", "event=e k=\"caf\\xc3\\xa9\""},
  };
  for (const Row& row : rows) {
    CHECK(LogLine("e").Add("k", row.value).text() == row.expected);
  }
}

// Guards against numbers printed as quoted text or with a locale's separators.
TEST_CASE("numbers and booleans are printed plainly") {
  CHECK(LogLine("e").Add("n", 12000).Add("b", true).Add("d", 0.25).text() ==
        "event=e n=12000 b=true d=0.25");
}

// Guards against a log in which a warning looks like any other line, and
// against readers that no longer find the event first.
TEST_CASE("the level follows the event and is no part of the text") {
  LogLine line("run_lost", LogLevel::kWarning);
  line.Add("level", "forged");
  CHECK(line.TextWithLevel() == "event=run_lost level=warning level=forged");
  CHECK(line.text() == "event=run_lost level=forged");
  CHECK(LogLine("e").TextWithLevel() == "event=e level=info");
  CHECK(LogLine("e", LogLevel::kError).TextWithLevel() ==
        "event=e level=error");
}

}  // namespace
}  // namespace hickoryusher::core
