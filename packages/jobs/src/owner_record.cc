#include "jobs/owner_record.h"

#include <sstream>

namespace hickoryusher::jobs {

std::string EncodeOwnerRecord(const OwnerRecord& owner) {
  return std::to_string(owner.epoch) + ' ' + owner.process + ' ' +
         owner.incarnation + ' ' + std::to_string(owner.cpu_millis) + ' ' +
         std::to_string(owner.term_end_ms) + ' ' +
         std::to_string(owner.earlier_term_end_ms) + ' ' +
         std::to_string(owner.places_since);
}

std::optional<OwnerRecord> DecodeOwnerRecord(std::string_view row) {
  OwnerRecord owner;
  std::istringstream in{std::string(row.substr(0, row.find('\n')))};
  if (!(in >> owner.epoch >> owner.process >> owner.incarnation)) {
    return std::nullopt;
  }
  // Rows written by earlier versions lack these.
  in >> owner.cpu_millis >> owner.term_end_ms >> owner.earlier_term_end_ms >>
      owner.places_since;
  return owner;
}

}  // namespace hickoryusher::jobs
