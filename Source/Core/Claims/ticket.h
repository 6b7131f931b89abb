// Ticket that permits one non-idempotent call on one incarnation of one
// instance.
#pragma once

#include <string>
#include <string_view>

#include "Core/Common/keyring.h"
#include "Core/Common/result.h"
#include "Core/Common/strong_id.h"

namespace basilvalve::claims {

/// Only this incarnation of `owner` may run a call that carries the ticket.
struct Ticket {
  RegionId region;
  InstanceId owner;
  Incarnation incarnation;
  Sequence sequence;
  ServiceName service;
};

/// Serializes a ticket and appends a MAC. Thread safe. Pre: no id contains '/'.
std::string FormatTicket(const Ticket& ticket, const Keyring& keyring);
/// Parses the output of FormatTicket and verifies its MAC. Fails with
/// kTicketInvalid. Thread safe.
Result<Ticket> ParseTicket(std::string_view text, const Keyring& keyring);

}  // namespace basilvalve::claims
