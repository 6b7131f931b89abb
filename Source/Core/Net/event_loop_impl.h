// The Asio state of EventLoop. Included only by the sources of this module.
#pragma once

#include <functional>
#include <map>
#include <optional>
#include <utility>
//
#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/ip/udp.hpp>
#include <boost/asio/post.hpp>
#include <boost/asio/signal_set.hpp>
#include <boost/asio/steady_timer.hpp>
#include <memory>

#include "Core/Net/event_loop.h"

namespace basilvalve::net {

struct EventLoop::Impl {
  boost::asio::io_context context{1};
  std::unique_ptr<boost::asio::signal_set> signals;
  // Set if the loop runs on virtual time, with the timers that are pending.
  std::optional<VirtualClock> virtual_clock;
  std::multimap<Instant, std::function<void()>> virtual_timers;
};

}  // namespace basilvalve::net
