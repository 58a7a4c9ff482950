#pragma once

#include <cstddef>
#include <memory>
#include <string>

#include "state/result.h"

struct z_stream_s;

namespace ivyspar {

/// Compresses the frames that one side sends on a link (raw deflate). Frames refer to those before
/// them: the names in their headers, services and rules are the same all the time.
class FrameDeflater
{
public:
    FrameDeflater();
    ~FrameDeflater();

    FrameDeflater(const FrameDeflater &) = delete;
    FrameDeflater &operator=(const FrameDeflater &) = delete;

    std::string deflate(const std::string &frame);

private:
    std::unique_ptr<z_stream_s> m_stream;
};

/// The other end of a `FrameDeflater`; needs all its frames in order.
class FrameInflater
{
public:
    FrameInflater();
    ~FrameInflater();

    FrameInflater(const FrameInflater &) = delete;
    FrameInflater &operator=(const FrameInflater &) = delete;

    /// Fails with `InvalidArgument` if the bytes are malformed or make more than `maxBytes`. The
    /// frames that follow cannot be read then.
    RetVal<std::string> inflate(const std::string &compressed, std::size_t maxBytes);

private:
    std::unique_ptr<z_stream_s> m_stream;
};

} // namespace ivyspar
