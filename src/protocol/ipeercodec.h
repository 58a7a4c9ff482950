#pragma once

#include <string>

#include "protocol/messages.h"
#include "state/result.h"

namespace ivyspar {

/// Turns messages between daemons into frames and back (CBOR).
class IPeerCodec
{
public:
    virtual ~IPeerCodec() = default;

    virtual std::string encode(const PeerMessage &message) const = 0;
    /// Fails with `InvalidArgument` on anything malformed, and never throws.
    virtual RetVal<PeerMessage> decode(const std::string &frame) const = 0;
};

} // namespace ivyspar
