#include "Core/Peer/peer_message.h"

#include <openssl/evp.h>

#include <msgpack.hpp>
#include <tuple>

namespace basilvalve::peer {
namespace {

constexpr std::string_view kHeaderMacDomain = "stream-header:";
constexpr std::string_view kEndRecordMacDomain = "stream-end:";
constexpr size_t kBase64GroupChars = 4;
constexpr size_t kBase64GroupBytes = 3;

std::string ToBase64(std::string_view bytes) {
  std::string text((bytes.size() + kBase64GroupBytes - 1) / kBase64GroupBytes *
                           kBase64GroupChars +
                       1,
                   '\0');
  int n = EVP_EncodeBlock(reinterpret_cast<unsigned char*>(text.data()),
                          reinterpret_cast<const unsigned char*>(bytes.data()),
                          static_cast<int>(bytes.size()));
  text.resize(static_cast<size_t>(n));
  return text;
}

std::string FromBase64(std::string_view text) {
  std::string bytes(text.size() / kBase64GroupChars * kBase64GroupBytes + 1,
                    '\0');
  int n = EVP_DecodeBlock(reinterpret_cast<unsigned char*>(bytes.data()),
                          reinterpret_cast<const unsigned char*>(text.data()),
                          static_cast<int>(text.size()));
  if (n < 0) {
    return "";
  }
  // EVP_DecodeBlock includes the padding in the decoded size.
  auto size = static_cast<size_t>(n);
  size -= text.ends_with("==") ? 2 : (text.ends_with("=") ? 1 : 0);
  bytes.resize(size);
  return bytes;
}

template <typename Id>
std::vector<Id> ToIds(const std::vector<std::string>& texts) {
  std::vector<Id> ids;
  ids.reserve(texts.size());
  for (const std::string& it : texts) {
    ids.emplace_back(it);
  }
  return ids;
}

SignedText Sign(std::string text, std::string_view domain,
                const Keyring& keyring) {
  std::string mac = keyring.Sign(std::string(domain) + text);
  return {std::move(text), std::move(mac)};
}

bool HasValidMac(const SignedText& text, std::string_view domain,
                 const Keyring& keyring) {
  return keyring.Verify(std::string(domain) + text.text, text.mac);
}

/// Encoding of StreamHeader: a msgpack array, so the order of the fields is
/// part of the protocol.
struct WireHeader {
  std::string sender, sender_region;
  uint64_t incarnation = 0, sequence = 0;
  uint8_t purpose = 0;
  std::string request;
  uint32_t attempt = 0;
  std::string service;
  uint64_t version = 0;
  std::string method, path, query, content_type, traceparent, ticket,
      idempotency_key;
  int64_t remaining_us = 0;
  std::vector<std::string> hops, regions;
  uint64_t body_bytes = 0, body_hash = 0;
  bool streaming = false;
  MSGPACK_DEFINE(sender, sender_region, incarnation, sequence, purpose, request,
                 attempt, service, version, method, path, query, content_type,
                 traceparent, ticket, idempotency_key, remaining_us, hops,
                 regions, body_bytes, body_hash, streaming)
};

template <typename T>
Result<T> Unpack(std::string_view text) {
  try {
    std::string bytes = FromBase64(text);
    return msgpack::unpack(bytes.data(), bytes.size()).get().as<T>();
  } catch (const std::exception& ex) {
    return Fail(ResultCode::kMalformedRequest, ex.what());
  }
}

}  // namespace

SignedText EncodeHeader(const StreamHeader& header, const Keyring& keyring) {
  WireHeader wire{header.sender.value(),
                  header.sender_region.value(),
                  header.incarnation.value(),
                  header.sequence.value(),
                  static_cast<uint8_t>(header.purpose),
                  header.request.value(),
                  header.attempt,
                  header.service.value(),
                  header.version.value(),
                  header.method,
                  header.path,
                  header.query,
                  header.content_type,
                  header.traceparent,
                  header.ticket,
                  header.idempotency_key,
                  header.remaining.count(),
                  {},
                  {},
                  header.body_bytes,
                  header.body_hash,
                  header.streaming};
  for (const InstanceId& it : header.hops) {
    wire.hops.push_back(it.value());
  }
  for (const RegionId& it : header.regions) {
    wire.regions.push_back(it.value());
  }
  msgpack::sbuffer buffer;
  msgpack::pack(buffer, wire);
  return Sign(ToBase64({buffer.data(), buffer.size()}), kHeaderMacDomain,
              keyring);
}

Result<StreamHeader> DecodeHeader(const SignedText& text,
                                  const Keyring& keyring) {
  if (!HasValidMac(text, kHeaderMacDomain, keyring)) {
    return Fail(ResultCode::kUnauthenticated,
                "the stream header's MAC does not match");
  }
  Result<WireHeader> wire = Unpack<WireHeader>(text.text);
  if (!wire) {
    return tl::make_unexpected(wire.error());
  }
  if (wire->purpose > static_cast<uint8_t>(Purpose::kQueryOutcome)) {
    return Fail(ResultCode::kMalformedRequest,
                "unknown purpose in the stream header");
  }
  StreamHeader header;
  header.sender = InstanceId(wire->sender);
  header.sender_region = RegionId(wire->sender_region);
  header.incarnation = Incarnation(wire->incarnation);
  header.sequence = Sequence(wire->sequence);
  header.purpose = static_cast<Purpose>(wire->purpose);
  header.request = RequestId(wire->request);
  header.attempt = wire->attempt;
  header.service = ServiceName(wire->service);
  header.version = DocumentVersion(wire->version);
  header.method = wire->method;
  header.path = wire->path;
  header.query = wire->query;
  header.content_type = wire->content_type;
  header.traceparent = wire->traceparent;
  header.ticket = wire->ticket;
  header.idempotency_key = wire->idempotency_key;
  header.remaining = Micros(wire->remaining_us);
  header.hops = ToIds<InstanceId>(wire->hops);
  header.regions = ToIds<RegionId>(wire->regions);
  header.body_bytes = wire->body_bytes;
  header.body_hash = wire->body_hash;
  header.streaming = wire->streaming;
  return header;
}

SignedText EncodeEndRecord(const EndRecord& end, const Keyring& keyring) {
  msgpack::sbuffer buffer;
  msgpack::pack(buffer,
                std::make_tuple(end.request.value(), end.attempt, end.length,
                                end.hash, static_cast<int>(end.outcome),
                                static_cast<int>(end.code), end.message));
  return Sign(ToBase64({buffer.data(), buffer.size()}), kEndRecordMacDomain,
              keyring);
}

Result<EndRecord> DecodeEndRecord(const SignedText& text,
                                  const Keyring& keyring) {
  if (!HasValidMac(text, kEndRecordMacDomain, keyring)) {
    return Fail(ResultCode::kUnauthenticated,
                "the end record's MAC does not match");
  }
  using Wire = std::tuple<std::string, uint32_t, uint64_t, uint64_t, int, int,
                          std::string>;
  Result<Wire> wire = Unpack<Wire>(text.text);
  if (!wire) {
    return tl::make_unexpected(wire.error());
  }
  EndRecord end;
  int outcome = 0;
  int code = 0;
  std::string request;
  std::tie(request, end.attempt, end.length, end.hash, outcome, code,
           end.message) = *wire;
  std::optional<ResultCode> known = ParseResultCode(code);
  if (!known || outcome < 0 || outcome > static_cast<int>(Outcome::kRunning)) {
    return Fail(ResultCode::kMalformedRequest,
                "unknown outcome or result code in the end record");
  }
  end.request = RequestId(request);
  end.outcome = static_cast<Outcome>(outcome);
  end.code = *known;
  return end;
}

std::string EncodeResponseHead(const ResponseHead& head) {
  msgpack::sbuffer buffer;
  msgpack::pack(buffer,
                std::make_tuple(head.status, head.content_type,
                                head.region.value(), head.upstream.value()));
  return ToBase64({buffer.data(), buffer.size()});
}

Result<ResponseHead> DecodeResponseHead(std::string_view text) {
  using Wire = std::tuple<int, std::string, std::string, std::string>;
  Result<Wire> wire = Unpack<Wire>(text);
  if (!wire) {
    return tl::make_unexpected(wire.error());
  }
  return ResponseHead{std::get<0>(*wire), std::get<1>(*wire),
                      RegionId(std::get<2>(*wire)),
                      UpstreamId(std::get<3>(*wire))};
}

}  // namespace basilvalve::peer
