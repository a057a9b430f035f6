#ifndef ENTRY_TESTS_TEST_DIRECTORY_H_
#define ENTRY_TESTS_TEST_DIRECTORY_H_

#include <string>
#include <string_view>

#include "config/process_settings.h"
#include "directory_p.h"

namespace hickoryusher::entry {

/// Two failure domains with two entry processes each and one service.
struct TestDirectory {
  explicit TestDirectory(std::string_view self = "e0")
      : settings(MakeSettings(self)), directory(settings) {}

  static config::ProcessSettings MakeSettings(std::string_view self) {
    config::ProcessSettings settings;
    settings.entry = self;
    config::ServiceSettings service;
    service.name = "crowd-cast";
    for (int i = 0; i < 4; ++i) {
      const std::string number = std::to_string(i);
      const std::string domain = i < 2 ? "tpe-a" : "tpe-b";
      settings.entries.push_back(
          {.name = "e" + number,
           .vm = "entry-vm" + number,
           .failure_domain = domain,
           .seat = i % 2,
           .address = "127.0.0.1",
           .port = static_cast<std::uint16_t>(18'000 + i)});
      service.endpoints.push_back({.name = "x" + number,
                                   .url = "http://127.0.0.1:1",
                                   .vm = "vm" + number,
                                   .rack = "rack" + std::to_string(i / 2),
                                   .failure_domain = domain});
    }
    settings.services.push_back(service);
    return settings;
  }

  config::ProcessSettings settings;
  Directory directory;
};

}  // namespace hickoryusher::entry

#endif  // ENTRY_TESTS_TEST_DIRECTORY_H_
