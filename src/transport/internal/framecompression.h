#pragma once

#include <cstddef>
#include <memory>
#include <string>

#include "state/result.h"

struct z_stream_s;

namespace ivyspar {

/// Compresses the frames that one side sends on a link (raw deflate). The compression context is
/// kept across frames, as their headers, services and rules repeat the same names.
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

/// Decompresses the frames of a `FrameDeflater`; needs all of them, in order.
class FrameInflater
{
public:
    FrameInflater();
    ~FrameInflater();

    FrameInflater(const FrameInflater &) = delete;
    FrameInflater &operator=(const FrameInflater &) = delete;

    /// `InvalidArgument` if the input is malformed or expands to more than `maxBytes`. Later frames
    /// cannot be decompressed after that.
    RetVal<std::string> inflate(const std::string &compressed, std::size_t maxBytes);

private:
    std::unique_ptr<z_stream_s> m_stream;
};

} // namespace ivyspar
