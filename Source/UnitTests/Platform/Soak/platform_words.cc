#include "UnitTests/Platform/Soak/platform_words.h"

#include <nlohmann/json.hpp>

namespace basilvalve::process_soak {
namespace {

using nlohmann::json;

json ServiceRow(const std::string& name, bool is_model) {
  json row = {{"name", name},           {"health_path", "/healthz"},
              {"max_connections", 370}, {"protocol", "h1"},
              {"tls", false},           {"cold_start_s", 0.0},
              {"cold_per_s", 0.0}};
  if (is_model) {
    row["engine"] = {{"slots", 64},       {"kv_tokens", 443746},
                     {"kv_bytes", 18432}, {"link_mbps", 550000.0},
                     {"moves", false},    {"backups", false},
                     {"stride", 8},       {"most", 12},
                     {"pin_ms", 4000.0},  {"hold_ms", 2000.0},
                     {"handle_s", 5.0},   {"models", {{{"name", "m"}}}}};
  }
  return row;
}

json RouteRow(const std::string& name, const std::string& kind,
              const std::string& service, int timeout_ms, int target_ms,
              int priority, int max_attempts) {
  json row = {{"name", name},
              {"host", "soak.example"},
              {"prefix", RoutePrefix(name)},
              {"kind", kind},
              {"timeout_ms", timeout_ms},
              {"target_latency_ms", target_ms},
              {"priority", priority},
              {"service", service},
              {"max_attempts", max_attempts},
              {"home_regions", json::array()}};
  if (kind == "streaming") {
    row["sticky"] = true;
    row["resumable"] = name == "plan";
    row["gap_aim_ms"] = 600;
  }
  return row;
}

}  // namespace

std::string SettingsText(const GatewayPlace& place,
                         const std::map<std::string, std::string>& regions) {
  auto at = [&](int port) { return place.ip + ":" + std::to_string(port); };
  json settings{{"node", place.name},
                {"role", "gateway"},
                {"machine_class", "edge"},
                {"serves", {"edge", "directory"}},
                {"ip", place.ip},
                {"zone", place.zone},
                {"region", regions.at(place.zone)},
                {"zones", regions},
                {"listen",
                 {{"front", at(place.front)},
                  {"ready", at(place.front + 1)},
                  {"directory", at(place.front + 2)}}},
                {"internal_ports", {place.internal, place.internal + 15}},
                {"seeds", json::array()},
                {"bootstrap", true},
                {"heartbeat_ms", 1200},
                {"bounds",
                 {{"stable_window_ms", 5000},
                  {"drain_ms", 3000},
                  {"grace_s", 8},
                  {"config_apply_ms", 3000},
                  {"retry_budget_ratio", 0.2},
                  {"budget_window_s", 10},
                  {"retry_headroom", 56},
                  {"ttl_max_s", 5}}},
                {"platform",
                 {{"address", "127.0.0.1:" + std::to_string(place.store)},
                  {"form", "kv"},
                  {"writes_per_s", 400},
                  {"reads_per_s", 2000},
                  {"history_s", 20},
                  {"value_bytes", 1048576},
                  {"ttl_min_ms", 1000}}}};
  if (place.limits.memory_mb > 0) {
    settings["limits"] = {{"memory_mb", place.limits.memory_mb},
                          {"max_fds", place.limits.max_fds}};
  }
  return settings.dump();
}

std::string SettingsVariable(const std::string& path) {
  return "BASILVALVE_BOOT=" + path;
}

const char* RoutePrefix(const std::string& kind) {
  return kind == "plan"   ? "/lohu930/"
         : kind == "pick" ? "/pufi791/"
         : kind == "book" ? "/pule252/"
         : kind == "look" ? "/puxa403/"
                          : "/extra/";
}

std::string DesiredStateText(int version, int max_attempts, int timeout_ms,
                             bool has_extra_route) {
  json routes = {
      RouteRow("plan", "streaming", "model", 12000, 1200, 1, 2),
      RouteRow("pick", "streaming", "model", 3000, 800, 0, max_attempts),
      RouteRow("book", "non_idempotent", "counter", timeout_ms, 500, 2,
               max_attempts),
      RouteRow("look", "idempotent", "counter", timeout_ms, 500, 2, 2)};
  if (has_extra_route) {
    routes.push_back(
        RouteRow("extra", "idempotent", "counter", timeout_ms, 500, 2, 2));
  }
  return json{
      {"version", version},
      {"routes", routes},
      {"services", {ServiceRow("model", true), ServiceRow("counter", false)}},
      {"limits",
       {{"max_header_bytes", 16384},
        {"max_body_bytes", 4194304},
        {"header_timeout_ms", 3000},
        {"idle_timeout_ms", 15000}}}}
      .dump();
}

std::string DesiredStateKey() { return "op/config"; }
std::string UpstreamKey(const std::string& id) { return "servers/" + id; }
std::string EvacuationKey(const std::string& zone) {
  return "op/evacuate/" + zone;
}

std::string UpstreamText(const UpstreamEntry& entry) {
  return json{{"service", entry.service},
              {"address", "127.0.0.1:" + std::to_string(entry.port)},
              {"zone", entry.zone},
              {"version", "v1"},
              {"slots", entry.slots},
              {"state", entry.is_draining ? "draining" : "ready"},
              {"cold_remaining_ms", 0},
              {"sequence", entry.sequence},
              {"born", entry.born_ms}}
      .dump();
}

std::string ReadyRequest() {
  return "GET /basilvalve/readyz HTTP/1.1\r\nHost: p\r\n\r\n";
}

std::string MetricsRequest() {
  return "GET /metrics HTTP/1.1\r\nHost: p\r\n\r\n";
}

std::string DirectoryRequest(const GatewayPlace& place) {
  return "GET /basilvalve/resolve?name=soak.example&zone=" + place.zone +
         " HTTP/1.1\r\nHost: p\r\n\r\n";
}

int64_t StateVersionOf(const std::string& metrics) {
  const std::string name = "\nbasilvalve_edge_state_version ";
  size_t at = metrics.find(name);
  return at == std::string::npos ? -1
                                 : std::stoll(metrics.substr(at + name.size()));
}

std::string EraLine(uint64_t era) {
  return "Store-Era: " + std::to_string(era) + "\r\n";
}

std::string RequestLines(const RequestWords& words) {
  std::string lines = "Host: soak.example\r\nX-Request-Id: " + words.id +
                      "\r\nX-Sent-To: " + words.entry +
                      "\r\nX-Deadline-Ms: " + std::to_string(words.limit_ms) +
                      "\r\n";
  if (words.tokens_out > 0) {
    lines += "X-Model: m\r\nX-Token-Usage: " + std::to_string(words.tokens_in) +
             "," + std::to_string(words.tokens_out) +
             "\r\nX-Prompt-Prefix: a1:100," + words.id + ":" +
             std::to_string(words.tokens_in - 100) + "\r\n";
  }
  return lines;
}

std::string AnswerHead(const AnswerWords& words) {
  std::string head = "HTTP/1.1 " + std::to_string(words.status) + " X\r\n";
  if (!words.id.empty()) {
    head += "X-Request-Id: " + words.id + "\r\n";
  }
  if (words.is_signed) {
    head += "X-Response-Signature: " + words.worker + "." + words.id + "\r\n";
  }
  if (words.is_not_executed) {
    head += "X-Not-Executed: 1\r\n";
  }
  if (!words.worker.empty()) {
    head += "X-Instance-Id: " + words.worker + "\r\n";
  }
  if (words.retry_after_s > 0) {
    head += "Retry-After: " + std::to_string(words.retry_after_s) + "\r\n";
  }
  return head;
}

}  // namespace basilvalve::process_soak
