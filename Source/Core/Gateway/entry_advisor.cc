#include "Core/Gateway/entry_advisor.h"

#include <algorithm>

#include "Core/Gateway/cluster_view.h"

namespace basilvalve::gateway {
namespace {

constexpr int kMaxWeight = 100;

void AddIfAcceptingCalls(const membership::MemberInfo& info,
                         std::vector<EntryAdvice>* advice) {
  // Suspected instances are excluded before they are confirmed dead, because
  // callers can use another entry at no cost.
  bool accepting = info.state == membership::MemberState::kAlive &&
                   !info.draining && info.incarnation != Incarnation();
  if (accepting) {
    advice->push_back(
        {info.id, info.caller,
         std::max(1, kMaxWeight - static_cast<int>(info.load_percent))});
  }
}

void SortBestFirst(std::vector<EntryAdvice>* advice) {
  std::stable_sort(advice->begin(), advice->end(),
                   [](const EntryAdvice& a, const EntryAdvice& b) {
                     return a.weight > b.weight;
                   });
}

}  // namespace

std::vector<EntryAdvice> EntryAdvisor::RegionEntries() const {
  std::vector<EntryAdvice> advice;
  for (const membership::MemberInfo& it : parts_->cluster->Live()) {
    AddIfAcceptingCalls(it, &advice);
  }
  SortBestFirst(&advice);
  return advice;
}

std::vector<EntryAdvice> EntryAdvisor::Advise(
    const document::ServiceDocument& document) const {
  if (document.Permits(parts_->region)) {
    return RegionEntries();
  }
  std::vector<EntryAdvice> advice;
  for (const membership::RegionView& it : parts_->cluster->ReachableRegions()) {
    if (!document.Permits(it.summary.region)) {
      continue;
    }
    for (const membership::MemberInfo& contact : it.summary.contacts) {
      AddIfAcceptingCalls(contact, &advice);
    }
  }
  SortBestFirst(&advice);
  return advice;
}

}  // namespace basilvalve::gateway
