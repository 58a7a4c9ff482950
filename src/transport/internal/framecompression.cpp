#include "transport/internal/framecompression.h"

#include <array>
#include <cassert>

#include <zlib.h>

namespace ivyspar {

namespace {

// With these settings a link needs 32 KiB of memory to compress and 11 KiB to decompress; a daemon
// has a link to each daemon that it calls. The window holds about ten frames of typical size.
constexpr int WINDOW_BITS = 12;
constexpr int MEMORY_LEVEL = 5;
/// Negative for raw deflate, without header and checksum. WebSocket framing delimits the data.
constexpr int RAW_WINDOW_BITS = -WINDOW_BITS;
constexpr std::size_t CHUNK_BYTES = 4096;

using Chunk = std::array<unsigned char, CHUNK_BYTES>;

void setInput(z_stream &stream, const std::string &input)
{
    // zlib only reads the input, but its interface lacks const.
    stream.next_in = reinterpret_cast<unsigned char *>(const_cast<char *>(input.data()));
    stream.avail_in = static_cast<unsigned>(input.size());
}

void setOutput(z_stream &stream, Chunk &chunk)
{
    stream.next_out = chunk.data();
    stream.avail_out = static_cast<unsigned>(chunk.size());
}

void appendOutput(const z_stream &stream, const Chunk &chunk, std::string &output)
{
    output.append(reinterpret_cast<const char *>(chunk.data()), chunk.size() - stream.avail_out);
}

} // namespace

FrameDeflater::FrameDeflater()
    : m_stream(std::make_unique<z_stream>())
{
    const int done = deflateInit2(m_stream.get(), Z_BEST_SPEED, Z_DEFLATED, RAW_WINDOW_BITS,
                                  MEMORY_LEVEL, Z_DEFAULT_STRATEGY);
    assert(done == Z_OK);
    (void)done;
}

FrameDeflater::~FrameDeflater()
{
    deflateEnd(m_stream.get());
}

std::string FrameDeflater::deflate(const std::string &frame)
{
    std::string compressed;
    Chunk chunk;
    setInput(*m_stream, frame);
    do {
        setOutput(*m_stream, chunk);
        ::deflate(m_stream.get(), Z_SYNC_FLUSH);
        appendOutput(*m_stream, chunk, compressed);
    } while (m_stream->avail_out == 0);
    return compressed;
}

FrameInflater::FrameInflater()
    : m_stream(std::make_unique<z_stream>())
{
    const int done = inflateInit2(m_stream.get(), RAW_WINDOW_BITS);
    assert(done == Z_OK);
    (void)done;
}

FrameInflater::~FrameInflater()
{
    inflateEnd(m_stream.get());
}

RetVal<std::string> FrameInflater::inflate(const std::string &compressed, std::size_t maxBytes)
{
    std::string frame;
    Chunk chunk;
    setInput(*m_stream, compressed);
    do {
        setOutput(*m_stream, chunk);
        const int done = ::inflate(m_stream.get(), Z_SYNC_FLUSH);
        if (done != Z_OK && done != Z_BUF_ERROR) {
            return makeError(ErrorCode::InvalidArgument, "the frame is not valid deflate data");
        }
        appendOutput(*m_stream, chunk, frame);
        if (frame.size() > maxBytes) {
            return makeError(ErrorCode::InvalidArgument,
                             "the decompressed frame exceeds the size limit");
        }
    } while (m_stream->avail_out == 0);
    return frame;
}

} // namespace ivyspar
