/// @file http_framing.h Validates the header fields that determine where a request ends.
#pragma once

#include "http/http_fields.h"

namespace jasmineloom {

/// Result of checkFraming() for valid framing.
constexpr int FramingOk = 0;

/// Rejects requests whose framing two parsers could interpret differently, which prevents request
/// smuggling. See RFC 9112 sections 3.2, 5.1, 6.1 and 6.3, RFC 9110 section 5.5.
/// @param isHttp11 whether the request's version is HTTP/1.1 or later.
/// @returns FramingOk, or the status to reply with before closing the connection.
int checkFraming(const HeaderFields &fields, bool isHttp11);

} // namespace jasmineloom
