// Clients of the review's cases.
#pragma once

#include <memory>
#include <string>

#include "deployment.h"
#include "http.h"

namespace review {

/// One request of a client.
struct Request {
  std::string id;
  std::string prefix;
  int limit_ms = 0;
  /// Of a model call; 0 for a plain one.
  int tokens_in = 0;
  int tokens_out = 0;
  /// Names the shared part of its prompt.
  int subject = 0;
  /// Of a model call; instead of what follows from the subject.
  std::string prompt = {};
};

std::string TextOf(const Request& request);

/// Events that end in the body of a stream.
size_t EventsIn(const std::string& body);
/// Ids of its events, in their order.
std::vector<int64_t> EventIdsIn(const std::string& body);

/// Sends a request on the channel and reads the answer. False if the channel
/// ended or the time was over before a head came.
bool Ask(Channel* channel, const Request& request, Message* answer);

}  // namespace review
