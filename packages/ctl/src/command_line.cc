#include <boost/program_options.hpp>
#include <cstdint>
#include <cstdlib>
#include <fstream>
#include <random>
#include <sstream>
#include <utility>
#include <vector>

#include "ctl/command.h"

namespace hickoryusher::ctl {
namespace {

namespace po = boost::program_options;

constexpr const char* kKeyVariable = "HICKORYUSHER_KEY";

po::options_description Options() {
  po::options_description options("Options");
  options.add_options()("help", "print this text")(
      "url", po::value<std::string>()->default_value("http://127.0.0.1:8080"),
      "address of an entry process")(
      "key-file", po::value<std::string>(),
      "file with the bearer key; otherwise HICKORYUSHER_KEY is read")(
      "output", po::value<std::string>()->default_value("text"),
      "text or json")("timeout-ms",
                      po::value<std::int64_t>()->default_value(15'000),
                      "limit of one request")(
      "base", po::value<std::uint64_t>(),
      "settings set: revision of the path that the change is based on")(
      "change-id", po::value<std::string>(),
      "settings set: id of an earlier try of the same change")(
      "remove", po::bool_switch(), "settings set: remove the value");
  return options;
}

std::string MakeChangeId() {
  std::random_device device;
  std::ostringstream id;
  id << "ctl-" << std::hex;
  for (int i = 0; i < 4; ++i) {
    id << device();
  }
  return id.str();
}

std::string ReadKey(const po::variables_map& values) {
  if (values.count("key-file") == 0) {
    const char* key = std::getenv(kKeyVariable);
    return key == nullptr ? "" : key;
  }
  const auto& path = values["key-file"].as<std::string>();
  std::ifstream file(path);
  std::string key;
  if (!(file >> key)) {
    throw po::error("no key can be read from " + path);
  }
  return key;
}

void ExpectWords(const std::vector<std::string>& words,
                 std::size_t count,
                 std::string_view usage) {
  if (words.size() != count) {
    throw po::error("expected: " + std::string(usage));
  }
}

Command MakeSet(const std::vector<std::string>& words,
                const po::variables_map& values) {
  const bool remove = values["remove"].as<bool>();
  ExpectWords(words, remove ? 3 : 4,
              "settings set PATH VALUE, or settings set PATH --remove");
  SettingsSet set{.path = words[2]};
  if (!remove) {
    set.value = words[3];
  }
  if (values.count("base") > 0) {
    set.base = values["base"].as<std::uint64_t>();
  }
  set.change_id = values.count("change-id") > 0
                      ? values["change-id"].as<std::string>()
                      : MakeChangeId();
  return set;
}

Command MakeCommand(const std::vector<std::string>& words,
                    const po::variables_map& values) {
  if (!words.empty() && words[0] == "why") {
    if (words.size() < 2) {
      throw po::error("expected: why ID [FILE...]");
    }
    return Why{.id = words[1], .files = {words.begin() + 2, words.end()}};
  }
  const std::string verb =
      words.size() > 1 && words[0] == "settings" ? words[1] : "";
  if (verb == "get") {
    ExpectWords(words, 3, "settings get PATH");
    return SettingsGet{words[2]};
  }
  if (verb == "set") {
    return MakeSet(words, values);
  }
  if (verb == "diff") {
    ExpectWords(words, 3, "settings diff FILE");
    return SettingsDiff{words[2]};
  }
  if (verb == "history") {
    ExpectWords(words, 3, "settings history PATH");
    return SettingsHistory{words[2]};
  }
  if (verb == "validate") {
    ExpectWords(words, 4, "settings validate PATH VALUE");
    return SettingsValidate{.path = words[2], .value = words[3]};
  }
  throw po::error(
      "expected: settings get, set, diff, history or validate, or why");
}

Invocation MakeInvocation(const po::variables_map& values) {
  const auto words = values.count("word") > 0
                         ? values["word"].as<std::vector<std::string>>()
                         : std::vector<std::string>();
  const auto& output = values["output"].as<std::string>();
  if (output != "text" && output != "json") {
    throw po::error("--output: expected text or json, found " + output);
  }
  const auto timeout_ms = values["timeout-ms"].as<std::int64_t>();
  if (timeout_ms < 1) {
    throw po::error("--timeout-ms: expected at least 1, found " +
                    std::to_string(timeout_ms));
  }
  return {.command = MakeCommand(words, values),
          .url = values["url"].as<std::string>(),
          .bearer = ReadKey(values),
          .json = output == "json",
          .timeout = std::chrono::milliseconds(timeout_ms)};
}

}  // namespace

std::optional<Invocation> CommandLine::Parse(
    std::span<const std::string> arguments) {
  last_error_.clear();
  po::options_description all = Options();
  all.add_options()("word", po::value<std::vector<std::string>>());
  po::positional_options_description words;
  words.add("word", -1);
  try {
    po::variables_map values;
    po::store(po::command_line_parser(
                  std::vector<std::string>(arguments.begin(), arguments.end()))
                  .options(all)
                  .positional(words)
                  .run(),
              values);
    po::notify(values);
    if (values.count("help") > 0) {
      return std::nullopt;
    }
    return MakeInvocation(values);
  } catch (const po::error& error) {
    last_error_ = error.what();
    return std::nullopt;
  }
}

std::string CommandLine::Help() {
  std::ostringstream text;
  text << "hickoryctl [options] settings get PATH | set PATH VALUE | "
          "set PATH --remove |\n  diff FILE | history PATH | validate PATH "
          "VALUE\n"
          "hickoryctl why ID [FILE...]\n"
          "  tells what the logs in FILE... or standard input say of a job, "
          "task, worker or\n  request, in order of time\n\n"
       << Options()
       << "\nExit codes: 0 ok, 1 refused, 2 bad usage or settings, "
          "3 unreachable, 4 conflict.\n";
  return text.str();
}

}  // namespace hickoryusher::ctl
