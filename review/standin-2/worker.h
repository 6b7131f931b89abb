// A worker process: serves requests as PROTOCOL.md describes, keeps its entry
// in the store, and prints a line for each run, with the time.
#pragma once

namespace review {

/// Serves until the process is ended. `argv` as Deployment::StartWorker gives
/// it. The behaviour is a list of words NAME=VALUE:
///   framing=chunked|unframed[:SHARE_PERCENT]  of streams (default chunked)
///   events=N interval=MS                      of streams
///   cold=MS                                   after its start
///   first=MS first_for=MS                     until its first event, for so
///       long after the start of the worker
///   deadly=PART                               a prompt part at whose first
///       event the process ends
///   work=MS                                   of plain requests
///   endless_at=UNIX_MS endless_rate=BYTES     from then on, a running stream
///       goes on with an event that does not end, at that rate a second
int RunWorker(int argc, char** argv);

}  // namespace review
