#pragma once

#include "coordination/configuration/ifreshness.h"

namespace ivyspar {

class Freshness : public IFreshness
{
public:
    explicit Freshness(const FreshnessOptions &options);

    bool confirm(TimePoint now, TimePoint asOf, IRandom &random) override;
    void expire() override;
    void onReadFailed(TimePoint startedAt, IRandom &random) override;
    TimePoint nextRead() const override;
    std::optional<Duration> age(TimePoint now) const override;
    bool isStale(TimePoint now) const override;

private:
    Duration pauseAfterFailures(IRandom &random) const;

    FreshnessOptions m_options;
    std::optional<TimePoint> m_asOf;
    TimePoint m_dueAt;
    TimePoint m_notBefore;
    std::uint32_t m_failures = 0;
};

} // namespace ivyspar
