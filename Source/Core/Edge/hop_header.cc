#include "Core/Edge/hop_header.h"

#include <sstream>

namespace basilvalve::edge {

std::string FormatHopHeader(const HopTerms& terms) {
  std::ostringstream out;
  out << terms.service.value() << ' ' << static_cast<int>(terms.kind) << ' '
      << terms.is_resumable << ' ' << terms.priority << ' '
      << terms.time_left.count() << ' ' << terms.answer_left.count() << ' '
      << terms.target_left.count() << ' ' << terms.pause_target.count();
  return out.str();
}

std::optional<HopTerms> ParseHopHeader(const std::string& text) {
  std::istringstream in(text);
  std::string service;
  int kind = 0;
  int64_t time_left = 0;
  int64_t answer_left = 0;
  int64_t target_left = 0;
  int64_t pause_target = 0;
  HopTerms terms;
  in >> service >> kind >> terms.is_resumable >> terms.priority >> time_left >>
      answer_left >> target_left >> pause_target;
  if (!in || kind < 0 || kind > static_cast<int>(flow::CallKind::kStream)) {
    return std::nullopt;
  }
  terms.service = ServiceName(service);
  terms.kind = static_cast<flow::CallKind>(kind);
  terms.time_left = Millis(time_left);
  terms.answer_left = Millis(answer_left);
  terms.target_left = Millis(target_left);
  terms.pause_target = Millis(pause_target);
  return terms;
}

}  // namespace basilvalve::edge
