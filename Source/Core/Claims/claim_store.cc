#include "Core/Claims/claim_store.h"

#include "Core/Common/hash.h"
#include "Core/Common/json_reader.h"

namespace basilvalve::claims {
namespace {

constexpr std::string_view kClaimPrefix = "basilvalve/claims/";
constexpr int kAttempts = 3;

std::string PathOf(const ServiceName& service, const std::string& key) {
  // The key is hashed: callers choose it, and it may be long or confidential.
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
  bool whole =
      json->is_object() && json->contains("owner") && json->contains("request");
  if (!whole) {
    return Fail(ResultCode::kStoreUnavailable,
                "a claim in the service does not parse");
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

Result<std::optional<ClaimResult>> ClaimStore::Read(const std::string& path) {
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

Result<ClaimResult> ClaimStore::Swap(const std::string& path,
                                     const ClaimRecord& wanted,
                                     StoreIndex expected) {
  std::string why = "no attempt was made";
  for (int i = 0; i < kAttempts; ++i) {
    Result<platform::SwapReply> swap =
        store_->CompareAndSwap(path, FormatClaim(wanted), expected, keep_);
    if (swap && swap->swapped) {
      return ClaimResult{true, wanted, swap->index};
    }
    // Refused, or the reply was lost: what is in the service decides. Our own
    // request id in it means that an earlier write took effect.
    Result<std::optional<ClaimResult>> found = Read(path);
    if (found && found->has_value()) {
      ClaimResult reply = **found;
      bool unchanged = reply.index == expected;
      if (!unchanged) {
        reply.owned = reply.record.request == wanted.request;
        return reply;
      }
    }
    why = swap ? "the claim changed meanwhile" : swap.error().message;
  }
  return Fail(ResultCode::kClaimUnavailable, why);
}

Result<ClaimResult> ClaimStore::Acquire(const ServiceName& service,
                                        const std::string& key,
                                        const ClaimRecord& wanted) {
  return Swap(PathOf(service, key), wanted, platform::kAbsent);
}

Result<ClaimResult> ClaimStore::Replace(const ServiceName& service,
                                        const std::string& key,
                                        const ClaimResult& held,
                                        const ClaimRecord& wanted) {
  return Swap(PathOf(service, key), wanted, held.index);
}

Result<void> ClaimStore::Finish(const ServiceName& service,
                                const std::string& key, const ClaimResult& held,
                                Outcome outcome) {
  ClaimRecord ended = held.record;
  ended.outcome = outcome;
  Result<platform::SwapReply> swap = store_->CompareAndSwap(
      PathOf(service, key), FormatClaim(ended), held.index, keep_);
  if (!swap) {
    return tl::make_unexpected(swap.error());
  }
  return {};
}

}  // namespace basilvalve::claims
