#include "app/settings.h"

#include <algorithm>
#include <iterator>

#include "app/internal/settings/settingvalues.h"

namespace ivyspar {

namespace {

struct AblationName
{
    const char *name;
    bool Ablations::*member;
};

constexpr AblationName ABLATION_NAMES[] = {
    { "admission", &Ablations::admission },
    { "rank", &Ablations::rank },
    { "floor", &Ablations::floor },
    { "doomed", &Ablations::doomed },
    { "budget", &Ablations::budget },
    { "retry-tokens", &Ablations::retryTokens },
    { "routing", &Ablations::routing },
    { "hedging", &Ablations::hedging },
    { "cancel", &Ablations::cancel },
    { "odds", &Ablations::lossBasedAdmission },
    { "fair-shares", &Ablations::fairShares },
    { "account-shares", &Ablations::accountShares },
    { "lag", &Ablations::lag },
    { "turned-away", &Ablations::localRetries },
    { "datagrams", &Ablations::datagrams },
    { "readers", &Ablations::readers },
    { "quarantine", &Ablations::quarantine },
    { "limit-homes", &Ablations::limitHomes },
};

} // namespace

std::vector<std::string> disablePolicies(const std::string &policies, Ablations &ablations)
{
    std::vector<std::string> unknown;
    for (const std::string &name : splitList(policies)) {
        const auto *found =
            std::find_if(std::begin(ABLATION_NAMES), std::end(ABLATION_NAMES),
                         [&](const AblationName &known) { return name == known.name; });
        if (found == std::end(ABLATION_NAMES)) {
            unknown.push_back(name);
            continue;
        }
        ablations.*found->member = true;
    }
    return unknown;
}

} // namespace ivyspar
