#include "Core/Gateway/node_settings.h"

#include <algorithm>
#include <array>

#include "Core/Common/keyring.h"
#include "Core/Gateway/node_shares.h"
#include "Core/Routing/chooser.h"

namespace basilvalve::gateway {
namespace {

constexpr int64_t kMaxCount = 1000000;
constexpr int64_t kMaxMs = 3600000;
constexpr int64_t kMaxSeconds = 604800;
constexpr int64_t kMaxBytes = 1 << 30;
constexpr std::array<std::string_view, 4> kLevelNames = {"debug", "info",
                                                         "warn", "error"};
constexpr size_t kChooserCount = 6;

using Setter = std::function<std::string(const std::string&)>;

/// Restricts ids to characters that need no escaping in tickets and datagrams.
Setter SetIdentifier(std::string* target) {
  return [target](const std::string& text) {
    bool valid =
        !text.empty() && text.size() <= 48 &&
        text.find_first_not_of("abcdefghijklmnopqrstuvwxyz0123456789-_") ==
            std::string::npos;
    if (!valid) {
      return std::string("must be 1 to 48 of a-z, 0-9, '-' and '_'");
    }
    *target = text;
    return std::string();
  };
}

Setter SetAddress(std::string* target) {
  return [target](const std::string& text) {
    http::Endpoint endpoint;
    if (!http::ParseEndpoint(text, &endpoint)) {
      return std::string("must be ip:port");
    }
    *target = text;
    return std::string();
  };
}

Setter SetKeys(std::string* target) {
  return [target](const std::string& text) {
    Result<Keyring> keyring = Keyring::FromSetting(text);
    if (!keyring) {
      return keyring.error().message;
    }
    *target = text;
    return std::string();
  };
}

Setter SetLevel(std::string* target) {
  return [target](const std::string& text) {
    if (std::find(kLevelNames.begin(), kLevelNames.end(), text) ==
        kLevelNames.end()) {
      return std::string("must be debug, info, warn or error");
    }
    *target = text;
    return std::string();
  };
}

Setter SetChooser(std::string* target) {
  return [target](const std::string& text) {
    for (size_t i = 0; i < kChooserCount; ++i) {
      if (routing::ChooserName(static_cast<routing::ChooserKind>(i)) == text) {
        *target = text;
        return std::string();
      }
    }
    return std::string("must be the name of a strategy, such as predicted");
  };
}

void AddIdentity(NodeSettings* s, std::vector<Option>* options) {
  options->insert(
      options->end(),
      {{"instance", "name", "", "Name of this instance, unique in the system.",
        SetIdentifier(&s->instance)},
       {"region", "name", "", "Region of this instance.",
        SetIdentifier(&s->region)},
       {"datacentre", "name", "dc1", "Data centre of this instance.",
        SetIdentifier(&s->data_centre)},
       {"caller-address", "ip:port", "", "Address for callers.",
        SetAddress(&s->caller_address)},
       {"peer-address", "ip:port", "",
        "Address for other instances, TCP and UDP.",
        SetAddress(&s->peer_address)},
       {"admin-address", "ip:port", "", "Address for operators and metrics.",
        SetAddress(&s->admin_address)},
       {"store-address", "ip:port", "", "Key-value service.",
        SetAddress(&s->store_address)},
       {"instance-list-address", "ip:port", "", "Instance list.",
        SetAddress(&s->instance_list_address)},
       {"client-directory-address", "ip:port", "", "Client directory.",
        SetAddress(&s->client_directory_address)},
       {"peer-keys", "text", "",
        "Key that signs what instances send; \"new,old\" while rolling.",
        SetKeys(&s->peer_keys)},
       {"admin-key", "text", "",
        "Bearer key for changing calls on the admin address.",
        SetText(&s->admin_key)},
       {"tls-certificate", "file", "",
        "PEM certificate for callers; empty means no TLS.",
        SetText(&s->tls_certificate)},
       {"tls-key", "file", "", "PEM key of the certificate.",
        SetText(&s->tls_key)},
       {"chooser", "name", "predicted", "Strategy for choosing an upstream.",
        SetChooser(&s->chooser)},
       {"log-level", "name", "info", "debug, info, warn or error.",
        SetLevel(&s->log_level)}});
}

void AddLimits(NodeSettings* s, std::vector<Option>* options) {
  auto number = [](const char* name, const char* unit, const char* fallback,
                   const char* help, int64_t* target, int64_t low,
                   int64_t high) {
    return Option{name, unit, fallback, help, SetNumber(target, low, high)};
  };
  options->insert(
      options->end(),
      {number("max-in-flight", "calls", "400", "Calls in flight at most.",
              &s->max_in_flight, 1, kMaxCount),
       number("caller-threads", "threads", "480",
              "Threads for callers; above max-in-flight, so that refusals are "
              "answered.",
              &s->caller_threads, 2, kMaxCount),
       number("peer-workers", "threads", "128",
              "Threads for calls forwarded to this instance.", &s->peer_workers,
              1, kMaxCount),
       number("peer-threads", "threads", "2",
              "Threads that drive connections to instances.", &s->peer_threads,
              1, 64),
       number("max-body-bytes", "bytes", "1048576", "Longest request body.",
              &s->max_body_bytes, 1, kMaxBytes),
       number("max-answer-bytes", "bytes", "8388608",
              "Longest buffered answer.", &s->max_answer_bytes, 1, kMaxBytes),
       number("memory-mb", "MB", "1024",
              "Memory for this process. 60% of what is above 24 MB may be "
              "buffered for requests and answers; beyond that, callers are "
              "refused or disconnected.",
              &s->memory_mb, 32, kMaxCount),
       number("max-descriptors", "files", "4096",
              "Descriptors that this process may open; the soft limit of the "
              "process is raised to it.",
              &s->max_descriptors, 256, kMaxCount),
       number("max-attempts", "calls", "3", "Attempts of an idempotent call.",
              &s->max_attempts, 1, 10),
       number("link-mbit", "Mbit/s", "2000",
              "Rate of the link to another region.", &s->link_mbit, 1,
              kMaxCount)});
}

void AddTimes(NodeSettings* s, std::vector<Option>* options) {
  auto millis = [](const char* name, const char* fallback, const char* help,
                   int64_t* target) {
    return Option{name, "ms", fallback, help, SetNumber(target, 1, kMaxMs)};
  };
  auto seconds = [](const char* name, const char* fallback, const char* help,
                    int64_t* target) {
    return Option{name, "s", fallback, help, SetNumber(target, 1, kMaxSeconds)};
  };
  options->insert(
      options->end(),
      {millis("read-timeout-ms", "10000", "Longest wait for a caller's bytes.",
              &s->read_timeout_ms),
       millis("write-timeout-ms", "10000", "Longest wait for a caller to read.",
              &s->write_timeout_ms),
       millis("connect-timeout-ms", "1000",
              "Longest wait for a connection to an upstream.",
              &s->connect_timeout_ms),
       millis("store-timeout-ms", "1000",
              "Longest wait for the key-value service.", &s->store_timeout_ms),
       millis("heartbeat-ms", "500",
              "Silence after which a peer connection is probed.",
              &s->heartbeat_ms),
       millis("peer-dead-ms", "2000",
              "Silence after which a peer connection is given up.",
              &s->peer_dead_ms),
       millis("probe-period-ms", "1000", "Time between membership probes.",
              &s->probe_period_ms),
       millis("suspicion-ms", "3000",
              "Time a suspected instance has to refute.", &s->suspicion_ms),
       millis("summary-period-ms", "2000",
              "Time between summaries to another region.",
              &s->summary_period_ms),
       millis("region-stale-ms", "10000",
              "Silence after which a region counts as cut off.",
              &s->region_stale_ms),
       millis("list-period-ms", "1000",
              "Time between reads of the instance list.", &s->list_period_ms),
       millis("link-delay-ms", "55", "One-way delay to another region.",
              &s->link_delay_ms),
       seconds("entry-validity-s", "5",
               "How long an answer of /v1/entry may be used.",
               &s->entry_validity_s),
       seconds("ticket-validity-s", "300",
               "How long a ticket may be used first.", &s->ticket_validity_s),
       seconds("claim-keep-s", "90000",
               "How long a claimed idempotency key is remembered.",
               &s->claim_keep_s),
       seconds("drain-limit-s", "600",
               "Longest wait for calls in flight when stopping.",
               &s->drain_limit_s)});
}

}  // namespace

std::vector<Option> NodeOptions(NodeSettings* settings) {
  std::vector<Option> options;
  AddIdentity(settings, &options);
  AddLimits(settings, &options);
  AddTimes(settings, &options);
  options.push_back({"check", "", "false", "Only check the settings.",
                     SetFlag(&settings->check),
                     /*is_switch=*/true});
  options.push_back({"print-settings", "", "false",
                     "Print the settings table as Markdown.",
                     SetFlag(&settings->print_settings), /*is_switch=*/true});
  options.push_back({"help", "", "false", "Print this text.",
                     SetFlag(&settings->help), /*is_switch=*/true});
  return options;
}

Result<void> CheckNodeSettings(const NodeSettings& settings) {
  struct Required {
    const char* flag;
    const std::string* value;
  };
  const std::array required = {
      Required{"instance", &settings.instance},
      Required{"region", &settings.region},
      Required{"caller-address", &settings.caller_address},
      Required{"peer-address", &settings.peer_address},
      Required{"admin-address", &settings.admin_address},
      Required{"store-address", &settings.store_address},
      Required{"instance-list-address", &settings.instance_list_address},
      Required{"peer-keys", &settings.peer_keys},
  };
  for (const Required& it : required) {
    if (it.value->empty()) {
      return Fail(ResultCode::kSettingInvalid,
                  std::string("--") + it.flag + ": is required");
    }
  }
  if (settings.caller_threads <= settings.max_in_flight) {
    return Fail(ResultCode::kSettingInvalid,
                "--caller-threads: must be above max-in-flight");
  }
  if (settings.peer_dead_ms <= settings.heartbeat_ms) {
    return Fail(ResultCode::kSettingInvalid,
                "--peer-dead-ms: must be above heartbeat-ms");
  }
  Result<NodeShares> shares = NodeShares::Create(settings);
  if (!shares) {
    return tl::make_unexpected(shares.error());
  }
  if (settings.tls_certificate.empty() != settings.tls_key.empty()) {
    return Fail(ResultCode::kSettingInvalid,
                "--tls-key: must be set if and only if tls-certificate is set");
  }
  return {};
}

LogLevel LogLevelOf(const NodeSettings& settings) {
  auto it =
      std::find(kLevelNames.begin(), kLevelNames.end(), settings.log_level);
  return static_cast<LogLevel>(it - kLevelNames.begin());
}

}  // namespace basilvalve::gateway
