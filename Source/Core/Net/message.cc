#include "Core/Net/message.h"

#include <array>
#include <charconv>
#include <cstdio>
#include <utility>
//
#include <boost/asio/buffer.hpp>
#include <boost/beast/http/basic_parser.hpp>
#include <boost/beast/http/error.hpp>
#include <variant>

namespace basilvalve::net {

namespace http = boost::beast::http;
using boost::beast::error_code;

namespace {

char ToLower(char c) {
  return c >= 'A' && c <= 'Z' ? static_cast<char>(c + 32) : c;
}

std::string_view Trim(std::string_view text) {
  size_t first = text.find_first_not_of(" \t");
  if (first == std::string_view::npos) {
    return {};
  }
  return text.substr(first, text.find_last_not_of(" \t") - first + 1);
}

// The message as parsed so far, for requests and responses.
struct ParsedMessage {
  MessageHead head;
  std::string body;
  bool has_head = false;
  size_t lengths = 0;
  // Body bytes received in chunks.
  uint64_t chunked_bytes = 0;
};

constexpr int kMinStatus = 100;
constexpr int kMaxStatus = 599;

constexpr std::string_view kChunkOffsetExtension = ";basilvalve-at=";

// The offset that a chunk states; nullopt if it states none.
std::optional<uint64_t> ParseChunkOffset(std::string_view extensions) {
  if (!extensions.starts_with(kChunkOffsetExtension)) {
    return std::nullopt;
  }
  extensions.remove_prefix(kChunkOffsetExtension.size());
  uint64_t offset = 0;
  auto [end, ec] = std::from_chars(
      extensions.data(), extensions.data() + extensions.size(), offset);
  return ec == std::errc() ? std::optional(offset) : std::nullopt;
}

// Whether the text contains the start of a response, as it does when a response
// that was cut in its head is followed by another one.
bool HasStatusLine(std::string_view text) {
  constexpr std::string_view kStart = "HTTP/1.";
  // A digit of the version, a space and a digit of the status follow.
  auto is_digit = [](char c) { return c >= '0' && c <= '9'; };
  for (size_t at = text.find(kStart); at != std::string_view::npos;
       at = text.find(kStart, at + 1)) {
    std::string_view rest = text.substr(at + kStart.size());
    if (rest.size() >= 3 && is_digit(rest[0]) && rest[1] == ' ' &&
        is_digit(rest[2])) {
      return true;
    }
  }
  return false;
}

template <bool kIsRequest>
class BeastParser : public http::basic_parser<kIsRequest> {
 public:
  BeastParser(uint32_t header_limit, uint64_t body_limit) {
    this->header_limit(header_limit);
    this->body_limit(body_limit);
    this->eager(true);
  }
  ParsedMessage parsed;

 private:
  using View = boost::beast::string_view;

  static std::string_view ToStd(View view) {
    return {view.data(), view.size()};
  }

  void on_request_impl(http::verb, View method, View target, int version,
                       error_code& ec) override {
    parsed.head.method = ToStd(method);
    parsed.head.target = ToStd(target);
    CheckVersion(version, &ec);
  }
  void on_response_impl(int code, View reason, int version,
                        error_code& ec) override {
    parsed.head.status = code;
    if (code < kMinStatus || code > kMaxStatus) {
      // The library accepts any three digits.
      ec = http::error::bad_status;
      return;
    }
    if (HasStatusLine(ToStd(reason))) {
      ec = http::error::bad_reason;
      return;
    }
    CheckVersion(version, &ec);
  }
  void CheckVersion(int version, error_code* ec) {
    // Beast numbers HTTP/1.1 as 11.
    if (version != 10 && version != 11) {
      *ec = http::error::bad_version;
    }
  }
  void on_field_impl(http::field name, View name_text, View value,
                     error_code& ec) override {
    // Rejects repeated lengths and any transfer coding other than "chunked":
    // another server may frame them differently, which allows request
    // smuggling. Beast accepts a list of equal lengths; other parsers may not.
    if (name == http::field::content_length &&
        (++parsed.lengths > 1 || ToStd(value).find_first_not_of("0123456789") !=
                                     std::string_view::npos)) {
      ec = http::error::bad_content_length;
      return;
    }
    if (!kIsRequest && HasStatusLine(ToStd(value))) {
      ec = http::error::bad_value;
      return;
    }
    if (name == http::field::transfer_encoding) {
      if (parsed.head.chunked || !EqualsIgnoringCase(ToStd(value), "chunked")) {
        ec = http::error::bad_transfer_encoding;
        return;
      }
      parsed.head.chunked = true;
    }
    if (parsed.has_head) {
      // A trailer; whether it came in time to be read with the head would
      // depend on the network.
      return;
    }
    parsed.head.fields.push_back(
        {std::string(ToStd(name_text)), std::string(ToStd(value))});
  }
  void on_header_impl(error_code& ec) override {
    if (parsed.head.chunked && parsed.lengths > 0) {
      ec = http::error::bad_transfer_encoding;
      return;
    }
    parsed.head.keep_alive = this->keep_alive();
    parsed.has_head = true;
  }
  void on_body_init_impl(const boost::optional<uint64_t>& length,
                         error_code&) override {
    if (length) {
      parsed.head.content_length = *length;
    }
  }
  size_t on_body_impl(View body, error_code&) override {
    parsed.body.append(body.data(), body.size());
    return body.size();
  }
  void on_chunk_header_impl(uint64_t, View extensions,
                            error_code& ec) override {
    auto offset = ParseChunkOffset(ToStd(extensions));
    if (offset && *offset != parsed.chunked_bytes) {
      ec = http::error::bad_chunk_extension;
    }
  }
  size_t on_chunk_body_impl(uint64_t, View body, error_code&) override {
    parsed.body.append(body.data(), body.size());
    parsed.chunked_bytes += body.size();
    return body.size();
  }
  void on_finish_impl(error_code&) override {}
};

ParseError ToParseError(const error_code& ec) {
  if (ec == http::error::header_limit) {
    return ParseError::kHeaderTooLarge;
  }
  return ec == http::error::body_limit ? ParseError::kBodyTooLarge
                                       : ParseError::kMalformed;
}

}  // namespace

bool EqualsIgnoringCase(std::string_view left, std::string_view right) {
  if (left.size() != right.size()) {
    return false;
  }
  for (size_t i = 0; i < left.size(); ++i) {
    if (ToLower(left[i]) != ToLower(right[i])) {
      return false;
    }
  }
  return true;
}

bool HeaderListContains(std::string_view value, std::string_view token) {
  while (!value.empty()) {
    size_t comma = value.find(',');
    if (EqualsIgnoringCase(Trim(value.substr(0, comma)), token)) {
      return true;
    }
    value = comma == std::string_view::npos ? std::string_view()
                                            : value.substr(comma + 1);
  }
  return false;
}

std::string EncodeChunk(std::string_view bytes) {
  // 16 hexadecimal digits, CRLF and the terminating NUL need 19 bytes.
  constexpr size_t kSizeLineBytes = 24;
  std::array<char, kSizeLineBytes> size{};
  std::snprintf(size.data(), size.size(), "%zx\r\n", bytes.size());
  std::string out = size.data();
  out.append(bytes).append("\r\n");
  return out;
}

std::string EncodeChunkAt(std::string_view bytes, uint64_t offset) {
  // 16 hexadecimal digits and the terminating NUL.
  constexpr size_t kSizeDigits = 17;
  std::array<char, kSizeDigits> size{};
  std::snprintf(size.data(), size.size(), "%zx", bytes.size());
  std::string out = size.data();
  out.append(kChunkOffsetExtension).append(std::to_string(offset));
  return out.append("\r\n").append(bytes).append("\r\n");
}

const std::string* MessageHead::Find(std::string_view name) const {
  for (const HeaderField& field : fields) {
    if (EqualsIgnoringCase(field.name, name)) {
      return &field.value;
    }
  }
  return nullptr;
}

size_t MessageHead::Count(std::string_view name) const {
  size_t n = 0;
  for (const HeaderField& field : fields) {
    n += EqualsIgnoringCase(field.name, name) ? 1 : 0;
  }
  return n;
}

struct MessageParser::Impl {
  using Request = BeastParser<true>;
  using Response = BeastParser<false>;

  Kind kind;
  uint32_t header_limit;
  uint64_t body_limit;
  ParseError parse_error = ParseError::kNone;
  // monostate between messages, so that idle connections need no parser.
  std::variant<std::monostate, std::unique_ptr<Request>,
               std::unique_ptr<Response>>
      parser;

  void EnsureParser() {
    if (parser.index() != 0) {
      return;
    }
    if (kind == Kind::kRequest) {
      parser = std::make_unique<Request>(header_limit, body_limit);
    } else {
      parser = std::make_unique<Response>(header_limit, body_limit);
    }
  }

  template <typename Fn>
  auto Visit(Fn fn) {
    EnsureParser();
    if (kind == Kind::kRequest) {
      return fn(*std::get<1>(parser));
    }
    return fn(*std::get<2>(parser));
  }
};

MessageParser::MessageParser(Kind kind, uint32_t header_limit,
                             uint64_t body_limit)
    : impl_(std::make_unique<Impl>()) {
  impl_->kind = kind;
  impl_->header_limit = header_limit;
  impl_->body_limit = body_limit;
}

MessageParser::~MessageParser() = default;

size_t MessageParser::Feed(std::string_view bytes) {
  if (impl_->parse_error != ParseError::kNone || bytes.empty()) {
    return 0;
  }
  return impl_->Visit([&](auto& parser) -> size_t {
    size_t used = 0;
    while (used < bytes.size() && !parser.is_done()) {
      error_code ec;
      size_t n = parser.put(
          boost::asio::buffer(bytes.data() + used, bytes.size() - used), ec);
      used += n;
      if (ec == http::error::need_more) {
        break;
      }
      if (ec) {
        impl_->parse_error = ToParseError(ec);
        break;
      }
      if (n == 0) {
        break;
      }
    }
    return used;
  });
}

void MessageParser::ParseEof() {
  if (impl_->parser.index() == 0) {
    return;
  }
  impl_->Visit([&](auto& parser) {
    if (parser.is_done()) {
      return 0;
    }
    error_code ec;
    parser.put_eof(ec);
    if (ec) {
      impl_->parse_error = ParseError::kMalformed;
    }
    return 0;
  });
}

void MessageParser::Reset() {
  impl_->parser = std::monostate();
  impl_->parse_error = ParseError::kNone;
}

void MessageParser::SetLimits(uint32_t header_limit, uint64_t body_limit) {
  impl_->header_limit = header_limit;
  impl_->body_limit = body_limit;
}

ParseError MessageParser::parse_error() const { return impl_->parse_error; }

bool MessageParser::has_head() const {
  return impl_->parser.index() != 0 &&
         impl_->Visit([](auto& parser) { return parser.parsed.has_head; });
}

bool MessageParser::is_done() const {
  return impl_->parser.index() != 0 &&
         impl_->Visit([](auto& parser) { return parser.is_done(); });
}

bool MessageParser::ends_with_connection() const {
  return impl_->Visit([](auto& parser) { return parser.need_eof(); });
}

MessageHead& MessageParser::head() {
  return *impl_->Visit(
      [](auto& parser) -> MessageHead* { return &parser.parsed.head; });
}

std::string MessageParser::TakeBody() {
  return impl_->Visit([](auto& parser) {
    return std::exchange(parser.parsed.body, std::string());
  });
}

}  // namespace basilvalve::net
