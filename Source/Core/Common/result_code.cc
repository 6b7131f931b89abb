#include "Core/Common/result_code.h"

#include <algorithm>
#include <array>

namespace basilvalve {
namespace {

using enum ResultCode;

constexpr std::array kTable = {
    ResultCodeRow{kOk, "ok", 200, Outcome::kDone,
                  "The call ran and its answer is whole."},
    ResultCodeRow{kMalformedRequest, "malformed_request", 400, Outcome::kNotRun,
                  "The request could not be parsed."},
    ResultCodeRow{kBodyTooLarge, "body_too_large", 413, Outcome::kNotRun,
                  "The body exceeds the configured limit."},
    ResultCodeRow{
        kUnauthenticated, "unauthenticated", 401, Outcome::kNotRun,
        "The bearer key is missing or matches no key of the service."},
    ResultCodeRow{kUnknownService, "unknown_service", 404, Outcome::kNotRun,
                  "No document names this service."},
    ResultCodeRow{kUnknownPath, "unknown_path", 404, Outcome::kNotRun,
                  "The address has no such path."},
    ResultCodeRow{
        kKeyReused, "key_reused", 409, Outcome::kNotRun,
        "The idempotency key or ticket was used with another request body."},
    ResultCodeRow{kTicketInvalid, "ticket_invalid", 400, Outcome::kNotRun,
                  "The ticket does not parse or its MAC does not match."},
    ResultCodeRow{kTicketExpired, "ticket_expired", 400, Outcome::kNotRun,
                  "The ticket expired before its first use."},
    ResultCodeRow{
        kClaimRequired, "claim_required", 400, Outcome::kNotRun,
        "A non-idempotent call needs a ticket or an idempotency key."},
    ResultCodeRow{kModelNotAllowed, "model_not_allowed", 403, Outcome::kNotRun,
                  "The document does not permit this model."},
    ResultCodeRow{kDuplicateHeader, "duplicate_header", 400, Outcome::kNotRun,
                  "A header that may occur once occurs several times."},
    ResultCodeRow{kNoDocument, "no_document", 503, Outcome::kNotRun,
                  "This instance holds no documents yet."},
    ResultCodeRow{kResidencyForbidden, "residency_forbidden", 403,
                  Outcome::kNotRun,
                  "Residency permits no region that could serve the call."},
    ResultCodeRow{
        kLoopRefused, "loop_refused", 508, Outcome::kNotRun,
        "The request already passed through this instance or has no hop left."},
    ResultCodeRow{kOverloaded, "overloaded", 503, Outcome::kNotRun,
                  "The concurrency limit is reached."},
    ResultCodeRow{kDeadlineTooShort, "deadline_too_short", 503,
                  Outcome::kNotRun,
                  "The call could not finish within its deadline."},
    ResultCodeRow{kDraining, "draining", 503, Outcome::kNotRun,
                  "The instance is stopping; use another entry."},
    ResultCodeRow{kNoUpstream, "no_upstream", 503, Outcome::kNotRun,
                  "No live upstream can serve the call."},
    ResultCodeRow{kClaimUnavailable, "claim_unavailable", 503, Outcome::kNotRun,
                  "The claim could not be recorded in the key-value service."},
    ResultCodeRow{kLedgerFull, "ledger_full", 503, Outcome::kNotRun,
                  "The memory of spent tickets is full."},
    ResultCodeRow{kWorkspaceLimit, "customer_limit", 429, Outcome::kNotRun,
                  "The customer's share of the capacity is used up."},
    ResultCodeRow{
        kPeerRefused, "peer_refused", 503, Outcome::kNotRun,
        "The other instance refused the call before its body was sent."},
    ResultCodeRow{kUpstreamFailed, "upstream_failed", 502, Outcome::kUnknown,
                  "The upstream failed after the request may have reached it."},
    ResultCodeRow{kResponseTruncated, "answer_truncated", 502,
                  Outcome::kUnknown, "The answer ended before it was whole."},
    ResultCodeRow{kPeerLost, "peer_lost", 502, Outcome::kUnknown,
                  "The link to the forwarding instance was lost after the body "
                  "was sent."},
    ResultCodeRow{kOwnerUnavailable, "owner_gone", 502, Outcome::kUnknown,
                  "The instance that may have run the call is gone."},
    ResultCodeRow{kDeadlineExceeded, "deadline_exceeded", 504,
                  Outcome::kUnknown, "The deadline passed while the call ran."},
    ResultCodeRow{kCallerDisconnected, "caller_gone", 499, Outcome::kUnknown,
                  "The caller closed the connection."},
    ResultCodeRow{
        kStillRunning, "still_running", 409, Outcome::kRunning,
        "The first request with this ticket or key is still running."},
    ResultCodeRow{
        kDocumentInvalid, "document_invalid", 400, Outcome::kNotRun,
        "The document has a wrong field; the message names its path."},
    ResultCodeRow{kVersionConflict, "version_conflict", 409, Outcome::kNotRun,
                  "The document changed since the version that was edited."},
    ResultCodeRow{kStoreUnavailable, "store_unavailable", 503, Outcome::kNotRun,
                  "The key-value service did not answer."},
    ResultCodeRow{kUnknownDocument, "unknown_document", 404, Outcome::kNotRun,
                  "There is no document of this name."},
    ResultCodeRow{kSettingInvalid, "setting_invalid", 500, Outcome::kNotRun,
                  "A setting is unknown or has a wrong value."},
    ResultCodeRow{kInternal, "internal", 500, Outcome::kUnknown,
                  "A fault inside the gateway."},
    ResultCodeRow{kIo, "io", 502, Outcome::kUnknown,
                  "A network operation failed."},
};

constexpr std::array<std::string_view, 4> kOutcomeNames = {
    "done", "not-run", "unknown", "running"};

}  // namespace

std::string_view OutcomeName(Outcome outcome) {
  return kOutcomeNames[static_cast<size_t>(outcome)];
}

std::optional<Outcome> ParseOutcome(std::string_view text) {
  auto it = std::find(kOutcomeNames.begin(), kOutcomeNames.end(), text);
  if (it == kOutcomeNames.end()) {
    return std::nullopt;
  }
  return static_cast<Outcome>(it - kOutcomeNames.begin());
}

std::span<const ResultCodeRow> ResultCodeTable() { return kTable; }

const ResultCodeRow& RowOf(ResultCode code) {
  auto it = std::find_if(
      kTable.begin(), kTable.end(),
      [code](const ResultCodeRow& row) { return row.code == code; });
  return it == kTable.end() ? RowOf(ResultCode::kInternal) : *it;
}

std::optional<ResultCode> ParseResultCode(int number) {
  auto it = std::find_if(kTable.begin(), kTable.end(),
                         [number](const ResultCodeRow& row) {
                           return static_cast<int>(row.code) == number;
                         });
  if (it == kTable.end()) {
    return std::nullopt;
  }
  return it->code;
}

}  // namespace basilvalve
