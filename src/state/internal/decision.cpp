#include "state/idecisionlog.h"

namespace ivyspar {

const char *toText(DecisionKind kind)
{
    switch (kind) {
    case DecisionKind::Route:
        return "route";
    case DecisionKind::Admit:
        return "admit";
    case DecisionKind::Refuse:
        return "refuse";
    case DecisionKind::Retry:
        return "retry";
    case DecisionKind::Hedge:
        return "hedge";
    case DecisionKind::Cancel:
        return "cancel";
    case DecisionKind::Lost:
        return "lost";
    case DecisionKind::Send:
        return "send";
    case DecisionKind::Run:
        return "run";
    case DecisionKind::Answer:
        return "answer";
    case DecisionKind::Undelivered:
        return "undelivered";
    case DecisionKind::Configuration:
        return "configuration";
    case DecisionKind::Membership:
        return "membership";
    case DecisionKind::Upstream:
        return "upstream";
    case DecisionKind::Dependency:
        return "dependency";
    case DecisionKind::Quarantine:
        return "quarantine";
    case DecisionKind::Lifecycle:
        return "lifecycle";
    }
    return "unknown";
}

} // namespace ivyspar
