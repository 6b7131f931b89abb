#include "Core/Gateway/request_parser.h"

#include <array>
#include <charconv>

namespace basilvalve::gateway {
namespace {

constexpr int64_t kMaxDeadlineMs = 3600000;
constexpr size_t kMaxIdempotencyKeyBytes = 256;
constexpr std::string_view kBearerPrefix = "Bearer ";
// Headers that determine how a call is handled. A second value is rejected
// because components could disagree on which of the two applies.
constexpr std::array<const char*, 7> kSingleValueHeaders = {
    "Authorization",     "Basilvalve-Service",     "Idempotency-Key",
    "Basilvalve-Ticket", "Basilvalve-Deadline-Ms", "traceparent",
    "Content-Type"};

Result<void> CheckNoDuplicateHeaders(const http::Headers& headers) {
  for (const char* it : kSingleValueHeaders) {
    if (http::CountHeader(headers, it) > 1) {
      return Fail(ResultCode::kDuplicateHeader,
                  std::string(it) + ": given more than once");
    }
  }
  return {};
}

Result<Micros> ParseDeadline(std::string_view text) {
  if (text.empty()) {
    return Micros(0);
  }
  int64_t ms = 0;
  auto [end, ec] = std::from_chars(text.data(), text.data() + text.size(), ms);
  if (ec != std::errc() || end != text.data() + text.size() || ms < 1 ||
      ms > kMaxDeadlineMs) {
    return Fail(
        ResultCode::kMalformedRequest,
        "Basilvalve-Deadline-Ms: must be a whole number from 1 to 3600000");
  }
  return Micros(Millis(ms));
}

Result<void> ParseServiceAndPath(const http::Request& request, Call* call) {
  if (request.path == kModelPath) {
    call->service = ServiceName(
        std::string(http::FindHeader(request.headers, "Basilvalve-Service")));
    call->path = request.path;
    if (call->service.empty()) {
      return Fail(ResultCode::kMalformedRequest,
                  "Basilvalve-Service: is required");
    }
    return {};
  }
  std::string_view rest(request.path);
  rest.remove_prefix(kServicePrefix.size());
  size_t slash = rest.find('/');
  if (slash == std::string_view::npos || slash == 0) {
    return Fail(ResultCode::kMalformedRequest,
                "the path must be /v1/services/{service}/{path}");
  }
  call->service = ServiceName(std::string(rest.substr(0, slash)));
  call->path = std::string(rest.substr(slash));
  return {};
}

}  // namespace

Result<Call> ParseCall(http::Exchange* exchange, const NodeParts& parts) {
  const http::Request& request = exchange->request();
  Result<void> checked = CheckNoDuplicateHeaders(request.headers);
  if (!checked) {
    return tl::make_unexpected(checked.error());
  }
  if (exchange->body_too_large()) {
    return Fail(ResultCode::kBodyTooLarge,
                "the body is longer than this instance accepts");
  }
  Call call;
  call.id = RequestId(parts.self.value() + "." +
                      std::to_string(parts.incarnation.value()) + "." +
                      parts.ids->NewHexId());
  call.trace =
      parts.ids->NewChildSpan(http::FindHeader(request.headers, "traceparent"));
  call.method = request.method;
  call.query = request.query;
  call.content_type =
      std::string(http::FindHeader(request.headers, "Content-Type"));
  call.body = exchange->TakeBody();
  call.arrived = parts.clock->Now();
  call.ticket =
      std::string(http::FindHeader(request.headers, "Basilvalve-Ticket"));
  call.idempotency_key =
      std::string(http::FindHeader(request.headers, "Idempotency-Key"));
  if (call.idempotency_key.size() > kMaxIdempotencyKeyBytes) {
    return Fail(ResultCode::kMalformedRequest,
                "Idempotency-Key: at most 256 bytes");
  }
  std::string_view authorization =
      http::FindHeader(request.headers, "Authorization");
  if (authorization.starts_with(kBearerPrefix)) {
    call.bearer = std::string(authorization.substr(kBearerPrefix.size()));
  }
  Result<Micros> deadline = ParseDeadline(
      http::FindHeader(request.headers, "Basilvalve-Deadline-Ms"));
  if (!deadline) {
    return tl::make_unexpected(deadline.error());
  }
  call.requested_timeout = *deadline;
  Result<void> target = ParseServiceAndPath(request, &call);
  if (!target) {
    return tl::make_unexpected(target.error());
  }
  return call;
}

Result<RequestOrigin> ParseRequestId(const RequestId& id) {
  const std::string& text = id.value();
  size_t first_dot = text.find('.');
  size_t second_dot = first_dot == std::string::npos
                          ? first_dot
                          : text.find('.', first_dot + 1);
  if (second_dot == std::string::npos) {
    return Fail(ResultCode::kMalformedRequest, "malformed request id");
  }
  uint64_t incarnation = 0;
  auto [end, ec] = std::from_chars(text.data() + first_dot + 1,
                                   text.data() + second_dot, incarnation);
  if (ec != std::errc() || end != text.data() + second_dot) {
    return Fail(ResultCode::kMalformedRequest, "malformed request id");
  }
  return RequestOrigin{InstanceId(text.substr(0, first_dot)),
                       Incarnation(incarnation)};
}

}  // namespace basilvalve::gateway
