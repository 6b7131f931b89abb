#include "Core/Http/http_message.h"

#include <algorithm>
#include <charconv>

namespace basilvalve::http {
bool ParseEndpoint(std::string_view text, Endpoint* endpoint) {
  size_t colon = text.rfind(':');
  if (colon == std::string_view::npos || colon == 0) {
    return false;
  }
  std::string_view digits = text.substr(colon + 1);
  uint16_t port = 0;
  auto [end, ec] =
      std::from_chars(digits.data(), digits.data() + digits.size(), port);
  if (ec != std::errc() || end != digits.data() + digits.size() ||
      digits.empty()) {
    return false;
  }
  endpoint->host = std::string(text.substr(0, colon));
  endpoint->port = port;
  return true;
}

std::string_view FindHeader(const Headers& headers, std::string_view name) {
  auto it = std::find_if(headers.begin(), headers.end(),
                         [name](const Header& header) {
                           return net::EqualsIgnoringCase(header.name, name);
                         });
  if (it == headers.end()) {
    return {};
  }
  return it->value;
}

size_t CountHeader(const Headers& headers, std::string_view name) {
  return static_cast<size_t>(std::count_if(
      headers.begin(), headers.end(), [name](const Header& header) {
        return net::EqualsIgnoringCase(header.name, name);
      }));
}

std::string QueryValue(std::string_view query, std::string_view name) {
  size_t begin = 0;
  while (begin < query.size()) {
    size_t end = std::min(query.find('&', begin), query.size());
    std::string_view pair = query.substr(begin, end - begin);
    size_t equals = pair.find('=');
    if (equals != std::string_view::npos && pair.substr(0, equals) == name) {
      return std::string(pair.substr(equals + 1));
    }
    begin = end + 1;
  }
  return "";
}

const char* ReasonPhrase(int status) {
  switch (status) {
    case 200:
      return "OK";
    case 400:
      return "Bad Request";
    case 401:
      return "Unauthorized";
    case 403:
      return "Forbidden";
    case 404:
      return "Not Found";
    case 409:
      return "Conflict";
    case 413:
      return "Payload Too Large";
    case 429:
      return "Too Many Requests";
    case 499:
      return "Client Closed Request";
    case 502:
      return "Bad Gateway";
    case 503:
      return "Service Unavailable";
    case 504:
      return "Gateway Timeout";
    case 508:
      return "Loop Detected";
    default:
      return status < 400 ? "OK" : "Error";
  }
}

}  // namespace basilvalve::http
