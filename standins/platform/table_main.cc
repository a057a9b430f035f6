#include <memory>

#include "platform/main_support.h"
#include "platform/table_server.h"

using hickoryusher::standins::TableServer;

int main(int argc, char** argv) {
  namespace po = boost::program_options;
  TableServer::Options options;
  po::options_description description("Stand-in for the table service");
  hickoryusher::standins::AddPortOption(description, options.port);
  description.add_options()(
      "writes-per-second",
      po::value(&options.writes_per_second)->default_value(400),
      "rate limit of transactions")(
      "reads-per-second",
      po::value(&options.reads_per_second)->default_value(2000),
      "rate limit of reads");
  return hickoryusher::standins::RunStandIn(
      argc, argv, "table_standin", description,
      [&options] { return std::make_unique<TableServer>(options); });
}
