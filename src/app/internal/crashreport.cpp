#include "app/internal/crashreport.h"

#include <execinfo.h>
#include <signal.h>
#include <time.h>
#include <unistd.h>

#include <array>
#include <cstddef>
#include <cstdint>
#include <cstring>
#include <string>

#include <nlohmann/json.hpp>

/// Set by the linker.
extern "C" const char __executable_start; // NOLINT

namespace ivyspar {

namespace {

constexpr std::size_t STACK_BYTES = 64 * 1024;
constexpr std::size_t MAX_LINE = 2048;
constexpr int MAX_FRAMES = 32;
constexpr std::array<int, 5> SIGNALS = { SIGSEGV, SIGBUS, SIGILL, SIGFPE, SIGABRT };

/// Start of the line, made in advance: the handler must not allocate.
// NOLINTNEXTLINE(readability-identifier-naming): variables, though clang-tidy takes them for
// constants.
std::array<char, MAX_LINE> lineStart;
// NOLINTNEXTLINE(readability-identifier-naming)
std::size_t lineStartSize = 0;

/// Text in a fixed buffer; what does not fit is left out.
class FixedText
{
public:
    void add(const char *bytes, std::size_t size)
    {
        const std::size_t left = m_bytes.size() - m_size;
        const std::size_t added = size < left ? size : left;
        std::memcpy(m_bytes.data() + m_size, bytes, added);
        m_size += added;
    }
    void add(const char *text) { add(text, std::strlen(text)); }
    void addNumber(std::uint64_t number, unsigned base)
    {
        constexpr char DIGITS[] = "0123456789abcdef";
        std::array<char, 20> digits{};
        std::size_t first = digits.size();
        do {
            digits[--first] = DIGITS[number % base];
            number /= base;
        } while (number > 0);
        add(digits.data() + first, digits.size() - first);
    }
    void writeTo(int file) const
    {
        // Nothing can be done about an error here.
        if (::write(file, m_bytes.data(), m_size) < 0) {
            return;
        }
    }

private:
    std::array<char, MAX_LINE> m_bytes{};
    std::size_t m_size = 0;
};

std::uint64_t unixMillis()
{
    constexpr std::uint64_t MILLIS = 1000;
    constexpr std::uint64_t NANOS_PER_MILLI = 1000000;
    timespec now{};
    clock_gettime(CLOCK_REALTIME, &now);
    return static_cast<std::uint64_t>(now.tv_sec) * MILLIS
        + static_cast<std::uint64_t>(now.tv_nsec) / NANOS_PER_MILLI;
}

void addStack(FixedText &line)
{
    constexpr unsigned HEXADECIMAL = 16;
    std::array<void *, MAX_FRAMES> frames{};
    const int count = backtrace(frames.data(), MAX_FRAMES);
    const auto start = reinterpret_cast<std::uintptr_t>(&__executable_start);
    for (int i = 0; i < count; ++i) {
        line.add(i == 0 ? "\"0x" : ",\"0x");
        const auto address = reinterpret_cast<std::uintptr_t>(frames[static_cast<std::size_t>(i)]);
        line.addNumber(address >= start ? address - start : address, HEXADECIMAL);
        line.add("\"");
    }
}

/// The default action is restored before the handler runs, and ends the process after it.
void onFault(int number)
{
    constexpr unsigned DECIMAL = 10;
    FixedText line;
    line.add(lineStart.data(), lineStartSize);
    line.addNumber(static_cast<std::uint64_t>(number), DECIMAL);
    line.add(",\"unix_ms\":");
    line.addNumber(unixMillis(), DECIMAL);
    line.add(",\"stack\":[");
    addStack(line);
    line.add("]}\n");
    line.writeTo(STDERR_FILENO);
    raise(number);
}

} // namespace

void installCrashReport(const DaemonId &daemon)
{
// Sanitizers report faults themselves.
#if !defined(__SANITIZE_ADDRESS__) && !defined(__SANITIZE_THREAD__)
    const nlohmann::ordered_json fields{ { "daemon", daemon.value() },
                                         { "event", "lifecycle" },
                                         { "outcome", "crash" } };
    std::string start =
        fields.dump(-1, ' ', false, nlohmann::ordered_json::error_handler_t::replace);
    start.pop_back();
    start += ",\"signal\":";
    lineStartSize = start.copy(lineStart.data(), lineStart.size() / 2);
    // The first call loads a library, which a signal handler must not do.
    std::array<void *, 1> frame{};
    backtrace(frame.data(), 1);
    struct sigaction action
    {
    };
    action.sa_handler = onFault;
    action.sa_flags = SA_ONSTACK | static_cast<int>(SA_RESETHAND);
    for (const int number : SIGNALS) {
        sigaction(number, &action, nullptr);
    }
#else
    (void)daemon;
#endif
}

CrashReportStack::CrashReportStack()
    : m_bytes(std::make_unique<char[]>(STACK_BYTES))
{
    stack_t stack{};
    stack.ss_sp = m_bytes.get();
    stack.ss_size = STACK_BYTES;
    sigaltstack(&stack, nullptr);
}

CrashReportStack::~CrashReportStack()
{
    stack_t none{};
    none.ss_flags = SS_DISABLE;
    sigaltstack(&none, nullptr);
}

} // namespace ivyspar
