/// @file response_check.h Whether an upstream's answer is the request's own, and whether it was
/// run.
#pragma once

#include "environment.h"
#include "http/http_pool.h"

namespace jasmineloom {

/// What an upstream's answer says.
enum class ResponseKind : std::uint8_t {
  Valid,  ///< The upstream's answer to this request.
  NotRun, ///< The upstream says that it has not run the request.
  Invalid ///< Another request's answer, or one that the upstream can't have made so.
};

/// Classifies a whole answer.
/// @param identity of the request; empty if the caller gave none.
ResponseKind classifyResponse(const HttpDialect &dialect, const HttpResult &result,
                              const std::string &identity);

} // namespace jasmineloom
