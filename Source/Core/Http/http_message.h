// HTTP message types, independent of any HTTP library.
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

/// Parses "HOST:PORT" without checking the host; false for any other text.
/// Thread safe. Pre: `endpoint` is not null.
bool ParseEndpoint(std::string_view text, Endpoint* endpoint);

using Header = net::HeaderField;
using Headers = std::vector<Header>;

/// First value of a header, ignoring the case of its name; empty if absent.
/// Thread safe.
std::string_view FindHeader(const Headers& headers, std::string_view name);
/// Number of occurrences of a header, ignoring case. Thread safe.
size_t CountHeader(const Headers& headers, std::string_view name);

/// A request to send or a completely received one.
struct Request {
  std::string method;
  std::string path;
  /// The part of the target after '?'.
  std::string query;
  Headers headers;
  std::string body;
};

/// Value of a query parameter without percent decoding; empty if absent. Thread
/// safe.
std::string QueryValue(std::string_view query, std::string_view name);

/// Status and headers of a response.
struct ResponseHead {
  int status = 0;
  Headers headers;
};

/// Reason phrase for a status code. Thread safe.
const char* ReasonPhrase(int status);

}  // namespace basilvalve::http
