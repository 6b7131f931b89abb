#include "BasilvalveProcessSoak/deployment.h"

namespace basilvalve::process_soak {

Deployment DeploymentOf(const std::string& name) {
  static const std::map<std::string, Deployment> kDeployments = {
      {"cera",
       {{"cartago-a", {"cartago", 3, 1, 8}},
        {"liberia-a", {"liberia", 3, 1, 6}},
        {"perez-a", {"perez", 2, 1, 4}}}},
      {"tabkasse",
       {{"aug-a", {"augsburg", 2, 1, 3}},
        {"muc-a", {"muenchen", 3, 1, 9}},
        {"nue-a", {"nuernberg", 2, 1, 6}}}},
      {"cera-grown",
       {{"cartago-a", {"cartago", 20, 1, 3}},
        {"cartago-b", {"cartago", 17, 1, 3}},
        {"liberia-a", {"liberia", 14, 1, 3}},
        {"liberia-b", {"liberia", 14, 1, 3}},
        {"perez-a", {"perez", 10, 1, 3}},
        {"perez-b", {"perez", 10, 1, 3}}}},
      {"small", {{"east-a", {"east", 2, 1, 2}}, {"west-a", {"west", 2, 1, 2}}}},
  };
  auto it = kDeployments.find(name);
  return it == kDeployments.end() ? Deployment() : it->second;
}

}  // namespace basilvalve::process_soak
