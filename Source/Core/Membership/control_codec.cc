#include "Core/Membership/control_codec.h"

#include <msgpack.hpp>

namespace basilvalve::membership {
namespace {

using Packer = msgpack::packer<msgpack::sbuffer>;

// 128 bits of the MAC in hexadecimal: forging a MAC takes as many attempts as
// guessing a key.
constexpr size_t kMacBytes = 32;
constexpr std::string_view kMacDomain = "control:";
constexpr uint8_t kFormatVersion = 1;
constexpr uint32_t kMessageFields = 10;
constexpr uint32_t kMemberFields = 9;
constexpr uint32_t kSummaryFields = 5;
constexpr uint32_t kModelFields = 3;
constexpr uint32_t kNoticeFields = 2;

void Pack(const MemberInfo& info, Packer* packer) {
  packer->pack_array(kMemberFields);
  packer->pack(info.id.value());
  packer->pack(info.region.value());
  packer->pack(info.incarnation.value());
  packer->pack(info.revision);
  packer->pack(static_cast<uint8_t>(info.state));
  packer->pack(info.peer.Text());
  packer->pack(info.caller.Text());
  packer->pack(info.load_percent);
  packer->pack(info.draining);
}

void Pack(const RegionSummary& summary, Packer* packer) {
  packer->pack_array(kSummaryFields);
  packer->pack(summary.region.value());
  packer->pack(summary.sequence);
  packer->pack_array(static_cast<uint32_t>(summary.models.size()));
  for (const ModelSummary& it : summary.models) {
    packer->pack_array(kModelFields);
    packer->pack(it.model.value());
    packer->pack(it.first_token_ms);
    packer->pack(it.upstreams);
  }
  packer->pack_array(static_cast<uint32_t>(summary.services.size()));
  for (const ServiceName& it : summary.services) {
    packer->pack(it.value());
  }
  packer->pack_array(static_cast<uint32_t>(summary.contacts.size()));
  for (const MemberInfo& it : summary.contacts) {
    Pack(it, packer);
  }
}

/// Reads the elements of a decoded array in order; throws msgpack::type_error
/// if the object is not an array or has too few elements.
class ArrayReader {
 public:
  explicit ArrayReader(const msgpack::object& object) {
    if (object.type != msgpack::type::ARRAY) {
      throw msgpack::type_error();
    }
    array_ = &object.via.array;
  }

  const msgpack::object& Next() {
    if (index_ >= array_->size) {
      throw msgpack::type_error();
    }
    return array_->ptr[index_++];
  }

  template <typename T>
  T Value() {
    return Next().as<T>();
  }

  template <typename Id>
  Id Text() {
    return Id(Value<std::string>());
  }

  bool HasMore() const { return index_ < array_->size; }

 private:
  const msgpack::object_array* array_;
  uint32_t index_ = 0;
};

http::Endpoint ReadEndpoint(ArrayReader* reader) {
  http::Endpoint endpoint;
  if (!http::ParseEndpoint(reader->Value<std::string>(), &endpoint)) {
    throw msgpack::type_error();
  }
  return endpoint;
}

MemberInfo ReadMember(const msgpack::object& object) {
  ArrayReader reader(object);
  MemberInfo info;
  info.id = reader.Text<InstanceId>();
  info.region = reader.Text<RegionId>();
  info.incarnation = Incarnation(reader.Value<uint64_t>());
  info.revision = reader.Value<uint32_t>();
  auto state = reader.Value<uint8_t>();
  if (state > static_cast<uint8_t>(MemberState::kLeft)) {
    throw msgpack::type_error();
  }
  info.state = static_cast<MemberState>(state);
  info.peer = ReadEndpoint(&reader);
  info.caller = ReadEndpoint(&reader);
  info.load_percent = reader.Value<uint8_t>();
  info.draining = reader.Value<bool>();
  return info;
}

RegionSummary ReadSummary(const msgpack::object& object) {
  ArrayReader reader(object);
  RegionSummary summary;
  summary.region = reader.Text<RegionId>();
  summary.sequence = reader.Value<uint64_t>();
  for (ArrayReader models(reader.Next()); models.HasMore();) {
    ArrayReader fields(models.Next());
    ModelSummary model;
    model.model = fields.Text<ModelName>();
    model.first_token_ms = fields.Value<uint32_t>();
    model.upstreams = fields.Value<uint32_t>();
    summary.models.push_back(std::move(model));
  }
  for (ArrayReader services(reader.Next()); services.HasMore();) {
    summary.services.push_back(services.Text<ServiceName>());
  }
  for (ArrayReader contacts(reader.Next()); contacts.HasMore();) {
    summary.contacts.push_back(ReadMember(contacts.Next()));
  }
  return summary;
}

ControlMessage ReadMessage(const msgpack::object& object) {
  ArrayReader reader(object);
  ControlMessage message;
  auto kind = reader.Value<uint8_t>();
  if (kind > static_cast<uint8_t>(ControlKind::kSummary)) {
    throw msgpack::type_error();
  }
  message.kind = static_cast<ControlKind>(kind);
  message.sender = reader.Text<InstanceId>();
  message.incarnation = Incarnation(reader.Value<uint64_t>());
  message.sequence = Sequence(reader.Value<uint64_t>());
  message.probe = reader.Value<uint64_t>();
  message.target = reader.Text<InstanceId>();
  for (ArrayReader members(reader.Next()); members.HasMore();) {
    message.members.push_back(ReadMember(members.Next()));
  }
  message.document_hash = reader.Value<uint64_t>();
  for (ArrayReader notices(reader.Next()); notices.HasMore();) {
    ArrayReader fields(notices.Next());
    UpstreamNotice notice;
    notice.upstream = fields.Text<UpstreamId>();
    notice.age_ms = fields.Value<uint32_t>();
    message.notices.push_back(std::move(notice));
  }
  for (ArrayReader summaries(reader.Next()); summaries.HasMore();) {
    message.summaries.push_back(ReadSummary(summaries.Next()));
  }
  return message;
}

std::string MacOf(std::string_view body, const Keyring& keyring) {
  return keyring.Sign(std::string(kMacDomain) + std::string(body))
      .substr(0, kMacBytes);
}

}  // namespace

std::string EncodeControl(const ControlMessage& message,
                          const Keyring& keyring) {
  msgpack::sbuffer buffer;
  Packer packer(buffer);
  packer.pack(kFormatVersion);
  packer.pack_array(kMessageFields);
  packer.pack(static_cast<uint8_t>(message.kind));
  packer.pack(message.sender.value());
  packer.pack(message.incarnation.value());
  packer.pack(message.sequence.value());
  packer.pack(message.probe);
  packer.pack(message.target.value());
  packer.pack_array(static_cast<uint32_t>(message.members.size()));
  for (const MemberInfo& it : message.members) {
    Pack(it, &packer);
  }
  packer.pack(message.document_hash);
  packer.pack_array(static_cast<uint32_t>(message.notices.size()));
  for (const UpstreamNotice& it : message.notices) {
    packer.pack_array(kNoticeFields);
    packer.pack(it.upstream.value());
    packer.pack(it.age_ms);
  }
  packer.pack_array(static_cast<uint32_t>(message.summaries.size()));
  for (const RegionSummary& it : message.summaries) {
    Pack(it, &packer);
  }
  std::string body(buffer.data(), buffer.size());
  return body + MacOf(body, keyring);
}

Result<ControlMessage> DecodeControl(std::string_view datagram,
                                     const Keyring& keyring) {
  if (datagram.size() <= kMacBytes) {
    return Fail(ResultCode::kMalformedRequest,
                "datagram is shorter than its MAC");
  }
  std::string_view body = datagram.substr(0, datagram.size() - kMacBytes);
  std::string_view mac = datagram.substr(body.size());
  if (!keyring.VerifyPrefix(std::string(kMacDomain) + std::string(body), mac)) {
    return Fail(ResultCode::kUnauthenticated,
                "the datagram's MAC does not match");
  }
  try {
    size_t offset = 0;
    msgpack::object_handle version =
        msgpack::unpack(body.data(), body.size(), offset);
    if (version.get().as<uint8_t>() != kFormatVersion) {
      return Fail(ResultCode::kMalformedRequest,
                  "datagram has an unsupported format version");
    }
    msgpack::object_handle handle =
        msgpack::unpack(body.data(), body.size(), offset);
    return ReadMessage(handle.get());
  } catch (const std::exception& ex) {
    return Fail(ResultCode::kMalformedRequest, ex.what());
  }
}

}  // namespace basilvalve::membership
