#include "Core/Edge/hop_header.h"

#include <sstream>

namespace basilvalve::edge {
namespace {

constexpr std::string_view kNoUpstream = "-";
// Precedes the name of a workspace, so that no name reads as kNoWorkspace.
constexpr char kWorkspaceMark = '=';
constexpr std::string_view kNoWorkspace = "-";

// Reads the fields that follow those of earlier versions, if there are any.
// Returns whether they are well-formed.
bool ReadWorkspace(std::istringstream* in, HopParams* params) {
  std::string workspace;
  if (!(*in >> workspace)) {
    return true;
  }
  *in >> params->workspace_priority;
  if (workspace.starts_with(kWorkspaceMark)) {
    params->workspace = WorkspaceId(workspace.substr(1));
  } else if (workspace != kNoWorkspace) {
    return false;
  }
  return !in->fail() && params->workspace_priority >= 0;
}

}  // namespace

std::string FormatHopLeaving(const HopLeaving& leaving) {
  return leaving.upstream.value() + ' ' + std::to_string(leaving.started_at_ms);
}

std::optional<HopLeaving> ParseHopLeaving(const std::string& text) {
  std::istringstream in(text);
  std::string upstream;
  HopLeaving leaving;
  in >> upstream >> leaving.started_at_ms;
  if (!in || !(in >> std::ws).eof()) {
    return std::nullopt;
  }
  leaving.upstream = UpstreamId(upstream);
  return leaving;
}

std::string FormatHopHeader(const HopParams& params) {
  std::ostringstream out;
  out << params.service.value() << ' ' << static_cast<int>(params.kind) << ' '
      << params.is_resumable << ' ' << params.priority << ' '
      << params.time_left.count() << ' ' << params.response_time_left.count()
      << ' ' << params.target_left.count() << ' '
      << params.event_interval_target.count() << ' ' << params.is_last_hop
      << ' ' << params.is_resumed << ' ' << params.can_sender_retry << ' '
      << (params.suggested_upstream.empty() ? std::string(kNoUpstream)
                                            : params.suggested_upstream.value())
      << ' '
      << (params.workspace.empty() ? std::string(kNoWorkspace)
                                   : kWorkspaceMark + params.workspace.value())
      << ' ' << params.workspace_priority;
  return out.str();
}

std::optional<HopParams> ParseHopHeader(const std::string& text) {
  std::istringstream in(text);
  std::string service;
  std::string upstream;
  int kind = 0;
  int64_t time_left = 0;
  int64_t response_time_left = 0;
  int64_t target_left = 0;
  int64_t event_interval_target = 0;
  HopParams params;
  in >> service >> kind >> params.is_resumable >> params.priority >>
      time_left >> response_time_left >> target_left >> event_interval_target >>
      params.is_last_hop >> params.is_resumed >> params.can_sender_retry >>
      upstream;
  if (!in || kind < 0 || kind > static_cast<int>(flow::CallKind::kStream)) {
    return std::nullopt;
  }
  params.service = ServiceName(service);
  params.kind = static_cast<flow::CallKind>(kind);
  params.time_left = Millis(time_left);
  params.response_time_left = Millis(response_time_left);
  params.target_left = Millis(target_left);
  params.event_interval_target = Millis(event_interval_target);
  if (upstream != kNoUpstream) {
    params.suggested_upstream = UpstreamId(upstream);
  }
  if (!ReadWorkspace(&in, &params)) {
    return std::nullopt;
  }
  return params;
}

}  // namespace basilvalve::edge
