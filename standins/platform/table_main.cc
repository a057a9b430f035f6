#include <boost/program_options.hpp>
#include <exception>
#include <iostream>

#include "platform/main_support.h"
#include "platform/table_server.h"

namespace po = boost::program_options;
using hickoryusher::standins::TableServer;

int main(int argc, char** argv) {
  TableServer::Options options;
  po::options_description description("Stand-in for the table service");
  description.add_options()("help", "print this text")(
      "port", po::value(&options.port)->default_value(0),
      "port on the loopback interface; 0 for any")(
      "writes-per-second",
      po::value(&options.writes_per_second)->default_value(400),
      "rate limit of transactions")(
      "reads-per-second",
      po::value(&options.reads_per_second)->default_value(2000),
      "rate limit of reads");
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
    TableServer table(options);
    std::cout << "port=" << table.server().port() << std::endl;
    hickoryusher::standins::WaitForStop(signals);
  } catch (const std::exception& error) {
    std::cerr << "table_standin: " << error.what() << '\n';
    return 2;
  }
  return 0;
}
