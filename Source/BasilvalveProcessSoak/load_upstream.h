#pragma once

#include <atomic>
#include <string>

#include "BasilvalveProcessSoak/channel.h"
#include "BasilvalveProcessSoak/client_crowd.h"
#include "UnitTests/Platform/Soak/platform_words.h"
#include "UnitTests/Platform/Soak/store_stand_in.h"

namespace basilvalve::process_soak {

/// An upstream whose responses are as large as their requests ask for. Thread
/// safe.
class LoadUpstream {
 public:
  explicit LoadUpstream(StoreStandIn* store) : store_(store) {}

  /// Listens and registers with the store. Its threads serve until the process
  /// ends.
  bool Start();
  /// Responses that are being written.
  int writing() const { return writing_; }

 private:
  void Register();
  void Serve(Channel& channel);
  bool Answer(Channel& channel, const HttpMessage& request);

  StoreStandIn* store_;
  Listener listener_;
  UpstreamEntry entry_;
  std::atomic<int> writing_{0};
};

}  // namespace basilvalve::process_soak
