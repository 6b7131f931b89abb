// A permit for one non-idempotent call, bound to one incarnation of one
// instance.
#pragma once

#include <string>
#include <string_view>

#include "Core/Common/keyring.h"
#include "Core/Common/result.h"
#include "Core/Common/strong_id.h"

namespace basilvalve::claims {

/// Only the named incarnation may ever run a call that carries the ticket.
struct Ticket {
  RegionId region;
  InstanceId owner;
  Incarnation incarnation;
  Sequence sequence;
  ServiceName service;
};

/// Text form with a MAC. Thread safe. Pre: no id contains '/'.
std::string FormatTicket(const Ticket& ticket, const Keyring& keyring);
/// Parses and verifies the text form. Fails with kTicketInvalid. Thread safe.
Result<Ticket> ParseTicket(std::string_view text, const Keyring& keyring);

}  // namespace basilvalve::claims
