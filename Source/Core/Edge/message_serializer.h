// Requests and answers as they go onto a connection.
#pragma once

#include <optional>
#include <string>
#include <string_view>

#include "Core/Common/result_code.h"
#include "Core/Edge/call_dialect.h"
#include "Core/Net/server_connection.h"

namespace basilvalve::edge {

/// A caller's request as it is sent on: without what concerns one connection
/// only, with the lines that are this system's to set. `hop` is empty unless
/// another instance gets it. Thread safe.
std::string RequestText(const net::ServerRequest& request,
                        const CallDialect& dialect, const SendParams& terms,
                        std::string_view hop);
/// Start line and fields of an upstream's answer as a caller gets them, without
/// framing and without the empty line. Thread safe.
std::string AnswerHeadText(const net::MessageHead& head);
/// A whole answer with its length. Thread safe.
std::string WholeAnswerText(const net::MessageHead& head, std::string_view body,
                            bool keep_alive);
/// Head of an answer whose body comes in chunks. Thread safe.
std::string ChunkedHeadText(const net::MessageHead& head, bool keep_alive);
/// An answer of this system's own. `outcome` is told to another instance only.
/// Thread safe.
std::string FailureText(int status, Millis retry_after,
                        std::optional<Outcome> outcome, bool keep_alive);

}  // namespace basilvalve::edge
