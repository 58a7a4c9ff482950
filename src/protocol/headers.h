#pragma once

namespace ivyspar::headers {

// From callers.
constexpr char DEADLINE_MS[] = "Ivyspar-Deadline-Ms";
constexpr char ATTEMPT[] = "Ivyspar-Attempt";
constexpr char REQUEST_ID[] = "Ivyspar-Request-Id";
constexpr char IDEMPOTENCY_KEY[] = "Idempotency-Key";
constexpr char TICKET[] = "Ivyspar-Ticket";
/// Key of the caller's client account.
constexpr char KEY[] = "Ivyspar-Key";
/// Sent to the upstream with each request; the upstream copies it into the calls that it makes.
constexpr char CONTEXT[] = "Ivyspar-Context";
/// Sent to the upstream: name of the caller's client account.
constexpr char ACCOUNT[] = "Ivyspar-Account";

// To callers.
constexpr char OUTCOME[] = "Ivyspar-Outcome";
constexpr char REASON[] = "Ivyspar-Reason";
constexpr char ATTEMPTS[] = "Ivyspar-Attempts";
constexpr char RETRY_AFTER[] = "Retry-After";
constexpr char RETRY_AFTER_MS[] = "Ivyspar-Retry-After-Ms";

// From upstreams.
/// `not-run` with status 503: the upstream refused the request before it started it.
constexpr char UPSTREAM_OUTCOME[] = "Ivyspar-Upstream-Outcome";
/// Requests per second, a decimal number, that the upstream accepts from all callers together.
constexpr char UPSTREAM_RATE_LIMIT[] = "Ivyspar-Upstream-Rate-Limit";
/// `1`: the upstream is shutting down.
constexpr char UPSTREAM_LEAVING[] = "Ivyspar-Upstream-Leaving";
/// Running requests, waiting requests, slots and, optionally, the present work time in percent of
/// the usual one, separated by commas.
constexpr char UPSTREAM_LOAD[] = "Ivyspar-Upstream-Load";

} // namespace ivyspar::headers
