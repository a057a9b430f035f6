#include <boost/program_options.hpp>
#include <chrono>
#include <exception>
#include <iostream>
#include <memory>
#include <string>
#include <vector>

#include "platform/main_support.h"
#include "runtime/duty_thread.h"
#include "runtime/ring.h"
#include "worker/worker_server.h"

namespace po = boost::program_options;
using hickoryusher::standins::WorkerOptions;
using hickoryusher::standins::WorkerServer;

namespace {

constexpr auto kTick = std::chrono::milliseconds(50);

struct Options {
  std::uint16_t port = 0;
  int count = 1;
  int per_rack = 8;
  std::string name_prefix;
  std::string object_url;
  WorkerOptions worker;
};

std::vector<std::unique_ptr<WorkerServer>> StartWorkers(
    const Options& options) {
  std::vector<std::unique_ptr<WorkerServer>> servers;
  for (int i = 0; i < options.count; ++i) {
    WorkerOptions worker = options.worker;
    worker.name = options.name_prefix + std::to_string(i);
    worker.rack = "rack" + std::to_string(i / options.per_rack);
    const auto port =
        static_cast<std::uint16_t>(options.port == 0 ? 0 : options.port + i);
    servers.push_back(
        std::make_unique<WorkerServer>(port, worker, options.object_url));
    std::cout << "name=" << worker.name << " port=" << servers.back()->port()
              << " rack=" << worker.rack
              << " failure_domain=" << worker.failure_domain << std::endl;
  }
  return servers;
}

}  // namespace

int main(int argc, char** argv) {
  Options options;
  po::options_description description("Stand-in for workers of the fleet");
  auto& capacity = options.worker.capacity;
  description.add_options()("help", "print this text")(
      "port", po::value(&options.port)->default_value(0),
      "port of the first worker on the loopback interface; 0 for any")(
      "count", po::value(&options.count)->default_value(1),
      "number of workers")("name-prefix",
                           po::value(&options.name_prefix)->default_value("w"),
                           "names are the prefix and a number from 0")(
      "per-rack", po::value(&options.per_rack)->default_value(8),
      "workers of one rack")(
      "failure-domain",
      po::value(&options.worker.failure_domain)->default_value("d0"),
      "failure domain")("cpu-millis",
                        po::value(&capacity.cpu_millis)->default_value(32'000),
                        "thousandths of a core of each worker")(
      "memory-bytes",
      po::value(&capacity.memory_bytes)->default_value(125'000'000'000),
      "memory of each worker")("object-url", po::value(&options.object_url),
                               "object store for checkpoints")(
      "accelerators", po::value(&capacity.accelerators)->default_value(0),
      "accelerators of each worker");
  try {
    po::variables_map values;
    po::store(po::parse_command_line(argc, argv, description), values);
    po::notify(values);
    if (values.count("help") > 0) {
      std::cout << description;
      return 0;
    }
    sigset_t signals;
    hickoryusher::standins::BlockStopSignals(signals);
    const auto servers = StartWorkers(options);
    hickoryusher::runtime::Ring<int> stop(1);
    hickoryusher::runtime::DutyThread timers("timers", [&] {
      std::vector<int> ignored;
      while (!stop.finished()) {
        stop.WaitDrain(ignored, std::chrono::steady_clock::now() + kTick);
        for (const auto& server : servers) {
          server->worker().Tick(std::chrono::steady_clock::now());
        }
      }
    });
    hickoryusher::standins::WaitForStop(signals);
    stop.Close();
    timers.Join();
  } catch (const std::exception& error) {
    std::cerr << "worker_standin: " << error.what() << '\n';
    return 2;
  }
  return 0;
}
