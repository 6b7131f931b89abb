// Error type and the Result alias that fallible functions return.
#pragma once

#include <string>
#include <tl/expected.hpp>
#include <utility>

#include "Core/Common/result_code.h"

namespace basilvalve {

/// Why an operation failed, and the outcome to report to the caller.
struct Error {
  ResultCode code = ResultCode::kInternal;
  Outcome outcome = Outcome::kUnknown;
  std::string message;
};

template <typename T>
using Result = tl::expected<T, Error>;

/// An error with the default outcome of its code. Thread safe.
inline Error MakeError(ResultCode code, std::string message) {
  return Error{code, RowOf(code).outcome, std::move(message)};
}

/// MakeError as tl::unexpected, to return from a function. Thread safe.
inline tl::unexpected<Error> Fail(ResultCode code, std::string message) {
  return tl::make_unexpected(MakeError(code, std::move(message)));
}

/// Like Fail, with an outcome other than the code's default. Thread safe.
inline tl::unexpected<Error> FailAs(ResultCode code, Outcome outcome,
                                    std::string message) {
  return tl::make_unexpected(Error{code, outcome, std::move(message)});
}

}  // namespace basilvalve
