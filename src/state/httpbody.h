#pragma once

#include <cstddef>
#include <string>
#include <string_view>
#include <utility>

#include <boost/smart_ptr/intrusive_ptr.hpp>
#include <boost/smart_ptr/intrusive_ref_counter.hpp>

namespace ivyspar {

/// Keeps memory counted until its last owner releases it.
class MemoryCharge : public boost::intrusive_ref_counter<MemoryCharge, boost::thread_safe_counter>
{
public:
    MemoryCharge() = default;
    virtual ~MemoryCharge() = default;
    MemoryCharge(const MemoryCharge &) = delete;
    MemoryCharge &operator=(const MemoryCharge &) = delete;
};
using MemoryChargePtr = boost::intrusive_ptr<MemoryCharge>;

/// The body of an HTTP message. Copies share the bytes, so that a request that is forwarded, or
/// sent again, occupies its memory once.
class HttpBody
{
public:
    HttpBody() = default;
    HttpBody(std::string bytes); // NOLINT
    HttpBody(const char *text) // NOLINT
        : HttpBody(std::string(text))
    {
    }
    /// Releases `charge` with the last copy.
    HttpBody(std::string bytes, MemoryChargePtr charge);

    const std::string &text() const;
    operator const std::string &() const { return text(); } // NOLINT
    std::size_t size() const { return text().size(); }
    bool empty() const { return text().empty(); }
    const char *c_str() const { return text().c_str(); } // NOLINT
    std::string::const_iterator begin() const { return text().begin(); } // NOLINT
    std::string::const_iterator end() const { return text().end(); } // NOLINT
    /// Releases `charge` with the last copy, instead of an earlier one.
    void setCharge(MemoryChargePtr charge);
    /// Replaces the bytes by a longer copy.
    HttpBody &operator+=(std::string_view more);

    friend bool operator==(const HttpBody &a, const HttpBody &b) { return a.text() == b.text(); }
    friend bool operator!=(const HttpBody &a, const HttpBody &b) { return !(a == b); }

private:
    struct Shared : boost::intrusive_ref_counter<Shared, boost::thread_safe_counter>
    {
        std::string bytes;
        MemoryChargePtr charge;
    };

    boost::intrusive_ptr<Shared> m_shared;
};

} // namespace ivyspar
