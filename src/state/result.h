#pragma once

#include <string>
#include <utility>

#include <tl/expected.hpp>

namespace ivyspar {

/// What went wrong, for code that has to tell the cases apart.
enum class ErrorCode {
    InvalidArgument, ///< Input from outside broke a rule or a bound.
    NotFound, ///< The named thing does not exist.
    Conflict, ///< Another writer came first.
    Unavailable, ///< The other side could not be reached; the action did not happen.
    Unknown, ///< No answer: the action may or may not have happened.
    Timeout, ///< The time ran out before anything was sent.
    Throttled, ///< Refused by a rate or size limit; the action did not happen.
    Cancelled, ///< The initiator gave up.
    Internal,
};

/// An error as a value: a code for programs and one line of text for people.
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
