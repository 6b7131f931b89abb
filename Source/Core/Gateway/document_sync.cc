#include "Core/Gateway/document_sync.h"

#include <algorithm>
#include <nlohmann/json.hpp>

#include "Core/Common/log.h"
#include "Core/Gateway/cluster_view.h"
#include "Core/Membership/role_assignment.h"

namespace basilvalve::gateway {
namespace {

using document::ApplyResult;
using document::DocumentRecord;
using document::RecordPtr;
using nlohmann::json;

constexpr std::string_view kReaderRole = "store-reader";
constexpr Millis kWatchTimeout{10000};
constexpr Millis kReaderIdlePeriod{500};
constexpr Millis kRepairPeriod{60000};
constexpr Millis kMaxBackoff{5000};
constexpr Millis kMinBackoff{100};
constexpr Millis kExchangeTimeout{2000};
// While a change propagates, catalogs differ for a short time. Differences seen
// within this time of the last change are ignored.
constexpr Millis kReconcileDelay{2000};
constexpr size_t kMaxQueuedPushes = 10000;

json RecordsJson(const std::vector<RecordPtr>& records) {
  json list = json::array();
  for (const RecordPtr& it : records) {
    list.push_back(document::FormatRecord(*it));
  }
  return list;
}

}  // namespace

DocumentSync::DocumentSync(const NodeParts* parts,
                           platform::KeyValueStore* store,
                           PeerCaller* peer_caller)
    : parts_(parts), store_(store), peer_caller_(peer_caller) {}

DocumentSync::~DocumentSync() { Stop(); }

void DocumentSync::Start() {
  reader_thread_ = std::thread([this] { RunReader(); });
  propagation_thread_ = std::thread([this] { RunPropagation(); });
}

void DocumentSync::Stop() {
  {
    std::lock_guard lock(mutex_);
    stopping_ = true;
  }
  wakeup_.notify_all();
  if (reader_thread_.joinable()) {
    reader_thread_.join();
  }
  if (propagation_thread_.joinable()) {
    propagation_thread_.join();
  }
}

bool DocumentSync::IsReader() const {
  return membership::HasRole(parts_->cluster->Live(), parts_->self, kReaderRole,
                             membership::kStoreReadersPerRegion);
}

ApplyResult DocumentSync::ApplyIfNewer(const RecordPtr& record,
                                       bool from_store) {
  ApplyResult result = parts_->catalog->ApplyIfNewer(record);
  if (result != ApplyResult::kApplied) {
    return result;
  }
  last_applied_us_ = parts_->clock->Now().time_since_epoch().count();
  LogEvent(LogLevel::kInfo, "documents", "document_applied")
      .With("service", record->document.name.value())
      .With("version", static_cast<int64_t>(record->version.value()));
  std::vector<membership::MemberInfo> targets =
      membership::RelayTargets(parts_->cluster->Live(), parts_->self,
                               record->document.name.value(), from_store);
  {
    std::lock_guard lock(mutex_);
    for (const membership::MemberInfo& it : targets) {
      // A dropped push is recovered later: the member's document hash differs
      // and causes a reconciliation.
      if (pushes_.size() < kMaxQueuedPushes) {
        pushes_.push_back({it, record});
      }
    }
  }
  wakeup_.notify_all();
  return result;
}

void DocumentSync::OnDocumentsDiffer(const InstanceId& member) {
  Instant changed{Micros(last_applied_us_.load())};
  if (parts_->clock->Now() - changed < kReconcileDelay &&
      !parts_->catalog->Digest().empty()) {
    return;
  }
  {
    std::lock_guard lock(mutex_);
    bool queued =
        std::find(differing_members_.begin(), differing_members_.end(),
                  member) != differing_members_.end();
    if (queued) {
      return;
    }
    differing_members_.push_back(member);
  }
  wakeup_.notify_all();
}

Result<std::string> DocumentSync::ExchangeRecords(const std::string& text) {
  json request = json::parse(text, nullptr, /*allow_exceptions=*/false);
  if (!request.is_object()) {
    return Fail(ResultCode::kDocumentInvalid,
                "document exchange message is not a JSON object");
  }
  for (const json& it : request.value("records", json::array())) {
    Result<DocumentRecord> record =
        document::ParseRecord(it.is_string() ? it.get<std::string>() : "");
    if (!record) {
      return tl::make_unexpected(record.error());
    }
    ApplyIfNewer(std::make_shared<DocumentRecord>(std::move(*record)),
                 /*from_store=*/false);
  }
  std::vector<RecordPtr> newer;
  auto digest = request.find("digest");
  if (digest != request.end() && digest->is_object()) {
    for (const RecordPtr& it : parts_->catalog->All()) {
      uint64_t remote_version =
          digest->value(it->document.name.value(), uint64_t{0});
      if (remote_version < it->version.value()) {
        newer.push_back(it);
      }
    }
  }
  return json{{"records", RecordsJson(newer)}}.dump();
}

void DocumentSync::SendPush(const PendingPush& push) {
  std::string body = json{{"records", RecordsJson({push.record})}}.dump();
  (void)peer_caller_->SendRequest(push.to, peer::Purpose::kSyncDocuments,
                                  RequestId("documents"), body,
                                  kExchangeTimeout);
  parts_->metrics->CountControlBytes(body.size());
}

void DocumentSync::Reconcile(const InstanceId& member) {
  std::optional<membership::MemberInfo> info = parts_->cluster->Find(member);
  if (!info) {
    return;
  }
  json digest = json::object();
  for (const document::DigestEntry& it : parts_->catalog->Digest()) {
    digest[it.name.value()] = it.version.value();
  }
  std::string body = json{{"digest", std::move(digest)}}.dump();
  parts_->metrics->CountControlBytes(body.size());
  Result<std::string> response =
      peer_caller_->SendRequest(*info, peer::Purpose::kSyncDocuments,
                                RequestId("documents"), body, kExchangeTimeout);
  if (response) {
    (void)ExchangeRecords(*response);
  }
}

void DocumentSync::RunPropagation() {
  std::unique_lock lock(mutex_);
  while (!stopping_) {
    wakeup_.wait(lock, [this] {
      return stopping_ || !pushes_.empty() || !differing_members_.empty();
    });
    if (stopping_) {
      return;
    }
    if (!pushes_.empty()) {
      PendingPush push = std::move(pushes_.front());
      pushes_.pop_front();
      lock.unlock();
      SendPush(push);
      lock.lock();
      continue;
    }
    InstanceId member = differing_members_.front();
    lock.unlock();
    Reconcile(member);
    lock.lock();
    differing_members_.pop_front();
  }
}

void DocumentSync::WaitForStop(Millis time) {
  std::unique_lock lock(mutex_);
  wakeup_.wait_for(lock, time, [this] { return stopping_.load(); });
}

void DocumentSync::ApplyEntries(
    const std::vector<platform::StoreEntry>& entries) {
  for (const platform::StoreEntry& it : entries) {
    Result<DocumentRecord> record = document::ParseRecord(it.value);
    if (!record) {
      LogEvent(LogLevel::kError, "documents", "record_parse_failed")
          .With("key", it.key)
          .With("error", record.error().message);
      continue;
    }
    ApplyIfNewer(std::make_shared<DocumentRecord>(std::move(*record)),
                 /*from_store=*/true);
  }
}

void DocumentSync::RepairStore() {
  // After a restore from an older backup the store holds lower versions than
  // the active ones. Writes every newer active version back; a version is never
  // lowered.
  Instant now = parts_->clock->Now();
  if (now < next_repair_) {
    return;
  }
  next_repair_ = now + kRepairPeriod;
  Result<std::vector<platform::StoreEntry>> entries =
      store_->List(document::kCurrentPrefix);
  parts_->metrics->CountStoreCall("list");
  if (!entries) {
    return;
  }
  ApplyEntries(*entries);
  for (const RecordPtr& it : parts_->catalog->All()) {
    std::string key = document::CurrentKey(it->document.name);
    auto entry = std::find_if(
        entries->begin(), entries->end(),
        [&key](const platform::StoreEntry& e) { return e.key == key; });
    Result<DocumentRecord> stored = entry == entries->end()
                                        ? Fail(ResultCode::kUnknownDocument, "")
                                        : document::ParseRecord(entry->value);
    if (!stored || stored->version < it->version) {
      LogEvent(LogLevel::kWarn, "documents", "store_record_outdated")
          .With("service", it->document.name.value());
      (void)parts_->documents->Repair(*it);
    }
  }
}

void DocumentSync::WatchStoreOnce() {
  parts_->metrics->CountStoreCall("watch");
  Millis wait = initial_read_done_ ? kWatchTimeout : Millis(0);
  Result<platform::WatchReply> reply =
      store_->Watch(document::kCurrentPrefix, watch_index_, wait);
  store_reachable_ = reply.has_value();
  if (!reply) {
    ++consecutive_failures_;
    Millis backoff = kMinBackoff * (int64_t{1} << std::min<uint64_t>(
                                        consecutive_failures_, 6));
    WaitForStop(std::min(backoff, kMaxBackoff));
    return;
  }
  consecutive_failures_ = 0;
  if (reply->next < watch_index_) {
    // A lower index means that the store was restored from a backup: compare
    // all documents again.
    next_repair_ = Instant();
    initial_read_done_ = false;
  }
  watch_index_ = reply->next;
  ApplyEntries(reply->changed);
  initial_read_done_ = initial_read_done_ || reply->next.value() > 0;
  if (!initial_read_done_) {
    WaitForStop(kMinBackoff);
  }
  RepairStore();
}

void DocumentSync::RunReader() {
  next_repair_ = parts_->clock->Now() + kRepairPeriod;
  while (!stopping_) {
    bool needed = IsReader() || parts_->catalog->Digest().empty();
    if (needed) {
      WatchStoreOnce();
    } else {
      WaitForStop(kReaderIdlePeriod);
    }
  }
}

}  // namespace basilvalve::gateway
