#pragma once

#include <string>
#include <utility>

#include <tl/expected.hpp>

namespace ivyspar {

/// Kinds of errors that callers have to distinguish.
enum class ErrorCode {
    InvalidArgument, ///< External input violated a rule or a bound.
    NotFound, ///< The named object does not exist.
    Conflict, ///< Another writer was first.
    Unavailable, ///< The peer could not be reached; the action did not happen.
    Unknown, ///< No response: the action may or may not have happened.
    Timeout, ///< The deadline passed before anything was sent.
    Throttled, ///< Refused by a rate or size limit; the action did not happen.
    Cancelled, ///< The initiator gave up.
    Internal,
};

/// An error code for programs and one line of text for people.
struct Error
{
    ErrorCode code = ErrorCode::Internal;
    std::string text;
};

using Ret = tl::expected<void, Error>;

template <typename T> using RetVal = tl::expected<T, Error>;

inline tl::unexpected<Error> makeError(ErrorCode code, std::string text)
{
    return tl::unexpected<Error>(Error{ code, std::move(text) });
}

} // namespace ivyspar
