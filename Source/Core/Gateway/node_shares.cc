#include "Core/Gateway/node_shares.h"

#include "Core/Net/memory_budget.h"

namespace basilvalve::gateway {
namespace {

// Shares of the buffers in percent; the callers' connections have the rest.
constexpr size_t kAdminPercent = 10;
constexpr size_t kResponsePercent = 30;
constexpr size_t kPercent = 100;
// Parts of the connections.
constexpr size_t kAdminPart = 16;
constexpr size_t kPeerPart = 8;
// A running call has an event loop of its own, with three descriptors, and a
// connection to an upstream.
constexpr size_t kDescriptorsPerCall = 4;
constexpr size_t kMinCallers = 16;
// A buffered response is copied when it is sent.
constexpr size_t kResponseCopies = 2;

}  // namespace

Result<NodeShares> NodeShares::Create(const NodeSettings& settings) {
  net::MachineLimits machine{static_cast<size_t>(settings.memory_mb),
                             static_cast<size_t>(settings.max_descriptors)};
  size_t bytes = machine.BufferBytes();
  size_t connections = machine.Connections();
  size_t calls =
      static_cast<size_t>(settings.max_in_flight + settings.peer_workers);
  NodeShares shares;
  shares.admin = {bytes * kAdminPercent / kPercent, connections / kAdminPart};
  shares.response_bytes = bytes * kResponsePercent / kPercent;
  shares.callers.buffer_bytes =
      bytes - shares.admin.buffer_bytes - shares.response_bytes;
  shares.peer_connections = connections / kPeerPart;
  size_t others = shares.admin.connections + shares.peer_connections +
                  kDescriptorsPerCall * calls;
  if (connections < others + kMinCallers) {
    return Fail(ResultCode::kSettingInvalid,
                "--max-descriptors: too few for max-in-flight and "
                "peer-workers");
  }
  shares.callers.connections = connections - others;
  net::MemoryBudget callers(shares.callers.buffer_bytes);
  if (callers.largest_request() <
      kBodyCopies * static_cast<size_t>(settings.max_body_bytes)) {
    return Fail(ResultCode::kSettingInvalid,
                "--memory-mb: too small for a request of max-body-bytes");
  }
  if (shares.response_bytes <
      kResponseCopies * static_cast<size_t>(settings.max_answer_bytes)) {
    return Fail(ResultCode::kSettingInvalid,
                "--memory-mb: too small for a response of max-answer-bytes");
  }
  return shares;
}

}  // namespace basilvalve::gateway
