#ifndef ENTRY_SRC_KEY_STORE_P_H_
#define ENTRY_SRC_KEY_STORE_P_H_

#include <map>
#include <optional>
#include <span>
#include <string>
#include <variant>
#include <vector>

#include "directory_p.h"
#include "retry/key_claims.h"
#include "store/command.h"
#include "store/event.h"

namespace hickoryusher::entry {

/// Translates key claims into transactions of the table service and back.
///
/// @remarks Rows are `key/<service>/<key>`.
class KeyStore {
 public:
  explicit KeyStore(const Directory& directory) : directory_(directory) {}

  /// Appends the store commands for @p command to @p out.
  void Write(const retry::WriteKeys& command, std::vector<store::Command>& out);
  void Read(const retry::ReadKeys& command, std::vector<store::Command>& out);

  /// @returns the event for the claims when @p event completes a command.
  std::optional<retry::KeyEvent> Handle(const store::Event& event);

 private:
  struct Reading {
    std::size_t remaining = 0;
    std::vector<std::optional<retry::KeyRow>> rows;
    bool failed = false;
  };

  store::CommandId NextId();
  std::string RowKey(const retry::KeyName& key) const;
  std::optional<retry::KeyEvent> FinishWrite(const store::Event& event) const;
  std::optional<retry::KeyEvent> TakeRow(std::size_t index,
                                         const store::Event& event);

  const Directory& directory_;
  std::uint64_t next_id_ = 0;
  retry::KeyTransactionId transaction_;
  store::CommandId write_id_;
  std::vector<std::string> written_;
  std::map<store::CommandId, std::size_t> read_index_;
  Reading reading_;
};

}  // namespace hickoryusher::entry

#endif  // ENTRY_SRC_KEY_STORE_P_H_
