// Entry point of the unit tests.
#define CATCH_CONFIG_RUNNER
#include <catch2/catch.hpp>

#include "Core/Common/log.h"

int main(int argc, char** argv) {
  basilvalve::InitLogging(basilvalve::LogLevel::kError);
  return Catch::Session().run(argc, argv);
}
