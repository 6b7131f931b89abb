#include "Core/Gateway/forwarded_calls.h"

#include "Core/Common/hash.h"

namespace basilvalve::gateway {

peer::StreamHeader BuildStreamHeader(const NodeParts& parts, const Call& call,
                                     peer::Purpose purpose, uint32_t attempt,
                                     Sequence sequence) {
  peer::StreamHeader header;
  header.sender = parts.self;
  header.sender_region = parts.region;
  header.incarnation = parts.incarnation;
  header.sequence = sequence;
  header.purpose = purpose;
  header.request = call.id;
  header.attempt = attempt;
  header.service = call.service;
  header.version =
      call.record == nullptr ? DocumentVersion() : call.record->version;
  header.method = call.method;
  header.path = call.path;
  header.query = call.query;
  header.content_type = call.content_type;
  header.traceparent = call.trace.ToHeader();
  header.ticket = call.ticket;
  header.idempotency_key = call.idempotency_key;
  header.remaining = call.Remaining(parts.clock->Now());
  header.hops = call.hops;
  header.hops.push_back(parts.self);
  header.regions = call.regions;
  header.regions.push_back(parts.region);
  header.body_bytes = call.body.size();
  header.body_hash = Hash64(call.body);
  header.streaming = call.streaming;
  return header;
}

Call ForwardedCalls::BuildCall(const peer::StreamHeader& header) const {
  Call call;
  call.id = header.request;
  call.trace = parts_->ids->NewChildSpan(header.traceparent);
  call.origin = header.sender_region == parts_->region
                    ? CallOrigin::kSameRegion
                    : CallOrigin::kOtherRegion;
  call.service = header.service;
  call.method = header.method;
  call.path = header.path;
  call.query = header.query;
  call.content_type = header.content_type;
  call.streaming = header.streaming;
  call.ticket = header.ticket;
  call.idempotency_key = header.idempotency_key;
  call.arrived = parts_->clock->Now();
  call.requested_timeout = header.remaining;
  call.hops = header.hops;
  call.regions = header.regions;
  call.sender_document_version = header.version;
  return call;
}

Result<Call> ForwardedCalls::Accept(const peer::StreamHeader& header) {
  Call call = BuildCall(header);
  parts_->journal->Begin(call.id, call.service.value());
  Result<void> passed = filters_.Apply(&call);
  if (passed && header.remaining.count() <= 0) {
    passed =
        Fail(ResultCode::kDeadlineTooShort, "the deadline has already passed");
  }
  // A draining instance still accepts calls with its own tickets and claims,
  // because no other instance can decide about them.
  bool refuse_run =
      parts_->draining->load() && header.purpose == peer::Purpose::kRun;
  if (passed && refuse_run) {
    passed = Fail(ResultCode::kDraining, "this instance is draining");
  }
  if (!passed) {
    Record(call, ResultFromError(passed.error()));
    return tl::make_unexpected(passed.error());
  }
  return call;
}

CallResult ForwardedCalls::Run(Call* call, peer::Purpose purpose,
                               CallResponseSink* sink) {
  Result<void> passed = filters_.ApplyBody(call);
  CallResult result;
  if (!passed) {
    result = ResultFromError(passed.error());
  } else if (purpose == peer::Purpose::kRunAsOwner && !call->idempotent) {
    result = at_most_once_runner_->Run(*call, sink);
  } else {
    result = executor_->Run(*call, sink);
  }
  Record(*call, result);
  return result;
}

void ForwardedCalls::Record(const Call& call, const CallResult& result) {
  parts_->journal->End(call.id, result.outcome, result.code);
  parts_->metrics->CountRequest(result.code, result.outcome);
}

}  // namespace basilvalve::gateway
