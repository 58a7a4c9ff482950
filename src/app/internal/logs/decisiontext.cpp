#include "app/internal/logs/decisiontext.h"

#include <cctype>
#include <cstdio>

namespace ivyspar {

namespace {

/// Names of other daemons come from outside: one with a line break or a space could forge a line
/// or a field.
std::string cleaned(std::string text)
{
    for (char &c : text) {
        if (std::isgraph(static_cast<unsigned char>(c)) == 0) {
            c = '?';
        }
    }
    return text;
}

std::string scoreText(double score)
{
    char text[32];
    std::snprintf(text, sizeof text, "%.3g", score);
    return text;
}

std::string candidatesText(const std::vector<DecisionCandidate> &candidates)
{
    std::string text;
    for (const DecisionCandidate &candidate : candidates) {
        text += text.empty() ? "" : ",";
        text += cleaned(candidate.daemon.value());
        text += ':';
        text += scoreText(candidate.score);
    }
    return text;
}

void append(std::string &line, const char *key, const std::string &value)
{
    if (value.empty()) {
        return;
    }
    line += ' ';
    line += key;
    line += '=';
    line += value;
}

std::string requestText(RootId root)
{
    char text[17];
    std::snprintf(text, sizeof text, "%016llx", static_cast<unsigned long long>(root.value()));
    return text;
}

std::string countText(std::uint32_t value)
{
    return value == 0 ? "" : std::to_string(value);
}

} // namespace

std::string toText(const Decision &decision)
{
    std::string line = std::string("decision=") + toText(decision.kind);
    if (decision.root != RootId()) {
        append(line, "request", requestText(decision.root));
    }
    append(line, "service", cleaned(decision.service.value()));
    append(line, "rank", countText(decision.rank.value()));
    append(line, "attempt", countText(decision.attempt));
    append(line, "candidates", candidatesText(decision.candidates));
    append(line, "choice", cleaned(decision.choice));
    append(line, "reason", cleaned(decision.reason));
    return line;
}

} // namespace ivyspar
