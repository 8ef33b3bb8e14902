/// @file response_check.h Checks that a response belongs to its request and that the request ran.
#pragma once

#include "admission/request_limit.h"
#include "environment.h"
#include "http/http_pool.h"

#include <optional>

namespace jasmineloom {

/// Classification of a response from an upstream.
enum class ResponseKind : std::uint8_t {
  Valid,  ///< The response of the upstream to this request.
  NotRun, ///< The upstream reports that it has not run this request.
  Invalid ///< Has no final status, may belong to another request, lacks the signature, or was
          ///< re-encoded on the way.
};

/// Classifies a complete response.
/// @param identity request ID sent by the caller; empty if there was none.
ResponseKind classifyResponse(const HttpHeaderNames &headerNames, const HttpResult &result,
                              const std::string &identity);

/// Reads what a response states of its upstream's limit. A malformed or repeated field states
/// nothing. A missing one lifts the limit only in a response that is certainly the upstream's own.
/// @param kind result of classifyResponse().
LimitStatement limitStatementOf(const HttpHeaderNames &headerNames, const HttpResult &result,
                                ResponseKind kind);

/// Reads the pace of an upstream from the load that a response states.
/// @param kind result of classifyResponse().
/// @returns the time that work takes at present, in percent of the usual time; 0: not stated.
std::uint32_t paceOf(const HttpHeaderNames &headerNames, const HttpResult &result,
                     ResponseKind kind);

/// @returns whether a response refuses a request because it names another process than the one that
/// answers.
/// @param kind result of classifyResponse().
bool isFromOtherProcess(const HttpHeaderNames &headerNames, const HttpResult &result,
                        ResponseKind kind);

/// Reads the remaining warm-up time from a health response.
/// @param upstream identity of the upstream that was asked; may be empty.
/// @returns the time in ms, 0 if the upstream is warm; nullopt if the response states nothing or is
/// that of another process.
std::optional<DurationMs> warmUpLeftOf(const HttpHeaderNames &headerNames, const HttpResult &result,
                                       const std::string &upstream);

/// @returns whether a response states that its upstream leaves.
/// @param kind result of classifyResponse().
bool statesLeaving(const HttpHeaderNames &headerNames, const HttpResult &result, ResponseKind kind);

} // namespace jasmineloom
