#include "standins/demo/loadsummary.h"

#include <algorithm>

namespace ivyspar::lab {

LoadSummary summarize(const std::vector<LoadRecord> &records, const std::vector<LoadKind> &kinds)
{
    LoadSummary summary;
    summary.requests = records.size();
    for (const LoadRecord &record : records) {
        const std::string &className = kinds.at(record.kind).className;
        switch (record.result) {
        case LoadResult::Completed:
            ++summary.completed;
            ++summary.completedByClass[className];
            break;
        case LoadResult::Refused:
            ++summary.refused;
            ++summary.refusedByClass[className];
            break;
        case LoadResult::Failed:
            ++summary.failed;
            break;
        case LoadResult::TimedOut:
            ++summary.timedOut;
            break;
        case LoadResult::Wrong:
            ++summary.wrong;
            break;
        }
        summary.maxCallerAttempts = std::max(summary.maxCallerAttempts, record.callerAttempts);
        summary.callerAttempts += record.callerAttempts;
        summary.entryAttempts += record.entryAttempts;
    }
    return summary;
}

Duration quantileOf(std::vector<Duration> values, double quantile)
{
    if (values.empty()) {
        return Duration::zero();
    }
    const auto index = static_cast<std::size_t>(quantile * static_cast<double>(values.size() - 1));
    std::nth_element(values.begin(), values.begin() + static_cast<std::ptrdiff_t>(index),
                     values.end());
    return values[index];
}

} // namespace ivyspar::lab
