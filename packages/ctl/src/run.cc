#include "ctl/run.h"

#include <json/json.h>

#include <fstream>
#include <iostream>
#include <map>
#include <memory>
#include <sstream>
#include <utility>

#include "core/overloaded.h"
#include "ctl/log_reader.h"
#include "ctl/story.h"

namespace hickoryusher::ctl {
namespace {

// A change without a response is sent again with its id this often.
constexpr int kSetTries = 3;

std::string WriteJson(const Json::Value& value) {
  Json::StreamWriterBuilder builder;
  builder["indentation"] = "";
  builder["emitUTF8"] = true;
  return Json::writeString(builder, value);
}

std::optional<Json::Value> ParseJson(std::string_view text) {
  Json::CharReaderBuilder builder;
  builder["failIfExtra"] = true;
  const std::unique_ptr<Json::CharReader> reader(builder.newCharReader());
  Json::Value value;
  if (!reader->parse(text.data(), text.data() + text.size(), &value, nullptr)) {
    return std::nullopt;
  }
  return value;
}

/// @returns @p text as JSON, or as a plain text if it is not JSON.
Json::Value ParseValue(const std::string& text) {
  return ParseJson(text).value_or(Json::Value(text));
}

/// Percent-encodes a path for a query; paths hold no other reserved character.
std::string Query(std::string_view path) {
  static constexpr std::string_view kHex = "0123456789ABCDEF";
  std::string escaped;
  for (const char c : path) {
    const auto byte = static_cast<unsigned char>(c);
    const bool plain = (c >= 'a' && c <= 'z') || (c >= 'A' && c <= 'Z') ||
                       (c >= '0' && c <= '9') || c == '/' || c == '_' ||
                       c == '-' || c == '.';
    if (plain) {
      escaped += c;
    } else {
      escaped += {'%', kHex[byte >> 4U], kHex[byte & 15U]};
    }
  }
  return escaped;
}

/// Runs the commands; every function returns the exit code.
class Runner {
 public:
  Runner(const Invocation& invocation,
         const Exchange& exchange,
         std::ostream& out,
         std::ostream& err)
      : invocation_(invocation), exchange_(exchange), out_(out), err_(err) {}

  ExitCode operator()(const SettingsGet& c) {
    return Print({.path = "/v1/settings?path=" + Query(c.path)}, "entries");
  }

  ExitCode operator()(const SettingsHistory& c) {
    return Print({.path = "/v1/settings/history?path=" + Query(c.path)},
                 "changes");
  }

  ExitCode operator()(const SettingsValidate& c) {
    Json::Value body;
    body["path"] = c.path;
    body["value"] = ParseValue(c.value);
    return Print({.path = "/v1/settings/validate", .body = WriteJson(body)},
                 "mistakes");
  }

  ExitCode operator()(const SettingsSet& c) {
    Json::Value body;
    body["id"] = c.change_id;
    body["path"] = c.path;
    if (c.value) {
      body["value"] = ParseValue(*c.value);
    }
    if (c.base) {
      body["base"] = Json::UInt64(*c.base);
    } else {
      const ExitCode code = ReadBase(c.path, body);
      if (code != kExitOk) {
        return code;
      }
    }
    return SendChange(body);
  }

  ExitCode operator()(const Why& c) {
    Story story(c.id);
    if (c.files.empty()) {
      ReadLog(std::cin, "-", story);
    }
    for (const std::string& name : c.files) {
      std::ifstream file(name);
      if (!file) {
        err_ << name << ": cannot be read\n";
        return kExitUsage;
      }
      ReadLog(file, name, story);
    }
    if (!story.Print(out_)) {
      err_ << "no log line names " << c.id << '\n';
      return kExitRefused;
    }
    return kExitOk;
  }

  ExitCode operator()(const SettingsDiff& c) {
    std::ifstream file(c.file);
    std::ostringstream text;
    text << file.rdbuf();
    const std::optional<Json::Value> wanted = ParseJson(text.str());
    if (!wanted || !wanted->isObject()) {
      err_ << c.file << ": expected a JSON object of paths and values\n";
      return kExitUsage;
    }
    return Ask({.path = "/v1/settings?path=/"}, [&](const Json::Value& body) {
      PrintDiff(*wanted, body["entries"]);
      return kExitOk;
    });
  }

 private:
  using OnOk = std::function<ExitCode(const Json::Value&)>;

  void ReadLog(std::istream& in, const std::string& name, Story& story) {
    std::size_t others = 0;
    for (std::string line; std::getline(in, line);) {
      std::optional<LogEntry> entry = ParseLogLine(line);
      if (!entry) {
        ++others;
        continue;
      }
      if (entry->source.empty()) {
        entry->source = name;
      }
      story.Take(*std::move(entry));
    }
    if (others > 0) {
      err_ << name << ": " << others << " lines have no time and event\n";
    }
  }

  ExitCode Ask(const HttpRequest& request, const OnOk& on_ok) {
    return Interpret(exchange_(request), on_ok);
  }

  ExitCode Interpret(const HttpResult& result, const OnOk& on_ok) {
    return std::visit(
        core::Overloaded{
            [&](const HttpResponse& r) { return InterpretStatus(r, on_ok); },
            [&](const NotConnected& r) {
              err_ << invocation_.url << ": " << r.reason << '\n';
              return kExitUnreachable;
            },
            [&](const NoResponse& r) {
              err_ << invocation_.url << ": no response: " << r.reason << '\n';
              return kExitUnreachable;
            }},
        result);
  }

  ExitCode InterpretStatus(const HttpResponse& response, const OnOk& on_ok) {
    const std::optional<Json::Value> body = ParseJson(response.body);
    if (!body || !body->isObject()) {
      err_ << "status " << response.status << ": the response is not JSON\n";
      return response.status == 200 ? kExitUnreachable : kExitRefused;
    }
    switch (response.status) {
      case 200:
        return on_ok(*body);
      case 409:
        err_ << "conflict: the path was changed in revision "
             << (*body)["lost_to"].asString() << '\n';
        return kExitConflict;
      case 422:
        PrintMistakes((*body)["mistakes"]);
        return kExitUsage;
      case 503:
      case 504:
        err_ << "status " << response.status << ": "
             << (*body)["outcome"].asString() << '\n';
        return kExitUnreachable;
      default:
        err_ << "refused with status " << response.status << ": "
             << (*body)["reason"].asString() << '\n';
        return kExitRefused;
    }
  }

  ExitCode Print(const HttpRequest& request, const char* list) {
    return Ask(request, [&](const Json::Value& body) {
      if (invocation_.json) {
        out_ << WriteJson(body) << '\n';
        return kExitOk;
      }
      for (const Json::Value& entry : body[list]) {
        out_ << entry["path"].asString() << " = "
             << (entry.isMember("value") ? WriteJson(entry["value"])
                                         : "(removed)")
             << "  revision=" << entry["revision"].asString() << '\n';
      }
      return kExitOk;
    });
  }

  void PrintMistakes(const Json::Value& mistakes) {
    for (const Json::Value& mistake : mistakes) {
      err_ << mistake["path"].asString() << ": expected "
           << mistake["expected"].asString() << ", found "
           << mistake["found"].asString() << '\n';
    }
  }

  void PrintDiff(const Json::Value& wanted, const Json::Value& entries) {
    std::map<std::string, std::pair<std::string, std::string>> both;
    for (const Json::Value& entry : entries) {
      if (entry.isMember("value")) {
        both[entry["path"].asString()].first = WriteJson(entry["value"]);
      }
    }
    for (const std::string& path : wanted.getMemberNames()) {
      both[path].second = WriteJson(wanted[path]);
    }
    for (const auto& [path, values] : both) {
      // A path that the file does not name is no difference.
      if (!values.second.empty() && values.first != values.second) {
        out_ << path << ": " << (values.first.empty() ? "none" : values.first)
             << " -> " << values.second << '\n';
      }
    }
  }

  /// Fills in the present revision of the path.
  ExitCode ReadBase(const std::string& path, Json::Value& change) {
    return Ask({.path = "/v1/settings/revision?path=" + Query(path)},
               [&](const Json::Value& body) {
                 change["base"] = body["revision"];
                 return kExitOk;
               });
  }

  ExitCode SendChange(Json::Value& change) {
    for (int attempt = 1;; ++attempt) {
      const HttpResult result = exchange_(
          {.path = "/v1/settings/changes", .body = WriteJson(change)});
      const auto* response = std::get_if<HttpResponse>(&result);
      const bool unknown = std::holds_alternative<NoResponse>(result) ||
                           (response != nullptr && response->status == 504);
      if (!unknown) {
        return Interpret(result, [&](const Json::Value& body) {
          out_ << "accepted  revision=" << body["revision"].asString() << '\n';
          return kExitOk;
        });
      }
      if (attempt == kSetTries) {
        err_ << "the change may have been written; run again with --change-id "
             << change["id"].asString() << " --base "
             << change["base"].asString() << '\n';
        return kExitUnreachable;
      }
      change["resubmitted"] = true;
    }
  }

  const Invocation& invocation_;
  const Exchange& exchange_;
  std::ostream& out_;
  std::ostream& err_;
};

}  // namespace

ExitCode Run(const Invocation& invocation,
             const Exchange& exchange,
             std::ostream& out,
             std::ostream& err) {
  try {
    return std::visit(Runner(invocation, exchange, out, err),
                      invocation.command);
  } catch (const Json::Exception& error) {
    err << "the response is not as expected: " << error.what() << '\n';
    return kExitUnreachable;
  }
}

}  // namespace hickoryusher::ctl
