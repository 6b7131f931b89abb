#include "Core/Claims/ticket.h"

#include <charconv>
#include <vector>

namespace basilvalve::claims {
namespace {

constexpr std::string_view kFormatTag = "bv1";
constexpr char kSeparator = '/';
constexpr size_t kFieldCount = 7;
// Domain separation: keeps a ticket's MAC distinct from that of other messages
// signed with the same key.
constexpr std::string_view kMacDomain = "ticket:";

std::vector<std::string_view> Split(std::string_view text) {
  std::vector<std::string_view> fields;
  while (true) {
    size_t end = text.find(kSeparator);
    fields.push_back(text.substr(0, end));
    if (end == std::string_view::npos) {
      return fields;
    }
    text.remove_prefix(end + 1);
  }
}

bool ParseNumber(std::string_view text, uint64_t* number) {
  auto [end, ec] =
      std::from_chars(text.data(), text.data() + text.size(), *number);
  return ec == std::errc() && end == text.data() + text.size();
}

std::string MacInput(std::string_view fields) {
  return std::string(kMacDomain) + std::string(fields);
}

}  // namespace

std::string FormatTicket(const Ticket& ticket, const Keyring& keyring) {
  std::string text(kFormatTag);
  text.append("/").append(ticket.region.value());
  text.append("/").append(ticket.owner.value());
  text.append("/").append(std::to_string(ticket.incarnation.value()));
  text.append("/").append(std::to_string(ticket.sequence.value()));
  text.append("/").append(ticket.service.value());
  return text + "/" + keyring.Sign(MacInput(text));
}

Result<Ticket> ParseTicket(std::string_view text, const Keyring& keyring) {
  std::vector<std::string_view> fields = Split(text);
  if (fields.size() != kFieldCount || fields.front() != kFormatTag) {
    return Fail(ResultCode::kTicketInvalid,
                "text does not have the format of a ticket");
  }
  std::string_view mac = fields.back();
  std::string_view body = text.substr(0, text.size() - mac.size() - 1);
  if (!keyring.Verify(MacInput(body), mac)) {
    return Fail(ResultCode::kTicketInvalid, "the ticket's MAC does not match");
  }
  uint64_t incarnation = 0;
  uint64_t sequence = 0;
  if (!ParseNumber(fields[3], &incarnation) ||
      !ParseNumber(fields[4], &sequence)) {
    return Fail(
        ResultCode::kTicketInvalid,
        "the incarnation or sequence number of the ticket is not a number");
  }
  return Ticket{RegionId(std::string(fields[1])),
                InstanceId(std::string(fields[2])), Incarnation(incarnation),
                Sequence(sequence), ServiceName(std::string(fields[5]))};
}

}  // namespace basilvalve::claims
