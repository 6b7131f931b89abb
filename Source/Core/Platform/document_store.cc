#include "Core/Platform/document_store.h"

#include <algorithm>
#include <map>

#include "Core/Document/document_diff.h"

namespace basilvalve::platform {
namespace {

using document::DocumentRecord;

constexpr Seconds kNoLease{0};
// Older versions are pruned from the history after a new one is accepted.
constexpr uint64_t kMaxHistoryVersions = 20;
// Pruning needs a listing, so it runs once per this many versions.
constexpr uint64_t kPruneIntervalVersions = 10;
constexpr int kMaxStoreAttempts = 3;

tl::unexpected<Error> Conflict(const DocumentRecord& current_record,
                               const DocumentChange& rejected_change) {
  std::string message = "version " +
                        std::to_string(current_record.version.value()) +
                        " is current, yours was edited from " +
                        std::to_string(rejected_change.base_version.value());
  for (const std::string& line : document::DiffDocuments(
           current_record.document, rejected_change.document)) {
    message += "\n  " + line;
  }
  return Fail(ResultCode::kVersionConflict, std::move(message));
}

}  // namespace

Result<DocumentStore::CurrentEntry> DocumentStore::ReadCurrent(
    const ServiceName& name) {
  Result<std::optional<StoreEntry>> entry =
      store_->Get(document::CurrentKey(name));
  if (!entry) {
    // A read has no effect, so the change was not run whatever the error.
    return FailAs(entry.error().code, Outcome::kNotRun, entry.error().message);
  }
  CurrentEntry current;
  if (!entry->has_value()) {
    return current;
  }
  current.index = (*entry)->index;
  Result<DocumentRecord> record = document::ParseRecord((*entry)->value);
  if (!record) {
    return tl::make_unexpected(record.error());
  }
  current.record = std::move(*record);
  return current;
}

Result<DocumentRecord> DocumentStore::Apply(const DocumentChange& change) {
  const ServiceName& name = change.document.name;
  Result<CurrentEntry> current = ReadCurrent(name);
  if (!current) {
    return tl::make_unexpected(current.error());
  }
  // The service may have been restored from a backup: this instance's record is
  // the current one if it is newer, and a new version is higher than both.
  document::RecordPtr catalog_record = catalog_->Find(name);
  std::optional<DocumentRecord> newest = current->record;
  if (catalog_record != nullptr &&
      (!newest || newest->version < catalog_record->version)) {
    newest = *catalog_record;
  }
  if (newest && newest->change == change.change) {
    return *newest;
  }
  DocumentVersion newest_version =
      newest ? newest->version : DocumentVersion(0);
  if (change.base_version != newest_version) {
    std::optional<DocumentRecord> accepted = FindAccepted(name, change.change);
    if (accepted) {
      return *accepted;
    }
    if (!newest) {
      return Fail(ResultCode::kUnknownDocument,
                  "there is no document \"" + name.value() + "\"");
    }
    return Conflict(*newest, change);
  }
  DocumentRecord record{DocumentVersion(newest_version.value() + 1),
                        change.change, newest ? newest->change : ChangeId(),
                        change.document};
  Result<void> history_written = WriteHistory(record);
  if (!history_written) {
    return FailAs(history_written.error().code, Outcome::kNotRun,
                  history_written.error().message);
  }
  return Commit(record, current->index);
}

Result<void> DocumentStore::WriteHistory(const DocumentRecord& record) {
  // Written before the current record, so that every accepted version is in the
  // history. Entries of rejected changes are skipped, because History follows
  // parent links from the current record.
  std::string key =
      document::HistoryKey(record.document.name, record.version, record.change);
  std::string text = document::FormatRecord(record);
  Result<SwapReply> reply;
  // The key contains the change id, so a repeated write after a lost reply is
  // idempotent.
  for (int i = 0; i < kMaxStoreAttempts; ++i) {
    reply = store_->CompareAndSwap(key, text, kAbsent, kNoLease);
    if (reply || reply.error().outcome == Outcome::kNotRun) {
      break;
    }
  }
  if (!reply) {
    return tl::make_unexpected(reply.error());
  }
  return {};
}

Result<DocumentRecord> DocumentStore::Commit(const DocumentRecord& record,
                                             StoreIndex expected) {
  Result<SwapReply> reply = store_->CompareAndSwap(
      document::CurrentKey(record.document.name),
      document::FormatRecord(record), expected, kNoLease);
  if (!reply) {
    return ResolveLostReply(record, reply.error());
  }
  if (reply->swapped) {
    PruneHistory(record);
    return record;
  }
  if (FindAccepted(record.document.name, record.change)) {
    return record;
  }
  Result<CurrentEntry> current = ReadCurrent(record.document.name);
  if (current && current->record) {
    return Conflict(
        *current->record,
        {record.document, DocumentVersion(record.version.value() - 1),
         record.change});
  }
  return Fail(ResultCode::kVersionConflict,
              "the document was changed concurrently");
}

Result<DocumentRecord> DocumentStore::ResolveLostReply(
    const DocumentRecord& record, const Error& cause) {
  if (cause.outcome == Outcome::kNotRun) {
    return tl::make_unexpected(cause);
  }
  for (int i = 0; i < kMaxStoreAttempts; ++i) {
    // Another change may have been accepted on top of this one meanwhile, so
    // the complete history is searched.
    if (FindAccepted(record.document.name, record.change)) {
      return record;
    }
  }
  // A write that is not visible yet may still take effect. Repeating the change
  // id later determines the outcome.
  return FailAs(
      ResultCode::kStoreUnavailable, Outcome::kUnknown,
      cause.message +
          "; apply the same change id again to determine the outcome");
}

std::optional<DocumentRecord> DocumentStore::FindAccepted(
    const ServiceName& name, const ChangeId& change) {
  Result<std::vector<DocumentRecord>> chain = History(name);
  if (!chain) {
    return std::nullopt;
  }
  auto it = std::find_if(chain->begin(), chain->end(),
                         [&change](const DocumentRecord& record) {
                           return record.change == change;
                         });
  return it == chain->end() ? std::nullopt : std::make_optional(*it);
}

void DocumentStore::PruneHistory(const DocumentRecord& newest) {
  bool due = newest.version.value() % kPruneIntervalVersions == 0;
  if (!due || newest.version.value() <= kMaxHistoryVersions) {
    return;
  }
  DocumentVersion oldest(newest.version.value() - kMaxHistoryVersions);
  std::string first_kept_key =
      document::HistoryKey(newest.document.name, oldest, ChangeId());
  Result<std::vector<StoreEntry>> entries =
      store_->List(document::HistoryPrefix(newest.document.name));
  if (!entries) {
    return;
  }
  for (const StoreEntry& it : *entries) {
    if (it.key < first_kept_key) {
      (void)store_->Remove(it.key);
    }
  }
}

Result<std::vector<DocumentRecord>> DocumentStore::History(
    const ServiceName& name) {
  Result<std::vector<StoreEntry>> entries =
      store_->List(document::HistoryPrefix(name));
  if (!entries) {
    return tl::make_unexpected(entries.error());
  }
  Result<CurrentEntry> current = ReadCurrent(name);
  if (!current) {
    return tl::make_unexpected(current.error());
  }
  std::map<ChangeId, DocumentRecord> by_change;
  for (const StoreEntry& it : *entries) {
    Result<DocumentRecord> record = document::ParseRecord(it.value);
    if (record) {
      by_change.emplace(record->change, std::move(*record));
    }
  }
  std::vector<DocumentRecord> chain;
  std::optional<DocumentRecord> next = current->record;
  while (next && chain.size() < kMaxHistoryVersions) {
    chain.push_back(*next);
    auto it = by_change.find(next->parent);
    next =
        it == by_change.end() ? std::nullopt : std::make_optional(it->second);
  }
  return chain;
}

Result<void> DocumentStore::Repair(const DocumentRecord& record) {
  Result<CurrentEntry> current = ReadCurrent(record.document.name);
  if (!current) {
    return tl::make_unexpected(current.error());
  }
  if (current->record && current->record->version >= record.version) {
    return {};
  }
  Result<SwapReply> reply = store_->CompareAndSwap(
      document::CurrentKey(record.document.name),
      document::FormatRecord(record), current->index, kNoLease);
  if (!reply) {
    return tl::make_unexpected(reply.error());
  }
  return {};
}

}  // namespace basilvalve::platform
