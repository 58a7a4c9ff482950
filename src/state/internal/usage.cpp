#include "state/usage.h"

#include <algorithm>

namespace ivyspar {

void addUsage(TreeUsage &sum, const TreeUsage &more)
{
    for (const ServiceUsage &usage : more) {
        const auto found = std::find_if(sum.begin(), sum.end(), [&](const ServiceUsage &each) {
            return each.service == usage.service;
        });
        if (found == sum.end()) {
            sum.push_back(usage);
            continue;
        }
        found->busy += usage.busy;
        found->calls += usage.calls;
        found->load = DemandLoad((found->load.value() + usage.load.value()) / 2);
        found->loss = LossShare((found->loss.value() + usage.loss.value()) / 2);
    }
}

} // namespace ivyspar
