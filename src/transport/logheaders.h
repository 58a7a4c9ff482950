#pragma once

namespace ivyspar::headers {

/// From clients of the log: their name.
constexpr char LOG_CLIENT[] = "Log-Client";
/// From the log: `not-appended` on a refusal is the proof that the record was not appended.
constexpr char LOG_OUTCOME[] = "Log-Outcome";
constexpr char LOG_NOT_APPENDED[] = "not-appended";

} // namespace ivyspar::headers
