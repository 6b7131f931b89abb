#include "Core/Common/result_code.h"

#include <catch2/catch.hpp>
#include <fstream>
#include <sstream>

namespace basilvalve {
namespace {

std::string ReadText(const std::string& path) {
  std::ifstream file(path);
  std::stringstream text;
  text << file.rdbuf();
  return text.str();
}

TEST_CASE("docs/CODES.md holds exactly the rows of the code table") {
  std::string text = ReadText(BASILVALVE_SOURCE_DIR "/docs/CODES.md");
  size_t rows = 0;
  for (const ResultCodeRow& it : ResultCodeTable()) {
    std::string row = "| " + std::to_string(static_cast<int>(it.code)) +
                      " | `" + std::string(it.name) + "` | " +
                      std::to_string(it.http_status) + " | " +
                      std::string(OutcomeName(it.outcome)) + " | " +
                      std::string(it.meaning) + " |\n";
    INFO(row);
    CHECK(text.find(row) != std::string::npos);
    ++rows;
  }
  size_t documented_rows = 0;
  for (size_t row_start = text.find("\n| "); row_start != std::string::npos;
       row_start = text.find("\n| ", row_start + 1)) {
    bool is_number = text[row_start + 3] >= '0' && text[row_start + 3] <= '9';
    documented_rows += is_number ? 1 : 0;
  }
  CHECK(documented_rows == rows);
}

TEST_CASE("result codes are in ascending order and round-trip") {
  int previous = -1;
  for (const ResultCodeRow& it : ResultCodeTable()) {
    CHECK(static_cast<int>(it.code) > previous);
    previous = static_cast<int>(it.code);
    CHECK(ParseResultCode(previous) == it.code);
    CHECK(&RowOf(it.code) == &it);
  }
  CHECK_FALSE(ParseResultCode(7).has_value());
}

TEST_CASE("outcome names round-trip") {
  for (Outcome it : {Outcome::kDone, Outcome::kNotRun, Outcome::kUnknown,
                     Outcome::kRunning}) {
    CHECK(ParseOutcome(OutcomeName(it)) == it);
  }
  CHECK_FALSE(ParseOutcome("maybe").has_value());
}

}  // namespace
}  // namespace basilvalve
