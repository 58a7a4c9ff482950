#pragma once

namespace ivyspar::headers {

/// Request header: the name of the client.
constexpr char LOG_CLIENT[] = "Log-Client";
/// Response header: `not-appended` in an error response proves that the record was not appended.
constexpr char LOG_OUTCOME[] = "Log-Outcome";
constexpr char LOG_NOT_APPENDED[] = "not-appended";

} // namespace ivyspar::headers
