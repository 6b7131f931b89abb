#include "Core/Claims/claim_store.h"

#include "Core/Common/hash.h"
#include "Core/Common/json_reader.h"

namespace basilvalve::claims {
namespace {

constexpr std::string_view kClaimPrefix = "basilvalve/claims/";
constexpr int kMaxWriteAttempts = 3;

std::string ClaimPath(const ServiceName& service, const std::string& key) {
  // Callers choose the key, which may be long or confidential, so only its hash
  // is stored.
  return std::string(kClaimPrefix) + service.value() + "/" + Sha256Hex(key);
}

}  // namespace

std::string FormatClaim(const ClaimRecord& record) {
  nlohmann::json json = {{"owner", record.owner.value()},
                         {"incarnation", record.incarnation.value()},
                         {"request", record.request.value()},
                         {"body_hash", record.body_hash},
                         {"outcome", OutcomeName(record.outcome)}};
  return json.dump();
}

Result<ClaimRecord> ParseClaim(std::string_view text) {
  Result<nlohmann::json> json = ParseJson(text, ResultCode::kStoreUnavailable);
  if (!json) {
    return tl::make_unexpected(json.error());
  }
  bool has_required_fields =
      json->is_object() && json->contains("owner") && json->contains("request");
  if (!has_required_fields) {
    return Fail(ResultCode::kStoreUnavailable,
                "stored claim lacks its owner or request id");
  }
  ClaimRecord record;
  record.owner = InstanceId(json->value("owner", ""));
  record.incarnation = Incarnation(json->value("incarnation", uint64_t{0}));
  record.request = RequestId(json->value("request", ""));
  record.body_hash = json->value("body_hash", uint64_t{0});
  record.outcome =
      ParseOutcome(json->value("outcome", "")).value_or(Outcome::kUnknown);
  return record;
}

Result<std::optional<ClaimResult>> ClaimStore::ReadClaim(
    const std::string& path) {
  Result<std::optional<platform::StoreEntry>> entry = store_->Get(path);
  if (!entry) {
    return tl::make_unexpected(entry.error());
  }
  if (!entry->has_value()) {
    return std::nullopt;
  }
  Result<ClaimRecord> record = ParseClaim((*entry)->value);
  if (!record) {
    return tl::make_unexpected(record.error());
  }
  return ClaimResult{false, std::move(*record), (*entry)->index};
}

Result<ClaimResult> ClaimStore::WriteClaim(const std::string& path,
                                           const ClaimRecord& desired,
                                           StoreIndex expected) {
  std::string last_error = "the claim was not written";
  for (int i = 0; i < kMaxWriteAttempts; ++i) {
    Result<platform::SwapReply> swap = store_->CompareAndSwap(
        path, FormatClaim(desired), expected, retention_);
    if (swap && swap->swapped) {
      return ClaimResult{true, desired, swap->index};
    }
    // The compare-and-swap was rejected or its reply was lost. The stored claim
    // decides: if it holds this request's id, an earlier write took effect.
    Result<std::optional<ClaimResult>> found = ReadClaim(path);
    if (found && found->has_value()) {
      ClaimResult reply = **found;
      bool unchanged = reply.index == expected;
      if (!unchanged) {
        reply.owned = reply.record.request == desired.request;
        return reply;
      }
    }
    last_error =
        swap ? "the claim was changed concurrently" : swap.error().message;
  }
  return Fail(ResultCode::kClaimUnavailable, last_error);
}

Result<ClaimResult> ClaimStore::Acquire(const ServiceName& service,
                                        const std::string& key,
                                        const ClaimRecord& desired) {
  return WriteClaim(ClaimPath(service, key), desired, platform::kAbsent);
}

Result<ClaimResult> ClaimStore::Replace(const ServiceName& service,
                                        const std::string& key,
                                        const ClaimResult& current,
                                        const ClaimRecord& desired) {
  return WriteClaim(ClaimPath(service, key), desired, current.index);
}

Result<void> ClaimStore::Finish(const ServiceName& service,
                                const std::string& key,
                                const ClaimResult& current, Outcome outcome) {
  ClaimRecord updated = current.record;
  updated.outcome = outcome;
  Result<platform::SwapReply> swap = store_->CompareAndSwap(
      ClaimPath(service, key), FormatClaim(updated), current.index, retention_);
  if (!swap) {
    return tl::make_unexpected(swap.error());
  }
  return {};
}

}  // namespace basilvalve::claims
