#include "jobs/hand_over.h"

#include <algorithm>
#include <sstream>

namespace hickoryusher::jobs {
namespace {

// The store's limit for the value of a row is 64 KiB.
constexpr std::size_t kMaxRowBytes = 60'000;

// Marks a place whose lease is a usual one.
constexpr std::string_view kUsualLease = "usual";

/// Reads the rest of a line of words.
std::vector<std::string> ReadWords(std::istringstream& line) {
  std::vector<std::string> words;
  for (std::string word; line >> word;) {
    words.push_back(std::move(word));
  }
  return words;
}

std::string ToLine(const HandedOverWorker& worker,
                   std::span<const std::string> tasks) {
  std::string line = worker.id + ' ' + std::to_string(worker.over_ms);
  for (const std::string& task : tasks) {
    line += ' ' + task;
  }
  return line + '\n';
}

}  // namespace

std::vector<std::string> EncodeHandOver(
    Epoch epoch,
    std::span<const HandedOverWorker> workers) {
  const std::string head = std::to_string(epoch) + '\n';
  std::vector<std::string> rows = {head};
  for (const HandedOverWorker& worker : workers) {
    const std::string line = ToLine(worker, worker.tasks);
    if (rows.back().size() + line.size() > kMaxRowBytes) {
      rows.push_back(head);
    }
    rows.back() += line;
  }
  return rows;
}

std::optional<HandOver> DecodeHandOver(std::string_view text) {
  std::istringstream in{std::string(text)};
  HandOver result;
  std::string line;
  if (!std::getline(in, line) || !(std::istringstream(line) >> result.epoch)) {
    return std::nullopt;
  }
  while (std::getline(in, line)) {
    std::istringstream words(line);
    HandedOverWorker worker;
    if (!(words >> worker.id >> worker.over_ms)) {
      return std::nullopt;
    }
    worker.tasks = ReadWords(words);
    result.workers.push_back(std::move(worker));
  }
  return result;
}

std::string EncodePlaces(const Places& places) {
  std::string text = std::to_string(places.epoch) + '\n';
  for (const TaskPlace& place : places.tasks) {
    text += std::to_string(place.task) + ' ' + place.worker;
    if (place.usual_lease) {
      text += ' ' + std::string(kUsualLease);
    }
    text += '\n';
  }
  return text;
}

std::optional<Places> DecodePlaces(std::string_view text) {
  std::istringstream in{std::string(text)};
  Places places;
  std::string line;
  if (!std::getline(in, line) || !(std::istringstream(line) >> places.epoch)) {
    return std::nullopt;
  }
  while (std::getline(in, line)) {
    std::istringstream words(line);
    TaskPlace place;
    if (!(words >> place.task >> place.worker)) {
      return std::nullopt;
    }
    const std::vector<std::string> marks = ReadWords(words);
    place.usual_lease = std::ranges::find(marks, kUsualLease) != marks.end();
    places.tasks.push_back(std::move(place));
  }
  return places;
}

}  // namespace hickoryusher::jobs
