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
    case DecisionKind::Configuration:
        return "configuration";
    case DecisionKind::Membership:
        return "membership";
    }
    return "unknown";
}

} // namespace ivyspar
