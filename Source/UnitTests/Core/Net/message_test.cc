#include "Core/Net/message.h"

#include <catch2/catch.hpp>

namespace basilvalve::net {
namespace {

constexpr uint32_t kMaxHeaderBytes = 512;
constexpr uint64_t kMaxBodyBytes = 64;

// Feeds `step` bytes at a time and keeps unconsumed bytes, as a connection
// does. Returns the bytes that remain after the message.
std::string FeedAll(MessageParser* parser, std::string bytes, size_t step) {
  std::string pending;
  while (!bytes.empty() && parser->parse_error() == ParseError::kNone &&
         !parser->is_done()) {
    pending += bytes.substr(0, step);
    bytes.erase(0, step);
    pending.erase(0, parser->Feed(pending));
  }
  return pending + bytes;
}

TEST_CASE("chunks that do not continue each other are malformed") {
  const std::string head =
      "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n";
  const std::string first = EncodeChunkAt("first", 0);
  const std::string second = EncodeChunkAt("second", 5);
  const std::string third = EncodeChunkAt("third", 11);
  struct Row {
    const char* name;
    std::string body;
    ParseError error;
  };
  const std::vector<Row> rows = {
      {"complete", first + second + third + EncodeChunkAt("", 16),
       ParseError::kNone},
      {"without offsets", EncodeChunk("first") + std::string(kLastChunk),
       ParseError::kNone},
      {"a chunk is missing", first + third, ParseError::kMalformed},
      {"the first chunk is missing", second, ParseError::kMalformed},
      {"a chunk comes twice", first + first, ParseError::kMalformed},
      {"the last chunk is missing", first + second + EncodeChunkAt("", 16),
       ParseError::kMalformed},
  };
  for (const Row& row : rows) {
    for (size_t step : {size_t{1}, size_t{7}, row.body.size()}) {
      INFO(row.name << " in steps of " << step);
      MessageParser parser(MessageParser::Kind::kResponse, kMaxHeaderBytes,
                           kMaxBodyBytes);
      FeedAll(&parser, head + row.body, step);
      CHECK(parser.parse_error() == row.error);
      CHECK(parser.is_done() == (row.error == ParseError::kNone));
    }
  }
}

TEST_CASE("requests with ambiguous or broken framing are malformed") {
  struct Row {
    const char* name;
    std::string text;
  };
  const std::vector<Row> rows = {
      {"two lengths",
       "POST / HTTP/1.1\r\nContent-Length: 3\r\nContent-Length: 3\r\n\r\nabc"},
      {"a list of lengths",
       "POST / HTTP/1.1\r\nContent-Length: 3, 3\r\n\r\nabc"},
      {"length and chunks",
       "POST / HTTP/1.1\r\nContent-Length: 3\r\nTransfer-Encoding: "
       "chunked\r\n\r\n0\r\n\r\n"},
      {"chunks and length",
       "POST / HTTP/1.1\r\nTransfer-Encoding: chunked\r\nContent-Length: "
       "3\r\n\r\n0\r\n\r\n"},
      {"two codings",
       "POST / HTTP/1.1\r\nTransfer-Encoding: gzip, chunked\r\n\r\n0\r\n\r\n"},
      {"an unknown coding",
       "POST / HTTP/1.1\r\nTransfer-Encoding: xchunked\r\n\r\n0\r\n\r\n"},
      {"chunked twice",
       "POST / HTTP/1.1\r\nTransfer-Encoding: chunked\r\nTransfer-Encoding: "
       "chunked\r\n\r\n0\r\n\r\n"},
      {"a negative length", "POST / HTTP/1.1\r\nContent-Length: -1\r\n\r\n"},
      {"a space before the colon", "GET / HTTP/1.1\r\nHost : a\r\n\r\n"},
      {"another version", "GET / HTTP/2.0\r\nHost: a\r\n\r\n"},
      {"no request", "\x16\x03\x01\x02\r\n\r\n"},
      {"a bad chunk size",
       "POST / HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\nzz\r\nabc\r\n"},
  };
  for (const Row& row : rows) {
    for (size_t step : {size_t{1}, size_t{7}, row.text.size()}) {
      INFO(row.name << " in pieces of " << step);
      MessageParser parser(MessageParser::Kind::kRequest, kMaxHeaderBytes,
                           kMaxBodyBytes);
      FeedAll(&parser, row.text, step);
      CHECK(parser.parse_error() == ParseError::kMalformed);
    }
  }
}

// Guards against passing on a status that no server may send, such as 000.
TEST_CASE("a response with an impossible status is malformed") {
  for (const char* status :
       {"000", "099", "1000", "20", "2", "", "-20", "-200", "+200", "2 0",
        "0x2", "600", "999", "20x", " 200"}) {
    std::string text =
        std::string("HTTP/1.1 ") + status + " X\r\nContent-Length: 0\r\n\r\n";
    for (size_t step : {size_t{1}, text.size()}) {
      INFO(status << " in pieces of " << step);
      MessageParser parser(MessageParser::Kind::kResponse, kMaxHeaderBytes,
                           kMaxBodyBytes);
      FeedAll(&parser, text, step);
      CHECK(parser.parse_error() == ParseError::kMalformed);
      CHECK_FALSE(parser.has_head());
    }
  }
  for (const char* status : {"100", "200", "299", "599"}) {
    INFO(status);
    MessageParser parser(MessageParser::Kind::kResponse, kMaxHeaderBytes,
                         kMaxBodyBytes);
    FeedAll(
        &parser,
        std::string("HTTP/1.1 ") + status + " X\r\nContent-Length: 0\r\n\r\n",
        100);
    CHECK(parser.is_done());
    CHECK(parser.head().status == std::stoi(status));
  }
}

TEST_CASE("each exceeded limit reports its own error") {
  MessageParser head(MessageParser::Kind::kRequest, kMaxHeaderBytes,
                     kMaxBodyBytes);
  FeedAll(
      &head,
      "GET / HTTP/1.1\r\nX: " + std::string(kMaxHeaderBytes, 'a') + "\r\n\r\n",
      100);
  CHECK(head.parse_error() == ParseError::kHeaderTooLarge);
  MessageParser body(MessageParser::Kind::kRequest, kMaxHeaderBytes,
                     kMaxBodyBytes);
  FeedAll(&body, "POST / HTTP/1.1\r\nContent-Length: 65\r\n\r\n", 100);
  CHECK(body.parse_error() == ParseError::kBodyTooLarge);
  MessageParser chunks(MessageParser::Kind::kRequest, kMaxHeaderBytes,
                       kMaxBodyBytes);
  FeedAll(&chunks,
          "POST / HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\n41\r\n" +
              std::string(65, 'a') + "\r\n0\r\n\r\n",
          1000);
  CHECK(chunks.parse_error() == ParseError::kBodyTooLarge);
}

TEST_CASE("a request inside the body of another is not parsed as a request") {
  const std::string smuggled = "GET /hidden HTTP/1.1\r\nHost: a\r\n\r\n";
  MessageParser parser(MessageParser::Kind::kRequest, kMaxHeaderBytes,
                       kMaxBodyBytes);
  std::string rest = FeedAll(
      &parser,
      "POST /open HTTP/1.1\r\nHost: a\r\nContent-Length: " +
          std::to_string(smuggled.size()) + "\r\n\r\n" + smuggled + "GET /next",
      5);
  REQUIRE(parser.is_done());
  CHECK(parser.head().target == "/open");
  CHECK(parser.TakeBody() == smuggled);
  CHECK(rest == "GET /next");
}

TEST_CASE("the parsed message does not depend on how its bytes are split") {
  const std::string text =
      "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\nKeep-Alive: "
      "timeout=5\r\n\r\n5\r\nhello\r\n6;x=y\r\n world\r\n0\r\n\r\n";
  for (size_t step = 1; step <= text.size(); ++step) {
    INFO("in pieces of " << step);
    MessageParser parser(MessageParser::Kind::kResponse, kMaxHeaderBytes,
                         kMaxBodyBytes);
    CHECK(FeedAll(&parser, text, step).empty());
    REQUIRE(parser.is_done());
    CHECK(parser.TakeBody() == "hello world");
    CHECK(parser.head().keep_alive);
    CHECK(*parser.head().Find("keep-alive") == "timeout=5");
  }
}

// Guards against MIXED: fields behind the body pass for headers.
TEST_CASE("trailers are no headers, however the bytes are split") {
  const std::string fields =
      "Transfer-Encoding: chunked\r\nProof: p\r\n\r\n1\r\nx\r\n0\r\n"
      "Proof: q\r\nLeaving: 1\r\n\r\n";
  struct Row {
    MessageParser::Kind kind;
    std::string bytes;
  };
  for (const Row& row :
       {Row{MessageParser::Kind::kRequest, "POST / HTTP/1.1\r\n" + fields},
        Row{MessageParser::Kind::kResponse, "HTTP/1.1 200 OK\r\n" + fields}}) {
    for (size_t step : {size_t{1}, size_t{40}, row.bytes.size()}) {
      INFO(row.bytes << " in steps of " << step);
      MessageParser parser(row.kind, kMaxHeaderBytes, kMaxBodyBytes);
      CHECK(FeedAll(&parser, row.bytes, step).empty());
      REQUIRE(parser.is_done());
      CHECK(parser.parse_error() == ParseError::kNone);
      CHECK(parser.head().Count("Proof") == 1);
      CHECK(parser.head().Count("Leaving") == 0);
      CHECK(parser.TakeBody() == "x");
    }
  }
}

TEST_CASE("a response without a length ends with its connection") {
  MessageParser parser(MessageParser::Kind::kResponse, kMaxHeaderBytes,
                       kMaxBodyBytes);
  FeedAll(&parser, "HTTP/1.1 200 OK\r\n\r\nabc", 4);
  CHECK(parser.ends_with_connection());
  CHECK_FALSE(parser.is_done());
  parser.ParseEof();
  CHECK(parser.is_done());
  CHECK(parser.TakeBody() == "abc");
  MessageParser cut(MessageParser::Kind::kResponse, kMaxHeaderBytes,
                    kMaxBodyBytes);
  FeedAll(&cut, "HTTP/1.1 200 OK\r\nContent-Length: 4\r\n\r\nabc", 4);
  cut.ParseEof();
  CHECK(cut.parse_error() == ParseError::kMalformed);
}

}  // namespace
}  // namespace basilvalve::net
