#pragma once

#include <cstddef>
#include <vector>

#include <boost/context/protected_fixedsize_stack.hpp>
#include <boost/context/stack_context.hpp>
#include <boost/smart_ptr/intrusive_ptr.hpp>
#include <boost/smart_ptr/intrusive_ref_counter.hpp>

namespace ivyspar {

/// Reuses the stacks of ended fibers, as mapping a new one costs several system calls.
///
/// Each stack ends with a guard page: a stack overflow terminates the process there instead of
/// silently overwriting another fiber's data.
class StackPool : public boost::intrusive_ref_counter<StackPool, boost::thread_unsafe_counter>
{
public:
    StackPool() = default;
    ~StackPool();
    StackPool(const StackPool &) = delete;
    StackPool &operator=(const StackPool &) = delete;

    boost::context::stack_context allocate();
    void deallocate(boost::context::stack_context &stack) noexcept;

private:
    boost::context::protected_fixedsize_stack m_source{ STACK_BYTES };
    std::vector<boost::context::stack_context> m_unused;

    /// Boost's default. Only touched pages use memory, so a smaller stack would merely save address
    /// space (128 MiB for 1,000 concurrent requests) and make an overflow more likely.
    static constexpr std::size_t STACK_BYTES = 128 * 1024;
    /// Bounds the memory retained after a peak in the number of fibers.
    static constexpr std::size_t MAX_UNUSED_STACKS = 64;
};

/// Stack allocator for Boost.Fiber that refers to a pool.
class PooledStack
{
public:
    using traits_type = boost::context::protected_fixedsize_stack::traits_type; // NOLINT

    explicit PooledStack(boost::intrusive_ptr<StackPool> pool)
        : m_pool(std::move(pool))
    {
    }

    boost::context::stack_context allocate() { return m_pool->allocate(); }
    void deallocate(boost::context::stack_context &stack) noexcept { m_pool->deallocate(stack); }

private:
    boost::intrusive_ptr<StackPool> m_pool;
};

} // namespace ivyspar
