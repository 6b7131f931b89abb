// HTTP/1.1 heads as the gateway handles them, and strict parsers for them.
#pragma once

#include <cstdint>
#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace basilvalve::net {

struct HeaderField {
  std::string name;
  std::string value;
};

/// Whether two header names or words are the same but for case. Thread safe.
bool EqualsIgnoringCase(std::string_view left, std::string_view right);
/// Whether a comma-separated header value holds the word. Thread safe.
bool HeaderListContains(std::string_view value, std::string_view word);

/// One chunk of a chunked body. Pre: not empty, which would be the last chunk.
/// Thread safe.
std::string EncodeChunk(std::string_view bytes);
/// What ends a chunked body.
inline constexpr std::string_view kLastChunk = "0\r\n\r\n";

/// Start line and fields of a request or a response.
struct MessageHead {
  std::string method;
  std::string target;
  int status = 0;
  bool keep_alive = false;
  bool chunked = false;
  std::optional<uint64_t> content_length;
  std::vector<HeaderField> fields;

  /// The first field of that name, nullptr if there is none. Thread safe for
  /// readers.
  const std::string* Find(std::string_view name) const;
  /// How often a field of that name occurs. Thread safe for readers.
  size_t Count(std::string_view name) const;
};

/// Why bytes are no message.
enum class ParseError { kNone, kMalformed, kHeaderTooLarge, kBodyTooLarge };

/// An incremental parser for one message after the other. Ambiguous framing
/// is malformed. Not thread safe.
class MessageParser {
 public:
  enum class Kind { kRequest, kResponse };
  /// The limits hold for each message.
  MessageParser(Kind kind, uint32_t header_limit, uint64_t body_limit);
  ~MessageParser();
  MessageParser(const MessageParser&) = delete;
  MessageParser& operator=(const MessageParser&) = delete;

  /// Takes bytes and returns how many were used; the others have to be fed
  /// again with what follows them. Stops at the end of the message. Not thread
  /// safe.
  size_t Feed(std::string_view bytes);
  /// The other side has closed; ends a response that has no length. Not thread
  /// safe.
  void ParseEof();
  /// Drops what was parsed, for the next message. Not thread safe.
  void Reset();

  /// Not thread safe.
  ParseError parse_error() const;
  /// Not thread safe.
  bool has_head() const;
  /// Not thread safe.
  bool is_done() const;
  /// Whether the response ends with its connection. Not thread safe.
  bool ends_with_connection() const;
  /// Pre: has_head(). Not thread safe.
  MessageHead& head();
  /// Body bytes, without their framing, that were fed since the last call. Not
  /// thread safe.
  std::string TakeBody();

 private:
  struct Impl;
  std::unique_ptr<Impl> impl_;
};

}  // namespace basilvalve::net
