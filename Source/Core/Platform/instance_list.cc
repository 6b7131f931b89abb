#include "Core/Platform/instance_list.h"

#include <algorithm>
#include <array>

#include "Core/Common/json_reader.h"

namespace basilvalve::platform {
namespace {

constexpr std::array<std::string_view, 3> kKindNames = {"gateway", "model",
                                                        "service"};
constexpr std::array<std::string_view, 2> kStateNames = {"live", "leaving"};

template <typename Enum, size_t kSize>
Enum ReadEnum(JsonReader* reader, const char* field,
              const std::array<std::string_view, kSize>& names) {
  std::string text = reader->Text(field);
  auto it = std::find(names.begin(), names.end(), text);
  if (it == names.end()) {
    reader->Reject(field, "has an unknown value");
    return Enum{};
  }
  return static_cast<Enum>(it - names.begin());
}

ListedInstance ReadInstance(JsonReader* reader) {
  ListedInstance instance;
  instance.id = reader->Text("id");
  instance.kind = ReadEnum<ListedKind>(reader, "kind", kKindNames);
  instance.state = ReadEnum<ListedState>(reader, "state", kStateNames);
  instance.region = RegionId(reader->Text("region"));
  instance.data_centre = reader->TextOr("datacentre", "");
  if (!http::ParseEndpoint(reader->Text("address"), &instance.endpoint)) {
    reader->Reject("address", "must be ip:port");
  }
  for (const std::string& it : reader->Texts("models")) {
    instance.models.emplace_back(it);
  }
  instance.service = ServiceName(reader->TextOr("service", ""));
  return instance;
}

}  // namespace

Result<std::vector<ListedInstance>> ParseInstanceList(std::string_view text) {
  Result<nlohmann::json> parsed = ParseJson(text, ResultCode::kIo);
  if (!parsed) {
    return tl::make_unexpected(parsed.error());
  }
  std::optional<Error> error;
  JsonReader reader(*parsed, "", ResultCode::kIo, &error);
  std::vector<ListedInstance> instances;
  for (JsonReader& it : reader.Objects("instances")) {
    instances.push_back(ReadInstance(&it));
  }
  if (error) {
    return tl::make_unexpected(*error);
  }
  return instances;
}

std::string FormatInstanceList(const std::vector<ListedInstance>& instances) {
  nlohmann::json list = nlohmann::json::array();
  for (const ListedInstance& it : instances) {
    nlohmann::json item = {
        {"id", it.id},
        {"kind", kKindNames[static_cast<size_t>(it.kind)]},
        {"state", kStateNames[static_cast<size_t>(it.state)]},
        {"region", it.region.value()},
        {"datacentre", it.data_centre},
        {"address", it.endpoint.Text()}};
    for (const ModelName& model : it.models) {
      item["models"].push_back(model.value());
    }
    if (!it.service.empty()) {
      item["service"] = it.service.value();
    }
    list.push_back(std::move(item));
  }
  return nlohmann::json{{"instances", std::move(list)}}.dump();
}

}  // namespace basilvalve::platform
