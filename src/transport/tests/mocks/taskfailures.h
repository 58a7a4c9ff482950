#pragma once

#include <exception>
#include <functional>
#include <string>
#include <vector>

namespace ivyspar {

/// Texts of exceptions that escaped the tasks of a simulated loop.
class TaskFailures
{
public:
    bool runGuarded(const std::function<void()> &task)
    {
        try {
            task();
            return true;
        } catch (const std::exception &error) {
            m_texts.emplace_back(error.what());
            return false;
        }
    }
    std::size_t count() const { return m_texts.size(); }

private:
    std::vector<std::string> m_texts;
};

} // namespace ivyspar
