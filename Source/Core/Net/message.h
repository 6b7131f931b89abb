// HTTP/1.1 message heads and a strict incremental parser.
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

/// Compares two header names or tokens, ignoring ASCII case. Thread safe.
bool EqualsIgnoringCase(std::string_view left, std::string_view right);
/// Whether a comma-separated header value contains the token, ignoring case.
/// Thread safe.
bool HeaderListContains(std::string_view value, std::string_view token);

/// Encodes one chunk of a chunked body. Pre: `bytes` is not empty, as an empty
/// chunk ends the body. Thread safe.
std::string EncodeChunk(std::string_view bytes);
/// The same with the chunk's offset in the body as a chunk extension. The
/// parser rejects a body whose chunks do not continue each other, which shows
/// bytes that were lost between chunks. An empty chunk ends the body. Thread
/// safe.
std::string EncodeChunkAt(std::string_view bytes, uint64_t offset);
/// Terminates a chunked body; it has no trailer.
inline constexpr std::string_view kLastChunk = "0\r\n\r\n";

/// Start line and header fields of a request or a response.
struct MessageHead {
  std::string method;
  std::string target;
  int status = 0;
  bool keep_alive = false;
  bool chunked = false;
  std::optional<uint64_t> content_length;
  std::vector<HeaderField> fields;

  /// Value of the first field of that name, ignoring case; nullptr if absent.
  /// Safe for concurrent readers.
  const std::string* Find(std::string_view name) const;
  /// Number of fields of that name, ignoring case. Safe for concurrent readers.
  size_t Count(std::string_view name) const;
};

/// Why the bytes were rejected.
enum class ParseError { kNone, kMalformed, kHeaderTooLarge, kBodyTooLarge };

/// Incremental parser for consecutive messages of one connection. Rejects
/// ambiguous framing as malformed. Not thread safe.
class MessageParser {
 public:
  enum class Kind { kRequest, kResponse };
  /// The limits are in bytes and apply to each message.
  MessageParser(Kind kind, uint32_t header_limit, uint64_t body_limit);
  ~MessageParser();
  MessageParser(const MessageParser&) = delete;
  MessageParser& operator=(const MessageParser&) = delete;

  /// Parses up to the end of the message and returns the number of bytes
  /// consumed. The caller passes the remaining bytes again, followed by newly
  /// received ones. Not thread safe.
  size_t Feed(std::string_view bytes);
  /// Signals that the connection ended. This completes a response without a
  /// length; any other incomplete message becomes malformed. Not thread safe.
  void ParseEof();
  /// Discards the parsed message and its error to parse the next one. Not
  /// thread safe.
  void Reset();

  /// Sets the limits of the next message. Not thread safe.
  void SetLimits(uint32_t header_limit, uint64_t body_limit);

  /// kNone unless the current message was rejected. Not thread safe.
  ParseError parse_error() const;
  /// Whether the head is complete. Not thread safe.
  bool has_head() const;
  /// Whether the message is complete. Not thread safe.
  bool is_done() const;
  /// Whether the end of the connection marks the end of the body. Not thread
  /// safe.
  bool ends_with_connection() const;
  /// Pre: has_head(). Not thread safe.
  MessageHead& head();
  /// Returns the body bytes, without framing, parsed since the last call. Not
  /// thread safe.
  std::string TakeBody();

 private:
  struct Impl;
  std::unique_ptr<Impl> impl_;
};

}  // namespace basilvalve::net
