// Every moment of a request against every planned event.
#include "UnitTests/Core/Edge/loss_walk.h"

#include <algorithm>
#include <array>
#include <atomic>
#include <catch2/catch.hpp>
#include <thread>

#include "Core/Common/random.h"

namespace basilvalve::edge {
namespace {

// The walks wait for the loopback interface most of the time.
constexpr size_t kThreads = 8;
constexpr std::array kTopologies = {Topology::kAlone, Topology::kRegion,
                                    Topology::kOwner};

// Changes of the desired state.
constexpr std::array kChanges = {
    Event::kNewVersion,   Event::kTimeoutLowered,  Event::kRouteRemoved,
    Event::kServiceMoved, Event::kIdleLimitRaised, Event::kIdleLimitLowered,
    Event::kSizesLowered};

// An owner has reported its upstream's silence to the instance that sent it the
// call.
bool IsSilentBehindOwner(const WalkCase& walk) {
  bool may_retry =
      walk.route == WalkRoute::kAgain || walk.route == WalkRoute::kStream;
  return walk.topology == Topology::kOwner && may_retry &&
         walk.moment >= Moment::kPlaced &&
         walk.moment <= Moment::kMidAnswerToClose &&
         std::any_of(walk.events.begin(), walk.events.end(), [](Event event) {
           return event == Event::kSilence ||
                  event == Event::kDrainClosesIdle ||
                  event == Event::kDrainEnds;
         });
}

// A drain ends the connection behind an answer that announced no close.
bool IsDiscardedAtDrain(const WalkCase& walk) {
  bool is_stream =
      walk.route == WalkRoute::kStream || walk.route == WalkRoute::kSingle;
  return walk.moment == Moment::kBehindUnwritten &&
         std::any_of(walk.events.begin(), walk.events.end(), [&](Event event) {
           bool is_drain =
               event == Event::kDrain || event == Event::kDrainTwice;
           return event == Event::kDrainClosesIdle ||
                  event == Event::kDrainEnds || (is_drain && is_stream);
         });
}

std::vector<WalkCase> SingleEvents(Topology topology) {
  std::vector<WalkCase> walks;
  for (int route = 0; route < kWalkRoutes; ++route) {
    for (int moment = 0; moment < kMoments; ++moment) {
      for (int event = 0; event < kEvents; ++event) {
        for (bool is_kept : {false, true}) {
          walks.push_back({topology,
                           static_cast<WalkRoute>(route),
                           is_kept,
                           static_cast<Moment>(moment),
                           {static_cast<Event>(event)}});
        }
      }
    }
  }
  std::erase_if(walks, [](const auto& walk) { return !IsPossible(walk); });
  return walks;
}

std::vector<WalkCase> SampleOfPairs(uint64_t seed, size_t n) {
  Random random(seed);
  auto any_event = [&] { return static_cast<Event>(random.Below(kEvents)); };
  std::vector<WalkCase> walks;
  while (walks.size() < n) {
    WalkCase walk{kTopologies[random.Below(kTopologies.size())],
                  static_cast<WalkRoute>(random.Below(kWalkRoutes)),
                  random.Below(2) == 0,
                  random.Below(2) == 0 ? Moment::kPassedOn : Moment::kMidAnswer,
                  {any_event(), any_event()}};
    if (IsPossible(walk)) {
      walks.push_back(walk);
    }
  }
  return walks;
}

// The upstream pauses, and the call could be sent nowhere else.
std::vector<WalkCase> PausesWithoutAnotherUpstream() {
  std::vector<WalkCase> walks;
  for (Topology topology : kTopologies) {
    for (int route = 0; route < kWalkRoutes; ++route) {
      for (Moment moment : {Moment::kPassedOn, Moment::kMidAnswer}) {
        for (Event pause :
             {Event::kSilence, Event::kDrainClosesIdle, Event::kDrainEnds}) {
          for (bool is_kept : {false, true}) {
            walks.push_back({topology,
                             static_cast<WalkRoute>(route),
                             is_kept,
                             moment,
                             {Event::kOtherUpstreamRemoved, pause}});
          }
        }
      }
    }
  }
  return walks;
}

// Pairs that matter most and a sample of all.
std::vector<WalkCase> EventsInARow() {
  std::vector<WalkCase> walks = SampleOfPairs(/*seed=*/26, /*n=*/300);
  std::vector<WalkCase> pauses = PausesWithoutAnotherUpstream();
  walks.insert(walks.end(), pauses.begin(), pauses.end());
  // The first of two requests is refused at once and ends its connection.
  for (int route = 0; route < kWalkRoutes; ++route) {
    walks.push_back({Topology::kAlone,
                     static_cast<WalkRoute>(route),
                     true,
                     Moment::kBehindUnwritten,
                     {Event::kDrain, Event::kRouteRemoved}});
  }
  return walks;
}

void PlayAll(const std::vector<WalkCase>& walks) {
  std::vector<std::string> found(walks.size());
  std::atomic<size_t> next = 0;
  std::vector<std::thread> threads;
  for (size_t i = 0; i < kThreads; ++i) {
    threads.emplace_back([&] {
      for (size_t at = next++; at < walks.size(); at = next++) {
        found[at] = PlayWalk(walks[at]);
      }
    });
  }
  for (std::thread& thread : threads) {
    thread.join();
  }
  for (size_t i = 0; i < walks.size(); ++i) {
    INFO(Describe(walks[i]));
    CHECK(found[i] == "");
  }
}

TEST_CASE("a request ends as promised whatever happens: one instance") {
  std::vector<WalkCase> walks = SingleEvents(Topology::kAlone);
  std::erase_if(walks, IsDiscardedAtDrain);
  PlayAll(walks);
}

TEST_CASE("a request ends as promised whatever happens: two regions") {
  PlayAll(SingleEvents(Topology::kRegion));
}

TEST_CASE("a request ends as promised whatever happens: owner of upstreams") {
  std::vector<WalkCase> walks = SingleEvents(Topology::kOwner);
  std::erase_if(walks, IsSilentBehindOwner);
  PlayAll(walks);
}

TEST_CASE("a request ends as promised whatever happens: two events in a row") {
  std::vector<WalkCase> walks = EventsInARow();
  std::erase_if(walks, IsSilentBehindOwner);
  std::erase_if(walks, IsDiscardedAtDrain);
  PlayAll(walks);
}

// Guards against LOST: a pause of a sound upstream beside a change of the
// desired state ends a request without an answer.
TEST_CASE("a request ends as promised whatever happens: a pause and a change") {
  std::vector<WalkCase> walks;
  for (Topology topology : kTopologies) {
    for (const WalkCase& silent : SingleEvents(topology)) {
      if (silent.events[0] != Event::kSilence) {
        continue;
      }
      for (Event change : kChanges) {
        for (std::vector<Event> events :
             {std::vector{Event::kSilence, change},
              std::vector{change, Event::kSilence},
              std::vector{Event::kOtherUpstreamRemoved, change,
                          Event::kSilence}}) {
          WalkCase walk = silent;
          walk.events = std::move(events);
          walks.push_back(std::move(walk));
        }
      }
    }
  }
  PlayAll(walks);
}

// Guards against LOST: an owner gives up a silent upstream although the sender
// of the call has no other place for it.
TEST_CASE("a silent upstream of an owner is given up only for another one") {
  PlayAll({{Topology::kOwner,
            WalkRoute::kAgain,
            false,
            Moment::kPassedOn,
            {Event::kSilence}},
           {Topology::kOwner,
            WalkRoute::kStream,
            false,
            Moment::kMidAnswer,
            {Event::kSilence, Event::kSilence}}});
}

TEST_CASE("a request ends as promised whatever happens: silence at an owner") {
  std::vector<WalkCase> walks = SingleEvents(Topology::kOwner);
  std::vector<WalkCase> in_a_row = EventsInARow();
  walks.insert(walks.end(), in_a_row.begin(), in_a_row.end());
  std::erase_if(walks,
                [](const auto& walk) { return !IsSilentBehindOwner(walk); });
  PlayAll(walks);
}

// Guards against LOST: a request sent behind an answer that is being written is
// read and discarded.
TEST_CASE("a drain discards no request behind an unwritten answer") {
  std::vector<WalkCase> walks = SingleEvents(Topology::kAlone);
  std::vector<WalkCase> in_a_row = EventsInARow();
  walks.insert(walks.end(), in_a_row.begin(), in_a_row.end());
  std::erase_if(walks,
                [](const auto& walk) { return !IsDiscardedAtDrain(walk); });
  PlayAll(walks);
}

}  // namespace
}  // namespace basilvalve::edge
