// Headers and records that instances exchange on their streams.
#pragma once

#include <string>
#include <string_view>
#include <vector>

#include "Core/Common/clock.h"
#include "Core/Common/keyring.h"
#include "Core/Common/result.h"
#include "Core/Common/strong_id.h"

namespace basilvalve::peer {

/// What the receiver of a stream is asked to do.
enum class Purpose : uint8_t {
  /// Run the call on an upstream of the receiver's region.
  kRun,
  /// Decide over a call whose ticket or claim the receiver owns, and run it.
  kRunAsOwner,
  /// Take the documents in the body; answer with those the sender lacks.
  kSyncDocuments,
  /// Tell what became of a call.
  kQueryOutcome,
};

/// The header of a stream. It is sent, checked and answered before any body.
struct StreamHeader {
  InstanceId sender;
  RegionId sender_region;
  Incarnation incarnation;
  Sequence sequence;
  Purpose purpose = Purpose::kRun;
  RequestId request;
  uint32_t attempt = 0;
  ServiceName service;
  /// Version of the document by which the sender decided.
  DocumentVersion version;
  std::string method;
  std::string path;
  std::string query;
  std::string content_type;
  std::string traceparent;
  std::string ticket;
  std::string idempotency_key;
  /// Time left until the call's deadline; never an absolute time.
  Micros remaining{0};
  /// Instances and regions that the request has passed through, the sender
  /// last.
  std::vector<InstanceId> hops;
  std::vector<RegionId> regions;
  uint64_t body_bytes = 0;
  uint64_t body_hash = 0;
  bool streaming = false;
};

/// Beginning of an answer.
struct ResponseHead {
  int status = 0;
  std::string content_type;
  RegionId region;
  UpstreamId upstream;
};

/// End of an answer; without it the answer is not whole.
struct EndRecord {
  RequestId request;
  uint32_t attempt = 0;
  uint64_t length = 0;
  uint64_t hash = 0;
  Outcome outcome = Outcome::kUnknown;
  ResultCode code = ResultCode::kInternal;
  std::string message;
};

/// A text form fit for an HTTP header, with its MAC.
struct SignedText {
  std::string text;
  std::string mac;
};

/// Encodes and signs. Thread safe.
SignedText EncodeHeader(const StreamHeader& header, const Keyring& keyring);
/// Encodes and signs. Thread safe.
SignedText EncodeEndRecord(const EndRecord& end, const Keyring& keyring);
/// Encodes. Thread safe.
std::string EncodeResponseHead(const ResponseHead& head);
/// Verifies and decodes. Fails with kUnauthenticated or kMalformedRequest.
/// Thread safe.
Result<StreamHeader> DecodeHeader(const SignedText& text,
                                  const Keyring& keyring);
/// Verifies and decodes. Fails with kUnauthenticated or kMalformedRequest.
/// Thread safe.
Result<EndRecord> DecodeEndRecord(const SignedText& text,
                                  const Keyring& keyring);
/// Decodes. Fails with kMalformedRequest. Thread safe.
Result<ResponseHead> DecodeResponseHead(std::string_view text);

}  // namespace basilvalve::peer
