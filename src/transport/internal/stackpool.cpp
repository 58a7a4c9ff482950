#include "transport/internal/stackpool.h"

namespace ivyspar {

StackPool::~StackPool()
{
    for (auto &stack : m_unused) {
        m_source.deallocate(stack);
    }
}

boost::context::stack_context StackPool::allocate()
{
    if (m_unused.empty()) {
        return m_source.allocate();
    }
    const boost::context::stack_context stack = m_unused.back();
    m_unused.pop_back();
    return stack;
}

void StackPool::deallocate(boost::context::stack_context &stack) noexcept
{
    if (m_unused.size() >= MAX_UNUSED_STACKS) {
        m_source.deallocate(stack);
        return;
    }
    m_unused.reserve(MAX_UNUSED_STACKS);
    m_unused.push_back(stack);
}

} // namespace ivyspar
