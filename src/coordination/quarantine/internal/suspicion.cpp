#include "coordination/quarantine/suspect.h"

namespace ivyspar {

const char *toText(Suspicion suspicion)
{
    switch (suspicion) {
    case Suspicion::None:
        return "cleared";
    case Suspicion::Suspect:
        return "suspect";
    case Suspicion::Held:
        return "held";
    case Suspicion::Quarantined:
        return "quarantined";
    }
    return "";
}

} // namespace ivyspar
