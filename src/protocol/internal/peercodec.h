#pragma once

#include "protocol/ipeercodec.h"

namespace ivyspar {

/// Frames are CBOR arrays of the kind and the fields in a fixed order. Further elements are
/// ignored, so that later versions can append fields.
class PeerCodec : public IPeerCodec
{
public:
    std::string encode(const PeerMessage &message) const override;
    RetVal<PeerMessage> decode(const std::string &frame) const override;
};

} // namespace ivyspar
