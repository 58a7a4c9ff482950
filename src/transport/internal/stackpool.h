#pragma once

#include <cstddef>
#include <vector>

#include <boost/context/protected_fixedsize_stack.hpp>
#include <boost/context/stack_context.hpp>
#include <boost/smart_ptr/intrusive_ptr.hpp>
#include <boost/smart_ptr/intrusive_ref_counter.hpp>

namespace ivyspar {

/// Keeps the stacks of ended fibers for new ones, as mapping one costs several system calls.
///
/// A stack ends at a guard page: a fiber that needs more than its stack stops the process there;
/// without the page it would silently overwrite another fiber's data.
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

    /// Boost's own default. Only touched pages take memory, so a smaller size would save address
    /// space only (1,000 requests in work: 128 MiB of it) and bring the guard page nearer.
    static constexpr std::size_t STACK_BYTES = 128 * 1024;
    /// Bounds what a past peak of fibers holds on to.
    static constexpr std::size_t MAX_UNUSED_STACKS = 64;
};

/// What Boost.Fiber takes as a stack allocator: a reference to the pool.
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
