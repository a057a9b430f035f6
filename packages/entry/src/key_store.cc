#include "key_store_p.h"

#include <algorithm>
#include <iterator>
#include <utility>

#include "core/overloaded.h"
#include "key_codec_p.h"

namespace hickoryusher::entry {

void KeyStore::Write(const retry::WriteKeys& command,
                     std::vector<store::Command>& out) {
  store::Transact transact{.id = NextId()};
  transaction_ = command.transaction;
  write_id_ = transact.id;
  written_.clear();
  const auto add = [&](const retry::KeyName& name, store::RowVersion version,
                       const retry::KeyRow& row) {
    const std::string key = RowKey(name);
    transact.conditions.push_back({.key = key, .version = version});
    transact.puts.push_back(
        {.key = key, .value = EncodeKeyRow(row, directory_)});
    written_.push_back(key);
  };
  for (const retry::KeyWrite& write : command.writes) {
    std::visit(core::Overloaded{[&](const retry::InsertKey& w) {
                                  add(w.key, store::kAbsent,
                                      {.claim = w.claim});
                                },
                                [&](const retry::UpdateKey& w) {
                                  add(w.key, w.version,
                                      {.claim = w.claim, .outcome = w.outcome});
                                }},
               write);
  }
  out.emplace_back(std::move(transact));
}

void KeyStore::Read(const retry::ReadKeys& command,
                    std::vector<store::Command>& out) {
  transaction_ = command.transaction;
  read_index_.clear();
  reading_ = {.remaining = command.keys.size()};
  reading_.rows.resize(command.keys.size());
  for (std::size_t i = 0; i < command.keys.size(); ++i) {
    const store::CommandId id = NextId();
    read_index_.emplace(id, i);
    out.emplace_back(store::ReadRow{.id = id, .key = RowKey(command.keys[i])});
  }
}

std::optional<retry::KeyEvent> KeyStore::Handle(const store::Event& event) {
  const store::CommandId id = store::IdOf(event);
  if (const auto found = read_index_.extract(id); !found.empty()) {
    return TakeRow(found.mapped(), event);
  }
  return id == write_id_ ? FinishWrite(event) : std::nullopt;
}

store::CommandId KeyStore::NextId() {
  return store::CommandId(++next_id_);
}

std::string KeyStore::RowKey(const retry::KeyName& key) const {
  return "key/" + std::string(directory_.ServiceName(key.service)) + "/" +
         key.text;
}

std::optional<retry::KeyEvent> KeyStore::FinishWrite(
    const store::Event& event) const {
  const auto conflict = [this](const store::Conflicted& conflicted) {
    retry::KeysConflicted result{.transaction = transaction_};
    for (const store::KeyVersion& present : conflicted.present) {
      const auto found = std::ranges::find(written_, present.key);
      if (found != written_.end()) {
        result.rows.push_back(
            static_cast<std::size_t>(found - written_.begin()));
      }
    }
    return result;
  };
  return std::visit(
      core::Overloaded{
          [this](const store::Committed& e) -> retry::KeyEvent {
            return retry::KeysWritten{.transaction = transaction_,
                                      .version = e.version};
          },
          [&](const store::Conflicted& e) -> retry::KeyEvent {
            return conflict(e);
          },
          [this](const store::TimedOut&) -> retry::KeyEvent {
            return retry::KeysWriteLost{.transaction = transaction_};
          },
          [this](const auto&) -> retry::KeyEvent {
            return retry::KeyStoreDown{.transaction = transaction_};
          }},
      event);
}

std::optional<retry::KeyEvent> KeyStore::TakeRow(std::size_t index,
                                                 const store::Event& event) {
  const auto* read = std::get_if<store::RowRead>(&event);
  reading_.failed = reading_.failed || read == nullptr;
  if (read != nullptr && read->row) {
    reading_.rows[index] = DecodeKeyRow(read->row->value, directory_);
    if (reading_.rows[index]) {
      reading_.rows[index]->version = read->row->version;
    }
    // A row that cannot be decoded still holds the key.
    reading_.failed = reading_.failed || !reading_.rows[index];
  }
  if (--reading_.remaining > 0) {
    return std::nullopt;
  }
  if (reading_.failed) {
    return retry::KeysReadFailed{.transaction = transaction_};
  }
  return retry::KeysRead{.transaction = transaction_,
                         .rows = std::move(reading_.rows)};
}

}  // namespace hickoryusher::entry
