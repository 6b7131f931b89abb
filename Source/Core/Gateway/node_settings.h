// Settings of one instance: values, flags and checks.
#pragma once

#include <string>
#include <vector>

#include "Core/Common/log.h"
#include "Core/Common/option_parser.h"
#include "Core/Common/result.h"
#include "Core/Common/strong_id.h"
#include "Core/Http/http_message.h"

namespace basilvalve::gateway {

/// Values from flags, environment variables or defaults. Names end in their
/// unit; the descriptions are those of NodeOptions.
struct NodeSettings {
  std::string instance;
  std::string region;
  std::string data_centre;
  std::string caller_address;
  std::string peer_address;
  std::string admin_address;
  std::string store_address;
  std::string instance_list_address;
  std::string client_directory_address;
  std::string peer_keys;
  std::string admin_key;
  std::string tls_certificate;
  std::string tls_key;
  std::string chooser = "predicted";
  std::string log_level = "info";
  int64_t max_in_flight = 0;
  int64_t caller_threads = 0;
  int64_t peer_workers = 0;
  int64_t peer_threads = 0;
  int64_t max_body_bytes = 0;
  int64_t max_answer_bytes = 0;
  int64_t read_timeout_ms = 0;
  int64_t write_timeout_ms = 0;
  int64_t connect_timeout_ms = 0;
  int64_t store_timeout_ms = 0;
  int64_t heartbeat_ms = 0;
  int64_t peer_dead_ms = 0;
  int64_t probe_period_ms = 0;
  int64_t suspicion_ms = 0;
  int64_t summary_period_ms = 0;
  int64_t region_stale_ms = 0;
  int64_t list_period_ms = 0;
  int64_t entry_validity_s = 0;
  int64_t ticket_validity_s = 0;
  int64_t claim_keep_s = 0;
  int64_t memory_mb = 0;
  int64_t max_descriptors = 0;
  int64_t max_attempts = 0;
  int64_t link_delay_ms = 0;
  int64_t link_mbit = 0;
  int64_t drain_limit_s = 0;
  bool check = false;
  bool help = false;
  bool print_settings = false;
};

/// Options that write their values into `settings`. Pre: `settings` outlives
/// the result.
std::vector<Option> NodeOptions(NodeSettings* settings);
/// Checks that required settings are set and that settings which depend on each
/// other are consistent. Fails with kSettingInvalid; the message names the
/// flag. Thread safe.
Result<void> CheckNodeSettings(const NodeSettings& settings);
/// The level named by the setting log-level. Pre: the name is valid. Thread
/// safe.
LogLevel LogLevelOf(const NodeSettings& settings);

}  // namespace basilvalve::gateway
