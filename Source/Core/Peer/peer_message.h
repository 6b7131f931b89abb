// Stream headers, response heads and end records exchanged between instances,
// and their encoding.
#pragma once

#include <string>
#include <string_view>
#include <vector>

#include "Core/Common/clock.h"
#include "Core/Common/keyring.h"
#include "Core/Common/result.h"
#include "Core/Common/strong_id.h"

namespace basilvalve::peer {

/// The operation that a stream requests from its receiver.
enum class Purpose : uint8_t {
  /// Run the call on an upstream of the receiver's region.
  kRun,
  /// Run a call whose ticket or claim the receiver owns; the receiver decides
  /// whether the call may run.
  kRunAsOwner,
  /// Receive the documents in the body and respond with those the sender lacks.
  kSyncDocuments,
  /// Report the outcome of a call.
  kQueryOutcome,
};

/// The header of a stream. The receiver verifies and accepts it before any of
/// the body is sent.
struct StreamHeader {
  InstanceId sender;
  RegionId sender_region;
  Incarnation incarnation;
  Sequence sequence;
  Purpose purpose = Purpose::kRun;
  RequestId request;
  uint32_t attempt = 0;
  ServiceName service;
  /// Version of the service's document on which the sender based its routing
  /// decision.
  DocumentVersion version;
  std::string method;
  std::string path;
  std::string query;
  std::string content_type;
  std::string traceparent;
  std::string ticket;
  std::string idempotency_key;
  /// Time left until the call's deadline. It is relative, so that the clocks of
  /// the instances need not agree.
  Micros remaining{0};
  /// Instances and regions that the request has passed through, ending with the
  /// sender.
  std::vector<InstanceId> hops;
  std::vector<RegionId> regions;
  uint64_t body_bytes = 0;
  uint64_t body_hash = 0;
  bool streaming = false;
};

/// Status and metadata of a response, sent before its body.
struct ResponseHead {
  int status = 0;
  std::string content_type;
  RegionId region;
  UpstreamId upstream;
};

/// Result, length and hash of a response, sent as trailers after its body or as
/// headers of a response without a body. A response without an end record is
/// incomplete.
struct EndRecord {
  RequestId request;
  uint32_t attempt = 0;
  uint64_t length = 0;
  uint64_t hash = 0;
  Outcome outcome = Outcome::kUnknown;
  ResultCode code = ResultCode::kInternal;
  std::string message;
};

/// A message encoded as text for an HTTP header field, with its MAC.
struct SignedText {
  std::string text;
  std::string mac;
};

/// Encodes and signs. Thread safe.
SignedText EncodeHeader(const StreamHeader& header, const Keyring& keyring);
/// Encodes and signs. Thread safe.
SignedText EncodeEndRecord(const EndRecord& end, const Keyring& keyring);
/// Encodes without a MAC. Thread safe.
std::string EncodeResponseHead(const ResponseHead& head);
/// Verifies the MAC and decodes. Fails with kUnauthenticated if the MAC does
/// not match and with kMalformedRequest if the text cannot be decoded. Thread
/// safe.
Result<StreamHeader> DecodeHeader(const SignedText& text,
                                  const Keyring& keyring);
/// Verifies the MAC and decodes. Fails with kUnauthenticated if the MAC does
/// not match and with kMalformedRequest if the text cannot be decoded. Thread
/// safe.
Result<EndRecord> DecodeEndRecord(const SignedText& text,
                                  const Keyring& keyring);
/// Decodes. Fails with kMalformedRequest if the text cannot be decoded. Thread
/// safe.
Result<ResponseHead> DecodeResponseHead(std::string_view text);

}  // namespace basilvalve::peer
