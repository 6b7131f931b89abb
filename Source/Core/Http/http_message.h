// Plain types for HTTP messages, free of any library's own.
#pragma once

#include <cstddef>
#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

#include "Core/Net/message.h"
#include "Core/Net/socket.h"

namespace basilvalve::http {

using net::Endpoint;

/// Parses "ip:port"; false for other text. Thread safe. Pre: `endpoint` is not
/// null.
bool ParseEndpoint(std::string_view text, Endpoint* endpoint);

using Header = net::HeaderField;
using Headers = std::vector<Header>;

/// First value of a header, compared without regard to case; empty if absent.
/// Thread safe.
std::string_view FindHeader(const Headers& headers, std::string_view name);
/// How often a header occurs. Thread safe.
size_t CountHeader(const Headers& headers, std::string_view name);

/// A request to send, or one received with its whole body.
struct Request {
  std::string method;
  std::string path;
  /// Text after '?', without it.
  std::string query;
  Headers headers;
  std::string body;
};

/// Value of a query parameter, empty if absent; no percent decoding. Thread
/// safe.
std::string QueryValue(std::string_view query, std::string_view name);

/// Status line and headers of an answer.
struct ResponseHead {
  int status = 0;
  Headers headers;
};

/// Reason phrase of a status. Thread safe.
const char* ReasonPhrase(int status);

}  // namespace basilvalve::http
