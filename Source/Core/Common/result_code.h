// Numeric result codes exchanged with callers, operators and other instances.
#pragma once

#include <optional>
#include <span>
#include <string_view>

namespace basilvalve {

/// Whether a call was executed. Must be `kUnknown` once a byte of a
/// non-idempotent request may have reached an upstream and no response arrived.
enum class Outcome { kDone, kNotRun, kUnknown, kRunning };

/// Text form used in headers and JSON. Thread safe.
std::string_view OutcomeName(Outcome outcome);
/// Inverse of OutcomeName; nullopt for other text. Thread safe.
std::optional<Outcome> ParseOutcome(std::string_view text);

/// Numeric result codes; docs/CODES.md holds the same table.
enum class ResultCode : int {
  kOk = 0,
  kMalformedRequest = 1001,
  kBodyTooLarge = 1002,
  kUnauthenticated = 1003,
  kUnknownService = 1004,
  kUnknownPath = 1005,
  kKeyReused = 1006,
  kTicketInvalid = 1007,
  kTicketExpired = 1008,
  kClaimRequired = 1009,
  kModelNotAllowed = 1010,
  kDuplicateHeader = 1011,
  kNoDocument = 2001,
  kResidencyForbidden = 2002,
  kLoopRefused = 2003,
  kOverloaded = 2004,
  kDeadlineTooShort = 2005,
  kDraining = 2006,
  kNoUpstream = 2007,
  kClaimUnavailable = 2008,
  kLedgerFull = 2009,
  kWorkspaceLimit = 2010,
  kPeerRefused = 2011,
  kUpstreamFailed = 3001,
  kResponseTruncated = 3002,
  kPeerLost = 3003,
  kOwnerUnavailable = 3004,
  kDeadlineExceeded = 3005,
  kCallerDisconnected = 3006,
  kStillRunning = 3007,
  kDocumentInvalid = 4001,
  kVersionConflict = 4002,
  kStoreUnavailable = 4003,
  kUnknownDocument = 4004,
  kSettingInvalid = 5001,
  kInternal = 5002,
  kIo = 5003,
};

/// One row of the code table.
struct ResultCodeRow {
  ResultCode code;
  std::string_view name;
  int http_status;
  /// Outcome reported unless the failing operation supplies its own.
  Outcome outcome;
  std::string_view meaning;
};

/// All rows in ascending order of code. Thread safe.
std::span<const ResultCodeRow> ResultCodeTable();
/// The row of a code. Pre: code is one of the enumerators. Thread safe.
const ResultCodeRow& RowOf(ResultCode code);
/// The code with this number, nullopt for an unknown one. Thread safe.
std::optional<ResultCode> ParseResultCode(int number);

}  // namespace basilvalve
