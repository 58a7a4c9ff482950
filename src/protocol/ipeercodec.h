#pragma once

#include <string>

#include "protocol/messages.h"
#include "state/result.h"

namespace ivyspar {

/// Encodes messages between daemons as CBOR frames and decodes them.
class IPeerCodec
{
public:
    virtual ~IPeerCodec() = default;

    virtual std::string encode(const PeerMessage &message) const = 0;
    /// `InvalidArgument` for a malformed frame. Never throws.
    virtual RetVal<PeerMessage> decode(const std::string &frame) const = 0;
};

} // namespace ivyspar
