#include "Core/Gateway/document_sync.h"

#include <algorithm>
#include <nlohmann/json.hpp>

#include "Core/Common/log.h"
#include "Core/Gateway/cluster_view.h"
#include "Core/Membership/role_assignment.h"

namespace basilvalve::gateway {
namespace {

using document::DocumentRecord;
using document::OfferResult;
using document::RecordPtr;
using nlohmann::json;

constexpr std::string_view kReaderDuty = "store-reader";
constexpr Millis kWatchWait{10000};
constexpr Millis kIdleReader{500};
constexpr Millis kRepairPeriod{60000};
constexpr Millis kMaxBackoff{5000};
constexpr Millis kMinBackoff{100};
constexpr Millis kExchangeLimit{2000};
// A change on its way to everyone makes catalogs differ for a moment; only a
// difference that outlasts it is settled.
constexpr Millis kSettle{2000};
constexpr size_t kMaxPushes = 10000;

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
  reader_ = std::thread([this] { RunReader(); });
  spreader_ = std::thread([this] { RunSpreader(); });
}

void DocumentSync::Stop() {
  {
    std::lock_guard lock(mutex_);
    stopping_ = true;
  }
  changed_.notify_all();
  if (reader_.joinable()) {
    reader_.join();
  }
  if (spreader_.joinable()) {
    spreader_.join();
  }
}

bool DocumentSync::IsReader() const {
  return membership::HasRole(parts_->cluster->Live(), parts_->self, kReaderDuty,
                             membership::kStoreReadersPerRegion);
}

OfferResult DocumentSync::Offer(const RecordPtr& record, bool is_reader) {
  OfferResult result = parts_->catalog->Offer(record);
  if (result != OfferResult::kApplied) {
    return result;
  }
  last_change_us_ = parts_->clock->Now().time_since_epoch().count();
  LogEvent(LogLevel::kInfo, "documents", "in_force")
      .With("service", record->document.name.value())
      .With("version", static_cast<int64_t>(record->version.value()));
  std::vector<membership::MemberInfo> targets =
      membership::RelayTargets(parts_->cluster->Live(), parts_->self,
                               record->document.name.value(), is_reader);
  {
    std::lock_guard lock(mutex_);
    for (const membership::MemberInfo& it : targets) {
      // A lost push is made good by the next difference that a member's hash
      // shows.
      if (pushes_.size() < kMaxPushes) {
        pushes_.push_back({it, record});
      }
    }
  }
  changed_.notify_all();
  return result;
}

void DocumentSync::OnDifference(const InstanceId& member) {
  Instant changed{Micros(last_change_us_.load())};
  if (parts_->clock->Now() - changed < kSettle &&
      !parts_->catalog->Digest().empty()) {
    return;
  }
  {
    std::lock_guard lock(mutex_);
    bool queued = std::find(differences_.begin(), differences_.end(), member) !=
                  differences_.end();
    if (queued) {
      return;
    }
    differences_.push_back(member);
  }
  changed_.notify_all();
}

Result<std::string> DocumentSync::Exchange(const std::string& text) {
  json request = json::parse(text, nullptr, /*allow_exceptions=*/false);
  if (!request.is_object()) {
    return Fail(ResultCode::kDocumentInvalid, "not a document exchange");
  }
  for (const json& it : request.value("records", json::array())) {
    Result<DocumentRecord> record =
        document::ParseRecord(it.is_string() ? it.get<std::string>() : "");
    if (!record) {
      return tl::make_unexpected(record.error());
    }
    Offer(std::make_shared<DocumentRecord>(std::move(*record)),
          /*is_reader=*/false);
  }
  std::vector<RecordPtr> newer;
  auto digest = request.find("digest");
  if (digest != request.end() && digest->is_object()) {
    for (const RecordPtr& it : parts_->catalog->All()) {
      uint64_t theirs = digest->value(it->document.name.value(), uint64_t{0});
      if (theirs < it->version.value()) {
        newer.push_back(it);
      }
    }
  }
  return json{{"records", RecordsJson(newer)}}.dump();
}

void DocumentSync::SendPush(const Push& push) {
  std::string body = json{{"records", RecordsJson({push.record})}}.dump();
  (void)peer_caller_->Ask(push.to, peer::Purpose::kSyncDocuments,
                          RequestId("documents"), body, kExchangeLimit);
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
  Result<std::string> answer =
      peer_caller_->Ask(*info, peer::Purpose::kSyncDocuments,
                        RequestId("documents"), body, kExchangeLimit);
  if (answer) {
    (void)Exchange(*answer);
  }
}

void DocumentSync::RunSpreader() {
  std::unique_lock lock(mutex_);
  while (!stopping_) {
    changed_.wait(lock, [this] {
      return stopping_ || !pushes_.empty() || !differences_.empty();
    });
    if (stopping_) {
      return;
    }
    if (!pushes_.empty()) {
      Push push = std::move(pushes_.front());
      pushes_.pop_front();
      lock.unlock();
      SendPush(push);
      lock.lock();
      continue;
    }
    InstanceId member = differences_.front();
    lock.unlock();
    Reconcile(member);
    lock.lock();
    differences_.pop_front();
  }
}

void DocumentSync::WaitReader(Millis time) {
  std::unique_lock lock(mutex_);
  changed_.wait_for(lock, time, [this] { return stopping_.load(); });
}

void DocumentSync::TakeEntries(
    const std::vector<platform::StoreEntry>& entries) {
  for (const platform::StoreEntry& it : entries) {
    Result<DocumentRecord> record = document::ParseRecord(it.value);
    if (!record) {
      LogEvent(LogLevel::kError, "documents", "unreadable")
          .With("key", it.key)
          .With("why", record.error().message);
      continue;
    }
    Offer(std::make_shared<DocumentRecord>(std::move(*record)),
          /*is_reader=*/true);
  }
}

void DocumentSync::RepairStore() {
  // After a restore from an older copy the service holds lower versions than
  // those in force. Every accepted version is written back, none is lowered.
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
  TakeEntries(*entries);
  for (const RecordPtr& it : parts_->catalog->All()) {
    std::string key = document::CurrentKey(it->document.name);
    auto entry = std::find_if(
        entries->begin(), entries->end(),
        [&key](const platform::StoreEntry& e) { return e.key == key; });
    Result<DocumentRecord> stored = entry == entries->end()
                                        ? Fail(ResultCode::kUnknownDocument, "")
                                        : document::ParseRecord(entry->value);
    if (!stored || stored->version < it->version) {
      LogEvent(LogLevel::kWarn, "documents", "repair")
          .With("service", it->document.name.value());
      (void)parts_->documents->Repair(*it);
    }
  }
}

void DocumentSync::ReadOnce() {
  parts_->metrics->CountStoreCall("watch");
  Millis wait = listed_ ? kWatchWait : Millis(0);
  Result<platform::WatchReply> reply =
      store_->Watch(document::kCurrentPrefix, since_, wait);
  store_reachable_ = reply.has_value();
  if (!reply) {
    ++failures_;
    Millis backoff =
        kMinBackoff * (int64_t{1} << std::min<uint64_t>(failures_, 6));
    WaitReader(std::min(backoff, kMaxBackoff));
    return;
  }
  failures_ = 0;
  if (reply->next < since_) {
    // The index went back: the service was restored, so everything is compared
    // anew.
    next_repair_ = Instant();
    listed_ = false;
  }
  since_ = reply->next;
  TakeEntries(reply->changed);
  listed_ = listed_ || reply->next.value() > 0;
  if (!listed_) {
    WaitReader(kMinBackoff);
  }
  RepairStore();
}

void DocumentSync::RunReader() {
  next_repair_ = parts_->clock->Now() + kRepairPeriod;
  while (!stopping_) {
    bool needed = IsReader() || parts_->catalog->Digest().empty();
    if (needed) {
      ReadOnce();
    } else {
      WaitReader(kIdleReader);
    }
  }
}

}  // namespace basilvalve::gateway
