#include "Core/Edge/message_serializer.h"

#include <algorithm>
#include <array>
#include <charconv>
#include <cstdio>

#include "Core/Edge/hop_header.h"

namespace basilvalve::edge {
namespace {

// Headers that apply to a single connection (RFC 9110, 7.6.1).
constexpr std::array<std::string_view, 9> kHopByHopHeaders = {
    "Connection",       "Keep-Alive",
    "Proxy-Connection", "TE",
    "Trailer",          "Transfer-Encoding",
    "Upgrade",          "Proxy-Authorization",
    "Content-Length"};

// A longer time is not taken from a response.
constexpr double kMaxRetryAfterSeconds = 60;

// Whether the header applies to a single connection. The Connection header may
// list additional ones.
bool IsHopByHop(const net::MessageHead& head, std::string_view name) {
  const std::string* connection_options = head.Find("Connection");
  return std::any_of(kHopByHopHeaders.begin(), kHopByHopHeaders.end(),
                     [name](std::string_view it) {
                       return net::EqualsIgnoringCase(it, name);
                     }) ||
         (connection_options != nullptr &&
          net::HeaderListContains(*connection_options, name));
}

// Whether only instances send the header, to each other.
bool IsInstanceHeader(std::string_view name) {
  return std::any_of(kHopResponseHeaders.begin(), kHopResponseHeaders.end(),
                     [name](std::string_view it) {
                       return net::EqualsIgnoringCase(it, name);
                     });
}

std::string_view ReasonPhrase(int status) {
  switch (status) {
    case 200:
      return "OK";
    case 400:
      return "Bad Request";
    case 401:
      return "Unauthorized";
    case 404:
      return "Not Found";
    case 429:
      return "Too Many Requests";
    case 502:
      return "Bad Gateway";
    case 503:
      return "Service Unavailable";
    case 504:
      return "Gateway Timeout";
    default:
      return "Answer";
  }
}

void AppendHeader(std::string_view name, std::string_view value,
                  std::string* head) {
  head->append(name).append(": ").append(value).append("\r\n");
}

void EndHead(bool keep_alive, std::string* head) {
  head->append(keep_alive ? "\r\n" : "Connection: close\r\n\r\n");
}

}  // namespace

std::string StatusLine(int status) {
  std::string out = "HTTP/1.1 " + std::to_string(status) + " ";
  out.append(ReasonPhrase(status)).append("\r\n");
  return out;
}

std::string SerializeRequest(const net::ServerRequest& request,
                             const CallDialect& dialect,
                             const SendParams& params,
                             std::string_view hop_header) {
  std::string out =
      request.head.method + " " + request.head.target + " HTTP/1.1\r\n";
  for (const net::HeaderField& field : request.head.fields) {
    if (!IsHopByHop(request.head, field.name) &&
        dialect.ForwardsHeader(field.name) &&
        !(params.hides_identity && dialect.IsIdentityHeader(field.name)) &&
        !net::EqualsIgnoringCase(field.name, kHopHeader)) {
      AppendHeader(field.name, field.value, &out);
    }
  }
  dialect.AppendHeaders(params, &out);
  if (!hop_header.empty()) {
    AppendHeader(kHopHeader, hop_header, &out);
  }
  if (!request.body.empty() || request.head.content_length ||
      request.head.chunked) {
    AppendHeader("Content-Length", std::to_string(request.body.size()), &out);
  }
  out.append("\r\n").append(request.body);
  return out;
}

std::string SerializeResponseHead(const net::MessageHead& head,
                                  const CallDialect& dialect,
                                  std::string_view hop_lines) {
  std::string out = StatusLine(head.status);
  for (const net::HeaderField& field : head.fields) {
    if (!IsHopByHop(head, field.name) && !IsInstanceHeader(field.name) &&
        dialect.ForwardsResponseHeader(field.name)) {
      AppendHeader(field.name, field.value, &out);
    }
  }
  out.append(hop_lines);
  return out;
}

std::string SerializeSizedHead(const net::MessageHead& head,
                               const CallDialect& dialect,
                               std::string_view hop_lines, size_t body_bytes,
                               bool keep_alive) {
  std::string out = SerializeResponseHead(head, dialect, hop_lines);
  AppendHeader("Content-Length", std::to_string(body_bytes), &out);
  EndHead(keep_alive, &out);
  return out;
}

std::string SerializeResponse(const net::MessageHead& head,
                              const CallDialect& dialect,
                              std::string_view hop_lines, std::string_view body,
                              bool keep_alive) {
  std::string out =
      SerializeSizedHead(head, dialect, hop_lines, body.size(), keep_alive);
  out.append(body);
  return out;
}

std::string SerializeChunkedHead(const net::MessageHead& head,
                                 const CallDialect& dialect,
                                 std::string_view hop_lines, bool keep_alive) {
  std::string out = SerializeResponseHead(head, dialect, hop_lines);
  AppendHeader("Transfer-Encoding", "chunked", &out);
  EndHead(keep_alive, &out);
  return out;
}

std::string SerializeFailure(int status, Millis retry_after,
                             const std::optional<HopFailure>& failure,
                             std::string_view hop_lines, bool keep_alive) {
  std::string out = StatusLine(status);
  AppendHeader("Content-Length", "0", &out);
  if (retry_after > Millis::zero()) {
    std::array<char, 32> seconds{};
    std::snprintf(seconds.data(), seconds.size(), "%.3f",
                  static_cast<double>(retry_after.count()) / 1000);
    AppendHeader("Retry-After", seconds.data(), &out);
  }
  if (failure) {
    AppendHeader(kHopOutcomeHeader, OutcomeName(failure->outcome), &out);
    AppendHeader(kHopCallHeader, failure->call.value(), &out);
  }
  if (failure && failure->is_unsent) {
    AppendHeader(kHopUnsentHeader, "1", &out);
  }
  out.append(hop_lines);
  EndHead(keep_alive, &out);
  return out;
}

Millis ParseRetryAfter(const net::MessageHead& head) {
  const std::string* value = head.Find("Retry-After");
  double seconds = 0;
  if (value == nullptr ||
      std::from_chars(value->data(), value->data() + value->size(), seconds)
              .ec != std::errc() ||
      !(seconds > 0 && seconds <= kMaxRetryAfterSeconds)) {
    return Millis(0);
  }
  return Millis(static_cast<int64_t>(seconds * 1000));
}

}  // namespace basilvalve::edge
