#include "client.h"

#include <cstdio>
#include <cstdlib>
#include <functional>

namespace review {

std::string TextOf(const Request& request) {
  std::string text =
      "POST " + request.prefix + "2f HTTP/1.1\r\nHost: review.example\r\n" +
      "X-Request-Id: " + request.id +
      "\r\nX-Deadline-Ms: " + std::to_string(request.limit_ms) + "\r\n";
  if (request.tokens_in > 0) {
    int shared = request.tokens_in / 4;
    std::string prompt = request.prompt;
    if (prompt.empty()) {
      char own[24];
      snprintf(own, sizeof(own), "%zx", std::hash<std::string>()(request.id));
      prompt = "a" + std::to_string(request.subject) + ":" +
               std::to_string(shared) + "," + own + ":" +
               std::to_string(request.tokens_in - shared);
    }
    text +=
        "X-Model: m\r\nX-Token-Usage: " + std::to_string(request.tokens_in) +
        "," + std::to_string(request.tokens_out) +
        "\r\nX-Prompt-Prefix: " + prompt + "\r\n";
  }
  return text + "Content-Length: 4\r\n\r\nbody";
}

size_t EventsIn(const std::string& body) {
  size_t n = 0;
  for (size_t at = 0; (at = body.find("\n\n", at)) != std::string::npos;
       at += 2) {
    ++n;
  }
  return n;
}

std::vector<int64_t> EventIdsIn(const std::string& body) {
  std::vector<int64_t> ids;
  for (size_t at = body.find("id: "); at != std::string::npos;
       at = body.find("\nid: ", at)) {
    at += body.compare(at, 1, "\n") == 0 ? 5 : 4;
    ids.push_back(strtoll(body.c_str() + at, nullptr, 10));
  }
  return ids;
}

bool Ask(Channel* channel, const Request& request, Message* answer) {
  return channel->Write(TextOf(request)) &&
         channel->Read(answer, NowMs() + request.limit_ms + 500);
}

}  // namespace review
